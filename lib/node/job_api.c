/** @file job_api.c Submits, gets, waits for and cancels jobs. */
#include "node/job_api.h"

#include <string.h>

/**
 * If an Accept record is not read back from the log in this time, it is
 * withdrawn and the request refused. If the record cannot be withdrawn, since
 * it may be in the log, the answer is "pending". Also the shortest wait for the
 * outcome of a cancelled job.
 */
#define ACCEPT_TIMEOUT_MS 4000u

/** Wait for the result of a direct run, whatever the caller's `wait_ms` is. */
#define DIRECT_WAIT_MS 60000u

/** Points of a data centre for a job; see score_dc(). */
#define POINTS_LOCAL 1	       /**< the data centre of this host */
#define POINTS_GUARANTEED 2    /**< the guarantee there is large enough */
#define POINTS_SCHEDULER 4     /**< has an active scheduler */
#define POINTS_FREE_CAPACITY 2 /**< its scheduler reports room for the job */

typedef enum mt_waiting_for_t {
	MT_WAIT_ACCEPT, /**< the job's Accept record in the log */
	MT_WAIT_END,	/**< the job's Outcome record in the log */
	MT_WAIT_DIRECT, /**< the result of a direct run */
} mt_waiting_for_t;

/** A request that has not been answered yet. */
typedef struct mt_api_request_t {
	mt_job_api_t *api;
	uint64_t id; /**< for mt_job_api_abandon() */
	mt_job_id_t job;
	mt_waiting_for_t waiting_for;
	uint8_t body_digest[MT_DIGEST_BYTES];
	/**
	 * Id of the Accept record in the appender; 0 if another request
	 * submitted the record.
	 */
	uint64_t accept_record_id;
	bool first_request; /**< see mt_submission_t */
	uint32_t wait_ms;
	uint64_t timer;
	mt_answer_cb cb;
	void *ctx;
} mt_api_request_t;

struct mt_job_api_t {
	mt_job_api_deps_t deps;
	GHashTable *requests; /**< id to mt_api_request_t */
	GHashTable *by_job;   /**< job id to GPtrArray of mt_api_request_t */
	uint64_t last_id;
	bool draining;
};

const char *mt_refusal_code(mt_refusal_t refusal)
{
	static const char *const codes[MT_REFUSAL_COUNT] = {
		"none",	      "not_ready",  "draining",	  "log_unavailable",
		"overloaded", "queue_full", "over_limit", "key_reused",
		"not_found"};

	return codes[refusal];
}

mt_job_api_t *mt_job_api_new(const mt_job_api_deps_t *deps)
{
	mt_job_api_t *api = g_new0(mt_job_api_t, 1);

	api->deps = *deps;
	api->requests = g_hash_table_new(g_int64_hash, g_int64_equal);
	api->by_job = g_hash_table_new_full(mt_job_id_hash, mt_job_id_key_equal,
					    g_free,
					    (GDestroyNotify)g_ptr_array_unref);
	return api;
}

static void free_request(mt_api_request_t *request)
{
	mt_job_api_t *api = request->api;
	GPtrArray *job_requests =
		g_hash_table_lookup(api->by_job, &request->job);

	mt_timers_cancel(mt_kernel_timers(api->deps.kernel), request->timer);
	g_hash_table_remove(api->requests, &request->id);
	g_ptr_array_remove(job_requests, request);
	if (!job_requests->len)
		g_hash_table_remove(api->by_job, &request->job);
	g_free(request);
}

void mt_job_api_free(mt_job_api_t *api)
{
	GList *requests;

	if (!api)
		return;
	requests = g_hash_table_get_values(api->requests);
	for (GList *at = requests; at; at = at->next)
		free_request(at->data);
	g_list_free(requests);
	g_hash_table_destroy(api->requests);
	g_hash_table_destroy(api->by_job);
	g_free(api);
}

guint mt_job_api_pending(const mt_job_api_t *api)
{
	return g_hash_table_size(api->requests);
}

