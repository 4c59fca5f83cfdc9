/**
 * @file http_connection.c
 * Connections of an HTTP server. h2o collects a whole request in the input
 * buffer of its socket before it calls the handler, and has no limit for all
 * buffers. Therefore, the libuv callbacks with which h2o reads are replaced by
 * callbacks that call them and then check the limits.
 */
#include "net/http_connection.h"

#include <string.h>
#include <sys/socket.h>

/** Interval of the check of deadlines while connections are open. */
#define CHECK_INTERVAL_MS 500u

/** Size of the buffer for input that is discarded. */
#define DISCARD_BYTES 65536u

/** Size of the buffer for the answer of a refusal. */
#define REFUSAL_MAX_BYTES 160u

/** Maximum number of header lines, as in h2o. */
#define HEADER_LINES_MAX H2O_MAX_HEADERS

#define STATUS_REQUEST_TIMEOUT 408
#define STATUS_HEADER_TOO_LARGE 431
#define STATUS_UNAVAILABLE 503

/** Result of phr_parse_request() for an incomplete header. */
#define PARSE_INCOMPLETE (-2)

/*
 * h2o exports the request parser that it uses (picohttpparser), but does not
 * install its header file.
 */
struct phr_header {
	const char *name;
	size_t name_len;
	const char *value;
	size_t value_len;
};
int phr_parse_request(const char *buf, size_t len, const char **method,
		      size_t *method_len, const char **path, size_t *path_len,
		      int *minor_version, struct phr_header *headers,
		      size_t *num_headers, size_t last_len);

struct mt_connections_t {
	mt_loop_t *loop;
	mt_http_guard_t *guard;
	mt_http_header_cb header_check; /**< NULL: none */
	void *header_check_ctx;
	unsigned count;	       /**< open connections, with refused ones */
	GHashTable *by_socket; /**< h2o_socket_t to mt_connection_t */
	/** Connections whose request has ended, see install_read_callbacks().
	 */
	GPtrArray *to_resume;
	uv_prepare_t before_poll; /**< active while `to_resume` is not empty */
	uint64_t check_timer;	  /**< active while there are connections */
	char discarded[DISCARD_BYTES];
};

struct mt_connection_t {
	uv_tcp_t tcp; /**< first: libuv passes its address to callbacks */
	mt_connections_t *connections;
	mt_guarded_t guarded;
	bool is_guarded;
	bool resumes; /**< in mt_connections_t.to_resume */
	h2o_socket_t *socket;
	/* The callbacks with which h2o reads. */
	uv_alloc_cb h2o_alloc;
	uv_read_cb h2o_read;
	size_t parsed_bytes;	/**< of an incomplete header */
	size_t discarded_bytes; /**< after a refusal */
	uv_shutdown_t shutdown;
};

static mt_ms_t now_ms(const mt_connections_t *connections)
{
	return mt_timers_now(mt_loop_timers(connections->loop));
}

static mt_connection_t *connection_of(mt_guarded_t *guarded)
{
	return (mt_connection_t *)((char *)guarded -
				   offsetof(mt_connection_t, guarded));
}

static uv_stream_t *stream_of(mt_connection_t *connection)
{
	return (uv_stream_t *)&connection->tcp;
}

static void set_phase(mt_connection_t *connection, mt_http_phase_t phase)
{
	mt_http_guard_set_phase(connection->connections->guard,
				&connection->guarded, phase,
				now_ms(connection->connections));
}

/** Size of the socket's input buffer; 0 while it has none. */
static size_t input_capacity(const mt_connection_t *connection)
{
	const h2o_buffer_t *input = connection->socket->input;

	return input->bytes ? input->capacity : 0;
}

static void update_bytes(mt_connection_t *connection, size_t output_bytes,
			 size_t transferred)
{
	mt_http_guard_set_bytes(connection->connections->guard,
				&connection->guarded,
				input_capacity(connection), output_bytes,
				transferred, now_ms(connection->connections));
}

/* Closing and refusing. */

