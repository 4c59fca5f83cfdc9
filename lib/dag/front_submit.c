/** @file front_submit.c Submissions, their refusals and confirmations. */
#include "dag/front_internal.h"

#include <stdlib.h>
#include <string.h>

/**
 * Submissions are refused when writes to the store have failed for longer than
 * this.
 */
#define WRITE_STALL_MS 800u

/* Refusals of submissions, and confirmations that a stored one is not refused.
 * See refusals.h. */

static void reply_refused(mt_front_op_t *op)
{
	mt_front_reply_t reply = {MT_FRONT_OUTCOME_NOT_DONE,
				  MT_DAG__STATE__QUEUED, 0,
				  op->admission.retry_after_s};

	if (!mt_front_finish_op(op, &reply))
		return;
	mt_front_log_answered(op, reply.outcome);
	mt_load_shedding_note_refused(op->front->load_shedding, &op->admission,
				      op->priority);
}

void mt_front_on_confirmation(mt_front_op_t *op, mt_front_outcome_t outcome)
{
	if (outcome == MT_FRONT_OUTCOME_ACCEPTED) {
		mt_front_reply_op(op, MT_FRONT_OUTCOME_ACCEPTED);
	} else if (outcome == MT_FRONT_OUTCOME_CANCELLED) {
		op->admission =
			(mt_admission_t){false, MT_ADMISSION_REFUSED_BEFORE, 0,
					 MT_RETRY_AFTER_MAX_S};
		reply_refused(op);
	} else {
		mt_front_reply_op(op, MT_FRONT_OUTCOME_UNKNOWN);
	}
	mt_front_free_op(op);
}

mt_front_outcome_t mt_front_confirmation(const mt_dag_front_t *front,
					 uint64_t id)
{
	if (mt_refusals_is_certain(front->refusals, id))
		return MT_FRONT_OUTCOME_CANCELLED;
	if (mt_table_find_refused(front->deps.table, id))
		return MT_FRONT_OUTCOME_NO_JOB;
	return mt_table_find(front->deps.table, id) ? MT_FRONT_OUTCOME_ACCEPTED
						    : MT_FRONT_OUTCOME_UNKNOWN;
}

static void on_caught_up_to_confirm(void *ctx, bool current)
{
	mt_front_op_t *op = ctx;

	/* The table may have been cleared meanwhile. */
	if (current && mt_front_has_records(op->front))
		mt_front_on_confirmation(
			op, mt_front_confirmation(op->front, op->job));
	else
		mt_timers_after(mt_kernel_timers(op->front->deps.kernel),
				MT_FRONT_FORWARD_RETRY_MS, mt_front_forward,
				op);
}

/**
 * Finds out whether the job that this host has just stored was refused by
 * another host before. The client is told that it is accepted only if it was
 * not.
 */
static void confirm(mt_front_op_t *op)
{
	op->peer_verb = MT_VERB_CONFIRM;
	if (mt_front_has_records(op->front))
		mt_follower_catch_up(op->front->records_follower,
				     on_caught_up_to_confirm, op);
	else
		mt_front_forward(op);
}

void mt_front_on_written(void *ctx, mt_store_result_t result)
{
	mt_front_op_t *op = ctx;

	if (result == MT_STORE_DONE && op->cb && op->verb == MT_VERB_SUBMIT &&
	    mt_load_shedding_confirms(op->front->load_shedding)) {
		confirm(op);
		return;
	}
	if (result == MT_STORE_DONE)
		mt_front_reply_op(op, op->verb == MT_VERB_SUBMIT
					      ? MT_FRONT_OUTCOME_ACCEPTED
					      : MT_FRONT_OUTCOME_CANCELLED);
	else if (result == MT_STORE_REFUSED)
		mt_front_reply_op(op, MT_FRONT_OUTCOME_NOT_DONE);
	else
		mt_front_reply_op(op, MT_FRONT_OUTCOME_UNKNOWN);
	mt_front_free_op(op);
}

