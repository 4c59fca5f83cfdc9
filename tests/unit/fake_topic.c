/** @file fake_topic.c A store with one topic. */
#include "unit/fake_topic.h"

#include <string.h>

#define PAGE_RECORDS_DEFAULT 100u

typedef struct mt_fake_topic_record_t {
	char *key;
	char *value;
} mt_fake_topic_record_t;

typedef struct mt_fake_topic_call_t {
	bool newest;	 /**< call of newest(); else of read() */
	char *after_key; /**< of newest() */
	uint64_t from;	 /**< of read() */
	mt_store_page_cb cb;
	void *ctx;
} mt_fake_topic_call_t;

static void on_read(void *self, const char *name, uint64_t from,
		    mt_ms_t wait_ms, mt_ms_t timeout_ms, mt_store_page_cb cb,
		    void *ctx)
{
	mt_fake_topic_t *topic = self;
	mt_fake_topic_call_t call = {false, NULL, from, cb, ctx};

	g_array_append_val(topic->calls, call);
}

static void on_newest(void *self, const char *name, mt_str_t after_key,
		      mt_ms_t timeout_ms, mt_store_page_cb cb, void *ctx)
{
	mt_fake_topic_t *topic = self;
	mt_fake_topic_call_t call = {
		true,
		g_strndup(after_key.len ? after_key.data : "", after_key.len),
		0, cb, ctx};

	topic->snapshots++;
	g_array_append_val(topic->calls, call);
}

static void clear_record(gpointer data)
{
	mt_fake_topic_record_t *record = data;

	g_free(record->key);
	g_free(record->value);
}

void mt_fake_topic_open(mt_fake_topic_t *topic)
{
	*topic = (mt_fake_topic_t){.page_records = PAGE_RECORDS_DEFAULT};
	topic->port = (mt_store_port_t){topic, NULL, on_read, on_newest, 0, 0};
	topic->records =
		g_array_new(FALSE, FALSE, sizeof(mt_fake_topic_record_t));
	g_array_set_clear_func(topic->records, clear_record);
	topic->calls = g_array_new(FALSE, FALSE, sizeof(mt_fake_topic_call_t));
}

void mt_fake_topic_close(mt_fake_topic_t *topic)
{
	mt_fake_topic_fail(topic, MT_STORE_REFUSED);
	g_array_unref(topic->calls);
	g_array_unref(topic->records);
}

void mt_fake_topic_put(mt_fake_topic_t *topic, const char *key,
		       const char *value)
{
	mt_fake_topic_record_t record = {g_strdup(key), g_strdup(value)};

	g_array_append_val(topic->records, record);
}

static const mt_fake_topic_record_t *record_at(const mt_fake_topic_t *topic,
					       guint offset)
{
	return &g_array_index(topic->records, mt_fake_topic_record_t, offset);
}

static mt_store_record_t view_of(const mt_fake_topic_t *topic, guint offset)
{
	const mt_fake_topic_record_t *record = record_at(topic, offset);

	return (mt_store_record_t){mt_str_from(record->key),
				   mt_str_from(record->value), offset};
}

/** True if the record is the newest of its key, and not a deletion. */
static bool is_newest(const mt_fake_topic_t *topic, guint offset)
{
	const mt_fake_topic_record_t *record = record_at(topic, offset);

	for (guint i = offset + 1; i < topic->records->len; i++) {
		if (!strcmp(record_at(topic, i)->key, record->key))
			return false;
	}
	return *record->value;
}

static gint compare_keys(gconstpointer a, gconstpointer b)
{
	const mt_store_record_t *x = a;
	const mt_store_record_t *y = b;
	int order =
		memcmp(x->key.data, y->key.data, MIN(x->key.len, y->key.len));

	return order ? order : (gint)x->key.len - (gint)y->key.len;
}

/** Appends the records of the snapshot after `after_key`, sorted by key. */
static void list_newest(const mt_fake_topic_t *topic, const char *after_key,
			GArray *list)
{
	for (guint i = 0; i < topic->records->len; i++) {
		mt_store_record_t view = view_of(topic, i);

		if (is_newest(topic, i) &&
		    strcmp(record_at(topic, i)->key, after_key) > 0)
			g_array_append_val(list, view);
	}
	g_array_sort(list, compare_keys);
}

static void list_from(const mt_fake_topic_t *topic, uint64_t from, GArray *list)
{
	for (guint i = (guint)from; i < topic->records->len; i++) {
		mt_store_record_t view = view_of(topic, i);

		g_array_append_val(list, view);
	}
}

static void answer_call(mt_fake_topic_t *topic, guint index)
{
	mt_fake_topic_call_t call =
		g_array_index(topic->calls, mt_fake_topic_call_t, index);
	GArray *list = g_array_new(FALSE, FALSE, sizeof(mt_store_record_t));
	mt_store_page_t page = {.result = MT_STORE_DONE};

	g_array_remove_index(topic->calls, index);
	if (call.newest)
		list_newest(topic, call.after_key, list);
	else
		list_from(topic, call.from, list);
	page.records = (const mt_store_record_t *)list->data;
	page.count = MIN(list->len, topic->page_records);
	page.end = topic->records->len;
	page.more = call.newest && list->len > topic->page_records;
	call.cb(call.ctx, &page);
	g_array_unref(list);
	g_free(call.after_key);
}

/** Index of the first call that need not wait; -1: there is none. */
static gint find_call(const mt_fake_topic_t *topic)
{
	for (guint i = 0; i < topic->calls->len; i++) {
		const mt_fake_topic_call_t *call =
			&g_array_index(topic->calls, mt_fake_topic_call_t, i);

		if (call->newest || call->from < topic->records->len)
			return (gint)i;
	}
	return -1;
}

void mt_fake_topic_answer(mt_fake_topic_t *topic)
{
	gint index;

	while ((index = find_call(topic)) >= 0)
		answer_call(topic, (guint)index);
}

void mt_fake_topic_answer_one(mt_fake_topic_t *topic)
{
	answer_call(topic, 0);
}

void mt_fake_topic_fail(mt_fake_topic_t *topic, mt_store_result_t result)
{
	mt_store_page_t page = {.result = result};
	guint n_calls = topic->calls->len;

	for (guint i = 0; i < n_calls; i++) {
		mt_fake_topic_call_t call =
			g_array_index(topic->calls, mt_fake_topic_call_t, 0);

		g_array_remove_index(topic->calls, 0);
		call.cb(call.ctx, &page);
		g_free(call.after_key);
	}
}