static bool is_closing(const mt_connection_t *connection)
{
	return uv_is_closing((const uv_handle_t *)&connection->tcp);
}

/** True while input is read; h2o stops reading while it has a request. */
static bool is_reading(const mt_connection_t *connection)
{
	return connection->tcp.read_cb != NULL;
}

/**
 * Closes the connection: has h2o see an error of the socket, as h2o has no
 * function for this.
 */
static void abort_connection(mt_connection_t *connection)
{
	uv_buf_t none = uv_buf_init(NULL, 0);
	uv_os_fd_t fd;

	if (is_closing(connection)) {
		set_phase(connection, MT_HTTP_PHASE_CLOSED);
		return;
	}
	if (is_reading(connection)) {
		connection->h2o_read(stream_of(connection), UV_ECONNABORTED,
				     &none);
	} else if (!uv_fileno((uv_handle_t *)&connection->tcp, &fd)) {
		shutdown(fd, SHUT_RDWR);
	}
	set_phase(connection, is_closing(connection) ? MT_HTTP_PHASE_CLOSED
						     : MT_HTTP_PHASE_ABORTED);
}

/**
 * Sends an answer without a reason phrase, which may be empty (RFC 9112).
 * @return false if the socket does not take the whole answer at once
 */
static bool write_refusal(mt_connection_t *connection, int status)
{
	char text[REFUSAL_MAX_BYTES];
	int len = g_snprintf(text, sizeof(text),
			     "HTTP/1.1 %d \r\n%s"
			     "Content-Type: application/json\r\n"
			     "Content-Length: 2\r\nConnection: close\r\n\r\n{}",
			     status,
			     status == STATUS_UNAVAILABLE ? "Retry-After: 1\r\n"
							  : "");
	uv_buf_t buf = uv_buf_init(text, (unsigned)len);

	if (len < 0 || (size_t)len >= sizeof(text))
		return false;
	return uv_try_write(stream_of(connection), &buf, 1) == len;
}

/** libuv calls it without a check when the connection is closed first. */
static void on_shutdown(uv_shutdown_t *request, int status)
{
}

/**
 * Answers an incomplete request. The connection stays open for a short time, in
 * which its input is discarded: if it were closed with unread input, the client
 * might not receive the answer.
 */
static void refuse(mt_connection_t *connection, int status,
		   mt_http_reason_t reason)
{
	h2o_socket_t *socket = connection->socket;

	if (connection->guarded.phase >= MT_HTTP_PHASE_LINGER)
		return;
	mt_http_guard_count(connection->connections->guard, reason);
	if (!is_reading(connection) || !write_refusal(connection, status) ||
	    uv_shutdown(&connection->shutdown, stream_of(connection),
			on_shutdown)) {
		abort_connection(connection);
		return;
	}
	h2o_buffer_consume(&socket->input, socket->input->size);
	connection->discarded_bytes = 0;
	set_phase(connection, MT_HTTP_PHASE_LINGER);
}

static void enforce_budgets(mt_connections_t *connections,
			    const mt_connection_t *latest)
{
	mt_http_reason_t reason;
	mt_guarded_t *guarded;

	while ((guarded = mt_http_guard_over_budget(connections->guard,
						    &latest->guarded, &reason)))
		refuse(connection_of(guarded), STATUS_UNAVAILABLE, reason);
}

/* Headers. */

static mt_str_t find_header(const struct phr_header *headers, size_t count,
			    const char *name)
{
	size_t len = strlen(name);

	for (size_t i = 0; i < count; i++)
		if (headers[i].name_len == len &&
		    !g_ascii_strncasecmp(headers[i].name, name, len))
			return (mt_str_t){headers[i].value,
					  headers[i].value_len};
	return (mt_str_t){0};
}

/**
 * Has the complete header of an incomplete request checked. A target that is
 * no path ("http://host/path", "*") is not checked, since h2o derives path and
 * authority from it by rules of its own; the handler decides on the request.
 */
