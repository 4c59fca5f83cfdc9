/**
 * @file test_plan_preempt.c
 * Tests of the cost and the benefit of preemptions. The load is that of a
 * contended service: urgent tasks arrive while tasks that can wait hold all
 * servers. Also see plan-preempt.script.
 */
#include <CUnit/Basic.h>

#include "unit/engine_fixture.h"
#include "unit/random_plan.h"
#include "unit/tests.h"

#define SERVERS_MAX 4u
#define UNITS_MAX 2u
#define TASKS_MAX 4u
#define RUN_MS 2000u
#define N_RANDOM_PLANS 200u

/** Servers with 8 accelerators and urgent units whose tasks need all of them.
 */
typedef struct mt_fixture_t {
	mt_plan_server_t servers[SERVERS_MAX];
	mt_plan_unit_t units[UNITS_MAX];
	mt_plan_victim_t victims[SERVERS_MAX];
	mt_plan_end_t ends[SERVERS_MAX];
	uint32_t chosen[UNITS_MAX][TASKS_MAX];
	mt_plan_t plan;
} mt_fixture_t;

static const mt_dag_resources_t whole_server = {64000, 1000, 8};

/** Adds a server that is free, or in use by a victim. */
static void add_server(mt_fixture_t *fixture, double speed, double victim_cost)
{
	mt_plan_t *plan = &fixture->plan;
	mt_plan_server_t *server = &fixture->servers[plan->n_servers];
	mt_plan_victim_t victim = {
		.server = plan->n_servers++,
		.group = plan->n_victims,
		.amount = whole_server,
		.priority = 2,
		.cost = victim_cost,
	};

	server->room = whole_server;
	server->speed = speed;
	if (victim_cost > 0)
		fixture->victims[plan->n_victims++] = victim;
	else
		server->free = whole_server;
}

static mt_plan_unit_t *add_unit(mt_fixture_t *fixture, uint32_t count)
{
	mt_plan_unit_t *unit = &fixture->units[fixture->plan.n_units];

	unit->chosen = fixture->chosen[fixture->plan.n_units++];
	unit->need = whole_server;
	unit->count = count;
	unit->run_ms = RUN_MS;
	unit->left_ms = RUN_MS;
	unit->may_preempt = true;
	unit->reserves = true;
	return unit;
}

/** The task on the server ends after this time, in ms. */
static void add_end(mt_fixture_t *fixture, uint32_t server, uint32_t in_ms)
{
	fixture->ends[fixture->plan.n_ends++] =
		(mt_plan_end_t){server, whole_server, in_ms, 0, false};
}

/** Runs the plan. Returns the victims that are preempted, as bits. */
static uint32_t run(mt_fixture_t *fixture)
{
	uint32_t preempted = 0;

	fixture->plan.servers = fixture->servers;
	fixture->plan.units = fixture->units;
	fixture->plan.victims = fixture->victims;
	fixture->plan.ends = fixture->ends;
	mt_plan_run(&fixture->plan);
	for (uint32_t i = 0; i < fixture->plan.n_victims; i++)
		preempted |= (uint32_t)fixture->victims[i].preempted << i;
	return preempted;
}

/**
 * Guards against: as many tasks are stopped as the step has, although some of
 * its tasks were just placed.
 */
static void only_the_tasks_left_over_need_room(void)
{
	mt_fixture_t fixture = {0};

	add_server(&fixture, 1, 0);
	add_server(&fixture, 1, 5);
	add_server(&fixture, 1, 7);
	add_unit(&fixture, 2);
	CU_ASSERT_EQUAL(run(&fixture), 1);
	CU_ASSERT_EQUAL(fixture.units[0].placed, 1);
}

/** The same, where the step may have one task on a server. */
static void a_task_just_placed_counts_on_its_server(void)
{
	mt_fixture_t fixture = {0};

	add_server(&fixture, 1, 0);
	add_server(&fixture, 1, 5);
	mt_dag_resources_add(&fixture.servers[0].free, &whole_server);
	add_unit(&fixture, 2)->per_server_max = 1;
	CU_ASSERT_EQUAL(run(&fixture), 1);
	CU_ASSERT_EQUAL(fixture.units[0].placed, 1);
}

