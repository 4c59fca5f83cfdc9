/**
 * @file test_planner.c
 * Tests of the planner of lib/dag: which waiting jobs start on idle servers.
 * Each server has MT_ENGINE_FIXTURE_GPU accelerators; each task needs all.
 */
#include <CUnit/Basic.h>

#include "unit/engine_fixture.h"
#include "unit/tests.h"

/** Waits in the tests: longer than the planner's time until a reservation. */
#define LONG_WAIT_MS 5000u

/** Adds a gang of job 1 that has waited for LONG_WAIT_MS. */
static mt_dag_step_t *add_waiting_gang(mt_engine_fixture_t *fixture,
				       uint32_t priority, uint32_t count)
{
	mt_dag_step_t *step =
		&mt_engine_fixture_add_job(fixture, 1, priority, count)
			 ->steps[0];

	step->waiting_since = 10000 - LONG_WAIT_MS;
	return step;
}

/** Runs a scheduling pass. True if the job's only task was placed. */
static bool is_placed_next(mt_engine_fixture_t *fixture, mt_dag_job_t *job)
{
	mt_planner_run(fixture->engine);
	return job->steps[0].tasks[0].phase == MT_TASK_PHASE_STARTING;
}

/** Guards against: a gang wider than all servers stops all scheduling (LOST).
 */
static void a_gang_that_never_fits_keeps_no_server(void)
{
	for (uint32_t priority = 0; priority <= 2; priority += 2) {
		mt_engine_fixture_t fixture;

		mt_engine_fixture_open(&fixture);
		add_waiting_gang(&fixture, priority, 3);
		CU_ASSERT_TRUE(is_placed_next(
			&fixture,
			mt_engine_fixture_add_job(&fixture, 2, priority, 1)));
		mt_engine_fixture_close(&fixture);
	}
}

/** The same, for a gang that fitted until a server left. */
static void a_gang_keeps_no_server_after_others_left(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_step_t *gang;

	mt_engine_fixture_open(&fixture);
	gang = add_waiting_gang(&fixture, 2, 2);
	fixture.servers[1]->listed = false;
	CU_ASSERT_TRUE(is_placed_next(
		&fixture, mt_engine_fixture_add_job(&fixture, 2, 2, 1)));
	CU_ASSERT_EQUAL(gang->tasks[0].phase, MT_TASK_PHASE_WAITING);
	mt_engine_fixture_close(&fixture);
}

/** The same, for a gang that would need the server of a long-running task. */
static void a_gang_keeps_no_server_beside_a_long_running_task(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_task_t *task;

	mt_engine_fixture_open(&fixture);
	task = &mt_engine_fixture_add_job(&fixture, 3, 2, 1)->steps[0].tasks[0];
	((MtDag__Step *)task->step->spec)->lasting = true;
	mt_dag_task_place(task, fixture.servers[1], 1, 9000);
	add_waiting_gang(&fixture, 2, 2);
	CU_ASSERT_TRUE(is_placed_next(
		&fixture, mt_engine_fixture_add_job(&fixture, 2, 2, 1)));
	mt_engine_fixture_close(&fixture);
}

/**
 * Guards against: a server stays idle for a gang that waits for a long run,
 * while jobs that could run there stand still (LOST).
 */
static void an_idle_server_is_not_kept_for_long(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_job_t *job;

	mt_engine_fixture_open(&fixture);
	mt_dag_task_place(&mt_engine_fixture_add_job(&fixture, 3, 2, 1)
				   ->steps[0]
				   .tasks[0],
			  fixture.servers[1], 1, 9000);
	add_waiting_gang(&fixture, 2, 2);
	job = mt_engine_fixture_add_job(&fixture, 2, 2, 1);
	CU_ASSERT_FALSE(is_placed_next(&fixture, job));
	job->steps[0].waiting_since = 10000 - LONG_WAIT_MS;
	CU_ASSERT_TRUE(is_placed_next(&fixture, job));
	mt_engine_fixture_close(&fixture);
}

/**
 * Guards against: a job waits for its full data rack while the servers
 * elsewhere are idle (LOST).
 */
static void a_job_does_not_wait_long_for_a_full_data_rack(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_job_t *job;

	mt_engine_fixture_open(&fixture);
	fixture.servers[0]->info.rack = g_quark_from_static_string("r1");
	fixture.servers[1]->info.rack = g_quark_from_static_string("r2");
	mt_dag_task_place(&mt_engine_fixture_add_job(&fixture, 3, 2, 1)
				   ->steps[0]
				   .tasks[0],
			  fixture.servers[0], 1, 9000);
	job = mt_engine_fixture_add_job(&fixture, 2, 2, 1);
	job->steps[0].data_rack = fixture.servers[0]->info.rack;
	CU_ASSERT_FALSE(is_placed_next(&fixture, job));
	job->steps[0].waiting_since = 10000 - LONG_WAIT_MS;
	CU_ASSERT_TRUE(is_placed_next(&fixture, job));
	mt_engine_fixture_close(&fixture);
}

