/** @file plan.c Greedy placement of units on servers, with preemption. */
#include "dag/plan_internal.h"

#include <stdlib.h>
#include <string.h>

bool mt_dag_resources_fit(const mt_dag_resources_t *need,
			  const mt_dag_resources_t *available)
{
	return need->cpu_milli <= available->cpu_milli &&
	       need->mem_mb <= available->mem_mb && need->gpu <= available->gpu;
}

void mt_dag_resources_add(mt_dag_resources_t *sum,
			  const mt_dag_resources_t *part)
{
	sum->cpu_milli += part->cpu_milli;
	sum->mem_mb += part->mem_mb;
	sum->gpu += part->gpu;
}

static uint32_t fit_count(uint32_t available, uint32_t need)
{
	return need ? available / need : UINT32_MAX;
}

uint32_t mt_dag_resources_fit_count(const mt_dag_resources_t *need,
				    const mt_dag_resources_t *available)
{
	return MIN(fit_count(available->cpu_milli, need->cpu_milli),
		   MIN(fit_count(available->mem_mb, need->mem_mb),
		       fit_count(available->gpu, need->gpu)));
}

static uint32_t subtract_clamped(uint32_t a, uint32_t b)
{
	return a > b ? a - b : 0;
}

void mt_dag_resources_subtract(mt_dag_resources_t *sum,
			       const mt_dag_resources_t *part)
{
	sum->cpu_milli = subtract_clamped(sum->cpu_milli, part->cpu_milli);
	sum->mem_mb = subtract_clamped(sum->mem_mb, part->mem_mb);
	sum->gpu = subtract_clamped(sum->gpu, part->gpu);
}

static bool has_label(const mt_plan_server_t *server, GQuark label)
{
	for (unsigned i = 0; i < MT_PLAN_LABELS_MAX; i++) {
		if (server->labels[i] == label)
			return true;
	}
	return false;
}

/** Fillers and tasks with a latency target do not share a server. */
static bool conflicts(const mt_plan_unit_t *unit,
		      const mt_plan_server_t *server)
{
	return (unit->is_filler && server->latency_critical) ||
	       (unit->latency_critical && server->runs_fillers);
}

bool mt_scope_allows(const mt_scope_t *scope, uint32_t server)
{
	const mt_plan_server_t *plan_server = &scope->plan->servers[server];

	if (scope->unit->allowed && !scope->unit->allowed[server])
		return false;
	if (conflicts(scope->unit, plan_server))
		return false;
	return !scope->unit->label ||
	       has_label(plan_server, scope->unit->label);
}

static mt_dag_resources_t available_on(const mt_scope_t *scope, uint32_t server)
{
	const mt_plan_server_t *plan_server = &scope->plan->servers[server];
	mt_dag_resources_t available = plan_server->free;

	if (scope->kind != MT_CAPACITY_FREE)
		mt_dag_resources_add(&available, &plan_server->releasing);
	if (scope->freed)
		mt_dag_resources_add(&available, &scope->freed[server]);
	return available;
}

/** Number of the unit's tasks that fit on one server. */
static uint32_t fit_count_on(const mt_scope_t *scope, uint32_t server)
{
	const mt_plan_unit_t *unit = scope->unit;
	mt_dag_resources_t available = available_on(scope, server);
	uint32_t fit = mt_dag_resources_fit_count(&unit->need, &available);

	if (unit->per_server_max) {
		uint32_t already_placed =
			unit->already_placed ? unit->already_placed[server] : 0;

		fit = MIN(fit, subtract_clamped(unit->per_server_max,
						already_placed));
	}
	return fit;
}

uint32_t mt_scope_fit_count(const mt_scope_t *scope)
{
	uint32_t fit = 0;

	for (uint32_t i = 0; i < scope->server_set->n_servers; i++) {
		uint32_t server = scope->server_set->servers[i];

		if (!mt_scope_allows(scope, server))
			continue;
		fit += MIN(fit_count_on(scope, server), scope->unit->count);
		if (fit >= scope->unit->count)
			return fit;
	}
	return fit;
}

typedef struct mt_server_fit_t {
	uint32_t server; /**< index into mt_plan_t.servers */
	uint32_t fit;	 /**< number of tasks that fit on the server */
	/** Number of accelerators left once `fit` tasks are placed. */
	uint32_t gpus_left;
	uint32_t penalty; /**< see mt_plan_server_t.penalty */
} mt_server_fit_t;

