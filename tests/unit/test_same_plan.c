/**
 * @file test_same_plan.c
 * Test that small jobs are placed as before the scheduler's state was made only
 * for what has begun: random jobs and events, and a hash of all placements.
 */
#include <CUnit/Basic.h>

#include "unit/engine_fixture.h"
#include "unit/tests.h"

#define SEEDS 40u
#define PASSES 60u
#define SERVERS 6u
#define PASS_MS 100u

/**
 * Hash of all placements by commit 2604f40, in which each declared task of each
 * job had a state.
 */
#define EXPECTED_HASH UINT64_C(0x0a698d0f392ccb5e)

#define FNV_OFFSET UINT64_C(14695981039346656037)
#define FNV_PRIME UINT64_C(1099511628211)

typedef struct mt_small_jobs_t {
	mt_engine_fixture_t fixture;
	mt_backend_t *servers[SERVERS];
	GRand *rand;
	uint64_t n_jobs;
	uint64_t hash;
} mt_small_jobs_t;

static int64_t wall_now_ms;

static int64_t wall_ms(void)
{
	return wall_now_ms;
}

static uint32_t below(mt_small_jobs_t *jobs, uint32_t end)
{
	return (uint32_t)g_rand_int_range(jobs->rand, 0, (gint32)end);
}

static bool one_in(mt_small_jobs_t *jobs, uint32_t n)
{
	return !below(jobs, n);
}

static void add_hash(mt_small_jobs_t *jobs, uint64_t value)
{
	jobs->hash = (jobs->hash ^ value) * FNV_PRIME;
}

static void open_jobs(mt_small_jobs_t *jobs, uint32_t seed, uint64_t hash)
{
	*jobs = (mt_small_jobs_t){.hash = hash};
	jobs->rand = g_rand_new_with_seed(seed);
	mt_engine_fixture_open(&jobs->fixture);
	if (seed % 3 == 0)
		mt_engine_fixture_teach_speeds(&jobs->fixture);
	jobs->fixture.engine->deps.wall_ms = wall_ms;
	jobs->fixture.engine->deps.sheds_load = seed % 2;
	wall_now_ms = 1000;
	for (uint32_t i = 0; i < SERVERS; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "server-%u", i);
		jobs->servers[i] = i < MT_ENGINE_FIXTURE_SERVERS
					   ? jobs->fixture.servers[i]
					   : mt_engine_fixture_add_server(
						     &jobs->fixture, name);
		jobs->servers[i]->info.rack =
			g_quark_from_string(i % 2 ? "rack-1" : "rack-0");
	}
}

static MtDag__Step *make_step(mt_small_jobs_t *jobs, uint32_t index)
{
	MtDag__Step *step = g_new(MtDag__Step, 1);

	mt_dag__step__init(step);
	step->count = 1 + below(jobs, one_in(jobs, 4) ? 14 : 4);
	step->gpu = one_in(jobs, 4) ? 0 : 1u << below(jobs, 4);
	step->cpu_milli = 1000 * (1 + below(jobs, 8));
	step->mem_mb = 1000 * (1 + below(jobs, 8));
	step->estimate_ms = 500 * (1 + below(jobs, 12));
	step->gang = one_in(jobs, 3);
	step->same_rack = one_in(jobs, 4);
	step->checkpointing = one_in(jobs, 3);
	step->lasting = one_in(jobs, 12);
	step->fills = one_in(jobs, 12);
	step->per_server_max = one_in(jobs, 5) ? 1 + below(jobs, 2) : 0;
	step->data_rack = (char *)(one_in(jobs, 5) ? "rack-1" : "");
	if (index && !one_in(jobs, 3)) {
		step->n_after = 1;
		step->after = g_new(uint32_t, 1);
		step->after[0] = below(jobs, index);
	}
	return step;
}

/** Adds a job of up to 4 steps and 5 occurrences. */
static void add_job(mt_small_jobs_t *jobs)
{
	static const char *const accounts[] = {"", "first", "second"};
	MtDag__Job spec = MT_DAG__JOB__INIT;
	MtDag__Step *steps[4];
	mt_dag_job_t *job;

	spec.id = ++jobs->n_jobs;
	spec.queue = (char *)"batch";
	spec.service = (char *)"service";
	spec.account = (char *)accounts[below(jobs, 3)];
	spec.priority = below(jobs, 4);
	spec.attempts_max = 3;
	spec.slack_permille = 1500;
	spec.target_ms = 1000;
	if (one_in(jobs, 3)) {
		spec.repeat = 1 + below(jobs, 5);
		spec.interval_ms = 400 * below(jobs, 3);
		spec.start_at_ms = wall_now_ms + 500 * below(jobs, 2);
	}
	spec.steps = steps;
	spec.n_steps = 1 + below(jobs, 4);
	for (uint32_t i = 0; i < spec.n_steps; i++)
		steps[i] = make_step(jobs, i);
	job = mt_make_job(&spec, mt_engine_now(jobs->fixture.engine));
	mt_engine_insert_job(jobs->fixture.engine, job);
	for (uint32_t i = 0; i < spec.n_steps; i++) {
		g_free(steps[i]->after);
		g_free(steps[i]);
	}
}

