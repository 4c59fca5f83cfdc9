/**
 * @file test_plan_speed.c
 * Tests of placement by speed. The load is that of a deployment whose servers
 * run at 0.6, 1.0 and 1.6 times the usual speed, in racks of 20, with urgent
 * gangs, large gangs that can wait, and wide steps of single tasks.
 */
#include <CUnit/Basic.h>

#include "unit/random_plan.h"
#include "unit/tests.h"

#define SERVERS_MAX 60u
#define TASKS_MAX 40u
#define RUN_MS 10000u
#define N_RANDOM_PLANS 300u

/** Start value of the hash FNV-1a. */
#define FNV_BASIS 14695981039346656037u

/** Hashes of the random plans, computed before plans used speeds. */
#define HASH_WITHOUT_VICTIMS 0x0037d8996d8315e4u
#define HASH_WITH_VICTIMS 0x2670e2043cc49a30u

/** A plan of one unit, whose tasks need a whole server each. */
typedef struct mt_fixture_t {
	mt_plan_server_t servers[SERVERS_MAX];
	mt_plan_unit_t unit;
	uint32_t chosen[TASKS_MAX];
	mt_plan_t plan;
} mt_fixture_t;

static void open_fixture(mt_fixture_t *fixture, uint32_t priority,
			 uint32_t count, bool is_gang)
{
	*fixture = (mt_fixture_t){0};
	fixture->unit.need = (mt_dag_resources_t){52000, 140000, 8};
	fixture->unit.count = count;
	fixture->unit.is_gang = is_gang;
	fixture->unit.priority = priority;
	fixture->unit.run_ms = RUN_MS;
	fixture->unit.left_ms = 3 * (int64_t)RUN_MS;
	fixture->unit.chosen = fixture->chosen;
}

static void add_servers(mt_fixture_t *fixture, uint32_t count, double speed,
			const char *rack)
{
	for (uint32_t i = 0; i < count; i++) {
		mt_plan_server_t *server =
			&fixture->servers[fixture->plan.n_servers++];

		server->free = (mt_dag_resources_t){128000, 262144, 8};
		server->room = server->free;
		server->speed = speed;
		server->rack = g_quark_from_string(rack);
	}
}

/** Runs the plan; returns the number of tasks on servers of this speed. */
static uint32_t run_and_count(mt_fixture_t *fixture, double speed)
{
	uint32_t count = 0;

	fixture->plan.servers = fixture->servers;
	fixture->plan.units = &fixture->unit;
	fixture->plan.n_units = 1;
	mt_plan_run(&fixture->plan);
	for (uint32_t i = 0; i < fixture->unit.placed; i++)
		count += fixture->servers[fixture->chosen[i]].speed == speed;
	return count;
}

/** Adds three racks in each of which the three speeds alternate. */
static void add_mixed_racks(mt_fixture_t *fixture)
{
	static const char *const racks[] = {"r1", "r2", "r3"};

	for (uint32_t i = 0; i < G_N_ELEMENTS(racks); i++) {
		for (uint32_t k = 0; k < 6; k++) {
			add_servers(fixture, 1, 1.0, racks[i]);
			add_servers(fixture, 1, 0.6, racks[i]);
			add_servers(fixture, 1, 1.6, racks[i]);
		}
	}
}

/* Equal speeds. */

static uint64_t hash_random_plans(uint32_t n_victims, double speed)
{
	mt_random_plan_size_t size = {100, 30, n_victims};
	uint64_t hash = FNV_BASIS;

	for (uint32_t seed = 0; seed < N_RANDOM_PLANS; seed++) {
		mt_random_plan_t random_plan;

		mt_random_plan_open(&random_plan, seed, &size);
		for (uint32_t i = 0; i < size.n_servers; i++)
			random_plan.plan.servers[i].speed = speed;
		mt_plan_run(&random_plan.plan);
		hash = mt_random_plan_hash(&random_plan.plan, hash);
		mt_random_plan_close(&random_plan);
	}
	return hash;
}

/** Guards against: deployments with equal servers get other plans. */
static void equal_speeds_change_no_plan(void)
{
	static const double speeds[] = {0, 1.0, 1.3};

	for (uint32_t i = 0; i < G_N_ELEMENTS(speeds); i++) {
		CU_ASSERT_EQUAL(hash_random_plans(0, speeds[i]),
				HASH_WITHOUT_VICTIMS);
		CU_ASSERT_EQUAL(hash_random_plans(400, speeds[i]),
				HASH_WITH_VICTIMS);
	}
}

