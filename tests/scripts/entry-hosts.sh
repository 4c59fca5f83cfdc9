#!/usr/bin/env bash
# Tests hosts that run mimosaturn-entry, as real processes, against
# tests/platformd: answers to clients, loss of the leader, a graceful stop, an
# evacuation, and invalid settings.  The setting admission_control is that in
# ADMISSION.
cd "$(dirname "$0")/../.." || exit 1
. tests/scripts/lib.sh
. tests/scripts/entry-lib.sh
trap stop_all EXIT

WORK=$(mktemp -d)
FIRST_PORT=$(pick_first_port)
HOST_COUNT=6
ADMISSION=${ADMISSION:-off}
WAIT_S=15 # limit of wait_ready and wait_state

LONG_HOST=jobs-of-a-customer-with-a-long-name-and-several-labels.in.example

write_settings() {
	write_entry_settings "$1" \
		", \"admission_control\": \"$ADMISSION\", \"evacuation_ms\": 5000"
}

cat >"$WORK/config.json" <<-EOF
{"version": 3,
 "routes": [
  {"name": "urgent", "host": "jobs.example", "path_prefix": "/urgent/",
   "service": "service", "priority": 0, "max_attempts": 4,
   "slack_factor": 1.5, "target_latency_ms": 500},
  {"name": "batch", "host": "jobs.example", "path_prefix": "/batch/",
   "service": "service", "priority": 2, "max_attempts": 4,
   "slack_factor": 3.0, "target_latency_ms": 3000},
  {"name": "batch of a customer whose name has more than 47 bytes",
   "host": "$LONG_HOST", "path_prefix": "/batch/",
   "service": "service", "priority": 2, "max_attempts": 4,
   "slack_factor": 3.0, "target_latency_ms": 3000}],
 "tenants": [{"name": "shop", "api_keys": ["good"],
              "guaranteed": {"gpu": 16}}]}
EOF

# call HOST METHOD PATH [BODY]: prints the body and the status.  Uses the API key
# in KEY and the host name of the URL in URL_HOST, if set.
call() {
	curl -s -X "$2" -H "Host: ${URL_HOST:-jobs.example}" \
		-H "Authorization: Token ${KEY:-good}" -d "${4:-}" \
		-w ' %{http_code}' -m 4 \
		"http://127.0.0.1:$(entry_callers_port "$1")$3"
}

# wait_state HOST PATH STATE: prints the state, or the last answer if it differs
wait_state() {
	local answer until=$((SECONDS + WAIT_S))
	while [ $SECONDS -lt $until ]; do
		answer=$(call "$1" GET "$2")
		case "$answer" in
		*"\"$3\""*)
			echo "$3"
			return
			;;
		esac
		sleep 0.05
	done
	echo "$answer after $WAIT_S s"
}

# wait_count EVENT NUMBER: waits until the hosts have logged the event as often,
# and prints how often they have
wait_count() {
	local count until=$((SECONDS + WAIT_S))
	while [ $SECONDS -lt $until ]; do
		count=$(cat "$WORK"/host-*.log | grep -c "\"event\":\"$1\"")
		[ "$count" -ge "$2" ] && break
		sleep 0.05
	done
	echo "$count"
}

# evacuate 1: evacuates the data centre of all servers; 0: ends this
evacuate() {
	curl -s -m 4 "http://127.0.0.1:$FIRST_PORT/test/evacuate?on=$1"
}

# Prints the index of the running host that is the leader according to its log, if
# there is one.  A host logs office_won when it becomes the leader, and office_left
# when it stops being the leader. A host that was killed and started again does not
# lead.
logged_leader() {
	local i last
	for i in $(seq 0 $((HOST_COUNT - 1))); do
		last=$(grep -h -E '"event":"(office_won|office_left|starting)"' \
			"$WORK/host-$i.log" | tail -1)
		case "$last" in
		*office_won*)
			kill -0 "${PID[$i]}" 2>/dev/null && echo "$i"
			;;
		esac
	done | head -1
}

