/** @file run_records.c Claims and outcomes written to the log. */
#include <string.h>

#include "node/runner_internal.h"

/**
 * The label of an idempotent run contains a random number below this, which has
 * at most 7 hexadecimal digits.
 */
#define RUN_LABEL_RANGE 0x10000000u

static void on_claim_read_back(void *ctx, uint64_t offset)
{
	mt_run_t *run = ctx;
	mt_runner_t *runner = run->runner;

	run->record_id = 0;
	/* A valid claim would have moved the run to the next phase already, so
	 * this one is not valid. */
	if (run->phase == MT_PHASE_CLAIM)
		mt_run_drop(runner, run);
}

static void submit_claim(mt_runner_t *runner, mt_run_t *run,
			 const mt_job_t *job)
{
	MtPb__Record record = MT_PB__RECORD__INIT;
	MtPb__Claim claim = MT_PB__CLAIM__INIT;
	guint count = run->parts->len;
	MtPb__ClaimTarget *targets = g_new0(MtPb__ClaimTarget, count);
	MtPb__ClaimTarget **pointers = g_new0(MtPb__ClaimTarget *, count);

	for (guint i = 0; i < count; i++) {
		mt_run_part_t *part = mt_run_part(run, i);

		mt_pb__claim_target__init(&targets[i]);
		targets[i].server = part->server.text;
		targets[i].boot = part->boot.text;
		targets[i].members = part->members;
		pointers[i] = &targets[i];
	}
	claim.job = mt_job_id_field(&run->job);
	claim.epoch = job->epoch;
	claim.number = run->claim_number;
	claim.run = run->id;
	claim.holder = runner->deps.incarnation.text;
	claim.n_targets = count;
	claim.targets = pointers;
	record.body_case = MT_PB__RECORD__BODY_CLAIM;
	record.claim = &claim;
	run->record_id = mt_appender_submit_record(
		runner->deps.appender, &record, MT_PRIORITY_CRITICAL,
		on_claim_read_back, run);
	g_free(pointers);
	g_free(targets);
}

static void set_run_label(mt_runner_t *runner, mt_run_t *run,
			  const mt_job_t *job)
{
	char text[16];

	if (run->idempotent) {
		GRand *rand = mt_kernel_rand(runner->deps.kernel);

		g_snprintf(text, sizeof(text), "r%07x",
			   (guint)g_rand_int(rand) % RUN_LABEL_RANGE);
	} else {
		run->claim_number = job->last_claim_number + 1;
		g_snprintf(text, sizeof(text), "c%u", run->claim_number);
	}
	run->run_label = mt_name(text);
}

void mt_runner_start(mt_runner_t *runner, mt_job_t *job,
		     const mt_shape_t *granted, const GArray *targets)
{
	mt_run_t *run = mt_run_new(runner, job,
				   job->spec->idempotent ? MT_PHASE_START
							 : MT_PHASE_CLAIM);

	run->shape = *granted;
	run->part_count = targets->len;
	set_run_label(runner, run, job);
	for (guint i = 0; i < targets->len; i++) {
		const mt_target_t *target =
			&g_array_index(targets, mt_target_t, i);
		mt_run_part_t part = {0};

		part.server = target->server->info.id;
		part.boot = target->server->boot;
		part.token = target->server->token;
		part.members = target->members;
		part.task = mt_run_task_name(run, i);
		mt_run_add_part(runner, run, &part);
	}
	mt_kernel_count(runner->deps.kernel, "runs_started_total");
	if (run->phase == MT_PHASE_CLAIM)
		submit_claim(runner, run, job);
	else
		mt_run_advance(runner, run);
}

static GBytes *pack_outcome(const mt_job_t *job, MtPb__OutcomeKind kind,
			    const char *reason, uint32_t claim_number,
			    GBytes *result)
{
	MtPb__Record record = MT_PB__RECORD__INIT;
	MtPb__Outcome outcome = MT_PB__OUTCOME__INIT;

	outcome.job = mt_job_id_field(&job->id);
	outcome.epoch = job->epoch;
	outcome.kind = kind;
	outcome.reason = (char *)reason;
	outcome.claim_number = claim_number;
	if (result && kind == MT_PB__OUTCOME_KIND__OUTCOME_FINISHED)
		outcome.result = mt_field_from_bytes(result);
	record.body_case = MT_PB__RECORD__BODY_OUTCOME;
	record.outcome = &outcome;
	return mt_record_pack(&record);
}

void mt_runner_record_outcome(mt_runner_t *runner, mt_job_t *job,
			      MtPb__OutcomeKind kind, const char *reason)
{
	GBytes *packed;

	g_assert(!mt_runner_find(runner, &job->id));
	if (job->direct) {
		runner->handler.direct_done(runner->handler.ctx, job, kind,
					    reason, NULL);
		mt_jobs_drop_direct(runner->deps.jobs, job);
		return;
	}
	packed = pack_outcome(job, kind, reason, 0, NULL);
	mt_appender_submit(runner->deps.appender, packed, MT_PRIORITY_CRITICAL,
			   NULL, NULL);
	g_bytes_unref(packed);
}

static void on_outcome_read_back(void *ctx, uint64_t offset)
{
	mt_run_t *run = ctx;
	mt_runner_t *runner = run->runner;

	run->record_id = 0;
	/* A valid outcome would have dropped the run already, so this one is
	 * not valid. */
	mt_run_forget_tasks(runner, run);
	mt_run_drop(runner, run);
}

void mt_run_record_outcome(mt_runner_t *runner, mt_run_t *run,
			   MtPb__OutcomeKind kind, const char *reason)
{
	mt_job_t *job = mt_jobs_find(runner->deps.jobs, &run->job);
	GBytes *packed;

	mt_run_set_phase(runner, run, MT_PHASE_RECORD);
	if (!job || !mt_job_is_live(job)) {
		mt_run_forget_tasks(runner, run);
		mt_run_drop(runner, run);
		return;
	}
	if (run->direct) {
		runner->handler.direct_done(runner->handler.ctx, job, kind,
					    reason, run->result);
		mt_run_forget_tasks(runner, run);
		mt_run_drop(runner, run);
		mt_jobs_drop_direct(runner->deps.jobs, job);
		return;
	}
	packed =
		pack_outcome(job, kind, reason, run->claim_number, run->result);
	run->record_id = mt_appender_submit(runner->deps.appender, packed,
					    MT_PRIORITY_CRITICAL,
					    on_outcome_read_back, run);
	g_bytes_unref(packed);
}
