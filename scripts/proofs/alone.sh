# Fails at present, so scripts/proofs.sh does not run it: one router is cut off from the store, the host list and every other
# router before an upstream leaves, while callers still reach the router. The router cannot learn that the upstream leaves, and keeps
# sending requests to it.
duration=18s
timeout=12s
links=1
more_plan="MaxWait: 20s"

load() {
	echo "Accounts:"
	router_loads "Stream: true, Routers: [HERE]" "Routers: [HERE]"
	echo "Steps:"
	store_steps 3s recife-a | head -n 1
	link_step 3s control-recife-a-router-1 '{"Cut":true}'
	for d in $domains; do
		for n in 1 2; do
			if [ "$d-$n" != recife-a-1 ]; then
				link_step 3s "control-$d-router-$n" "{\"Source\":\"$net.11.1\",\"Cut\":true}"
			fi
		done
	done
	echo "  - {After: 5s, Leave: counter-assistant-recife-a}"
	heal_steps 14s
}
