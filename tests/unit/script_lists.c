/**
 * @file script_lists.c
 * Script commands for the operators' lists: "usage" defines plans with their
 * guarantees and limits, and "plans" assigns one of these to each account.
 */
#include <string.h>

#include "lists/lists.h"
#include "unit/script.h"
#include "wire/codec.h"

typedef struct mt_lists_fixture_t {
	mt_lists_t *lists;
	uint64_t offset;
} mt_lists_fixture_t;

static void *open_group(void)
{
	mt_lists_fixture_t *fixture = g_new0(mt_lists_fixture_t, 1);

	fixture->lists = mt_lists_new();
	mt_lists_set_complete(fixture->lists);
	return fixture;
}

static void close_group(void *data)
{
	mt_lists_fixture_t *fixture = data;

	mt_lists_free(fixture->lists);
	g_free(fixture);
}

static void edit(mt_lists_fixture_t *fixture, char **words, const char *rest,
		 GString *out)
{
	MtPb__ListEdit record = MT_PB__LIST_EDIT__INIT;
	GError *error = NULL;
	mt_list_t list = MT_LIST_PLANS;

	record.list = words[1];
	record.base_version = g_ascii_strtoull(words[2], NULL, 10);
	record.delta = (char *)strchr(rest, '{');
	if (mt_lists_apply_edit(fixture->lists, fixture->offset++, 0, &record,
				&error)) {
		mt_list_parse(words[1], &list);
		g_string_append_printf(out, "version %" G_GUINT64_FORMAT "\n",
				       mt_lists_version(fixture->lists, list));
		return;
	}
	g_string_append_printf(out, "%s\n", error->message);
	g_error_free(error);
}

/** Replaces the lists by empty ones and applies a snapshot of the old ones. */
static void restart_lists(mt_lists_fixture_t *fixture, GString *out)
{
	GBytes *packed = mt_lists_pack_snapshot(fixture->lists);
	MtPb__Record *record = mt_record_unpack(packed);

	mt_lists_free(fixture->lists);
	fixture->lists = mt_lists_new();
	g_string_append_printf(out, "%s\n",
			       mt_lists_complete(fixture->lists)
				       ? "complete"
				       : "waits for a snapshot");
	mt_lists_apply_snapshot(fixture->lists, 0, record->list_snapshot, NULL);
	mt_record_free(record);
	g_bytes_unref(packed);
}

static void show(mt_lists_fixture_t *fixture, GString *out)
{
	for (int i = 0; i < MT_LIST_COUNT; i++) {
		char *text = json_dumps(
			mt_lists_content(fixture->lists, (mt_list_t)i),
			JSON_COMPACT | JSON_SORT_KEYS);

		g_string_append_printf(
			out, "%s %" G_GUINT64_FORMAT " %s\n",
			mt_list_name((mt_list_t)i),
			mt_lists_version(fixture->lists, (mt_list_t)i), text);
		free(text);
	}
}

static bool run_command(void *data, char **words, const char *rest,
			GString *out)
{
	mt_lists_fixture_t *fixture = data;

	if (!strcmp(words[0], "edit")) {
		edit(fixture, words, rest, out);
	} else if (!strcmp(words[0], "restart-lists")) {
		restart_lists(fixture, out);
	} else if (!strcmp(words[0], "show-lists")) {
		show(fixture, out);
	} else if (!strcmp(words[0], "who-has-key")) {
		const mt_account_t *account = mt_lists_authenticate(
			fixture->lists, mt_str_from(rest));

		g_string_append_printf(out, "%s\n",
				       account ? account->name.text : "nobody");
	} else {
		return false;
	}
	return true;
}

const mt_script_group_t mt_script_lists = {open_group, close_group,
					   run_command};
