/** @file membership.c Liveness of entry hosts and election of the scheduler. */
#include "node/membership.h"

#include <string.h>
#include <xxhash.h>

/** Other data centres get one in this many heartbeats. */
#define REMOTE_HEARTBEAT_FACTOR 4u

struct mt_membership_t {
	mt_kernel_t *kernel;
	const mt_settings_t *settings;
	mt_peer_port_t peers;
	mt_host_state_t self;
	GHashTable *others; /**< host name to mt_host_state_t */
	/** Data centre name to time of the last heartbeat. */
	GHashTable *dc_last_heard_at;
	uint64_t sequence;
	mt_ms_t started_at;
	/** Until then this host may not know its peers yet. */
	mt_ms_t self_eligible_at;
	uint64_t timer;
	void (*cb)(void *ctx);
	void *cb_ctx;
	mt_name_t last_scheduler; /**< as last notified; empty if none */
};

static void on_heartbeat_timer(void *ctx);

mt_membership_t *mt_membership_new(mt_kernel_t *kernel,
				   const mt_settings_t *settings,
				   const mt_name_t *incarnation,
				   const mt_peer_port_t *peers)
{
	mt_membership_t *members = g_new0(mt_membership_t, 1);

	members->kernel = kernel;
	members->settings = settings;
	members->peers = *peers;
	members->self.id.host = settings->host;
	members->self.id.dc = settings->dc;
	members->self.id.incarnation = *incarnation;
	members->others = g_hash_table_new_full(mt_name_hash, mt_name_key_equal,
						g_free, g_free);
	members->dc_last_heard_at = g_hash_table_new_full(
		mt_name_hash, mt_name_key_equal, g_free, g_free);
	mt_pb__dc_summary__init(&members->self.summary);
	return members;
}

void mt_membership_free(mt_membership_t *members)
{
	if (!members)
		return;
	mt_timers_cancel(mt_kernel_timers(members->kernel), members->timer);
	g_hash_table_destroy(members->others);
	g_hash_table_destroy(members->dc_last_heard_at);
	g_free(members);
}

void mt_membership_subscribe(mt_membership_t *members, void (*cb)(void *ctx),
			     void *ctx)
{
	members->cb = cb;
	members->cb_ctx = ctx;
}

static bool is_live(const mt_membership_t *members,
		    const mt_host_state_t *member)
{
	mt_ms_t timeout = members->settings->peer_timeout_ms;

	if (!mt_name_equal(&member->id.dc, &members->settings->dc))
		timeout *= REMOTE_HEARTBEAT_FACTOR;
	return mt_kernel_now(members->kernel) < member->last_heard_at + timeout;
}

static bool is_self_eligible(const mt_membership_t *members)
{
	return mt_kernel_now(members->kernel) >= members->self_eligible_at;
}

/** Rendezvous hashing: of all hosts, the one of highest weight wins `key`. */
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

static mt_str_t scheduler_key(const mt_membership_t *members)
{
	return (mt_str_t){members->settings->dc.text,
			  members->settings->dc.len};
}

typedef struct mt_candidate_t {
	const mt_host_state_t *member;
	uint64_t weight;
} mt_candidate_t;

static void update_best(const mt_membership_t *members, mt_candidate_t *best,
			const mt_host_state_t *member, bool synced)
{
	uint64_t weight;

	if (member->draining || member->synced != synced)
		return;
	weight = rendezvous_weight(&member->id.host, scheduler_key(members));
	if (!best->member || weight > best->weight)
		*best = (mt_candidate_t){member, weight};
}

/**
 * The live, non-draining host of highest weight in the local data centre among
 * those whose `synced` flag is as given.
 */
static const mt_host_state_t *choose_among(const mt_membership_t *members,
					   bool synced, bool with_self)
{
	mt_candidate_t best = {0};
	GHashTableIter iter;
	gpointer value;

	if (with_self && is_self_eligible(members))
		update_best(members, &best, &members->self, synced);
	g_hash_table_iter_init(&iter, members->others);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_host_state_t *member = value;

		if (mt_name_equal(&member->id.dc, &members->settings->dc) &&
		    is_live(members, member))
			update_best(members, &best, member, synced);
	}
	return best.member;
}

