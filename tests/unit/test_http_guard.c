/**
 * @file test_http_guard.c
 * Tests of the limits of connections: budgets of bytes, the number of
 * connections and deadlines (net/http_guard.h), and how the resources of a host
 * are divided (platform/host_limits.h).
 */
#include <CUnit/CUnit.h>

#include "net/http_guard.h"
#include "platform/host_limits.h"
#include "unit/tests.h"

#define BODY_BYTES 262144u
#define MB 1048576u
#define CONNECTIONS 8u

/* What clients inside the limits of the platform may do. */
#define ORDINARY_HEADER_MS 3000u
#define ORDINARY_IDLE_MS 15000u
#define ORDINARY_HEADER_BYTES 16384u

static mt_http_limits_t make_limits(void)
{
	mt_http_limits_t limits = mt_http_limits_default(BODY_BYTES);

	limits.connections_max = 4;
	limits.buffered_max_bytes = 4 * MB;
	limits.account_max_bytes = 3 * MB;
	return limits;
}

/** Adds connections that receive a body of `bytes`, 1 ms after each other. */
static void add_bodies(mt_http_guard_t *guard, mt_guarded_t *connections,
		       unsigned count, size_t bytes)
{
	for (unsigned i = 0; i < count; i++) {
		mt_http_guard_add(guard, &connections[i], i);
		mt_http_guard_set_phase(guard, &connections[i],
					MT_HTTP_PHASE_BODY, i);
		mt_http_guard_set_bytes(guard, &connections[i], bytes, 0, bytes,
					i);
	}
}

/**
 * Guards against many bodies that stop just before their end. The one that has
 * stood still for the longest time is closed, and not one that makes progress.
 */
static void stalled_bodies_are_closed_first(void)
{
	mt_http_limits_t limits = make_limits();
	mt_http_guard_t *guard = mt_http_guard_new(&limits);
	mt_guarded_t connections[CONNECTIONS];
	mt_http_reason_t reason = MT_HTTP_REASON_NONE;

	add_bodies(guard, connections, 4, MB);
	CU_ASSERT_PTR_NULL(
		mt_http_guard_over_budget(guard, &connections[3], &reason));
	mt_http_guard_set_bytes(guard, &connections[0], MB + 1, 0, MB + 1, 10);
	CU_ASSERT_PTR_EQUAL(
		mt_http_guard_over_budget(guard, &connections[0], &reason),
		&connections[1]);
	CU_ASSERT_EQUAL(reason, MT_HTTP_REASON_BUFFERED);
	mt_http_guard_set_phase(guard, &connections[1], MT_HTTP_PHASE_LINGER,
				10);
	CU_ASSERT_PTR_NULL(
		mt_http_guard_over_budget(guard, &connections[0], &reason));
	CU_ASSERT_EQUAL(mt_http_guard_stats(guard)->buffered_bytes, 3 * MB + 1);
	mt_http_guard_free(guard);
}

/**
 * Guards against a stored job whose client gets no answer: a request that the
 * handler has may be stored.
 */
static void requests_of_the_handler_are_not_closed(void)
{
	mt_http_limits_t limits = make_limits();
	mt_http_guard_t *guard = mt_http_guard_new(&limits);
	mt_guarded_t connections[CONNECTIONS];
	mt_http_reason_t reason;

	add_bodies(guard, connections, 5, MB);
	for (unsigned i = 0; i < 4; i++)
		mt_http_guard_set_phase(guard, &connections[i],
					MT_HTTP_PHASE_WAITING, 10);
	CU_ASSERT_PTR_EQUAL(
		mt_http_guard_over_budget(guard, &connections[0], &reason),
		&connections[4]);
	mt_http_guard_set_phase(guard, &connections[4], MT_HTTP_PHASE_WAITING,
				10);
	CU_ASSERT_PTR_NULL(
		mt_http_guard_over_budget(guard, &connections[0], &reason));
	for (unsigned i = 0; i < 5; i++)
		CU_ASSERT_EQUAL(
			mt_http_guard_overdue(guard, &connections[i], 1000000),
			MT_HTTP_REASON_NONE);
	mt_http_guard_free(guard);
}

