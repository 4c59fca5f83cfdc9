/** @file proxy.c TCP proxy whose open channels can go silent for good. */
#include <stdlib.h>

#include "standin.h"

typedef struct channel_t {
	uv_tcp_t near;
	uv_tcp_t far;
	uv_connect_t connect;
	unsigned open_ends;
	unsigned delayed; /**< number of writes that wait */
	bool silent;
	bool closing;
} channel_t;

typedef struct write_t {
	uv_write_t request;
	char *data;
	size_t len;
	channel_t *channel; /**< of a delayed write */
	bool to_far;
} write_t;

typedef struct proxy_t {
	uv_tcp_t listener;
	uint16_t far_port;
} proxy_t;

static GPtrArray *channels;
static mt_ms_t delay_ms;

static void free_if_unused(channel_t *channel)
{
	if (channel->open_ends || channel->delayed)
		return;
	g_ptr_array_remove_fast(channels, channel);
	g_free(channel);
}

static void on_closed(uv_handle_t *handle)
{
	channel_t *channel = handle->data;

	channel->open_ends--;
	free_if_unused(channel);
}

static void close_channel(channel_t *channel)
{
	if (channel->closing)
		return;
	channel->closing = true;
	uv_close((uv_handle_t *)&channel->near, on_closed);
	uv_close((uv_handle_t *)&channel->far, on_closed);
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buffer)
{
	*buffer = uv_buf_init(malloc(size), (unsigned)size);
}

static void on_written(uv_write_t *request, int status)
{
	write_t *write = (write_t *)request;

	free(write->data);
	free(write);
}

static void send_write(void *ctx)
{
	write_t *write = ctx;
	channel_t *channel = write->channel;
	uv_tcp_t *to = write->to_far ? &channel->far : &channel->near;
	uv_buf_t data = uv_buf_init(write->data, (unsigned)write->len);

	channel->delayed--;
	if (channel->closing || channel->silent)
		on_written(&write->request, 0);
	else
		uv_write(&write->request, (uv_stream_t *)to, &data, 1,
			 on_written);
	free_if_unused(channel);
}

static void on_data(uv_stream_t *from, ssize_t n, const uv_buf_t *buffer)
{
	channel_t *channel = from->data;
	uv_stream_t *to = (uv_stream_t *)(from == (uv_stream_t *)&channel->near
						  ? &channel->far
						  : &channel->near);
	write_t *write;

	if (n <= 0) {
		free(buffer->base);
		if (n < 0)
			close_channel(channel);
		return;
	}
	write = calloc(1, sizeof(*write));
	write->data = buffer->base;
	write->len = (size_t)n;
	write->channel = channel;
	write->to_far = to == (uv_stream_t *)&channel->far;
	channel->delayed++;
	if (delay_ms || channel->delayed > 1)
		mt_timers_after(timers, delay_ms, send_write, write);
	else
		send_write(write);
}

static void on_connected(uv_connect_t *connect, int status)
{
	channel_t *channel = connect->data;

	if (channel->closing || channel->silent)
		return;
	if (status) {
		close_channel(channel);
		return;
	}
	uv_read_start((uv_stream_t *)&channel->near, on_alloc, on_data);
	uv_read_start((uv_stream_t *)&channel->far, on_alloc, on_data);
}

static void on_connection(uv_stream_t *listener, int status)
{
	proxy_t *proxy = listener->data;
	channel_t *channel = g_new0(channel_t, 1);
	struct sockaddr_in far;

	channel->open_ends = 2;
	uv_tcp_init(listener->loop, &channel->near);
	uv_tcp_init(listener->loop, &channel->far);
	channel->near.data = channel->far.data = channel;
	channel->connect.data = channel;
	g_ptr_array_add(channels, channel);
	if (status || uv_accept(listener, (uv_stream_t *)&channel->near)) {
		close_channel(channel);
		return;
	}
	uv_tcp_nodelay(&channel->near, 1);
	uv_tcp_nodelay(&channel->far, 1);
	uv_ip4_addr("127.0.0.1", proxy->far_port, &far);
	uv_tcp_connect(&channel->connect, &channel->far,
		       (struct sockaddr *)&far, on_connected);
}

bool proxy_listen(uint16_t port, uint16_t far_port)
{
	proxy_t *proxy = g_new0(proxy_t, 1);
	struct sockaddr_in near;

	if (!channels)
		channels = g_ptr_array_new();
	proxy->far_port = far_port;
	proxy->listener.data = proxy;
	uv_tcp_init(mt_loop_uv(loop), &proxy->listener);
	uv_ip4_addr("127.0.0.1", port, &near);
	return !uv_tcp_bind(&proxy->listener, (struct sockaddr *)&near, 0) &&
	       !uv_listen((uv_stream_t *)&proxy->listener, 128, on_connection);
}

unsigned proxy_silence(void)
{
	unsigned n = 0;

	for (guint i = 0; i < channels->len; i++) {
		channel_t *channel = channels->pdata[i];

		if (channel->closing || channel->silent)
			continue;
		channel->silent = true;
		uv_read_stop((uv_stream_t *)&channel->near);
		uv_read_stop((uv_stream_t *)&channel->far);
		n++;
	}
	return n;
}

void proxy_delay(mt_ms_t ms)
{
	delay_ms = ms;
}
