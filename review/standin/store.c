/** @file store.c Stand-in of the platform's store: keyed topics of one part. */
#include <string.h>

#include "scenario.h"

#define ANSWER_MS 4u
#define RECORD_BYTES 262144u
#define CALL_BYTES 2097152u
#define KEPT_ANSWERS 5u
#define PAGE_ITEMS 500u
#define PAGE_BYTES (1024u * 1024u)
#define LIST_INTERVALS_MS 4500u

typedef struct rec_t {
	char *key;
	GBytes *value; /**< content after the key; empty: deleted */
} rec_t;

typedef struct kept_t {
	guint64 sequence, offset, end;
} kept_t;

typedef struct producer_t {
	guint64 epoch;
	guint64 next;
	bool any; /**< any sequence may come next */
	kept_t kept[KEPT_ANSWERS];
	unsigned n_kept;
} producer_t;

typedef struct topic_t {
	GPtrArray *records;
	GTree *newest; /**< key to offset */
	GHashTable *producers;
} topic_t;

typedef struct waiter_t {
	pending_t *call;
	topic_t *topic;
	guint64 from;
	guint64 max_bytes;
	mt_ms_t until;
	unsigned index;
} waiter_t;

static GHashTable *topics;
static GPtrArray *waiters;
static store_mode_t modes[MAX_HOSTS + 1];
unsigned store_oversized;
int store_oversized_status = 413;
bool store_refuses_oversized = true;

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	return strcmp(a, b);
}

static topic_t *topic_of(const char *name)
{
	topic_t *topic = g_hash_table_lookup(topics, name);

	if (topic)
		return topic;
	topic = g_new0(topic_t, 1);
	topic->records = g_ptr_array_new();
	topic->newest = g_tree_new_full(compare_keys, NULL, g_free, g_free);
	topic->producers = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(topics, g_strdup(name), topic);
	return topic;
}

void store_init(void)
{
	topics = g_hash_table_new(g_str_hash, g_str_equal);
	waiters = g_ptr_array_new();
}

static void answer_read(waiter_t *waiter);

static void wake_waiters(const topic_t *topic)
{
	for (guint i = waiters->len; i-- > 0;) {
		waiter_t *waiter = waiters->pdata[i];

		if (waiter->topic != topic)
			continue;
		g_ptr_array_remove_index_fast(waiters, i);
		answer_read(waiter);
	}
}

static void add_record(topic_t *topic, const char *key, gsize key_len,
		       const void *value, gsize value_len)
{
	rec_t *rec = g_new0(rec_t, 1);
	guint64 *offset = g_new(guint64, 1);

	rec->key = g_strndup(key, key_len);
	rec->value = g_bytes_new(value, value_len);
	*offset = topic->records->len;
	g_ptr_array_add(topic->records, rec);
	if (value_len) {
		g_tree_replace(topic->newest, g_strdup(rec->key), offset);
	} else {
		g_tree_remove(topic->newest, rec->key);
		g_free(offset);
	}
}

void store_put(const char *name, const char *key, const char *value)
{
	topic_t *topic = topic_of(name);

	add_record(topic, key, strlen(key), value, value ? strlen(value) : 0);
	wake_waiters(topic);
}

void store_set_mode(unsigned index, store_mode_t mode)
{
	modes[index] = mode;
	for (guint i = waiters->len; mode != STORE_UP && i-- > 0;) {
		waiter_t *waiter = waiters->pdata[i];

		if (waiter->index != index)
			continue;
		g_ptr_array_remove_index_fast(waiters, i);
		if (mode == STORE_BUSY)
			pending_answer(waiter->call, 0, 503, NULL);
		else
			pending_drop(waiter->call);
		g_free(waiter);
	}
}

/* Reads. */

static void put_u32(GByteArray *out, guint32 value)
{
	guint32 be = GUINT32_TO_BE(value);

	g_byte_array_append(out, (const guint8 *)&be, 4);
}

static void answer_read(waiter_t *waiter)
{
	const topic_t *topic = waiter->topic;
	GByteArray *out = g_byte_array_new();
	guint64 head[2] = {GUINT64_TO_BE((guint64)topic->records->len), 0};

	g_byte_array_append(out, (const guint8 *)head, sizeof(head));
	for (guint64 i = waiter->from; i < topic->records->len; i++) {
		const rec_t *rec = topic->records->pdata[i];
		gsize len;
		const guint8 *value = g_bytes_get_data(rec->value, &len);
		guint8 key_len = (guint8)strlen(rec->key);

		if (out->len > sizeof(head) &&
		    out->len + len + key_len + 5 > waiter->max_bytes)
			break;
		put_u32(out, (guint32)(1 + key_len + len));
		g_byte_array_append(out, &key_len, 1);
		g_byte_array_append(out, (const guint8 *)rec->key, key_len);
		if (len)
			g_byte_array_append(out, value, (guint)len);
	}
	pending_answer(waiter->call, ANSWER_MS, 200,
		       g_byte_array_free_to_bytes(out));
	g_free(waiter);
}

