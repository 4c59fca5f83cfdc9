/** @file follower.c Reads one topic of the store: a snapshot, then updates. */
#include "dag/follower.h"

#include <string.h>

/**
 * Delay before a failed read is repeated; it is doubled with each failure, from
 * the minimum up to the maximum.
 */
#define RETRY_MIN_MS 50u
#define RETRY_MAX_MS 400u

/**
 * Timeout of a read, in addition to that of the long poll. It is doubled when a
 * read gets no answer, from the minimum up to the maximum: if the network is
 * slow, another read would only slow it more.
 */
#define READ_TIMEOUT_MIN_MS 1500u
#define READ_TIMEOUT_MAX_MS 12000u

/**
 * Minimum time between the first reads of two rounds of catching up. Calls of
 * mt_follower_catch_up() within this time share the next round.
 */
#define CATCH_UP_INTERVAL_MS 20u

/** A call of mt_follower_catch_up(). */
typedef struct mt_catch_up_waiter_t {
	mt_follower_catch_up_cb cb;
	void *ctx;
} mt_catch_up_waiter_t;

struct mt_follower_t {
	mt_kernel_t *kernel;
	const mt_store_port_t *store;
	char *topic;
	mt_ms_t poll_wait_ms;
	mt_follower_handler_t handler;
	bool has_snapshot; /**< a complete snapshot has been read */
	bool stopped;
	bool skip_replaced; /**< see mt_follower_skip_replaced() */
	bool ever_current;  /**< `current_as_of` is set */
	uint64_t next;	    /**< offset at which the next read starts */
	/** End of the topic when the first page of the snapshot was read. */
	uint64_t snapshot_end;
	/** Last key read of the snapshot that is being read; NULL: none. */
	char *last_snapshot_key;
	/** Local time at which the last read was sent, apart from the reads of
	 * mt_follower_catch_up(). */
	mt_ms_t sent_at;
	/** All records that the topic held at this local time have been
	 * delivered. */
	mt_ms_t current_as_of;
	mt_ms_t round_trip;    /**< see mt_follower_round_trip() */
	mt_ms_t retry_ms;      /**< delay before the next retry */
	mt_ms_t timeout_ms;    /**< timeout of the next read */
	mt_ms_t read_delay_ms; /**< see mt_follower_set_read_delay() */
	uint64_t timer;	       /**< delays the next read; 0: not set */
	/** `timer` delays the next read by `read_delay_ms`; otherwise it delays
	 * a retry. */
	bool waits_for_read_delay;
	/** Number of calls to the store that have not been answered. */
	unsigned pending_calls;
	/** Local time at which the read of the snapshot's first page was
	 * sent. */
	mt_ms_t snapshot_sent_at;
	/** mt_catch_up_waiter_t of the next round of catching up. */
	GArray *catch_up_waiters;
	uint64_t catch_up_timer;     /**< begins the next round; 0: not set */
	mt_ms_t catch_up_started_at; /**< local time of the last round */
};

/** A round of catching up, for one or more calls. */
typedef struct mt_catch_up_t {
	mt_follower_t *follower;
	mt_ms_t sent_at; /**< local time at which the first read was sent */
	uint64_t until;	 /**< end of the topic, as in the first answer */
	bool answered;	 /**< `until` is set */
	GArray *waiters; /**< mt_catch_up_waiter_t */
} mt_catch_up_t;

static void read_next(void *ctx);
static void read_snapshot_page(void *ctx);

/** Resets the delays and timeouts that failed reads have extended. */
static void mark_answered(mt_follower_t *follower)
{
	follower->retry_ms = RETRY_MIN_MS;
	follower->timeout_ms = READ_TIMEOUT_MIN_MS;
}

mt_follower_t *mt_follower_new(mt_kernel_t *kernel,
			       const mt_store_port_t *store, const char *topic,
			       mt_ms_t poll_wait_ms,
			       const mt_follower_handler_t *handler)
{
	mt_follower_t *follower = g_new0(mt_follower_t, 1);

	follower->kernel = kernel;
	follower->store = store;
	follower->topic = g_strdup(topic);
	follower->poll_wait_ms = poll_wait_ms;
	follower->handler = *handler;
	follower->round_trip = MT_NEVER_MS;
	follower->catch_up_waiters =
		g_array_new(FALSE, FALSE, sizeof(mt_catch_up_waiter_t));
	mark_answered(follower);
	read_snapshot_page(follower);
	return follower;
}