/* Gangs. */

/**
 * Guards against: fast members of a large gang wait for slow ones, so that most
 * of their capacity is lost.
 */
static void a_gang_on_mixed_racks_gets_like_speeds(void)
{
	for (unsigned same_rack = 0; same_rack < 2; same_rack++) {
		mt_fixture_t fixture;

		open_fixture(&fixture, 1, 6, true);
		fixture.unit.same_rack = same_rack;
		add_mixed_racks(&fixture);
		CU_ASSERT_EQUAL(run_and_count(&fixture, 0.6), 6);
	}
}

/** Guards against: an urgent gang ends late on slow servers. */
static void an_urgent_gang_gets_the_fast_servers(void)
{
	for (unsigned same_rack = 0; same_rack < 2; same_rack++) {
		mt_fixture_t fixture;

		open_fixture(&fixture, 0, 6, true);
		fixture.unit.same_rack = same_rack;
		add_mixed_racks(&fixture);
		CU_ASSERT_EQUAL(run_and_count(&fixture, 1.6), 6);
	}
}

/** Guards against: a gang is placed on slow servers and misses its objective.
 */
static void a_gang_with_little_time_left_takes_faster_servers(void)
{
	mt_fixture_t fixture;

	open_fixture(&fixture, 1, 6, true);
	fixture.unit.left_ms = RUN_MS * 3 / 2;
	add_mixed_racks(&fixture);
	CU_ASSERT_EQUAL(run_and_count(&fixture, 1.0), 6);
	open_fixture(&fixture, 1, 6, true);
	fixture.unit.left_ms = RUN_MS;
	add_mixed_racks(&fixture);
	CU_ASSERT_EQUAL(run_and_count(&fixture, 1.6), 6);
}

/** Guards against: work that is late anyway takes the fast servers. */
static void a_gang_that_cannot_be_in_time_leaves_fast_servers_free(void)
{
	mt_fixture_t fixture;

	open_fixture(&fixture, 1, 6, true);
	fixture.unit.left_ms = -1;
	add_mixed_racks(&fixture);
	CU_ASSERT_EQUAL(run_and_count(&fixture, 0.6), 6);
}

/**
 * A rack with few servers of each speed: the urgent gang takes the set whose
 * slowest member is fastest, and no more fast servers than necessary.
 */
static void an_urgent_gang_in_one_rack_mixes_the_fastest(void)
{
	mt_fixture_t fixture;

	open_fixture(&fixture, 0, 8, true);
	fixture.unit.same_rack = true;
	add_mixed_racks(&fixture);
	CU_ASSERT_EQUAL(run_and_count(&fixture, 1.0), 6);
	CU_ASSERT_EQUAL(fixture.unit.placed, 8);
	for (uint32_t i = 0; i < 8; i++)
		CU_ASSERT(fixture.servers[fixture.chosen[i]].speed >= 1.0);
}

/**
 * Guards against: a server that has failed a run, or is cold, is used again
 * since it is fast.
 */
static void a_fast_server_with_a_penalty_is_not_preferred(void)
{
	mt_fixture_t fixture;

	open_fixture(&fixture, 0, 2, true);
	add_servers(&fixture, 2, 1.6, "r1");
	add_servers(&fixture, 2, 1.0, "r1");
	fixture.servers[0].penalty = 1;
	CU_ASSERT_EQUAL(run_and_count(&fixture, 1.0), 2);
	open_fixture(&fixture, 0, 3, true);
	add_servers(&fixture, 2, 1.6, "r1");
	add_servers(&fixture, 1, 1.0, "r1");
	fixture.servers[0].penalty = 1;
	CU_ASSERT_EQUAL(run_and_count(&fixture, 1.6), 2);
}

/* Single tasks. */

/** Guards against: wide steps take the servers that urgent gangs need. */
static void single_tasks_take_the_slowest_that_are_in_time(void)
{
	mt_fixture_t fixture;

	open_fixture(&fixture, 2, 10, false);
	add_mixed_racks(&fixture);
	CU_ASSERT_EQUAL(run_and_count(&fixture, 0.6), 10);
	open_fixture(&fixture, 2, 30, false);
	fixture.unit.left_ms = RUN_MS * 3 / 2;
	add_mixed_racks(&fixture);
	CU_ASSERT_EQUAL(run_and_count(&fixture, 1.0), 18);
	CU_ASSERT_EQUAL(fixture.servers[fixture.chosen[0]].speed, 1.0);
	CU_ASSERT_EQUAL(fixture.servers[fixture.chosen[18]].speed, 1.6);
}

