/** @file callers.c Simulated clients, and the checks of their answers. */
#include "soak/callers.h"

#include <stdio.h>
#include <string.h>

/** A caller without an answer after this time sends another request. */
#define ANSWER_TIMEOUT_MS 8000u

/** Upper bound of the random part of the delay before a retry. */
#define RETRY_MAX_MS 2000

/** Time for which a host may hold a request until the job ends. */
#define LONG_POLL_MS 5000u

/** Memory that a job declares for each member. */
#define DECLARED_MB 4000u

/**
 * Memory that each task uses: within the declared size or, for one job in
 * JOBS_PER_OVERRUN, above that of two members.
 */
#define USED_MB 1000u
#define OVERRUN_MB 9000u
#define JOBS_PER_OVERRUN 20u

/** A job as its caller knows it. */
typedef struct mt_caller_job_t {
	mt_callers_t *callers;
	char key[32]; /**< idempotency key */
	mt_name_t account;
	mt_job_id_t id;
	mt_name_t id_text;
	MtPb__Spec spec;
	GBytes *payload;
	char *expected;			 /**< result */
	uint8_t digest[MT_DIGEST_BYTES]; /**< stands in for the digest
					    of a request body: the job
					    number modulo 256,
					    repeated */
	guint submissions;		 /**< sent to a host so far */
	/**
	 * Number of the newest request for the job, cancellations not counted.
	 * Answers to older requests are outdated.
	 */
	guint newest_request;
	bool accepted;	  /**< an answer has contained the job */
	bool done;	  /**< the end of the job has been reported */
	bool not_run;	  /**< an answer has reported that it never ran */
	bool cancel_sent; /**< the caller has sent a cancellation */
	bool direct;	  /**< run by a host without a record in the log */
	MtPb__OutcomeKind known_outcome;
} mt_caller_job_t;

struct mt_callers_t {
	mt_world_t *world;
	GPtrArray *jobs;
	guint open_jobs; /**< jobs that are not `done` */
};

typedef struct mt_request_t {
	mt_caller_job_t *job;
	guint number; /**< job->newest_request when this request was sent */
	bool is_cancellation;
} mt_request_t;

/** Parameters of one kind of job. */
typedef struct mt_kind_t {
	const char *name;
	guint share; /**< per cent of all jobs */
	bool idempotent;
	bool checkpointable;
	bool urgent;
	guint members;
	guint accelerators;
	guint run_min_ms;
	guint run_max_ms;
	guint fail_share; /**< per cent whose tasks fail, whichever server
			       runs them */
} mt_kind_t;

/** Each row lists the members of mt_kind_t in their order. */
static const mt_kind_t kinds[] = {
	{"preview", 30, true, false, true, 1, 1, 100, 1500, 3},
	{"portrait", 20, true, true, false, 1, 4, 1000, 9000, 3},
	{"album", 12, true, true, false, 12, 1, 2000, 20000, 2},
	{"archive", 6, true, true, false, 4, 8, 5000, 30000, 0},
	{"charge", 26, false, false, false, 1, 0, 50, 4000, 5},
	{"settlement", 6, false, false, false, 12, 1, 1000, 8000, 0},
};

static const char *const accounts[MT_SOAK_ACCOUNTS] = {
	"atelier-sfax", "studio-bizerte", "photo-medina", "archives"};

static void submit(mt_caller_job_t *job);
static void poll_job(mt_caller_job_t *job);

const char *mt_soak_account_name(guint index)
{
	return accounts[index];
}

mt_callers_t *mt_callers_new(mt_world_t *world)
{
	mt_callers_t *callers = g_new0(mt_callers_t, 1);

	callers->world = world;
	callers->jobs = g_ptr_array_new();
	return callers;
}

void mt_callers_free(mt_callers_t *callers)
{
	for (guint i = 0; i < callers->jobs->len; i++) {
		mt_caller_job_t *job = callers->jobs->pdata[i];

		g_bytes_unref(job->payload);
		g_free(job->expected);
		g_free(job);
	}
	g_ptr_array_unref(callers->jobs);
	g_free(callers);
}

