# A request with a marker crashes every engine that runs it. Its caller keeps resending it through any router, beside ordinary load.
# At most two engines crash, although routers may resend the request too.
duration=20s
timeout=10s
# Nine attempts one second apart end within MaxWait; a request that is refused for longer would count as starved.
attempts=9
stand_in_flags="--crash-marker deadly-clasp"

load() {
	echo "Accounts:"
	router_loads "Stream: true" "" | sed 's/Callers: 16/Callers: 8/'
	echo "    # The one caller with the marked request."
	echo "      - {Service: counter-assistant, Callers: 1, Requests: 1, Prompt: 30, MaxTokens: 20, Stream: true, Marker: deadly-clasp}"
}

verify() {
	need Answers -ge 500
	need MostMarkedRuns -ge 1
	need MostMarkedRuns -le 2
	quarantined=$(sed -n "s/^ *\([0-9]*\) times: refused: 503 Quarantined.*/\1/p" "$run/log/bench.log")
	test "${quarantined:-0}" -ge 6 || fail "only ${quarantined:-0} resends were refused as quarantined"
	shown=", engines crashed $(figure MostMarkedRuns), resends refused $quarantined"
}
