/** @file place.c Places the members of a job adjacent to one another. */
#include "decide/place.h"

#include <string.h>

mt_free_capacity_t mt_free_capacity_new(const mt_view_t *view)
{
	mt_free_capacity_t free_capacity = {
		view, g_new0(mt_server_capacity_t, view->servers->len + 1)};

	for (guint i = 0; i < view->servers->len; i++) {
		const mt_view_server_t *server = mt_view_server(view, i);

		if (!server->usable)
			continue;
		free_capacity.per_server[i].free = server->total;
		free_capacity.per_server[i].slots = server->slots;
	}
	for (guint i = 0; i < view->runs->len; i++) {
		const mt_view_run_t *run = mt_view_run(view, i);

		mt_free_capacity_allocate(&free_capacity, &run->shape,
					  run->parts);
	}
	return free_capacity;
}

mt_free_capacity_t mt_free_capacity_copy(const mt_free_capacity_t *from)
{
	gsize bytes =
		sizeof(mt_server_capacity_t) * (from->view->servers->len + 1);

	return (mt_free_capacity_t){from->view,
				    g_memdup2(from->per_server, bytes)};
}

void mt_free_capacity_clear(mt_free_capacity_t *free_capacity)
{
	g_clear_pointer(&free_capacity->per_server, g_free);
}

static mt_resources_t part_resources(const mt_shape_t *shape, uint32_t members)
{
	mt_shape_t part = {members, shape->each};

	return mt_shape_total(&part);
}

void mt_free_capacity_allocate(mt_free_capacity_t *free_capacity,
			       const mt_shape_t *shape, const GArray *parts)
{
	for (guint i = 0; i < parts->len; i++) {
		const mt_part_t *part = &g_array_index(parts, mt_part_t, i);
		mt_server_capacity_t *capacity =
			&free_capacity->per_server[part->server];

		capacity->free = mt_resources_subtract(
			capacity->free, part_resources(shape, part->members));
		capacity->slots -= MIN(capacity->slots, part->members);
	}
}

void mt_free_capacity_release(mt_free_capacity_t *free_capacity,
			      const mt_shape_t *shape, const GArray *parts)
{
	for (guint i = 0; i < parts->len; i++) {
		const mt_part_t *part = &g_array_index(parts, mt_part_t, i);
		mt_server_capacity_t *capacity =
			&free_capacity->per_server[part->server];

		if (!mt_view_server(free_capacity->view, part->server)->usable)
			continue;
		capacity->free = mt_resources_add(
			capacity->free, part_resources(shape, part->members));
		capacity->slots += part->members;
	}
}

/** Number of members that fit into the capacity, if each one needs `each`. */
static uint32_t capacity_members(const mt_server_capacity_t *capacity,
				 const mt_resources_t *each)
{
	uint32_t members = capacity->slots;

	if (each->processors)
		members = MIN(members,
			      capacity->free.processors / each->processors);
	if (each->memory_mb)
		members = MIN(members,
			      capacity->free.memory_mb / each->memory_mb);
	if (each->accelerators)
		members = MIN(members,
			      capacity->free.accelerators / each->accelerators);
	return members;
}

static void add_part(GArray *parts, uint32_t server, uint32_t members)
{
	mt_part_t part = {server, members};

	g_array_append_val(parts, part);
}

/**
 * Free capacity that a server has left with all members placed on it, as one
 * number to compare servers by: accelerators count first, then processors.
 */
static uint64_t leftover(const mt_server_capacity_t *capacity,
			 const mt_shape_t *shape)
{
	mt_resources_t rest = mt_resources_subtract(
		capacity->free, part_resources(shape, shape->members));

	return (uint64_t)rest.accelerators << 32 | rest.processors;
}

/**
 * Places all members on one server.
 * @param members_per_server the number of members that fit on each server
 */
static GArray *place_on_server(const mt_free_capacity_t *free_capacity,
			       const uint32_t *members_per_server,
			       const mt_shape_t *shape, mt_fit_t fit)
{
	guint count = free_capacity->view->servers->len;
	guint best = count;
	GArray *parts;

	for (guint i = 0; i < count; i++) {
		if (members_per_server[i] < shape->members)
			continue;
		if (best == count ||
		    leftover(&free_capacity->per_server[i], shape) <
			    leftover(&free_capacity->per_server[best], shape))
			best = i;
		if (fit == MT_FIT_FIRST)
			break;
	}
	if (best == count)
		return NULL;
	parts = g_array_new(FALSE, FALSE, sizeof(mt_part_t));
	add_part(parts, best, shape->members);
	return parts;
}

