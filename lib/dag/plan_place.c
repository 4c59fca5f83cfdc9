/** @file plan_place.c Placement of the tasks of one unit on free servers. */
#include "dag/plan_internal.h"

#include <stdlib.h>

typedef struct mt_server_fit_t {
	uint32_t server; /**< index into mt_plan_t.servers */
	uint32_t fit;	 /**< number of tasks that fit on the server */
	/** What is left once `fit` tasks are placed, see mt_plan_left_over().
	 */
	double left_over;
	uint32_t penalty;    /**< see mt_plan_server_t.penalty */
	uint32_t speed_rank; /**< see mt_speed_rank() */
} mt_server_fit_t;

/**
 * Sorts by penalty, then by speed, then by best fit: servers with the least
 * left over come first, so that other servers stay entirely free.
 */
static int compare_server_fits(const void *a, const void *b)
{
	const mt_server_fit_t *x = a;
	const mt_server_fit_t *y = b;

	if (x->penalty != y->penalty)
		return x->penalty < y->penalty ? -1 : 1;
	if (x->speed_rank != y->speed_rank)
		return x->speed_rank < y->speed_rank ? -1 : 1;
	if (x->left_over != y->left_over)
		return x->left_over < y->left_over ? -1 : 1;
	return x->server < y->server ? -1 : x->server > y->server;
}

/** What is left over on the server once `fit` tasks are placed there. */
static double left_over_on(const mt_scope_t *scope, uint32_t server,
			   uint32_t fit)
{
	mt_dag_resources_t left = mt_scope_available_on(scope, server);
	const mt_dag_resources_t *need = &scope->unit->need;
	mt_dag_resources_t used = {need->cpu_milli * fit, need->mem_mb * fit,
				   need->gpu * fit};

	mt_dag_resources_subtract(&left, &used);
	return mt_plan_left_over(scope->plan, server, &left);
}

uint32_t mt_plan_assign_servers(const mt_scope_t *scope, uint32_t *chosen,
				uint32_t count)
{
	mt_server_fit_t *fits =
		g_new(mt_server_fit_t, scope->server_set->n_servers);
	mt_speed_preference_t preference =
		mt_speed_preference_of(&scope->index->classes, scope->unit);
	uint32_t n = 0;
	uint32_t n_assigned = 0;

	for (uint32_t i = 0; i < scope->server_set->n_servers; i++) {
		uint32_t server = scope->server_set->servers[i];
		mt_server_fit_t server_fit = {
			server, 0, 0, scope->plan->servers[server].penalty, 0};

		if (!mt_scope_allows(scope, server))
			continue;
		server_fit.fit =
			MIN(mt_scope_fit_count_on(scope, server), count);
		if (!server_fit.fit)
			continue;
		server_fit.left_over =
			left_over_on(scope, server, server_fit.fit);
		server_fit.speed_rank =
			mt_speed_rank(scope, &preference, server);
		fits[n++] = server_fit;
	}
	if (n)
		qsort(fits, n, sizeof(*fits), compare_server_fits);
	for (uint32_t i = 0; i < n && n_assigned < count; i++) {
		for (uint32_t k = 0; k < fits[i].fit && n_assigned < count; k++)
			chosen[n_assigned++] = fits[i].server;
	}
	g_free(fits);
	return n_assigned;
}

void mt_plan_allocate(mt_plan_t *plan, const mt_plan_unit_t *unit,
		      const uint32_t *chosen, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		mt_plan_server_t *server = &plan->servers[chosen[i]];
		mt_dag_resources_t lacking = unit->need;

		server->latency_critical =
			server->latency_critical || unit->latency_critical;
		server->runs_fillers = server->runs_fillers || unit->is_filler;
		mt_dag_resources_subtract(&lacking, &server->free);
		mt_dag_resources_subtract(&server->free, &unit->need);
		mt_dag_resources_subtract(&server->releasing, &lacking);
		if (server->is_limited)
			server->tasks_left--;
	}
}

