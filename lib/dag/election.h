/**
 * @file election.h
 * Leader election: decides when this host claims the leadership. The leader is
 * the host that runs the scheduler. This module does no I/O: the caller passes
 * in the records that it reads and polls mt_election_should_claim(). That there
 * is only one leader per term is ensured elsewhere, by the conditional append
 * of the claim in host.c.
 */
#ifndef MT_DAG_ELECTION_H
#define MT_DAG_ELECTION_H

#include "dag/dag.pb-c.h"
#include "kernel/shared_name.h"
#include "kernel/timers.h"

typedef struct mt_election_t {
	mt_shared_name_t host;
	mt_name_t incarnation; /**< unique id of this host process */
	uint32_t cores_milli; /**< size of this host in thousandths of a core */
	uint32_t largest_cores_milli; /**< size of the largest known host */
	/* From the newest leader record; `term` never decreases. */
	mt_name_t leader; /**< incarnation of the leader; empty: none */
	/** Hash of the leader's host name, see mt_shared_name_hash(). */
	uint64_t leader_host;
	uint64_t term;
	bool released;		/**< the leader has given up the leadership */
	mt_endpoint_t endpoint; /**< where the leader takes calls of hosts */
	/** Local time at which the wait before a claim starts. Set by
	 * mt_election_init(), whenever a leader record is read, and when the
	 * store answers again after a gap. Used whether or not there is a
	 * leader. */
	mt_ms_t claim_wait_start;
	/** Local time at which the store last answered a read; at first, that
	 * of mt_election_init(). */
	mt_ms_t store_answered_at;
	/** Delay of this host's claims, in addition to those in election.c; set
	 * by host.c. */
	mt_ms_t claim_delay_ms;
	mt_ms_t claim_after; /**< no claim before this local time */
	/** This host has no copy of the records of jobs, and would have to read
	 * them before it could lead. */
	bool lacks_records;
} mt_election_t;

void mt_election_init(mt_election_t *election, mt_shared_name_t host,
		      const mt_name_t *incarnation, uint32_t cores_milli,
		      mt_ms_t now);

/** To be called for each host record read, including that of this host. */
void mt_election_on_host(mt_election_t *election, const MtDag__Host *host);

/**
 * True when this host should release the leadership to `host`: this host leads,
 * `host` has more cores, and the host record was written after the leader
 * record with which the term began (at offset `term` - 1). As an exception, a
 * host record directly after that leader record, at offset `term`, does not
 * count.
 * @param offset offset of the host record
 */
bool mt_election_should_yield(const mt_election_t *election,
			      const MtDag__Host *host, uint64_t offset);

/** To be called for each leader record read; ignores records of older terms. */
void mt_election_on_leader(mt_election_t *election, const MtDag__Leader *leader,
			   mt_ms_t now);

/**
 * To be called when the store has answered a read. After a gap of more than
 * STORE_GAP_MS (election.c) between answers, the wait before a claim starts
 * anew, as records of the leader could not be read during the gap.
 */
void mt_election_on_read(mt_election_t *election, mt_ms_t now);

bool mt_election_is_leader(const mt_election_t *election);

/** True when there is no leader, or the leader is suspected to be lost. */
bool mt_election_may_be_vacant(const mt_election_t *election, mt_ms_t now);

/**
 * True when this host should claim the leadership: there is no leader, or the
 * leader, another host, is considered lost; and the delays of this host's claim
 * have passed. False while the store does not answer reads.
 */
bool mt_election_should_claim(const mt_election_t *election, mt_ms_t now);

/** To be called after a claim that was not confirmed: delays the next one. */
void mt_election_back_off(mt_election_t *election, mt_ms_t now);

#endif
