/**
 * @file test_pass_cost.c
 * Tests that a scheduling pass costs what may start, and that its time is
 * bounded.
 */
#include <CUnit/Basic.h>

#include "unit/engine_fixture.h"
#include "unit/tests.h"

static int64_t wall_now_ms;

static int64_t wall_ms(void)
{
	return wall_now_ms;
}

static MtDag__Step make_step(uint32_t gpu)
{
	MtDag__Step step = mt_engine_fixture_step(1);

	step.gpu = gpu;
	return step;
}

static void run_pass(mt_engine_fixture_t *fixture)
{
	mt_pass_pace_begin(&fixture->engine->pass_pace, 0);
	mt_planner_run(fixture->engine);
	mt_wakeups_let_sleep(&fixture->engine->wakeups,
			     mt_engine_start_time_max(fixture->engine));
}

/**
 * Guards against: a pass plans all waiting jobs, however many, and heartbeats
 * wait for it.
 */
static void the_candidates_of_a_pass_are_limited(void)
{
	mt_engine_fixture_t fixture;
	MtDag__Step step = make_step(1);

	mt_engine_fixture_open(&fixture);
	for (uint64_t id = 1; id <= 2 * MT_PASS_CANDIDATES_MAX; id++)
		mt_engine_fixture_add_job_of(&fixture, id, 2, &step, 0);
	run_pass(&fixture);
	CU_ASSERT_EQUAL(fixture.engine->pass_pace.n_candidates,
			MT_PASS_CANDIDATES_MAX);
	CU_ASSERT_EQUAL(fixture.servers[0]->tasks->len, MT_ENGINE_FIXTURE_GPU);
	mt_engine_fixture_close(&fixture);
}

/**
 * Guards against: a step that could run never does, as more steps than a pass
 * plans come before it and do not fit.
 */
static void a_step_beyond_the_limit_takes_its_turn(void)
{
	mt_engine_fixture_t fixture;
	MtDag__Step large = make_step(100 * MT_ENGINE_FIXTURE_GPU);
	MtDag__Step small = make_step(1);
	mt_dag_job_t *job;
	unsigned passes = 0;

	mt_engine_fixture_open(&fixture);
	for (uint64_t id = 1; id <= MT_PASS_CANDIDATES_MAX + 1000; id++)
		mt_engine_fixture_add_job_of(&fixture, id, 1, &large, 0);
	job = mt_engine_fixture_add_job_of(&fixture, 9999, 3, &small, 0);
	while (!job->n_placed && passes < 10) {
		run_pass(&fixture);
		passes++;
	}
	CU_ASSERT_TRUE(job->n_placed);
	mt_engine_fixture_close(&fixture);
}

/** Guards against: jobs that start later are looked at by each pass. */
static void jobs_that_start_later_sleep(void)
{
	mt_engine_fixture_t fixture;
	MtDag__Step step = make_step(1);
	mt_wakeups_t *wakeups;

	mt_engine_fixture_open(&fixture);
	fixture.engine->deps.wall_ms = wall_ms;
	wall_now_ms = 0;
	for (uint64_t id = 1; id <= 1000; id++)
		mt_engine_fixture_add_job_of(&fixture, id, id % 3, &step, 4)
			->spec->start_at_ms = 1000 * (int64_t)id;
	wakeups = &fixture.engine->wakeups;
	CU_ASSERT_EQUAL(wakeups->awake->len, 1000);
	CU_ASSERT_EQUAL(wakeups->urgent->len, 333);
	run_pass(&fixture);
	CU_ASSERT_EQUAL(wakeups->awake->len, 0);
	wall_now_ms = 2500;
	run_pass(&fixture);
	CU_ASSERT_EQUAL(wakeups->awake->len, 2);
	CU_ASSERT_EQUAL(fixture.engine->pass_pace.n_steps_visited, 8);
	mt_engine_remove_job(fixture.engine,
			     mt_engine_job(fixture.engine, 500));
	mt_engine_remove_job(fixture.engine,
			     mt_engine_job(fixture.engine, 999));
	wall_now_ms = 2000000;
	run_pass(&fixture);
	CU_ASSERT_EQUAL(wakeups->awake->len, 998);
	CU_ASSERT_EQUAL(wakeups->urgent->len, 332);
	mt_engine_fixture_close(&fixture);
}