/** Guards against an account that uses up the budgets of other accounts. */
static void an_account_closes_its_own_connections(void)
{
	mt_http_limits_t limits = make_limits();
	mt_http_guard_t *guard = mt_http_guard_new(&limits);
	mt_guarded_t connections[CONNECTIONS];
	mt_http_reason_t reason = MT_HTTP_REASON_NONE;
	mt_shared_name_t small = mt_shared_name("small");
	mt_shared_name_t large = mt_shared_name("large");

	add_bodies(guard, connections, 4, MB - 1);
	mt_http_guard_set_account(guard, &connections[0], small);
	for (unsigned i = 1; i < 4; i++)
		mt_http_guard_set_account(guard, &connections[i], large);
	CU_ASSERT_PTR_NULL(
		mt_http_guard_over_budget(guard, &connections[3], &reason));
	mt_http_guard_set_bytes(guard, &connections[3], MB + 3, 0, MB, 10);
	CU_ASSERT_PTR_EQUAL(
		mt_http_guard_over_budget(guard, &connections[3], &reason),
		&connections[1]);
	CU_ASSERT_EQUAL(reason, MT_HTTP_REASON_ACCOUNT);
	mt_http_guard_remove(guard, &connections[1]);
	CU_ASSERT_PTR_NULL(
		mt_http_guard_over_budget(guard, &connections[3], &reason));
	mt_http_guard_free(guard);
}

/**
 * Guards against one budget that all requests without an account share: those
 * to public queues count against the budget of the server only.
 */
static void requests_without_account_have_no_account_budget(void)
{
	mt_http_limits_t limits = make_limits();
	mt_http_guard_t *guard = mt_http_guard_new(&limits);
	mt_guarded_t connections[CONNECTIONS];
	mt_http_reason_t reason = MT_HTTP_REASON_NONE;
	mt_shared_name_t none = mt_shared_name("");

	add_bodies(guard, connections, 4, MB);
	for (unsigned i = 0; i < 4; i++)
		mt_http_guard_set_account(guard, &connections[i], none);
	CU_ASSERT_PTR_NULL(
		mt_http_guard_over_budget(guard, &connections[3], &reason));
	mt_http_guard_set_bytes(guard, &connections[3], MB + 1, 0, MB + 1, 10);
	CU_ASSERT_PTR_EQUAL(
		mt_http_guard_over_budget(guard, &connections[3], &reason),
		&connections[0]);
	CU_ASSERT_EQUAL(reason, MT_HTTP_REASON_BUFFERED);
	mt_http_guard_free(guard);
}

/**
 * Guards against a small host that refuses the largest request: its budgets
 * hold four of them, each in a buffer of twice its size.
 */
static void budgets_hold_the_largest_request(void)
{
	mt_http_limits_t limits = make_limits();
	const mt_http_limits_t *raised;
	mt_http_guard_t *guard;
	mt_guarded_t connections[CONNECTIONS];
	mt_http_reason_t reason;
	mt_shared_name_t account = mt_shared_name("large");
	size_t buffer_bytes = 2 * (BODY_BYTES + limits.header_max_bytes);

	limits.buffered_max_bytes = 1;
	limits.account_max_bytes = 1;
	guard = mt_http_guard_new(&limits);
	raised = mt_http_guard_limits(guard);
	CU_ASSERT_TRUE(raised->buffered_max_bytes >= 4 * buffer_bytes);
	CU_ASSERT_TRUE(raised->account_max_bytes >= 4 * buffer_bytes);
	add_bodies(guard, connections, 4, buffer_bytes);
	for (unsigned i = 0; i < 4; i++)
		mt_http_guard_set_account(guard, &connections[i], account);
	CU_ASSERT_PTR_NULL(
		mt_http_guard_over_budget(guard, &connections[3], &reason));
	mt_http_guard_free(guard);
}

