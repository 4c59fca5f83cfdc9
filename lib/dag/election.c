/** @file election.c Decides when this host claims the leadership. */
#include "dag/election.h"

#include <string.h>
#include <xxhash.h>

/**
 * A leader is considered lost when no record of it was read for this long.
 */
#define LEADER_TIMEOUT_MS 1000u

/**
 * A leader is suspected to be lost when no record of it was read for this long.
 * This host then reads the records without delay.
 */
#define LEADER_SUSPECT_MS 500u

/**
 * After the store has not answered for longer than this, the absence of records
 * of the leader does not show that the leader is lost. Longer than the timeout
 * of the long polls for records (RECORDS_WAIT_MS in leadership.c), which is how
 * long an answer may take when there are no new records.
 */
#define STORE_GAP_MS 1600u

/**
 * Delay of a claim when there is no leader, in place of LEADER_TIMEOUT_MS. It
 * is short, so that the order of the hosts' claims depends mainly on
 * `claim_delay_ms`, which is shorter on hosts near the store.
 */
#define NO_LEADER_WAIT_MS 20u

/** After a claim that was not confirmed, this host makes none for this long. */
#define CLAIM_BACK_OFF_MS 300u

/**
 * Extra delay of the claims of a host that is smaller than the largest known
 * host, so that the largest hosts claim first.
 */
#define SMALLER_HOST_WAIT_MS 600u

/**
 * Extra delay of the claims of a host without a copy of the records of jobs, so
 * that a standby claims first, which can lead at once.
 */
#define LACKS_RECORDS_WAIT_MS 300u

void mt_election_init(mt_election_t *election, mt_shared_name_t host,
		      const mt_name_t *incarnation, uint32_t cores_milli,
		      mt_ms_t now)
{
	*election = (mt_election_t){.host = mt_shared_name_ref(host),
				    .incarnation = *incarnation,
				    .cores_milli = cores_milli,
				    .largest_cores_milli = cores_milli,
				    .claim_wait_start = now,
				    .store_answered_at = now};
}

void mt_election_on_leader(mt_election_t *election, const MtDag__Leader *leader,
			   mt_ms_t now)
{
	if (leader->term < election->term)
		return;
	election->term = leader->term;
	election->leader = mt_name(leader->incarnation);
	election->leader_host = XXH3_64bits(leader->host, strlen(leader->host));
	election->released = leader->released;
	election->endpoint = (mt_endpoint_t){mt_name(leader->address),
					     (uint16_t)leader->port};
	election->claim_wait_start = now;
}

void mt_election_on_host(mt_election_t *election, const MtDag__Host *host)
{
	election->largest_cores_milli =
		MAX(election->largest_cores_milli, host->cores_milli);
}

bool mt_election_should_yield(const mt_election_t *election,
			      const MtDag__Host *host, uint64_t offset)
{
	/* The term began with the leader record at offset `term` - 1. */
	return mt_election_is_leader(election) && offset > election->term &&
	       host->cores_milli > election->cores_milli;
}

void mt_election_on_read(mt_election_t *election, mt_ms_t now)
{
	if (now - election->store_answered_at > STORE_GAP_MS)
		election->claim_wait_start = now;
	election->store_answered_at = now;
}

bool mt_election_is_leader(const mt_election_t *election)
{
	return !election->released && election->leader.len &&
	       mt_name_equal(&election->leader, &election->incarnation);
}

/** True when the leader is an earlier process of this host, which has ended. */
static bool is_own_predecessor(const mt_election_t *election)
{
	return election->leader_host == mt_shared_name_hash(election->host) &&
	       !mt_name_equal(&election->leader, &election->incarnation);
}

static bool has_no_leader(const mt_election_t *election)
{
	return !election->leader.len || election->released ||
	       is_own_predecessor(election);
}

bool mt_election_may_be_vacant(const mt_election_t *election, mt_ms_t now)
{
	return has_no_leader(election) ||
	       now - election->claim_wait_start > LEADER_SUSPECT_MS;
}

bool mt_election_should_claim(const mt_election_t *election, mt_ms_t now)
{
	mt_ms_t wait = LEADER_TIMEOUT_MS;

	if (mt_election_is_leader(election) || now < election->claim_after ||
	    now - election->store_answered_at > STORE_GAP_MS)
		return false;
	if (has_no_leader(election))
		wait = NO_LEADER_WAIT_MS;
	if (election->cores_milli < election->largest_cores_milli)
		wait += SMALLER_HOST_WAIT_MS;
	if (election->lacks_records)
		wait += LACKS_RECORDS_WAIT_MS;
	return now - election->claim_wait_start >=
	       wait + election->claim_delay_ms;
}

void mt_election_back_off(mt_election_t *election, mt_ms_t now)
{
	election->claim_after = now + CLAIM_BACK_OFF_MS;
}
