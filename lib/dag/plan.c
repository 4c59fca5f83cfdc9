/** @file plan.c Greedy placement of units on servers, with preemption. */
#include "dag/plan_internal.h"

#include <stdlib.h>
#include <string.h>

/** Resources of a server that are reserved for units that cannot start soon. */
typedef struct mt_kept_t {
	mt_dag_resources_t free;
	mt_dag_resources_t releasing;
	uint32_t tasks_left; /**< see mt_plan_server_t.tasks_left */
} mt_kept_t;

/** A plan that is being computed. */
typedef struct mt_plan_run_t {
	mt_plan_t *plan;
	const mt_plan_index_t *index;
	mt_kept_t *kept; /**< per server */
	uint32_t n_limited_reservations;
} mt_plan_run_t;

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

double mt_dag_resources_cores(const mt_dag_resources_t *resources)
{
	return resources->cpu_milli / 1000.0 +
	       resources->gpu * MT_CORES_PER_GPU;
}

bool mt_plan_server_has_label(const mt_plan_server_t *server, GQuark label)
{
	if (!label)
		return true;
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
	if (plan_server->suspect && !scope->unit->overdue)
		return false;
	if (conflicts(scope->unit, plan_server))
		return false;
	return mt_plan_server_has_label(plan_server, scope->unit->label);
}

mt_dag_resources_t mt_scope_available_on(const mt_scope_t *scope,
					 uint32_t server)
{
	const mt_plan_server_t *plan_server = &scope->plan->servers[server];
	mt_dag_resources_t available = plan_server->free;

	if (scope->kind == MT_CAPACITY_ROOM)
		return plan_server->room;
	if (scope->kind != MT_CAPACITY_FREE)
		mt_dag_resources_add(&available, &plan_server->releasing);
	if (scope->freed)
		mt_dag_resources_add(&available, &scope->freed[server]);
	return available;
}

uint32_t mt_scope_fit_count_on(const mt_scope_t *scope, uint32_t server)
{
	const mt_plan_unit_t *unit = scope->unit;
	const mt_plan_server_t *plan_server = &scope->plan->servers[server];
	mt_dag_resources_t available = mt_scope_available_on(scope, server);
	uint32_t fit = mt_dag_resources_fit_count(&unit->need, &available);

	if (unit->per_server_max) {
		uint32_t already_placed =
			unit->already_placed ? unit->already_placed[server] : 0;

		fit = MIN(fit, subtract_clamped(unit->per_server_max,
						already_placed));
	}
	if (plan_server->is_limited && scope->kind != MT_CAPACITY_ROOM)
		fit = MIN(fit, plan_server->tasks_left);
	return fit;
}

uint32_t mt_scope_fit_count(const mt_scope_t *scope)
{
	uint32_t fit = 0;

	for (uint32_t i = 0; i < scope->server_set->n_servers; i++) {
		uint32_t server = scope->server_set->servers[i];

		if (!mt_scope_allows(scope, server))
			continue;
		fit += MIN(mt_scope_fit_count_on(scope, server),
			   scope->unit->count);
		if (fit >= scope->unit->count)
			return fit;
	}
	return fit;
}

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

/** True if the speeds of the servers matter for the choice of a set. */
static bool chooses_by_speed(const mt_plan_run_t *run,
			     const mt_plan_unit_t *unit)
{
	return unit->is_gang && mt_speed_classes_differ(&run->index->classes);
}

/** True if the whole unit would fit into the set if no other task ran there. */
static bool fits_into_room(const mt_plan_run_t *run, const mt_plan_unit_t *unit,
			   const mt_server_set_t *server_set)
{
	mt_scope_t scope = {run->plan,	run->index,	  unit,
			    server_set, MT_CAPACITY_ROOM, NULL};

	return mt_scope_fit_count(&scope) >= unit->count;
}

/** Adds to `sum` what `before` has more of than `after`. */
static void add_difference(mt_dag_resources_t *sum,
			   const mt_dag_resources_t *before,
			   const mt_dag_resources_t *after)
{
	mt_dag_resources_t difference = *before;

	mt_dag_resources_subtract(&difference, after);
	mt_dag_resources_add(sum, &difference);
}