# Prints the index of the leader; waits for one while the leadership changes.
find_leader() {
	local found until=$((SECONDS + WAIT_S))
	while [ $SECONDS -lt $until ]; do
		found=$(logged_leader)
		if [ -n "$found" ]; then
			echo "$found"
			return
		fi
		sleep 0.05
	done
	echo "no host leads after $WAIT_S s" >&2
}

# job TASKS ESTIMATE_MS [MORE_FIELDS]: prints a job of one step
job() {
	printf '{"spec":"scan","steps":[{"count":%d,"cpu":4000,"mem_mb":1000,"gpu":1,"estimate_ms":%d%s}]}' \
		"$1" "$2" "${3:-}"
}

"$BUILD/tests/platformd" --port "$FIRST_PORT" --config "$WORK/config.json" \
	>"$WORK/platform.log" 2>&1 &
PIDS+=($!)
for i in $(seq 0 $((HOST_COUNT - 1))); do
	write_settings "$i"
	start_entry "$i"
done
for i in $(seq 0 $((HOST_COUNT - 1))); do
	wait_ready "$i"
done

# A submitted job completes, and other hosts show its state.
check "submission" "{} 200" \
	"$(call 0 POST /urgent/00000000000000a1 "$(job 3 300 ',"gang":true')")"
check "completion on another host" completed "$(wait_state 1 /urgent/00000000000000a1 completed)"
check "resubmission on a third host" "{} 200" \
	"$(call 2 POST /urgent/00000000000000a1 "$(job 3 300 ',"gang":true')")"
check "state after the resubmission" '{"state":"completed"} 200' \
	"$(call 2 GET /urgent/00000000000000a1)"
check "pending jobs of a route" '{"pending":0} 200' "$(call 0 GET /urgent/)"

# A route whose names have more than 47 bytes (review/13 and a known failure).
check "long host name" "{} 200" \
	"$(URL_HOST=$LONG_HOST call 1 POST /batch/00000000000000a7 "$(job 1 100)")"
check "job of a long host name" completed \
	"$(URL_HOST=$LONG_HOST wait_state 2 /batch/00000000000000a7 completed)"

# Ids of jobs with capital letters, which others that differ in case do not share.
check "id with capitals" "{} 200" \
	"$(call 1 POST /batch/00000000000000FF "$(job 1 100)")"
check "job with capitals in its id" completed \
	"$(wait_state 2 /batch/00000000000000FF completed)"
check "the same id in small letters" "{} 410" "$(call 0 GET /batch/00000000000000ff)"

# Invalid requests are refused with the right status.
check "unknown route" "{} 404" "$(call 0 POST /other/00000000000000a2 "$(job 1 1)")"
check "unknown job" "{} 410" "$(call 0 GET /urgent/00000000000000ff)"
check "wrong API key" "{} 401" \
	"$(KEY=bad call 0 POST /urgent/00000000000000a2 "$(job 1 1)")"
check "malformed body" "{} 400" "$(call 0 POST /urgent/00000000000000a2 '{"spec":')"
check "malformed id" "{} 400" "$(call 0 POST /urgent/xyz "$(job 1 1)")"
check "bad method" "{} 405" "$(call 0 PUT /urgent/00000000000000a2 "$(job 1 1)")"

# A cancelled job stays cancelled.
check "long job" "{} 200" "$(call 0 POST /batch/00000000000000b1 "$(job 2 60000)")"
check "active" active "$(wait_state 1 /batch/00000000000000b1 active)"
check "cancel" "{} 200" "$(call 1 DELETE /batch/00000000000000b1)"
check "cancelled" cancelled "$(wait_state 2 /batch/00000000000000b1 cancelled)"

