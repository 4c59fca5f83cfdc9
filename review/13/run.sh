#!/usr/bin/env bash
# Three releases replace two of the six workers each, one after the other; the
# ids of the new workers have 53 characters. Exits with 1 if accepted jobs have
# nothing running for 3 s, finish_s after the last call that hands in a job,
# while all workers are idle. TROUBLE=0: the new ids have 6 characters.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/13
. review/standin-3/deployment.sh

WORKERS=6
FINISH_S=14
ID=atelier-worker-tunis-rack-03-b-7f3a91c2-5d9c7b6f
[ "$TROUBLE" = 0 ] && ID=w

start_deployment 3 $WORKERS $WORKERS $ID
for ((release = 0; release < 3; release++)); do
	for ((i = 2 * release; i < 2 * release + 2; i++)); do
		test_call "list?worker=$((WORKERS + i))"
		test_call "drain?worker=$i"
		sleep 1 # gap_s
	done
	sleep 3 # both have drained for drain_ms
	for ((i = 2 * release; i < 2 * release + 2; i++)); do
		test_call "leave?worker=$i"
	done
done
call 1 POST /urgent/00000000000000a1 "$(job 4)"
call 2 POST /batch/00000000000000a2 "$(job 4)"
sleep $((FINISH_S + 3))
call 1 GET /urgent/00000000000000a1
call 2 GET /batch/00000000000000a2
finish_record

grep -q "^[0-9]* listed $ID" "$WORK/platform" || cannot_run "no worker has come"
if ! grep -qE " start .* 00000000000000a[12]\.[0-9.]* 1 begun" "$WORK/platform"; then
	echo "two accepted jobs have not begun $((FINISH_S + 3)) s after they" \
		"were accepted, while $WORKERS workers are idle" | tee -a "$RECORD"
	exit 1
fi
echo "held" | tee -a "$RECORD"