/** Reserves the resources of one task on a server. */
static void reserve_on(mt_plan_run_t *run, const mt_plan_unit_t *unit,
		       uint32_t server, bool soon)
{
	const mt_plan_server_t *after = &run->plan->servers[server];
	mt_plan_server_t before = *after;
	mt_kept_t *kept = &run->kept[server];

	allocate(run->plan, unit, &server, 1);
	if (soon)
		return;
	add_difference(&kept->free, &before.free, &after->free);
	add_difference(&kept->releasing, &before.releasing, &after->releasing);
	kept->tasks_left += before.tasks_left - after->tasks_left;
}

/**
 * Reserves resources for the tasks of a unit, none of which is placed, so that
 * later units cannot use these resources. Uses free resources and resources
 * being released. Reserves nothing for a gang that cannot fit into the set even
 * if all other tasks there end, as the resources would stay idle in vain.
 * @param soon the whole unit fits once the resources being released are free
 */
static void reserve(mt_plan_run_t *run, const mt_plan_unit_t *unit,
		    const mt_server_set_t *server_set, bool soon)
{
	mt_scope_t scope = {run->plan,
			    run->index,
			    unit,
			    server_set,
			    MT_CAPACITY_FREE_OR_RELEASING,
			    NULL};
	uint32_t *chosen;
	uint32_t n_assigned;

	if (!unit->reserves ||
	    (unit->is_gang && !fits_into_room(run, unit, server_set)))
		return;
	if (unit->reservation_limited &&
	    run->n_limited_reservations++ >= run->plan->reservations_max)
		return;
	chosen = g_new(uint32_t, unit->count);
	n_assigned = assign_servers(&scope, chosen, unit->count);
	for (uint32_t i = 0; i < n_assigned; i++)
		reserve_on(run, unit, chosen[i], soon);
	g_free(chosen);
}

/**
 * True if the unit is restricted to one rack; otherwise it may use several.
 * - The planner sets `same_rack` only if some rack has room for all tasks of
 *   the step when no other task runs there.
 * - It sets `data_rack` only if that rack has room for the gang, or for one
 *   task of a unit that is not a gang.
 */
static bool is_restricted_to_rack(const mt_plan_unit_t *unit)
{
	return unit->same_rack || unit->data_rack;
}

/**
 * The rack into which the largest number of the unit's tasks fits, or NULL if
 * no task fits into any rack. For a gang, only racks are considered into which
 * it would fit if no other task ran there. The caller reserves resources in
 * this rack. As later units cannot use these, the room in this rack grows
 * whenever a task there ends, and so the next plans tend to select this rack
 * again.
 */
