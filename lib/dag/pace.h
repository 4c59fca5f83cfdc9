/**
 * @file pace.h
 * Finds servers on which tasks run much slower than their siblings elsewhere.
 * The tasks of a step do the same work, so that their rates of progress can be
 * compared, whereas the estimates of run times are too rough for this. Pure
 * functions.
 */
#ifndef MT_DAG_PACE_H
#define MT_DAG_PACE_H

#include <glib.h>
#include <stdbool.h>

/** Rate of progress of one task. */
typedef struct mt_pace_sample_t {
	double rate;  /**< in percent of the task's work per second */
	double ratio; /**< set by mt_pace_compare(): rate / median */
} mt_pace_sample_t;

/**
 * Compares the rates of the running tasks of one step.
 * @return false when there are too few samples, or the tasks are too slow for
 * the rates to be exact; the ratios are not set then
 */
bool mt_pace_compare(mt_pace_sample_t *samples, unsigned n_samples);

/** True if a server with this ratio of its tasks' rates is slow. */
bool mt_pace_is_slow(double ratio);

/**
 * True if a run on a slow server should be stopped and started on another one,
 * as it would end clearly earlier there.
 * @param percent progress of the run
 * @param rate its rate of progress, in percent per second
 * @param ratio its rate, relative to the rate that it would have on the other
 * server
 * @param keeps_work the run resumes from a checkpoint
 */
bool mt_pace_should_restart(double percent, double rate, double ratio,
			    bool keeps_work);

#endif
