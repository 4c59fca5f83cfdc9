/** @file membership.c Liveness of hosts and election of the scheduler. */
#include "node/membership.h"

#include <string.h>
#include <xxhash.h>

/**
 * Only one in this many heartbeats is sent to hosts of other data centres. The
 * time-out for heartbeats from these hosts is longer by this factor.
 */
#define REMOTE_HEARTBEAT_FACTOR 4u

struct mt_membership_t {
	mt_kernel_t *kernel;
	const mt_settings_t *settings;
	mt_peer_port_t peers;
	mt_host_state_t self;
	GHashTable *others; /**< other hosts, name to mt_host_state_t */
	/** Data centre name to time of the last heartbeat. */
	GHashTable *dc_last_heard_at;
	uint64_t sequence;
	mt_ms_t started_at;
	/**
	 * Before this time this host may not have heard all live peers yet, so
	 * it does not elect itself.
	 */
	mt_ms_t self_eligible_at;
	uint64_t timer;
	void (*cb)(void *ctx);
	void *cb_ctx;
	/** Host elected as of the last callback; empty if none. */
	mt_name_t last_elected;
};

static void on_heartbeat_timer(void *ctx);

mt_membership_t *mt_membership_new(mt_kernel_t *kernel,
				   const mt_settings_t *settings,
				   const mt_name_t *incarnation,
				   const mt_peer_port_t *peers)
{
	mt_membership_t *membership = g_new0(mt_membership_t, 1);

	membership->kernel = kernel;
	membership->settings = settings;
	membership->peers = *peers;
	membership->self.id.host = settings->host;
	membership->self.id.dc = settings->dc;
	membership->self.id.incarnation = *incarnation;
	membership->others = g_hash_table_new_full(
		mt_name_hash, mt_name_key_equal, g_free, g_free);
	membership->dc_last_heard_at = g_hash_table_new_full(
		mt_name_hash, mt_name_key_equal, g_free, g_free);
	mt_pb__dc_summary__init(&membership->self.summary);
	return membership;
}

void mt_membership_free(mt_membership_t *membership)
{
	if (!membership)
		return;
	mt_timers_cancel(mt_kernel_timers(membership->kernel),
			 membership->timer);
	g_hash_table_destroy(membership->others);
	g_hash_table_destroy(membership->dc_last_heard_at);
	g_free(membership);
}

void mt_membership_subscribe(mt_membership_t *membership, void (*cb)(void *ctx),
			     void *ctx)
{
	membership->cb = cb;
	membership->cb_ctx = ctx;
}

static bool is_live(const mt_membership_t *membership,
		    const mt_host_state_t *host_state)
{
	mt_ms_t timeout = membership->settings->peer_timeout_ms;

	if (!mt_name_equal(&host_state->id.dc, &membership->settings->dc))
		timeout *= REMOTE_HEARTBEAT_FACTOR;
	return mt_kernel_now(membership->kernel) <
	       host_state->last_heard_at + timeout;
}

static bool is_self_eligible(const mt_membership_t *membership)
{
	return mt_kernel_now(membership->kernel) >=
	       membership->self_eligible_at;
}

/** Rendezvous hashing: the host of the highest weight is chosen for `key`. */
static uint64_t rendezvous_weight(const mt_name_t *host, mt_str_t key)
{
	XXH3_state_t *state = XXH3_createState();
	uint64_t digest;

	XXH3_64bits_reset(state);
	XXH3_64bits_update(state, host->text, host->len);
	XXH3_64bits_update(state, "", 1);
	XXH3_64bits_update(state, key.data, key.len);
	digest = XXH3_64bits_digest(state);
	XXH3_freeState(state);
	return digest;
}

static mt_str_t scheduler_key(const mt_membership_t *membership)
{
	return (mt_str_t){membership->settings->dc.text,
			  membership->settings->dc.len};
}

typedef struct mt_host_candidate_t {
	const mt_host_state_t *host_state;
	uint64_t weight;
} mt_host_candidate_t;

static void update_best(const mt_membership_t *membership,
			mt_host_candidate_t *best,
			const mt_host_state_t *host_state, bool synced)
{
	uint64_t weight;

	if (host_state->draining || host_state->synced != synced)
		return;
	weight = rendezvous_weight(&host_state->id.host,
				   scheduler_key(membership));
	if (!best->host_state || weight > best->weight)
		*best = (mt_host_candidate_t){host_state, weight};
}

