#!/bin/sh
# Runs the case in a folder of this one: run-case.sh NUMBER. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/.." || exit 2
[ -x target/geraniumslip-routed ] && [ -x "target/review-$1" ] || {
	echo "build target/geraniumslip-routed and run review/build.sh first" >&2
	exit 2
}
timeout -k 2 117 "target/review-$1" "review/$1"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