/** A server on which at least one member fits. */
typedef struct mt_server_candidate_t {
	guint server;
	uint32_t members; /**< number that fits there */
} mt_server_candidate_t;

static gint compare_candidates(gconstpointer a, gconstpointer b)
{
	const mt_server_candidate_t *x = a;
	const mt_server_candidate_t *y = b;

	if (x->members != y->members)
		return x->members > y->members ? -1 : 1;
	return x->server < y->server ? -1 : x->server > y->server;
}

/**
 * Places the members on the servers [from, to), beginning with the server on
 * which the most members fit. Once a server can take all members that remain,
 * they go to the one with the least room among the servers that can.
 */
static GArray *fill_range(const uint32_t *members_per_server, guint from,
			  guint to, uint32_t members)
{
	GArray *candidates =
		g_array_new(FALSE, FALSE, sizeof(mt_server_candidate_t));
	GArray *parts = g_array_new(FALSE, FALSE, sizeof(mt_part_t));

	for (guint i = from; i < to; i++) {
		mt_server_candidate_t candidate = {i, members_per_server[i]};

		if (members_per_server[i])
			g_array_append_val(candidates, candidate);
	}
	g_array_sort(candidates, compare_candidates);
	for (guint i = 0; i < candidates->len && members; i++) {
		mt_server_candidate_t *at =
			&g_array_index(candidates, mt_server_candidate_t, i);
		uint32_t taken = MIN(at->members, members);

		/* All remaining members fit here. Skip to the last server in
		 * the order that can take them, which has the least room. */
		while (taken == members && i + 1 < candidates->len &&
		       g_array_index(candidates, mt_server_candidate_t, i + 1)
				       .members >= members)
			at = &g_array_index(candidates, mt_server_candidate_t,
					    ++i);
		add_part(parts, at->server, taken);
		members -= taken;
	}
	g_array_unref(candidates);
	g_assert(!members);
	return parts;
}

/**
 * Returns the index of the first server of each rack, then the number of
 * servers. The servers of rack i are [rack_bounds[i], rack_bounds[i + 1]).
 */
static GArray *find_rack_bounds(const mt_view_t *view)
{
	GArray *rack_bounds = g_array_new(FALSE, FALSE, sizeof(guint));
	guint end = view->servers->len;

	for (guint i = 0; i < view->servers->len; i++) {
		if (!i || mt_view_server(view, i)->rack !=
				  mt_view_server(view, i - 1)->rack)
			g_array_append_val(rack_bounds, i);
	}
	g_array_append_val(rack_bounds, end);
	return rack_bounds;
}

/** True when the racks [first, last] are numbered without a gap. */
static bool are_neighbours(const mt_view_t *view, const GArray *rack_bounds,
			   guint first, guint last)
{
	guint from = g_array_index(rack_bounds, guint, first);
	guint to = g_array_index(rack_bounds, guint, last);

	return mt_view_server(view, to)->rack -
		       mt_view_server(view, from)->rack ==
	       last - first;
}

static uint64_t sum_members(const uint32_t *members_per_server, guint from,
			    guint to)
{
	uint64_t sum = 0;

	for (guint i = from; i < to; i++)
		sum += members_per_server[i];
	return sum;
}

/**
 * Places the members in `n_racks` neighbouring racks. If several sequences of
 * racks have room for the members, MT_FIT_BEST chooses the one with the least
 * room.
 */