/** Guards against: more work is lost than the urgent work is worth. */
static void a_preemption_costs_no_more_than_it_gains(void)
{
	for (unsigned guaranteed = 0; guaranteed < 2; guaranteed++) {
		mt_fixture_t fixture = {0};
		mt_plan_unit_t *unit = add_unit(&fixture, 1);

		add_server(&fixture, 1, 10);
		unit->cost_max = 9;
		unit->guaranteed = guaranteed;
		CU_ASSERT_EQUAL(run(&fixture), guaranteed);
		CU_ASSERT_EQUAL(fixture.plan.n_refused, !guaranteed);
	}
	for (unsigned cost = 9; cost < 12; cost++) {
		mt_fixture_t fixture = {0};

		add_server(&fixture, 1, cost);
		add_unit(&fixture, 1)->cost_max = 10;
		CU_ASSERT_EQUAL(run(&fixture), cost <= 10);
	}
}

/**
 * Guards against: work is stopped although another run ends in time for the
 * urgent work. A guaranteed unit does not wait.
 */
static void a_unit_waits_for_runs_that_end_in_time(void)
{
	for (unsigned late = 0; late < 2; late++) {
		for (unsigned guaranteed = 0; guaranteed < 2; guaranteed++) {
			mt_fixture_t fixture = {0};
			mt_plan_unit_t *unit = add_unit(&fixture, 1);

			add_server(&fixture, 1, 5);
			add_server(&fixture, 1, 7);
			add_end(&fixture, 1, 600);
			unit->left_ms = late ? RUN_MS : RUN_MS * 2;
			unit->guaranteed = guaranteed;
			CU_ASSERT_EQUAL(run(&fixture), late || guaranteed);
			CU_ASSERT_EQUAL(fixture.plan.n_awaiting,
					!late && !guaranteed);
		}
	}
}

/** Guards against: two units wait for the same run, and one is late. */
static void a_run_that_ends_is_waited_for_once(void)
{
	mt_fixture_t fixture = {0};

	add_server(&fixture, 1, 5);
	add_server(&fixture, 1, 7);
	add_end(&fixture, 1, 600);
	add_unit(&fixture, 1)->left_ms = (int64_t)RUN_MS * 2;
	add_unit(&fixture, 1)->left_ms = (int64_t)RUN_MS * 2;
	CU_ASSERT_EQUAL(run(&fixture), 1);
}

/**
 * Guards against: work is stopped on slow servers, where the urgent work is
 * late all the same. A guaranteed unit takes them if there are no others.
 */
static void work_is_stopped_where_the_unit_is_in_time(void)
{
	for (unsigned guaranteed = 0; guaranteed < 2; guaranteed++) {
		mt_fixture_t fixture = {0};

		add_server(&fixture, 0.6, 5);
		add_server(&fixture, 1.6, 7);
		add_unit(&fixture, 1)->guaranteed = guaranteed;
		CU_ASSERT_EQUAL(run(&fixture), 2);
		fixture = (mt_fixture_t){0};
		add_server(&fixture, 0.6, 5);
		add_server(&fixture, 1.6, 7);
		fixture.plan.n_victims = 1;
		add_unit(&fixture, 1)->guaranteed = guaranteed;
		CU_ASSERT_EQUAL(run(&fixture), guaranteed);
	}
}

