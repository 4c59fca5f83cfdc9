#!/usr/bin/env bash
# CONFIG: the desired state changes and adds a route whose host name has 60 characters.
# Exits with 1 if calls of that route are refused with 404 later than `config_apply_ms`
# after the acknowledgement. Without the trouble the host name has 24 characters.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/10
. review/standin-2/lib.sh

CONFIG_APPLY_S=2.5 # bound `config_apply_ms`
if [ "$TROUBLE" != 0 ]; then
	NEW_HOST=restauration-photographique.ateliers-du-nord-tunisie.example
else
	NEW_HOST=ateliers-du-nord.example
fi

# config VERSION [ROUTE]
config() {
	put config <<EOF
{"version": $1,
 "routes": [{"name": "r-first", "host": "jobs.example", "path_prefix": "/first/",
   "service": "service", "kind": "non_idempotent", "timeout_ms": 3000,
   "target_latency_ms": 500, "priority": 1, "max_attempts": 4, "slack_factor": 3.0,
   "public": false}${2:+, $2}],
 "services": [{"name": "service", "admission_check": true, "standby": false}],
 "tenants": [{"name": "shop", "api_keys": ["good"], "guaranteed": {"gpu": 0}}]}
EOF
}

begin_case
config 3
for i in {0..3}; do
	start_worker "$i"
done
start_hosts
config 7 "{\"name\": \"r-second\", \"host\": \"$NEW_HOST\", \"path_prefix\": \"/second/\", \"service\": \"service\", \"kind\": \"non_idempotent\", \"timeout_ms\": 3000, \"target_latency_ms\": 500, \"priority\": 1, \"max_attempts\": 4, \"slack_factor\": 3.0, \"public\": false}"
note "desired state 7 is acknowledged; it adds the host $NEW_HOST"
sleep "$CONFIG_APPLY_S"
sleep 2

body='{"spec":"ms=300 cpu=8000 mem=16000 gpu=1","steps":[{"count":1,"cpu":8000,"mem_mb":16000,"gpu":1,"estimate_ms":300}]}'
refused=0
for ((i = 0; i < HOSTS; i++)); do
	status=$(status_of "$(URL_HOST=$NEW_HOST call "$i" POST "/second/00000000000000d$i" "$body")")
	[ "$status" = 404 ] && refused=$((refused + 1))
	status=$(status_of "$(call "$i" POST "/first/00000000000000e$i" "$body")")
	[ "$status" = 200 ] || cannot_run "the first route answers $status"
done
echo "$refused of $HOSTS hosts refuse calls of the new route with 404"
note "$refused of $HOSTS hosts refuse calls of the new route with 404"
[ "$refused" -eq 0 ]
