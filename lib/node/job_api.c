/** @file job_api.c Submit, look, wait and cancel. */
#include "node/job_api.h"

#include <string.h>

/** An acceptance that is not read back in this time is answered as pending. */
#define ACCEPT_MS 4000u

/** A direct job's caller waits at most this long. */
#define DIRECT_MS 60000u

typedef enum mt_waiting_for_t {
	MT_WAIT_ACCEPT, /**< the job's acceptance in the log */
	MT_WAIT_END,	/**< the job's outcome in the log */
	MT_WAIT_DIRECT, /**< the result of a direct run */
} mt_waiting_for_t;

typedef struct mt_ticket_t {
	mt_job_api_t *front;
	uint64_t id;
	mt_job_id_t job;
	mt_waiting_for_t waiting_for;
	uint8_t body_digest[MT_DIGEST_BYTES];
	uint64_t record; /**< the acceptance, when this ticket submitted it */
	bool first_attempt;
	uint32_t wait_ms;
	uint64_t timer;
	mt_answer_cb cb;
	void *ctx;
} mt_ticket_t;

struct mt_job_api_t {
	mt_job_api_deps_t deps;
	GHashTable *tickets; /**< id to mt_ticket_t */
	GHashTable *by_job;  /**< job id to GPtrArray of mt_ticket_t */
	uint64_t last_id;
	bool draining;
};

const char *mt_refusal_code(mt_refusal_t refusal)
{
	static const char *const codes[MT_REFUSALS] = {
		"none",	      "not_ready",  "draining",	  "log_unavailable",
		"overloaded", "queue_full", "over_limit", "key_reused",
		"not_found"};

	return codes[refusal];
}

mt_job_api_t *mt_job_api_new(const mt_job_api_deps_t *deps)
{
	mt_job_api_t *front = g_new0(mt_job_api_t, 1);

	front->deps = *deps;
	front->tickets = g_hash_table_new(g_int64_hash, g_int64_equal);
	front->by_job = g_hash_table_new_full(
		mt_job_id_hash, mt_job_id_key_equal, g_free,
		(GDestroyNotify)g_ptr_array_unref);
	return front;
}

static void drop_ticket(mt_ticket_t *ticket)
{
	mt_job_api_t *front = ticket->front;
	GPtrArray *same = g_hash_table_lookup(front->by_job, &ticket->job);

	mt_timers_cancel(mt_kernel_timers(front->deps.kernel), ticket->timer);
	g_hash_table_remove(front->tickets, &ticket->id);
	g_ptr_array_remove(same, ticket);
	if (!same->len)
		g_hash_table_remove(front->by_job, &ticket->job);
	g_free(ticket);
}

void mt_job_api_free(mt_job_api_t *front)
{
	GList *tickets;

	if (!front)
		return;
	tickets = g_hash_table_get_values(front->tickets);
	for (GList *at = tickets; at; at = at->next)
		drop_ticket(at->data);
	g_list_free(tickets);
	g_hash_table_destroy(front->tickets);
	g_hash_table_destroy(front->by_job);
	g_free(front);
}

guint mt_job_api_pending(const mt_job_api_t *front)
{
	return g_hash_table_size(front->tickets);
}

static void answer(mt_ticket_t *ticket, const mt_answer_t *what)
{
	mt_answer_cb cb = ticket->cb;
	void *ctx = ticket->ctx;

	drop_ticket(ticket);
	cb(ctx, what);
}

static mt_answer_t job_answer(const mt_job_t *job)
{
	return (mt_answer_t){.kind = MT_ANSWER_JOB, .id = job->id, .job = job};
}

static mt_answer_t refusal_answer(const mt_job_id_t *id, mt_refusal_t refusal,
				  bool not_run)
{
	return (mt_answer_t){.kind = MT_ANSWER_REFUSED,
			     .id = *id,
			     .refusal = refusal,
			     .not_run = not_run};
}

static uint64_t refuse(mt_job_api_t *front, const mt_job_id_t *id,
		       mt_refusal_t refusal, bool not_run, mt_answer_cb cb,
		       void *ctx)
{
	mt_answer_t what = refusal_answer(id, refusal, not_run);

	mt_kernel_count(front->deps.kernel, "refusals_total{code=\"%s\"}",
			mt_refusal_code(refusal));
	cb(ctx, &what);
	return 0;
}

