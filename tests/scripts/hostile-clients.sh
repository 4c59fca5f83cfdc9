#!/usr/bin/env bash
# Tests a host that runs mimosaturn-entry against clients that exceed the limits
# (tests/hostile), one kind of client at a time, as real processes.
#
# Guards against a process that ends, or uses up the memory or the descriptors of
# its host, because of what clients send. The bounds are those of the settings:
# the peak of the resident memory stays below memory_mb, and the number of
# descriptors below max_fds.
#
# hostile-clients.sh [KIND...]: the kinds of tests/hostile/main.c, "refusals",
# "peers" (clients that connect to the port for other hosts) and "leader"; all of
# them if none is given
cd "$(dirname "$0")/../.." || exit 1
. tests/scripts/lib.sh
. tests/scripts/entry-lib.sh
trap stop_all EXIT

WORK=$(mktemp -d)
FIRST_PORT=$(pick_first_port)
WAIT_S=15
TARGET=2 # the host that the clients connect to; hosts 0 and 1 are also running
MEMORY_MB=48
# Bound of the resident memory; a build with sanitizers needs more.
BOUND_MB=${BOUND_MB:-$MEMORY_MB}
MAX_FDS=512
CLIENTS=600
BODY_BYTES=262144
BODY_MAX_BYTES=1048576 # that the host accepts
ATTACK_S=4
CLIENT_KINDS="announced chunked whole piecewise headers one-header silent
	pipelined malformed keys"

write_settings() {
	write_entry_settings "$1" \
		", \"memory_mb\": $MEMORY_MB, \"max_fds\": $MAX_FDS"
}

cat >"$WORK/config.json" <<-END
{"version": 3,
 "routes": [
  {"name": "batch", "host": "jobs.example", "path_prefix": "/batch/",
   "service": "service", "priority": 2, "max_attempts": 4,
   "slack_factor": 3.0, "target_latency_ms": 3000}],
 "tenants": [{"name": "shop", "api_keys": ["good"],
              "guaranteed": {"gpu": 16}}]}
END

# stop_entry HOST: ends a host without a graceful stop
stop_entry() {
	kill -9 "${PID[$1]}" 2>/dev/null
	wait "${PID[$1]}" 2>/dev/null
}

# submit ID: see submit_small_job, at the target
submit() {
	submit_small_job "$TARGET" "$1"
}

# Prints the index of the leader among hosts 0 and 1; nothing if it is the target.
find_leader() {
	local i
	for i in 0 1; do
		grep -h -E '"event":"office_(won|left)"' "$WORK/host-$i.log" |
			tail -1 | grep -q office_won && echo "$i"
	done
}

# Waits until host 0 or 1 is the leader, and prints its index.  The target, which
# the previous case killed, may have been the leader until then.
wait_leader() {
	local leader until=$((SECONDS + WAIT_S))
	while [ $SECONDS -lt $until ]; do
		leader=$(find_leader)
		[ -n "$leader" ] && break
		sleep 0.1
	done
	echo "$leader"
}

