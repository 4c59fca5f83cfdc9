/** @file cmd_lists.c Subcommands that check, compare and publish lists. */
#include <stdio.h>
#include <string.h>

#include "kernel/log_output.h"
#include "ctl.h"
#include "node/appender.h"
#include "node/list_sync.h"
#include "net/http_ports.h"

#define APPEND_SPACING_MS 10u
#define APPEND_QUEUE_RECORDS 16u

/**
 * Time-out for reading an edit back from the log. After that, the outcome of
 * the edit is unknown.
 */
#define PUBLISH_TIMEOUT_MS 15000u

/** Time-out for reading the lists in force at the start. */
#define OPEN_TIMEOUT_MS 5000u

/**
 * Reads the list stream of the log until the lists are up to date. After an
 * edit was submitted, reads on until it is accepted or rejected.
 */
typedef struct mt_editor_t {
	mt_ctl_t ctl;
	mt_lists_t *lists;
	mt_tail_t *tail;
	mt_appender_t *appender;
	GBytes *edit;  /**< packed record; NULL until it is submitted */
	GError *error; /**< why the edit was rejected */
	bool synced;   /**< the end of the stream was reached once */
	bool resolved; /**< the edit was accepted or rejected */
	bool accepted;
} mt_editor_t;

static void on_reset(void *ctx, uint64_t offset)
{
	mt_editor_t *editor = ctx;

	/* No edit is missed if reading starts at the first record of the
	 * stream. */
	if (!offset)
		mt_lists_set_complete(editor->lists);
}

/** Stores the outcome of the submitted edit and stops the loop. */
static void resolve(mt_editor_t *editor, bool accepted)
{
	editor->resolved = true;
	editor->accepted = accepted;
	mt_loop_stop(editor->ctl.loop);
}

static void on_record(void *ctx, const mt_log_record_t *log_record,
		      const MtPb__Record *record)
{
	mt_editor_t *editor = ctx;
	GError *error = NULL;
	bool accepted = false;

	if (record && record->body_case == MT_PB__RECORD__BODY_LIST_SNAPSHOT)
		mt_lists_apply_snapshot(editor->lists, log_record->at_ms,
					record->list_snapshot, NULL);
	if (!record || record->body_case != MT_PB__RECORD__BODY_LIST_EDIT)
		return;
	accepted = mt_lists_apply_edit(editor->lists, log_record->offset,
				       log_record->at_ms, record->list_edit,
				       &error);
	/*
	 * The log may contain the edit twice, see appender.h. The first copy
	 * decides the outcome.
	 */
	if (editor->edit && !editor->resolved &&
	    g_bytes_equal(editor->edit, log_record->data)) {
		editor->error = error;
		error = NULL;
		resolve(editor, accepted);
	}
	g_clear_error(&error);
	mt_appender_on_read_back(editor->appender, log_record->data,
				 log_record->offset);
}

static void on_page(void *ctx)
{
	mt_editor_t *editor = ctx;

	if (!mt_tail_is_synced(editor->tail) || editor->synced)
		return;
	editor->synced = true;
	mt_loop_stop(editor->ctl.loop);
}

static void on_timeout(void *ctx)
{
	mt_loop_stop(((mt_editor_t *)ctx)->ctl.loop);
}

/** Reads the lists in force. @return false if the log cannot be read */
static bool editor_open(mt_editor_t *editor, const char *log)
{
	mt_tail_handler_t handler = {editor, on_reset, on_record, on_page};
	mt_endpoint_t endpoint;
	mt_http_ports_t *ports;
	mt_log_port_t port;

	if (!mt_endpoint_parse(log, &endpoint))
		return false;
	editor->ctl = mt_ctl_new(g_random_int());
	editor->lists = mt_lists_new();
	ports = mt_http_ports_new(editor->ctl.kernel, editor->ctl.http,
				  &endpoint.address, endpoint.port);
	port = mt_http_ports_log(ports);
	editor->tail = mt_tail_new(editor->ctl.kernel, &port, MT_LIST_STREAM,
				   &handler);
	editor->appender =
		mt_appender_new(editor->ctl.kernel, &port, MT_LIST_STREAM,
				APPEND_SPACING_MS, APPEND_QUEUE_RECORDS);
	mt_tail_start(editor->tail);
	mt_timers_after(mt_loop_timers(editor->ctl.loop), OPEN_TIMEOUT_MS,
			on_timeout, editor);
	mt_loop_run(editor->ctl.loop);
	if (!editor->synced)
		mt_log_output_printf("mimosaturn: %s: the log does not answer",
				     log);
	return editor->synced;
}

