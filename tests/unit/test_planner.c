/**
 * @file test_planner.c
 * Tests of the planner of lib/dag: which waiting jobs start on idle servers.
 * Each server has MT_ENGINE_FIXTURE_GPU accelerators; each task needs all.
 */
#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#include "unit/engine_fixture.h"
#include "unit/tests.h"

/** Waits in the tests: longer than the planner's time until a reservation. */
#define LONG_WAIT_MS 5000u

/** Adds a gang of job 1 that has waited for LONG_WAIT_MS. */
static mt_dag_step_t *add_waiting_gang(mt_engine_fixture_t *fixture,
				       uint32_t priority, uint32_t count)
{
	mt_dag_step_t *step = mt_first_step(
		mt_engine_fixture_add_job(fixture, 1, priority, count));

	step->waiting_since = 10000 - LONG_WAIT_MS;
	return step;
}

/** Runs a scheduling pass. True if the job's only task was placed. */
static bool is_placed_next(mt_engine_fixture_t *fixture, mt_dag_job_t *job)
{
	mt_planner_run(fixture->engine);
	return mt_task_of(mt_first_step(job), 0)->phase ==
	       MT_TASK_PHASE_STARTING;
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
	CU_ASSERT_EQUAL(mt_task_of(gang, 0)->phase, MT_TASK_PHASE_WAITING);
	mt_engine_fixture_close(&fixture);
}

