/** @file port_types.c Helpers for the types in log_port.h and server_port.h. */
#include "net/log_port.h"
#include "net/server_port.h"

static void clear_record(gpointer data)
{
	mt_log_record_t *record = data;

	g_bytes_unref(record->data);
}

mt_log_page_t *mt_log_page_new(void)
{
	mt_log_page_t *page = g_new0(mt_log_page_t, 1);

	page->log_records = g_array_new(FALSE, FALSE, sizeof(mt_log_record_t));
	g_array_set_clear_func(page->log_records, clear_record);
	return page;
}

void mt_log_page_add(mt_log_page_t *page, uint64_t offset, uint64_t at_ms,
		     GBytes *data)
{
	mt_log_record_t record = {offset, at_ms, g_bytes_ref(data)};

	g_array_append_val(page->log_records, record);
}

void mt_log_page_free(mt_log_page_t *page)
{
	if (!page)
		return;
	g_array_unref(page->log_records);
	g_free(page);
}

void mt_server_reply_clear(mt_server_reply_t *reply)
{
	g_clear_pointer(&reply->reason, g_free);
	g_clear_pointer(&reply->tasks, g_array_unref);
	g_clear_pointer(&reply->result, g_bytes_unref);
}

const char *mt_task_state_name(mt_task_state_t state)
{
	static const char *const names[MT_TASK_STATE_COUNT] = {
		"held",	   "running",	   "finished", "failed",
		"stopped", "checkpointed", "lapsed"};

	g_assert(state < MT_TASK_STATE_COUNT);
	return names[state];
}

bool mt_task_state_is_final(mt_task_state_t state)
{
	return state != MT_TASK_HELD && state != MT_TASK_RUNNING;
}
