# Checks refusals with "Ran: No" while the store is down for 6 s, upstreams crash, refuse, and cut connections before or after the
# run, and callers resend. If all attempts at a request were refused as not run, the stand-ins' records must show no run of it.
duration=22s
timeout=6s
# MaxWait covers the 6 s in which the store is down, since no booking can run then.
more_plan="MaxWait: 20s"

load() {
	echo "Accounts:"
	router_loads "Stream: true" "Resend: 0.1"
	echo "Steps:"
	fault_step 4s platform '{"Store":{"Outage":true}}'
	fault_step 10s platform '{"Store":{}}'
	for d in recife-a boston-a; do
		fault_step 2s "$d" "{\"Target\":\"counter-assistant-$d\",\"Crash\":true}"
		fault_step 6s "$d" "{\"Target\":\"counter-assistant-$d\",\"Crash\":true}"
		fault_step 8s "$d" "{\"Target\":\"repair-booking-$d\",\"Plain\":{\"CutEarly\":true,\"Every\":3}}"
		fault_step 13s "$d" "{\"Target\":\"repair-booking-$d\",\"Plain\":{\"Cut\":true,\"Every\":5}}"
		fault_step 16s "$d" "{\"Target\":\"repair-booking-$d\",\"Plain\":{\"Refuse\":true,\"Every\":2}}"
		fault_step 18s "$d" "{\"Target\":\"repair-booking-$d\",\"Plain\":{}}"
	done
	for d in recife-b boston-b; do
		fault_step 11s "$d" "{\"Target\":\"counter-assistant-$d\",\"Engine\":{\"Refuse\":true}}"
		fault_step 15s "$d" "{\"Target\":\"counter-assistant-$d\",\"Engine\":{}}"
	done
}

verify() {
	need Answers -ge 500
	need Refusals -ge 50
	shown=", false \"not run\" $(figure FalseNotRun)"
}
