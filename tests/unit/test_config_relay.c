/**
 * @file test_config_relay.c
 * Tests of the source of the configuration: when it asks the relay of its data
 * centre and when the store. Relay and store answer when the test tells them
 * to.
 */
#include <CUnit/Basic.h>

#include "dag/config_relay.h"
#include "unit/tests.h"

typedef struct mt_relay_fixture_t {
	mt_timers_t *timers;
	mt_kernel_t *kernel;
	mt_store_port_t store;
	mt_peer_port_t peers;
	mt_config_source_t *source;
	bool has_relay;
	bool may_come;
	unsigned store_reads;
	unsigned relay_calls;
	mt_peer_config_cb relay_cb; /**< of the pending call; NULL: none */
	void *relay_ctx;
	mt_store_page_t page; /**< last page that the source delivered */
	unsigned pages;
} mt_relay_fixture_t;

static void count_read(void *self, const char *topic, uint64_t from,
		       mt_ms_t wait_ms, mt_ms_t timeout_ms, mt_store_page_cb cb,
		       void *ctx)
{
	mt_relay_fixture_t *fixture = self;

	fixture->store_reads++;
}

static void count_newest(void *self, const char *topic, mt_str_t after_key,
			 mt_ms_t timeout_ms, mt_store_page_cb cb, void *ctx)
{
	mt_relay_fixture_t *fixture = self;

	fixture->store_reads++;
}

static void keep_config_call(void *self, const mt_endpoint_t *host,
			     const MtDag__ConfigCall *call,
			     mt_peer_config_cb cb, void *ctx)
{
	mt_relay_fixture_t *fixture = self;

	fixture->relay_calls++;
	fixture->relay_cb = cb;
	fixture->relay_ctx = ctx;
}

static bool find_relay(void *ctx, mt_endpoint_t *relay, bool *may_come)
{
	const mt_relay_fixture_t *fixture = ctx;

	*relay = (mt_endpoint_t){mt_name("relay"), 1};
	*may_come = fixture->may_come;
	return fixture->has_relay;
}

static void keep_page(void *ctx, const mt_store_page_t *page)
{
	mt_relay_fixture_t *fixture = ctx;

	fixture->page = *page;
	fixture->pages++;
}

static void set_up(mt_relay_fixture_t *fixture)
{
	mt_config_source_deps_t deps = {0};

	*fixture = (mt_relay_fixture_t){0};
	fixture->timers = mt_timers_new(1000);
	fixture->kernel = mt_kernel_new("test", fixture->timers, 1);
	fixture->store = (mt_store_port_t){fixture,	 NULL, count_read,
					   count_newest, 0,    0};
	fixture->peers = (mt_peer_port_t){fixture, NULL, keep_config_call};
	deps.kernel = fixture->kernel;
	deps.store = &fixture->store;
	deps.peers = &fixture->peers;
	deps.find_relay = find_relay;
	deps.find_relay_ctx = fixture;
	fixture->source = mt_config_source_new(&deps);
}

static void tear_down(mt_relay_fixture_t *fixture)
{
	g_free(fixture->source);
	mt_kernel_free(fixture->kernel);
	mt_timers_free(fixture->timers);
}

/** Runs the timers for `ms`, which is a multiple of 50. */
static void advance(mt_relay_fixture_t *fixture, mt_ms_t ms)
{
	for (mt_ms_t i = 0; i < ms; i += 50)
		mt_timers_advance(fixture->timers,
				  mt_timers_now(fixture->timers) + 50);
}

static void read_newest(mt_relay_fixture_t *fixture)
{
	const mt_store_port_t *port = mt_config_source_port(fixture->source);

	port->newest(port->self, "topic", (mt_str_t){0}, 1500, keep_page,
		     fixture);
	advance(fixture, 50);
}

static void read_from(mt_relay_fixture_t *fixture, uint64_t from)
{
	const mt_store_port_t *port = mt_config_source_port(fixture->source);

	port->read(port->self, "topic", from, 500, 2000, keep_page, fixture);
	advance(fixture, 300);
}

static void answer(mt_relay_fixture_t *fixture, const MtDag__ConfigReply *reply)
{
	fixture->relay_cb(fixture->relay_ctx, reply);
}

static MtDag__ConfigReply make_reply(uint64_t age_ms)
{
	MtDag__ConfigReply reply = MT_DAG__CONFIG_REPLY__INIT;

	reply.known = true;
	reply.offset = 7;
	reply.key = (char *)"config";
	reply.age_ms = age_ms;
	return reply;
}

