/**
 * @file faults.h
 * Injects random faults into hosts, networks, the log and backend servers, and
 * ends each after a random time. If faults of one target overlap, the first
 * that ends may end the others too: for example, when an outage of the log
 * ends, appends are no longer delayed either.
 */
#ifndef MT_TESTS_SOAK_FAULTS_H
#define MT_TESTS_SOAK_FAULTS_H

#include "soak/world.h"

/** Injects one random fault. */
void mt_faults_inject_one(mt_world_t *world);

/**
 * Ends all faults and restarts all hosts that are down. Does not wait for
 * graceful stops that are in progress.
 */
void mt_faults_end_all(mt_world_t *world);

#endif
