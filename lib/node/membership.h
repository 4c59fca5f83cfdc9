/**
 * @file membership.h
 * Tracks which hosts are alive and elects the one that is to schedule the local
 * data centre. "Host" means an entry host, as described in node.h; peers are
 * the other hosts.
 *
 * The elected host becomes the active scheduler only once it has taken over
 * (see scheduler.c). Two hosts may briefly both be active. This wastes work but
 * is safe: a backend server accepts commands only from the holder of its
 * current fencing token.
 */
#ifndef MT_NODE_MEMBERSHIP_H
#define MT_NODE_MEMBERSHIP_H

#include "kernel/kernel.h"
#include "settings/settings.h"
#include "wire/codec.h"

/** Sends frames to other hosts, without guarantee of delivery. */
typedef struct mt_peer_port_t {
	void *self;
	void (*send)(void *self, const mt_name_t *host,
		     const MtPb__Frame *frame);
} mt_peer_port_t;

/** Identifies the sender of a frame: one process on one host. */
typedef struct mt_peer_id_t {
	mt_name_t host;
	mt_name_t dc;
	mt_name_t incarnation;
} mt_peer_id_t;

/** A host, as described by its last heartbeat. */
typedef struct mt_host_state_t {
	mt_peer_id_t id;
	mt_ms_t last_heard_at;
	/**
	 * Has read the job stream to its end and loaded all jobs. The name is
	 * that of the field in the heartbeat. Not the same as
	 * mt_tail_is_synced(), which is already true when the end was reached
	 * but the jobs are not loaded yet.
	 */
	bool synced;
	bool draining;
	bool scheduler; /**< is the active scheduler of its data centre */
	MtPb__DcSummary summary; /**< valid if `scheduler` is set */
} mt_host_state_t;

typedef struct mt_membership_t mt_membership_t;

mt_membership_t *mt_membership_new(mt_kernel_t *kernel,
				   const mt_settings_t *settings,
				   const mt_name_t *incarnation,
				   const mt_peer_port_t *peers);
void mt_membership_free(mt_membership_t *membership);
void mt_membership_start(mt_membership_t *membership);

/** Sets the callback for a change of the host elected as scheduler. */
void mt_membership_subscribe(mt_membership_t *membership, void (*cb)(void *ctx),
			     void *ctx);

/** Handles a heartbeat from another host. */
void mt_membership_on_heartbeat(mt_membership_t *membership,
				const mt_peer_id_t *from,
				const MtPb__Heartbeat *heartbeat);

/**
 * Sets the state that this host's heartbeats report; sends changes at once. The
 * parameters are those of mt_host_state_t.
 */
void mt_membership_set_state(mt_membership_t *membership, bool synced,
			     bool draining, bool scheduler);
void mt_membership_set_summary(mt_membership_t *membership,
			       const MtPb__DcSummary *summary);

/**
 * Must be called after this process was paused, since it may have missed
 * heartbeats. This host does not elect itself until it has listened for
 * another `peer_timeout_ms`.
 */
void mt_membership_on_pause(mt_membership_t *membership);

/** True if this host is elected to schedule the local data centre. */
bool mt_membership_is_elected(const mt_membership_t *membership);

/** The host elected to schedule the local data centre, or NULL. */
const mt_name_t *
mt_membership_elected_scheduler(const mt_membership_t *membership);

/** True if another live host could schedule the local data centre. */
bool mt_membership_has_successor(const mt_membership_t *membership);

/** Latest summary of a data centre; NULL while it has no active scheduler. */
const MtPb__DcSummary *mt_membership_summary(const mt_membership_t *membership,
					     const mt_name_t *dc);

/**
 * Time since the last heartbeat from any host of the data centre `dc`, or since
 * start-up if there was none. 0 while this is within the time-out for hosts of
 * other data centres (`peer_timeout_ms` times REMOTE_HEARTBEAT_FACTOR), and
 * always 0 for the local data centre.
 */
mt_ms_t mt_membership_dc_silence(const mt_membership_t *membership,
				 const mt_name_t *dc);

/** Live hosts (mt_host_state_t, by value), this host first. */
GArray *mt_membership_live(const mt_membership_t *membership);

/**
 * Rank of this host among the live, non-draining hosts for `key` by rendezvous
 * hashing; 0 is the first choice.
 */
guint mt_membership_rank(const mt_membership_t *membership, mt_str_t key);

const mt_peer_id_t *mt_membership_self(const mt_membership_t *membership);

#endif
