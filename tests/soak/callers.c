/** @file callers.c Callers of the soak and their judgement. */
#include "soak/callers.h"

#include <stdio.h>
#include <string.h>

/** A caller that hears nothing for this long asks another host. */
#define PATIENCE_MS 8000u
#define RETRY_MAX_MS 2000
#define LOOK_WAIT_MS 5000u

typedef struct mt_ledger_job_t {
	mt_callers_t *callers;
	char key[32];
	mt_name_t account;
	mt_job_id_t id;
	mt_name_t text;
	MtPb__Spec spec;
	GBytes *payload;
	char *expected;
	uint8_t digest[MT_DIGEST_BYTES];
	guint attempts;
	guint request; /**< number of the last request; older answers are void
			*/
	bool accepted;
	bool done;
	bool not_run; /**< some answer said so */
	bool cancel;
	bool direct;
	MtPb__OutcomeKind told;
} mt_ledger_job_t;

struct mt_callers_t {
	mt_world_t *world;
	GPtrArray *jobs;
	guint open;
	guint refused;
};

typedef struct mt_request_t {
	mt_ledger_job_t *job;
	guint number;
	bool cancel;
} mt_request_t;

typedef struct mt_kind_t {
	const char *name;
	guint share;
	bool idempotent;
	bool checkpointable;
	bool urgent;
	guint members;
	guint accelerators;
	guint run_min_ms;
	guint run_max_ms;
	guint fail_share; /**< per cent that fail wherever they run */
} mt_kind_t;

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

static void submit(mt_ledger_job_t *job);
static void look(mt_ledger_job_t *job);

const char *mt_soak_account(guint index)
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
		mt_ledger_job_t *job = callers->jobs->pdata[i];

		g_bytes_unref(job->payload);
		g_free(job->expected);
		g_free(job);
	}
	g_ptr_array_unref(callers->jobs);
	g_free(callers);
}

guint mt_callers_open(const mt_callers_t *callers)
{
	return callers->open;
}

static void finish(mt_ledger_job_t *job)
{
	if (job->done)
		return;
	job->done = true;
	job->callers->open--;
}

/* Timers of a caller. */

static void on_retry_submit(void *ctx)
{
	mt_request_t *request = ctx;

	if (!request->job->done && request->job->request == request->number)
		submit(request->job);
	g_free(request);
}

static void on_retry_look(void *ctx)
{
	mt_request_t *request = ctx;

	if (!request->job->done && request->job->request == request->number)
		look(request->job);
	g_free(request);
}

static mt_request_t *new_request(mt_ledger_job_t *job)
{
	mt_request_t *request = g_new0(mt_request_t, 1);

	request->job = job;
	request->number = job->request;
	return request;
}

static void later(mt_ledger_job_t *job, mt_ms_t delay)
{
	mt_timers_after(job->callers->world->events, delay,
			job->accepted ? on_retry_look : on_retry_submit,
			new_request(job));
}

static void retry_soon(mt_ledger_job_t *job)
{
	later(job, 100 + mt_world_chance(job->callers->world, RETRY_MAX_MS));
}

/* Answers. */

static void take_end(mt_ledger_job_t *job, const mt_job_t *seen)
{
	mt_world_t *world = job->callers->world;

	if (job->told && job->told != seen->outcome)
		mt_world_breach(world, "job %s: told %s, then %s",
				job->text.text, mt_outcome_name(job->told),
				mt_outcome_name(seen->outcome));
	job->told = seen->outcome;
	job->not_run = job->not_run || seen->not_run;
	if (seen->outcome == MT_PB__OUTCOME_KIND__OUTCOME_FINISHED) {
		gsize len;
		const char *data = g_bytes_get_data(seen->result, &len);

		if (len != strlen(job->expected) ||
		    memcmp(data, job->expected, len))
			mt_world_breach(world, "job %s: wrong result",
					job->text.text);
	}
	finish(job);
}

static void take_direct(mt_ledger_job_t *job, const mt_answer_t *answer)
{
	bool finished =
		answer->direct_kind == MT_PB__OUTCOME_KIND__OUTCOME_FINISHED;
	gsize len;
	const char *data = g_bytes_get_data(answer->direct_result, &len);

	if (finished &&
	    (len != strlen(job->expected) || memcmp(data, job->expected, len)))
		mt_world_breach(job->callers->world,
				"job %s: wrong direct result", job->text.text);
	job->direct = true;
	if (finished)
		finish(job);
	else
		retry_soon(job);
}

