/**
 * @file wakeups.h
 * Tells apart the jobs of which something may start or runs, which are awake,
 * and those that only wait for the start time of their next occurrence, which
 * are asleep. Scheduling passes look at the first ones only, and,
 * for the guarantees, at all jobs of priority 0.
 */
#ifndef MT_DAG_WAKEUPS_H
#define MT_DAG_WAKEUPS_H

#include "dag/job_model.h"

typedef struct mt_wakeups_t {
	GPtrArray *awake;  /**< mt_dag_job_t, in no order */
	GSequence *asleep; /**< mt_dag_job_t, by their next start time */
	/** mt_dag_job_t of priority 0, awake or asleep, in no order. */
	GPtrArray *urgent;
} mt_wakeups_t;

void mt_wakeups_init(mt_wakeups_t *wakeups);
void mt_wakeups_clear(mt_wakeups_t *wakeups);

/** Adds a job, which is awake. */
void mt_wakeups_add(mt_wakeups_t *wakeups, mt_dag_job_t *job);
void mt_wakeups_remove(mt_wakeups_t *wakeups, mt_dag_job_t *job);

/** To be called when the job's priority may have changed. */
void mt_wakeups_update_priority(mt_wakeups_t *wakeups, mt_dag_job_t *job);

/** Removes all jobs. */
void mt_wakeups_remove_all(mt_wakeups_t *wakeups);

/** Wakes the jobs whose next occurrence may start by this Unix time. */
void mt_wakeups_wake_due(mt_wakeups_t *wakeups, int64_t wall_ms);

/** Lets the jobs sleep of which nothing is open and nothing may start. */
void mt_wakeups_let_sleep(mt_wakeups_t *wakeups, int64_t wall_ms);

#endif
