/**
 * @file platform.c
 * Stand-in of the users' platform: the store (a log with keyed topics) and, on
 * the next port, the service that gives tickets. The store answers each call
 * after ANSWER_MS and keeps its whole history.
 *
 *     platform --port N --record FILE
 *
 * Calls of its own, for the operator: POST /test/put?topic=T&key=K stores the
 * body under a key; POST /test/advice?allow=ID,ID sets the workers that are
 * allowed (default: all).
 */
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"

#define ANSWER_MS 4u
#define PAGE_ITEMS_MAX 500u
#define PAGE_BYTES_MAX 1000000u
#define REPEATS_KEPT 5
#define BODY_MAX_BYTES (4u * 1024u * 1024u)
#define DECISION_MS 50u
#define VALIDITY_MS 5000u

typedef struct log_record_t {
	char *key;
	GBytes *value;
	GBytes *frame; /**< as appended, with the length */
	uint64_t offset;
} log_record_t;

typedef struct repeat_t {
	uint64_t sequence;
	uint64_t offset;
	uint64_t end;
} repeat_t;

typedef struct producer_t {
	uint64_t epoch;
	bool started; /**< an append of this epoch was stored */
	uint64_t sequence;
	repeat_t repeats[REPEATS_KEPT];
	unsigned n_repeats;
} producer_t;

typedef struct topic_t {
	GPtrArray *records;	/**< log_record_t, by offset */
	GTree *newest;		/**< key to log_record_t with a value */
	GHashTable *producers;	/**< name to producer_t */
	GPtrArray *waiting;	/**< waiting_t: long polls */
} topic_t;

typedef struct waiting_t {
	topic_t *topic;
	pending_t *pending;
	uint64_t from;
	uint64_t max_bytes;
	uint64_t timer;
} waiting_t;

/** A response that is sent after ANSWER_MS. */
typedef struct answer_t {
	pending_t *pending;
	int status;
	const char *type;
	GBytes *body;
} answer_t;

static mt_loop_t *loop;
static GHashTable *topics;
static char *allowed; /**< ids with commas around each; NULL: all */

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer unused)
{
	(void)unused;
	return strcmp(a, b);
}

static topic_t *find_topic(const char *name)
{
	topic_t *topic = g_hash_table_lookup(topics, name);

	if (topic)
		return topic;
	topic = g_new0(topic_t, 1);
	topic->records = g_ptr_array_new();
	topic->newest = g_tree_new_full(compare_keys, NULL, g_free, NULL);
	topic->producers = g_hash_table_new(g_str_hash, g_str_equal);
	topic->waiting = g_ptr_array_new();
	g_hash_table_insert(topics, g_strdup(name), topic);
	return topic;
}

/* Responses. */

static void send_answer(void *ctx)
{
	answer_t *answer = ctx;
	gsize len;
	const char *data = g_bytes_get_data(answer->body, &len);

	pending_respond(answer->pending, answer->status, answer->type,
			(mt_str_t){data, len});
	g_bytes_unref(answer->body);
	g_free(answer);
}

/** Takes ownership of `body`. */
static void answer_later(pending_t *pending, int status, const char *type,
			 GBytes *body)
{
	answer_t *answer = g_new0(answer_t, 1);

	*answer = (answer_t){pending, status, type, body};
	mt_timers_after(mt_loop_timers(loop), ANSWER_MS, send_answer, answer);
}

static void answer_json(pending_t *pending, int status, json_t *json)
{
	char *text = mt_json_dump_decref(json);

	answer_later(pending, status, "application/json",
		     g_bytes_new_take(text, strlen(text)));
}

static void answer_reason(pending_t *pending, int status, const char *reason)
{
	json_t *json = json_object();

	json_object_set_new(json, "reason", json_string(reason));
	answer_json(pending, status, json);
}

/* Reads. */

static void answer_read(waiting_t *waiting)
{
	const GPtrArray *records = waiting->topic->records;
	uint64_t head[2] = {GUINT64_TO_BE((uint64_t)records->len), 0};
	GByteArray *body = g_byte_array_new();

	g_byte_array_append(body, (const guint8 *)head, sizeof(head));
	for (uint64_t i = waiting->from; i < records->len; i++) {
		const log_record_t *record = records->pdata[i];
		gsize len;
		const guint8 *data = g_bytes_get_data(record->frame, &len);

		if (body->len > sizeof(head) &&
		    body->len + len > waiting->max_bytes)
			break;
		g_byte_array_append(body, data, (guint)len);
	}
	mt_timers_cancel(mt_loop_timers(loop), waiting->timer);
	answer_later(waiting->pending, 200, "application/octet-stream",
		     g_byte_array_free_to_bytes(body));
	g_free(waiting);
}