static gint compare_tasks(gconstpointer a, gconstpointer b)
{
	mt_task_key_t x = mt_dag_task_key(*(mt_dag_task_t *const *)a);
	mt_task_key_t y = mt_dag_task_key(*(mt_dag_task_t *const *)b);

	if (x.job != y.job)
		return x.job < y.job ? -1 : 1;
	if (x.occurrence != y.occurrence)
		return x.occurrence < y.occurrence ? -1 : 1;
	if (x.step != y.step)
		return x.step < y.step ? -1 : 1;
	return x.index < y.index ? -1 : x.index > y.index;
}

/** Copies the tasks on a server, in the order of their keys. */
static GPtrArray *list_tasks(const mt_backend_t *server)
{
	GPtrArray *tasks = g_ptr_array_new();

	for (guint i = 0; i < server->tasks->len; i++)
		g_ptr_array_add(tasks, server->tasks->pdata[i]);
	g_ptr_array_sort(tasks, compare_tasks);
	return tasks;
}

static void hash_placements(mt_small_jobs_t *jobs)
{
	for (uint32_t i = 0; i < SERVERS; i++) {
		GPtrArray *tasks = list_tasks(jobs->servers[i]);

		add_hash(jobs, tasks->len);
		for (guint k = 0; k < tasks->len; k++) {
			const mt_dag_task_t *task = tasks->pdata[k];
			mt_task_key_t key = mt_dag_task_key(task);

			add_hash(jobs, key.job);
			add_hash(jobs, key.occurrence);
			add_hash(jobs, key.step);
			add_hash(jobs, key.index);
			add_hash(jobs, task->run);
			add_hash(jobs, task->stop_wanted);
		}
		g_ptr_array_unref(tasks);
	}
}

/** Lets something happen to a task on a server. */
static void play_event(mt_small_jobs_t *jobs, mt_dag_task_t *task)
{
	mt_dag_job_t *job = task->step->job;
	uint32_t dice = below(jobs, 10);

	if (!task->server)
		return;
	if (task->stop_wanted || task->phase == MT_TASK_PHASE_DONE) {
		mt_dag_task_unplace(task);
	} else if (task->phase == MT_TASK_PHASE_STARTING) {
		task->placement_stored = true;
		task->phase = MT_TASK_PHASE_RUNNING;
		task->start_settled_at = mt_engine_now(jobs->fixture.engine);
		job->begun = true;
	} else if (dice < 2) {
		mt_dag_task_finish(task);
	} else if (dice == 2) {
		mt_dag_task_fail(task);
	} else if (dice == 3) {
		mt_dag_task_unplace(task);
	} else {
		task->percent = MIN(task->percent + 5 * dice, 99);
	}
	mt_dag_job_update_state(job);
}

static void play_events(mt_small_jobs_t *jobs)
{
	for (uint32_t i = 0; i < SERVERS; i++) {
		GPtrArray *tasks = list_tasks(jobs->servers[i]);

		for (guint k = 0; k < tasks->len; k++) {
			if (!one_in(jobs, 3))
				play_event(jobs, tasks->pdata[k]);
		}
		g_ptr_array_unref(tasks);
	}
}

static void play(mt_small_jobs_t *jobs)
{
	for (uint32_t i = 0; i < PASSES; i++) {
		if (jobs->n_jobs < 24 && !one_in(jobs, 3))
			add_job(jobs);
		mt_planner_run(jobs->fixture.engine);
		hash_placements(jobs);
		play_events(jobs);
		wall_now_ms += PASS_MS;
		mt_timers_advance(jobs->fixture.timers,
				  mt_timers_now(jobs->fixture.timers) +
					  PASS_MS);
	}
}

/** Guards against: small jobs are placed in another order, or elsewhere. */
static void small_jobs_are_placed_as_before(void)
{
	uint64_t hash = FNV_OFFSET;

	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		mt_small_jobs_t jobs;

		open_jobs(&jobs, seed, hash);
		play(&jobs);
		hash = jobs.hash;
		g_rand_free(jobs.rand);
		mt_engine_fixture_close(&jobs.fixture);
	}
	CU_ASSERT_EQUAL(hash, EXPECTED_HASH);
	if (hash != EXPECTED_HASH)
		printf("hash of all placements: 0x%016" G_GINT64_MODIFIER "x\n",
		       hash);
}

const mt_test_t mt_same_plan_tests[] = {
	{"small jobs are placed as before", small_jobs_are_placed_as_before},
	{NULL, NULL},
};
