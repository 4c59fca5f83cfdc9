/** @file plan.c Greedy placement with reclaim. */
#include "dag/plan.h"

#include <stdlib.h>
#include <string.h>

/** Which room of a server is counted. */
typedef enum mt_room_kind_t {
	MT_ROOM_FREE,
	MT_ROOM_COMING,	 /**< free, or being freed */
	MT_ROOM_RECLAIM, /**< with the victims that are tried */
} mt_room_kind_t;

/** A set of servers that one unit may use. */
typedef struct mt_scope_t {
	const mt_plan_t *plan;
	const mt_plan_unit_t *unit;
	GQuark rack; /**< 0: all racks */
	mt_room_kind_t kind;
	const mt_amount_t *extra; /**< per server, of victims that are tried */
} mt_scope_t;

bool mt_amount_fits(const mt_amount_t *need, const mt_amount_t *room)
{
	return need->cpu_milli <= room->cpu_milli &&
	       need->mem_mb <= room->mem_mb && need->gpu <= room->gpu;
}

void mt_amount_add(mt_amount_t *sum, const mt_amount_t *part)
{
	sum->cpu_milli += part->cpu_milli;
	sum->mem_mb += part->mem_mb;
	sum->gpu += part->gpu;
}

static uint32_t less(uint32_t a, uint32_t b)
{
	return a > b ? a - b : 0;
}

void mt_amount_sub(mt_amount_t *sum, const mt_amount_t *part)
{
	sum->cpu_milli = less(sum->cpu_milli, part->cpu_milli);
	sum->mem_mb = less(sum->mem_mb, part->mem_mb);
	sum->gpu = less(sum->gpu, part->gpu);
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
static bool disturbs(const mt_plan_unit_t *unit, const mt_plan_server_t *server)
{
	return (unit->fills && server->serves) ||
	       (unit->serves && server->fills);
}

static bool is_allowed(const mt_scope_t *scope, uint32_t server)
{
	const mt_plan_server_t *at = &scope->plan->servers[server];

	if (scope->rack && at->rack != scope->rack)
		return false;
	if (scope->unit->allowed && !scope->unit->allowed[server])
		return false;
	if (disturbs(scope->unit, at))
		return false;
	return !scope->unit->label || has_label(at, scope->unit->label);
}

static mt_amount_t room_of(const mt_scope_t *scope, uint32_t server)
{
	const mt_plan_server_t *at = &scope->plan->servers[server];
	mt_amount_t room = at->free;

	if (scope->kind != MT_ROOM_FREE)
		mt_amount_add(&room, &at->coming);
	if (scope->extra)
		mt_amount_add(&room, &scope->extra[server]);
	return room;
}

static uint32_t times(uint32_t room, uint32_t need)
{
	return need ? room / need : UINT32_MAX;
}

/** Tasks of the unit that fit on one server. */
static uint32_t fit_on(const mt_scope_t *scope, uint32_t server)
{
	const mt_plan_unit_t *unit = scope->unit;
	mt_amount_t room = room_of(scope, server);
	uint32_t fit = MIN(times(room.cpu_milli, unit->need.cpu_milli),
			   MIN(times(room.mem_mb, unit->need.mem_mb),
			       times(room.gpu, unit->need.gpu)));

	if (unit->per_server_max) {
		uint32_t held = unit->held ? unit->held[server] : 0;

		fit = MIN(fit, less(unit->per_server_max, held));
	}
	return fit;
}

/** Tasks that fit within the scope, counted up to the unit's size. */
static uint32_t fit_in(const mt_scope_t *scope)
{
	uint32_t fit = 0;

	for (uint32_t i = 0; i < scope->plan->n_servers; i++) {
		if (!is_allowed(scope, i))
			continue;
		fit += MIN(fit_on(scope, i), scope->unit->count);
		if (fit >= scope->unit->count)
			return fit;
	}
	return fit;
}

typedef struct mt_slot_t {
	uint32_t server;
	uint32_t fit;
	uint32_t left; /**< accelerators left over when filled */
	uint32_t penalty;
} mt_slot_t;

/** Fullest servers first, so that whole servers stay free. */
static int compare_slots(const void *a, const void *b)
{
	const mt_slot_t *x = a;
	const mt_slot_t *y = b;

	if (x->penalty != y->penalty)
		return x->penalty < y->penalty ? -1 : 1;
	if (x->left != y->left)
		return x->left < y->left ? -1 : 1;
	return x->server < y->server ? -1 : x->server > y->server;
}

/** Puts up to `count` tasks of the unit on servers of the scope. */
static uint32_t fill(const mt_scope_t *scope, uint32_t *chosen, uint32_t count)
{
	mt_slot_t *slots = g_new(mt_slot_t, scope->plan->n_servers);
	uint32_t n = 0;
	uint32_t done = 0;

	for (uint32_t i = 0; i < scope->plan->n_servers; i++) {
		mt_slot_t slot = {i, 0, 0, scope->plan->servers[i].penalty};

		if (!is_allowed(scope, i))
			continue;
		slot.fit = MIN(fit_on(scope, i), count);
		if (!slot.fit)
			continue;
		slot.left = room_of(scope, i).gpu -
			    slot.fit * scope->unit->need.gpu;
		slots[n++] = slot;
	}
	if (n)
		qsort(slots, n, sizeof(*slots), compare_slots);
	for (uint32_t i = 0; i < n && done < count; i++) {
		for (uint32_t k = 0; k < slots[i].fit && done < count; k++)
			chosen[done++] = slots[i].server;
	}
	g_free(slots);
	return done;
}

/** Takes the room of the unit's tasks away from those that come later. */
static void claim(mt_plan_t *plan, const mt_plan_unit_t *unit,
		  const uint32_t *chosen, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		mt_plan_server_t *server = &plan->servers[chosen[i]];
		mt_amount_t lacking = unit->need;

		server->serves = server->serves || unit->serves;
		server->fills = server->fills || unit->fills;
		mt_amount_sub(&lacking, &server->free);
		mt_amount_sub(&server->free, &unit->need);
		mt_amount_sub(&server->coming, &lacking);
	}
}

