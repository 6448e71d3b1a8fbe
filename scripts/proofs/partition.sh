# One failure domain is partitioned from all others and from the store, then reconnected. Then the outgoing messages of a second
# domain are lost while a router of a third domain is killed. All guarantees hold throughout; the fairness gap, which may grow while
# domains are disconnected, is checked from 4 s after the last partition has healed.
duration=30s
timeout=10s
# MaxWait covers the 5 s in which a domain is cut off from the store and accepts no bookings.
more_plan="MaxWait: 23s"
gaps=1
links=1
more_plan="$more_plan
GapFrom: 19s"

load() {
	echo "Accounts:"
	router_loads "Stream: true, Routers: [HERE]" "Resend: 0.1, Routers: [HERE]"
	echo "Steps:"
	partition_steps 3s recife-a both
	store_steps 3s recife-a
	heal_steps 8s
	partition_steps 10s boston-b out
	heal_steps 15s
}

disturb() {
	sleep 11
	kill_router boston-a-router-2
}

verify() {
	need Answers -ge 800
	shown=", gap from 4 s after the heal $(figure FairnessGap) under $(figure FairnessBound)"
}
