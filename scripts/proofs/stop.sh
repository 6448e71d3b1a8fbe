# Three routers are stopped gracefully under load of streams and bookings, by SIGTERM or by pomeloctl drain, two of them while the
# store is down. No request in progress is cut, and each router exits with 0 within 25 s.
duration=20s
timeout=12s

load() {
	echo "Accounts:"
	router_loads "Stream: true, Routers: [HERE]" "Resend: 0.1, Routers: [HERE]"
	echo "Steps:"
	fault_step 5s platform '{"Store":{"Outage":true}}'
	fault_step 11s platform '{"Store":{}}'
}

stop_router() {
	echo "{\"Stopping\":\"$1\"}" >>"$marks"
	sleep 0.2
	if [ "$2" = drain ]; then
		bin/pomeloctl drain --router "$net.$3:8082" >&2
	else
		kill "$(cat "$run/pids/$1")"
	fi
}

disturb() {
	sleep 4
	stop_router boston-a-router-2 term 21.2
	sleep 4
	stop_router recife-b-router-2 drain 12.2
	sleep 1
	stop_router recife-a-router-1 term 11.1
	began=$(date +%s)
	for name in boston-a-router-2 recife-b-router-2 recife-a-router-1; do
		await_graceful_stop $name
	done
	stops="all exited $(($(date +%s) - began)) s after the last stop request"
}

verify() {
	need Answers -ge 500
	shown=", cut off $(figure CutOff), $stops"
}
