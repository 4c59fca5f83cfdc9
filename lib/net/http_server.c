/** @file http_server.c HTTP service by h2o on libuv. */
#include "net/http_server.h"

#include <h2o.h>
#include <h2o/http1.h>
#include <string.h>

#define LISTEN_BACKLOG 1024

struct mt_http_server_t {
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	uv_tcp_t listener;
	mt_loop_t *loop;
	mt_http_handler_cb handler;
	void *ctx;
	unsigned connections;
	bool closing; /**< each answer ends its connection */
};

typedef struct mt_connection_t {
	uv_tcp_t tcp;
	mt_http_server_t *server;
} mt_connection_t;

typedef struct mt_h2o_handler_t {
	h2o_handler_t super;
	mt_http_server_t *server;
} mt_h2o_handler_t;

/** Lives in the request's pool, so that its end is noticed. */
struct mt_http_exchange_t {
	h2o_generator_t generator;
	h2o_req_t *request;
	mt_http_server_t *server;
	bool answered;
	void (*gone)(void *ctx);
	void *gone_ctx;
};

/** The request's memory is freed: its answer is out or its caller gone. */
static void on_exchange_dispose(void *data)
{
	mt_http_exchange_t *exchange = data;

	if (!exchange->answered && exchange->gone)
		exchange->gone(exchange->gone_ctx);
}

static mt_str_t view(h2o_iovec_t vec)
{
	return (mt_str_t){vec.base, vec.len};
}

static int on_request(h2o_handler_t *handler, h2o_req_t *request)
{
	mt_http_server_t *server = ((mt_h2o_handler_t *)handler)->server;
	mt_http_exchange_t *exchange = h2o_mem_alloc_shared(
		&request->pool, sizeof(*exchange), on_exchange_dispose);
	mt_http_call_t call = {0};
	size_t path_len = request->query_at == SIZE_MAX ? request->path.len
							: request->query_at;

	memset(exchange, 0, sizeof(*exchange));
	exchange->request = request;
	exchange->server = server;
	call.method = view(request->method);
	call.path = (mt_str_t){request->path.base, path_len};
	if (path_len < request->path.len)
		call.query = (mt_str_t){request->path.base + path_len + 1,
					request->path.len - path_len - 1};
	call.body = view(request->entity);
	call.exchange = exchange;
	server->handler(server->ctx, &call);
	return 0;
}

static void on_connection_closed(uv_handle_t *handle)
{
	mt_connection_t *connection = (mt_connection_t *)handle;

	connection->server->connections--;
	g_free(connection);
}

static void on_incoming(uv_stream_t *listener, int status)
{
	mt_http_server_t *server = listener->data;
	mt_connection_t *connection;

	if (status != 0)
		return;
	connection = g_new0(mt_connection_t, 1);
	connection->server = server;
	server->connections++;
	uv_tcp_init(listener->loop, &connection->tcp);
	if (uv_accept(listener, (uv_stream_t *)&connection->tcp)) {
		uv_close((uv_handle_t *)&connection->tcp, on_connection_closed);
		return;
	}
	h2o_accept(&server->accept,
		   h2o_uv_socket_create((uv_stream_t *)&connection->tcp,
					on_connection_closed));
}

static bool listen_on(mt_http_server_t *server, const mt_name_t *address,
		      uint16_t port)
{
	struct sockaddr_storage target;

	if (uv_ip4_addr(address->text, port, (struct sockaddr_in *)&target) &&
	    uv_ip6_addr(address->text, port, (struct sockaddr_in6 *)&target))
		return false;
	uv_tcp_init(mt_loop_uv(server->loop), &server->listener);
	server->listener.data = server;
	return !uv_tcp_bind(&server->listener, (struct sockaddr *)&target, 0) &&
	       !uv_listen((uv_stream_t *)&server->listener, LISTEN_BACKLOG,
			  on_incoming);
}

