# Functions for scripts that run mimosaturn-entry hosts on the loopback interface,
# and count checks.  Sourced after lib.sh; FIRST_PORT, WORK and WAIT_S are set by
# the script.
# shellcheck shell=bash

passed=0
failed=0

# Counts a check as passed or failed.
# check NAME EXPECTED GOT
check() {
	if [ "$2" = "$3" ]; then
		passed=$((passed + 1))
	else
		failed=$((failed + 1))
		echo "$1: expected '$2', got '$3'"
	fi
}

# check_below NAME BOUND GOT
check_below() {
	if [ "$3" -lt "$2" ]; then
		passed=$((passed + 1))
	else
		failed=$((failed + 1))
		echo "$1: expected less than $2, got $3"
	fi
}

# Prints the port on which a host answers clients (the port of its setting
# callers).
entry_callers_port() {
	echo $((FIRST_PORT + 40 + $1))
}

declare -A PID
start_entry() {
	"$BUILD/programs/mimosaturn-entry" --settings "$WORK/host-$1.json" \
		>>"$WORK/host-$1.log" 2>&1 &
	PID[$1]=$!
	PIDS+=($!)
}

# Prints the HTTP status of a host's readiness check.
readiness_status() {
	curl -s -o /dev/null -m 1 -w '%{http_code}' \
		"http://127.0.0.1:$((FIRST_PORT + 50 + $1))/mimosaturn/readyz"
}

# Waits until a host is ready.
wait_ready() {
	local until=$((SECONDS + WAIT_S))
	while [ $SECONDS -lt $until ]; do
		[ "$(readiness_status "$1")" = 200 ] && return 0
		sleep 0.05
	done
	echo "host $1 was not ready after $WAIT_S s" >&2
	return 1
}

# Prints the peak of the resident memory of a host in KB; of a process that has
# ended, more than each bound.
peak_kb() {
	sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB/\1/p' \
		"/proc/${PID[$1]}/status" 2>/dev/null | grep . ||
		echo 999999999
}
