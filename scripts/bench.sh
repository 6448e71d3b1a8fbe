#!/bin/sh
# Runs the benchmarks of the packages and writes their output to the given file, COUNT runs each (1 by default).
set -eu
out=$1
count=${COUNT:-1}
mkdir -p "$(dirname "$out")"
: >"$out"
# run PACKAGE PATTERN TIME
run() {
	go test -run '^$' -bench "$2" -benchmem -benchtime "$3" -count "$count" -cpu 2 "./$1" >>"$out" || { tail -n 20 "$out" >&2; exit 1; }
}
run pomelofair 'Push|Progress|SetFleet|Changed|Bytes' 100ms
run pomeloslot 'Grant|Demand|Register' 100ms
run pomeloslot 'Table' 1x
run pomeloledger 'Merge' 100ms
run pomeloledger 'State' 1x
run pomelomember 'Second' 100ms
run pomelomesh 'Digest|Journey' 100ms
run pomelomesh 'LinkMemory' 1x
run pomeloclaim 'Commit' 100ms
run pomeloconfig 'Authenticate|Weight' 100ms
run pomeloplace 'Place/112$|Tick/600$' 100ms
run pomeloentry 'ReceiveSummary/60$|Adjust|Request' 200ms
run pomelolog 'Line' 100ms
run pomeloroute 'AddedLatency|Handler' 200ms
run pomeloroute 'IdleStream' 1x
grep '^Benchmark' "$out"