/** True if there is memory for the job at all hosts that may lead. */
static bool has_memory(const mt_dag_front_t *front, uint32_t priority,
		       size_t job_bytes)
{
	mt_memory_budget_t *budget = front->deps.memory_budget;
	uint64_t table_bytes =
		mt_front_has_records(front)
			? mt_table_memory_bytes(front->deps.table)
			: 0;

	return !budget || mt_memory_budget_allows(budget, job_bytes, priority,
						  table_bytes);
}

/** Writes the job record of a submission. */
static void write_job(mt_front_op_t *op)
{
	mt_record_key_t key = mt_record_key(MT_RECORD_JOB, op->job);
	mt_writer_t *writer = op->front->deps.writer;

	if (op->front->deps.memory_budget)
		mt_memory_budget_note_accepted(op->front->deps.memory_budget,
					       op->job_bytes);
	mt_writer_add(writer, mt_str_from(key.text),
		      mt_bytes_view(op->job_record));
	g_clear_pointer(&op->job_record, g_bytes_unref);
	mt_writer_commit(writer, MT_WRITER_EXPIRES, mt_front_on_written, op);
}

/**
 * Handles the outcome of a refusal. If it is uncertain, the job is stored
 * instead, unless the call has timed out, the job was stored before, or there
 * is no memory for it.
 */
static void on_refusal(void *ctx, mt_refusal_result_t result)
{
	mt_front_op_t *op = ctx;

	if (result == MT_REFUSAL_UNCERTAIN && op->job_record && op->cb &&
	    has_memory(op->front, op->priority, op->job_bytes)) {
		mt_kernel_count(op->front->deps.kernel,
				"admission_uncertain_total");
		write_job(op);
		return;
	}
	if (result == MT_REFUSAL_REFUSED)
		reply_refused(op);
	else if (result == MT_REFUSAL_STORED)
		mt_front_reply_op(op, MT_FRONT_OUTCOME_ACCEPTED);
	else
		mt_front_reply_op(op, MT_FRONT_OUTCOME_UNKNOWN);
	mt_front_free_op(op);
}

static void on_peer_refusal(void *ctx, const MtDag__PeerReply *reply)
{
	mt_refusal_result_t result = MT_REFUSAL_UNCERTAIN;

	if (reply && reply->outcome == MT_FRONT_OUTCOME_CANCELLED)
		result = MT_REFUSAL_REFUSED;
	else if (reply && reply->outcome == MT_FRONT_OUTCOME_ACCEPTED)
		result = MT_REFUSAL_STORED;
	on_refusal(ctx, result);
}

/**
 * Refuses a submission, here or at the first host that has the records. No
 * other host is asked if that one does not answer: it may be refusing the job.
 */
static void refuse_submission(mt_front_op_t *op)
{
	const mt_dag_front_deps_t *deps = &op->front->deps;
	MtDag__PeerCall call = MT_DAG__PEER_CALL__INIT;
	mt_endpoint_t endpoints[MT_INFORMED_HOSTS_MAX];

	if (mt_front_has_records(op->front)) {
		mt_refusals_add(op->front->refusals, op->job, on_refusal, op);
		return;
	}
	if (!deps->list_informed(deps->list_informed_ctx, endpoints)) {
		on_refusal(op, MT_REFUSAL_UNCERTAIN);
		return;
	}
	call.verb = MT_VERB_REFUSE;
	call.job = op->job;
	deps->peers->call(deps->peers->self, &endpoints[0], &call,
			  on_peer_refusal, op);
}

/* Submissions. */

/**
 * Replaces a string of an unpacked message. Such strings are allocated with
 * malloc() and not with g_malloc(), as protobuf-c frees them with free().
 */
static void set_text(char **field, const char *text)
{
	if (*field != protobuf_c_empty_string)
		free(*field);
	*field = strdup(text);
}

