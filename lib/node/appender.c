/** @file appender.c Group commit of records that are read back from the log. */
#include "node/appender.h"

#include <string.h>

/** Limits of one append; a record above the byte limit is appended alone. */
#define BATCH_MAX_RECORDS 256u
#define BATCH_MAX_BYTES (128u * 1024u)

/**
 * Delay, before jitter, after an append that failed or whose result is unknown;
 * doubles each time.
 */
#define BACKOFF_MIN_MS 100u
#define BACKOFF_MAX_MS 2000u

/**
 * A record that was appended but not read back in this time is appended again.
 * Also the period at which this is checked.
 */
#define READ_BACK_TIMEOUT_MS 5000u

typedef enum mt_item_state_t {
	MT_ITEM_QUEUED,
	MT_ITEM_SENT,	  /**< part of the append in progress */
	MT_ITEM_APPENDED, /**< appended, not read back yet */
} mt_item_state_t;

typedef struct mt_item_t {
	uint64_t id;
	GBytes *record;
	mt_priority_t priority;
	mt_item_state_t state;
	/** In QUEUED and SENT: an earlier append may have succeeded. */
	bool may_be_in_log;
	mt_ms_t appended_at;
	mt_read_back_cb cb;
	void *ctx;
} mt_item_t;

struct mt_appender_t {
	mt_kernel_t *kernel;
	mt_log_port_t log;
	char *stream;
	mt_ms_t spacing_ms;
	guint max_queued_records; /**< see mt_appender_new() */
	uint64_t last_id;
	GQueue queues[MT_PRIORITY_COUNT]; /**< of mt_item_t, QUEUED or SENT */
	GHashTable *by_id;		  /**< id to mt_item_t */
	GHashTable *by_record;		  /**< GBytes to mt_item_t */
	GPtrArray *sent_ids; /**< ids in the append in progress, or NULL */
	mt_ms_t next_append; /**< earliest time of the next append */
	mt_ms_t backoff;
	uint64_t timer;
	uint64_t read_back_timer;
};

static void append_batch(void *ctx);
static void requeue_not_read_back(void *ctx);

mt_appender_t *mt_appender_new(mt_kernel_t *kernel, const mt_log_port_t *log,
			       const char *stream, mt_ms_t spacing_ms,
			       guint max_queued_records)
{
	mt_appender_t *appender = g_new0(mt_appender_t, 1);

	appender->kernel = kernel;
	appender->log = *log;
	appender->stream = g_strdup(stream);
	appender->spacing_ms = spacing_ms;
	appender->max_queued_records = max_queued_records;
	for (int i = 0; i < MT_PRIORITY_COUNT; i++)
		g_queue_init(&appender->queues[i]);
	appender->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	appender->by_record = g_hash_table_new(g_bytes_hash, g_bytes_equal);
	appender->backoff = BACKOFF_MIN_MS;
	appender->read_back_timer =
		mt_timers_every(mt_kernel_timers(kernel), READ_BACK_TIMEOUT_MS,
				requeue_not_read_back, appender);
	return appender;
}

static void free_item(mt_appender_t *appender, mt_item_t *item)
{
	if (item->state != MT_ITEM_APPENDED)
		g_queue_remove(&appender->queues[item->priority], item);
	g_hash_table_remove(appender->by_id, &item->id);
	g_hash_table_remove(appender->by_record, item->record);
	g_bytes_unref(item->record);
	g_free(item);
}

void mt_appender_free(mt_appender_t *appender)
{
	GList *items;

	if (!appender)
		return;
	items = g_hash_table_get_values(appender->by_id);
	for (GList *at = items; at; at = at->next)
		free_item(appender, at->data);
	g_list_free(items);
	mt_timers_cancel(mt_kernel_timers(appender->kernel), appender->timer);
	mt_timers_cancel(mt_kernel_timers(appender->kernel),
			 appender->read_back_timer);
	g_hash_table_destroy(appender->by_id);
	g_hash_table_destroy(appender->by_record);
	g_clear_pointer(&appender->sent_ids, g_ptr_array_unref);
	g_free(appender->stream);
	g_free(appender);
}

static bool has_queued(const mt_appender_t *appender)
{
	for (int i = 0; i < MT_PRIORITY_COUNT; i++) {
		if (!g_queue_is_empty((GQueue *)&appender->queues[i]))
			return true;
	}
	return false;
}

static void schedule_append(mt_appender_t *appender)
{
	mt_ms_t now = mt_kernel_now(appender->kernel);
	mt_ms_t at = MAX(now, appender->next_append);

	if (appender->timer || appender->sent_ids || !has_queued(appender))
		return;
	appender->timer = mt_timers_after(mt_kernel_timers(appender->kernel),
					  at - now, append_batch, appender);
}

uint64_t mt_appender_submit(mt_appender_t *appender, GBytes *record,
			    mt_priority_t priority, mt_read_back_cb cb,
			    void *ctx)
{
	mt_item_t *item;

	if (priority == MT_PRIORITY_NORMAL &&
	    g_queue_get_length(&appender->queues[priority]) >=
		    appender->max_queued_records)
		return 0;
	item = g_hash_table_lookup(appender->by_record, record);
	if (item) {
		item->cb = cb;
		item->ctx = ctx;
		return item->id;
	}
	item = g_new0(mt_item_t, 1);
	item->id = ++appender->last_id;
	item->record = g_bytes_ref(record);
	item->priority = priority;
	item->cb = cb;
	item->ctx = ctx;
	g_queue_push_tail(&appender->queues[priority], item);
	g_hash_table_insert(appender->by_id, &item->id, item);
	g_hash_table_insert(appender->by_record, item->record, item);
	schedule_append(appender);
	return item->id;
}

