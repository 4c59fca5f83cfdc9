/** @file host.c A host: configuration, records of jobs, and scheduler. */
#include "dag/host.h"

#include <malloc.h>
#include <string.h>

#include "dag/config_relay.h"
#include "dag/leadership.h"

/** Timeout of the long polls for the records of jobs. */
#define RECORDS_WAIT_MS 1000u

/**
 * Timeout of the long polls for the configuration. The age of the configuration
 * counts from the time at which the last answered poll was sent. The age
 * therefore reaches up to twice this timeout even when the store answers all
 * polls.
 */
#define CONFIG_WAIT_MS 500u

/** Interval of on_tick(). */
#define TICK_MS 50u

/**
 * Delay from an answer that reached the end of the records of jobs to the next
 * read, on a standby.
 */
#define STANDBY_READ_DELAY_MS 100u

/**
 * Free memory is given back to the operating system once the jobs need this
 * much less than they did.
 */
#define GIVE_BACK_BYTES (4u * 1024u * 1024u)

struct mt_dag_host_t {
	mt_dag_host_deps_t deps;
	mt_leadership_t *leadership;
	/** Of the topic MT_RECORDS_TOPIC; NULL: this host is neither leader nor
	 * standby. */
	mt_follower_t *records_follower;
	mt_config_source_t *config_source; /**< read by `config_follower` */
	/** Answers the hosts of this data centre; NULL: this host is no relay.
	 */
	mt_config_relay_t *config_relay;
	mt_follower_t *config_follower; /**< of the configuration's topic */
	mt_table_t *table;
	mt_writer_t *writer;
	mt_directory_t *directory;
	mt_evacuations_t *evacuations; /**< NULL: none can be requested */
	mt_engine_t *engine;
	mt_dag_front_t *front;
	mt_catalog_t *catalog;
	uint64_t term; /**< of this host's leadership; 0: not elected */
	/** Last term in which the scheduler of this host was started. */
	uint64_t last_started_term;
	/** Writes the record that excludes the former leader; NULL: stored. */
	mt_writer_t *fence_writer;
	/** The last reads before this host may schedule are under way. */
	bool catching_up;
	bool draining; /**< mt_dag_host_drain() was called */
	bool released; /**< leadership and slot are given up */
	/** At the last check, the age of the configuration exceeded
	 * config_age_max_ms, or its first snapshot was not complete yet. */
	bool store_lost;
	/** Most memory that the jobs have needed since free memory was given
	 * back, see mt_table_memory_bytes(). */
	uint64_t most_jobs_bytes;
};

/* Configuration. */

/** Tells what of the configuration is left out. */
static void log_problems(const mt_dag_host_t *host, const mt_catalog_t *catalog)
{
	for (guint i = 0; i < catalog->problems->len; i++)
		mt_log(host->deps.kernel, MT_LOG_ERR, "host",
		       "configuration %" G_GUINT64_FORMAT " leaves out %s",
		       catalog->version, (char *)catalog->problems->pdata[i]);
}

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
	log_problems(host, catalog);
	mt_dag_front_set_catalog(host->front, catalog);
	mt_engine_set_catalog(host->engine, catalog);
	mt_catalog_free(host->catalog);
	host->catalog = catalog;
	mt_leadership_allow_claims(host->leadership);
}

/* Records of jobs. */

static void on_record(void *ctx, const mt_store_record_t *record)
{
	mt_dag_host_t *host = ctx;
	mt_ms_t age = mt_follower_age(host->records_follower);
	mt_ms_t now = mt_kernel_now(host->deps.kernel);

	mt_table_set_current_as_of(host->table, age < now ? now - age : 0);
	mt_table_apply(host->table, record);
}

static bool has_records(const mt_dag_host_t *host)
{
	return host->records_follower &&
	       mt_follower_has_snapshot(host->records_follower);
}

