/** @file http_ports.c Log service, servers and server list over HTTP. */
#include "net/http_ports.h"

#include "net/server_codec.h"

/* Time-outs of calls, in addition to the wait that a call requests, if any. */
#define LOG_TIMEOUT_MS 3000u
#define SERVER_LIST_TIMEOUT_MS 2000u
#define SERVER_TIMEOUT_MS 2000u

#define HTTP_OK 200
#define HTTP_CONFLICT 409
#define HTTP_UNAVAILABLE 503

struct mt_http_ports_t {
	mt_kernel_t *kernel;
	mt_http_client_t *client;
	mt_name_t address;
	uint16_t tcp_port;
};

/** A call in progress. Exactly one of the callbacks is set. */
typedef struct mt_port_call_t {
	mt_http_ports_t *ports;
	mt_append_cb on_append;
	mt_read_cb on_read;
	mt_server_cb on_server;
	mt_server_list_cb on_server_list;
	void *ctx;
} mt_port_call_t;

mt_http_ports_t *mt_http_ports_new(mt_kernel_t *kernel,
				   mt_http_client_t *client,
				   const mt_name_t *address, uint16_t port)
{
	mt_http_ports_t *ports = g_new0(mt_http_ports_t, 1);

	ports->kernel = kernel;
	ports->client = client;
	ports->address = *address;
	ports->tcp_port = port;
	return ports;
}

static mt_port_call_t *new_call(mt_http_ports_t *ports, void *ctx)
{
	mt_port_call_t *call = g_new0(mt_port_call_t, 1);

	call->ports = ports;
	call->ctx = ctx;
	return call;
}

static bool is_ok(const mt_http_response_t *response)
{
	return response->result == MT_HTTP_RESPONSE &&
	       response->status == HTTP_OK;
}

static void count_malformed(mt_http_ports_t *ports, const char *service)
{
	mt_kernel_count(ports->kernel,
			"platform_answers_malformed_total{service=\"%s\"}",
			service);
}

/* Log service. */

static void on_append_response(void *ctx, const mt_http_response_t *response)
{
	mt_port_call_t *call = ctx;
	mt_append_result_t result = MT_APPEND_UNKNOWN;

	/* With status 503 or without a connection, nothing was appended. After
	 * any other failure, the outcome is unknown. */
	if (is_ok(response))
		result = MT_APPEND_DONE;
	else if (response->result == MT_HTTP_NOT_SENT ||
		 (response->result == MT_HTTP_RESPONSE &&
		  response->status == HTTP_UNAVAILABLE))
		result = MT_APPEND_NOT_DONE;
	call->on_append(call->ctx, result);
	g_free(call);
}

static void append(void *self, const char *stream, GPtrArray *records,
		   mt_append_cb cb, void *ctx)
{
	mt_http_ports_t *ports = self;
	mt_port_call_t *call = new_call(ports, ctx);
	char *path = g_strdup_printf("/v1/log/%s", stream);
	char *body = mt_log_records_encode(records);
	mt_http_request_t request = {
		ports->address, ports->tcp_port,   "POST",	   path,
		NULL,		mt_str_from(body), LOG_TIMEOUT_MS, 0};

	call->on_append = cb;
	mt_http_send(ports->client, &request, on_append_response, call);
	g_free(body);
	g_free(path);
}

static void on_read_response(void *ctx, const mt_http_response_t *response)
{
	mt_port_call_t *call = ctx;
	mt_log_page_t *page = NULL;

	if (is_ok(response)) {
		page = mt_log_page_decode(response->body);
		if (!page)
			count_malformed(call->ports, "log");
	}
	call->on_read(call->ctx, page);
	g_free(call);
}

static void read_log(void *self, const char *stream, uint64_t from,
		     uint32_t wait_ms, mt_read_cb cb, void *ctx)
{
	mt_http_ports_t *ports = self;
	mt_port_call_t *call = new_call(ports, ctx);
	char *path = g_strdup_printf("/v1/log/%s?from=%" G_GUINT64_FORMAT
				     "&wait_ms=%u",
				     stream, from, wait_ms);
	mt_http_request_t request = {ports->address,
				     ports->tcp_port,
				     "GET",
				     path,
				     NULL,
				     {0},
				     wait_ms + LOG_TIMEOUT_MS,
				     0};

	call->on_read = cb;
	mt_http_send(ports->client, &request, on_read_response, call);
	g_free(path);
}

mt_log_port_t mt_http_ports_log(mt_http_ports_t *ports)
{
	return (mt_log_port_t){ports, append, read_log};
}

/* Backend servers. */

static void on_server_response(void *ctx, const mt_http_response_t *response)
{
	mt_port_call_t *call = ctx;
	mt_server_reply_t reply = {.status = MT_REPLY_UNKNOWN};
	/* With status 409, the reply says why the command was not done. */
	bool usable = response->result == MT_HTTP_RESPONSE &&
		      (response->status == HTTP_OK ||
		       response->status == HTTP_CONFLICT);

	if (usable && !mt_server_reply_decode(response->body, &reply)) {
		count_malformed(call->ports, "server");
		reply = (mt_server_reply_t){.status = MT_REPLY_UNKNOWN};
	}
	call->on_server(call->ctx, &reply);
	mt_server_reply_clear(&reply);
	g_free(call);
}

static void call_server(void *self, const mt_server_info_t *server,
			const mt_server_request_t *request, mt_server_cb cb,
			void *ctx)
{
	mt_http_ports_t *ports = self;
	mt_port_call_t *call = new_call(ports, ctx);
	char *path = g_strdup_printf("/v1/servers/%s", server->id.text);
	char *body = mt_server_request_encode(request);
	mt_http_request_t http_request = {server->address,
					  server->port,
					  "POST",
					  path,
					  NULL,
					  mt_str_from(body),
					  request->wait_ms + SERVER_TIMEOUT_MS,
					  0};

	call->on_server = cb;
	mt_http_send(ports->client, &http_request, on_server_response, call);
	g_free(body);
	g_free(path);
}

mt_server_port_t mt_http_ports_server(mt_http_ports_t *ports)
{
	return (mt_server_port_t){ports, call_server};
}

/* Server list. */

static void on_server_list_response(void *ctx,
				    const mt_http_response_t *response)
{
	mt_port_call_t *call = ctx;
	GArray *servers = NULL;

	if (is_ok(response)) {
		servers = mt_server_infos_decode(response->body);
		if (!servers)
			count_malformed(call->ports, "hosts");
	}
	call->on_server_list(call->ctx, servers);
	if (servers)
		g_array_unref(servers);
	g_free(call);
}

static void fetch_server_list(void *self, mt_server_list_cb cb, void *ctx)
{
	mt_http_ports_t *ports = self;
	mt_port_call_t *call = new_call(ports, ctx);
	/* The platform says "hosts" for backend servers. */
	mt_http_request_t request = {ports->address,
				     ports->tcp_port,
				     "GET",
				     "/v1/hosts",
				     NULL,
				     {0},
				     SERVER_LIST_TIMEOUT_MS,
				     0};

	call->on_server_list = cb;
	mt_http_send(ports->client, &request, on_server_list_response, call);
}

mt_server_list_port_t mt_http_ports_server_list(mt_http_ports_t *ports)
{
	return (mt_server_list_port_t){ports, fetch_server_list};
}
