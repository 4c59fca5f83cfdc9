/** @file reserve.c Reservation for the first job that finds no room. */
#include "decide/reserve.h"

typedef struct mt_ending_t {
	const mt_view_run_t *run;
	mt_ms_t end;
} mt_ending_t;

/** Expected end; a run that is overdue counts as half over once more. */
static mt_ms_t expected_end(const mt_view_t *view, const mt_view_run_t *run)
{
	mt_ms_t ran;

	if (run->stopping)
		return view->now;
	if (run->expected_end > view->now)
		return run->expected_end;
	ran = view->now - MIN(view->now, run->started_at);
	return view->now + ran / 2 + 1;
}

static gint compare_endings(gconstpointer a, gconstpointer b)
{
	const mt_ending_t *x = a;
	const mt_ending_t *y = b;

	if (x->end != y->end)
		return x->end < y->end ? -1 : 1;
	return x->run < y->run ? -1 : x->run > y->run;
}

static GArray *order_endings(const mt_view_t *view)
{
	GArray *endings = g_array_new(FALSE, FALSE, sizeof(mt_ending_t));

	for (guint i = 0; i < view->runs->len; i++) {
		mt_ending_t ending = {mt_view_run(view, i), 0};

		ending.end = expected_end(view, ending.run);
		g_array_append_val(endings, ending);
	}
	g_array_sort(endings, compare_endings);
	return endings;
}

bool mt_reservation_make(mt_reservation_t *reservation, const mt_view_t *view,
			 const mt_free_capacity_t *rooms,
			 const mt_view_waiting_job_t *wait)
{
	GArray *endings = order_endings(view);
	mt_free_capacity_t later = mt_free_capacity_copy(rooms);
	GArray *parts = NULL;

	for (guint i = 0; i < endings->len && !parts; i++) {
		mt_ending_t *ending = &g_array_index(endings, mt_ending_t, i);

		mt_free_capacity_release(&later, &ending->run->shape,
					 ending->run->parts);
		/* Runs that end together free their room together. */
		if (i + 1 < endings->len &&
		    g_array_index(endings, mt_ending_t, i + 1).end ==
			    ending->end)
			continue;
		parts = mt_place(&later, &wait->shape, wait->avoid,
				 MT_FIT_BEST);
		reservation->start = ending->end;
	}
	mt_free_capacity_clear(&later);
	g_array_unref(endings);
	reservation->active = parts != NULL;
	reservation->parts = parts;
	return reservation->active;
}

void mt_reservation_exclude(const mt_reservation_t *reservation,
			    const mt_view_t *view,
			    const mt_view_waiting_job_t *wait, bool *barred)
{
	if (!reservation->active)
		return;
	if (view->now + wait->expected_run_ms <= reservation->start)
		return;
	for (guint i = 0; i < reservation->parts->len; i++)
		barred[g_array_index(reservation->parts, mt_part_t, i).server] =
			true;
}

void mt_reservation_clear(mt_reservation_t *reservation)
{
	g_clear_pointer(&reservation->parts, g_array_unref);
}
