/**
 * @file callers.h
 * Callers who hand in jobs, ask for them, cancel some, and check what they are
 * told.
 */
#ifndef MT_CHAOS_CALLERS_H
#define MT_CHAOS_CALLERS_H

#include "chaos/cluster.h"

typedef struct mt_callers_t mt_callers_t;

mt_callers_t *mt_callers_new(mt_cluster_t *scene);

/** True once every host has said that it is ready. */
bool mt_callers_all_ready(const mt_callers_t *callers);

void mt_callers_start_posting(mt_callers_t *callers);
void mt_callers_stop_posting(mt_callers_t *callers);

/** True when every host shows every accepted job as ended. */
bool mt_callers_all_ended(const mt_callers_t *callers);

/** Reports what did not end, and hosts that tell different ends. */
void mt_callers_check_all(const mt_callers_t *callers);

unsigned mt_callers_count(const mt_callers_t *callers);
unsigned mt_callers_accepted(const mt_callers_t *callers);

#endif
