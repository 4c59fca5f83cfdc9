/**
 * @file main.c
 * Soak test: runs simulated hosts under random load and faults and checks
 * invariants. A failed seed is printed and reproduces the failure.
 */
#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#include "soak/callers.h"
#include "soak/faults.h"

/**
 * Retention of the log. Hosts append jobs and lists again before their records
 * expire. They are in time if the log is unavailable for up to 5/8 of the
 * retention (see lib/node/refresher.c). So the retention must be above 8/5 of
 * the longest outage that faults.c injects.
 */
#define RETENTION_MS 120000u

/** Time that the hosts get to start, before load and faults begin. */
#define STARTUP_MS 8000u

/** All jobs must end within this time after the end of all faults. */
#define RECOVERY_MAX_MS 400000u

/**
 * Time that the hosts get to read the newest records of the log: after all
 * faults have ended, before the lists of the hosts are compared, and after all
 * jobs have ended, before the jobs of the hosts are compared.
 */
#define PROPAGATION_MS 8000u

/** Guarantee and limit of the plan at first, in accelerators. */
#define FIRST_GUARANTEE 8u
#define FIRST_LIMIT 48u

/** Time between two arrivals: a minimum and the bound of a random part. */
#define ARRIVAL_MIN_MS 50u
#define ARRIVAL_RANGE_MS 1500u

/** One arrival in ARRIVALS_PER_BURST brings BURST_JOBS jobs, others one. */
#define ARRIVALS_PER_BURST 60u
#define BURST_JOBS 30u

/** Time between two disturbances: a minimum and the bound of a random part. */
#define DISTURBANCE_MIN_MS 1000u
#define DISTURBANCE_RANGE_MS 12000u

typedef struct mt_soak_t {
	mt_world_t *world;
	mt_callers_t *callers;
	bool under_load; /**< load and faults are generated */
	guint edits;	 /**< list edits appended so far */
} mt_soak_t;

/* List edits. */

static void append_edit(mt_soak_t *soak, mt_list_t list, uint64_t base,
			const char *delta)
{
	MtPb__Record record = MT_PB__RECORD__INIT;
	MtPb__ListEdit edit = MT_PB__LIST_EDIT__INIT;
	guint32 id = ++soak->edits;
	GBytes *packed;

	edit.edit = (ProtobufCBinaryData){sizeof(id), (uint8_t *)&id};
	edit.list = (char *)mt_list_name(list);
	edit.base_version = base;
	edit.delta = (char *)delta;
	edit.author = (char *)"operator";
	record.body_case = MT_PB__RECORD__BODY_LIST_EDIT;
	record.list_edit = &edit;
	packed = mt_record_pack(&record);
	mt_world_append(soak->world, MT_LIST_STREAM, packed);
	g_bytes_unref(packed);
}

/** Delta that sets guarantee and limit of plan "shop" in all data centres. */
static char *usage_delta(guint guarantee, guint limit)
{
	GString *text = g_string_new("{\"remove\":[],\"set\":{\"shop\":{");

	for (guint i = 0; i < MT_SOAK_DCS; i++)
		g_string_append_printf(
			text,
			"%s\"%s\":{\"guarantee\":{\"accelerators\":%u,"
			"\"adjacent\":%u,\"processors\":%u,\"memory_mb\":%u},"
			"\"limit\":{\"accelerators\":%u,\"processors\":%u,"
			"\"memory_mb\":%u}}",
			i ? "," : "", mt_soak_dc_name(i), guarantee, guarantee,
			2 * guarantee, 8000 * guarantee, limit, 64 * limit,
			32000 * limit);
	g_string_append(text, "}}}");
	return g_string_free(text, FALSE);
}

static void publish_first_lists(mt_soak_t *soak)
{
	char *usage = usage_delta(FIRST_GUARANTEE, FIRST_LIMIT);
	GString *plans;

	append_edit(soak, MT_LIST_USAGE, 0, usage);
	g_free(usage);
	plans = g_string_new("{\"remove\":[],\"set\":{");
	for (guint i = 0; i < MT_SOAK_ACCOUNTS; i++)
		g_string_append_printf(plans,
				       "%s\"%s\":{\"plan\":\"shop\","
				       "\"key_sha256\":[\"%064u\"]}",
				       i ? "," : "", mt_soak_account_name(i),
				       i);
	g_string_append(plans, "}}");
	append_edit(soak, MT_LIST_PLANS, 0, plans->str);
	g_string_free(plans, TRUE);
}

/**
 * Appends two edits with the same base version. Hosts must accept at most one
 * of them, and all hosts the same.
 */