static mt_ticket_t *new_ticket(mt_job_api_t *front, const mt_job_id_t *job,
			       mt_waiting_for_t waiting_for, mt_answer_cb cb,
			       void *ctx)
{
	mt_ticket_t *ticket = g_new0(mt_ticket_t, 1);
	GPtrArray *same = g_hash_table_lookup(front->by_job, job);

	ticket->front = front;
	ticket->id = ++front->last_id;
	ticket->job = *job;
	ticket->waiting_for = waiting_for;
	ticket->cb = cb;
	ticket->ctx = ctx;
	g_hash_table_insert(front->tickets, &ticket->id, ticket);
	if (!same) {
		same = g_ptr_array_new();
		g_hash_table_insert(front->by_job, g_memdup2(job, sizeof(*job)),
				    same);
	}
	g_ptr_array_add(same, ticket);
	return ticket;
}

static void set_timer(mt_ticket_t *ticket, mt_ms_t delay, mt_timer_cb cb)
{
	mt_timers_t *timers = mt_kernel_timers(ticket->front->deps.kernel);

	mt_timers_cancel(timers, ticket->timer);
	ticket->timer = mt_timers_after(timers, delay, cb, ticket);
}

/** The wait is over: tells how the job stands. */
static void on_wait_over(void *ctx)
{
	mt_ticket_t *ticket = ctx;
	const mt_job_t *job =
		mt_jobs_find(ticket->front->deps.jobs, &ticket->job);
	mt_answer_t what = {.kind = MT_ANSWER_PENDING, .id = ticket->job};

	ticket->timer = 0;
	if (job && !job->direct)
		what = job_answer(job);
	answer(ticket, &what);
}

/** The acceptance did not come back in time. */
static void on_accept_late(void *ctx)
{
	mt_ticket_t *ticket = ctx;
	mt_answer_t what;

	ticket->timer = 0;
	if (ticket->record && mt_appender_withdraw(ticket->front->deps.appender,
						   ticket->record)) {
		what = refusal_answer(&ticket->job, MT_REFUSAL_LOG_UNAVAILABLE,
				      ticket->first_attempt);
		answer(ticket, &what);
		return;
	}
	on_wait_over(ticket);
}

/** A cancellation that came first stands for any body. */
static bool has_same_body(const mt_job_t *job, const uint8_t *digest)
{
	return job->never_accepted ||
	       !memcmp(job->body_digest, digest, MT_DIGEST_BYTES);
}

/* Submissions. */

static guint count_waiting(const mt_job_api_t *front, const mt_name_t *account)
{
	GHashTableIter iter;
	gpointer value;
	guint count = 0;

	g_hash_table_iter_init(&iter, mt_jobs_live(front->deps.jobs));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_job_t *job = value;

		count += mt_name_equal(&job->account, account);
	}
	return count;
}

/** Preference of a data centre for a job; below 0: not allowed there. */
static int score_dc(const mt_job_api_t *front,
		    const mt_submission_t *submission, const mt_name_t *dc)
{
	mt_shape_t shape = mt_spec_shape(submission->spec);
	mt_resources_t total = mt_shape_total(&shape);
	const mt_quota_t *quota =
		mt_lists_quota(front->deps.lists, &submission->account, dc);
	const MtPb__DcSummary *summary =
		mt_members_summary(front->deps.members, dc);
	int score = 0;

	if (!quota || !mt_resources_within(total, quota->limit))
		return -1;
	if (mt_name_equal(dc, &front->deps.settings->dc))
		score += 1;
	if (mt_resources_within(total, quota->guarantee))
		score += 2;
	if (summary)
		score += 4;
	if (summary && summary->largest_free_block >= total.accelerators &&
	    summary->free_accelerators >=
		    total.accelerators + summary->queued_accelerators)
		score += 2;
	return score;
}

static const mt_name_t *choose_dc(const mt_job_api_t *front,
				  const mt_submission_t *submission)
{
	GArray *dcs = front->deps.settings->data_centres;
	const mt_name_t *best = NULL;
	int best_score = -1;

	for (guint i = 0; i < dcs->len; i++) {
		const mt_name_t *dc = &g_array_index(dcs, mt_name_t, i);
		int score = score_dc(front, submission, dc);

		if (score > best_score) {
			best = dc;
			best_score = score;
		}
	}
	return best;
}