/**
 * Notes that all records that the topic held at local time `sent_at` have been
 * delivered.
 */
static void mark_current(mt_follower_t *follower, mt_ms_t sent_at)
{
	follower->ever_current = true;
	follower->current_as_of = MAX(follower->current_as_of, sent_at);
}

static void free_follower(mt_follower_t *follower)
{
	g_array_unref(follower->catch_up_waiters);
	g_free(follower->last_snapshot_key);
	g_free(follower->topic);
	g_free(follower);
}

/**
 * Counts an answered call to the store, and frees a stopped follower when no
 * other call is pending.
 * @return false when the follower was stopped and must not be used
 */
static bool finish_call(mt_follower_t *follower)
{
	follower->pending_calls--;
	if (!follower->stopped)
		return true;
	if (!follower->pending_calls)
		free_follower(follower);
	return false;
}

static void call_later(mt_follower_t *follower, mt_ms_t delay, mt_timer_cb cb)
{
	follower->timer = mt_timers_after(mt_kernel_timers(follower->kernel),
					  delay, cb, follower);
}

/** Repeats a read that failed with `result`. */
static void retry(mt_follower_t *follower, mt_store_result_t result,
		  mt_timer_cb cb)
{
	if (result == MT_STORE_UNKNOWN)
		follower->timeout_ms =
			MIN(follower->timeout_ms * 2, READ_TIMEOUT_MAX_MS);
	call_later(follower,
		   mt_kernel_jitter(follower->kernel, follower->retry_ms), cb);
	follower->retry_ms = MIN(follower->retry_ms * 2, RETRY_MAX_MS);
}

/**
 * Delivers those records of the page that have not been delivered yet. The long
 * polls and mt_follower_catch_up() may read the same records.
 */
static void deliver(mt_follower_t *follower, const mt_store_page_t *page)
{
	for (size_t i = 0; i < page->count; i++) {
		if (page->records[i].offset < follower->next)
			continue;
		follower->next = page->records[i].offset + 1;
		follower->handler.on_record(follower->handler.ctx,
					    &page->records[i]);
	}
	if (follower->handler.on_page)
		follower->handler.on_page(follower->handler.ctx);
}

/** Sends the next read after `read_delay_ms`, at once if that is 0. */
static void read_after_delay(mt_follower_t *follower)
{
	if (!follower->read_delay_ms) {
		read_next(follower);
		return;
	}
	follower->waits_for_read_delay = true;
	call_later(follower, follower->read_delay_ms, read_next);
}

static void note_round_trip(mt_follower_t *follower)
{
	mt_ms_t now = mt_kernel_now(follower->kernel);

	follower->round_trip =
		MIN(follower->round_trip, now - follower->sent_at);
}

static void on_read(void *ctx, const mt_store_page_t *page)
{
	mt_follower_t *follower = ctx;

	if (!finish_call(follower))
		return;
	if (page->result == MT_STORE_DONE) {
		mark_answered(follower);
		note_round_trip(follower);
		deliver(follower, page);
		if (follower->next >= page->end) {
			mark_current(follower,
				     follower->sent_at - page->age_ms);
			read_after_delay(follower);
		} else if (follower->skip_replaced) {
			read_snapshot_page(follower);
		} else {
			read_next(follower);
		}
		return;
	}
	if (page->result == MT_STORE_TRIMMED) {
		mt_log(follower->kernel, MT_LOG_NOTICE, "follower",
		       "%s: records were deleted before they were read; "
		       "reading a new snapshot",
		       follower->topic);
		follower->has_snapshot = false;
		read_snapshot_page(follower);
		return;
	}
	retry(follower, page->result, read_next);
}