static void append_conflicting_edits(mt_soak_t *soak)
{
	mt_host_t *host = mt_world_pick_host(soak->world);
	mt_lists_t *lists;
	uint64_t base;

	if (!host)
		return;
	lists = mt_kernel_find(host->kernel, MT_SERVICE_LISTS);
	base = mt_lists_version(lists, MT_LIST_USAGE);
	for (int i = 0; i < 2; i++) {
		char *delta =
			usage_delta(4 + mt_world_random_below(soak->world, 7),
				    40 + mt_world_random_below(soak->world, 9));

		append_edit(soak, MT_LIST_USAGE, base, delta);
		g_free(delta);
	}
}

/* Checks. */

/** The versions of the lists must not decrease while a host process runs. */
static void check_list_versions(mt_soak_t *soak)
{
	for (guint i = 0; i < MT_SOAK_HOSTS; i++) {
		mt_host_t *host = &soak->world->hosts[i];

		for (int list = 0; host->alive && list < MT_LIST_COUNT;
		     list++) {
			mt_lists_t *lists =
				mt_kernel_find(host->kernel, MT_SERVICE_LISTS);
			uint64_t version =
				mt_lists_version(lists, (mt_list_t)list);

			if (version < host->list_versions[list])
				mt_world_breach(soak->world,
						"%s: a list version decreased",
						host->settings->host.text);
			host->list_versions[list] = version;
		}
	}
}

/** All hosts must apply the same lists. */
static void check_lists_agree(mt_soak_t *soak)
{
	const json_t *first[MT_LIST_COUNT] = {NULL};

	for (guint i = 0; i < MT_SOAK_HOSTS; i++) {
		mt_host_t *host = &soak->world->hosts[i];
		mt_lists_t *lists =
			mt_kernel_find(host->kernel, MT_SERVICE_LISTS);

		for (int list = 0; list < MT_LIST_COUNT; list++) {
			const json_t *content =
				mt_lists_content(lists, (mt_list_t)list);

			if (!first[list])
				first[list] = content;
			if (!json_equal(first[list], content))
				mt_world_breach(soak->world,
						"%s: %s list differs from the "
						"first host's",
						host->settings->host.text,
						mt_list_name((mt_list_t)list));
		}
	}
}

static void compare_job(mt_soak_t *soak, const mt_host_t *host,
			const mt_job_t *a, const mt_job_t *b)
{
	mt_name_t id = mt_job_id_text(&a->id);

	if (!b)
		mt_world_breach(soak->world, "%s does not know job %s",
				host->settings->host.text, id.text);
	else if (a->outcome != b->outcome || a->epoch != b->epoch ||
		 a->last_claim_number != b->last_claim_number ||
		 a->not_run != b->not_run)
		mt_world_breach(soak->world,
				"%s: job %s differs from another host's",
				host->settings->host.text, id.text);
}

/** Checks that `to` knows each job of `from`, with the same state. */
static void compare_hosts(mt_soak_t *soak, mt_host_t *from, mt_host_t *to)
{
	mt_jobs_t *jobs = mt_kernel_find(from->kernel, MT_SERVICE_JOBS);
	mt_jobs_t *others = mt_kernel_find(to->kernel, MT_SERVICE_JOBS);
	/* The latest time and age 0 select all jobs except direct ones, which
	 * have no records in the log. */
	GPtrArray *all = mt_jobs_with_old_records(jobs, UINT64_MAX, 0);

	for (guint i = 0; i < all->len; i++) {
		const mt_job_t *job = all->pdata[i];

		compare_job(soak, to, job, mt_jobs_find(others, &job->id));
	}
	g_ptr_array_unref(all);
}

/** All hosts must know the same jobs, with the same states. */
static void check_jobs_agree(mt_soak_t *soak)
{
	mt_host_t *first = &soak->world->hosts[0];

	for (guint i = 1; i < MT_SOAK_HOSTS; i++) {
		compare_hosts(soak, first, &soak->world->hosts[i]);
		compare_hosts(soak, &soak->world->hosts[i], first);
	}
}

/* Load and faults. */

static void on_arrival(void *ctx)
{
	mt_soak_t *soak = ctx;
	bool single = mt_world_random_below(soak->world, ARRIVALS_PER_BURST);
	guint count = single ? 1 : BURST_JOBS;

	if (!soak->under_load)
		return;
	while (count--)
		mt_callers_submit(soak->callers);
	mt_timers_after(soak->world->world_timers,
			ARRIVAL_MIN_MS + mt_world_random_below(
						 soak->world, ARRIVAL_RANGE_MS),
			on_arrival, soak);
}

