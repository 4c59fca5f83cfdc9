#!/usr/bin/env bash
# Runs one deployment of eight or nine hosts (mimosaturnd processes) and 50
# simulated backend servers, submits a seeded mix of jobs, kills one host with
# SIGKILL and stops another gracefully.  Checks that no job is lost or run twice,
# and the other properties that docs/PROMISES.md lists.
# Usage: demo.sh [DEPLOYMENT [SEED [JOBS]]]
# If KEEP is set, copies the settings, logs and reports of a failed run to that
# directory.
set -u
cd "$(dirname "$0")/../.." || exit 1
. tests/scripts/lib.sh

DEPLOYMENT=${1:-workshop}
SEED=${2:-1}
JOBS=${3:-300}
CTL=$BUILD/programs/mimosaturn

prepare_deployment "$DEPLOYMENT"
trap stop_all EXIT
start_platform --seed "$SEED"
for host in "${HOSTS[@]}"; do
	start_host "$host"
done
"$CTL" publish --log "$PLATFORM" --list usage "$WORK/usage.json" || exit 1
"$CTL" publish --log "$PLATFORM" --list plans "$WORK/plans.json" || exit 1
for host in "${HOSTS[@]}"; do
	wait_for "http://127.0.0.1:$(callers_port_of "$host")/readyz" || exit 1
done

# While jobs run, kill one host, and stop a host of another data centre
# gracefully.  HOSTS is in alphabetical order, and the first data centre in it has
# three hosts, so HOSTS[4] is the second host of the next one.
killed_host=${HOSTS[0]}
stopped_host=${HOSTS[4]}
(
	sleep 4
	kill -9 "${HOST_PID[$killed_host]}"
	sleep 3
	kill -TERM "${HOST_PID[$stopped_host]}"
) &
FAULTS_PID=$!

"$CTL" load --hosts "$(all_hosts)" --mix "$WORK/mix.json" --jobs "$JOBS" \
	--rate 25 --seed "$SEED" --timeout 45 --audit "$PLATFORM" --json \
	>"$WORK/load.json"
wait "$FAULTS_PID"
wait "${HOST_PID[$stopped_host]}"
stop_status=$?
curl -fs "http://$PLATFORM/admin/audit" >"$WORK/audit.json"
breaches=$(for host in "${HOSTS[@]}"; do
	curl -fs "http://127.0.0.1:$(callers_port_of "$host")/metrics"
done | awk '/invariant_breaches_total/ {sum += $NF} END {print sum + 0}')

# Print a number from the report of `load`, or from the platform's audit.
load_number() { json_number "$1" <"$WORK/load.json"; }
audit_number() { tr -d ' ' <"$WORK/audit.json" | json_number "$1"; }
# The report has the number of interrupted requests of a host under its address.
interrupted=$(json_number "127.0.0.1:$(callers_port_of "$stopped_host")" <"$WORK/load.json")
lost=$(load_number lost)
twice=$(($(audit_number run_twice) + $(load_number run_twice)))
partial=$(audit_number partial_gangs)
# A graceful stop must exit with status 0.  Any other status is counted as one
# more interrupted request.
[ "$stop_status" -eq 0 ] || interrupted=$((interrupted + 1))

printf '%s, seed %s: %s killed, %s stopped gracefully\n' \
	"$DEPLOYMENT" "$SEED" "$killed_host" "$stopped_host"
printf '%-28s %s\n' \
	submitted "$(load_number submitted)" \
	accepted "$(load_number accepted)" \
	finished "$(load_number finished)" \
	failed "$(load_number failed)" \
	cancelled "$(load_number cancelled)" \
	refused "$(load_number refused)" \
	"outcome unknown" "$(load_number unknown)" \
	"wrong answers" "$(load_number wrong_answers)" \
	"reported not run but began" "$(load_number not_run_but_began)" \
	"invariant breaches" "$breaches" \
	"appends" "$(audit_number appends)" \
	lost "$lost" \
	"run twice" "$twice" \
	"partial gangs" "$partial" \
	"interrupted requests" "$interrupted"
# Sum of the counts that must be zero.  Differs from `failed`, which counts jobs
# whose outcome is a failure.
check_failures=$((lost + twice + partial + interrupted + $(load_number wrong_answers) + \
	$(load_number not_run_but_began) + breaches))
if [ "$check_failures" -ne 0 ]; then
	[ -z "${KEEP:-}" ] || cp -r "$WORK" "$KEEP"
	echo "check failures: $check_failures (jobs, gangs, requests and invariant breaches)"
	exit 1
fi
echo "all checks passed"
