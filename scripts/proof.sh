#!/bin/sh
# Checks one guarantee under one kind of failure on a fleet of separate processes: scripts/proof.sh NAME [direct], where NAME is a
# file of scripts/proofs. The last line starts with "proved" or "FAILED", with exit code 0 or 1. With "direct" the load goes to the
# stand-ins without routers, to show that the check fails then.

# A proof's file sets duration and timeout, and may set attempts, gaps=1 (check the fairness gap), links=1 (relays between the
# routers), more_plan (additional plan fields) and stand_in_flags. It defines load, which prints the plan's Accounts and Steps,
# and may define disturb, which injects faults that a plan step cannot, and verify, which checks the result of pomelobench.
set -eu
cd "$(dirname "$0")/.."
proof=$1
mode=${2:-routers}
run=${PROOF_DIR:-$(mktemp -d)}
net=${DEMO_NET:-127.7}
gaps=0
attempts=5
more_plan=""
disturb() { :; }
verify() { :; }
. "scripts/proofs/$proof.sh"
. scripts/fleet.sh
trap finish EXIT INT TERM

write_plan() {
	{
		echo "Seed: ${SEED:-1}"
		echo "Duration: $duration"
		echo "Timeout: $timeout"
		echo "MaxAttempts: $attempts"
		echo "$more_plan"
		sed -e '/^Steps:/,$d' -e '/^#/d' -e '/^Seed:/d' -e '/^Duration:/d' -e '/^Timeout:/d' "$run/first/plan.yaml" |
			if [ "$gaps" = 1 ]; then cat; else sed 's/, GapBound: [0-9.]*//'; fi
		load
	} >"$run/plan.yaml"
	if [ "$mode" = direct ]; then
		echo "Direct: true" >>"$run/plan.yaml"
		sed -i -e 's/, Routers: \[[^]]*\]//' -e '/^Routers:/d' -e '/^  - {Name: [a-z-]*-router-/d' -e '/"Target":"\(control\|store\)-/d' "$run/plan.yaml"
	fi
}

# figure prints a number from the result, the last line of pomelobench: figure KEY.
figure() {
	tail -n 1 "$run/log/bench.out" | sed 's/,"Pools".*//' | sed -n "s/.*\"$1\":\([0-9.]*\).*/\1/p"
}

failures=""
fail() {
	failures="$failures; $1"
}

# need records a failure unless a figure satisfies a test operator: need Answers -ge 100.
need() {
	got=$(figure "$1")
	test "${got:-0}" "$2" "$3" || fail "$1 is ${got:-missing}, want $2 $3"
}

write_answers
write_hosts
write_plan
start_stand_ins
sleep 0.5
check_running
if [ "$mode" = direct ]; then
	start bench bin/pomelobench run --plan "$run/plan.yaml" --record "$run/record.jsonl"
else
	start_routers
	sleep 0.5
	check_running
	apply "$run/first" "first configuration"
	start bench bin/pomelobench run --plan "$run/plan.yaml" --wait-ready 20s --marks "$marks" --record "$run/record.jsonl"
	disturb
fi
await bench 90
if [ "$code" -ne 0 ]; then
	fail "$(tail -n 1 "$run/log/bench.log")"
fi
if [ "$mode" != direct ]; then
	verify
fi
head -n 20 "$run/log/bench.log" >&2
tail -n 1 "$run/log/bench.out"
counts="requests $(figure Requests), answers $(figure Answers), refusals $(figure Refusals), broken $(figure Broken), runs $(figure Runs)"
if [ -n "$failures" ]; then
	echo "FAILED $proof: ${failures#; }; $counts"
	exit 1
fi
echo "proved $proof: $counts${shown:-}"
