/** @file front.c Handles the calls that submit, show and cancel jobs. */
#include "dag/front.h"

#include "dag/absent_cancels.h"
#include "dag/refusals.h"

#include <stdlib.h>
#include <string.h>

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

/**
 * The host is not ready when its copy of the configuration is older than this.
 * The age may reach twice the timeout of the long polls (CONFIG_WAIT_MS in
 * host.c) while the store answers.
 */
#define READY_AGE_MAX_MS 2500u

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

/**
 * Submissions are refused when writes to the store have failed for longer than
 * this.
 */
#define WRITE_STALL_MS 800u

/** Delay after which a client is told to repeat a call that was not done. */
#define RETRY_AFTER_S 1u

/**
 * Delay before a call is passed on again after all hosts with the records have
 * failed to reply, for example while there is no leader.
 */
#define FORWARD_RETRY_MS 100u

/**
 * Maximum number of events call_refused per second, so that clients without a
 * valid API key do not use up MT_EVENTS_PER_S.
 */
#define REFUSALS_LOGGED_PER_S 20u
#define MS_PER_S 1000u

struct mt_dag_front_t {
	mt_dag_front_deps_t deps;
	mt_ms_t refusals_since;	  /**< begin of the present second */
	unsigned refusals_logged; /**< in the present second */
	/** Reads the records of jobs; NULL: this host does not read them. */
	mt_follower_t *records_follower;
	const mt_catalog_t *catalog;
	unsigned open_calls; /**< number of calls not replied to yet */
	mt_absent_cancels_t *absent_cancels;
	mt_refusals_t *refusals;
	mt_load_shedding_t *load_shedding;
};

/** An operation: a call that waits for the store or for another host. */
typedef struct mt_front_op_t {
	mt_dag_front_t *front;
	mt_front_cb cb; /**< NULL after the call has been replied to */
	void *ctx;
	uint64_t timer; /**< for on_op_timeout() */
	uint64_t job;
	mt_verb_t verb;
	mt_ms_t started_at; /**< local time of the call */
	/** A job that is shown must be read up to the time of the call: the
	 * call comes from another host, whose clients may have been shown a
	 * later state. */
	bool exact;
	/* Of a call that is passed on to another host. */
	mt_name_t queue;     /**< of a call about a queue; empty otherwise */
	bool forwarded;	     /**< the call is passed on */
	unsigned next_peer;  /**< index of the next host in the list of hosts */
	bool maybe_done;     /**< an attempt to cancel got no reply */
	mt_verb_t peer_verb; /**< verb of the call */
	/* Of a submission. */
	GBytes *job_record; /**< the packed job; NULL: not to be stored */
	uint32_t priority;
	mt_admission_t admission; /**< why it is refused */
} mt_front_op_t;

static void make_admission(mt_dag_front_t *front)
{
	const mt_dag_front_deps_t *own = &front->deps;
	mt_refusals_deps_t deps = {own->kernel, own->store, own->table, {0}};
	mt_load_shedding_deps_t shedding_deps = {
		own->kernel, own->admission_mode, own->pressure,
		own->pressure_ctx};
	char *producer = g_strdup_printf("%s-r", own->incarnation.text);

	deps.producer = mt_name(producer);
	g_free(producer);
	front->refusals = mt_refusals_new(&deps);
	front->load_shedding = mt_load_shedding_new(&shedding_deps);
}

mt_dag_front_t *mt_dag_front_new(const mt_dag_front_deps_t *deps)
{
	mt_dag_front_t *front = g_new0(mt_dag_front_t, 1);

	front->deps = *deps;
	front->absent_cancels =
		mt_absent_cancels_new(deps->kernel, deps->table, deps->writer);
	make_admission(front);
	return front;
}

void mt_dag_front_free(mt_dag_front_t *front)
{
	mt_absent_cancels_free(front->absent_cancels);
	mt_refusals_free(front->refusals);
	mt_load_shedding_free(front->load_shedding);
	g_free(front);
}

