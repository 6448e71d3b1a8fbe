#!/bin/sh
# Runs the regression suite required before a merge and prints a table: regression.sh BENCH SITES [JOBS [SITE]]
# BENCH is the users' benchmark program, SITES the directory of its site files. Each site below is run once with the program's
# score command, then with its hunt command for the number of days in its line. SITE limits the run to one site.
set -eu
bench=$1 sites=$2 jobs=${3:-3} only=${4:-}
out=$(mktemp -d)
site_days="
shifted/bancada-comum-now-grown 16
large/bancada-comum-large 8
further-grown/pcrs-minutes-grown 8
grown/hearthway-relay-grown 8
grown/bancada-comum-grown 8
further/pcrs-minutes 40
"
echo "$site_days" | while read -r site days; do
	[ -n "$site" ] || continue
	[ -z "$only" ] || [ "$only" = "$site" ] || continue
	name=$(basename "$site")
	"$bench" score "$sites/$site.toml" --jobs "$jobs" --why "Regression: $name" >"$out/$name.score" 2>&1 || true
	"$bench" hunt "$sites/$site.toml" --days "$days" --jobs "$jobs" --why "Regression: $name" >"$out/$name.hunt" 2>&1 || true
	awk -v name="$name" '
		FILENAME ~ /score$/ && /^(trouble|scale)-[0-9]/ { sum += $4; n++ }
		FILENAME ~ /score$/ && /^quiet-/ { quiet = $4 }
		FILENAME ~ /score$/ && /^GATE/ { gate = $2 }
		FILENAME ~ /hunt$/ && /BROKEN/ { broken++ }
		FILENAME ~ /hunt$/ && /^snapshot/ { hunted = 1 }
		END { printf "%-24s day without faults %s, days with faults %.3f, gate %s, hunt %s, failed days %d\n", name, quiet, n ? sum / n : 0, gate ? gate : "not run", hunted ? "run" : "not run", broken }
	' "$out/$name.score" "$out/$name.hunt"
done
echo "outputs: $out"
