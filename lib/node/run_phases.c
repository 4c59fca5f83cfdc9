/** @file run_phases.c The phases of a run and the steps between them. */
#include <string.h>

#include "node/runner_internal.h"

/**
 * A Claim record that is not read back in this time is withdrawn from the
 * appender and the run dropped, unless the record may be in the log.
 */
#define CLAIM_TIMEOUT_MS 5000u

/** All servers must have acknowledged START within this time. */
#define START_TIMEOUT_MS 4000u

/** An idempotent job whose result is not fetched in this time runs again. */
#define COLLECT_TIMEOUT_MS 30000u

/** True while the server lease is the one under which the part was placed. */
static bool is_same_lease(const mt_runner_t *runner, const mt_run_part_t *part)
{
	const mt_fleet_server_t *server =
		mt_fleet_find(runner->deps.fleet, &part->server);

	return server && server->leased && server->token == part->token &&
	       mt_name_equal(&server->boot, &part->boot);
}

static bool is_ready_to_start(const mt_runner_t *runner,
			      const mt_run_part_t *part)
{
	const mt_fleet_server_t *server =
		mt_fleet_find(runner->deps.fleet, &part->server);

	return is_same_lease(runner, part) &&
	       mt_fleet_is_usable(runner->deps.fleet, server);
}

static bool has_phase_lasted(const mt_runner_t *runner, const mt_run_t *run,
			     mt_ms_t time)
{
	return mt_kernel_now(runner->deps.kernel) >=
	       run->phase_entered_at + time;
}

static bool may_send_command(const mt_runner_t *runner,
			     const mt_run_part_t *part)
{
	return !part->command_pending &&
	       mt_kernel_now(runner->deps.kernel) >= part->retry_at;
}

static void advance_claim(mt_runner_t *runner, mt_run_t *run)
{
	if (!has_phase_lasted(runner, run, CLAIM_TIMEOUT_MS))
		return;
	if (mt_appender_withdraw(runner->deps.appender, run->record_id)) {
		run->record_id = 0;
		mt_run_drop(runner, run);
	}
}

static void advance_start(mt_runner_t *runner, mt_run_t *run)
{
	mt_job_t *job = mt_jobs_find(runner->deps.jobs, &run->job);
	guint n_acked = 0;

	if (!job || !mt_job_is_live(job)) {
		mt_run_unwind(runner, run, MT_CAUSE_ENDED, "");
		return;
	}
	for (guint i = 0; i < run->parts->len; i++) {
		mt_run_part_t *part = mt_run_part(run, i);

		n_acked += part->acked;
		if (part->acked || !may_send_command(runner, part))
			continue;
		if (!is_ready_to_start(runner, part)) {
			mt_run_unwind(runner, run, MT_CAUSE_REFUSED,
				      "server_unusable");
			return;
		}
		mt_run_send_command(runner, run, i, MT_SERVER_START);
	}
	if (n_acked == run->parts->len) {
		mt_run_set_phase(runner, run,
				 run->part_count > 1 ? MT_PHASE_RELEASE
						     : MT_PHASE_RUN);
		mt_run_advance(runner, run);
	} else if (has_phase_lasted(runner, run, START_TIMEOUT_MS)) {
		mt_run_unwind(runner, run, MT_CAUSE_REFUSED, "start_timeout");
	}
}

static void handle_task_failure(mt_runner_t *runner, mt_run_t *run,
				const mt_run_part_t *part)
{
	const mt_job_t *job = mt_jobs_find(runner->deps.jobs, &run->job);
	mt_ms_t now = mt_kernel_now(runner->deps.kernel);

	if (part->fault != MT_FAULT_MEMORY_EXCEEDED) {
		mt_health_record_unclear_failure(runner->deps.health,
						 &run->job_text, &part->server,
						 now);
		mt_run_unwind(runner, run, MT_CAUSE_FAILED, "task_failed");
		return;
	}
	if (job)
		mt_estimator_observe_memory_overrun(
			runner->deps.estimator, &run->account, job->spec->kind,
			job->spec->memory_mb * part->members,
			part->used_memory_mb);
	mt_health_record_job_failure(runner->deps.health, &run->job_text,
				     &part->server, now);
	mt_run_unwind(runner, run, MT_CAUSE_FAILED, "exceeded_declared");
}

/**
 * True when the task lease counts as expired: its term and the margin are over,
 * and the server lease is not confirmed. `lease_until` is raised only when an
 * answer arrives. So while the server lease is confirmed, the server may have
 * renewed the task lease already, and its answer be still under way.
 */
static bool has_task_lease_expired(const mt_runner_t *runner,
				   const mt_run_part_t *part)
{
	const mt_fleet_server_t *server =
		mt_fleet_find(runner->deps.fleet, &part->server);

	return !(server && server->confirmed) && !part->command_pending &&
	       mt_kernel_now(runner->deps.kernel) > part->lease_until;
}

/** Unwinds the run if a part will not finish. @return true if it was unwound */
static bool unwind_if_part_failed(mt_runner_t *runner, mt_run_t *run)
{
	for (guint i = 0; i < run->parts->len; i++) {
		mt_run_part_t *part = mt_run_part(run, i);

		if (part->state == MT_TASK_FAILED) {
			handle_task_failure(runner, run, part);
			return true;
		}
		if (part->lost || has_task_lease_expired(runner, part) ||
		    part->state == MT_TASK_LEASE_EXPIRED ||
		    part->state == MT_TASK_STOPPED ||
		    part->state == MT_TASK_CHECKPOINTED) {
			mt_run_unwind(runner, run, MT_CAUSE_LOST, "task_lost");
			return true;
		}
	}
	return false;
}

