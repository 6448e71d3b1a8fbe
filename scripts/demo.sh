#!/bin/sh
# Runs the main job on separate processes on loopback for about 30 s: 8 routers in 2 regions with 2 failure domains each,
# stand-ins of upstreams and platform, both teams' answers, and disturbances. The last line is one JSON object.
# With "direct" as its argument the same load goes to the stand-ins without routers, as a baseline.
set -eu
cd "$(dirname "$0")/.."
mode=${1:-routers}
run=${DEMO_DIR:-$(mktemp -d)}
mkdir -p "$run/pids" "$run/codes" "$run/log"
marks=$run/marks
: >"$marks"
# All addresses begin with these two numbers; another pair lets two demos run at a time.
net=${DEMO_NET:-127.0}
store=$net.1.1:8300

# A started process is ended by its own id, which stands in a file of its name while it runs; then its exit code does.
start() {
	name=$1
	shift
	(
		"$@" >"$run/log/$name.out" 2>"$run/log/$name.log" &
		echo $! >"$run/pids/$name"
		code=0
		wait $! || code=$?
		rm -f "$run/pids/$name"
		echo $code >"$run/codes/$name"
	) &
}

# await waits until the process has ended, at most so many seconds, and sets code.
await() {
	left=$(($2 * 10))
	while [ ! -s "$run/codes/$1" ]; do
		left=$((left - 1))
		if [ $left -le 0 ]; then
			echo "$1 has not ended within $2 s" >&2
			exit 1
		fi
		sleep 0.1
	done
	code=$(cat "$run/codes/$1")
}

# end asks the processes whose names have the given end to end, and after 10 s does it for them.
end() {
	for file in "$run"/pids/*$1; do
		[ -e "$file" ] || continue
		kill "$(cat "$file")" 2>/dev/null || true
	done
	left=100
	while [ $left -gt 0 ] && ls "$run"/pids/*$1 >/dev/null 2>&1; do
		left=$((left - 1))
		sleep 0.1
	done
	for file in "$run"/pids/*$1; do
		[ -e "$file" ] || continue
		echo "$(basename "$file") had to be killed" >&2
		kill -9 "$(cat "$file")" 2>/dev/null || true
		rm -f "$file"
	done
}

# Routers end first, since they settle their claims in the store.
finish() {
	status=$?
	trap - EXIT INT TERM
	end -router-[12]
	end ""
	echo "Logs, record and report: $run" >&2
	exit $status
}
trap finish EXIT INT TERM

# check_running fails when a process has ended already, as one does whose address another demo holds.
check_running() {
	for file in "$run"/codes/*; do
		[ -e "$file" ] || continue
		name=$(basename "$file")
		echo "$name ended with $(cat "$file"):" >&2
		tail -n 1 "$run/log/$name.log" >&2
		exit 1
	done
}

# domain prints "region octet" of a failure domain; a router or stand-in of it has the address net.octet.n.
domain() {
	case $1 in
	recife-a) echo recife 11 ;;
	recife-b) echo recife 12 ;;
	boston-a) echo boston 21 ;;
	boston-b) echo boston 22 ;;
	esac
}
domains="recife-a recife-b boston-a boston-b"

host_line() {
	echo "{\"Name\":\"$1\",\"Kind\":\"$2\",\"Addr\":\"$3\",\"Domain\":\"$4\",\"Region\":\"$5\",\"Leaving\":false}"
}

write_hosts() {
	for d in $domains; do
		set -- $(domain "$d")
		for n in 1 2; do
			host_line "$d-router-$n" Router "$net.$2.$n:8081" "$d" "$1"
		done
		host_line "counter-assistant-$d" Upstream "$net.$2.101:9000" "$d" "$1"
		host_line "repair-booking-$d" Upstream "$net.$2.102:9000" "$d" "$1"
		host_line "grant-drafter-$d" Upstream "$net.$2.111:9000" "$d" "$1"
		host_line "case-records-$d" Upstream "$net.$2.112:9000" "$d" "$1"
	done | paste -sd, | sed 's/.*/[&]/' >"$run/hosts.json"
}

write_settings() {
	cat >"$run/$1.yaml" <<-END
		Host:
		  Name: $1
		  FailureDomain: $2
		  Region: $3
		Listen:
		  Caller: $4:8080
		  Control: $4:8081
		  Operator: $4:8082
		Store:
		  Addresses: ["$store"]
		TLS:
		  Insecure: true
	END
}

start_stand_ins() {
	start platform bin/pomelobench standin --admin $net.1.1:9100 --platform $store --hosts "$run/hosts.json"
	for d in $domains; do
		set -- $(domain "$d")
		start "stand-ins-$d" bin/pomelobench standin --admin "$net.$2.100:9100" --step 10ms --plain-slots 4 \
			--engine "counter-assistant-$d=$net.$2.101:9000" --plain "repair-booking-$d=$net.$2.102:9000" \
			--engine "grant-drafter-$d=$net.$2.111:9000" --plain "case-records-$d=$net.$2.112:9000"
	done
}

start_routers() {
	for d in $domains; do
		for n in 1 2; do
			set -- $(domain "$d")
			write_settings "$d-router-$n" "$d" "$1" "$net.$2.$n"
			start "$d-router-$n" bin/pomelorelayd run --settings "$run/$d-router-$n.yaml"
		done
	done
}

# apply publishes a configuration made from the answers in $1 and notes its generation for the bench.
apply() {
	bin/pomeloctl generate --answers "$1/jewellers.yaml" --answers "$1/hearthway.yaml" >"$1/configuration.yaml"
	bin/pomeloctl apply --store $store --author demo --why "$2" --output json "$1/configuration.yaml" >"$run/applied.json"
	generation=$(tr -d ' \n' <"$run/applied.json" | sed 's/.*"Generation":\([0-9]*\).*/\1/')
	echo "{\"Accepted\":$generation}" >>"$marks"
}

# The bench's step has asked the router to drain; it ends by itself when its last request has ended.
await_graceful_stop() {
	await "$1" 25
	if [ "$code" -ne 0 ]; then
		echo "$1 was stopped gracefully and ended with $code" >&2
		exit 1
	fi
	echo "$1 was stopped gracefully and ended with 0"
}

kill_router() {
	echo "{\"Killed\":\"$1\"}" >>"$marks"
	sleep 0.2
	kill -9 "$(cat "$run/pids/$1")"
	echo "$1 was killed"
}

change_configuration() {
	mkdir -p "$run/changed"
	cp "$run/first/jewellers.yaml" "$run/changed/"
	sed 's/^      Timeout: 20s/&\n      QuarantineFor: 5m/' "$run/first/hearthway.yaml" >"$run/changed/hearthway.yaml"
	apply "$run/changed" "shorter quarantine"
	echo "configuration $generation was applied"
}

echo "Working in $run"
mkdir -p "$run/first"
for name in jewellers hearthway plan; do
	sed "s/127\.0\./$net./g" "examples/demo/$name.yaml" >"$run/first/$name.yaml"
done
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
# The bench's last line has to have passed through before the printing of its progress ends.
sleep 1.5
kill "$(cat "$run/pids/progress")" 2>/dev/null || true
exit "$code"