/**
 * Prefers hosts that have read the log to its end. If there is none, as when
 * the log is unavailable, any other host will do.
 */
static const mt_host_state_t *elect_scheduler(const mt_membership_t *members,
					      bool with_self)
{
	const mt_host_state_t *member = choose_among(members, true, with_self);

	return member ? member : choose_among(members, false, with_self);
}

const mt_name_t *mt_membership_scheduler(const mt_membership_t *members)
{
	const mt_host_state_t *member = elect_scheduler(members, true);

	return member ? &member->id.host : NULL;
}

bool mt_membership_is_scheduler(const mt_membership_t *members)
{
	return elect_scheduler(members, true) == &members->self;
}

bool mt_membership_has_successor(const mt_membership_t *members)
{
	return elect_scheduler(members, false) != NULL;
}

static void notify_if_changed(mt_membership_t *members)
{
	const mt_name_t *elected = mt_membership_scheduler(members);
	mt_name_t current = elected ? *elected : (mt_name_t){0};

	if (mt_name_equal(&current, &members->last_scheduler))
		return;
	members->last_scheduler = current;
	mt_log(members->kernel, MT_LOG_NOTICE, "members",
	       "scheduler of data centre %s is now %s",
	       members->settings->dc.text,
	       current.len ? current.text : "unknown");
	if (members->cb)
		members->cb(members->cb_ctx);
}

static void record_dc_heard(mt_membership_t *members, const mt_name_t *dc)
{
	mt_ms_t *heard = g_hash_table_lookup(members->dc_last_heard_at, dc);

	if (!heard) {
		heard = g_new0(mt_ms_t, 1);
		g_hash_table_insert(members->dc_last_heard_at, mt_name_dup(dc),
				    heard);
	}
	*heard = mt_kernel_now(members->kernel);
}

void mt_membership_on_heartbeat(mt_membership_t *members,
				const mt_peer_id_t *from,
				const MtPb__Heartbeat *heartbeat)
{
	mt_host_state_t *member;

	if (mt_name_equal(&from->host, &members->self.id.host))
		return;
	member = g_hash_table_lookup(members->others, &from->host);
	if (!member) {
		member = g_new0(mt_host_state_t, 1);
		g_hash_table_insert(members->others, mt_name_dup(&from->host),
				    member);
	}
	member->id = *from;
	member->last_heard_at = mt_kernel_now(members->kernel);
	member->synced = heartbeat->synced;
	member->draining = heartbeat->draining;
	member->scheduler = heartbeat->scheduler && heartbeat->summary;
	mt_pb__dc_summary__init(&member->summary);
	if (heartbeat->summary) {
		member->summary.free_accelerators =
			heartbeat->summary->free_accelerators;
		member->summary.largest_free_block =
			heartbeat->summary->largest_free_block;
		member->summary.queued_accelerators =
			heartbeat->summary->queued_accelerators;
		member->summary.total_accelerators =
			heartbeat->summary->total_accelerators;
	}
	record_dc_heard(members, &from->dc);
	notify_if_changed(members);
}

static void send_heartbeats(mt_membership_t *members)
{
	MtPb__Frame frame = MT_PB__FRAME__INIT;
	MtPb__Heartbeat heartbeat = MT_PB__HEARTBEAT__INIT;
	bool include_remote = members->sequence % REMOTE_HEARTBEAT_FACTOR == 0;

	heartbeat.sequence = members->sequence++;
	heartbeat.synced = members->self.synced;
	heartbeat.draining = members->self.draining;
	heartbeat.scheduler = members->self.scheduler;
	heartbeat.summary = &members->self.summary;
	frame.body_case = MT_PB__FRAME__BODY_HEARTBEAT;
	frame.heartbeat = &heartbeat;
	for (guint i = 0; i < members->settings->peers->len; i++) {
		const mt_peer_setting_t *peer = &g_array_index(
			members->settings->peers, mt_peer_setting_t, i);

		if (include_remote ||
		    mt_name_equal(&peer->dc, &members->settings->dc))
			members->peers.send(members->peers.self, &peer->host,
					    &frame);
	}
}