/** The same, for a gang that would need the server of a long-running task. */
static void a_gang_keeps_no_server_beside_a_long_running_task(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_task_t *task;

	mt_engine_fixture_open(&fixture);
	task = mt_task_of(
		mt_first_step(mt_engine_fixture_add_job(&fixture, 3, 2, 1)), 0);
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
	mt_dag_task_place(mt_task_of(mt_first_step(mt_engine_fixture_add_job(
					     &fixture, 3, 2, 1)),
				     0),
			  fixture.servers[1], 1, 9000);
	add_waiting_gang(&fixture, 2, 2);
	job = mt_engine_fixture_add_job(&fixture, 2, 2, 1);
	CU_ASSERT_FALSE(is_placed_next(&fixture, job));
	mt_first_step(job)->waiting_since = 10000 - LONG_WAIT_MS;
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
	mt_dag_task_place(mt_task_of(mt_first_step(mt_engine_fixture_add_job(
					     &fixture, 3, 2, 1)),
				     0),
			  fixture.servers[0], 1, 9000);
	job = mt_engine_fixture_add_job(&fixture, 2, 2, 1);
	mt_first_step(job)->data_rack = fixture.servers[0]->info.rack;
	CU_ASSERT_FALSE(is_placed_next(&fixture, job));
	mt_first_step(job)->waiting_since = 10000 - LONG_WAIT_MS;
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
	mt_first_step(job)->waiting_since = 10000 - LONG_WAIT_MS;
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
	mt_first_step(job)->waiting_since = 10000 - LONG_WAIT_MS;
	CU_ASSERT_TRUE(is_placed_next(&fixture, job));
	CU_ASSERT_PTR_EQUAL(mt_task_of(mt_first_step(job), 0)->server,
			    fixture.servers[1]);
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

/**
 * Two steps that wait for the same accelerators. Only one server is listed; 5
 * of its 8 accelerators are in use, or 6 if it is contended.
 */
typedef struct mt_rivals_t {
	mt_engine_fixture_t fixture;
	mt_dag_job_t *running; /**< of account "large" */
	/** Known for longer, and so first in the usual order. */
	mt_dag_job_t *older;
	mt_dag_job_t *newer;
} mt_rivals_t;

#define RIVALS_NOW_MS 100000u

/** Adds a job of priority 2 with an objective of 15 s, which takes 5 s. */
static mt_dag_job_t *add_rival(mt_rivals_t *rivals, uint64_t id, uint32_t gpu,
			       mt_ms_t known_since)
{
	mt_dag_job_t *job =
		mt_engine_fixture_add_job(&rivals->fixture, id, 2, 1);

	((MtDag__Step *)mt_first_step(job)->spec)->gpu = gpu;
	job->queue.slack_factor = 3;
	job->known_since = known_since;
	return job;
}

static void set_account(mt_dag_job_t *job, const char *name)
{
	free(job->spec->account != protobuf_c_empty_string ? job->spec->account
							   : NULL);
	job->spec->account = strdup(name);
}

static void set_priority(mt_rivals_t *rivals, mt_dag_job_t *job,
			 uint32_t priority)
{
	job->queue.priority = priority;
	mt_wakeups_update_priority(&rivals->fixture.engine->wakeups, job);
}

/** @param older_for_ms how long the older job has been known */
static void open_rivals(mt_rivals_t *rivals, bool contended,
			mt_ms_t older_for_ms)
{
	uint32_t gpu_used = contended ? 6 : 5;

	mt_engine_fixture_open(&rivals->fixture);
	rivals->fixture.engine->deps.sheds_load = true;
	mt_timers_advance(rivals->fixture.timers, RIVALS_NOW_MS);
	rivals->fixture.servers[1]->listed = false;
	rivals->running = add_rival(rivals, 1, gpu_used, RIVALS_NOW_MS);
	mt_dag_task_place(mt_task_of(mt_first_step(rivals->running), 0),
			  rivals->fixture.servers[0], 1, RIVALS_NOW_MS);
	rivals->older = add_rival(rivals, 2, MT_ENGINE_FIXTURE_GPU - gpu_used,
				  RIVALS_NOW_MS - older_for_ms);
	rivals->newer = add_rival(rivals, 3, MT_ENGINE_FIXTURE_GPU - gpu_used,
				  RIVALS_NOW_MS - 1000);
}

/** Runs a pass, and tells whether the older job was placed; closes them. */
static bool older_comes_first(mt_rivals_t *rivals)
{
	bool first = is_placed_next(&rivals->fixture, rivals->older);

	CU_ASSERT_EQUAL(mt_task_of(mt_first_step(rivals->newer), 0)->phase,
			first ? MT_TASK_PHASE_WAITING : MT_TASK_PHASE_STARTING);
	mt_engine_fixture_close(&rivals->fixture);
	return first;
}

/** When a job with an objective of 15 s, which takes 5 s, comes first. */
typedef struct mt_lateness_t {
	bool contended;
	mt_ms_t known_ms; /**< since when it is known */
	bool comes_first; /**< before one that can meet its objective */
} mt_lateness_t;

static const mt_lateness_t lateness[] = {
	{false, 9000, true}, {false, 20000, true}, {false, 50000, true},
	{true, 9000, true},  {true, 11000, false}, {true, 39000, false},
	{true, 41000, true},
};

/**
 * Guards against: on a contended service, jobs that are late already make all
 * others late; late jobs never run; the order changes on other services.
 */
static void late_jobs_give_way_on_a_contended_service(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(lateness); i++) {
		mt_rivals_t rivals;

		open_rivals(&rivals, lateness[i].contended,
			    lateness[i].known_ms);
		CU_ASSERT_EQUAL(older_comes_first(&rivals),
				lateness[i].comes_first);
	}
}

/** Guards against: the order changes where no load is to be shed. */
static void late_jobs_keep_their_place_unless_load_is_shed(void)
{
	mt_rivals_t rivals;

	open_rivals(&rivals, true, 20000);
	rivals.fixture.engine->deps.sheds_load = false;
	CU_ASSERT_TRUE(older_comes_first(&rivals));
}

/** Guards against: a late job does not run although there is room. */
static void a_late_job_runs_when_there_is_room(void)
{
	mt_rivals_t rivals;

	open_rivals(&rivals, true, 20000);
	((MtDag__Step *)mt_first_step(rivals.older)->spec)->gpu = 1;
	((MtDag__Step *)mt_first_step(rivals.newer)->spec)->gpu = 1;
	CU_ASSERT_TRUE(is_placed_next(&rivals.fixture, rivals.older));
	CU_ASSERT_EQUAL(mt_task_of(mt_first_step(rivals.newer), 0)->phase,
			MT_TASK_PHASE_STARTING);
	mt_engine_fixture_close(&rivals.fixture);
}