static void follow_records(mt_dag_host_t *host)
{
	mt_follower_handler_t handler = {host, on_record, NULL, NULL};

	if (host->records_follower)
		return;
	host->records_follower =
		mt_follower_new(host->deps.kernel, host->deps.store,
				MT_RECORDS_TOPIC, RECORDS_WAIT_MS, &handler);
	mt_dag_front_set_records(host->front, host->records_follower);
}

/** Stops following, unless this host is elected or a standby. */
static void unfollow_records(mt_dag_host_t *host)
{
	if (!host->records_follower || host->term ||
	    mt_leadership_is_standby(host->leadership))
		return;
	mt_dag_front_set_records(host->front, NULL);
	mt_follower_stop(host->records_follower);
	host->records_follower = NULL;
	mt_table_clear(host->table);
}

/* Leadership. */

static void on_fence_stored(void *ctx, mt_store_result_t result)
{
	mt_dag_host_t *host = ctx;

	/* If a later leader has excluded this one, the records of leaders show
	 * it soon. The writer is kept until then, as its record is missing. */
	if (result != MT_STORE_DONE)
		return;
	mt_writer_close(host->fence_writer);
	host->fence_writer = NULL;
}

/**
 * Writes the record that begins the term in the topic of jobs. Its epoch makes
 * the store reject later writes of former leaders. What is read up to the end
 * of the topic afterwards is therefore complete.
 */
static void write_fence(mt_dag_host_t *host)
{
	mt_writer_deps_t deps = {host->deps.kernel, host->deps.store,
				 MT_RECORDS_TOPIC,  MT_SCHEDULER_PRODUCER,
				 host->term,	    0};
	MtDag__Leader leader = MT_DAG__LEADER__INIT;
	mt_record_key_t key = mt_record_key(MT_RECORD_LEADER, 0);
	GBytes *bytes;

	leader.host = (char *)mt_shared_name_text(host->deps.host);
	leader.incarnation = host->deps.incarnation.text;
	leader.term = host->term;
	bytes = mt_dag_pack(&leader.base);
	host->fence_writer = mt_writer_new(&deps);
	mt_writer_add(host->fence_writer, mt_str_from(key.text),
		      mt_bytes_view(bytes));
	mt_writer_commit(host->fence_writer, MT_WRITER_ALWAYS_RETRIES,
			 on_fence_stored, host);
	g_bytes_unref(bytes);
}

static void on_elected(void *ctx, uint64_t term)
{
	mt_dag_host_t *host = ctx;

	host->term = term;
	follow_records(host);
	write_fence(host);
}

static void on_deposed(void *ctx)
{
	mt_dag_host_t *host = ctx;

	host->term = 0;
	if (host->fence_writer)
		mt_writer_close(host->fence_writer);
	host->fence_writer = NULL;
	mt_engine_step_down(host->engine);
	unfollow_records(host);
}

static void on_standby(void *ctx, bool standby)
{
	mt_dag_host_t *host = ctx;

	mt_kernel_event(host->deps.kernel, "standby", "\"standby\":%s",
			standby ? "true" : "false");
	if (standby)
		follow_records(host);
	else
		unfollow_records(host);
}

static void on_relay(void *ctx, bool is_relay)
{
	mt_dag_host_t *host = ctx;
	const mt_config_format_t *format = &host->deps.config_format;

	mt_kernel_event(host->deps.kernel, "relay", "\"relay\":%s",
			is_relay ? "true" : "false");
	if (is_relay) {
		host->config_relay =
			mt_config_relay_new(host->deps.kernel, host->deps.store,
					    format->topic, format->key);
		return;
	}
	mt_config_relay_free(host->config_relay);
	host->config_relay = NULL;
}

static bool find_relay(void *ctx, mt_endpoint_t *relay, bool *may_come)
{
	mt_dag_host_t *host = ctx;

	/* While the distance to the store is not known, it may be far. */
	*may_come = !host->config_relay &&
		    (!mt_leadership_is_informed(host->leadership) ||
		     mt_leadership_is_far(host->leadership));
	return mt_leadership_is_far(host->leadership) &&
	       mt_leadership_find_relay(host->leadership, relay);
}