/** Number of accelerators available within the scope. */
static uint32_t total_gpu(const mt_scope_t *scope)
{
	uint32_t gpu = 0;

	for (uint32_t i = 0; i < scope->server_set->n_servers; i++) {
		uint32_t server = scope->server_set->servers[i];

		if (mt_scope_allows(scope, server))
			gpu += mt_scope_available_on(scope, server).gpu;
	}
	return gpu;
}

const mt_server_set_t *mt_plan_find_rack_with_fewest_gpus(
	const mt_plan_t *plan, const mt_plan_index_t *index,
	const mt_plan_unit_t *unit, mt_capacity_kind_t kind)
{
	const mt_server_set_t *best = NULL;
	uint32_t best_gpu = 0;

	for (uint32_t i = 0; i < index->n_racks; i++) {
		const mt_server_set_t *rack = &index->racks[i];
		mt_scope_t scope = {plan, index, unit, rack, kind, NULL};
		uint32_t gpu;

		if (unit->data_rack && rack->name != unit->data_rack)
			continue;
		if (mt_scope_fit_count(&scope) < unit->count)
			continue;
		gpu = total_gpu(&scope);
		if (!best || gpu < best_gpu) {
			best = rack;
			best_gpu = gpu;
		}
	}
	return best;
}

/**
 * Places tasks of the unit on the servers of the set; a gang is placed as a
 * whole or not at all.
 * @return true if all tasks were placed
 */
static bool place_within(mt_plan_t *plan, const mt_plan_index_t *index,
			 mt_plan_unit_t *unit,
			 const mt_server_set_t *server_set)
{
	mt_scope_t scope = {plan, index, unit, server_set, MT_CAPACITY_FREE,
			    NULL};
	uint32_t fit_count = MIN(mt_scope_fit_count(&scope), unit->count);
	uint32_t n_assigned;

	if (!fit_count || (unit->is_gang && fit_count < unit->count))
		return false;
	if (!unit->chosen)
		unit->chosen = g_new(uint32_t, fit_count);
	n_assigned = mt_plan_assign_servers(&scope, unit->chosen, fit_count);
	mt_plan_allocate(plan, unit, unit->chosen, n_assigned);
	unit->placed = n_assigned;
	return n_assigned == unit->count;
}

/**
 * Places a gang on servers of similar speed, see mt_plan_choose_by_speed().
 * @return true if it was placed
 */
static bool place_by_speed(const mt_plan_run_t *run, mt_plan_unit_t *unit,
			   bool one_rack)
{
	mt_server_set_t chosen;
	bool placed;

	if (!mt_plan_choose_by_speed(run->plan, run->index, unit, one_rack,
				     &chosen))
		return false;
	placed = place_within(run->plan, run->index, unit, &chosen);
	g_free((uint32_t *)chosen.servers);
	return placed;
}

bool mt_plan_chooses_by_speed(const mt_plan_run_t *run,
			      const mt_plan_unit_t *unit)
{
	return unit->is_gang && mt_speed_classes_differ(&run->index->classes);
}

bool mt_plan_place_in_rack(const mt_plan_run_t *run, mt_plan_unit_t *unit)
{
	const mt_server_set_t *rack;

	if (mt_plan_chooses_by_speed(run, unit))
		return place_by_speed(run, unit, true);
	rack = mt_plan_find_rack_with_fewest_gpus(run->plan, run->index, unit,
						  MT_CAPACITY_FREE);
	if (rack)
		return place_within(run->plan, run->index, unit, rack);
	rack = mt_plan_index_rack(run->index, unit->data_rack);
	if (!unit->is_gang && rack && !unit->same_rack)
		place_within(run->plan, run->index, unit, rack);
	return false;
}

bool mt_plan_place_anywhere(const mt_plan_run_t *run, mt_plan_unit_t *unit)
{
	if (mt_plan_chooses_by_speed(run, unit))
		return place_by_speed(run, unit, false);
	return place_within(run->plan, run->index, unit, &run->index->all);
}
