#!/bin/sh
# Runs the benchmarks of an earlier commit and of this one, six runs of each, and compares them with benchstat.
set -eu
rev=${1:?name the commit to compare with: make bench-compare REV=main}
here=$(pwd)
then=$(mktemp -d)
trap 'git worktree remove --force "$then/tree" >/dev/null 2>&1 || true; rm -rf "$then"' EXIT
git worktree add --detach "$then/tree" "$rev" >&2
export COUNT=${COUNT:-6}
mkdir -p bin
(cd "$then/tree" && sh "$here/scripts/bench.sh" "$here/bin/bench-then.txt" >/dev/null)
sh scripts/bench.sh bin/bench-now.txt >/dev/null
go tool benchstat bin/bench-then.txt bin/bench-now.txt
