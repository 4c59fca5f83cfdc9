/**
 * @file script_adapter.c
 * Script commands for the platform adapter, which is the part of
 * mimosaturn-entry in platform/. They run its decoders of server reports, the
 * configuration, submitted jobs and pages of the store, that of the program's
 * settings, and the check of a configuration.
 */
#include <string.h>
#include <unistd.h>

#include "net/json_util.h"
#include "platform/config_check.h"
#include "platform/config_json.h"
#include "platform/backend_json.h"
#include "platform/store_http.h"
#include "programs/entryd/settings.h"
#include "unit/script.h"

static void *open_group(void)
{
	return NULL;
}

static void close_group(void *group)
{
	(void)group;
}

/**
 * Prints the decoded report, or "no server to use" if it is malformed: a host
 * then lists no server. The last numbers are the capacity in thousandths of a
 * core, MB and accelerators, and after "stays" the time in ms until a planned
 * shutdown of the server. "stays 0" means that no shutdown is announced. "cold"
 * follows only if the server is cold, with the time in ms for which it is.
 */
static void show_report(const char *text, GString *out)
{
	mt_store_record_t record = {MT_STR("i-1"), mt_str_from(text), 0};
	mt_backend_info_t info = {0};

	if (mt_server_list_format.decode(&record, &info)) {
		g_string_append(out, "no server to use\n");
		mt_backend_info_clear(&info);
		return;
	}
	g_string_append_printf(
		out,
		"%s at %s:%u in %s, %s, rack %s, born %" G_GINT64_FORMAT
		", %u %u %u, stays %u",
		mt_shared_name_text(info.service), info.target.address.text,
		info.target.port, mt_shared_name_text(info.zone),
		info.draining ? "draining" : "ready",
		info.rack ? g_quark_to_string(info.rack) : "-", info.born_ms,
		info.capacity.cpu_milli, info.capacity.mem_mb,
		info.capacity.gpu, (unsigned)info.remaining_ms);
	if (info.cold_remaining_ms)
		g_string_append_printf(out, ", cold %" G_GUINT64_FORMAT,
				       info.cold_remaining_ms);
	g_string_append(out, "\n");
	mt_backend_info_clear(&info);
}

/**
 * Prints the decoded configuration, a catalog of queues and accounts. A route
 * of the configuration is decoded to a queue. "x4 1.5+500" stands for at most 4
 * attempts per task, a slack factor of 1.5 and a latency target of 500 ms. Of
 * the services, those with a limit for cold servers are printed.
 */
static void show_catalog(const char *text, GString *out)
{
	mt_catalog_t *catalog = mt_config_decode(mt_str_from(text));

	if (!catalog) {
		g_string_append(out, "no configuration\n");
		return;
	}
	g_string_append_printf(out, "version %" G_GUINT64_FORMAT "\n",
			       catalog->version);
	for (guint i = 0; i < catalog->queues->len; i++) {
		const mt_queue_t *queue = catalog->queues->pdata[i];

		g_string_append_printf(
			out,
			"queue %s %s%s service %s priority %u x%u %.1f+%u\n",
			queue->name.text, queue->url_host.text,
			queue->path_prefix, queue->service.text,
			queue->priority, queue->attempts_max,
			queue->slack_factor, queue->objective_extra_ms);
	}
	for (guint i = 0; i < catalog->accounts->len; i++) {
		const mt_client_account_t *account =
			catalog->accounts->pdata[i];

		g_string_append_printf(out, "account %s, %u keys, %u gpu\n",
				       account->name.text, account->keys->len,
				       account->guaranteed_gpu);
	}
	for (guint i = 0; i < catalog->services->len; i++) {
		const mt_service_t *service =
			&g_array_index(catalog->services, mt_service_t, i);

		g_string_append_printf(out, "service %s, cold %.1f/s\n",
				       service->name.text, service->cold_per_s);
	}
	mt_catalog_free(catalog);
}

/**
 * Prints the decoded job. "3 times from T each I" stands for 3 occurrences, the
 * first at Unix time T, at intervals of I ms; all are 0 for a job without a
 * schedule, which runs once. Each step is printed as its task count, its
 * thousandths of a core, memory in MB and accelerators, its estimated run time
 * and the number of steps that it depends on. "resumes" marks a step that
 * writes checkpoints, from which a later run resumes (`checkpointing`);
 * "lasting" marks one that runs until it is stopped. The label and the data
 * rack come last. For example, "4 x 500/256/0 900 ms after 1" is a step of 4
 * tasks with half a core, 256 MB and no accelerator each, which run for about
 * 900 ms and depend on 1 step.
 */
static void show_job(const char *text, GString *out)
{
	MtDag__Job *job = mt_job_decode(mt_str_from(text));

	if (!job) {
		g_string_append(out, "malformed\n");
		return;
	}
	g_string_append_printf(out,
			       "payload '%s', %u times from %" G_GINT64_FORMAT
			       " each %" G_GINT64_FORMAT "\n",
			       job->payload, job->repeat, job->start_at_ms,
			       job->interval_ms);
	for (size_t i = 0; i < job->n_steps; i++) {
		const MtDag__Step *step = job->steps[i];

		g_string_append_printf(
			out,
			"%u x %u/%u/%u %u ms after %zu%s%s%s%s '%s' '%s'\n",
			step->count, step->cpu_milli, step->mem_mb, step->gpu,
			step->estimate_ms, step->n_after,
			step->gang ? " gang" : "",
			step->same_rack ? " same-rack" : "",
			step->checkpointing ? " resumes" : "",
			step->lasting ? " lasting" : "", step->label,
			step->data_rack);
	}
	mt_dag__job__free_unpacked(job, NULL);
}

