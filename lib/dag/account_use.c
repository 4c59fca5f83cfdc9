/** @file account_use.c Finds what accounts use beyond their guarantees. */
#include "dag/engine_internal.h"

/** Cores of a service that come with one of its accelerators. */
static double cores_per_gpu(const mt_engine_t *engine, mt_shared_name_t service)
{
	GHashTableIter iter;
	gpointer value;
	double cores = 0;
	double gpu = 0;

	g_hash_table_iter_init(&iter, engine->backends);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_backend_t *backend = value;

		if (!backend->listed ||
		    !mt_shared_name_equal(backend->info.service, service))
			continue;
		cores += mt_dag_resources_cores(&backend->info.capacity);
		gpu += backend->info.capacity.gpu;
	}
	return gpu > 0 ? cores / gpu : 0;
}

static double *find_or_add(GHashTable *use, char *account)
{
	double *cores = g_hash_table_lookup(use, account);

	if (!cores) {
		cores = g_new0(double, 1);
		g_hash_table_insert(use, account, cores);
	}
	return cores;
}

/** Deducts the guarantees of the accounts from what they use. */
static void deduct_guarantees(const mt_engine_t *engine,
			      mt_shared_name_t service, GHashTable *use)
{
	double per_gpu = cores_per_gpu(engine, service);
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, use);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const mt_client_account_t *account =
			engine->catalog
				? mt_catalog_account(engine->catalog, key)
				: NULL;
		double *cores = value;

		if (account)
			*cores -= account->guaranteed_gpu * per_gpu;
		*cores = MAX(*cores, 0);
	}
}

GHashTable *mt_account_use_find(const mt_engine_t *engine,
				mt_shared_name_t service)
{
	GHashTable *use =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, engine->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_dag_job_t *job = value;

		if (!mt_state_is_final(job->state) &&
		    mt_shared_name_equal(job->queue.service, service))
			*find_or_add(use, job->spec->account) +=
				mt_dag_resources_cores(&job->used);
	}
	deduct_guarantees(engine, service, use);
	return use;
}
