/** @file decide.c The scheduling decision of one data centre. */
#include "decide/decide.h"

#include <math.h>
#include <string.h>

#include "decide/reclaim.h"
#include "decide/reserve.h"

/** Other places tried when one would leave a guarantee without room. */
#define PLACE_ATTEMPTS 8

/** Jobs without room after which one decision stops looking further. */
#define MAX_HELD_BACK 200u

/** A deadline this close to the expected run time raises the score. */
#define DEADLINE_SLACK_RUNS 2

typedef enum mt_class_t {
	MT_CLASS_URGENT,
	MT_CLASS_GUARANTEED,
	MT_CLASS_OTHER,
} mt_class_t;

typedef struct mt_queued_t {
	guint wait;
	mt_class_t class;
	double score;
} mt_queued_t;

/** Room that is kept for a job whose place is being cleared. */
typedef struct mt_kept_room_t {
	mt_shape_t shape;
	GArray *parts;
} mt_kept_room_t;

/** State of one decision while it is being made. */
typedef struct mt_work_t {
	const mt_view_t *view;
	mt_policy_mode_t mode;
	mt_view_t after; /**< the view with the starts so far as runs */
	mt_guarantee_usage_t standing; /**< of `after`, as the next two */
	mt_free_capacity_t rooms;      /**< less what is kept */
	uint32_t deficit;	       /**< of the guarantees */
	GArray *kept;		       /**< of mt_kept_room_t */
	guint held_back;	       /**< jobs that found no room so far */
	mt_reservation_t reservation;
	mt_decision_t *decision;
} mt_work_t;

static double deadline_pressure(const mt_view_waiting_job_t *wait)
{
	mt_ms_t run = MAX(1, wait->expected_run_ms);

	if (wait->deadline_left_ms == MT_NEVER_MS)
		return 0;
	if (wait->deadline_left_ms > DEADLINE_SLACK_RUNS * run)
		return 0;
	return 1;
}

double mt_waiting_job_score(const mt_view_t *view,
			    const mt_view_waiting_job_t *wait)
{
	const mt_policy_t *policy = &view->policy;
	double run_s = (double)MAX(1000, wait->expected_run_ms) / 1000;
	double waited_s = (double)wait->waited_ms / 1000;
	uint32_t accelerators =
		MAX(1, mt_shape_total(&wait->shape).accelerators);
	double response_ratio = 1 + waited_s / run_s;
	double value_rate = wait->value / (run_s * accelerators);
	double size = log2(1 + accelerators);

	return policy->completion_weight * response_ratio / (1 + run_s / 60) +
	       policy->value_weight * value_rate +
	       policy->fragmentation_weight * size * waited_s /
		       policy->aging_s +
	       100 * waited_s / policy->aging_s + 100 * deadline_pressure(wait);
}

/** Urgent jobs are small: they fit on one server. */
static bool is_urgent(const mt_view_waiting_job_t *wait)
{
	return wait->urgent && wait->shape.members == 1;
}

static mt_class_t class_of(const mt_work_t *work,
			   const mt_view_waiting_job_t *wait)
{
	if (work->mode != MT_MODE_FULL)
		return MT_CLASS_OTHER;
	if (is_urgent(wait))
		return MT_CLASS_URGENT;
	if (mt_guarantee_covers(work->view, &work->standing, wait->account,
				&wait->shape))
		return MT_CLASS_GUARANTEED;
	return MT_CLASS_OTHER;
}

static gint compare_queued(gconstpointer a, gconstpointer b)
{
	const mt_queued_t *x = a;
	const mt_queued_t *y = b;

	if (x->class != y->class)
		return x->class < y->class ? -1 : 1;
	if (x->score != y->score)
		return x->score > y->score ? -1 : 1;
	return x->wait < y->wait ? -1 : x->wait > y->wait;
}

static GArray *order_waits(const mt_work_t *work)
{
	GArray *queue = g_array_new(FALSE, FALSE, sizeof(mt_queued_t));

	for (guint i = 0; i < work->view->waiting_jobs->len; i++) {
		const mt_view_waiting_job_t *wait =
			mt_view_waiting_job(work->view, i);
		mt_queued_t entry = {i, class_of(work, wait), 0};

		entry.score = work->mode == MT_MODE_FULL
				      ? mt_waiting_job_score(work->view, wait)
				      : (double)wait->waited_ms;
		g_array_append_val(queue, entry);
	}
	g_array_sort(queue, compare_queued);
	return queue;
}

