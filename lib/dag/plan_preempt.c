/** @file plan_preempt.c Selects the running tasks to preempt for a unit. */
#include <stdlib.h>

#include "dag/plan_internal.h"

typedef struct mt_group_cost_t {
	uint32_t group;
	double cost;
} mt_group_cost_t;

static bool may_be_stopped_for(const mt_plan_victim_t *victim,
			       const mt_plan_unit_t *unit)
{
	if (victim->preempted)
		return false;
	if (victim->priority > unit->priority)
		return true;
	return unit->guaranteed && !victim->guaranteed &&
	       victim->priority == unit->priority;
}

static void add_victim_groups(const mt_scope_t *scope, uint32_t server,
			      bool *seen, GArray *groups)
{
	const mt_buckets_t *victims = &scope->index->by_server;

	for (uint32_t i = victims->start[server];
	     i < victims->start[server + 1]; i++) {
		const mt_plan_victim_t *victim =
			&scope->plan->victims[victims->items[i]];
		mt_group_cost_t group = {
			victim->group, scope->index->group_cost[victim->group]};

		if (seen[victim->group] ||
		    !may_be_stopped_for(victim, scope->unit))
			continue;
		seen[victim->group] = true;
		g_array_append_val(groups, group);
	}
}

/** Groups with a member in the scope, and the cost of stopping each. */
static GArray *list_groups(const mt_scope_t *scope)
{
	GArray *groups = g_array_new(FALSE, FALSE, sizeof(mt_group_cost_t));
	bool *seen = g_new0(bool, scope->index->by_group.n_keys + 1);

	for (uint32_t i = 0; i < scope->rack->n_servers; i++) {
		uint32_t server = scope->rack->servers[i];

		if (mt_scope_allows(scope, server))
			add_victim_groups(scope, server, seen, groups);
	}
	g_free(seen);
	return groups;
}

/** Selects or deselects the members of a group that are not preempted yet. */
static void select_group(const mt_scope_t *scope, bool *selected,
			 mt_dag_resources_t *reclaimed, uint32_t group,
			 bool select)
{
	const mt_buckets_t *members = &scope->index->by_group;

	for (uint32_t i = members->start[group]; i < members->start[group + 1];
	     i++) {
		uint32_t victim_index = members->items[i];
		const mt_plan_victim_t *victim =
			&scope->plan->victims[victim_index];

		if (victim->preempted)
			continue;
		selected[victim_index] = select;
		if (select)
			mt_dag_resources_add(&reclaimed[victim->server],
					     &victim->amount);
		else
			mt_dag_resources_subtract(&reclaimed[victim->server],
						  &victim->amount);
	}
}

static int compare_groups(const void *a, const void *b)
{
	const mt_group_cost_t *x = a;
	const mt_group_cost_t *y = b;

	if (x->cost != y->cost)
		return x->cost < y->cost ? -1 : 1;
	return x->group < y->group ? -1 : x->group > y->group;
}

/**
 * Selects victims until the unit fits into the scope, cheapest groups first,
 * then deselects those that turn out to be unnecessary, most expensive first.
 * @return the cost, or a negative value if the unit does not fit
 */
static double choose_victims(mt_scope_t *scope, bool *selected)
{
	GArray *groups = list_groups(scope);
	mt_group_cost_t *all = (mt_group_cost_t *)groups->data;
	mt_dag_resources_t *reclaimed =
		g_new0(mt_dag_resources_t, scope->plan->n_servers);
	double cost = 0;
	guint n = 0;
	bool fits;

	scope->reclaimed = reclaimed;
	if (groups->len)
		qsort(all, groups->len, sizeof(*all), compare_groups);
	while (n < groups->len &&
	       mt_scope_fit_count(scope) < scope->unit->count)
		select_group(scope, selected, reclaimed, all[n++].group, true);
	fits = mt_scope_fit_count(scope) >= scope->unit->count;
	while (fits && n-- > 0) {
		select_group(scope, selected, reclaimed, all[n].group, false);
		if (mt_scope_fit_count(scope) >= scope->unit->count)
			continue;
		select_group(scope, selected, reclaimed, all[n].group, true);
		cost += all[n].cost;
	}
	scope->reclaimed = NULL;
	g_free(reclaimed);
	g_array_unref(groups);
	return fits ? cost : -1;
}

/**
 * Marks the selected victims as preempted and counts their resources as being
 * released.
 */
static void stop_selected(mt_plan_t *plan, const bool *selected)
{
	for (uint32_t i = 0; i < plan->n_victims; i++) {
		mt_plan_victim_t *victim = &plan->victims[i];

		if (!selected[i] || victim->preempted)
			continue;
		victim->preempted = true;
		mt_dag_resources_add(&plan->servers[victim->server].releasing,
				     &victim->amount);
	}
}

const mt_server_group_t *mt_plan_preempt(mt_plan_t *plan,
					 const mt_plan_index_t *index,
					 const mt_plan_unit_t *unit,
					 bool one_rack)
{
	const mt_server_group_t *racks = one_rack ? index->racks : &index->all;
	uint32_t n_racks = one_rack ? index->n_racks : 1;
	const mt_server_group_t *best_rack = NULL;
	bool *best_selection = NULL;
	double best_cost = -1;

	for (uint32_t i = 0; i < n_racks; i++) {
		mt_scope_t scope = {plan,
				    index,
				    unit,
				    &racks[i],
				    MT_CAPACITY_AFTER_PREEMPTION,
				    NULL};
		bool *selected;
		double cost;

		if (one_rack && unit->data_rack &&
		    racks[i].name != unit->data_rack)
			continue;
		selected = g_new0(bool, plan->n_victims + 1);
		cost = choose_victims(&scope, selected);
		if (cost < 0 || (best_selection && cost >= best_cost)) {
			g_free(selected);
			continue;
		}
		g_free(best_selection);
		best_selection = selected;
		best_cost = cost;
		best_rack = &racks[i];
	}
	if (best_selection)
		stop_selected(plan, best_selection);
	g_free(best_selection);
	return best_rack;
}
