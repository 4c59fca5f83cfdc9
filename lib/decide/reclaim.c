/** @file reclaim.c Selects the runs to stop so that a job fits. */
#include "decide/reclaim.h"

/**
 * Defragmentation is worthwhile if the job has at least this many times the
 * accelerators of all the runs whose capacity it takes.
 */
#define DEFRAGMENT_GAIN 2

/**
 * Added to the run time of an urgent run when its cost is computed, so that it
 * sorts after the other runs.
 */
#define URGENT_LOSS_S 100000.0

/**
 * A run whose capacity may be used: one that may be stopped, or is ending
 * already.
 */
typedef struct mt_victim_t {
	const mt_view_run_t *run;
	guint index; /**< into mt_view_t.runs */
	double cost; /**< see lost_work() */
} mt_victim_t;

/**
 * Cost of stopping the run now: the accelerator seconds of work that would be
 * lost, weighted by value. Runs that are already ending cost -1 and sort first.
 */
static double lost_work(const mt_view_t *view, const mt_view_run_t *run)
{
	double ran_s =
		(double)(view->now - MIN(view->now, run->started_at)) / 1000;
	uint32_t accelerators =
		MAX(1, mt_shape_total(&run->shape).accelerators);

	if (run->ending)
		return -1;
	/* A checkpoint keeps the work: at most 1 s of it counts as lost. */
	if (run->checkpointable)
		ran_s = MIN(ran_s, 1);
	if (run->urgent)
		ran_s += URGENT_LOSS_S;
	return ran_s * accelerators * (1 + run->value);
}

static gint compare_victims(gconstpointer a, gconstpointer b)
{
	const mt_victim_t *x = a;
	const mt_victim_t *y = b;

	if (x->cost != y->cost)
		return x->cost < y->cost ? -1 : 1;
	return x->index < y->index ? -1 : x->index > y->index;
}

/**
 * True when the policy prefers large jobs and the run is smaller than the job,
 * of the same account and can be stopped. The job may then take over the run's
 * part of the guarantee.
 */
static bool yields_to_larger_job(const mt_view_t *view,
				 const mt_view_run_t *run,
				 const mt_view_waiting_job_t *job)
{
	return mt_view_prefers_large_jobs(view) &&
	       run->account == job->account && run->stoppable &&
	       mt_shape_total(&run->shape).accelerators <
		       mt_shape_total(&job->shape).accelerators;
}

/** True when the run is ending, or may be stopped for this job and reason. */
static bool may_use_capacity_of(const mt_view_t *view,
				const mt_guarantee_usage_t *usage, guint index,
				const mt_view_waiting_job_t *job,
				mt_reclaim_reason_t reason)
{
	const mt_view_run_t *run = mt_view_run(view, index);

	if (reason == MT_RECLAIM_GUARANTEE &&
	    yields_to_larger_job(view, run, job))
		return true;
	if (!usage->reclaimable[index])
		return false;
	/* An urgent job cannot wait until the run has saved its progress. */
	if (run->checkpointing && reason == MT_RECLAIM_URGENT)
		return false;
	if (run->ending || reason == MT_RECLAIM_GUARANTEE)
		return true;
	/* Only a guaranteed job may stop an urgent run. Urgent jobs would
	 * otherwise stop one another endlessly. */
	if (run->urgent)
		return false;
	return reason != MT_RECLAIM_DEFRAGMENT || run->checkpointable;
}

static GArray *sort_victims(const mt_view_t *view,
			    const mt_guarantee_usage_t *usage,
			    const mt_view_waiting_job_t *job,
			    mt_reclaim_reason_t reason)
{
	GArray *victims = g_array_new(FALSE, FALSE, sizeof(mt_victim_t));

	for (guint i = 0; i < view->runs->len; i++) {
		const mt_view_run_t *run = mt_view_run(view, i);
		mt_victim_t victim = {run, i, lost_work(view, run)};

		if (may_use_capacity_of(view, usage, i, job, reason))
			g_array_append_val(victims, victim);
	}
	g_array_sort(victims, compare_victims);
	return victims;
}

/** The shape to place, and the capacity and servers to place it on. */
typedef struct mt_search_t {
	const mt_free_capacity_t *free_capacity;
	const mt_shape_t *shape;
	const bool *excluded;
} mt_search_t;