void mt_dag_front_set_catalog(mt_dag_front_t *front,
			      const mt_catalog_t *catalog)
{
	front->catalog = catalog;
}

unsigned mt_dag_front_n_open_calls(const mt_dag_front_t *front)
{
	return front->open_calls;
}

/**
 * True when a configuration has been read and mt_follower_age() of the
 * configuration's follower is at most `age_max`.
 */
static bool config_is_recent(const mt_dag_front_t *front, mt_ms_t age_max)
{
	return front->catalog &&
	       mt_follower_age(front->deps.config_follower) <= age_max;
}

bool mt_dag_front_is_ready(const mt_dag_front_t *front)
{
	return config_is_recent(front, READY_AGE_MAX_MS);
}

void mt_dag_front_set_records(mt_dag_front_t *front, mt_follower_t *follower)
{
	front->records_follower = follower;
	mt_refusals_set_follower(front->refusals, follower);
}

/** True when this host has the records of all jobs. */
static bool has_records(const mt_dag_front_t *front)
{
	return front->records_follower &&
	       mt_follower_has_snapshot(front->records_follower);
}

static void reply_now(mt_front_cb cb, void *ctx, mt_front_outcome_t outcome)
{
	mt_front_reply_t reply = {outcome, MT_DAG__STATE__QUEUED, 0,
				  RETRY_AFTER_S};

	cb(ctx, &reply);
}

/* Calls that wait for the store. */

/**
 * Gives the reply to the client, unless the call was replied to before.
 * @return false when the call was replied to before
 */
static bool finish_op(mt_front_op_t *op, const mt_front_reply_t *reply)
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

/** Logs the event call_answered and counts the time of the call. */
static void log_answered(const mt_front_op_t *op, mt_front_outcome_t outcome)
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

/** Replies with `outcome`, unless the call was replied to before. */
static void reply_op(mt_front_op_t *op, mt_front_outcome_t outcome)
{
	mt_front_reply_t reply = {outcome, MT_DAG__STATE__QUEUED, 0,
				  RETRY_AFTER_S};

	if (finish_op(op, &reply))
		log_answered(op, outcome);
}

static void show_job(const mt_table_job_t *job, mt_front_cb cb, void *ctx)
{
	mt_front_reply_t reply = {MT_FRONT_OUTCOME_STATE, mt_table_state(job),
				  0, 0};

	cb(ctx, &reply);
}

/**
 * Replies with the state of the job, unless the call was replied to before.
 * Logs no event.
 */
static void reply_state(mt_front_op_t *op, const mt_table_job_t *job)
{
	mt_front_reply_t reply = {MT_FRONT_OUTCOME_STATE, mt_table_state(job),
				  0, 0};

	finish_op(op, &reply);
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
		reply_state(op, job);
	else if (op->forwarded && !op->maybe_done)
		reply_op(op, MT_FRONT_OUTCOME_NOT_DONE);
	else
		reply_op(op, MT_FRONT_OUTCOME_UNKNOWN);
}

