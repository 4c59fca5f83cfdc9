/** @file follower.c Reads one topic of the store: a snapshot, then updates. */
#include "dag/follower.h"

#include <string.h>

#define RETRY_MIN_MS 50u
#define RETRY_MAX_MS 400u

struct mt_follower_t {
	mt_kernel_t *kernel;
	const mt_store_port_t *store;
	char *topic;
	mt_ms_t wait_ms;
	mt_follower_handler_t handler;
	bool synced;
	bool stopped;
	bool ever_current;     /**< `current_as_of` is valid */
	uint64_t next;	       /**< offset from which the next read starts */
	uint64_t snapshot_end; /**< end of the topic at its first page */
	char *snapshot_key;    /**< last key read so far; NULL: none */
	mt_ms_t sent_at;       /**< when the last read was sent */
	/** All records that the topic held then have been delivered. */
	mt_ms_t current_as_of;
	mt_ms_t round_trip;
	mt_ms_t retry_ms;
	mt_ms_t pace_ms;	  /**< minimum time between two reads */
	uint64_t timer;		  /**< delays the next read; 0: not set */
	bool waits_for_pace;	  /**< `timer` is for the pace, not a retry */
	unsigned calls;		  /**< pending calls to the store */
	mt_ms_t snapshot_sent_at; /**< when its first page was requested */
};

/** A pending mt_follower_catch_up(). */
typedef struct mt_sync_t {
	mt_follower_t *follower;
	mt_ms_t sent_at;
	uint64_t until; /**< end of the topic at the first answer */
	bool answered;
	mt_follower_catch_up_cb cb;
	void *ctx;
} mt_sync_t;

static void read_next(void *ctx);
static void read_snapshot(void *ctx);

mt_follower_t *mt_follower_new(mt_kernel_t *kernel,
			       const mt_store_port_t *store, const char *topic,
			       mt_ms_t wait_ms,
			       const mt_follower_handler_t *handler)
{
	mt_follower_t *follower = g_new0(mt_follower_t, 1);

	follower->kernel = kernel;
	follower->store = store;
	follower->topic = g_strdup(topic);
	follower->wait_ms = wait_ms;
	follower->handler = *handler;
	follower->round_trip = MT_NEVER_MS;
	follower->retry_ms = RETRY_MIN_MS;
	read_snapshot(follower);
	return follower;
}

/** All records that the topic held at `sent_at` have been delivered. */
static void mark_current(mt_follower_t *follower, mt_ms_t sent_at)
{
	follower->ever_current = true;
	follower->current_as_of = MAX(follower->current_as_of, sent_at);
}

static void free_follower(mt_follower_t *follower)
{
	g_free(follower->snapshot_key);
	g_free(follower->topic);
	g_free(follower);
}

/**
 * Counts an answered call to the store. A stopped follower is freed with its
 * last call.
 * @return false when the follower was stopped and must not be used
 */
static bool finish_call(mt_follower_t *follower)
{
	follower->calls--;
	if (!follower->stopped)
		return true;
	if (!follower->calls)
		free_follower(follower);
	return false;
}

static void call_later(mt_follower_t *follower, mt_ms_t delay, mt_timer_cb cb)
{
	follower->timer = mt_timers_after(mt_kernel_timers(follower->kernel),
					  delay, cb, follower);
}

static void retry(mt_follower_t *follower, mt_timer_cb cb)
{
	call_later(follower,
		   mt_kernel_jitter(follower->kernel, follower->retry_ms), cb);
	follower->retry_ms = MIN(follower->retry_ms * 2, RETRY_MAX_MS);
}

/** Delivers the records that have not been delivered yet. */
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

/** Sends the next read as soon as the pace allows. */
static void read_at_pace(mt_follower_t *follower)
{
	if (!follower->pace_ms) {
		read_next(follower);
		return;
	}
	follower->waits_for_pace = true;
	call_later(follower, follower->pace_ms, read_next);
}