static void check_header(mt_connection_t *connection, mt_http_header_t *header)
{
	mt_connections_t *connections = connection->connections;
	const char *query = memchr(header->path.data, '?', header->path.len);
	mt_shared_name_t account = {0};
	int status;

	set_phase(connection, MT_HTTP_PHASE_BODY);
	if (!connections->header_check || !header->path.len ||
	    header->path.data[0] != '/')
		return;
	if (query)
		header->path.len = (size_t)(query - header->path.data);
	status = connections->header_check(connections->header_check_ctx,
					   header, &account);
	if (status)
		refuse(connection, status, MT_HTTP_REASON_HEADER_REFUSED);
	else
		mt_http_guard_set_account(connections->guard,
					  &connection->guarded, account);
}

/** Inspects the header of a request that h2o has not received completely. */
static void inspect_header(mt_connection_t *connection)
{
	const h2o_buffer_t *input = connection->socket->input;
	const mt_http_limits_t *limits =
		mt_http_guard_limits(connection->connections->guard);
	struct phr_header lines[HEADER_LINES_MAX];
	size_t n_lines = HEADER_LINES_MAX;
	mt_http_header_t header = {0};
	int minor_version;
	int len = phr_parse_request(
		input->bytes, input->size, &header.method.data,
		&header.method.len, &header.path.data, &header.path.len,
		&minor_version, lines, &n_lines, connection->parsed_bytes);

	connection->parsed_bytes = input->size;
	if (len > 0 && (size_t)len <= limits->header_max_bytes) {
		header.authority = find_header(lines, n_lines, "host");
		header.authorization =
			find_header(lines, n_lines, "authorization");
		check_header(connection, &header);
	} else if (len > 0 || (len == PARSE_INCOMPLETE &&
			       input->size > limits->header_max_bytes)) {
		refuse(connection, STATUS_HEADER_TOO_LARGE,
		       MT_HTTP_REASON_HEADER_SIZE);
	}
}

/* Reading. */

static void start_header(mt_connection_t *connection)
{
	connection->parsed_bytes = 0;
	set_phase(connection, MT_HTTP_PHASE_HEADER);
}

/** Updates the phase and the bytes after h2o has seen new input. */
static void after_read(mt_connection_t *connection)
{
	const mt_guarded_t *guarded = &connection->guarded;

	if (is_closing(connection)) {
		set_phase(connection, MT_HTTP_PHASE_CLOSED);
		return;
	}
	if (guarded->phase == MT_HTTP_PHASE_IDLE &&
	    connection->socket->input->size)
		start_header(connection);
	/* h2o answers a malformed or too large request by itself. */
	if (guarded->phase <= MT_HTTP_PHASE_BODY && !is_reading(connection)) {
		mt_http_guard_count(connection->connections->guard,
				    MT_HTTP_REASON_REJECTED);
		set_phase(connection, MT_HTTP_PHASE_RESPONSE);
	}
	if (guarded->phase == MT_HTTP_PHASE_HEADER)
		inspect_header(connection);
	if (guarded->phase <= MT_HTTP_PHASE_BODY)
		update_bytes(connection, 0, connection->socket->input->size);
	else if (guarded->phase <= MT_HTTP_PHASE_RESPONSE)
		update_bytes(connection, guarded->output_bytes,
			     guarded->transferred);
	enforce_budgets(connection->connections, connection);
}

static void discard(mt_connection_t *connection, ssize_t nread)
{
	const mt_http_limits_t *limits =
		mt_http_guard_limits(connection->connections->guard);

	if (nread > 0)
		connection->discarded_bytes += (size_t)nread;
	if (nread < 0 || connection->discarded_bytes > limits->body_max_bytes)
		abort_connection(connection);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	mt_connection_t *connection = (mt_connection_t *)handle;

	if (connection->guarded.phase == MT_HTTP_PHASE_LINGER)
		*buf = uv_buf_init(connection->connections->discarded,
				   DISCARD_BYTES);
	else
		connection->h2o_alloc(handle, suggested, buf);
}

