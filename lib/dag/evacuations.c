/** @file evacuations.c Reads which data centres are evacuated. */
#include "dag/evacuations.h"

#include "dag/follower.h"

/**
 * Part of `evacuation_ms` that is left for a start on its way to the server. It
 * has to exceed the time-out of a start.
 */
#define START_MARGIN_DIVISOR 5u

/**
 * Share of the maximum age of the copy for which a long poll waits. In normal
 * operation the age reaches twice the wait, as it counts from the time at which
 * the last answered poll was sent.
 */
#define POLL_WAIT_DIVISOR 4u

struct mt_evacuations_t {
	mt_kernel_t *kernel;
	const mt_store_port_t *store;
	const mt_evacuations_format_t *format;
	mt_ms_t age_max_ms;	 /**< no start while the copy is older */
	mt_follower_t *follower; /**< NULL: closed */
	GHashTable *zones;	 /**< evacuated data centres, by name */
	/** Those of the snapshot that is being read; NULL: none is. */
	GHashTable *snapshot_zones;
};

static GHashTable *new_zone_set(void)
{
	return mt_shared_name_table_new(NULL);
}

mt_evacuations_t *mt_evacuations_new(mt_kernel_t *kernel,
				     const mt_store_port_t *store,
				     const mt_evacuations_format_t *format,
				     mt_ms_t evacuation_ms)
{
	mt_evacuations_t *evacuations = g_new0(mt_evacuations_t, 1);

	evacuations->kernel = kernel;
	evacuations->store = store;
	evacuations->format = format;
	evacuations->age_max_ms =
		evacuation_ms - evacuation_ms / START_MARGIN_DIVISOR;
	evacuations->zones = new_zone_set();
	return evacuations;
}

/**
 * Reads the data centre from the key of a record; returns false if the record
 * is none of an evacuation, or no server can be in the data centre.
 */
static bool parse_zone(const mt_evacuations_t *evacuations, mt_str_t key,
		       mt_shared_name_t *zone)
{
	mt_str_t prefix = mt_str_from(evacuations->format->key_prefix);

	if (!mt_str_has_prefix(key, prefix))
		return false;
	key.data += prefix.len;
	key.len -= prefix.len;
	if (!key.len || !mt_shared_name_is_valid(key)) {
		mt_log(evacuations->kernel, MT_LOG_WARNING, "evacuations",
		       "ignoring the evacuation of a data centre whose name "
		       "has %zu bytes",
		       key.len);
		return false;
	}
	*zone = mt_shared_name_new(key);
	return true;
}

/**
 * While a snapshot is being read, `zones` still has those of the last one: a
 * data centre stays evacuated until the snapshot shows that it is not.
 */
static void on_record(void *ctx, const mt_store_record_t *record)
{
	mt_evacuations_t *evacuations = ctx;
	mt_shared_name_t zone;

	if (!parse_zone(evacuations, record->key, &zone))
		return;
	if (!record->value.len) {
		g_hash_table_remove(evacuations->zones,
				    mt_shared_name_key(zone));
		if (evacuations->snapshot_zones)
			g_hash_table_remove(evacuations->snapshot_zones,
					    mt_shared_name_key(zone));
		mt_shared_name_clear(&zone);
		return;
	}
	g_hash_table_add(evacuations->zones, mt_shared_name_new_key(zone));
	if (evacuations->snapshot_zones)
		g_hash_table_add(evacuations->snapshot_zones,
				 mt_shared_name_new_key(zone));
	mt_shared_name_clear(&zone);
}

/** A snapshot omits deleted records, so that it replaces the whole set. */
static void on_snapshot(void *ctx, bool begins)
{
	mt_evacuations_t *evacuations = ctx;

	if (begins) {
		g_clear_pointer(&evacuations->snapshot_zones,
				g_hash_table_destroy);
		evacuations->snapshot_zones = new_zone_set();
		return;
	}
	g_hash_table_destroy(evacuations->zones);
	evacuations->zones = g_steal_pointer(&evacuations->snapshot_zones);
}

void mt_evacuations_open(mt_evacuations_t *evacuations)
{
	mt_follower_handler_t handler = {evacuations, on_record, on_snapshot,
					 NULL};

	mt_evacuations_close(evacuations);
	evacuations->follower = mt_follower_new(
		evacuations->kernel, evacuations->store,
		evacuations->format->topic,
		evacuations->age_max_ms / POLL_WAIT_DIVISOR, &handler);
	/* The topic also has the configuration, which is large. A deletion that
	 * is skipped with it is seen as missing from the snapshot. */
	mt_follower_skip_replaced(evacuations->follower);
}

void mt_evacuations_close(mt_evacuations_t *evacuations)
{
	if (!evacuations->follower)
		return;
	mt_follower_stop(evacuations->follower);
	evacuations->follower = NULL;
	g_hash_table_remove_all(evacuations->zones);
	g_clear_pointer(&evacuations->snapshot_zones, g_hash_table_destroy);
}

void mt_evacuations_free(mt_evacuations_t *evacuations)
{
	mt_evacuations_close(evacuations);
	g_hash_table_destroy(evacuations->zones);
	g_free(evacuations);
}

/** MT_NEVER_MS before the first complete snapshot. */
static mt_ms_t age_of(const mt_evacuations_t *evacuations)
{
	return evacuations->follower ? mt_follower_age(evacuations->follower)
				     : MT_NEVER_MS;
}

bool mt_evacuations_are_known(const mt_evacuations_t *evacuations)
{
	return age_of(evacuations) != MT_NEVER_MS;
}

bool mt_evacuations_are_fresh(const mt_evacuations_t *evacuations)
{
	return age_of(evacuations) <= evacuations->age_max_ms;
}

bool mt_evacuations_contain(const mt_evacuations_t *evacuations,
			    mt_shared_name_t zone)
{
	/* Mostly there is none; the planner asks for each server. */
	return g_hash_table_size(evacuations->zones) &&
	       g_hash_table_contains(evacuations->zones,
				     mt_shared_name_key(zone));
}

GHashTable *mt_evacuations_zones(const mt_evacuations_t *evacuations)
{
	return evacuations->zones;
}
