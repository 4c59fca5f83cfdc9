/**
 * @file leadership.h
 * Which host leads, which hosts are standbys, and which host of a data centre
 * is its relay. Every host follows the topic of leaders, which is small. This
 * module claims the leadership and slots for this host when election.h and
 * slots.h say so, and repeats the records that show that this host is alive.
 *
 * Besides the leader, standbys read the records of all jobs. They can become
 * the leader without a delay, and answer calls about jobs. A relay reads the
 * configuration and passes it on to the other hosts of its data centre; only
 * data centres far from the store have one.
 */
#ifndef MT_DAG_LEADERSHIP_H
#define MT_DAG_LEADERSHIP_H

#include "kernel/shared_name.h"
#include "dag/memory_budget.h"
#include "dag/dag.pb-c.h"
#include "dag/slots.h"
#include "dag/store_port.h"
#include "kernel/kernel.h"

/** Number of standbys: enough that several may fail at once. */
#define MT_STANDBYS 3

/** Maximum number of endpoints that mt_leadership_list_informed() returns. */
#define MT_INFORMED_HOSTS_MAX (1 + MT_STANDBYS)

typedef struct mt_leadership_handler_t {
	void *ctx;
	/** This host was elected. It may schedule once it has excluded the
	 * former leader from the topic of jobs and read that topic. */
	void (*on_elected)(void *ctx, uint64_t term);
	/** This host is no longer the leader, or gives up the leadership. */
	void (*on_deposed)(void *ctx);
	/** This host has become a standby, or is none any more. */
	void (*on_standby)(void *ctx, bool standby);
	/** This host has become the relay of its data centre, or is it no more.
	 */
	void (*on_relay)(void *ctx, bool relay);
} mt_leadership_handler_t;

typedef struct mt_leadership_deps_t {
	mt_kernel_t *kernel;
	const mt_store_port_t *store;
	mt_shared_name_t host;	/**< name of this host */
	mt_shared_name_t dc;	/**< name of its data centre */
	mt_name_t incarnation;	/**< id of this process */
	uint32_t cores_milli;	/**< size of this host */
	uint32_t memory_mb;	/**< memory of this process; 0: not known */
	mt_endpoint_t endpoint; /**< where this host takes calls of others */
	/**
	 * While this host leads: lists what the leader record says about the
	 * load of the services, see MtDag__Leader.pressure. The list is valid
	 * until the next event. NULL: says nothing.
	 * @return number of elements of `list`
	 */
	size_t (*list_pressure)(void *ctx, MtDag__Pressure ***list);
	/** While this host leads: memory that its jobs need, see
	 * MtDag__Leader.jobs_bytes. NULL: says nothing. */
	uint64_t (*jobs_bytes)(void *ctx);
	void *load_ctx; /**< of these two */
} mt_leadership_deps_t;

typedef struct mt_leadership_t mt_leadership_t;

mt_leadership_t *mt_leadership_new(const mt_leadership_deps_t *deps,
				   const mt_leadership_handler_t *handler);

/** Allows claims; until then this host claims only the slot of a relay. */
void mt_leadership_allow_claims(mt_leadership_t *leadership);

/** Tells whether this host has a copy of the records of jobs. */
void mt_leadership_set_has_records(mt_leadership_t *leadership,
				   bool has_records);

/**
 * Gives up the leadership and all slots, and claims none again.
 * Calls `cb` when the records that say so are stored, or at once if there is
 * nothing to give up. `cb` is not called if the store never answers.
 */
void mt_leadership_drain(mt_leadership_t *leadership, mt_timer_cb cb,
			 void *ctx);

/**
 * Finds the relay of this host's data centre.
 * @return false when there is none, or this host is the relay itself
 */
bool mt_leadership_find_relay(const mt_leadership_t *leadership,
			      mt_endpoint_t *endpoint);

/**
 * True when this host is far from the store, so that its data centre has a
 * relay; false while the distance is not known.
 */
bool mt_leadership_is_far(const mt_leadership_t *leadership);

/** True when the topic of leaders has been read, so that a relay is known. */
bool mt_leadership_is_informed(const mt_leadership_t *leadership);

/** True if this host is a standby. */
bool mt_leadership_is_standby(const mt_leadership_t *leadership);

/**
 * Load of a service, by the newest leader record.
 * @param age_ms time since that record was read
 * @return NULL when the record says nothing about the service; otherwise valid
 * until the next event
 */
const MtDag__Pressure *mt_leadership_pressure(const mt_leadership_t *leadership,
					      const char *service,
					      mt_ms_t *age_ms);

/** The budget for the memory of jobs, by the records of this topic. */
mt_memory_budget_t *mt_leadership_memory_budget(mt_leadership_t *leadership);

/** Age of this host's copy of the topic, see mt_follower_age(). */
mt_ms_t mt_leadership_age(const mt_leadership_t *leadership);

/**
 * Lists the endpoints of the hosts that have the records of all jobs, except
 * this host: the leader first, then the standbys.
 * @param endpoints room for MT_INFORMED_HOSTS_MAX endpoints
 * @return their number
 */
unsigned mt_leadership_list_informed(const mt_leadership_t *leadership,
				     mt_endpoint_t *endpoints);

#endif
