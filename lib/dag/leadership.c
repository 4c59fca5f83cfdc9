/** @file leadership.c Claims and keeps the leadership and slots. */
#include "dag/leadership.h"

#include <string.h>

#include "dag/duty.h"
#include "dag/election.h"
#include "dag/follower.h"
#include "dag/records.h"
#include "dag/writer.h"

/** Timeout of the long polls for records. */
#define RECORDS_WAIT_MS 1000u

/** Interval of the checks whether to claim, renew or write a heartbeat. */
#define TICK_MS 50u

/** Interval of the heartbeats of the leader. */
#define HEARTBEAT_MS 300u

/**
 * Delay from an answer that reached the end of the topic to the next read, on a
 * host that would not be the first to claim the leadership.
 */
#define READ_DELAY_MS 400u

/**
 * Timeout of the append of a claim. If no answer arrives, the records read
 * later show whether the claim was stored.
 */
#define CLAIM_TIMEOUT_MS 1000u

/**
 * Delay of a host's claims of the leadership: this many round trips to the
 * store, so that hosts near the store claim first, plus a random time below
 * CLAIM_DELAY_RANDOM_MS.
 */
#define CLAIM_DELAY_ROUND_TRIPS 8u
#define CLAIM_DELAY_RANDOM_MS 60

/**
 * Delay before a host takes a standby's slot, in addition to that of its claims
 * of the leadership. Smaller hosts wait longer for any slot, so that larger
 * ones take it first.
 */
#define STANDBY_DELAY_MS 300u
#define STANDBY_DELAY_RANDOM_MS 700
#define SLOT_DELAY_SMALLER_MS 2000u

/** Delay before a host takes the slot of a relay, below this random time. */
#define RELAY_DELAY_RANDOM_MS 300

/** Hosts with a longer round trip to the store are far from it. */
#define FAR_ROUND_TRIP_MS 25u

struct mt_leadership_t {
	mt_leadership_deps_t deps;
	mt_leadership_handler_t handler;
	mt_follower_t *follower;
	mt_election_t election;
	mt_duty_t *standby;
	mt_duty_t *relay;
	mt_writer_t *writer;	    /**< host and slot records */
	mt_writer_t *leader_writer; /**< heartbeats; NULL: not elected */
	mt_ms_t heartbeat_at;	    /**< of the last heartbeat */
	/** Newest leader record of the newest term; NULL: none was read. */
	MtDag__Leader *leader;
	mt_ms_t leader_read_at;
	mt_memory_budget_t memory_budget;
	GHashTable *hosts; /**< keys of the host records that were read */
	bool claims_allowed;
	bool claiming;	 /**< the append of a claim has no answer yet */
	bool delays_set; /**< the delays of claims are set */
	bool elected;	 /**< the handler knows that this host leads */
	/** This host has given up the present term, or another host has ended
	 * it, but the records read so far do not show this yet. */
	bool term_over;
	bool draining;	    /**< mt_leadership_drain() was called */
	bool host_recorded; /**< the host record is written or queued */
	mt_timer_cb drained_cb;
	void *drained_ctx;
};

static mt_ms_t now_of(const mt_leadership_t *leadership)
{
	return mt_kernel_now(leadership->deps.kernel);
}

/** Adds a record to the current group of a writer. */
static void add_record(mt_writer_t *writer, mt_record_key_t key,
		       const ProtobufCMessage *message)
{
	GBytes *bytes = mt_dag_pack(message);

	mt_writer_add(writer, mt_str_from(key.text), mt_bytes_view(bytes));
	g_bytes_unref(bytes);
}

/* Leader records. */

static MtDag__Leader leader_record(mt_leadership_t *leadership, uint64_t term)
{
	MtDag__Leader leader = MT_DAG__LEADER__INIT;

	leader.host = (char *)mt_shared_name_text(leadership->deps.host);
	leader.incarnation = leadership->deps.incarnation.text;
	leader.term = term;
	leader.address = leadership->deps.endpoint.address.text;
	leader.port = leadership->deps.endpoint.port;
	return leader;
}

/** Tells the handler that this host leads no more. */
static void depose(mt_leadership_t *leadership)
{
	if (!leadership->elected)
		return;
	leadership->elected = false;
	leadership->term_over = true;
	mt_kernel_event(leadership->deps.kernel, "leadership_lost",
			"\"term\":%" G_GUINT64_FORMAT,
			leadership->election.term);
	leadership->handler.on_deposed(leadership->handler.ctx);
}

