# Functions of the cases' scripts: start the project's hosts as the deploy file does, the
# stand-ins of the platform and the workers, and make calls as a client and an operator.
# A script sets CASE (its folder) and then sources this file.
# shellcheck shell=bash

TROUBLE=${TROUBLE:-1}
ENTRY=target/programs/mimosaturn-entry # `run` of deploy/system.toml
STANDIN=target/review-2
RECORD=$PWD/$CASE/record.txt
HOSTS=${HOSTS:-5}
PIDS=()
declare -A HOST_PID WORKER_PID WORKER_PORT

# Ends the script as a case that could not run.
cannot_run() {
	echo "cannot run: $*" >&2
	exit 2
}

# Milliseconds of the clock that the record uses (CLOCK_BOOTTIME).
now() {
	local seconds rest
	read -r seconds rest </proc/uptime
	echo $((10#${seconds/./} * 10))
}

note() {
	echo "$(now) script $*" >>"$RECORD"
}

stop_all() {
	local pid
	for pid in "${PIDS[@]}"; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$WORK"
}

# The first of 100 ports below the ephemeral range on which nothing listens.
pick_ports() {
	local first address rest used=" "
	while read -r _ address rest; do
		[ "${address##*:}" = local_address ] || used+="$((16#${address##*:})) "
	done < <(tail -n +2 /proc/net/tcp)
	for _ in {1..50}; do
		first=$(((RANDOM % 200 + 100) * 100))
		for ((rest = first; rest < first + 100; rest++)); do
			[[ $used == *" $rest "* ]] && continue 2
		done
		echo "$first"
		return
	done
}

begin_case() {
	[ -x "$ENTRY" ] || cannot_run "the deploy file is not built"
	[ -x "$STANDIN/worker" ] || cannot_run "run review/build-2.sh"
	WORK=$(mktemp -d) || cannot_run "no temporary folder"
	trap 'stop_all 2>/dev/null' EXIT
	: >"$RECORD"
	FIRST_PORT=$(pick_ports)
	[ -n "$FIRST_PORT" ] || cannot_run "no free ports"
	STORE=http://127.0.0.1:$FIRST_PORT
	"$STANDIN/platform" --port "$FIRST_PORT" --record "$RECORD" \
		>"$WORK/platform.log" 2>&1 &
	PIDS+=($!)
	for _ in {1..100}; do
		curl -s -o /dev/null -m 1 "$STORE/" && break
		sleep 0.05
	done
	note "case begins, TROUBLE=$TROUBLE"
}

# put KEY: stores the text on standard input as the operator.
put() {
	curl -s -o /dev/null -m 5 --data-binary @- \
		"$STORE/test/put?topic=keyed.op&key=$1" || cannot_run "the store is down"
}

# start_worker NUMBER [OPTIONS]: worker w-NUMBER at a port of its own, which it keeps.
start_worker() {
	local number=$1
	shift
	WORKER_PORT[$number]=$((FIRST_PORT + 10 + number))
	"$STANDIN/worker" --id "w-$number" --port "${WORKER_PORT[$number]}" \
		--platform-port "$FIRST_PORT" --record "$RECORD" "$@" \
		>>"$WORK/worker-$number.log" 2>&1 &
	WORKER_PID[$number]=$!
	PIDS+=($!)
}

# Settings as deploy/settings.json.template makes them, with the bounds of
# ftrpa-atelier.
write_settings() {
	cat >"$WORK/host-$1.json" <<-EOF
	{
		"host": "edge-here-$1", "data_centre": "here", "cores": 0.25,
		"callers": "127.0.0.1:$((FIRST_PORT + 40 + $1))",
		"readiness": "127.0.0.1:$((FIRST_PORT + 50 + $1))",
		"metrics": "127.0.0.1:$((FIRST_PORT + 60 + $1))",
		"peers": "127.0.0.1:$((FIRST_PORT + 70 + $1))",
		"store": "127.0.0.1:$FIRST_PORT",
		"store_append_bytes": 2097152, "store_record_bytes": 262144,
		"advice": "127.0.0.1:$((FIRST_PORT + 1))",
		"memory_mb": 260, "max_fds": 4100,
		"lease_max_ms": 10000, "stop_task_ms": 400, "restore_ms": 100,
		"keep_ended_s": 120, "stop_grace_s": 6, "revoke_key_ms": 5000
	}
	EOF
}

start_host() {
	write_settings "$1"
	MIMOSATURN_BOOT=$WORK/host-$1.json "$ENTRY" >>"$WORK/host-$1.log" 2>&1 &
	HOST_PID[$1]=$!
	PIDS+=($!)
}

ready_status() {
	curl -s -o /dev/null -m 1 -w '%{http_code}' \
		"http://127.0.0.1:$((FIRST_PORT + 50 + $1))/mimosaturn/readyz"
}

start_hosts() {
	local i
	for ((i = 0; i < HOSTS; i++)); do
		start_host "$i"
	done
	for ((i = 0; i < HOSTS; i++)); do
		wait_ready "$i"
	done
	# The time from the start of the machines to that of the traffic; there is a leader.
	sleep 3
	[ -n "$(leader)" ] || cannot_run "no host leads"
}

wait_ready() {
	for _ in {1..200}; do
		[ "$(ready_status "$1")" = 200 ] && return
		sleep 0.05
	done
	cannot_run "host $1 is not ready"
}

# Number of the host that leads, by the hosts' own logs. Only used to choose the host
# that is stopped.
leader() {
	local i
	for ((i = 0; i < HOSTS; i++)); do
		grep -hE '"event":"(office_won|office_left|starting)"' "$WORK/host-$i.log" |
			tail -1 | grep -q office_won && kill -0 "${HOST_PID[$i]}" 2>/dev/null &&
			echo "$i" && return
	done
}

# call HOST METHOD PATH [BODY]: a client's call; prints body and status, and records both.
call() {
	local answer
	answer=$(curl -s -X "$2" -H "Host: ${URL_HOST:-jobs.example}" \
		-H "Authorization: Token ${KEY:-good}" -H 'Mimosaturn-Deadline-Ms: 3000' \
		-H 'Content-Type: application/json' ${4:+-d "$4"} -m 4 -w ' %{http_code}' \
		"http://127.0.0.1:$((FIRST_PORT + 40 + $1))$3")
	note "call host=$1 $2 $3 -> $answer"
	echo "$answer"
}

status_of() {
	echo "${1##* }"
}
