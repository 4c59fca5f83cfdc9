/** @file plan_reserve.c Reservations for units that cannot start yet. */
#include "dag/plan_internal.h"

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

	mt_plan_allocate(run->plan, unit, &server, 1);
	if (soon)
		return;
	add_difference(&kept->free, &before.free, &after->free);
	add_difference(&kept->releasing, &before.releasing, &after->releasing);
	kept->tasks_left += before.tasks_left - after->tasks_left;
}

void mt_plan_reserve(mt_plan_run_t *run, const mt_plan_unit_t *unit,
		     const mt_server_set_t *server_set, bool soon)
{
	mt_scope_t scope = {run->plan,
			    run->index,
			    unit,
			    server_set,
			    MT_CAPACITY_FREE_OR_RELEASING,
			    NULL};
	uint32_t fit_count;
	uint32_t *chosen;
	uint32_t n_assigned;

	if (!unit->reserves ||
	    (unit->is_gang && !fits_into_room(run, unit, server_set)))
		return;
	if (unit->reservation_limited &&
	    run->n_limited_reservations++ >= run->plan->reservations_max)
		return;
	fit_count = MIN(mt_scope_fit_count(&scope), unit->count);
	chosen = g_new(uint32_t, fit_count);
	n_assigned = mt_plan_assign_servers(&scope, chosen, fit_count);
	for (uint32_t i = 0; i < n_assigned; i++)
		reserve_on(run, unit, chosen[i], soon);
	g_free(chosen);
}

const mt_server_set_t *
mt_plan_find_rack_fitting_most(const mt_plan_run_t *run,
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

void mt_plan_release_kept(mt_plan_run_t *run)
{
	for (uint32_t i = 0; i < run->plan->n_servers; i++) {
		mt_plan_server_t *server = &run->plan->servers[i];

		mt_dag_resources_add(&server->free, &run->kept[i].free);
		mt_dag_resources_add(&server->releasing,
				     &run->kept[i].releasing);
		server->tasks_left += run->kept[i].tasks_left;
	}
}
