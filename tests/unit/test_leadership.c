/**
 * @file test_leadership.c
 * Tests of the leadership with a store that answers when the test says so.
 */
#include <CUnit/Basic.h>

#include "dag/leadership.h"
#include "dag/records.h"
#include "unit/tests.h"

/** An append that the store has received and not answered. */
typedef struct mt_pending_append_t {
	uint64_t epoch;
	uint64_t expected_end;
	GBytes *value; /**< of its only record */
	mt_store_append_cb cb;
	void *ctx;
} mt_pending_append_t;

typedef struct mt_leadership_fixture_t {
	mt_timers_t *timers;
	mt_kernel_t *kernel;
	mt_store_port_t store;
	mt_leadership_t *leadership;
	mt_store_page_cb page_cb; /**< of the pending read */
	void *page_ctx;
	GArray *appends; /**< mt_pending_append_t of leader records */
	uint64_t end;	 /**< end of the topic */
	uint64_t term;	 /**< of the last election of this host */
	unsigned elections;
	unsigned depositions;
	bool drained;
	/** What the leader record is to say about the load. */
	MtDag__Pressure *pressure[1];
	size_t n_pressure;
} mt_leadership_fixture_t;

static void keep_read(void *self, const char *topic, uint64_t from,
		      mt_ms_t wait_ms, mt_ms_t timeout_ms, mt_store_page_cb cb,
		      void *ctx)
{
	mt_leadership_fixture_t *fixture = self;

	fixture->page_cb = cb;
	fixture->page_ctx = ctx;
}

static void keep_newest(void *self, const char *topic, mt_str_t after_key,
			mt_ms_t timeout_ms, mt_store_page_cb cb, void *ctx)
{
	keep_read(self, topic, 0, 0, timeout_ms, cb, ctx);
}

/** Keeps leader records; other appends stay without an answer. */
static void keep_append(void *self, const mt_store_append_t *append,
			mt_store_append_cb cb, void *ctx)
{
	mt_leadership_fixture_t *fixture = self;
	const mt_store_record_t *record = &append->records[0];
	mt_pending_append_t pending = {append->epoch, append->expected_end,
				       NULL, cb, ctx};

	if (record->key.data[0] != MT_RECORD_LEADER)
		return;
	pending.value = g_bytes_new(record->value.data, record->value.len);
	g_array_append_val(fixture->appends, pending);
}

static void on_elected(void *ctx, uint64_t term)
{
	mt_leadership_fixture_t *fixture = ctx;

	fixture->elections++;
	fixture->term = term;
}

static void on_deposed(void *ctx)
{
	mt_leadership_fixture_t *fixture = ctx;

	fixture->depositions++;
}

static void ignore_slot(void *ctx, bool held)
{
}

static void on_drained(void *ctx)
{
	mt_leadership_fixture_t *fixture = ctx;

	fixture->drained = true;
}

/** Delivers a page with at most one leader record to the pending read. */
static void deliver(mt_leadership_fixture_t *fixture, GBytes *value)
{
	mt_record_key_t key = mt_record_key(MT_RECORD_LEADER, 0);
	mt_store_record_t record = {mt_str_from(key.text), {0}, fixture->end};
	mt_store_page_t page = {.records = &record};
	mt_store_page_cb cb = fixture->page_cb;

	g_assert(cb);

	if (value) {
		record.value = mt_bytes_view(value);
		page.count = 1;
		fixture->end++;
	}
	page.end = fixture->end;
	fixture->page_cb = NULL;
	cb(fixture->page_ctx, &page);
}

static void advance(mt_leadership_fixture_t *fixture, mt_ms_t ms)
{
	for (mt_ms_t i = 0; i < ms; i += 50)
		mt_timers_advance(fixture->timers,
				  mt_timers_now(fixture->timers) + 50);
}

/** Answers the oldest append; its record is freed or returned. */
static GBytes *answer_append(mt_leadership_fixture_t *fixture,
			     mt_store_result_t result)
{
	mt_pending_append_t append =
		g_array_index(fixture->appends, mt_pending_append_t, 0);

	g_array_remove_index(fixture->appends, 0);
	append.cb(append.ctx, result, fixture->end);
	return append.value;
}

static size_t list_pressure(void *ctx, MtDag__Pressure ***list)
{
	mt_leadership_fixture_t *fixture = ctx;

	*list = fixture->pressure;
	return fixture->n_pressure;
}