/** Racks of the servers, each once; ended by 0. */
static GQuark *list_racks(const mt_plan_t *plan)
{
	GQuark *racks = g_new0(GQuark, plan->n_servers + 1);
	uint32_t n = 0;

	for (uint32_t i = 0; i < plan->n_servers; i++) {
		uint32_t k = 0;

		while (k < n && racks[k] != plan->servers[i].rack)
			k++;
		if (k == n && plan->servers[i].rack)
			racks[n++] = plan->servers[i].rack;
	}
	return racks;
}

/** Accelerators within the scope. */
static uint32_t gpu_in(const mt_scope_t *scope)
{
	uint32_t gpu = 0;

	for (uint32_t i = 0; i < scope->plan->n_servers; i++) {
		if (is_allowed(scope, i))
			gpu += room_of(scope, i).gpu;
	}
	return gpu;
}

/** The rack with the least room that holds the whole unit; 0: none. */
static GQuark find_rack(const mt_plan_t *plan, const mt_plan_unit_t *unit,
			const GQuark *racks, mt_room_kind_t kind)
{
	GQuark best = 0;
	uint32_t best_gpu = 0;

	for (; *racks; racks++) {
		mt_scope_t scope = {plan, unit, *racks, kind, NULL};
		uint32_t gpu;

		if (unit->data_rack && *racks != unit->data_rack)
			continue;
		if (fit_in(&scope) < unit->count)
			continue;
		gpu = gpu_in(&scope);
		if (!best || gpu < best_gpu) {
			best = *racks;
			best_gpu = gpu;
		}
	}
	return best;
}

static bool is_victim_of(const mt_plan_victim_t *victim,
			 const mt_plan_unit_t *unit)
{
	if (victim->stopped)
		return false;
	if (victim->priority > unit->priority)
		return true;
	return unit->guaranteed && !victim->guaranteed &&
	       victim->priority == unit->priority;
}

typedef struct mt_group_cost_t {
	uint32_t group;
	double cost;
} mt_group_cost_t;

