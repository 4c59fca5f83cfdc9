/** @file config_relay.c Reads the configuration through a relay. */
#include "dag/config_relay.h"

/** Timeout of the relay's long polls for the configuration. */
#define RELAY_WAIT_MS 300u

/**
 * Interval at which a host asks the relay. There is no long poll, so that the
 * age of the relay's copy counts from the time of its answer.
 */
#define ASK_INTERVAL_MS 250u

/** The relay's copy is too old when it is older than this. */
#define RELAY_AGE_MAX_MS 2500u

/** After a failure of the relay, the store is asked for this long. */
#define AVOID_RELAY_MS 2000u

/**
 * A host that has just started waits this long for a relay. All hosts of a data
 * centre may have started at once.
 */
#define WAIT_FOR_RELAY_MS 1000u

/** Interval of the checks whether there is a relay by now. */
#define RELAY_CHECK_MS 50u

struct mt_config_source_t {
	/** The interface that this file implements. */
	mt_store_port_t store_port;
	mt_config_source_deps_t deps;
	mt_ms_t started_at;
	mt_ms_t avoid_relay_until; /**< the relay is not asked before then */
};

/** A read that is passed to the relay or to the store. */
typedef struct mt_source_read_t {
	mt_config_source_t *source;
	char *topic;
	uint64_t from;
	bool newest; /**< a read of newest(); then `after_key` is empty */
	mt_ms_t wait_ms;
	mt_ms_t timeout_ms;
	mt_store_page_cb cb;
	void *ctx;
} mt_source_read_t;

static mt_ms_t now_of(const mt_config_source_t *source)
{
	return mt_kernel_now(source->deps.kernel);
}

static void free_read(mt_source_read_t *read)
{
	g_free(read->topic);
	g_free(read);
}

static void read_store(mt_source_read_t *read)
{
	const mt_store_port_t *store = read->source->deps.store;

	if (read->newest)
		store->newest(store->self, read->topic, (mt_str_t){0},
			      read->timeout_ms, read->cb, read->ctx);
	else
		store->read(store->self, read->topic, read->from, read->wait_ms,
			    read->timeout_ms, read->cb, read->ctx);
	free_read(read);
}

/** Passes on the relay's copy as a page that ends with the configuration. */
static void deliver(const mt_source_read_t *read,
		    const MtDag__ConfigReply *reply)
{
	mt_store_record_t record = {
		mt_str_from(reply->key),
		{(const char *)reply->value.data, reply->value.len},
		reply->offset};
	mt_store_page_t page = {0};

	page.records = &record;
	page.count = reply->value.len ? 1 : 0;
	page.end = MAX(reply->offset + 1, read->from);
	page.age_ms = reply->age_ms;
	read->cb(read->ctx, &page);
}

/** True while this host should rather wait for a relay than ask the store. */
static bool waits_for_relay(const mt_config_source_t *source)
{
	return now_of(source) - source->started_at < WAIT_FOR_RELAY_MS;
}

static void start_read(void *ctx);

static void on_relay_reply(void *ctx, const MtDag__ConfigReply *reply)
{
	mt_source_read_t *read = ctx;
	mt_config_source_t *source = read->source;

	if (reply && reply->known && reply->age_ms <= RELAY_AGE_MAX_MS) {
		deliver(read, reply);
		free_read(read);
		return;
	}
	if (reply && !reply->known && waits_for_relay(source)) {
		mt_timers_after(mt_kernel_timers(source->deps.kernel),
				RELAY_CHECK_MS, start_read, read);
		return;
	}
	mt_kernel_event(source->deps.kernel, "relay_failed",
			"\"answered\":%s,\"age_ms\":%" G_GUINT64_FORMAT,
			reply ? "true" : "false", reply ? reply->age_ms : 0);
	source->avoid_relay_until = now_of(source) + AVOID_RELAY_MS;
	read_store(read);
}

static void start_read(void *ctx)
{
	mt_source_read_t *read = ctx;
	mt_config_source_t *source = read->source;
	MtDag__ConfigCall call = MT_DAG__CONFIG_CALL__INIT;
	mt_endpoint_t relay;
	bool may_come = false;
	mt_ms_t now = now_of(source);

	if (now >= source->avoid_relay_until &&
	    source->deps.find_relay(source->deps.find_relay_ctx, &relay,
				    &may_come)) {
		call.from = read->from;
		source->deps.peers->get_config(source->deps.peers->self, &relay,
					       &call, on_relay_reply, read);
	} else if (may_come && waits_for_relay(source)) {
		mt_timers_after(mt_kernel_timers(source->deps.kernel),
				RELAY_CHECK_MS, start_read, read);
	} else {
		read_store(read);
	}
}

