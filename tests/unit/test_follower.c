/**
 * @file test_follower.c
 * Tests of the follower over a store that answers when the test says so and
 * gives few records a page.
 */
#include <CUnit/Basic.h>

#include "dag/follower.h"
#include "unit/tests.h"

#define PAGE_RECORDS 2u

/** A topic of `end` records, and the reads that wait for an answer. */
typedef struct mt_paged_store_t {
	mt_store_port_t port;
	GArray *calls; /**< mt_paged_call_t, oldest first */
	uint64_t end;
	unsigned reads; /**< calls of read() so far */
} mt_paged_store_t;

typedef struct mt_paged_call_t {
	bool newest;
	uint64_t from;
	mt_ms_t wait_ms;
	mt_store_page_cb cb;
	void *ctx;
} mt_paged_call_t;

static void on_read_call(void *self, const char *topic, uint64_t from,
			 mt_ms_t wait_ms, mt_store_page_cb cb, void *ctx)
{
	mt_paged_store_t *store = self;
	mt_paged_call_t call = {false, from, wait_ms, cb, ctx};

	store->reads++;
	g_array_append_val(store->calls, call);
}

static void on_newest_call(void *self, const char *topic, mt_str_t after_key,
			   mt_store_page_cb cb, void *ctx)
{
	mt_paged_store_t *store = self;
	mt_paged_call_t call = {true, after_key.len ? 1 : 0, 0, cb, ctx};

	g_array_append_val(store->calls, call);
}

/** Answers the call at `index` with as many records as a page holds. */
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

static void refuse(mt_paged_store_t *store, guint index)
{
	mt_paged_call_t call =
		g_array_index(store->calls, mt_paged_call_t, index);
	mt_store_page_t page = {.result = MT_STORE_REFUSED};

	g_array_remove_index(store->calls, index);
	call.cb(call.ctx, &page);
}

typedef struct mt_followed_t {
	mt_timers_t *timers;
	mt_kernel_t *kernel;
	mt_paged_store_t store;
	mt_follower_t *follower;
	unsigned records;
	unsigned synced;  /**< syncs that ended current */
	unsigned stale;	  /**< syncs that ended without */
	unsigned at_sync; /**< records that had been handed over by then */
} mt_followed_t;

static void count_record(void *ctx, const mt_store_record_t *record)
{
	mt_followed_t *test = ctx;

	test->records++;
}

static void count_sync(void *ctx, bool current)
{
	mt_followed_t *test = ctx;

	test->at_sync = test->records;
	if (current)
		test->synced++;
	else
		test->stale++;
}

/** A follower that has read the empty topic and waits for a record. */
static void set_up(mt_followed_t *test)
{
	mt_follower_handler_t handler = {test, count_record, NULL, NULL};

	*test = (mt_followed_t){0};
	test->timers = mt_timers_new(1000);
	test->kernel = mt_kernel_new("test", test->timers, 1);
	test->store.calls = g_array_new(FALSE, FALSE, sizeof(mt_paged_call_t));
	test->store.port = (mt_store_port_t){&test->store, NULL, on_read_call,
					     on_newest_call};
	test->follower = mt_follower_new(test->kernel, &test->store.port,
					 "topic", 1000, &handler);
	answer(&test->store, 0);
	mt_timers_advance(test->timers, 2000);
}

static void tear_down(mt_followed_t *test)
{
	mt_follower_stop(test->follower);
	while (test->store.calls->len)
		refuse(&test->store, 0);
	g_array_unref(test->store.calls);
	mt_kernel_free(test->kernel);
	mt_timers_free(test->timers);
}

/** A host that was cut off has more to read than one answer holds. */
static void a_sync_reads_all_pages(void)
{
	mt_followed_t test;

	set_up(&test);
	test.store.end = 5;
	mt_follower_sync(test.follower, count_sync, &test);
	answer(&test.store, 1);
	CU_ASSERT_EQUAL(test.synced, 0);
	answer(&test.store, 1);
	CU_ASSERT_EQUAL(test.synced, 0);
	answer(&test.store, 1);
	CU_ASSERT_EQUAL(test.synced, 1);
	CU_ASSERT_EQUAL(test.at_sync, 5);
	tear_down(&test);
}

