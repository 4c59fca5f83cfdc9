/**
 * @file script_jobs.c
 * Script commands for the job table of mimosaturnd (lib/jobs). The "once" flag
 * of a command marks the job as not idempotent.
 */
#include <string.h>

#include "jobs/jobs.h"
#include "unit/script.h"

typedef struct mt_jobs_fixture_t {
	mt_timers_t *timers;
	mt_kernel_t *kernel;
	mt_jobs_t *jobs;
	uint64_t offset;
	uint64_t at_ms;
	GString *out; /**< of the current command */
	bool changed;
} mt_jobs_fixture_t;

/**
 * Indexed by mt_job_change_t. "accepted" stands for MT_JOB_ADDED: a job is
 * added to the table, by an Accept or from a Carry record. A job from a Carry
 * record may already have ended. "dropped" means removed from memory.
 */
static const char *const change_names[] = {"accepted",	   "claimed", "voided",
					   "cancel asked", "moved",   "ended",
					   "dropped"};

static void on_change(void *ctx, mt_job_t *job, mt_job_change_t change)
{
	mt_jobs_fixture_t *fixture = ctx;

	fixture->changed = true;
	if (fixture->out)
		g_string_append_printf(fixture->out, "%s\n",
				       change_names[change]);
}

static void *open_group(void)
{
	mt_jobs_fixture_t *fixture = g_new0(mt_jobs_fixture_t, 1);

	fixture->timers = mt_timers_new(0);
	fixture->kernel = mt_kernel_new("test", fixture->timers, 1);
	fixture->jobs = mt_jobs_new();
	mt_jobs_subscribe(fixture->jobs, on_change, fixture);
	return fixture;
}

static void close_group(void *data)
{
	mt_jobs_fixture_t *fixture = data;

	fixture->out = NULL;
	mt_jobs_free(fixture->jobs);
	mt_kernel_free(fixture->kernel);
	mt_timers_free(fixture->timers);
	g_free(fixture);
}

static mt_job_id_t job_id_from_key(const char *key)
{
	mt_name_t account = mt_name("shop");

	return mt_job_id_derive(&account, mt_str_from(key));
}

/**
 * Applies a record. Prints "ignored" when it changes no job at once. For a
 * Carry record this only means "no change yet": the table keeps it, and may
 * create the job from it at the end of the stream.
 */
static void apply(mt_jobs_fixture_t *fixture, const MtPb__Record *record)
{
	fixture->changed = false;
	mt_jobs_apply(fixture->jobs, fixture->offset++, fixture->at_ms, record);
	if (!fixture->changed)
		g_string_append(fixture->out, "ignored\n");
}

static void accept_job(mt_jobs_fixture_t *fixture, char **words,
		       const mt_job_id_t *id)
{
	MtPb__Record record = MT_PB__RECORD__INIT;
	MtPb__Accept accept = MT_PB__ACCEPT__INIT;
	MtPb__Spec spec = MT_PB__SPEC__INIT;
	uint8_t digest[MT_DIGEST_BYTES] = {0};

	spec.members = (uint32_t)mt_script_number(words, "members", 1);
	spec.idempotent = !mt_script_flag(words, "once");
	accept.job = mt_job_id_field(id);
	accept.account = (char *)"shop";
	accept.dc = (char *)mt_script_option(words, "dc", "tunis");
	accept.spec = &spec;
	accept.body_digest = (ProtobufCBinaryData){sizeof(digest), digest};
	record.body_case = MT_PB__RECORD__BODY_ACCEPT;
	record.accept = &accept;
	apply(fixture, &record);
}

static void claim_job(mt_jobs_fixture_t *fixture, char **words,
		      const mt_job_id_t *id)
{
	MtPb__Record record = MT_PB__RECORD__INIT;
	MtPb__Claim claim = MT_PB__CLAIM__INIT;
	MtPb__ClaimTarget target = MT_PB__CLAIM_TARGET__INIT;
	MtPb__ClaimTarget *targets[] = {&target};

	target.server = (char *)"gpu-1";
	target.boot = (char *)"boot-1";
	claim.job = mt_job_id_field(id);
	claim.number = (uint32_t)mt_script_number(words, "number", 1);
	claim.epoch = (uint32_t)mt_script_number(words, "epoch", 1);
	claim.holder = (char *)"host-1";
	claim.n_targets = 1;
	claim.targets = targets;
	record.body_case = MT_PB__RECORD__BODY_CLAIM;
	record.claim = &claim;
	apply(fixture, &record);
}

static void void_claim(mt_jobs_fixture_t *fixture, char **words,
		       const mt_job_id_t *id)
{
	MtPb__Record record = MT_PB__RECORD__INIT;
	MtPb__ClaimVoid claim_void = MT_PB__CLAIM_VOID__INIT;

	claim_void.job = mt_job_id_field(id);
	claim_void.number = (uint32_t)mt_script_number(words, "number", 1);
	record.body_case = MT_PB__RECORD__BODY_CLAIM_VOID;
	record.claim_void = &claim_void;
	apply(fixture, &record);
}

static MtPb__OutcomeKind outcome_kind(const char *name)
{
	for (int kind = MT_PB__OUTCOME_KIND__OUTCOME_FINISHED;
	     kind <= MT_PB__OUTCOME_KIND__OUTCOME_UNKNOWN; kind++) {
		if (!strcmp(mt_outcome_name((MtPb__OutcomeKind)kind), name))
			return (MtPb__OutcomeKind)kind;
	}
	return MT_PB__OUTCOME_KIND__OUTCOME_NONE;
}