static void on_read(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
	mt_connection_t *connection = (mt_connection_t *)stream;

	if (connection->guarded.phase == MT_HTTP_PHASE_LINGER) {
		discard(connection, nread);
		return;
	}
	connection->h2o_read(stream, nread, buf);
	after_read(connection);
}

/**
 * Replaces the callbacks of h2o, if it reads with its own: from the start of a
 * connection, and again after each request, during which it does not read.
 */
static void install_read_callbacks(mt_connection_t *connection)
{
	uv_stream_t *stream = stream_of(connection);

	if (is_closing(connection) || !stream->read_cb ||
	    stream->read_cb == on_read)
		return;
	connection->h2o_alloc = stream->alloc_cb;
	connection->h2o_read = stream->read_cb;
	uv_read_stop(stream);
	uv_read_start(stream, on_alloc, on_read);
}

/** Called before the event loop polls, that is, before h2o can read. */
static void on_before_poll(uv_prepare_t *handle)
{
	mt_connections_t *connections = handle->data;

	for (guint i = 0; i < connections->to_resume->len; i++) {
		mt_connection_t *connection = connections->to_resume->pdata[i];

		connection->resumes = false;
		install_read_callbacks(connection);
		after_read(connection);
	}
	g_ptr_array_set_size(connections->to_resume, 0);
	uv_prepare_stop(handle);
}

/* Deadlines. */

static void check_deadline(void *ctx, mt_guarded_t *guarded)
{
	mt_connections_t *connections = ctx;
	mt_connection_t *connection = connection_of(guarded);
	size_t unsent = connection->tcp.write_queue_size;
	mt_http_reason_t reason;

	/* h2o may have closed the connection after a response. */
	if (is_closing(connection))
		return;
	if (guarded->phase == MT_HTTP_PHASE_RESPONSE &&
	    unsent <= guarded->output_bytes)
		update_bytes(connection, guarded->output_bytes,
			     guarded->output_bytes - unsent);
	reason = mt_http_guard_overdue(connections->guard, guarded,
				       now_ms(connections));
	if (reason == MT_HTTP_REASON_HEADER_TIME ||
	    reason == MT_HTTP_REASON_BODY_TIME) {
		refuse(connection, STATUS_REQUEST_TIMEOUT, reason);
	} else if (reason != MT_HTTP_REASON_NONE) {
		mt_http_guard_count(connections->guard, reason);
		abort_connection(connection);
	}
}

static void check_deadlines(void *ctx)
{
	mt_connections_t *connections = ctx;

	mt_http_guard_foreach(connections->guard, check_deadline, connections);
}

/* Opening and closing. */

static void on_closed(uv_handle_t *handle)
{
	mt_connection_t *connection = (mt_connection_t *)handle;
	mt_connections_t *connections = connection->connections;

	if (connection->is_guarded) {
		g_hash_table_remove(connections->by_socket, connection->socket);
		if (connection->resumes)
			g_ptr_array_remove_fast(connections->to_resume,
						connection);
		mt_http_guard_remove(connections->guard, &connection->guarded);
	}
	if (--connections->count == 0) {
		mt_timers_cancel(mt_loop_timers(connections->loop),
				 connections->check_timer);
		connections->check_timer = 0;
	}
	g_free(connection);
}

static mt_connection_t *new_connection(mt_connections_t *connections)
{
	mt_connection_t *connection = g_new0(mt_connection_t, 1);

	connection->connections = connections;
	uv_tcp_init(mt_loop_uv(connections->loop), &connection->tcp);
	if (connections->count++ == 0)
		connections->check_timer = mt_timers_every(
			mt_loop_timers(connections->loop), CHECK_INTERVAL_MS,
			check_deadlines, connections);
	return connection;
}

