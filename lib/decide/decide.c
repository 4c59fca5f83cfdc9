/** @file decide.c Makes one scheduling decision for a data centre. */
#include "decide/decide.h"

#include <math.h>
#include <string.h>

#include "decide/reclaim.h"
#include "decide/reserve.h"

/**
 * Number of placements tried for one job. A placement that would increase the
 * guarantee deficit is rejected, and its servers are excluded when the job is
 * placed again.
 */
#define PLACE_ATTEMPTS 8

/** A decision ends after this many unplaced jobs (see `n_unplaced`). */
#define MAX_UNPLACED_JOBS 200u

/** A deadline within this many expected run times raises a job's score. */
#define DEADLINE_SLACK_RUNS 2

/** A run time of this length halves the weight of the response ratio. */
#define SHORT_RUN_S 60

/** Points for each `aging_s` of waiting, and for a deadline that is close. */
#define AGING_POINTS 100
#define DEADLINE_POINTS 100

/** Classes of waiting jobs, in the order in which they are considered. */
typedef enum mt_class_t {
	MT_CLASS_URGENT,
	MT_CLASS_GUARANTEED,
	MT_CLASS_OTHER,
} mt_class_t;

typedef struct mt_queue_entry_t {
	guint index; /**< index into mt_view_t.waiting_jobs */
	mt_class_t class;
	double score;
} mt_queue_entry_t;

/**
 * Placement of a waiting job for which capacity is reclaimed. The part of it
 * that is free is not given to other jobs in the rest of this decision. The
 * part that runs still occupy needs no mark, since no job can be placed there.
 * No run has to be stopped if runs that are ending anyway free enough, or if
 * the job fits on free capacity and was not started only because of the
 * guarantee deficit.
 */
typedef struct mt_earmark_t {
	mt_shape_t shape;
	GArray *parts; /**< of mt_part_t */
} mt_earmark_t;

/** Working state of one decision. */
typedef struct mt_decision_state_t {
	const mt_view_t *view;
	mt_algorithm_t algorithm;
	/** `view`, plus a run for each job started in this decision. */
	mt_view_t planned;
	mt_guarantee_usage_t usage;	  /**< by the runs of `planned` */
	mt_free_capacity_t free_capacity; /**< of `planned`, less earmarks */
	uint32_t deficit; /**< mt_guarantee_deficit() of `planned` */
	GArray *earmarks; /**< of mt_earmark_t */
	/**
	 * Number of unplaced jobs: those that find_placement() could not place
	 * outside the reservation.
	 */
	guint n_unplaced;
	mt_reservation_t reservation;
	mt_decision_t *decision;
} mt_decision_state_t;

static double deadline_bonus(const mt_view_waiting_job_t *job)
{
	mt_ms_t run = MAX(1, job->expected_run_ms);

	if (job->deadline_left_ms == MT_NEVER_MS)
		return 0;
	if (job->deadline_left_ms > DEADLINE_SLACK_RUNS * run)
		return 0;
	return 1;
}

/** Score of a waiting job within its class; higher scores go first. */
static double waiting_job_score(const mt_view_t *view,
				const mt_view_waiting_job_t *job)
{
	const mt_policy_t *policy = &view->policy;
	double run_s = (double)MAX(1000, job->expected_run_ms) / 1000;
	double waited_s = (double)job->waited_ms / 1000;
	uint32_t accelerators =
		MAX(1, mt_shape_total(&job->shape).accelerators);
	double response_ratio = 1 + waited_s / run_s;
	double value_rate = job->value / (run_s * accelerators);
	double size = log2(1 + accelerators);

	/* In the order of the terms:
	 *  - the response ratio, which grows with the wait divided by the run
	 *    time; it is divided by a number that grows with the run time,
	 *    which favours short jobs;
	 *  - the job's value per accelerator second;
	 *  - the size, which counts more the longer the job waits;
	 *  - the wait alone;
	 *  - the deadline, if it is close. */
	return policy->completion_weight * response_ratio /
		       (1 + run_s / SHORT_RUN_S) +
	       policy->value_weight * value_rate +
	       policy->fragmentation_weight * size * waited_s /
		       policy->aging_s +
	       AGING_POINTS * waited_s / policy->aging_s +
	       DEADLINE_POINTS * deadline_bonus(job);
}

/**
 * Gangs are not treated as urgent even if declared so: only a job with a single
 * member is sure to need no more than one server.
 */
static bool is_urgent(const mt_view_waiting_job_t *job)
{
	return job->urgent && job->shape.members == 1;
}

