/** @file plan.c Greedy scheduling of units in their order, in two rounds. */
#include "dag/plan_internal.h"

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
 * - Places its tasks, see mt_plan_place_in_rack().
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

	if (mt_plan_place_in_rack(run, unit))
		return;
	rest = rest_of(run, unit, &already_placed);
	rack = mt_plan_find_rack_with_fewest_gpus(
		run->plan, run->index, &rest, MT_CAPACITY_FREE_OR_RELEASING);
	if (!rack && unit->may_preempt)
		rack = make_room(run, &rest, true);
	if (!rack) {
		soon = false;
		rack = mt_plan_find_rack_fitting_most(run, &rest);
	}
	if (rack)
		mt_plan_reserve(run, &rest, rack, soon);
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

	if (mt_plan_place_anywhere(run, unit))
		return;
	rest = rest_of(run, unit, &already_placed);
	soon = mt_scope_fit_count(&scope) >= rest.count;
	if (!soon && unit->may_preempt)
		soon = make_room(run, &rest, false) != NULL;
	mt_plan_reserve(run, &rest, all, soon);
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
	    !mt_plan_chooses_by_speed(run, unit) ||
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
	mt_plan_reserve(run, unit, &part, true);
	run->plan->n_awaiting_speed++;
	g_free((uint32_t *)part.servers);
	return true;
}

static void schedule(mt_plan_run_t *run, mt_plan_unit_t *unit)
{
	unit->placed = 0;
	for (uint32_t i = 0; unit->chosen && i < unit->count; i++)
		unit->chosen[i] = MT_PLAN_NO_SERVER;
	if (wait_for_fast_room(run, unit))
		return;
	if (is_restricted_to_rack(unit))
		schedule_in_rack(run, unit);
	else
		schedule_anywhere(run, unit);
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
		server_set = mt_plan_find_rack_with_fewest_gpus(
			run->plan, run->index, unit,
			MT_CAPACITY_FREE_OR_RELEASING);
	else if (mt_scope_fit_count(&scope) < unit->count)
		server_set = NULL;
	if (server_set)
		mt_plan_reserve(run, unit, server_set, true);
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
		mt_plan_place_in_rack(run, unit);
	else if (unit->overdue)
		mt_plan_place_anywhere(run, unit);
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
	mt_plan_release_kept(&run);
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
