/**
 * @file reclaim.h
 * Selects the runs to stop so that a job fits: as few as possible, and those
 * that lose the least work. Runs that are already ending are used first.
 */
#ifndef MT_DECIDE_RECLAIM_H
#define MT_DECIDE_RECLAIM_H

#include "decide/decide.h"

/**
 * @param excluded per server: true if it must not be used; or NULL
 * @param reclaims receives one mt_reclaim_t per run to stop, except runs that
 *                 are already ending or in the array
 * @return where the job will run (mt_part_t), or NULL when it would not fit
 *         even with all eligible runs stopped, or when defragmentation would
 *         stop runs with more than half as many accelerators as the job has
 */
GArray *mt_reclaim_plan(const mt_view_t *view,
			const mt_free_capacity_t *free_capacity,
			const mt_guarantee_usage_t *usage,
			const mt_view_waiting_job_t *job, const bool *excluded,
			mt_reclaim_reason_t reason, GArray *reclaims);

/**
 * True when the job is a gang that may stop other runs for defragmentation,
 * because it has waited longer than a quarter of the policy's `aging_s`.
 */
bool mt_reclaim_may_defragment(const mt_view_t *view,
			       const mt_view_waiting_job_t *job);

#endif
