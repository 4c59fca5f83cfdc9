/** @file timers.c Timers in a sequence sorted by due time. */
#include "kernel/timers.h"

#include <glib.h>

typedef struct mt_timer_t {
	mt_ms_t due;
	uint64_t id;
	mt_ms_t period; /**< 0: one-shot */
	mt_timer_cb cb;
	void *ctx;
} mt_timer_t;

struct mt_timers_t {
	mt_ms_t now;
	mt_ms_t (*read_ms)(void); /**< NULL: `now` is the time */
	uint64_t last_id;
	GSequence *queue;  /**< of mt_timer_t, by due time, then id */
	GHashTable *by_id; /**< timer id to GSequenceIter */
};

static gint compare_timers(gconstpointer a, gconstpointer b, gpointer unused)
{
	const mt_timer_t *x = a;
	const mt_timer_t *y = b;

	(void)unused;
	if (x->due != y->due)
		return x->due < y->due ? -1 : 1;
	return x->id < y->id ? -1 : x->id > y->id;
}

mt_timers_t *mt_timers_new(mt_ms_t now)
{
	mt_timers_t *timers = g_new0(mt_timers_t, 1);

	timers->now = now;
	timers->queue = g_sequence_new(g_free);
	timers->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	return timers;
}

void mt_timers_free(mt_timers_t *timers)
{
	if (!timers)
		return;
	g_hash_table_destroy(timers->by_id);
	g_sequence_free(timers->queue);
	g_free(timers);
}

void mt_timers_set_clock(mt_timers_t *timers, mt_ms_t (*read_ms)(void))
{
	timers->read_ms = read_ms;
}

mt_ms_t mt_timers_now(const mt_timers_t *timers)
{
	return timers->read_ms ? MAX(timers->now, timers->read_ms())
			       : timers->now;
}

static void enqueue(mt_timers_t *timers, mt_timer_t *timer)
{
	GSequenceIter *iter = g_sequence_insert_sorted(timers->queue, timer,
						       compare_timers, NULL);

	g_hash_table_insert(timers->by_id, &timer->id, iter);
}

static uint64_t add_timer(mt_timers_t *timers, mt_ms_t delay, mt_ms_t period,
			  mt_timer_cb cb, void *ctx)
{
	mt_timer_t *timer = g_new0(mt_timer_t, 1);

	timer->due = mt_timers_now(timers) + delay;
	timer->id = ++timers->last_id;
	timer->period = period;
	timer->cb = cb;
	timer->ctx = ctx;
	enqueue(timers, timer);
	return timer->id;
}

uint64_t mt_timers_after(mt_timers_t *timers, mt_ms_t delay, mt_timer_cb cb,
			 void *ctx)
{
	return add_timer(timers, delay, 0, cb, ctx);
}

uint64_t mt_timers_every(mt_timers_t *timers, mt_ms_t period, mt_timer_cb cb,
			 void *ctx)
{
	g_assert(period > 0);
	return add_timer(timers, period, period, cb, ctx);
}

void mt_timers_cancel(mt_timers_t *timers, uint64_t id)
{
	GSequenceIter *iter = g_hash_table_lookup(timers->by_id, &id);

	if (!iter)
		return;
	g_hash_table_remove(timers->by_id, &id);
	g_sequence_remove(iter);
}

void mt_timers_advance(mt_timers_t *timers, mt_ms_t now)
{
	timers->now = MAX(timers->now, now);
	while (mt_timers_next(timers) <= timers->now) {
		GSequenceIter *iter = g_sequence_get_begin_iter(timers->queue);
		mt_timer_t fired = *(mt_timer_t *)g_sequence_get(iter);

		mt_timers_cancel(timers, fired.id);
		if (fired.period) {
			mt_timer_t *next = g_memdup2(&fired, sizeof(fired));

			/* One period from now, not from the last due time, so
			 * that calls missed during a pause are dropped. */
			next->due = timers->now + fired.period;
			enqueue(timers, next);
		}
		fired.cb(fired.ctx);
	}
}

mt_ms_t mt_timers_next(const mt_timers_t *timers)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(timers->queue);

	if (g_sequence_iter_is_end(iter))
		return MT_NEVER_MS;
	return ((mt_timer_t *)g_sequence_get(iter))->due;
}
