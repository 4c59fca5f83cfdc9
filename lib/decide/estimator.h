/**
 * @file estimator.h
 * Correction of declared run times and memory, learned per account and kind
 * from what finished tasks used.
 */
#ifndef MT_DECIDE_ESTIMATOR_H
#define MT_DECIDE_ESTIMATOR_H

#include "kernel/kernel.h"

typedef struct mt_estimator_t mt_estimator_t;

mt_estimator_t *mt_estimator_new(void);
void mt_estimator_free(mt_estimator_t *estimator);

/** Records what one run took against what was declared. */
void mt_estimator_observe_run(mt_estimator_t *estimator,
			      const mt_name_t *account, const char *kind,
			      mt_ms_t declared_ms, mt_ms_t actual_ms);
void mt_estimator_observe_memory(mt_estimator_t *estimator,
				 const mt_name_t *account, const char *kind,
				 uint32_t declared_mb, uint32_t used_mb);

/** A guard stopped a task at `used_mb`: the next grant is above it. */
void mt_estimator_observe_memory_overrun(mt_estimator_t *estimator,
					 const mt_name_t *account,
					 const char *kind, uint32_t declared_mb,
					 uint32_t used_mb);

/** Declared run time times the learned ratio, in milliseconds. */
mt_ms_t mt_estimator_expected_run(const mt_estimator_t *estimator,
				  const mt_name_t *account, const char *kind,
				  mt_ms_t declared_ms);

/** Memory to grant: at least what is declared, more where that is short. */
uint32_t mt_estimator_memory_mb(const mt_estimator_t *estimator,
				const mt_name_t *account, const char *kind,
				uint32_t declared_mb);

#endif
