/** @file script_jobs.c Script commands for the table of jobs. */
#include <string.h>

#include "jobs/jobs.h"
#include "unit/script.h"

typedef struct mt_jobs_group_t {
	mt_timers_t *timers;
	mt_kernel_t *kernel;
	mt_jobs_t *jobs;
	uint64_t offset;
	uint64_t at_ms;
	GString *out; /**< of the command that runs */
	bool changed;
} mt_jobs_group_t;

static const char *const change_names[] = {"accepted",	   "claimed", "voided",
					   "cancel asked", "moved",   "ended",
					   "dropped"};

static void on_change(void *ctx, mt_job_t *job, mt_job_change_t change)
{
	mt_jobs_group_t *group = ctx;

	group->changed = true;
	if (group->out)
		g_string_append_printf(group->out, "%s\n",
				       change_names[change]);
}

static void *open_group(void)
{
	mt_jobs_group_t *group = g_new0(mt_jobs_group_t, 1);

	group->timers = mt_timers_new(0);
	group->kernel = mt_kernel_new("test", group->timers, 1);
	group->jobs = mt_jobs_new(group->kernel);
	mt_jobs_subscribe(group->jobs, on_change, group);
	return group;
}

static void close_group(void *data)
{
	mt_jobs_group_t *group = data;

	group->out = NULL;
	mt_jobs_free(group->jobs);
	mt_kernel_free(group->kernel);
	mt_timers_free(group->timers);
	g_free(group);
}

static mt_job_id_t id_of(const char *key)
{
	mt_name_t account = mt_name("shop");

	return mt_job_id_derive(&account, mt_str_from(key));
}

static void apply(mt_jobs_group_t *group, const MtPb__Record *record)
{
	group->changed = false;
	mt_jobs_apply(group->jobs, group->offset++, group->at_ms, record);
	if (!group->changed)
		g_string_append(group->out, "ignored\n");
}

static void accept_job(mt_jobs_group_t *group, char **words,
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
	apply(group, &record);
}

static void claim_job(mt_jobs_group_t *group, char **words,
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
	apply(group, &record);
}

static void void_claim(mt_jobs_group_t *group, char **words,
		       const mt_job_id_t *id)
{
	MtPb__Record record = MT_PB__RECORD__INIT;
	MtPb__ClaimVoid claim_void = MT_PB__CLAIM_VOID__INIT;

	claim_void.job = mt_job_id_field(id);
	claim_void.number = (uint32_t)mt_script_number(words, "number", 1);
	record.body_case = MT_PB__RECORD__BODY_CLAIM_VOID;
	record.claim_void = &claim_void;
	apply(group, &record);
}

static MtPb__OutcomeKind kind_of(const char *name)
{
	for (int kind = MT_PB__OUTCOME_KIND__OUTCOME_FINISHED;
	     kind <= MT_PB__OUTCOME_KIND__OUTCOME_UNKNOWN; kind++) {
		if (!strcmp(mt_outcome_name((MtPb__OutcomeKind)kind), name))
			return (MtPb__OutcomeKind)kind;
	}
	return MT_PB__OUTCOME_KIND__OUTCOME_NONE;
}

static void end_job(mt_jobs_group_t *group, char **words, const mt_job_id_t *id)
{
	MtPb__Record record = MT_PB__RECORD__INIT;
	MtPb__Outcome outcome = MT_PB__OUTCOME__INIT;
	const char *result = mt_script_option(words, "result", "");

	outcome.job = mt_job_id_field(id);
	outcome.epoch = (uint32_t)mt_script_number(words, "epoch", 1);
	outcome.kind = kind_of(words[2]);
	outcome.claim_number = (uint32_t)mt_script_number(words, "claim", 0);
	outcome.result =
		(ProtobufCBinaryData){strlen(result), (uint8_t *)result};
	record.body_case = MT_PB__RECORD__BODY_OUTCOME;
	record.outcome = &outcome;
	apply(group, &record);
}

