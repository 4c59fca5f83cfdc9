/**
 * @file test_plan_pack.c
 * Tests of the order in which servers are filled. The load is that of large
 * gangs whose members need over half of a server's memory, beside wide steps of
 * small single tasks.
 */
#include <CUnit/Basic.h>

#include "dag/plan.h"
#include "unit/tests.h"

#define N_SERVERS 6u
#define TASKS_MAX 8u

typedef struct mt_fixture_t {
	mt_plan_server_t servers[N_SERVERS];
	mt_plan_unit_t unit;
	uint32_t chosen[TASKS_MAX];
	mt_plan_t plan;
} mt_fixture_t;

static const mt_dag_resources_t server_room = {128000, 262144, 8};
static const mt_dag_resources_t large = {52000, 140000, 1};
static const mt_dag_resources_t small = {11000, 23000, 1};

/** The last `n_large` servers run a large task each. */
static void open_fixture(mt_fixture_t *fixture, unsigned n_large)
{
	*fixture = (mt_fixture_t){0};
	for (uint32_t i = 0; i < N_SERVERS; i++) {
		mt_plan_server_t *server = &fixture->servers[i];

		server->room = server_room;
		server->free = server_room;
		if (i >= N_SERVERS - n_large)
			mt_dag_resources_subtract(&server->free, &large);
	}
	fixture->unit.need = small;
	fixture->unit.count = TASKS_MAX;
	fixture->unit.priority = 2;
	fixture->unit.chosen = fixture->chosen;
	fixture->plan.servers = fixture->servers;
	fixture->plan.n_servers = N_SERVERS;
	fixture->plan.units = &fixture->unit;
	fixture->plan.n_units = 1;
}

/** Runs the plan; returns the number of servers with room for a large task. */
static unsigned count_room_for_large(mt_fixture_t *fixture)
{
	unsigned n = 0;

	mt_plan_weigh_resources(&fixture->plan);
	mt_plan_run(&fixture->plan);
	CU_ASSERT_EQUAL(fixture->unit.placed, TASKS_MAX);
	for (uint32_t i = 0; i < N_SERVERS; i++)
		n += mt_dag_resources_fit(&large, &fixture->servers[i].free);
	return n;
}

/**
 * Guards against: single tasks fill an empty server, where no accelerator is
 * left over then, instead of the memory beside large tasks.
 */
static void single_tasks_leave_room_for_large_ones(void)
{
	mt_fixture_t fixture;

	open_fixture(&fixture, 5);
	CU_ASSERT_EQUAL(count_room_for_large(&fixture), 1);
}

/** With little in use, or accelerators scarcest, accelerators alone count. */
static void accelerators_decide_unless_others_are_scarce(void)
{
	mt_fixture_t fixture;

	open_fixture(&fixture, 2);
	count_room_for_large(&fixture);
	CU_ASSERT_EQUAL(fixture.plan.weights.mem, 0);
	CU_ASSERT_EQUAL(fixture.chosen[0], 0);
	open_fixture(&fixture, 6);
	for (uint32_t i = 0; i < N_SERVERS; i++)
		fixture.servers[i].free.gpu = 2;
	mt_plan_weigh_resources(&fixture.plan);
	CU_ASSERT_EQUAL(fixture.plan.weights.mem, 0);
	open_fixture(&fixture, 6);
	mt_plan_weigh_resources(&fixture.plan);
	CU_ASSERT(fixture.plan.weights.mem > 0);
}

const mt_test_t mt_plan_pack_tests[] = {
	{"single tasks leave room for large ones",
	 single_tasks_leave_room_for_large_ones},
	{"accelerators decide unless others are scarce",
	 accelerators_decide_unless_others_are_scarce},
	{NULL, NULL},
};
