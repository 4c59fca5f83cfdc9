/** @file front_op.c Calls that wait for the store or for another host. */
#include "dag/front_internal.h"

/** Timeout of calls for which the client specifies none. */
#define TIMEOUT_DEFAULT_MS 3000u

/** Longer timeouts of clients count as this one. */
#define TIMEOUT_MAX_MS 3600000u

/**
 * A call is replied to at the latest this long before the client's timeout. If
 * the timeout is at most twice this margin, the call is replied to at the
 * latest after half the timeout.
 */
#define REPLY_MARGIN_MS 200u

void mt_front_reply_now(mt_front_cb cb, void *ctx, mt_front_outcome_t outcome)
{
	mt_front_reply_t reply = {outcome, MT_DAG__STATE__QUEUED, 0,
				  MT_FRONT_RETRY_AFTER_S};

	cb(ctx, &reply);
}

bool mt_front_finish_op(mt_front_op_t *op, const mt_front_reply_t *reply)
{
	mt_front_cb cb = op->cb;
	mt_kernel_t *kernel = op->front->deps.kernel;

	if (!cb)
		return false;
	op->cb = NULL;
	op->front->open_calls--;
	mt_timers_cancel(mt_kernel_timers(kernel), op->timer);
	op->timer = 0;
	cb(op->ctx, reply);
	return true;
}

void mt_front_log_answered(const mt_front_op_t *op, mt_front_outcome_t outcome)
{
	mt_kernel_t *kernel = op->front->deps.kernel;

	mt_kernel_event(
		kernel, "call_answered",
		"\"job\":\"%016" G_GINT64_MODIFIER
		"x\",\"verb\":%d,\"outcome\":%d,\"took_ms\":%u,"
		"\"config_version\":%" G_GUINT64_FORMAT ",\"config_age_ms\":%u",
		op->job, op->verb, outcome,
		(unsigned)(mt_kernel_now(kernel) - op->started_at),
		op->front->catalog ? op->front->catalog->version : 0,
		(unsigned)mt_follower_age(op->front->deps.config_follower));
	mt_kernel_observe(kernel, "call_ms",
			  mt_kernel_now(kernel) - op->started_at);
}

void mt_front_reply_op(mt_front_op_t *op, mt_front_outcome_t outcome)
{
	mt_front_reply_t reply = {outcome, MT_DAG__STATE__QUEUED, 0,
				  MT_FRONT_RETRY_AFTER_S};

	if (mt_front_finish_op(op, &reply))
		mt_front_log_answered(op, outcome);
}

void mt_front_reply_state(mt_front_op_t *op, const mt_table_job_t *job)
{
	mt_front_reply_t reply = {MT_FRONT_OUTCOME_STATE, mt_table_state(job),
				  0, 0};

	mt_front_finish_op(op, &reply);
}

/**
 * Replies when neither the store nor another host has answered in time: with
 * the last known state of a job to be shown; with an unknown outcome if the
 * call may have been carried out; otherwise, the client may retry. The read or
 * write goes on.
 */
static void on_op_timeout(void *ctx)
{
	mt_front_op_t *op = ctx;
	const mt_table_job_t *job =
		mt_table_find(op->front->deps.table, op->job);

	op->timer = 0;
	if (op->verb == MT_VERB_SHOW && job && !op->exact)
		mt_front_reply_state(op, job);
	else if (op->forwarded && !op->maybe_done)
		mt_front_reply_op(op, MT_FRONT_OUTCOME_NOT_DONE);
	else
		mt_front_reply_op(op, MT_FRONT_OUTCOME_UNKNOWN);
}

mt_front_op_t *mt_front_new_op(mt_dag_front_t *front, mt_verb_t verb,
			       mt_ms_t timeout, uint64_t job, mt_front_cb cb,
			       void *ctx)
{
	mt_front_op_t *op = g_new0(mt_front_op_t, 1);

	timeout = timeout ? MIN(timeout, TIMEOUT_MAX_MS) : TIMEOUT_DEFAULT_MS;
	op->front = front;
	op->cb = cb;
	op->ctx = ctx;
	op->job = job;
	op->verb = verb;
	op->started_at = mt_kernel_now(front->deps.kernel);
	timeout = timeout > 2 * REPLY_MARGIN_MS ? timeout - REPLY_MARGIN_MS
						: timeout / 2;
	op->timer = mt_timers_after(mt_kernel_timers(front->deps.kernel),
				    timeout, on_op_timeout, op);
	front->open_calls++;
	return op;
}

void mt_front_free_op(mt_front_op_t *op)
{
	if (op->job_record)
		g_bytes_unref(op->job_record);
	mt_shared_name_clear(&op->queue);
	g_free(op);
}
