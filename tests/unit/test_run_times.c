/**
 * @file test_run_times.c
 * Tests of the predictions of run times, with the load of a deployment where
 * the work of siblings differs by 15 to 30%, 3% of the tasks take seven times
 * as long, and the estimates of some kinds of job are off by up to 90%.
 */
#include <CUnit/Basic.h>
#include <glib.h>

#include "dag/run_times.h"
#include "unit/engine_fixture.h"
#include "unit/tests.h"

#define SEEDS 50u
#define STRAGGLER_SHARE 0.03
#define STRAGGLER_FACTOR 7.0

static const mt_run_kind_t urgent = {"urgent", "account-1", "image-1"};

/** Run time of a task of 2000 ms on average. */
static double random_run_ms(GRand *rand)
{
	double run_ms = 2000 * g_rand_double_range(rand, 0.75, 1.25);

	if (g_rand_double(rand) < STRAGGLER_SHARE)
		run_ms *= STRAGGLER_FACTOR;
	return run_ms;
}

/**
 * Observes `n` tasks of a kind, whose estimates are `factor` times the mean run
 * time, and off by up to `error` of that.
 */
static void observe(mt_run_times_t *times, GRand *rand,
		    const mt_run_kind_t *kind, unsigned n, double factor,
		    double error)
{
	for (unsigned i = 0; i < n; i++) {
		double off = 1 + error * g_rand_double_range(rand, -1, 1);

		mt_run_times_observe(times, kind, 2000 * factor * off,
				     random_run_ms(rand));
	}
}

/**
 * Guards against: the plan changes on deployments whose estimates are right, as
 * the tail and the different work of siblings look like wrong estimates.
 */
static void right_estimates_are_kept(void)
{
	for (guint32 seed = 0; seed < SEEDS; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		mt_run_times_t *times = mt_run_times_new();

		for (unsigned i = 0; i < 100; i++) {
			observe(times, rand, &urgent, 5, 1, 0.1);
			CU_ASSERT_EQUAL(
				mt_run_times_predict(times, &urgent, 2100),
				2100);
		}
		mt_run_times_free(times);
		g_rand_free(rand);
	}
}

/** Guards against: a constant error of the estimates is not corrected. */
static void wrong_estimates_are_corrected(void)
{
	for (guint32 seed = 0; seed < SEEDS; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		mt_run_times_t *times = mt_run_times_new();

		observe(times, rand, &urgent, 30, 0.5, 0.05);
		CU_ASSERT_DOUBLE_EQUAL(
			mt_run_times_predict(times, &urgent, 1000), 2000, 400);
		mt_run_times_free(times);
		g_rand_free(rand);
	}
}

/** Guards against: estimates that are mere noise are believed. */
static void random_estimates_are_ignored(void)
{
	for (guint32 seed = 0; seed < SEEDS; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		mt_run_times_t *times = mt_run_times_new();

		observe(times, rand, &urgent, 64, 1, 0.9);
		CU_ASSERT_DOUBLE_EQUAL(
			mt_run_times_predict(times, &urgent, 400), 2000, 300);
		CU_ASSERT_DOUBLE_EQUAL(
			mt_run_times_predict(times, &urgent, 3800), 2000, 300);
		mt_run_times_free(times);
		g_rand_free(rand);
	}
}

/** Guards against: a few runs decide about all later ones. */
static void a_few_runs_predict_nothing(void)
{
	GRand *rand = g_rand_new_with_seed(1);
	mt_run_times_t *times = mt_run_times_new();

	CU_ASSERT_EQUAL(mt_run_times_predict(times, &urgent, 500), 500);
	observe(times, rand, &urgent, 10, 0.2, 0);
	CU_ASSERT_EQUAL(mt_run_times_predict(times, &urgent, 500), 500);
	CU_ASSERT_EQUAL(mt_run_times_quantile(times, &urgent, 0.9), 1);
	mt_run_times_free(times);
	g_rand_free(rand);
}

/**
 * Guards against: nothing is known of an account's first job, although the
 * image has run for others.
 */
static void other_accounts_stand_in(void)
{
	static const mt_run_kind_t other = {"urgent", "account-2", "image-1"};
	static const mt_run_kind_t other_queue = {"wide", "account-1",
						  "image-1"};
	GRand *rand = g_rand_new_with_seed(1);
	mt_run_times_t *times = mt_run_times_new();

	observe(times, rand, &urgent, 40, 0.5, 0);
	CU_ASSERT_DOUBLE_EQUAL(mt_run_times_predict(times, &other, 1000), 2000,
			       400);
	CU_ASSERT_EQUAL(mt_run_times_predict(times, &other_queue, 1000), 1000);
	mt_run_times_free(times);
	g_rand_free(rand);
}

