/** @file timers.c Timer service over an ordered sequence of due times. */
#include "kernel/timers.h"

#include <glib.h>

typedef struct mt_entry_t {
	mt_ms_t due;
	uint64_t id;
	mt_ms_t period;
	mt_timer_cb cb;
	void *ctx;
} mt_entry_t;

struct mt_timers_t {
	mt_ms_t now;
	mt_ms_t (*read_ms)(void);
	uint64_t last_id;
	GSequence *queue;
	GHashTable *by_id;
};

static gint compare_entries(gconstpointer a, gconstpointer b, gpointer unused)
{
	const mt_entry_t *x = a;
	const mt_entry_t *y = b;

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

static void enqueue(mt_timers_t *timers, mt_entry_t *entry)
{
	GSequenceIter *iter = g_sequence_insert_sorted(timers->queue, entry,
						       compare_entries, NULL);

	g_hash_table_insert(timers->by_id, &entry->id, iter);
}

static uint64_t subscribe(mt_timers_t *timers, mt_ms_t delay, mt_ms_t period,
			  mt_timer_cb cb, void *ctx)
{
	mt_entry_t *entry = g_new0(mt_entry_t, 1);

	entry->due = mt_timers_now(timers) + delay;
	entry->id = ++timers->last_id;
	entry->period = period;
	entry->cb = cb;
	entry->ctx = ctx;
	enqueue(timers, entry);
	return entry->id;
}

uint64_t mt_timers_after(mt_timers_t *timers, mt_ms_t delay, mt_timer_cb cb,
			 void *ctx)
{
	return subscribe(timers, delay, 0, cb, ctx);
}

uint64_t mt_timers_every(mt_timers_t *timers, mt_ms_t period, mt_timer_cb cb,
			 void *ctx)
{
	g_assert(period > 0);
	return subscribe(timers, period, period, cb, ctx);
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
		mt_entry_t fired = *(mt_entry_t *)g_sequence_get(iter);

		mt_timers_cancel(timers, fired.id);
		if (fired.period) {
			mt_entry_t *again = g_memdup2(&fired, sizeof(fired));

			/* After a pause, one late call replaces the missed. */
			again->due = timers->now + fired.period;
			enqueue(timers, again);
		}
		fired.cb(fired.ctx);
	}
}

mt_ms_t mt_timers_next(const mt_timers_t *timers)
{
	GSequenceIter *iter = g_sequence_get_begin_iter(timers->queue);

	if (g_sequence_iter_is_end(iter))
		return MT_NEVER_MS;
	return ((mt_entry_t *)g_sequence_get(iter))->due;
}