static void on_wait_over(void *ctx)
{
	waiting_t *waiting = ctx;

	waiting->timer = 0;
	g_ptr_array_remove_fast(waiting->topic->waiting, waiting);
	answer_read(waiting);
}

static void on_log_read(const mt_http_incoming_request_t *request)
{
	char *name = query_text(request, "topic");
	waiting_t *waiting = g_new0(waiting_t, 1);
	uint64_t wait = query_number(request, "wait_ms", 0);

	waiting->topic = find_topic(name);
	waiting->pending = pending_new(request->exchange);
	waiting->from = query_number(request, "from", 0);
	waiting->max_bytes = query_number(request, "max_kb", 1024) * 1024;
	g_free(name);
	if (waiting->from < waiting->topic->records->len || !wait) {
		answer_read(waiting);
		return;
	}
	waiting->timer = mt_timers_after(mt_loop_timers(loop), wait,
					 on_wait_over, waiting);
	g_ptr_array_add(waiting->topic->waiting, waiting);
}

typedef struct page_t {
	const char *after;
	json_t *items;
	size_t bytes;
	bool more;
} page_t;

static gboolean add_item(gpointer key, gpointer value, gpointer data)
{
	const log_record_t *record = value;
	page_t *page = data;
	json_t *item;

	if (*page->after && strcmp(key, page->after) <= 0)
		return FALSE;
	page->bytes += g_bytes_get_size(record->value);
	if (json_array_size(page->items) &&
	    (json_array_size(page->items) >= PAGE_ITEMS_MAX ||
	     page->bytes > PAGE_BYTES_MAX)) {
		page->more = true;
		return TRUE;
	}
	item = json_object();
	json_object_set_new(item, "key", json_string(key));
	mt_json_set_bytes(item, "value", record->value);
	mt_json_set_u64(item, "offset", record->offset);
	json_array_append_new(page->items, item);
	return FALSE;
}

static void on_log_newest(const mt_http_incoming_request_t *request)
{
	char *name = query_text(request, "topic");
	char *after = query_text(request, "depends_on");
	topic_t *topic = find_topic(name);
	page_t page = {after, json_array(), 0, false};
	json_t *json = json_object();

	g_tree_foreach(topic->newest, add_item, &page);
	json_object_set_new(json, "items", page.items);
	json_object_set_new(json, "has_more", json_boolean(page.more));
	mt_json_set_u64(json, "end_offset", topic->records->len);
	answer_json(pending_new(request->exchange), 200, json);
	g_free(after);
	g_free(name);
}

/* Appends. */

static void add_record(topic_t *topic, GBytes *frame)
{
	log_record_t *record = g_new0(log_record_t, 1);
	gsize len;
	const guint8 *data = g_bytes_get_data(frame, &len);
	guint8 key_len = len > 4 ? data[4] : 0;

	if (len < 5u + key_len)
		key_len = 0;
	record->frame = frame;
	record->key = g_strndup((const char *)data + 5, key_len);
	record->value =
		g_bytes_new(data + 5 + key_len, len < 5 ? 0 : len - 5 - key_len);
	record->offset = topic->records->len;
	g_ptr_array_add(topic->records, record);
	if (g_bytes_get_size(record->value))
		g_tree_replace(topic->newest, g_strdup(record->key), record);
	else
		g_tree_remove(topic->newest, record->key);
}

static void wake_readers(topic_t *topic)
{
	for (guint i = topic->waiting->len; i-- > 0;) {
		waiting_t *waiting = topic->waiting->pdata[i];

		if (waiting->from >= topic->records->len)
			continue;
		g_ptr_array_remove_index_fast(topic->waiting, i);
		answer_read(waiting);
	}
}

