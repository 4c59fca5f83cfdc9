/**
 * @file main.c
 * Clients that exceed the limits of a host: each opens a connection to a server
 * on the loopback interface, sends what its kind prescribes, and connects again
 * when it was closed. Used by tests/scripts/hostile-clients.sh.
 */
#include <argtable2.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define EXIT_NO_CONNECTION 1
#define EXIT_BAD_ARGUMENTS 2

#define US_PER_MS 1000
#define MS_PER_S 1000

/** Interval between two connections of the same client. */
#define RECONNECT_MS 200

/** Time that a client waits between two pieces of a body. */
#define PIECE_INTERVAL_MS 20

#define POLL_MS 10

/** Size of a piece of a body. */
#define PIECE_BYTES 8192u

/** Length of a body that is far above each limit, in bytes. */
#define HUGE_BODY_BYTES 1073741824u

/** Out of this many clients with piecewise bodies, one sends its last byte. */
#define COMPLETE_EVERY 8u

typedef struct mt_hostile_t mt_hostile_t;

/** A client and its connection. */
typedef struct mt_hostile_client_t {
	unsigned index;
	int fd;		/**< -1: none */
	bool connected; /**< the connection attempt has succeeded */
	gint64 next_at; /**< earliest time of the next connection or piece */
	GString *head;
	size_t sent; /**< bytes sent on this connection */
} mt_hostile_client_t;

/** How the clients of a kind behave. */
typedef struct mt_hostile_kind_t {
	const char *name;
	/** Writes what comes before the repeated part or the body. */
	void (*head)(const mt_hostile_t *hostile, mt_hostile_client_t *client);
	/** Repeated after the head without end; NULL: a body is sent. */
	const char *repeated;
	bool piecewise;	       /**< sends one piece per PIECE_INTERVAL_MS */
	bool omits_last;       /**< most clients do not send the last byte */
	bool reads;	       /**< reads responses */
	size_t body_max_bytes; /**< 0: of the size given as an argument */
	/** Values of a further field of the job; NULL: spaces pad the job. */
	const char *values;
} mt_hostile_kind_t;

struct mt_hostile_t {
	const mt_hostile_kind_t *kind;
	struct sockaddr_in address;
	GString *body; /**< a valid job, padded with spaces */
	mt_hostile_client_t *clients;
	unsigned n_clients;
	unsigned attempts;    /**< to connect */
	unsigned connections; /**< that were opened in total */
	unsigned closed;      /**< that were closed by the server */
};

static gint64 now_ms(void)
{
	return g_get_monotonic_time() / US_PER_MS;
}

/* Heads. */

static void append_request(GString *head, const char *key, size_t length)
{
	g_string_append_printf(head,
			       "POST /batch/00000000000000e1 HTTP/1.1\r\n"
			       "Host: jobs.example\r\n"
			       "Authorization: Token %s\r\n"
			       "Content-Length: %zu\r\n\r\n",
			       key, length);
}

static void head_of_huge_body(const mt_hostile_t *hostile,
			      mt_hostile_client_t *client)
{
	append_request(client->head, "good", HUGE_BODY_BYTES);
}

static void head_of_chunked_body(const mt_hostile_t *hostile,
				 mt_hostile_client_t *client)
{
	g_string_append(client->head,
			"POST /batch/00000000000000e1 HTTP/1.1\r\n"
			"Host: jobs.example\r\n"
			"Authorization: Token good\r\n"
			"Transfer-Encoding: chunked\r\n\r\n");
}

static void head_of_body(const mt_hostile_t *hostile,
			 mt_hostile_client_t *client)
{
	append_request(client->head, "good", hostile->body->len);
}

/** A new key for each connection. */
static void head_with_unknown_key(const mt_hostile_t *hostile,
				  mt_hostile_client_t *client)
{
	char *key = g_strdup_printf("unknown-%u", hostile->attempts);

	append_request(client->head, key, hostile->body->len);
	g_free(key);
}

