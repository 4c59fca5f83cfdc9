/** @file pace.c Finds slow servers by the progress of sibling tasks. */
#include "dag/pace.h"

#include <stdlib.h>
#include <string.h>

/** Fewer samples do not show which of the tasks is the exception. */
#define SAMPLES_MIN 4u

/**
 * Progress is reported in whole percent. Below this median rate, in percent per
 * second, the error of a rate is too large.
 */
#define MEDIAN_RATE_MIN 4.0

/**
 * A server is slow if its tasks run at less than this share of the median rate.
 * The speeds of sound servers and the work of siblings differ by less.
 */
#define SLOW_RATIO 0.4

/** A restart must bring the end forward by this factor, and by this time. */
#define RESTART_GAIN 1.5
#define RESTART_GAIN_S 1.0

#define PERCENT_MAX 100.0

static int compare_rates(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double median_rate(const mt_pace_sample_t *samples, unsigned n_samples)
{
	double *rates = g_new(double, n_samples);
	double median;

	for (unsigned i = 0; i < n_samples; i++)
		rates[i] = samples[i].rate;
	qsort(rates, n_samples, sizeof(*rates), compare_rates);
	median = rates[n_samples / 2];
	g_free(rates);
	return median;
}

bool mt_pace_compare(mt_pace_sample_t *samples, unsigned n_samples)
{
	double median;

	if (n_samples < SAMPLES_MIN)
		return false;
	median = median_rate(samples, n_samples);
	if (median < MEDIAN_RATE_MIN)
		return false;
	for (unsigned i = 0; i < n_samples; i++)
		samples[i].ratio = samples[i].rate / median;
	return true;
}

bool mt_pace_is_slow(double ratio)
{
	return ratio < SLOW_RATIO;
}

bool mt_pace_should_restart(double percent, double rate, double ratio,
			    bool keeps_work)
{
	double left = PERCENT_MAX - percent;
	double left_elsewhere = keeps_work ? left : PERCENT_MAX;

	/* The rates on this server and elsewhere are `rate` and `rate / ratio`.
	 * Both sides are multiplied by `rate`, which may be 0. */
	return left >
	       RESTART_GAIN * left_elsewhere * ratio + RESTART_GAIN_S * rate;
}