static void send_answer(mt_api_request_t *request, const mt_answer_t *answer)
{
	mt_answer_cb cb = request->cb;
	void *ctx = request->ctx;

	free_request(request);
	cb(ctx, answer);
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

static uint64_t refuse(mt_job_api_t *api, const mt_job_id_t *id,
		       mt_refusal_t refusal, bool not_run, mt_answer_cb cb,
		       void *ctx)
{
	mt_answer_t answer = refusal_answer(id, refusal, not_run);

	mt_kernel_count(api->deps.kernel, "refusals_total{code=\"%s\"}",
			mt_refusal_code(refusal));
	cb(ctx, &answer);
	return 0;
}

static mt_api_request_t *new_request(mt_job_api_t *api, const mt_job_id_t *job,
				     mt_waiting_for_t waiting_for,
				     mt_answer_cb cb, void *ctx)
{
	mt_api_request_t *request = g_new0(mt_api_request_t, 1);
	GPtrArray *job_requests = g_hash_table_lookup(api->by_job, job);

	request->api = api;
	request->id = ++api->last_id;
	request->job = *job;
	request->waiting_for = waiting_for;
	request->cb = cb;
	request->ctx = ctx;
	g_hash_table_insert(api->requests, &request->id, request);
	if (!job_requests) {
		job_requests = g_ptr_array_new();
		g_hash_table_insert(api->by_job, g_memdup2(job, sizeof(*job)),
				    job_requests);
	}
	g_ptr_array_add(job_requests, request);
	return request;
}

static void set_timer(mt_api_request_t *request, mt_ms_t delay, mt_timer_cb cb)
{
	mt_timers_t *timers = mt_kernel_timers(request->api->deps.kernel);

	mt_timers_cancel(timers, request->timer);
	request->timer = mt_timers_after(timers, delay, cb, request);
}

/**
 * Answers with the job's current state; "pending" if the job is unknown or
 * runs directly.
 */
static void on_wait_timeout(void *ctx)
{
	mt_api_request_t *request = ctx;
	const mt_job_t *job =
		mt_jobs_find(request->api->deps.jobs, &request->job);
	mt_answer_t answer = {.kind = MT_ANSWER_PENDING, .id = request->job};

	request->timer = 0;
	if (job && !job->direct)
		answer = job_answer(job);
	send_answer(request, &answer);
}

/** The Accept record was not read back within ACCEPT_TIMEOUT_MS. */
static void on_accept_timeout(void *ctx)
{
	mt_api_request_t *request = ctx;
	mt_answer_t answer;

	request->timer = 0;
	if (request->accept_record_id &&
	    mt_appender_withdraw(request->api->deps.appender,
				 request->accept_record_id)) {
		answer = refusal_answer(&request->job,
					MT_REFUSAL_LOG_UNAVAILABLE,
					request->first_request);
		send_answer(request, &answer);
		return;
	}
	on_wait_timeout(request);
}

/**
 * True when the job was submitted with this body. The body of a job that was
 * cancelled before its acceptance is not known, so any body matches.
 */
static bool has_same_body(const mt_job_t *job, const uint8_t *digest)
{
	return job->never_accepted ||
	       !memcmp(job->body_digest, digest, MT_DIGEST_BYTES);
}

/* Submissions. */

static guint count_live_jobs(const mt_job_api_t *api, const mt_name_t *account)
{
	GHashTableIter iter;
	gpointer value;
	guint count = 0;

	g_hash_table_iter_init(&iter, mt_jobs_live(api->deps.jobs));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_job_t *job = value;

		count += mt_name_equal(&job->account, account);
	}
	return count;
}

/** Preference for running a job in `dc`; -1: the account's limit forbids it. */
static int score_dc(const mt_job_api_t *api, const mt_submission_t *submission,
		    const mt_name_t *dc)
{
	mt_shape_t shape = mt_spec_shape(submission->spec);
	mt_resources_t total = mt_shape_total(&shape);
	const mt_quota_t *quota =
		mt_lists_quota(api->deps.lists, &submission->account, dc);
	const MtPb__DcSummary *summary =
		mt_membership_summary(api->deps.membership, dc);
	int score = 0;

	if (!quota || !mt_resources_within(total, quota->limit))
		return -1;
	if (mt_name_equal(dc, &api->deps.settings->dc))
		score += POINTS_LOCAL;
	if (mt_resources_within(total, quota->guarantee))
		score += POINTS_GUARANTEED;
	if (summary)
		score += POINTS_SCHEDULER;
	if (summary && summary->largest_free_block >= total.accelerators &&
	    summary->free_accelerators >=
		    total.accelerators + summary->queued_accelerators)
		score += POINTS_FREE_CAPACITY;
	return score;
}