static void start_line(const mt_hostile_t *hostile, mt_hostile_client_t *client)
{
	g_string_append(client->head,
			"POST /batch/00000000000000e1 HTTP/1.1\r\n"
			"Host: jobs.example\r\n");
}

static void no_head(const mt_hostile_t *hostile, mt_hostile_client_t *client)
{
}

static void malformed_head(const mt_hostile_t *hostile,
			   mt_hostile_client_t *client)
{
	static const char *const heads[] = {
		"POST /batch/00000000000000e1 HTTP/1.1\r\nHost: a\r\n"
		"Content-Length: -1\r\n\r\n",
		"POST /batch/00000000000000e1 HTTP/1.1\r\nHost: a\r\n"
		"Content-Length: 18446744073709551615\r\n\r\n",
		"POST /batch/00000000000000e1 HTTP/1.1\r\nHost: a\r\n"
		"Content-Length: 10\r\nContent-Length: 20\r\n\r\n",
		"POST /batch/00000000000000e1 HTTP/1.1\r\nHost: a\r\n"
		"Content-Length: 10\r\nTransfer-Encoding: chunked\r\n\r\n",
		"POST /batch/00000000000000e1 HTTP/1.1\r\nHost: a\r\n"
		"Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"POST /batch/00000000000000e1 HTTP/1.1\r\nHost: a\r\n"
		"Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
		"POST /batch/00000000000000e1 HTTP/1.1\r\nHost: a\r\n"
		"Transfer-Encoding: gzip\r\n\r\n",
		"POST /batch/00000000000000e1 HTTP/9.9\r\n\r\n",
		"GET\r\n\r\n",
		"\r\n\r\n\r\n\r\n",
		"\x16\x03\x01\x02\x01\x01",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"POST /batch/00000000000000e1 HTTP/1.1\r\nHost : a\r\n"
		" folded\r\n: empty\r\n\r\n",
		"GET /batch/ HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\n"
		"Connection: Upgrade, HTTP2-Settings\r\n"
		"HTTP2-Settings: AAMAAABkAAQAAP__\r\n\r\n",
	};

	g_string_append(client->head,
			heads[(client->index + hostile->attempts) %
			      G_N_ELEMENTS(heads)]);
}

static const mt_hostile_kind_t kinds[] = {
	{"announced", head_of_huge_body, "x", false, false, true, 0, NULL},
	{"chunked", head_of_chunked_body, "1000\r\n%s\r\n", false, false, true,
	 0, NULL},
	{"whole", head_of_body, NULL, false, false, true, 0, NULL},
	{"piecewise", head_of_body, NULL, true, true, true, 0, NULL},
	{"headers", start_line, "X-Filler: 0123456789abcdef\r\n", true, false,
	 true, 0, NULL},
	{"one-header", start_line, "0123456789abcdef", true, false, true, 0,
	 NULL},
	{"silent", no_head, NULL, false, false, true, 1, NULL},
	{"pipelined", no_head,
	 "GET /batch/00000000000000e1 HTTP/1.1\r\nHost: jobs.example\r\n"
	 "Authorization: Token good\r\n\r\n",
	 false, false, false, 0, NULL},
	{"malformed", malformed_head, NULL, false, false, true, PIECE_BYTES,
	 NULL},
	{"keys", head_with_unknown_key, NULL, false, true, true, 0, NULL},
	{"nested", head_of_body, NULL, false, false, true, 0, "{},"},
	{"numbers", head_of_body, NULL, false, false, true, 0, "0,"},
};

/* Connections. */

static void close_client(mt_hostile_client_t *client)
{
	close(client->fd);
	client->fd = -1;
	client->next_at = now_ms() + RECONNECT_MS;
}