static void urgent_single_tasks_take_the_fastest(void)
{
	mt_fixture_t fixture;

	open_fixture(&fixture, 0, 20, false);
	add_mixed_racks(&fixture);
	CU_ASSERT_EQUAL(run_and_count(&fixture, 1.6), 18);
	CU_ASSERT_EQUAL(fixture.servers[fixture.chosen[0]].speed, 1.6);
	CU_ASSERT_EQUAL(fixture.servers[fixture.chosen[19]].speed, 1.0);
}

/** Servers of one class are filled by best fit, as servers of equal speed. */
static void a_small_difference_of_speed_does_not_change_the_order(void)
{
	mt_fixture_t fixture;

	open_fixture(&fixture, 2, 1, false);
	fixture.unit.need.gpu = 1;
	add_servers(&fixture, 1, 0.60, "r1");
	add_servers(&fixture, 1, 0.64, "r1");
	add_servers(&fixture, 1, 1.60, "r1");
	fixture.servers[1].free.gpu = 2;
	CU_ASSERT_EQUAL(run_and_count(&fixture, 0.64), 1);
}

/* Random plans. */

/** Number of tasks of the first unit that are placed. */
static uint32_t n_first_placed(uint32_t seed, uint32_t n_victims, bool uneven,
			       bool *preempts)
{
	mt_random_plan_size_t size = {100, 1, n_victims};
	mt_random_plan_t random_plan;
	mt_plan_t *plan = &random_plan.plan;
	uint32_t placed;

	mt_random_plan_open(&random_plan, seed, &size);
	if (uneven)
		mt_random_plan_make_uneven(&random_plan);
	mt_plan_run(plan);
	placed = plan->units[0].placed;
	*preempts = false;
	for (uint32_t i = 0; i < plan->n_victims; i++)
		*preempts = *preempts || plan->victims[i].preempted;
	mt_random_plan_close(&random_plan);
	return placed;
}

/**
 * Guards against: a unit waits, or a guaranteed unit does not preempt, since
 * the servers differ in speed.
 */
static void speeds_make_no_unit_wait(void)
{
	for (uint32_t seed = 0; seed < N_RANDOM_PLANS; seed++) {
		uint32_t n_victims = 300 + seed * 4;
		bool preempts;
		bool preempts_uneven;
		uint32_t placed =
			n_first_placed(seed, n_victims, false, &preempts);

		CU_ASSERT_EQUAL(
			n_first_placed(seed, n_victims, true, &preempts_uneven),
			placed);
		CU_ASSERT_EQUAL(preempts_uneven, preempts);
	}
}

/* Faster servers for a gang that would be late. */

#define BUSY_SERVERS 6u
#define GANG_TASKS 4u

/** A rack with free slow servers and fast ones that run other tasks. */
typedef struct mt_busy_rack_t {
	mt_fixture_t base;
	mt_plan_victim_t victims[BUSY_SERVERS];
} mt_busy_rack_t;

/** @param cost of stopping the task on a fast server */
static void open_busy_rack(mt_busy_rack_t *rack, double cost)
{
	open_fixture(&rack->base, 0, GANG_TASKS, true);
	rack->base.unit.same_rack = true;
	rack->base.unit.guaranteed = true;
	rack->base.unit.may_preempt = true;
	rack->base.unit.may_wait_for_speed = true;
	rack->base.unit.reserves = true;
	rack->base.unit.left_ms = 3 * RUN_MS / 2;
	rack->base.unit.cost_max = 100;
	add_servers(&rack->base, BUSY_SERVERS, 0.6, "r1");
	add_servers(&rack->base, BUSY_SERVERS, 1.6, "r1");
	for (uint32_t i = 0; i < BUSY_SERVERS; i++) {
		mt_plan_server_t *server =
			&rack->base.servers[BUSY_SERVERS + i];

		rack->victims[i] = (mt_plan_victim_t){
			.server = BUSY_SERVERS + i,
			.group = i,
			.amount = server->free,
			.priority = 2,
			.cost = cost,
		};
		server->free = (mt_dag_resources_t){0};
	}
	rack->base.plan.victims = rack->victims;
	rack->base.plan.n_victims = BUSY_SERVERS;
}

