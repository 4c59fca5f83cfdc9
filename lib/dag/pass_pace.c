/** @file pass_pace.c Bounds the time of scheduling passes. */
#include "dag/pass_pace.h"

#define US_PER_MS 1000u

/** Minimum time between two events `pass_long`. */
#define LOG_INTERVAL_MS 1000u

void mt_pass_pace_init(mt_pass_pace_t *pace)
{
	*pace = (mt_pass_pace_t){.candidates_max = MT_PASS_CANDIDATES_MAX};
}

void mt_pass_pace_begin(mt_pass_pace_t *pace, uint64_t now_us)
{
	pace->began_us = now_us;
	pace->n_steps_visited = 0;
	pace->n_candidates = 0;
}

/**
 * Halves the limit if a pass that may have reached it took too long, and raises
 * it slowly otherwise.
 */
static void adapt(mt_pass_pace_t *pace, uint64_t took_us)
{
	unsigned max = pace->candidates_max;

	if (took_us <= MT_PASS_SLICE_US)
		max += max / 4;
	else if (pace->n_candidates > MT_PASS_CANDIDATES_MIN)
		max = MIN(max, pace->n_candidates) / 2;
	pace->candidates_max =
		CLAMP(max, MT_PASS_CANDIDATES_MIN, MT_PASS_CANDIDATES_MAX);
}

static void log_long(mt_pass_pace_t *pace, mt_kernel_t *kernel)
{
	mt_ms_t now = mt_kernel_now(kernel);

	if (pace->longest_us <= MT_PASS_SLICE_US ||
	    (pace->logged_at && now - pace->logged_at < LOG_INTERVAL_MS))
		return;
	mt_kernel_event(kernel, "pass_long",
			"\"took_ms\":%u,\"steps\":%u,\"candidates\":%u,"
			"\"candidates_max\":%u",
			(unsigned)(pace->longest_us / US_PER_MS),
			pace->n_steps_visited, pace->n_candidates,
			pace->candidates_max);
	pace->logged_at = now;
	pace->longest_us = 0;
}

void mt_pass_pace_end(mt_pass_pace_t *pace, mt_kernel_t *kernel,
		      uint64_t now_us)
{
	uint64_t took_us =
		now_us > pace->began_us ? now_us - pace->began_us : 0;
	uint64_t *longest = mt_kernel_counter(kernel, "pass_longest_us");

	*longest = MAX(*longest, took_us);
	pace->longest_us = MAX(pace->longest_us, took_us);
	*mt_kernel_counter(kernel, "pass_us_total") += took_us;
	++*mt_kernel_counter(kernel, "passes_total");
	adapt(pace, took_us);
	log_long(pace, kernel);
}
