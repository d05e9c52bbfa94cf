# Functions of the scripts of the cases 6 to 10; a run.sh reads this file. A
# case starts the daemons with the command of the deploy file and stand-ins on
# loopback addresses, in a temporary folder.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
stand=$root/build-review-2/stand
names=$root/review/common-2/names.txt
trouble=${TROUBLE:-1}
here=$(cd "$(dirname "$0")" && pwd)
record=$here/record.txt
pids=()

# Ends the case as one that couldn't run.
cannot_run() {
	echo "could not run: $*" | tee -a "$record"
	exit 2
}

# Ends all processes that the case started.
clean_up() {
	local p
	for p in "${pids[@]}"; do
		kill -KILL "$p" 2>/dev/null
		wait "$p" 2>/dev/null
	done
	rm -rf "$work"
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

begin() {
	: >"$record"
	work=$(mktemp -d)
	trap clean_up EXIT
	[ -x "$stand" ] || cannot_run "run review/build-2.sh first"
	[ -x "$root/target/geraniumslip-routed" ] ||
		cannot_run "run the build of deploy/system.toml first"
	find_ports 40
	store_port=$base
	mkfifo "$work/commands"
	"$stand" serve "$names" "$store_port" "$record" <"$work/commands" &
	pids+=($!)
	exec 9>"$work/commands"
}

# Sends a command to the store and the servers.
tell() {
	echo "$*" >&9
}

# usage: settings_of NAME ZONE PORT SEED_PORT. Fills in the template of the
# deploy file for a machine whose ports are PORT and the next three.
settings_of() {
	sed -e "s/{{nodeName}}/$1/; s/{{zone}}/$2/; s/{{ip}}:7741/127.0.0.1:$(($3 + 3))/" \
		-e "s/{{listenAddrs.front}}/127.0.0.1:$3/" \
		-e "s/{{listenAddrs.ready}}/127.0.0.1:$(($3 + 1))/" \
		-e "s/{{listenAddrs.control}}/127.0.0.1:$(($3 + 2))/" \
		-e "s/{{#seeds}}.*{{\/seeds}}/\"127.0.0.1:$(($4 + 2))\"/" \
		-e "s/{{platform.address}}/127.0.0.1:$store_port/" \
		-e "s/{{bounds.graceS}}/6/; s/{{bounds.configApplyMs}}/3000/" \
		-e "s/{{bounds.drainMs}}/3000/; s/{{bounds.retryBudgetRatio}}/0.2/" \
		-e "s/{{bounds.budgetExtra}}/58/; s/{{bounds.budgetWindowS}}/10/" \
		-e "s/{{[a-zA-Z.]*}}//" "$root/deploy/settings.json.in"
}

# usage: start_daemon NAME ZONE PORT SEED_PORT. Sets daemon to its process.
start_daemon() {
	settings_of "$@" >"$work/$1.conf"
	(cd "$root" && exec target/geraniumslip-routed \
		--settings "$work/$1.conf" >>"$work/$1.log" 2>&1 9>&-) &
	daemon=$!
	pids+=("$daemon")
}

# Whether a GET of a path at a port is answered 200.
is_ok() {
	local line
	exec 4<>"/dev/tcp/127.0.0.1/$1" || return 1
	printf 'GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' "$2" >&4
	read -r -t 2 line <&4
	exec 4>&-
	[[ $line == *" 200 "* ]]
}

# Waits until the daemon with these ports is ready.
wait_ready() {
	local i
	for ((i = 0; i < 100; i++)); do
		is_ok $(($1 + 1)) "$(sed -n 's/^ready=//p' "$names")" \
			2>/dev/null && return
		sleep 0.1
	done
	cannot_run "a daemon isn't ready"
}

# usage: entry SERVICE PORT ZONE [STATE [SEQ]]. The entry of a server, which
# the text entry.txt holds.
entry() {
	sed -e "s/SERVICE/$1/; s/PORT/$2/; s/ZONE/$3/; s/STATE/${4:-ready}/" \
		-e "s/SEQ/${5:-1}/" "$root/review/common-2/entry.txt"
}

# usage: start_server ID SERVICE PORT ZONE WORK_MS BODY_BYTES
start_server() {
	tell server "$1" "$3" "$5" "$6"
	tell put "servers/$1" "$(entry "$2" "$3" "$4")"
}

say() {
	echo "$*" | tee -a "$record"
}