static uint32_t count_preempted(const mt_busy_rack_t *rack)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < BUSY_SERVERS; i++)
		n += rack->victims[i].preempted;
	return n;
}

/**
 * Guards against: urgent gangs are late on the slow servers that are free,
 * while tasks that can wait run on the fast ones.
 */
static void an_urgent_gang_preempts_on_fast_servers(void)
{
	mt_busy_rack_t rack;

	open_busy_rack(&rack, 10);
	run_and_count(&rack.base, 1.6);
	CU_ASSERT_EQUAL(rack.base.unit.placed, 0);
	CU_ASSERT_EQUAL(count_preempted(&rack), GANG_TASKS);
	CU_ASSERT_EQUAL(rack.base.plan.n_awaiting_speed, 1);
}

/** Guards against: more work is lost than the urgent gang gains. */
static void a_costly_preemption_for_speed_is_refused(void)
{
	mt_busy_rack_t rack;

	open_busy_rack(&rack, 30);
	CU_ASSERT_EQUAL(run_and_count(&rack.base, 0.6), GANG_TASKS);
	CU_ASSERT_EQUAL(count_preempted(&rack), 0);
}

/**
 * Guards against: each plan preempts again while the tasks that the last one
 * has preempted are being stopped.
 */
static void a_gang_waits_for_fast_room_that_is_released(void)
{
	mt_busy_rack_t rack;

	open_busy_rack(&rack, 10);
	for (uint32_t i = 0; i < GANG_TASKS; i++)
		rack.base.servers[BUSY_SERVERS + i].releasing =
			rack.victims[i].amount;
	run_and_count(&rack.base, 1.6);
	CU_ASSERT_EQUAL(rack.base.unit.placed, 0);
	CU_ASSERT_EQUAL(count_preempted(&rack), 0);
}

/**
 * Guards against: a guaranteed gang waits too long for fast servers, or a gang
 * that is in time on the free servers, or late on all, waits at all.
 */
static void a_gang_does_not_wait_for_speed_in_vain(void)
{
	mt_busy_rack_t rack;

	open_busy_rack(&rack, 10);
	rack.base.unit.may_wait_for_speed = false;
	CU_ASSERT_EQUAL(run_and_count(&rack.base, 0.6), GANG_TASKS);
	open_busy_rack(&rack, 10);
	rack.base.unit.left_ms = 3 * RUN_MS;
	CU_ASSERT_EQUAL(run_and_count(&rack.base, 0.6), GANG_TASKS);
	open_busy_rack(&rack, 10);
	rack.base.unit.left_ms = RUN_MS / 2;
	CU_ASSERT_EQUAL(run_and_count(&rack.base, 0.6), GANG_TASKS);
	CU_ASSERT_EQUAL(count_preempted(&rack), 0);
}

const mt_test_t mt_plan_speed_tests[] = {
	{"equal speeds change no plan", equal_speeds_change_no_plan},
	{"a gang on mixed racks gets like speeds",
	 a_gang_on_mixed_racks_gets_like_speeds},
	{"an urgent gang gets the fast servers",
	 an_urgent_gang_gets_the_fast_servers},
	{"a gang with little time left takes faster servers",
	 a_gang_with_little_time_left_takes_faster_servers},
	{"a gang that cannot be in time leaves fast servers free",
	 a_gang_that_cannot_be_in_time_leaves_fast_servers_free},
	{"an urgent gang in one rack mixes the fastest",
	 an_urgent_gang_in_one_rack_mixes_the_fastest},
	{"a fast server with a penalty is not preferred",
	 a_fast_server_with_a_penalty_is_not_preferred},
	{"single tasks take the slowest that are in time",
	 single_tasks_take_the_slowest_that_are_in_time},
	{"urgent single tasks take the fastest",
	 urgent_single_tasks_take_the_fastest},
	{"a small difference of speed does not change the order",
	 a_small_difference_of_speed_does_not_change_the_order},
	{"speeds make no unit wait", speeds_make_no_unit_wait},
	{"an urgent gang preempts on fast servers",
	 an_urgent_gang_preempts_on_fast_servers},
	{"a costly preemption for speed is refused",
	 a_costly_preemption_for_speed_is_refused},
	{"a gang waits for fast room that is released",
	 a_gang_waits_for_fast_room_that_is_released},
	{"a gang does not wait for speed in vain",
	 a_gang_does_not_wait_for_speed_in_vain},
	{NULL, NULL},
};
