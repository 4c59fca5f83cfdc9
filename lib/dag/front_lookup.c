/**
 * @file front_lookup.c
 * Queries and cancellations on a host that has the records of all jobs.
 */
#include "dag/front_internal.h"

/**
 * Before an unfinished job is shown, this host's copy of the records is updated
 * from the store if it is older than this.
 */
#define SHOW_AGE_MAX_MS 20u

/**
 * If this host's copy of the records is older than this, the store is assumed
 * to be unreachable, and the known state of a job is shown without an update.
 */
#define SHOW_UPDATE_AGE_MAX_MS 1000u

static void show_job(const mt_table_job_t *job, mt_front_cb cb, void *ctx)
{
	mt_front_reply_t reply = {MT_FRONT_OUTCOME_STATE, mt_table_state(job),
				  0, 0};

	cb(ctx, &reply);
}

static void write_cancel(mt_dag_front_t *front, uint64_t id, mt_front_op_t *op)
{
	mt_record_key_t key = mt_record_key(MT_RECORD_CANCEL, id);

	mt_writer_add(front->deps.writer, mt_str_from(key.text),
		      MT_STR(MT_CANCEL_BY_CLIENT));
	mt_writer_commit(front->deps.writer, MT_WRITER_REPORTS_REFUSAL,
			 mt_front_on_written, op);
}

/**
 * Completes the operation for a job found in the table. The cancellation of an
 * unfinished job is written first, unless the call has timed out.
 */
static void finish_known_job(mt_front_op_t *op, const mt_table_job_t *job)
{
	mt_front_cb cb = op->cb;
	bool is_final = mt_state_is_final(mt_table_state(job));

	if (op->verb == MT_VERB_CANCEL && cb && !is_final) {
		write_cancel(op->front, op->job, op);
		return;
	}
	if (op->verb == MT_VERB_CANCEL) {
		mt_front_reply_op(op, MT_FRONT_OUTCOME_CANCELLED);
	} else {
		mt_front_reply_state(op, job);
	}
	mt_front_free_op(op);
}

static void on_absent_cancel_written(void *ctx, mt_store_result_t result)
{
	mt_front_op_t *op = ctx;

	if (result == MT_STORE_DONE)
		mt_front_reply_op(op, MT_FRONT_OUTCOME_NO_JOB);
	else if (result == MT_STORE_REFUSED)
		mt_front_reply_op(op, MT_FRONT_OUTCOME_NOT_DONE);
	else
		mt_front_reply_op(op, MT_FRONT_OUTCOME_UNKNOWN);
	mt_front_free_op(op);
}

/**
 * Cancels a job that is not stored. The client is told that there is no such
 * job only once the cancellation is stored: another host may still be trying to
 * store the job, which would run otherwise.
 */
static void cancel_absent_job(mt_front_op_t *op)
{
	mt_dag_front_t *front = op->front;

	if (!op->cb ||
	    mt_table_is_absent_cancelled(front->deps.table, op->job)) {
		mt_front_reply_op(op, MT_FRONT_OUTCOME_NO_JOB);
		mt_front_free_op(op);
		return;
	}
	if (mt_absent_cancels_add(front->absent_cancels, op->job,
				  on_absent_cancel_written, op))
		return;
	mt_kernel_event(front->deps.kernel, "cancel_refused",
			"\"job\":\"%016" G_GINT64_MODIFIER
			"x\",\"reason\":\"too many of unknown jobs\"",
			op->job);
	mt_front_reply_op(op, MT_FRONT_OUTCOME_NOT_DONE);
	mt_front_free_op(op);
}

static void on_caught_up(void *ctx, bool current)
{
	mt_front_op_t *op = ctx;
	const mt_table_job_t *job =
		mt_table_find(op->front->deps.table, op->job);

	/* The table may have been cleared meanwhile. */
	current = current && mt_front_has_records(op->front);
	if (job && (current || !op->exact)) {
		finish_known_job(op, job);
		return;
	}
	if (current && op->verb == MT_VERB_CANCEL) {
		cancel_absent_job(op);
		return;
	}
	mt_front_reply_op(op, current ? MT_FRONT_OUTCOME_NO_JOB
				      : MT_FRONT_OUTCOME_NOT_DONE);
	mt_front_free_op(op);
}

/**
 * True when this host's copy of the records should be updated before the job is
 * shown, as the job may have ended since the last update. Unless the state must
 * be exact, false also when an update is not expected to succeed, see
 * SHOW_UPDATE_AGE_MAX_MS.
 */
static bool should_update_first(const mt_dag_front_t *front,
				const mt_table_job_t *job, bool exact)
{
	mt_ms_t age = mt_follower_age(front->records_follower);

	if (mt_state_is_final(mt_table_state(job)))
		return false;
	return exact ||
	       (age > SHOW_AGE_MAX_MS && age <= SHOW_UPDATE_AGE_MAX_MS);
}

void mt_front_look_up(mt_dag_front_t *front, mt_verb_t verb, mt_ms_t timeout,
		      uint64_t id, bool exact, mt_front_cb cb, void *ctx)
{
	const mt_table_job_t *job = mt_table_find(front->deps.table, id);
	mt_front_op_t *op;

	if (job && verb == MT_VERB_SHOW &&
	    !should_update_first(front, job, exact)) {
		show_job(job, cb, ctx);
		return;
	}
	op = mt_front_new_op(front, verb, timeout, id, cb, ctx);
	op->exact = exact;
	if (job && verb == MT_VERB_CANCEL)
		finish_known_job(op, job);
	else
		mt_follower_catch_up(front->records_follower, on_caught_up, op);
}

void mt_front_show_queue(const mt_dag_front_t *front, mt_shared_name_t queue,
			 mt_front_cb cb, void *ctx)
{
	mt_front_reply_t reply = {MT_FRONT_OUTCOME_PENDING_COUNT,
				  MT_DAG__STATE__QUEUED, 0, 0};

	reply.pending = mt_table_n_pending(front->deps.table, queue);
	cb(ctx, &reply);
}