static GBytes *pack_accept(const mt_submission_t *submission,
			   const mt_job_id_t *id, const mt_name_t *dc)
{
	MtPb__Record record = MT_PB__RECORD__INIT;
	MtPb__Accept accept = MT_PB__ACCEPT__INIT;

	accept.job = mt_job_id_field(id);
	accept.account = (char *)submission->account.text;
	accept.body_digest = (ProtobufCBinaryData){
		MT_DIGEST_BYTES, (uint8_t *)submission->body_digest};
	accept.dc = (char *)dc->text;
	accept.spec = (MtPb__Spec *)submission->spec;
	accept.payload = mt_bytes_field(submission->payload);
	record.body_case = MT_PB__RECORD__BODY_ACCEPT;
	record.accept = &accept;
	return mt_record_pack(&record);
}

/** Answers a request for a key that is known. */
static uint64_t answer_known(mt_job_api_t *front, const mt_job_t *job,
			     const mt_submission_t *submission, mt_answer_cb cb,
			     void *ctx)
{
	mt_answer_t what = job_answer(job);

	if (!has_same_body(job, submission->body_digest))
		return refuse(front, &job->id, MT_REFUSAL_KEY_REUSED, false, cb,
			      ctx);
	if (mt_job_is_live(job) && submission->wait_ms)
		return mt_job_api_get(front, &job->account, &job->id,
				      submission->wait_ms, cb, ctx);
	cb(ctx, &what);
	return 0;
}

/** Tells who waits for the same acceptance. NULL: nobody. */
static mt_ticket_t *find_accepting(const mt_job_api_t *front,
				   const mt_job_id_t *id)
{
	GPtrArray *same = g_hash_table_lookup(front->by_job, id);

	for (guint i = 0; same && i < same->len; i++) {
		mt_ticket_t *ticket = same->pdata[i];

		if (ticket->waiting_for == MT_WAIT_ACCEPT)
			return ticket;
	}
	return NULL;
}

static uint64_t submit_durable(mt_job_api_t *front,
			       const mt_submission_t *submission,
			       const mt_job_id_t *id, mt_answer_cb cb,
			       void *ctx)
{
	const mt_name_t *dc = choose_dc(front, submission);
	mt_ticket_t *other = find_accepting(front, id);
	uint64_t record = 0;
	GBytes *packed;
	mt_ticket_t *ticket;

	if (!dc)
		return refuse(front, id, MT_REFUSAL_OVER_LIMIT,
			      submission->first_attempt, cb, ctx);
	/* A record of its own would lose to the one on its way. */
	if (!other) {
		packed = pack_accept(submission, id, dc);
		record = mt_appender_submit(front->deps.appender, packed,
					    MT_PRIORITY_NORMAL, NULL, NULL);
		g_bytes_unref(packed);
		if (!record)
			return refuse(front, id, MT_REFUSAL_OVERLOADED,
				      submission->first_attempt, cb, ctx);
	}
	ticket = new_ticket(front, id, MT_WAIT_ACCEPT, cb, ctx);
	ticket->record = record;
	ticket->first_attempt = submission->first_attempt;
	ticket->wait_ms = submission->wait_ms;
	memcpy(ticket->body_digest, submission->body_digest, MT_DIGEST_BYTES);
	set_timer(ticket, ACCEPT_MS, on_accept_late);
	return ticket->id;
}

/* Direct runs. */

static void send_direct(mt_job_api_t *front, const MtPb__DirectRun *run)
{
	const mt_name_t *host = mt_members_scheduler(front->deps.members);
	MtPb__Frame frame = MT_PB__FRAME__INIT;

	frame.body_case = MT_PB__FRAME__BODY_DIRECT_RUN;
	frame.direct_run = (MtPb__DirectRun *)run;
	front->deps.peers.send(front->deps.peers.self, host, &frame);
}

static uint64_t submit_direct(mt_job_api_t *front,
			      const mt_submission_t *submission,
			      const mt_job_id_t *id, mt_answer_cb cb, void *ctx)
{
	const mt_peer_id_t *self = mt_members_self(front->deps.members);
	const mt_name_t *host = mt_members_scheduler(front->deps.members);
	MtPb__DirectRun run = MT_PB__DIRECT_RUN__INIT;
	mt_ticket_t *ticket;

	if (!host)
		return refuse(front, id, MT_REFUSAL_LOG_UNAVAILABLE,
			      submission->first_attempt, cb, ctx);
	run.job = mt_job_id_field(id);
	run.account = (char *)submission->account.text;
	run.spec = (MtPb__Spec *)submission->spec;
	run.payload = mt_bytes_field(submission->payload);
	ticket = new_ticket(front, id, MT_WAIT_DIRECT, cb, ctx);
	set_timer(ticket, DIRECT_MS, on_wait_over);
	if (!mt_name_equal(host, &self->host)) {
		send_direct(front, &run);
	} else if (!front->deps.run_direct(front->deps.run_direct_ctx, &run,
					   self)) {
		drop_ticket(ticket);
		return refuse(front, id, MT_REFUSAL_LOG_UNAVAILABLE, false, cb,
			      ctx);
	}
	return ticket->id;
}