static void read_next(void *ctx)
{
	mt_follower_t *follower = ctx;

	follower->timer = 0;
	follower->waits_for_read_delay = false;
	follower->pending_calls++;
	follower->sent_at = mt_kernel_now(follower->kernel);
	follower->store->read(follower->store->self, follower->topic,
			      follower->next, follower->poll_wait_ms,
			      follower->poll_wait_ms + follower->timeout_ms,
			      on_read, follower);
}

static void end_snapshot(mt_follower_t *follower)
{
	g_clear_pointer(&follower->last_snapshot_key, g_free);
	follower->has_snapshot = true;
	mark_current(follower, follower->snapshot_sent_at);
	/* Later pages of the snapshot may contain records that were appended
	 * after the first page was read. Reading on from `snapshot_end`
	 * delivers these once more, and in the order of the topic. */
	follower->next = follower->snapshot_end;
	if (follower->handler.on_snapshot)
		follower->handler.on_snapshot(follower->handler.ctx, false);
	if (follower->handler.on_page)
		follower->handler.on_page(follower->handler.ctx);
	read_next(follower);
}

static void begin_snapshot(mt_follower_t *follower, const mt_store_page_t *page)
{
	follower->snapshot_end = page->end;
	follower->snapshot_sent_at = follower->sent_at - page->age_ms;
	if (follower->handler.on_snapshot)
		follower->handler.on_snapshot(follower->handler.ctx, true);
}

/** Last key of the page; empty if no key of it is known. */
static mt_str_t last_key_of(const mt_store_page_t *page)
{
	if (page->last_key.len || !page->count)
		return page->last_key;
	return page->records[page->count - 1].key;
}

/**
 * Reads the page after `last_key`. Reads the present page again if this key
 * does not lead any further; the snapshot is not complete then.
 */
static void continue_snapshot(mt_follower_t *follower, mt_str_t last_key)
{
	if (!last_key.len ||
	    mt_str_equal(last_key, mt_str_from(follower->last_snapshot_key))) {
		mt_log(follower->kernel, MT_LOG_ERR, "follower",
		       "%s: a page of the snapshot has no key from which to "
		       "read on; reading it again",
		       follower->topic);
		retry(follower, MT_STORE_REFUSED, read_snapshot_page);
		return;
	}
	g_free(follower->last_snapshot_key);
	follower->last_snapshot_key = g_strndup(last_key.data, last_key.len);
	read_snapshot_page(follower);
}

/** Delivers a page of the snapshot and reads the next page, if any. */
static void on_snapshot_page(void *ctx, const mt_store_page_t *page)
{
	mt_follower_t *follower = ctx;

	if (!finish_call(follower))
		return;
	if (page->result != MT_STORE_DONE) {
		retry(follower, page->result, read_snapshot_page);
		return;
	}
	mark_answered(follower);
	note_round_trip(follower);
	if (!follower->last_snapshot_key)
		begin_snapshot(follower, page);
	for (size_t i = 0; i < page->count; i++)
		follower->handler.on_record(follower->handler.ctx,
					    &page->records[i]);
	if (page->more)
		continue_snapshot(follower, last_key_of(page));
	else
		end_snapshot(follower);
}

/** Reads the page of the snapshot after `last_snapshot_key`. */
static void read_snapshot_page(void *ctx)
{
	mt_follower_t *follower = ctx;

	follower->timer = 0;
	follower->pending_calls++;
	follower->sent_at = mt_kernel_now(follower->kernel);
	follower->store->newest(follower->store->self, follower->topic,
				mt_str_from(follower->last_snapshot_key),
				follower->timeout_ms, on_snapshot_page,
				follower);
}

static void on_catch_up_read(void *ctx, const mt_store_page_t *page);

static void read_to_catch_up(mt_catch_up_t *catch_up)
{
	mt_follower_t *follower = catch_up->follower;

	follower->pending_calls++;
	follower->store->read(follower->store->self, follower->topic,
			      follower->next, 0, READ_TIMEOUT_MIN_MS,
			      on_catch_up_read, catch_up);
}

/** Calls back all waiters and frees them. */
static void finish_waiters(GArray *waiters, bool current)
{
	for (guint i = 0; i < waiters->len; i++) {
		const mt_catch_up_waiter_t *waiter =
			&g_array_index(waiters, mt_catch_up_waiter_t, i);

		waiter->cb(waiter->ctx, current);
	}
	g_array_unref(waiters);
}

