/**
 * @file test_admission.c
 * Tests of admission control: which jobs are refused under which load, when
 * refused clients return, and the leader's summary of the load.
 */
#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#include "dag/admission.h"
#include "unit/engine_fixture.h"
#include "unit/tests.h"

/* The load of a deployment, as a fluid: work waits by priority and drains in
 * the order of the priorities. */

#define N_KINDS 3u
#define N_ACCOUNTS 10u
#define CAPACITY_CORES 50000.0
#define STEP_MS 100.0

/** A kind of job; its number is its priority. */
typedef struct mt_job_kind_t {
	double per_s;	     /**< jobs per second at the usual rate */
	double work_core_ms; /**< of one job */
	uint32_t objective_ms;
	uint32_t gpu_wanted;
} mt_job_kind_t;

/** Urgent gangs, large gangs, and wide steps of single tasks. */
static const mt_job_kind_t kinds[N_KINDS] = {
	{8, 500e3, 3650, 20},
	{1.2, 11000e3, 29400, 50},
	{1.8, 4300e3, 18600, 39},
};

/** What became of the jobs. */
typedef struct mt_outcomes_t {
	unsigned submitted[N_KINDS];
	unsigned refused[N_KINDS];
	unsigned submitted_large; /**< by the accounts that use most */
	unsigned refused_large;
	/** Most work ahead of an accepted job: the time in which the whole
	 * capacity completes it, in objectives. */
	double wait_max;
} mt_outcomes_t;

typedef struct mt_fluid_t {
	double waiting[N_KINDS];
	double drained[N_KINDS]; /**< cores, smoothed */
	double due[N_KINDS];	 /**< jobs that are due, as a fraction */
	uint64_t last_id;
	MtDag__Pressure message;
	MtDag__PriorityLoad loads[N_KINDS];
	MtDag__PriorityLoad *load_list[N_KINDS];
	MtDag__AccountLoad accounts[N_ACCOUNTS];
	MtDag__AccountLoad *account_list[N_ACCOUNTS];
	mt_name_t names[N_ACCOUNTS];
} mt_fluid_t;

/** Two large accounts use seven tenths of the service. */
static bool is_large(uint64_t job)
{
	return job % 10 < 7;
}

static unsigned account_of(uint64_t job)
{
	return is_large(job) ? job % 2 : 2 + job % (N_ACCOUNTS - 2);
}

static void init_fluid(mt_fluid_t *fluid)
{
	*fluid = (mt_fluid_t){0};
	mt_dag__pressure__init(&fluid->message);
	fluid->message.capacity_millicores = (uint64_t)(CAPACITY_CORES * 1000);
	fluid->message.n_loads = N_KINDS;
	fluid->message.loads = fluid->load_list;
	fluid->message.n_accounts = N_ACCOUNTS;
	fluid->message.accounts = fluid->account_list;
	for (unsigned i = 0; i < N_KINDS; i++) {
		fluid->drained[i] =
			kinds[i].per_s * kinds[i].work_core_ms / 1000;
		mt_dag__priority_load__init(&fluid->loads[i]);
		fluid->loads[i].priority = i;
		fluid->load_list[i] = &fluid->loads[i];
	}
	for (unsigned i = 0; i < N_ACCOUNTS; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "account-%u", i);
		fluid->names[i] = mt_name(name);
		mt_dag__account_load__init(&fluid->accounts[i]);
		fluid->accounts[i].account = fluid->names[i].text;
		fluid->accounts[i].borrowed_millicores =
			i < 2 ? 18000000 : 2000000;
		fluid->account_list[i] = &fluid->accounts[i];
	}
}

