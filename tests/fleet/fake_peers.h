/**
 * @file fake_peers.h
 * Calls between simulated hosts. A call to a host that is not running, paused
 * or cut off gets no answer before its timeout.
 */
#ifndef MT_FLEET_FAKE_PEERS_H
#define MT_FLEET_FAKE_PEERS_H

#include "fleet/sim.h"

/** Fills in `host->peer_port`. */
void mt_fake_peers_bind(mt_sim_host_t *host);

/** Where a simulated host takes calls of others. */
mt_endpoint_t mt_fake_peers_endpoint(unsigned index);

#endif
