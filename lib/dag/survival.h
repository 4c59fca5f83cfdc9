/**
 * @file survival.h
 * Estimates the probability that a task ends before it is preempted, from the
 * running time and the preemptions of all tasks in the last seconds. The
 * planner does not start tasks that would probably be preempted, as their work
 * would be lost. Performs no I/O and reads no clock: the caller reports running
 * time and preemptions.
 */
#ifndef MT_DAG_SURVIVAL_H
#define MT_DAG_SURVIVAL_H

#include <stdint.h>

/**
 * Number of levels, that is classes of priorities, for which running time and
 * preemptions are summed separately: one level for each priority from 0 to
 * MT_SURVIVAL_LEVEL_COUNT - 2, and one for all lower priorities together.
 */
#define MT_SURVIVAL_LEVEL_COUNT 8

/** Observations per level; all zero: none yet. */
typedef struct mt_survival_t {
	/** Running time in seconds; earlier time has less weight. */
	double ran_s[MT_SURVIVAL_LEVEL_COUNT];
	/** Number of preemptions; earlier ones have less weight. */
	double preemptions[MT_SURVIVAL_LEVEL_COUNT];
} mt_survival_t;

/** Reduces the weight of all observations, as `seconds` have passed. */
void mt_survival_decay(mt_survival_t *survival, double seconds);

/** Adds `seconds` of running time, summed over tasks of this priority. */
void mt_survival_add_running_time(mt_survival_t *survival, uint32_t priority,
				  double seconds);

/** Adds one preemption of a task of this priority. */
void mt_survival_add_preemption(mt_survival_t *survival, uint32_t priority);

/** Probability, 0 to 1, that a task runs for `seconds` without a preemption. */
double mt_survival_probability(const mt_survival_t *survival, uint32_t priority,
			       double seconds);

#endif
