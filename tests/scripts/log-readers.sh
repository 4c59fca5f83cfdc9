#!/usr/bin/env bash
# Tests hosts that run mimosaturn-entry, as real processes, whose log nobody
# reads, or whose reader has ended.
#
# Guards against a host that stands still, ends or cannot start because of its
# log (review/12). No check depends on time: a process is alive, and answers.
cd "$(dirname "$0")/../.." || exit 1
. tests/scripts/lib.sh
. tests/scripts/entry-lib.sh
trap stop_all EXIT

WORK=$(mktemp -d)
FIRST_PORT=$(pick_first_port)
WAIT_S=20
# After this time a program is ended that waits for a reader.
GUARD_S=20
PIPE_BYTES=65536

cat >"$WORK/config.json" <<-END
{"version": 3,
 "routes": [
  {"name": "batch", "host": "jobs.example", "path_prefix": "/batch/",
   "service": "service", "priority": 2, "max_attempts": 4,
   "slack_factor": 3.0, "target_latency_ms": 3000}],
 "tenants": [{"name": "shop", "api_keys": ["good"],
              "guaranteed": {"gpu": 16}}]}
END

# start_with_streams HOST OUT ERR: OUT and ERR are descriptors, or "-" (closed)
start_with_streams() {
	"$BUILD/programs/mimosaturn-entry" --settings "$WORK/host-$1.json" \
		<&- >&"$2" 2>&"$3" &
	PID[$1]=$!
	PIDS+=($!)
}

# An error that the host logs: the settings file that SIGHUP names is invalid.
make_errors() {
	local i
	cp "$WORK/host-$1.json" "$WORK/kept"
	echo "{" >"$WORK/host-$1.json"
	for i in 1 2 3; do
		kill -HUP "${PID[$1]}" 2>/dev/null
		sleep 0.1
	done
	cp "$WORK/kept" "$WORK/host-$1.json"
}

# drops HOST REASON: prints "yes" if lines were left out for this reason
drops() {
	curl -s -m 4 "http://127.0.0.1:$((FIRST_PORT + 60 + $1))/metrics" |
		grep -E "log_lines_dropped_total\{.*reason=\"$2\"\} [1-9]" >/dev/null &&
		echo yes || echo no
}

# check_host NAME HOST JOB
check_host() {
	wait_ready "$2" || return
	make_errors "$2"
	check "$1: answers" "{} 200" "$(submit_small_job "$2" "$3")"
	check "$1: is alive" yes "$(kill -0 "${PID[$2]}" 2>/dev/null && echo yes)"
}

flags_of() {
	sed -n 's/^flags:[[:space:]]*//p' "/proc/$$/fdinfo/$1"
}

"$BUILD/tests/platformd" --port "$FIRST_PORT" --config "$WORK/config.json" \
	>"$WORK/platform.log" 2>&1 &
PIDS+=($!)
sleep 0.3
for ((i = 0; i < 6; i++)); do
	write_entry_settings "$i"
done

# A pipe that nobody reads, which is full from the start and which three hosts
# share. Descriptor 7 holds its reading end.
mkfifo "$WORK/pipe"
exec 7<>"$WORK/pipe" 8>"$WORK/pipe"
head -c "$PIPE_BYTES" /dev/zero | tr '\0' '\n' >&8
flags=$(flags_of 8)
for i in 0 1 2; do
	start_with_streams "$i" 8 8
done
for i in 0 1 2; do
	check_host "full pipe, host $i" "$i" "00000000000000a$i"
	check "full pipe, host $i: counted" yes "$(drops "$i" full)"
done
check "the open description of the others" "$flags" "$(flags_of 8)"

# Programs that cannot start tell it, and end.
timeout -k 1 $GUARD_S "$BUILD/programs/mimosaturn-entry" --nonsense >&8 2>&8
check "mimosaturn-entry with an option that is not known" 2 $?
timeout -k 1 $GUARD_S "$BUILD/programs/mimosaturn-entry" \
	--settings "$WORK/none.json" >&8 2>&8
check "mimosaturn-entry without settings" 2 $?
timeout -k 1 $GUARD_S "$BUILD/programs/mimosaturn-entry" --help >&8 2>&8
check "mimosaturn-entry --help" 0 $?
timeout -k 1 $GUARD_S "$BUILD/programs/mimosaturnd" >&8 2>&8
check "mimosaturnd without settings" 2 $?
timeout -k 1 $GUARD_S "$BUILD/programs/mimosaturnd" --help >&8 2>&8
check "mimosaturnd --help" 0 $?
timeout -k 1 $GUARD_S "$BUILD/programs/mimosaturn" nonsense 2>&8
check "mimosaturn with a command that is not known" 2 $?

# The pipe is read again: the log tells what was left out.
cat <&7 >"$WORK/read" &
PIDS+=($!)
told=no
until=$((SECONDS + WAIT_S))
while [ $SECONDS -lt $until ] && [ $told = no ]; do
	grep -aq "log: left out lines:.* full" "$WORK/read" &&
		grep -aq '"event":"events_dropped".*"full":' "$WORK/read" && told=yes
	sleep 0.1
done
check "a pipe that is read again" yes $told

# A reader that has ended.
mkfifo "$WORK/ended"
exec 6<>"$WORK/ended" 5>"$WORK/ended" 6>&-
start_with_streams 3 5 5
check_host "ended reader" 3 00000000000000a3
check "ended reader: counted" yes "$(drops 3 closed)"

# Streams that are closed at the start: no socket takes their numbers.
start_with_streams 4 - -
check_host "closed streams" 4 00000000000000a4
check "closed streams: counted" yes "$(drops 4 closed)"
for i in 0 1 2; do
	check "closed streams: number $i" /dev/null \
		"$(readlink "/proc/${PID[4]}/fd/$i")"
done

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
