/**
 * @file election.h
 * Leader election: decides when this host claims the leadership, that is the
 * role of the scheduler. Does no I/O: the caller passes in the records that it
 * reads and polls mt_election_should_claim(). That there is one leader per
 * term is ensured by the conditional append of the claim, not by this module.
 */
#ifndef MT_DAG_ELECTION_H
#define MT_DAG_ELECTION_H

#include "dag/dag.pb-c.h"
#include "kernel/name.h"
#include "kernel/timers.h"

typedef struct mt_election_t {
	mt_name_t host;
	mt_name_t incarnation;	/**< of this process */
	uint32_t cores_milli;	/**< of this host, in thousandths of a core */
	uint32_t largest_milli; /**< of the largest known host */
	mt_name_t leader;	/**< incarnation of the leader, or empty */
	mt_name_t leader_host;
	uint64_t term; /**< from the newest leader record; increases */
	bool released; /**< the leader has given up the leadership */
	/** Last leader activity, or last return of the store after a gap. */
	mt_ms_t leader_seen_at;
	mt_ms_t read_at;	/**< last answer of the store */
	mt_ms_t claim_delay_ms; /**< added to the time before a claim */
	mt_ms_t claim_after;	/**< no claim before this time */
} mt_election_t;

void mt_election_init(mt_election_t *election, const mt_name_t *host,
		      const mt_name_t *incarnation, uint32_t cores_milli,
		      mt_ms_t now);

/** To be called for each host record, including that of this host. */
void mt_election_on_host(mt_election_t *election, const MtDag__Host *host);

/**
 * True when this host leads and should release the leadership to `host`, which
 * is larger and started after this term began.
 * @param offset offset of the host's record
 */
bool mt_election_should_yield(const mt_election_t *election,
			      const MtDag__Host *host, uint64_t offset);

/** To be called for each leader record; those of older terms are ignored. */
void mt_election_on_leader(mt_election_t *election, const MtDag__Leader *leader,
			   mt_ms_t now);

/** To be called for each progress record, as only the leader writes these. */
void mt_election_on_leader_activity(mt_election_t *election, mt_ms_t now);

/**
 * To be called when the store has answered a read. After a long gap the time
 * allowed to the leader starts anew, as its records could not be read.
 */
void mt_election_on_read(mt_election_t *election, mt_ms_t now);

bool mt_election_is_leader(const mt_election_t *election);

/** True when there is no leader, or it may soon be considered lost. */
bool mt_election_may_be_vacant(const mt_election_t *election, mt_ms_t now);

/**
 * True when there is no leader, or it is considered lost, and the delay of
 * this host's claim has passed.
 */
bool mt_election_should_claim(const mt_election_t *election, mt_ms_t now);

/** To be called after a refused claim: delays the next one. */
void mt_election_back_off(mt_election_t *election, mt_ms_t now);

#endif