static const mt_name_t *choose_dc(const mt_job_api_t *api,
				  const mt_submission_t *submission)
{
	GArray *dcs = api->deps.settings->data_centres;
	const mt_name_t *best = NULL;
	int best_score = -1;

	for (guint i = 0; i < dcs->len; i++) {
		const mt_name_t *dc = &g_array_index(dcs, mt_name_t, i);
		int score = score_dc(api, submission, dc);

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
	accept.payload = mt_field_from_bytes(submission->payload);
	record.body_case = MT_PB__RECORD__BODY_ACCEPT;
	record.accept = &accept;
	return mt_record_pack(&record);
}

/** Answers a submission whose key belongs to a known job. */
static uint64_t answer_known(mt_job_api_t *api, const mt_job_t *job,
			     const mt_submission_t *submission, mt_answer_cb cb,
			     void *ctx)
{
	mt_answer_t answer = job_answer(job);

	if (!has_same_body(job, submission->body_digest))
		return refuse(api, &job->id, MT_REFUSAL_KEY_REUSED, false, cb,
			      ctx);
	if (mt_job_is_live(job) && submission->wait_ms)
		return mt_job_api_get(api, &job->account, &job->id,
				      submission->wait_ms, cb, ctx);
	cb(ctx, &answer);
	return 0;
}

/** Finds a request that waits for the Accept record of the job, or NULL. */
static mt_api_request_t *find_accept_request(const mt_job_api_t *api,
					     const mt_job_id_t *id)
{
	GPtrArray *job_requests = g_hash_table_lookup(api->by_job, id);

	for (guint i = 0; job_requests && i < job_requests->len; i++) {
		mt_api_request_t *request = job_requests->pdata[i];

		if (request->waiting_for == MT_WAIT_ACCEPT)
			return request;
	}
	return NULL;
}

/** Submits a job with records in the log: appends its Accept record. */
static uint64_t submit_recorded(mt_job_api_t *api,
				const mt_submission_t *submission,
				const mt_job_id_t *id, mt_answer_cb cb,
				void *ctx)
{
	const mt_name_t *dc = choose_dc(api, submission);
	mt_api_request_t *accepting = find_accept_request(api, id);
	uint64_t accept_record_id = 0;
	GBytes *packed;
	mt_api_request_t *request;

	if (!dc)
		return refuse(api, id, MT_REFUSAL_OVER_LIMIT,
			      submission->first_request, cb, ctx);
	/* While an Accept record of the job is pending, no second one is
	 * written: only the first one in the log counts. */
	if (!accepting) {
		packed = pack_accept(submission, id, dc);
		accept_record_id =
			mt_appender_submit(api->deps.appender, packed,
					   MT_PRIORITY_NORMAL, NULL, NULL);
		g_bytes_unref(packed);
		if (!accept_record_id)
			return refuse(api, id, MT_REFUSAL_OVERLOADED,
				      submission->first_request, cb, ctx);
	}
	request = new_request(api, id, MT_WAIT_ACCEPT, cb, ctx);
	request->accept_record_id = accept_record_id;
	request->first_request = submission->first_request;
	request->wait_ms = submission->wait_ms;
	memcpy(request->body_digest, submission->body_digest, MT_DIGEST_BYTES);
	set_timer(request, ACCEPT_TIMEOUT_MS, on_accept_timeout);
	return request->id;
}

/* Direct runs. */

static void send_direct(mt_job_api_t *api, const MtPb__DirectRun *run)
{
	const mt_name_t *host =
		mt_membership_elected_scheduler(api->deps.membership);
	MtPb__Frame frame = MT_PB__FRAME__INIT;

	frame.body_case = MT_PB__FRAME__BODY_DIRECT_RUN;
	frame.direct_run = (MtPb__DirectRun *)run;
	api->deps.peers.send(api->deps.peers.self, host, &frame);
}

static uint64_t submit_direct(mt_job_api_t *api,
			      const mt_submission_t *submission,
			      const mt_job_id_t *id, mt_answer_cb cb, void *ctx)
{
	const mt_peer_id_t *self = mt_membership_self(api->deps.membership);
	const mt_name_t *host =
		mt_membership_elected_scheduler(api->deps.membership);
	MtPb__DirectRun run = MT_PB__DIRECT_RUN__INIT;
	mt_api_request_t *request;

	if (!host)
		return refuse(api, id, MT_REFUSAL_LOG_UNAVAILABLE,
			      submission->first_request, cb, ctx);
	run.job = mt_job_id_field(id);
	run.account = (char *)submission->account.text;
	run.spec = (MtPb__Spec *)submission->spec;
	run.payload = mt_field_from_bytes(submission->payload);
	request = new_request(api, id, MT_WAIT_DIRECT, cb, ctx);
	set_timer(request, DIRECT_WAIT_MS, on_wait_timeout);
	if (!mt_name_equal(host, &self->host)) {
		send_direct(api, &run);
	} else if (!api->deps.add_direct_job(api->deps.add_direct_job_ctx, &run,
					     self)) {
		free_request(request);
		return refuse(api, id, MT_REFUSAL_LOG_UNAVAILABLE, false, cb,
			      ctx);
	}
	return request->id;
}

uint64_t mt_job_api_submit(mt_job_api_t *api, const mt_submission_t *submission,
			   mt_answer_cb cb, void *ctx)
{
	mt_job_id_t id =
		mt_job_id_derive(&submission->account, submission->key);
	const mt_job_t *job = mt_jobs_find(api->deps.jobs, &id);
	bool first = submission->first_request;

	if (job && !job->direct)
		return answer_known(api, job, submission, cb, ctx);
	if (api->draining)
		return refuse(api, &id, MT_REFUSAL_DRAINING, first, cb, ctx);
	if (!api->deps.can_serve_requests(api->deps.can_serve_requests_ctx))
		return refuse(api, &id, MT_REFUSAL_NOT_READY, first, cb, ctx);
	if (count_live_jobs(api, &submission->account) >=
	    api->deps.settings->jobs_queued_per_account)
		return refuse(api, &id, MT_REFUSAL_QUEUE_FULL, first, cb, ctx);
	if (mt_tail_is_log_available(api->deps.tail))
		return submit_recorded(api, submission, &id, cb, ctx);
	if (submission->spec->idempotent && submission->wait_ms)
		return submit_direct(api, submission, &id, cb, ctx);
	return refuse(api, &id, MT_REFUSAL_LOG_UNAVAILABLE, first, cb, ctx);
}

/* Queries and cancellations. */

static uint64_t wait_for_end(mt_job_api_t *api, const mt_job_id_t *id,
			     uint32_t wait_ms, mt_answer_cb cb, void *ctx)
{
	mt_api_request_t *request = new_request(api, id, MT_WAIT_END, cb, ctx);

	set_timer(request, MIN(wait_ms, MT_WAIT_MAX_MS), on_wait_timeout);
	return request->id;
}

uint64_t mt_job_api_get(mt_job_api_t *api, const mt_name_t *account,
			const mt_job_id_t *id, uint32_t wait_ms,
			mt_answer_cb cb, void *ctx)
{
	const mt_job_t *job = mt_jobs_find(api->deps.jobs, id);
	mt_answer_t answer;

	if (!job || !mt_name_equal(&job->account, account)) {
		/* Until all jobs are loaded, a missing one may still exist. */
		if (!api->deps.can_serve_requests(
			    api->deps.can_serve_requests_ctx))
			return refuse(api, id, MT_REFUSAL_NOT_READY, false, cb,
				      ctx);
		return refuse(api, id, MT_REFUSAL_NOT_FOUND, false, cb, ctx);
	}
	if (mt_job_is_live(job) && wait_ms && !api->draining)
		return wait_for_end(api, id, wait_ms, cb, ctx);
	answer = job_answer(job);
	cb(ctx, &answer);
	return 0;
}

static void append_cancel(mt_job_api_t *api,
			  const mt_cancellation_t *cancellation)
{
	MtPb__Record record = MT_PB__RECORD__INIT;
	MtPb__Cancel cancel = MT_PB__CANCEL__INIT;

	cancel.job = mt_job_id_field(&cancellation->id);
	cancel.account = (char *)cancellation->account.text;
	cancel.once = cancellation->once;
	record.body_case = MT_PB__RECORD__BODY_CANCEL;
	record.cancel = &cancel;
	mt_appender_submit_record(api->deps.appender, &record,
				  MT_PRIORITY_CRITICAL, NULL, NULL);
}

/** Reason to refuse a cancellation, or MT_REFUSAL_NONE. */
static mt_refusal_t check_cancel(const mt_job_api_t *api,
				 const mt_cancellation_t *cancellation,
				 const mt_job_t *job)
{
	if (job && !mt_name_equal(&job->account, &cancellation->account))
		return MT_REFUSAL_NOT_FOUND;
	if (!api->deps.can_serve_requests(api->deps.can_serve_requests_ctx))
		return MT_REFUSAL_NOT_READY;
	if (!job && !cancellation->id_derived_from_key)
		return MT_REFUSAL_NOT_FOUND;
	if (!mt_tail_is_log_available(api->deps.tail))
		return MT_REFUSAL_LOG_UNAVAILABLE;
	return MT_REFUSAL_NONE;
}

uint64_t mt_job_api_cancel(mt_job_api_t *api,
			   const mt_cancellation_t *cancellation,
			   mt_answer_cb cb, void *ctx)
{
	const mt_job_t *job = mt_jobs_find(api->deps.jobs, &cancellation->id);
	mt_refusal_t refusal = check_cancel(api, cancellation, job);
	mt_answer_t answer;

	if (job && !mt_job_is_live(job) &&
	    mt_name_equal(&job->account, &cancellation->account)) {
		answer = job_answer(job);
		cb(ctx, &answer);
		return 0;
	}
	if (refusal != MT_REFUSAL_NONE)
		return refuse(api, &cancellation->id, refusal, false, cb, ctx);
	if (!job || !job->cancel_requested)
		append_cancel(api, cancellation);
	return wait_for_end(api, &cancellation->id,
			    MAX(cancellation->wait_ms, ACCEPT_TIMEOUT_MS), cb,
			    ctx);
}

void mt_job_api_abandon(mt_job_api_t *api, uint64_t id)
{
	mt_api_request_t *request = g_hash_table_lookup(api->requests, &id);

	if (request)
		free_request(request);
}

static GArray *request_ids(const mt_job_api_t *api, const mt_job_id_t *job)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GPtrArray *job_requests = g_hash_table_lookup(api->by_job, job);

	for (guint i = 0; job_requests && i < job_requests->len; i++)
		g_array_append_val(
			ids, ((mt_api_request_t *)job_requests->pdata[i])->id);
	return ids;
}

