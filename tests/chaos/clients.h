/**
 * @file clients.h
 * Simulated clients, which submit jobs over HTTP, cancel some of them, poll
 * their states at all hosts, and check the answers. Clients that are refused
 * for lack of capacity return together.
 */
#ifndef MT_CHAOS_CLIENTS_H
#define MT_CHAOS_CLIENTS_H

#include "chaos/cluster.h"

typedef struct mt_clients_t mt_clients_t;

mt_clients_t *mt_clients_new(mt_cluster_t *cluster);

/** True when every host is ready, as of its last readiness answer. */
bool mt_clients_all_ready(const mt_clients_t *clients);

void mt_clients_start_submitting(mt_clients_t *clients);
void mt_clients_stop_submitting(mt_clients_t *clients);

/** True when every host shows every accepted job as ended. */
bool mt_clients_all_ended(const mt_clients_t *clients);

/** Reports accepted jobs that some host does not show as ended, or that hosts
 * show with different final states. */
void mt_clients_check_all(const mt_clients_t *clients);

/** Number of jobs that were submitted, whether accepted or not. */
unsigned mt_clients_count(const mt_clients_t *clients);
unsigned mt_clients_accepted(const mt_clients_t *clients);

/** Number of refusals for lack of capacity. */
unsigned mt_clients_refusals(const mt_clients_t *clients);

#endif