static void end_job(mt_jobs_fixture_t *fixture, char **words,
		    const mt_job_id_t *id)
{
	MtPb__Record record = MT_PB__RECORD__INIT;
	MtPb__Outcome outcome = MT_PB__OUTCOME__INIT;
	const char *result = mt_script_option(words, "result", "");

	outcome.job = mt_job_id_field(id);
	outcome.epoch = (uint32_t)mt_script_number(words, "epoch", 1);
	outcome.kind = outcome_kind(words[2]);
	outcome.claim_number = (uint32_t)mt_script_number(words, "claim", 0);
	outcome.result =
		(ProtobufCBinaryData){strlen(result), (uint8_t *)result};
	record.body_case = MT_PB__RECORD__BODY_OUTCOME;
	record.outcome = &outcome;
	apply(fixture, &record);
}

static void cancel_job(mt_jobs_fixture_t *fixture, char **words,
		       const mt_job_id_t *id)
{
	MtPb__Record record = MT_PB__RECORD__INIT;
	MtPb__Cancel cancel = MT_PB__CANCEL__INIT;

	cancel.job = mt_job_id_field(id);
	cancel.account = (char *)mt_script_option(words, "account", "");
	cancel.once = mt_script_flag(words, "once");
	record.body_case = MT_PB__RECORD__BODY_CANCEL;
	record.cancel = &cancel;
	apply(fixture, &record);
}

static void move_job(mt_jobs_fixture_t *fixture, char **words,
		     const mt_job_id_t *id)
{
	MtPb__Record record = MT_PB__RECORD__INIT;
	MtPb__Move move = MT_PB__MOVE__INIT;

	move.job = mt_job_id_field(id);
	move.epoch = (uint32_t)mt_script_number(words, "epoch", 2);
	move.dc = (char *)mt_script_option(words, "dc", "sfax");
	record.body_case = MT_PB__RECORD__BODY_MOVE;
	record.move = &move;
	apply(fixture, &record);
}

/**
 * Applies a Carry record of the job. With `restart`, the table is emptied
 * first, like that of a reader that starts at offset `first`.
 */
static void carry_job(mt_jobs_fixture_t *fixture, char **words,
		      const mt_job_id_t *id)
{
	uint64_t as_of = mt_script_number(words, "as_of", fixture->offset - 1);
	GBytes *packed =
		mt_job_pack_carry(mt_jobs_find(fixture->jobs, id), as_of);
	MtPb__Record *record = mt_record_unpack(packed);

	if (mt_script_flag(words, "restart"))
		mt_jobs_reset(fixture->jobs,
			      mt_script_number(words, "first", 1));
	apply(fixture, record);
	mt_record_free(record);
	g_bytes_unref(packed);
}

/**
 * Prints the state of a job: "accepted" while it has no outcome, otherwise the
 * outcome, and the data centre, which is "none" for a job that was cancelled
 * before its Accept. "claim open" means that the last claim was not voided;
 * this is also shown after the job has ended under that claim.
 */
static void show_job(mt_jobs_fixture_t *fixture, const mt_job_id_t *id)
{
	const mt_job_t *job = mt_jobs_find(fixture->jobs, id);

	if (!job) {
		g_string_append(fixture->out, "not known\n");
		return;
	}
	g_string_append_printf(
		fixture->out, "%s in %s, epoch %u, claims %u%s%s%s",
		mt_outcome_name(job->outcome), job->dc.text, job->epoch,
		job->last_claim_number, job->claim ? ", claim open" : "",
		job->cancel_requested ? ", cancel asked" : "",
		job->not_run ? ", not run" : "");
	if (job->result)
		g_string_append_printf(
			fixture->out, ", result %.*s",
			(int)g_bytes_get_size(job->result),
			(const char *)g_bytes_get_data(job->result, NULL));
	g_string_append(fixture->out, "\n");
}

typedef struct mt_jobs_command_t {
	const char *name;
	void (*run)(mt_jobs_fixture_t *fixture, char **words,
		    const mt_job_id_t *id);
} mt_jobs_command_t;

static const mt_jobs_command_t commands[] = {
	{"accept", accept_job}, {"claim", claim_job},	{"void", void_claim},
	{"end", end_job},	{"cancel", cancel_job}, {"move", move_job},
	{"carry", carry_job},
};

static bool run_command(void *data, char **words, const char *rest,
			GString *out)
{
	mt_jobs_fixture_t *fixture = data;
	mt_job_id_t id = job_id_from_key(words[1] ? words[1] : "");

	fixture->out = out;
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (!strcmp(words[0], commands[i].name)) {
			commands[i].run(fixture, words, &id);
			return true;
		}
	}
	if (!strcmp(words[0], "show-job"))
		show_job(fixture, &id);
	else if (!strcmp(words[0], "clock"))
		fixture->at_ms = g_ascii_strtoull(rest, NULL, 10);
	else if (!strcmp(words[0], "end-of-stream"))
		mt_jobs_finish_loading(fixture->jobs);
	else if (!strcmp(words[0], "prune"))
		mt_jobs_prune(fixture->jobs, fixture->at_ms);
	else
		return false;
	return true;
}

const mt_script_group_t mt_script_jobs = {open_group, close_group, run_command};