static void on_read(void *ctx, const mt_store_page_t *page)
{
	mt_follower_t *follower = ctx;

	if (!finish_call(follower))
		return;
	if (page->result == MT_STORE_DONE) {
		follower->retry_ms = RETRY_MIN_MS;
		deliver(follower, page);
		if (follower->next >= page->end) {
			mark_current(follower, follower->sent_at);
			read_at_pace(follower);
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
		follower->synced = false;
		read_snapshot(follower);
		return;
	}
	retry(follower, read_next);
}

static void read_next(void *ctx)
{
	mt_follower_t *follower = ctx;

	follower->timer = 0;
	follower->waits_for_pace = false;
	follower->calls++;
	follower->sent_at = mt_kernel_now(follower->kernel);
	follower->store->read(follower->store->self, follower->topic,
			      follower->next, follower->wait_ms, on_read,
			      follower);
}

static void end_snapshot(mt_follower_t *follower)
{
	g_clear_pointer(&follower->snapshot_key, g_free);
	follower->synced = true;
	mark_current(follower, follower->snapshot_sent_at);
	/* Later pages may contain records from beyond the end of the topic at
	 * the first page; reading from there delivers these once more. */
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
	follower->snapshot_sent_at = follower->sent_at;
	if (follower->handler.on_snapshot)
		follower->handler.on_snapshot(follower->handler.ctx, true);
}

static void on_newest(void *ctx, const mt_store_page_t *page)
{
	mt_follower_t *follower = ctx;
	mt_ms_t now = mt_kernel_now(follower->kernel);

	if (!finish_call(follower))
		return;
	if (page->result != MT_STORE_DONE) {
		retry(follower, read_snapshot);
		return;
	}
	follower->retry_ms = RETRY_MIN_MS;
	follower->round_trip =
		MIN(follower->round_trip, now - follower->sent_at);
	if (!follower->snapshot_key)
		begin_snapshot(follower, page);
	for (size_t i = 0; i < page->count; i++)
		follower->handler.on_record(follower->handler.ctx,
					    &page->records[i]);
	if (!page->more || !page->count) {
		end_snapshot(follower);
		return;
	}
	g_free(follower->snapshot_key);
	follower->snapshot_key =
		g_strndup(page->records[page->count - 1].key.data,
			  page->records[page->count - 1].key.len);
	read_snapshot(follower);
}

static void read_snapshot(void *ctx)
{
	mt_follower_t *follower = ctx;

	follower->timer = 0;
	follower->calls++;
	follower->sent_at = mt_kernel_now(follower->kernel);
	follower->store->newest(follower->store->self, follower->topic,
				mt_str_from(follower->snapshot_key), on_newest,
				follower);
}

static void on_sync(void *ctx, const mt_store_page_t *page);

static void read_for_sync(mt_sync_t *sync)
{
	mt_follower_t *follower = sync->follower;

	follower->calls++;
	follower->store->read(follower->store->self, follower->topic,
			      follower->next, 0, on_sync, sync);
}

static void end_sync(mt_sync_t *sync, bool current)
{
	if (current)
		mark_current(sync->follower, sync->sent_at);
	sync->cb(sync->ctx, current);
	g_free(sync);
}

static void on_sync(void *ctx, const mt_store_page_t *page)
{
	mt_sync_t *sync = ctx;
	mt_follower_t *follower = sync->follower;

	if (!finish_call(follower)) {
		sync->cb(sync->ctx, false);
		g_free(sync);
		return;
	}
	if (page->result != MT_STORE_DONE || !follower->synced) {
		end_sync(sync, false);
		return;
	}
	if (!sync->answered)
		sync->until = page->end;
	sync->answered = true;
	deliver(follower, page);
	if (follower->next >= sync->until)
		end_sync(sync, true);
	else
		read_for_sync(sync);
}

void mt_follower_catch_up(mt_follower_t *follower, mt_follower_catch_up_cb cb,
			  void *ctx)
{
	mt_sync_t *sync = g_new0(mt_sync_t, 1);

	sync->follower = follower;
	sync->sent_at = mt_kernel_now(follower->kernel);
	sync->cb = cb;
	sync->ctx = ctx;
	read_for_sync(sync);
}

void mt_follower_set_pace(mt_follower_t *follower, mt_ms_t pace_ms)
{
	follower->pace_ms = pace_ms;
	if (pace_ms || !follower->waits_for_pace)
		return;
	mt_timers_cancel(mt_kernel_timers(follower->kernel), follower->timer);
	read_next(follower);
}

bool mt_follower_has_snapshot(const mt_follower_t *follower)
{
	return follower->synced;
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
	mt_timers_cancel(mt_kernel_timers(follower->kernel), follower->timer);
	follower->stopped = true;
	if (!follower->calls)
		free_follower(follower);
}