static void submit_edit(mt_editor_t *editor, mt_list_t list,
			uint64_t base_version, const json_t *delta)
{
	MtPb__Record record = MT_PB__RECORD__INIT;
	MtPb__ListEdit edit = MT_PB__LIST_EDIT__INIT;
	guint32 id[4];

	for (size_t i = 0; i < G_N_ELEMENTS(id); i++)
		id[i] = g_random_int();
	edit.edit = (ProtobufCBinaryData){sizeof(id), (uint8_t *)id};
	edit.list = (char *)mt_list_name(list);
	edit.base_version = base_version;
	edit.delta = json_dumps(delta, JSON_COMPACT | JSON_SORT_KEYS);
	edit.author = (char *)g_get_user_name();
	record.body_case = MT_PB__RECORD__BODY_LIST_EDIT;
	record.list_edit = &edit;
	editor->edit = mt_record_pack(&record);
	mt_appender_submit(editor->appender, editor->edit, MT_PRIORITY_CRITICAL,
			   NULL, NULL);
	free(edit.delta);
}

static int report_outcome(const mt_editor_t *editor, mt_list_t list)
{
	if (!editor->resolved) {
		mt_log_output_printf(
			"mimosaturn: the edit was not read back from the log "
			"in time; it may still be accepted.\nRun "
			"'mimosaturn diff' to see.");
		return MT_EXIT_UNKNOWN;
	}
	if (editor->accepted) {
		printf("%s: version %" G_GUINT64_FORMAT " is in force\n",
		       mt_list_name(list),
		       mt_lists_version(editor->lists, list));
		return MT_EXIT_OK;
	}
	mt_log_output_printf("mimosaturn: rejected: %s",
			     editor->error->message);
	return g_error_matches(editor->error, MT_LISTS_ERROR,
			       MT_LISTS_ERROR_VERSION)
		       ? MT_EXIT_CONFLICT
		       : MT_EXIT_INVALID;
}

static bool is_empty_delta(const json_t *delta)
{
	return !json_object_size(json_object_get(delta, "set")) &&
	       !json_array_size(json_object_get(delta, "remove"));
}

static bool parse_list(const char *name, mt_list_t *list)
{
	if (mt_list_parse(name, list))
		return true;
	mt_log_output_printf("mimosaturn: %s: unknown list; use plans or usage",
			     name);
	return false;
}

static void print_delta(const json_t *delta)
{
	const char *name;
	json_t *entry;
	size_t i;

	json_object_foreach(json_object_get(delta, "set"), name, entry)
		printf("set    %s\n", name);
	json_array_foreach(json_object_get(delta, "remove"), i, entry)
		printf("remove %s\n", json_string_value(entry));
}

/**
 * Opens the editor, reads the file and checks it as the new content of a list,
 * together with the other list in force. Sets `*delta` to the change from the
 * list in force to the file.
 * @return MT_EXIT_OK or the exit code
 */
static int prepare_edit(mt_editor_t *editor, const char *log,
			const char *list_name, const char *path,
			mt_list_t *list, json_t **delta)
{
	GError *error = NULL;
	json_t *content;
	int code = MT_EXIT_OK;

	if (!parse_list(list_name, list))
		return MT_EXIT_USAGE;
	content = mt_ctl_read_json(path);
	if (!content)
		return MT_EXIT_USAGE;
	if (!editor_open(editor, log)) {
		code = MT_EXIT_UNKNOWN;
	} else if (!mt_lists_check(editor->lists, *list, content, &error)) {
		mt_log_output_printf("mimosaturn: %s: %s", path,
				     error->message);
		g_error_free(error);
		code = MT_EXIT_INVALID;
	} else {
		*delta = mt_lists_diff(mt_lists_content(editor->lists, *list),
				       content);
	}
	json_decref(content);
	return code;
}

int mt_cmd_publish(int argc, char **argv)
{
	struct arg_str *log =
		arg_str1(NULL, "log", "IP:PORT", "the platform's log service");
	struct arg_str *list = arg_str1(NULL, "list", "NAME", "plans or usage");
	struct arg_int *base = arg_int0(NULL, "base-version", "N",
					"version that the file was made from "
					"(default: the one in force)");
	struct arg_file *file = arg_file1(NULL, NULL, "FILE", "the new list");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {log, list, base, file, help, end};
	mt_editor_t editor = {0};
	json_t *delta = NULL;
	mt_list_t list_id;
	uint64_t version;
	int code;

	if (!mt_ctl_parse(
		    argc, argv, table, help, end,
		    "Examples:\n"
		    "  mimosaturn publish --log 10.0.0.9:7000 --list "
		    "usage usage.json\n"
		    "  mimosaturn publish --log 10.0.0.9:7000 --list "
		    "plans --base-version 41 plans.json\n\n"
		    "Exit codes: 0 the list is in force, 2 bad command "
		    "line or file,\n3 the list is invalid, 4 another edit "
		    "came first, 5 outcome unknown.\n",
		    &code))
		return code;
	code = prepare_edit(&editor, log->sval[0], list->sval[0],
			    file->filename[0], &list_id, &delta);
	if (code != MT_EXIT_OK)
		return code;
	version = mt_lists_version(editor.lists, list_id);
	if (is_empty_delta(delta)) {
		printf("%s: version %" G_GUINT64_FORMAT
		       " is in force and equal to the file\n",
		       mt_list_name(list_id), version);
		return MT_EXIT_OK;
	}
	if (base->count)
		version = (uint64_t)base->ival[0];
	submit_edit(&editor, list_id, version, delta);
	mt_timers_after(mt_loop_timers(editor.ctl.loop), PUBLISH_TIMEOUT_MS,
			on_timeout, &editor);
	mt_loop_run(editor.ctl.loop);
	return report_outcome(&editor, list_id);
}

