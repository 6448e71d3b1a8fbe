# All accounts have work waiting, each at one router only, so that no router sees two of them side by side; one router is killed
# and its callers go elsewhere. The gap between any two accounts stays under its bound throughout.
duration=24s
timeout=20s
gaps=1

load() {
	echo "Accounts:"
	# Small accounts have fewer callers for their weight, so that order of arrival would serve large ones first.
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
