#!/bin/sh
# Plays one scenario: starts the stand-ins and three hosts of the system as separate
# processes, waits for the verdict, and ends all of them.
# run-scenario.sh SCENARIO FOLDER; the exit status is that of the case's run.sh.
scenario=$1
folder=$2
HOSTS=3

root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
cd "$root" || exit 2
standin=review/bin/standin
entry=target/programs/mimosaturn-entry
if [ ! -x $standin ] || [ ! -x $entry ]; then
	echo "build the deploy file and run review/build.sh first" >&2
	exit 2
fi

work=$(mktemp -d) || exit 2
pids=
cleanup() {
	for pid in $pids; do kill -9 "$pid" 2>/dev/null; done
	for pid in $pids; do wait "$pid" 2>/dev/null; done
	rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

base=$($standin free-ports) || exit 2
i=0
while [ $i -lt $HOSTS ]; do
	cat >"$work/host-$i.json" <<-END
	{
		"host": "host-$i", "data_centre": "here", "cores": 0.25,
		"callers": "127.0.0.1:$((base + 40 + i))",
		"readiness": "127.0.0.1:$((base + 50 + i))",
		"metrics": "127.0.0.1:$((base + 60 + i))",
		"peers": "127.0.0.1:$((base + 70 + i))",
		"store": "127.0.0.1:$((base + 34 + i))", "advice": "",
		"lease_max_ms": 10000, "stop_task_ms": 400, "restore_ms": 100,
		"keep_ended_s": 120, "stop_grace_s": 6, "revoke_key_ms": 5000
	}
	END
	i=$((i + 1))
done

$standin "$scenario" "$base" $HOSTS "${TROUBLE:-1}" "$folder/record.txt" &
verdict=$!
pids=$verdict
sleep 0.3
i=0
while [ $i -lt $HOSTS ]; do
	MIMOSATURN_BOOT="$work/host-$i.json" $entry >"$work/host-$i.log" 2>&1 &
	pids="$pids $!"
	i=$((i + 1))
done
wait $verdict
status=$?
[ -z "$KEEP_LOGS" ] || cp "$work"/host-*.log "$KEEP_LOGS"
exit $status