/** @param timeout how long the client waits; 0: not specified */
static mt_front_op_t *new_op(mt_dag_front_t *front, mt_verb_t verb,
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

static void free_op(mt_front_op_t *op)
{
	if (op->job_record)
		g_bytes_unref(op->job_record);
	g_free(op);
}

static void confirm(mt_front_op_t *op);

/**
 * Replies with the outcome of a write, unless on_op_timeout() has replied, and
 * frees the operation. If submissions have to be confirmed, a stored one is
 * replied to later.
 */
static void on_written(void *ctx, mt_store_result_t result)
{
	mt_front_op_t *op = ctx;

	if (result == MT_STORE_DONE && op->cb && op->verb == MT_VERB_SUBMIT &&
	    mt_load_shedding_confirms(op->front->load_shedding)) {
		confirm(op);
		return;
	}
	if (result == MT_STORE_DONE)
		reply_op(op, op->verb == MT_VERB_SUBMIT
				     ? MT_FRONT_OUTCOME_ACCEPTED
				     : MT_FRONT_OUTCOME_CANCELLED);
	else if (result == MT_STORE_REFUSED)
		reply_op(op, MT_FRONT_OUTCOME_NOT_DONE);
	else
		reply_op(op, MT_FRONT_OUTCOME_UNKNOWN);
	free_op(op);
}

/** Writes the job record of a submission. */
static void write_job(mt_front_op_t *op)
{
	mt_record_key_t key = mt_record_key(MT_RECORD_JOB, op->job);
	mt_writer_t *writer = op->front->deps.writer;

	mt_writer_add(writer, mt_str_from(key.text),
		      mt_bytes_view(op->job_record));
	g_clear_pointer(&op->job_record, g_bytes_unref);
	mt_writer_commit(writer, MT_WRITER_EXPIRES, on_written, op);
}

static void write_cancel(mt_dag_front_t *front, uint64_t id, mt_front_op_t *op)
{
	mt_record_key_t key = mt_record_key(MT_RECORD_CANCEL, id);

	mt_writer_add(front->deps.writer, mt_str_from(key.text),
		      MT_STR(MT_CANCEL_BY_CLIENT));
	mt_writer_commit(front->deps.writer, MT_WRITER_REPORTS_REFUSAL,
			 on_written, op);
}

/* Refusals of submissions, and confirmations that a stored one is not refused.
 * See refusals.h. */

static void reply_refused(mt_front_op_t *op)
{
	mt_front_reply_t reply = {MT_FRONT_OUTCOME_NOT_DONE,
				  MT_DAG__STATE__QUEUED, 0,
				  op->admission.retry_after_s};

	if (!finish_op(op, &reply))
		return;
	log_answered(op, reply.outcome);
	mt_load_shedding_note_refused(op->front->load_shedding, &op->admission,
				      op->priority);
}

/**
 * Handles the outcome of a refusal. If it is uncertain, the job is stored
 * instead, unless on_op_timeout() has replied, or the job was stored before.
 */
static void on_refusal(void *ctx, mt_refusal_result_t result)
{
	mt_front_op_t *op = ctx;

	if (result == MT_REFUSAL_UNCERTAIN && op->job_record && op->cb) {
		mt_kernel_count(op->front->deps.kernel,
				"admission_uncertain_total");
		write_job(op);
		return;
	}
	if (result == MT_REFUSAL_REFUSED)
		reply_refused(op);
	else if (result == MT_REFUSAL_STORED)
		reply_op(op, MT_FRONT_OUTCOME_ACCEPTED);
	else
		reply_op(op, MT_FRONT_OUTCOME_UNKNOWN);
	free_op(op);
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

	if (has_records(op->front)) {
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

static void forward(void *ctx);

/**
 * Handles the answer whether the job of a submission is refused.
 * @param outcome see MT_VERB_CONFIRM
 */
static void on_confirmation(mt_front_op_t *op, mt_front_outcome_t outcome)
{
	if (outcome == MT_FRONT_OUTCOME_ACCEPTED) {
		reply_op(op, MT_FRONT_OUTCOME_ACCEPTED);
	} else if (outcome == MT_FRONT_OUTCOME_CANCELLED) {
		op->admission =
			(mt_admission_t){false, MT_ADMISSION_REFUSED_BEFORE, 0,
					 MT_RETRY_AFTER_MAX_S};
		reply_refused(op);
	} else {
		reply_op(op, MT_FRONT_OUTCOME_UNKNOWN);
	}
	free_op(op);
}

/** See MT_VERB_CONFIRM; this host's copy of the records is current. */
static mt_front_outcome_t confirmation(const mt_dag_front_t *front, uint64_t id)
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
	if (current && has_records(op->front))
		on_confirmation(op, confirmation(op->front, op->job));
	else
		mt_timers_after(mt_kernel_timers(op->front->deps.kernel),
				FORWARD_RETRY_MS, forward, op);
}

/**
 * Finds out whether the job that this host has just stored was refused by
 * another host before. The client is told that it is accepted only if it was
 * not.
 */
static void confirm(mt_front_op_t *op)
{
	op->peer_verb = MT_VERB_CONFIRM;
	if (has_records(op->front))
		mt_follower_catch_up(op->front->records_follower,
				     on_caught_up_to_confirm, op);
	else
		forward(op);
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
				const mt_queue_t *queue,
				const mt_client_account_t *account)
{
	job->id = id;
	set_text(&job->queue, queue->name.text);
	set_text(&job->service, queue->service.text);
	set_text(&job->account, account ? account->name.text : "");
	job->priority = queue->priority;
	job->attempts_max = queue->attempts_max;
	job->slack_permille = (uint32_t)(queue->slack_factor * 1000);
	job->target_ms = queue->objective_extra_ms;
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

/**
 * Handles a submission. It is accepted even while the records are still being
 * read. The store may then already have a record of the job that this host has
 * not read, but a second record of the same job has no effect.
 */
static void submit(mt_dag_front_t *front, const mt_front_call_t *call,
		   uint64_t id, const mt_queue_t *queue,
		   const mt_client_account_t *account, mt_front_cb cb,
		   void *ctx)
{
	MtDag__Job *job;
	mt_front_op_t *op;
	mt_admission_t admission;
	GBytes *bytes;
	bool is_refused;

	is_refused = has_records(front) &&
		     mt_table_find_refused(front->deps.table, id);
	if (!is_refused && has_records(front) &&
	    mt_table_find(front->deps.table, id)) {
		reply_now(cb, ctx, MT_FRONT_OUTCOME_ACCEPTED);
		return;
	}
	if (mt_writer_stalled_ms(front->deps.writer) > WRITE_STALL_MS) {
		reply_now(cb, ctx, MT_FRONT_OUTCOME_NOT_DONE);
		return;
	}
	job = front->deps.decode_job(call->body);
	if (!job) {
		reply_now(cb, ctx, MT_FRONT_OUTCOME_BAD_REQUEST);
		return;
	}
	copy_queue_settings(job, id, queue, account);
	bytes = mt_dag_pack(&job->base);
	admission = mt_load_shedding_decide(front->load_shedding, job, account);
	mt_dag__job__free_unpacked(job, NULL);
	if (!fits_into_record(front, bytes)) {
		reply_now(cb, ctx, MT_FRONT_OUTCOME_BAD_REQUEST);
		g_bytes_unref(bytes);
		return;
	}
	op = new_op(front, call->verb, call->timeout_ms, id, cb, ctx);
	op->job_record = bytes;
	op->priority = queue->priority;
	op->admission = admission;
	if (!admission.accepted)
		refuse_submission(op);
	else if (is_refused)
		on_confirmation(op, confirmation(front, id));
	else
		write_job(op);
}

/* Queries and cancellations. */

/**
 * Completes the operation for a job found in the table. The cancellation of an
 * unfinished job is written first, unless on_op_timeout() has replied.
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
		reply_op(op, MT_FRONT_OUTCOME_CANCELLED);
	} else {
		reply_state(op, job);
	}
	free_op(op);
}

static void on_absent_cancel_written(void *ctx, mt_store_result_t result)
{
	mt_front_op_t *op = ctx;

	if (result == MT_STORE_DONE)
		reply_op(op, MT_FRONT_OUTCOME_NO_JOB);
	else if (result == MT_STORE_REFUSED)
		reply_op(op, MT_FRONT_OUTCOME_NOT_DONE);
	else
		reply_op(op, MT_FRONT_OUTCOME_UNKNOWN);
	free_op(op);
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
		reply_op(op, MT_FRONT_OUTCOME_NO_JOB);
		free_op(op);
		return;
	}
	if (mt_absent_cancels_add(front->absent_cancels, op->job,
				  on_absent_cancel_written, op))
		return;
	mt_kernel_event(front->deps.kernel, "cancel_refused",
			"\"job\":\"%016" G_GINT64_MODIFIER
			"x\",\"reason\":\"too many of unknown jobs\"",
			op->job);
	reply_op(op, MT_FRONT_OUTCOME_NOT_DONE);
	free_op(op);
}

static void on_caught_up(void *ctx, bool current)
{
	mt_front_op_t *op = ctx;
	const mt_table_job_t *job =
		mt_table_find(op->front->deps.table, op->job);

	/* The table may have been cleared meanwhile. */
	current = current && has_records(op->front);
	if (job && (current || !op->exact)) {
		finish_known_job(op, job);
		return;
	}
	if (current && op->verb == MT_VERB_CANCEL) {
		cancel_absent_job(op);
		return;
	}
	reply_op(op,
		 current ? MT_FRONT_OUTCOME_NO_JOB : MT_FRONT_OUTCOME_NOT_DONE);
	free_op(op);
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

/**
 * Handles a call to show or cancel a job on a host with the records of all
 * jobs. If the job is not in the table, this host's copy of the records is
 * updated first, as another host may have accepted the job.
 * @param exact see mt_front_op_t
 */
static void look_up(mt_dag_front_t *front, mt_verb_t verb, mt_ms_t timeout,
		    uint64_t id, bool exact, mt_front_cb cb, void *ctx)
{
	const mt_table_job_t *job = mt_table_find(front->deps.table, id);
	mt_front_op_t *op;

	if (job && verb == MT_VERB_SHOW &&
	    !should_update_first(front, job, exact)) {
		show_job(job, cb, ctx);
		return;
	}
	op = new_op(front, verb, timeout, id, cb, ctx);
	op->exact = exact;
	if (job && verb == MT_VERB_CANCEL)
		finish_known_job(op, job);
	else
		mt_follower_catch_up(front->records_follower, on_caught_up, op);
}

static void show_queue(const mt_dag_front_t *front, const mt_name_t *queue,
		       mt_front_cb cb, void *ctx)
{
	mt_front_reply_t reply = {MT_FRONT_OUTCOME_PENDING_COUNT,
				  MT_DAG__STATE__QUEUED, 0, 0};

	reply.pending = mt_table_n_pending(front->deps.table, queue);
	cb(ctx, &reply);
}

/* Calls that are passed on to a host with the records of all jobs. */

/** True if the call may have been carried out although it got no such reply. */
static bool is_maybe_done(const mt_front_op_t *op,
			  const MtDag__PeerReply *reply)
{
	return op->verb == MT_VERB_CANCEL &&
	       (!reply || reply->outcome != MT_FRONT_OUTCOME_NOT_DONE);
}

/** True if the reply settles the call; otherwise another host is asked. */
static bool is_settled(const MtDag__PeerReply *reply)
{
	return reply && reply->outcome < MT_FRONT_OUTCOME_NOT_DONE &&
	       reply->state <= MT_DAG__STATE__CANCELLED;
}

static void on_peer_reply(void *ctx, const MtDag__PeerReply *peer_reply)
{
	mt_front_op_t *op = ctx;
	mt_front_reply_t reply = {MT_FRONT_OUTCOME_NOT_DONE,
				  MT_DAG__STATE__QUEUED, 0, RETRY_AFTER_S};

	if (!is_settled(peer_reply)) {
		op->maybe_done =
			op->maybe_done || is_maybe_done(op, peer_reply);
		forward(op);
		return;
	}
	if (op->verb == MT_VERB_SUBMIT) {
		on_confirmation(op, (mt_front_outcome_t)peer_reply->outcome);
		return;
	}
	reply.outcome = (mt_front_outcome_t)peer_reply->outcome;
	reply.state = peer_reply->state;
	reply.pending = peer_reply->pending;
	if (finish_op(op, &reply) && op->verb == MT_VERB_CANCEL)
		log_answered(op, reply.outcome);
	free_op(op);
}

/**
 * Passes on the call to the next host that has the records: the leader first,
 * then the standbys. After the last one, begins anew after a delay. Ends when
 * the call has been replied to because of its timeout.
 */
static void forward(void *ctx)
{
	mt_front_op_t *op = ctx;
	const mt_dag_front_deps_t *deps = &op->front->deps;
	MtDag__PeerCall call = MT_DAG__PEER_CALL__INIT;
	mt_endpoint_t endpoints[MT_INFORMED_HOSTS_MAX];
	unsigned n_endpoints;

	if (!op->cb) {
		free_op(op);
		return;
	}
	n_endpoints = deps->list_informed(deps->list_informed_ctx, endpoints);
	if (op->next_peer >= n_endpoints) {
		op->next_peer = 0;
		mt_timers_after(mt_kernel_timers(deps->kernel),
				FORWARD_RETRY_MS, forward, op);
		return;
	}
	call.verb = op->peer_verb;
	call.job = op->job;
	call.queue = op->queue.text;
	deps->peers->call(deps->peers->self, &endpoints[op->next_peer++], &call,
			  on_peer_reply, op);
}

/** A call of another host with MT_VERB_REFUSE or MT_VERB_CONFIRM. */
typedef struct mt_admission_call_t {
	mt_dag_front_t *front;
	uint64_t job;
	mt_front_cb cb;
	void *ctx;
} mt_admission_call_t;

static void answer_admission_call(mt_admission_call_t *call,
				  mt_front_outcome_t outcome)
{
	reply_now(call->cb, call->ctx, outcome);
	g_free(call);
}

static void on_refusal_for_peer(void *ctx, mt_refusal_result_t result)
{
	mt_front_outcome_t outcome = MT_FRONT_OUTCOME_UNKNOWN;

	if (result == MT_REFUSAL_REFUSED)
		outcome = MT_FRONT_OUTCOME_CANCELLED;
	else if (result == MT_REFUSAL_STORED)
		outcome = MT_FRONT_OUTCOME_ACCEPTED;
	answer_admission_call(ctx, outcome);
}

static void on_caught_up_for_peer(void *ctx, bool current)
{
	mt_admission_call_t *call = ctx;

	answer_admission_call(call,
			      current && has_records(call->front)
				      ? confirmation(call->front, call->job)
				      : MT_FRONT_OUTCOME_NOT_DONE);
}

static void peer_admission_call(mt_dag_front_t *front,
				const MtDag__PeerCall *peer_call,
				mt_front_cb cb, void *ctx)
{
	mt_admission_call_t *call = g_new0(mt_admission_call_t, 1);

	*call = (mt_admission_call_t){front, peer_call->job, cb, ctx};
	if (peer_call->verb == MT_VERB_REFUSE)
		mt_refusals_add(front->refusals, call->job, on_refusal_for_peer,
				call);
	else
		mt_follower_catch_up(front->records_follower,
				     on_caught_up_for_peer, call);
}

void mt_dag_front_peer_call(mt_dag_front_t *front, const MtDag__PeerCall *call,
			    mt_front_cb cb, void *ctx)
{
	mt_name_t queue = mt_name(call->queue);

	if (!has_records(front))
		reply_now(cb, ctx, MT_FRONT_OUTCOME_NOT_DONE);
	else if (call->verb == MT_VERB_REFUSE || call->verb == MT_VERB_CONFIRM)
		peer_admission_call(front, call, cb, ctx);
	else if (call->verb != MT_VERB_SHOW && call->verb != MT_VERB_CANCEL)
		reply_now(cb, ctx, MT_FRONT_OUTCOME_NOT_DONE);
	else if (queue.len)
		show_queue(front, &queue, cb, ctx);
	else
		look_up(front, (mt_verb_t)call->verb, MT_PEER_TIMEOUT_MS,
			call->job, true, cb, ctx);
}

/* Dispatch of calls. */

/** @return true if a refused call may be logged now */
static bool may_log_refusal(mt_dag_front_t *front)
{
	mt_ms_t now = mt_kernel_now(front->deps.kernel);

	if (now - front->refusals_since >= MS_PER_S) {
		front->refusals_since = now;
		front->refusals_logged = 0;
	}
	return front->refusals_logged++ < REFUSALS_LOGGED_PER_S;
}

/** Counts and logs a refused call. Returns false. */
static bool refuse(mt_dag_front_t *front, const char *reason)
{
	mt_kernel_count(front->deps.kernel,
			"calls_refused_total{reason=\"%s\"}", reason);
	if (!may_log_refusal(front))
		return false;
	mt_kernel_event(
		front->deps.kernel, "call_refused",
		"\"reason\":\"%s\",\"config_version\":%" G_GUINT64_FORMAT
		",\"config_age_ms\":%" G_GINT64_FORMAT,
		reason, front->catalog ? front->catalog->version : 0,
		(gint64)mt_follower_age(front->deps.config_follower));
	return false;
}

/**
 * Finds the queue and the account of a call.
 * @param account receives NULL if the call has no valid key and needs none
 * @return false when the call is refused, with `outcome`
 */
static bool authorize(mt_dag_front_t *front, const mt_front_call_t *call,
		      const mt_queue_t **queue,
		      const mt_client_account_t **account,
		      mt_front_outcome_t *outcome)
{
	if (!config_is_recent(front, front->deps.config_age_max_ms)) {
		*outcome = MT_FRONT_OUTCOME_NOT_DONE;
		return refuse(front, "configuration is not current");
	}
	*queue = mt_catalog_route(front->catalog, call->url_host, call->path);
	if (!*queue) {
		*outcome = MT_FRONT_OUTCOME_NO_QUEUE;
		return refuse(front, "no queue");
	}
	*account = mt_catalog_account_of_key(front->catalog, call->key);
	if (!*account && !(*queue)->needs_no_key) {
		*outcome = MT_FRONT_OUTCOME_BAD_KEY;
		return refuse(front, "unknown key");
	}
	return true;
}

bool mt_dag_front_check(mt_dag_front_t *front, const mt_front_call_t *call,
			mt_front_outcome_t *outcome, mt_name_t *account_name)
{
	const mt_client_account_t *account;
	const mt_queue_t *queue;

	if (!authorize(front, call, &queue, &account, outcome))
		return false;
	if (account)
		*account_name = account->name;
	return true;
}

/**
 * Handles a call about a job, or about a queue, here or on a host that has the
 * records.
 * @param queue NULL: the call is about the job `id`
 */
static void ask_about(mt_dag_front_t *front, const mt_front_call_t *call,
		      uint64_t id, const mt_queue_t *queue, mt_front_cb cb,
		      void *ctx)
{
	mt_front_op_t *op;

	if (has_records(front) && queue) {
		show_queue(front, &queue->name, cb, ctx);
		return;
	}
	if (has_records(front)) {
		look_up(front, call->verb, call->timeout_ms, id, false, cb,
			ctx);
		return;
	}
	op = new_op(front, call->verb, call->timeout_ms, id, cb, ctx);
	op->forwarded = true;
	op->peer_verb = call->verb;
	if (queue)
		op->queue = queue->name;
	forward(op);
}

void mt_dag_front_call(mt_dag_front_t *front, const mt_front_call_t *call,
		       mt_front_cb cb, void *ctx)
{
	const mt_client_account_t *account;
	const mt_queue_t *queue;
	mt_front_outcome_t outcome;
	mt_str_t id_text;
	uint64_t id;

	if (!authorize(front, call, &queue, &account, &outcome)) {
		reply_now(cb, ctx, outcome);
		return;
	}
	id_text = (mt_str_t){call->path.data + strlen(queue->path_prefix),
			     call->path.len - strlen(queue->path_prefix)};
	if (!id_text.len && call->verb == MT_VERB_SHOW)
		ask_about(front, call, 0, queue, cb, ctx);
	else if (call->verb == MT_VERB_OTHER || !id_text.len)
		reply_now(cb, ctx, MT_FRONT_OUTCOME_BAD_METHOD);
	else if (!mt_record_parse_job_id(id_text, &id))
		reply_now(cb, ctx,
			  call->verb == MT_VERB_SUBMIT
				  ? MT_FRONT_OUTCOME_BAD_REQUEST
				  : MT_FRONT_OUTCOME_NO_JOB);
	else if (call->verb == MT_VERB_SUBMIT)
		submit(front, call, id, queue, account, cb, ctx);
	else
		ask_about(front, call, id, NULL, cb, ctx);
}