uint64_t mt_job_api_submit(mt_job_api_t *front,
			   const mt_submission_t *submission, mt_answer_cb cb,
			   void *ctx)
{
	mt_job_id_t id = mt_job_id_make(&submission->account, submission->key);
	const mt_job_t *job = mt_jobs_find(front->deps.jobs, &id);
	bool first = submission->first_attempt;

	if (job && !job->direct)
		return answer_known(front, job, submission, cb, ctx);
	if (front->draining)
		return refuse(front, &id, MT_REFUSAL_DRAINING, first, cb, ctx);
	if (!front->deps.is_ready(front->deps.is_ready_ctx))
		return refuse(front, &id, MT_REFUSAL_NOT_READY, first, cb, ctx);
	if (count_waiting(front, &submission->account) >=
	    front->deps.settings->jobs_queued_per_account)
		return refuse(front, &id, MT_REFUSAL_QUEUE_FULL, first, cb,
			      ctx);
	if (mt_tail_is_available(front->deps.tail))
		return submit_durable(front, submission, &id, cb, ctx);
	if (submission->spec->idempotent && submission->wait_ms)
		return submit_direct(front, submission, &id, cb, ctx);
	return refuse(front, &id, MT_REFUSAL_LOG_UNAVAILABLE, first, cb, ctx);
}

/* Looks and cancellations. */

static uint64_t wait_for_end(mt_job_api_t *front, const mt_job_id_t *id,
			     uint32_t wait_ms, mt_answer_cb cb, void *ctx)
{
	mt_ticket_t *ticket = new_ticket(front, id, MT_WAIT_END, cb, ctx);

	set_timer(ticket, MIN(wait_ms, MT_WAIT_MAX_MS), on_wait_over);
	return ticket->id;
}

uint64_t mt_job_api_get(mt_job_api_t *front, const mt_name_t *account,
			const mt_job_id_t *id, uint32_t wait_ms,
			mt_answer_cb cb, void *ctx)
{
	const mt_job_t *job = mt_jobs_find(front->deps.jobs, id);
	mt_answer_t what;

	if (!job || !mt_name_equal(&job->account, account)) {
		/* Until all is read, "not found" would be a guess. */
		if (!front->deps.is_ready(front->deps.is_ready_ctx))
			return refuse(front, id, MT_REFUSAL_NOT_READY, false,
				      cb, ctx);
		return refuse(front, id, MT_REFUSAL_NOT_FOUND, false, cb, ctx);
	}
	if (mt_job_is_live(job) && wait_ms && !front->draining)
		return wait_for_end(front, id, wait_ms, cb, ctx);
	what = job_answer(job);
	cb(ctx, &what);
	return 0;
}

static void submit_cancel(mt_job_api_t *front,
			  const mt_cancellation_t *cancellation)
{
	MtPb__Record record = MT_PB__RECORD__INIT;
	MtPb__Cancel cancel = MT_PB__CANCEL__INIT;
	GBytes *packed;

	cancel.job = mt_job_id_field(&cancellation->id);
	cancel.account = (char *)cancellation->account.text;
	cancel.once = cancellation->once;
	record.body_case = MT_PB__RECORD__BODY_CANCEL;
	record.cancel = &cancel;
	packed = mt_record_pack(&record);
	mt_appender_submit(front->deps.appender, packed, MT_PRIORITY_CRITICAL,
			   NULL, NULL);
	g_bytes_unref(packed);
}

/** Why a cancellation cannot be taken now; NONE when it can. */
static mt_refusal_t check_cancel(const mt_job_api_t *front,
				 const mt_cancellation_t *cancellation,
				 const mt_job_t *job)
{
	if (job && !mt_name_equal(&job->account, &cancellation->account))
		return MT_REFUSAL_NOT_FOUND;
	if (!front->deps.is_ready(front->deps.is_ready_ctx))
		return MT_REFUSAL_NOT_READY;
	if (!job && !cancellation->id_derived_from_key)
		return MT_REFUSAL_NOT_FOUND;
	if (!mt_tail_is_available(front->deps.tail))
		return MT_REFUSAL_LOG_UNAVAILABLE;
	return MT_REFUSAL_NONE;
}