/** Lets work drain for STEP_MS, and updates the message. */
static void drain(mt_fluid_t *fluid)
{
	double left = CAPACITY_CORES * STEP_MS;

	for (unsigned i = 0; i < N_KINDS; i++) {
		double done = MIN(left, fluid->waiting[i]);

		left -= done;
		fluid->waiting[i] -= done;
		fluid->drained[i] += (done / STEP_MS - fluid->drained[i]) *
				     (STEP_MS / 10000);
		fluid->loads[i].waiting_core_ms = (uint64_t)fluid->waiting[i];
		fluid->loads[i].drained_core_ms_per_s =
			(uint64_t)(fluid->drained[i] * 1000);
	}
}

static void submit(mt_fluid_t *fluid, uint32_t kind, mt_outcomes_t *outcomes)
{
	mt_admission_job_t job = {0};
	mt_admission_t admission;
	double wait_ms = 0;

	job.id = ++fluid->last_id;
	job.priority = kind;
	job.work_core_ms = (uint64_t)kinds[kind].work_core_ms;
	job.objective_ms = kinds[kind].objective_ms;
	job.gpu_wanted = kinds[kind].gpu_wanted;
	job.guaranteed_gpu = 40;
	job.account = fluid->names[account_of(job.id)].text;
	admission = mt_admission_decide(&fluid->message, 400, &job);
	outcomes->submitted[kind]++;
	outcomes->submitted_large += is_large(job.id);
	if (!admission.accepted) {
		outcomes->refused[kind]++;
		outcomes->refused_large += is_large(job.id);
		return;
	}
	for (unsigned i = 0; i <= kind; i++)
		wait_ms += fluid->waiting[i] / CAPACITY_CORES;
	outcomes->wait_max =
		MAX(outcomes->wait_max, wait_ms / kinds[kind].objective_ms);
	fluid->waiting[kind] += kinds[kind].work_core_ms;
}

/** Runs the load for 30 s at the usual rate and then at `factor` times it. */
static mt_outcomes_t run_load(double factor, unsigned burst_s)
{
	mt_outcomes_t outcomes = {0};
	mt_fluid_t fluid;

	init_fluid(&fluid);
	for (unsigned at_ms = 0; at_ms < (30 + burst_s) * 1000;
	     at_ms += (unsigned)STEP_MS) {
		for (uint32_t kind = 0; kind < N_KINDS; kind++) {
			fluid.due[kind] += kinds[kind].per_s * STEP_MS / 1000 *
					   (at_ms < 30000 ? 1 : factor);
			for (; fluid.due[kind] >= 1; fluid.due[kind]--)
				submit(&fluid, kind, &outcomes);
		}
		drain(&fluid);
	}
	return outcomes;
}

/** A load pattern, and the share of refused jobs that it may lead to. */
typedef struct mt_load_pattern_t {
	const char *name;
	double factor; /**< of the usual rate */
	unsigned burst_s;
	double refused_min[N_KINDS];
	double refused_max[N_KINDS];
} mt_load_pattern_t;

static const mt_load_pattern_t patterns[] = {
	{"usual rate", 1, 60, {0, 0, 0}, {0, 0, 0}},
	{"heavy load", 1.9, 120, {0, 0, 0}, {0, 0, 0}},
	{"short burst that can wait", 2.5, 10, {0, 0, 0}, {0, 0, 0}},
	{"long burst of all kinds", 2.5, 240, {0, 0, 0.3}, {0, 0, 0.6}},
	{"overload for long", 5, 240, {0, 0.2, 0.9}, {0, 0.6, 1}},
};

/**
 * Pattern: the traffic of all three kinds rises to 2.5 times its rate at once,
 * most of it from two large accounts.
 * Guards against: jobs are refused that would still be of use; jobs of high
 * priority are refused while those of low priority are accepted; accepted jobs
 * wait without a bound; small accounts are refused as often as large ones.
 */