static void close_leader_writer(mt_leadership_t *leadership)
{
	if (leadership->leader_writer)
		mt_writer_close(leadership->leader_writer);
	leadership->leader_writer = NULL;
}

static void on_heartbeat_stored(void *ctx, mt_store_result_t result)
{
	mt_leadership_t *leadership = ctx;

	if (result != MT_STORE_DONE)
		depose(leadership);
}

static void write_heartbeat(mt_leadership_t *leadership)
{
	MtDag__Leader leader =
		leader_record(leadership, leadership->election.term);

	leadership->heartbeat_at = now_of(leadership);
	if (leadership->deps.list_pressure)
		leader.n_pressure = leadership->deps.list_pressure(
			leadership->deps.load_ctx, &leader.pressure);
	if (leadership->deps.jobs_bytes)
		leader.jobs_bytes =
			leadership->deps.jobs_bytes(leadership->deps.load_ctx);
	add_record(leadership->leader_writer,
		   mt_record_key(MT_RECORD_LEADER, 0), &leader.base);
	mt_writer_commit(leadership->leader_writer, MT_WRITER_ALWAYS_RETRIES,
			 on_heartbeat_stored, leadership);
}

static void report_drained(mt_leadership_t *leadership)
{
	mt_timer_cb cb = leadership->drained_cb;

	leadership->drained_cb = NULL;
	if (cb)
		cb(leadership->drained_ctx);
}

static void on_released(void *ctx, mt_store_result_t result)
{
	mt_leadership_t *leadership = ctx;

	mt_kernel_event(leadership->deps.kernel, "office_released",
			"\"result\":%d", result);
	if (leadership->draining)
		report_drained(leadership);
}

/**
 * Gives up the leadership. The handler is told before the record is written, so
 * that this host does nothing any more once another one may lead.
 */
static void release(mt_leadership_t *leadership)
{
	MtDag__Leader leader =
		leader_record(leadership, leadership->election.term);

	depose(leadership);
	leader.released = true;
	add_record(leadership->leader_writer,
		   mt_record_key(MT_RECORD_LEADER, 0), &leader.base);
	mt_writer_commit(leadership->leader_writer, MT_WRITER_ALWAYS_RETRIES,
			 on_released, leadership);
}

/* Records that were read. */

/** Keeps the record, or frees it if it is of an older term. */
static void keep_newest_leader(mt_leadership_t *leadership,
			       MtDag__Leader *leader)
{
	if (leader->term < leadership->election.term) {
		mt_dag__leader__free_unpacked(leader, NULL);
		return;
	}
	if (leadership->leader)
		mt_dag__leader__free_unpacked(leadership->leader, NULL);
	leadership->leader = leader;
	leadership->leader_read_at = now_of(leadership);
}

static void on_leader_record(mt_leadership_t *leadership, mt_str_t value)
{
	MtDag__Leader *leader = mt_dag__leader__unpack(
		NULL, value.len, (const uint8_t *)value.data);

	if (!leader) {
		mt_log(leadership->deps.kernel, MT_LOG_ERR, "leadership",
		       "ignoring a malformed leader record");
		return;
	}
	mt_election_on_leader(&leadership->election, leader,
			      now_of(leadership));
	mt_memory_budget_on_leader(&leadership->memory_budget,
				   leader->jobs_bytes);
	keep_newest_leader(leadership, leader);
}

/**
 * Applies the record that a host writes when it starts. If this host leads and
 * the other one is larger, this host releases the leadership. Event names call
 * the leadership "office".
 */
static void on_host_record(mt_leadership_t *leadership,
			   const mt_store_record_t *record)
{
	MtDag__Host *other = mt_dag__host__unpack(
		NULL, record->value.len, (const uint8_t *)record->value.data);

	if (!other) {
		mt_log(leadership->deps.kernel, MT_LOG_ERR, "leadership",
		       "ignoring a malformed host record");
		return;
	}
	mt_election_on_host(&leadership->election, other);
	g_hash_table_add(leadership->hosts,
			 g_strndup(record->key.data, record->key.len));
	mt_memory_budget_on_host(&leadership->memory_budget, other->memory_mb,
				 g_hash_table_size(leadership->hosts));
	if (leadership->elected &&
	    mt_election_should_yield(&leadership->election, other,
				     record->offset)) {
		char *name = mt_text_printable(other->name);

		mt_kernel_event(leadership->deps.kernel, "office_yielded",
				"\"to_larger_host\":\"%s\"", name);
		g_free(name);
		release(leadership);
	}
	mt_dag__host__free_unpacked(other, NULL);
}