static guint count_state(const mt_run_t *run, mt_task_state_t state)
{
	guint count = 0;

	for (guint i = 0; i < run->parts->len; i++)
		count += mt_run_part(run, i)->state == state;
	return count;
}

/**
 * Checks the bound in runner.h on the time for which only some parts run. Does
 * not cover MT_PHASE_UNWIND; for stops with checkpoints see
 * checkpoint_timeout() in unwind.c.
 */
static void check_partial_run_bound(mt_runner_t *runner, mt_run_t *run)
{
	mt_ms_t now = mt_kernel_now(runner->deps.kernel);
	/* One term to detect that a part has stopped, and one more until the
	 * other task leases expire. */
	mt_ms_t bound = 2 * (mt_ms_t)runner->deps.settings->lease_term_ms;
	guint n_running = count_state(run, MT_TASK_RUNNING);
	guint n_finished = count_state(run, MT_TASK_FINISHED);

	if (!n_running || n_running + n_finished == run->part_count) {
		run->partially_running_since = 0;
		return;
	}
	if (!run->partially_running_since)
		run->partially_running_since = now;
	mt_invariant(runner->deps.kernel,
		     now <= run->partially_running_since + bound, "gang_whole",
		     "job %s: only part of the gang runs", run->job_text.text);
}

static void advance_release(mt_runner_t *runner, mt_run_t *run)
{
	if (unwind_if_part_failed(runner, run))
		return;
	for (guint i = 0; i < run->parts->len; i++) {
		mt_run_part_t *part = mt_run_part(run, i);

		if (part->state == MT_TASK_HELD &&
		    may_send_command(runner, part))
			mt_run_send_command(runner, run, i, MT_SERVER_RELEASE);
	}
	if (!count_state(run, MT_TASK_HELD)) {
		mt_run_set_phase(runner, run, MT_PHASE_RUN);
		mt_run_advance(runner, run);
	} else if (has_phase_lasted(runner, run,
				    runner->deps.settings->lease_term_ms)) {
		mt_run_unwind(runner, run, MT_CAUSE_LOST, "release_timeout");
	}
}

/**
 * Clears the servers' failure records and gives the estimator the run time and
 * the memory used, as measured for the first part. The estimator gets nothing
 * of a checkpointable job, whose last run may be only a part of its work.
 */
static void record_success(mt_runner_t *runner, const mt_run_t *run)
{
	const mt_job_t *job = mt_jobs_find(runner->deps.jobs, &run->job);
	const mt_run_part_t *first = mt_run_part(run, 0);

	for (guint i = 0; i < run->parts->len; i++)
		mt_health_server_succeeded(runner->deps.health,
					   &mt_run_part(run, i)->server);
	if (!job || run->checkpointable)
		return;
	mt_estimator_observe_run(
		runner->deps.estimator, &run->account, job->spec->kind,
		(mt_ms_t)job->spec->run_s * 1000, first->ran_ms);
	mt_estimator_observe_memory(
		runner->deps.estimator, &run->account, job->spec->kind,
		job->spec->memory_mb * first->members, first->used_memory_mb);
}

static void advance_run(mt_runner_t *runner, mt_run_t *run)
{
	check_partial_run_bound(runner, run);
	if (unwind_if_part_failed(runner, run))
		return;
	if (count_state(run, MT_TASK_FINISHED) < run->part_count)
		return;
	record_success(runner, run);
	mt_run_set_phase(runner, run, MT_PHASE_COLLECT);
	mt_run_advance(runner, run);
}

static void advance_collect(mt_runner_t *runner, mt_run_t *run)
{
	/* The first part's task holds the result of the job. */
	mt_run_part_t *first = mt_run_part(run, 0);

	if (run->idempotent &&
	    has_phase_lasted(runner, run, COLLECT_TIMEOUT_MS)) {
		mt_run_unwind(runner, run, MT_CAUSE_LOST, "result_lost");
		return;
	}
	if (first->lost ||
	    mt_fleet_is_gone(runner->deps.fleet, &first->server)) {
		mt_run_record_outcome(runner, run,
				      MT_PB__OUTCOME_KIND__OUTCOME_UNKNOWN,
				      "result_lost");
		return;
	}
	if (may_send_command(runner, first))
		mt_run_send_command(runner, run, 0, MT_SERVER_RESULT);
}

void mt_run_advance(mt_runner_t *runner, mt_run_t *run)
{
	switch (run->phase) {
	case MT_PHASE_CLAIM:
		advance_claim(runner, run);
		break;
	case MT_PHASE_START:
		advance_start(runner, run);
		break;
	case MT_PHASE_RELEASE:
		advance_release(runner, run);
		break;
	case MT_PHASE_RUN:
		advance_run(runner, run);
		break;
	case MT_PHASE_COLLECT:
		advance_collect(runner, run);
		break;
	case MT_PHASE_UNWIND:
		mt_run_advance_unwind(runner, run);
		break;
	case MT_PHASE_RECOVER:
		mt_run_advance_recover(runner, run);
		break;
	default:
		break;
	}
}