uint64_t mt_appender_submit_record(mt_appender_t *appender,
				   const MtPb__Record *record,
				   mt_priority_t priority, mt_read_back_cb cb,
				   void *ctx)
{
	GBytes *packed = mt_record_pack(record);
	uint64_t id = mt_appender_submit(appender, packed, priority, cb, ctx);

	g_bytes_unref(packed);
	return id;
}

void mt_appender_drop_callback(mt_appender_t *appender, uint64_t id)
{
	mt_item_t *item = g_hash_table_lookup(appender->by_id, &id);

	if (item)
		item->cb = NULL;
}

bool mt_appender_withdraw(mt_appender_t *appender, uint64_t id)
{
	mt_item_t *item = g_hash_table_lookup(appender->by_id, &id);

	if (!item || item->may_be_in_log || item->state != MT_ITEM_QUEUED)
		return false;
	free_item(appender, item);
	return true;
}

/** Marks the records of the next batch as sent and returns them. */
static GPtrArray *pick_batch(mt_appender_t *appender)
{
	GPtrArray *records =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	size_t bytes = 0;

	for (int i = 0; i < MT_PRIORITY_COUNT; i++) {
		for (GList *at = appender->queues[i].head; at; at = at->next) {
			mt_item_t *item = at->data;

			bytes += g_bytes_get_size(item->record);
			if (records->len == BATCH_MAX_RECORDS ||
			    (records->len && bytes > BATCH_MAX_BYTES))
				return records;
			item->state = MT_ITEM_SENT;
			g_ptr_array_add(records, g_bytes_ref(item->record));
			g_ptr_array_add(appender->sent_ids,
					g_memdup2(&item->id, sizeof(item->id)));
		}
	}
	return records;
}

static void apply_append_result(mt_appender_t *appender, mt_item_t *item,
				mt_append_result_t result)
{
	if (result == MT_APPEND_DONE) {
		g_queue_remove(&appender->queues[item->priority], item);
		item->state = MT_ITEM_APPENDED;
		item->appended_at = mt_kernel_now(appender->kernel);
		return;
	}
	item->state = MT_ITEM_QUEUED;
	if (result == MT_APPEND_UNKNOWN)
		item->may_be_in_log = true;
}

static void on_appended(void *ctx, mt_append_result_t result)
{
	static const char *const names[] = {"done", "refused", "unknown"};
	mt_appender_t *appender = ctx;
	GPtrArray *sent_ids = appender->sent_ids;
	mt_ms_t wait = appender->spacing_ms;

	appender->sent_ids = NULL;
	mt_kernel_count(appender->kernel, "log_appends_total{result=\"%s\"}",
			names[result]);
	for (guint i = 0; i < sent_ids->len; i++) {
		mt_item_t *item = g_hash_table_lookup(appender->by_id,
						      sent_ids->pdata[i]);

		if (item)
			apply_append_result(appender, item, result);
	}
	g_ptr_array_unref(sent_ids);
	if (result == MT_APPEND_DONE) {
		appender->backoff = BACKOFF_MIN_MS;
	} else {
		wait = mt_kernel_jitter(appender->kernel, appender->backoff);
		appender->backoff = MIN(appender->backoff * 2, BACKOFF_MAX_MS);
	}
	appender->next_append = mt_kernel_now(appender->kernel) + wait;
	schedule_append(appender);
}

static void append_batch(void *ctx)
{
	mt_appender_t *appender = ctx;
	GPtrArray *records;

	appender->timer = 0;
	appender->sent_ids = g_ptr_array_new_with_free_func(g_free);
	records = pick_batch(appender);
	if (!records->len) {
		g_clear_pointer(&appender->sent_ids, g_ptr_array_unref);
		g_ptr_array_unref(records);
		return;
	}
	*mt_kernel_counter(appender->kernel, "log_records_sent_total") +=
		records->len;
	appender->log.append(appender->log.self, appender->stream, records,
			     on_appended, appender);
	g_ptr_array_unref(records);
}

void mt_appender_on_read_back(mt_appender_t *appender, GBytes *record,
			      uint64_t offset)
{
	mt_item_t *item = g_hash_table_lookup(appender->by_record, record);
	mt_read_back_cb cb;
	void *ctx;

	if (!item)
		return;
	cb = item->cb;
	ctx = item->ctx;
	free_item(appender, item);
	if (cb)
		cb(ctx, offset);
}

/** Requeues records that were appended but not read back in time. */
static void requeue_not_read_back(void *ctx)
{
	mt_appender_t *appender = ctx;
	mt_ms_t now = mt_kernel_now(appender->kernel);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, appender->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		mt_item_t *item = value;

		if (item->state != MT_ITEM_APPENDED ||
		    now < item->appended_at + READ_BACK_TIMEOUT_MS)
			continue;
		item->state = MT_ITEM_QUEUED;
		item->may_be_in_log = true;
		g_queue_push_tail(&appender->queues[item->priority], item);
	}
	schedule_append(appender);
}

guint mt_appender_pending(const mt_appender_t *appender)
{
	return g_hash_table_size(appender->by_id);
}
