/**
 * @file members.h
 * Which entry hosts are alive, and which of them schedules the data centre.
 *
 * Membership decides only who tries: two schedulers at once are wasteful but
 * safe, since the backend servers' tokens fence.
 */
#ifndef MT_NODE_MEMBERS_H
#define MT_NODE_MEMBERS_H

#include "kernel/kernel.h"
#include "settings/settings.h"
#include "wire/codec.h"

/** Sends frames to the other entry hosts; a frame may be lost. */
typedef struct mt_peer_port_t {
	void *self;
	void (*send)(void *self, const mt_name_t *host,
		     const MtPb__Frame *frame);
} mt_peer_port_t;

/** Sender of a frame: one run of a daemon. */
typedef struct mt_peer_id_t {
	mt_name_t host;
	mt_name_t dc;
	mt_name_t incarnation;
} mt_peer_id_t;

typedef struct mt_member_t {
	mt_peer_id_t id;
	mt_ms_t last_heard_at;
	bool synced;
	bool draining;
	bool scheduler;
	MtPb__DcSummary summary; /**< valid while `scheduler` is set */
} mt_member_t;

typedef struct mt_members_t mt_members_t;

mt_members_t *mt_members_new(mt_kernel_t *kernel, const mt_settings_t *settings,
			     const mt_name_t *incarnation,
			     const mt_peer_port_t *peers);
void mt_members_free(mt_members_t *members);
void mt_members_start(mt_members_t *members);

/** Called when the scheduler of the own data centre may have changed. */
void mt_members_subscribe(mt_members_t *members, void (*cb)(void *ctx),
			  void *ctx);

void mt_members_on_heartbeat(mt_members_t *members, const mt_peer_id_t *from,
			     const MtPb__Heartbeat *heartbeat);

/** Sets what the own heartbeats say; a change is sent at once. */
void mt_members_set_state(mt_members_t *members, bool synced, bool draining,
			  bool scheduler);
void mt_members_set_summary(mt_members_t *members,
			    const MtPb__DcSummary *summary);

/** The own clock jumped: nothing that was heard counts any more. */
void mt_members_on_pause(mt_members_t *members);

/** True when this host is to schedule its data centre. */
bool mt_members_is_scheduler(const mt_members_t *members);

/** The host that is to schedule the own data centre; NULL: none. */
const mt_name_t *mt_members_scheduler(const mt_members_t *members);

/** True when another live host of the data centre could schedule it. */
bool mt_members_has_successor(const mt_members_t *members);

/** Summary of a data centre; NULL while no scheduler of it is heard. */
const MtPb__DcSummary *mt_members_summary(const mt_members_t *members,
					  const mt_name_t *dc);

/** How long no host of this data centre has been heard; 0: own or live. */
mt_ms_t mt_members_dc_silence(const mt_members_t *members, const mt_name_t *dc);

/** Live members, the own host first (mt_member_t, by value). */
GArray *mt_members_live(const mt_members_t *members);

/** Rendezvous rank of the own host for `key`: 0 is the first choice. */
guint mt_members_rank(const mt_members_t *members, mt_str_t key);

const mt_peer_id_t *mt_members_self(const mt_members_t *members);

#endif