/**
 * Answers a submission once a record read from the log has added the job (an
 * Accept or a Carry) or has left a tombstone for it (a Cancel). An Accept may
 * be that of another request with the same key but a different body.
 */
static void on_accepted(mt_job_api_t *api, mt_api_request_t *request,
			const mt_job_t *job)
{
	mt_answer_t answer = job_answer(job);

	if (!has_same_body(job, request->body_digest))
		answer = refusal_answer(&job->id, MT_REFUSAL_KEY_REUSED, false);
	else if (mt_job_is_live(job) && request->wait_ms && !api->draining) {
		request->waiting_for = MT_WAIT_END;
		set_timer(request, MIN(request->wait_ms, MT_WAIT_MAX_MS),
			  on_wait_timeout);
		return;
	}
	send_answer(request, &answer);
}

static void notify_request(mt_job_api_t *api, mt_api_request_t *request,
			   const mt_job_t *job)
{
	mt_answer_t answer = job_answer(job);

	if (request->waiting_for == MT_WAIT_ACCEPT)
		on_accepted(api, request, job);
	else if (request->waiting_for == MT_WAIT_END && !mt_job_is_live(job))
		send_answer(request, &answer);
}

void mt_job_api_on_job(mt_job_api_t *api, mt_job_t *job, mt_job_change_t change)
{
	GArray *ids;

	if (job->direct || (change != MT_JOB_ADDED && change != MT_JOB_ENDED))
		return;
	ids = request_ids(api, &job->id);
	for (guint i = 0; i < ids->len; i++) {
		mt_api_request_t *request = g_hash_table_lookup(
			api->requests, &g_array_index(ids, uint64_t, i));

		if (request)
			notify_request(api, request, job);
	}
	g_array_unref(ids);
}

