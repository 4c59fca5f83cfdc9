#!/usr/bin/env bash
# LOST: a burst of 80 jobs of 20,000 subtasks each. The platform's part is played as DEPLOY
# has it: a process that exceeds `memory_mb` is killed, and restarted after a short delay.
# Exits with 1 if jobs that another tenant has handed in before, and that were accepted,
# have nothing running for 3 s although the service is nearly idle.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/10
. review/standin-2/lib.sh

COUNT=20000 # subtasks of a job of the burst
BURST=80
PAGES_PER_MB=$((1048576 / $(getconf PAGESIZE)))
MEMORY_MB=260 # limits.memory_mb of ftrpa-atelier
IDLE_MS=3000  # "for 3 s, a job has nothing running"
WATCH_S=45    # the burst, and then longer than `finish_s` (14) and `recovery_s` (12)
JOBS=6
STEPS=80

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
sleep 3
begun=$(grep -c ' start task=00000000000000a' "$RECORD")
[ "$begun" -ge "$JOBS" ] || cannot_run "only $begun subtasks were started"

# Six jobs a second: the site has 2.5, and bursts of up to 2.4 times as many.
burst() {
	local n count=20
	[ "$TROUBLE" != 0 ] && count=$COUNT
	for ((n = 1; n <= BURST; n++)); do
		KEY=other call $((n % HOSTS)) POST "/batch/$(printf 'b%015x' "$n")" \
			"{\"spec\":\"ms=1000 cpu=8000 mem=16000 gpu=1\",\"steps\":[{\"count\":$count,\"cpu\":8000,\"mem_mb\":16000,\"gpu\":1,\"estimate_ms\":1000}]}" \
			>/dev/null
		sleep 0.14
	done
}

burst &
PIDS+=($!)
from=$(now)
kills=0
most_mb=0
declare -A killed_on=()
while [ $(($(now) - from)) -lt $((WATCH_S * 1000)) ]; do
	for ((i = 0; i < HOSTS; i++)); do
		pages=0
		{ read -r _ pages _ <"/proc/${HOST_PID[$i]}/statm"; } 2>/dev/null
		mb=$((pages / PAGES_PER_MB))
		[ "$mb" -gt "$most_mb" ] && most_mb=$mb
		[ "$mb" -le "$MEMORY_MB" ] && continue
		note "the platform kills host $i, which uses $mb MB"
		kills=$((kills + 1))
		killed_on[$i]=1
		kill -KILL "${HOST_PID[$i]}"
		wait "${HOST_PID[$i]}" 2>/dev/null
		sleep 0.3
		start_host "$i"
	done
	sleep 0.01
done
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
	if (job !~ /^0+a[0-9]$/) next
	if ($3 == "start") running[job]++
	else { running[job]--; if ($6 == "how=done") done[job]++; since[job] = $1 }
}
END {
	for (job in done) close_gap(job, until)
	for (job in lost) n++
	printf "%d %d\n", n, worst
}' "$RECORD" >"$WORK/result"
read -r lost worst <"$WORK/result"
text="$lost of $JOBS accepted jobs had nothing running for 3 s or more on a service less than half in use, the longest for $worst ms; $kills processes on ${#killed_on[@]} of $HOSTS hosts were killed for their memory (up to $most_mb of $MEMORY_MB MB)"
echo "$text"
note "$text"
[ "$lost" -eq 0 ]