/** Makes a host that is elected, in the term that its claim began. */
static void set_up(mt_leadership_fixture_t *fixture)
{
	mt_leadership_deps_t deps = {0};
	mt_leadership_handler_t handler = {fixture, on_elected, on_deposed,
					   ignore_slot, ignore_slot};
	GBytes *claim;

	*fixture = (mt_leadership_fixture_t){0};
	fixture->timers = mt_timers_new(1000);
	fixture->kernel = mt_kernel_new("test", fixture->timers, 1);
	fixture->appends =
		g_array_new(FALSE, FALSE, sizeof(mt_pending_append_t));
	fixture->store = (mt_store_port_t){fixture,	keep_append, keep_read,
					   keep_newest, 0,	     0};
	deps.kernel = fixture->kernel;
	deps.store = &fixture->store;
	deps.host = mt_shared_name("host");
	deps.dc = mt_shared_name("dc");
	deps.incarnation = mt_name("host-1");
	deps.cores_milli = 500;
	deps.list_pressure = list_pressure;
	deps.load_ctx = fixture;
	fixture->end = 41;
	fixture->leadership = mt_leadership_new(&deps, &handler);
	mt_leadership_allow_claims(fixture->leadership);
	mt_leadership_set_has_records(fixture->leadership, true);
	deliver(fixture, NULL);
	advance(fixture, 200);
	CU_ASSERT_EQUAL_FATAL(fixture->appends->len, 1);
	claim = answer_append(fixture, MT_STORE_DONE);
	deliver(fixture, claim);
	g_bytes_unref(claim);
}

/** The fixture's parts are left to the end of the process: calls are pending.
 */
static void tear_down(mt_leadership_fixture_t *fixture)
{
	g_array_unref(fixture->appends);
}

/** The term is the offset of the claim plus one, and heartbeats carry it. */
static void a_claim_that_is_read_back_begins_a_term(void)
{
	mt_leadership_fixture_t fixture;

	set_up(&fixture);
	CU_ASSERT_EQUAL(fixture.elections, 1);
	CU_ASSERT_EQUAL(fixture.term, 42);
	advance(&fixture, 350);
	CU_ASSERT_EQUAL_FATAL(fixture.appends->len, 1);
	CU_ASSERT_EQUAL(
		g_array_index(fixture.appends, mt_pending_append_t, 0).epoch,
		42);
	tear_down(&fixture);
}

/**
 * Pattern: the leader was paused, and another host has taken over. The store
 * rejects its heartbeat: it stops at once, and does not lead again in that term
 * although it has not read the other host's claim yet.
 */
static void a_fenced_leader_stops_and_stays_out(void)
{
	mt_leadership_fixture_t fixture;

	set_up(&fixture);
	advance(&fixture, 350);
	g_bytes_unref(answer_append(&fixture, MT_STORE_FENCED));
	CU_ASSERT_EQUAL(fixture.depositions, 1);
	deliver(&fixture, NULL);
	CU_ASSERT_EQUAL(fixture.elections, 1);
	tear_down(&fixture);
}

/** A planned stop: this host stops acting before it lets another one lead. */
static void a_leader_that_drains_stops_before_its_release(void)
{
	mt_leadership_fixture_t fixture;

	set_up(&fixture);
	mt_leadership_drain(fixture.leadership, on_drained, &fixture);
	CU_ASSERT_EQUAL(fixture.depositions, 1);
	CU_ASSERT_FALSE(fixture.drained);
	g_bytes_unref(answer_append(&fixture, MT_STORE_DONE));
	CU_ASSERT_TRUE(fixture.drained);
	advance(&fixture, 3000);
	CU_ASSERT_EQUAL(fixture.appends->len, 0);
	tear_down(&fixture);
}

/** A malformed leader record changes nothing. */
static void a_malformed_record_is_ignored(void)
{
	mt_leadership_fixture_t fixture;
	GBytes *broken = g_bytes_new("\xff\xff\xff", 3);

	set_up(&fixture);
	deliver(&fixture, broken);
	CU_ASSERT_EQUAL(fixture.elections, 1);
	CU_ASSERT_EQUAL(fixture.depositions, 0);
	g_bytes_unref(broken);
	tear_down(&fixture);
}

/** The leader record in the oldest append, which it answers. */
static GBytes *heartbeat(mt_leadership_fixture_t *fixture)
{
	CU_ASSERT_EQUAL_FATAL(fixture->appends->len, 1);
	return answer_append(fixture, MT_STORE_DONE);
}

