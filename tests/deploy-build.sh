#!/usr/bin/env bash
# Builds a commit by the command of its deploy file, without tests/, and fails
# when the build uses a system package that the deploy file does not list.
#
# usage: tests/deploy-build.sh [--list] [--all PACKAGE] [--without PACKAGE]
#		[COMMIT|DIRECTORY]
#   --list     also print each file used, its package, and how it is used
#   --all      build all programs, tests too, with PACKAGE besides the list; not
#              the archive: ar loads whatever plugins are installed
#   --without  leave PACKAGE off the list
#   COMMIT or DIRECTORY: the sources; default: the tracked files as they are
#
# What is installed on this machine is not trusted. apt tells what a machine with
# no package at all would install for the list; pkg-config finds only the .pc
# files of these packages; strace tells which files and programs the build
# opened, and dpkg which packages they are from. Every such package must come
# with the list. Packages whose headers, libraries or programs the project names
# itself must stand on it, and no others.
set -euo pipefail
cd "$(dirname "$0")/.."

list=
more=
without=
tree=
while [ $# -gt 0 ]; do
	case "$1" in
	--list) list=1 ;;
	--all)
		more=$2
		shift
		;;
	--without)
		without=$2
		shift
		;;
	*) tree=$1 ;;
	esac
	shift
done
tree=${tree:-$(git stash create)}
tree=${tree:-HEAD}

dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
mkdir "$dir/src" "$dir/tmp" "$dir/pc" "$dir/trace"

fail() {
	echo "deploy build: $*"
	exit 1
}

# Value of a key of the deploy file that stands on one line.
deploy_value() {
	sed -n "s/^$1 = //p" "$dir/src/deploy/system.toml"
}

