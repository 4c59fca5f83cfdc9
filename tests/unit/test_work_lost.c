/**
 * @file test_work_lost.c
 * Tests of the work lost by cause. Each task uses 8 accelerators and 1 core,
 * that is 65 cores.
 */
#include <CUnit/Basic.h>

#include "unit/engine_fixture.h"
#include "unit/tests.h"

#define CORES 65u

/** Adds a gang of two tasks of priority 2, which has run for 1 s. */
static mt_dag_step_t *add_gang(mt_engine_fixture_t *fixture)
{
	mt_dag_step_t *step =
		mt_first_step(mt_engine_fixture_add_job(fixture, 1, 2, 2));

	for (unsigned i = 0; i < 2; i++) {
		mt_dag_task_place(mt_task_of(step, i), fixture->servers[i], 1,
				  9000);
		mt_task_of(step, i)->phase = MT_TASK_PHASE_RUNNING;
		mt_task_of(step, i)->placement_stored = true;
		mt_task_of(step, i)->start_settled_at = 9000;
	}
	return step;
}

static uint64_t core_seconds(const mt_engine_fixture_t *fixture,
			     const char *cause)
{
	char *name = g_strdup_printf(
		"work_lost_core_seconds_total{cause=\"%s\"}", cause);
	uint64_t value = *mt_kernel_counter(fixture->kernel, name);

	g_free(name);
	return value;
}

/**
 * Guards against: members on servers outside the plan are left out, or a gang
 * counts again when its members end.
 */
static void a_preempted_gang_counts_once_with_all_members(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_step_t *gang;

	mt_engine_fixture_open(&fixture);
	gang = add_gang(&fixture);
	fixture.servers[1]->listed = false;
	mt_engine_fixture_add_job(&fixture, 2, 0, 1);
	mt_planner_run(fixture.engine);
	CU_ASSERT_TRUE(mt_task_of(gang, 1)->stop_wanted);
	CU_ASSERT_EQUAL(core_seconds(&fixture, "preempted"), 2 * CORES);
	mt_reports_run_lost(fixture.engine, mt_task_of(gang, 0), "test");
	CU_ASSERT_EQUAL(core_seconds(&fixture, "preempted"), 2 * CORES);
	CU_ASSERT_EQUAL(core_seconds(&fixture, "gang_broken"), 0);
	mt_engine_fixture_close(&fixture);
}

static void a_lost_member_breaks_its_gang(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_step_t *gang;

	mt_engine_fixture_open(&fixture);
	gang = add_gang(&fixture);
	mt_reports_run_lost(fixture.engine, mt_task_of(gang, 0), "test");
	CU_ASSERT_EQUAL(core_seconds(&fixture, "gang_broken"), 2 * CORES);
	mt_reports_run_lost(fixture.engine, mt_task_of(gang, 1), "test");
	CU_ASSERT_EQUAL(core_seconds(&fixture, "gang_broken"), 2 * CORES);
	mt_engine_fixture_close(&fixture);
}

/** Guards against: work that a client gave up counts as lost. */
static void a_cancelled_job_loses_nothing(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_step_t *gang;

	mt_engine_fixture_open(&fixture);
	gang = add_gang(&fixture);
	gang->job->cancelled = true;
	mt_reports_run_lost(fixture.engine, mt_task_of(gang, 0), "test");
	CU_ASSERT_EQUAL(core_seconds(&fixture, "gang_broken"), 0);
	mt_engine_fixture_close(&fixture);
}

/** Guards against: work that a checkpoint has saved counts as lost. */
static void saved_work_is_not_lost(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_task_t *task;

	mt_engine_fixture_open(&fixture);
	task = mt_engine_fixture_add_running_task(&fixture);
	((MtDag__Step *)task->step->spec)->checkpointing = true;
	mt_dag_task_save_checkpoint(task, mt_str_from("a"), 9800);
	mt_work_lost_on_stop(&fixture.engine->work_lost, fixture.kernel, task,
			     MT_WORK_LOST_MOVED);
	CU_ASSERT_EQUAL(core_seconds(&fixture, "moved"), CORES / 5);
	task->stop_wanted = true;
	mt_work_lost_on_stop(&fixture.engine->work_lost, fixture.kernel, task,
			     MT_WORK_LOST_PREEMPTED);
	CU_ASSERT_EQUAL(core_seconds(&fixture, "preempted"), 0);
	mt_engine_fixture_close(&fixture);
}

/** Only members that have done their work wait; parts of a second add up. */
static void members_that_are_done_wait_for_their_gang(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_step_t *gang;

	mt_engine_fixture_open(&fixture);
	gang = add_gang(&fixture);
	mt_task_of(gang, 0)->percent = 100;
	for (unsigned i = 0; i < 20; i++) {
		for (unsigned k = 0; k < 2; k++)
			mt_work_lost_on_tick(&fixture.engine->work_lost,
					     fixture.kernel,
					     mt_task_of(gang, k), 0.1);
	}
	CU_ASSERT(core_seconds(&fixture, "gang_wait") >= 2 * CORES - 1);
	CU_ASSERT(core_seconds(&fixture, "gang_wait") <= 2 * CORES);
	mt_engine_fixture_close(&fixture);
}

/** The event is logged only if work was lost, and at most each 5 s. */
static void the_event_is_logged_now_and_then(void)
{
	mt_engine_fixture_t fixture;
	mt_work_lost_t *lost;
	mt_dag_task_t *task;
	mt_ms_t logged_at = 0;
	unsigned n_events = 0;

	mt_engine_fixture_open(&fixture);
	lost = &fixture.engine->work_lost;
	task = mt_engine_fixture_add_running_task(&fixture);
	mt_work_lost_log(lost, fixture.kernel);
	CU_ASSERT_EQUAL(lost->logged_at, 0);
	for (unsigned i = 0; i < 60; i++) {
		mt_work_lost_on_stop(lost, fixture.kernel, task,
				     MT_WORK_LOST_MOVED);
		mt_work_lost_log(lost, fixture.kernel);
		n_events += lost->logged_at != logged_at;
		logged_at = lost->logged_at;
		mt_engine_fixture_advance(&fixture, 100);
	}
	CU_ASSERT_EQUAL(n_events, 2);
	mt_engine_fixture_close(&fixture);
}

const mt_test_t mt_work_lost_tests[] = {
	{"a preempted gang counts once with all members",
	 a_preempted_gang_counts_once_with_all_members},
	{"a lost member breaks its gang", a_lost_member_breaks_its_gang},
	{"a cancelled job loses nothing", a_cancelled_job_loses_nothing},
	{"saved work is not lost", saved_work_is_not_lost},
	{"members that are done wait for their gang",
	 members_that_are_done_wait_for_their_gang},
	{"the event is logged now and then", the_event_is_logged_now_and_then},
	{NULL, NULL},
};
