#!/bin/sh
# Runs the benchmarks of another commit and of the working tree, COUNT runs each (6 by default), and compares them with benchstat.
set -eu
rev=${1:?no commit to compare with; use make bench-compare REV=main}
here=$(pwd)
then=$(mktemp -d)
trap 'git worktree remove --force "$then/tree" >/dev/null 2>&1 || true; rm -rf "$then"' EXIT
git worktree add --detach "$then/tree" "$rev" >&2
export COUNT=${COUNT:-6}
mkdir -p bin
(cd "$then/tree" && sh "$here/scripts/bench.sh" "$here/bin/bench-then.txt" >/dev/null)
sh scripts/bench.sh bin/bench-now.txt >/dev/null
go tool benchstat bin/bench-then.txt bin/bench-now.txt