/** Groups that have a member in the scope, with what stopping them loses. */
static GArray *list_groups(const mt_scope_t *scope)
{
	GArray *groups = g_array_new(FALSE, FALSE, sizeof(mt_group_cost_t));
	const mt_plan_t *plan = scope->plan;

	for (uint32_t i = 0; i < plan->n_victims; i++) {
		const mt_plan_victim_t *victim = &plan->victims[i];
		mt_group_cost_t cost = {victim->group, 0};
		guint k = 0;

		if (!is_victim_of(victim, scope->unit) ||
		    !is_allowed(scope, victim->server))
			continue;
		while (k < groups->len &&
		       g_array_index(groups, mt_group_cost_t, k).group !=
			       victim->group)
			k++;
		if (k == groups->len)
			g_array_append_val(groups, cost);
	}
	for (uint32_t i = 0; i < plan->n_victims; i++) {
		for (guint k = 0; k < groups->len; k++) {
			mt_group_cost_t *group =
				&g_array_index(groups, mt_group_cost_t, k);

			if (group->group == plan->victims[i].group)
				group->cost += plan->victims[i].cost;
		}
	}
	return groups;
}

/** Marks or unmarks the members of a group that are not stopped yet. */
static void try_group(const mt_plan_t *plan, bool *tried, mt_amount_t *extra,
		      uint32_t group, bool on)
{
	for (uint32_t i = 0; i < plan->n_victims; i++) {
		const mt_plan_victim_t *victim = &plan->victims[i];

		if (victim->group != group || victim->stopped)
			continue;
		tried[i] = on;
		if (on)
			mt_amount_add(&extra[victim->server], &victim->amount);
		else
			mt_amount_sub(&extra[victim->server], &victim->amount);
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
 * Marks the victims that make the unit fit into the scope, the cheapest
 * groups first, and gives back those that turn out needless.
 * @return the cost, or a negative value when it does not fit
 */
static double choose_victims(mt_scope_t *scope, bool *tried)
{
	GArray *groups = list_groups(scope);
	mt_group_cost_t *all = (mt_group_cost_t *)groups->data;
	mt_amount_t *extra = g_new0(mt_amount_t, scope->plan->n_servers);
	double cost = 0;
	guint n = 0;
	bool fits;

	scope->extra = extra;
	if (groups->len)
		qsort(all, groups->len, sizeof(*all), compare_groups);
	while (n < groups->len && fit_in(scope) < scope->unit->count)
		try_group(scope->plan, tried, extra, all[n++].group, true);
	fits = fit_in(scope) >= scope->unit->count;
	while (fits && n-- > 0) {
		try_group(scope->plan, tried, extra, all[n].group, false);
		if (fit_in(scope) >= scope->unit->count)
			continue;
		try_group(scope->plan, tried, extra, all[n].group, true);
		cost += all[n].cost;
	}
	scope->extra = NULL;
	g_free(extra);
	g_array_unref(groups);
	return fits ? cost : -1;
}

/** Stops the marked victims; their room is coming. */
static void stop_tried(mt_plan_t *plan, const bool *tried)
{
	for (uint32_t i = 0; i < plan->n_victims; i++) {
		mt_plan_victim_t *victim = &plan->victims[i];

		if (!tried[i] || victim->stopped)
			continue;
		victim->stopped = true;
		mt_amount_add(&plan->servers[victim->server].coming,
			      &victim->amount);
	}
}

/** Finds the cheapest rack, or all racks, and stops what stands there. */
static bool reclaim(mt_plan_t *plan, const mt_plan_unit_t *unit,
		    const GQuark *racks, bool one_rack, GQuark *where)
{
	static const GQuark anywhere[] = {0, 0};
	bool *best = NULL;
	double best_cost = -1;

	for (const GQuark *rack = one_rack ? racks : anywhere;
	     one_rack ? *rack != 0 : rack == anywhere; rack++) {
		mt_scope_t scope = {plan, unit, *rack, MT_ROOM_RECLAIM, NULL};
		bool *tried;
		double cost;

		if (one_rack && unit->data_rack && *rack != unit->data_rack)
			continue;
		tried = g_new0(bool, plan->n_victims + 1);
		cost = choose_victims(&scope, tried);
		if (cost < 0 || (best && cost >= best_cost)) {
			g_free(tried);
			continue;
		}
		g_free(best);
		best = tried;
		best_cost = cost;
		*where = *rack;
	}
	if (!best)
		return false;
	stop_tried(plan, best);
	g_free(best);
	return true;
}

/** Places the unit in the scope; a whole unit only entirely. */
static bool place_in(mt_plan_t *plan, mt_plan_unit_t *unit, GQuark rack)
{
	mt_scope_t scope = {plan, unit, rack, MT_ROOM_FREE, NULL};
	uint32_t done;

	if (unit->whole && fit_in(&scope) < unit->count)
		return false;
	done = fill(&scope, unit->chosen, unit->count);
	claim(plan, unit, unit->chosen, done);
	unit->placed = done;
	return done == unit->count;
}

/** Keeps room that is free or coming for a unit that has to wait for it. */
static void reserve(mt_plan_t *plan, const mt_plan_unit_t *unit, GQuark rack)
{
	mt_scope_t scope = {plan, unit, rack, MT_ROOM_COMING, NULL};
	uint32_t *chosen = g_new(uint32_t, unit->count);
	uint32_t done = fill(&scope, chosen, unit->count - unit->placed);

	claim(plan, unit, chosen, done);
	g_free(chosen);
}

/** True when some rack could ever hold the unit: else it may spread. */
static bool wants_one_rack(const mt_plan_unit_t *unit)
{
	return unit->same_rack || unit->data_rack;
}

/**
 * The rack that already has room for most of the unit's tasks. Room that is
 * kept there grows, so the next plan finds the same rack.
 */
static GQuark find_fullest_rack(const mt_plan_t *plan,
				const mt_plan_unit_t *unit, const GQuark *racks)
{
	GQuark best = 0;
	uint32_t best_fit = 0;

	for (; *racks; racks++) {
		mt_scope_t scope = {plan, unit, *racks, MT_ROOM_COMING, NULL};
		uint32_t fit;

		if (unit->data_rack && *racks != unit->data_rack)
			continue;
		fit = fit_in(&scope);
		if (fit > best_fit) {
			best = *racks;
			best_fit = fit;
		}
	}
	return best;
}

static void serve_in_rack(mt_plan_t *plan, mt_plan_unit_t *unit,
			  const GQuark *racks)
{
	GQuark rack = find_rack(plan, unit, racks, MT_ROOM_FREE);

	if (rack) {
		place_in(plan, unit, rack);
		return;
	}
	if (!unit->whole && unit->data_rack && !unit->same_rack)
		place_in(plan, unit, unit->data_rack);
	rack = find_rack(plan, unit, racks, MT_ROOM_COMING);
	if (!rack && unit->may_reclaim)
		reclaim(plan, unit, racks, true, &rack);
	if (!rack && unit->reserves)
		rack = find_fullest_rack(plan, unit, racks);
	if (rack && unit->reserves)
		reserve(plan, unit, rack);
}

static void serve_anywhere(mt_plan_t *plan, mt_plan_unit_t *unit,
			   const GQuark *racks)
{
	mt_scope_t scope = {plan, unit, 0, MT_ROOM_COMING, NULL};
	GQuark where = 0;

	if (place_in(plan, unit, 0))
		return;
	if (fit_in(&scope) < unit->count && unit->may_reclaim)
		reclaim(plan, unit, racks, false, &where);
	if (unit->reserves)
		reserve(plan, unit, 0);
}

void mt_plan_run(mt_plan_t *plan)
{
	GQuark *racks = list_racks(plan);

	for (uint32_t i = 0; i < plan->n_units; i++) {
		mt_plan_unit_t *unit = &plan->units[i];

		unit->placed = 0;
		for (uint32_t k = 0; k < unit->count; k++)
			unit->chosen[k] = MT_PLAN_NONE;
		if (wants_one_rack(unit))
			serve_in_rack(plan, unit, racks);
		else
			serve_anywhere(plan, unit, racks);
	}
	g_free(racks);
}
