# The host list shows two upstreams as leaving, one after the other. Before the first change one router is cut off from the store
# and the host list, so that it learns of the change from its peers; another router is frozen during the second change. No request
# starts at an upstream later than 3 s after it is shown as leaving.
duration=22s
timeout=12s
# MaxWait covers the 6 s in which the frozen router does not answer.
more_plan="MaxWait: 20s"
links=1

load() {
	echo "Accounts:"
	router_loads "Stream: true, Routers: [HERE]" "Routers: [HERE]"
	echo "Steps:"
	link_step 3s store-recife-a-router-1 '{"Cut":true}'
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
