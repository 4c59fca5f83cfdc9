/** @file fake_peers.c Calls between simulated hosts. */
#include "fleet/fake_peers.h"

/** Latency in each direction. */
#define LATENCY_MS 3u

/** Port of the first host; the others follow. */
#define FIRST_PORT 1u

/** A call; freed by its timeout, which is always the last event. */
typedef struct mt_fake_peer_call_t {
	mt_sim_host_t *caller;
	mt_sim_host_t *callee; /**< the process that got the call, or NULL */
	MtDag__PeerCall *call;
	MtDag__PeerReply reply;
	bool replied; /**< `cb` was called */
	mt_peer_cb cb;
	void *ctx;
} mt_fake_peer_call_t;

mt_endpoint_t mt_fake_peers_endpoint(unsigned index)
{
	return (mt_endpoint_t){mt_name("sim"), (uint16_t)(FIRST_PORT + index)};
}

static bool is_cut_off(const mt_sim_host_t *host)
{
	return host->store_unreachable && host->servers_unreachable;
}

static void deliver_reply(void *ctx)
{
	mt_fake_peer_call_t *call = ctx;

	if (call->replied || is_cut_off(call->caller))
		return;
	call->replied = true;
	call->cb(call->ctx, &call->reply);
}

static void on_timeout(void *ctx)
{
	mt_fake_peer_call_t *call = ctx;

	if (!call->replied)
		call->cb(call->ctx, NULL);
	/* Not freed: a late reply of the callee still refers to the call. */
	call->replied = true;
}

static void on_front_reply(void *ctx, const mt_front_reply_t *reply)
{
	mt_fake_peer_call_t *call = ctx;

	call->reply.outcome = reply->outcome;
	call->reply.state = reply->state;
	call->reply.pending = reply->pending;
	if (!is_cut_off(call->callee))
		mt_sim_schedule_on_host(call->caller, LATENCY_MS, deliver_reply,
					call);
}

static void deliver_call(void *ctx)
{
	mt_fake_peer_call_t *call = ctx;

	if (!is_cut_off(call->callee))
		mt_dag_front_peer_call(mt_dag_host_front(call->callee->host),
				       call->call, on_front_reply, call);
	mt_dag__peer_call__free_unpacked(call->call, NULL);
	call->call = NULL;
}

static MtDag__PeerCall *copy_call(const MtDag__PeerCall *call)
{
	GBytes *bytes = mt_dag_pack(&call->base);
	mt_str_t view = mt_bytes_view(bytes);
	MtDag__PeerCall *copy = mt_dag__peer_call__unpack(
		NULL, view.len, (const uint8_t *)view.data);

	g_bytes_unref(bytes);
	return copy;
}

static void call(void *self, const mt_endpoint_t *endpoint,
		 const MtDag__PeerCall *peer_call, mt_peer_cb cb, void *ctx)
{
	mt_sim_host_t *caller = self;
	mt_fake_peer_call_t *state = g_new0(mt_fake_peer_call_t, 1);

	state->caller = caller;
	state->cb = cb;
	state->ctx = ctx;
	mt_dag__peer_reply__init(&state->reply);
	mt_sim_schedule_on_host(caller, MT_PEER_TIMEOUT_MS, on_timeout, state);
	state->callee = caller->sim->hosts[endpoint->port - FIRST_PORT];
	if (!state->callee || is_cut_off(caller))
		return;
	state->call = copy_call(peer_call);
	mt_sim_schedule_on_host(state->callee, LATENCY_MS, deliver_call, state);
}

/* Calls for the configuration. */

/** A call; never freed, like those above. */
typedef struct mt_fake_config_call_t {
	mt_sim_host_t *caller;
	mt_sim_host_t *callee;
	uint64_t from;
	MtDag__ConfigReply *reply; /**< a copy; NULL: none yet */
	bool replied;
	mt_peer_config_cb cb;
	void *ctx;
} mt_fake_config_call_t;

static void deliver_config_reply(void *ctx)
{
	mt_fake_config_call_t *call = ctx;

	if (call->replied || is_cut_off(call->caller))
		return;
	call->replied = true;
	call->cb(call->ctx, call->reply);
}

static void on_config_timeout(void *ctx)
{
	mt_fake_config_call_t *call = ctx;

	if (!call->replied)
		call->cb(call->ctx, NULL);
	call->replied = true;
}

static void deliver_config_call(void *ctx)
{
	mt_fake_config_call_t *call = ctx;
	MtDag__ConfigCall config_call = MT_DAG__CONFIG_CALL__INIT;
	MtDag__ConfigReply reply;
	GBytes *bytes;
	mt_str_t view;

	if (is_cut_off(call->callee))
		return;
	config_call.from = call->from;
	reply = mt_dag_host_config(call->callee->host, &config_call);
	bytes = mt_dag_pack(&reply.base);
	view = mt_bytes_view(bytes);
	call->reply = mt_dag__config_reply__unpack(NULL, view.len,
						   (const uint8_t *)view.data);
	g_bytes_unref(bytes);
	mt_sim_schedule_on_host(call->caller, LATENCY_MS, deliver_config_reply,
				call);
}

static void get_config(void *self, const mt_endpoint_t *endpoint,
		       const MtDag__ConfigCall *config_call,
		       mt_peer_config_cb cb, void *ctx)
{
	mt_sim_host_t *caller = self;
	mt_fake_config_call_t *call = g_new0(mt_fake_config_call_t, 1);

	call->caller = caller;
	call->from = config_call->from;
	call->cb = cb;
	call->ctx = ctx;
	mt_sim_schedule_on_host(caller, MT_PEER_TIMEOUT_MS, on_config_timeout,
				call);
	call->callee = caller->sim->hosts[endpoint->port - FIRST_PORT];
	if (call->callee && !is_cut_off(caller))
		mt_sim_schedule_on_host(call->callee, LATENCY_MS,
					deliver_config_call, call);
}

void mt_fake_peers_bind(mt_sim_host_t *host)
{
	host->peer_port = (mt_peer_port_t){host, call, get_config};
}