/** Guards against: the tail decides a quantile below it. */
static void quantiles_are_robust(void)
{
	GRand *rand = g_rand_new_with_seed(1);
	mt_run_times_t *times = mt_run_times_new();

	observe(times, rand, &urgent, 64, 1, 0);
	CU_ASSERT_DOUBLE_EQUAL(mt_run_times_quantile(times, &urgent, 0.5), 1,
			       0.001);
	CU_ASSERT_DOUBLE_EQUAL(mt_run_times_quantile(times, &urgent, 0.85), 1.2,
			       0.1);
	mt_run_times_free(times);
	g_rand_free(rand);
}

/** Guards against: client-chosen names of images use up the memory. */
static void the_number_of_kinds_is_bounded(void)
{
	GRand *rand = g_rand_new_with_seed(1);
	mt_run_times_t *times = mt_run_times_new();

	observe(times, rand, &urgent, 40, 0.5, 0);
	for (unsigned i = 0; i < 3000; i++) {
		char *image = g_strdup_printf("image-%u", i + 2);
		mt_run_kind_t kind = {"wide", "account-1", image};

		observe(times, rand, &kind, 1, 1, 0);
		g_free(image);
	}
	/* Dropped as least recently used. */
	CU_ASSERT_EQUAL(mt_run_times_predict(times, &urgent, 1000), 1000);
	mt_run_times_free(times);
	g_rand_free(rand);
}

/* Predictions of the engine. The estimate of the fixture's jobs is 5000 ms. */

/** A task of the step runs on the first server for `ms` and succeeds. */
static void run_task(mt_engine_fixture_t *fixture, mt_dag_task_t *task,
		     mt_ms_t ms)
{
	mt_ms_t now = mt_timers_now(fixture->timers);

	mt_dag_task_place(task, fixture->servers[0], task->run + 1, now);
	task->phase = MT_TASK_PHASE_RUNNING;
	task->start_settled_at = now;
	mt_server_speeds_note_start(fixture->engine, task);
	mt_timers_advance(fixture->timers, now + ms);
	fixture->servers[0]->reported_at = now + ms;
	mt_step_times_note_end(fixture->engine, task);
	mt_dag_task_unplace(task);
}

/** Makes half of the known servers four times as fast as the others. */
static void make_uneven(mt_engine_fixture_t *fixture)
{
	for (unsigned i = 0; i < 40; i++) {
		char id[16];
		mt_shared_name_t name;

		g_snprintf(id, sizeof(id), "other-%u", i);
		name = mt_shared_name(id);
		mt_speed_model_restore(fixture->engine->speeds, name,
				       i % 2 ? 2 : 0.5, 0.1,
				       mt_timers_now(fixture->timers));
	}
	mt_speed_model_update(fixture->engine->speeds,
			      mt_timers_now(fixture->timers));
}

/**
 * Guards against: wrong estimates are used although many such tasks have ended;
 * and against a change on deployments of equal servers.
 */
static void the_engine_predicts_where_servers_are_uneven(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_task_t *task;

	mt_engine_fixture_open(&fixture);
	task = mt_task_of(
		mt_first_step(mt_engine_fixture_add_job(&fixture, 1, 2, 1)), 0);
	for (unsigned i = 0; i < 20; i++)
		run_task(&fixture, task, 10000);
	CU_ASSERT_EQUAL(mt_step_times_predict_ms(fixture.engine, task->step),
			5000);
	make_uneven(&fixture);
	CU_ASSERT_DOUBLE_EQUAL(
		mt_step_times_predict_ms(fixture.engine, task->step), 10000,
		100);
	mt_engine_fixture_close(&fixture);
}

const mt_test_t mt_run_times_tests[] = {
	{"right estimates are kept", right_estimates_are_kept},
	{"wrong estimates are corrected", wrong_estimates_are_corrected},
	{"random estimates are ignored", random_estimates_are_ignored},
	{"a few runs predict nothing", a_few_runs_predict_nothing},
	{"other accounts stand in", other_accounts_stand_in},
	{"quantiles are robust", quantiles_are_robust},
	{"the number of kinds is bounded", the_number_of_kinds_is_bounded},
	{"the engine predicts where servers are uneven",
	 the_engine_predicts_where_servers_are_uneven},
	{NULL, NULL},
};
