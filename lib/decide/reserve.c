/** @file reserve.c Reservation for one waiting job. */
#include "decide/reserve.h"

/** A run and its expected end. */
typedef struct mt_run_end_t {
	const mt_view_run_t *run;
	mt_ms_t end;
} mt_run_end_t;

/**
 * Expected end of a run. A run that is past its expected end is assumed to go
 * on for half the time that it has run so far.
 */
static mt_ms_t expected_end(const mt_view_t *view, const mt_view_run_t *run)
{
	mt_ms_t ran;

	if (run->ending)
		return view->now;
	if (run->expected_end > view->now)
		return run->expected_end;
	ran = view->now - MIN(view->now, run->started_at);
	return view->now + ran / 2 + 1;
}

static gint compare_run_ends(gconstpointer a, gconstpointer b)
{
	const mt_run_end_t *x = a;
	const mt_run_end_t *y = b;

	if (x->end != y->end)
		return x->end < y->end ? -1 : 1;
	return x->run < y->run ? -1 : x->run > y->run;
}

static GArray *sort_run_ends(const mt_view_t *view)
{
	GArray *run_ends = g_array_new(FALSE, FALSE, sizeof(mt_run_end_t));

	for (guint i = 0; i < view->runs->len; i++) {
		mt_run_end_t run_end = {mt_view_run(view, i), 0};

		run_end.end = expected_end(view, run_end.run);
		g_array_append_val(run_ends, run_end);
	}
	g_array_sort(run_ends, compare_run_ends);
	return run_ends;
}

bool mt_reservation_make(mt_reservation_t *reservation, const mt_view_t *view,
			 const mt_free_capacity_t *free_capacity,
			 const mt_view_waiting_job_t *job)
{
	GArray *run_ends = sort_run_ends(view);
	mt_free_capacity_t future = mt_free_capacity_copy(free_capacity);
	GArray *parts = NULL;

	for (guint i = 0; i < run_ends->len && !parts; i++) {
		mt_run_end_t *run_end =
			&g_array_index(run_ends, mt_run_end_t, i);

		mt_free_capacity_release(&future, &run_end->run->shape,
					 run_end->run->parts);
		/* Runs with the same end free their capacity together. */
		if (i + 1 < run_ends->len &&
		    g_array_index(run_ends, mt_run_end_t, i + 1).end ==
			    run_end->end)
			continue;
		parts = mt_place(&future, &job->shape, job->excluded_servers,
				 MT_FIT_BEST);
		reservation->start = run_end->end;
	}
	mt_free_capacity_clear(&future);
	g_array_unref(run_ends);
	reservation->active = parts != NULL;
	reservation->parts = parts;
	return reservation->active;
}

void mt_reservation_exclude(const mt_reservation_t *reservation,
			    const mt_view_t *view,
			    const mt_view_waiting_job_t *job, bool *excluded)
{
	if (!reservation->active)
		return;
	if (view->now + job->expected_run_ms <= reservation->start)
		return;
	for (guint i = 0; i < reservation->parts->len; i++)
		excluded[g_array_index(reservation->parts, mt_part_t, i)
				 .server] = true;
}

void mt_reservation_clear(mt_reservation_t *reservation)
{
	g_clear_pointer(&reservation->parts, g_array_unref);
}