static void free_catch_up(mt_catch_up_t *catch_up, bool current)
{
	finish_waiters(catch_up->waiters, current);
	g_free(catch_up);
}

static void end_catch_up(mt_catch_up_t *catch_up, bool current)
{
	if (current)
		mark_current(catch_up->follower, catch_up->sent_at);
	free_catch_up(catch_up, current);
}

static void on_catch_up_read(void *ctx, const mt_store_page_t *page)
{
	mt_catch_up_t *catch_up = ctx;
	mt_follower_t *follower = catch_up->follower;

	if (!finish_call(follower)) {
		free_catch_up(catch_up, false);
		return;
	}
	if (page->result != MT_STORE_DONE || !follower->has_snapshot) {
		end_catch_up(catch_up, false);
		return;
	}
	if (!catch_up->answered)
		catch_up->until = page->end;
	catch_up->answered = true;
	deliver(follower, page);
	if (follower->next >= catch_up->until)
		end_catch_up(catch_up, true);
	else
		read_to_catch_up(catch_up);
}

/** Empties the list of waiters; the caller frees the returned array. */
static GArray *take_waiters(mt_follower_t *follower)
{
	GArray *waiters = follower->catch_up_waiters;

	follower->catch_up_waiters =
		g_array_new(FALSE, FALSE, sizeof(mt_catch_up_waiter_t));
	return waiters;
}

static void begin_catch_up(void *ctx)
{
	mt_follower_t *follower = ctx;
	mt_catch_up_t *catch_up = g_new0(mt_catch_up_t, 1);

	follower->catch_up_timer = 0;
	follower->catch_up_started_at = mt_kernel_now(follower->kernel);
	catch_up->follower = follower;
	catch_up->sent_at = follower->catch_up_started_at;
	catch_up->waiters = take_waiters(follower);
	read_to_catch_up(catch_up);
}

void mt_follower_catch_up(mt_follower_t *follower, mt_follower_catch_up_cb cb,
			  void *ctx)
{
	mt_catch_up_waiter_t waiter = {cb, ctx};
	mt_ms_t due = follower->catch_up_started_at + CATCH_UP_INTERVAL_MS;
	mt_ms_t now = mt_kernel_now(follower->kernel);

	g_array_append_val(follower->catch_up_waiters, waiter);
	if (follower->catch_up_timer)
		return;
	if (due <= now || !follower->catch_up_started_at)
		begin_catch_up(follower);
	else
		follower->catch_up_timer =
			mt_timers_after(mt_kernel_timers(follower->kernel),
					due - now, begin_catch_up, follower);
}

void mt_follower_set_read_delay(mt_follower_t *follower, mt_ms_t read_delay_ms)
{
	follower->read_delay_ms = read_delay_ms;
	if (read_delay_ms || !follower->waits_for_read_delay)
		return;
	mt_timers_cancel(mt_kernel_timers(follower->kernel), follower->timer);
	read_next(follower);
}

void mt_follower_skip_replaced(mt_follower_t *follower)
{
	follower->skip_replaced = true;
}

bool mt_follower_has_snapshot(const mt_follower_t *follower)
{
	return follower->has_snapshot;
}

uint64_t mt_follower_next(const mt_follower_t *follower)
{
	return follower->next;
}

mt_ms_t mt_follower_age(const mt_follower_t *follower)
{
	if (!follower->ever_current)
		return MT_NEVER_MS;
	return mt_kernel_now(follower->kernel) - follower->current_as_of;
}

mt_ms_t mt_follower_round_trip(const mt_follower_t *follower)
{
	return follower->round_trip;
}

void mt_follower_stop(mt_follower_t *follower)
{
	mt_timers_t *timers = mt_kernel_timers(follower->kernel);
	GArray *waiters = take_waiters(follower);

	mt_timers_cancel(timers, follower->timer);
	mt_timers_cancel(timers, follower->catch_up_timer);
	follower->stopped = true;
	if (!follower->pending_calls)
		free_follower(follower);
	finish_waiters(waiters, false);
}
