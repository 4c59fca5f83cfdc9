#!/usr/bin/env bash
# Mutation test: disables one mechanism at a time, in a copy of the repository's
# HEAD, and checks that a test detects it.  Prints each mutant and the test that
# detected it.  Set ONLY to a regular expression to select mutants by name.
set -u
cd "$(dirname "$0")/../.." || exit 1

SCRATCH=$(mktemp -d)
trap 'rm -rf "$SCRATCH"' EXIT
git archive HEAD | tar -x -C "$SCRATCH"
cd "$SCRATCH" || exit 1
cmake -S . -B build >/dev/null
passed=0
failed=0

build() {
	make -C build -j"$(nproc)" soak unit fleet >/dev/null 2>"$SCRATCH/errors"
}

# Prints "fleet seed N" for the lowest seed of tests/fleet that fails, or nothing.
failing_fleet_seed() {
	local seed
	for seed in $(seq 1 20 101); do
		timeout 150 build/tests/fleet --seed "$seed" --seeds 20 \
			>"$SCRATCH/fleet.$seed" 2>&1 || true &
	done
	wait
	sed -n -E 's/^seed ([0-9]+): (FAILED|[1-9][0-9]* breaches).*/fleet seed \1/p' \
		"$SCRATCH"/fleet.* | sort -k3n | head -1
}

# Prints the test that fails: "unit", "soak seed N", "fleet seed N" or nothing.
# SIMULATION selects the simulation that runs after the unit tests.
detecting_test() {
	local seed
	timeout 60 build/tests/unit tests/scripted >/dev/null 2>&1 ||
		{ echo unit; return; }
	if [ "$SIMULATION" = fleet ]; then
		failing_fleet_seed
		return
	fi
	for seed in $(seq 1 25 226); do
		timeout 150 build/tests/soak --seed "$seed" --seeds 25 \
			--events 60000 >"$SCRATCH/soak.$seed" 2>&1 || true &
	done
	wait
	sed -n -E 's/^seed ([0-9]+): [0-9]+ breaches$/soak seed \1/p' \
		"$SCRATCH"/soak.* | sort -k3n | head -1
}

# Applies a substitution (a mutant) to FILE, runs the tests and restores FILE.
# mutant NAME FILE PERL-EXPRESSION
mutant() {
	local name=$1 file=$2 expression=$3 result
	[[ $name =~ ${ONLY:-.} ]] || return
	cp "$file" "$SCRATCH/original"
	perl -0pi -e "$expression" "$file"
	if cmp -s "$file" "$SCRATCH/original"; then
		result="(the mutation does not apply)"
		failed=$((failed + 1))
	elif ! build; then
		result="(does not build: $(grep -m1 error "$SCRATCH/errors"))"
		failed=$((failed + 1))
	else
		result=$(detecting_test)
		if [ -n "$result" ]; then
			passed=$((passed + 1))
		else
			failed=$((failed + 1))
			result="SURVIVED"
		fi
	fi
	printf '%-58s %s\n' "$name" "$result"
	cp "$SCRATCH/original" "$file"
}

build || exit 1
SIMULATION=soak
mutant "task deemed lost if a report older than its run lacks it" lib/node/recover.c \
	's/return server->leased && server->last_ok_sent_at > run->created_at;/return server->leased;/'
mutant "claim of another run taken for the run's own" lib/node/run_commands.c \
	's/\s*job->claim->run == run->id &&//'
mutant "claim voided although a task may have begun" lib/node/unwind.c \
	's/if \(!began && !lost\)/if (!lost)/'
mutant "outcome of another claim accepted" lib/jobs/job_records.c \
	's/return outcome->claim_number == job->claim->number;/return true;/'
mutant "claim valid after a cancellation" lib/jobs/job_records.c \
	's/!mt_job_is_live\(job\) \|\| job->cancel_requested \|\| job->claim/!mt_job_is_live(job) || job->claim/'
mutant "job accepted although cancelled before its acceptance" lib/jobs/job_records.c \
	's/insert_cancelled_before_accept\(jobs, id, offset, at_ms,\s*record->cancel\);/(void)insert_cancelled_before_accept;/'
mutant "record withdrawn although it may be in the log" lib/node/appender.c \
	's/!item \|\| item->may_be_in_log \|\|/!item ||/'
mutant "gang started without holding its tasks" lib/node/run_commands.c \
	's/start->held = run->part_count > 1;/start->held = false;/'
mutant "task leases renewed though a server of the gang is silent" lib/node/run_events.c \
	's/return have_all_servers_answered\(runner, run\);/(void)have_all_servers_answered; return true;/'
mutant "guarantees ignored when placing" lib/decide/decide.c \
	's/state->algorithm != MT_ALGORITHM_FULL \|\|\s*keeps_guarantees\(state, job, parts\)/(keeps_guarantees(state, job, parts) || true)/'