static guint64 query_u64(const mt_http_incoming_request_t *http,
			 const char *name, guint64 fallback)
{
	mt_str_t text;
	uint64_t value;

	if (!mt_http_query(http->query, name, &text) ||
	    !mt_str_to_u64(text, &value))
		return fallback;
	return value;
}

static char *query_text(const mt_http_incoming_request_t *http,
			const char *name)
{
	mt_str_t text = {0};

	mt_http_query(http->query, name, &text);
	return g_uri_unescape_segment(text.data ? text.data : "",
				      text.data ? text.data + text.len : NULL,
				      NULL);
}

static void on_read(const mt_http_incoming_request_t *http, topic_t *topic,
		    unsigned index)
{
	waiter_t *waiter = g_new0(waiter_t, 1);

	waiter->call = pending_new(http);
	waiter->topic = topic;
	waiter->index = index;
	waiter->from = query_u64(http, "from", 0);
	waiter->max_bytes = query_u64(http, "max_kb", 1024) * 1024;
	waiter->until = now_ms() + query_u64(http, "wait_ms", 0);
	if (waiter->from < topic->records->len || waiter->until <= now_ms())
		answer_read(waiter);
	else
		g_ptr_array_add(waiters, waiter);
}

typedef struct page_t {
	const topic_t *topic;
	const char *after;
	json_t *items;
	gsize bytes;
	bool more;
} page_t;

static gboolean add_item(gpointer key, gpointer value, gpointer data)
{
	page_t *page = data;
	const rec_t *rec = page->topic->records->pdata[*(const guint64 *)value];
	json_t *item;

	if (*page->after && strcmp(key, page->after) <= 0)
		return FALSE;
	if (json_array_size(page->items) >= PAGE_ITEMS ||
	    (page->bytes &&
	     page->bytes + g_bytes_get_size(rec->value) > PAGE_BYTES)) {
		page->more = true;
		return TRUE;
	}
	page->bytes += g_bytes_get_size(rec->value);
	item = json_object();
	json_object_set_new(item, "key", json_string(key));
	mt_json_set_bytes(item, "value", rec->value);
	mt_json_set_u64(item, "offset", *(const guint64 *)value);
	json_array_append_new(page->items, item);
	return FALSE;
}

static void on_newest(const mt_http_incoming_request_t *http, topic_t *topic)
{
	char *after = query_text(http, "depends_on");
	page_t page = {topic, after, json_array(), 0, false};
	json_t *json = json_object();

	g_tree_foreach(topic->newest, add_item, &page);
	json_object_set_new(json, "items", page.items);
	json_object_set_new(json, "has_more", json_boolean(page.more));
	mt_json_set_u64(json, "end_offset", topic->records->len);
	pending_answer_json(pending_new(http), ANSWER_MS, 200, json);
	g_free(after);
}

/* Appends. */

/**
 * Adds the records of a body.
 * @return false, with nothing added, if it is malformed or too large
 */
static bool add_records(topic_t *topic, mt_str_t body)
{
	gsize at = 0;
	gsize total = 0;

	while (at < body.len) {
		guint32 len;

		if (body.len - at < 5)
			return false;
		memcpy(&len, body.data + at, 4);
		len = GUINT32_FROM_BE(len);
		if (len > RECORD_BYTES && store_refuses_oversized)
			return false;
		total += len;
		at += 4 + len;
	}
	if (at != body.len || (total > CALL_BYTES && store_refuses_oversized))
		return false;
	for (at = 0; at < body.len;) {
		guint32 len;
		guint8 key_len;

		memcpy(&len, body.data + at, 4);
		len = GUINT32_FROM_BE(len);
		key_len = (guint8)body.data[at + 4];
		add_record(topic, body.data + at + 5, key_len,
			   body.data + at + 5 + key_len, len - 1 - key_len);
		at += 4 + len;
	}
	return true;
}

static void answer_offsets(pending_t *call, int status, guint64 offset,
			   guint64 end)
{
	json_t *json = json_object();

	mt_json_set_u64(json, "offset", offset);
	mt_json_set_u64(json, "end_offset", end);
	pending_answer_json(call, ANSWER_MS, status, json);
}

static void answer_conflict(pending_t *call, const char *reason, guint64 next)
{
	json_t *json = json_object();

	json_object_set_new(json, "reason", json_string(reason));
	mt_json_set_u64(json, "sequence", next);
	pending_answer_json(call, ANSWER_MS, 409, json);
}

