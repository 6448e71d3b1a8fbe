#!/bin/sh
# Runs go test with the arguments given, passing over the tests that KNOWN-RED.txt lists and printing them.
# A line of KNOWN-RED.txt reads: TestName; command; cause; issue.
set -eu
skip=""
if [ -s KNOWN-RED.txt ]; then
	lines=$(grep -c . KNOWN-RED.txt)
	if [ "$lines" -gt 3 ]; then
		echo "KNOWN-RED.txt has $lines lines; three are allowed" >&2
		exit 1
	fi
	echo "Known to fail, passed over:"
	cat KNOWN-RED.txt
	skip=$(cut -d';' -f1 KNOWN-RED.txt | sed 's/.*/^&$/' | paste -sd'|')
fi
if [ -n "$skip" ]; then
	exec go test -count=1 -timeout 20m -skip "$skip" "$@"
fi
exec go test -count=1 -timeout 20m "$@"
