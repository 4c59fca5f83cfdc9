/**
 * @file guarantees.c Finds the jobs that are within their accounts' guarantees.
 */
#include "dag/engine_internal.h"

/** Sorts by the time since which this leader has known the job. */
static gint compare_known_since(gconstpointer a, gconstpointer b)
{
	const mt_dag_job_t *x = *(mt_dag_job_t *const *)a;
	const mt_dag_job_t *y = *(mt_dag_job_t *const *)b;

	if (x->known_since != y->known_since)
		return x->known_since < y->known_since ? -1 : 1;
	return x->id < y->id ? -1 : x->id > y->id;
}

GHashTable *mt_guarantees_find(const mt_engine_t *engine)
{
	GHashTable *guaranteed = g_hash_table_new(NULL, NULL);
	/* Priority 0 is the highest. */
	GPtrArray *top_priority_jobs = g_ptr_array_new();
	/* Accelerators that the guaranteed jobs require, by account. */
	GHashTable *gpu_by_account = g_hash_table_new(g_str_hash, g_str_equal);
	const GPtrArray *urgent = engine->wakeups.urgent;

	for (guint i = 0; i < urgent->len; i++) {
		mt_dag_job_t *job = urgent->pdata[i];

		if (!mt_state_is_final(job->state))
			g_ptr_array_add(top_priority_jobs, job);
	}
	g_ptr_array_sort(top_priority_jobs, compare_known_since);
	for (guint i = 0; i < top_priority_jobs->len; i++) {
		mt_dag_job_t *job = top_priority_jobs->pdata[i];
		const mt_client_account_t *account =
			engine->catalog ? mt_catalog_account(engine->catalog,
							     job->spec->account)
					: NULL;
		guint sum = GPOINTER_TO_UINT(g_hash_table_lookup(
				    gpu_by_account, job->spec->account)) +
			    mt_dag_job_gpu_wanted(job);

		if (!account || sum > account->guaranteed_gpu)
			continue;
		g_hash_table_insert(gpu_by_account, job->spec->account,
				    GUINT_TO_POINTER(sum));
		g_hash_table_add(guaranteed, job);
	}
	g_hash_table_destroy(gpu_by_account);
	g_ptr_array_unref(top_priority_jobs);
	return guaranteed;
}
