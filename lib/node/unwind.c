/** @file unwind.c Stops all parts of a run, then ends or retries the job. */
#include <string.h>

#include "node/runner_internal.h"

/** Size of mt_runner_t.unwound at which the table is emptied. */
#define UNWOUND_MAX 10000u

void mt_run_unwind(mt_runner_t *runner, mt_run_t *run, mt_unwind_cause_t cause,
		   const char *reason)
{
	if (run->phase == MT_PHASE_UNWIND) {
		/* A cancellation or the end of the job rules out a retry. */
		if (cause == MT_CAUSE_CANCEL || cause == MT_CAUSE_ENDED) {
			run->cause = cause;
			run->reason = reason;
		}
		return;
	}
	/* No START was sent. If the claim still gets into the log,
	 * the scheduler recovers the job and voids the claim. */
	if (run->phase == MT_PHASE_CLAIM) {
		mt_run_drop(runner, run);
		return;
	}
	mt_kernel_count(runner->deps.kernel,
			"runs_unwound_total{reason=\"%s\"}", reason);
	run->cause = cause;
	run->reason = reason;
	mt_run_set_phase(runner, run, MT_PHASE_UNWIND);
	mt_run_advance(runner, run);
}

void mt_runner_reclaim(mt_runner_t *runner, mt_run_t *run, bool checkpoint)
{
	if (run->phase != MT_PHASE_START && run->phase != MT_PHASE_RELEASE &&
	    run->phase != MT_PHASE_RUN)
		return;
	run->no_checkpoint = run->no_checkpoint || !checkpoint;
	mt_run_unwind(runner, run, MT_CAUSE_RECLAIM, "reclaimed");
}

void mt_run_on_stop_reply(mt_runner_t *runner, mt_run_t *run,
			  mt_run_part_t *part, mt_server_op_t op,
			  const mt_server_reply_t *reply)
{
	part->retry_at =
		mt_kernel_now(runner->deps.kernel) + MT_COMMAND_RETRY_MS;
	if (reply->status == MT_REPLY_REFUSED && op == MT_SERVER_CHECKPOINT) {
		run->no_checkpoint = true;
		part->retry_at = 0;
	}
	if (reply->status != MT_REPLY_OK)
		return;
	part->state = reply->state;
	part->began = part->began || reply->began;
	if (op == MT_SERVER_STOP && mt_task_state_is_final(reply->state))
		part->stopped = true;
}

/**
 * Time allowed for a checkpoint. On several servers the parts stop one by one
 * as their checkpoints complete. There the checkpoint is given up after half a
 * lease term, so that only some parts run for at most one lease term. The bound
 * of two terms in runner.h also allows for the time to detect that a part has
 * stopped.
 */
static mt_ms_t checkpoint_timeout(const mt_runner_t *runner,
				  const mt_run_t *run)
{
	return run->part_count > 1 ? runner->deps.settings->lease_term_ms / 2
				   : MT_CHECKPOINT_TIMEOUT_MS;
}

static bool should_checkpoint(const mt_runner_t *runner, const mt_run_t *run,
			      const mt_run_part_t *part)
{
	return run->cause == MT_CAUSE_RECLAIM && run->checkpointable &&
	       !run->no_checkpoint && part->state == MT_TASK_RUNNING &&
	       mt_kernel_now(runner->deps.kernel) <
		       run->phase_entered_at + checkpoint_timeout(runner, run);
}

/**
 * Marks a part as stopped or lost if this is known without a reply to STOP. An
 * expired task lease shows that the task has stopped, but not whether it began,
 * which must be known for claimed jobs.
 */
static void resolve_part(mt_runner_t *runner, const mt_run_t *run,
			 mt_run_part_t *part)
{
	mt_ms_t now = mt_kernel_now(runner->deps.kernel);

	if (part->stopped || part->lost)
		return;
	if (!part->start_sent ||
	    (part->acked && mt_task_state_is_final(part->state)))
		part->stopped = true;
	else if (mt_fleet_is_gone(runner->deps.fleet, &part->server))
		part->lost = true;
	else if (run->idempotent && !part->command_pending &&
		 now > part->lease_until)
		part->stopped = true;
}

static void send_stop(mt_runner_t *runner, mt_run_t *run, guint index)
{
	mt_run_part_t *part = mt_run_part(run, index);
	bool waits = part->command_pending ||
		     mt_kernel_now(runner->deps.kernel) < part->retry_at;

	if (part->stopped || part->lost || waits)
		return;
	mt_run_send_command(runner, run, index,
			    should_checkpoint(runner, run, part)
				    ? MT_SERVER_CHECKPOINT
				    : MT_SERVER_STOP);
}

