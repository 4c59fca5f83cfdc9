/**
 * @file reserve.h
 * The reservation of the first job that finds no room: the servers it will
 * get and when, from the expected ends of the runs there.
 */
#ifndef MT_DECIDE_RESERVE_H
#define MT_DECIDE_RESERVE_H

#include "decide/place.h"

typedef struct mt_reservation_t {
	bool active;
	mt_ms_t start;
	GArray *parts; /**< of mt_part_t */
} mt_reservation_t;

/**
 * Reserves the earliest room. @return false when the job would not fit even
 * after every run has ended.
 */
bool mt_reservation_make(mt_reservation_t *reservation, const mt_view_t *view,
			 const mt_free_capacity_t *rooms,
			 const mt_view_waiting_job_t *wait);

/** Bars the reserved servers for a job that would end after the start. */
void mt_reservation_exclude(const mt_reservation_t *reservation,
			    const mt_view_t *view,
			    const mt_view_waiting_job_t *wait, bool *barred);
void mt_reservation_clear(mt_reservation_t *reservation);

#endif