static void connect_client(mt_hostile_t *hostile, mt_hostile_client_t *client)
{
	client->fd = socket(AF_INET, SOCK_STREAM, 0);
	if (client->fd < 0) {
		client->next_at = now_ms() + RECONNECT_MS;
		return;
	}
	fcntl(client->fd, F_SETFL, O_NONBLOCK);
	if (connect(client->fd, (struct sockaddr *)&hostile->address,
		    sizeof(hostile->address)) &&
	    errno != EINPROGRESS) {
		close_client(client);
		return;
	}
	g_string_truncate(client->head, 0);
	hostile->kind->head(hostile, client);
	client->connected = false;
	client->sent = 0;
	client->next_at = 0;
	hostile->attempts++;
}

/** Number of bytes of the body that this client sends. */
static size_t body_bytes(const mt_hostile_t *hostile,
			 const mt_hostile_client_t *client)
{
	const mt_hostile_kind_t *kind = hostile->kind;
	size_t len = hostile->body->len;

	if (kind->body_max_bytes)
		len = MIN(len, kind->body_max_bytes - 1);
	if (kind->omits_last && client->index % COMPLETE_EVERY != 0)
		len--;
	return len;
}

/** What is sent next; its length is 0 when there is no more. */
static const char *next_bytes(const mt_hostile_t *hostile,
			      const mt_hostile_client_t *client, size_t *len)
{
	const mt_hostile_kind_t *kind = hostile->kind;
	size_t offset = client->sent;

	if (offset < client->head->len) {
		*len = client->head->len - offset;
		return client->head->str + offset;
	}
	offset -= client->head->len;
	if (kind->repeated) {
		offset %= hostile->body->len;
		*len = hostile->body->len - offset;
	} else {
		*len = body_bytes(hostile, client);
		*len = *len > offset ? *len - offset : 0;
	}
	return hostile->body->str + offset;
}

/** @return false when the connection has ended */
static bool send_some(const mt_hostile_t *hostile, mt_hostile_client_t *client)
{
	size_t len;
	const char *bytes = next_bytes(hostile, client, &len);
	ssize_t sent;

	if (!len || now_ms() < client->next_at)
		return true;
	if (hostile->kind->piecewise) {
		len = MIN(len, PIECE_BYTES);
		client->next_at = now_ms() + PIECE_INTERVAL_MS;
	}
	sent = send(client->fd, bytes, len, MSG_NOSIGNAL);
	if (sent < 0)
		return errno == EAGAIN;
	client->sent += (size_t)sent;
	return true;
}

/** @return false when the connection has ended */
static bool read_some(mt_hostile_client_t *client)
{
	char bytes[4096];
	ssize_t len = recv(client->fd, bytes, sizeof(bytes), 0);

	return len > 0 || (len < 0 && errno == EAGAIN);
}

static bool wants_to_send(const mt_hostile_t *hostile,
			  const mt_hostile_client_t *client)
{
	size_t len;

	next_bytes(hostile, client, &len);
	return len && now_ms() >= client->next_at;
}

static void serve_client(mt_hostile_t *hostile, mt_hostile_client_t *client,
			 short events)
{
	bool open = !(events & (POLLERR | POLLNVAL));

	if (open && !client->connected) {
		client->connected = true;
		hostile->connections++;
	}
	if (open && (events & (POLLIN | POLLHUP)))
		open = read_some(client);
	if (open && (events & POLLOUT))
		open = send_some(hostile, client);
	if (!open) {
		if (client->connected)
			hostile->closed++;
		close_client(client);
	}
}

static void run(mt_hostile_t *hostile, gint64 until)
{
	struct pollfd *fds = g_new0(struct pollfd, hostile->n_clients);

	while (now_ms() < until) {
		for (unsigned i = 0; i < hostile->n_clients; i++) {
			mt_hostile_client_t *client = &hostile->clients[i];

			if (client->fd < 0 && now_ms() >= client->next_at)
				connect_client(hostile, client);
			fds[i].fd = client->fd;
			fds[i].events = hostile->kind->reads ? POLLIN : 0;
			if (!client->connected ||
			    wants_to_send(hostile, client))
				fds[i].events |= POLLOUT;
			fds[i].revents = 0;
		}
		poll(fds, hostile->n_clients, POLL_MS);
		for (unsigned i = 0; i < hostile->n_clients; i++)
			if (fds[i].fd >= 0 && fds[i].revents)
				serve_client(hostile, &hostile->clients[i],
					     fds[i].revents);
	}
	g_free(fds);
}