/** Guards against connections that send nothing and use up the descriptors. */
static void idle_connections_make_room(void)
{
	mt_http_limits_t limits = make_limits();
	mt_http_guard_t *guard = mt_http_guard_new(&limits);
	mt_guarded_t connections[CONNECTIONS];
	mt_guarded_t *to_close;

	add_bodies(guard, connections, 4, 1);
	mt_http_guard_set_phase(guard, &connections[0], MT_HTTP_PHASE_WAITING,
				10);
	CU_ASSERT_FALSE(mt_http_guard_may_add(guard, &to_close));
	CU_ASSERT_PTR_EQUAL_FATAL(to_close, &connections[1]);
	mt_http_guard_set_phase(guard, to_close, MT_HTTP_PHASE_CLOSED, 10);
	CU_ASSERT_TRUE(mt_http_guard_may_add(guard, &to_close));
	CU_ASSERT_PTR_NULL(to_close);
	mt_http_guard_remove(guard, &connections[1]);
	CU_ASSERT_EQUAL(mt_http_guard_stats(guard)->connections, 3);
	for (unsigned i = 2; i < 4; i++)
		mt_http_guard_set_phase(guard, &connections[i],
					MT_HTTP_PHASE_WAITING, 10);
	mt_http_guard_add(guard, &connections[4], 10);
	mt_http_guard_set_phase(guard, &connections[4], MT_HTTP_PHASE_WAITING,
				10);
	CU_ASSERT_FALSE(mt_http_guard_may_add(guard, &to_close));
	CU_ASSERT_PTR_NULL(to_close);
	mt_http_guard_free(guard);
}

static mt_http_reason_t overdue_in(mt_http_phase_t phase, size_t transferred,
				   mt_ms_t progress_at, mt_ms_t now)
{
	mt_http_limits_t limits = make_limits();
	mt_http_guard_t *guard = mt_http_guard_new(&limits);
	mt_guarded_t connection;
	mt_http_reason_t reason;

	mt_http_guard_add(guard, &connection, 0);
	mt_http_guard_set_phase(guard, &connection, phase, 0);
	if (transferred)
		mt_http_guard_set_bytes(guard, &connection, transferred, 0,
					transferred, progress_at);
	reason = mt_http_guard_overdue(guard, &connection, now);
	mt_http_guard_free(guard);
	return reason;
}

/** Guards against clients that hold a connection by sending slowly or never. */
static void slow_connections_are_overdue(void)
{
	CU_ASSERT_EQUAL(overdue_in(MT_HTTP_PHASE_IDLE, 0, 0, 30000),
			MT_HTTP_REASON_IDLE);
	CU_ASSERT_EQUAL(overdue_in(MT_HTTP_PHASE_HEADER, 100, 19000, 20000),
			MT_HTTP_REASON_HEADER_TIME);
	/* A byte now and then is too slow, and so is a body that stopped. */
	CU_ASSERT_EQUAL(overdue_in(MT_HTTP_PHASE_BODY, 100, 19000, 20000),
			MT_HTTP_REASON_BODY_TIME);
	CU_ASSERT_EQUAL(
		overdue_in(MT_HTTP_PHASE_BODY, BODY_BYTES - 1, 1000, 12000),
		MT_HTTP_REASON_BODY_TIME);
	CU_ASSERT_EQUAL(overdue_in(MT_HTTP_PHASE_RESPONSE, 0, 0, 20000),
			MT_HTTP_REASON_RESPONSE_TIME);
	CU_ASSERT_EQUAL(overdue_in(MT_HTTP_PHASE_LINGER, 0, 0, 2000),
			MT_HTTP_REASON_LINGERED);
}

/** Guards against deadlines that clients inside the platform's limits reach. */
static void ordinary_connections_are_not_overdue(void)
{
	CU_ASSERT_EQUAL(overdue_in(MT_HTTP_PHASE_IDLE, 0, 0, ORDINARY_IDLE_MS),
			MT_HTTP_REASON_NONE);
	CU_ASSERT_EQUAL(
		overdue_in(MT_HTTP_PHASE_HEADER, 100, 0, ORDINARY_HEADER_MS),
		MT_HTTP_REASON_NONE);
	CU_ASSERT_EQUAL(
		overdue_in(MT_HTTP_PHASE_BODY, BODY_BYTES / 2, 12000, 15000),
		MT_HTTP_REASON_NONE);
	CU_ASSERT_TRUE(mt_http_limits_default(BODY_BYTES).header_max_bytes >
		       ORDINARY_HEADER_BYTES);
}

/**
 * Guards against parts that together exceed the memory or the descriptors of
 * the smallest host of the platform.
 */