# Installs what is missing of the list, as the deploy machines do.
install_listed() {
	local p missing=()
	for p in "$@"; do
		dpkg-query -W -f '${db:Status-Status}\n' "$p" 2>/dev/null |
			grep -q '^installed$' || missing+=("$p")
	done
	[ ${#missing[@]} -eq 0 ] && return
	apt-get update -q >/dev/null
	DEBIAN_FRONTEND=noninteractive apt-get install -y -q \
		--no-install-recommends "${missing[@]}" >/dev/null ||
		fail "cannot install: ${missing[*]}"
}

# Asks apt what it would install for "$@" if nothing were installed.
simulate() {
	apt-get -o Dir::State::status=/dev/null -s install \
		--no-install-recommends "$@" > "$dir/apt" 2>&1
}

# Prints the essential packages, those of "$@" and what all these depend on.
closure() {
	local all
	all="$(cat "$dir/essential") $*"
	simulate $all || { apt-get update -q >/dev/null && simulate $all; } ||
		fail "apt cannot resolve the list: $(grep '^E:' "$dir/apt")"
	sed -n 's/^Inst \([^ :]*\).*/\1/p' "$dir/apt" | sort -u
}

# Reads paths; prints "PACKAGE PATH" for each, where PATH is the first name on
# the way through its symbolic links that a package owns, or "- PATH". Packages
# name files as they were before /lib and /bin became links, or after.
owners() {
	local path next link
	while read -r path; do
		next=$path
		while :; do
			echo "$path $next"
			[ -L "$next" ] || break
			link=$(readlink "$next")
			case "$link" in
			/*) next=$link ;;
			*) next=$(realpath -s "$(dirname "$next")/$link") ;;
			esac
		done
	done > "$dir/names"
	awk '{
		print $2
		if (sub(/^\/usr\//, "/", $2) || sub(/^\//, "/usr/", $2))
			print $2
	}' "$dir/names" | sort -u | xargs dpkg-query -S 2>/dev/null |
		grep -v '^diversion' | sed 's/[,:][^/]* / /' > "$dir/owned" || true
	awk '
		function bare(path) { sub(/^\/usr\//, "/", path); return path }
		FNR == NR { owner[bare($2)] = $1; next }
		!($1 in found) { found[$1] = "-"; order[++n] = $1 }
		found[$1] == "-" && (bare($2) in owner) { found[$1] = owner[bare($2)] }
		END { for (i = 1; i <= n; i++) print found[order[i]], order[i] }
	' "$dir/owned" "$dir/names"
}

# What the traced build did, one line each: "run PROGRAM PARENT ARGUMENTS",
# "open PATH", "connect ADDRESS".
events() {
	awk -F '"' '
		FNR == 1 { pid = FILENAME; sub(/.*\./, "", pid); prog = "" }
		/^(v?fork|clone3?)\(.* = [0-9]+$/ {
			child = $0; sub(/.* = /, "", child)
			parent[child] = prog == "" ? "of " pid : prog
		}
		/^execve\(.* = 0$/ {
			prog = $2; sub(/.*\//, "", prog)
			args = ""
			for (i = 6; i < NF; i += 2)
				args = args " " $i
			run[++runs] = $2; by[runs] = pid; given[runs] = args
		}
		/^open(at)?\(.* = [0-9]+$/ && !/O_DIRECTORY/ { print "open " $2 }
		/^connect\(.*AF_INET/ { print "connect " $0 }
		END {
			for (i = 1; i <= runs; i++) {
				p = parent[by[i]]
				while (p ~ /^of /)
					p = parent[substr(p, 4)]
				print "run " run[i] " " (p == "" ? "sh" : p) given[i]
			}
		}
	' "$dir"/trace/t.* | sort -u
}

# Headers that the sources read by the build include by name, as the compiler
# finds them with the include paths of that build; not the compiler's own.
direct_headers() {
	local flags name found own
	own=$(cc -print-file-name=include)
	flags=$(awk '/^run [^ ]* (make|sh) .*-c / {
			for (i = 4; i <= NF; i++)
				if ($i ~ /^-[ID]./) print $i
		}' "$dir/events" | sort -u)
	awk '/^open [^\/]*\/?.*\.[ch]$/ { print $2 }' "$dir/events" |
		sed "s|^$dir/src/||" | grep -v '^/' |
		(cd "$dir/src" && xargs sed -n 's/^# *include *<\([^>]*\)>.*/\1/p') |
		sort -u > "$dir/included"
	while read -r name; do
		found=$(cd "$dir/src" && echo "#include <$name>" |
			cc $flags -E -H -x c - 2>&1 >/dev/null | sed -n 's/^\. //p')
		case "$found" in
		"$own"/*) ;;
		*) realpath -s "${found:-/no-file-for/$name}" ;;
		esac
	done < "$dir/included"
}

# Libraries named by -l where programs are linked.
direct_libraries() {
	awk '/^run [^ ]* (make|sh) / && !/ -c / {
			for (i = 4; i <= NF; i++)
				if ($i ~ /^-l/) print substr($i, 3)
		}' "$dir/events" | sort -u |
		while read -r name; do
			realpath -s "$(cc -print-file-name="lib$name.so")"
		done
}

# Modules that pkg-config is asked for.
direct_modules() {
	awk -v dir="$dir/pc/" '/^run [^ ]*pkg-config / {
			for (i = 4; i <= NF; i++)
				if ($i !~ /^-/) print dir $i ".pc"
		}' "$dir/events" | sort -u | xargs -r realpath
}

# Programs that the build command and make start.
direct_programs() {
	awk '/^run [^ ]* (make|sh)( |$)/ { print $2 }' "$dir/events" | sort -u
}

# Files outside the source tree that the build opened or ran, but for the
# machine's own configuration and caches.
system_files() {
	awk '/^(open|run) \// { print $2 }' "$dir/events" |
		grep -vE "^($dir/src|$dir/tmp|/proc|/dev|/etc)/" |
		grep -vE '/gconv-modules\.cache$|/locale-archive$' | sort -u |
		while read -r f; do
			case "$f" in
			"$dir/pc/"*) realpath "$f" ;;
			*) realpath -s "$f" ;;
			esac
		done | sort -u
}

# Compares what was used with the list; prints what is wrong and returns 1.
compare() {
	local p bad=0
	printf '%s\n' $listed | sort > "$dir/listed"
	awk '
		FNR == NR { comes[$1] = 1; next }
		!($1 in comes) {
			print $2 ": package " $1 " does not come with the list"
			bad = 1
		}
		END { exit bad }
	' "$dir/closure" "$dir/used" || bad=1
	cut -d' ' -f1 "$dir/direct" | sort -u > "$dir/owners"
	for p in $(sort -u "$dir/listed" "$dir/essential" |
		comm -13 - "$dir/owners"); do
		echo "package $p is not listed; the project names" \
			"$(sed -n "s/^$p //p" "$dir/direct" | head -3 | xargs)"
		bad=1
	done
	for p in $(comm -23 "$dir/listed" "$dir/owners"); do
		echo "package $p is listed; the project names nothing of it"
		bad=1
	done
	return $bad
}

if [ -d "$tree" ]; then
	cp -r "$tree/." "$dir/src"
else
	git archive "$tree" | tar -x -C "$dir/src"
fi
build=$(deploy_value build | sed 's/^"\(.*\)"$/\1/')
listed=$(deploy_value packages | sed 's/ *#.*//' | tr -d '[]",')
if [ -n "$more" ]; then
	build="make -s -j8 BUILD=target programs"
	listed="$listed $more"
else
	rm -rf "$dir/src/tests" "$dir/src/standin"
fi
[ -n "$build" ] || fail "deploy/system.toml has no build command on one line"
[ -n "$listed" ] || fail "deploy/system.toml lists no package on one line"
command -v strace >/dev/null || fail "strace is not installed"
install_listed $listed
listed=$(printf '%s\n' $listed | grep -vx -- "${without:--}")
dpkg-query -W -f '${Essential} ${Package}\n' | sed -n 's/^yes //p' \
	> "$dir/essential"
closure $listed > "$dir/closure"
while read -r p; do
	dpkg-query -L "$p" 2>/dev/null || true
done < "$dir/closure" | grep '\.pc$' | while read -r f; do
	ln -sf "$f" "$dir/pc/"
done

# Not as root, where that can be chosen.
user=
chmod 755 "$dir"
if [ "$(id -u)" = 0 ]; then
	user="-u nobody"
	chown -R nobody "$dir/src" "$dir/tmp"
fi
sources() {
	(cd "$dir/src" && find . -path ./target -prune -o -print | sort)
}
sources > "$dir/before"
status=0
env -C "$dir/src" -i PATH=/usr/bin:/bin HOME="$dir/src" TMPDIR="$dir/tmp" LANG=C \
	PKG_CONFIG_LIBDIR="$dir/pc" strace $user -ff -qq --seccomp-bpf -s 65536 \
	-e trace=execve,open,openat,connect,fork,vfork,clone,clone3 \
	-e signal=none -o "$dir/trace/t" sh -c "$build" > "$dir/log" 2>&1 || status=$?
if [ $status -ne 0 ]; then
	awk '!seen[$0]++' "$dir/log" | head -20
	fail "it fails with the listed packages alone"
fi
sources | diff "$dir/before" - || fail "it writes outside target/"

events > "$dir/events"
grep '^connect ' "$dir/events" && fail "it opens a connection"
system_files | owners > "$dir/used"
{
	direct_headers
	direct_libraries
	direct_modules
	direct_programs
} | sort -u | owners > "$dir/direct"
[ "$(grep -c . "$dir/used")" -gt 100 ] || fail "the trace names too few files"

if [ -n "$list" ]; then
	awk '
		FNR == NR { direct[$2] = 1; next }
		{ print $1, ($2 in direct) ? "named" : "-", $2 }
	' "$dir/direct" "$dir/used" | sort
fi
compare || fail "the list of packages is wrong"
echo "deploy build: $(grep -c . "$dir/used") system files of" \
	"$(cut -d' ' -f1 "$dir/used" | sort -u | grep -c .) packages," \
	"all on the list of $(echo $listed | wc -w) or dependencies of these"
