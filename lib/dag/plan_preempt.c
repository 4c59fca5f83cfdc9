/** @file plan_preempt.c Selects the placed tasks to preempt for a unit. */
#include <stdlib.h>

#include "dag/plan_internal.h"

/** A victim group, and the cost of stopping it. */
typedef struct mt_group_cost_t {
	uint32_t group;
	double cost;
} mt_group_cost_t;

/**
 * A unit may preempt tasks of lower priority. A guaranteed unit may also
 * preempt tasks of its own priority that are not guaranteed.
 */
static bool may_preempt_for(const mt_plan_victim_t *victim,
			    const mt_plan_unit_t *unit)
{
	if (victim->preempted)
		return false;
	if (victim->priority > unit->priority)
		return true;
	return unit->guaranteed && !victim->guaranteed &&
	       victim->priority == unit->priority;
}

/**
 * Adds the groups of those victims on the server that the unit may preempt.
 * @param seen per group, whether it was added already; is updated
 */
static void add_victim_groups(const mt_scope_t *scope, uint32_t server,
			      bool *seen, GArray *groups)
{
	const mt_buckets_t *victims = &scope->index->victims_by_server;

	for (uint32_t i = victims->start[server];
	     i < victims->start[server + 1]; i++) {
		const mt_plan_victim_t *victim =
			&scope->plan->victims[victims->items[i]];
		mt_group_cost_t group = {
			victim->group, scope->index->group_cost[victim->group]};

		if (seen[victim->group] ||
		    !may_preempt_for(victim, scope->unit))
			continue;
		seen[victim->group] = true;
		g_array_append_val(groups, group);
	}
}

/**
 * Lists the victim groups with a member that the unit may preempt, on a server
 * of the scope.
 */
static GArray *list_groups(const mt_scope_t *scope)
{
	GArray *groups = g_array_new(FALSE, FALSE, sizeof(mt_group_cost_t));
	bool *seen = g_new0(bool, scope->index->victims_by_group.n_keys + 1);

	for (uint32_t i = 0; i < scope->server_set->n_servers; i++) {
		uint32_t server = scope->server_set->servers[i];

		if (mt_scope_allows(scope, server))
			add_victim_groups(scope, server, seen, groups);
	}
	g_free(seen);
	return groups;
}

/**
 * Selects or deselects the members of a victim group, except those already
 * preempted for an earlier unit.
 * @param selected per victim, whether it is selected; is updated
 * @param freed per server, resources of the selected victims; is updated
 */
static void select_group(const mt_scope_t *scope, bool *selected,
			 mt_dag_resources_t *freed, uint32_t group, bool select)
{
	const mt_buckets_t *members = &scope->index->victims_by_group;

	for (uint32_t i = members->start[group]; i < members->start[group + 1];
	     i++) {
		uint32_t victim_index = members->items[i];
		const mt_plan_victim_t *victim =
			&scope->plan->victims[victim_index];

		if (victim->preempted)
			continue;
		selected[victim_index] = select;
		if (select)
			mt_dag_resources_add(&freed[victim->server],
					     &victim->amount);
		else
			mt_dag_resources_subtract(&freed[victim->server],
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
 * Selects victim groups, cheapest first, until the unit fits on the servers of
 * the scope. Then deselects each group without which the unit still fits, most
 * expensive first.
 * @param selected per victim, all false; receives the selection
 * @return the cost of the selected groups, or a negative value if the unit does
 * not fit
 */
static double choose_victims(mt_scope_t *scope, bool *selected)
{
	GArray *groups = list_groups(scope);
	mt_group_cost_t *all = (mt_group_cost_t *)groups->data;
	mt_dag_resources_t *freed =
		g_new0(mt_dag_resources_t, scope->plan->n_servers);
	double cost = 0;
	guint n = 0;
	bool fits;

	scope->freed = freed;
	if (groups->len)
		qsort(all, groups->len, sizeof(*all), compare_groups);
	while (n < groups->len &&
	       mt_scope_fit_count(scope) < scope->unit->count)
		select_group(scope, selected, freed, all[n++].group, true);
	fits = mt_scope_fit_count(scope) >= scope->unit->count;
	while (fits && n-- > 0) {
		select_group(scope, selected, freed, all[n].group, false);
		if (mt_scope_fit_count(scope) >= scope->unit->count)
			continue;
		select_group(scope, selected, freed, all[n].group, true);
		cost += all[n].cost;
	}
	scope->freed = NULL;
	g_free(freed);
	g_array_unref(groups);
	return fits ? cost : -1;
}

/**
 * Marks the selected victims as preempted, and adds their resources to those
 * being released on their servers.
 */
static void mark_preempted(mt_plan_t *plan, const bool *selected)
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

const mt_server_set_t *mt_plan_preempt(mt_plan_t *plan,
				       const mt_plan_index_t *index,
				       const mt_plan_unit_t *unit,
				       bool one_rack)
{
	const mt_server_set_t *server_sets =
		one_rack ? index->racks : &index->all;
	uint32_t n_server_sets = one_rack ? index->n_racks : 1;
	const mt_server_set_t *best_set = NULL;
	bool *best_selection = NULL;
	double best_cost = -1;

	for (uint32_t i = 0; i < n_server_sets; i++) {
		mt_scope_t scope = {plan,
				    index,
				    unit,
				    &server_sets[i],
				    MT_CAPACITY_AFTER_PREEMPTION,
				    NULL};
		bool *selected;
		double cost;

		if (one_rack && unit->data_rack &&
		    server_sets[i].name != unit->data_rack)
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
		best_set = &server_sets[i];
	}
	if (best_selection)
		mark_preempted(plan, best_selection);
	g_free(best_selection);
	return best_set;
}