/** A host that catches up with the records before it schedules. */
typedef struct mt_take_over_t {
	mt_dag_host_t *host;
	uint64_t term;
} mt_take_over_t;

static void on_caught_up(void *ctx, bool current)
{
	mt_take_over_t *take_over = ctx;
	mt_dag_host_t *host = take_over->host;

	host->catching_up = false;
	if (current && host->term == take_over->term) {
		host->last_started_term = host->term;
		mt_engine_become_leader(host->engine, host->term);
	}
	g_free(take_over);
}

/**
 * Begins to schedule once the records up to the fence have been read. A
 * scheduler that has stopped in this term, because the store has rejected a
 * write of it, is not started again.
 */
static void take_over(mt_dag_host_t *host)
{
	mt_take_over_t *state;

	if (!host->term || host->fence_writer || host->catching_up ||
	    !has_records(host) || host->last_started_term == host->term)
		return;
	state = g_new0(mt_take_over_t, 1);
	state->host = host;
	state->term = host->term;
	host->catching_up = true;
	mt_follower_catch_up(host->records_follower, on_caught_up, state);
}

/* Ticks. */

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

/**
 * Gives back the memory of jobs that have ended, which the allocator keeps. The
 * peak of later jobs then does not come on top of it.
 */
static void give_back_memory(mt_dag_host_t *host)
{
	uint64_t bytes = mt_table_memory_bytes(host->table);

	host->most_jobs_bytes = MAX(host->most_jobs_bytes, bytes);
	if (host->most_jobs_bytes - bytes < GIVE_BACK_BYTES)
		return;
	host->most_jobs_bytes = bytes;
	malloc_trim(0);
	mt_kernel_count(host->deps.kernel, "memory_given_back_total");
}

static void on_tick(void *ctx)
{
	mt_dag_host_t *host = ctx;

	check_store(host);
	give_back_memory(host);
	mt_leadership_set_has_records(host->leadership, has_records(host));
	if (host->records_follower)
		mt_follower_set_read_delay(host->records_follower,
					   host->term ? 0
						      : STANDBY_READ_DELAY_MS);
	take_over(host);
}

/** Age of the older of the two copies that scheduling depends on. */
static mt_ms_t records_age(void *ctx)
{
	mt_dag_host_t *host = ctx;

	return MAX(mt_follower_age(host->records_follower),
		   mt_leadership_age(host->leadership));
}

/* Construction. */

/**
 * Makes the writer of jobs and cancellations. The writer's producer name is
 * unique to this process. Its epoch can therefore always be 1, and its first
 * sequence number 0.
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

/** Lists the load for the leader record, if hosts may decide by it. */
static size_t list_pressure(void *ctx, MtDag__Pressure ***list)
{
	const mt_dag_host_t *host = ctx;

	if (host->deps.admission_mode == MT_ADMISSION_OFF)
		return 0;
	return mt_engine_list_pressure(host->engine, list);
}

/** Memory that the jobs need, for the leader record; never 0. */
static uint64_t jobs_bytes(void *ctx)
{
	const mt_dag_host_t *host = ctx;

	return MAX(1, mt_table_memory_bytes(host->table));
}

static void make_leadership(mt_dag_host_t *host)
{
	mt_leadership_deps_t deps = {host->deps.kernel,
				     host->deps.store,
				     host->deps.host,
				     host->deps.dc,
				     host->deps.incarnation,
				     host->deps.cores_milli,
				     host->deps.memory_mb,
				     host->deps.endpoint,
				     list_pressure,
				     jobs_bytes,
				     host};
	mt_leadership_handler_t handler = {host, on_elected, on_deposed,
					   on_standby, on_relay};

	host->leadership = mt_leadership_new(&deps, &handler);
}