/** Guaranteed accelerators without a place in a view. */
static uint32_t view_deficit(const mt_view_t *view)
{
	mt_guarantee_usage_t standing = mt_guarantee_usage_new(view);
	mt_free_capacity_t rooms = mt_free_capacity_new(view);
	mt_free_capacity_t reclaimable =
		mt_free_capacity_with_reclaimable(&rooms, &standing);
	uint32_t deficit = mt_guarantee_deficit(&reclaimable, &standing);

	mt_free_capacity_clear(&reclaimable);
	mt_free_capacity_clear(&rooms);
	mt_guarantee_usage_clear(&standing);
	return deficit;
}

/** Adds a job to the runs of `after`; the parts stay the caller's. */
static void push_run(mt_work_t *work, const mt_view_waiting_job_t *wait,
		     GArray *parts)
{
	mt_view_run_t run = {.account = wait->account,
			     .shape = wait->shape,
			     .parts = parts,
			     .started_at = work->view->now,
			     .expected_end =
				     work->view->now + wait->expected_run_ms,
			     .value = wait->value,
			     .urgent = wait->urgent,
			     .stoppable = wait->stoppable};

	g_array_append_val(work->after.runs, run);
}

static void pop_run(mt_work_t *work)
{
	g_array_set_size(work->after.runs, work->after.runs->len - 1);
}

/** True when the job may run on `parts` without loss to any guarantee. */
static bool keeps_guarantees(mt_work_t *work, const mt_view_waiting_job_t *wait,
			     GArray *parts)
{
	bool keeps;

	push_run(work, wait, parts);
	keeps = view_deficit(&work->after) <= work->deficit;
	pop_run(work);
	return keeps;
}

/** Computes standing, rooms and deficit of `after` anew. */
static void refresh(mt_work_t *work)
{
	mt_guarantee_usage_clear(&work->standing);
	mt_free_capacity_clear(&work->rooms);
	work->standing = mt_guarantee_usage_new(&work->after);
	work->rooms = mt_free_capacity_new(&work->after);
	work->deficit = view_deficit(&work->after);
	for (guint i = 0; i < work->kept->len; i++) {
		const mt_kept_room_t *kept =
			&g_array_index(work->kept, mt_kept_room_t, i);

		mt_free_capacity_allocate(&work->rooms, &kept->shape,
					  kept->parts);
	}
}

/** Servers that this job is to avoid, as a new array. */
static bool *avoided_servers(const mt_work_t *work,
			     const mt_view_waiting_job_t *wait)
{
	guint count = work->view->servers->len;
	bool *barred = g_new0(bool, count + 1);

	if (wait->avoid)
		memcpy(barred, wait->avoid, count * sizeof(bool));
	return barred;
}

/** The same, with what the reservation keeps from it. */
static bool *barred_servers(const mt_work_t *work,
			    const mt_view_waiting_job_t *wait)
{
	bool *barred = avoided_servers(work, wait);

	mt_reservation_exclude(&work->reservation, work->view, wait, barred);
	return barred;
}

static void bar_parts(bool *barred, const GArray *parts)
{
	for (guint i = 0; i < parts->len; i++)
		barred[g_array_index(parts, mt_part_t, i).server] = true;
}

/** Finds free room that leaves every guarantee its place; eats `barred`. */
static GArray *find_room(mt_work_t *work, const mt_view_waiting_job_t *wait,
			 bool *barred)
{
	mt_fit_t fit = work->mode == MT_MODE_FULL ? MT_FIT_BEST : MT_FIT_FIRST;
	GArray *parts = NULL;

	for (int i = 0; i < PLACE_ATTEMPTS; i++) {
		parts = mt_place(&work->rooms, &wait->shape, barred, fit);
		if (!parts || work->mode != MT_MODE_FULL ||
		    keeps_guarantees(work, wait, parts))
			break;
		bar_parts(barred, parts);
		g_clear_pointer(&parts, g_array_unref);
	}
	g_free(barred);
	return parts;
}

static void start(mt_work_t *work, guint index, GArray *parts)
{
	mt_start_t entry = {index, parts};

	push_run(work, mt_view_waiting_job(work->view, index), parts);
	g_array_append_val(work->decision->starts, entry);
	refresh(work);
}

/** Reclaims room for a job; what it will get is kept from later jobs. */
static bool reclaim_room(mt_work_t *work, const mt_view_waiting_job_t *wait,
			 const bool *barred, mt_reclaim_reason_t reason)
{
	mt_kept_room_t kept = {wait->shape, NULL};

	kept.parts =
		mt_reclaim_plan(work->view, &work->rooms, &work->standing, wait,
				barred, reason, work->decision->reclaims);
	if (!kept.parts)
		return false;
	mt_free_capacity_allocate(&work->rooms, &kept.shape, kept.parts);
	g_array_append_val(work->kept, kept);
	return true;
}

