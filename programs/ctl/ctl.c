/** @file ctl.c Shared helpers of the subcommands. */
#include "ctl.h"

#include <stdio.h>
#include <string.h>

#include "kernel/log_output.h"

#define FETCH_TIMEOUT_MS 3000u

mt_ctl_t mt_ctl_new(guint32 seed)
{
	mt_ctl_t ctl;

	ctl.loop = mt_loop_new();
	ctl.kernel =
		mt_kernel_new("mimosaturn", mt_loop_timers(ctl.loop), seed);
	mt_kernel_set_level(ctl.kernel, MT_LOG_ERR);
	ctl.http = mt_http_client_new(ctl.loop);
	return ctl;
}

bool mt_endpoint_parse(const char *text, mt_endpoint_t *endpoint)
{
	const char *colon = strrchr(text, ':');
	uint64_t port;

	if (colon && mt_str_to_u64(mt_str_from(colon + 1), &port) && port &&
	    port <= UINT16_MAX) {
		endpoint->address =
			mt_name_from((mt_str_t){text, (size_t)(colon - text)});
		endpoint->port = (uint16_t)port;
		return true;
	}
	mt_log_output_printf("mimosaturn: %s: an address is IP:PORT", text);
	return false;
}

GArray *mt_endpoints_parse(const char *text)
{
	GArray *endpoints = g_array_new(FALSE, TRUE, sizeof(mt_endpoint_t));
	char **parts = g_strsplit(text, ",", -1);

	for (char **part = parts; *part; part++) {
		mt_endpoint_t endpoint;

		if (!mt_endpoint_parse(*part, &endpoint)) {
			g_clear_pointer(&endpoints, g_array_unref);
			break;
		}
		g_array_append_val(endpoints, endpoint);
	}
	g_strfreev(parts);
	return endpoints;
}

json_t *mt_ctl_read_json(const char *path)
{
	json_error_t error;
	json_t *value = json_load_file(path, JSON_REJECT_DUPLICATES, &error);

	if (!value)
		mt_log_output_printf("mimosaturn: %s: line %d, column %d: %s",
				     path, error.line, error.column,
				     error.text);
	return value;
}

typedef struct mt_fetch_t {
	mt_ctl_t *ctl;
	json_t *responses;
	size_t index;
	size_t *pending; /**< responses still awaited; shared by all fetches */
} mt_fetch_t;

static void on_response(void *ctx, const mt_http_response_t *response)
{
	mt_fetch_t *fetch = ctx;
	json_t *value = NULL;

	if (response->result == MT_HTTP_RESPONSE && response->status == 200)
		value = json_loadb(response->body.data, response->body.len, 0,
				   NULL);
	if (value)
		json_array_set_new(fetch->responses, fetch->index, value);
	if (!--*fetch->pending)
		mt_loop_stop(fetch->ctl->loop);
	g_free(fetch);
}

json_t *mt_ctl_fetch_all(mt_ctl_t *ctl, const GArray *endpoints,
			 const char *path)
{
	json_t *responses = json_array();
	size_t pending = endpoints->len;

	for (guint i = 0; i < endpoints->len; i++) {
		const mt_endpoint_t *endpoint =
			&g_array_index(endpoints, mt_endpoint_t, i);
		mt_http_request_t request = {endpoint->address,
					     endpoint->port,
					     "GET",
					     path,
					     NULL,
					     {0},
					     FETCH_TIMEOUT_MS,
					     0};
		mt_fetch_t *fetch = g_new0(mt_fetch_t, 1);

		*fetch = (mt_fetch_t){ctl, responses, i, &pending};
		json_array_append_new(responses, json_null());
		mt_http_send(ctl->http, &request, on_response, fetch);
	}
	if (pending)
		mt_loop_run(ctl->loop);
	return responses;
}

bool mt_ctl_parse(int argc, char **argv, void **table, struct arg_lit *help,
		  struct arg_end *end, const char *examples, int *code)
{
	int errors = arg_parse(argc, argv, table);
	mt_log_file_t out;

	if (help->count) {
		printf("Usage: mimosaturn %s", argv[0]);
		arg_print_syntax(stdout, table, "\n\n");
		arg_print_glossary(stdout, table, "  %-28s %s\n");
		printf("\n%s", examples);
		*code = MT_EXIT_OK;
		return false;
	}
	if (errors) {
		mt_log_file_open(&out);
		arg_print_errors(out.file, end, "mimosaturn");
		mt_log_file_close(&out, MT_LOG_MESSAGES);
		mt_log_output_printf("Try 'mimosaturn %s --help'.", argv[0]);
		*code = MT_EXIT_USAGE;
		return false;
	}
	return true;
}