uint64_t mt_job_api_cancel(mt_job_api_t *front,
			   const mt_cancellation_t *cancellation,
			   mt_answer_cb cb, void *ctx)
{
	const mt_job_t *job = mt_jobs_find(front->deps.jobs, &cancellation->id);
	mt_refusal_t refusal = check_cancel(front, cancellation, job);
	mt_answer_t what;

	if (job && !mt_job_is_live(job) &&
	    mt_name_equal(&job->account, &cancellation->account)) {
		what = job_answer(job);
		cb(ctx, &what);
		return 0;
	}
	if (refusal != MT_REFUSAL_NONE)
		return refuse(front, &cancellation->id, refusal, false, cb,
			      ctx);
	if (!job || !job->cancel)
		submit_cancel(front, cancellation);
	return wait_for_end(front, &cancellation->id,
			    MAX(cancellation->wait_ms, ACCEPT_MS), cb, ctx);
}

void mt_job_api_abandon(mt_job_api_t *front, uint64_t id)
{
	mt_ticket_t *ticket = g_hash_table_lookup(front->tickets, &id);

	if (ticket)
		drop_ticket(ticket);
}

static GArray *ticket_ids(const mt_job_api_t *front, const mt_job_id_t *job)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GPtrArray *same = g_hash_table_lookup(front->by_job, job);

	for (guint i = 0; same && i < same->len; i++)
		g_array_append_val(ids, ((mt_ticket_t *)same->pdata[i])->id);
	return ids;
}

/** The job of a submission is in the log; another body may have been first. */
static void on_accepted(mt_job_api_t *front, mt_ticket_t *ticket,
			const mt_job_t *job)
{
	mt_answer_t what = job_answer(job);

	if (!has_same_body(job, ticket->body_digest))
		what = refusal_answer(&job->id, MT_REFUSAL_KEY_REUSED, false);
	else if (mt_job_is_live(job) && ticket->wait_ms && !front->draining) {
		ticket->waiting_for = MT_WAIT_END;
		set_timer(ticket, MIN(ticket->wait_ms, MT_WAIT_MAX_MS),
			  on_wait_over);
		return;
	}
	answer(ticket, &what);
}

static void tell_ticket(mt_job_api_t *front, mt_ticket_t *ticket,
			const mt_job_t *job)
{
	mt_answer_t what = job_answer(job);

	if (ticket->waiting_for == MT_WAIT_ACCEPT)
		on_accepted(front, ticket, job);
	else if (ticket->waiting_for == MT_WAIT_END && !mt_job_is_live(job))
		answer(ticket, &what);
}

void mt_job_api_on_job(mt_job_api_t *front, mt_job_t *job,
		       mt_job_change_t change)
{
	GArray *ids;

	if (job->direct ||
	    (change != MT_JOB_ACCEPTED && change != MT_JOB_ENDED))
		return;
	ids = ticket_ids(front, &job->id);
	for (guint i = 0; i < ids->len; i++) {
		mt_ticket_t *ticket = g_hash_table_lookup(
			front->tickets, &g_array_index(ids, uint64_t, i));

		if (ticket)
			tell_ticket(front, ticket, job);
	}
	g_array_unref(ids);
}

void mt_job_api_on_direct_result(mt_job_api_t *front,
				 const MtPb__DirectResult *result)
{
	mt_answer_t what = {.kind = MT_ANSWER_DIRECT};
	GArray *ids;

	if (!mt_job_id_read(&result->job, &what.id))
		return;
	what.direct_kind = result->kind;
	what.direct_reason = result->reason;
	what.direct_result = mt_field_bytes(&result->result);
	ids = ticket_ids(front, &what.id);
	for (guint i = 0; i < ids->len; i++) {
		mt_ticket_t *ticket = g_hash_table_lookup(
			front->tickets, &g_array_index(ids, uint64_t, i));

		if (ticket && ticket->waiting_for == MT_WAIT_DIRECT)
			answer(ticket, &what);
	}
	g_array_unref(ids);
	g_bytes_unref(what.direct_result);
}

void mt_job_api_drain(mt_job_api_t *front)
{
	GList *tickets = g_hash_table_get_values(front->tickets);

	front->draining = true;
	for (GList *at = tickets; at; at = at->next) {
		mt_ticket_t *ticket = at->data;

		/* Acceptances and direct runs are finished, waits are not. */
		if (ticket->waiting_for == MT_WAIT_END)
			set_timer(ticket, 0, on_wait_over);
	}
	g_list_free(tickets);
}
