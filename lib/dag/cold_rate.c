/** @file cold_rate.c Limits the rate of placements on a cold server. */
#include "dag/cold_rate.h"

#include <glib.h>

/**
 * Length of the intervals in which placements are counted: the present one and
 * the ten before it include all placements of the last second.
 */
#define INTERVAL_MS 100u

/** Higher rates count as this one. */
#define PER_S_MAX 1e6

void mt_cold_rate_note(mt_cold_rate_t *rate, mt_ms_t now)
{
	uint64_t interval = now / INTERVAL_MS;
	size_t index = interval % MT_COLD_RATE_INTERVALS;

	if (rate->placed[index].interval != interval)
		rate->placed[index].count = 0;
	rate->placed[index].interval = interval;
	rate->placed[index].count++;
}

uint32_t mt_cold_rate_left(const mt_cold_rate_t *rate, double per_s,
			   mt_ms_t now)
{
	uint64_t interval = now / INTERVAL_MS;
	uint32_t limit = (uint32_t)CLAMP(per_s, 1, PER_S_MAX);
	uint32_t used = 0;

	for (size_t i = 0; i < MT_COLD_RATE_INTERVALS; i++) {
		if (rate->placed[i].interval + MT_COLD_RATE_INTERVALS >
		    interval)
			used += rate->placed[i].count;
	}
	return limit > used ? limit - used : 0;
}
