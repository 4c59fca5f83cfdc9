/**
 * @file reserve.h
 * Reservation for one waiting job that can neither be placed nor reclaim enough
 * capacity (see decide.h): the servers that the job will get and its expected
 * start. Both are computed from the expected ends of the runs.
 */
#ifndef MT_DECIDE_RESERVE_H
#define MT_DECIDE_RESERVE_H

#include "decide/place.h"

typedef struct mt_reservation_t {
	bool active;
	mt_ms_t start; /**< expected start of the reserved job */
	GArray *parts; /**< of mt_part_t */
} mt_reservation_t;

/**
 * Reserves the placement that is expected to become free first.
 * @return false when the job would not fit even after all runs of the view have
 *         ended, or when the view has no runs
 */
bool mt_reservation_make(mt_reservation_t *reservation, const mt_view_t *view,
			 const mt_free_capacity_t *free_capacity,
			 const mt_view_waiting_job_t *job);

/**
 * Excludes the reserved servers unless `job` is expected to end before the
 * reserved job starts, and so would not delay it.
 */
void mt_reservation_exclude(const mt_reservation_t *reservation,
			    const mt_view_t *view,
			    const mt_view_waiting_job_t *job, bool *excluded);
void mt_reservation_clear(mt_reservation_t *reservation);

#endif