static mt_class_t class_of(const mt_decision_state_t *state,
			   const mt_view_waiting_job_t *job)
{
	if (state->algorithm != MT_ALGORITHM_FULL)
		return MT_CLASS_OTHER;
	if (is_urgent(job))
		return MT_CLASS_URGENT;
	if (mt_guarantee_covers(state->view, &state->usage, job->account,
				&job->shape))
		return MT_CLASS_GUARANTEED;
	return MT_CLASS_OTHER;
}

static gint compare_queue_entries(gconstpointer a, gconstpointer b)
{
	const mt_queue_entry_t *x = a;
	const mt_queue_entry_t *y = b;

	if (x->class != y->class)
		return x->class < y->class ? -1 : 1;
	if (x->score != y->score)
		return x->score > y->score ? -1 : 1;
	return x->index < y->index ? -1 : x->index > y->index;
}

static GArray *sort_waiting_jobs(const mt_decision_state_t *state)
{
	GArray *queue = g_array_new(FALSE, FALSE, sizeof(mt_queue_entry_t));

	for (guint i = 0; i < state->view->waiting_jobs->len; i++) {
		const mt_view_waiting_job_t *job =
			mt_view_waiting_job(state->view, i);
		mt_queue_entry_t entry = {i, class_of(state, job), 0};

		entry.score = state->algorithm == MT_ALGORITHM_FULL
				      ? waiting_job_score(state->view, job)
				      : (double)job->waited_ms;
		g_array_append_val(queue, entry);
	}
	g_array_sort(queue, compare_queue_entries);
	return queue;
}

/** Guaranteed accelerators that cannot be placed, given the runs of a view. */
static uint32_t view_deficit(const mt_view_t *view)
{
	mt_guarantee_usage_t usage = mt_guarantee_usage_new(view);
	mt_free_capacity_t free_capacity = mt_free_capacity_new(view);
	mt_free_capacity_t obtainable =
		mt_free_capacity_with_reclaimable(&free_capacity, &usage);
	uint32_t deficit = mt_guarantee_deficit(&obtainable, &usage);

	mt_free_capacity_clear(&obtainable);
	mt_free_capacity_clear(&free_capacity);
	mt_guarantee_usage_clear(&usage);
	return deficit;
}

/**
 * Adds a run of the job to the runs of `planned`. The caller keeps ownership of
 * `parts`. `urgent` is as declared, also for a gang; it is not read for these
 * runs, since a decision stops only runs of `view`.
 */
static void push_run(mt_decision_state_t *state,
		     const mt_view_waiting_job_t *job, GArray *parts)
{
	mt_view_run_t run = {.account = job->account,
			     .shape = job->shape,
			     .parts = parts,
			     .started_at = state->view->now,
			     .expected_end =
				     state->view->now + job->expected_run_ms,
			     .value = job->value,
			     .urgent = job->urgent,
			     .stoppable = job->stoppable};

	g_array_append_val(state->planned.runs, run);
}

static void pop_run(mt_decision_state_t *state)
{
	g_array_set_size(state->planned.runs, state->planned.runs->len - 1);
}

/** True when running the job on `parts` does not increase the deficit. */
static bool keeps_guarantees(mt_decision_state_t *state,
			     const mt_view_waiting_job_t *job, GArray *parts)
{
	bool keeps_all;

	push_run(state, job, parts);
	keeps_all = view_deficit(&state->planned) <= state->deficit;
	pop_run(state);
	return keeps_all;
}

/** Recomputes usage, free capacity and deficit from `planned`. */
static void recompute(mt_decision_state_t *state)
{
	mt_guarantee_usage_clear(&state->usage);
	mt_free_capacity_clear(&state->free_capacity);
	state->usage = mt_guarantee_usage_new(&state->planned);
	state->free_capacity = mt_free_capacity_new(&state->planned);
	state->deficit = view_deficit(&state->planned);
	for (guint i = 0; i < state->earmarks->len; i++) {
		const mt_earmark_t *earmark =
			&g_array_index(state->earmarks, mt_earmark_t, i);

		mt_free_capacity_allocate(&state->free_capacity,
					  &earmark->shape, earmark->parts);
	}
}

/** Returns a new array that marks the servers excluded for the job. */
static bool *copy_job_excluded(const mt_decision_state_t *state,
			       const mt_view_waiting_job_t *job)
{
	guint count = state->view->servers->len;
	bool *excluded = g_new0(bool, count + 1);

	if (job->excluded_servers)
		memcpy(excluded, job->excluded_servers, count * sizeof(bool));
	return excluded;
}

