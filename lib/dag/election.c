/** @file election.c Leader election: when this host claims the leadership. */
#include "dag/election.h"

/** A leader without records for this long is considered lost. */
#define LEADER_TIMEOUT_MS 1000u

/** A leader without records for this long is suspected to be lost. */
#define LEADER_SUSPECT_MS 500u

/**
 * After a gap of this length between answers of the store, the lack of records
 * does not show that the leader is lost.
 */
#define STORE_GAP_MS 1600u

/**
 * Delay of a claim when there is no leader. It is short, so that mainly
 * `claim_delay_ms` decides, and the host nearest to the store claims first.
 */
#define NO_LEADER_WAIT_MS 20u

#define BACK_OFF_MS 300u

/** Extra delay of smaller hosts, so that the largest ones claim first. */
#define SMALLER_HOST_WAIT_MS 600u

void mt_election_init(mt_election_t *election, const mt_name_t *host,
		      const mt_name_t *incarnation, uint32_t cores_milli,
		      mt_ms_t now)
{
	*election = (mt_election_t){.host = *host,
				    .incarnation = *incarnation,
				    .cores_milli = cores_milli,
				    .largest_milli = cores_milli,
				    .leader_seen_at = now,
				    .read_at = now};
}

void mt_election_on_leader(mt_election_t *election, const MtDag__Leader *leader,
			   mt_ms_t now)
{
	if (leader->term < election->term)
		return;
	election->term = leader->term;
	election->leader = mt_name(leader->incarnation);
	election->leader_host = mt_name(leader->host);
	election->released = leader->released;
	election->leader_seen_at = now;
}

void mt_election_on_host(mt_election_t *election, const MtDag__Host *host)
{
	election->largest_milli =
		MAX(election->largest_milli, host->cores_milli);
}

bool mt_election_should_yield(const mt_election_t *election,
			      const MtDag__Host *host, uint64_t offset)
{
	return mt_election_is_leader(election) && offset > election->term &&
	       host->cores_milli > election->cores_milli;
}

void mt_election_on_leader_activity(mt_election_t *election, mt_ms_t now)
{
	election->leader_seen_at = now;
}

void mt_election_on_read(mt_election_t *election, mt_ms_t now)
{
	if (now - election->read_at > STORE_GAP_MS)
		election->leader_seen_at = now;
	election->read_at = now;
}

bool mt_election_is_leader(const mt_election_t *election)
{
	return !election->released && election->leader.len &&
	       mt_name_equal(&election->leader, &election->incarnation);
}

/** True when the leader was an earlier process of this host; it has ended. */
static bool is_own_predecessor(const mt_election_t *election)
{
	return mt_name_equal(&election->leader_host, &election->host) &&
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
	       now - election->leader_seen_at > LEADER_SUSPECT_MS;
}

bool mt_election_should_claim(const mt_election_t *election, mt_ms_t now)
{
	mt_ms_t wait = LEADER_TIMEOUT_MS;

	if (mt_election_is_leader(election) || now < election->claim_after ||
	    now - election->read_at > STORE_GAP_MS)
		return false;
	if (has_no_leader(election))
		wait = NO_LEADER_WAIT_MS;
	if (election->cores_milli < election->largest_milli)
		wait += SMALLER_HOST_WAIT_MS;
	return now - election->leader_seen_at >=
	       wait + election->claim_delay_ms;
}

void mt_election_back_off(mt_election_t *election, mt_ms_t now)
{
	election->claim_after = now + BACK_OFF_MS;
}
