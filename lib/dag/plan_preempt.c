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
	if (victim->preempted || (victim->awaited && !unit->guaranteed))
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

/* Sets of servers. */

/** The part of a set that a unit may use, see mt_plan_preempt(). */
typedef struct mt_fast_part_t {
	mt_server_set_t part;
	const mt_server_set_t *whole;
	uint32_t *servers; /**< owned memory of `part` */
} mt_fast_part_t;

static mt_fast_part_t fast_part_of(const mt_plan_index_t *index,
				   const mt_server_set_t *whole,
				   uint32_t slowest)
{
	mt_fast_part_t fast = {*whole, whole, NULL};
	uint32_t n = 0;

	if (!slowest)
		return fast;
	fast.servers = g_new(uint32_t, whole->n_servers + 1);
	for (uint32_t i = 0; i < whole->n_servers; i++) {
		uint32_t server = whole->servers[i];

		if (index->classes.of_server[server] >= slowest)
			fast.servers[n++] = server;
	}
	fast.part.servers = fast.servers;
	fast.part.n_servers = n;
	return fast;
}

/**
 * The next set that the unit may use, after the first `*position` ones; NULL:
 * there are no more.
 */
static const mt_server_set_t *next_set(const mt_plan_index_t *index,
				       const mt_plan_unit_t *unit,
				       bool one_rack, uint32_t *position)
{
	if (!one_rack)
		return (*position)++ ? NULL : &index->all;
	while (*position < index->n_racks) {
		const mt_server_set_t *rack = &index->racks[(*position)++];

		if (!unit->data_rack || rack->name == unit->data_rack)
			return rack;
	}
	return NULL;
}

/* Runs that end soon. */

/**
 * True if a unit may count on the resources that are free after this end. Those
 * of a preempted run count as being released already.
 */
static bool is_end_available(const mt_plan_t *plan, const mt_plan_end_t *end)
{
	return !end->claimed &&
	       (!end->victim_plus_one ||
		!plan->victims[end->victim_plus_one - 1].preempted);
}

/** Adds the resources of those of the first `n` ends that are available. */
static void add_ends(const mt_plan_t *plan, mt_dag_resources_t *freed,
		     uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		const mt_plan_end_t *end = &plan->ends[i];

		if (is_end_available(plan, end))
			mt_dag_resources_add(&freed[end->server], &end->amount);
	}
}

static bool fits_after_ends(mt_scope_t *scope, uint32_t n)
{
	mt_dag_resources_t *freed =
		g_new0(mt_dag_resources_t, scope->plan->n_servers + 1);
	bool fits;

	add_ends(scope->plan, freed, n);
	scope->freed = freed;
	fits = mt_scope_fit_count(scope) >= scope->unit->count;
	scope->freed = NULL;
	g_free(freed);
	return fits;
}

/**
 * The smallest number of ends after which the unit fits, by bisection; `n` + 1
 * if it does not fit after `n` ends.
 */
static uint32_t count_ends_needed(mt_scope_t *scope, uint32_t n)
{
	uint32_t low = 0;
	uint32_t high = n;

	if (!fits_after_ends(scope, n))
		return n + 1;
	while (low < high) {
		uint32_t middle = low + (high - low) / 2;

		if (fits_after_ends(scope, middle))
			high = middle;
		else
			low = middle + 1;
	}
	return low;
}

/**
 * Claims the first `n` ends on servers of the set, of the class `slowest` or
 * faster: other units neither count on them nor preempt these runs.
 */
static void claim_ends(mt_plan_t *plan, const mt_plan_index_t *index,
		       const mt_server_set_t *server_set, uint32_t slowest,
		       uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		mt_plan_end_t *end = &plan->ends[i];

		if ((server_set->name &&
		     plan->servers[end->server].rack != server_set->name) ||
		    index->classes.of_server[end->server] < slowest ||
		    !is_end_available(plan, end))
			continue;
		end->claimed = true;
		if (end->victim_plus_one)
			plan->victims[end->victim_plus_one - 1].awaited = true;
	}
}

const mt_server_set_t *mt_plan_wait_for_ends(mt_plan_t *plan,
					     const mt_plan_index_t *index,
					     const mt_plan_unit_t *unit,
					     bool one_rack)
{
	uint32_t slowest = mt_speed_slowest_in_time(&index->classes, unit);
	uint32_t spare_ms = mt_plan_spare_ms(unit);
	const mt_server_set_t *best = NULL;
	const mt_server_set_t *set;
	uint32_t best_needed = 0;
	uint32_t position = 0;
	uint32_t n = 0;

	while (n < plan->n_ends && plan->ends[n].in_ms <= spare_ms)
		n++;
	while (n && (set = next_set(index, unit, one_rack, &position))) {
		mt_fast_part_t fast = fast_part_of(index, set, slowest);
		mt_scope_t scope = {plan,
				    index,
				    unit,
				    &fast.part,
				    MT_CAPACITY_FREE_OR_RELEASING,
				    NULL};
		uint32_t needed = count_ends_needed(&scope, n);

		if (needed <= n && (!best || needed < best_needed)) {
			best = set;
			best_needed = needed;
		}
		g_free(fast.servers);
	}
	if (best) {
		claim_ends(plan, index, best, slowest, best_needed);
		plan->n_awaiting++;
	}
	return best;
}