/**
 * Like copy_job_excluded(), but also marks the reserved servers if the job
 * would delay the reserved job.
 */
static bool *copy_excluded(const mt_decision_state_t *state,
			   const mt_view_waiting_job_t *job)
{
	bool *excluded = copy_job_excluded(state, job);

	mt_reservation_exclude(&state->reservation, state->view, job, excluded);
	return excluded;
}

static void exclude_parts(bool *excluded, const GArray *parts)
{
	for (guint i = 0; i < parts->len; i++)
		excluded[g_array_index(parts, mt_part_t, i).server] = true;
}

/**
 * Finds free capacity for a job. MT_ALGORITHM_FULL accepts only placements that
 * do not increase the guarantee deficit. Takes ownership of `excluded`.
 * @return the parts (mt_part_t), or NULL
 */
static GArray *find_placement(mt_decision_state_t *state,
			      const mt_view_waiting_job_t *job, bool *excluded)
{
	mt_fit_t fit = state->algorithm == MT_ALGORITHM_FULL ? MT_FIT_BEST
							     : MT_FIT_FIRST;
	GArray *parts = NULL;

	for (int i = 0; i < PLACE_ATTEMPTS; i++) {
		parts = mt_place(&state->free_capacity, &job->shape, excluded,
				 fit);
		if (!parts || state->algorithm != MT_ALGORITHM_FULL ||
		    keeps_guarantees(state, job, parts))
			break;
		exclude_parts(excluded, parts);
		g_clear_pointer(&parts, g_array_unref);
	}
	g_free(excluded);
	return parts;
}

/** Adds the job to `starts`, which takes ownership of `parts`. */
static void start_job(mt_decision_state_t *state, guint index, GArray *parts)
{
	mt_start_t entry = {index, parts};

	push_run(state, mt_view_waiting_job(state->view, index), parts);
	g_array_append_val(state->decision->starts, entry);
	recompute(state);
}

/**
 * Selects runs to stop, possibly none, so that the job fits, and earmarks its
 * placement (see mt_earmark_t).
 */
static bool reclaim_capacity(mt_decision_state_t *state,
			     const mt_view_waiting_job_t *job,
			     const bool *excluded, mt_reclaim_reason_t reason)
{
	mt_earmark_t earmark = {job->shape, NULL};

	/* `usage` is that of `planned`, whose runs begin with those of `view`.
	 * So the indices of the runs of `view` are valid in `usage`. */
	earmark.parts = mt_reclaim_select_runs(
		state->view, &state->free_capacity, &state->usage, job,
		excluded, reason, state->decision->reclaims);
	if (!earmark.parts)
		return false;
	mt_free_capacity_allocate(&state->free_capacity, &earmark.shape,
				  earmark.parts);
	g_array_append_val(state->earmarks, earmark);
	return true;
}

/**
 * Starts an unplaced urgent or guaranteed job, or reclaims capacity for it.
 * Tries in this order: to reclaim capacity on servers that are not reserved, to
 * start the job on free capacity of any server, also a reserved one, and to
 * reclaim capacity on any server.
 */
static bool place_with_reclaim(mt_decision_state_t *state, guint index,
			       mt_reclaim_reason_t reason)
{
	const mt_view_waiting_job_t *job =
		mt_view_waiting_job(state->view, index);
	bool *excluded = copy_excluded(state, job);
	bool done = reclaim_capacity(state, job, excluded, reason);
	GArray *parts;

	g_free(excluded);
	if (done)
		return true;
	parts = find_placement(state, job, copy_job_excluded(state, job));
	if (!parts)
		return reclaim_capacity(state, job, job->excluded_servers,
					reason);
	start_job(state, index, parts);
	return true;
}

/** Makes a reservation for the job, unless an earlier job has one. */
static void reserve(mt_decision_state_t *state, guint index)
{
	const mt_view_waiting_job_t *job =
		mt_view_waiting_job(state->view, index);

	if (state->reservation.active ||
	    !mt_reservation_make(&state->reservation, state->view,
				 &state->free_capacity, job))
		return;
	state->decision->reserved = true;
	state->decision->reserved_job = index;
	state->decision->reserved_start = state->reservation.start;
	if (state->algorithm == MT_ALGORITHM_FULL &&
	    mt_reclaim_may_defragment(state->view, job))
		reclaim_capacity(state, job, job->excluded_servers,
				 MT_RECLAIM_DEFRAGMENT);
}

/**
 * Handles an unplaced job (see `n_unplaced`).
 * @return false when no further job may be considered, as none may be placed
 *         ahead of this one
 */
