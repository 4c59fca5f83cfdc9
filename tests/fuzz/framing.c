/** @file framing.c Random HTTP requests to a server in the same process. */
#include <fcntl.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fuzz/fuzz.h"
#include "net/http_server.h"

/* Limits of the server; small, so that they are reached. */
#define BODY_MAX_BYTES 2000u
#define HEADER_MAX_BYTES 1000u

#define PARTS_MAX 5
#define TURNS_MAX 200u
#define HEADER_LINES 6
#define FILLER_MAX_BYTES 1500

struct mt_fuzz_server_t {
	mt_loop_t *loop;
	mt_http_server_t *http;
	uint16_t port;
	mt_http_exchange_t *pending; /**< answered after the handler */
	unsigned requests;
	mt_shared_name_t account; /**< that the header check told last */
	bool body_too_large;
	bool bad_path; /**< the header check got a path without a leading '/' */
};

/* Requests. */

static const char *const start_lines[] = {
	"GET /a HTTP/1.1\r\n",
	"POST /a?b=c HTTP/1.1\r\n",
	"POST /a HTTP/1.0\r\n",
	"PUT /%00 HTTP/1.1\r\n",
	"HEAD / HTTP/1.1\r\n",
	"CONNECT a:1 HTTP/1.1\r\n",
	"OPTIONS * HTTP/1.1\r\n",
	"GET http://h/a HTTP/1.1\r\n",
	"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	"GET /../../a HTTP/1.1\r\n",
	"PUT http://h/a HTTP/1.1\r\n",
	"GET /now HTTP/1.1\r\n",
};

static const char *const lines[] = {
	"Host: h\r\n",
	"Host: \r\n",
	"Content-Length: 5\r\n",
	"Content-Length: 0\r\n",
	"Content-Length: -1\r\n",
	"Content-Length: 2001\r\n",
	"Content-Length: 18446744073709551615\r\n",
	"Content-Length: 5, 5\r\n",
	"Transfer-Encoding: chunked\r\n",
	"Transfer-Encoding: identity\r\n",
	"Transfer-Encoding: gzip, chunked\r\n",
	"Expect: 100-continue\r\n",
	"Expect: other\r\n",
	"Connection: close\r\n",
	"Connection: keep-alive, Upgrade, HTTP2-Settings\r\n",
	"Upgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n",
	"Authorization: Token key\r\n",
	"Authorization:\r\n",
	" folded\r\n",
	": no name\r\n",
};

static const char *const bodies[] = {
	"12345",
	"",
	"5\r\n12345\r\n0\r\n\r\n",
	"0\r\n\r\n",
	"ffffffffffffffff\r\n",
	"5;extension\r\n12345\r\n",
	"xyz\r\n",
	"0\r\nTrailer: a\r\n\r\n",
	"00000000000000000005\r\n12345\r\n0\r\n\r\n",
};

static void append_any(GRand *rand, GByteArray *out, const char *const *texts,
		       size_t count)
{
	const char *text = texts[g_rand_int_range(rand, 0, (gint32)count)];

	g_byte_array_append(out, (const guint8 *)text, (guint)strlen(text));
}

static void append_filler(GRand *rand, GByteArray *out, const char *name)
{
	int len = g_rand_int_range(rand, 0, FILLER_MAX_BYTES);

	g_byte_array_append(out, (const guint8 *)name, (guint)strlen(name));
	while (len-- > 0)
		g_byte_array_append(out, (const guint8 *)"x", 1);
}

GByteArray *mt_fuzz_make_request(GRand *rand)
{
	GByteArray *out = g_byte_array_new();
	int requests = g_rand_int_range(rand, 1, 4);

	while (requests-- > 0) {
		int n_lines = g_rand_int_range(rand, 0, HEADER_LINES);

		append_any(rand, out, start_lines, G_N_ELEMENTS(start_lines));
		while (n_lines-- > 0)
			append_any(rand, out, lines, G_N_ELEMENTS(lines));
		if (g_rand_int_range(rand, 0, 8) == 0)
			append_filler(rand, out, "X-Filler: ");
		g_byte_array_append(out, (const guint8 *)"\r\n", 2);
		append_any(rand, out, bodies, G_N_ELEMENTS(bodies));
		if (g_rand_int_range(rand, 0, 8) == 0)
			append_filler(rand, out, "");
	}
	if (g_rand_boolean(rand))
		mt_fuzz_mutate(rand, out);
	return out;
}

/* Server. */

static void on_disconnect(void *ctx)
{
	mt_fuzz_server_t *server = ctx;

	server->pending = NULL;
}

static void respond(mt_http_exchange_t *exchange)
{
	mt_http_on_disconnect(exchange, NULL, NULL);
	mt_http_respond(exchange, 200, "text/plain", MT_STR("answer"), NULL);
}

static void respond_later(mt_fuzz_server_t *server)
{
	mt_http_exchange_t *exchange = server->pending;

	server->pending = NULL;
	if (exchange)
		respond(exchange);
}

/**
 * Answers each second request and those for /now at once, and the others later.
 * Two pipelined requests for /now end in the same turn of the loop.
 */
static void on_request(void *ctx, const mt_http_incoming_request_t *request)
{
	mt_fuzz_server_t *server = ctx;

	if (request->body.len > BODY_MAX_BYTES)
		server->body_too_large = true;
	if (server->requests++ % 2 == 0 ||
	    mt_str_equal(request->path, MT_STR("/now"))) {
		respond(request->exchange);
		return;
	}
	respond_later(server);
	server->pending = request->exchange;
	mt_http_on_disconnect(request->exchange, on_disconnect, server);
}

