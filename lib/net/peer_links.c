/** @file peer_links.c TCP connections between hosts. */
#include "net/peer_links.h"

#include <string.h>

#define RECONNECT_DELAY_MS 500u
#define LISTEN_BACKLOG 128

struct mt_peer_links_t {
	mt_kernel_t *kernel;
	mt_loop_t *loop;
	GBytes *hello_bytes; /**< packed; the first frame on outbound links */
	uv_tcp_t listener;
	GHashTable *outbound; /**< host to mt_outbound_t */
	mt_frame_cb cb;
	void *ctx;
};

/** A link that this host opens. */
typedef struct mt_outbound_t {
	mt_peer_links_t *links;
	mt_name_t host;
	struct sockaddr_storage address;
	uv_tcp_t *tcp; /**< NULL while closed */
	bool open;     /**< connected, so frames can be sent */
	uv_connect_t connect;
} mt_outbound_t;

/** A link that this host accepted. */
typedef struct mt_inbound_t {
	mt_peer_links_t *links;
	uv_tcp_t tcp;
	GByteArray *buffer;
	MtPb__Frame *hello_frame; /**< NULL until it is received */
} mt_inbound_t;

typedef struct mt_write_t {
	uv_write_t request;
	GBytes *data;
} mt_write_t;

static void connect_outbound(void *ctx);

/** @return false if `address` is not an IP address */
static bool parse_address(const mt_name_t *address, uint16_t port,
			  struct sockaddr_storage *parsed)
{
	return !uv_ip4_addr(address->text, port,
			    (struct sockaddr_in *)parsed) ||
	       !uv_ip6_addr(address->text, port, (struct sockaddr_in6 *)parsed);
}

/* Outbound links. */

static void on_outbound_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static void close_outbound(mt_outbound_t *out)
{
	if (!out->tcp)
		return;
	/* Later callbacks for this handle see from the NULL that the link is
	 * closed. */
	out->tcp->data = NULL;
	uv_close((uv_handle_t *)out->tcp, on_outbound_closed);
	out->tcp = NULL;
	out->open = false;
	mt_timers_after(
		mt_loop_timers(out->links->loop),
		mt_kernel_jitter(out->links->kernel, RECONNECT_DELAY_MS),
		connect_outbound, out);
}

static void on_written(uv_write_t *request, int status)
{
	mt_write_t *write = (mt_write_t *)request;
	mt_outbound_t *out = request->handle->data;

	if (status < 0 && out)
		close_outbound(out);
	g_bytes_unref(write->data);
	g_free(write);
}

static void write_bytes(mt_outbound_t *out, GBytes *data)
{
	mt_write_t *write = g_new0(mt_write_t, 1);
	gsize len;
	const void *bytes = g_bytes_get_data(data, &len);
	uv_buf_t buffer = uv_buf_init((char *)bytes, (unsigned)len);

	write->data = g_bytes_ref(data);
	*mt_kernel_counter(out->links->kernel, "peer_bytes_sent_total") += len;
	if (uv_write(&write->request, (uv_stream_t *)out->tcp, &buffer, 1,
		     on_written)) {
		g_bytes_unref(write->data);
		g_free(write);
		close_outbound(out);
	}
}

static void on_outbound_alloc(uv_handle_t *handle, size_t suggested,
			      uv_buf_t *buffer)
{
	static char scratch[1024];

	(void)handle;
	(void)suggested;
	*buffer = uv_buf_init(scratch, sizeof(scratch));
}

/** Detects that the peer closed the link; peers send no data on it. */
static void on_outbound_read(uv_stream_t *stream, ssize_t count,
			     const uv_buf_t *buffer)
{
	(void)buffer;
	if (count < 0 && stream->data)
		close_outbound(stream->data);
}

static void on_connected(uv_connect_t *request, int status)
{
	mt_outbound_t *out = request->handle->data;

	if (!out)
		return;
	if (status < 0) {
		close_outbound(out);
		return;
	}
	out->open = true;
	uv_tcp_nodelay(out->tcp, 1);
	uv_read_start((uv_stream_t *)out->tcp, on_outbound_alloc,
		      on_outbound_read);
	write_bytes(out, out->links->hello_bytes);
}

static void connect_outbound(void *ctx)
{
	mt_outbound_t *out = ctx;

	out->tcp = g_new0(uv_tcp_t, 1);
	uv_tcp_init(mt_loop_uv(out->links->loop), out->tcp);
	out->tcp->data = out;
	if (uv_tcp_connect(&out->connect, out->tcp,
			   (struct sockaddr *)&out->address, on_connected))
		close_outbound(out);
}

void mt_peer_links_add(mt_peer_links_t *links, const mt_name_t *host,
		       const mt_name_t *address, uint16_t port)
{
	mt_outbound_t *out = g_new0(mt_outbound_t, 1);

	out->links = links;
	out->host = *host;
	if (!parse_address(address, port, &out->address)) {
		g_free(out);
		return;
	}
	g_hash_table_insert(links->outbound, &out->host, out);
	connect_outbound(out);
}

