/**
 * @file script_parse.c
 * Script commands for the decoders of mimosaturnd (lib/api, lib/net,
 * lib/settings): job requests, settings, and messages of the log, the platform,
 * backend servers and peers. Those of mimosaturn-entry are in script_adapter.c.
 *
 * "request" decodes a job request, which a client sends; "call" a server
 * request, which mimosaturnd sends to a backend server; and "reply" the server
 * reply, with which the backend server answers it.
 */
#include <string.h>

#include "api/job_request.h"
#include "net/http_ports.h"
#include "net/server_codec.h"
#include "settings/settings.h"
#include "unit/script.h"

static void *open_group(void)
{
	return NULL;
}

static void close_group(void *data)
{
	(void)data;
}

/**
 * Prints the decoded job request. "2 of 4 accelerators" stands for 2 members
 * with 4 accelerators each, and "once" for a job that is not idempotent.
 */
static void parse_job_request(const char *rest, GString *out)
{
	mt_job_request_t request;
	GError *error = NULL;

	if (!mt_job_request_parse(mt_str_from(rest), &request, &error)) {
		g_string_append_printf(out, "%s\n", error->message);
		g_error_free(error);
		return;
	}
	g_string_append_printf(
		out, "%s, %u of %u accelerators, %s, payload of %zu bytes\n",
		request.kind.text, request.spec.members,
		request.spec.accelerators,
		request.spec.idempotent ? "idempotent" : "once",
		g_bytes_get_size(request.payload));
	mt_job_request_clear(&request);
}

static void parse_settings(const char *rest, GString *out)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	mt_settings_t *settings = mt_settings_parse(mt_str_from(rest), errors);

	for (guint i = 0; i < errors->len; i++)
		g_string_append_printf(out, "%s\n", (char *)errors->pdata[i]);
	if (settings)
		g_string_append_printf(out, "%s in %s, %u peers\n",
				       settings->host.text, settings->dc.text,
				       settings->peers->len);
	mt_settings_free(settings);
	g_ptr_array_unref(errors);
}

static void parse_server_reply(const char *rest, GString *out)
{
	mt_server_reply_t reply;
	char *encoded;

	if (!mt_server_reply_decode(mt_str_from(rest), &reply)) {
		g_string_append(out, "malformed\n");
		return;
	}
	encoded = mt_server_reply_encode(&reply);
	g_string_append_printf(out, "%s\n", encoded);
	g_free(encoded);
	mt_server_reply_clear(&reply);
}

/** Decodes a request of mimosaturnd to a backend server. */
static void parse_server_request(const char *rest, GString *out)
{
	mt_server_request_t request;
	char *encoded;

	if (!mt_server_request_decode(mt_str_from(rest), &request)) {
		g_string_append(out, "malformed\n");
		return;
	}
	encoded = mt_server_request_encode(&request);
	g_string_append_printf(out, "%s\n", encoded);
	g_free(encoded);
	mt_server_request_clear(&request);
}

static void parse_page(const char *rest, GString *out)
{
	mt_log_page_t *page = mt_log_page_decode(mt_str_from(rest));

	if (!page) {
		g_string_append(out, "malformed\n");
		return;
	}
	g_string_append_printf(out, "%u records, next %" G_GUINT64_FORMAT "\n",
			       page->log_records->len, page->next);
	mt_log_page_free(page);
}

/** Decodes the platform's list of backend servers, which it names "hosts". */
static void parse_servers(const char *rest, GString *out)
{
	GArray *servers = mt_server_infos_decode(mt_str_from(rest));

	if (!servers) {
		g_string_append(out, "malformed\n");
		return;
	}
	g_string_append_printf(out, "%u servers\n", servers->len);
	g_array_unref(servers);
}

/**
 * Decodes bytes received from a peer, which are given in hexadecimal. Prints
 * the kind of the frame as its field number in mimosaturn.proto.
 */
static void parse_frame(const char *rest, GString *out)
{
	GByteArray *buffer = g_byte_array_new();
	MtPb__Frame *frame = NULL;

	for (; rest[0] && rest[1]; rest += 2) {
		guint8 byte = (guint8)(g_ascii_xdigit_value(rest[0]) << 4 |
				       g_ascii_xdigit_value(rest[1]));

		g_byte_array_append(buffer, &byte, 1);
	}
	if (!mt_frame_take(buffer, &frame))
		g_string_append(out, "malformed\n");
	else if (!frame)
		g_string_append(out, "more bytes needed\n");
	else
		g_string_append_printf(out, "frame %d, %u bytes left\n",
				       frame->body_case, buffer->len);
	mt_frame_free(frame);
	g_byte_array_unref(buffer);
}

static bool run_command(void *data, char **words, const char *rest,
			GString *out)
{
	if (!strcmp(words[0], "request"))
		parse_job_request(rest, out);
	else if (!strcmp(words[0], "settings"))
		parse_settings(rest, out);
	else if (!strcmp(words[0], "reply"))
		parse_server_reply(rest, out);
	else if (!strcmp(words[0], "call"))
		parse_server_request(rest, out);
	else if (!strcmp(words[0], "page"))
		parse_page(rest, out);
	else if (!strcmp(words[0], "hosts"))
		parse_servers(rest, out);
	else if (!strcmp(words[0], "frame"))
		parse_frame(rest, out);
	else
		return false;
	return true;
}

const mt_script_group_t mt_script_parse = {open_group, close_group,
					   run_command};