static mt_source_read_t *new_read(mt_config_source_t *source, const char *topic,
				  mt_ms_t timeout_ms, mt_store_page_cb cb,
				  void *ctx)
{
	mt_source_read_t *read = g_new0(mt_source_read_t, 1);

	read->source = source;
	read->topic = g_strdup(topic);
	read->timeout_ms = timeout_ms;
	read->cb = cb;
	read->ctx = ctx;
	return read;
}

static void read_topic(void *self, const char *topic, uint64_t from,
		       mt_ms_t wait_ms, mt_ms_t timeout_ms, mt_store_page_cb cb,
		       void *ctx)
{
	mt_config_source_t *source = self;
	mt_source_read_t *read = new_read(source, topic, timeout_ms, cb, ctx);
	mt_endpoint_t relay;
	bool may_come;
	bool asks_relay = now_of(source) >= source->avoid_relay_until &&
			  source->deps.find_relay(source->deps.find_relay_ctx,
						  &relay, &may_come);

	read->from = from;
	read->wait_ms = wait_ms;
	mt_timers_after(mt_kernel_timers(source->deps.kernel),
			asks_relay ? ASK_INTERVAL_MS : 0, start_read, read);
}

static void newest(void *self, const char *topic, mt_str_t after_key,
		   mt_ms_t timeout_ms, mt_store_page_cb cb, void *ctx)
{
	mt_config_source_t *source = self;
	mt_source_read_t *read;

	/* Only the store has further pages. */
	if (after_key.len) {
		source->deps.store->newest(source->deps.store->self, topic,
					   after_key, timeout_ms, cb, ctx);
		return;
	}
	read = new_read(source, topic, timeout_ms, cb, ctx);
	read->newest = true;
	mt_timers_after(mt_kernel_timers(source->deps.kernel), 0, start_read,
			read);
}

mt_config_source_t *mt_config_source_new(const mt_config_source_deps_t *deps)
{
	mt_config_source_t *source = g_new0(mt_config_source_t, 1);

	source->deps = *deps;
	source->started_at = mt_kernel_now(deps->kernel);
	source->store_port =
		(mt_store_port_t){source, NULL, read_topic, newest, 0, 0};
	return source;
}

const mt_store_port_t *mt_config_source_port(const mt_config_source_t *source)
{
	return &source->store_port;
}

/* Relay. */

struct mt_config_relay_t {
	mt_follower_t *follower;
	char *key;
	GBytes *value; /**< the configuration; NULL: none was read */
	uint64_t offset;
};

static void on_record(void *ctx, const mt_store_record_t *record)
{
	mt_config_relay_t *relay = ctx;

	if (!mt_str_equal(record->key, mt_str_from(relay->key)) ||
	    (relay->value && record->offset < relay->offset))
		return;
	g_clear_pointer(&relay->value, g_bytes_unref);
	relay->value = g_bytes_new(record->value.data, record->value.len);
	relay->offset = record->offset;
}

mt_config_relay_t *mt_config_relay_new(mt_kernel_t *kernel,
				       const mt_store_port_t *store,
				       const char *topic, const char *key)
{
	mt_config_relay_t *relay = g_new0(mt_config_relay_t, 1);
	mt_follower_handler_t handler = {relay, on_record, NULL, NULL};

	relay->key = g_strdup(key);
	relay->follower =
		mt_follower_new(kernel, store, topic, RELAY_WAIT_MS, &handler);
	mt_follower_skip_replaced(relay->follower);
	return relay;
}

MtDag__ConfigReply mt_config_relay_answer(const mt_config_relay_t *relay,
					  const MtDag__ConfigCall *call)
{
	MtDag__ConfigReply reply = MT_DAG__CONFIG_REPLY__INIT;
	mt_str_t view;

	if (!relay->value || !mt_follower_has_snapshot(relay->follower))
		return reply;
	reply.known = true;
	reply.key = relay->key;
	reply.offset = relay->offset;
	reply.age_ms = mt_follower_age(relay->follower);
	if (relay->offset < call->from)
		return reply;
	view = mt_bytes_view(relay->value);
	reply.value.data = (uint8_t *)view.data;
	reply.value.len = view.len;
	return reply;
}

void mt_config_relay_free(mt_config_relay_t *relay)
{
	mt_follower_stop(relay->follower);
	g_clear_pointer(&relay->value, g_bytes_unref);
	g_free(relay->key);
	g_free(relay);
}