static void the_smallest_host_is_not_exceeded(void)
{
	mt_host_resources_t smallest = {120, 3075};
	mt_http_limits_t defaults = mt_http_limits_default(MB);
	mt_http_limits_t clients;
	mt_http_limits_t peers;
	mt_http_limits_t probes;

	defaults.connections_max = smallest.max_fds;
	clients = mt_client_limits(&smallest, &defaults);
	peers = mt_peer_limits(&smallest, &defaults);
	probes = mt_probe_limits(&smallest, &defaults);
	CU_ASSERT_EQUAL(clients.buffered_max_bytes, 15 * MB);
	CU_ASSERT_EQUAL(clients.connections_max, 768);
	CU_ASSERT_TRUE(probes.body_max_bytes < probes.buffered_max_bytes / 8);
	CU_ASSERT_TRUE(clients.buffered_max_bytes + peers.buffered_max_bytes +
			       2 * probes.buffered_max_bytes +
			       mt_responses_max_bytes(&smallest) <
		       120u * MB / 2);
	CU_ASSERT_TRUE(2 * clients.connections_max + peers.connections_max +
			       2 * probes.connections_max <
		       3075u * 2 / 3);
	CU_ASSERT_TRUE(mt_probe_limits(&smallest, &clients).connections_max <=
		       clients.connections_max);
}

/**
 * Guards against smaller limits in deployments whose settings do not mention
 * the memory and the descriptors.
 */
static void unknown_resources_leave_the_defaults(void)
{
	mt_host_resources_t unknown = {0, 0};
	mt_http_limits_t defaults = mt_http_limits_default(MB);
	mt_http_limits_t clients = mt_client_limits(&unknown, &defaults);

	CU_ASSERT_EQUAL(clients.buffered_max_bytes,
			defaults.buffered_max_bytes);
	CU_ASSERT_EQUAL(clients.connections_max, defaults.connections_max);
}

/**
 * Guards against: accounts are found by their text as if it were a short name.
 * Two of which the names begin alike must not share a budget, and one must be
 * found again.
 */
static void accounts_are_told_apart_by_their_whole_names(void)
{
	size_t n_refs = mt_shared_names_n_refs();
	mt_http_limits_t limits = mt_http_limits_default(1024);
	mt_http_guard_t *guard = mt_http_guard_new(&limits);
	mt_guarded_t connections[4] = {0};
	char *text = g_strnfill(240, 'n');
	mt_shared_name_t names[2];

	names[0] = mt_shared_name(text);
	text[239] = 'o';
	names[1] = mt_shared_name(text);
	for (unsigned i = 0; i < G_N_ELEMENTS(connections); i++) {
		mt_http_guard_add(guard, &connections[i], 1000);
		mt_http_guard_set_phase(guard, &connections[i],
					MT_HTTP_PHASE_BODY, 1000);
		mt_http_guard_set_account(guard, &connections[i], names[i % 2]);
	}
	CU_ASSERT_PTR_EQUAL(connections[0].account, connections[2].account);
	CU_ASSERT_PTR_EQUAL(connections[1].account, connections[3].account);
	CU_ASSERT_PTR_NOT_EQUAL(connections[0].account, connections[1].account);
	for (unsigned i = 0; i < G_N_ELEMENTS(connections); i++)
		mt_http_guard_set_account(guard, &connections[i],
					  (mt_shared_name_t){0});
	mt_shared_name_clear(&names[0]);
	mt_shared_name_clear(&names[1]);
	CU_ASSERT_EQUAL(mt_shared_names_n_refs(), n_refs);
	mt_http_guard_free(guard);
	g_free(text);
}

const mt_test_t mt_http_guard_tests[] = {
	{"stalled bodies are closed first", stalled_bodies_are_closed_first},
	{"requests of the handler are not closed",
	 requests_of_the_handler_are_not_closed},
	{"an account closes its own connections",
	 an_account_closes_its_own_connections},
	{"requests without account have no account budget",
	 requests_without_account_have_no_account_budget},
	{"budgets hold the largest request", budgets_hold_the_largest_request},
	{"idle connections make room", idle_connections_make_room},
	{"slow connections are overdue", slow_connections_are_overdue},
	{"ordinary connections are not overdue",
	 ordinary_connections_are_not_overdue},
	{"the smallest host is not exceeded",
	 the_smallest_host_is_not_exceeded},
	{"unknown resources leave the defaults",
	 unknown_resources_leave_the_defaults},
	{"accounts are told apart by their whole names",
	 accounts_are_told_apart_by_their_whole_names},
	{NULL, NULL},
};
