/** @file wakeups.c Jobs that are awake and jobs that are asleep. */
#include "dag/wakeups.h"

#include "dag/table.h"

void mt_wakeups_init(mt_wakeups_t *wakeups)
{
	wakeups->awake = g_ptr_array_new();
	wakeups->asleep = g_sequence_new(NULL);
	wakeups->urgent = g_ptr_array_new();
}

void mt_wakeups_clear(mt_wakeups_t *wakeups)
{
	g_ptr_array_unref(wakeups->awake);
	g_sequence_free(wakeups->asleep);
	g_ptr_array_unref(wakeups->urgent);
}

static void add_awake(mt_wakeups_t *wakeups, mt_dag_job_t *job)
{
	job->awake_index = wakeups->awake->len;
	g_ptr_array_add(wakeups->awake, job);
}

static void remove_awake(mt_wakeups_t *wakeups, const mt_dag_job_t *job)
{
	guint index = job->awake_index;

	g_ptr_array_remove_index_fast(wakeups->awake, index);
	if (index < wakeups->awake->len) {
		mt_dag_job_t *moved = wakeups->awake->pdata[index];

		moved->awake_index = index;
	}
}

static void remove_urgent(mt_wakeups_t *wakeups, mt_dag_job_t *job)
{
	guint index = job->urgent_index;

	job->is_urgent = false;
	g_ptr_array_remove_index_fast(wakeups->urgent, index);
	if (index < wakeups->urgent->len) {
		mt_dag_job_t *moved = wakeups->urgent->pdata[index];

		moved->urgent_index = index;
	}
}

void mt_wakeups_update_priority(mt_wakeups_t *wakeups, mt_dag_job_t *job)
{
	if (job->is_urgent == !job->queue.priority)
		return;
	if (job->is_urgent) {
		remove_urgent(wakeups, job);
		return;
	}
	job->is_urgent = true;
	job->urgent_index = wakeups->urgent->len;
	g_ptr_array_add(wakeups->urgent, job);
}

void mt_wakeups_add(mt_wakeups_t *wakeups, mt_dag_job_t *job)
{
	add_awake(wakeups, job);
	mt_wakeups_update_priority(wakeups, job);
}

void mt_wakeups_remove(mt_wakeups_t *wakeups, mt_dag_job_t *job)
{
	if (job->asleep_at)
		g_sequence_remove(job->asleep_at);
	else
		remove_awake(wakeups, job);
	job->asleep_at = NULL;
	if (job->is_urgent)
		remove_urgent(wakeups, job);
}

void mt_wakeups_remove_all(mt_wakeups_t *wakeups)
{
	g_ptr_array_set_size(wakeups->awake, 0);
	g_ptr_array_set_size(wakeups->urgent, 0);
	g_sequence_remove_range(g_sequence_get_begin_iter(wakeups->asleep),
				g_sequence_get_end_iter(wakeups->asleep));
}

static int64_t next_start(const mt_dag_job_t *job)
{
	return mt_dag_job_earliest_start(job, job->n_opened);
}

void mt_wakeups_wake_due(mt_wakeups_t *wakeups, int64_t wall_ms)
{
	while (!g_sequence_is_empty(wakeups->asleep)) {
		GSequenceIter *first =
			g_sequence_get_begin_iter(wakeups->asleep);
		mt_dag_job_t *job = g_sequence_get(first);

		if (next_start(job) > wall_ms)
			return;
		g_sequence_remove(first);
		job->asleep_at = NULL;
		add_awake(wakeups, job);
	}
}

static gint compare_starts(gconstpointer a, gconstpointer b, gpointer ctx)
{
	int64_t x = next_start(a);
	int64_t y = next_start(b);

	return x < y ? -1 : x > y;
}

static bool may_sleep(const mt_dag_job_t *job, int64_t wall_ms)
{
	return !job->occurrences->len && !job->dirty && !job->cancelled &&
	       !mt_state_is_final(job->state) &&
	       job->n_opened < job->n_occurrences && next_start(job) > wall_ms;
}

void mt_wakeups_let_sleep(mt_wakeups_t *wakeups, int64_t wall_ms)
{
	for (guint i = wakeups->awake->len; i-- > 0;) {
		mt_dag_job_t *job = wakeups->awake->pdata[i];

		if (!may_sleep(job, wall_ms))
			continue;
		remove_awake(wakeups, job);
		job->asleep_at = g_sequence_insert_sorted(wakeups->asleep, job,
							  compare_starts, NULL);
	}
}