static void bursts_shed_the_least_useful_work(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(patterns); i++) {
		const mt_load_pattern_t *pattern = &patterns[i];
		mt_outcomes_t outcomes =
			run_load(pattern->factor, pattern->burst_s);
		unsigned refused = 0;
		unsigned submitted = 0;

		for (unsigned k = 0; k < N_KINDS; k++) {
			double share = (double)outcomes.refused[k] /
				       outcomes.submitted[k];

			CU_ASSERT_TRUE(share >= pattern->refused_min[k]);
			CU_ASSERT_TRUE(share <= pattern->refused_max[k]);
			refused += outcomes.refused[k];
			submitted += outcomes.submitted[k];
		}
		CU_ASSERT_TRUE(outcomes.wait_max < 3);
		if (refused)
			CU_ASSERT_TRUE((double)outcomes.refused_large /
					       outcomes.submitted_large >
				       (double)refused / submitted);
	}
}

/* Single decisions. */

/** Waiting work of priority 2 for 60 s, and an account over its share. */
typedef struct mt_fixed_load_t {
	MtDag__Pressure message;
	MtDag__PriorityLoad load;
	MtDag__PriorityLoad *loads[1];
	MtDag__AccountLoad account;
	MtDag__AccountLoad *accounts[1];
} mt_fixed_load_t;

static void init_fixed_load(mt_fixed_load_t *fixed)
{
	mt_dag__pressure__init(&fixed->message);
	mt_dag__priority_load__init(&fixed->load);
	mt_dag__account_load__init(&fixed->account);
	fixed->message.capacity_millicores = 1000000;
	fixed->load.priority = 2;
	fixed->load.waiting_core_ms = 60000000;
	fixed->load.drained_core_ms_per_s = 1000000;
	fixed->loads[0] = &fixed->load;
	fixed->account.account = (char *)"large";
	fixed->account.borrowed_millicores = 500000;
	fixed->accounts[0] = &fixed->account;
	fixed->message.n_loads = 1;
	fixed->message.loads = fixed->loads;
	fixed->message.n_accounts = 1;
	fixed->message.accounts = fixed->accounts;
}

/** Decides about a job of 1 core-second with an objective of 10 s. */
static mt_admission_t decide(const mt_fixed_load_t *fixed, mt_ms_t age_ms,
			     uint32_t priority, const char *account)
{
	mt_admission_job_t job = {0};

	job.id = 1;
	job.priority = priority;
	job.work_core_ms = 1000;
	job.objective_ms = 10000;
	job.gpu_wanted = 8;
	job.guaranteed_gpu = 8;
	job.account = account;
	return mt_admission_decide(fixed ? &fixed->message : NULL, age_ms,
				   &job);
}

/**
 * Guards against: a host that hears nothing from the leader, or a new leader
 * that has not summarized the load yet, refuses jobs while there is capacity.
 */
static void without_a_recent_summary_all_is_accepted(void)
{
	mt_fixed_load_t fixed;

	init_fixed_load(&fixed);
	CU_ASSERT_FALSE(decide(&fixed, 5000, 2, "large").accepted);
	CU_ASSERT_TRUE(decide(&fixed, 5001, 2, "large").accepted);
	CU_ASSERT_TRUE(decide(NULL, 0, 2, "large").accepted);
}

/** Guards against: a job within the guarantee of its account is refused. */
static void guaranteed_jobs_are_never_refused(void)
{
	mt_fixed_load_t fixed;

	init_fixed_load(&fixed);
	fixed.load.priority = 0;
	CU_ASSERT_EQUAL(decide(&fixed, 0, 0, "large").reason,
			MT_ADMISSION_GUARANTEED);
	CU_ASSERT_FALSE(decide(&fixed, 0, 1, "large").accepted);
}

/** Guards against: work of low priority keeps out work of a higher one. */
static void work_of_lower_priority_is_not_waited_for(void)
{
	mt_fixed_load_t fixed;

	init_fixed_load(&fixed);
	CU_ASSERT_EQUAL(decide(&fixed, 0, 1, "large").reason,
			MT_ADMISSION_IN_TIME);
}