static void take_refusal(mt_ledger_job_t *job, const mt_answer_t *answer)
{
	job->callers->refused++;
	if (answer->not_run) {
		job->not_run = true;
		finish(job);
		return;
	}
	mt_world_trace(job->callers->world, "job %s: refused: %s",
		       job->text.text, mt_refusal_code(answer->refusal));
	retry_soon(job);
}

static void on_answer(void *ctx, const mt_answer_t *answer)
{
	mt_request_t *request = ctx;
	mt_ledger_job_t *job = request->job;
	bool current = request->number == job->request && !job->done;

	if (answer->kind == MT_ANSWER_JOB) {
		job->accepted = true;
		if (!mt_job_is_live(answer->job))
			take_end(job, answer->job);
		else if (current)
			retry_soon(job);
	} else if (!current || request->cancel) {
		; /* The caller asks elsewhere already. */
	} else if (answer->kind == MT_ANSWER_REFUSED) {
		take_refusal(job, answer);
	} else if (answer->kind == MT_ANSWER_DIRECT) {
		take_direct(job, answer);
	} else {
		retry_soon(job);
	}
	g_free(request);
}

/* Requests. */

static void submit(mt_ledger_job_t *job)
{
	mt_host_t *host = mt_world_pick_host(job->callers->world);
	mt_submission_t submission = {.account = job->account,
				      .key = mt_str_from(job->key),
				      .spec = &job->spec,
				      .payload = job->payload};

	job->request++;
	later(job, PATIENCE_MS);
	if (!host)
		return;
	submission.first_attempt = !job->attempts++;
	submission.wait_ms =
		mt_world_chance(job->callers->world, 4) ? 0 : LOOK_WAIT_MS;
	memcpy(submission.body_digest, job->digest, MT_DIGEST_BYTES);
	mt_job_api_submit(mt_kernel_find(host->kernel, MT_SERVICE_JOB_API),
			  &submission, on_answer, new_request(job));
}

static void look(mt_ledger_job_t *job)
{
	mt_host_t *host = mt_world_pick_host(job->callers->world);

	job->request++;
	later(job, PATIENCE_MS);
	if (host)
		mt_job_api_get(mt_kernel_find(host->kernel, MT_SERVICE_JOB_API),
			       &job->account, &job->id, LOOK_WAIT_MS, on_answer,
			       new_request(job));
}

static void cancel(mt_ledger_job_t *job)
{
	mt_host_t *host = mt_world_pick_host(job->callers->world);
	mt_cancellation_t cancellation = {.account = job->account,
					  .id = job->id,
					  .id_derived_from_key = true,
					  .once = !job->spec.idempotent};
	mt_request_t *request;

	if (!host)
		return;
	job->cancel = true;
	request = new_request(job);
	request->cancel = true;
	mt_job_api_cancel(mt_kernel_find(host->kernel, MT_SERVICE_JOB_API),
			  &cancellation, on_answer, request);
}

static const mt_kind_t *pick_kind(mt_world_t *world)
{
	guint pick = mt_world_chance(world, 100);

	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (pick < kinds[i].share)
			return &kinds[i];
		pick -= kinds[i].share;
	}
	return &kinds[0];
}

static void fill_spec(mt_world_t *world, mt_ledger_job_t *job,
		      const mt_kind_t *kind)
{
	guint run_ms =
		kind->run_min_ms +
		mt_world_chance(world, kind->run_max_ms - kind->run_min_ms);
	bool fails = mt_world_chance(world, 100) < kind->fail_share;
	char *payload = g_strdup_printf(
		"{\"run_ms\":%u,\"result\":\"%s\",\"once\":%s,\"fail\":%s,"
		"\"use_memory_mb\":%u}",
		run_ms, job->expected, kind->idempotent ? "false" : "true",
		fails ? "true" : "false",
		mt_world_chance(world, 20) ? 1000 : 9000);

	mt_pb__spec__init(&job->spec);
	job->spec.kind = (char *)kind->name;
	job->spec.idempotent = kind->idempotent;
	job->spec.checkpointable = kind->checkpointable;
	job->spec.urgent = kind->urgent;
	job->spec.members = kind->members;
	job->spec.accelerators = kind->accelerators;
	job->spec.processors = 2;
	job->spec.memory_mb = 4000;
	/* What is declared is far off. */
	job->spec.run_s = 1 + run_ms / 1000 * (mt_world_chance(world, 4) + 1);
	job->spec.value = 1 + mt_world_chance(world, 10);
	job->payload = g_bytes_new_take(payload, strlen(payload));
}

