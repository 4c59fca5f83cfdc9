/**
 * @file callers.h
 * Simulated clients, which submit jobs over HTTP, cancel some of them, poll
 * their states at all hosts, and check the answers.
 */
#ifndef MT_CHAOS_CALLERS_H
#define MT_CHAOS_CALLERS_H

#include "chaos/cluster.h"

typedef struct mt_callers_t mt_callers_t;

mt_callers_t *mt_callers_new(mt_cluster_t *cluster);

/** True when every host is ready, as of its last readiness answer. */
bool mt_callers_all_ready(const mt_callers_t *callers);

void mt_callers_start_posting(mt_callers_t *callers);
void mt_callers_stop_posting(mt_callers_t *callers);

/** True when every host shows every accepted job as ended. */
bool mt_callers_all_ended(const mt_callers_t *callers);

/** Reports accepted jobs that have not ended, or not with the same state. */
void mt_callers_check_all(const mt_callers_t *callers);

/** Number of jobs that were submitted, whether accepted or not. */
unsigned mt_callers_count(const mt_callers_t *callers);
unsigned mt_callers_accepted(const mt_callers_t *callers);

#endif
