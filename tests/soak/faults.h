/**
 * @file faults.h
 * Injects random faults into hosts, networks, the log and backend servers, and
 * ends each after a random time. If two faults set the same members of
 * mt_active_faults_t or mt_server_faults_t, the end of the first ends both.
 */
#ifndef MT_TESTS_SOAK_FAULTS_H
#define MT_TESTS_SOAK_FAULTS_H

#include "soak/world.h"

/** Injects one random fault. */
void mt_faults_inject_one(mt_world_t *world);

/** Ends all faults and restarts all hosts that are down. */
void mt_faults_end_all(mt_world_t *world);

#endif
