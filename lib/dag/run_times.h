/**
 * @file run_times.h
 * Predicts the run times of tasks from the run times of earlier tasks of the
 * same image, account and queue, as the estimates of clients may be far off.
 * Where the estimates agree with what was observed, they are kept. Performs no
 * I/O and reads no clock.
 */
#ifndef MT_DAG_RUN_TIMES_H
#define MT_DAG_RUN_TIMES_H

#include <stdint.h>

/** What a task has in common with others; empty strings are allowed. */
typedef struct mt_run_kind_t {
	const char *queue;
	const char *account;
	const char *image;
} mt_run_kind_t;

typedef struct mt_run_times_t mt_run_times_t;

mt_run_times_t *mt_run_times_new(void);
void mt_run_times_free(mt_run_times_t *times);

/** Forgets all run times. */
void mt_run_times_clear(mt_run_times_t *times);

/**
 * Adds the run time of a task that has ended with success.
 * @param estimate_ms the client's estimate; above 0
 * @param run_ms run time on a server of speed 1; above 0
 */
void mt_run_times_observe(mt_run_times_t *times, const mt_run_kind_t *kind,
			  double estimate_ms, double run_ms);

/**
 * Predicts the run time of a task on a server of speed 1.
 * @param estimate_ms the client's estimate
 * @return the median run time in milliseconds; `estimate_ms` if too few tasks
 * of this kind were observed, or the estimates of such tasks are right
 */
double mt_run_times_predict(const mt_run_times_t *times,
			    const mt_run_kind_t *kind, double estimate_ms);

/**
 * Run time that a task of this kind exceeds with the probability 1 - `share`,
 * as a multiple of mt_run_times_predict(); 1 if too few were observed.
 */
double mt_run_times_quantile(const mt_run_times_t *times,
			     const mt_run_kind_t *kind, double share);

#endif
