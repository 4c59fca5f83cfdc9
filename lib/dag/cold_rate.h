/**
 * @file cold_rate.h
 * Limits how many tasks per second are placed on one cold server, that is one
 * that has just started and is slow for some time. Does no I/O and reads no
 * clock.
 */
#ifndef MT_DAG_COLD_RATE_H
#define MT_DAG_COLD_RATE_H

#include <stdint.h>

#include "kernel/timers.h"

/** Number of intervals that include all placements of the last second. */
#define MT_COLD_RATE_INTERVALS 11u

/** Placements on one server in the last second. All zero: none. */
typedef struct mt_cold_rate_t {
	/** Element n % MT_COLD_RATE_INTERVALS counts interval n, or an earlier
	 * one. */
	struct {
		uint64_t interval; /**< number of the interval */
		uint32_t count;	   /**< tasks placed in it */
	} placed[MT_COLD_RATE_INTERVALS];
} mt_cold_rate_t;

/** Counts a task that is placed on the server. */
void mt_cold_rate_note(mt_cold_rate_t *rate, mt_ms_t now);

/**
 * Number of tasks that may be placed now, so that in no second more than
 * `per_s` are placed, rounded down, but at least one.
 */
uint32_t mt_cold_rate_left(const mt_cold_rate_t *rate, double per_s,
			   mt_ms_t now);

#endif
