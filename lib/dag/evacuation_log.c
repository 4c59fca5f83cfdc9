/**
 * @file evacuation_log.c Logs which data centres are evacuated, and whether the
 * servers outside them suffice for the guarantees.
 */
#include "dag/engine_internal.h"

/** Logs that the evacuation of a data centre has begun or ended. */
static void log_zone(mt_engine_t *engine, const char *event,
		     mt_shared_name_t zone)
{
	char *printable = mt_text_printable(mt_shared_name_text(zone));
	unsigned n_servers = 0;
	unsigned n_tasks = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, engine->backends);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_backend_t *backend = value;

		if (!mt_shared_name_equal(backend->info.zone, zone))
			continue;
		n_servers += backend->listed;
		n_tasks += backend->tasks->len;
	}
	mt_kernel_event(engine->deps.kernel, event,
			"\"zone\":\"%s\",\"servers\":%u,\"tasks\":%u",
			printable, n_servers, n_tasks);
	g_free(printable);
}

/** Logs the zones of `now` that are not in `before`. */
static void log_added(mt_engine_t *engine, const char *event, GHashTable *now,
		      GHashTable *before)
{
	GHashTableIter iter;
	gpointer zone;

	g_hash_table_iter_init(&iter, now);
	while (g_hash_table_iter_next(&iter, &zone, NULL)) {
		if (!g_hash_table_contains(before, zone))
			log_zone(engine, event, mt_shared_name_of_key(zone));
	}
}

static void log_changes(mt_engine_t *engine, GHashTable *zones)
{
	GHashTableIter iter;
	gpointer zone;

	log_added(engine, "zone_evacuated", zones, engine->logged_zones);
	log_added(engine, "zone_restored", engine->logged_zones, zones);
	g_hash_table_remove_all(engine->logged_zones);
	g_hash_table_iter_init(&iter, zones);
	while (g_hash_table_iter_next(&iter, &zone, NULL))
		g_hash_table_add(
			engine->logged_zones,
			mt_shared_name_new_key(mt_shared_name_of_key(zone)));
}

static void set_gauge(mt_engine_t *engine, const char *name, uint64_t value)
{
	*mt_kernel_counter(engine->deps.kernel, name) = value;
}

/** Number of tasks on servers of evacuated data centres. */
static uint64_t count_tasks(const mt_engine_t *engine)
{
	uint64_t n_tasks = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, engine->backends);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_backend_t *backend = value;

		if (mt_engine_is_evacuated(engine, backend))
			n_tasks += backend->tasks->len;
	}
	return n_tasks;
}

/* Guarantees. */

/** Accelerators of the servers that are neither draining nor evacuated. */
static uint64_t usable_gpu(const mt_engine_t *engine)
{
	uint64_t gpu = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, engine->backends);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_backend_t *backend = value;

		if (backend->listed && !backend->info.draining &&
		    !mt_engine_is_evacuated(engine, backend))
			gpu += backend->info.capacity.gpu;
	}
	return gpu;
}

/** Accelerators that are guaranteed to all accounts together. */
static uint64_t guaranteed_gpu(const mt_catalog_t *catalog)
{
	uint64_t gpu = 0;

	for (guint i = 0; i < catalog->accounts->len; i++) {
		const mt_client_account_t *account =
			catalog->accounts->pdata[i];

		gpu += account->guaranteed_gpu;
	}
	return gpu;
}

static void check_guarantees(mt_engine_t *engine)
{
	uint64_t usable = usable_gpu(engine);
	uint64_t guaranteed = guaranteed_gpu(engine->catalog);
	bool exceed = guaranteed > usable;

	set_gauge(engine, "guaranteed_gpu_missing",
		  exceed ? guaranteed - usable : 0);
	if (exceed == engine->guarantees_logged)
		return;
	engine->guarantees_logged = exceed;
	mt_kernel_event(engine->deps.kernel, "guarantees_exceed_capacity",
			"\"exceed\":%s,\"guaranteed_gpu\":%" G_GUINT64_FORMAT
			",\"usable_gpu\":%" G_GUINT64_FORMAT,
			exceed ? "true" : "false", guaranteed, usable);
}

void mt_evacuation_log_tick(mt_engine_t *engine)
{
	mt_evacuations_t *evacuations = engine->deps.evacuations;
	GHashTable *zones;

	if (!evacuations || !mt_evacuations_are_known(evacuations) ||
	    !mt_directory_is_complete(engine->deps.directory))
		return;
	zones = mt_evacuations_zones(evacuations);
	log_changes(engine, zones);
	set_gauge(engine, "evacuated_zones", g_hash_table_size(zones));
	set_gauge(engine, "evacuated_zone_tasks", count_tasks(engine));
	if (engine->catalog)
		check_guarantees(engine);
}

void mt_evacuation_log_reset(mt_engine_t *engine)
{
	if (!engine->deps.evacuations)
		return;
	g_hash_table_remove_all(engine->logged_zones);
	engine->guarantees_logged = false;
	set_gauge(engine, "evacuated_zones", 0);
	set_gauge(engine, "evacuated_zone_tasks", 0);
	set_gauge(engine, "guaranteed_gpu_missing", 0);
}
