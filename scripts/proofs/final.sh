# Engines stall, the booking service refuses or hangs, the store is down, and one account fills its queues to their limit. Each
# request that a router gives up is refused at once, on arrival when the queue is full and at its deadline otherwise, with a
# complete response and Retry-After.
duration=18s
timeout=4s
# MaxWait covers the 8 s in which engines and bookings are stalled and the 3 s in which the store is down.
more_plan="MaxWait: 20s"
attempts=3

load() {
	echo "Accounts:"
	router_loads "Stream: true" "Resend: 0.1"
	echo "  - Name: caseworkers-01"
	echo "    Token: demo-token-caseworkers-01"
	echo "    Weight: 4"
	echo "    Loads:"
	echo "      - {Service: grant-drafter, Callers: 600, Prompt: 30, MaxTokens: 60, Stream: true, Routers: [recife-a-router-1]}"
	echo "Steps:"
	for d in $domains; do
		fault_step 4s "$d" "{\"Target\":\"counter-assistant-$d\",\"Engine\":{\"Stalled\":true}}"
		fault_step 12s "$d" "{\"Target\":\"counter-assistant-$d\",\"Engine\":{}}"
		fault_step 3s "$d" "{\"Target\":\"repair-booking-$d\",\"Plain\":{\"Refuse\":true}}"
		fault_step 6s "$d" "{\"Target\":\"repair-booking-$d\",\"Plain\":{\"Late\":8000000000}}"
		fault_step 12s "$d" "{\"Target\":\"repair-booking-$d\",\"Plain\":{}}"
	done
	fault_step 12s platform '{"Store":{"Outage":true}}'
	fault_step 15s platform '{"Store":{}}'
}

verify() {
	need Refusals -ge 300
	shown=", held back $(figure HeldBack)"
}