int mt_cmd_diff(int argc, char **argv)
{
	struct arg_str *log =
		arg_str1(NULL, "log", "IP:PORT", "the platform's log service");
	struct arg_str *list = arg_str1(NULL, "list", "NAME", "plans or usage");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_file *file = arg_file1(NULL, NULL, "FILE", "the new list");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {log, list, json, file, help, end};
	mt_editor_t editor = {0};
	json_t *delta = NULL;
	mt_list_t list_id;
	int code;

	if (!mt_ctl_parse(argc, argv, table, help, end,
			  "Examples:\n"
			  "  mimosaturn diff --log 10.0.0.9:7000 --list usage "
			  "usage.json\n\n"
			  "Exit codes: 0 shown, 2 bad command line or file,\n"
			  "3 the list is invalid, 5 no answer.\n",
			  &code))
		return code;
	code = prepare_edit(&editor, log->sval[0], list->sval[0],
			    file->filename[0], &list_id, &delta);
	if (code != MT_EXIT_OK)
		return code;
	if (json->count) {
		json_dumpf(delta, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
		printf("\n");
	} else {
		printf("against version %" G_GUINT64_FORMAT ":\n",
		       mt_lists_version(editor.lists, list_id));
		print_delta(delta);
	}
	json_decref(delta);
	return MT_EXIT_OK;
}

/** Applies the contents as version 1 of the lists, which checks them. */
static bool apply_contents(json_t *const contents[MT_LIST_COUNT],
			   GError **error)
{
	mt_lists_t *lists = mt_lists_new();
	MtPb__ListSnapshot snapshot = MT_PB__LIST_SNAPSHOT__INIT;
	MtPb__ListState states[MT_LIST_COUNT];
	MtPb__ListState *pointers[MT_LIST_COUNT];

	for (int i = 0; i < MT_LIST_COUNT; i++) {
		mt_pb__list_state__init(&states[i]);
		states[i].list = (char *)mt_list_name((mt_list_t)i);
		states[i].version = 1;
		states[i].content = json_dumps(contents[i], JSON_COMPACT);
		pointers[i] = &states[i];
	}
	snapshot.n_states = MT_LIST_COUNT;
	snapshot.states = pointers;
	return mt_lists_apply_snapshot(lists, 0, &snapshot, error) &&
	       mt_lists_check(lists, MT_LIST_PLANS, contents[MT_LIST_PLANS],
			      error);
}

int mt_cmd_check_lists(int argc, char **argv)
{
	struct arg_file *usage =
		arg_file1(NULL, "usage", "FILE", "what each plan may use");
	struct arg_file *plans =
		arg_file1(NULL, "plans", "FILE", "accounts and their plans");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {usage, plans, help, end};
	json_t *contents[MT_LIST_COUNT];
	GError *error = NULL;
	int code;

	if (!mt_ctl_parse(argc, argv, table, help, end,
			  "Examples:\n"
			  "  mimosaturn check --usage usage.json --plans "
			  "plans.json\n\n"
			  "Exit codes: 0 both lists are valid, 2 bad command "
			  "line or file,\n3 a list is invalid.\n",
			  &code))
		return code;
	contents[MT_LIST_PLANS] = mt_ctl_read_json(plans->filename[0]);
	contents[MT_LIST_USAGE] = mt_ctl_read_json(usage->filename[0]);
	if (!contents[MT_LIST_PLANS] || !contents[MT_LIST_USAGE])
		return MT_EXIT_USAGE;
	if (!apply_contents(contents, &error)) {
		mt_log_output_printf("mimosaturn: %s", error->message);
		return MT_EXIT_INVALID;
	}
	printf("both lists are valid: %zu accounts, %zu plans\n",
	       json_object_size(contents[MT_LIST_PLANS]),
	       json_object_size(contents[MT_LIST_USAGE]));
	return MT_EXIT_OK;
}

int mt_cmd_digest(int argc, char **argv)
{
	struct arg_str *key = arg_str1(NULL, NULL, "KEY", "the API key");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {key, help, end};
	char *digest;
	int code;

	if (!mt_ctl_parse(argc, argv, table, help, end,
			  "Examples:\n  mimosaturn digest my-secret-key\n",
			  &code))
		return code;
	digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key->sval[0],
					       -1);
	printf("%s\n", digest);
	g_free(digest);
	return MT_EXIT_OK;
}