/** Guards against: passes go on taking longer than their slice. */
static void long_passes_plan_less(void)
{
	mt_timers_t *timers = mt_timers_new(1000);
	mt_kernel_t *kernel = mt_kernel_new("test", timers, 1);
	mt_pass_pace_t pace;

	mt_pass_pace_init(&pace);
	CU_ASSERT_EQUAL(pace.candidates_max, MT_PASS_CANDIDATES_MAX);
	for (unsigned i = 0; i < 20; i++) {
		mt_pass_pace_begin(&pace, 0);
		pace.n_candidates = pace.candidates_max;
		mt_pass_pace_end(&pace, kernel, 2 * MT_PASS_SLICE_US);
	}
	CU_ASSERT_EQUAL(pace.candidates_max, MT_PASS_CANDIDATES_MIN);
	CU_ASSERT_EQUAL(*mt_kernel_counter(kernel, "pass_longest_us"),
			2 * MT_PASS_SLICE_US);
	for (unsigned i = 0; i < 20; i++) {
		mt_pass_pace_begin(&pace, 0);
		mt_pass_pace_end(&pace, kernel, 1000);
	}
	CU_ASSERT_EQUAL(pace.candidates_max, MT_PASS_CANDIDATES_MAX);
	mt_kernel_free(kernel);
	mt_timers_free(timers);
}

static void apply(mt_table_t *table, mt_record_kind_t kind, uint64_t id,
		  const ProtobufCMessage *message, uint64_t offset)
{
	mt_record_key_t key = mt_record_key(kind, id);
	GBytes *value = mt_dag_pack(message);
	mt_store_record_t record = {mt_str_from(key.text), mt_bytes_view(value),
				    offset};

	mt_table_apply(table, &record);
	g_bytes_unref(value);
}

static void add_ended_job(mt_table_t *table, uint64_t id)
{
	MtDag__Job job = MT_DAG__JOB__INIT;
	MtDag__Progress progress = MT_DAG__PROGRESS__INIT;

	job.id = id;
	job.queue = (char *)"batch";
	apply(table, MT_RECORD_JOB, id, &job.base, 2 * id);
	progress.id = id;
	progress.state = MT_DAG__STATE__COMPLETED;
	apply(table, MT_RECORD_PROGRESS, id, &progress.base, 2 * id + 1);
}

static void count_visit(void *ctx, const mt_table_job_t *job)
{
	unsigned *visits = ctx;

	visits[job->id]++;
}

/** Guards against: a sweep walks over the whole table of jobs. */
static void a_sweep_visits_some_jobs_in_turn(void)
{
	mt_timers_t *timers = mt_timers_new(1000);
	mt_kernel_t *kernel = mt_kernel_new("test", timers, 1);
	mt_table_t *table = mt_table_new(kernel);
	MtDag__Job unfinished = MT_DAG__JOB__INIT;
	mt_record_key_t key = mt_record_key(MT_RECORD_JOB, 3);
	mt_store_record_t deletion = {mt_str_from(key.text), {0}, 99};
	unsigned visits[12] = {0};

	for (uint64_t id = 1; id <= 10; id++)
		add_ended_job(table, id);
	unfinished.id = 11;
	unfinished.queue = (char *)"batch";
	apply(table, MT_RECORD_JOB, 11, &unfinished.base, 90);
	mt_table_visit_over(table, 4, count_visit, visits);
	mt_table_visit_over(table, 6, count_visit, visits);
	for (unsigned id = 1; id <= 10; id++)
		CU_ASSERT_EQUAL(visits[id], 1);
	CU_ASSERT_EQUAL(visits[11], 0);
	mt_table_apply(table, &deletion);
	mt_table_visit_over(table, 100, count_visit, visits);
	CU_ASSERT_EQUAL(visits[3], 1);
	CU_ASSERT_EQUAL(visits[10], 2);
	mt_table_free(table);
	mt_kernel_free(kernel);
	mt_timers_free(timers);
}

const mt_test_t mt_pass_cost_tests[] = {
	{"the candidates of a pass are limited",
	 the_candidates_of_a_pass_are_limited},
	{"a step beyond the limit takes its turn",
	 a_step_beyond_the_limit_takes_its_turn},
	{"jobs that start later sleep", jobs_that_start_later_sleep},
	{"long passes plan less", long_passes_plan_less},
	{"a sweep visits some jobs in turn", a_sweep_visits_some_jobs_in_turn},
	{NULL, NULL},
};