guint mt_callers_open_jobs(const mt_callers_t *callers)
{
	return callers->open_jobs;
}

static void mark_done(mt_caller_job_t *job)
{
	if (job->done)
		return;
	job->done = true;
	job->callers->open_jobs--;
}

/* Retries. */

static void on_retry_submit(void *ctx)
{
	mt_request_t *request = ctx;

	if (!request->job->done &&
	    request->job->newest_request == request->number)
		submit(request->job);
	g_free(request);
}

static void on_retry_poll(void *ctx)
{
	mt_request_t *request = ctx;

	if (!request->job->done &&
	    request->job->newest_request == request->number)
		poll_job(request->job);
	g_free(request);
}

static mt_request_t *new_request(mt_caller_job_t *job)
{
	mt_request_t *request = g_new0(mt_request_t, 1);

	request->job = job;
	request->number = job->newest_request;
	return request;
}

static void schedule_retry(mt_caller_job_t *job, mt_ms_t delay)
{
	mt_timers_after(job->callers->world->world_timers, delay,
			job->accepted ? on_retry_poll : on_retry_submit,
			new_request(job));
}

static void retry_soon(mt_caller_job_t *job)
{
	schedule_retry(job, 100 + mt_world_random_below(job->callers->world,
							RETRY_MAX_MS));
}

/* Answers. */

static void record_outcome(mt_caller_job_t *job, const mt_job_t *seen)
{
	mt_world_t *world = job->callers->world;

	if (job->known_outcome && job->known_outcome != seen->outcome)
		mt_world_breach(world, "job %s: reported as %s, then as %s",
				job->id_text.text,
				mt_outcome_name(job->known_outcome),
				mt_outcome_name(seen->outcome));
	job->known_outcome = seen->outcome;
	job->not_run = job->not_run || seen->not_run;
	if (seen->outcome == MT_PB__OUTCOME_KIND__OUTCOME_FINISHED) {
		gsize len;
		const char *data = g_bytes_get_data(seen->result, &len);

		if (len != strlen(job->expected) ||
		    memcmp(data, job->expected, len))
			mt_world_breach(world, "job %s: wrong result",
					job->id_text.text);
	}
	mark_done(job);
}

static void handle_direct_result(mt_caller_job_t *job,
				 const mt_answer_t *answer)
{
	bool finished =
		answer->direct_kind == MT_PB__OUTCOME_KIND__OUTCOME_FINISHED;
	gsize len;
	const char *data = g_bytes_get_data(answer->direct_result, &len);

	if (finished &&
	    (len != strlen(job->expected) || memcmp(data, job->expected, len)))
		mt_world_breach(job->callers->world,
				"job %s: wrong direct result",
				job->id_text.text);
	job->direct = true;
	/* The log has no record of the direct run. So if it did not finish, the
	 * job can be submitted again. */
	if (finished)
		mark_done(job);
	else
		retry_soon(job);
}

static void handle_refusal(mt_caller_job_t *job, const mt_answer_t *answer)
{
	if (answer->not_run) {
		job->not_run = true;
		mark_done(job);
		return;
	}
	mt_world_trace(job->callers->world, "job %s: refused: %s",
		       job->id_text.text, mt_refusal_code(answer->refusal));
	retry_soon(job);
}

static void on_answer(void *ctx, const mt_answer_t *answer)
{
	mt_request_t *request = ctx;
	mt_caller_job_t *job = request->job;
	bool current = request->number == job->newest_request && !job->done;

	if (answer->kind == MT_ANSWER_JOB) {
		job->accepted = true;
		if (!mt_job_is_live(answer->job))
			record_outcome(job, answer->job);
		else if (current)
			retry_soon(job);
	} else if (!current || request->is_cancellation) {
		; /* Outdated, or an answer without a job to a cancellation. */
	} else if (answer->kind == MT_ANSWER_REFUSED) {
		handle_refusal(job, answer);
	} else if (answer->kind == MT_ANSWER_DIRECT) {
		handle_direct_result(job, answer);
	} else {
		retry_soon(job);
	}
	g_free(request);
}

