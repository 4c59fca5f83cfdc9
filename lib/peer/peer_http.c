/** @file peer_http.c Calls between hosts over HTTP. */
#include "peer/peer_http.h"

#define CALL_PATH "/call"
#define CONFIG_PATH "/config"
#define CONTENT_TYPE "application/x-protobuf"

/** Maximum size of a request body; calls are small. */
#define BODY_MAX_BYTES 4096u

/** Maximum size of a response. The configuration is the largest one; it is
 * sent whole, so that its size must stay below this. */
#define RESPONSE_MAX_BYTES (4u * 1024u * 1024u)

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
	mt_peer_cb cb;		     /**< of a call about a job or queue */
	mt_peer_config_cb config_cb; /**< of a call for the configuration */
	void *ctx;
	GBytes *body;
} mt_peer_request_t;

/** @return NULL if the response is not a valid message of this type */
static ProtobufCMessage *
parse_reply(mt_peer_http_t *peer_http,
	    const ProtobufCMessageDescriptor *descriptor,
	    const mt_http_response_t *response)
{
	ProtobufCMessage *reply = NULL;

	if (response->result != MT_HTTP_RESPONSE)
		return NULL;
	if (response->status == STATUS_OK)
		reply = protobuf_c_message_unpack(
			descriptor, NULL, response->body.len,
			(const uint8_t *)response->body.data);
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
	ProtobufCMessage *reply =
		parse_reply(request->peer_http,
			    request->cb ? &mt_dag__peer_reply__descriptor
					: &mt_dag__config_reply__descriptor,
			    response);

	if (request->cb)
		request->cb(request->ctx, (MtDag__PeerReply *)reply);
	else
		request->config_cb(request->ctx, (MtDag__ConfigReply *)reply);
	if (reply)
		protobuf_c_message_free_unpacked(reply, NULL);
	g_bytes_unref(request->body);
	g_free(request);
}

/** Sends a message to another host; takes ownership of `request`. */
static void send_message(mt_peer_http_t *peer_http, const mt_endpoint_t *host,
			 const char *path, const ProtobufCMessage *message,
			 mt_peer_request_t *request)
{
	mt_http_request_t http_request = {0};

	request->peer_http = peer_http;
	request->body = mt_dag_pack(message);
	http_request.address = host->address;
	http_request.port = host->port;
	http_request.method = "POST";
	http_request.path = path;
	http_request.body = mt_bytes_view(request->body);
	http_request.timeout_ms = MT_PEER_TIMEOUT_MS;
	http_request.response_max_bytes = RESPONSE_MAX_BYTES;
	mt_kernel_count(peer_http->kernel, "peer_calls_total");
	mt_http_send(peer_http->client, &http_request, on_response, request);
}

static void call(void *self, const mt_endpoint_t *host,
		 const MtDag__PeerCall *peer_call, mt_peer_cb cb, void *ctx)
{
	mt_peer_request_t *request = g_new0(mt_peer_request_t, 1);

	request->cb = cb;
	request->ctx = ctx;
	send_message(self, host, CALL_PATH, &peer_call->base, request);
}

static void get_config(void *self, const mt_endpoint_t *host,
		       const MtDag__ConfigCall *config_call,
		       mt_peer_config_cb cb, void *ctx)
{
	mt_peer_request_t *request = g_new0(mt_peer_request_t, 1);

	request->config_cb = cb;
	request->ctx = ctx;
	send_message(self, host, CONFIG_PATH, &config_call->base, request);
}

mt_peer_http_t *mt_peer_http_new(mt_kernel_t *kernel, mt_http_client_t *client)
{
	mt_peer_http_t *peer_http = g_new0(mt_peer_http_t, 1);

	peer_http->kernel = kernel;
	peer_http->client = client;
	peer_http->peer_port = (mt_peer_port_t){peer_http, call, get_config};
	return peer_http;
}

const mt_peer_port_t *mt_peer_http_port(const mt_peer_http_t *peer_http)
{
	return &peer_http->peer_port;
}

/* Server side. */

/** Interval between messages about malformed calls, which are counted. */
#define REFUSAL_LOG_INTERVAL_MS 1000u

