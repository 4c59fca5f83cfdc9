#!/usr/bin/env bash
# Tests the client API of one host (a mimosaturnd process): sends requests and
# compares the HTTP status and the error code.  The host must still answer at the
# end.  ("Callers" in names of files and settings are clients.)
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/scripts/lib.sh

prepare_deployment workshop
trap stop_all EXIT
start_platform --seed 1
HOST=tunis-1
start_host "$HOST"
CTL=$BUILD/programs/mimosaturn
"$CTL" publish --log "$PLATFORM" --list usage "$WORK/usage.json" >/dev/null
"$CTL" publish --log "$PLATFORM" --list plans "$WORK/plans.json" >/dev/null
URL=http://127.0.0.1:$(callers_port_of "$HOST")
wait_for "$URL/readyz" || exit 1

passed=0
failed=0
AUTH="Authorization: Bearer demo-atelier-sfax"
OTHER_AUTH="Authorization: Bearer demo-photo-medina"
BODY='{"kind":"t","idempotent":true,"memory_mb":100,"run_s":1,"payload":"{\"run_ms\":50,\"result\":\"whole\"}"}'

# Sends a request and prints the status, `code` and `not_run` of the answer.  A
# field that the answer does not contain is printed as "-".
# The request header "Idempotency-Attempt: 1" states that no earlier request used
# the key.  Without it, a host that refuses a valid job, for example because the
# log is unavailable, does not know whether an earlier request submitted the job.
# So it does not answer that the job has not run (not_run).
# answer_to CURL-ARGUMENTS...
answer_to() {
	local got status code not_run
	got=$(curl -s -w '\n%{http_code}' "$@")
	status=${got##*$'\n'}
	code=$(sed -n -E 's/.*"code":"([^"]*)".*/\1/p' <<<"$got")
	not_run=$(sed -n -E 's/.*"not_run":([a-z]*).*/\1/p' <<<"$got")
	echo "$status ${code:--} ${not_run:--}"
}

# Sends a request and compares its answer.
# expect NAME "STATUS CODE NOT_RUN" CURL-ARGUMENTS...
expect() {
	local name=$1 wanted=$2
	shift 2
	check "$name" "$wanted" "$(answer_to "$@")"
}

# Prints how often the host's process was paused for more than 1 s
# (PAUSE_THRESHOLD_MS in lib/node/node.c); nothing if it never was.
count_pauses() {
	curl -s "$URL/metrics" | sed -n 's/^mimosaturn_pauses_total //p'
}

# Like expect, for an idempotent job that must run although the log is unavailable.
# Only a host that schedules can run it.  A host that was paused schedules again
# only after it has listened for its peers for 2 s (peer_timeout_ms), and refuses
# the job until then.  So a refusal is tolerated, and the request repeated, if the
# host was paused after PAUSES was read, and only then.
# expect_direct_run PAUSES NAME "STATUS CODE NOT_RUN" CURL-ARGUMENTS...
expect_direct_run() {
	local pauses=$1 name=$2 wanted=$3 got now
	shift 3
	for _ in {1..5}; do
		got=$(answer_to "$@")
		[ "$got" = "503 log_unavailable false" ] || break
		now=$(count_pauses)
		[ "$now" != "$pauses" ] || break
		pauses=$now
		sleep 3
	done
	check "$name" "$wanted" "$got"
}

# Counts a check as passed or failed.
# check NAME EXPECTED GOT
check() {
	if [ "$2" = "$3" ]; then
		passed=$((passed + 1))
	else
		failed=$((failed + 1))
		echo "$1: expected $2, got $3"
	fi
}

post() { # post IDEMPOTENCY-KEY BODY
	printf '%s\n' -X POST -H "Idempotency-Key: $1" -d "$2" "$URL/v1/jobs"
}

expect "no API key" "401 unauthorized false" -X POST -d "$BODY" "$URL/v1/jobs"
expect "wrong API key" "401 unauthorized false" -X POST -d "$BODY" \
	-H "Authorization: Bearer no" -H "Idempotency-Key: a" "$URL/v1/jobs"
expect "no idempotency key" "400 key_missing true" -X POST -d "$BODY" \
	-H "$AUTH" "$URL/v1/jobs"
expect "idempotency key too long" "400 key_missing true" -X POST -d "$BODY" -H "$AUTH" \
	-H "Idempotency-Key: $(printf 'k%.0s' {1..129})" "$URL/v1/jobs"
expect "malformed body" "400 body_invalid true" -X POST -d '{"kind"' \
	-H "$AUTH" -H "Idempotency-Key: b" "$URL/v1/jobs"
expect "unknown field" "400 body_invalid true" -X POST -H "$AUTH" \
	-d "${BODY/\{/\{\"x\":1,}" -H "Idempotency-Key: c" "$URL/v1/jobs"
expect "wrong type" "400 body_invalid true" -X POST -H "$AUTH" \
	-d "${BODY/100/\"100\"}" -H "Idempotency-Key: d" "$URL/v1/jobs"
head -c 70000 /dev/zero | tr '\0' ' ' >"$WORK/large"
expect "oversized body" "413 body_too_large true" -X POST -H "$AUTH" \
	--data-binary "@$WORK/large" -H "Idempotency-Key: e" "$URL/v1/jobs"
expect "over every limit" "422 over_limit true" -X POST -H "$AUTH" \
	-H "Idempotency-Attempt: 1" -H "Idempotency-Key: f" \
	-d "${BODY/\"memory_mb\":100/\"memory_mb\":8000000}" "$URL/v1/jobs"
expect "wait out of range" "400 wait_invalid false" -X POST -d "$BODY" \
	-H "$AUTH" -H "Idempotency-Key: g" "$URL/v1/jobs?wait=61"
expect "accepted and finished" "200 - false" -X POST -d "$BODY" -H "$AUTH" \
	-H "Idempotency-Key: h" "$URL/v1/jobs?wait=20"
expect "resubmitted" "200 - false" -X POST -d "$BODY" -H "$AUTH" \
	-H "Idempotency-Key: h" "$URL/v1/jobs"
expect "same body, other spacing" "200 - false" -X POST -d "${BODY/:/: }" \
	-H "$AUTH" -H "Idempotency-Key: h" "$URL/v1/jobs"
expect "same idempotency key, other body" "409 key_reused false" -X POST -H "$AUTH" \
	-d "${BODY/100/101}" -H "Idempotency-Key: h" "$URL/v1/jobs"
id=$(curl -s -X POST -d "$BODY" -H "$AUTH" -H "Idempotency-Key: h" \
	"$URL/v1/jobs" | sed -E 's/.*"id":"([0-9a-f]*)".*/\1/')
check "result of the finished job" "whole" "$(curl -s -H "$AUTH" "$URL/v1/jobs/$id/result")"
expect "another account's job" "404 not_found false" -H "$OTHER_AUTH" \
	"$URL/v1/jobs/$id"
expect "another account's result" "404 not_found false" -H "$OTHER_AUTH" \
	"$URL/v1/jobs/$id/result"
expect "another account cancels" "404 not_found false" -X DELETE -H "$OTHER_AUTH" \
	"$URL/v1/jobs/$id"
expect "unknown job" "404 not_found false" -H "$AUTH" \
	"$URL/v1/jobs/00000000000000000000000000000000"
expect "malformed id" "404 no_such_path false" -H "$AUTH" "$URL/v1/jobs/xyz"
expect "unsupported method" "405 method_not_allowed false" -X PUT -H "$AUTH" \
	"$URL/v1/jobs/$id"
expect "cancel after the end" "200 - false" -X DELETE -H "$AUTH" \
	"$URL/v1/jobs/$id"

# A job that was cancelled before its submission must never run.  Its id derives
# from its account and idempotency key.
key=early
cancelled=$(printf 'atelier-sfax\0%s' "$key" | sha256sum | head -c 32)
expect "cancel before acceptance" "200 - true" -X DELETE -H "$AUTH" \
	-H "Idempotency-Key: $key" "$URL/v1/jobs/$cancelled?once=true"
expect "late submission" "200 - true" -X POST -d "$BODY" -H "$AUTH" \
	-H "Idempotency-Key: $key" "$URL/v1/jobs"
check "never began" '{"begins":0}' \
	"$(curl -s "http://$PLATFORM/admin/begins?job=$cancelled")"

# Without the log, no job is accepted.  An idempotent job runs if the client
# waits for the result; any other job is refused.
pauses=$(count_pauses)
curl -s -d '{"log_away":true}' "http://$PLATFORM/admin/faults" >/dev/null
# A host considers the log unavailable 3 s after the last valid answer
# (AVAILABLE_TIMEOUT_MS in lib/node/tail.c).  The read that is open when the log
# stops is refused 1 s after that answer, when its wait for records ends
# (READ_WAIT_MS).  The next read follows soon and is refused at once.  So after two
# failed reads, 2 s more are enough.
wait_until_log_fails() {
	local try
	for try in {1..200}; do
		curl -s "$URL/metrics" |
			grep -q 'log_reads_failed_total{stream="jobs"} [2-9]' &&
			sleep 2 && return
		sleep 0.1
	done
	echo "no failed reads of the log after $try tries"
}
wait_until_log_fails
expect "not idempotent, no log" "503 log_unavailable true" -X POST -H "$AUTH" \
	-H "Idempotency-Attempt: 1" -H "Idempotency-Key: i" \
	-d "${BODY/true/false}" "$URL/v1/jobs?wait=20"
expect "not idempotent, no log, no attempt number" "503 log_unavailable false" -X POST -H "$AUTH" \
	-H "Idempotency-Key: i" -d "${BODY/true/false}" "$URL/v1/jobs?wait=20"
expect_direct_run "$pauses" "idempotent, no log" "200 - false" -X POST -d "$BODY" \
	-H "$AUTH" -H "Idempotency-Key: j" "$URL/v1/jobs?wait=20"
expect "cancel, no log" "503 log_unavailable false" -X DELETE -H "$AUTH" \
	-H "Idempotency-Key: k" \
	"$URL/v1/jobs/$(printf 'atelier-sfax\0k' | sha256sum | head -c 32)"
curl -s -d '{"log_away":false}' "http://$PLATFORM/admin/faults" >/dev/null
expect "host runs after the outage" "200 - -" "$URL/healthz"

# A malformed frame closes the link between hosts and does not stop the host.
peers=$(sed -n -E 's/.*"peers_port": ([0-9]+).*/\1/p' "$WORK/$HOST.json")
printf '\x7f\xff\xff\xffgarbage' >"/dev/tcp/127.0.0.1/$peers"
printf '\x00\x00\x00\x02\xff\xff' >"/dev/tcp/127.0.0.1/$peers"
for _ in {1..50}; do
	curl -s "$URL/metrics" | grep -q 'peer_links_malformed_total 2' && break
	sleep 0.1
done
check "malformed frames counted" "mimosaturn_peer_links_malformed_total 2" \
	"$(curl -s "$URL/metrics" | grep peer_links_malformed)"
expect "host runs after malformed frames" "200 - -" "$URL/healthz"

# An edit of a list is rejected if its base version is not the current version,
# which is 1 here: a list's version is the offset of its last edit plus one.
sed 's/"accelerators": 136/"accelerators": 135/' "$WORK/usage.json" \
	>"$WORK/usage2.json"
"$CTL" publish --log "$PLATFORM" --list usage --base-version 7 \
	"$WORK/usage2.json" >/dev/null 2>&1
check "base version that is not current" 4 $?
"$CTL" publish --log "$PLATFORM" --list usage "$WORK/usage2.json" >/dev/null
check "current base version" 0 $?
for _ in {1..80}; do
	# The first edits of usage and plans and the rejected edit, which is in the
	# stream too, precede this one.  So its version is 4, or more if the log
	# contains an edit twice (see programs/ctl/cmd_lists.c).  The pattern only has
	# to exclude the old version 1.
	curl -s "$URL/v1/status" | grep -q '"usage":[3-9]' && break
	sleep 0.1
done
"$CTL" show --hosts "127.0.0.1:$(callers_port_of "$HOST")" >"$WORK/show"
check "show succeeds" 0 $?
check "new version shown for the host" 1 "$(grep -c ' [3-9]$' "$WORK/show")"
"$CTL" check --usage "$WORK/usage.json" --plans "$WORK/plans.json" >/dev/null
check "check succeeds" 0 $?
echo '{"version":2,"routes":[],"services":[],"tenants":[]}' >"$WORK/config.json"
"$CTL" check "$WORK/config.json" >/dev/null
check "check of a configuration without faults" 0 $?
"$CTL" check --against "$WORK/config.json" "$WORK/config.json" >/dev/null
check "check finds a version that is not newer" 1 $?
"$CTL" check --json "$WORK/missing.json" >/dev/null 2>&1
check "check of a file that is missing" 2 $?
"$BUILD/programs/mimosaturnd" --settings "$WORK/usage.json" 2>/dev/null
check "invalid settings" 2 $?

# A graceful stop answers long polls that are open.
slow='{"kind":"t","idempotent":true,"memory_mb":100,"run_s":9,"payload":"{\"run_ms\":60000}"}'
for _ in {1..50}; do
	curl -s -X POST -d "$slow" -H "$AUTH" -H "Idempotency-Key: slow" \
		"$URL/v1/jobs" | grep -q '"state":"accepted"' && break
	sleep 0.1
done
expect "long job accepted" "202 - false" -X POST -d "$slow" -H "$AUTH" \
	-H "Idempotency-Key: slow" "$URL/v1/jobs"
id=$(printf 'atelier-sfax\0slow' | sha256sum | head -c 32)
curl -s -w '%{http_code}' -H "$AUTH" "$URL/v1/jobs/$id?wait=50" \
	>"$WORK/poll" &
poll=$!
sleep 0.5
kill -TERM "${HOST_PID[$HOST]}"
expect "not ready while draining" "503 - -" "$URL/readyz"
expect "refused while draining" "503 draining true" -X POST -d "$BODY" \
	-H "$AUTH" -H "Idempotency-Key: z" -H "Idempotency-Attempt: 1" \
	"$URL/v1/jobs"
wait "$poll"
check "open poll answered" 202 "$(tail -c 3 "$WORK/poll")"

echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
