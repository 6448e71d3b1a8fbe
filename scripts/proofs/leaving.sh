# Two upstreams leave by the host list. One router is cut off from the store, from the host list and from its peers before the first leaves, and another
# is frozen over the leaving of the second. Nothing new starts at an upstream 3 s after its leaving shows.
duration=22s
timeout=12s
links=1

load() {
	echo "Accounts:"
	router_loads "Stream: true, Routers: [HERE]" "Routers: [HERE]"
	echo "Steps:"
	link_step 3s control-recife-a-router-1 '{"Cut":true}'
	link_step 3s store-recife-a-router-1 '{"Cut":true}'
	for d in $domains; do
		for n in 1 2; do
			if [ "$d-$n" != recife-a-1 ]; then
				link_step 3s "control-$d-router-$n" "{\"Source\":\"$net.11.1\",\"Cut\":true}"
			fi
		done
	done
	echo "  - {After: 5s, Leave: counter-assistant-recife-a}"
	echo "  - {After: 12s, Leave: repair-booking-boston-a}"
	heal_steps 17s
}

disturb() {
	sleep 11
	freeze_router boston-a-router-2 6
}

verify() {
	need Answers -ge 500
	shown=", new work after leaving $(figure NewWorkAfterLeave)"
}
