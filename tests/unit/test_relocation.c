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
		mt_first_step(mt_engine_fixture_add_job(fixture, 1, 2, count));

	for (unsigned i = 0; i < count; i++) {
		mt_dag_task_place(mt_task_of(step, i), fixture->servers[i], 1,
				  10000);
		mt_task_of(step, i)->placement_stored = true;
		mt_task_of(step, i)->phase = MT_TASK_PHASE_RUNNING;
		mt_task_of(step, i)->start_settled_at = 10000;
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
		mt_dag_task_t *task = mt_task_of(step, i);

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
	CU_ASSERT_FALSE(mt_task_of(step, 0)->stop_wanted);
	report_progress(&fixture, step, 1000, (uint32_t[]){0});
	CU_ASSERT_TRUE(mt_task_of(step, 0)->stop_wanted);
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
	CU_ASSERT_FALSE(mt_task_of(step, 0)->stop_wanted);
	CU_ASSERT_FALSE(mt_task_of(step, 1)->stop_wanted);
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
		if (!mt_task_of(step, 0)->stop_wanted)
			continue;
		CU_ASSERT_TRUE_FATAL(++n_moves < 10);
		start_again(&fixture, mt_task_of(step, 0));
		second = 0;
		percent = 0;
	}
	CU_ASSERT_EQUAL(n_moves, 1);
	mt_engine_fixture_close(&fixture);
}