/** Splits a body into frames; returns NULL if it is malformed. */
static GPtrArray *parse_frames(mt_str_t body)
{
	GPtrArray *frames = g_ptr_array_new();
	size_t at = 0;

	while (at < body.len) {
		const guint8 *head = (const guint8 *)body.data + at;
		size_t len;

		if (body.len - at < 4)
			return NULL;
		len = (size_t)head[0] << 24 | (size_t)head[1] << 16 |
		      (size_t)head[2] << 8 | head[3];
		if (len > body.len - at - 4)
			return NULL;
		g_ptr_array_add(frames, g_bytes_new(head, len + 4));
		at += len + 4;
	}
	return frames;
}

static void answer_appended(pending_t *pending, uint64_t offset, uint64_t end)
{
	json_t *json = json_object();

	mt_json_set_u64(json, "offset", offset);
	mt_json_set_u64(json, "end_offset", end);
	answer_json(pending, 200, json);
}

/**
 * Checks the numbering of a producer.
 * @return false when the response was sent
 */
static bool check_producer(producer_t *producer, uint64_t epoch,
			   uint64_t sequence, pending_t *pending)
{
	if (epoch < producer->epoch) {
		answer_reason(pending, 409, "fenced");
		return false;
	}
	if (epoch > producer->epoch)
		return true;
	for (unsigned i = 0; i < producer->n_repeats; i++) {
		const repeat_t *repeat = &producer->repeats[i];

		if (repeat->sequence == sequence) {
			answer_appended(pending, repeat->offset, repeat->end);
			return false;
		}
	}
	if (producer->started && sequence != producer->sequence + 1) {
		answer_reason(pending, 409, "seq");
		return false;
	}
	return true;
}

static void note_append(producer_t *producer, uint64_t epoch, uint64_t sequence,
			uint64_t offset, uint64_t end)
{
	if (epoch > producer->epoch)
		producer->n_repeats = 0;
	producer->epoch = epoch;
	producer->started = true;
	producer->sequence = sequence;
	if (producer->n_repeats == REPEATS_KEPT)
		memmove(producer->repeats, producer->repeats + 1,
			sizeof(repeat_t) * --producer->n_repeats);
	producer->repeats[producer->n_repeats++] =
		(repeat_t){sequence, offset, end};
}

static producer_t *find_producer(topic_t *topic, const char *name)
{
	producer_t *producer = g_hash_table_lookup(topic->producers, name);

	if (!producer) {
		producer = g_new0(producer_t, 1);
		g_hash_table_insert(topic->producers, g_strdup(name), producer);
	}
	return producer;
}

static void append(topic_t *topic, const mt_http_incoming_request_t *request,
		   GPtrArray *frames, pending_t *pending)
{
	char *name = query_text(request, "producer");
	producer_t *producer = *name ? find_producer(topic, name) : NULL;
	uint64_t epoch = query_number(request, "epoch", 0);
	uint64_t sequence = query_number(request, "sequence", 0);
	uint64_t offset = topic->records->len;
	uint64_t at = query_number(request, "at", offset);
	json_t *json;

	g_free(name);
	if (producer && !check_producer(producer, epoch, sequence, pending))
		return;
	if (at != offset) {
		json = json_object();
		mt_json_set_u64(json, "end_offset", offset);
		answer_json(pending, 412, json);
		return;
	}
	for (guint i = 0; i < frames->len; i++)
		add_record(topic, frames->pdata[i]);
	if (producer)
		note_append(producer, epoch, sequence, offset,
			    topic->records->len);
	answer_appended(pending, offset, topic->records->len);
	wake_readers(topic);
}

static void on_log_append(const mt_http_incoming_request_t *request)
{
	char *name = query_text(request, "topic");
	GPtrArray *frames = parse_frames(request->body);
	pending_t *pending = pending_new(request->exchange);

	if (frames)
		append(find_topic(name), request, frames, pending);
	else
		answer_reason(pending, 400, "frames");
	if (frames)
		g_ptr_array_unref(frames);
	g_free(name);
}

/* Calls of the operator. */

static void on_put(const mt_http_incoming_request_t *request)
{
	char *name = query_text(request, "topic");
	char *key = query_text(request, "key");
	topic_t *topic = find_topic(name);
	GByteArray *frame = g_byte_array_new();
	size_t key_len = strlen(key);
	uint32_t len = GUINT32_TO_BE((uint32_t)(1 + key_len +
						request->body.len));
	guint8 short_len = (guint8)key_len;

	g_byte_array_append(frame, (const guint8 *)&len, 4);
	g_byte_array_append(frame, &short_len, 1);
	g_byte_array_append(frame, (const guint8 *)key, (guint)key_len);
	g_byte_array_append(frame, (const guint8 *)request->body.data,
			    (guint)request->body.len);
	add_record(topic, g_byte_array_free_to_bytes(frame));
	record("operator stored %s/%s (%zu bytes)", name, key,
	       request->body.len);
	wake_readers(topic);
	answer_json(pending_new(request->exchange), 200, json_object());
	g_free(key);
	g_free(name);
}