void mt_job_api_on_direct_result(mt_job_api_t *api,
				 const MtPb__DirectResult *result)
{
	mt_answer_t answer = {.kind = MT_ANSWER_DIRECT};
	GArray *ids;

	if (!mt_job_id_read(&result->job, &answer.id))
		return;
	answer.direct_kind = result->kind;
	answer.direct_reason = result->reason;
	answer.direct_result = mt_bytes_from_field(&result->result);
	ids = request_ids(api, &answer.id);
	for (guint i = 0; i < ids->len; i++) {
		mt_api_request_t *request = g_hash_table_lookup(
			api->requests, &g_array_index(ids, uint64_t, i));

		if (request && request->waiting_for == MT_WAIT_DIRECT)
			send_answer(request, &answer);
	}
	g_array_unref(ids);
	g_bytes_unref(answer.direct_result);
}

void mt_job_api_drain(mt_job_api_t *api)
{
	GList *requests = g_hash_table_get_values(api->requests);

	api->draining = true;
	for (GList *at = requests; at; at = at->next) {
		mt_api_request_t *request = at->data;

		/* Acceptances and direct runs are still completed; waits for
		 * outcomes end now. */
		if (request->waiting_for == MT_WAIT_END)
			set_timer(request, 0, on_wait_timeout);
	}
	g_list_free(requests);
}
