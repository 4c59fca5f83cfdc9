/**
 * @file test_speed_records.c
 * Tests of the speeds of servers in the store: a leader writes them, and the
 * next one reads them.
 */
#include <CUnit/Basic.h>

#include "unit/engine_fixture.h"
#include "unit/tests.h"

#define SERVERS 350u

/** Error of the speeds that the first leader has learned. */
#define ERROR 0.1

/** A store that puts each record into a table, and counts the records. */
typedef struct mt_speeds_store_t {
	mt_store_port_t port;
	mt_table_t *table;
	unsigned n_records;
	size_t record_bytes; /**< size of the last record */
	mt_store_result_t result;
	mt_store_append_cb cb; /**< the append has no answer yet */
	void *ctx;
} mt_speeds_store_t;

/** A leader whose servers are listed and whose model knows their speeds. */
typedef struct mt_speeds_leader_t {
	mt_engine_fixture_t fixture;
	mt_backend_t *servers[SERVERS];
} mt_speeds_leader_t;

static void keep_append(void *self, const mt_store_append_t *append,
			mt_store_append_cb cb, void *ctx)
{
	mt_speeds_store_t *store = self;

	for (size_t i = 0; i < append->count; i++) {
		mt_store_record_t record = {append->records[i].key,
					    append->records[i].value,
					    ++store->n_records};

		store->record_bytes = record.value.len;
		mt_table_apply(store->table, &record);
	}
	store->cb = cb;
	store->ctx = ctx;
}

static void answer_append(mt_speeds_store_t *store)
{
	mt_store_append_cb cb = store->cb;

	store->cb = NULL;
	if (cb)
		cb(store->ctx, store->result, 0);
}

static mt_backend_t *add_server(mt_engine_t *engine, unsigned index)
{
	mt_backend_info_t info = {.service = mt_shared_name("service")};
	mt_backend_t *server;
	char id[16];

	g_snprintf(id, sizeof(id), "server-%u", index);
	info.target.id = mt_shared_name(id);
	server = mt_backend_new(mt_shared_name_hash(info.target.id));
	mt_backend_set_id(server, info.target.id);
	mt_backend_info_assign(&server->info, &info);
	mt_backend_info_clear(&info);
	server->born_ms = 1700000000000 + index;
	server->listed = true;
	g_hash_table_replace(engine->backends, &server->id_hash, server);
	return server;
}

static void open_leader(mt_speeds_leader_t *leader, mt_speeds_store_t *store)
{
	mt_engine_t *engine;
	mt_writer_deps_t deps = {0};

	mt_engine_fixture_open(&leader->fixture);
	engine = leader->fixture.engine;
	g_hash_table_remove_all(engine->backends);
	for (unsigned i = 0; i < SERVERS; i++)
		leader->servers[i] = add_server(engine, i);
	engine->deps.table = store->table;
	deps.kernel = leader->fixture.kernel;
	deps.store = &store->port;
	deps.topic = MT_RECORDS_TOPIC;
	deps.producer = "test";
	engine->writer = mt_writer_new(&deps);
	mt_speed_records_read(engine);
	for (unsigned i = 0; i < SERVERS; i++)
		mt_speed_records_take(engine, leader->servers[i]);
	mt_server_speeds_update(engine);
}

static void close_leader(mt_speeds_leader_t *leader, mt_speeds_store_t *store)
{
	mt_writer_close(leader->fixture.engine->writer);
	answer_append(store);
	mt_engine_fixture_close(&leader->fixture);
}

static void open_store(mt_speeds_store_t *store, mt_kernel_t *kernel)
{
	*store = (mt_speeds_store_t){0};
	store->port = (mt_store_port_t){store, keep_append, NULL, NULL, 0, 0};
	store->table = mt_table_new(kernel);
}

static double speed_of(const mt_speeds_leader_t *leader, unsigned index)
{
	return mt_speed_model_speed(leader->fixture.engine->speeds,
				    leader->servers[index]->info.target.id);
}

/** Sets a speed as if the leader had learned it. */
static void learn(mt_speeds_leader_t *leader, unsigned index, double speed)
{
	const mt_engine_t *engine = leader->fixture.engine;

	mt_speed_model_restore(engine->speeds,
			       leader->servers[index]->info.target.id, speed,
			       ERROR, mt_engine_now(engine));
}

/** Sets the speeds of the first `n` servers: 0.5, 1, 2, 0.5 and so on. */
static void learn_uneven(mt_speeds_leader_t *leader, unsigned n)
{
	for (unsigned i = 0; i < n; i++)
		learn(leader, i, (double)(1u << i % 3) / 2);
	mt_speed_model_update(leader->fixture.engine->speeds,
			      mt_engine_now(leader->fixture.engine));
}

/** Lets time pass; then the leader writes what is due. */
static void write_later(mt_speeds_leader_t *leader, mt_speeds_store_t *store,
			mt_ms_t ms)
{
	mt_engine_t *engine = leader->fixture.engine;

	mt_timers_advance(leader->fixture.timers, mt_engine_now(engine) + ms);
	mt_speed_model_update(engine->speeds, mt_engine_now(engine));
	mt_flush_changes(engine);
	answer_append(store);
}

/**
 * Guards against: after a change of the leader, gangs are placed on servers of
 * mixed speed until all speeds have been learned anew; and against a server
 * that is used by the speed of its former process.
 */
