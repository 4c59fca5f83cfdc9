/**
 * @file survival.h
 * How likely a task is to end before it is stopped for others, learnt from the
 * last seconds. Work that would probably be thrown away is better not begun.
 * Pure: is told what runs and what is stopped.
 */
#ifndef MT_DAG_SURVIVAL_H
#define MT_DAG_SURVIVAL_H

#include <stdint.h>

/** Priorities from this one on are counted together. */
#define MT_SURVIVAL_LEVELS 8

/** All zero: nothing has been learnt yet. */
typedef struct mt_survival_t {
	double ran_s[MT_SURVIVAL_LEVELS]; /**< running time, recent counts most
					   */
	double stops[MT_SURVIVAL_LEVELS]; /**< tasks stopped for others, alike
					   */
} mt_survival_t;

/** Lets `seconds` pass: older observations count less. */
void mt_survival_decay(mt_survival_t *survival, double seconds);

/** Tasks of this priority have run for `seconds` in all. */
void mt_survival_add_running_time(mt_survival_t *survival, uint32_t priority,
				  double seconds);

/** A task of this priority was stopped for others. */
void mt_survival_add_preemption(mt_survival_t *survival, uint32_t priority);

/** Chance, 0 to 1, that a task runs for `seconds` without such a stop. */
double mt_survival_probability(const mt_survival_t *survival, uint32_t priority,
			       double seconds);

#endif