/**
 * Serves a job that has a right to room now: reclaims beside the reservation,
 * else takes reserved room, else reclaims there too.
 */
static bool enforce(mt_work_t *work, guint index, mt_reclaim_reason_t reason)
{
	const mt_view_waiting_job_t *wait =
		mt_view_waiting_job(work->view, index);
	bool *barred = barred_servers(work, wait);
	bool done = reclaim_room(work, wait, barred, reason);
	GArray *parts;

	g_free(barred);
	if (done)
		return true;
	parts = find_room(work, wait, avoided_servers(work, wait));
	if (!parts)
		return reclaim_room(work, wait, wait->avoid, reason);
	start(work, index, parts);
	return true;
}

static void reserve(mt_work_t *work, guint index)
{
	const mt_view_waiting_job_t *wait =
		mt_view_waiting_job(work->view, index);

	if (work->reservation.active ||
	    !mt_reservation_make(&work->reservation, work->view, &work->rooms,
				 wait))
		return;
	work->decision->reserved = true;
	work->decision->reserved_job = index;
	work->decision->reserved_start = work->reservation.start;
	if (work->mode == MT_MODE_FULL &&
	    mt_reclaim_may_defragment(work->view, wait))
		reclaim_room(work, wait, wait->avoid, MT_RECLAIM_DEFRAGMENT);
}

/** Handles a job that found no free room. @return true to go on */
static bool hold_back(mt_work_t *work, const mt_queued_t *queued, bool within)
{
	const mt_view_waiting_job_t *wait =
		mt_view_waiting_job(work->view, queued->wait);

	if (work->mode == MT_MODE_FIRST_COME)
		return false;
	if (work->mode == MT_MODE_FULL && is_urgent(wait) &&
	    enforce(work, queued->wait, MT_RECLAIM_URGENT))
		return true;
	if (work->mode == MT_MODE_FULL && within &&
	    enforce(work, queued->wait, MT_RECLAIM_GUARANTEE))
		return true;
	reserve(work, queued->wait);
	return true;
}

static bool decide_one(mt_work_t *work, const mt_queued_t *queued)
{
	const mt_view_waiting_job_t *wait =
		mt_view_waiting_job(work->view, queued->wait);
	bool within;
	GArray *parts;

	if (!mt_limit_allows(work->view, &work->standing, wait->account,
			     &wait->shape))
		return true;
	within = mt_guarantee_covers(work->view, &work->standing, wait->account,
				     &wait->shape);
	parts = find_room(work, wait, barred_servers(work, wait));
	if (!parts) {
		work->held_back++;
		return hold_back(work, queued, within);
	}
	start(work, queued->wait, parts);
	return true;
}

/** Deficit of the guarantees if nothing at all were running. */
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

static void clear_kept(gpointer data)
{
	g_array_unref(((mt_kept_room_t *)data)->parts);
}

static void open_work(mt_work_t *work)
{
	/* The runs' parts stay the view's, so the copy frees none. */
	work->after = *work->view;
	work->after.runs = g_array_new(FALSE, TRUE, sizeof(mt_view_run_t));
	g_array_append_vals(work->after.runs, work->view->runs->data,
			    work->view->runs->len);
	work->kept = g_array_new(FALSE, TRUE, sizeof(mt_kept_room_t));
	g_array_set_clear_func(work->kept, clear_kept);
	work->decision = new_decision();
	refresh(work);
}

static void close_work(mt_work_t *work)
{
	mt_reservation_clear(&work->reservation);
	mt_free_capacity_clear(&work->rooms);
	mt_guarantee_usage_clear(&work->standing);
	g_array_unref(work->kept);
	g_array_unref(work->after.runs);
}

mt_decision_t *mt_decide(const mt_view_t *view, mt_policy_mode_t mode)
{
	mt_work_t work = {.view = view, .mode = mode};
	GArray *queue;

	open_work(&work);
	work.decision->deficit_when_empty = deficit_when_empty(view);
	work.decision->deficit = work.deficit;
	mt_free_capacity_measure(&work.rooms, &work.decision->free_accelerators,
				 &work.decision->largest_free_block);
	queue = order_waits(&work);
	for (guint i = 0; i < queue->len && work.held_back < MAX_HELD_BACK;
	     i++) {
		if (!decide_one(&work, &g_array_index(queue, mt_queued_t, i)))
			break;
	}
	g_array_unref(queue);
	work.decision->deficit_after = work.deficit;
	close_work(&work);
	return work.decision;
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