/**
 * Guards against: an account that uses little is refused because of the queue
 * of one that uses much. Its wait counts half: 30 s, its bound is 30 s, and its
 * own work takes 1 ms.
 */
static void accounts_over_their_share_are_refused_first(void)
{
	mt_fixed_load_t fixed;

	init_fixed_load(&fixed);
	CU_ASSERT_EQUAL(decide(&fixed, 0, 2, "large").reason,
			MT_ADMISSION_OVER_SHARE);
	CU_ASSERT_EQUAL(decide(&fixed, 0, 2, "small").reason,
			MT_ADMISSION_TOO_LATE);
	fixed.load.waiting_core_ms -= 10000;
	CU_ASSERT_EQUAL(decide(&fixed, 0, 2, "large").reason,
			MT_ADMISSION_OVER_SHARE);
	CU_ASSERT_EQUAL(decide(&fixed, 0, 2, "small").reason,
			MT_ADMISSION_IN_TIME);
}

/** Refused clients, and when they may return. */
typedef struct mt_return_t {
	double excess_s; /**< time by which the wait is too long */
	unsigned first_s;
	unsigned last_s;
} mt_return_t;

static const mt_return_t returns[] = {
	{0.2, 1, 2},
	{4.5, 5, 10},
	{12.9, 13, 26},
	{1000, 15, 30},
};

/**
 * Pattern: 3000 clients are refused at once, and all return. Their ids follow
 * each other.
 * Guards against: they return together, or before the queue has drained, or
 * after more than 30 s.
 */
static void refused_clients_do_not_return_together(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(returns); i++) {
		unsigned at[MT_RETRY_AFTER_MAX_S + 1] = {0};
		unsigned n = returns[i].last_s - returns[i].first_s + 1;
		mt_admission_job_t job = {0};
		mt_fixed_load_t fixed;

		init_fixed_load(&fixed);
		fixed.load.waiting_core_ms =
			(uint64_t)(returns[i].excess_s * 1000000);
		job.priority = 2;
		job.account = "large";
		for (job.id = 1; job.id <= 3000; job.id++)
			at[mt_admission_decide(&fixed.message, 0, &job)
				   .retry_after_s]++;
		for (unsigned s = 0; s <= MT_RETRY_AFTER_MAX_S; s++) {
			bool inside = s >= returns[i].first_s &&
				      s <= returns[i].last_s;

			CU_ASSERT_EQUAL(at[s] > 0, inside);
			CU_ASSERT_TRUE(at[s] < 2 * 3000 / n);
		}
	}
}

/** The critical path counts for the objective, and all tasks for the work. */
static void a_job_is_described_by_its_steps(void)
{
	MtDag__Job spec = MT_DAG__JOB__INIT;
	MtDag__Step steps[3] = {MT_DAG__STEP__INIT, MT_DAG__STEP__INIT,
				MT_DAG__STEP__INIT};
	MtDag__Step *list[] = {&steps[0], &steps[1], &steps[2]};
	uint32_t after[] = {0};
	mt_client_account_t account = {.guaranteed_gpu = 7};
	mt_admission_job_t job;

	for (unsigned i = 0; i < 3; i++) {
		steps[i].count = 2;
		steps[i].cpu_milli = 2000;
		steps[i].gpu = 1 + i;
		steps[i].estimate_ms = 1000;
	}
	steps[2].n_after = 1;
	steps[2].after = after;
	spec.id = 5;
	spec.priority = 9;
	spec.slack_permille = 1500;
	spec.target_ms = 500;
	spec.n_steps = 3;
	spec.steps = list;
	job = mt_admission_job(&spec, &account);
	CU_ASSERT_EQUAL(job.objective_ms, 3500);
	CU_ASSERT_EQUAL(job.work_core_ms, 2 * (10 + 18 + 26) * 1000);
	CU_ASSERT_EQUAL(job.gpu_wanted, 6);
	CU_ASSERT_EQUAL(job.guaranteed_gpu, 7);
	CU_ASSERT_EQUAL(job.priority, MT_LOAD_PRIORITY_MAX);
}