/* Requests. */

static void submit(mt_caller_job_t *job)
{
	mt_host_t *host = mt_world_pick_host(job->callers->world);
	mt_submission_t submission = {.account = job->account,
				      .key = mt_str_from(job->key),
				      .spec = &job->spec,
				      .payload = job->payload};

	job->newest_request++;
	schedule_retry(job, ANSWER_TIMEOUT_MS);
	if (!host)
		return;
	submission.first_request = !job->submissions++;
	submission.wait_ms = mt_world_random_below(job->callers->world, 4)
				     ? 0
				     : LONG_POLL_MS;
	memcpy(submission.body_digest, job->digest, MT_DIGEST_BYTES);
	mt_job_api_submit(mt_kernel_find(host->kernel, MT_SERVICE_JOB_API),
			  &submission, on_answer, new_request(job));
}

static void poll_job(mt_caller_job_t *job)
{
	mt_host_t *host = mt_world_pick_host(job->callers->world);

	job->newest_request++;
	schedule_retry(job, ANSWER_TIMEOUT_MS);
	if (host)
		mt_job_api_get(mt_kernel_find(host->kernel, MT_SERVICE_JOB_API),
			       &job->account, &job->id, LONG_POLL_MS, on_answer,
			       new_request(job));
}

static void send_cancellation(mt_caller_job_t *job)
{
	mt_host_t *host = mt_world_pick_host(job->callers->world);
	mt_cancellation_t cancellation = {.account = job->account,
					  .id = job->id,
					  .id_derived_from_key = true,
					  .once = !job->spec.idempotent};
	mt_request_t *request;

	if (!host)
		return;
	job->cancel_sent = true;
	request = new_request(job);
	request->is_cancellation = true;
	mt_job_api_cancel(mt_kernel_find(host->kernel, MT_SERVICE_JOB_API),
			  &cancellation, on_answer, request);
}

static const mt_kind_t *pick_kind(mt_world_t *world)
{
	guint pick = mt_world_random_below(world, 100);

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (pick < kinds[i].share)
			return &kinds[i];
		pick -= kinds[i].share;
	}
	return &kinds[0];
}

static void fill_spec(mt_world_t *world, mt_caller_job_t *job,
		      const mt_kind_t *kind)
{
	guint run_ms = kind->run_min_ms +
		       mt_world_random_below(world, kind->run_max_ms -
							    kind->run_min_ms);
	bool fails = mt_world_random_below(world, 100) < kind->fail_share;
	char *payload = g_strdup_printf(
		"{\"run_ms\":%u,\"result\":\"%s\",\"once\":%s,\"fail\":%s,"
		"\"use_memory_mb\":%u}",
		run_ms, job->expected, kind->idempotent ? "false" : "true",
		fails ? "true" : "false",
		mt_world_random_below(world, JOBS_PER_OVERRUN) ? USED_MB
							       : OVERRUN_MB);

	mt_pb__spec__init(&job->spec);
	job->spec.kind = (char *)kind->name;
	job->spec.idempotent = kind->idempotent;
	job->spec.checkpointable = kind->checkpointable;
	job->spec.urgent = kind->urgent;
	job->spec.members = kind->members;
	job->spec.accelerators = kind->accelerators;
	job->spec.processors = 2;
	job->spec.memory_mb = DECLARED_MB;
	/* The declared run time is 1 s plus 1 to 4 times the actual one, which
	 * is first rounded down to whole seconds. */
	job->spec.run_s =
		1 + run_ms / 1000 * (mt_world_random_below(world, 4) + 1);
	job->spec.value = 1 + mt_world_random_below(world, 10);
	job->payload = g_bytes_new_take(payload, strlen(payload));
}

