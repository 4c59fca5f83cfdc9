/**
 * @file plan_index.c Lookup tables of servers and victims, built once per plan.
 */
#include "dag/plan_internal.h"

/**
 * Groups the indexes from 0 to n - 1 by their keys, with a counting sort. The
 * indexes of each group are in ascending order.
 * @param keys the key of each index, below `n_keys`
 */
static mt_buckets_t group_by(const uint32_t *keys, uint32_t n, uint32_t n_keys)
{
	mt_buckets_t buckets = {g_new(uint32_t, n + 1),
				g_new0(uint32_t, n_keys + 2), n_keys};
	uint32_t *next;

	for (uint32_t i = 0; i < n; i++)
		buckets.start[keys[i] + 1]++;
	for (uint32_t key = 0; key < n_keys; key++)
		buckets.start[key + 1] += buckets.start[key];
	next = g_memdup2(buckets.start, sizeof(*next) * (n_keys + 1));
	for (uint32_t i = 0; i < n; i++)
		buckets.items[next[keys[i]]++] = i;
	g_free(next);
	return buckets;
}

static void free_buckets(mt_buckets_t *buckets)
{
	g_free(buckets->items);
	g_free(buckets->start);
}

/**
 * Groups servers by rack. Servers without a rack share the highest key, which
 * has no entry in `racks`, so that they do not form a rack.
 */
static void index_racks(mt_plan_index_t *index, const mt_plan_t *plan)
{
	/* Name of the rack to its index in `names`. */
	GHashTable *rack_indexes = g_hash_table_new(NULL, NULL);
	GArray *names = g_array_new(FALSE, FALSE, sizeof(GQuark));
	uint32_t *keys = g_new(uint32_t, plan->n_servers + 1);

	for (uint32_t i = 0; i < plan->n_servers; i++) {
		GQuark name = plan->servers[i].rack;
		gpointer key = GUINT_TO_POINTER(name);

		if (name && !g_hash_table_contains(rack_indexes, key)) {
			g_hash_table_insert(rack_indexes, key,
					    GUINT_TO_POINTER(names->len));
			g_array_append_val(names, name);
		}
	}
	for (uint32_t i = 0; i < plan->n_servers; i++) {
		GQuark name = plan->servers[i].rack;

		keys[i] = name ? GPOINTER_TO_UINT(g_hash_table_lookup(
					 rack_indexes, GUINT_TO_POINTER(name)))
			       : names->len;
	}
	index->n_racks = names->len;
	index->servers_by_rack =
		group_by(keys, plan->n_servers, names->len + 1);
	index->racks = g_new0(mt_server_set_t, names->len + 1);
	for (uint32_t i = 0; i < names->len; i++) {
		uint32_t first = index->servers_by_rack.start[i];

		index->racks[i].name = g_array_index(names, GQuark, i);
		index->racks[i].servers = &index->servers_by_rack.items[first];
		index->racks[i].n_servers =
			index->servers_by_rack.start[i + 1] - first;
	}
	g_hash_table_destroy(rack_indexes);
	g_array_unref(names);
	g_free(keys);
}

static void index_victims(mt_plan_index_t *index, const mt_plan_t *plan)
{
	uint32_t *servers = g_new(uint32_t, plan->n_victims + 1);
	uint32_t *groups = g_new(uint32_t, plan->n_victims + 1);
	uint32_t n_groups = 0;

	for (uint32_t i = 0; i < plan->n_victims; i++) {
		servers[i] = plan->victims[i].server;
		groups[i] = plan->victims[i].group;
		n_groups = MAX(n_groups, groups[i] + 1);
	}
	index->victims_by_server =
		group_by(servers, plan->n_victims, plan->n_servers);
	index->victims_by_group = group_by(groups, plan->n_victims, n_groups);
	index->group_cost = g_new0(double, n_groups + 1);
	for (uint32_t i = 0; i < plan->n_victims; i++)
		index->group_cost[groups[i]] += plan->victims[i].cost;
	g_free(servers);
	g_free(groups);
}

mt_plan_index_t *mt_plan_index_new(const mt_plan_t *plan)
{
	mt_plan_index_t *index = g_new0(mt_plan_index_t, 1);

	index->all_servers = g_new(uint32_t, plan->n_servers + 1);
	for (uint32_t i = 0; i < plan->n_servers; i++)
		index->all_servers[i] = i;
	index->all.servers = index->all_servers;
	index->all.n_servers = plan->n_servers;
	index_racks(index, plan);
	index_victims(index, plan);
	mt_speed_classes_init(&index->classes, plan);
	return index;
}

void mt_plan_index_free(mt_plan_index_t *index)
{
	mt_speed_classes_clear(&index->classes);
	free_buckets(&index->servers_by_rack);
	free_buckets(&index->victims_by_server);
	free_buckets(&index->victims_by_group);
	g_free(index->racks);
	g_free(index->group_cost);
	g_free(index->all_servers);
	g_free(index);
}

const mt_server_set_t *mt_plan_index_rack(const mt_plan_index_t *index,
					  GQuark name)
{
	for (uint32_t i = 0; i < index->n_racks; i++) {
		if (index->racks[i].name == name)
			return &index->racks[i];
	}
	return NULL;
}