mt_http_server_t *mt_http_server_new(mt_loop_t *loop, const mt_name_t *address,
				     uint16_t port, size_t body_max_bytes,
				     mt_http_handler_cb handler, void *ctx)
{
	mt_http_server_t *server = g_new0(mt_http_server_t, 1);
	h2o_hostconf_t *host;
	mt_h2o_handler_t *on_all;

	server->loop = loop;
	server->handler = handler;
	server->ctx = ctx;
	h2o_config_init(&server->config);
	server->config.max_request_entity_size = body_max_bytes;
	server->config.server_name = h2o_iovec_init(H2O_STRLIT("mimosaturn"));
	host = h2o_config_register_host(
		&server->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	on_all = (mt_h2o_handler_t *)h2o_create_handler(
		h2o_config_register_path(host, "/", 0), sizeof(*on_all));
	on_all->super.on_req = on_request;
	on_all->server = server;
	h2o_context_init(&server->context, mt_loop_uv(loop), &server->config);
	server->accept.ctx = &server->context;
	server->accept.hosts = server->config.hosts;
	if (listen_on(server, address, port))
		return server;
	g_free(server);
	return NULL;
}

mt_str_t mt_http_header(const mt_http_exchange_t *exchange, const char *name)
{
	const h2o_headers_t *headers = &exchange->request->headers;
	ssize_t at = h2o_find_header_by_str(headers, name, strlen(name), -1);

	if (at < 0)
		return (mt_str_t){0};
	return view(headers->entries[at].value);
}

mt_str_t mt_http_authority(const mt_http_exchange_t *exchange)
{
	return view(exchange->request->authority);
}

bool mt_http_query(mt_str_t query, const char *name, mt_str_t *value)
{
	size_t len = strlen(name);

	while (query.len) {
		const char *end = memchr(query.data, '&', query.len);
		size_t part = end ? (size_t)(end - query.data) : query.len;

		if (part > len && !memcmp(query.data, name, len) &&
		    query.data[len] == '=') {
			*value = (mt_str_t){query.data + len + 1,
					    part - len - 1};
			return true;
		}
		part += end != NULL;
		query = (mt_str_t){query.data + part, query.len - part};
	}
	return false;
}

void mt_http_on_disconnect(mt_http_exchange_t *exchange, void (*cb)(void *ctx),
			   void *ctx)
{
	exchange->gone = cb;
	exchange->gone_ctx = ctx;
}

void mt_http_respond(mt_http_exchange_t *exchange, int status, const char *type,
		     mt_str_t body, const char *const *headers)
{
	h2o_req_t *request = exchange->request;
	h2o_iovec_t out = h2o_strdup(&request->pool, body.data ? body.data : "",
				     body.len);

	exchange->answered = true;
	if (exchange->server->closing)
		request->http1_is_persistent = 0;
	request->res.status = status;
	request->res.reason = "";
	request->res.content_length = body.len;
	h2o_add_header(&request->pool, &request->res.headers,
		       H2O_TOKEN_CONTENT_TYPE, NULL, type, strlen(type));
	for (size_t i = 0; headers && headers[i]; i += 2) {
		h2o_iovec_t value =
			h2o_strdup(&request->pool, headers[i + 1], SIZE_MAX);

		h2o_add_header_by_str(&request->pool, &request->res.headers,
				      headers[i], strlen(headers[i]), 0, NULL,
				      value.base, value.len);
	}
	h2o_start_response(request, &exchange->generator);
	h2o_send(request, &out, 1, H2O_SEND_STATE_FINAL);
}

void mt_http_server_disable_keep_alive(mt_http_server_t *server)
{
	server->closing = true;
}

void mt_http_server_stop(mt_http_server_t *server)
{
	server->closing = true;
	if (uv_is_closing((uv_handle_t *)&server->listener))
		return;
	uv_close((uv_handle_t *)&server->listener, NULL);
	h2o_context_request_shutdown(&server->context);
}

unsigned mt_http_server_connections(const mt_http_server_t *server)
{
	return server->connections;
}
