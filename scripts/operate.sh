#!/bin/sh
# Tests pomeloctl against 8 routers with mutual TLS and a stand-in of the store, all separate processes on loopback, and measures
# how long configuration changes take to be in force. Requires openssl and curl. ACCOUNTS sets the number of accounts in the
# second measurement. The first failed check ends the script with exit code 1.
set -eu
cd "$(dirname "$0")/.."
run=${OPERATE_DIR:-$(mktemp -d)}
net=${OPERATE_NET:-127.8}
accounts=${ACCOUNTS:-37000}
changes=${CHANGES:-30}
mkdir -p "$run/pids" "$run/log" "$run/keys"
store=$net.1.1:8300
link=$net.1.1:8301
admin=$net.1.1:9100
routers=""

start() {
	name=$1
	shift
	"$@" >"$run/log/$name.out" 2>>"$run/log/$name.log" &
	echo $! >"$run/pids/$name"
}

finish() {
	status=$?
	trap - EXIT INT TERM
	for file in "$run"/pids/router-* "$run"/pids/platform; do
		[ -e "$file" ] || continue
		pid=$(cat "$file")
		kill "$pid" 2>/dev/null || true
		wait "$pid" 2>/dev/null || true
	done
	echo "Logs: $run" >&2
	exit $status
}
trap finish EXIT INT TERM

fail() {
	echo "FAILED: $*" >&2
	exit 1
}

# expect runs a command and fails unless it has the given exit code; its output is in $run/out and $run/err.
expect() {
	want=$1
	shift
	got=0
	"$@" >"$run/out" 2>"$run/err" || got=$?
	[ "$got" -eq "$want" ] || fail "exit code $got, want $want: $* $(cat "$run/err")"
}

# expect_line fails unless a line of the file matches the pattern: expect_line PATTERN FILE.
expect_line() {
	grep -q "$1" "$2" || fail "no '$1' in $(cat "$2")"
}

inject_fault() { curl -sf -o /dev/null -d "$1" "http://$admin/fault" || fail "fault $1"; }

make_keys() {
	openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -days 2 -subj /CN=fleet \
		-keyout "$run/keys/authority.key" -out "$run/keys/authority.crt" 2>/dev/null
	for n in 1 2 3 4 5 6 7 8; do
		openssl req -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes -subj /CN=router-$n \
			-keyout "$run/keys/router-$n.key" -out "$run/keys/router-$n.csr" 2>/dev/null
		printf 'subjectAltName=DNS:router-%s\nextendedKeyUsage=serverAuth,clientAuth\n' $n >"$run/keys/ext"
		openssl x509 -req -days 2 -in "$run/keys/router-$n.csr" -CA "$run/keys/authority.crt" -CAkey "$run/keys/authority.key" \
			-CAcreateserial -extfile "$run/keys/ext" -out "$run/keys/router-$n.crt" 2>/dev/null
	done
}

# router_location prints "REGION DOMAIN OCTET" of a router.
router_location() {
	case $1 in
	1 | 2) echo recife recife-a 11 ;;
	3 | 4) echo recife recife-b 12 ;;
	5 | 6) echo boston boston-a 21 ;;
	7 | 8) echo boston boston-b 22 ;;
	esac
}

# write_settings writes the settings of a router. Only router 1 reaches the store directly, the others through a relay that can be
# blocked.
write_settings() {
	set -- "$1" $(router_location "$1")
	via=$link
	[ "$1" -ne 1 ] || via=$store
	cat >"$run/router-$1.yaml" <<-END
		Host: {Name: router-$1, FailureDomain: $3, Region: $2}
		Listen: {Caller: "$net.$4.$1:8080", Control: "$net.$4.$1:8081", Operator: "$net.$4.$1:8082"}
		Store: {Addresses: ["$via"]}
		HostList: {Addresses: ["$store"]}
		TLS:
		  CertFile: $run/keys/router-$1.crt
		  KeyFile: $run/keys/router-$1.key
		  AuthorityFile: $run/keys/authority.crt
	END
	echo "{\"Name\":\"router-$1\",\"Kind\":\"Router\",\"Addr\":\"$net.$4.$1:8081\",\"Domain\":\"$3\",\"Region\":\"$2\",\"Leaving\":false}" >>"$run/hosts.lines"
	routers="$routers --router $net.$4.$1:8082"
}