/** Sets the job's id, the settings of its queue and the account's name. */
static void copy_queue_settings(MtDag__Job *job, uint64_t id,
				const mt_job_spelling_t *spelling,
				const mt_queue_t *queue,
				const mt_client_account_t *account)
{
	job->id = id;
	job->id_digits = spelling->digits;
	job->id_capitals = spelling->capitals;
	set_text(&job->queue, mt_shared_name_text(queue->name));
	set_text(&job->service, mt_shared_name_text(queue->service));
	set_text(&job->account,
		 account ? mt_shared_name_text(account->name) : "");
	job->priority = queue->priority;
	job->attempts_max = queue->attempts_max;
	job->slack_permille = (uint32_t)(queue->slack_factor * 1000);
	job->target_ms = queue->objective_extra_ms;
	job->advised = queue->advised;
	job->decision_ms = queue->decision_ms;
	job->per_server_ms = queue->per_server_ms;
}

/** True if the store takes a record with this value, and a key of ours. */
static bool fits_into_record(const mt_dag_front_t *front, GBytes *value)
{
	mt_record_key_t key = mt_record_key(MT_RECORD_JOB, 0);

	return !front->deps.record_max_bytes ||
	       mt_store_record_size(mt_str_from(key.text),
				    mt_bytes_view(value)) <=
		       front->deps.record_max_bytes;
}

static void refuse_for_memory(mt_dag_front_t *front, uint64_t id,
			      size_t job_bytes, mt_front_cb cb, void *ctx)
{
	mt_kernel_t *kernel = front->deps.kernel;
	mt_front_reply_t reply = {MT_FRONT_OUTCOME_NOT_DONE,
				  MT_DAG__STATE__QUEUED, 0,
				  mt_memory_budget_retry_after_s(id)};

	mt_kernel_count(kernel, "memory_refusals_total");
	mt_kernel_event(kernel, "memory_refusal",
			"\"job\":\"%016" G_GINT64_MODIFIER
			"x\",\"bytes\":%zu,\"retry_after_s\":%u",
			id, job_bytes, reply.retry_after_s);
	cb(ctx, &reply);
}

void mt_front_submit(mt_dag_front_t *front, const mt_front_call_t *call,
		     uint64_t id, const mt_job_spelling_t *spelling,
		     const mt_queue_t *queue,
		     const mt_client_account_t *account, mt_front_cb cb,
		     void *ctx)
{
	MtDag__Job *job;
	mt_front_op_t *op;
	mt_admission_t admission;
	GBytes *bytes;
	size_t job_bytes;
	bool is_refused;

	is_refused = mt_front_has_records(front) &&
		     mt_table_find_refused(front->deps.table, id);
	if (!is_refused && mt_front_has_records(front) &&
	    mt_table_find(front->deps.table, id)) {
		mt_front_reply_now(cb, ctx, MT_FRONT_OUTCOME_ACCEPTED);
		return;
	}
	if (mt_writer_stalled_ms(front->deps.writer) > WRITE_STALL_MS) {
		mt_front_reply_now(cb, ctx, MT_FRONT_OUTCOME_NOT_DONE);
		return;
	}
	job = front->deps.decode_job(call->body);
	if (!job) {
		mt_front_reply_now(cb, ctx, MT_FRONT_OUTCOME_BAD_REQUEST);
		return;
	}
	copy_queue_settings(job, id, spelling, queue, account);
	bytes = mt_dag_pack(&job->base);
	admission = mt_load_shedding_decide(front->load_shedding, job, account);
	job_bytes = mt_memory_budget_job_bytes(job, g_bytes_get_size(bytes));
	mt_dag__job__free_unpacked(job, NULL);
	if (!fits_into_record(front, bytes)) {
		mt_front_reply_now(cb, ctx, MT_FRONT_OUTCOME_BAD_REQUEST);
		g_bytes_unref(bytes);
		return;
	}
	if (admission.accepted && !is_refused &&
	    !has_memory(front, queue->priority, job_bytes)) {
		refuse_for_memory(front, id, job_bytes, cb, ctx);
		g_bytes_unref(bytes);
		return;
	}
	op = mt_front_new_op(front, call->verb, call->timeout_ms, id, cb, ctx);
	op->job_record = bytes;
	op->job_bytes = job_bytes;
	op->priority = queue->priority;
	op->admission = admission;
	if (!admission.accepted)
		refuse_submission(op);
	else if (is_refused)
		mt_front_on_confirmation(op, mt_front_confirmation(front, id));
	else
		write_job(op);
}
