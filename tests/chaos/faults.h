/**
 * @file faults.h
 * Faults from outside the processes, in series and overlapping.
 */
#ifndef MT_CHAOS_FAULTS_H
#define MT_CHAOS_FAULTS_H

#include "chaos/cluster.h"

typedef struct mt_faults_t mt_faults_t;

mt_faults_t *mt_faults_new(mt_cluster_t *scene);

/** From now on faults come at random times. */
void mt_faults_begin(mt_faults_t *faults);

/** Ends every fault; all hosts run again. */
void mt_faults_end(mt_faults_t *faults);

/** Faults that have been put in force. */
unsigned mt_faults_count(const mt_faults_t *faults);

#endif
