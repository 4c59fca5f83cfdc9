/** @file fake_store.c In-memory implementation of the platform's store. */
#include "fleet/fake_store.h"

#include <stdio.h>
#include <string.h>

/** Latency in each direction; see also latency(). */
#define LATENCY_MS 3u

/** Delay of an append that executes late and without an answer. */
#define LATE_APPEND_MIN_MS 1000
#define LATE_APPEND_MAX_MS 6000

#define CONFIG_TOPIC "keyed.op"
#define SERVERS_TOPIC "keyed.servers"

typedef struct mt_fake_record_t {
	GBytes *key;
	GBytes *value;
	uint64_t offset;
} mt_fake_record_t;

typedef struct mt_fake_topic_t {
	char *name;
	GArray *records; /**< mt_fake_record_t, from offset `first` on */
	uint64_t first;	 /**< oldest offset that can be read */
	uint64_t end;
	/** Newest mt_fake_record_t of each key that is not deleted. */
	GHashTable *newest;
} mt_fake_topic_t;

/** Newest append of a producer. */
typedef struct mt_fake_producer_t {
	uint64_t epoch;
	uint64_t sequence;
	uint64_t offset; /**< where it was stored; answer to duplicates */
} mt_fake_producer_t;

struct mt_fake_store_t {
	mt_sim_t *sim;
	GHashTable *topics;    /**< mt_fake_topic_t by name */
	GHashTable *producers; /**< mt_fake_producer_t by topic and name */
	GPtrArray *polls;      /**< mt_fake_call_t of waiting reads */
	uint64_t last_poll_id;
};

/** An append, or a read when `on_page` is set. */
typedef struct mt_fake_call_t {
	mt_fake_store_t *store;
	mt_sim_host_t *host;
	char *topic;
	/* Of an append; see mt_store_append_t. */
	GArray *records; /**< mt_fake_record_t */
	uint64_t at;
	char *producer;
	uint64_t epoch;
	uint64_t sequence;
	mt_store_append_cb on_append;
	mt_store_page_cb on_page; /**< of a read */
	void *ctx;		  /**< of either callback */
	/* Of a read; see mt_store_port_t. */
	uint64_t from;
	char *after; /**< key; NULL: from the first key on */
	bool newest; /**< set: newest() call; otherwise a read from `from` */
	uint64_t poll_id; /**< set once the read waits */
	mt_ms_t wait_until;
	mt_ms_t give_up_at; /**< when the caller's time-out expires */
	mt_store_result_t result;
	uint64_t offset; /**< result of an append: its first offset */
	bool answered;	 /**< the answer is on its way; not read anywhere */
} mt_fake_call_t;

mt_fake_store_t *mt_fake_store_new(mt_sim_t *sim)
{
	mt_fake_store_t *store = g_new0(mt_fake_store_t, 1);

	store->sim = sim;
	store->topics = g_hash_table_new(g_str_hash, g_str_equal);
	store->producers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	store->polls = g_ptr_array_new();
	return store;
}

static mt_fake_topic_t *get_topic(mt_fake_store_t *store, const char *name)
{
	mt_fake_topic_t *topic = g_hash_table_lookup(store->topics, name);

	if (topic)
		return topic;
	topic = g_new0(mt_fake_topic_t, 1);
	topic->name = g_strdup(name);
	topic->records = g_array_new(FALSE, TRUE, sizeof(mt_fake_record_t));
	topic->newest =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(store->topics, topic->name, topic);
	return topic;
}

static void complete_polls(mt_fake_store_t *store,
			   const mt_fake_topic_t *topic);

static void add_record(mt_fake_store_t *store, mt_fake_topic_t *topic,
		       GBytes *key, GBytes *value)
{
	mt_fake_record_t record = {key, value, topic->end++};
	mt_str_t text = mt_bytes_view(key);

	g_array_append_val(topic->records, record);
	if (g_bytes_get_size(value))
		g_hash_table_insert(topic->newest,
				    g_strndup(text.data, text.len),
				    g_memdup2(&record, sizeof(record)));
	else {
		char *name = g_strndup(text.data, text.len);

		g_hash_table_remove(topic->newest, name);
		g_free(name);
	}
	complete_polls(store, topic);
}