/* The summary of the leader. Each server has 64 cores and 8 accelerators, which
 * count as 128 cores; each task takes 65 of these for 5 s. */

static void open_summary(mt_engine_fixture_t *fixture)
{
	mt_engine_fixture_open(fixture);
	fixture->engine->load_summary = mt_load_summary_new();
}

static void close_summary(mt_engine_fixture_t *fixture)
{
	mt_load_summary_free(fixture->engine->load_summary);
	mt_engine_fixture_close(fixture);
}

/** @return NULL: the service is not contended */
static const MtDag__Pressure *summarize(mt_engine_fixture_t *fixture)
{
	MtDag__Pressure **list;

	mt_load_summary_update(fixture->engine->load_summary, fixture->engine);
	return mt_engine_list_pressure(fixture->engine, &list) ? list[0] : NULL;
}

static void set_account(mt_dag_job_t *job, const char *name)
{
	free(job->spec->account != protobuf_c_empty_string ? job->spec->account
							   : NULL);
	job->spec->account = strdup(name);
}

/** Guards against: the leader record grows although nothing waits. */
static void without_contention_the_summary_is_empty(void)
{
	mt_engine_fixture_t fixture;

	open_summary(&fixture);
	CU_ASSERT_PTR_NULL(summarize(&fixture));
	mt_engine_fixture_add_running_task(&fixture);
	mt_engine_fixture_advance(&fixture, 1000);
	CU_ASSERT_PTR_NULL(summarize(&fixture));
	close_summary(&fixture);
}

/**
 * Guards against: a new leader, which has seen no task end, takes the service
 * to stand still, and refuses jobs that could be run.
 */
static void a_new_leader_assumes_that_work_drains(void)
{
	mt_engine_fixture_t fixture;
	const MtDag__Pressure *pressure;
	uint64_t drained = 0;

	open_summary(&fixture);
	set_account(mt_engine_fixture_add_running_task(&fixture)->step->job,
		    "shop");
	mt_engine_fixture_add_job(&fixture, 2, 1, 3);
	pressure = summarize(&fixture);
	g_assert(pressure);
	CU_ASSERT_EQUAL(pressure->capacity_millicores, 256000);
	CU_ASSERT_EQUAL_FATAL(pressure->n_loads, 3);
	CU_ASSERT_EQUAL(pressure->loads[0]->priority, 1);
	CU_ASSERT_EQUAL(pressure->loads[0]->waiting_core_ms, 3 * 65 * 5000);
	CU_ASSERT_EQUAL(pressure->loads[1]->running_core_ms, 65 * 4000);
	for (size_t i = 0; i < pressure->n_loads; i++)
		drained += pressure->loads[i]->drained_core_ms_per_s;
	CU_ASSERT_EQUAL(drained, 256000);
	CU_ASSERT_EQUAL_FATAL(pressure->n_accounts, 1);
	CU_ASSERT_STRING_EQUAL(pressure->accounts[0]->account, "shop");
	CU_ASSERT_EQUAL(pressure->accounts[0]->borrowed_millicores, 65000);
	close_summary(&fixture);
}

/**
 * Guards against: the drain rate follows the assumption or old loads for long.
 * For 40 s, one task ends each 2 s, which is 162.5 cores.
 */
static void the_drain_rate_follows_the_ends_of_tasks(void)
{
	mt_engine_fixture_t fixture;
	const MtDag__Pressure *pressure = NULL;
	mt_dag_step_t *step;
	double drained = 0;

	open_summary(&fixture);
	step = mt_first_step(mt_engine_fixture_add_job(&fixture, 2, 1, 3));
	for (unsigned i = 0; i < 40; i++) {
		if (i % 2)
			mt_load_summary_note_done(fixture.engine->load_summary,
						  step, 1);
		pressure = summarize(&fixture);
		mt_engine_fixture_advance(&fixture, 1000);
	}
	g_assert(pressure);
	for (size_t i = 0; i < pressure->n_loads; i++)
		drained += (double)pressure->loads[i]->drained_core_ms_per_s;
	CU_ASSERT_DOUBLE_EQUAL(drained, 162500, 16000);
	close_summary(&fixture);
}