static void on_record(void *ctx, const mt_store_record_t *record)
{
	mt_leadership_t *leadership = ctx;
	mt_record_kind_t kind;
	uint64_t number;

	if (!mt_record_parse_key(record->key, &kind, &number))
		return;
	if (kind == MT_RECORD_LEADER)
		on_leader_record(leadership, record->value);
	else if (kind == MT_RECORD_HOST)
		on_host_record(leadership, record);
	else if (kind == MT_RECORD_STANDBY)
		mt_duty_on_record(leadership->standby, number, record->value);
	else if (kind == MT_RECORD_RELAY)
		mt_duty_on_record(leadership->relay, number, record->value);
}

/** Begins the term of this host, whose claim has been read. */
static void begin_term(mt_leadership_t *leadership)
{
	/* The first sequence number is 1: the claim has used 0. */
	mt_writer_deps_t deps = {
		leadership->deps.kernel,   leadership->deps.store,
		MT_LEADERS_TOPIC,	   MT_SCHEDULER_PRODUCER,
		leadership->election.term, 1};

	close_leader_writer(leadership);
	leadership->leader_writer = mt_writer_new(&deps);
	leadership->heartbeat_at = now_of(leadership);
	leadership->elected = true;
	leadership->handler.on_elected(leadership->handler.ctx,
				       leadership->election.term);
}

/** Tells the handler what the records of a page have changed. */
static void on_page(void *ctx)
{
	mt_leadership_t *leadership = ctx;
	bool leads = mt_election_is_leader(&leadership->election);

	mt_election_on_read(&leadership->election, now_of(leadership));
	if (!leads) {
		depose(leadership);
		leadership->term_over = false;
	} else if (!leadership->elected && !leadership->term_over &&
		   !leadership->draining) {
		begin_term(leadership);
	}
	mt_duty_report(leadership->standby);
	mt_duty_report(leadership->relay);
}

/* Claims. */

static void on_claimed(void *ctx, mt_store_result_t result, uint64_t offset)
{
	mt_leadership_t *leadership = ctx;

	leadership->claiming = false;
	mt_kernel_event(leadership->deps.kernel, "office_claimed",
			"\"result\":%d,\"offset\":%" G_GUINT64_FORMAT, result,
			offset);
	if (result != MT_STORE_DONE)
		mt_election_back_off(&leadership->election, now_of(leadership));
}

/**
 * Claims the leadership by appending a leader record, on the condition that no
 * record has been appended to the topic since this host last read it. The term
 * is the offset of the leader record plus one.
 */
static void claim(mt_leadership_t *leadership)
{
	/* Plus one, as term 0 means no leader, and an epoch must exceed 0. */
	uint64_t term = mt_follower_next(leadership->follower) + 1;
	MtDag__Leader leader = leader_record(leadership, term);
	mt_record_key_t key = mt_record_key(MT_RECORD_LEADER, 0);
	GBytes *bytes = mt_dag_pack(&leader.base);
	mt_store_record_t record = {mt_str_from(key.text), mt_bytes_view(bytes),
				    0};
	mt_store_append_t append = {0};

	append.topic = MT_LEADERS_TOPIC;
	append.records = &record;
	append.count = 1;
	append.expected_end = mt_follower_next(leadership->follower);
	append.producer = MT_SCHEDULER_PRODUCER;
	append.epoch = term;
	/* The writer of heartbeats, of the same epoch, starts at sequence 1. */
	append.sequence = 0;
	append.timeout_ms = CLAIM_TIMEOUT_MS;
	leadership->claiming = true;
	leadership->deps.store->append(leadership->deps.store->self, &append,
				       on_claimed, leadership);
	g_bytes_unref(bytes);
}

