#!/usr/bin/env bash
# LOST: a client hands in one job of 10,000 occurrences. Exits with 1 if the jobs that
# another tenant has handed in before, and that were accepted, have nothing running for 3 s
# although their subtasks' turn has come and the service is nearly idle.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/6
. review/standin-2/lib.sh

REPEAT=10000
IDLE_MS=3000 # "for 3 s, a job has nothing running"
WATCH_S=40   # longer than `finish_s` (14) and `recovery_s` (12)
JOBS=6
STEPS=40

begin_case
put config <<'EOF'
{"version": 3,
 "routes": [
  {"name": "r-urgent", "host": "jobs.example", "path_prefix": "/urgent/", "service": "service",
   "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 500, "priority": 0,
   "max_attempts": 4, "slack_factor": 1.5, "public": false},
  {"name": "r-batch", "host": "jobs.example", "path_prefix": "/batch/", "service": "service",
   "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 3000, "priority": 2,
   "max_attempts": 4, "slack_factor": 3.0, "public": false}],
 "services": [{"name": "service", "admission_check": true, "standby": false}],
 "tenants": [{"name": "shop", "api_keys": ["good"], "guaranteed": {"gpu": 16}},
             {"name": "archive", "api_keys": ["other"], "guaranteed": {"gpu": 0}}]}
EOF
for i in {0..7}; do
	start_worker "$i"
done
start_hosts

# Jobs of priority 0, each a chain of steps of one subtask of 1 s: at any time one subtask
# of each runs, on 6 of 64 accelerators.
steps=""
for ((k = 0; k < STEPS; k++)); do
	steps+="${steps:+,}{\"count\":1,\"cpu\":8000,\"mem_mb\":16000,\"gpu\":1,\"estimate_ms\":1000"
	[ "$k" -gt 0 ] && steps+=",\"depends_on\":[$((k - 1))]"
	steps+="}"
done
for ((n = 1; n <= JOBS; n++)); do
	status=$(status_of "$(call $((n % HOSTS)) POST "/urgent/00000000000000a$n" \
		"{\"spec\":\"ms=1000 cpu=8000 mem=16000 gpu=1\",\"steps\":[$steps]}")")
	[ "$status" = 200 ] || cannot_run "job a$n was not accepted ($status)"
done
sleep 4
begun=$(grep -c ' start task=00000000000000a' "$RECORD")
[ "$begun" -ge $((2 * JOBS)) ] || cannot_run "only $begun subtasks were started"

repeat=1
[ "$TROUBLE" != 0 ] && repeat=$REPEAT
status=$(status_of "$(KEY=other call 0 POST /batch/00000000000000f1 \
	"{\"spec\":\"ms=1000 cpu=8000 mem=16000 gpu=1\",\"repeat_count\":$repeat,\"interval_ms\":1000,\"steps\":[{\"count\":1,\"cpu\":8000,\"mem_mb\":16000,\"gpu\":1,\"estimate_ms\":1000},{\"count\":1,\"cpu\":8000,\"mem_mb\":16000,\"gpu\":1,\"estimate_ms\":1000}]}")")
[ "$status" = 200 ] || cannot_run "the large job was not accepted ($status)"
from=$(now)
sleep "$WATCH_S"
call 1 GET /urgent/00000000000000a1 >/dev/null
until=$(now)

# Longest time in which a job had nothing running, while under half of the accelerators
# were in use, and the jobs for which it was 3 s or more.
awk -v from="$from" -v until="$until" -v idle_ms="$IDLE_MS" -v steps="$STEPS" -v half=32 '
function close_gap(task, at) {
	if (running[task] == 0 && done[task] < steps && at > from) {
		gap = since[task] > from ? since[task] : from
		if (busy > gap) gap = busy
		gap = used >= half ? 0 : at - gap
		if (gap > worst) worst = gap
		if (gap >= idle_ms) lost[task] = 1
	}
}
$3 == "start" || $3 == "end" {
	job = substr($4, 6, 16)
	if ($3 == "start") { if (job ~ /^0+a[0-9]$/) close_gap(job, $1); used++ }
	else { if (used >= half) busy = $1; used-- }
	if (used > most && $1 > from) most = used
	if (job !~ /^0+a[0-9]$/) next
	if ($3 == "start") running[job]++
	else { running[job]--; if ($6 == "how=done") done[job]++; since[job] = $1 }
}
END {
	for (job in done) close_gap(job, until)
	for (job in lost) n++
	printf "%d %d %d\n", n, worst, most
}' "$RECORD" >"$WORK/result"
read -r lost worst most <"$WORK/result"
changes=$(cat "$WORK"/host-*.log | grep -c '"event":"office_won"')
text="$lost of $JOBS accepted jobs had nothing running for 3 s or more, the longest for $worst ms; at most $most of 64 accelerators were in use; the leadership was won $changes times"
echo "$text"
note "$text"
[ "$lost" -eq 0 ]
