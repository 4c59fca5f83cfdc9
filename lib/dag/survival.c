/**
 * @file survival.c Estimates the probability that a task is not preempted.
 */
#include "dag/survival.h"

#include <glib.h>
#include <math.h>

/**
 * Time constant of the exponential decay: the weight of an observation of this
 * age has fallen to 1/e.
 */
#define DECAY_TIME_S 5.0

/**
 * Added to the observed running time, as if tasks had run this long without a
 * preemption, so that few observations do not give an extreme estimate.
 */
#define PRIOR_RUNNING_S 60.0

/** Index of the priority's level, see MT_SURVIVAL_LEVEL_COUNT. */
static unsigned level_of(uint32_t priority)
{
	return MIN(priority, MT_SURVIVAL_LEVEL_COUNT - 1);
}

void mt_survival_decay(mt_survival_t *survival, double seconds)
{
	double factor = exp(-seconds / DECAY_TIME_S);

	for (unsigned i = 0; i < MT_SURVIVAL_LEVEL_COUNT; i++) {
		survival->ran_s[i] *= factor;
		survival->preemptions[i] *= factor;
	}
}

void mt_survival_add_running_time(mt_survival_t *survival, uint32_t priority,
				  double seconds)
{
	survival->ran_s[level_of(priority)] += seconds;
}

void mt_survival_add_preemption(mt_survival_t *survival, uint32_t priority)
{
	survival->preemptions[level_of(priority)] += 1;
}

double mt_survival_probability(const mt_survival_t *survival, uint32_t priority,
			       double seconds)
{
	unsigned level = level_of(priority);
	double preemptions_per_s = survival->preemptions[level] /
				   (survival->ran_s[level] + PRIOR_RUNNING_S);

	return exp(-preemptions_per_s * seconds);
}
