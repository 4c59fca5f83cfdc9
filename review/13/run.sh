#!/usr/bin/env bash
# A job that fills all workers is cancelled, and the host that leads gets
# SIGTERM while the workers stop its subtasks. The workers don't guard their
# capacity (admission_check is false). Exits with 1 if a start brings a worker
# over it. TROUBLE=0: no SIGTERM.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/13
. review/standin-3/deployment.sh

WORKERS=6
CAPACITY=8 # accelerators of a worker; each subtask takes one
export GUARDS=0 STOP_MS=400

start_deployment 4 $WORKERS
sed -i 's/"admission_check": true/"admission_check": false/; s/"version": 3/"version": 4/' \
	"$WORK/config.json"
new_config "$WORK/config.json" >/dev/null
sleep 3
test_call "run-ms?ms=60000"
export ESTIMATE_MS=60000
call 1 POST /batch/00000000000000a1 "$(job $((CAPACITY * WORKERS)))"
wait_state 1 /batch/00000000000000a1 active 5 || cannot_run "not active"
sleep 2
call 2 POST /batch/00000000000000a2 "$(job $((CAPACITY * WORKERS)))"
sleep 1
first=$(leader)
[ "$first" ] || cannot_run "no host leads"
other=$(((first + 1) % 4))
call "$other" DELETE /batch/00000000000000a1
if [ "$TROUBLE" != 0 ]; then
	kill -TERM "${HOST_PID[$first]}"
	echo "$("$BIN/client" now) SIGTERM to host $first, which leads" >>"$WORK/calls"
fi
sleep 6
call "$other" GET /batch/00000000000000a2
finish_record

over=$(awk -v capacity=$CAPACITY '
	$2 == "start" && $6 ~ /^begun/ && $7 > capacity' "$WORK/platform")
if [ -n "$over" ]; then
	echo "started beyond the capacity of $CAPACITY: $(echo "$over" | wc -l)" \
		"starts, the first ones:" | tee -a "$RECORD"
	echo "$over" | head -5 | tee -a "$RECORD"
	exit 1
fi
echo "held" | tee -a "$RECORD"
