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

/** Teaches the model that every second server runs at 0.375 of the others. */
static void teach_speeds(mt_engine_fixture_t *fixture)
{
	mt_speed_sample_t sample = {.run = 1, .at = 10000, .error = 0.01};

	for (uint64_t job = 100; job < 110; job++) {
		for (uint32_t i = 0; i < 12; i++) {
			char name[16];

			g_snprintf(name, sizeof(name), "other-%u", i);
			sample.job = job;
			sample.task = i;
			sample.rate = i % 2 ? 16 : 6;
			sample.server =
				i < MT_ENGINE_FIXTURE_SERVERS
					? fixture->servers[i]->info.target.id
					: mt_name(name);
			mt_speed_model_observe(fixture->engine->speeds,
					       &sample);
		}
	}
	mt_speed_model_update(fixture->engine->speeds, 10000);
}

/** True if a server is found slow that runs at 0.375 of the other's rate. */
static bool is_found_slow(bool speeds_are_known)
{
	mt_engine_fixture_t fixture;
	mt_dag_step_t *step;
	bool found;

	mt_engine_fixture_open(&fixture);
	if (speeds_are_known)
		teach_speeds(&fixture);
	step = mt_engine_fixture_add_job(&fixture, 1, 1, 4)->steps;
	for (uint32_t i = 0; i < 4; i++) {
		mt_dag_task_t *task = &step->tasks[i];

		mt_dag_task_place(task, fixture.servers[i % 2], 1, 9000);
		task->phase = MT_TASK_PHASE_RUNNING;
		task->pace = i % 2 ? 16 : 6;
		task->paced_at = mt_timers_now(fixture.timers);
	}
	mt_relocation_find_slow_servers(fixture.engine);
	found = fixture.servers[0]->slow_at > 0;
	CU_ASSERT_EQUAL(fixture.servers[1]->slow_at, 0);
	mt_engine_fixture_close(&fixture);
	return found;
}

/**
 * Guards against: on servers of unequal speeds, the tasks of the slower ones
 * are moved again and again, as their servers seem to have become slow.
 */
static void a_server_of_a_low_normal_speed_is_not_slow(void)
{
	CU_ASSERT_TRUE(is_found_slow(false));
	CU_ASSERT_FALSE(is_found_slow(true));
}

const mt_test_t mt_relocation_tests[] = {
	{"a stalled run is moved", a_stalled_run_is_moved},
	{"a gang member that waits for the others is not stalled",
	 a_gang_member_that_waits_for_the_others_is_not_stalled},
	{"a run that is only slow is moved once",
	 a_run_that_is_only_slow_is_moved_once},
	{"a server of a low normal speed is not slow",
	 a_server_of_a_low_normal_speed_is_not_slow},
	{NULL, NULL},
};
