/** @file reclaim.c Selects the runs to stop so that a job fits. */
#include "decide/reclaim.h"

/**
 * Defragmentation is worthwhile if the job has at least this many times the
 * accelerators of all the runs whose capacity it takes.
 */
#define DEFRAGMENT_GAIN 2

/**
 * A gang must have waited for this part of `aging_s` before runs are stopped
 * for defragmentation.
 */
#define DEFRAGMENT_WAIT_DIVISOR 4

/**
 * Added to the run time of an urgent run when its cost is computed, so that it
 * usually sorts after the other runs. The cost also grows with accelerators and
 * value, so a large or valuable run may still sort after it.
 */
#define URGENT_LOSS_S 100000.0

/**
 * A source of capacity for the job: a run that may be stopped, or that is
 * already ending.
 */
typedef struct mt_capacity_source_t {
	const mt_view_run_t *run;
	guint index; /**< into mt_view_t.runs */
	double cost; /**< see lost_work() */
} mt_capacity_source_t;

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

static gint compare_sources(gconstpointer a, gconstpointer b)
{
	const mt_capacity_source_t *x = a;
	const mt_capacity_source_t *y = b;

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

/**
 * True when the run is ending, or may be stopped for this job and reason. A run
 * that may still be saving its progress does not count as ending for an urgent
 * job.
 */
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

static GArray *sort_sources(const mt_view_t *view,
			    const mt_guarantee_usage_t *usage,
			    const mt_view_waiting_job_t *job,
			    mt_reclaim_reason_t reason)
{
	GArray *sources =
		g_array_new(FALSE, FALSE, sizeof(mt_capacity_source_t));

	for (guint i = 0; i < view->runs->len; i++) {
		const mt_view_run_t *run = mt_view_run(view, i);
		mt_capacity_source_t source = {run, i, lost_work(view, run)};

		if (may_use_capacity_of(view, usage, i, job, reason))
			g_array_append_val(sources, source);
	}
	g_array_sort(sources, compare_sources);
	return sources;
}

/** The shape to place, and the capacity and servers to place it on. */
typedef struct mt_search_t {
	const mt_free_capacity_t *free_capacity;
	const mt_shape_t *shape;
	const bool *excluded;
} mt_search_t;

/** Places the shape as if the first `count` sources had ended. */
static GArray *place_without(const mt_search_t *search, const GArray *sources,
			     guint count)
{
	mt_free_capacity_t freed = mt_free_capacity_copy(search->free_capacity);
	GArray *parts;

	for (guint i = 0; i < count; i++) {
		const mt_view_run_t *run =
			g_array_index(sources, mt_capacity_source_t, i).run;

		mt_free_capacity_release(&freed, &run->shape, run->parts);
	}
	parts = mt_place(&freed, search->shape, search->excluded, MT_FIT_BEST);
	mt_free_capacity_clear(&freed);
	return parts;
}

/**
 * Least n for which the capacity of the first n sources is enough; -1 if that
 * of all sources is not.
 */
static int count_needed(const mt_search_t *search, const GArray *sources)
{
	guint low = 0;
	guint high = sources->len;
	GArray *parts = place_without(search, sources, high);

	if (!parts)
		return -1;
	g_array_unref(parts);
	while (low < high) {
		guint middle = low + (high - low) / 2;

		parts = place_without(search, sources, middle);
		if (parts) {
			g_array_unref(parts);
			high = middle;
		} else {
			low = middle + 1;
		}
	}
	return (int)low;
}

/**
 * Drops the sources that need not be stopped; tries the most costly first. Runs
 * that are already ending sort first and are kept.
 */
static void drop_unneeded_sources(const mt_search_t *search, GArray *sources)
{
	for (guint i = sources->len; i-- > 0;) {
		mt_capacity_source_t source =
			g_array_index(sources, mt_capacity_source_t, i);
		GArray *parts;

		if (source.run->ending)
			break;
		g_array_remove_index(sources, i);
		parts = place_without(search, sources, sources->len);
		if (parts)
			g_array_unref(parts);
		else
			g_array_insert_val(sources, i, source);
	}
}

static bool is_defragmentation_worthwhile(const mt_view_waiting_job_t *job,
					  const GArray *sources)
{
	uint64_t source_accelerators = 0;

	for (guint i = 0; i < sources->len; i++) {
		const mt_capacity_source_t *source =
			&g_array_index(sources, mt_capacity_source_t, i);

		source_accelerators +=
			mt_shape_total(&source->run->shape).accelerators;
	}
	return source_accelerators * DEFRAGMENT_GAIN <=
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

static void append_reclaims(const GArray *sources, mt_reclaim_reason_t reason,
			    GArray *reclaims)
{
	for (guint i = 0; i < sources->len; i++) {
		const mt_capacity_source_t *source =
			&g_array_index(sources, mt_capacity_source_t, i);
		mt_reclaim_t reclaim = {source->index, reason};

		if (!source->run->ending && !is_listed(reclaims, source->index))
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
	GArray *sources = sort_sources(view, usage, job, reason);
	int n_needed = count_needed(&search, sources);
	GArray *parts = NULL;

	if (n_needed >= 0) {
		g_array_set_size(sources, (guint)n_needed);
		drop_unneeded_sources(&search, sources);
		if (reason != MT_RECLAIM_DEFRAGMENT ||
		    is_defragmentation_worthwhile(job, sources))
			parts = place_without(&search, sources, sources->len);
	}
	if (parts)
		append_reclaims(sources, reason, reclaims);
	g_array_unref(sources);
	return parts;
}

bool mt_reclaim_may_defragment(const mt_view_t *view,
			       const mt_view_waiting_job_t *job)
{
	return job->shape.members > 1 &&
	       job->waited_ms > (mt_ms_t)view->policy.aging_s * 1000 /
					DEFRAGMENT_WAIT_DIVISOR;
}