static void on_set_advice(const mt_http_incoming_request_t *request)
{
	char *list = query_text(request, "allow");

	g_free(allowed);
	allowed = *list ? g_strdup_printf(",%s,", list) : NULL;
	g_free(list);
	answer_json(pending_new(request->exchange), 200, json_object());
}

static void on_store_request(void *ctx,
			     const mt_http_incoming_request_t *request)
{
	(void)ctx;
	if (mt_str_equal(request->path, MT_STR("/mimosaturn/log-append")))
		on_log_append(request);
	else if (mt_str_equal(request->path, MT_STR("/mimosaturn/log-read")))
		on_log_read(request);
	else if (mt_str_equal(request->path, MT_STR("/mimosaturn/log-newest")))
		on_log_newest(request);
	else if (mt_str_equal(request->path, MT_STR("/test/put")))
		on_put(request);
	else if (mt_str_equal(request->path, MT_STR("/test/advice")))
		on_set_advice(request);
	else
		mt_http_respond(request->exchange, 404, "text/plain",
				(mt_str_t){0}, NULL);
}

/* Tickets. A ticket names its step, its worker and its end (Unix time). */

static bool is_allowed(const char *worker)
{
	char *quoted = g_strdup_printf(",%s,", worker);
	bool found = !allowed || strstr(allowed, quoted);

	g_free(quoted);
	return found;
}

static void on_advise(void *ctx, const mt_http_incoming_request_t *request)
{
	json_t *body = mt_json_parse(request->body);
	const json_t *workers = json_object_get(body, "workers");
	json_t *json = json_object();
	json_t *rows = json_array();

	(void)ctx;
	record("advice step=%s workers=%zu", json_text(body, "step"),
	       json_array_size(workers));
	for (size_t i = 0; i < json_array_size(workers); i++) {
		const char *worker =
			json_string_value(json_array_get(workers, i));
		char *ticket;
		json_t *row;

		if (!worker || !is_allowed(worker))
			continue;
		ticket = g_strdup_printf("%s/%s/%llu", json_text(body, "step"),
					 worker,
					 (unsigned long long)unix_ms() +
						 VALIDITY_MS);
		row = json_array();
		json_array_append_new(row, json_string(worker));
		json_array_append_new(row, json_string(ticket));
		json_array_append_new(rows, row);
		g_free(ticket);
	}
	json_object_set_new(json, "allowed", rows);
	json_object_set_new(json, "validity_ms", json_integer(VALIDITY_MS));
	answer_t *answer = g_new0(answer_t, 1);
	char *text = mt_json_dump_decref(json);

	*answer = (answer_t){pending_new(request->exchange), 200,
			     "application/json",
			     g_bytes_new_take(text, strlen(text))};
	mt_timers_after(mt_loop_timers(loop), DECISION_MS, send_answer, answer);
	json_decref(body);
}

int main(int argc, char **argv)
{
	static const struct option options[] = {
		{"port", required_argument, NULL, 'p'},
		{"record", required_argument, NULL, 'r'},
		{0}};
	mt_name_t address = mt_name("127.0.0.1");
	uint16_t port = 0;
	int option;

	while ((option = getopt_long(argc, argv, "", options, NULL)) != -1) {
		if (option == 'p')
			port = (uint16_t)atoi(optarg);
		else if (option == 'r')
			record_open(optarg, "platform");
		else
			return 2;
	}
	loop = mt_loop_new();
	topics = g_hash_table_new(g_str_hash, g_str_equal);
	if (!mt_http_server_new(loop, &address, port, BODY_MAX_BYTES,
				on_store_request, NULL) ||
	    !mt_http_server_new(loop, &address, (uint16_t)(port + 1),
				BODY_MAX_BYTES, on_advise, NULL)) {
		fprintf(stderr, "cannot listen on port %u\n", port);
		return 2;
	}
	mt_loop_run(loop);
	return 0;
}