static bool handle_unplaced(mt_decision_state_t *state,
			    const mt_queue_entry_t *entry, bool guaranteed)
{
	const mt_view_waiting_job_t *job =
		mt_view_waiting_job(state->view, entry->index);

	if (state->algorithm == MT_ALGORITHM_FIRST_COME)
		return false;
	if (state->algorithm == MT_ALGORITHM_FULL && is_urgent(job) &&
	    place_with_reclaim(state, entry->index, MT_RECLAIM_URGENT))
		return true;
	if (state->algorithm == MT_ALGORITHM_FULL && guaranteed &&
	    place_with_reclaim(state, entry->index, MT_RECLAIM_GUARANTEE))
		return true;
	reserve(state, entry->index);
	return true;
}

/**
 * Places the job, if its account's limit allows.
 * @return false when no further job may be considered
 */
static bool decide_job(mt_decision_state_t *state,
		       const mt_queue_entry_t *entry)
{
	const mt_view_waiting_job_t *job =
		mt_view_waiting_job(state->view, entry->index);
	bool guaranteed;
	GArray *parts;

	if (!mt_limit_allows(state->view, &state->usage, job->account,
			     &job->shape))
		return true;
	/* Not taken from `entry->class`: jobs started earlier in this decision
	 * may have used up the guarantee, and an urgent job may be guaranteed
	 * as well. */
	guaranteed = mt_guarantee_covers(state->view, &state->usage,
					 job->account, &job->shape);
	parts = find_placement(state, job, copy_excluded(state, job));
	if (!parts) {
		state->n_unplaced++;
		return handle_unplaced(state, entry, guaranteed);
	}
	start_job(state, entry->index, parts);
	return true;
}

/** Guarantee deficit of the view without its runs. */
static uint32_t deficit_when_empty(const mt_view_t *view)
{
	mt_view_t empty = *view;
	uint32_t deficit;

	empty.runs = g_array_new(FALSE, TRUE, sizeof(mt_view_run_t));
	deficit = view_deficit(&empty);
	g_array_unref(empty.runs);
	return deficit;
}

static mt_decision_t *new_decision(void)
{
	mt_decision_t *decision = g_new0(mt_decision_t, 1);

	decision->starts = g_array_new(FALSE, FALSE, sizeof(mt_start_t));
	decision->reclaims = g_array_new(FALSE, FALSE, sizeof(mt_reclaim_t));
	return decision;
}

static void clear_earmark(gpointer data)
{
	g_array_unref(((mt_earmark_t *)data)->parts);
}

static void init_state(mt_decision_state_t *state)
{
	/* `view` owns the parts of its runs, so this array has no clear
	 * function that would free them. */
	state->planned = *state->view;
	state->planned.runs = g_array_new(FALSE, TRUE, sizeof(mt_view_run_t));
	g_array_append_vals(state->planned.runs, state->view->runs->data,
			    state->view->runs->len);
	state->earmarks = g_array_new(FALSE, TRUE, sizeof(mt_earmark_t));
	g_array_set_clear_func(state->earmarks, clear_earmark);
	state->decision = new_decision();
	recompute(state);
}

static void clear_state(mt_decision_state_t *state)
{
	mt_reservation_clear(&state->reservation);
	mt_free_capacity_clear(&state->free_capacity);
	mt_guarantee_usage_clear(&state->usage);
	g_array_unref(state->earmarks);
	g_array_unref(state->planned.runs);
}

mt_decision_t *mt_decide(const mt_view_t *view, mt_algorithm_t algorithm)
{
	mt_decision_state_t state = {.view = view, .algorithm = algorithm};
	GArray *queue;

	init_state(&state);
	state.decision->deficit_when_empty = deficit_when_empty(view);
	state.decision->deficit = state.deficit;
	mt_free_capacity_measure(&state.free_capacity,
				 &state.decision->free_accelerators,
				 &state.decision->largest_free_block);
	queue = sort_waiting_jobs(&state);
	for (guint i = 0;
	     i < queue->len && state.n_unplaced < MAX_UNPLACED_JOBS; i++) {
		if (!decide_job(&state,
				&g_array_index(queue, mt_queue_entry_t, i)))
			break;
	}
	g_array_unref(queue);
	state.decision->deficit_after = state.deficit;
	clear_state(&state);
	return state.decision;
}

void mt_decision_free(mt_decision_t *decision)
{
	for (guint i = 0; i < decision->starts->len; i++)
		g_array_unref(
			g_array_index(decision->starts, mt_start_t, i).parts);
	g_array_unref(decision->starts);
	g_array_unref(decision->reclaims);
	g_free(decision);
}
