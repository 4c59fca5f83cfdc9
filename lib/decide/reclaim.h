/**
 * @file reclaim.h
 * Chooses the runs to stop so that a job finds room, as few and as cheap as
 * possible; runs that are already stopping come first.
 */
#ifndef MT_DECIDE_RECLAIM_H
#define MT_DECIDE_RECLAIM_H

#include "decide/decide.h"

/**
 * @param barred   per server: not to be used; or NULL
 * @param reclaims receives one mt_reclaim_t per run to stop; runs that are
 *                 stopping already are not named again
 * @return where the job will run (mt_part_t), or NULL when stopping all that
 *         may be stopped would not make room
 */
GArray *mt_reclaim_plan(const mt_view_t *view, const mt_free_capacity_t *rooms,
			const mt_guarantee_usage_t *standing,
			const mt_view_waiting_job_t *wait, const bool *barred,
			mt_reclaim_reason_t reason, GArray *reclaims);

/** True when the job has waited long enough to be worth moving others. */
bool mt_reclaim_may_defragment(const mt_view_t *view,
			       const mt_view_waiting_job_t *wait);

#endif