static int check_header(void *ctx, const mt_http_header_t *header,
			mt_shared_name_t *account)
{
	mt_fuzz_server_t *server = ctx;

	if (!header->path.len || header->path.data[0] != '/')
		server->bad_path = true;
	mt_shared_name_set(&server->account, header->authorization);
	*account = server->account;
	return mt_str_equal(header->method, MT_STR("PUT")) ? 401 : 0;
}

static struct sockaddr_in loopback(uint16_t port)
{
	struct sockaddr_in address = {0};

	address.sin_family = AF_INET;
	address.sin_port = htons(port);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

static uint16_t find_free_port(void)
{
	struct sockaddr_in address = loopback(0);
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (bind(fd, (struct sockaddr *)&address, len) ||
	    getsockname(fd, (struct sockaddr *)&address, &len))
		address.sin_port = 0;
	close(fd);
	return ntohs(address.sin_port);
}

mt_fuzz_server_t *mt_fuzz_server_new(void)
{
	mt_fuzz_server_t *server = g_new0(mt_fuzz_server_t, 1);
	mt_name_t address = mt_name("127.0.0.1");
	mt_http_limits_t limits = mt_http_limits_default(BODY_MAX_BYTES);

	server->loop = mt_loop_new();
	server->port = find_free_port();
	server->http = mt_http_server_new(server->loop, &address, server->port,
					  BODY_MAX_BYTES, on_request, server);
	if (!server->http) {
		g_free(server);
		return NULL;
	}
	limits.header_max_bytes = HEADER_MAX_BYTES;
	mt_http_server_set_limits(server->http, &limits);
	mt_http_server_set_header_check(server->http, check_header);
	return server;
}

/* Client. */

static void run_turns(mt_fuzz_server_t *server, unsigned turns)
{
	while (turns-- > 0)
		uv_run(mt_loop_uv(server->loop), UV_RUN_NOWAIT);
}

/** @return the socket, or -1 */
static int connect_client(const mt_fuzz_server_t *server)
{
	struct sockaddr_in address = loopback(server->port);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (!connect(fd, (struct sockaddr *)&address, sizeof(address))) {
		fcntl(fd, F_SETFL, O_NONBLOCK);
		return fd;
	}
	close(fd);
	return -1;
}

static void send_parts(mt_fuzz_server_t *server, GRand *rand, int fd,
		       const GByteArray *bytes)
{
	int parts = g_rand_int_range(rand, 1, PARTS_MAX + 1);
	guint sent = 0;

	while (sent < bytes->len) {
		guint len = bytes->len - sent;

		if (--parts > 0)
			len = (guint)g_rand_int_range(rand, 1, (gint32)len + 1);
		if (send(fd, bytes->data + sent, len, MSG_NOSIGNAL) < 0)
			return;
		sent += len;
		run_turns(server, 2);
		if (g_rand_boolean(rand))
			respond_later(server);
	}
}

/** Runs the loop until all connections are closed. */
static bool await_close(mt_fuzz_server_t *server)
{
	for (unsigned turn = 0; turn < TURNS_MAX; turn++) {
		if (!mt_http_server_connections(server->http))
			return true;
		run_turns(server, 1);
		respond_later(server);
	}
	return false;
}

bool mt_fuzz_send(mt_fuzz_server_t *server, GRand *rand,
		  const GByteArray *bytes)
{
	const mt_http_stats_t *stats = mt_http_server_stats(server->http);
	int fd = connect_client(server);

	if (fd < 0) {
		printf("no connection\n");
		return false;
	}
	send_parts(server, rand, fd, bytes);
	if (g_rand_boolean(rand))
		run_turns(server, 2);
	close(fd);
	if (!await_close(server)) {
		printf("a connection stays open after the client's\n");
		return false;
	}
	if (stats->connections || stats->buffered_bytes) {
		printf("%u connections and %zu bytes are left\n",
		       stats->connections, stats->buffered_bytes);
		return false;
	}
	if (server->body_too_large)
		printf("a body over the limit reached the handler\n");
	if (server->bad_path)
		printf("the header check got a path that is no path\n");
	return !server->body_too_large && !server->bad_path;
}

bool mt_fuzz_server_answers(mt_fuzz_server_t *server)
{
	static const char request[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
	int fd = connect_client(server);
	char answer[16];
	ssize_t len = -1;

	if (fd < 0)
		return false;
	if (send(fd, request, sizeof(request) - 1, MSG_NOSIGNAL) < 0) {
		close(fd);
		return false;
	}
	for (unsigned turn = 0; turn < TURNS_MAX && len < 0; turn++) {
		run_turns(server, 1);
		respond_later(server);
		len = recv(fd, answer, sizeof(answer), 0);
	}
	close(fd);
	await_close(server);
	return len >= 12 && !memcmp(answer, "HTTP/1.1 200", 12);
}

void mt_fuzz_server_print(const mt_fuzz_server_t *server)
{
	const mt_http_stats_t *stats = mt_http_server_stats(server->http);

	printf("%u requests", server->requests);
	for (int i = MT_HTTP_REASON_NONE + 1; i < MT_HTTP_REASON_COUNT; i++)
		if (stats->closed[i])
			printf(", %s %" G_GUINT64_FORMAT,
			       mt_http_reason_name((mt_http_reason_t)i),
			       stats->closed[i]);
	printf("\n");
}