/** True if a server is found slow that runs at 0.375 of the other's rate. */
static bool is_found_slow(bool speeds_are_known)
{
	mt_engine_fixture_t fixture;
	mt_dag_step_t *step;
	bool found;

	mt_engine_fixture_open(&fixture);
	if (speeds_are_known)
		mt_engine_fixture_teach_speeds(&fixture);
	step = mt_first_step(mt_engine_fixture_add_job(&fixture, 1, 1, 4));
	for (uint32_t i = 0; i < 4; i++) {
		mt_dag_task_t *task = mt_task_of(step, i);

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

/**
 * A run of the fixture's first server, which has become slow, and the server
 * to which it could move. The first server's normal speed is about 0.5, that of
 * the second one 1.5.
 */
typedef struct mt_crawler_t {
	mt_engine_fixture_t fixture;
	mt_dag_task_t *task;
	mt_backend_t *other;
} mt_crawler_t;

/** The run has done 20% at a rate of 4% per second. */
static void measure_crawler(const mt_crawler_t *crawler)
{
	mt_dag_task_t *task = crawler->task;
	mt_ms_t now = mt_timers_now(crawler->fixture.timers);

	task->percent = 20;
	task->pace = 4;
	task->paced_at = now;
	task->progressed_at = now;
	task->server->slow_at = now;
	task->server->slow_ratio = 0.3;
}

/** @param is_on_slower the run is on the server of the lower normal speed */
static void open_crawler(mt_crawler_t *crawler, uint32_t priority,
			 bool is_on_slower)
{
	mt_engine_fixture_t *fixture = &crawler->fixture;
	mt_backend_t *server;

	mt_engine_fixture_open(fixture);
	mt_engine_fixture_teach_speeds(fixture);
	server = fixture->servers[is_on_slower ? 0 : 1];
	crawler->other = fixture->servers[is_on_slower ? 1 : 0];
	crawler->task = mt_task_of(mt_first_step(mt_engine_fixture_add_job(
					   fixture, 1, priority, 1)),
				   0);
	mt_dag_task_place(crawler->task, server, 1, 10000);
	crawler->task->placement_stored = true;
	crawler->task->phase = MT_TASK_PHASE_RUNNING;
	crawler->task->start_settled_at = 10000;
	measure_crawler(crawler);
}

/** True if the run is stopped in order to move. */
static bool is_moved(mt_crawler_t *crawler)
{
	mt_relocation_tick(crawler->fixture.engine, crawler->task->server);
	return crawler->task->stop_wanted;
}

/**
 * Guards against: a run on a fast server that has become slow moves to a server
 * whose normal speed is hardly higher, and loses its work for nothing; a run on
 * a slow server does not move although a fast one is idle.
 */
static void a_run_moves_only_to_where_it_ends_sooner(void)
{
	for (unsigned on_slower = 0; on_slower <= 1; on_slower++) {
		mt_crawler_t crawler;

		open_crawler(&crawler, 2, on_slower);
		CU_ASSERT_EQUAL(is_moved(&crawler), on_slower);
		mt_engine_fixture_close(&crawler.fixture);
	}
}

/** Guards against: a run stops although no other server has room for it. */
static void a_run_does_not_move_without_room(void)
{
	mt_crawler_t crawler;

	open_crawler(&crawler, 2, true);
	crawler.other->used.gpu = 1;
	CU_ASSERT_FALSE(is_moved(&crawler));
	crawler.other->used.gpu = 0;
	crawler.other->suspect_until = 99999; /* after the test */
	CU_ASSERT_FALSE(is_moved(&crawler));
	crawler.other->suspect_until = 0;
	CU_ASSERT_TRUE(is_moved(&crawler));
	mt_engine_fixture_close(&crawler.fixture);
}

/**
 * Guards against: a run that is not urgent moves as a fast server is idle, and
 * is then placed on a slow one; an urgent run stays, as a slow one is idle,
 * too.
 */
static void the_speed_counts_of_the_servers_that_the_planner_chooses(void)
{
	for (uint32_t priority = 0; priority <= 2; priority += 2) {
		mt_crawler_t crawler;

		open_crawler(&crawler, priority, false);
		mt_engine_fixture_add_server(&crawler.fixture, "other-3");
		CU_ASSERT_EQUAL(is_moved(&crawler), priority == 0);
		mt_engine_fixture_close(&crawler.fixture);
	}
}

/** Starts the run anew on the same server, after it was stopped. */
static void start_crawler_again(const mt_crawler_t *crawler)
{
	mt_dag_task_t *task = crawler->task;
	mt_backend_t *server = task->server;

	mt_dag_task_unplace(task);
	mt_dag_task_place(task, server, task->run + 1, 10000);
	task->placement_stored = true;
	task->phase = MT_TASK_PHASE_RUNNING;
	task->start_settled_at = 10000;
	task->stop_wanted = false;
	measure_crawler(crawler);
}

/**
 * Guards against: a task moves from one slow server to the next, and never
 * ends; it no longer moves away from a stall, either.
 */
static void a_task_moves_once_from_slow_servers(void)
{
	mt_crawler_t crawler;

	open_crawler(&crawler, 2, true);
	CU_ASSERT_TRUE(is_moved(&crawler));
	start_crawler_again(&crawler);
	CU_ASSERT_FALSE(is_moved(&crawler));
	mt_timers_advance(crawler.fixture.timers, 30000);
	crawler.task->server->answered_at = 30000;
	CU_ASSERT_TRUE(is_moved(&crawler));
	mt_engine_fixture_close(&crawler.fixture);
}

/**
 * Starts the gang of two anew: the member `slow` on the first server, the other
 * one on `sound`.
 */
static void start_gang(mt_crawler_t *crawler, mt_dag_step_t *gang,
		       uint32_t slow, mt_backend_t *sound)
{
	for (uint32_t i = 0; i < 2; i++) {
		mt_dag_task_t *task = mt_task_of(gang, i);

		if (task->server)
			mt_dag_task_unplace(task);
		mt_dag_task_place(
			task, i == slow ? crawler->fixture.servers[0] : sound,
			task->run + 1, 10000);
		task->placement_stored = true;
		task->phase = MT_TASK_PHASE_RUNNING;
		task->start_settled_at = 10000;
		task->stop_wanted = false;
	}
	crawler->task = mt_task_of(gang, slow);
	measure_crawler(crawler);
}

/**
 * Guards against: a gang is moved for each of its members, and all of them lose
 * their work each time.
 */
static void a_gang_moves_once_from_slow_servers(void)
{
	mt_crawler_t crawler;
	mt_dag_step_t *gang;
	mt_backend_t *sound;

	mt_engine_fixture_open(&crawler.fixture);
	mt_engine_fixture_teach_speeds(&crawler.fixture);
	sound = mt_engine_fixture_add_server(&crawler.fixture, "other-3");
	gang = mt_first_step(
		mt_engine_fixture_add_job(&crawler.fixture, 1, 2, 2));
	start_gang(&crawler, gang, 0, sound);
	CU_ASSERT_TRUE(is_moved(&crawler));
	CU_ASSERT_TRUE(mt_task_of(gang, 1)->stop_wanted);
	start_gang(&crawler, gang, 1, sound);
	CU_ASSERT_FALSE(is_moved(&crawler));
	mt_engine_fixture_close(&crawler.fixture);
}

/** Guards against: where speeds are not known, runs move less often. */
static void runs_on_even_servers_move_as_before(void)
{
	mt_crawler_t crawler;

	open_crawler(&crawler, 2, false);
	mt_server_speeds_clear(crawler.fixture.engine);
	crawler.other->used.gpu = 1;
	CU_ASSERT_TRUE(is_moved(&crawler));
	start_crawler_again(&crawler);
	CU_ASSERT_TRUE(is_moved(&crawler));
	mt_engine_fixture_close(&crawler.fixture);
}

const mt_test_t mt_relocation_tests[] = {
	{"a run moves only to where it ends sooner",
	 a_run_moves_only_to_where_it_ends_sooner},
	{"a run does not move without room", a_run_does_not_move_without_room},
	{"the speed counts of the servers that the planner chooses",
	 the_speed_counts_of_the_servers_that_the_planner_chooses},
	{"a task moves once from slow servers",
	 a_task_moves_once_from_slow_servers},
	{"a gang moves once from slow servers",
	 a_gang_moves_once_from_slow_servers},
	{"runs on even servers move as before",
	 runs_on_even_servers_move_as_before},
	{"a stalled run is moved", a_stalled_run_is_moved},
	{"a gang member that waits for the others is not stalled",
	 a_gang_member_that_waits_for_the_others_is_not_stalled},
	{"a run that is only slow is moved once",
	 a_run_that_is_only_slow_is_moved_once},
	{"a server of a low normal speed is not slow",
	 a_server_of_a_low_normal_speed_is_not_slow},
	{NULL, NULL},
};