static void on_append(const mt_http_incoming_request_t *http, topic_t *topic,
		      const char *name)
{
	pending_t *call = pending_new(http);
	char *who = query_text(http, "producer");
	producer_t *producer = g_hash_table_lookup(topic->producers, who);
	guint64 epoch = query_u64(http, "epoch", 0);
	guint64 sequence = query_u64(http, "sequence", 0);
	guint64 at = query_u64(http, "at", G_MAXUINT64);
	guint64 offset = topic->records->len;

	if (!producer) {
		producer = g_new0(producer_t, 1);
		producer->any = true;
		g_hash_table_insert(topic->producers, g_strdup(who), producer);
	}
	if (epoch < producer->epoch) {
		answer_conflict(call, "fenced", 0);
		goto out;
	}
	for (unsigned i = 0; epoch == producer->epoch && i < producer->n_kept;
	     i++) {
		const kept_t *kept = &producer->kept[i];

		if (kept->sequence == sequence) {
			answer_offsets(call, 200, kept->offset, kept->end);
			goto out;
		}
	}
	if (epoch == producer->epoch && !producer->any &&
	    sequence != producer->next) {
		answer_conflict(call, "seq", producer->next);
		goto out;
	}
	if (at != G_MAXUINT64 && at != offset) {
		answer_offsets(call, 412, offset, offset);
		goto out;
	}
	if (!add_records(topic, http->body)) {
		store_oversized++;
		record("store: append of %zu bytes to %s refused, more than "
		       "call_bytes or record_bytes",
		       http->body.len, name);
		pending_answer(call, ANSWER_MS, store_oversized_status, NULL);
		goto out;
	}
	if (epoch > producer->epoch)
		producer->n_kept = 0;
	producer->epoch = epoch;
	producer->any = false;
	producer->next = sequence + 1;
	if (producer->n_kept == KEPT_ANSWERS)
		memmove(producer->kept, producer->kept + 1,
			(KEPT_ANSWERS - 1) * sizeof(kept_t));
	else
		producer->n_kept++;
	producer->kept[producer->n_kept - 1] =
		(kept_t){sequence, offset, topic->records->len};
	answer_offsets(call, 200, offset, topic->records->len);
	wake_waiters(topic);
out:
	g_free(who);
}

/* Calls. */

static void on_call(void *ctx, const mt_http_incoming_request_t *http)
{
	unsigned index = GPOINTER_TO_UINT(ctx);
	char *name;

	if (modes[index] == STORE_BUSY) {
		pending_answer(pending_new(http), 0, 503, NULL);
		return;
	}
	if (modes[index] == STORE_SILENT) {
		pending_drop(pending_new(http));
		return;
	}
	name = query_text(http, "topic");
	if (mt_str_equal(http->path, MT_STR("/mimosaturn/log-append")) &&
	    (!strcmp(name, "keyed.op") || !strcmp(name, "keyed.servers")))
		pending_answer(pending_new(http), ANSWER_MS, 403, NULL);
	else if (mt_str_equal(http->path, MT_STR("/mimosaturn/log-append")))
		on_append(http, topic_of(name), name);
	else if (mt_str_equal(http->path, MT_STR("/mimosaturn/log-read")))
		on_read(http, topic_of(name), index);
	else if (mt_str_equal(http->path, MT_STR("/mimosaturn/log-newest")))
		on_newest(http, topic_of(name));
	else
		pending_answer(pending_new(http), ANSWER_MS, 404, NULL);
	g_free(name);
}

bool store_listen(uint16_t port, unsigned index)
{
	mt_name_t address = mt_name("127.0.0.1");

	return mt_http_server_new(loop, &address, port, 64u * 1024u * 1024u,
				  on_call, GUINT_TO_POINTER(index)) != NULL;
}

int leading_host(void)
{
	topic_t *topic = topic_of("keyed.mimosaturn-leaders");

	for (guint i = topic->records->len; i-- > 0;) {
		const rec_t *rec = topic->records->pdata[i];
		gsize len;
		const char *value = g_bytes_get_data(rec->value, &len);
		const char *at;

		if (rec->key[0] != 'l')
			continue;
		at = g_strstr_len(value, (gssize)len, "host-");
		return at ? at[strlen("host-")] - '0' : -1;
	}
	return -1;
}

void store_tick(void)
{
	for (guint i = waiters->len; i-- > 0;) {
		waiter_t *waiter = waiters->pdata[i];

		if (waiter->until > now_ms())
			continue;
		g_ptr_array_remove_index_fast(waiters, i);
		answer_read(waiter);
	}
}