/**
 * Guards against: all servers are avoided since one job failed on them, or
 * stood still there, and other jobs do not start on idle servers (LOST).
 */
static void an_overdue_job_may_use_suspect_servers(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_job_t *job;

	mt_engine_fixture_open(&fixture);
	for (unsigned i = 0; i < MT_ENGINE_FIXTURE_SERVERS; i++)
		fixture.servers[i]->suspect_until = 99999; /* after the test */
	job = mt_engine_fixture_add_job(&fixture, 2, 2, 1);
	CU_ASSERT_FALSE(is_placed_next(&fixture, job));
	job->steps[0].waiting_since = 10000 - LONG_WAIT_MS;
	CU_ASSERT_TRUE(is_placed_next(&fixture, job));
	mt_engine_fixture_close(&fixture);
}

/** Even an overdue job is placed on a server without suspicion, if there is
 * one.
 */
static void a_suspect_server_comes_last(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_job_t *job;

	mt_engine_fixture_open(&fixture);
	fixture.servers[0]->suspect_until = 99999; /* after the test */
	job = mt_engine_fixture_add_job(&fixture, 2, 2, 1);
	job->steps[0].waiting_since = 10000 - LONG_WAIT_MS;
	CU_ASSERT_TRUE(is_placed_next(&fixture, job));
	CU_ASSERT_PTR_EQUAL(job->steps[0].tasks[0].server, fixture.servers[1]);
	mt_engine_fixture_close(&fixture);
}

/**
 * Guards against: jobs stand still for long, since they would probably be
 * preempted, on a service of which only the cores are scarce (LOST).
 */
static void a_job_is_not_held_back_for_long_on_an_underused_service(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_job_t *job;

	mt_engine_fixture_open(&fixture);
	mt_survival_add_running_time(&fixture.engine->survival, 2, 100);
	for (unsigned i = 0; i < 100; i++)
		mt_survival_add_preemption(&fixture.engine->survival, 2);
	for (unsigned i = 0; i < MT_ENGINE_FIXTURE_SERVERS; i++)
		fixture.servers[i]->used.cpu_milli = 46000; /* of 64000 */
	job = mt_engine_fixture_add_job(&fixture, 2, 2, 1);
	CU_ASSERT_FALSE(is_placed_next(&fixture, job));
	mt_timers_advance(fixture.timers, 10000 + LONG_WAIT_MS);
	CU_ASSERT_TRUE(is_placed_next(&fixture, job));
	mt_engine_fixture_close(&fixture);
}

/** Keeps the requests for tickets that the engine sends. */
static void count_request(void *self, const mt_advice_request_t *request,
			  mt_advice_cb cb, void *ctx)
{
	unsigned *n_requests = self;

	(*n_requests)++;
	g_free(ctx);
}

/**
 * Guards against: a gang that never fits keeps the policy service busy, while
 * other steps wait for their tickets.
 */
static void no_tickets_are_requested_for_a_gang_that_never_fits(void)
{
	mt_engine_fixture_t fixture;
	unsigned n_requests = 0;
	mt_advice_port_t port = {&n_requests, count_request};
	mt_dag_step_t *gang;

	mt_engine_fixture_open(&fixture);
	fixture.engine->deps.advice = &port;
	gang = add_waiting_gang(&fixture, 2, 3);
	gang->job->queue.advised = true;
	mt_planner_run(fixture.engine);
	CU_ASSERT_EQUAL(n_requests, 0);
	fixture.servers[0]->info.capacity.gpu *= 2;
	fixture.servers[0]->info.capacity.cpu_milli *= 2;
	mt_planner_run(fixture.engine);
	CU_ASSERT_EQUAL(n_requests, 1);
	mt_engine_fixture_close(&fixture);
}

const mt_test_t mt_planner_tests[] = {
	{"no tickets are requested for a gang that never fits",
	 no_tickets_are_requested_for_a_gang_that_never_fits},
	{"a gang that never fits keeps no server",
	 a_gang_that_never_fits_keeps_no_server},
	{"a gang keeps no server after others left",
	 a_gang_keeps_no_server_after_others_left},
	{"a gang keeps no server beside a long-running task",
	 a_gang_keeps_no_server_beside_a_long_running_task},
	{"an idle server is not kept for long",
	 an_idle_server_is_not_kept_for_long},
	{"a job is not held back for long on an underused service",
	 a_job_is_not_held_back_for_long_on_an_underused_service},
	{"an overdue job may use suspect servers",
	 an_overdue_job_may_use_suspect_servers},
	{"a suspect server comes last", a_suspect_server_comes_last},
	{"a job does not wait long for a full data rack",
	 a_job_does_not_wait_long_for_a_full_data_rack},
	{NULL, NULL},
};
