/**
 * @file job_model_internal.h
 * Internal interface of the job model: job_model.c (occurrences, steps and
 * tasks), job_totals.c (sums and maxima over the steps) and job_progress.c
 * (records).
 */
#ifndef MT_DAG_JOB_MODEL_INTERNAL_H
#define MT_DAG_JOB_MODEL_INTERNAL_H

#include "dag/job_model.h"

/** Sets `layout` and `occurrence_work_core_ms` of a new job. */
void mt_dag_job_init_layout(mt_dag_job_t *job);
void mt_dag_job_clear_layout(mt_dag_job_t *job);

/**
 * Sets all tasks of a ready step to done that has just been opened, without
 * making the job dirty.
 */
void mt_dag_step_restore_done(mt_dag_step_t *step);

/**
 * Sets the next `count` tasks of the step to done, which must not be all,
 * without making the job dirty.
 */
void mt_dag_step_restore_tasks_done(mt_dag_step_t *step, uint32_t count);

#endif