void mt_peer_links_send(mt_peer_links_t *links, const mt_name_t *host,
			const MtPb__Frame *frame)
{
	mt_outbound_t *out = g_hash_table_lookup(links->outbound, host);
	GBytes *packed;

	if (!out || !out->open)
		return;
	if (uv_stream_get_write_queue_size((uv_stream_t *)out->tcp) >
	    MT_LINK_QUEUE_MAX_BYTES) {
		mt_kernel_count(links->kernel, "peer_frames_dropped_total");
		return;
	}
	packed = mt_frame_pack(frame);
	write_bytes(out, packed);
	g_bytes_unref(packed);
}

/* Inbound links. */

static void on_inbound_closed(uv_handle_t *handle)
{
	mt_inbound_t *in = handle->data;

	g_byte_array_unref(in->buffer);
	mt_frame_free(in->hello_frame);
	g_free(in);
}

static void close_inbound(mt_inbound_t *in)
{
	if (!uv_is_closing((uv_handle_t *)&in->tcp))
		uv_close((uv_handle_t *)&in->tcp, on_inbound_closed);
}

static void on_inbound_alloc(uv_handle_t *handle, size_t suggested,
			     uv_buf_t *buffer)
{
	(void)handle;
	*buffer = uv_buf_init(g_malloc(suggested), (unsigned)suggested);
}

static bool is_hello_valid(const MtPb__Frame *frame)
{
	const MtPb__Hello *hello = frame->hello;

	return frame->body_case == MT_PB__FRAME__BODY_HELLO &&
	       hello->protocol == MT_PEER_PROTOCOL &&
	       mt_name_is_valid(mt_str_from(hello->host)) &&
	       mt_name_is_valid(mt_str_from(hello->dc)) &&
	       mt_name_is_valid(mt_str_from(hello->incarnation));
}

/**
 * Handles a frame and takes ownership of it.
 * @return false, without taking ownership, if the link must be closed
 */
static bool handle_frame(mt_inbound_t *in, MtPb__Frame *frame)
{
	if (!in->hello_frame) {
		if (!is_hello_valid(frame))
			return false;
		in->hello_frame = frame;
		return true;
	}
	in->links->cb(in->links->ctx, in->hello_frame->hello, frame);
	mt_frame_free(frame);
	return true;
}

static bool handle_frames(mt_inbound_t *in)
{
	for (;;) {
		MtPb__Frame *frame;

		if (!mt_frame_take(in->buffer, &frame)) {
			mt_frame_free(frame);
			return false;
		}
		if (!frame)
			return true;
		if (!handle_frame(in, frame)) {
			mt_frame_free(frame);
			return false;
		}
	}
}

static void on_inbound_read(uv_stream_t *stream, ssize_t count,
			    const uv_buf_t *buffer)
{
	mt_inbound_t *in = stream->data;

	if (count > 0)
		g_byte_array_append(in->buffer, (guint8 *)buffer->base,
				    (guint)count);
	g_free(buffer->base);
	if (count < 0) {
		close_inbound(in);
	} else if (!handle_frames(in)) {
		mt_kernel_count(in->links->kernel,
				"peer_links_malformed_total");
		close_inbound(in);
	}
}

static void on_connection(uv_stream_t *listener, int status)
{
	mt_peer_links_t *links = listener->data;
	mt_inbound_t *in;

	if (status < 0)
		return;
	in = g_new0(mt_inbound_t, 1);
	in->links = links;
	in->buffer = g_byte_array_new();
	uv_tcp_init(mt_loop_uv(links->loop), &in->tcp);
	in->tcp.data = in;
	if (uv_accept(listener, (uv_stream_t *)&in->tcp) ||
	    uv_read_start((uv_stream_t *)&in->tcp, on_inbound_alloc,
			  on_inbound_read))
		close_inbound(in);
}

static bool listen_on(mt_peer_links_t *links, const mt_name_t *address,
		      uint16_t port)
{
	struct sockaddr_storage socket_address;

	if (!parse_address(address, port, &socket_address))
		return false;
	uv_tcp_init(mt_loop_uv(links->loop), &links->listener);
	links->listener.data = links;
	return !uv_tcp_bind(&links->listener,
			    (struct sockaddr *)&socket_address, 0) &&
	       !uv_listen((uv_stream_t *)&links->listener, LISTEN_BACKLOG,
			  on_connection);
}

mt_peer_links_t *mt_peer_links_new(mt_kernel_t *kernel, mt_loop_t *loop,
				   const mt_name_t *address, uint16_t port,
				   const MtPb__Hello *self, mt_frame_cb cb,
				   void *ctx)
{
	mt_peer_links_t *links = g_new0(mt_peer_links_t, 1);
	MtPb__Frame frame = MT_PB__FRAME__INIT;

	frame.body_case = MT_PB__FRAME__BODY_HELLO;
	frame.hello = (MtPb__Hello *)self;
	links->kernel = kernel;
	links->loop = loop;
	links->hello_bytes = mt_frame_pack(&frame);
	links->outbound = g_hash_table_new(mt_name_hash, mt_name_key_equal);
	links->cb = cb;
	links->ctx = ctx;
	if (listen_on(links, address, port))
		return links;
	g_bytes_unref(links->hello_bytes);
	g_hash_table_destroy(links->outbound);
	g_free(links);
	return NULL;
}