start_routers() {
	for n in 1 2 3 4 5 6 7 8; do
		start router-$n bin/pomelorelayd run --settings "$run/router-$n.yaml"
	done
}

end_routers() {
	for n in 1 2 3 4 5 6 7 8; do
		pid=$(cat "$run/pids/router-$n")
		kill "$pid" 2>/dev/null || true
		wait "$pid" || fail "router-$n exited with $?"
		rm -f "$run/pids/router-$n"
	done
}

await_ready() {
	left=600
	for n in 1 2 3 4 5 6 7 8; do
		while ! grep -q '"Event":101' "$run/log/router-$n.log"; do
			left=$((left - 1))
			[ $left -gt 0 ] || fail "router-$n is not ready"
			sleep 0.1
		done
	done
}

# figures prints the time from start to ready and the memory use of each router.
figures() {
	for n in 1 2 3 4 5 6 7 8; do
		from=$(sed -n 's/.*"Time":"\([^"]*\)".*"Event":100,.*/\1/p' "$run/log/router-$n.log" | tail -n 1)
		to=$(sed -n 's/.*"Time":"\([^"]*\)".*"Event":101,.*/\1/p' "$run/log/router-$n.log" | tail -n 1)
		ready=$(($(date -d "$to" +%s%3N) - $(date -d "$from" +%s%3N)))
		echo "router-$n: ready $ready ms after its start, $(awk '/VmRSS|VmHWM/ {printf "%s %s kB ", $1, $2}' /proc/$(cat "$run/pids/router-$n")/status)"
	done
}

# expect_refusal fails unless a router with the settings exits with the exit code and the error code:
# expect_refusal EXIT ERROR SETTINGS.
expect_refusal() {
	expect "$1" bin/pomelorelayd run --settings "$3"
	expect_line "$2" "$run/err"
	tail -n 1 "$run/err" | cut -c1-150
}

# altered_settings writes the settings of router-2 changed by a sed script and prints the file name.
altered_settings() {
	sed "$1" "$run/router-2.yaml" >"$run/altered.yaml"
	echo "$run/altered.yaml"
}

ctl() { bin/pomeloctl "$@"; }

make_keys
for n in 1 2 3 4 5 6 7 8; do write_settings $n; done
paste -sd, "$run/hosts.lines" | sed 's/.*/[&]/' >"$run/hosts.json"
start platform bin/pomelobench standin --admin $admin --platform $store --relay "link=$link/$store" --hosts "$run/hosts.json" --write-rate 400
sleep 0.5
start_routers

echo "== questionnaire, generate, check, diff"
expect 0 ctl questionnaire
[ -s "$run/out" ] || fail "the questionnaire is empty"
expect 0 ctl generate --answers examples/demo/jewellers.yaml --answers examples/demo/hearthway.yaml
cp "$run/out" "$run/first.yaml"
expect 0 ctl generate --answers examples/demo/jewellers.yaml --answers examples/demo/hearthway.yaml
cmp "$run/out" "$run/first.yaml" || fail "generate is not deterministic: the same answers gave different output"
expect 0 ctl check "$run/first.yaml"
expect 0 ctl diff "$run/first.yaml" --store $store
echo "== apply --wait, show, audit, status"
expect 0 ctl apply "$run/first.yaml" --store $store --author ana --why first --wait $routers
expect_line 'Generation 1,' "$run/out"
await_ready
expect 0 ctl show --store $store
cp "$run/out" "$run/shown.yaml"
sed 's/MaxSlots: 8/MaxSlots: 9/' "$run/shown.yaml" >"$run/second.yaml"
expect 0 ctl diff "$run/second.yaml" --store $store
expect_line 'MaxSlots: 8 -> 9' "$run/out"
expect 0 ctl status $routers
[ "$(grep -c ' ready ' "$run/out")" -eq 8 ] || fail "fewer than 8 routers are ready: $(cat "$run/out")"
cat "$run/out"

