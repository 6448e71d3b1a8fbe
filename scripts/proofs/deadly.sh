# A request with a marker crashes each engine that runs it. Its caller sends it again and again, through any router, beside ordinary load.
# At most two engines crash under it, though the router may send again by itself too.
duration=20s
timeout=10s
attempts=25
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
	test "${quarantined:-0}" -ge 10 || fail "only ${quarantined:-0} resends were refused as quarantined"
	shown=", engines crashed $(figure MostMarkedRuns), resends refused $quarantined"
}