static void make_config_source(mt_dag_host_t *host)
{
	mt_config_source_deps_t deps = {host->deps.kernel, host->deps.store,
					host->deps.peers, find_relay, host};

	host->config_source = mt_config_source_new(&deps);
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
	deps.evacuations = host->evacuations;
	deps.sheds_load = host->deps.admission_mode == MT_ADMISSION_REFUSES;
	deps.timings = host->deps.timings;
	deps.wall_ms = host->deps.wall_ms;
	deps.records_age_ms = records_age;
	deps.records_age_ctx = host;
	host->engine = mt_engine_new(&deps);
}

static unsigned list_informed(void *ctx, mt_endpoint_t *endpoints)
{
	mt_dag_host_t *host = ctx;

	return mt_leadership_list_informed(host->leadership, endpoints);
}

static const MtDag__Pressure *find_pressure(void *ctx, const char *service,
					    mt_ms_t *age_ms)
{
	const mt_dag_host_t *host = ctx;

	return mt_leadership_pressure(host->leadership, service, age_ms);
}

static void make_front(mt_dag_host_t *host)
{
	mt_dag_front_deps_t deps = {0};

	deps.kernel = host->deps.kernel;
	deps.table = host->table;
	deps.writer = host->writer;
	deps.record_max_bytes = host->deps.store->record_max_bytes;
	deps.config_follower = host->config_follower;
	deps.peers = host->deps.peers;
	deps.list_informed = list_informed;
	deps.list_informed_ctx = host;
	deps.decode_job = host->deps.decode_job;
	deps.config_age_max_ms = host->deps.config_age_max_ms;
	deps.store = host->deps.store;
	deps.incarnation = host->deps.incarnation;
	deps.admission_mode = host->deps.admission_mode;
	deps.pressure = find_pressure;
	deps.pressure_ctx = host;
	deps.memory_budget = mt_leadership_memory_budget(host->leadership);
	host->front = mt_dag_front_new(&deps);
}

mt_dag_host_t *mt_dag_host_new(const mt_dag_host_deps_t *deps)
{
	mt_dag_host_t *host = g_new0(mt_dag_host_t, 1);
	mt_follower_handler_t on_configs = {host, on_config, NULL, NULL};

	host->deps = *deps;
	host->table = mt_table_new(deps->kernel);
	host->directory = mt_directory_new(deps->kernel, deps->store,
					   deps->server_list_format);
	if (deps->evacuation_ms)
		host->evacuations = mt_evacuations_new(
			deps->kernel, deps->store, deps->evacuations_format,
			deps->evacuation_ms);
	make_writer(host);
	make_leadership(host);
	make_config_source(host);
	host->config_follower = mt_follower_new(
		deps->kernel, mt_config_source_port(host->config_source),
		deps->config_format.topic, CONFIG_WAIT_MS, &on_configs);
	mt_follower_skip_replaced(host->config_follower);
	make_engine(host);
	make_front(host);
	mt_timers_every(mt_kernel_timers(deps->kernel), TICK_MS, on_tick, host);
	return host;
}

mt_dag_front_t *mt_dag_host_front(const mt_dag_host_t *host)
{
	return host->front;
}

MtDag__ConfigReply mt_dag_host_config(const mt_dag_host_t *host,
				      const MtDag__ConfigCall *call)
{
	MtDag__ConfigReply none = MT_DAG__CONFIG_REPLY__INIT;

	return host->config_relay
		       ? mt_config_relay_answer(host->config_relay, call)
		       : none;
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

static void on_released(void *ctx)
{
	mt_dag_host_t *host = ctx;

	host->released = true;
}

void mt_dag_host_drain(mt_dag_host_t *host)
{
	if (host->draining)
		return;
	host->draining = true;
	mt_leadership_drain(host->leadership, on_released, host);
}

bool mt_dag_host_is_drained(const mt_dag_host_t *host)
{
	return host->released && !mt_dag_front_n_open_calls(host->front);
}
