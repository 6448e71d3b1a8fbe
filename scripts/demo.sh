#!/bin/sh
# Runs a demo fleet of separate processes on loopback for about 30 s: 8 routers in 2 regions with 2 failure domains each,
# stand-ins of upstreams and platform, the configuration of both teams, and faults. The last line is one JSON object.
# With the argument "direct" the same load goes to the stand-ins without routers, as a baseline.
set -eu
cd "$(dirname "$0")/.."
mode=${1:-routers}
run=${DEMO_DIR:-$(mktemp -d)}
# The first two octets of all addresses; demos with different values can run at the same time.
net=${DEMO_NET:-127.0}
. scripts/fleet.sh
trap finish EXIT INT TERM

change_configuration() {
	mkdir -p "$run/changed"
	cp "$run/first/jewellers.yaml" "$run/changed/"
	sed 's/^      Timeout: 20s/&\n      QuarantineFor: 5m/' "$run/first/hearthway.yaml" >"$run/changed/hearthway.yaml"
	apply "$run/changed" "shorter quarantine"
	echo "applied configuration $generation"
}

echo "Working in $run"
write_answers
write_hosts
start_stand_ins
sleep 0.5
check_running
if [ "$mode" = direct ]; then
	bin/pomelobench run --plan "$run/first/plan.yaml" --direct --record "$run/record.jsonl"
	exit
fi

start_routers
sleep 0.5
check_running
apply "$run/first" "first configuration"
: >"$run/log/bench.out"
start bench bin/pomelobench run --plan "$run/first/plan.yaml" --wait-ready 20s --marks "$marks" --record "$run/record.jsonl"
(
	tail -n +1 -f "$run/log/bench.out" &
	echo $! >"$run/pids/progress"
	wait $! || true
	rm -f "$run/pids/progress"
) &
sleep 12
await_graceful_stop boston-a-router-2
kill_router recife-b-router-2
sleep 8
change_configuration
await bench 60
cat "$run/log/bench.log" >&2
bin/pomelobench report "$run/record.jsonl" --out "$run/report.html" --title "Demo" >&2 || true
# Gives the tail process time to print the last line of pomelobench before the next command kills the process.
sleep 1.5
kill "$(cat "$run/pids/progress")" 2>/dev/null || true
exit "$code"
