/**
 * @file test_follower.c
 * Tests of the follower. The store is a fake that answers only when the test
 * tells it to, with at most PAGE_RECORDS records per page.
 */
#include <CUnit/Basic.h>

#include "dag/follower.h"
#include "unit/tests.h"

#define PAGE_RECORDS 2u

/** A store with one topic, which holds `end` records. */
typedef struct mt_paged_store_t {
	mt_store_port_t port;
	GArray *calls; /**< pending mt_paged_call_t, oldest first */
	uint64_t end;
	unsigned reads; /**< calls of read() so far */
} mt_paged_store_t;

typedef struct mt_paged_call_t {
	bool newest; /**< call of newest(), for a snapshot; else of read() */
	/** Offset of a read. For a call of newest(): 0 for the first page of
	 * the snapshot, else 1; it is passed on as the page's `next` only, as
	 * this fake gives a snapshot no records. */
	uint64_t from;
	mt_ms_t wait_ms;
	mt_ms_t timeout_ms;
	mt_store_page_cb cb;
	void *ctx;
} mt_paged_call_t;

static void on_read_call(void *self, const char *topic, uint64_t from,
			 mt_ms_t wait_ms, mt_ms_t timeout_ms,
			 mt_store_page_cb cb, void *ctx)
{
	mt_paged_store_t *store = self;
	mt_paged_call_t call = {false, from, wait_ms, timeout_ms, cb, ctx};

	store->reads++;
	g_array_append_val(store->calls, call);
}

static void on_newest_call(void *self, const char *topic, mt_str_t after_key,
			   mt_ms_t timeout_ms, mt_store_page_cb cb, void *ctx)
{
	mt_paged_store_t *store = self;
	mt_paged_call_t call = {true, after_key.len ? 1 : 0, 0, timeout_ms, cb,
				ctx};

	g_array_append_val(store->calls, call);
}

/** Answers the pending call at `index` with the next page of records. */
static void answer(mt_paged_store_t *store, guint index)
{
	mt_paged_call_t call =
		g_array_index(store->calls, mt_paged_call_t, index);
	mt_store_record_t records[PAGE_RECORDS];
	mt_store_page_t page = {0};

	g_array_remove_index(store->calls, index);
	page.records = records;
	page.end = store->end;
	while (!call.newest && page.count < PAGE_RECORDS &&
	       call.from + page.count < store->end) {
		records[page.count].key = MT_STR("key");
		records[page.count].value = MT_STR("value");
		records[page.count].offset = call.from + page.count;
		page.count++;
	}
	page.next = call.from + page.count;
	call.cb(call.ctx, &page);
}

/** Answers the pending call at `index` with a failure. */
static void fail(mt_paged_store_t *store, guint index, mt_store_result_t result)
{
	mt_paged_call_t call =
		g_array_index(store->calls, mt_paged_call_t, index);
	mt_store_page_t page = {.result = result};

	g_array_remove_index(store->calls, index);
	call.cb(call.ctx, &page);
}

static void refuse(mt_paged_store_t *store, guint index)
{
	fail(store, index, MT_STORE_REFUSED);
}

typedef struct mt_follower_fixture_t {
	mt_timers_t *timers;
	mt_kernel_t *kernel;
	mt_paged_store_t store;
	mt_follower_t *follower;
	unsigned records;
	unsigned complete_catch_ups;  /**< ended with `current` true */
	unsigned failed_catch_ups;    /**< ended with `current` false */
	unsigned records_at_catch_up; /**< delivered when the last one ended */
} mt_follower_fixture_t;

static void count_record(void *ctx, const mt_store_record_t *record)
{
	mt_follower_fixture_t *fixture = ctx;

	fixture->records++;
}

/** @param current the catch-up was complete, see mt_follower_catch_up_cb */
static void count_catch_up(void *ctx, bool current)
{
	mt_follower_fixture_t *fixture = ctx;

	fixture->records_at_catch_up = fixture->records;
	if (current)
		fixture->complete_catch_ups++;
	else
		fixture->failed_catch_ups++;
}

/** Makes a follower whose first call, for a snapshot, is not answered yet. */
static void set_up_unanswered(mt_follower_fixture_t *fixture)
{
	mt_follower_handler_t handler = {fixture, count_record, NULL, NULL};

	*fixture = (mt_follower_fixture_t){0};
	fixture->timers = mt_timers_new(1000);
	fixture->kernel = mt_kernel_new("test", fixture->timers, 1);
	fixture->store.calls =
		g_array_new(FALSE, FALSE, sizeof(mt_paged_call_t));
	fixture->store.port = (mt_store_port_t){
		&fixture->store, NULL, on_read_call, on_newest_call, 0, 0};
	fixture->follower = mt_follower_new(
		fixture->kernel, &fixture->store.port, "topic", 1000, &handler);
}

