/**
 * @file script_log.c
 * Script commands for the appender: group commit, and the confirmation of
 * records that are read back from the log.
 */
#include <string.h>

#include "node/appender.h"
#include "unit/script.h"

typedef struct mt_log_fixture_t {
	mt_timers_t *timers;
	mt_kernel_t *kernel;
	mt_appender_t *appender;
	GHashTable *ids; /**< text of a record to its id */
	GString *out;
	mt_append_cb cb; /**< of the pending append */
	void *cb_ctx;
	uint64_t offset;
} mt_log_fixture_t;

static void on_append(void *self, const char *stream, GPtrArray *records,
		      mt_append_cb cb, void *ctx)
{
	mt_log_fixture_t *fixture = self;

	fixture->cb = cb;
	fixture->cb_ctx = ctx;
	g_string_append(fixture->out, "append");
	for (guint i = 0; i < records->len; i++)
		g_string_append_printf(fixture->out, " %.*s",
				       (int)g_bytes_get_size(records->pdata[i]),
				       (const char *)g_bytes_get_data(
					       records->pdata[i], NULL));
	g_string_append(fixture->out, "\n");
}

static void on_read(void *self, const char *stream, uint64_t from,
		    uint32_t wait_ms, mt_read_cb cb, void *ctx)
{
	g_assert_not_reached();
}

/**
 * The appender waits 50 ms from one append to the next; its queue holds 3
 * records that are not critical.
 */
static void *open_group(void)
{
	mt_log_fixture_t *fixture = g_new0(mt_log_fixture_t, 1);
	mt_log_port_t port = {fixture, on_append, on_read};

	fixture->timers = mt_timers_new(0);
	fixture->kernel = mt_kernel_new("test", fixture->timers, 1);
	fixture->appender =
		mt_appender_new(fixture->kernel, &port, "jobs", 50, 3);
	fixture->ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return fixture;
}

static void close_group(void *data)
{
	mt_log_fixture_t *fixture = data;

	mt_appender_free(fixture->appender);
	mt_kernel_free(fixture->kernel);
	mt_timers_free(fixture->timers);
	g_hash_table_destroy(fixture->ids);
	g_free(fixture);
}

static void on_written(void *ctx, uint64_t offset)
{
	mt_log_fixture_t *fixture = ctx;

	g_string_append_printf(fixture->out,
			       "written at %" G_GUINT64_FORMAT "\n", offset);
}

static void submit(mt_log_fixture_t *fixture, char **words)
{
	GBytes *record = g_bytes_new(words[1], strlen(words[1]));
	uint64_t id = mt_appender_submit(fixture->appender, record,
					 mt_script_flag(words, "critical")
						 ? MT_PRIORITY_CRITICAL
						 : MT_PRIORITY_NORMAL,
					 on_written, fixture);

	g_hash_table_insert(fixture->ids, g_strdup(words[1]),
			    g_memdup2(&id, sizeof(id)));
	if (!id)
		g_string_append(fixture->out, "queue full\n");
	g_bytes_unref(record);
}

static void answer(mt_log_fixture_t *fixture, const char *rest)
{
	mt_append_result_t result = MT_APPEND_DONE;

	if (!strcmp(rest, "refused"))
		result = MT_APPEND_NOT_DONE;
	if (!strcmp(rest, "lost"))
		result = MT_APPEND_UNKNOWN;
	fixture->cb(fixture->cb_ctx, result);
}

static bool run_command(void *data, char **words, const char *rest,
			GString *out)
{
	mt_log_fixture_t *fixture = data;

	fixture->out = out;
	if (!strcmp(words[0], "submit")) {
		submit(fixture, words);
	} else if (!strcmp(words[0], "answer")) {
		answer(fixture, rest);
	} else if (!strcmp(words[0], "sleep")) {
		mt_timers_advance(fixture->timers,
				  mt_timers_now(fixture->timers) +
					  g_ascii_strtoull(rest, NULL, 10));
	} else if (!strcmp(words[0], "read-back")) {
		GBytes *record = g_bytes_new(rest, strlen(rest));

		mt_appender_on_read_back(fixture->appender, record,
					 fixture->offset++);
		g_bytes_unref(record);
	} else if (!strcmp(words[0], "withdraw")) {
		const uint64_t *id = g_hash_table_lookup(fixture->ids, rest);

		g_string_append_printf(
			out, "%s\n",
			mt_appender_withdraw(fixture->appender, *id)
				? "proven not written"
				: "may be written");
	} else if (!strcmp(words[0], "pending")) {
		g_string_append_printf(out, "%u\n",
				       mt_appender_pending(fixture->appender));
	} else {
		return false;
	}
	return true;
}

const mt_script_group_t mt_script_log = {open_group, close_group, run_command};
