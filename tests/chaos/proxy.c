/** @file proxy.c TCP proxy on loopback with injected faults. */
#include "chaos/proxy.h"

#include <glib.h>
#include <netinet/in.h>
#include <stdlib.h>

#define BACKLOG 128

typedef struct mt_pipe_t mt_pipe_t;

/** One of the two connections of a pipe. */
typedef struct mt_pipe_end_t {
	mt_pipe_t *pipe;
	uv_tcp_t tcp;
	bool to_target; /**< else this is the connection to the client */
	bool open;
} mt_pipe_end_t;

/** A client's connection and the matching connection to the target. */
struct mt_pipe_t {
	mt_proxy_t *proxy;
	mt_pipe_end_t client;
	mt_pipe_end_t target;
	bool lost_bytes;  /**< bytes were dropped: drop all later ones */
	unsigned handles; /**< number of open libuv handles */
	unsigned chunks;  /**< number of chunks delayed or being written */
	bool closing;
};

struct mt_proxy_t {
	mt_loop_t *loop;
	uv_tcp_t listener;
	uint16_t target;
	mt_proxy_fault_t fault;
	GHashTable *pipes;
};

/** Bytes to be forwarded. */
typedef struct mt_chunk_t {
	mt_pipe_t *pipe;
	mt_pipe_end_t *to;
	uv_write_t write;
	char *data;
	size_t len;
} mt_chunk_t;

static void free_if_closed(mt_pipe_t *pipe)
{
	if (!pipe->closing || pipe->handles || pipe->chunks)
		return;
	g_hash_table_remove(pipe->proxy->pipes, pipe);
	g_free(pipe);
}

static void on_closed(uv_handle_t *handle)
{
	mt_pipe_end_t *end = handle->data;

	end->pipe->handles--;
	free_if_closed(end->pipe);
}

static void close_pipe(mt_pipe_t *pipe, bool reset)
{
	mt_pipe_end_t *ends[] = {&pipe->client, &pipe->target};

	if (pipe->closing)
		return;
	pipe->closing = true;
	for (size_t i = 0; i < G_N_ELEMENTS(ends); i++) {
		ends[i]->open = false;
		if (reset)
			uv_tcp_close_reset(&ends[i]->tcp, on_closed);
		else
			uv_close((uv_handle_t *)&ends[i]->tcp, on_closed);
	}
}

static void free_chunk(mt_chunk_t *chunk)
{
	mt_pipe_t *pipe = chunk->pipe;

	g_free(chunk->data);
	g_free(chunk);
	pipe->chunks--;
	free_if_closed(pipe);
}

static void on_forwarded(uv_write_t *write, int status)
{
	mt_chunk_t *chunk = write->data;

	if (status)
		close_pipe(chunk->pipe, false);
	free_chunk(chunk);
}

static void forward_chunk(void *ctx)
{
	mt_chunk_t *chunk = ctx;
	uv_buf_t buf = uv_buf_init(chunk->data, (unsigned)chunk->len);

	chunk->write.data = chunk;
	if (!chunk->to->open ||
	    uv_write(&chunk->write, (uv_stream_t *)&chunk->to->tcp, &buf, 1,
		     on_forwarded))
		free_chunk(chunk);
}

static bool is_dropped(const mt_pipe_end_t *from)
{
	const mt_proxy_fault_t *fault = &from->pipe->proxy->fault;

	return from->pipe->lost_bytes ||
	       (from->to_target ? fault->drop_answers : fault->drop_requests);
}

static void on_bytes(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	mt_pipe_end_t *from = stream->data;
	mt_pipe_t *pipe = from->pipe;
	mt_ms_t delay = pipe->proxy->fault.delay_ms;
	mt_chunk_t *chunk;

	if (len <= 0 || is_dropped(from)) {
		pipe->lost_bytes = pipe->lost_bytes || len > 0;
		if (len < 0)
			close_pipe(pipe, false);
		g_free(buf->base);
		return;
	}
	chunk = g_new0(mt_chunk_t, 1);
	chunk->pipe = pipe;
	chunk->to = from->to_target ? &pipe->client : &pipe->target;
	chunk->data = buf->base;
	chunk->len = (size_t)len;
	pipe->chunks++;
	if (delay)
		mt_timers_after(mt_loop_timers(pipe->proxy->loop), delay,
				forward_chunk, chunk);
	else
		forward_chunk(chunk);
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	*buf = uv_buf_init(g_malloc(size), (unsigned)size);
}

static void on_connected(uv_connect_t *connect, int status)
{
	mt_pipe_t *pipe = connect->data;

	g_free(connect);
	if (pipe->closing)
		return;
	if (status) {
		close_pipe(pipe, true);
		return;
	}
	uv_read_start((uv_stream_t *)&pipe->client.tcp, on_alloc, on_bytes);
	uv_read_start((uv_stream_t *)&pipe->target.tcp, on_alloc, on_bytes);
}

static void init_end(mt_pipe_t *pipe, mt_pipe_end_t *end, bool to_target)
{
	end->pipe = pipe;
	end->to_target = to_target;
	end->open = true;
	uv_tcp_init(mt_loop_uv(pipe->proxy->loop), &end->tcp);
	uv_tcp_nodelay(&end->tcp, 1);
	end->tcp.data = end;
	pipe->handles++;
}

static void on_client(uv_stream_t *listener, int status)
{
	mt_proxy_t *proxy = listener->data;
	mt_pipe_t *pipe = g_new0(mt_pipe_t, 1);
	uv_connect_t *connect = g_new0(uv_connect_t, 1);
	struct sockaddr_in address;

	pipe->proxy = proxy;
	init_end(pipe, &pipe->client, false);
	init_end(pipe, &pipe->target, true);
	g_hash_table_add(proxy->pipes, pipe);
	connect->data = pipe;
	uv_ip4_addr("127.0.0.1", proxy->target, &address);
	if (status || uv_accept(listener, (uv_stream_t *)&pipe->client.tcp) ||
	    uv_tcp_connect(connect, &pipe->target.tcp,
			   (const struct sockaddr *)&address, on_connected)) {
		g_free(connect);
		close_pipe(pipe, false);
	}
}

mt_proxy_t *mt_proxy_new(mt_loop_t *loop, uint16_t port, uint16_t target)
{
	mt_proxy_t *proxy = g_new0(mt_proxy_t, 1);
	struct sockaddr_in address;

	proxy->loop = loop;
	proxy->target = target;
	proxy->pipes = g_hash_table_new(NULL, NULL);
	uv_tcp_init(mt_loop_uv(loop), &proxy->listener);
	proxy->listener.data = proxy;
	uv_ip4_addr("127.0.0.1", port, &address);
	if (uv_tcp_bind(&proxy->listener, (const struct sockaddr *)&address,
			0) ||
	    uv_listen((uv_stream_t *)&proxy->listener, BACKLOG, on_client))
		return NULL;
	return proxy;
}

void mt_proxy_set_fault(mt_proxy_t *proxy, const mt_proxy_fault_t *fault)
{
	proxy->fault = *fault;
}

void mt_proxy_reset(mt_proxy_t *proxy)
{
	GList *pipes = g_hash_table_get_keys(proxy->pipes);

	for (GList *at = pipes; at; at = at->next)
		close_pipe(at->data, true);
	g_list_free(pipes);
}

void mt_proxy_close(mt_proxy_t *proxy)
{
	mt_proxy_reset(proxy);
	uv_close((uv_handle_t *)&proxy->listener, NULL);
}
