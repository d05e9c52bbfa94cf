#!/usr/bin/env bash
# Checks that tests detect the faults that they guard against. For each row of
# tests/red.table, or only the rows named on the command line: breaks one
# mechanism in a copy of the tree by the row's sed edits, builds the copy and
# runs the row's test, which must fail.
set -euo pipefail
cd "$(dirname "$0")/.."
make -s -j"$(nproc)"
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -co --exclude-standard -z | tar --null -T - -cf - |
	tar -xf - -C "$copy"
cp -a build "$copy/"
passed=0
failed=0
while IFS=$'\t' read -r name edits command; do
	case "$name" in '' | '#'*) continue ;; esac
	if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then continue; fi
	(
		cd "$copy"
		IFS=';' read -ra edit_list <<<"$edits"
		for edit in "${edit_list[@]}"; do
			file=${edit%%:*}
			cp -p "$file" "$file.orig"
			sed -i -E "${edit#*:}" "$file"
			if cmp -s "$file" "$file.orig"; then
				echo "$name: the edit of $file changes nothing"
				exit 2
			fi
		done
		make -s -j"$(nproc)" CFLAGS=-Wno-error >/dev/null 2>"$copy/make.log" || {
			echo "$name: does not build"
			cat "$copy/make.log"
			exit 2
		}
		if eval "timeout 100 $command" >"$copy/out.log" 2>&1; then
			echo "$name: STILL GREEN: $command"
			exit 1
		fi
		echo "$name: red: $(grep -m1 -E ':[0-9]+: |seed [0-9]+' "$copy/out.log" || tail -1 "$copy/out.log")"
	) && passed=$((passed + 1)) || failed=$((failed + 1))
	find "$copy" -name '*.orig' | while read -r orig; do
		mv "$orig" "${orig%.orig}"
		touch "${orig%.orig}"
	done
done <tests/red.table
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