/** Makes a follower that has read the empty topic and long-polls it. */
static void set_up(mt_follower_fixture_t *fixture)
{
	set_up_unanswered(fixture);
	answer(&fixture->store, 0);
	mt_timers_advance(fixture->timers, 2000);
}

static void tear_down(mt_follower_fixture_t *fixture)
{
	mt_follower_stop(fixture->follower);
	while (fixture->store.calls->len)
		refuse(&fixture->store, 0);
	g_array_unref(fixture->store.calls);
	mt_kernel_free(fixture->kernel);
	mt_timers_free(fixture->timers);
}

/** After an outage, more records may be unread than one page holds. */
static void a_catch_up_reads_all_pages(void)
{
	mt_follower_fixture_t fixture;

	set_up(&fixture);
	fixture.store.end = 5;
	mt_follower_catch_up(fixture.follower, count_catch_up, &fixture);
	answer(&fixture.store, 1);
	CU_ASSERT_EQUAL(fixture.complete_catch_ups, 0);
	answer(&fixture.store, 1);
	CU_ASSERT_EQUAL(fixture.complete_catch_ups, 0);
	answer(&fixture.store, 1);
	CU_ASSERT_EQUAL(fixture.complete_catch_ups, 1);
	CU_ASSERT_EQUAL(fixture.records_at_catch_up, 5);
	tear_down(&fixture);
}

/** Records that are appended during a catch-up must not prolong it. */
static void a_catch_up_ends_where_the_topic_ended(void)
{
	mt_follower_fixture_t fixture;

	set_up(&fixture);
	fixture.store.end = 3;
	mt_follower_catch_up(fixture.follower, count_catch_up, &fixture);
	answer(&fixture.store, 1);
	fixture.store.end = 9;
	answer(&fixture.store, 1);
	CU_ASSERT_EQUAL(fixture.complete_catch_ups, 1);
	tear_down(&fixture);
}

static void a_catch_up_without_the_store_fails(void)
{
	mt_follower_fixture_t fixture;

	set_up(&fixture);
	mt_follower_catch_up(fixture.follower, count_catch_up, &fixture);
	refuse(&fixture.store, 1);
	CU_ASSERT_EQUAL(fixture.failed_catch_ups, 1);
	CU_ASSERT_EQUAL(fixture.complete_catch_ups, 0);
	tear_down(&fixture);
}

/**
 * The age of the follower's copy counts from the last read that reached the end
 * of the topic. A page that leaves records unread does not reset it.
 */
static void only_the_end_of_the_topic_resets_the_age(void)
{
	mt_follower_fixture_t fixture;

	set_up(&fixture);
	fixture.store.end = 3;
	answer(&fixture.store, 0);
	CU_ASSERT_EQUAL(mt_follower_age(fixture.follower), 1000);
	mt_timers_advance(fixture.timers, 2500);
	answer(&fixture.store, 0);
	CU_ASSERT_EQUAL(mt_follower_age(fixture.follower), 500);
	tear_down(&fixture);
}

/** After an answer that reached the end, the next read is delayed. */
static void the_read_delay_delays_the_next_read(void)
{
	mt_follower_fixture_t fixture;
	unsigned reads;

	set_up(&fixture);
	mt_follower_set_read_delay(fixture.follower, 150);
	reads = fixture.store.reads;
	fixture.store.end = 1;
	answer(&fixture.store, 0);
	CU_ASSERT_EQUAL(fixture.store.reads, reads);
	mt_timers_advance(fixture.timers, 2149);
	CU_ASSERT_EQUAL(fixture.store.reads, reads);
	mt_timers_advance(fixture.timers, 2150);
	CU_ASSERT_EQUAL(fixture.store.reads, reads + 1);
	tear_down(&fixture);
}

/** When the page leaves records unread, the next read is sent at once. */
static void a_backlog_is_read_without_delay(void)
{
	mt_follower_fixture_t fixture;
	unsigned reads;

	set_up(&fixture);
	mt_follower_set_read_delay(fixture.follower, 150);
	reads = fixture.store.reads;
	fixture.store.end = 3;
	answer(&fixture.store, 0);
	CU_ASSERT_EQUAL(fixture.store.reads, reads + 1);
	tear_down(&fixture);
}

/**
 * A host that becomes the leader sets the read delay to 0. A read that is
 * waiting for the previous delay to pass is then sent at once, and not a second
 * time when its timer would fire.
 */
static void a_read_delay_of_zero_reads_at_once(void)
{
	mt_follower_fixture_t fixture;
	unsigned reads;

	set_up(&fixture);
	mt_follower_set_read_delay(fixture.follower, 150);
	fixture.store.end = 1;
	answer(&fixture.store, 0);
	reads = fixture.store.reads;
	mt_follower_set_read_delay(fixture.follower, 0);
	CU_ASSERT_EQUAL(fixture.store.reads, reads + 1);
	mt_timers_advance(fixture.timers, 3000);
	CU_ASSERT_EQUAL(fixture.store.reads, reads + 1);
	tear_down(&fixture);
}