static void write_host(mt_leadership_t *leadership)
{
	MtDag__Host host = MT_DAG__HOST__INIT;

	leadership->host_recorded = true;
	host.name = (char *)mt_shared_name_text(leadership->deps.host);
	host.cores_milli = leadership->deps.cores_milli;
	host.memory_mb = leadership->deps.memory_mb;
	add_record(leadership->writer,
		   mt_record_host_key(leadership->deps.host), &host.base);
	mt_writer_commit(leadership->writer, MT_WRITER_ALWAYS_RETRIES, NULL,
			 NULL);
}

/* Ticks. */

static mt_ms_t random_ms(const mt_leadership_t *leadership, gint32 end)
{
	return (mt_ms_t)g_rand_int_range(
		mt_kernel_rand(leadership->deps.kernel), 0, end);
}

/** Sets the delays of claims once the round trip to the store is known. */
static void set_delays(mt_leadership_t *leadership)
{
	mt_election_t *election = &leadership->election;

	if (leadership->delays_set)
		return;
	leadership->delays_set = true;
	election->claim_delay_ms =
		CLAIM_DELAY_ROUND_TRIPS *
			mt_follower_round_trip(leadership->follower) +
		random_ms(leadership, CLAIM_DELAY_RANDOM_MS);
	mt_duty_set_delay(
		leadership->standby,
		election->claim_delay_ms + STANDBY_DELAY_MS +
			random_ms(leadership, STANDBY_DELAY_RANDOM_MS));
	mt_duty_set_delay(leadership->relay,
			  random_ms(leadership, RELAY_DELAY_RANDOM_MS));
}

static bool is_smaller_host(const mt_election_t *election)
{
	return election->cores_milli < election->largest_cores_milli;
}

/**
 * Keeps, takes or releases slots. The leader is no standby, as it reads the
 * records of jobs anyway.
 */
static void tick_duties(mt_leadership_t *leadership)
{
	uint64_t end = mt_follower_next(leadership->follower);
	mt_ms_t extra = is_smaller_host(&leadership->election)
				? SLOT_DELAY_SMALLER_MS
				: 0;

	mt_duty_tick(leadership->standby,
		     leadership->claims_allowed && !leadership->elected &&
			     !leadership->claiming,
		     extra, end);
	mt_duty_tick(leadership->relay, mt_leadership_is_far(leadership), extra,
		     end);
}

static void set_read_delay(mt_leadership_t *leadership)
{
	bool no_delay = leadership->elected ||
			mt_duty_is_held(leadership->standby) ||
			mt_election_may_be_vacant(&leadership->election,
						  now_of(leadership));

	mt_follower_set_read_delay(leadership->follower,
				   no_delay ? 0 : READ_DELAY_MS);
}

static void tick(void *ctx)
{
	mt_leadership_t *leadership = ctx;
	mt_ms_t now = now_of(leadership);

	set_read_delay(leadership);
	if (leadership->elected &&
	    now - leadership->heartbeat_at >= HEARTBEAT_MS &&
	    !mt_writer_n_pending(leadership->leader_writer))
		write_heartbeat(leadership);
	if (!mt_follower_has_snapshot(leadership->follower))
		return;
	if (!leadership->host_recorded)
		write_host(leadership);
	if (leadership->draining)
		return;
	set_delays(leadership);
	if (leadership->claims_allowed && !leadership->claiming &&
	    mt_election_should_claim(&leadership->election, now))
		claim(leadership);
	tick_duties(leadership);
}

/* Construction. */

/**
 * Makes the writer of host and slot records. Its producer name is unique to
 * this process. Its epoch can therefore always be 1, and its first sequence
 * number 0.
 */
static mt_writer_t *make_writer(const mt_leadership_deps_t *own)
{
	mt_writer_deps_t deps = {
		own->kernel,	       own->store, MT_LEADERS_TOPIC,
		own->incarnation.text, 1,	   0};

	return mt_writer_new(&deps);
}

static mt_duty_t *make_duty(mt_leadership_t *leadership, mt_record_kind_t kind,
			    uint64_t first_key, int n_slots,
			    void (*on_change)(void *, bool))
{
	mt_duty_deps_t deps = {0};

	deps.kernel = leadership->deps.kernel;
	deps.store = leadership->deps.store;
	deps.writer = leadership->writer;
	deps.incarnation = leadership->deps.incarnation;
	deps.endpoint = leadership->deps.endpoint;
	deps.record_kind = kind;
	deps.first_key = first_key;
	deps.n_slots = n_slots;
	deps.on_change = on_change;
	deps.ctx = leadership->handler.ctx;
	return mt_duty_new(&deps);
}