echo "== two concurrent applies based on the same generation"
sed 's/MaxSlots: 8/MaxSlots: 7/' "$run/shown.yaml" >"$run/third.yaml"
(ctl apply "$run/second.yaml" --store $store --author ana --why "ana's" --base 1 >"$run/ana.out" 2>"$run/ana.err" && echo 0 >"$run/ana.code" || echo $? >"$run/ana.code") &
ana=$!
(ctl apply "$run/third.yaml" --store $store --author bea --why "bea's" --base 1 >"$run/bea.out" 2>"$run/bea.err" && echo 0 >"$run/bea.code" || echo $? >"$run/bea.code") &
wait $ana $!
codes="$(cat "$run/ana.code") $(cat "$run/bea.code")"
case $codes in
"0 3") winner=ana loser=bea ;;
"3 0") winner=bea loser=ana ;;
*) fail "the concurrent applies have exit codes $codes, want 0 and 3" ;;
esac
expect_line "$winner" "$run/$loser.err"
echo "the change of $winner was accepted; $loser got: $(head -n 1 "$run/$loser.err")"

echo "== the store's answer is lost after the write"
sed 's/MaxSlots: 8/MaxSlots: 6/' "$run/shown.yaml" >"$run/fourth.yaml"
inject_fault '{"Store":{"LoseAnswers":4}}'
expect 0 ctl apply "$run/fourth.yaml" --store $store --author ana --why "lost answer" --base 2 --wait $routers
cat "$run/out"
inject_fault '{"Store":{}}'
expect 0 ctl audit --store $store
[ "$(grep -c 'why: lost answer' "$run/out")" -eq 1 ] || fail "the change with the lost answer is not in the audit trail exactly once: $(cat "$run/out")"
cat "$run/out"

echo "== the store is down"
inject_fault '{"Store":{"Outage":true}}'
expect 6 ctl apply "$run/second.yaml" --store $store --author ana --why "during the outage" --base 3
cat "$run/err"
inject_fault '{"Store":{}}'
echo "== apply --wait names a router that does not answer"
expect 5 ctl --timeout 3s apply "$run/second.yaml" --store $store --author ana --why "one is absent" --base 3 --wait $routers --router $net.99.1:8082
expect_line "$net.99.1:8082" "$run/err"
cat "$run/err"

echo "== time until in force on 8 routers, store reachable"
bin/pomelobench spread --store $store $routers --changes $changes "$run/second.yaml"
echo "== the same, store out of reach for all but router-1"
inject_fault '{"Target":"link","Relay":[{"Cut":true}]}'
sleep 1
bin/pomelobench spread --store $store $routers --changes $changes "$run/second.yaml"
inject_fault '{"Target":"link","Relay":[]}'
figures

echo "== $accounts accounts, store reachable"
sleep 6
bin/pomelobench spread --store $store $routers --accounts $accounts --changes $changes "$run/second.yaml"
figures
echo "== the same, store out of reach for all but router-1"
inject_fault '{"Target":"link","Relay":[{"Cut":true}]}'
sleep 1
bin/pomelobench spread --store $store $routers --accounts $accounts --changes $changes "$run/second.yaml"
inject_fault '{"Target":"link","Relay":[]}'

echo "== all routers restarted with $accounts accounts"
end_routers
rm -f "$run"/log/router-*.log
start_routers
await_ready
sleep 1
figures

echo "== invalid settings"
printf 'x' >"$run/keys/broken.crt"
expect_refusal 2 2013 "$run/absent.yaml"
expect_refusal 2 2000 "$(altered_settings 's/^Host: {/Host: {{/')"
expect_refusal 2 2001 "$(altered_settings 's/^Listen:/Listens:/')"
expect_refusal 2 2002 "$(altered_settings 's/Region: [a-z]*/Region: ""/')"
expect_refusal 2 2002 "$(altered_settings '/KeyFile/d')"
expect_refusal 2 2002 "$(altered_settings '/^TLS/,$d')"
expect_refusal 3 2203 "$(altered_settings 's/router-2.crt/absent.crt/')"
expect_refusal 3 2203 "$(altered_settings 's/router-2.crt/broken.crt/')"
expect_refusal 3 2203 "$(altered_settings 's/router-2.crt/router-3.crt/')"
expect_refusal 3 2205 "$run/router-2.yaml"
expect_refusal 3 1012 "$(altered_settings "s/Control: \"$net.11.2:8081/Control: \"$net.11.2:8089/")"
echo "== drain"
expect 0 ctl drain --router $net.11.2:8082
pid=$(cat "$run/pids/router-2")
wait "$pid" || fail "router-2 drained and exited with $?"
rm -f "$run/pids/router-2"
expect 6 ctl status --router $net.11.2:8082
echo "router-2 drained and exited with 0; done"