void mt_callers_submit(mt_callers_t *callers)
{
	mt_world_t *world = callers->world;
	mt_ledger_job_t *job = g_new0(mt_ledger_job_t, 1);

	job->callers = callers;
	g_snprintf(job->key, sizeof(job->key), "key-%u", callers->jobs->len);
	job->account =
		mt_name(accounts[mt_world_chance(world, MT_SOAK_ACCOUNTS)]);
	job->id = mt_job_id_derive(&job->account, mt_str_from(job->key));
	job->text = mt_job_id_text(&job->id);
	job->expected = g_strdup_printf("result %s", job->key);
	memset(job->digest, (int)(callers->jobs->len & 0xff), MT_DIGEST_BYTES);
	fill_spec(world, job, pick_kind(world));
	g_ptr_array_add(callers->jobs, job);
	callers->open++;
	submit(job);
}

void mt_callers_cancel_wave(mt_callers_t *callers, guint count)
{
	for (guint i = callers->jobs->len; i-- > 0 && count;) {
		mt_ledger_job_t *job = callers->jobs->pdata[i];

		if (job->done || job->cancel)
			continue;
		cancel(job);
		count--;
	}
}

/* Judgement. */

static void judge_job(mt_callers_t *callers, const mt_ledger_job_t *job)
{
	mt_world_t *world = callers->world;
	uint32_t begins =
		mt_fleet_model_attempts_begun(world->fleet, &job->text);

	if (!job->done)
		mt_world_breach(world, "job %s (%s, %s): lost: no end told",
				job->text.text, job->spec.kind,
				job->accepted ? "accepted" : "not accepted");
	if (job->not_run && begins)
		mt_world_breach(world, "job %s (%s): told not run, began %u",
				job->text.text, job->spec.kind, begins);
	if (!job->spec.idempotent && begins > 1)
		mt_world_breach(world, "job %s (%s): began %u times",
				job->text.text, job->spec.kind, begins);
	if (!job->spec.idempotent && !begins &&
	    job->told == MT_PB__OUTCOME_KIND__OUTCOME_FINISHED)
		mt_world_breach(world, "job %s: finished but never began",
				job->text.text);
}

void mt_callers_judge(mt_callers_t *callers)
{
	mt_world_t *world = callers->world;
	mt_audit_t audit = mt_fleet_model_audit(world->fleet);

	for (guint i = 0; i < callers->jobs->len; i++)
		judge_job(callers, callers->jobs->pdata[i]);
	if (audit.partial_gangs)
		mt_world_breach(world, "%u gangs ran in part for too long",
				(guint)audit.partial_gangs);
	if (audit.premature_begins)
		mt_world_breach(world,
				"%u members began before their gang was held",
				(guint)audit.premature_begins);
	if (audit.started_while_leaving)
		mt_world_breach(world, "%u starts on leaving servers",
				(guint)audit.started_while_leaving);
}

void mt_callers_print(const mt_callers_t *callers)
{
	mt_audit_t audit = mt_fleet_model_audit(callers->world->fleet);
	guint told[MT_PB__OUTCOME_KIND__OUTCOME_UNKNOWN + 1] = {0};
	guint not_run = 0;
	guint direct = 0;

	for (guint i = 0; i < callers->jobs->len; i++) {
		const mt_ledger_job_t *job = callers->jobs->pdata[i];

		told[job->told]++;
		not_run += job->not_run;
		direct += job->direct;
	}
	printf("  jobs %u finished %u failed %u refused %u cancelled %u "
	       "unknown %u not-run %u direct %u longest-partial %ums\n",
	       callers->jobs->len, told[MT_PB__OUTCOME_KIND__OUTCOME_FINISHED],
	       told[MT_PB__OUTCOME_KIND__OUTCOME_FAILED],
	       told[MT_PB__OUTCOME_KIND__OUTCOME_REFUSED],
	       told[MT_PB__OUTCOME_KIND__OUTCOME_CANCELLED],
	       told[MT_PB__OUTCOME_KIND__OUTCOME_UNKNOWN], not_run, direct,
	       (guint)audit.longest_partial_ms);
}
