/** @file test_front.c Tests of what callers are told while the store is slow.
 */
#include <CUnit/Basic.h>

#include "dag/front.h"
#include "unit/tests.h"

#define JOB_ID "00000000000000a1"

/** A store whose first answers come at once, and whose later reads never do. */
typedef struct mt_slow_store_t {
	mt_store_port_t port;
	GArray *calls; /**< mt_slow_call_t */
} mt_slow_store_t;

typedef struct mt_slow_call_t {
	mt_store_page_cb cb;
	void *ctx;
} mt_slow_call_t;

static void keep_call(mt_slow_store_t *store, mt_store_page_cb cb, void *ctx)
{
	mt_slow_call_t call = {cb, ctx};

	g_array_append_val(store->calls, call);
}

static void keep_read(void *self, const char *topic, uint64_t from,
		      mt_ms_t wait_ms, mt_store_page_cb cb, void *ctx)
{
	keep_call(self, cb, ctx);
}

static void keep_newest(void *self, const char *topic, mt_str_t after_key,
			mt_store_page_cb cb, void *ctx)
{
	keep_call(self, cb, ctx);
}

static void answer_first(mt_slow_store_t *store, mt_store_result_t result)
{
	mt_slow_call_t call = g_array_index(store->calls, mt_slow_call_t, 0);
	mt_store_page_t page = {.result = result};

	g_array_remove_index(store->calls, 0);
	call.cb(call.ctx, &page);
}

typedef struct mt_fronted_t {
	mt_timers_t *timers;
	mt_kernel_t *kernel;
	mt_slow_store_t store;
	mt_catalog_t *catalog;
	mt_dag_front_deps_t deps;
	mt_dag_front_t *front;
	unsigned replies;
	mt_front_reply_t reply;
} mt_fronted_t;

static void ignore_record(void *ctx, const mt_store_record_t *record)
{
}

static mt_follower_t *follow(mt_fronted_t *test)
{
	mt_follower_handler_t handler = {test, ignore_record, NULL, NULL};

	return mt_follower_new(test->kernel, &test->store.port, "topic", 1000,
			       &handler);
}

static mt_catalog_t *make_catalog(void)
{
	mt_catalog_t *catalog = mt_catalog_new(1);
	mt_queue_t *queue = mt_catalog_add_queue(catalog);

	queue->name = mt_name("urgent");
	queue->host = mt_name("jobs.example");
	queue->path_prefix = g_strdup("/urgent/");
	queue->service = mt_name("service");
	queue->needs_no_key = true;
	return catalog;
}

/** A host that knows one job; its records were current 100 ms ago. */
static void set_up(mt_fronted_t *test)
{
	MtDag__Job job = MT_DAG__JOB__INIT;
	mt_record_key_t key = mt_record_key(MT_RECORD_JOB, 0xa1);
	mt_store_record_t record = {mt_str_from(key.text), {0}, 1};
	GBytes *bytes;

	*test = (mt_fronted_t){0};
	test->timers = mt_timers_new(1000);
	test->kernel = mt_kernel_new("test", test->timers, 1);
	test->store.calls = g_array_new(FALSE, FALSE, sizeof(mt_slow_call_t));
	test->store.port =
		(mt_store_port_t){&test->store, NULL, keep_read, keep_newest};
	test->deps.kernel = test->kernel;
	test->deps.table = mt_table_new(test->kernel);
	test->deps.records = follow(test);
	test->deps.config = follow(test);
	test->deps.key_age_max_ms = 2500;
	answer_first(&test->store, MT_STORE_DONE);
	answer_first(&test->store, MT_STORE_DONE);
	job.id = 0xa1;
	job.queue = (char *)"urgent";
	bytes = mt_dag_pack(&job.base);
	record.value = mt_bytes_view(bytes);
	mt_table_apply(test->deps.table, &record);
	g_bytes_unref(bytes);
	test->catalog = make_catalog();
	test->front = mt_dag_front_new(&test->deps);
	mt_dag_front_set_catalog(test->front, test->catalog);
	mt_timers_advance(test->timers, 1100);
}

static void tear_down(mt_fronted_t *test)
{
	mt_follower_stop(test->deps.records);
	mt_follower_stop(test->deps.config);
	while (test->store.calls->len)
		answer_first(&test->store, MT_STORE_REFUSED);
	g_array_unref(test->store.calls);
	mt_table_free(test->deps.table);
	mt_catalog_free(test->catalog);
	g_free(test->front);
	mt_kernel_free(test->kernel);
	mt_timers_free(test->timers);
}

static void keep_reply(void *ctx, const mt_front_reply_t *reply)
{
	mt_fronted_t *test = ctx;

	test->replies++;
	test->reply = *reply;
}

static void show(mt_fronted_t *test)
{
	mt_front_call_t call = {0};

	call.verb = MT_VERB_SHOW;
	call.host = MT_STR("jobs.example");
	call.path = MT_STR("/urgent/" JOB_ID);
	call.timeout_ms = 1000;
	mt_dag_front_call(test->front, &call, keep_reply, test);
}

/** The read for the newest state does not come back in the caller's time. */
static void a_known_job_is_shown_though_the_store_is_silent(void)
{
	mt_fronted_t test;

	set_up(&test);
	show(&test);
	CU_ASSERT_EQUAL(test.replies, 0);
	mt_timers_advance(test.timers, 2100);
	CU_ASSERT_EQUAL(test.replies, 1);
	CU_ASSERT_EQUAL(test.reply.outcome, MT_OUTCOME_STATE);
	CU_ASSERT_EQUAL(test.reply.state, MT_DAG__STATE__QUEUED);
	tear_down(&test);
	CU_ASSERT_EQUAL(test.replies, 1);
}

/** Long without the store, nothing is waited for. */
static void a_known_job_is_shown_at_once_without_the_store(void)
{
	mt_fronted_t test;

	set_up(&test);
	mt_timers_advance(test.timers, 2500);
	show(&test);
	CU_ASSERT_EQUAL(test.replies, 1);
	CU_ASSERT_EQUAL(test.reply.outcome, MT_OUTCOME_STATE);
	tear_down(&test);
}

const mt_test_t mt_front_tests[] = {
	{"a known job is shown though the store is silent",
	 a_known_job_is_shown_though_the_store_is_silent},
	{"a known job is shown at once without the store",
	 a_known_job_is_shown_at_once_without_the_store},
	{NULL, NULL},
};
