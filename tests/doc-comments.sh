#!/bin/sh
# Rule: each C file begins with a Doxygen @file comment, and each function and
# type that a public header declares has a doc comment before it. Not checked:
# types, and functions on the line after another declaration.
set -eu
failed=0
for f in $(git ls-files -co --exclude-standard '*.c' '*.h'); do
	head -3 "$f" | grep -q '@file' || {
		echo "$f: no @file comment"
		failed=1
	}
done
for f in base/base.h conf/conf.h core/core.h route/route.h fleet/fleet.h \
	daemon/outside.h daemon/libedge.h standin/world.h; do
	awk -v f="$f" '
		/^[a-z].*\(/ && !/typedef|__attribute__|G_GNUC/ &&
		prev !~ /\*\/$/ && prev !~ /;$/ {
			print f ":" NR ": no doc comment: " $0; failed = 1
		}
		{ prev = $0 }
		END { exit failed }
	' "$f" || failed=1
done
exit $failed
