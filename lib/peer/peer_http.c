/** @file peer_http.c Calls between hosts over HTTP. */
#include "peer/peer_http.h"

#define PEER_PATH "/call"
#define CONTENT_TYPE "application/x-protobuf"

/** Maximum size of a request body; calls are small. */
#define BODY_MAX_BYTES 4096u

#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400

struct mt_peer_http_t {
	/** The interface that this file implements. */
	mt_peer_port_t peer_port;
	mt_kernel_t *kernel;
	mt_http_client_t *client;
};

/* Client side. */

typedef struct mt_peer_request_t {
	mt_peer_http_t *peer_http;
	mt_peer_cb cb;
	void *ctx;
	GBytes *body;
} mt_peer_request_t;

/** @return NULL if the response is not a valid reply */
static MtDag__PeerReply *parse_reply(mt_peer_http_t *peer_http,
				     const mt_http_response_t *response)
{
	MtDag__PeerReply *reply;

	if (response->result != MT_HTTP_RESPONSE)
		return NULL;
	reply = response->status == STATUS_OK
			? mt_dag__peer_reply__unpack(
				  NULL, response->body.len,
				  (const uint8_t *)response->body.data)
			: NULL;
	if (!reply)
		mt_log(peer_http->kernel, MT_LOG_ERR, "peer",
		       "no valid reply in the response of another host, "
		       "HTTP status %d",
		       response->status);
	return reply;
}

static void on_response(void *ctx, const mt_http_response_t *response)
{
	mt_peer_request_t *request = ctx;
	MtDag__PeerReply *reply = parse_reply(request->peer_http, response);

	request->cb(request->ctx, reply);
	if (reply)
		mt_dag__peer_reply__free_unpacked(reply, NULL);
	g_bytes_unref(request->body);
	g_free(request);
}

static void call(void *self, const mt_endpoint_t *host,
		 const MtDag__PeerCall *peer_call, mt_peer_cb cb, void *ctx)
{
	mt_peer_http_t *peer_http = self;
	mt_peer_request_t *request = g_new0(mt_peer_request_t, 1);
	mt_http_request_t http_request = {0};

	request->peer_http = peer_http;
	request->cb = cb;
	request->ctx = ctx;
	request->body = mt_dag_pack(&peer_call->base);
	http_request.address = host->address;
	http_request.port = host->port;
	http_request.method = "POST";
	http_request.path = PEER_PATH;
	http_request.body = mt_bytes_view(request->body);
	http_request.timeout_ms = MT_PEER_TIMEOUT_MS;
	mt_kernel_count(peer_http->kernel, "peer_calls_total");
	mt_http_send(peer_http->client, &http_request, on_response, request);
}

mt_peer_http_t *mt_peer_http_new(mt_kernel_t *kernel, mt_http_client_t *client)
{
	mt_peer_http_t *peer_http = g_new0(mt_peer_http_t, 1);

	peer_http->kernel = kernel;
	peer_http->client = client;
	peer_http->peer_port = (mt_peer_port_t){peer_http, call};
	return peer_http;
}

const mt_peer_port_t *mt_peer_http_port(const mt_peer_http_t *peer_http)
{
	return &peer_http->peer_port;
}

/* Server side. */

typedef struct mt_peer_server_t {
	mt_kernel_t *kernel;
	mt_dag_front_t *front;
} mt_peer_server_t;

/** A call of another host that has not been replied to. */
typedef struct mt_open_peer_call_t {
	mt_http_exchange_t *exchange; /**< NULL after a disconnect */
} mt_open_peer_call_t;

static void on_reply(void *ctx, const mt_front_reply_t *reply)
{
	mt_open_peer_call_t *open_call = ctx;
	MtDag__PeerReply peer_reply = MT_DAG__PEER_REPLY__INIT;
	GBytes *bytes;

	if (open_call->exchange) {
		peer_reply.outcome = reply->outcome;
		peer_reply.state = reply->state;
		peer_reply.pending = reply->pending;
		bytes = mt_dag_pack(&peer_reply.base);
		mt_http_on_disconnect(open_call->exchange, NULL, NULL);
		mt_http_respond(open_call->exchange, STATUS_OK, CONTENT_TYPE,
				mt_bytes_view(bytes), NULL);
		g_bytes_unref(bytes);
	}
	g_free(open_call);
}

static void on_disconnect(void *ctx)
{
	mt_open_peer_call_t *open_call = ctx;

	open_call->exchange = NULL;
}

static void on_request(void *ctx, const mt_http_incoming_request_t *request)
{
	mt_peer_server_t *server = ctx;
	MtDag__PeerCall *peer_call = mt_dag__peer_call__unpack(
		NULL, request->body.len, (const uint8_t *)request->body.data);
	mt_open_peer_call_t *open_call;

	if (!peer_call) {
		mt_log(server->kernel, MT_LOG_ERR, "peer",
		       "refusing a malformed call of another host");
		mt_http_respond(request->exchange, STATUS_BAD_REQUEST,
				CONTENT_TYPE, (mt_str_t){0}, NULL);
		return;
	}
	open_call = g_new0(mt_open_peer_call_t, 1);
	open_call->exchange = request->exchange;
	mt_http_on_disconnect(request->exchange, on_disconnect, open_call);
	mt_dag_front_peer_call(server->front, peer_call, on_reply, open_call);
	mt_dag__peer_call__free_unpacked(peer_call, NULL);
}

mt_http_server_t *mt_peer_server_new(mt_kernel_t *kernel, mt_loop_t *loop,
				     const mt_endpoint_t *endpoint,
				     mt_dag_front_t *front)
{
	mt_peer_server_t *server = g_new0(mt_peer_server_t, 1);

	server->kernel = kernel;
	server->front = front;
	return mt_http_server_new(loop, &endpoint->address, endpoint->port,
				  BODY_MAX_BYTES, on_request, server);
}
