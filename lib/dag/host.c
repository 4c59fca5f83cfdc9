/** @file host.c A host: records, configuration and leadership. */
#include "dag/host.h"

#include <string.h>

#include "dag/election.h"

/** Timeout of the long polls for records. */
#define RECORDS_WAIT_MS 1000u

/**
 * Timeout of the long polls for the configuration. The age of the configuration
 * counts from the time at which the last answered poll was sent. The age
 * therefore reaches up to twice this timeout even when the store answers all
 * polls.
 */
#define CONFIG_WAIT_MS 500u

/** Interval of on_election_tick(), which checks whether to claim. */
#define ELECTION_TICK_MS 50u

/**
 * Delay from an answer that reached the end of the records to the next read,
 * while this host neither leads nor may soon claim the leadership.
 */
#define RECORDS_READ_DELAY_MS 100u

/**
 * Timeout of the append of a claim. If no answer arrives, the records read
 * later show whether the claim was stored.
 */
#define CLAIM_TIMEOUT_MS 1000u

/**
 * Delay of a host's claims: this many round trips to the store, so that hosts
 * near the store claim first, plus a random time below CLAIM_DELAY_RANDOM_MS.
 */
#define CLAIM_DELAY_ROUND_TRIPS 8u
#define CLAIM_DELAY_RANDOM_MS 60

struct mt_dag_host_t {
	mt_dag_host_deps_t deps;
	mt_follower_t *records_follower; /**< of the topic MT_RECORDS_TOPIC */
	mt_follower_t *config_follower;	 /**< of the configuration's topic */
	mt_table_t *table;
	mt_writer_t *writer;
	mt_directory_t *directory;
	mt_engine_t *engine;
	mt_dag_front_t *front;
	mt_catalog_t *catalog;
	mt_election_t election;
	bool claiming; /**< the append of a claim has no answer yet */
	/** The host record is written, or queued in `writer`. */
	bool host_record_written;
	bool draining; /**< mt_dag_host_drain() was called */
	bool yielding; /**< releasing the leadership to a larger host */
	/** Valid while draining. True if this host did not lead when draining
	 * began, or once the write that releases the leadership has an outcome.
	 * Stays false if the scheduler stops before that: the leadership is
	 * gone then, but the release gets no outcome. */
	bool release_finished;
	/** At the last check, the age of the configuration exceeded
	 * config_age_max_ms, or its first snapshot was not complete yet. */
	bool store_lost;
};

static mt_ms_t now_of(const mt_dag_host_t *host)
{
	return mt_kernel_now(host->deps.kernel);
}

/* Configuration. */

static void on_config(void *ctx, const mt_store_record_t *record)
{
	mt_dag_host_t *host = ctx;
	mt_catalog_t *catalog;

	if (!mt_str_equal(record->key,
			  mt_str_from(host->deps.config_format.key)))
		return;
	catalog = host->deps.config_format.decode(record->value);
	if (!catalog) {
		mt_log(host->deps.kernel, MT_LOG_ERR, "host",
		       "ignoring a malformed configuration");
		return;
	}
	if (host->catalog && catalog->version <= host->catalog->version) {
		mt_catalog_free(catalog);
		return;
	}
	mt_kernel_event(host->deps.kernel, "config_applied",
			"\"version\":%" G_GUINT64_FORMAT
			",\"queues\":%u,\"accounts\":%u",
			catalog->version, catalog->queues->len,
			catalog->accounts->len);
	mt_dag_front_set_catalog(host->front, catalog);
	mt_engine_set_catalog(host->engine, catalog);
	mt_catalog_free(host->catalog);
	host->catalog = catalog;
}

/* Records and leadership. */

static void on_leader_record(mt_dag_host_t *host, mt_str_t value)
{
	MtDag__Leader *leader = mt_dag__leader__unpack(
		NULL, value.len, (const uint8_t *)value.data);

	if (!leader) {
		mt_log(host->deps.kernel, MT_LOG_ERR, "host",
		       "ignoring a malformed leader record");
		return;
	}
	mt_election_on_leader(&host->election, leader, now_of(host));
	mt_dag__leader__free_unpacked(leader, NULL);
}

/** Callback of mt_engine_release_leadership() that does nothing. */
static void ignore_release(void *ctx)
{
}

/**
 * Applies the record that a host writes when it starts. If this host leads and
 * the other one is larger, this host releases the leadership. Event names call
 * the leadership "office".
 */
static void on_host_record(mt_dag_host_t *host, const mt_store_record_t *record)
{
	MtDag__Host *other = mt_dag__host__unpack(
		NULL, record->value.len, (const uint8_t *)record->value.data);

	if (!other) {
		mt_log(host->deps.kernel, MT_LOG_ERR, "host",
		       "ignoring a malformed host record");
		return;
	}
	mt_election_on_host(&host->election, other);
	if (mt_election_should_yield(&host->election, other, record->offset) &&
	    !host->yielding) {
		host->yielding = true;
		mt_kernel_event(host->deps.kernel, "office_yielded",
				"\"to_larger_host\":\"%s\"", other->name);
		mt_engine_release_leadership(host->engine, ignore_release,
					     NULL);
	}
	mt_dag__host__free_unpacked(other, NULL);
}