void mt_fake_store_put(mt_fake_store_t *store, const char *topic,
		       const char *key, mt_str_t value)
{
	add_record(store, get_topic(store, topic),
		   g_bytes_new(key, strlen(key)),
		   g_bytes_new(value.data, value.len));
}

mt_str_t mt_fake_store_get(mt_fake_store_t *store, const char *topic,
			   const char *key)
{
	const mt_fake_record_t *record =
		g_hash_table_lookup(get_topic(store, topic)->newest, key);

	return record ? mt_bytes_view(record->value) : (mt_str_t){0};
}

void mt_fake_store_drop_history(mt_fake_store_t *store, const char *name)
{
	mt_fake_topic_t *topic = get_topic(store, name);

	g_array_set_size(topic->records, 0);
	topic->first = topic->end;
}

/* Answers. */

/** True while the store is down or unreachable from the call's host. */
static bool is_unreachable(const mt_fake_call_t *call)
{
	return call->store->sim->store_down || call->host->store_unreachable;
}

static mt_store_record_t record_view(const mt_fake_record_t *record)
{
	return (mt_store_record_t){mt_bytes_view(record->key),
				   mt_bytes_view(record->value),
				   record->offset};
}

static gint compare_text(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

static void fill_newest_page(mt_fake_call_t *call, mt_store_page_t *page,
			     GArray *out)
{
	mt_fake_topic_t *topic = get_topic(call->store, call->topic);
	GList *keys =
		g_list_sort(g_hash_table_get_keys(topic->newest), compare_text);

	for (GList *key = keys; key; key = key->next) {
		mt_store_record_t record;

		if (call->after && strcmp(key->data, call->after) <= 0)
			continue;
		record = record_view(
			g_hash_table_lookup(topic->newest, key->data));
		g_array_append_val(out, record);
	}
	g_list_free(keys);
	page->end = topic->end;
}

static void fill_read_page(mt_fake_call_t *call, mt_store_page_t *page,
			   GArray *out)
{
	mt_fake_topic_t *topic = get_topic(call->store, call->topic);

	page->end = topic->end;
	if (call->from < topic->first) {
		page->result = MT_STORE_TRIMMED;
		return;
	}
	for (guint i = 0; i < topic->records->len; i++) {
		const mt_fake_record_t *record =
			&g_array_index(topic->records, mt_fake_record_t, i);
		mt_store_record_t view = record_view(record);

		if (record->offset >= call->from)
			g_array_append_val(out, view);
	}
	page->next = call->from + out->len;
}

static void free_call(mt_fake_call_t *call)
{
	g_free(call->topic);
	g_free(call->producer);
	g_free(call->after);
	if (call->records)
		g_array_unref(call->records);
	g_free(call);
}

static void deliver_page(void *ctx)
{
	mt_fake_call_t *call = ctx;
	GArray *out = g_array_new(FALSE, TRUE, sizeof(mt_store_record_t));
	mt_store_page_t page = {0};

	page.result = call->result;
	if (page.result == MT_STORE_DONE && call->newest)
		fill_newest_page(call, &page, out);
	else if (page.result == MT_STORE_DONE)
		fill_read_page(call, &page, out);
	page.records = (const mt_store_record_t *)out->data;
	page.count = out->len;
	call->on_page(call->ctx, &page);
	g_array_unref(out);
	free_call(call);
}

static void deliver_append(void *ctx)
{
	mt_fake_call_t *call = ctx;

	call->on_append(call->ctx, call->result, call->offset);
	free_call(call);
}

/** Hosts with a higher index are farther from the store. */
static mt_ms_t latency(const mt_fake_call_t *call)
{
	return LATENCY_MS + call->host->index * 7 +
	       call->store->sim->store_extra_ms;
}

/** Calls back after `delay`. The records of a page are read only then. */
static void complete_call(mt_fake_call_t *call, mt_store_result_t result,
			  mt_ms_t delay)
{
	call->answered = true;
	call->result = result;
	mt_sim_schedule_on_host(call->host, delay,
				call->on_page ? deliver_page : deliver_append,
				call);
}

/* Appends. */

/** Checks epoch and sequence; a duplicate gets the original offset. */
static mt_store_result_t check_producer(mt_fake_call_t *call,
					mt_fake_producer_t *state,
					bool *is_duplicate)
{
	*is_duplicate = false;
	if (call->epoch < state->epoch)
		return MT_STORE_FENCED;
	if (call->epoch > state->epoch)
		return MT_STORE_DONE;
	if (call->sequence == state->sequence) {
		*is_duplicate = true;
		call->offset = state->offset;
		return MT_STORE_DONE;
	}
	return call->sequence == state->sequence + 1 ? MT_STORE_DONE
						     : MT_STORE_OUT_OF_SEQUENCE;
}

static mt_fake_producer_t *get_producer(mt_fake_store_t *store,
					const char *topic, const char *name)
{
	char *key = g_strdup_printf("%s %s", topic, name);
	mt_fake_producer_t *state = g_hash_table_lookup(store->producers, key);

	if (state) {
		g_free(key);
		return state;
	}
	state = g_new0(mt_fake_producer_t, 1);
	g_hash_table_insert(store->producers, key, state);
	return state;
}

static mt_store_result_t execute_append(mt_fake_call_t *call)
{
	mt_fake_store_t *store = call->store;
	mt_fake_topic_t *topic = get_topic(store, call->topic);
	mt_fake_producer_t *state =
		get_producer(store, call->topic, call->producer);
	bool is_duplicate;
	mt_store_result_t result = check_producer(call, state, &is_duplicate);

	if (result != MT_STORE_DONE || is_duplicate)
		return result;
	if (call->at != MT_STORE_ANY_OFFSET && call->at != topic->end)
		return MT_STORE_WRONG_OFFSET;
	state->epoch = call->epoch;
	state->sequence = call->sequence;
	state->offset = topic->end;
	call->offset = topic->end;
	for (guint i = 0; i < call->records->len; i++) {
		const mt_fake_record_t *record =
			&g_array_index(call->records, mt_fake_record_t, i);

		add_record(store, topic, record->key, record->value);
	}
	return MT_STORE_DONE;
}

static void execute_late_append(void *ctx)
{
	mt_fake_call_t *call = ctx;

	execute_append(call);
	free_call(call);
}

static void on_append_received(void *ctx)
{
	mt_fake_call_t *call = ctx;
	mt_sim_t *sim = call->store->sim;
	mt_ms_t time_left = call->give_up_at - mt_sim_now(sim);
	mt_store_result_t result;

	/* A call is refused or times out, with equal probability. */
	if (is_unreachable(call)) {
		if (mt_sim_chance(sim, 0.5))
			complete_call(call, MT_STORE_REFUSED, LATENCY_MS);
		else
			complete_call(call, MT_STORE_UNKNOWN, time_left);
		return;
	}
	/* An append without an answer executes late or at once, with equal
	 * probability. */
	if (mt_sim_chance(sim, sim->store_lost)) {
		if (mt_sim_chance(sim, 0.5)) {
			mt_fake_call_t *late = g_memdup2(call, sizeof(*call));

			late->topic = g_strdup(call->topic);
			late->producer = g_strdup(call->producer);
			late->records = g_array_ref(call->records);
			late->after = NULL;
			mt_timers_after(sim->timers,
					(mt_ms_t)g_rand_int_range(
						sim->rand, LATE_APPEND_MIN_MS,
						LATE_APPEND_MAX_MS),
					execute_late_append, late);
		} else {
			execute_append(call);
		}
		complete_call(call, MT_STORE_UNKNOWN, time_left);
		return;
	}
	result = execute_append(call);
	complete_call(call, result, latency(call));
}

static mt_fake_call_t *new_call(mt_sim_host_t *host, const char *topic,
				void *ctx, mt_ms_t timeout_ms)
{
	mt_fake_call_t *call = g_new0(mt_fake_call_t, 1);

	call->store = host->sim->store;
	call->host = host;
	call->topic = g_strdup(topic);
	call->ctx = ctx;
	call->give_up_at = mt_sim_now(host->sim) + timeout_ms;
	return call;
}

static void append(void *self, const mt_store_append_t *append,
		   mt_store_append_cb cb, void *ctx)
{
	mt_sim_host_t *host = self;
	mt_fake_call_t *call =
		new_call(host, append->topic, ctx, append->timeout_ms);

	call->on_append = cb;
	call->at = append->expected_end;
	call->producer = g_strdup(append->producer);
	call->epoch = append->epoch;
	call->sequence = append->sequence;
	call->records = g_array_new(FALSE, TRUE, sizeof(mt_fake_record_t));
	for (size_t i = 0; i < append->count; i++) {
		const mt_store_record_t *in = &append->records[i];
		mt_fake_record_t record = {
			g_bytes_new(in->key.data, in->key.len),
			g_bytes_new(in->value.data, in->value.len), 0};

		g_array_append_val(call->records, record);
	}
	mt_timers_after(host->sim->timers, LATENCY_MS, on_append_received,
			call);
}

/* Reads. */

static bool has_new_records(const mt_fake_call_t *call)
{
	const mt_fake_topic_t *topic = get_topic(call->store, call->topic);

	return call->newest || topic->end > call->from ||
	       call->from < topic->first;
}

typedef struct mt_poll_timeout_t {
	mt_fake_store_t *store;
	uint64_t poll_id;
} mt_poll_timeout_t;

static void on_poll_timeout(void *ctx)
{
	mt_poll_timeout_t *timeout = ctx;

	for (guint i = 0; i < timeout->store->polls->len; i++) {
		mt_fake_call_t *call = timeout->store->polls->pdata[i];

		if (call->poll_id != timeout->poll_id)
			continue;
		g_ptr_array_remove_index_fast(timeout->store->polls, i);
		complete_call(call,
			      is_unreachable(call) ? MT_STORE_UNKNOWN
						   : MT_STORE_DONE,
			      latency(call));
		break;
	}
	g_free(timeout);
}

static void wait_for_records(mt_fake_call_t *call)
{
	mt_poll_timeout_t *timeout = g_new0(mt_poll_timeout_t, 1);
	mt_sim_t *sim = call->store->sim;

	call->poll_id = ++call->store->last_poll_id;
	timeout->store = call->store;
	timeout->poll_id = call->poll_id;
	g_ptr_array_add(call->store->polls, call);
	mt_timers_after(sim->timers, call->wait_until - mt_sim_now(sim),
			on_poll_timeout, timeout);
}

static void complete_polls(mt_fake_store_t *store, const mt_fake_topic_t *topic)
{
	for (guint i = store->polls->len; i-- > 0;) {
		mt_fake_call_t *call = store->polls->pdata[i];

		if (strcmp(call->topic, topic->name) || is_unreachable(call))
			continue;
		g_ptr_array_remove_index_fast(store->polls, i);
		complete_call(call, MT_STORE_DONE, latency(call));
	}
}

static void on_read_received(void *ctx)
{
	mt_fake_call_t *call = ctx;
	mt_sim_t *sim = call->store->sim;
	mt_ms_t now = mt_sim_now(sim);

	/* A call is refused or times out, with equal probability. */
	if (is_unreachable(call)) {
		if (mt_sim_chance(sim, 0.5))
			complete_call(call, MT_STORE_REFUSED, LATENCY_MS);
		else
			complete_call(call, MT_STORE_UNKNOWN,
				      call->give_up_at - now);
		return;
	}
	if (has_new_records(call) || call->wait_until <= now) {
		complete_call(call, MT_STORE_DONE, latency(call));
		return;
	}
	wait_for_records(call);
}

static void read_topic(void *self, const char *topic, uint64_t from,
		       mt_ms_t wait_ms, mt_ms_t timeout_ms, mt_store_page_cb cb,
		       void *ctx)
{
	mt_sim_host_t *host = self;
	mt_fake_call_t *call = new_call(host, topic, ctx, timeout_ms);

	call->on_page = cb;
	call->from = from;
	call->wait_until = mt_sim_now(host->sim) + wait_ms;
	mt_timers_after(host->sim->timers, LATENCY_MS, on_read_received, call);
}

static void newest(void *self, const char *topic, mt_str_t after_key,
		   mt_ms_t timeout_ms, mt_store_page_cb cb, void *ctx)
{
	mt_sim_host_t *host = self;
	mt_fake_call_t *call = new_call(host, topic, ctx, timeout_ms);

	call->on_page = cb;
	call->newest = true;
	call->after =
		after_key.len ? g_strndup(after_key.data, after_key.len) : NULL;
	mt_timers_after(host->sim->timers, LATENCY_MS, on_read_received, call);
}

void mt_fake_store_bind(mt_fake_store_t *store, mt_sim_host_t *host)
{
	(void)store;
	host->store_port =
		(mt_store_port_t){host, append, read_topic, newest, 0, 0};
}

/* Simple text formats in place of the platform's JSON. */

/**
 * Decodes "STATE RACK BORN REMAINING_MS COLD_REMAINING_MS". Each rack is a data
 * centre of its own.
 */
static const char *decode_report(const mt_store_record_t *record,
				 mt_backend_info_t *info)
{
	char *text = g_strndup(record->value.data, record->value.len);
	char state[16];
	char rack[16];
	gint64 born;
	unsigned remaining;
	unsigned cold_remaining;
	bool valid =
		sscanf(text, "%15s %15s %" G_GINT64_MODIFIER "d %u %u", state,
		       rack, &born, &remaining, &cold_remaining) == 5;

	g_free(text);
	info->service = mt_shared_name("service");
	info->target.address = mt_name("10.0.0.1");
	info->target.port = 1;
	info->draining = valid && !strcmp(state, "draining");
	info->born_ms = born;
	info->remaining_ms = remaining;
	info->cold_remaining_ms = cold_remaining;
	info->capacity = (mt_dag_resources_t){64000, 262144, 8};
	info->rack = g_quark_from_string(valid ? rack : "");
	mt_backend_info_add_label(info, g_quark_from_string("a"));
	mt_backend_info_add_label(info, info->rack);
	info->zone = mt_shared_name(valid ? rack : "");
	return valid ? NULL : "it is malformed";
}

const mt_directory_format_t *mt_fake_store_server_list_format(void)
{
	static const mt_directory_format_t format = {SERVERS_TOPIC,
						     decode_report};

	return &format;
}

static mt_queue_t *add_queue(mt_catalog_t *catalog, const char *name,
			     uint32_t priority)
{
	mt_queue_t *queue = mt_catalog_add_queue(catalog);

	queue->name = mt_shared_name(name);
	queue->url_host = mt_shared_name("jobs.example");
	queue->path_prefix = g_strdup_printf("/%s/", name);
	queue->service = mt_shared_name("service");
	queue->priority = priority;
	queue->attempts_max = 50;
	queue->slack_factor = 3;
	queue->objective_extra_ms = 1000;
	return queue;
}

/** Decodes a configuration: "VERSION", or "VERSION COLD_PER_S". */
static mt_catalog_t *decode_config(mt_str_t text)
{
	char *copy = g_strndup(text.data, text.len);
	guint64 version;
	mt_service_t service = {.name = mt_shared_name("service")};
	mt_catalog_t *catalog;
	mt_client_account_t *account;
	int n_fields = sscanf(copy, "%" G_GINT64_MODIFIER "u %lf", &version,
			      &service.cold_per_s);

	g_free(copy);
	if (n_fields < 1)
		return NULL;
	catalog = mt_catalog_new(version);
	if (service.cold_per_s > 0)
		g_array_append_val(catalog->services, service);
	add_queue(catalog, "urgent", 0);
	add_queue(catalog, "batch", 2);
	add_queue(catalog, "advised", 1)->advised = true;
	account = mt_catalog_add_account(catalog);
	account->name = mt_shared_name("shop");
	account->guaranteed_gpu = 32;
	mt_catalog_add_key(catalog, account, "key");
	if (version < SIM_KEY_REVOKED_VERSION)
		mt_catalog_add_key(catalog, account, "revoked");
	return catalog;
}

mt_config_format_t mt_fake_store_config_format(void)
{
	return (mt_config_format_t){CONFIG_TOPIC, "config", decode_config};
}

const mt_evacuations_format_t *mt_fake_store_evacuations_format(void)
{
	static const mt_evacuations_format_t format = {CONFIG_TOPIC,
						       "evacuate/"};

	return &format;
}

MtDag__Job *mt_fake_store_decode_job(mt_str_t body)
{
	return mt_dag__job__unpack(NULL, body.len, (const uint8_t *)body.data);
}