static void a_new_leader_starts_with_the_known_speeds(void)
{
	mt_speeds_leader_t first;
	mt_speeds_leader_t next;
	mt_speeds_store_t store;
	unsigned half = SERVERS / 2;

	open_store(&store, NULL);
	open_leader(&first, &store);
	learn_uneven(&first, half);
	write_later(&first, &store, 100);
	CU_ASSERT_EQUAL(store.n_records, 1);
	open_leader(&next, &store);
	CU_ASSERT_TRUE(mt_speed_model_is_uneven(next.fixture.engine->speeds));
	for (unsigned i = 0; i < half; i++)
		CU_ASSERT_DOUBLE_EQUAL(speed_of(&next, i) / speed_of(&first, i),
				       1, 0.02);
	CU_ASSERT_EQUAL(speed_of(&next, half), 1.0);
	close_leader(&next, &store);
	close_leader(&first, &store);
	mt_table_free(store.table);
}

/** Guards against: a server that restarted during the change of the leader. */
static void the_speed_of_another_process_is_ignored(void)
{
	mt_speeds_leader_t first;
	mt_speeds_leader_t next;
	mt_speeds_store_t store;

	open_store(&store, NULL);
	open_leader(&first, &store);
	learn_uneven(&first, SERVERS);
	first.servers[2]->born_ms--;
	write_later(&first, &store, 100);
	open_leader(&next, &store);
	CU_ASSERT_EQUAL(speed_of(&next, 2), 1.0);
	CU_ASSERT_DOUBLE_EQUAL(speed_of(&next, 5), 2.0, 0.1);
	close_leader(&next, &store);
	close_leader(&first, &store);
	mt_table_free(store.table);
}

/**
 * Guards against: the records of speeds use up the bandwidth of the hosts that
 * read them (10 Mbit/s).
 */
static void speeds_are_written_rarely_and_on_change(void)
{
	mt_speeds_leader_t leader;
	mt_speeds_store_t store;

	open_store(&store, NULL);
	open_leader(&leader, &store);
	learn_uneven(&leader, SERVERS);
	write_later(&leader, &store, 100);
	CU_ASSERT_EQUAL(store.n_records, 1);
	CU_ASSERT_TRUE(store.record_bytes < 10000);
	learn(&leader, 0, 0.7);
	write_later(&leader, &store, 1000);
	CU_ASSERT_EQUAL(store.n_records, 1);
	write_later(&leader, &store, 1000);
	CU_ASSERT_EQUAL(store.n_records, 2);
	learn(&leader, 0, 0.72);
	write_later(&leader, &store, 10000);
	CU_ASSERT_EQUAL(store.n_records, 2);
	close_leader(&leader, &store);
	mt_table_free(store.table);
}

/** Guards against: deployments with equal servers get new records. */
static void equal_speeds_are_not_written(void)
{
	mt_speeds_leader_t leader;
	mt_speeds_store_t store;

	open_store(&store, NULL);
	open_leader(&leader, &store);
	for (unsigned i = 0; i < SERVERS; i++)
		learn(&leader, i, 1.0);
	write_later(&leader, &store, 10000);
	CU_ASSERT_EQUAL(store.n_records, 0);
	close_leader(&leader, &store);
	mt_table_free(store.table);
}

/** Guards against: a refused write is never repeated. */
static void a_refused_write_is_repeated(void)
{
	mt_speeds_leader_t leader;
	mt_speeds_store_t store;

	open_store(&store, NULL);
	open_leader(&leader, &store);
	store.result = MT_STORE_REFUSED;
	learn_uneven(&leader, SERVERS);
	for (unsigned i = 0; i < 15; i++)
		write_later(&leader, &store, 1000);
	store.result = MT_STORE_DONE;
	for (unsigned i = 0; i < 15; i++)
		write_later(&leader, &store, 1000);
	CU_ASSERT_FALSE(leader.fixture.engine->speeds_write_refused);
	CU_ASSERT_FALSE(leader.fixture.engine->speeds_write_pending);
	close_leader(&leader, &store);
	mt_table_free(store.table);
}

/** Guards against: a malformed record stops a new leader. */
static void a_malformed_record_is_ignored(void)
{
	static const char *const values[] = {"\xff\xff", "x", "\x12\x02\x18"};
	mt_record_key_t key = mt_record_key(MT_RECORD_SPEEDS, 1);
	mt_store_record_t record = {mt_str_from(key.text), {NULL, 0}, 1};
	mt_speeds_leader_t leader;
	mt_speeds_store_t store;

	for (unsigned i = 0; i < G_N_ELEMENTS(values); i++) {
		open_store(&store, NULL);
		record.value = mt_str_from(values[i]);
		mt_table_apply(store.table, &record);
		open_leader(&leader, &store);
		CU_ASSERT_EQUAL(speed_of(&leader, 0), 1.0);
		close_leader(&leader, &store);
		mt_table_free(store.table);
	}
}

const mt_test_t mt_speed_records_tests[] = {
	{"a new leader starts with the known speeds",
	 a_new_leader_starts_with_the_known_speeds},
	{"the speed of another process is ignored",
	 the_speed_of_another_process_is_ignored},
	{"speeds are written rarely and on change",
	 speeds_are_written_rarely_and_on_change},
	{"equal speeds are not written", equal_speeds_are_not_written},
	{"a refused write is repeated", a_refused_write_is_repeated},
	{"a malformed record is ignored", a_malformed_record_is_ignored},
	{NULL, NULL},
};
