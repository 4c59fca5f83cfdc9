#!/usr/bin/env bash
# The processes that collect the logs of the hosts stop reading. Exits with 1 if
# finish_s after the end of the traffic an accepted job gets no answer at any
# host. The list of workers has entries of another writer all the while.
# TROUBLE=0: the collectors go on.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/12
. review/standin-3/deployment.sh

HOSTS=3
FINISH_S=14
export COLLECT=1 ODD=8 LIMIT_MS=3000

start_deployment $HOSTS 8
if [ "$TROUBLE" != 0 ]; then
	for ((i = 0; i < HOSTS; i++)); do
		kill -STOP "${COLLECTOR[$i]}"
	done
	echo "$("$BIN/client" now) the collectors are stopped" >>"$WORK/calls"
fi
# The traffic: jobs, and questions about them, at all hosts in turn, for 60 s.
accepted=()
end=$((SECONDS + 60))
for ((n = 0; SECONDS < end; n++)); do
	id=$(printf %016x $((0xa000 + n)))
	for ((try = 0; try < HOSTS; try++)); do
		case $(LIMIT_MS=1000 call $(((n + try) % HOSTS)) POST "/batch/$id" "$(job 24)") in
		*200)
			accepted+=("$id")
			break
			;;
		esac
	done
	for ((k = 0; k < 6; k++)); do
		LIMIT_MS=300 call $(((n + k) % HOSTS)) GET "/batch/$id" >/dev/null
	done
	sleep 0.2
done
sleep $FINISH_S
lost=0
asked=0
# The last jobs that were accepted; each is asked for at each host.
for id in "${accepted[@]: -2}"; do
	answered=""
	for ((i = 0; i < HOSTS; i++)); do
		case $(LIMIT_MS=2000 call $i GET "/batch/$id") in
		*200) answered=yes ;;
		esac
	done
	asked=$((asked + 1))
	[ "$answered" ] || lost=$((lost + 1))
done
states=$(for ((i = 0; i < HOSTS; i++)); do
	sed -n 's/^State:[[:space:]]*//p' "/proc/${HOST_PID[$i]}/status"
done | tr '\n' ';')
echo "accepted ${#accepted[@]} jobs; asked for $asked, no answer for $lost;" \
	"states of the hosts: $states" | tee -a "$WORK/calls"
finish_record
[ $asked -gt 0 ] || cannot_run "no job was accepted"
if [ $lost -gt 0 ]; then
	echo "accepted jobs get no answer at any host" | tee -a "$RECORD"
	exit 1
fi
echo "held" | tee -a "$RECORD"
