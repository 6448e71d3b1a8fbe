# Shell functions that start and stop a fleet of separate processes on loopback and inject faults into it, sourced by
# scripts/demo.sh and scripts/proof.sh. The caller sets run, a directory, and net, the first two octets of all addresses. With
# links=1 the traffic to each router's control port and from each router to the store goes through relays that plan steps can
# block.

mkdir -p "$run/pids" "$run/codes" "$run/log" "$run/first"
marks=$run/marks
: >"$marks"
store=$net.1.1:8300
links=${links:-0}

# start runs a command in the background as the named process: start NAME COMMAND... Its process id is in pids/NAME while it runs,
# its exit code in codes/NAME afterwards.
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

# await waits until the process has exited and sets code to its exit code: await NAME SECONDS.
await() {
	left=$(($2 * 10))
	while [ ! -s "$run/codes/$1" ]; do
		left=$((left - 1))
		if [ $left -le 0 ]; then
			echo "$1 did not exit within $2 s" >&2
			exit 1
		fi
		sleep 0.1
	done
	code=$(cat "$run/codes/$1")
}

# running returns 0 while a process runs whose name ends in the given text. If the first file vanished after the pattern was
# expanded, running checks the remaining ones, since their processes may still run.
running() {
	for file in "$run"/pids/*$1; do
		if [ -e "$file" ]; then
			return 0
		fi
	done
	return 1
}

# end terminates the processes whose names end in the given text, and kills those that still run after 10 s.
end() {
	for file in "$run"/pids/*$1; do
		[ -e "$file" ] || continue
		kill "$(cat "$file")" 2>/dev/null || true
	done
	left=100
	while [ $left -gt 0 ] && running "$1"; do
		left=$((left - 1))
		sleep 0.1
	done
	for file in "$run"/pids/*$1; do
		[ -e "$file" ] || continue
		echo "$(basename "$file") did not exit within 10 s and was killed" >&2
		kill -9 "$(cat "$file")" 2>/dev/null || true
		rm -f "$file"
	done
}

# finish stops all processes, the routers first: a stopping router writes the outcomes of requests with idempotency keys to the
# store, so the store must still run.
finish() {
	status=$?
	trap - EXIT INT TERM
	end -router-[12]
	end ""
	echo "Logs, record and report: $run" >&2
	exit $status
}

# check_running fails when a process has exited already, for instance because its address is in use by another demo.
check_running() {
	for file in "$run"/codes/*; do
		[ -e "$file" ] || continue
		name=$(basename "$file")
		echo "$name exited with $(cat "$file"):" >&2
		tail -n 1 "$run/log/$name.log" >&2
		exit 1
	done
}

# domain prints "REGION OCTET" of a failure domain; its routers and stand-ins have addresses $net.OCTET.N.
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

# control_address prints the address at which peers reach a router, and store_address the one at which a router reaches the store.
# If links=1, these are the addresses of relays.
control_address() {
	if [ "$links" = 1 ]; then
		echo "$net.$1.$((50 + $2)):8081"
	else
		echo "$net.$1.$2:8081"
	fi
}

store_address() {
	if [ "$links" = 1 ]; then
		echo "$net.$1.$((60 + $2)):8300"
	else
		echo "$store"
	fi
}

write_hosts() {
	for d in $domains; do
		set -- $(domain "$d")
		for n in 1 2; do
			host_line "$d-router-$n" Router "$(control_address "$2" $n)" "$d" "$1"
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
		  Addresses: ["$5"]
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
			--engine "grant-drafter-$d=$net.$2.111:9000" --plain "case-records-$d=$net.$2.112:9000" ${stand_in_flags:-}
	done
	if [ "$links" = 1 ]; then
		start_links
	fi
}

start_links() {
	set -- --admin "$net.1.2:9100"
	for d in $domains; do
		octet=$(domain "$d" | cut -d' ' -f2)
		for n in 1 2; do
			set -- "$@" --relay "control-$d-router-$n=$(control_address "$octet" $n)/$net.$octet.$n:8081"
			set -- "$@" --relay "store-$d-router-$n=$(store_address "$octet" $n)/$store"
		done
	done
	start links bin/pomelobench standin "$@"
}

start_routers() {
	for d in $domains; do
		for n in 1 2; do
			set -- $(domain "$d")
			write_settings "$d-router-$n" "$d" "$1" "$net.$2.$n" "$(store_address "$2" $n)"
			start "$d-router-$n" bin/pomelorelayd run --settings "$run/$d-router-$n.yaml"
		done
	done
}

# apply publishes the configuration generated from the answers in a directory and marks its generation for pomelobench:
# apply DIRECTORY REASON.
apply() {
	bin/pomeloctl generate --answers "$1/jewellers.yaml" --answers "$1/hearthway.yaml" >"$1/configuration.yaml"
	bin/pomeloctl apply --store $store --author "$0" --why "$2" --output json "$1/configuration.yaml" >"$run/applied.json"
	generation=$(tr -d ' \n' <"$run/applied.json" | sed 's/.*"Generation":\([0-9]*\).*/\1/')
	echo "{\"Accepted\":$generation}" >>"$marks"
}

