#!/usr/bin/env bash
# A worker leaves start orders unanswered for 5.5 s and reports meanwhile that
# it leaves. Exits with 1 if a subtask is started there later than drain_ms
# after that report. TROUBLE=0: the worker answers its orders.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/15
. review/standin-3/deployment.sh

DRAIN_MS=2500
WORKERS=10

start_deployment 3 $WORKERS
test_call "run-ms?ms=1500"
[ "$TROUBLE" = 0 ] || test_call "grey?worker=3&on=1"
# As many subtasks as there are accelerators, so that each worker gets some.
call 1 POST /batch/00000000000000a1 "$(ESTIMATE_MS=1500 job $((8 * WORKERS)))"
sleep 0.5
test_call "drain?worker=3"
sleep 5
[ "$TROUBLE" = 0 ] || test_call "grey?worker=3&on=0"
sleep 3
call 1 GET /batch/00000000000000a1
finish_record

late=$(awk -v bound=$DRAIN_MS '
	$2 == "draining" { at[$3] = $1 }
	$2 == "start" && $6 ~ /^begun/ && $3 in at && $1 - at[$3] > bound' \
	"$WORK/platform")
grep -q "draining i-0003" "$WORK/platform" || cannot_run "no worker has drained"
if [ -n "$late" ]; then
	echo "started later than $DRAIN_MS ms after the report of draining:" |
		tee -a "$RECORD"
	echo "$late" | tee -a "$RECORD"
	exit 1
fi
echo "held" | tee -a "$RECORD"