typedef struct mt_peer_server_t {
	mt_kernel_t *kernel;
	mt_dag_host_t *host;
	mt_ms_t refusal_logged_at; /**< 0: never */
} mt_peer_server_t;

/** A call of another host that has not been replied to. */
typedef struct mt_open_peer_call_t {
	mt_http_exchange_t *exchange; /**< NULL after a disconnect */
} mt_open_peer_call_t;

static void respond(mt_http_exchange_t *exchange,
		    const ProtobufCMessage *message)
{
	GBytes *bytes = mt_dag_pack(message);

	mt_http_respond(exchange, STATUS_OK, CONTENT_TYPE, mt_bytes_view(bytes),
			NULL);
	g_bytes_unref(bytes);
}

static void refuse(mt_peer_server_t *server, mt_http_exchange_t *exchange)
{
	mt_ms_t now = mt_kernel_now(server->kernel);

	mt_kernel_count(server->kernel, "peer_calls_malformed_total");
	if (!server->refusal_logged_at ||
	    now - server->refusal_logged_at >= REFUSAL_LOG_INTERVAL_MS) {
		server->refusal_logged_at = now;
		mt_log(server->kernel, MT_LOG_ERR, "peer",
		       "refusing a malformed call of another host");
	}
	mt_http_respond(exchange, STATUS_BAD_REQUEST, CONTENT_TYPE,
			(mt_str_t){0}, NULL);
}

static void on_reply(void *ctx, const mt_front_reply_t *reply)
{
	mt_open_peer_call_t *open_call = ctx;
	MtDag__PeerReply peer_reply = MT_DAG__PEER_REPLY__INIT;

	if (open_call->exchange) {
		peer_reply.outcome = reply->outcome;
		peer_reply.state = reply->state;
		peer_reply.pending = reply->pending;
		mt_http_on_disconnect(open_call->exchange, NULL, NULL);
		respond(open_call->exchange, &peer_reply.base);
	}
	g_free(open_call);
}

static void on_disconnect(void *ctx)
{
	mt_open_peer_call_t *open_call = ctx;

	open_call->exchange = NULL;
}

static void on_config_request(mt_peer_server_t *server,
			      const mt_http_incoming_request_t *request)
{
	MtDag__ConfigCall *config_call = mt_dag__config_call__unpack(
		NULL, request->body.len, (const uint8_t *)request->body.data);
	MtDag__ConfigReply reply;

	if (!config_call) {
		refuse(server, request->exchange);
		return;
	}
	reply = mt_dag_host_config(server->host, config_call);
	mt_dag__config_call__free_unpacked(config_call, NULL);
	respond(request->exchange, &reply.base);
}

static void on_call_request(mt_peer_server_t *server,
			    const mt_http_incoming_request_t *request)
{
	MtDag__PeerCall *peer_call = mt_dag__peer_call__unpack(
		NULL, request->body.len, (const uint8_t *)request->body.data);
	mt_open_peer_call_t *open_call;

	if (!peer_call) {
		refuse(server, request->exchange);
		return;
	}
	open_call = g_new0(mt_open_peer_call_t, 1);
	open_call->exchange = request->exchange;
	mt_http_on_disconnect(request->exchange, on_disconnect, open_call);
	mt_dag_front_peer_call(mt_dag_host_front(server->host), peer_call,
			       on_reply, open_call);
	mt_dag__peer_call__free_unpacked(peer_call, NULL);
}

static void on_request(void *ctx, const mt_http_incoming_request_t *request)
{
	mt_peer_server_t *server = ctx;

	if (mt_str_equal(request->path, MT_STR(CONFIG_PATH)))
		on_config_request(server, request);
	else if (mt_str_equal(request->path, MT_STR(CALL_PATH)))
		on_call_request(server, request);
	else
		refuse(server, request->exchange);
}

mt_http_server_t *mt_peer_server_new(mt_kernel_t *kernel, mt_loop_t *loop,
				     const mt_endpoint_t *endpoint,
				     mt_dag_host_t *host)
{
	mt_peer_server_t *server = g_new0(mt_peer_server_t, 1);

	server->kernel = kernel;
	server->host = host;
	return mt_http_server_new(loop, &endpoint->address, endpoint->port,
				  BODY_MAX_BYTES, on_request, server);
}