write_answers() {
	for name in jewellers hearthway plan; do
		sed "s/127\.0\./$net./g" "examples/demo/$name.yaml" >"$run/first/$name.yaml"
	done
}

# await_graceful_stop waits until a router that was asked to stop has finished its requests; it fails unless the exit code is 0.
await_graceful_stop() {
	await "$1" 25
	if [ "$code" -ne 0 ]; then
		echo "$1 was stopped gracefully and exited with $code" >&2
		exit 1
	fi
	echo "$1 was stopped gracefully and exited with 0"
}

# kill_router kills a router. It first writes a mark of the kill to the marks file, so that pomelobench does not count the broken
# requests as cut by a planned stop.
kill_router() {
	echo "{\"Killed\":\"$1\"}" >>"$marks"
	sleep 0.2
	kill -9 "$(cat "$run/pids/$1")"
	echo "$1 was killed"
}

# freeze_router suspends a router's process: freeze_router NAME SECONDS.
freeze_router() {
	echo "{\"Frozen\":\"$1\"}" >>"$marks"
	kill -STOP "$(cat "$run/pids/$1")"
	sleep "$2"
	kill -CONT "$(cat "$run/pids/$1")"
	echo "{\"Continued\":\"$1\"}" >>"$marks"
	echo "$1 was frozen for $2 s"
}

# link_step prints a plan step that sets the rules of a relay: link_step AFTER RELAY RULES.
link_step() {
	echo "  - {After: $1, Admin: \"$net.1.2:9100\", Fault: '{\"Target\":\"$2\",\"Relay\":[$3]}'}"
}

# fault_step prints a plan step that posts a fault to the stand-ins of a failure domain or of the platform:
# fault_step AFTER DOMAIN|platform FAULT.
fault_step() {
	admin=$net.1.1:9100
	if [ "$2" != platform ]; then
		set -- "$1" "$(domain "$2" | cut -d' ' -f2)" "$3"
		admin=$net.$2.100:9100
	fi
	echo "  - {After: $1, Admin: \"$admin\", Fault: '$3'}"
}

# sources prints relay rules for connections from the routers of the failure domains: sources EFFECT DOMAIN...
sources() {
	effect=$1
	shift
	for d in "$@"; do
		octet=$(domain "$d" | cut -d' ' -f2)
		for n in 1 2; do
			echo "{\"Source\":\"$net.$octet.$n\",$effect}"
		done
	done | paste -sd,
}

# partition_steps prints the steps that partition a failure domain's routers from all others: partition_steps AFTER DOMAIN both|out.
# With "out" only messages sent by the domain are lost.
partition_steps() {
	apart=$2
	toward='"Toward":{"Block":true}'
	back='"Back":{"Block":true}'
	others=$(echo "$domains" | tr ' ' '\n' | grep -vx "$apart" | paste -sd' ')
	inward="$toward,$back"
	outward="$toward,$back"
	if [ "$3" = out ]; then
		inward=$back
		outward=$toward
	fi
	for n in 1 2; do
		link_step "$1" "control-$apart-router-$n" "$(sources "$inward" $others)"
		for other in $others; do
			link_step "$1" "control-$other-router-$n" "$(sources "$outward" "$apart")"
		done
	done
}

# store_steps prints the steps that cut a failure domain's routers off from store and host list: store_steps AFTER DOMAIN.
store_steps() {
	for n in 1 2; do
		link_step "$1" "store-$2-router-$n" '{"Cut":true}'
	done
}

# heal_steps prints the steps that clear the rules of all relays: heal_steps AFTER.
heal_steps() {
	for d in $domains; do
		for n in 1 2; do
			link_step "$1" "control-$d-router-$n" ""
			link_step "$1" "store-$d-router-$n" ""
		done
	done
}

# router_loads prints the accounts of a plan: three of weight 4, five of weight 2 and eight of weight 1. $1 and $2 are additional
# fields of the loads of the model engine and the booking service; an empty value omits that service. HERE in them is replaced by
# one router per account.
router_loads() {
	i=0
	for weight in 4 4 4 2 2 2 2 2 1 1 1 1 1 1 1 1; do
		i=$((i + 1))
		name=oficina-$(printf %02d $i)
		at=$(echo "$domains" | cut -d' ' -f$(((i - 1) / 2 % 4 + 1)))-router-$(((i - 1) % 2 + 1))
		echo "  - Name: $name"
		echo "    Token: demo-token-$name"
		echo "    Weight: $weight"
		echo "    Loads:"
		if [ -n "$1" ]; then
			echo "      - {Service: counter-assistant, Callers: $((weight * 4)), Prompt: 30, MaxTokens: $((20 + i % 3 * 20)), $1}" | sed "s/HERE/$at/"
		fi
		if [ -n "$2" ]; then
			echo "      - {Service: repair-booking, Callers: $((weight * 2)), SlotTime: $((100 + i % 3 * 25))ms, $2}" | sed "s/HERE/$at/"
		fi
	done
}
