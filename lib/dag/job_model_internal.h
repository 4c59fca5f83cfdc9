/**
 * @file job_model_internal.h
 * Internal interface of the job model: job_model.c (occurrences and steps),
 * job_tasks.c (tasks), job_totals.c (sums and maxima over the steps) and
 * job_progress.c (records).
 */
#ifndef MT_DAG_JOB_MODEL_INTERNAL_H
#define MT_DAG_JOB_MODEL_INTERNAL_H

#include "dag/job_model.h"

/** Sets `layout` and `occurrence_work_core_ms` of a new job. */
void mt_dag_job_init_layout(mt_dag_job_t *job);
void mt_dag_job_clear_layout(mt_dag_job_t *job);

/** Frees the step with its tasks; NULL is allowed. */
void mt_dag_step_free(mt_dag_step_t *step);
void mt_dag_occurrence_free(mt_dag_occurrence_t *occurrence);

/** Changes the number of waiting tasks of the step. */
void mt_dag_step_add_waiting(mt_dag_step_t *step, int32_t change);

/** Notes that the state of a task of the step may be released soon. */
void mt_dag_step_note_done_task(mt_dag_step_t *step);

/** Called when all tasks of the step are done: others may be ready now. */
void mt_dag_step_finish(mt_dag_step_t *step);

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