static void submit_claim_void(mt_runner_t *runner, const mt_run_t *run)
{
	MtPb__Record record = MT_PB__RECORD__INIT;
	MtPb__ClaimVoid claim_void = MT_PB__CLAIM_VOID__INIT;

	claim_void.job = mt_job_id_field(&run->job);
	claim_void.number = run->claim_number;
	record.body_case = MT_PB__RECORD__BODY_CLAIM_VOID;
	record.claim_void = &claim_void;
	mt_appender_submit_record(runner->deps.appender, &record,
				  MT_PRIORITY_CRITICAL, NULL, NULL);
}

/** Outcome of a claimed job whose program has started: it never runs again. */
static MtPb__OutcomeKind claimed_job_outcome(const mt_run_t *run)
{
	switch (run->cause) {
	case MT_CAUSE_FAILED:
	case MT_CAUSE_REFUSED:
		return MT_PB__OUTCOME_KIND__OUTCOME_FAILED;
	case MT_CAUSE_CANCEL:
		return MT_PB__OUTCOME_KIND__OUTCOME_CANCELLED;
	default:
		return MT_PB__OUTCOME_KIND__OUTCOME_UNKNOWN;
	}
}

static void finish_claimed(mt_runner_t *runner, mt_run_t *run, bool began,
			   bool lost)
{
	if (!began && !lost) {
		/* The run is dropped when the ClaimVoid is read back. */
		mt_run_set_phase(runner, run, MT_PHASE_RECORD);
		mt_health_back_off(runner->deps.health, &run->job_text,
				   mt_kernel_now(runner->deps.kernel));
		submit_claim_void(runner, run);
		return;
	}
	mt_run_record_outcome(runner, run,
			      lost ? MT_PB__OUTCOME_KIND__OUTCOME_UNKNOWN
				   : claimed_job_outcome(run),
			      lost ? "server_lost" : run->reason);
}

/**
 * Remembers the label of a run that is dropped: a report that was asked for
 * before may still list its tasks, see recover_idempotent_task().
 */
static void remember_unwound(mt_runner_t *runner, const mt_run_t *run)
{
	if (g_hash_table_size(runner->unwound) >= UNWOUND_MAX)
		g_hash_table_remove_all(runner->unwound);
	g_hash_table_insert(runner->unwound,
			    g_memdup2(&run->job, sizeof(run->job)),
			    mt_name_dup(&run->run_label));
}

static void finish_idempotent(mt_runner_t *runner, mt_run_t *run)
{
	mt_ms_t now = mt_kernel_now(runner->deps.kernel);

	if (run->cause == MT_CAUSE_CANCEL) {
		mt_run_record_outcome(runner, run,
				      MT_PB__OUTCOME_KIND__OUTCOME_CANCELLED,
				      run->reason);
		return;
	}
	if (run->cause == MT_CAUSE_FAILED &&
	    mt_health_should_fail_job(runner->deps.health, &run->job_text)) {
		mt_run_record_outcome(runner, run,
				      MT_PB__OUTCOME_KIND__OUTCOME_FAILED,
				      run->reason);
		return;
	}
	if (run->cause == MT_CAUSE_REFUSED || run->cause == MT_CAUSE_LOST)
		mt_health_back_off(runner->deps.health, &run->job_text, now);
	remember_unwound(runner, run);
	mt_run_forget_tasks(runner, run);
	mt_run_drop(runner, run);
}

static void finish_unwind(mt_runner_t *runner, mt_run_t *run)
{
	bool began = false;
	bool lost = false;

	for (guint i = 0; i < run->parts->len; i++) {
		began = began || mt_run_part(run, i)->began;
		lost = lost || mt_run_part(run, i)->lost;
	}
	if (run->cause == MT_CAUSE_ENDED) {
		mt_run_forget_tasks(runner, run);
		mt_run_drop(runner, run);
	} else if (run->idempotent) {
		finish_idempotent(runner, run);
	} else {
		finish_claimed(runner, run, began, lost);
	}
}

void mt_run_advance_unwind(mt_runner_t *runner, mt_run_t *run)
{
	guint n_resolved = 0;

	for (guint i = 0; i < run->parts->len; i++) {
		mt_run_part_t *part = mt_run_part(run, i);

		resolve_part(runner, run, part);
		send_stop(runner, run, i);
		n_resolved += part->stopped || part->lost;
	}
	if (n_resolved == run->parts->len)
		finish_unwind(runner, run);
}

void mt_run_forget_tasks(mt_runner_t *runner, mt_run_t *run)
{
	for (guint i = 0; i < run->parts->len; i++) {
		mt_run_part_t *part = mt_run_part(run, i);
		mt_fleet_server_t *server =
			mt_fleet_find(runner->deps.fleet, &part->server);

		if (part->start_sent && server && server->leased)
			mt_runner_send_task_command(runner, server, &part->task,
						    MT_SERVER_FORGET);
	}
}