/** Hash of the plans with limits on the cost and with ends, or without. */
static uint64_t hash_guaranteed(bool limited)
{
	mt_random_plan_size_t size = {100, 20, 800};
	uint64_t hash = 0;

	for (uint32_t seed = 0; seed < N_RANDOM_PLANS; seed++) {
		mt_random_plan_t random_plan;
		mt_plan_t *plan = &random_plan.plan;

		mt_random_plan_open(&random_plan, seed, &size);
		for (uint32_t i = 0; i < plan->n_units; i++) {
			mt_plan_unit_t *unit = &plan->units[i];

			unit->guaranteed = unit->priority == 0;
			unit->cost_max = limited ? 1 : 0;
		}
		plan->ends = g_new0(mt_plan_end_t, size.n_victims + 1);
		for (uint32_t i = 0; limited && i < plan->n_victims; i++) {
			mt_plan_end_t end = {plan->victims[i].server,
					     plan->victims[i].amount, i, i + 1,
					     false};

			plan->ends[plan->n_ends++] = end;
		}
		mt_plan_run(plan);
		hash = mt_random_plan_hash(plan, hash);
		g_free(plan->ends);
		mt_random_plan_close(&random_plan);
	}
	return hash;
}

/** Guards against: a guarantee is not reclaimed since it costs too much. */
static void guaranteed_units_ignore_cost_and_ends(void)
{
	CU_ASSERT_EQUAL(hash_guaranteed(true), hash_guaranteed(false));
}

/* The cost of a run, by the planner. */

/** Adds a running task of priority 2 that uses half of a server. */
static mt_dag_task_t *add_half(mt_engine_fixture_t *fixture, uint64_t job,
			       uint32_t count, unsigned server,
			       mt_ms_t placed_at)
{
	mt_dag_step_t *step = mt_first_step(
		mt_engine_fixture_add_job(fixture, job, 2, count));

	((MtDag__Step *)step->spec)->gpu = MT_ENGINE_FIXTURE_GPU / 2;
	for (uint32_t i = 0; i < count; i++) {
		mt_dag_task_place(mt_task_of(step, i),
				  fixture->servers[(server + i) % 2], 1,
				  placed_at);
		mt_task_of(step, i)->phase = MT_TASK_PHASE_RUNNING;
	}
	return mt_task_of(step, 0);
}

/** Adds an urgent job, and runs a pass. True if the task is stopped for it. */
static bool is_stopped(mt_engine_fixture_t *fixture, const mt_dag_task_t *task)
{
	mt_dag_step_t *step =
		mt_first_step(mt_engine_fixture_add_job(fixture, 99, 0, 1));

	((MtDag__Step *)step->spec)->gpu = MT_ENGINE_FIXTURE_GPU / 2;
	mt_planner_run(fixture->engine);
	return !task->server || task->stop_wanted;
}

/**
 * Guards against: a gang is stopped, as one of its members costs less than a
 * single task, and the work of all its members is lost.
 */
static void the_cost_of_a_gang_includes_all_members(void)
{
	for (unsigned listed = 0; listed < 2; listed++) {
		mt_engine_fixture_t fixture;
		mt_dag_task_t *single;

		mt_engine_fixture_open(&fixture);
		add_half(&fixture, 1, 2, 0, 9000);
		single = add_half(&fixture, 2, 1, 0, 8500);
		add_half(&fixture, 3, 1, 1, 1000);
		fixture.servers[1]->listed = listed;
		CU_ASSERT_TRUE(is_stopped(&fixture, single));
		mt_engine_fixture_close(&fixture);
	}
}

/**
 * Guards against: a long-running step is refused room, as its estimated run
 * time makes it look like little work.
 */
static void a_long_running_step_may_preempt_at_any_cost(void)
{
	for (unsigned lasting = 0; lasting < 2; lasting++) {
		mt_engine_fixture_t fixture;
		mt_dag_task_t *task;
		mt_dag_step_t *step;

		mt_engine_fixture_open(&fixture);
		fixture.servers[1]->listed = false;
		add_half(&fixture, 1, 1, 0, 1000)->n_preemptions = 9;
		task = add_half(&fixture, 2, 1, 0, 1000);
		task->n_preemptions = 8;
		step = mt_first_step(
			mt_engine_fixture_add_job(&fixture, 3, 0, 1));
		((MtDag__Step *)step->spec)->gpu = MT_ENGINE_FIXTURE_GPU / 2;
		((MtDag__Step *)step->spec)->lasting = lasting;
		mt_planner_run(fixture.engine);
		CU_ASSERT_EQUAL(task->server == NULL, lasting);
		mt_engine_fixture_close(&fixture);
	}
}