/**
 * Pattern: few large accounts fill the service.
 * Guards against: they keep out the other accounts for as long as they have
 * older jobs, or they are kept out for ever themselves.
 */
static void accounts_that_use_more_give_way_on_a_contended_service(void)
{
	for (unsigned i = 0; i < 3; i++) {
		mt_rivals_t rivals;

		open_rivals(&rivals, i > 0, 2000);
		set_account(rivals.running, "large");
		set_account(rivals.older, "large");
		set_account(rivals.newer, "small");
		if (i == 2)
			mt_first_step(rivals.older)->waiting_since =
				RIVALS_NOW_MS - 31000;
		CU_ASSERT_EQUAL(older_comes_first(&rivals), i != 1);
	}
}

/** Guards against: a guaranteed job gives way to others. */
static void a_guaranteed_job_does_not_give_way(void)
{
	mt_rivals_t rivals;
	mt_catalog_t *catalog = mt_catalog_new(1);
	mt_client_account_t *account = mt_catalog_add_account(catalog);

	account->name = mt_shared_name("large");
	account->guaranteed_gpu = 2;
	open_rivals(&rivals, true, 20000);
	rivals.fixture.engine->catalog = catalog;
	set_priority(&rivals, rivals.older, 0);
	set_priority(&rivals, rivals.newer, 0);
	set_account(rivals.running, "large");
	set_account(rivals.older, "large");
	set_account(rivals.newer, "small");
	CU_ASSERT_TRUE(older_comes_first(&rivals));
	mt_catalog_free(catalog);
}

/** When a job of an account that uses the fast server comes first. */
typedef struct mt_fast_rivalry_t {
	bool is_uneven;
	unsigned server;   /**< of the running task; 1 is the fast one */
	mt_ms_t waited_ms; /**< by the older job */
	float slack_factor;
	bool comes_first; /**< though another account uses no fast server */
} mt_fast_rivalry_t;

static const mt_fast_rivalry_t fast_rivalries[] = {
	{true, 1, 0, 3, false},	  {true, 1, 1000, 3, false},
	{true, 1, 1100, 3, true}, {true, 1, 0, 1, true},
	{true, 0, 0, 3, true},	  {false, 1, 0, 3, true},
};

/**
 * The older job is of an account whose task runs, and the newer one of another
 * account. Both need all of the server that is idle.
 */
static void open_fast_rivals(mt_rivals_t *rivals,
			     const mt_fast_rivalry_t *rivalry)
{
	mt_engine_fixture_t *fixture = &rivals->fixture;

	mt_engine_fixture_open(fixture);
	if (rivalry->is_uneven)
		mt_engine_fixture_teach_speeds(fixture);
	mt_timers_advance(fixture->timers, RIVALS_NOW_MS);
	rivals->running =
		add_rival(rivals, 1, MT_ENGINE_FIXTURE_GPU, RIVALS_NOW_MS);
	mt_dag_task_place(mt_task_of(mt_first_step(rivals->running), 0),
			  fixture->servers[rivalry->server], 1, RIVALS_NOW_MS);
	rivals->older = add_rival(rivals, 2, MT_ENGINE_FIXTURE_GPU,
				  RIVALS_NOW_MS - 2000);
	rivals->older->queue.slack_factor = rivalry->slack_factor;
	mt_first_step(rivals->older)->waiting_since =
		RIVALS_NOW_MS - rivalry->waited_ms;
	rivals->newer = add_rival(rivals, 3, MT_ENGINE_FIXTURE_GPU,
				  RIVALS_NOW_MS - 1000);
	set_account(rivals->running, "user of fast servers");
	set_account(rivals->older, "user of fast servers");
	set_account(rivals->newer, "other");
}