/**
 * The page says how old the relay's copy is, so that a host that cannot prove
 * that its configuration is young refuses calls with a key.
 */
static void a_page_has_the_age_of_the_relays_copy(void)
{
	mt_relay_fixture_t fixture;
	MtDag__ConfigReply reply = make_reply(800);

	set_up(&fixture);
	fixture.has_relay = true;
	read_newest(&fixture);
	reply.value.data = (uint8_t *)"text";
	reply.value.len = 4;
	answer(&fixture, &reply);
	CU_ASSERT_EQUAL(fixture.page.result, MT_STORE_DONE);
	CU_ASSERT_EQUAL(fixture.page.count, 1);
	CU_ASSERT_EQUAL(fixture.page.end, 8);
	CU_ASSERT_EQUAL(fixture.page.age_ms, 800);
	CU_ASSERT_EQUAL(fixture.store_reads, 0);
	read_from(&fixture, 8);
	reply.value.len = 0;
	answer(&fixture, &reply);
	CU_ASSERT_EQUAL(fixture.page.count, 0);
	CU_ASSERT_EQUAL(fixture.page.end, 8);
	tear_down(&fixture);
}

/** The relay does not answer: the store is asked at once, and for a while. */
static void a_silent_relay_is_left_out(void)
{
	mt_relay_fixture_t fixture;

	set_up(&fixture);
	fixture.has_relay = true;
	read_from(&fixture, 0);
	answer(&fixture, NULL);
	CU_ASSERT_EQUAL(fixture.store_reads, 1);
	read_from(&fixture, 0);
	CU_ASSERT_EQUAL(fixture.relay_calls, 1);
	CU_ASSERT_EQUAL(fixture.store_reads, 2);
	advance(&fixture, 2000);
	read_from(&fixture, 0);
	CU_ASSERT_EQUAL(fixture.relay_calls, 2);
	answer(&fixture, NULL);
	tear_down(&fixture);
}

/** A relay that is cut off from the store has an old copy. */
static void a_relay_with_an_old_copy_is_left_out(void)
{
	mt_relay_fixture_t fixture;
	MtDag__ConfigReply reply = make_reply(5000);

	set_up(&fixture);
	fixture.has_relay = true;
	read_from(&fixture, 0);
	answer(&fixture, &reply);
	CU_ASSERT_EQUAL(fixture.pages, 0);
	CU_ASSERT_EQUAL(fixture.store_reads, 1);
	tear_down(&fixture);
}

/**
 * Pattern: all hosts of a far data centre start at once. They wait for a relay,
 * and for its first copy, but not for long.
 */
static void a_starting_host_waits_for_a_relay(void)
{
	mt_relay_fixture_t fixture;
	MtDag__ConfigReply none = MT_DAG__CONFIG_REPLY__INIT;

	set_up(&fixture);
	fixture.may_come = true;
	read_newest(&fixture);
	advance(&fixture, 500);
	CU_ASSERT_EQUAL(fixture.store_reads, 0);
	fixture.has_relay = true;
	advance(&fixture, 50);
	CU_ASSERT_EQUAL(fixture.relay_calls, 1);
	answer(&fixture, &none);
	CU_ASSERT_EQUAL(fixture.store_reads, 0);
	advance(&fixture, 500);
	answer(&fixture, &none);
	CU_ASSERT_EQUAL(fixture.store_reads, 1);
	tear_down(&fixture);
}

/** Near the store there is no relay, and no host waits for one. */
static void a_near_host_asks_the_store(void)
{
	mt_relay_fixture_t fixture;

	set_up(&fixture);
	read_newest(&fixture);
	read_from(&fixture, 0);
	CU_ASSERT_EQUAL(fixture.store_reads, 2);
	CU_ASSERT_EQUAL(fixture.relay_calls, 0);
	tear_down(&fixture);
}

const mt_test_t mt_config_relay_tests[] = {
	{"a page has the age of the relay's copy",
	 a_page_has_the_age_of_the_relays_copy},
	{"a silent relay is left out", a_silent_relay_is_left_out},
	{"a relay with an old copy is left out",
	 a_relay_with_an_old_copy_is_left_out},
	{"a starting host waits for a relay",
	 a_starting_host_waits_for_a_relay},
	{"a near host asks the store", a_near_host_asks_the_store},
	{NULL, NULL},
};