static void set_pressure(mt_leadership_fixture_t *fixture,
			 MtDag__Pressure *pressure)
{
	mt_dag__pressure__init(pressure);
	pressure->service = (char *)"service";
	pressure->capacity_millicores = 5000;
	fixture->pressure[0] = pressure;
	fixture->n_pressure = 1;
}

/** Delivers the claim of another host, which has led since. */
static void deliver_claim_of_other(mt_leadership_fixture_t *fixture)
{
	MtDag__Leader leader = MT_DAG__LEADER__INIT;
	GBytes *bytes;

	leader.host = (char *)"other";
	leader.incarnation = (char *)"other-1";
	leader.term = fixture->end + 1;
	bytes = mt_dag_pack(&leader.base);
	deliver(fixture, bytes);
	g_bytes_unref(bytes);
}

/**
 * Guards against: hosts never see the load, take an old summary for a new one,
 * or see that of a service for another.
 */
static void the_load_travels_in_the_leader_record(void)
{
	mt_leadership_fixture_t fixture;
	MtDag__Pressure sent;
	const MtDag__Pressure *read;
	mt_ms_t age_ms;
	GBytes *record;

	set_up(&fixture);
	CU_ASSERT_PTR_NULL(
		mt_leadership_pressure(fixture.leadership, "service", &age_ms));
	set_pressure(&fixture, &sent);
	advance(&fixture, 350);
	record = heartbeat(&fixture);
	deliver(&fixture, record);
	g_bytes_unref(record);
	advance(&fixture, 200);
	read = mt_leadership_pressure(fixture.leadership, "service", &age_ms);
	CU_ASSERT_TRUE(read && read->capacity_millicores == 5000);
	CU_ASSERT_EQUAL(age_ms, 200);
	CU_ASSERT_PTR_NULL(
		mt_leadership_pressure(fixture.leadership, "other", &age_ms));
	tear_down(&fixture);
}

/** Guards against: the leader record grows on a service that is not contended.
 */
static void without_contention_the_record_is_as_small_as_before(void)
{
	mt_leadership_fixture_t fixture;
	MtDag__Leader leader = MT_DAG__LEADER__INIT;
	GBytes *expected;
	GBytes *record;

	set_up(&fixture);
	advance(&fixture, 350);
	record = heartbeat(&fixture);
	leader.host = (char *)"host";
	leader.incarnation = (char *)"host-1";
	leader.term = 42;
	expected = mt_dag_pack(&leader.base);
	CU_ASSERT_TRUE(g_bytes_equal(record, expected));
	g_bytes_unref(expected);
	g_bytes_unref(record);
	tear_down(&fixture);
}

/**
 * Pattern: the leader is lost, and another host begins a term.
 * Guards against: jobs are refused by the summary of a leader that is gone, or
 * a late record of it replaces that of the new one.
 */
static void a_new_leader_starts_without_a_summary(void)
{
	mt_leadership_fixture_t fixture;
	MtDag__Pressure sent;
	mt_ms_t age_ms;
	GBytes *record;

	set_up(&fixture);
	set_pressure(&fixture, &sent);
	advance(&fixture, 350);
	record = heartbeat(&fixture);
	deliver(&fixture, record);
	CU_ASSERT_PTR_NOT_NULL(
		mt_leadership_pressure(fixture.leadership, "service", &age_ms));
	deliver_claim_of_other(&fixture);
	CU_ASSERT_PTR_NULL(
		mt_leadership_pressure(fixture.leadership, "service", &age_ms));
	advance(&fixture, 500);
	deliver(&fixture, record);
	CU_ASSERT_PTR_NULL(
		mt_leadership_pressure(fixture.leadership, "service", &age_ms));
	g_bytes_unref(record);
	tear_down(&fixture);
}

const mt_test_t mt_leadership_tests[] = {
	{"the load travels in the leader record",
	 the_load_travels_in_the_leader_record},
	{"without contention the record is as small as before",
	 without_contention_the_record_is_as_small_as_before},
	{"a new leader starts without a summary",
	 a_new_leader_starts_without_a_summary},
	{"a claim that is read back begins a term",
	 a_claim_that_is_read_back_begins_a_term},
	{"a fenced leader stops and stays out",
	 a_fenced_leader_stops_and_stays_out},
	{"a leader that drains stops before its release",
	 a_leader_that_drains_stops_before_its_release},
	{"a malformed record is ignored", a_malformed_record_is_ignored},
	{NULL, NULL},
};