/** Places the shape as if the first `count` victims had ended. */
static GArray *place_without(const mt_search_t *search, const GArray *victims,
			     guint count)
{
	mt_free_capacity_t freed = mt_free_capacity_copy(search->free_capacity);
	GArray *parts;

	for (guint i = 0; i < count; i++) {
		const mt_view_run_t *run =
			g_array_index(victims, mt_victim_t, i).run;

		mt_free_capacity_release(&freed, &run->shape, run->parts);
	}
	parts = mt_place(&freed, search->shape, search->excluded, MT_FIT_BEST);
	mt_free_capacity_clear(&freed);
	return parts;
}

/**
 * Least n for which the capacity of the first n victims is enough; -1 if that
 * of all victims is not.
 */
static int count_needed(const mt_search_t *search, const GArray *victims)
{
	guint low = 0;
	guint high = victims->len;
	GArray *parts = place_without(search, victims, high);

	if (!parts)
		return -1;
	g_array_unref(parts);
	while (low < high) {
		guint middle = low + (high - low) / 2;

		parts = place_without(search, victims, middle);
		if (parts) {
			g_array_unref(parts);
			high = middle;
		} else {
			low = middle + 1;
		}
	}
	return (int)low;
}

/** Drops the victims that need not be stopped; tries the most costly first. */
static void drop_unneeded_victims(const mt_search_t *search, GArray *victims)
{
	for (guint i = victims->len; i-- > 0;) {
		mt_victim_t victim = g_array_index(victims, mt_victim_t, i);
		GArray *parts;

		if (victim.run->ending)
			break;
		g_array_remove_index(victims, i);
		parts = place_without(search, victims, victims->len);
		if (parts)
			g_array_unref(parts);
		else
			g_array_insert_val(victims, i, victim);
	}
}

static bool is_defragmentation_worthwhile(const mt_view_waiting_job_t *job,
					  const GArray *victims)
{
	uint64_t victim_accelerators = 0;

	for (guint i = 0; i < victims->len; i++) {
		const mt_victim_t *victim =
			&g_array_index(victims, mt_victim_t, i);

		victim_accelerators +=
			mt_shape_total(&victim->run->shape).accelerators;
	}
	return victim_accelerators * DEFRAGMENT_GAIN <=
	       mt_shape_total(&job->shape).accelerators;
}

static bool is_listed(const GArray *reclaims, guint run)
{
	for (guint i = 0; i < reclaims->len; i++) {
		if (g_array_index(reclaims, mt_reclaim_t, i).run == run)
			return true;
	}
	return false;
}

static void append_reclaims(const GArray *victims, mt_reclaim_reason_t reason,
			    GArray *reclaims)
{
	for (guint i = 0; i < victims->len; i++) {
		const mt_victim_t *victim =
			&g_array_index(victims, mt_victim_t, i);
		mt_reclaim_t reclaim = {victim->index, reason};

		if (!victim->run->ending && !is_listed(reclaims, victim->index))
			g_array_append_val(reclaims, reclaim);
	}
}

GArray *mt_reclaim_select_runs(const mt_view_t *view,
			       const mt_free_capacity_t *free_capacity,
			       const mt_guarantee_usage_t *usage,
			       const mt_view_waiting_job_t *job,
			       const bool *excluded, mt_reclaim_reason_t reason,
			       GArray *reclaims)
{
	mt_search_t search = {free_capacity, &job->shape, excluded};
	GArray *victims = sort_victims(view, usage, job, reason);
	int n_needed = count_needed(&search, victims);
	GArray *parts = NULL;

	if (n_needed >= 0) {
		g_array_set_size(victims, (guint)n_needed);
		drop_unneeded_victims(&search, victims);
		if (reason != MT_RECLAIM_DEFRAGMENT ||
		    is_defragmentation_worthwhile(job, victims))
			parts = place_without(&search, victims, victims->len);
	}
	if (parts)
		append_reclaims(victims, reason, reclaims);
	g_array_unref(victims);
	return parts;
}

bool mt_reclaim_may_defragment(const mt_view_t *view,
			       const mt_view_waiting_job_t *job)
{
	/* After a quarter of `aging_s`, the wait has added 25 points to the
	 * job's score; a wait of `aging_s` adds 100. */
	return job->shape.members > 1 &&
	       job->waited_ms > (mt_ms_t)view->policy.aging_s * 1000 / 4;
}
