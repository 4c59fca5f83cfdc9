/**
 * @file faults.h
 * Injects faults from outside the processes, one after another or overlapping:
 * signals to hosts, network faults at the proxies, and platform faults.
 */
#ifndef MT_CHAOS_FAULTS_H
#define MT_CHAOS_FAULTS_H

#include "chaos/cluster.h"

typedef struct mt_faults_t mt_faults_t;

mt_faults_t *mt_faults_new(mt_cluster_t *cluster);

/** Starts to inject faults at random times. */
void mt_faults_begin(mt_faults_t *faults);

/** Ends all faults and restarts or resumes all hosts. */
void mt_faults_end(mt_faults_t *faults);

/** Number of injected faults. */
unsigned mt_faults_count(const mt_faults_t *faults);

#endif
