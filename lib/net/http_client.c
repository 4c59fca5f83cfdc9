/** @file http_client.c HTTP/1.1 client based on h2o's client and libuv. */
#include "net/http_client.h"

#include <h2o.h>
#include <h2o/http1client.h>
#include <string.h>

/** Maximum number of idle connections per address, and their time-out. */
#define POOL_CAPACITY 16
#define POOL_IDLE_MS 10000u

/**
 * Time-out of a socket that makes no progress. Applies in addition to the
 * time-out of each request.
 */
#define IO_TIMEOUT_MS 120000u

struct mt_http_client_t {
	mt_loop_t *loop;
	h2o_http1client_ctx_t ctx;
	h2o_timeout_t io_timeout;
	GHashTable *pools; /**< "address port" to h2o_socketpool_t */
	uint64_t bytes;	   /**< see mt_http_client_bytes() */
	size_t responses_max_bytes;
	size_t receiving_bytes; /**< of the bodies of all responses */
	uint64_t too_large;	/**< see mt_http_client_too_large() */
};

/** A request in progress. */
typedef struct mt_client_exchange_t {
	mt_http_client_t *client;
	h2o_http1client_t *http;
	GString *request_bytes;
	h2o_iovec_t request_vec;
	GByteArray *body; /**< response body received so far */
	int status;
	unsigned retry_after_s; /**< see mt_http_response_t */
	bool connected;
	mt_http_result_t result;
	mt_ms_t timeout_ms;
	size_t response_max_bytes; /**< 0: none of its own */
	uint64_t timer;
	mt_http_cb cb;
	void *ctx;
} mt_client_exchange_t;

mt_http_client_t *mt_http_client_new(mt_loop_t *loop)
{
	mt_http_client_t *client = g_new0(mt_http_client_t, 1);

	client->loop = loop;
	client->ctx.loop = mt_loop_uv(loop);
	client->ctx.io_timeout = &client->io_timeout;
	h2o_timeout_init(mt_loop_uv(loop), &client->io_timeout, IO_TIMEOUT_MS);
	client->responses_max_bytes = MT_HTTP_RESPONSES_MAX_BYTES;
	client->pools = g_hash_table_new(g_str_hash, g_str_equal);
	return client;
}

uint64_t mt_http_client_bytes(const mt_http_client_t *client)
{
	return client->bytes;
}

void mt_http_client_set_responses_max(mt_http_client_t *client, size_t bytes)
{
	client->responses_max_bytes = bytes;
}

uint64_t mt_http_client_too_large(const mt_http_client_t *client)
{
	return client->too_large;
}

static bool parse_address(const mt_name_t *address, uint16_t port,
			  struct sockaddr_storage *socket_address,
			  socklen_t *len)
{
	if (!uv_ip4_addr(address->text, port,
			 (struct sockaddr_in *)socket_address)) {
		*len = sizeof(struct sockaddr_in);
		return true;
	}
	*len = sizeof(struct sockaddr_in6);
	return !uv_ip6_addr(address->text, port,
			    (struct sockaddr_in6 *)socket_address);
}

static h2o_socketpool_t *find_pool(mt_http_client_t *client,
				   const mt_name_t *address, uint16_t port)
{
	char *key = g_strdup_printf("%s %u", address->text, port);
	h2o_socketpool_t *pool = g_hash_table_lookup(client->pools, key);
	struct sockaddr_storage socket_address = {0};
	socklen_t len;

	if (pool || !parse_address(address, port, &socket_address, &len)) {
		g_free(key);
		return pool;
	}
	pool = g_new0(h2o_socketpool_t, 1);
	h2o_socketpool_init_by_address(pool, (struct sockaddr *)&socket_address,
				       len, 0, POOL_CAPACITY);
	h2o_socketpool_set_timeout(pool, mt_loop_uv(client->loop),
				   POOL_IDLE_MS);
	g_hash_table_insert(client->pools, key, pool);
	return pool;
}

/** Calls the callback and frees the exchange. */
static void finish(mt_client_exchange_t *exchange)
{
	mt_http_response_t response = {exchange->result,
				       exchange->status,
				       {0},
				       exchange->retry_after_s};

	mt_timers_cancel(mt_loop_timers(exchange->client->loop),
			 exchange->timer);
	response.body = (mt_str_t){(const char *)exchange->body->data,
				   exchange->body->len};
	exchange->client->bytes +=
		exchange->request_bytes->len + exchange->body->len;
	exchange->client->receiving_bytes -= exchange->body->len;
	exchange->cb(exchange->ctx, &response);
	g_byte_array_unref(exchange->body);
	g_string_free(exchange->request_bytes, TRUE);
	g_free(exchange);
}

static void on_finish_timer(void *ctx)
{
	mt_client_exchange_t *exchange = ctx;

	exchange->timer = 0;
	finish(exchange);
}

/**
 * Completes the exchange from a timer, for two reasons. This function may be
 * called by a callback of h2o, which still uses the connection afterwards. And
 * `cb` must not be called before mt_http_send() has returned.
 */
static void schedule_finish(mt_client_exchange_t *exchange,
			    mt_http_result_t result)
{
	mt_timers_t *timers = mt_loop_timers(exchange->client->loop);

	exchange->result = result;
	exchange->http = NULL;
	mt_timers_cancel(timers, exchange->timer);
	exchange->timer = mt_timers_after(timers, 0, on_finish_timer, exchange);
}

