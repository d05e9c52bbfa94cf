#!/usr/bin/env bash
# Shows that tests/deploy-build.sh fails for builds that do not pass on a clean
# machine: each case spoils a copy of the sources, or shortens the list.
set -euo pipefail
cd "$(dirname "$0")/.."

dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0

# case NAME EXPECTED COMMAND [OPTION...]: runs COMMAND in a copy of the sources,
# checks that copy with the options and looks for EXPECTED in what is printed.
case_red() {
	local name=$1 expected=$2 command=$3
	shift 3
	rm -rf "$dir/src"
	mkdir "$dir/src"
	git ls-files -z | xargs -0 cp --parents -t "$dir/src"
	(cd "$dir/src" && eval "$command")
	if tests/deploy-build.sh "$@" "$dir/src" > "$dir/out" 2>&1; then
		echo "$name: passed"
	elif ! grep -qF -- "$expected" "$dir/out"; then
		echo "$name: red without '$expected':"
		cat "$dir/out"
	else
		echo "$name: red"
		return
	fi
	failed=1
}

# Adds a command that make runs whenever it reads the file.
make_runs() {
	echo "IGNORED := \$(shell $1)" >> Makefile
}

case_red "flags of a package that is not listed" \
	"Package cunit was not found" \
	"sed -i 's/^PKGS = /&cunit /' Makefile"
case_red "header of a package that only comes with another" \
	"package zlib1g-dev is not listed; the project names /usr/include/zlib.h" \
	"sed -i '1i #include <zlib.h>' base/str.c"
case_red "library of a package that only comes with another" \
	"package zlib1g-dev is not listed" \
	"sed -i 's/ -lhttp_parser/& -lz/' Makefile"
case_red "program of a package that is not listed" \
	"package git does not come with the list" \
	"make_runs 'git --version'"
case_red "file of the tests" "No such file or directory" \
	"sed -i '1i #include \"../tests/unit.h\"' base/str.c"
case_red "download" "it opens a connection" \
	"make_runs 'bash -c \": < /dev/tcp/127.0.0.1/9\"'"
case_red "file outside target/" "it writes outside target/" \
	"make_runs 'touch conf/generated.c'"
case_red "list without a package that pkg-config knows" \
	"Package 'jansson'" : --without libjansson-dev
case_red "list without a package that pkg-config does not know" \
	"package libhttp-parser-dev is not listed" : --without libhttp-parser-dev
case_red "list without the C library's headers" \
	"package libc6-dev is not listed" : --without libc6-dev
case_red "list with a package that is not used" \
	"package libcunit1-dev is listed; the project names nothing of it" \
	"sed -i 's/^packages = \\[/&\"libcunit1-dev\", /' deploy/system.toml"
exit $failed