/**
 * Sorts by penalty, then by best fit: servers with the fewest accelerators left
 * come first, so that other servers stay entirely free.
 */
static int compare_server_fits(const void *a, const void *b)
{
	const mt_server_fit_t *x = a;
	const mt_server_fit_t *y = b;

	if (x->penalty != y->penalty)
		return x->penalty < y->penalty ? -1 : 1;
	if (x->gpus_left != y->gpus_left)
		return x->gpus_left < y->gpus_left ? -1 : 1;
	return x->server < y->server ? -1 : x->server > y->server;
}

/**
 * Assigns up to `count` tasks of the unit to servers of the scope.
 * @param chosen receives the server of each assigned task
 * @return the number of assigned tasks
 */
static uint32_t assign_servers(const mt_scope_t *scope, uint32_t *chosen,
			       uint32_t count)
{
	mt_server_fit_t *fits =
		g_new(mt_server_fit_t, scope->server_set->n_servers);
	uint32_t n = 0;
	uint32_t n_assigned = 0;

	for (uint32_t i = 0; i < scope->server_set->n_servers; i++) {
		uint32_t server = scope->server_set->servers[i];
		mt_server_fit_t server_fit = {
			server, 0, 0, scope->plan->servers[server].penalty};

		if (!mt_scope_allows(scope, server))
			continue;
		server_fit.fit = MIN(fit_count_on(scope, server), count);
		if (!server_fit.fit)
			continue;
		server_fit.gpus_left = available_on(scope, server).gpu -
				       server_fit.fit * scope->unit->need.gpu;
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

/**
 * Deducts the resources of the unit's tasks from those of their servers, so
 * that later units cannot use them: first from the free resources, and the
 * rest from the resources being released. Also marks the servers as running
 * fillers or tasks with a latency target.
 */
static void allocate(mt_plan_t *plan, const mt_plan_unit_t *unit,
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
	}
}

/** Number of accelerators available within the scope. */
static uint32_t total_gpu(const mt_scope_t *scope)
{
	uint32_t gpu = 0;

	for (uint32_t i = 0; i < scope->server_set->n_servers; i++) {
		uint32_t server = scope->server_set->servers[i];

		if (mt_scope_allows(scope, server))
			gpu += available_on(scope, server).gpu;
	}
	return gpu;
}

/**
 * Of the racks into which the whole unit fits, returns the one with the fewest
 * available accelerators, or NULL if there is none.
 */
static const mt_server_set_t *
find_rack_with_fewest_gpus(const mt_plan_t *plan, const mt_plan_index_t *index,
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
	uint32_t n_assigned;

	if (unit->is_gang && mt_scope_fit_count(&scope) < unit->count)
		return false;
	n_assigned = assign_servers(&scope, unit->chosen, unit->count);
	allocate(plan, unit, unit->chosen, n_assigned);
	unit->placed = n_assigned;
	return n_assigned == unit->count;
}

/**
 * Reserves resources for the tasks of the unit that were not placed, so that
 * later units cannot use these resources. Uses free resources and resources
 * being released.
 */
static void reserve(mt_plan_t *plan, const mt_plan_index_t *index,
		    const mt_plan_unit_t *unit,
		    const mt_server_set_t *server_set)
{
	mt_scope_t scope = {
		plan, index, unit, server_set, MT_CAPACITY_FREE_OR_RELEASING,
		NULL};
	uint32_t *chosen = g_new(uint32_t, unit->count);
	uint32_t n_assigned =
		assign_servers(&scope, chosen, unit->count - unit->placed);

	allocate(plan, unit, chosen, n_assigned);
	g_free(chosen);
}

/**
 * True if the unit is restricted to one rack; otherwise it may use several.
 * - The planner sets `same_rack` only if some rack, when empty, has room for
 *   all tasks of the step. any_rack_fits() in planner.c counts the servers
 *   without a rack as one rack, whereas the plan counts them as part of no
 *   rack. If only these servers have room for the unit, it is therefore
 *   restricted to a rack although it fits into none, and waits until the
 *   planner drops the restriction, see should_spread() in planner.c.
 * - The planner sets `data_rack` only if that rack, when empty, has room for
 *   the gang, or for one task of a unit that is not a gang.
 */
static bool is_restricted_to_rack(const mt_plan_unit_t *unit)
{
	return unit->same_rack || unit->data_rack;
}

/**
 * The rack into which the largest number of the unit's tasks fits, or NULL if
 * no task fits into any rack. The caller reserves resources in this rack. As
 * later units cannot use these, the room in this rack grows whenever a task
 * there ends, and so the next plans tend to select this rack again.
 */
static const mt_server_set_t *
find_rack_fitting_most(const mt_plan_t *plan, const mt_plan_index_t *index,
		       const mt_plan_unit_t *unit)
{
	const mt_server_set_t *best = NULL;
	uint32_t best_fit = 0;

	for (uint32_t i = 0; i < index->n_racks; i++) {
		const mt_server_set_t *rack = &index->racks[i];
		mt_scope_t scope = {
			plan, index, unit, rack, MT_CAPACITY_FREE_OR_RELEASING,
			NULL};
		uint32_t fit;

		if (unit->data_rack && rack->name != unit->data_rack)
			continue;
		fit = mt_scope_fit_count(&scope);
		if (fit > best_fit) {
			best = rack;
			best_fit = fit;
		}
	}
	return best;
}

/**
 * Schedules a unit that is restricted to one rack:
 * - If all its tasks fit into a rack now, they are placed there.
 * - Otherwise the tasks that fit are placed if the unit is restricted only by
 *   `data_rack` and is not a gang. All other units wait until a rack has room
 *   for all their tasks.
 * - If the unit may preempt, and if no rack will have room for all its tasks
 *   once the resources being released are free, it preempts tasks in one rack.
 *   The room required is for unit->count tasks even if some were just placed,
 *   see schedule_anywhere().
 * - If the unit reserves resources, it does so in the rack that will have room
 *   for all its tasks, or if there is none, in the rack into which the largest
 *   number of them fits.
 */
static void schedule_in_rack(mt_plan_t *plan, const mt_plan_index_t *index,
			     mt_plan_unit_t *unit)
{
	const mt_server_set_t *rack =
		find_rack_with_fewest_gpus(plan, index, unit, MT_CAPACITY_FREE);
	const mt_server_set_t *rack_with_data;

	if (rack) {
		place_within(plan, index, unit, rack);
		return;
	}
	rack_with_data = mt_plan_index_rack(index, unit->data_rack);
	if (!unit->is_gang && rack_with_data && !unit->same_rack)
		place_within(plan, index, unit, rack_with_data);
	rack = find_rack_with_fewest_gpus(plan, index, unit,
					  MT_CAPACITY_FREE_OR_RELEASING);
	if (!rack && unit->may_preempt)
		rack = mt_plan_preempt(plan, index, unit, true);
	if (!rack && unit->reserves)
		rack = find_rack_fitting_most(plan, index, unit);
	if (rack && unit->reserves)
		reserve(plan, index, unit, rack);
}

/**
 * Schedules a unit that may use all servers: places the tasks that fit. If some
 * do not, the unit may preempt tasks, and then may reserve resources for the
 * rest. Preemption makes room for unit->count tasks in addition to those just
 * placed, although only the rest needs room: it may therefore stop more tasks
 * than necessary.
 */
static void schedule_anywhere(mt_plan_t *plan, const mt_plan_index_t *index,
			      mt_plan_unit_t *unit)
{
	mt_scope_t scope = {
		plan, index, unit, &index->all, MT_CAPACITY_FREE_OR_RELEASING,
		NULL};

	if (place_within(plan, index, unit, &index->all))
		return;
	if (mt_scope_fit_count(&scope) < unit->count && unit->may_preempt)
		mt_plan_preempt(plan, index, unit, false);
	if (unit->reserves)
		reserve(plan, index, unit, &index->all);
}

void mt_plan_run(mt_plan_t *plan)
{
	mt_plan_index_t *index = mt_plan_index_new(plan);

	for (uint32_t i = 0; i < plan->n_units; i++) {
		mt_plan_unit_t *unit = &plan->units[i];

		unit->placed = 0;
		for (uint32_t k = 0; k < unit->count; k++)
			unit->chosen[k] = MT_PLAN_NO_SERVER;
		if (is_restricted_to_rack(unit))
			schedule_in_rack(plan, index, unit);
		else
			schedule_anywhere(plan, index, unit);
	}
	mt_plan_index_free(index);
}
