#!/usr/bin/env bash
# Checks that tests/deploy-build.sh fails for builds that would fail on a clean
# machine. Each case changes a copy of the sources so that the build breaks the
# rules, or changes the list of packages.
set -euo pipefail
cd "$(dirname "$0")/.."

dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0

# expect_failure NAME MESSAGE COMMAND [OPTION...]: runs COMMAND in a copy of the
# sources, then tests/deploy-build.sh with the options on this copy, which must
# fail and print MESSAGE.
expect_failure() {
	local name=$1 message=$2 command=$3
	shift 3
	rm -rf "$dir/src"
	mkdir "$dir/src"
	git ls-files -z | xargs -0 cp --parents -t "$dir/src"
	(cd "$dir/src" && eval "$command")
	if tests/deploy-build.sh "$@" "$dir/src" > "$dir/out" 2>&1; then
		echo "$name: passed"
	elif ! grep -qF -- "$message" "$dir/out"; then
		echo "$name: red without '$message':"
		cat "$dir/out"
	else
		echo "$name: red"
		return
	fi
	failed=1
}

# Makes the Makefile of the copy run a command whenever make reads it.
make_runs() {
	echo "IGNORED := \$(shell $1)" >> Makefile
}

expect_failure "flags of a package that is not listed" \
	"Package cunit was not found" \
	"sed -i 's/^PKGS = /&cunit /' Makefile"
expect_failure "header of a package that only comes with another" \
	"package zlib1g-dev is not listed; the project names /usr/include/zlib.h" \
	"sed -i '1i #include <zlib.h>' base/str.c"
expect_failure "library of a package that only comes with another" \
	"package zlib1g-dev is not listed" \
	"sed -i 's/ -lhttp_parser/& -lz/' Makefile"
expect_failure "program of a package that is not listed" \
	"package git does not come with the list" \
	"make_runs 'git --version'"
expect_failure "file of the tests" "No such file or directory" \
	"sed -i '1i #include \"../tests/unit.h\"' base/str.c"
expect_failure "download" "the build opens a connection" \
	"make_runs 'bash -c \": < /dev/tcp/127.0.0.1/9\"'"
expect_failure "file outside target/" "the build writes outside target/" \
	"make_runs 'touch conf/generated.c'"
expect_failure "list without a package that pkg-config knows" \
	"Package 'jansson'" : --without libjansson-dev
expect_failure "list without a package that pkg-config does not know" \
	"package libhttp-parser-dev is not listed" : --without libhttp-parser-dev
expect_failure "list without the C library's headers" \
	"package libc6-dev is not listed" : --without libc6-dev
expect_failure "list with a package that is not used" \
	"package libcunit1-dev is listed; the project names nothing of it" \
	"sed -i 's/^packages = \\[/&\"libcunit1-dev\", /' deploy/system.toml"
exit $failed