void mt_callers_submit(mt_callers_t *callers)
{
	mt_world_t *world = callers->world;
	mt_caller_job_t *job = g_new0(mt_caller_job_t, 1);

	job->callers = callers;
	g_snprintf(job->key, sizeof(job->key), "key-%u", callers->jobs->len);
	job->account = mt_name(
		accounts[mt_world_random_below(world, MT_SOAK_ACCOUNTS)]);
	job->id = mt_job_id_derive(&job->account, mt_str_from(job->key));
	job->id_text = mt_job_id_text(&job->id);
	job->expected = g_strdup_printf("result %s", job->key);
	memset(job->digest, (int)(callers->jobs->len & 0xff), MT_DIGEST_BYTES);
	fill_spec(world, job, pick_kind(world));
	g_ptr_array_add(callers->jobs, job);
	callers->open_jobs++;
	submit(job);
}

void mt_callers_cancel_some(mt_callers_t *callers, guint count)
{
	for (guint i = callers->jobs->len; i-- > 0 && count;) {
		mt_caller_job_t *job = callers->jobs->pdata[i];

		if (job->done || job->cancel_sent)
			continue;
		send_cancellation(job);
		count--;
	}
}

/* Checks. */

static void check_job(mt_callers_t *callers, const mt_caller_job_t *job)
{
	mt_world_t *world = callers->world;
	uint32_t runs_begun =
		mt_fleet_model_runs_begun(world->fleet, &job->id_text);

	if (!job->done)
		mt_world_breach(world, "job %s (%s, %s): lost: no end reported",
				job->id_text.text, job->spec.kind,
				job->accepted ? "accepted" : "not accepted");
	if (job->not_run && runs_begun)
		mt_world_breach(
			world,
			"job %s (%s): reported as not run, runs begun: %u",
			job->id_text.text, job->spec.kind, runs_begun);
	if (!job->spec.idempotent && runs_begun > 1)
		mt_world_breach(world, "job %s (%s): began %u times",
				job->id_text.text, job->spec.kind, runs_begun);
	if (!job->spec.idempotent && !runs_begun &&
	    job->known_outcome == MT_PB__OUTCOME_KIND__OUTCOME_FINISHED)
		mt_world_breach(world,
				"job %s: reported as finished, but never began",
				job->id_text.text);
}

void mt_callers_check_all(mt_callers_t *callers)
{
	mt_world_t *world = callers->world;
	mt_audit_t audit = mt_fleet_model_audit(world->fleet);

	for (guint i = 0; i < callers->jobs->len; i++)
		check_job(callers, callers->jobs->pdata[i]);
	if (audit.gangs_partial_too_long)
		mt_world_breach(world,
				"%u gangs were partially running for too long",
				(guint)audit.gangs_partial_too_long);
	if (audit.premature_begins)
		mt_world_breach(world,
				"%u tasks began before all tasks of their gang "
				"were created",
				(guint)audit.premature_begins);
	if (audit.started_while_leaving)
		mt_world_breach(world, "%u starts on leaving servers",
				(guint)audit.started_while_leaving);
}

void mt_callers_print_summary(const mt_callers_t *callers)
{
	mt_audit_t audit = mt_fleet_model_audit(callers->world->fleet);
	guint outcome_counts[MT_PB__OUTCOME_KIND__OUTCOME_UNKNOWN + 1] = {0};
	guint not_run = 0;
	guint direct = 0;

	for (guint i = 0; i < callers->jobs->len; i++) {
		const mt_caller_job_t *job = callers->jobs->pdata[i];

		outcome_counts[job->known_outcome]++;
		not_run += job->not_run;
		direct += job->direct;
	}
	printf("  jobs %u finished %u failed %u refused %u cancelled %u "
	       "unknown %u not-run %u direct %u longest-partial %ums\n",
	       callers->jobs->len,
	       outcome_counts[MT_PB__OUTCOME_KIND__OUTCOME_FINISHED],
	       outcome_counts[MT_PB__OUTCOME_KIND__OUTCOME_FAILED],
	       outcome_counts[MT_PB__OUTCOME_KIND__OUTCOME_REFUSED],
	       outcome_counts[MT_PB__OUTCOME_KIND__OUTCOME_CANCELLED],
	       outcome_counts[MT_PB__OUTCOME_KIND__OUTCOME_UNKNOWN], not_run,
	       direct, (guint)audit.longest_partial_ms);
}
