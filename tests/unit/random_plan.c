/** @file random_plan.c Random placement plans. */
#include "unit/random_plan.h"

#define SERVER_CPU_MILLI 128000u
#define SERVER_MEM_MB 262144u
#define SERVER_GPU 8u

/** Every so many servers, one has failed a run. */
#define PENALTY_EVERY 40

#define FNV_PRIME 1099511628211u

static uint32_t below(GRand *random, uint32_t end)
{
	return (uint32_t)g_rand_int_range(random, 0, (gint32)end);
}

static void add_server(mt_random_plan_t *random_plan, uint32_t index)
{
	mt_plan_server_t *server = &random_plan->plan.servers[index];
	char rack[16];

	g_snprintf(rack, sizeof(rack), "rack-%u",
		   index / MT_RANDOM_PLAN_RACK_SIZE);
	server->rack = g_quark_from_string(rack);
	server->room = (mt_dag_resources_t){SERVER_CPU_MILLI, SERVER_MEM_MB,
					    SERVER_GPU};
	server->free = server->room;
	server->penalty = !below(random_plan->random, PENALTY_EVERY);
}

/** The resources of a task of an urgent gang, a large gang or a wide step. */
static mt_dag_resources_t task_need(GRand *random, uint32_t priority)
{
	static const mt_dag_resources_t needs[] = {
		{15000, 22000, 0}, {52000, 140000, 0}, {11000, 23000, 1}};
	mt_dag_resources_t need = needs[priority];

	if (!need.gpu)
		need.gpu = 1u << below(random, 3);
	return need;
}

static void add_unit(mt_random_plan_t *random_plan, uint32_t index)
{
	static const uint32_t count_max[] = {10, 26, 78};
	static const uint32_t run_ms[] = {2100, 9400, 5200};
	GRand *random = random_plan->random;
	mt_plan_unit_t *unit = &random_plan->plan.units[index];
	uint32_t priority = below(random, 3);

	unit->priority = priority;
	unit->need = task_need(random, priority);
	unit->count = 1 + below(random, count_max[priority]);
	unit->is_gang = priority < 2;
	unit->same_rack = unit->is_gang && below(random, 10) < 7;
	unit->guaranteed = !priority && below(random, 2);
	unit->may_preempt = !priority;
	unit->reserves = !priority || below(random, 4) == 0;
	unit->reservation_limited = unit->reserves && priority;
	unit->overdue = below(random, 20) == 0;
	unit->run_ms = run_ms[priority];
	unit->left_ms = 3 * run_ms[priority];
	unit->chosen = g_new(uint32_t, unit->count);
}

/** Adds a placed task, if the server has room for it. */
static void add_victim(mt_random_plan_t *random_plan, uint32_t group,
		       uint32_t priority)
{
	GRand *random = random_plan->random;
	mt_plan_t *plan = &random_plan->plan;
	mt_plan_victim_t *victim = &plan->victims[plan->n_victims];
	mt_plan_server_t *server;

	victim->server = below(random, plan->n_servers);
	server = &plan->servers[victim->server];
	victim->group = group;
	victim->priority = priority;
	victim->amount = task_need(random, priority);
	victim->cost = 1 + below(random, 400);
	if (!mt_dag_resources_fit(&victim->amount, &server->free))
		return;
	mt_dag_resources_subtract(&server->free, &victim->amount);
	plan->n_victims++;
}

void mt_random_plan_open(mt_random_plan_t *random_plan, uint32_t seed,
			 const mt_random_plan_size_t *size)
{
	mt_plan_t *plan = &random_plan->plan;

	*random_plan = (mt_random_plan_t){0};
	random_plan->random = g_rand_new_with_seed(seed);
	plan->n_servers = size->n_servers;
	plan->n_units = size->n_units;
	plan->reservations_max = 2;
	plan->servers = g_new0(mt_plan_server_t, size->n_servers + 1);
	plan->units = g_new0(mt_plan_unit_t, size->n_units + 1);
	plan->victims = g_new0(mt_plan_victim_t, size->n_victims + 1);
	for (uint32_t i = 0; i < size->n_servers; i++)
		add_server(random_plan, i);
	for (uint32_t i = 0, group = 1; i < size->n_victims; i++) {
		uint32_t priority = 1 + below(random_plan->random, 2);

		group += priority == 2 || !below(random_plan->random, 6);
		add_victim(random_plan, group, priority);
	}
	for (uint32_t i = 0; i < size->n_units; i++)
		add_unit(random_plan, i);
}

void mt_random_plan_close(mt_random_plan_t *random_plan)
{
	mt_plan_t *plan = &random_plan->plan;

	for (uint32_t i = 0; i < plan->n_units; i++)
		g_free(plan->units[i].chosen);
	g_free(plan->units);
	g_free(plan->servers);
	g_free(plan->victims);
	g_rand_free(random_plan->random);
}

void mt_random_plan_make_uneven(mt_random_plan_t *random_plan)
{
	static const double speeds[] = {0.6, 1.0, 1.6};

	for (uint32_t i = 0; i < random_plan->plan.n_servers; i++)
		random_plan->plan.servers[i].speed =
			speeds[below(random_plan->random, 3)] *
			g_rand_double_range(random_plan->random, 0.93, 1.07);
}

static uint64_t add_to_hash(uint64_t hash, uint32_t value)
{
	return (hash ^ value) * FNV_PRIME;
}

uint64_t mt_random_plan_hash(const mt_plan_t *plan, uint64_t hash)
{
	for (uint32_t i = 0; i < plan->n_units; i++) {
		const mt_plan_unit_t *unit = &plan->units[i];

		hash = add_to_hash(hash, unit->placed);
		for (uint32_t k = 0; k < unit->placed; k++)
			hash = add_to_hash(hash, unit->chosen[k]);
	}
	for (uint32_t i = 0; i < plan->n_victims; i++)
		hash = add_to_hash(hash, plan->victims[i].preempted);
	return hash;
}
