/**
 * @file election.h
 * Decides when this host tries to become the scheduler. Pure: it is told what
 * the store's records say and asked at each tick. Safety comes from the
 * conditional append of the claim, not from here.
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
	uint32_t largest_milli; /**< of the largest host that is known */
	mt_name_t leader;	/**< incarnation of the leader, or empty */
	mt_name_t leader_host;
	uint64_t term;		/**< offset of the leader's first record */
	bool released;		/**< the leader has given up its office */
	mt_ms_t leader_seen_at; /**< last sign of the leader, or of a cut */
	mt_ms_t read_at;	/**< last answer of the store */
	mt_ms_t claim_delay_ms; /**< this host waits so much longer */
	mt_ms_t claim_after;	/**< no claim before this time */
} mt_election_t;

void mt_election_init(mt_election_t *election, const mt_name_t *host,
		      const mt_name_t *incarnation, uint32_t cores_milli,
		      mt_ms_t now);

/** The record of a host, this one included, was read. */
void mt_election_on_host(mt_election_t *election, const MtDag__Host *host);

/**
 * True when a host that has started at `offset` would lead better than this
 * one, which leads now.
 */
bool mt_election_should_yield(const mt_election_t *election,
			      const MtDag__Host *host, uint64_t offset);

/** A leader record was read. */
void mt_election_on_leader(mt_election_t *election, const MtDag__Leader *leader,
			   mt_ms_t now);

/** A record written by the scheduler was read. */
void mt_election_on_leader_activity(mt_election_t *election, mt_ms_t now);

/** The store answered a read; after a silence the leader gets time anew. */
void mt_election_on_read(mt_election_t *election, mt_ms_t now);

bool mt_election_is_leader(const mt_election_t *election);

/** True when nobody holds the office, or its holder is silent for a while. */
bool mt_election_may_be_vacant(const mt_election_t *election, mt_ms_t now);

/** True when the office is vacant or its holder silent for too long. */
bool mt_election_should_claim(const mt_election_t *election, mt_ms_t now);

/** A claim was refused: waits before the next. */
void mt_election_back_off(mt_election_t *election, mt_ms_t now);

#endif
