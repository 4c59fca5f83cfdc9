/**
 * @file log_model.c
 * In-memory append-only log. A "record" is the bytes that were appended; an
 * mt_log_record_t adds their offset and time.
 */
#include "model/log_model.h"

/** Maximum records of one page. Further records need another read. */
#define READ_MAX_RECORDS 512

typedef struct mt_stream_t {
	uint64_t first;		/**< offset of the oldest retained record */
	GPtrArray *log_records; /**< of mt_log_record_t */
} mt_stream_t;

struct mt_log_model_t {
	GHashTable *streams; /**< stream name to mt_stream_t */
	uint64_t retention_ms;
	uint64_t appends; /**< calls of mt_log_model_append() */
	uint64_t bytes;	  /**< of all records ever appended */
};

static void free_log_record(gpointer data)
{
	mt_log_record_t *log_record = data;

	if (!log_record)
		return;
	g_bytes_unref(log_record->data);
	g_free(log_record);
}

static void free_stream(gpointer data)
{
	mt_stream_t *stream = data;

	g_ptr_array_unref(stream->log_records);
	g_free(stream);
}

mt_log_model_t *mt_log_model_new(uint64_t retention_ms)
{
	mt_log_model_t *log = g_new0(mt_log_model_t, 1);

	log->retention_ms = retention_ms;
	log->streams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     free_stream);
	return log;
}

void mt_log_model_free(mt_log_model_t *log)
{
	g_hash_table_destroy(log->streams);
	g_free(log);
}

static mt_stream_t *get_or_add_stream(mt_log_model_t *log, const char *name)
{
	mt_stream_t *stream = g_hash_table_lookup(log->streams, name);

	if (!stream) {
		stream = g_new0(mt_stream_t, 1);
		stream->log_records =
			g_ptr_array_new_with_free_func(free_log_record);
		g_hash_table_insert(log->streams, g_strdup(name), stream);
	}
	return stream;
}

void mt_log_model_append(mt_log_model_t *log, const char *stream,
			 uint64_t now_ms, GPtrArray *records)
{
	mt_stream_t *target = get_or_add_stream(log, stream);

	for (guint i = 0; i < records->len; i++) {
		mt_log_record_t *log_record = g_new0(mt_log_record_t, 1);

		log_record->offset = target->first + target->log_records->len;
		log_record->at_ms = now_ms;
		log_record->data = g_bytes_ref(records->pdata[i]);
		log->bytes += g_bytes_get_size(log_record->data);
		g_ptr_array_add(target->log_records, log_record);
	}
	log->appends++;
}

static void drop_expired(mt_log_model_t *log, mt_stream_t *stream,
			 uint64_t now_ms)
{
	guint expired = 0;

	while (expired < stream->log_records->len) {
		mt_log_record_t *log_record =
			stream->log_records->pdata[expired];

		if (log_record->at_ms + log->retention_ms >= now_ms)
			break;
		expired++;
	}
	if (expired) {
		g_ptr_array_remove_range(stream->log_records, 0, expired);
		stream->first += expired;
	}
}

mt_log_page_t *mt_log_model_read(mt_log_model_t *log, const char *stream,
				 uint64_t from, uint64_t now_ms)
{
	mt_stream_t *source = get_or_add_stream(log, stream);
	mt_log_page_t *page = mt_log_page_new();
	guint index;

	drop_expired(log, source, now_ms);
	page->first = source->first;
	page->next = source->first + source->log_records->len;
	page->now_ms = now_ms;
	page->retention_ms = log->retention_ms;
	index = from > source->first ? (guint)(from - source->first) : 0;
	for (; index < source->log_records->len; index++) {
		mt_log_record_t *log_record = source->log_records->pdata[index];

		if (page->log_records->len >= READ_MAX_RECORDS)
			break;
		mt_log_page_add(page, log_record->offset, log_record->at_ms,
				log_record->data);
	}
	return page;
}

uint64_t mt_log_model_next(mt_log_model_t *log, const char *stream)
{
	mt_stream_t *source = get_or_add_stream(log, stream);

	return source->first + source->log_records->len;
}

uint64_t mt_log_model_appends(const mt_log_model_t *log)
{
	return log->appends;
}

uint64_t mt_log_model_bytes(const mt_log_model_t *log)
{
	return log->bytes;
}