# Writes the largest number of descriptors of a process to $WORK/fds until the
# process ends.
# watch_descriptors PID
watch_descriptors() {
	local fds largest=0
	echo 0 >"$WORK/fds"
	while [ -d "/proc/$1/fd" ]; do
		fds=("/proc/$1/fd"/*)
		if [ ${#fds[@]} -gt $largest ]; then
			largest=${#fds[@]}
			# Renamed, so that it is never read half written.
			echo "$largest" >"$WORK/fds.new"
			mv "$WORK/fds.new" "$WORK/fds"
		fi
		sleep 0.05
	done
}

# run_clients KIND CLIENTS: runs clients of one kind in the background, on the
# port PORT and with bodies of BYTES, if these are set
run_clients() {
	"$BUILD/tests/hostile" \
		--port "${PORT:-$(entry_callers_port "$TARGET")}" \
		--kind "$1" --clients "$2" --bytes "${BYTES:-$BODY_BYTES}" \
		--seconds "$ATTACK_S" >"$WORK/clients-$1.log" 2>&1 &
	CLIENT_PIDS+=($!)
	PIDS+=($!)
}

# run_case KIND CLIENT-KINDS CLIENTS-PER-KIND [LEADER]: starts the target, runs
# clients, and checks the target.  Kills the host LEADER while the clients run.
run_case() {
	local kind=$1 kinds=$2 clients=$3 leader=${4:-} name peak watcher alive=no
	start_entry "$TARGET"
	wait_ready "$TARGET"
	watch_descriptors "${PID[$TARGET]}" &
	watcher=$!
	CLIENT_PIDS=()
	for name in $kinds; do
		run_clients "$name" "$clients"
	done
	if [ -n "$leader" ]; then
		sleep 1
		stop_entry "$leader"
	fi
	for name in "${CLIENT_PIDS[@]}"; do
		wait "$name" || check "$kind: clients ran" 0 $?
	done
	peak=$(peak_kb "$TARGET")
	kill -0 "${PID[$TARGET]}" 2>/dev/null && alive=yes
	check "$kind: process runs" yes "$alive"
	check_below "$kind: peak of resident memory in KB" \
		$((BOUND_MB * 1024)) "$peak"
	check_below "$kind: descriptors" "$MAX_FDS" "$(cat "$WORK/fds")"
	check "$kind: ordinary request" "{} 200" \
		"$(submit "00000000000000f$((RANDOM % 10))")"
	echo "$kind: peak $((peak / 1024)) MB, $(cat "$WORK/fds") descriptors," \
		"$(cat "$WORK"/clients-*.log | tr '\n' ' ')"
	rm -f "$WORK"/clients-*.log
	stop_entry "$TARGET"
	wait "$watcher"
}

# first_line HEADER-LINES: sends a header and a part of a body to the target, and
# prints the first line of the answer
first_line() {
	exec 3<>"/dev/tcp/127.0.0.1/$(entry_callers_port "$TARGET")"
	printf 'POST /batch/00000000000000e2 HTTP/1.1\r\nHost: %s\r\n%b\r\npart' \
		jobs.example "$1" >&3
	head -1 <&3 | tr -d '\r'
	exec 3>&-
}

# Requests that are refused before their body is received, and one of the largest
# size that clients may send.
check_refusals() {
	local good="Authorization: Token good\\r\\n"
	start_entry "$TARGET"
	wait_ready "$TARGET"
	check "servers whose limits are logged" 4 "$(grep \
		'"event":"client_limits",' "$WORK/host-$TARGET.log" |
		grep -o '"server":"[a-z]*"' | sort -u | wc -l)"
	check "unknown key" "HTTP/1.1 401 " "$(first_line \
		"Authorization: Token bad\\r\\nContent-Length: 1000\\r\\n")"
	check "no key" "HTTP/1.1 401 " \
		"$(first_line "Content-Length: 1000\\r\\n")"
	check "body too large" "HTTP/1.1 413 Request Entity Too Large" \
		"$(first_line "${good}Content-Length: $((BODY_MAX_BYTES + 1))\\r\\n")"
	check "header too large" "HTTP/1.1 431 " "$(first_line \
		"${good}Content-Length: 1000\\r\\nX-Filler: $(printf 'x%.0s' {1..70000})\\r\\n")"
	check "job of a refused request" "{} 410" "$(curl -s -m 4 \
		-H "Host: jobs.example" -H "Authorization: Token good" \
		-w ' %{http_code}' \
		"http://127.0.0.1:$(entry_callers_port "$TARGET")/batch/00000000000000e2")"
	printf '%s%*s' "$SMALL_JOB" $((BODY_BYTES - ${#SMALL_JOB})) "" >"$WORK/body"
	check "largest request" "{} 200" "$(curl -s -m 4 \
		-H "Host: jobs.example" -H "Authorization: Token good" \
		-H "X-Filler: $(printf 'x%.0s' {1..16000})" -H "Expect:" \
		--data-binary "@$WORK/body" -w ' %{http_code}' \
		"http://127.0.0.1:$(entry_callers_port "$TARGET")/batch/00000000000000e3")"
	stop_entry "$TARGET"
}

"$BUILD/tests/platformd" --port "$FIRST_PORT" --config "$WORK/config.json" \
	>"$WORK/platform.log" 2>&1 &
PIDS+=($!)
for host in 0 1 "$TARGET"; do
	write_settings "$host"
done
for host in 0 1; do
	start_entry "$host"
	wait_ready "$host"
done

for kind in ${*:-refusals $CLIENT_KINDS nested numbers peers leader}; do
	if [ "$kind" = refusals ]; then
		check_refusals
	elif [ "$kind" = nested ] || [ "$kind" = numbers ]; then
		BYTES=$BODY_MAX_BYTES run_case "$kind" "$kind" 4
	elif [ "$kind" = peers ]; then
		PORT=$((FIRST_PORT + 70 + TARGET)) run_case "$kind" \
			"chunked piecewise headers silent" $((CLIENTS / 4))
	elif [ "$kind" = leader ]; then
		leader=$(wait_leader)
		check "$kind: number of leaders" 1 "$(wc -w <<<"$leader")"
		run_case "$kind" "$CLIENT_KINDS" $((CLIENTS / 10)) "$leader"
	else
		run_case "$kind" "$kind" "$CLIENTS"
	fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