static void on_heartbeat_timer(void *ctx)
{
	mt_membership_t *members = ctx;

	send_heartbeats(members);
	notify_if_changed(members);
}

void mt_membership_start(mt_membership_t *members)
{
	mt_ms_t now = mt_kernel_now(members->kernel);

	members->started_at = now;
	members->self_eligible_at = now + members->settings->peer_timeout_ms;
	members->timer = mt_timers_every(mt_kernel_timers(members->kernel),
					 members->settings->heartbeat_ms,
					 on_heartbeat_timer, members);
	send_heartbeats(members);
}

void mt_membership_set_state(mt_membership_t *members, bool synced,
			     bool draining, bool scheduler)
{
	mt_host_state_t *self = &members->self;

	if (self->synced == synced && self->draining == draining &&
	    self->scheduler == scheduler)
		return;
	self->synced = synced;
	self->draining = draining;
	self->scheduler = scheduler;
	send_heartbeats(members);
	notify_if_changed(members);
}

void mt_membership_set_summary(mt_membership_t *members,
			       const MtPb__DcSummary *summary)
{
	members->self.summary = *summary;
}

void mt_membership_on_pause(mt_membership_t *members)
{
	members->self_eligible_at = mt_kernel_now(members->kernel) +
				    members->settings->peer_timeout_ms;
	notify_if_changed(members);
}

const MtPb__DcSummary *mt_membership_summary(const mt_membership_t *members,
					     const mt_name_t *dc)
{
	const mt_host_state_t *found = NULL;
	GHashTableIter iter;
	gpointer value;

	if (members->self.scheduler &&
	    mt_name_equal(dc, &members->settings->dc))
		return &members->self.summary;
	g_hash_table_iter_init(&iter, members->others);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_host_state_t *member = value;

		if (member->scheduler && mt_name_equal(&member->id.dc, dc) &&
		    is_live(members, member) &&
		    (!found || member->last_heard_at > found->last_heard_at))
			found = member;
	}
	return found ? &found->summary : NULL;
}

mt_ms_t mt_membership_dc_silence(const mt_membership_t *members,
				 const mt_name_t *dc)
{
	const mt_ms_t *heard =
		g_hash_table_lookup(members->dc_last_heard_at, dc);
	mt_ms_t since = heard ? *heard : members->started_at;
	mt_ms_t silence = mt_kernel_now(members->kernel) - since;

	if (mt_name_equal(dc, &members->settings->dc))
		return 0;
	return silence > (mt_ms_t)members->settings->peer_timeout_ms *
				       REMOTE_HEARTBEAT_FACTOR
		       ? silence
		       : 0;
}

GArray *mt_membership_live(const mt_membership_t *members)
{
	GArray *live = g_array_new(FALSE, FALSE, sizeof(mt_host_state_t));
	GHashTableIter iter;
	gpointer value;

	g_array_append_val(live, members->self);
	g_hash_table_iter_init(&iter, members->others);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (is_live(members, value))
			g_array_append_vals(live, value, 1);
	}
	return live;
}

guint mt_membership_rank(const mt_membership_t *members, mt_str_t key)
{
	uint64_t own = rendezvous_weight(&members->self.id.host, key);
	guint rank = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, members->others);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_host_state_t *member = value;

		if (is_live(members, member) && !member->draining &&
		    rendezvous_weight(&member->id.host, key) > own)
			rank++;
	}
	return rank;
}

const mt_peer_id_t *mt_membership_self(const mt_membership_t *members)
{
	return &members->self.id;
}