/**
 * Guards against: one account keeps the fast servers; its jobs wait for the
 * others without a bound or until they are late; the order changes where the
 * servers are even, or where no fast server is in use.
 */
static void accounts_share_the_fast_servers(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(fast_rivalries); i++) {
		mt_rivals_t rivals;

		open_fast_rivals(&rivals, &fast_rivalries[i]);
		CU_ASSERT_EQUAL(older_comes_first(&rivals),
				fast_rivalries[i].comes_first);
	}
}

/**
 * Pattern: servers of very different speeds.
 * Guards against: the plan does not get the speeds of the servers, and an
 * urgent gang is placed on the slow ones or on both kinds.
 */
static void an_urgent_gang_is_placed_on_the_fast_servers(void)
{
	mt_engine_fixture_t fixture;
	mt_backend_t *fast;
	mt_dag_step_t *gang;

	mt_engine_fixture_open(&fixture);
	mt_engine_fixture_teach_speeds(&fixture);
	mt_engine_fixture_add_server(&fixture, "other-2");
	fast = mt_engine_fixture_add_server(&fixture, "other-3");
	gang = mt_first_step(mt_engine_fixture_add_job(&fixture, 1, 0, 2));
	mt_planner_run(fixture.engine);
	CU_ASSERT_EQUAL(mt_task_of(gang, 0)->phase, MT_TASK_PHASE_STARTING);
	CU_ASSERT_EQUAL(fixture.servers[1]->tasks->len, 1);
	CU_ASSERT_EQUAL(fast->tasks->len, 1);
	mt_engine_fixture_close(&fixture);
}

/** A job of priority 2, and the server that it needs in order to be in time. */
typedef struct mt_timing_t {
	uint32_t estimate_ms;
	uint32_t objective_ms; /**< from 1 s before the plan */
	unsigned server;       /**< 0: the slow one, 1: the fast one */
} mt_timing_t;

static const mt_timing_t timings[] = {
	{5000, 15000, 0},
	{5000, 7500, 1},
	{10000, 15000, 1},
	{10000, 30000, 0},
};

/**
 * Guards against: the plan gets a wrong run time or time left, so that a job is
 * late on a slow server, or occupies a fast one without need.
 */
static void a_job_uses_a_fast_server_only_if_needed(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(timings); i++) {
		mt_engine_fixture_t fixture;
		MtDag__Step step = mt_engine_fixture_step(1);
		mt_dag_job_t *job;

		mt_engine_fixture_open(&fixture);
		mt_engine_fixture_teach_speeds(&fixture);
		step.estimate_ms = timings[i].estimate_ms;
		job = mt_engine_fixture_add_job_of(&fixture, 1, 2, &step, 0);
		job->queue.slack_factor = 0;
		job->queue.objective_extra_ms = timings[i].objective_ms;
		CU_ASSERT_TRUE(is_placed_next(&fixture, job));
		CU_ASSERT_PTR_EQUAL(mt_task_of(mt_first_step(job), 0)->server,
				    fixture.servers[timings[i].server]);
		mt_engine_fixture_close(&fixture);
	}
}

const mt_test_t mt_planner_tests[] = {
	{"accounts share the fast servers", accounts_share_the_fast_servers},
	{"an urgent gang is placed on the fast servers",
	 an_urgent_gang_is_placed_on_the_fast_servers},
	{"a job uses a fast server only if needed",
	 a_job_uses_a_fast_server_only_if_needed},
	{"late jobs give way on a contended service",
	 late_jobs_give_way_on_a_contended_service},
	{"late jobs keep their place unless load is shed",
	 late_jobs_keep_their_place_unless_load_is_shed},
	{"a late job runs when there is room",
	 a_late_job_runs_when_there_is_room},
	{"accounts that use more give way on a contended service",
	 accounts_that_use_more_give_way_on_a_contended_service},
	{"a guaranteed job does not give way",
	 a_guaranteed_job_does_not_give_way},
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