static GArray *place_in_racks(const mt_free_capacity_t *free_capacity,
			      const uint32_t *members_per_server,
			      const GArray *rack_bounds, guint n_racks,
			      uint32_t members, mt_fit_t fit)
{
	guint total_racks = rack_bounds->len - 1;
	uint64_t best_sum = UINT64_MAX;
	guint best = total_racks;

	for (guint rack = 0; rack + n_racks <= total_racks; rack++) {
		uint64_t sum = sum_members(
			members_per_server,
			g_array_index(rack_bounds, guint, rack),
			g_array_index(rack_bounds, guint, rack + n_racks));

		if (sum < members || sum >= best_sum ||
		    !are_neighbours(free_capacity->view, rack_bounds, rack,
				    rack + n_racks - 1))
			continue;
		best = rack;
		best_sum = sum;
		if (fit == MT_FIT_FIRST)
			break;
	}
	if (best == total_racks)
		return NULL;
	return fill_range(
		members_per_server, g_array_index(rack_bounds, guint, best),
		g_array_index(rack_bounds, guint, best + n_racks), members);
}

/** Number of members that fit into the largest rack when it is empty. */
static uint32_t max_rack_members(const mt_view_t *view,
				 const GArray *rack_bounds,
				 const mt_resources_t *each)
{
	uint32_t best = 0;

	for (guint rack = 0; rack + 1 < rack_bounds->len; rack++) {
		uint32_t sum = 0;

		for (guint i = g_array_index(rack_bounds, guint, rack);
		     i < g_array_index(rack_bounds, guint, rack + 1); i++) {
			const mt_view_server_t *server =
				mt_view_server(view, i);
			mt_server_capacity_t empty = {server->total,
						      server->slots};

			sum += capacity_members(&empty, each);
		}
		best = MAX(best, sum);
	}
	return best;
}

/**
 * Maximum number of neighbouring racks in which the gang counts as adjacent,
 * n + 1 in place.h; 0 if no member fits into any rack.
 */
static guint max_adjacent_racks(const mt_view_t *view,
				const GArray *rack_bounds,
				const mt_shape_t *shape)
{
	uint32_t rack_members =
		max_rack_members(view, rack_bounds, &shape->each);

	if (!rack_members)
		return 0;
	return (shape->members + rack_members - 1) / rack_members + 1;
}

static GArray *place_gang(const mt_free_capacity_t *free_capacity,
			  const uint32_t *members_per_server,
			  const mt_shape_t *shape, mt_fit_t fit)
{
	GArray *rack_bounds = find_rack_bounds(free_capacity->view);
	guint max_racks =
		MIN(max_adjacent_racks(free_capacity->view, rack_bounds, shape),
		    rack_bounds->len - 1);
	GArray *parts = NULL;

	for (guint n_racks = 1; !parts && n_racks <= max_racks; n_racks++)
		parts = place_in_racks(free_capacity, members_per_server,
				       rack_bounds, n_racks, shape->members,
				       fit);
	g_array_unref(rack_bounds);
	return parts;
}

GArray *mt_place(const mt_free_capacity_t *free_capacity,
		 const mt_shape_t *shape, const bool *excluded, mt_fit_t fit)
{
	guint count = free_capacity->view->servers->len;
	uint32_t *members_per_server = g_new0(uint32_t, count + 1);
	GArray *parts = NULL;

	for (guint i = 0; i < count; i++) {
		if (!excluded || !excluded[i])
			members_per_server[i] = capacity_members(
				&free_capacity->per_server[i], &shape->each);
	}
	if (sum_members(members_per_server, 0, count) >= shape->members) {
		parts = place_on_server(free_capacity, members_per_server,
					shape, fit);
		if (!parts)
			parts = place_gang(free_capacity, members_per_server,
					   shape, fit);
	}
	g_free(members_per_server);
	return parts;
}

void mt_free_capacity_measure(const mt_free_capacity_t *free_capacity,
			      uint32_t *free_accelerators,
			      uint32_t *largest_block)
{
	GArray *rack_bounds = find_rack_bounds(free_capacity->view);
	const mt_view_t *view = free_capacity->view;
	uint32_t previous = 0;

	*free_accelerators = 0;
	*largest_block = 0;
	for (guint rack = 0; rack + 1 < rack_bounds->len; rack++) {
		uint32_t current = 0;

		for (guint i = g_array_index(rack_bounds, guint, rack);
		     i < g_array_index(rack_bounds, guint, rack + 1); i++)
			current +=
				free_capacity->per_server[i].free.accelerators;
		if (rack && !are_neighbours(view, rack_bounds, rack - 1, rack))
			previous = 0;
		*free_accelerators += current;
		*largest_block = MAX(*largest_block, previous + current);
		previous = current;
	}
	g_array_unref(rack_bounds);
}