/** @return false when the new connection must be closed */
static bool make_room(mt_connections_t *connections)
{
	mt_guarded_t *to_close;
	bool admitted = mt_http_guard_may_add(connections->guard, &to_close);

	if (to_close) {
		mt_http_guard_count(connections->guard,
				    MT_HTTP_REASON_CONNECTIONS);
		if (to_close->phase == MT_HTTP_PHASE_HEADER ||
		    to_close->phase == MT_HTTP_PHASE_BODY)
			write_refusal(connection_of(to_close),
				      STATUS_UNAVAILABLE);
		abort_connection(connection_of(to_close));
	}
	if (!admitted)
		mt_http_guard_count(connections->guard,
				    MT_HTTP_REASON_CONNECTIONS);
	return admitted;
}

void mt_connections_accept(mt_connections_t *connections, uv_stream_t *listener,
			   h2o_accept_ctx_t *accept)
{
	mt_connection_t *connection = new_connection(connections);

	bool accepted = !uv_accept(listener, stream_of(connection));

	if (!accepted)
		mt_http_guard_count(connections->guard, MT_HTTP_REASON_ACCEPT);
	if (!accepted || !make_room(connections)) {
		uv_close((uv_handle_t *)&connection->tcp, on_closed);
		return;
	}
	connection->is_guarded = true;
	mt_http_guard_add(connections->guard, &connection->guarded,
			  now_ms(connections));
	connection->socket =
		h2o_uv_socket_create(stream_of(connection), on_closed);
	g_hash_table_insert(connections->by_socket, connection->socket,
			    connection);
	h2o_accept(accept, connection->socket);
	install_read_callbacks(connection);
}

mt_connections_t *mt_connections_new(mt_loop_t *loop,
				     const mt_http_limits_t *limits)
{
	mt_connections_t *connections = g_new0(mt_connections_t, 1);

	connections->loop = loop;
	connections->guard = mt_http_guard_new(limits);
	connections->by_socket = g_hash_table_new(NULL, NULL);
	connections->to_resume = g_ptr_array_new();
	uv_prepare_init(mt_loop_uv(loop), &connections->before_poll);
	connections->before_poll.data = connections;
	return connections;
}

static void on_prepare_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void mt_connections_free(mt_connections_t *connections)
{
	mt_http_guard_free(connections->guard);
	g_hash_table_unref(connections->by_socket);
	g_ptr_array_unref(connections->to_resume);
	uv_close((uv_handle_t *)&connections->before_poll, on_prepare_closed);
}

mt_http_guard_t *mt_connections_guard(const mt_connections_t *connections)
{
	return connections->guard;
}

void mt_connections_set_header_check(mt_connections_t *connections,
				     mt_http_header_cb cb, void *ctx)
{
	connections->header_check = cb;
	connections->header_check_ctx = ctx;
}

unsigned mt_connections_count(const mt_connections_t *connections)
{
	return connections->count;
}

/* Requests. */

mt_connection_t *mt_connections_find(const mt_connections_t *connections,
				     h2o_conn_t *h2o_connection)
{
	h2o_socket_t *socket =
		h2o_connection->callbacks->get_socket(h2o_connection);

	return g_hash_table_lookup(connections->by_socket, socket);
}

void mt_connection_request_received(mt_connection_t *connection)
{
	set_phase(connection, MT_HTTP_PHASE_WAITING);
	update_bytes(connection, 0, 0);
}

void mt_connection_response_ready(mt_connection_t *connection, size_t bytes)
{
	set_phase(connection, MT_HTTP_PHASE_RESPONSE);
	update_bytes(connection, bytes, 0);
}

void mt_connection_request_ended(mt_connection_t *connection)
{
	mt_connections_t *connections = connection->connections;

	if (connection->guarded.phase >= MT_HTTP_PHASE_LINGER)
		return;
	set_phase(connection, MT_HTTP_PHASE_IDLE);
	mt_http_guard_set_bytes(connections->guard, &connection->guarded, 0, 0,
				0, now_ms(connections));
	/* Several pipelined requests may end before the loop polls again. */
	if (connection->resumes)
		return;
	connection->resumes = true;
	g_ptr_array_add(connections->to_resume, connection);
	uv_prepare_start(&connections->before_poll, on_before_poll);
}