/**
 * Encodes a page of two records, truncates it to the number of bytes given in
 * `text` (all of it if none is given) and decodes it.
 */
static void show_page(const char *text, GString *out)
{
	mt_store_record_t sent[2] = {{MT_STR("key"), MT_STR("value"), 0},
				     {MT_STR("gone"), {0}, 0}};
	guint8 header[16] = {0};
	GByteArray *body = g_byte_array_new();
	GByteArray *records = mt_store_http_frame(sent, 2);
	GArray *decoded = g_array_new(FALSE, FALSE, sizeof(mt_store_record_t));
	uint64_t end = 0;
	guint64 len;
	mt_str_t page;

	/* Two 64-bit big-endian offsets: the topic's end (9) and its oldest
	 * readable record (0). The last byte of the first one is set. */
	header[7] = 9;
	g_byte_array_append(body, header, sizeof(header));
	g_byte_array_append(body, records->data, records->len);
	len = g_ascii_strtoull(text, NULL, 10);
	page = (mt_str_t){(const char *)body->data,
			  len ? MIN(len, body->len) : body->len};
	if (!mt_store_http_parse(page, 7, decoded, &end))
		g_string_append(out, "malformed\n");
	for (guint i = 0; i < decoded->len; i++) {
		const mt_store_record_t *record =
			&g_array_index(decoded, mt_store_record_t, i);

		g_string_append_printf(
			out, "%u: '%.*s' '%.*s'\n", (unsigned)record->offset,
			(int)record->key.len, record->key.data,
			(int)record->value.len, record->value.data);
	}
	g_string_append_printf(out, "end %u\n", (unsigned)end);
	g_array_unref(decoded);
	g_byte_array_unref(body);
	g_byte_array_unref(records);
}

/**
 * Prints the findings of a check. `text` is a JSON object with the
 * configuration as "config", and optionally the one in force as "in_force" and
 * the numbers of accelerators as "gpus" and "evacuated_gpus".
 */
static void show_config_check(const char *text, GString *out)
{
	json_t *input = mt_json_parse(mt_str_from(text));
	mt_check_capacity_t capacity = {0, 0};
	GArray *findings;

	mt_json_get_u32(input, "gpus", &capacity.gpus);
	mt_json_get_u32(input, "evacuated_gpus", &capacity.evacuated_gpus);
	findings =
		mt_config_check(json_object_get(input, "config"),
				json_object_get(input, "in_force"), &capacity);
	for (guint i = 0; i < findings->len; i++) {
		const mt_finding_t *finding =
			&g_array_index(findings, mt_finding_t, i);

		g_string_append_printf(out, "%s: %s\n",
				       mt_finding_kind_name(finding->kind),
				       finding->text);
	}
	if (!findings->len)
		g_string_append(out, "no findings\n");
	g_array_unref(findings);
	json_decref(input);
}

/** Prints the settings of the limits for clients that are not 0. */
static void show_limits(const mt_entry_settings_t *settings, GString *out)
{
	const mt_host_resources_t *resources = &settings->resources;

	if (resources->memory_mb)
		g_string_append_printf(out, ", memory %u MB",
				       resources->memory_mb);
	if (resources->max_fds)
		g_string_append_printf(out, ", %u descriptors",
				       resources->max_fds);
	if (settings->max_body_bytes)
		g_string_append_printf(out, ", bodies of %u bytes",
				       settings->max_body_bytes);
}

/** Prints what was read from a settings file of mimosaturn-entry, or why not.
 */
static void show_settings(const char *text, GString *out)
{
	mt_entry_settings_t settings;
	GError *error = NULL;
	char *path = NULL;
	int fd = g_file_open_tmp("settings-XXXXXX", &path, NULL);

	g_assert(fd >= 0);
	close(fd);
	g_file_set_contents(path, text, -1, NULL);
	if (mt_entry_settings_read(path, &settings, &error)) {
		g_string_append_printf(out, "%s in %s, evacuation %u ms",
				       settings.host.text, settings.dc.text,
				       (unsigned)settings.evacuation_ms);
		show_limits(&settings, out);
		g_string_append(out, "\n");
	} else {
		g_string_append_printf(out, "%s\n", error->message);
	}
	g_clear_error(&error);
	unlink(path);
	g_free(path);
}

static bool run(void *group, char **words, const char *rest, GString *out)
{
	(void)group;
	if (!strcmp(words[0], "report"))
		show_report(rest, out);
	else if (!strcmp(words[0], "operator-config"))
		show_catalog(rest, out);
	else if (!strcmp(words[0], "check-config"))
		show_config_check(rest, out);
	else if (!strcmp(words[0], "posted-job"))
		show_job(rest, out);
	else if (!strcmp(words[0], "records-page"))
		show_page(rest, out);
	else if (!strcmp(words[0], "entry-settings"))
		show_settings(rest, out);
	else
		return false;
	return true;
}

const mt_script_group_t mt_script_adapter = {open_group, close_group, run};