mt_leadership_t *mt_leadership_new(const mt_leadership_deps_t *deps,
				   const mt_leadership_handler_t *handler)
{
	mt_leadership_t *leadership = g_new0(mt_leadership_t, 1);
	mt_follower_handler_t on_records = {leadership, on_record, NULL,
					    on_page};

	leadership->deps = *deps;
	leadership->handler = *handler;
	mt_election_init(&leadership->election, deps->host, &deps->incarnation,
			 deps->cores_milli, now_of(leadership));
	leadership->election.lacks_records = true;
	leadership->hosts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	mt_memory_budget_on_host(&leadership->memory_budget, deps->memory_mb,
				 1);
	leadership->writer = make_writer(deps);
	leadership->standby = make_duty(leadership, MT_RECORD_STANDBY, 0,
					MT_STANDBYS, handler->on_standby);
	leadership->relay = make_duty(leadership, MT_RECORD_RELAY,
				      (guint)mt_shared_name_hash(deps->dc), 1,
				      handler->on_relay);
	leadership->follower =
		mt_follower_new(deps->kernel, deps->store, MT_LEADERS_TOPIC,
				RECORDS_WAIT_MS, &on_records);
	mt_timers_every(mt_kernel_timers(deps->kernel), TICK_MS, tick,
			leadership);
	return leadership;
}

void mt_leadership_allow_claims(mt_leadership_t *leadership)
{
	leadership->claims_allowed = true;
}

void mt_leadership_set_has_records(mt_leadership_t *leadership,
				   bool has_records)
{
	leadership->election.lacks_records = !has_records;
}

static void on_slot_released(void *ctx, mt_store_result_t result)
{
	report_drained(ctx);
}

void mt_leadership_drain(mt_leadership_t *leadership, mt_timer_cb cb, void *ctx)
{
	bool releases = leadership->elected;

	leadership->draining = true;
	leadership->drained_cb = cb;
	leadership->drained_ctx = ctx;
	if (releases)
		release(leadership);
	else if (mt_duty_is_held(leadership->standby))
		mt_duty_release(leadership->standby, on_slot_released,
				leadership);
	else
		report_drained(leadership);
	mt_duty_release(leadership->relay, NULL, NULL);
}

bool mt_leadership_find_relay(const mt_leadership_t *leadership,
			      mt_endpoint_t *endpoint)
{
	return mt_duty_list(leadership->relay, endpoint) > 0;
}

bool mt_leadership_is_far(const mt_leadership_t *leadership)
{
	return mt_leadership_is_informed(leadership) &&
	       mt_follower_round_trip(leadership->follower) >=
		       FAR_ROUND_TRIP_MS;
}

bool mt_leadership_is_informed(const mt_leadership_t *leadership)
{
	return mt_follower_has_snapshot(leadership->follower);
}

bool mt_leadership_is_standby(const mt_leadership_t *leadership)
{
	return mt_duty_is_held(leadership->standby);
}

const MtDag__Pressure *mt_leadership_pressure(const mt_leadership_t *leadership,
					      const char *service,
					      mt_ms_t *age_ms)
{
	const MtDag__Leader *leader = leadership->leader;

	*age_ms = now_of(leadership) - leadership->leader_read_at;
	for (size_t i = 0; leader && i < leader->n_pressure; i++) {
		if (!strcmp(leader->pressure[i]->service, service))
			return leader->pressure[i];
	}
	return NULL;
}

mt_memory_budget_t *mt_leadership_memory_budget(mt_leadership_t *leadership)
{
	return &leadership->memory_budget;
}

mt_ms_t mt_leadership_age(const mt_leadership_t *leadership)
{
	return mt_follower_age(leadership->follower);
}

unsigned mt_leadership_list_informed(const mt_leadership_t *leadership,
				     mt_endpoint_t *endpoints)
{
	const mt_election_t *election = &leadership->election;
	unsigned n = 0;

	if (election->endpoint.port && !election->released &&
	    !mt_election_is_leader(election))
		endpoints[n++] = election->endpoint;
	return n + mt_duty_list(leadership->standby, endpoints + n);
}
