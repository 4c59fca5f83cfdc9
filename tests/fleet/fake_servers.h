/**
 * @file fake_servers.h
 * In-memory backend servers that audit the commands they receive: a task never
 * has two runs at once and does not run again after its success was
 * acknowledged, steps run in the order of their dependencies, tasks of
 * cancelled or refused jobs do not start, none start in an evacuated data
 * centre, few on a cold server, and none on one that leaves, if that is audited
 * (mt_sim_options_t.leaving). A start beyond a server's capacity is no
 * breach; the server refuses it.
 */
#ifndef MT_FLEET_FAKE_SERVERS_H
#define MT_FLEET_FAKE_SERVERS_H

#include "fleet/sim.h"

/** All fake servers of a simulation. */
typedef struct mt_fake_fleet_t mt_fake_fleet_t;

mt_fake_fleet_t *mt_fake_fleet_new(mt_sim_t *sim, unsigned count);

/** Fills in `host->backend_port` and `host->advice_port`. */
void mt_fake_fleet_bind(mt_fake_fleet_t *fleet, mt_sim_host_t *host);

/**
 * Registers a submitted job, so that its tasks may be started. Makes a copy.
 */
void mt_fake_fleet_register_job(mt_fake_fleet_t *fleet, const MtDag__Job *job);

/**
 * From time `from` on, tasks of the job must not start, since the job was
 * cancelled, or all attempts to submit it were refused. Starts shortly
 * afterwards are tolerated.
 */
void mt_fake_fleet_forbid_starts(mt_fake_fleet_t *fleet, uint64_t job,
				 mt_ms_t from);

/**
 * The data centre is evacuated from time `from` on; 0: it is no more. A task
 * must not start there SIM_EVACUATION_MS later.
 */
void mt_fake_fleet_evacuate(mt_fake_fleet_t *fleet, const char *zone,
			    mt_ms_t from);

/** Reverses mt_fake_fleet_forbid_starts(). */
void mt_fake_fleet_permit_starts(mt_fake_fleet_t *fleet, uint64_t job);

/** True if a task of the job has started. */
bool mt_fake_fleet_has_started(const mt_fake_fleet_t *fleet, uint64_t job);

/** Stops a server, which loses its runs, and restarts it after `down_ms`. */
void mt_fake_fleet_crash(mt_fake_fleet_t *fleet, unsigned server_index,
			 mt_ms_t down_ms);

/** Cuts the server off from all hosts; its runs go on. */
void mt_fake_fleet_set_unreachable(mt_fake_fleet_t *fleet,
				   unsigned server_index, bool unreachable);

/** The server answers holds and stops, but no start. */
void mt_fake_fleet_set_startless(mt_fake_fleet_t *fleet, unsigned server_index,
				 bool startless);

/** A stalled server answers commands, but its runs make no progress. */
void mt_fake_fleet_set_stalled(mt_fake_fleet_t *fleet, unsigned server_index,
			       bool stalled);

/**
 * Ends all stalls, and makes all servers that are up reachable. The runs that
 * make the speed of a server known are counted from here on.
 */
void mt_fake_fleet_repair(mt_fake_fleet_t *fleet);

/**
 * Announces a planned shutdown of a server and carries it out after the given
 * time. The server is restarted later.
 */
void mt_fake_fleet_drain(mt_fake_fleet_t *fleet, unsigned server_index,
			 mt_ms_t shutdown_after_ms);

/**
 * Checks the speeds of servers that the leader has stored against the true
 * ones, for the servers whose speeds must be known by now.
 * @return the number of these servers
 */
unsigned mt_fake_fleet_check_speeds(const mt_fake_fleet_t *fleet);

/** Number of ends reported as MT_END_GANG_INCOMPLETE. */
unsigned mt_fake_fleet_incomplete_gangs(const mt_fake_fleet_t *fleet);

#endif