/* Preemption. */

/** Victims for a unit. */
typedef struct mt_selection_t {
	const mt_server_set_t *server_set; /**< NULL: none was found */
	bool *selected; /**< per victim; the owner frees it */
	double cost;
} mt_selection_t;

/** Selects the victims with the lowest cost, on classes from `slowest` on. */
static mt_selection_t find_cheapest(const mt_plan_t *plan,
				    const mt_plan_index_t *index,
				    const mt_plan_unit_t *unit, bool one_rack,
				    uint32_t slowest)
{
	mt_selection_t best = {NULL, NULL, 0};
	const mt_server_set_t *set;
	uint32_t position = 0;

	while ((set = next_set(index, unit, one_rack, &position))) {
		mt_fast_part_t fast = fast_part_of(index, set, slowest);
		mt_scope_t scope = {plan,
				    index,
				    unit,
				    &fast.part,
				    MT_CAPACITY_AFTER_PREEMPTION,
				    NULL};
		bool *selected = g_new0(bool, plan->n_victims + 1);
		double cost = choose_victims(&scope, selected);

		g_free(fast.servers);
		if (cost < 0 || (best.server_set && cost >= best.cost)) {
			g_free(selected);
			continue;
		}
		g_free(best.selected);
		best = (mt_selection_t){set, selected, cost};
	}
	return best;
}

/** True if the unit gains more than the victims cost. */
static bool is_worth(const mt_plan_unit_t *unit,
		     const mt_selection_t *selection)
{
	return unit->guaranteed || !unit->cost_max ||
	       selection->cost <= unit->cost_max;
}

const mt_server_set_t *mt_plan_preempt(mt_plan_t *plan,
				       const mt_plan_index_t *index,
				       const mt_plan_unit_t *unit,
				       bool one_rack)
{
	uint32_t slowest = mt_speed_slowest_in_time(&index->classes, unit);
	mt_selection_t best =
		find_cheapest(plan, index, unit, one_rack, slowest);

	if (!best.server_set && slowest && unit->guaranteed)
		best = find_cheapest(plan, index, unit, one_rack, 0);
	if (best.server_set && !is_worth(unit, &best)) {
		plan->n_refused++;
		best.server_set = NULL;
	}
	if (best.server_set)
		mark_preempted(plan, best.selected);
	g_free(best.selected);
	return best.server_set;
}

/* Faster servers for a gang that would be late. */

/**
 * Share of the gain of a unit that it owes to its end in time; it gains the
 * rest also if it is late, see LATE_GAIN_SHARE in planner.c.
 */
#define IN_TIME_GAIN_SHARE 0.75

/** The first set whose fast part has room for the unit; NULL: there is none. */
static const mt_server_set_t *find_fast_room(const mt_plan_t *plan,
					     const mt_plan_index_t *index,
					     const mt_plan_unit_t *unit,
					     bool one_rack, uint32_t slowest)
{
	const mt_server_set_t *set;
	uint32_t position = 0;
	bool fits = false;

	while (!fits && (set = next_set(index, unit, one_rack, &position))) {
		mt_fast_part_t fast = fast_part_of(index, set, slowest);
		mt_scope_t scope = {plan,
				    index,
				    unit,
				    &fast.part,
				    MT_CAPACITY_FREE_OR_RELEASING,
				    NULL};

		fits = mt_scope_fit_count(&scope) >= unit->count;
		g_free(fast.servers);
	}
	return fits ? set : NULL;
}

/** Preempts on fast servers only, and only tasks of lower priority. */
static const mt_server_set_t *preempt_on_fast(mt_plan_t *plan,
					      const mt_plan_index_t *index,
					      const mt_plan_unit_t *unit,
					      bool one_rack, uint32_t slowest)
{
	mt_plan_unit_t optional = *unit;
	mt_selection_t best;

	optional.guaranteed = false;
	optional.cost_max *= IN_TIME_GAIN_SHARE;
	best = find_cheapest(plan, index, &optional, one_rack, slowest);
	if (best.server_set && !is_worth(&optional, &best))
		best.server_set = NULL;
	if (best.server_set)
		mark_preempted(plan, best.selected);
	g_free(best.selected);
	return best.server_set;
}

bool mt_plan_make_fast_room(mt_plan_t *plan, const mt_plan_index_t *index,
			    const mt_plan_unit_t *unit, bool one_rack,
			    mt_server_set_t *part)
{
	uint32_t slowest = mt_speed_slowest_after_stop(&index->classes, unit);
	const mt_server_set_t *set;

	if (!slowest)
		return false;
	set = find_fast_room(plan, index, unit, one_rack, slowest);
	if (!set)
		set = preempt_on_fast(plan, index, unit, one_rack, slowest);
	if (!set)
		return false;
	*part = fast_part_of(index, set, slowest).part;
	return true;
}
