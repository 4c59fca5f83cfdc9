/** @file http_server.c HTTP server based on h2o and libuv. */
#include "net/http_server.h"

#include <h2o.h>
#include <h2o/http1.h>
#include <string.h>

#include "net/http_connection.h"

#define LISTEN_BACKLOG 1024

/**
 * Time-out of h2o for receiving a request. Longer than each deadline of
 * http_guard.h, so that those apply.
 */
#define H2O_REQUEST_TIMEOUT_MS 3600000u

/** An idle connection is closed after this time while the server stops. */
#define STOPPING_IDLE_MS 10000u

struct mt_http_server_t {
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	uv_tcp_t listener;
	mt_loop_t *loop;
	mt_http_handler_cb handler;
	void *ctx;
	mt_connections_t *connections;
	bool keep_alive_disabled; /**< responses close their connection */
};

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
	mt_connection_t *connection;
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
	mt_connection_request_ended(exchange->connection);
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
	exchange->connection =
		mt_connections_find(server->connections, request->conn);
	mt_connection_request_received(exchange->connection);
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

static void on_connection(uv_stream_t *listener, int status)
{
	mt_http_server_t *server = listener->data;

	if (status == 0)
		mt_connections_accept(server->connections, listener,
				      &server->accept);
	else
		mt_http_guard_count(mt_connections_guard(server->connections),
				    MT_HTTP_REASON_ACCEPT);
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
	mt_http_limits_t limits = mt_http_limits_default(body_max_bytes);

	server->loop = loop;
	server->handler = handler;
	server->ctx = ctx;
	h2o_config_init(&server->config);
	server->config.max_request_entity_size = body_max_bytes;
	server->config.http1.req_timeout = H2O_REQUEST_TIMEOUT_MS;
	/* The limits do not cover HTTP/2, where a connection may have many
	 * requests at a time. */
	server->config.http1.upgrade_to_http2 = 0;
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
	server->connections = mt_connections_new(loop, &limits);
	if (listen_on(server, address, port))
		return server;
	mt_connections_free(server->connections);
	g_free(server);
	return NULL;
}

const mt_http_limits_t *mt_http_server_limits(const mt_http_server_t *server)
{
	return mt_http_guard_limits(mt_connections_guard(server->connections));
}

void mt_http_server_set_limits(mt_http_server_t *server,
			       const mt_http_limits_t *limits)
{
	server->config.max_request_entity_size = limits->body_max_bytes;
	mt_http_guard_set_limits(mt_connections_guard(server->connections),
				 limits);
}

void mt_http_server_set_header_check(mt_http_server_t *server,
				     mt_http_header_cb cb)
{
	mt_connections_set_header_check(server->connections, cb, server->ctx);
}

const mt_http_stats_t *mt_http_server_stats(const mt_http_server_t *server)
{
	return mt_http_guard_stats(mt_connections_guard(server->connections));
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
	mt_connection_response_ready(exchange->connection, body.len);
	h2o_start_response(request, &exchange->generator);
	h2o_send(request, &body_copy, 1, H2O_SEND_STATE_FINAL);
}

void mt_http_server_disable_keep_alive(mt_http_server_t *server)
{
	server->keep_alive_disabled = true;
}

void mt_http_server_stop(mt_http_server_t *server)
{
	mt_http_limits_t limits = *mt_http_server_limits(server);

	server->keep_alive_disabled = true;
	if (uv_is_closing((uv_handle_t *)&server->listener))
		return;
	limits.idle_ms = MIN(limits.idle_ms, STOPPING_IDLE_MS);
	mt_http_server_set_limits(server, &limits);
	uv_close((uv_handle_t *)&server->listener, NULL);
	h2o_context_request_shutdown(&server->context);
}

unsigned mt_http_server_connections(const mt_http_server_t *server)
{
	return mt_connections_count(server->connections);
}
