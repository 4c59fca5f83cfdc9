/**
 * @file log_codec.c
 * Encodes and decodes the JSON bodies of the log service; declared in
 * http_ports.h.
 */
#include "net/http_ports.h"
#include "net/json_util.h"

char *mt_log_records_encode(GPtrArray *records)
{
	json_t *object = json_object();
	json_t *list = json_array();

	for (guint i = 0; i < records->len; i++) {
		json_t *item = json_object();

		mt_json_set_bytes(item, "data", records->pdata[i]);
		json_array_append_new(list, item);
	}
	json_object_set_new(object, "records", list);
	return mt_json_dump_decref(object);
}

GPtrArray *mt_log_records_decode(mt_str_t body)
{
	json_t *object = mt_json_parse(body);
	json_t *list = json_object_get(object, "records");
	GPtrArray *records = NULL;
	size_t i;
	json_t *item;

	if (json_is_array(list))
		records = g_ptr_array_new_with_free_func(
			(GDestroyNotify)g_bytes_unref);
	json_array_foreach(list, i, item)
	{
		GBytes *data = mt_json_get_bytes(item, "data");

		if (!data) {
			g_clear_pointer(&records, g_ptr_array_unref);
			break;
		}
		g_ptr_array_add(records, data);
	}
	json_decref(object);
	return records;
}

char *mt_log_page_encode(const mt_log_page_t *page)
{
	json_t *object = json_object();
	json_t *list = json_array();

	for (guint i = 0; i < page->log_records->len; i++) {
		const mt_log_record_t *record =
			&g_array_index(page->log_records, mt_log_record_t, i);
		json_t *item = json_object();

		mt_json_set_u64(item, "offset", record->offset);
		mt_json_set_u64(item, "at_ms", record->at_ms);
		mt_json_set_bytes(item, "data", record->data);
		json_array_append_new(list, item);
	}
	mt_json_set_u64(object, "first", page->first);
	mt_json_set_u64(object, "next", page->next);
	mt_json_set_u64(object, "now_ms", page->now_ms);
	mt_json_set_u64(object, "retention_ms", page->retention_ms);
	json_object_set_new(object, "records", list);
	return mt_json_dump_decref(object);
}

static bool decode_record(const json_t *item, mt_log_page_t *page)
{
	uint64_t offset;
	uint64_t at_ms;
	GBytes *data;

	if (!mt_json_get_u64(item, "offset", &offset) ||
	    !mt_json_get_u64(item, "at_ms", &at_ms))
		return false;
	data = mt_json_get_bytes(item, "data");
	if (!data)
		return false;
	mt_log_page_add(page, offset, at_ms, data);
	g_bytes_unref(data);
	return true;
}

mt_log_page_t *mt_log_page_decode(mt_str_t body)
{
	json_t *object = mt_json_parse(body);
	json_t *list = json_object_get(object, "records");
	mt_log_page_t *page = mt_log_page_new();
	bool ok = json_is_array(list) &&
		  mt_json_get_u64(object, "first", &page->first) &&
		  mt_json_get_u64(object, "next", &page->next) &&
		  mt_json_get_u64(object, "now_ms", &page->now_ms) &&
		  mt_json_get_u64(object, "retention_ms", &page->retention_ms);
	size_t i;
	json_t *item;

	json_array_foreach(list, i, item) ok = ok && decode_record(item, page);
	json_decref(object);
	if (!ok)
		g_clear_pointer(&page, mt_log_page_free);
	return page;
}
