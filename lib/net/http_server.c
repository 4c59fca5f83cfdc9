/** @file http_server.c HTTP server based on h2o and libuv. */
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
	bool keep_alive_disabled; /**< responses close their connection */
};

typedef struct mt_connection_t {
	uv_tcp_t tcp;
	mt_http_server_t *server;
} mt_connection_t;

typedef struct mt_h2o_handler_t {
	h2o_handler_t super;
	mt_http_server_t *server;
} mt_h2o_handler_t;

/**
 * Allocated in the memory pool of the request. h2o calls on_exchange_dispose()
 * when it frees that pool.
 */
struct mt_http_exchange_t {
	h2o_generator_t generator;
	h2o_req_t *request;
	mt_http_server_t *server;
	bool responded;
	void (*on_disconnect)(void *ctx);
	void *disconnect_ctx;
};

/**
 * Called when h2o frees the request. If no response was sent, the client has
 * disconnected, which is reported.
 */
static void on_exchange_dispose(void *data)
{
	mt_http_exchange_t *exchange = data;

	if (!exchange->responded && exchange->on_disconnect)
		exchange->on_disconnect(exchange->disconnect_ctx);
}

static mt_str_t str_from_iovec(h2o_iovec_t vec)
{
	return (mt_str_t){vec.base, vec.len};
}

static int on_request(h2o_handler_t *handler, h2o_req_t *request)
{
	mt_http_server_t *server = ((mt_h2o_handler_t *)handler)->server;
	mt_http_exchange_t *exchange = h2o_mem_alloc_shared(
		&request->pool, sizeof(*exchange), on_exchange_dispose);
	mt_http_incoming_request_t incoming = {0};
	size_t path_len = request->query_at == SIZE_MAX ? request->path.len
							: request->query_at;

	memset(exchange, 0, sizeof(*exchange));
	exchange->request = request;
	exchange->server = server;
	incoming.method = str_from_iovec(request->method);
	incoming.path = (mt_str_t){request->path.base, path_len};
	if (path_len < request->path.len)
		incoming.query = (mt_str_t){request->path.base + path_len + 1,
					    request->path.len - path_len - 1};
	incoming.body = str_from_iovec(request->entity);
	incoming.exchange = exchange;
	server->handler(server->ctx, &incoming);
	return 0;
}

static void on_connection_closed(uv_handle_t *handle)
{
	mt_connection_t *connection = (mt_connection_t *)handle;

	connection->server->connections--;
	g_free(connection);
}

static void on_connection(uv_stream_t *listener, int status)
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
	struct sockaddr_storage socket_address;

	if (uv_ip4_addr(address->text, port,
			(struct sockaddr_in *)&socket_address) &&
	    uv_ip6_addr(address->text, port,
			(struct sockaddr_in6 *)&socket_address))
		return false;
	uv_tcp_init(mt_loop_uv(server->loop), &server->listener);
	server->listener.data = server;
	return !uv_tcp_bind(&server->listener,
			    (struct sockaddr *)&socket_address, 0) &&
	       !uv_listen((uv_stream_t *)&server->listener, LISTEN_BACKLOG,
			  on_connection);
}

mt_http_server_t *mt_http_server_new(mt_loop_t *loop, const mt_name_t *address,
				     uint16_t port, size_t body_max_bytes,
				     mt_http_handler_cb handler, void *ctx)
{
	mt_http_server_t *server = g_new0(mt_http_server_t, 1);
	h2o_hostconf_t *host;
	mt_h2o_handler_t *catch_all;

	server->loop = loop;
	server->handler = handler;
	server->ctx = ctx;
	h2o_config_init(&server->config);
	server->config.max_request_entity_size = body_max_bytes;
	server->config.server_name = h2o_iovec_init(H2O_STRLIT("mimosaturn"));
	host = h2o_config_register_host(
		&server->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	catch_all = (mt_h2o_handler_t *)h2o_create_handler(
		h2o_config_register_path(host, "/", 0), sizeof(*catch_all));
	catch_all->super.on_req = on_request;
	catch_all->server = server;
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
	ssize_t index = h2o_find_header_by_str(headers, name, strlen(name), -1);

	if (index < 0)
		return (mt_str_t){0};
	return str_from_iovec(headers->entries[index].value);
}

mt_str_t mt_http_authority(const mt_http_exchange_t *exchange)
{
	return str_from_iovec(exchange->request->authority);
}

bool mt_http_query(mt_str_t query, const char *name, mt_str_t *value)
{
	size_t len = strlen(name);

	while (query.len) {
		const char *end = memchr(query.data, '&', query.len);
		size_t part_len = end ? (size_t)(end - query.data) : query.len;

		if (part_len > len && !memcmp(query.data, name, len) &&
		    query.data[len] == '=') {
			*value = (mt_str_t){query.data + len + 1,
					    part_len - len - 1};
			return true;
		}
		part_len += end != NULL;
		query = (mt_str_t){query.data + part_len, query.len - part_len};
	}
	return false;
}

void mt_http_on_disconnect(mt_http_exchange_t *exchange, void (*cb)(void *ctx),
			   void *ctx)
{
	exchange->on_disconnect = cb;
	exchange->disconnect_ctx = ctx;
}

void mt_http_respond(mt_http_exchange_t *exchange, int status, const char *type,
		     mt_str_t body, const char *const *headers)
{
	h2o_req_t *request = exchange->request;
	h2o_iovec_t body_copy = h2o_strdup(
		&request->pool, body.data ? body.data : "", body.len);

	exchange->responded = true;
	if (exchange->server->keep_alive_disabled)
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
	h2o_send(request, &body_copy, 1, H2O_SEND_STATE_FINAL);
}

void mt_http_server_disable_keep_alive(mt_http_server_t *server)
{
	server->keep_alive_disabled = true;
}

void mt_http_server_stop(mt_http_server_t *server)
{
	server->keep_alive_disabled = true;
	if (uv_is_closing((uv_handle_t *)&server->listener))
		return;
	uv_close((uv_handle_t *)&server->listener, NULL);
	h2o_context_request_shutdown(&server->context);
}

unsigned mt_http_server_connections(const mt_http_server_t *server)
{
	return server->connections;
}
