# Functions of the scripts of the cases 6 to 10; a run.sh sets site and reads this
# file. A case starts the daemons with the command of the deploy file and stand-ins
# on loopback addresses, in a temporary folder.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
stand=$root/build-review-2/stand
common=$root/review/common-2
names=$common/names.txt
trouble=${TROUBLE:-1}
record=$(cd "$(dirname "$0")" && pwd)/record.txt
# Longest time of a case, in seconds.
longest=110

# Writes a line to the record and to the standard output.
say() {
	echo "$(date +%s.%3N) $*" | tee -a "$record"
}

# Ends the case as one that couldn't run.
cannot_run() {
	say "could not run: $*"
	exit 2
}

# Ends the processes that the case started and that still run: only these are
# among the shell's jobs.
clean_up() {
	local p
	for p in $(jobs -pr); do
		kill -KILL "$p" 2>/dev/null
		wait "$p" 2>/dev/null
	done
	rm -rf "$work"
}

# Waits without another process, which would have to be ended, too.
pause() {
	read -r -t "$1" _ <>"$work/never"
}

# usage: later SECONDS COMMAND... Runs a command in the background, later.
later() {
	local seconds=$1
	shift
	(pause "$seconds" || "$@") 9>&- 2>/dev/null &
}

is_free() {
	! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null
}

# Finds COUNT ports in a row without a listener; sets base.
find_ports() {
	local count=$1 try i
	for try in 1 2 3 4 5 6 7 8 9 10; do
		base=$((10000 + (RANDOM * 32768 + RANDOM) % 20000))
		for ((i = 0; i < count; i++)); do
			is_free $((base + i)) || break
		done
		[ "$i" -eq "$count" ] && return
	done
	cannot_run "no free ports"
}

# Starts the stand-in of the store and the servers.
begin() {
	: >"$record"
	work=$(mktemp -d)
	mkfifo "$work/never" "$work/commands"
	trap clean_up EXIT
	trap 'cannot_run "over $longest s"' TERM
	later "$longest" kill -TERM $$
	[ -x "$stand" ] || cannot_run "run review/build-2.sh first"
	[ -x "$root/target/geraniumslip-routed" ] ||
		cannot_run "run the build of deploy/system.toml first"
	find_ports 40
	store_port=$base
	"$stand" serve "$names" "$store_port" "$record" <"$work/commands" &
	exec 9>"$work/commands"
}

# Sends a command to the store and the servers.
tell() {
	echo "$*" >&9
}

# The bounds of a site, as the platform fills them in.
bounds_of() {
	case "$1" in
	balapan-search)
		echo graceS=6 configApplyMs=3000 drainMs=3000 budgetExtra=56
		;;
	tmo-tisk-grown)
		echo graceS=6 configApplyMs=5000 drainMs=5000 budgetExtra=180 \
			evacuateMs=5000 warmupOverage=1.5 warmupSlack=5
		;;
	esac
	echo retryBudgetRatio=0.2 budgetWindowS=10
}

# usage: settings_of NAME ZONE PORT SEED_PORT. Fills in the template of the
# deploy file for a machine whose ports are PORT and the next three.
settings_of() {
	local b script=()
	for b in $(bounds_of "$site"); do
		script+=(-e "s/{{bounds.${b%=*}}}/${b#*=}/")
	done
	sed -e "s/{{nodeName}}/$1/; s/{{zone}}/$2/; s/{{ip}}:7741/127.0.0.1:$(($3 + 3))/" \
		-e "s/{{listenAddrs.front}}/127.0.0.1:$3/" \
		-e "s/{{listenAddrs.ready}}/127.0.0.1:$(($3 + 1))/" \
		-e "s/{{listenAddrs.control}}/127.0.0.1:$(($3 + 2))/" \
		-e "s/{{#seeds}}.*{{\/seeds}}/\"127.0.0.1:$(($4 + 2))\"/" \
		-e "s/{{platform.address}}/127.0.0.1:$store_port/" \
		"${script[@]}" -e "s/{{[a-zA-Z.]*}}//" \
		"$root/deploy/settings.json.in"
}

# usage: start_daemon NAME ZONE PORT SEED_PORT. Starts a daemon with the command
# of the deploy file; sets daemon to its process.
start_daemon() {
	settings_of "$@" >"$work/$1.conf"
	(cd "$root" && exec target/geraniumslip-routed \
		--settings "$work/$1.conf" >>"$work/$1.log" 2>&1 9>&-) &
	daemon=$!
}

# Whether a GET of a path at a port is answered 200.
is_ok() {
	local line
	exec 4<>"/dev/tcp/127.0.0.1/$1" || return 1
	printf 'GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' "$2" >&4
	read -r -t 1 line <&4
	exec 4>&-
	[[ $line == *" 200 "* ]]
}

# Waits until the daemon with these ports is ready, for 10 s at most.
wait_ready() {
	local i path
	path=$(sed -n 's/^ready=//p' "$names")
	for ((i = 0; i < 100; i++)); do
		is_ok $(($1 + 1)) "$path" 2>/dev/null && return
		pause 0.1
	done
	cannot_run "a daemon isn't ready"
}

# usage: start_server ID SERVICE PORT ZONE SLOTS WORK_MS BODY_BYTES. Its entry is
# that of entry.txt.
start_server() {
	tell server "$1" "$3" "$6" "$7"
	tell put "servers/$1" "$(sed -e "s/SERVICE/$2/; s/PORT/$3/; s/ZONE/$4/" \
		-e "s/SLOTS/$5/" "$common/entry.txt")"
}

# usage: start_callers PORT REQUEST COUNT GAP_MS RATE BUFFER LIMIT_MS [HOLD_MS
# [SECOND]]. Sets callers to their process; see stand.c.
start_callers() {
	local port=$1
	shift
	"$stand" call "$names" "$record" "$port" "$@" 9>&- &
	callers=$!
}

# Whether a process that the case started still runs.
is_running() {
	jobs -pr | grep -qx "$1"
}

# The callers that have got a part of an answer with status 200 when the machine
# ended the connection, before their time limit; each of these requests had been
# answered in full by its server.
cut_answers() {
	local caller n=0
	for caller in $(sed -n 's/.* caller \(r[0-9]*\): \(closed early\|Connection reset by peer\), status 200, .*/\1/p' "$record"); do
		grep -q " answered $caller by " "$record" && n=$((n + 1))
	done
	echo "$n"
}