/** Two tasks on one server; the second is stopped if they cost the same but for
 * what the test changes in the first. */
typedef void (*mt_change_cb)(mt_dag_task_t *first, mt_dag_task_t *second);

static bool first_is_spared(mt_change_cb change)
{
	mt_engine_fixture_t fixture;
	mt_dag_task_t *first;
	mt_dag_task_t *second;
	bool stopped;

	mt_engine_fixture_open(&fixture);
	fixture.servers[1]->listed = false;
	first = add_half(&fixture, 1, 1, 0, 9000);
	second = add_half(&fixture, 2, 1, 0, 9000);
	if (change)
		change(first, second);
	stopped = is_stopped(&fixture, second);
	mt_engine_fixture_close(&fixture);
	return stopped;
}

static void preempt_before(mt_dag_task_t *first, mt_dag_task_t *second)
{
	first->n_preemptions = 1;
}

static void let_progress(mt_dag_task_t *first, mt_dag_task_t *second)
{
	first->percent = 90;
}

static void save_second(mt_dag_task_t *first, mt_dag_task_t *second)
{
	((MtDag__Step *)first->step->spec)->checkpointing = true;
	((MtDag__Step *)second->step->spec)->checkpointing = true;
	mt_dag_task_save_checkpoint(second, mt_str_from("a"), 9900);
}

/** The first job would be late after a stop; the second has time. */
static void shorten_objective(mt_dag_task_t *first, mt_dag_task_t *second)
{
	first->step->job->queue.objective_extra_ms = 6500;
	second->step->job->queue.objective_extra_ms = 60000;
}

/** Guards against: the same runs are stopped again and again, or near their
 * end, or where their jobs get late. */
static void runs_are_spared_where_a_stop_costs_more(void)
{
	CU_ASSERT_FALSE(first_is_spared(NULL));
	CU_ASSERT_TRUE(first_is_spared(preempt_before));
	CU_ASSERT_TRUE(first_is_spared(let_progress));
	CU_ASSERT_TRUE(first_is_spared(save_second));
	CU_ASSERT_TRUE(first_is_spared(shorten_objective));
}

/**
 * Guards against: a unit waits for the end of a run that was preempted for an
 * earlier unit, whose resources are reserved for that unit.
 */
static void a_preempted_run_is_not_awaited(void)
{
	for (uint32_t same_run = 0; same_run < 2; same_run++) {
		mt_fixture_t fixture = {0};

		add_server(&fixture, 1, 5);
		add_end(&fixture, 0, 100);
		fixture.ends[0].victim_plus_one = same_run;
		add_unit(&fixture, 1)->guaranteed = true;
		add_unit(&fixture, 1)->left_ms = 100 * RUN_MS;
		CU_ASSERT_EQUAL(run(&fixture), 1);
		CU_ASSERT_EQUAL(fixture.plan.n_awaiting, !same_run);
	}
}

const mt_test_t mt_plan_preempt_tests[] = {
	{"only the tasks left over need room",
	 only_the_tasks_left_over_need_room},
	{"a task just placed counts on its server",
	 a_task_just_placed_counts_on_its_server},
	{"a preemption costs no more than it gains",
	 a_preemption_costs_no_more_than_it_gains},
	{"a unit waits for runs that end in time",
	 a_unit_waits_for_runs_that_end_in_time},
	{"a run that ends is waited for once",
	 a_run_that_ends_is_waited_for_once},
	{"work is stopped where the unit is in time",
	 work_is_stopped_where_the_unit_is_in_time},
	{"guaranteed units ignore cost and ends",
	 guaranteed_units_ignore_cost_and_ends},
	{"the cost of a gang includes all members",
	 the_cost_of_a_gang_includes_all_members},
	{"a long-running step may preempt at any cost",
	 a_long_running_step_may_preempt_at_any_cost},
	{"runs are spared where a stop costs more",
	 runs_are_spared_where_a_stop_costs_more},
	{"a preempted run is not awaited", a_preempted_run_is_not_awaited},
	{NULL, NULL},
};
