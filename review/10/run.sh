#!/usr/bin/env bash
# LIMIT: jobs are cancelled while the machine that leads is stopped (roll_term). Exits with
# 1 if a start brings a worker that doesn't guard its capacity over it.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/10
. review/standin-2/lib.sh

ROUNDS=6
STOP_MS=380 # a stop takes at most stop_timeout_ms, 400 in ftrpa-atelier

begin_case
put config <<'EOF'
{"version": 3,
 "routes": [{"name": "r-jobs", "host": "jobs.example", "path_prefix": "/jobs/",
   "service": "service", "kind": "non_idempotent", "timeout_ms": 3000,
   "target_latency_ms": 3000, "priority": 1, "max_attempts": 4, "slack_factor": 3.0,
   "public": false}],
 "services": [{"name": "service", "admission_check": false, "standby": false}],
 "tenants": [{"name": "shop", "api_keys": ["good"], "guaranteed": {"gpu": 0}}]}
EOF
for i in {0..3}; do
	start_worker "$i" --unguarded --stop-ms "$STOP_MS"
done
start_hosts

# job HOST NUMBER: a job that takes one whole worker until it is cancelled
job() {
	local status
	status=$(status_of "$(call "$1" POST "/jobs/$(printf '%016x' "$2")" '{"spec":"ms=600000 cpu=60000 mem=200000 gpu=8","steps":[{"count":1,"cpu":60000,"mem_mb":200000,"gpu":8,"estimate_ms":600000}]}')")
	[ "$status" = 200 ] || cannot_run "job $2 was not accepted ($status)"
}

# Four jobs run, the others wait. Each round cancels the four, which the next four follow.
for ((n = 1; n <= 4 * ROUNDS + 4; n++)); do
	job $((n % HOSTS)) "$n"
	[ "$n" -eq 4 ] && sleep 1
done
sleep 2
for ((round = 0; round < ROUNDS; round++)); do
	host=$(leader)
	[ -n "$host" ] || cannot_run "no host leads"
	other=$(((host + 1) % HOSTS))
	running=$(grep -oE ' (start|end) task=[0-9a-f]{16}' "$RECORD" | sed 's/.*task=//' |
		sort | uniq -c | awk '$1 == 1 {print $2}')
	cancels=()
	for id in $running; do
		call "$other" DELETE "/jobs/$id" >/dev/null &
		cancels+=($!)
	done
	wait "${cancels[@]}"
	if [ "$TROUBLE" != 0 ]; then
		note "SIGTERM for host $host"
		kill -TERM "${HOST_PID[$host]}"
		wait "${HOST_PID[$host]}"
		start_host "$host"
		wait_ready "$host"
	fi
	sleep 3
done

starts=$(grep -c ' start task=' "$RECORD")
[ "$starts" -ge $((2 * ROUNDS)) ] || cannot_run "only $starts subtasks were started"
over=$(grep -c ' start task=.* OVER$' "$RECORD")
echo "$starts starts, $over of them beyond the capacity of the worker"
note "$starts starts, $over of them beyond the capacity of the worker"
[ "$over" -eq 0 ]