/** Guards against: the summary is computed at every tick. */
static void the_summary_is_computed_once_a_second(void)
{
	mt_engine_fixture_t fixture;

	open_summary(&fixture);
	CU_ASSERT_PTR_NULL(summarize(&fixture));
	mt_engine_fixture_add_job(&fixture, 2, 1, 3);
	mt_engine_fixture_advance(&fixture, 900);
	CU_ASSERT_PTR_NULL(summarize(&fixture));
	mt_engine_fixture_advance(&fixture, 100);
	CU_ASSERT_PTR_NOT_NULL(summarize(&fixture));
	close_summary(&fixture);
}

/**
 * Guards against: a leader record of many accounts, which all hosts read, grows
 * to kilobytes. The accounts that use most are listed, the most first.
 */
static void a_summary_of_many_accounts_is_small(void)
{
	mt_engine_fixture_t fixture;
	MtDag__Leader leader = MT_DAG__LEADER__INIT;
	const MtDag__Pressure *pressure;

	open_summary(&fixture);
	for (uint64_t i = 1; i <= 20; i++) {
		mt_dag_job_t *job =
			mt_engine_fixture_add_job(&fixture, i, i % 4, 1);
		char name[32];

		g_snprintf(name, sizeof(name), "account-with-a-name-%02u",
			   (unsigned)i);
		set_account(job, name);
		((MtDag__Step *)mt_first_step(job)->spec)->cpu_milli =
			1000 * (uint32_t)i;
		mt_dag_task_place(mt_task_of(mt_first_step(job), 0),
				  fixture.servers[0], 1, 9000);
	}
	mt_engine_fixture_add_job(&fixture, 99, 2, 5);
	pressure = summarize(&fixture);
	g_assert(pressure);
	CU_ASSERT_EQUAL(pressure->n_accounts, MT_LOAD_ACCOUNTS_MAX);
	CU_ASSERT_STRING_EQUAL(pressure->accounts[0]->account,
			       "account-with-a-name-20");
	CU_ASSERT_STRING_EQUAL(
		pressure->accounts[MT_LOAD_ACCOUNTS_MAX - 1]->account,
		"account-with-a-name-13");
	leader.n_pressure =
		mt_engine_list_pressure(fixture.engine, &leader.pressure);
	CU_ASSERT_TRUE(mt_dag__leader__get_packed_size(&leader) < 500);
	close_summary(&fixture);
}

const mt_test_t mt_admission_tests[] = {
	{"bursts shed the least useful work",
	 bursts_shed_the_least_useful_work},
	{"without a recent summary all is accepted",
	 without_a_recent_summary_all_is_accepted},
	{"guaranteed jobs are never refused",
	 guaranteed_jobs_are_never_refused},
	{"work of lower priority is not waited for",
	 work_of_lower_priority_is_not_waited_for},
	{"accounts over their share are refused first",
	 accounts_over_their_share_are_refused_first},
	{"refused clients do not return together",
	 refused_clients_do_not_return_together},
	{"a job is described by its steps", a_job_is_described_by_its_steps},
	{"without contention the summary is empty",
	 without_contention_the_summary_is_empty},
	{"a new leader assumes that work drains",
	 a_new_leader_assumes_that_work_drains},
	{"the drain rate follows the ends of tasks",
	 the_drain_rate_follows_the_ends_of_tasks},
	{"the summary is computed once a second",
	 the_summary_is_computed_once_a_second},
	{"a summary of many accounts is small",
	 a_summary_of_many_accounts_is_small},
	{NULL, NULL},
};
