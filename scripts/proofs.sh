#!/bin/sh
# Runs the named proofs, by default all, one after the other and prints a table at the end; the exit code is the number of failures.
set -u
cd "$(dirname "$0")/.."
if [ $# -eq 0 ]; then
	set -- fair starve answers notrun once leaving stop config partition deadly final
fi
results=$(mktemp)
failed=0
for name in "$@"; do
	began=$(date +%s)
	echo "== $name" >&2
	dir=$(mktemp -d)
	if PROOF_DIR=$dir sh scripts/proof.sh "$name" >"$dir/proof.out"; then
		rm -f "$dir"/record.jsonl
	else
		failed=$((failed + 1))
	fi
	line=$(grep -E '^(proved|FAILED) ' "$dir/proof.out" | tail -n 1)
	echo "$(($(date +%s) - began)) s | ${line:-FAILED $name: proof aborted, see $dir}" >>"$results"
done
cat "$results"
rm -f "$results"
exit $failed
