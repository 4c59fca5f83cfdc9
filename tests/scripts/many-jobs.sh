#!/usr/bin/env bash
# Tests hosts that run mimosaturn-entry, as real processes, with more large jobs
# than their memory takes.
#
# Guards against a process that ends because of jobs that were accepted: jobs
# beyond the budget for their memory must be refused with Retry-After before they
# are stored, and a smaller host that is started later must be able to lead.
cd "$(dirname "$0")/../.." || exit 1
. tests/scripts/lib.sh
. tests/scripts/entry-lib.sh
trap stop_all EXIT

WORK=$(mktemp -d)
FIRST_PORT=$(pick_first_port)
WAIT_S=20
HOST_COUNT=3
SMALL=3 # the smaller host, which is started later
MEMORY_MB=260
SMALL_MEMORY_MB=120
# Bound of the resident memory of the smaller host; a build with sanitizers needs
# more.
BOUND_MB=${BOUND_MB:-$SMALL_MEMORY_MB}
JOBS_MAX=600
REFUSALS_WANTED=20
STEPS=256 # the most that a job may have

# write_settings HOST MEMORY_MB
write_settings() {
	write_entry_settings "$1" \
		", \"store_record_bytes\": 262144, \"memory_mb\": $2"
}

cat >"$WORK/config.json" <<-END
{"version": 3,
 "routes": [
  {"name": "urgent", "host": "jobs.example", "path_prefix": "/urgent/",
   "service": "service", "priority": 0, "max_attempts": 4,
   "slack_factor": 1.5, "target_latency_ms": 500},
  {"name": "batch", "host": "jobs.example", "path_prefix": "/batch/",
   "service": "service", "priority": 2, "max_attempts": 4,
   "slack_factor": 3.0, "target_latency_ms": 3000}],
 "tenants": [{"name": "shop", "api_keys": ["good"],
              "guaranteed": {"gpu": 16}}]}
END

# post HOST PATH FILE: prints the status, and Retry-After if there is one
post() {
	curl -s -o /dev/null -D "$WORK/header" -X POST -m 5 \
		-H "Host: jobs.example" -H "Authorization: Token good" \
		-H "Expect:" --data-binary "@$3" -w '%{http_code}' \
		"http://127.0.0.1:$(entry_callers_port "$1")$2"
	sed -n 's/^[Rr]etry-[Aa]fter: *\([0-9]*\).*/ \1/p' "$WORK/header"
}

# Waits until a host schedules; prints "yes" or "no".
wait_leads() {
	local until=$((SECONDS + WAIT_S))
	while [ $SECONDS -lt $until ]; do
		grep -q '"event":"office_won"' "$WORK/host-$1.log" && break
		sleep 0.1
	done
	grep -q '"event":"office_won"' "$WORK/host-$1.log" && echo yes || echo no
}

write_jobs() {
	local k steps=""
	for ((k = 0; k < STEPS; k++)); do
		steps+="${steps:+,}{\"count\":1,\"cpu\":1000,\"mem_mb\":10,\"estimate_ms\":600000"
		[ "$k" -gt 0 ] && steps+=",\"depends_on\":[$((k - 1))]"
		steps+="}"
	done
	echo "{\"spec\":\"$(printf 'x%.0s' {1..3900})\",\"steps\":[$steps]}" \
		>"$WORK/large.json"
	echo '{"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":10,"estimate_ms":10}]}' \
		>"$WORK/small.json"
}

# Cancels all jobs that were accepted, at the smaller host.
cancel_all() {
	local n
	for ((n = 1; n <= accepted + refused; n++)); do
		curl -s -o /dev/null -X DELETE -m 5 -H "Host: jobs.example" \
			-H "Authorization: Token good" \
			"http://127.0.0.1:$(entry_callers_port "$SMALL")/batch/$(printf 'b%015x' "$n")"
	done
}

# Prints the resident memory of a host in KB.
rss_kb() {
	sed -n 's/^VmRSS:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/${PID[$1]}/status"
}

# Prints how often the smaller host has given memory back, as its jobs need less.
times_given_back() {
	local times
	times=$(curl -s -m 2 \
		"http://127.0.0.1:$((FIRST_PORT + 60 + SMALL))/metrics" |
		sed -n 's/^[a-z_]*memory_given_back_total \([0-9]*\)$/\1/p')
	echo "${times:-0}"
}

"$BUILD/tests/platformd" --port "$FIRST_PORT" --config "$WORK/config.json" \
	>"$WORK/platform.log" 2>&1 &
PIDS+=($!)
write_jobs
for ((host = 0; host < HOST_COUNT; host++)); do
	write_settings "$host" "$MEMORY_MB"
	start_entry "$host"
done
for ((host = 0; host < HOST_COUNT; host++)); do
	wait_ready "$host"
done

accepted=0
refused=0
odd=0
for ((n = 1; n <= JOBS_MAX && refused < REFUSALS_WANTED; n++)); do
	answer=$(post $((n % HOST_COUNT)) "/batch/$(printf 'b%015x' "$n")" \
		"$WORK/large.json")
	case $answer in
	200) accepted=$((accepted + 1)) ;;
	"503 "[1-9]*) refused=$((refused + 1)) ;;
	*) odd=$((odd + 1)) ;;
	esac
done
check "a large job is accepted" 1 $((accepted > 0))
check "jobs beyond the budget are refused" "$REFUSALS_WANTED" "$refused"
check "other answers" 0 "$odd"
for ((host = 0; host < HOST_COUNT; host++)); do
	check_below "peak of resident memory of host $host in KB" \
		$((MEMORY_MB * 1024)) "$(peak_kb "$host")"
done

write_settings "$SMALL" "$SMALL_MEMORY_MB"
start_entry "$SMALL"
wait_ready "$SMALL"
for ((host = 0; host < HOST_COUNT; host++)); do
	kill -9 "${PID[$host]}"
	wait "${PID[$host]}" 2>/dev/null
done
check "the smaller host leads" yes "$(wait_leads "$SMALL")"
check "it accepts an urgent job" 200 \
	"$(post "$SMALL" /urgent/00000000000000e1 "$WORK/small.json")"
sleep 2
check_below "its peak of resident memory in KB" $((BOUND_MB * 1024)) \
	"$(peak_kb "$SMALL")"

full=$(rss_kb "$SMALL")
cancel_all
until=$((SECONDS + WAIT_S))
while [ $SECONDS -lt $until ] && [ "$(times_given_back)" -eq 0 ]; do
	sleep 0.2
done
sleep 0.5
# The allocator of the sanitizers keeps what is freed, and returns no memory.
grep -q libasan "/proc/${PID[$SMALL]}/maps" ||
	check_below "memory after the end of all jobs in KB" "$full" \
		"$(rss_kb "$SMALL")"
check "memory is given back" yes \
	"$([ "$(times_given_back)" -gt 0 ] && echo yes || echo no)"
echo "$accepted accepted, $refused refused, peak of the smaller host" \
	"$(($(peak_kb "$SMALL") / 1024)) MB, afterwards" \
	"$(($(rss_kb "$SMALL") / 1024)) MB"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