/* Start-up. */

static const mt_hostile_kind_t *find_kind(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		if (!strcmp(kinds[i].name, name))
			return &kinds[i];
	return NULL;
}

/** Repeats a part of a request, in which "%s" stands for a chunk. */
static void append_repeated(GString *body, const char *part, size_t size)
{
	char chunk[0x1000 + 1];

	memset(chunk, ' ', sizeof(chunk) - 1);
	chunk[sizeof(chunk) - 1] = '\0';
	while (body->len < size) {
		if (strstr(part, "%s"))
			g_string_append_printf(body, "1000\r\n%s\r\n", chunk);
		else
			g_string_append(body, part);
	}
}

/** The repeated part many times, or a job that is padded to `size` bytes. */
static GString *make_body(const mt_hostile_kind_t *kind, size_t size)
{
	GString *body = g_string_new(NULL);

	if (kind->repeated) {
		append_repeated(body, kind->repeated, size);
		return body;
	}
	g_string_append(body, "{\"spec\":\"scan\",\"steps\":[{\"count\":1,"
			      "\"cpu\":1000,\"mem_mb\":10,"
			      "\"estimate_ms\":10}]");
	if (kind->values) {
		g_string_append(body, ",\"more\":[");
		append_repeated(body, kind->values, size - sizeof("null]}"));
		g_string_append(body, "null]");
	}
	g_string_append_c(body, '}');
	append_repeated(body, " ", size);
	return body;
}

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int1(NULL, "port", "N", "port of the host");
	struct arg_str *kind =
		arg_str1(NULL, "kind", "NAME", "what the clients send");
	struct arg_int *clients =
		arg_int1(NULL, "clients", "N", "number of clients");
	struct arg_int *bytes =
		arg_int1(NULL, "bytes", "N", "size of a body of legal size");
	struct arg_int *seconds =
		arg_int1(NULL, "seconds", "N", "time until they disconnect");
	struct arg_end *end = arg_end(4);
	void *table[] = {port, kind, clients, bytes, seconds, end};
	mt_hostile_t hostile = {0};

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		return EXIT_BAD_ARGUMENTS;
	}
	hostile.kind = find_kind(kind->sval[0]);
	if (!hostile.kind) {
		fprintf(stderr, "no kind %s\n", kind->sval[0]);
		return EXIT_BAD_ARGUMENTS;
	}
	signal(SIGPIPE, SIG_IGN);
	hostile.address.sin_family = AF_INET;
	hostile.address.sin_port = htons((uint16_t)port->ival[0]);
	hostile.address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	hostile.body = make_body(hostile.kind, (size_t)bytes->ival[0]);
	hostile.n_clients = (unsigned)clients->ival[0];
	hostile.clients = g_new0(mt_hostile_client_t, hostile.n_clients);
	for (unsigned i = 0; i < hostile.n_clients; i++) {
		hostile.clients[i].index = i;
		hostile.clients[i].fd = -1;
		hostile.clients[i].head = g_string_new(NULL);
	}
	run(&hostile, now_ms() + (gint64)seconds->ival[0] * MS_PER_S);
	printf("%u connections, %u closed by the host\n", hostile.connections,
	       hostile.closed);
	for (unsigned i = 0; i < hostile.n_clients; i++)
		g_string_free(hostile.clients[i].head, TRUE);
	g_free(hostile.clients);
	g_string_free(hostile.body, TRUE);
	arg_freetable(table, G_N_ELEMENTS(table));
	if (!hostile.connections) {
		fprintf(stderr, "no connection was opened\n");
		return EXIT_NO_CONNECTION;
	}
	return 0;
}
