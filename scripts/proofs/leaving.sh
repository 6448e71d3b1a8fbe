# Two upstreams leave by the host list. One router is cut off from the store and from the host list before the first leaves (its peers tell it), and another
# is frozen over the leaving of the second. Nothing new starts at an upstream 3 s after its leaving shows.
duration=22s
timeout=12s
# The frozen router answers nothing for 6 s.
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
