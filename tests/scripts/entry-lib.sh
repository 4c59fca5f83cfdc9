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

# write_entry_settings HOST [MORE]: MORE is text that follows the last field
write_entry_settings() {
	cat >"$WORK/host-$1.json" <<-END
	{
		"host": "host-$1", "data_centre": "here", "cores": 0.25,
		"callers": "127.0.0.1:$(entry_callers_port "$1")",
		"readiness": "127.0.0.1:$((FIRST_PORT + 50 + $1))",
		"metrics": "127.0.0.1:$((FIRST_PORT + 60 + $1))",
		"peers": "127.0.0.1:$((FIRST_PORT + 70 + $1))",
		"store": "127.0.0.1:$FIRST_PORT",
		"lease_max_ms": 10000, "stop_task_ms": 400, "restore_ms": 100,
		"keep_ended_s": 120, "stop_grace_s": 6, "revoke_key_ms": 5000${2:-}
	}
	END
}

SMALL_JOB='{"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":10,"estimate_ms":10}]}'

# submit_small_job HOST ID: submits a job to the queue "batch" until it is accepted;
# prints the answer, or the last one after WAIT_S
submit_small_job() {
	local answer until=$((SECONDS + WAIT_S))
	while [ $SECONDS -lt $until ]; do
		answer=$(curl -s -X POST -H "Host: jobs.example" \
			-H "Authorization: Token good" -w ' %{http_code}' -m 4 \
			-d "$SMALL_JOB" \
			"http://127.0.0.1:$(entry_callers_port "$1")/batch/$2")
		[ "$answer" = "{} 200" ] && break
		sleep 0.2
	done
	echo "$answer"
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
