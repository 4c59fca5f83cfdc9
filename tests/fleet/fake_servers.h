/**
 * @file fake_servers.h
 * Backend servers in memory, which audit what they are told to do: no task
 * runs twice at once or after its end was noted, steps come in order, no
 * server is filled beyond its capacity, nothing cancelled begins late.
 */
#ifndef MT_FLEET_FAKE_SERVERS_H
#define MT_FLEET_FAKE_SERVERS_H

#include "fleet/world.h"

typedef struct mt_fake_fleet_t mt_fake_fleet_t;

mt_fake_fleet_t *mt_fake_fleet_new(mt_world_t *world, unsigned count);

/** Fills in the host's port to servers. */
void mt_fake_fleet_bind(mt_fake_fleet_t *fleet, mt_world_host_t *host);

/** What a caller has handed in; copied. */
void mt_fake_fleet_register_job(mt_fake_fleet_t *fleet, const MtDag__Job *job);

/** All attempts to hand the job in were refused: it must never run. */
void mt_fake_fleet_forbid_starts(mt_fake_fleet_t *fleet, uint64_t job,
				 mt_ms_t from);

void mt_fake_fleet_crash(mt_fake_fleet_t *fleet, unsigned server,
			 mt_ms_t down_ms);

/** Cut from every host; what runs there runs on. */
void mt_fake_fleet_set_unreachable(mt_fake_fleet_t *fleet, unsigned server,
				   bool cut);

/** What runs on the server makes no progress while it is stalled. */
void mt_fake_fleet_set_stalled(mt_fake_fleet_t *fleet, unsigned server,
			       bool stalled);

/** Ends the cuts and stalls of all servers that are up. */
void mt_fake_fleet_heal(mt_fake_fleet_t *fleet);

void mt_fake_fleet_drain(mt_fake_fleet_t *fleet, unsigned server,
			 mt_ms_t leaves_after);

/** Times the gangs that ended since a member did not come. */
unsigned mt_fake_fleet_incomplete_gangs(const mt_fake_fleet_t *fleet);

#endif