static const mt_server_set_t *find_rack_fitting_most(const mt_plan_run_t *run,
						     const mt_plan_unit_t *unit)
{
	const mt_server_set_t *best = NULL;
	uint32_t best_fit = 0;

	for (uint32_t i = 0; i < run->index->n_racks; i++) {
		const mt_server_set_t *rack = &run->index->racks[i];
		mt_scope_t scope = {run->plan,
				    run->index,
				    unit,
				    rack,
				    MT_CAPACITY_FREE_OR_RELEASING,
				    NULL};
		uint32_t fit;

		if ((unit->data_rack && rack->name != unit->data_rack) ||
		    (unit->is_gang && !fits_into_room(run, unit, rack)))
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
 * Places tasks of a unit that is restricted to one rack: all of them if they
 * fit into a rack now. Otherwise those that fit, if the unit is restricted only
 * by `data_rack` and is not a gang.
 * @return true if all tasks were placed
 */
static bool place_in_rack(const mt_plan_run_t *run, mt_plan_unit_t *unit)
{
	const mt_server_set_t *rack;

	if (chooses_by_speed(run, unit))
		return place_by_speed(run, unit, true);
	rack = find_rack_with_fewest_gpus(run->plan, run->index, unit,
					  MT_CAPACITY_FREE);
	if (rack)
		return place_within(run->plan, run->index, unit, rack);
	rack = mt_plan_index_rack(run->index, unit->data_rack);
	if (!unit->is_gang && rack && !unit->same_rack)
		place_within(run->plan, run->index, unit, rack);
	return false;
}

/**
 * Places tasks of a unit that may use all servers.
 * @return true if all tasks were placed
 */
static bool place_anywhere(const mt_plan_run_t *run, mt_plan_unit_t *unit)
{
	if (chooses_by_speed(run, unit))
		return place_by_speed(run, unit, false);
	return place_within(run->plan, run->index, unit, &run->index->all);
}

/**
 * The tasks of the unit that were not placed, as a unit of their own.
 * @param already_placed receives memory that the caller frees
 */
static mt_plan_unit_t rest_of(const mt_plan_run_t *run,
			      const mt_plan_unit_t *unit,
			      uint32_t **already_placed)
{
	mt_plan_unit_t rest = *unit;

	rest.count -= unit->placed;
	rest.placed = 0;
	*already_placed = NULL;
	if (!unit->per_server_max || !unit->placed)
		return rest;
	*already_placed = g_new0(uint32_t, run->plan->n_servers + 1);
	for (uint32_t i = 0; unit->already_placed && i < run->plan->n_servers;
	     i++)
		(*already_placed)[i] = unit->already_placed[i];
	for (uint32_t i = 0; i < unit->placed; i++)
		(*already_placed)[unit->chosen[i]]++;
	rest.already_placed = *already_placed;
	return rest;
}

/**
 * Makes room for a unit that does not fit once the resources being released are
 * free: waits for runs that end soon, or else preempts.
 * @return the rack, or the set of all servers, that will have room; NULL: none
 */
static const mt_server_set_t *
make_room(const mt_plan_run_t *run, const mt_plan_unit_t *unit, bool one_rack)
{
	const mt_server_set_t *server_set = NULL;

	if (!unit->guaranteed)
		server_set = mt_plan_wait_for_ends(run->plan, run->index, unit,
						   one_rack);
	if (!server_set)
		server_set =
			mt_plan_preempt(run->plan, run->index, unit, one_rack);
	return server_set;
}

/**
 * Schedules a unit that is restricted to one rack:
 * - Places its tasks, see place_in_rack().
 * - If the unit may preempt, and if no rack will have room for the rest once
 *   the resources being released are free, it makes room in one rack.
 * - If the unit reserves resources, it does so in the rack that will have room
 *   for the rest, or if there is none, in the rack into which the largest
 *   number of its tasks fits.
 */
static void schedule_in_rack(mt_plan_run_t *run, mt_plan_unit_t *unit)
{
	const mt_server_set_t *rack;
	uint32_t *already_placed;
	mt_plan_unit_t rest;
	bool soon = true;

	if (place_in_rack(run, unit))
		return;
	rest = rest_of(run, unit, &already_placed);
	rack = find_rack_with_fewest_gpus(run->plan, run->index, &rest,
					  MT_CAPACITY_FREE_OR_RELEASING);
	if (!rack && unit->may_preempt)
		rack = make_room(run, &rest, true);
	if (!rack) {
		soon = false;
		rack = find_rack_fitting_most(run, &rest);
	}
	if (rack)
		reserve(run, &rest, rack, soon);
	g_free(already_placed);
}

/**
 * Schedules a unit that may use all servers: places the tasks that fit. If some
 * do not, the unit may make room for them, and then may reserve resources.
 */
static void schedule_anywhere(mt_plan_run_t *run, mt_plan_unit_t *unit)
{
	const mt_server_set_t *all = &run->index->all;
	uint32_t *already_placed;
	mt_plan_unit_t rest;
	mt_scope_t scope = {run->plan,
			    run->index,
			    &rest,
			    all,
			    MT_CAPACITY_FREE_OR_RELEASING,
			    NULL};
	bool soon;

	if (place_anywhere(run, unit))
		return;
	rest = rest_of(run, unit, &already_placed);
	soon = mt_scope_fit_count(&scope) >= rest.count;
	if (!soon && unit->may_preempt)
		soon = make_room(run, &rest, false) != NULL;
	reserve(run, &rest, all, soon);
	g_free(already_placed);
}

/**
 * True for a gang that would be late on the servers that are free now, although
 * there are faster ones.
 */
static bool would_be_late(const mt_plan_run_t *run, const mt_plan_unit_t *unit,
			  bool one_rack)
{
	mt_server_set_t chosen;
	bool late;

	if (!unit->may_preempt || !unit->may_wait_for_speed ||
	    !chooses_by_speed(run, unit) ||
	    !mt_plan_choose_by_speed(run->plan, run->index, unit, one_rack,
				     &chosen))
		return false;
	late = mt_plan_is_late_on(run->index, unit, &chosen);
	g_free((uint32_t *)chosen.servers);
	return late;
}

/**
 * Lets a gang wait that would be late on the servers that are free now, if it
 * can start soon on faster ones, where resources are reserved for it.
 * @return true if the gang waits
 */
static bool wait_for_fast_room(mt_plan_run_t *run, const mt_plan_unit_t *unit)
{
	bool one_rack = is_restricted_to_rack(unit);
	mt_server_set_t part;

	if (!would_be_late(run, unit, one_rack) ||
	    !mt_plan_make_fast_room(run->plan, run->index, unit, one_rack,
				    &part))
		return false;
	reserve(run, unit, &part, true);
	run->plan->n_awaiting_speed++;
	g_free((uint32_t *)part.servers);
	return true;
}

static void schedule(mt_plan_run_t *run, mt_plan_unit_t *unit)
{
	unit->placed = 0;
	for (uint32_t i = 0; i < unit->count; i++)
		unit->chosen[i] = MT_PLAN_NO_SERVER;
	if (wait_for_fast_room(run, unit))
		return;
	if (is_restricted_to_rack(unit))
		schedule_in_rack(run, unit);
	else
		schedule_anywhere(run, unit);
}

/** Returns the resources that are reserved for units that start later. */
static void release_kept(mt_plan_run_t *run)
{
	for (uint32_t i = 0; i < run->plan->n_servers; i++) {
		mt_plan_server_t *server = &run->plan->servers[i];

		mt_dag_resources_add(&server->free, &run->kept[i].free);
		mt_dag_resources_add(&server->releasing,
				     &run->kept[i].releasing);
		server->tasks_left += run->kept[i].tasks_left;
	}
}

/**
 * Reserves resources, in the second round, for a unit that could otherwise
 * preempt what is placed there for units behind it.
 */
static void reserve_if_soon(mt_plan_run_t *run, const mt_plan_unit_t *unit)
{
	const mt_server_set_t *server_set = &run->index->all;
	mt_scope_t scope = {run->plan,
			    run->index,
			    unit,
			    server_set,
			    MT_CAPACITY_FREE_OR_RELEASING,
			    NULL};

	if (is_restricted_to_rack(unit))
		server_set = find_rack_with_fewest_gpus(
			run->plan, run->index, unit,
			MT_CAPACITY_FREE_OR_RELEASING);
	else if (mt_scope_fit_count(&scope) < unit->count)
		server_set = NULL;
	if (server_set)
		reserve(run, unit, server_set, true);
}

/**
 * Second round, in which the resources that were reserved for units that start
 * later are free: places the overdue units of which nothing has been placed.
 */
static void schedule_overdue(mt_plan_run_t *run, mt_plan_unit_t *unit)
{
	if (unit->placed)
		return;
	if (unit->overdue && is_restricted_to_rack(unit))
		place_in_rack(run, unit);
	else if (unit->overdue)
		place_anywhere(run, unit);
	if (!unit->placed && unit->may_preempt)
		reserve_if_soon(run, unit);
}

void mt_plan_run(mt_plan_t *plan)
{
	mt_plan_index_t *index = mt_plan_index_new(plan);
	mt_plan_run_t run = {plan, index,
			     g_new0(mt_kept_t, plan->n_servers + 1), 0};

	for (uint32_t i = 0; i < plan->n_units; i++)
		schedule(&run, &plan->units[i]);
	release_kept(&run);
	for (uint32_t i = 0; i < plan->n_units; i++)
		schedule_overdue(&run, &plan->units[i]);
	g_free(run.kept);
	mt_plan_index_free(index);
}

/** Number of servers that may run the unit's tasks. */
static uint32_t count_allowed(const mt_scope_t *scope)
{
	uint32_t n_allowed = 0;

	for (uint32_t i = 0; i < scope->server_set->n_servers; i++)
		n_allowed +=
			mt_scope_allows(scope, scope->server_set->servers[i]);
	return n_allowed;
}

mt_plan_wait_t mt_plan_explain_wait(const mt_plan_t *plan,
				    const mt_plan_unit_t *unit)
{
	mt_plan_index_t *index = mt_plan_index_new(plan);
	mt_scope_t scope = {plan, index, unit, &index->all, MT_CAPACITY_ROOM,
			    NULL};
	uint32_t wanted = unit->is_gang ? unit->count : 1;
	mt_plan_wait_t reason = MT_PLAN_WAIT_NO_ROOM;

	if (!count_allowed(&scope)) {
		reason = MT_PLAN_WAIT_NO_SERVER;
	} else if (mt_scope_fit_count(&scope) < wanted) {
		reason = MT_PLAN_WAIT_NEVER_FITS;
	} else {
		scope.kind = MT_CAPACITY_FREE;
		if (mt_scope_fit_count(&scope) >= wanted)
			reason = MT_PLAN_WAIT_RESERVED;
	}
	mt_plan_index_free(index);
	return reason;
}
