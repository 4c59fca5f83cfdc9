# A small deployment for the scripts of review 3: the stand-in of the platform
# and some hosts, all on loopback addresses. Sourced by run.sh from the root of
# the repository. CASE is the folder of the case.
# shellcheck shell=bash

BIN=target/review-3
ENTRY=target/programs/mimosaturn-entry
TROUBLE=${TROUBLE:-1}
RECORD=$CASE/record.txt
PIDS=()
declare -A HOST_PID

cannot_run() {
	echo "cannot run: $1" | tee -a "$RECORD"
	exit 2
}

stop_all() {
	local pid
	for pid in "${PIDS[@]}"; do
		kill -CONT "$pid" 2>/dev/null
		kill -9 "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$WORK"
}

# write_config FILE: the desired state
write_config() {
	cat >"$1" <<-EOF
	{"version": 3,
	 "routes": [
	  {"name": "urgent", "host": "jobs.example", "path_prefix": "/urgent/",
	   "service": "service", "priority": 0, "max_attempts": 4,
	   "slack_factor": 1.5, "target_latency_ms": 500},
	  {"name": "batch", "host": "jobs.example", "path_prefix": "/batch/",
	   "service": "service", "priority": 2, "max_attempts": 4,
	   "slack_factor": 3.0, "target_latency_ms": 3000}],
	 "services": [{"name": "service", "admission_check": true}],
	 "tenants": [{"name": "shop", "api_keys": ["good"],
	              "guaranteed": {"gpu": 16}}]}
	EOF
}

# write_settings N: like deploy/settings.json.template with the bounds of
# ftrpa-atelier
write_settings() {
	cat >"$WORK/host-$1.json" <<-EOF
	{"host": "edge-here-$1", "data_centre": "here", "cores": 0.25,
	 "callers": "127.0.0.1:$((PORT + 50 + $1))",
	 "readiness": "127.0.0.1:$((PORT + 60 + $1))",
	 "metrics": "127.0.0.1:$((PORT + 70 + $1))",
	 "peers": "127.0.0.1:$((PORT + 80 + $1))",
	 "store": "127.0.0.1:$PORT",
	 "store_append_bytes": 2097152, "store_record_bytes": 262144,
	 "advice": "", "memory_mb": 260, "max_fds": 4100,
	 "lease_max_ms": 10000, "stop_task_ms": 400, "restore_ms": 100,
	 "keep_ended_s": 120, "stop_grace_s": 6, "revoke_key_ms": 5000}
	EOF
}

# With COLLECT=1 its output goes through a pipe to a log collector, COLLECTOR[N].
declare -A COLLECTOR
start_host() {
	if [ "${COLLECT:-0}" = 1 ]; then
		rm -f "$WORK/pipe-$1"
		mkfifo "$WORK/pipe-$1"
		cat "$WORK/pipe-$1" >>"$WORK/host-$1.log" &
		COLLECTOR[$1]=$!
		PIDS+=($!)
		"$ENTRY" --settings "$WORK/host-$1.json" >"$WORK/pipe-$1" 2>&1 &
		HOST_PID[$1]=$!
		PIDS+=($!)
		return
	fi
	(
		# The platform limits each process to max_fds.
		ulimit -Sn 4100 2>/dev/null
		exec "$ENTRY" --settings "$WORK/host-$1.json" \
			>>"$WORK/host-$1.log" 2>&1
	) &
	HOST_PID[$1]=$!
	PIDS+=($!)
}

# call HOST METHOD PATH [BODY]: prints the answer, and adds it to the record
call() {
	local answer
	answer=$("$BIN/client" call $((PORT + 50 + $1)) "${@:2}")
	echo "$("$BIN/client" now) client: host $1 $2 $3 -> $answer" >>"$WORK/calls"
	echo "$answer"
}

# test_call PATH: a call to the stand-in
test_call() {
	"$BIN/client" call "$PORT" GET "/test/$1" >/dev/null
}

# new_config FILE: the operator writes a new desired state
new_config() {
	"$BIN/client" call "$PORT" POST /test/config "$(cat "$1")"
	echo "$("$BIN/client" now) operator: $(tr -d '\n\t' <"$1")" >>"$WORK/calls"
}

is_ready() {
	case $("$BIN/client" call $((PORT + 60 + $1)) GET /mimosaturn/readyz) in
	*200) return 0 ;;
	esac
	return 1
}

# wait_state HOST PATH STATE SECONDS
wait_state() {
	local end=$((SECONDS + $4))
	while [ $SECONDS -lt $end ]; do
		case $(call "$1" GET "$2") in
		*"\"$3\""*) return 0 ;;
		esac
		sleep 0.1
	done
	return 1
}

# start_deployment HOSTS WORKERS [SPARES [ID]]: returns when a first job has been
# completed
start_deployment() {
	local i
	[ -x "$ENTRY" ] && [ -x "$BIN/platform" ] ||
		cannot_run "the programs are not built"
	WORK=$(mktemp -d)
	trap stop_all EXIT
	: >"$RECORD"
	PORT=$("$BIN/client" free) || cannot_run "no free ports"
	write_config "$WORK/config.json"
	"$BIN/platform" "$PORT" "$2" "$WORK/config.json" "${3:-0}" "${4:-i}" \
		>"$WORK/platform" 2>&1 &
	PIDS+=($!)
	sleep 0.2
	for ((i = 0; i < $1; i++)); do
		write_settings "$i"
		start_host "$i"
	done
	for ((i = 0; i < 100; i++)); do
		is_ready $(($1 - 1)) && break
		sleep 0.1
	done
	call 0 POST /batch/00000000000000f0 "$(job 1)" >/dev/null
	wait_state 0 /batch/00000000000000f0 completed 15 ||
		cannot_run "the first job is not completed"
}

# job TASKS [FIELDS_OF_THE_STEP]: prints a job of one step
job() {
	printf '{"spec":"scan","steps":[{"count":%d,"cpu":4000,"mem_mb":1000,"gpu":1,"estimate_ms":%d%s}]}' \
		"$1" "${ESTIMATE_MS:-1000}" "${2:-}"
}

# Prints the number of the host that leads, by its log.
leader() {
	local i
	for i in "${!HOST_PID[@]}"; do
		case $(grep -hE '"event":"(office_won|office_left|starting)"' \
			"$WORK/host-$i.log" | tail -1) in
		*office_won*) kill -0 "${HOST_PID[$i]}" 2>/dev/null && echo "$i" ;;
		esac
	done | head -1
}

# finish_record: what the clients and the platform saw
finish_record() {
	{
		echo "TROUBLE=$TROUBLE"
		echo "-- clients (steady clock, ms)"
		cat "$WORK/calls"
		echo "-- platform (ms since its start)"
		cat "$WORK/platform"
	} >>"$RECORD"
}
