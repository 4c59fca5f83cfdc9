/**
 * @file load_shedding.h
 * Applies admission.h at a host: reads the present summary of the load, decides
 * about submissions, and reports the refusals in metrics and log events.
 */
#ifndef MT_DAG_LOAD_SHEDDING_H
#define MT_DAG_LOAD_SHEDDING_H

#include "dag/admission.h"
#include "kernel/kernel.h"

typedef struct mt_load_shedding_deps_t {
	mt_kernel_t *kernel;
	mt_admission_mode_t mode;
	/**
	 * Returns the newest summary of the load of a service, and its age;
	 * NULL: there is none. Not used unless `mode` is MT_ADMISSION_REFUSES.
	 */
	const MtDag__Pressure *(*pressure)(void *ctx, const char *service,
					   mt_ms_t *age_ms);
	void *pressure_ctx;
} mt_load_shedding_deps_t;

typedef struct mt_load_shedding_t mt_load_shedding_t;

mt_load_shedding_t *mt_load_shedding_new(const mt_load_shedding_deps_t *deps);
void mt_load_shedding_free(mt_load_shedding_t *shedding);

/** True if acceptances have to be confirmed, see mt_admission_mode_t. */
bool mt_load_shedding_confirms(const mt_load_shedding_t *shedding);

/** Decides about a submitted job, see mt_admission_job(). */
mt_admission_t mt_load_shedding_decide(const mt_load_shedding_t *shedding,
				       const MtDag__Job *spec,
				       const mt_client_account_t *account);

/** Counts and logs a refusal of a job of this priority. */
void mt_load_shedding_note_refused(mt_load_shedding_t *shedding,
				   const mt_admission_t *admission,
				   uint32_t priority);

#endif