/** Writes the host record, which tells other hosts the size of this host. */
static void write_host_record(mt_dag_host_t *host)
{
	MtDag__Host record = MT_DAG__HOST__INIT;
	mt_record_key_t key = mt_record_host_key(&host->deps.host);
	GBytes *bytes;

	host->host_record_written = true;
	record.name = host->deps.host.text;
	record.cores_milli = host->deps.cores_milli;
	bytes = mt_dag_pack(&record.base);
	mt_writer_add(host->writer, mt_str_from(key.text),
		      mt_bytes_view(bytes));
	mt_writer_commit(host->writer, true, NULL, NULL);
	g_bytes_unref(bytes);
}

static void on_record(void *ctx, const mt_store_record_t *record)
{
	mt_dag_host_t *host = ctx;
	mt_record_kind_t kind;
	uint64_t job;

	if (!mt_record_parse_key(record->key, &kind, &job))
		return;
	if (kind == MT_RECORD_LEADER)
		on_leader_record(host, record->value);
	else if (kind == MT_RECORD_HOST)
		on_host_record(host, record);
	else
		mt_table_apply(host->table, record);
	if (kind == MT_RECORD_PROGRESS)
		mt_election_on_leader_activity(&host->election, now_of(host));
}

/** Reads records without delay if this host leads or may soon claim. */
static void set_records_read_delay(mt_dag_host_t *host)
{
	bool no_delay =
		mt_election_is_leader(&host->election) ||
		mt_election_may_be_vacant(&host->election, now_of(host));

	mt_follower_set_read_delay(host->records_follower,
				   no_delay ? 0 : RECORDS_READ_DELAY_MS);
}

/**
 * Starts or stops the scheduler, depending on the leader records read. Called
 * when all records of an answer of the store have been applied.
 */
static void on_page(void *ctx)
{
	mt_dag_host_t *host = ctx;
	bool leads = mt_election_is_leader(&host->election);

	mt_election_on_read(&host->election, now_of(host));
	if (!leads)
		host->yielding = false;
	if (host->engine && mt_engine_is_leading(host->engine) && !leads)
		mt_engine_step_down(host->engine);
	else if (host->engine && leads && !host->draining && !host->yielding &&
		 !mt_engine_is_leading(host->engine))
		mt_engine_become_leader(host->engine, host->election.term);
}

static void on_claimed(void *ctx, mt_store_result_t result, uint64_t offset)
{
	mt_dag_host_t *host = ctx;

	host->claiming = false;
	mt_kernel_event(host->deps.kernel, "office_claimed",
			"\"result\":%d,\"offset\":%" G_GUINT64_FORMAT, result,
			offset);
	if (result != MT_STORE_DONE)
		mt_election_back_off(&host->election, now_of(host));
}

/**
 * Claims the leadership by appending a leader record, on the condition that no
 * record has been appended to the topic since this host last read it. The term
 * is the offset of the leader record plus one.
 */
static void claim(mt_dag_host_t *host)
{
	MtDag__Leader leader = MT_DAG__LEADER__INIT;
	mt_record_key_t key = mt_record_key(MT_RECORD_LEADER, 0);
	mt_store_record_t record = {mt_str_from(key.text), {0}, 0};
	mt_store_append_t append = {0};
	GBytes *bytes;

	leader.host = host->deps.host.text;
	leader.incarnation = host->deps.incarnation.text;
	/* Plus one, as term 0 means no leader, and an epoch must exceed 0. */
	leader.term = mt_follower_next(host->records_follower) + 1;
	bytes = mt_dag_pack(&leader.base);
	record.value = mt_bytes_view(bytes);
	append.topic = MT_RECORDS_TOPIC;
	append.records = &record;
	append.count = 1;
	append.expected_end = mt_follower_next(host->records_follower);
	append.producer = MT_SCHEDULER_PRODUCER;
	append.epoch = leader.term;
	/* The scheduler's writer, of the same epoch, starts at sequence 1. */
	append.sequence = 0;
	append.timeout_ms = CLAIM_TIMEOUT_MS;
	host->claiming = true;
	host->deps.store->append(host->deps.store->self, &append, on_claimed,
				 host);
	g_bytes_unref(bytes);
}

/**
 * Logs when the store has not answered the polls for the configuration for
 * longer than config_age_max_ms, and when it answers them again. Until the
 * first snapshot of the configuration is complete, the age is MT_NEVER_MS,
 * which is logged as -1 (UINT64_MAX cast to a signed number). A host that has
 * just started therefore logs store_lost if the first check comes before that
 * snapshot is complete.
 */
static void check_store(mt_dag_host_t *host)
{
	mt_ms_t age = mt_follower_age(host->config_follower);
	bool lost = age > host->deps.config_age_max_ms;

	if (lost == host->store_lost)
		return;
	host->store_lost = lost;
	mt_kernel_event(host->deps.kernel, lost ? "store_lost" : "store_back",
			"\"age_ms\":%" G_GINT64_FORMAT, (gint64)age);
}

