/**
 * @file reclaim.h
 * Selects the runs to stop so that a job fits. Uses the capacity of runs that
 * are already ending first. Then adds runs in ascending order of the work that
 * is lost by stopping them, until the job fits, and drops those that turn out
 * not to be needed.
 */
#ifndef MT_DECIDE_RECLAIM_H
#define MT_DECIDE_RECLAIM_H

#include "decide/decide.h"

/**
 * Selects the runs to stop so that the job fits on servers not excluded.
 * @param excluded per server: true if it must not be used; or NULL
 * @param reclaims receives one mt_reclaim_t per run to stop, except for runs
 *                 that are already ending or already in the array
 * @return where the job will run (mt_part_t), or NULL when it would not fit
 *         even with all eligible runs stopped. With MT_RECLAIM_DEFRAGMENT
 *         also NULL when the selected runs, those already ending included,
 *         have more than half as many accelerators as the job.
 */
GArray *mt_reclaim_select_runs(const mt_view_t *view,
			       const mt_free_capacity_t *free_capacity,
			       const mt_guarantee_usage_t *usage,
			       const mt_view_waiting_job_t *job,
			       const bool *excluded, mt_reclaim_reason_t reason,
			       GArray *reclaims);

/**
 * True when other runs may be stopped for the job for defragmentation: it is a
 * gang and has waited longer than a quarter of the policy's `aging_s`.
 */
bool mt_reclaim_may_defragment(const mt_view_t *view,
			       const mt_view_waiting_job_t *job);

#endif