/**
 * The live, non-draining host of highest weight in the local data centre among
 * those whose `synced` flag is as given.
 */
static const mt_host_state_t *choose_among(const mt_membership_t *membership,
					   bool synced, bool with_self)
{
	mt_host_candidate_t best = {0};
	GHashTableIter iter;
	gpointer value;

	if (with_self && is_self_eligible(membership))
		update_best(membership, &best, &membership->self, synced);
	g_hash_table_iter_init(&iter, membership->others);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_host_state_t *host_state = value;

		if (mt_name_equal(&host_state->id.dc,
				  &membership->settings->dc) &&
		    is_live(membership, host_state))
			update_best(membership, &best, host_state, synced);
	}
	return best.host_state;
}

/**
 * Prefers hosts that have loaded all jobs. If there is none, as when the log is
 * unavailable, chooses among the hosts that have not.
 */
static const mt_host_state_t *elect_scheduler(const mt_membership_t *membership,
					      bool with_self)
{
	const mt_host_state_t *host_state =
		choose_among(membership, true, with_self);

	return host_state ? host_state
			  : choose_among(membership, false, with_self);
}

const mt_name_t *
mt_membership_elected_scheduler(const mt_membership_t *membership)
{
	const mt_host_state_t *host_state = elect_scheduler(membership, true);

	return host_state ? &host_state->id.host : NULL;
}

bool mt_membership_is_elected(const mt_membership_t *membership)
{
	return elect_scheduler(membership, true) == &membership->self;
}

bool mt_membership_has_successor(const mt_membership_t *membership)
{
	return elect_scheduler(membership, false) != NULL;
}

static void notify_if_changed(mt_membership_t *membership)
{
	const mt_name_t *elected = mt_membership_elected_scheduler(membership);
	mt_name_t current = elected ? *elected : (mt_name_t){0};

	if (mt_name_equal(&current, &membership->last_elected))
		return;
	membership->last_elected = current;
	/* "unknown" in this message means that no host is eligible. */
	mt_log(membership->kernel, MT_LOG_NOTICE, "members",
	       "elected scheduler of data centre %s is now %s",
	       membership->settings->dc.text,
	       current.len ? current.text : "unknown");
	if (membership->cb)
		membership->cb(membership->cb_ctx);
}

static void record_dc_heard(mt_membership_t *membership, const mt_name_t *dc)
{
	mt_ms_t *heard = g_hash_table_lookup(membership->dc_last_heard_at, dc);

	if (!heard) {
		heard = g_new0(mt_ms_t, 1);
		g_hash_table_insert(membership->dc_last_heard_at,
				    mt_name_dup(dc), heard);
	}
	*heard = mt_kernel_now(membership->kernel);
}

void mt_membership_on_heartbeat(mt_membership_t *membership,
				const mt_peer_id_t *from,
				const MtPb__Heartbeat *heartbeat)
{
	mt_host_state_t *host_state;

	if (mt_name_equal(&from->host, &membership->self.id.host))
		return;
	host_state = g_hash_table_lookup(membership->others, &from->host);
	if (!host_state) {
		host_state = g_new0(mt_host_state_t, 1);
		g_hash_table_insert(membership->others,
				    mt_name_dup(&from->host), host_state);
	}
	host_state->id = *from;
	host_state->last_heard_at = mt_kernel_now(membership->kernel);
	host_state->synced = heartbeat->synced;
	host_state->draining = heartbeat->draining;
	host_state->scheduler = heartbeat->scheduler && heartbeat->summary;
	mt_pb__dc_summary__init(&host_state->summary);
	if (heartbeat->summary) {
		host_state->summary.free_accelerators =
			heartbeat->summary->free_accelerators;
		host_state->summary.largest_free_block =
			heartbeat->summary->largest_free_block;
		host_state->summary.queued_accelerators =
			heartbeat->summary->queued_accelerators;
		host_state->summary.total_accelerators =
			heartbeat->summary->total_accelerators;
	}
	record_dc_heard(membership, &from->dc);
	notify_if_changed(membership);
}