/** Injects one or two faults; sometimes edits lists or cancels jobs too. */
static void on_disturbance(void *ctx)
{
	mt_soak_t *soak = ctx;

	if (!soak->under_load)
		return;
	mt_faults_inject_one(soak->world);
	if (!mt_world_random_below(soak->world, 3))
		mt_faults_inject_one(soak->world);
	if (!mt_world_random_below(soak->world, 4))
		append_conflicting_edits(soak);
	if (!mt_world_random_below(soak->world, 12))
		mt_callers_cancel_some(
			soak->callers,
			1 + mt_world_random_below(soak->world, 15));
	mt_timers_after(soak->world->world_timers,
			DISTURBANCE_MIN_MS +
				mt_world_random_below(soak->world,
						      DISTURBANCE_RANGE_MS),
			on_disturbance, soak);
}

static void run_for(mt_soak_t *soak, mt_ms_t time)
{
	mt_ms_t until = mt_world_now(soak->world) + time;

	while (mt_world_now(soak->world) < until)
		mt_world_step(soak->world);
}

static void run_steps(mt_soak_t *soak, uint64_t steps)
{
	uint64_t until = soak->world->steps + steps;

	while (soak->world->steps < until && !soak->world->breaches) {
		mt_world_step(soak->world);
		if (!(soak->world->steps % 64))
			check_list_versions(soak);
	}
}

/** True if all hosts are alive and none is draining. */
static bool all_hosts_serve(const mt_soak_t *soak)
{
	for (guint i = 0; i < MT_SOAK_HOSTS; i++) {
		const mt_host_t *host = &soak->world->hosts[i];

		if (!host->alive || host->draining)
			return false;
	}
	return true;
}

/**
 * Ends all faults and runs until all jobs have ended, at most for
 * RECOVERY_MAX_MS. Then runs for PROPAGATION_MS more. Checks in between that
 * all hosts apply the same lists.
 */
static void run_recovery(mt_soak_t *soak)
{
	mt_ms_t until = mt_world_now(soak->world) + RECOVERY_MAX_MS;

	mt_faults_end_all(soak->world);
	while (!all_hosts_serve(soak) && mt_world_now(soak->world) < until)
		mt_world_step(soak->world);
	if (!all_hosts_serve(soak)) {
		mt_world_breach(soak->world,
				"a graceful stop did not end in time");
		return;
	}
	run_for(soak, PROPAGATION_MS);
	check_lists_agree(soak);
	while (mt_callers_open_jobs(soak->callers) &&
	       mt_world_now(soak->world) < until && !soak->world->breaches)
		mt_world_step(soak->world);
	run_for(soak, PROPAGATION_MS);
}

static bool run_seed(guint32 seed, uint64_t max_steps, bool verbose)
{
	mt_soak_t soak = {0};
	guint breaches;

	soak.world = mt_world_new(seed, RETENTION_MS);
	soak.world->verbose = verbose;
	soak.callers = mt_callers_new(soak.world);
	publish_first_lists(&soak);
	for (guint i = 0; i < MT_SOAK_HOSTS; i++)
		mt_world_start_host(soak.world, i);
	run_for(&soak, STARTUP_MS);
	soak.under_load = true;
	on_arrival(&soak);
	on_disturbance(&soak);
	run_steps(&soak, max_steps);
	soak.under_load = false;
	if (!soak.world->breaches) {
		run_recovery(&soak);
		mt_callers_check_all(soak.callers);
		check_jobs_agree(&soak);
	}
	breaches = soak.world->breaches;
	if (breaches) {
		mt_world_print_trace(soak.world);
		printf("seed %u: %u breaches\n", seed, breaches);
	} else {
		printf("seed %u: %.0f s\n", seed,
		       (double)(mt_world_now(soak.world) - MT_SOAK_START_MS) /
			       1000);
	}
	mt_callers_print_summary(soak.callers);
	mt_world_free(soak.world);
	mt_callers_free(soak.callers);
	return breaches == 0;
}

int main(int argc, char **argv)
{
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "first seed (1)");
	struct arg_int *seeds =
		arg_int0(NULL, "seeds", "N", "number of seeds (1)");
	struct arg_int *max_steps = arg_int0(
		NULL, "events", "N", "simulation steps per seed (20000)");
	struct arg_lit *verbose = arg_lit0("v", NULL, "print the trace");
	struct arg_end *end = arg_end(8);
	void *table[] = {seed, seeds, max_steps, verbose, end};
	guint passed = 0;

	seed->ival[0] = 1;
	seeds->ival[0] = 1;
	max_steps->ival[0] = 20000;
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "soak");
		return 2;
	}
	for (int i = 0; i < seeds->ival[0]; i++) {
		passed += run_seed((guint32)(seed->ival[0] + i),
				   (uint64_t)max_steps->ival[0],
				   verbose->count > 0);
		fflush(stdout);
	}
	printf("%u passed, %u failed\n", passed,
	       (guint)seeds->ival[0] - passed);
	return passed == (guint)seeds->ival[0] ? 0 : 1;
}