/** Time-out of the only pending call, a read, without its long poll. */
static mt_ms_t read_timeout(const mt_follower_fixture_t *fixture)
{
	const mt_paged_call_t *call =
		&g_array_index(fixture->store.calls, mt_paged_call_t, 0);

	CU_ASSERT_EQUAL(fixture->store.calls->len, 1);
	return call->timeout_ms - call->wait_ms;
}

/**
 * Pattern: many hosts read a large configuration at once over a slow link.
 * Reads that end before the answer begins only add traffic, so that each one
 * waits twice as long as the one before, up to 12 s.
 */
static void a_read_that_timed_out_is_repeated_with_more_time(void)
{
	static const mt_ms_t expected[] = {1500, 3000, 6000, 12000, 12000};
	mt_follower_fixture_t fixture;

	set_up(&fixture);
	for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
		CU_ASSERT_EQUAL(read_timeout(&fixture), expected[i]);
		fail(&fixture.store, 0, MT_STORE_UNKNOWN);
		mt_timers_advance(fixture.timers,
				  mt_timers_now(fixture.timers) + 500);
	}
	fixture.store.end = 1;
	answer(&fixture.store, 0);
	CU_ASSERT_EQUAL(read_timeout(&fixture), 1500);
	tear_down(&fixture);
}

/**
 * Pattern: a large configuration changes faster than a far host can read it.
 * After a read that did not reach the end, the host reads the newest one
 * instead of all those in between.
 */
static void replaced_records_are_skipped(void)
{
	mt_follower_fixture_t fixture;
	unsigned reads;

	set_up(&fixture);
	mt_follower_skip_replaced(fixture.follower);
	reads = fixture.store.reads;
	fixture.store.end = 3 * PAGE_RECORDS;
	answer(&fixture.store, 0);
	CU_ASSERT_EQUAL(fixture.store.reads, reads);
	CU_ASSERT_TRUE(
		g_array_index(fixture.store.calls, mt_paged_call_t, 0).newest);
	CU_ASSERT_TRUE(mt_follower_has_snapshot(fixture.follower));
	answer(&fixture.store, 0);
	CU_ASSERT_EQUAL(mt_follower_next(fixture.follower), 3 * PAGE_RECORDS);
	tear_down(&fixture);
}

/** Answers the oldest call, one for a snapshot, with a page of no records. */
static void answer_empty_page(mt_paged_store_t *store, const char *last_key,
			      bool more)
{
	mt_paged_call_t call = g_array_index(store->calls, mt_paged_call_t, 0);
	mt_store_page_t page = {.more = more,
				.last_key = mt_str_from(last_key)};

	CU_ASSERT_TRUE(call.newest);
	g_array_remove_index(store->calls, 0);
	call.cb(call.ctx, &page);
}

/**
 * Guards against: a page whose items are all malformed counts as the end of a
 * list, so that servers or jobs after it are taken as gone (LOST).
 */
static void a_page_without_records_does_not_end_a_snapshot(void)
{
	mt_follower_fixture_t fixture;

	set_up_unanswered(&fixture);
	answer_empty_page(&fixture.store, "odd", true);
	CU_ASSERT_FALSE(mt_follower_has_snapshot(fixture.follower));
	CU_ASSERT_EQUAL_FATAL(fixture.store.calls->len, 1);
	/* The key does not lead any further: the page is read again later. */
	answer_empty_page(&fixture.store, "odd", true);
	CU_ASSERT_FALSE(mt_follower_has_snapshot(fixture.follower));
	mt_timers_advance(fixture.timers, mt_timers_now(fixture.timers) + 1000);
	CU_ASSERT_EQUAL_FATAL(fixture.store.calls->len, 1);
	answer_empty_page(&fixture.store, NULL, false);
	CU_ASSERT_TRUE(mt_follower_has_snapshot(fixture.follower));
	tear_down(&fixture);
}

const mt_test_t mt_follower_tests[] = {
	{"a page without records does not end a snapshot",
	 a_page_without_records_does_not_end_a_snapshot},
	{"replaced records are skipped", replaced_records_are_skipped},
	{"a read that timed out is repeated with more time",
	 a_read_that_timed_out_is_repeated_with_more_time},
	{"a catch-up reads all pages", a_catch_up_reads_all_pages},
	{"a catch-up ends where the topic ended",
	 a_catch_up_ends_where_the_topic_ended},
	{"a catch-up without the store fails",
	 a_catch_up_without_the_store_fails},
	{"only the end of the topic resets the age",
	 only_the_end_of_the_topic_resets_the_age},
	{"the read delay delays the next read",
	 the_read_delay_delays_the_next_read},
	{"a backlog is read without delay", a_backlog_is_read_without_delay},
	{"a read delay of zero reads at once",
	 a_read_delay_of_zero_reads_at_once},
	{NULL, NULL},
};
