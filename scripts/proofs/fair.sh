# All accounts are backlogged, each at one router only, so that no router can compare them by itself; one router is killed and its
# callers use other routers. The fairness gap between any two accounts stays below its bound throughout.
duration=24s
timeout=20s
gaps=1

load() {
	echo "Accounts:"
	# Small accounts have fewer callers relative to their weight, so that service in order of arrival would favour large ones.
	router_loads "Stream: true, Routers: [HERE]" "Routers: [HERE]" |
		sed -e 's/Callers: 8, Prompt/Callers: 6, Prompt/' -e 's/Callers: 4, Prompt/Callers: 2, Prompt/'
}

disturb() {
	sleep 9
	kill_router recife-b-router-1
}

verify() {
	need Answers -ge 1500
	shown=", gap $(figure FairnessGap) under $(figure FairnessBound)"
}
