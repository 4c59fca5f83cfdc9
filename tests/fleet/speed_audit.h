/**
 * @file speed_audit.h
 * Compares the speeds of servers that the leader has learned, and has written
 * to the store, with the true ones.
 */
#ifndef MT_FLEET_SPEED_AUDIT_H
#define MT_FLEET_SPEED_AUDIT_H

#include "fleet/sim.h"

/** True speed of a server. */
typedef struct mt_true_speed_t {
	const char *server; /**< id */
	int64_t born;	    /**< start time of its process */
	double speed;	    /**< relative to the usual speed */
} mt_true_speed_t;

/**
 * Reports the servers whose speed is not in the store, or is not near the true
 * one, also that of an earlier process of the server.
 */
void mt_speed_audit(mt_sim_t *sim, const mt_true_speed_t *servers,
		    unsigned n_servers);

#endif