/** Records that come while it reads do not hold up a sync for ever. */
static void a_sync_ends_where_the_topic_ended(void)
{
	mt_followed_t test;

	set_up(&test);
	test.store.end = 3;
	mt_follower_sync(test.follower, count_sync, &test);
	answer(&test.store, 1);
	test.store.end = 9;
	answer(&test.store, 1);
	CU_ASSERT_EQUAL(test.synced, 1);
	tear_down(&test);
}

static void a_sync_without_the_store_is_not_current(void)
{
	mt_followed_t test;

	set_up(&test);
	mt_follower_sync(test.follower, count_sync, &test);
	refuse(&test.store, 1);
	CU_ASSERT_EQUAL(test.stale, 1);
	CU_ASSERT_EQUAL(test.synced, 0);
	tear_down(&test);
}

/** The state is as young as the last read that reached the topic's end. */
static void an_unfinished_page_proves_no_freshness(void)
{
	mt_followed_t test;

	set_up(&test);
	test.store.end = 3;
	answer(&test.store, 0);
	CU_ASSERT_EQUAL(mt_follower_age(test.follower), 1000);
	mt_timers_advance(test.timers, 2500);
	answer(&test.store, 0);
	CU_ASSERT_EQUAL(mt_follower_age(test.follower), 500);
	tear_down(&test);
}

/** A follower that gathers reads at most once in its pace. */
static void reads_are_gathered(void)
{
	mt_followed_t test;
	unsigned reads;

	set_up(&test);
	mt_follower_set_pace(test.follower, 150);
	reads = test.store.reads;
	test.store.end = 1;
	answer(&test.store, 0);
	CU_ASSERT_EQUAL(test.store.reads, reads);
	mt_timers_advance(test.timers, 2149);
	CU_ASSERT_EQUAL(test.store.reads, reads);
	mt_timers_advance(test.timers, 2150);
	CU_ASSERT_EQUAL(test.store.reads, reads + 1);
	tear_down(&test);
}

/** More than a page waits: the rest is read at once. */
static void a_backlog_is_not_gathered(void)
{
	mt_followed_t test;
	unsigned reads;

	set_up(&test);
	mt_follower_set_pace(test.follower, 150);
	reads = test.store.reads;
	test.store.end = 3;
	answer(&test.store, 0);
	CU_ASSERT_EQUAL(test.store.reads, reads + 1);
	tear_down(&test);
}

/** Who becomes the leader reads on at once. */
static void a_pace_of_zero_reads_at_once(void)
{
	mt_followed_t test;
	unsigned reads;

	set_up(&test);
	mt_follower_set_pace(test.follower, 150);
	test.store.end = 1;
	answer(&test.store, 0);
	reads = test.store.reads;
	mt_follower_set_pace(test.follower, 0);
	CU_ASSERT_EQUAL(test.store.reads, reads + 1);
	mt_timers_advance(test.timers, 3000);
	CU_ASSERT_EQUAL(test.store.reads, reads + 1);
	tear_down(&test);
}

const mt_test_t mt_follower_tests[] = {
	{"a sync reads all pages", a_sync_reads_all_pages},
	{"a sync ends where the topic ended",
	 a_sync_ends_where_the_topic_ended},
	{"a sync without the store is not current",
	 a_sync_without_the_store_is_not_current},
	{"an unfinished page proves no freshness",
	 an_unfinished_page_proves_no_freshness},
	{"reads are gathered", reads_are_gathered},
	{"a backlog is not gathered", a_backlog_is_not_gathered},
	{"a pace of zero reads at once", a_pace_of_zero_reads_at_once},
	{NULL, NULL},
};