static void send_heartbeats(mt_membership_t *membership)
{
	MtPb__Frame frame = MT_PB__FRAME__INIT;
	MtPb__Heartbeat heartbeat = MT_PB__HEARTBEAT__INIT;
	bool include_remote =
		membership->sequence % REMOTE_HEARTBEAT_FACTOR == 0;

	heartbeat.sequence = membership->sequence++;
	heartbeat.synced = membership->self.synced;
	heartbeat.draining = membership->self.draining;
	heartbeat.scheduler = membership->self.scheduler;
	heartbeat.summary = &membership->self.summary;
	frame.body_case = MT_PB__FRAME__BODY_HEARTBEAT;
	frame.heartbeat = &heartbeat;
	for (guint i = 0; i < membership->settings->peers->len; i++) {
		const mt_peer_setting_t *peer = &g_array_index(
			membership->settings->peers, mt_peer_setting_t, i);

		if (include_remote ||
		    mt_name_equal(&peer->dc, &membership->settings->dc))
			membership->peers.send(membership->peers.self,
					       &peer->host, &frame);
	}
}

static void on_heartbeat_timer(void *ctx)
{
	mt_membership_t *membership = ctx;

	send_heartbeats(membership);
	notify_if_changed(membership);
}

void mt_membership_start(mt_membership_t *membership)
{
	mt_ms_t now = mt_kernel_now(membership->kernel);

	membership->started_at = now;
	membership->self_eligible_at =
		now + membership->settings->peer_timeout_ms;
	membership->timer =
		mt_timers_every(mt_kernel_timers(membership->kernel),
				membership->settings->heartbeat_ms,
				on_heartbeat_timer, membership);
	send_heartbeats(membership);
}

void mt_membership_set_state(mt_membership_t *membership, bool synced,
			     bool draining, bool scheduler)
{
	mt_host_state_t *self = &membership->self;

	if (self->synced == synced && self->draining == draining &&
	    self->scheduler == scheduler)
		return;
	self->synced = synced;
	self->draining = draining;
	self->scheduler = scheduler;
	send_heartbeats(membership);
	notify_if_changed(membership);
}

void mt_membership_set_summary(mt_membership_t *membership,
			       const MtPb__DcSummary *summary)
{
	membership->self.summary = *summary;
}

void mt_membership_on_pause(mt_membership_t *membership)
{
	membership->self_eligible_at = mt_kernel_now(membership->kernel) +
				       membership->settings->peer_timeout_ms;
	notify_if_changed(membership);
}

const MtPb__DcSummary *mt_membership_summary(const mt_membership_t *membership,
					     const mt_name_t *dc)
{
	const mt_host_state_t *found = NULL;
	GHashTableIter iter;
	gpointer value;

	if (membership->self.scheduler &&
	    mt_name_equal(dc, &membership->settings->dc))
		return &membership->self.summary;
	g_hash_table_iter_init(&iter, membership->others);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_host_state_t *host_state = value;

		if (host_state->scheduler &&
		    mt_name_equal(&host_state->id.dc, dc) &&
		    is_live(membership, host_state) &&
		    (!found ||
		     host_state->last_heard_at > found->last_heard_at))
			found = host_state;
	}
	return found ? &found->summary : NULL;
}

mt_ms_t mt_membership_dc_silence(const mt_membership_t *membership,
				 const mt_name_t *dc)
{
	const mt_ms_t *heard =
		g_hash_table_lookup(membership->dc_last_heard_at, dc);
	mt_ms_t since = heard ? *heard : membership->started_at;
	mt_ms_t silence = mt_kernel_now(membership->kernel) - since;

	if (mt_name_equal(dc, &membership->settings->dc))
		return 0;
	return silence > (mt_ms_t)membership->settings->peer_timeout_ms *
				       REMOTE_HEARTBEAT_FACTOR
		       ? silence
		       : 0;
}

GArray *mt_membership_live(const mt_membership_t *membership)
{
	GArray *live = g_array_new(FALSE, FALSE, sizeof(mt_host_state_t));
	GHashTableIter iter;
	gpointer value;

	g_array_append_val(live, membership->self);
	g_hash_table_iter_init(&iter, membership->others);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (is_live(membership, value))
			g_array_append_vals(live, value, 1);
	}
	return live;
}

guint mt_membership_rank(const mt_membership_t *membership, mt_str_t key)
{
	uint64_t own = rendezvous_weight(&membership->self.id.host, key);
	guint rank = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, membership->others);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_host_state_t *host_state = value;

		if (is_live(membership, host_state) && !host_state->draining &&
		    rendezvous_weight(&host_state->id.host, key) > own)
			rank++;
	}
	return rank;
}

const mt_peer_id_t *mt_membership_self(const mt_membership_t *membership)
{
	return &membership->self.id;
}