# The leader is killed while a job of two steps runs.
check "submission of a job with two steps" "{} 200" "$(call 1 POST /batch/00000000000000c1 \
	'{"spec":"x","steps":[{"count":4,"cpu":1000,"mem_mb":10,"estimate_ms":1500},{"count":2,"cpu":1000,"mem_mb":10,"estimate_ms":300,"depends_on":[0]}]}')"
check "job with two steps active" active "$(wait_state 1 /batch/00000000000000c1 active)"
leader=$(find_leader)
other=$(((leader + 1) % HOST_COUNT))
kill -9 "${PID[$leader]}"
wait "${PID[$leader]}" 2>/dev/null
check "completion after the leader was killed" completed \
	"$(wait_state "$other" /batch/00000000000000c1 completed)"
start_entry "$leader"
wait_ready "$leader"

# A graceful stop of the leader succeeds, and its jobs go on.
leader=$(find_leader)
other=$(((leader + 1) % HOST_COUNT))
check "submission before the leader is stopped" "{} 200" \
	"$(call "$other" POST /batch/00000000000000d1 "$(job 2 1500)")"
kill -TERM "${PID[$leader]}"
sleep 0.3
check "not ready while stopping" 503 "$(readiness_status "$leader")"
wait "${PID[$leader]}"
check "exit status of the stopped leader" 0 $?
check "completion after the leader was stopped" completed \
	"$(wait_state "$other" /batch/00000000000000d1 completed)"

# While the data centre is evacuated, the next leader starts nothing there either;
# a task that runs there goes on. Afterwards the job that has waited is started.
start_entry "$leader"
wait_ready "$leader"
leader=$(find_leader)
other=$(((leader + 1) % HOST_COUNT))
check "submission before the evacuation" "{} 200" \
	"$(call "$other" POST /batch/00000000000000e1 "$(job 1 4000)")"
check "active before the evacuation" active \
	"$(wait_state "$other" /batch/00000000000000e1 active)"
evacuate 1
check "evacuation" 1 "$(wait_count zone_evacuated 1)"
check "submission during the evacuation" "{} 200" \
	"$(call "$other" POST /batch/00000000000000e2 "$(job 1 100)")"
kill -9 "${PID[$leader]}"
wait "${PID[$leader]}" 2>/dev/null
check "evacuation as read by the next leader" 2 "$(wait_count zone_evacuated 2)"
check "completion during the evacuation" completed \
	"$(wait_state "$other" /batch/00000000000000e1 completed)"
check "waiting during the evacuation" '{"state":"queued"} 200' \
	"$(call "$other" GET /batch/00000000000000e2)"
evacuate 0
check "end of the evacuation" 1 "$(wait_count zone_restored 1)"
check "completion after the evacuation" completed \
	"$(wait_state "$other" /batch/00000000000000e2 completed)"

# The message for invalid settings names the field; metrics are served.
sed 's/"store": "[^"]*"/"store": "nowhere"/' "$WORK/host-0.json" \
	>"$WORK/bad.json"
check "invalid settings" "field store: not an address and a port" \
	"$("$BUILD/programs/mimosaturn-entry" --settings "$WORK/bad.json" 2>&1)"
sed 's/"admission_control": "[^"]*"/"admission_control": true/' \
	"$WORK/host-0.json" >"$WORK/bad.json"
check "invalid mode" "field admission_control: not off, confirm or on" \
	"$("$BUILD/programs/mimosaturn-entry" --settings "$WORK/bad.json" 2>&1)"
check "metrics" 1 "$(curl -s "http://127.0.0.1:$((FIRST_PORT + 60 + other))/metrics" |
	grep -c 'caller_answers_total{code="200"}')"
check "log lines are JSON objects" 0 "$(cat "$WORK"/host-*.log | grep '^{' |
	grep -vcE '^\{"event":"[a-z_]+","at_ms":[0-9]+,"clock_ms":[0-9]+,.*\}$')"

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
