/**
 * @file estimator.h
 * Corrects declared run times and memory sizes by the ratio of actual to
 * declared values, which is learned from finished tasks per account and kind
 * of job.
 */
#ifndef MT_DECIDE_ESTIMATOR_H
#define MT_DECIDE_ESTIMATOR_H

#include "kernel/kernel.h"

typedef struct mt_estimator_t mt_estimator_t;

mt_estimator_t *mt_estimator_new(void);
void mt_estimator_free(mt_estimator_t *estimator);

/** Updates the run time ratio from a finished run. */
void mt_estimator_observe_run(mt_estimator_t *estimator,
			      const mt_name_t *account, const char *kind,
			      mt_ms_t declared_ms, mt_ms_t actual_ms);

/** Updates the memory ratio from a finished task. */
void mt_estimator_observe_memory(mt_estimator_t *estimator,
				 const mt_name_t *account, const char *kind,
				 uint32_t declared_mb, uint32_t used_mb);

/**
 * Records that the server stopped a task for using more memory than it was
 * granted, which may be more than `declared_mb`. The next estimate for the same
 * declared size is at least `used_mb` times OVERRUN_MARGIN, rounded down to
 * whole MB, but at most `declared_mb` times RATIO_MAX (both in estimator.c).
 */
void mt_estimator_observe_memory_overrun(mt_estimator_t *estimator,
					 const mt_name_t *account,
					 const char *kind, uint32_t declared_mb,
					 uint32_t used_mb);

/** Declared run time multiplied by the learned ratio; at least 1 ms. */
mt_ms_t mt_estimator_expected_run(const mt_estimator_t *estimator,
				  const mt_name_t *account, const char *kind,
				  mt_ms_t declared_ms);

/** Memory to grant: the declared size, or more if tasks usually exceed it. */
uint32_t mt_estimator_memory_mb(const mt_estimator_t *estimator,
				const mt_name_t *account, const char *kind,
				uint32_t declared_mb);

#endif