static void on_election_tick(void *ctx)
{
	mt_dag_host_t *host = ctx;
	mt_ms_t round_trip = mt_follower_round_trip(host->records_follower);

	check_store(host);
	set_records_read_delay(host);
	if (!host->host_record_written &&
	    mt_follower_has_snapshot(host->records_follower))
		write_host_record(host);
	if (host->claiming || host->draining || !host->catalog ||
	    !mt_follower_has_snapshot(host->records_follower))
		return;
	if (!host->election.claim_delay_ms)
		host->election.claim_delay_ms =
			CLAIM_DELAY_ROUND_TRIPS * round_trip +
			(mt_ms_t)g_rand_int_range(
				mt_kernel_rand(host->deps.kernel), 0,
				CLAIM_DELAY_RANDOM_MS);
	if (mt_election_should_claim(&host->election, now_of(host)))
		claim(host);
}

static mt_ms_t records_age(void *ctx)
{
	mt_dag_host_t *host = ctx;

	return mt_follower_age(host->records_follower);
}

/* Construction. */

/**
 * Makes the writer of host records, jobs and cancellations. The writer's
 * producer name is unique to this process. Its epoch can therefore always be 1,
 * and its first sequence number 0.
 */
static void make_writer(mt_dag_host_t *host)
{
	mt_writer_deps_t deps = {host->deps.kernel,
				 host->deps.store,
				 MT_RECORDS_TOPIC,
				 host->deps.incarnation.text,
				 1,
				 0};

	host->writer = mt_writer_new(&deps);
}

static void make_engine(mt_dag_host_t *host)
{
	mt_engine_deps_t deps = {0};

	deps.kernel = host->deps.kernel;
	deps.store = host->deps.store;
	deps.backends = host->deps.backends;
	deps.advice = host->deps.advice;
	deps.table = host->table;
	deps.directory = host->directory;
	deps.host = host->deps.host;
	deps.incarnation = host->deps.incarnation;
	deps.timings = host->deps.timings;
	deps.wall_ms = host->deps.wall_ms;
	deps.records_age_ms = records_age;
	deps.records_age_ctx = host;
	host->engine = mt_engine_new(&deps);
}

static void make_front(mt_dag_host_t *host)
{
	mt_dag_front_deps_t deps = {0};

	deps.kernel = host->deps.kernel;
	deps.table = host->table;
	deps.writer = host->writer;
	deps.records_follower = host->records_follower;
	deps.config_follower = host->config_follower;
	deps.decode_job = host->deps.decode_job;
	deps.config_age_max_ms = host->deps.config_age_max_ms;
	host->front = mt_dag_front_new(&deps);
}

mt_dag_host_t *mt_dag_host_new(const mt_dag_host_deps_t *deps)
{
	mt_dag_host_t *host = g_new0(mt_dag_host_t, 1);
	mt_follower_handler_t on_records = {host, on_record, NULL, on_page};
	mt_follower_handler_t on_configs = {host, on_config, NULL, NULL};

	host->deps = *deps;
	host->table = mt_table_new(deps->kernel);
	host->directory = mt_directory_new(deps->kernel, deps->store,
					   deps->server_list_format);
	mt_election_init(&host->election, &deps->host, &deps->incarnation,
			 deps->cores_milli, now_of(host));
	make_writer(host);
	host->records_follower =
		mt_follower_new(deps->kernel, deps->store, MT_RECORDS_TOPIC,
				RECORDS_WAIT_MS, &on_records);
	host->config_follower = mt_follower_new(deps->kernel, deps->store,
						deps->config_format.topic,
						CONFIG_WAIT_MS, &on_configs);
	make_engine(host);
	make_front(host);
	mt_timers_every(mt_kernel_timers(deps->kernel), ELECTION_TICK_MS,
			on_election_tick, host);
	return host;
}

mt_dag_front_t *mt_dag_host_front(const mt_dag_host_t *host)
{
	return host->front;
}

bool mt_dag_host_is_ready(const mt_dag_host_t *host)
{
	return !host->draining && mt_dag_front_is_ready(host->front);
}

unsigned mt_dag_host_n_jobs(const mt_dag_host_t *host)
{
	return mt_table_size(host->table);
}

bool mt_dag_host_is_leading(const mt_dag_host_t *host)
{
	return mt_engine_is_leading(host->engine);
}

static void on_leadership_released(void *ctx)
{
	mt_dag_host_t *host = ctx;

	host->release_finished = true;
}

void mt_dag_host_drain(mt_dag_host_t *host)
{
	if (host->draining)
		return;
	host->draining = true;
	host->release_finished = !mt_engine_is_leading(host->engine);
	mt_engine_release_leadership(host->engine, on_leadership_released,
				     host);
}

bool mt_dag_host_is_drained(const mt_dag_host_t *host)
{
	return host->release_finished &&
	       !mt_dag_front_n_open_calls(host->front);
}