mutant "no reclaim for a guarantee" lib/decide/decide.c \
	's/state->algorithm == MT_ALGORITHM_FULL && guaranteed &&/false && guaranteed \&\&/'
mutant "limit of an account ignored" lib/decide/decide.c \
	's/if \(!mt_limit_allows\(/if (false \&\& !mt_limit_allows(/'
mutant "leaving server still used" lib/node/fleet.c \
	's/!server->leaving &&/true \&\&/'
mutant "jobs not appended again before their records expire" lib/node/refresher.c \
	's/restate_jobs\(refresher, now, retention\);/(void)restate_jobs;/'
mutant "edit with an outdated base version accepted" lib/lists/lists.c \
	's/if \(lists->complete && edit->base_version == version\)/if (lists->complete)/'
mutant "result with a wrong digest accepted" lib/net/server_codec.c \
	's/digest_matches = !strcmp\(computed, digest\);/digest_matches = true;/'
mutant "moved job finished by its old data centre" lib/jobs/job_records.c \
	's/outcome->epoch != job->epoch \|\|//'
mutant "task forgotten before its outcome is in the log" lib/node/run_phases.c \
	's/(record_success\(runner, run\);)/$1 mt_run_forget_tasks(runner, run);/'

SIMULATION=fleet
mutant "lease considered expired too early" lib/dag/backend.c \
	's/leases_expire_at = now \+ lease_ms \+ drift \+ LEASE_MARGIN_MS/leases_expire_at = now + drift + 0 * LEASE_MARGIN_MS/'
mutant "start sent before its placement is stored" lib/dag/job_tasks.c \
	's/task->placement_stored = false;/task->placement_stored = true;/'
mutant "end of a task declared deletable before it is stored" lib/dag/holds.c \
	's/n_failed_holds \? 0 : backend->last_end_stored/n_failed_holds ? 0 : backend->last_end_handled/'
mutant "answer to an overdue hold ignored" lib/dag/holds.c \
	's/if \(answer->result == MT_COMMAND_DONE\)\n\t\ton_report/if (timely \&\& answer->result == MT_COMMAND_DONE)\n\t\ton_report/'
mutant "runs of a listed server given up with their leases" lib/dag/commands.c \
	's/backend->listed \? LISTED_GRACE_MS : 0/0/'
mutant "ended runs deletable after a failed hold" lib/dag/holds.c \
	's/n_failed_holds \? 0 : backend->last_end_stored/n_failed_holds ? backend->last_end_stored : backend->last_end_stored/'
mutant "age of the copy of a relay ignored" lib/dag/config_relay.c \
	's/page.age_ms = reply->age_ms;//'
mutant "fenced leader leads again in its term" lib/dag/leadership.c \
	's/leadership->term_over = true;//'
mutant "unfinished job shown to another host without a read" lib/dag/front_lookup.c \
	's/return exact \|\|/return/'
mutant "slow servers not found" lib/dag/pace.c \
	's/return ratio < SLOW_RATIO;/return false;/'
mutant "run deemed lost though an unanswered start may have run it" lib/dag/commands.c \
	's/if \(!task->start_unanswered\)/if (true)/'
mutant "step started before its dependencies" lib/dag/job_model.c \
	's/if \(!spec->n_after\)/if (true)/; s/if \(!--occurrence->slots\[next\].n_blockers\)/if (--occurrence->slots[next].n_blockers, false)/'
mutant "cancelled job not stopped" lib/dag/engine.c \
	's/mt_dag_job_update_state\(job\);\n\tmt_engine_stop_tasks\(engine, job\);/mt_dag_job_update_state(job);/'
mutant "failed runs not counted" lib/dag/job_tasks.c \
	's/counter_task->fails\+\+;//'
mutant "one task of a gang stopped alone" lib/dag/commands.c \
	's/if \(task->step->spec->gang\)\s*mt_commands_stop_gang/if (false) mt_commands_stop_gang/'
mutant "job reported as unknown before all pages were read" lib/dag/follower.c \
	's/if \(follower->next >= catch_up->until\)/if (true)/'
mutant "follower considered caught up after one of several pages" lib/dag/follower.c \
	's/if \(follower->next >= page->end\)/if (true)/'
mutant "API keys accepted with an outdated configuration" lib/dag/front.c \
	's/mt_follower_age\(front->deps.config_follower\) <= age_max/true/'
mutant "leader does not yield to a larger host" lib/dag/election.c \
	's/host->cores_milli > election->cores_milli/false/'
mutant "preemptions ignored when estimating their probability" lib/dag/survival.c \
	's/survival->preemptions\[level_of\(priority\)\] \+= 1;//'
mutant "ended job keeps its payload" lib/dag/job_progress.c \
	's/ended.payload = \(char \*\)protobuf_c_empty_string;//'
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
