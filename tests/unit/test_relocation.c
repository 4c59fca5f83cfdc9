/**
 * @file test_relocation.c
 * Tests of the moves of runs to other servers. A run starts at 10000, when the
 * fixture's clock begins; its server answers each hold.
 */
#include <CUnit/Basic.h>

#include "unit/engine_fixture.h"
#include "unit/tests.h"

/** Adds a running task or gang of job 1, one task on each server. */
static mt_dag_step_t *add_running_step(mt_engine_fixture_t *fixture,
				       uint32_t count)
{
	mt_dag_step_t *step =
		&mt_engine_fixture_add_job(fixture, 1, 2, count)->steps[0];

	for (unsigned i = 0; i < count; i++) {
		mt_dag_task_place(&step->tasks[i], fixture->servers[i], 1,
				  10000);
		step->tasks[i].placement_stored = true;
		step->tasks[i].phase = MT_TASK_PHASE_RUNNING;
		step->tasks[i].start_settled_at = 10000;
	}
	return step;
}

/** Lets time pass; the servers report the progress of the tasks. */
static void report_progress(mt_engine_fixture_t *fixture, mt_dag_step_t *step,
			    mt_ms_t ms, const uint32_t *percents)
{
	mt_ms_t now;

	mt_timers_advance(fixture->timers, mt_timers_now(fixture->timers) + ms);
	now = mt_timers_now(fixture->timers);
	for (uint32_t i = 0; i < step->spec->count; i++) {
		mt_dag_task_t *task = &step->tasks[i];

		fixture->servers[i]->answered_at = now;
		if (task->percent != percents[i])
			task->progressed_at = now;
		task->percent = percents[i];
		mt_relocation_tick(fixture->engine, fixture->servers[i]);
	}
}

/** A run that does not progress is moved. */
static void a_stalled_run_is_moved(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_step_t *step;

	mt_engine_fixture_open(&fixture);
	step = add_running_step(&fixture, 1);
	report_progress(&fixture, step, 3000, (uint32_t[]){0});
	CU_ASSERT_FALSE(step->tasks[0].stop_wanted);
	report_progress(&fixture, step, 1000, (uint32_t[]){0});
	CU_ASSERT_TRUE(step->tasks[0].stop_wanted);
	mt_engine_fixture_close(&fixture);
}

/**
 * Guards against: a member of a gang has done its work and waits for the
 * others, the whole gang is moved, and its servers are not used (LOST).
 */
static void a_gang_member_that_waits_for_the_others_is_not_stalled(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_step_t *step;

	mt_engine_fixture_open(&fixture);
	step = add_running_step(&fixture, 2);
	for (uint32_t percent = 10; percent <= 90; percent += 10)
		report_progress(&fixture, step, 1000,
				(uint32_t[]){100, percent});
	CU_ASSERT_FALSE(step->tasks[0].stop_wanted);
	CU_ASSERT_FALSE(step->tasks[1].stop_wanted);
	mt_engine_fixture_close(&fixture);
}

/** Starts the run of the step's only task anew, as the planner would. */
static void start_again(mt_engine_fixture_t *fixture, mt_dag_task_t *task)
{
	mt_ms_t now = mt_timers_now(fixture->timers);

	mt_dag_task_unplace(task);
	mt_dag_task_place(task, fixture->servers[0], task->run + 1, now);
	task->placement_stored = true;
	task->phase = MT_TASK_PHASE_RUNNING;
	task->start_settled_at = now;
}

/**
 * Guards against: the tasks of a job take much longer than estimated, and are
 * moved as stalled again and again, for ever (LOST).
 */
static void a_run_that_is_only_slow_is_moved_once(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_step_t *step;
	unsigned n_moves = 0;

	mt_engine_fixture_open(&fixture);
	step = add_running_step(&fixture, 1);
	/* One percent each 6 s: 600 s in place of the estimated 5 s. */
	for (uint32_t second = 1, percent = 0; percent < 50; second++) {
		if (second % 6 == 0)
			percent++;
		report_progress(&fixture, step, 1000, &percent);
		if (!step->tasks[0].stop_wanted)
			continue;
		CU_ASSERT_TRUE_FATAL(++n_moves < 10);
		start_again(&fixture, &step->tasks[0]);
		second = 0;
		percent = 0;
	}
	CU_ASSERT_EQUAL(n_moves, 1);
	mt_engine_fixture_close(&fixture);
}

const mt_test_t mt_relocation_tests[] = {
	{"a stalled run is moved", a_stalled_run_is_moved},
	{"a gang member that waits for the others is not stalled",
	 a_gang_member_that_waits_for_the_others_is_not_stalled},
	{"a run that is only slow is moved once",
	 a_run_that_is_only_slow_is_moved_once},
	{NULL, NULL},
};