static void cancel_job(mt_jobs_group_t *group, char **words,
		       const mt_job_id_t *id)
{
	MtPb__Record record = MT_PB__RECORD__INIT;
	MtPb__Cancel cancel = MT_PB__CANCEL__INIT;

	cancel.job = mt_job_id_field(id);
	cancel.account = (char *)mt_script_option(words, "account", "");
	cancel.once = mt_script_flag(words, "once");
	record.body_case = MT_PB__RECORD__BODY_CANCEL;
	record.cancel = &cancel;
	apply(group, &record);
}

static void move_job(mt_jobs_group_t *group, char **words,
		     const mt_job_id_t *id)
{
	MtPb__Record record = MT_PB__RECORD__INIT;
	MtPb__Move move = MT_PB__MOVE__INIT;

	move.job = mt_job_id_field(id);
	move.epoch = (uint32_t)mt_script_number(words, "epoch", 2);
	move.dc = (char *)mt_script_option(words, "dc", "sfax");
	record.body_case = MT_PB__RECORD__BODY_MOVE;
	record.move = &move;
	apply(group, &record);
}

/** Packs the job's carry, forgets everything, reads on from an offset. */
static void carry_job(mt_jobs_group_t *group, char **words,
		      const mt_job_id_t *id)
{
	uint64_t as_of = mt_script_number(words, "as_of", group->offset - 1);
	GBytes *packed =
		mt_job_pack_carry(mt_jobs_find(group->jobs, id), as_of);
	MtPb__Record *record = mt_record_unpack(packed);

	if (mt_script_flag(words, "restart"))
		mt_jobs_reset(group->jobs, mt_script_number(words, "first", 1));
	apply(group, record);
	mt_record_free(record);
	g_bytes_unref(packed);
}

static void show_job(mt_jobs_group_t *group, const mt_job_id_t *id)
{
	const mt_job_t *job = mt_jobs_find(group->jobs, id);

	if (!job) {
		g_string_append(group->out, "not known\n");
		return;
	}
	g_string_append_printf(
		group->out, "%s in %s, epoch %u, claims %u%s%s%s",
		mt_outcome_name(job->outcome), job->dc.text, job->epoch,
		job->claims, job->claim ? ", claim open" : "",
		job->cancel ? ", cancel asked" : "",
		job->not_run ? ", not run" : "");
	if (job->result)
		g_string_append_printf(
			group->out, ", result %.*s",
			(int)g_bytes_get_size(job->result),
			(const char *)g_bytes_get_data(job->result, NULL));
	g_string_append(group->out, "\n");
}

typedef struct mt_verb_t {
	const char *name;
	void (*run)(mt_jobs_group_t *group, char **words,
		    const mt_job_id_t *id);
} mt_verb_t;

static const mt_verb_t verbs[] = {
	{"accept", accept_job}, {"claim", claim_job},	{"void", void_claim},
	{"end", end_job},	{"cancel", cancel_job}, {"move", move_job},
	{"carry", carry_job},
};

static bool run_command(void *data, char **words, const char *rest,
			GString *out)
{
	mt_jobs_group_t *group = data;
	mt_job_id_t id = id_of(words[1] ? words[1] : "");

	group->out = out;
	for (size_t i = 0; i < G_N_ELEMENTS(verbs); i++) {
		if (!strcmp(words[0], verbs[i].name)) {
			verbs[i].run(group, words, &id);
			return true;
		}
	}
	if (!strcmp(words[0], "show-job"))
		show_job(group, &id);
	else if (!strcmp(words[0], "clock"))
		group->at_ms = g_ascii_strtoull(rest, NULL, 10);
	else if (!strcmp(words[0], "end-of-stream"))
		mt_jobs_finish_loading(group->jobs);
	else if (!strcmp(words[0], "prune"))
		mt_jobs_prune(group->jobs, group->at_ms);
	else
		return false;
	return true;
}

const mt_script_group_t mt_script_jobs = {open_group, close_group, run_command};
