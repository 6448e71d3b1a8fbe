# Bookings with idempotency keys are sent twice concurrently and again after their answers, through any router. Meanwhile one router,
# responsible for an eighth of the keys, is killed. Two others are frozen for 6 s each, longer than their peers take to detect a
# failure. The store is slow, and some of its answers are lost after the write. No booking runs twice.
duration=24s
timeout=10s
stand_in_flags="--min-time 20ms"

load() {
	echo "Accounts:"
	router_loads "" "Resend: 0.4, Overlap: 0.4"
	echo "Steps:"
	for after in 2s 5s 8s 16s; do
		fault_step $after platform '{"Store":{"LoseAnswers":15}}'
	done
	fault_step 11s platform '{"Store":{"Slow":300000000}}'
	fault_step 13s platform '{"Store":{"SlowAnswer":1500000000,"LoseAnswers":5}}'
	fault_step 15s platform '{"Store":{}}'
}

disturb() {
	sleep 5
	kill_router recife-a-router-1
	freeze_router boston-a-router-1 6
	freeze_router recife-b-router-2 6
}

verify() {
	need Answers -ge 400
	need Resends -ge 300
	shown=", sent again $(figure Resends), double runs $(figure DoubleRuns)"
}