static void on_timeout(void *ctx)
{
	mt_client_exchange_t *exchange = ctx;

	exchange->timer = 0;
	if (exchange->http)
		h2o_http1client_cancel(exchange->http);
	exchange->result =
		exchange->connected ? MT_HTTP_NO_RESPONSE : MT_HTTP_NOT_SENT;
	finish(exchange);
}

static void restart_timeout(mt_client_exchange_t *exchange)
{
	mt_timers_t *timers = mt_loop_timers(exchange->client->loop);

	mt_timers_cancel(timers, exchange->timer);
	exchange->timer = mt_timers_after(timers, exchange->timeout_ms,
					  on_timeout, exchange);
}

/** Moves received bytes from the socket to the body. */
static void take_input(mt_client_exchange_t *exchange, h2o_socket_t *socket)
{
	g_byte_array_append(exchange->body,
			    (const guint8 *)socket->input->bytes,
			    (guint)socket->input->size);
	exchange->client->receiving_bytes += socket->input->size;
	h2o_buffer_consume(&socket->input, socket->input->size);
	restart_timeout(exchange);
}

static bool is_too_large(const mt_client_exchange_t *exchange)
{
	const mt_http_client_t *client = exchange->client;

	return client->receiving_bytes > client->responses_max_bytes ||
	       (exchange->response_max_bytes &&
		exchange->body->len > exchange->response_max_bytes);
}

static int on_body(h2o_http1client_t *http, const char *errstr)
{
	mt_client_exchange_t *exchange = http->data;
	bool failed = errstr && errstr != h2o_http1client_error_is_eos;

	if (!failed && http->sock && http->sock->input->size)
		take_input(exchange, http->sock);
	if (!failed && is_too_large(exchange)) {
		exchange->client->too_large++;
		failed = true;
	}
	if (errstr || failed)
		schedule_finish(exchange, failed ? MT_HTTP_NO_RESPONSE
						 : MT_HTTP_RESPONSE);
	/* A result other than 0 has h2o close the connection. */
	return failed && !errstr ? -1 : 0;
}

static unsigned read_retry_after(const h2o_header_t *headers,
				 size_t num_headers)
{
	uint64_t seconds;

	for (size_t i = 0; i < num_headers; i++) {
		mt_str_t value = {headers[i].value.base, headers[i].value.len};

		if (h2o_lcstris(headers[i].name->base, headers[i].name->len,
				H2O_STRLIT("retry-after")) &&
		    mt_str_to_u64(value, &seconds))
			return (unsigned)MIN(seconds, UINT_MAX);
	}
	return 0;
}

static h2o_http1client_body_cb on_head(h2o_http1client_t *http,
				       const char *errstr, int minor_version,
				       int status, h2o_iovec_t message,
				       h2o_header_t *headers,
				       size_t num_headers, int rlen)
{
	mt_client_exchange_t *exchange = http->data;

	if (errstr && errstr != h2o_http1client_error_is_eos) {
		schedule_finish(exchange, MT_HTTP_NO_RESPONSE);
		return NULL;
	}
	exchange->status = status;
	exchange->retry_after_s = read_retry_after(headers, num_headers);
	/* Here, `errstr` can only mean that the response has no body. */
	if (errstr) {
		schedule_finish(exchange, MT_HTTP_RESPONSE);
		return NULL;
	}
	return on_body;
}

static h2o_http1client_head_cb
on_connect(h2o_http1client_t *http, const char *errstr, h2o_iovec_t **reqbufs,
	   size_t *reqbufcnt, int *method_is_head)
{
	mt_client_exchange_t *exchange = http->data;

	if (errstr) {
		schedule_finish(exchange, MT_HTTP_NOT_SENT);
		return NULL;
	}
	exchange->connected = true;
	exchange->request_vec = h2o_iovec_init(exchange->request_bytes->str,
					       exchange->request_bytes->len);
	*reqbufs = &exchange->request_vec;
	*reqbufcnt = 1;
	*method_is_head = 0;
	return on_head;
}

static GString *format_request(const mt_http_request_t *request)
{
	GString *request_bytes = g_string_new(NULL);

	g_string_printf(request_bytes,
			"%s %s HTTP/1.1\r\nHost: %s:%u\r\n"
			"Content-Length: %zu\r\n%s\r\n",
			request->method, request->path, request->address.text,
			request->port, request->body.len,
			request->headers ? request->headers : "");
	g_string_append_len(request_bytes, request->body.data,
			    (gssize)request->body.len);
	return request_bytes;
}

void mt_http_send(mt_http_client_t *client, const mt_http_request_t *request,
		  mt_http_cb cb, void *ctx)
{
	h2o_socketpool_t *pool =
		find_pool(client, &request->address, request->port);
	mt_client_exchange_t *exchange = g_new0(mt_client_exchange_t, 1);

	exchange->client = client;
	exchange->request_bytes = format_request(request);
	exchange->body = g_byte_array_new();
	exchange->cb = cb;
	exchange->ctx = ctx;
	if (!pool) {
		schedule_finish(exchange, MT_HTTP_NOT_SENT);
		return;
	}
	exchange->timeout_ms = request->timeout_ms;
	exchange->response_max_bytes = request->response_max_bytes;
	restart_timeout(exchange);
	h2o_http1client_connect_with_pool(&exchange->http, exchange,
					  &client->ctx, pool, on_connect);
}
