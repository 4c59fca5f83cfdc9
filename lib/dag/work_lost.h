/**
 * @file work_lost.h
 * Sums the work that runs have done in vain, by cause: the counters
 * work_lost_core_seconds_total and the event work_lost. An accelerator counts
 * as MT_CORES_PER_GPU cores.
 */
#ifndef MT_DAG_WORK_LOST_H
#define MT_DAG_WORK_LOST_H

#include "dag/job_model.h"
#include "kernel/kernel.h"

typedef enum mt_work_lost_cause_t {
	MT_WORK_LOST_PREEMPTED,
	MT_WORK_LOST_MOVED, /**< stopped to run on another server */
	/** A run of the gang has failed or was lost. */
	MT_WORK_LOST_GANG_BROKEN,
	/** Members of a gang have done their work and wait for the others. */
	MT_WORK_LOST_GANG_WAIT,
	MT_WORK_LOST_CAUSES, /**< number of causes */
} mt_work_lost_cause_t;

/** Zero-initialized before the first use. */
typedef struct mt_work_lost_t {
	/** Core-seconds that are not in the counters yet: less than 1 each. */
	double uncounted[MT_WORK_LOST_CAUSES];
	/** Core-seconds since the last event. */
	double unlogged[MT_WORK_LOST_CAUSES];
	mt_ms_t logged_at; /**< time of the last event; 0: none yet */
} mt_work_lost_t;

/**
 * Counts the work of a run that is stopped, or of all runs of its gang: what is
 * not saved in a checkpoint. To be called while the runs are still placed. The
 * work of a run that is being stopped, or of a gang's run that was counted
 * before, is not counted again; that of a cancelled or failed job never is.
 */
void mt_work_lost_on_stop(mt_work_lost_t *lost, mt_kernel_t *kernel,
			  mt_dag_task_t *task, mt_work_lost_cause_t cause);

/** Counts the run as waiting for its gang for `seconds`, if it does so. */
void mt_work_lost_on_tick(mt_work_lost_t *lost, mt_kernel_t *kernel,
			  const mt_dag_task_t *task, double seconds);

/** Logs the event now and then, if work was lost since the last one. */
void mt_work_lost_log(mt_work_lost_t *lost, mt_kernel_t *kernel);

#endif
