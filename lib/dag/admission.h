/**
 * @file admission.h
 * Admission control: decides from the leader's summary of the load of a service
 * whether a new job is accepted. Performs no I/O and reads no clock.
 *
 * A job is refused only if it is expected to start so late that its result is
 * of no use. Jobs that may be within the guarantee of their account are never
 * refused.
 */
#ifndef MT_DAG_ADMISSION_H
#define MT_DAG_ADMISSION_H

#include <stdbool.h>

#include "dag/catalog.h"
#include "dag/dag.pb-c.h"
#include "kernel/timers.h"

/** Bounds of Retry-After, in seconds. */
#define MT_RETRY_AFTER_MIN_S 1u
#define MT_RETRY_AFTER_MAX_S 30u

/** A summary older than this is not used. */
#define MT_PRESSURE_AGE_MAX_MS 5000u

/** Setting of a host. */
typedef enum mt_admission_mode_t {
	MT_ADMISSION_OFF,
	/** Refuses nothing, but accepts a job only once it is confirmed that no
	 * other host has refused it, see docs/design/admission.md. */
	MT_ADMISSION_CONFIRMS,
	MT_ADMISSION_REFUSES, /**< as before, and refuses jobs */
} mt_admission_mode_t;

/** Why a job is accepted or refused. */
typedef enum mt_admission_reason_t {
	MT_ADMISSION_NO_PRESSURE, /**< there is no recent summary */
	MT_ADMISSION_GUARANTEED,  /**< may be within its account's guarantee */
	MT_ADMISSION_IN_TIME,	  /**< expected to start early enough */
	/** Refused: would start too late. */
	MT_ADMISSION_TOO_LATE,
	/** Refused: would start too late, as its account uses more than an even
	 * share of the capacity beyond the guarantees. */
	MT_ADMISSION_OVER_SHARE,
	/** Refused, as the same job was refused shortly before. */
	MT_ADMISSION_REFUSED_BEFORE,
} mt_admission_reason_t;

/** What is known of a job when it is submitted. */
typedef struct mt_admission_job_t {
	uint64_t id;
	/** 0 is the highest, MT_LOAD_PRIORITY_MAX the lowest. */
	uint32_t priority;
	uint64_t work_core_ms;	 /**< of all tasks; an accelerator counts as
				    MT_CORES_PER_GPU cores */
	uint32_t objective_ms;	 /**< see mt_dag_job_objective_ms() */
	uint32_t gpu_wanted;	 /**< see mt_dag_job_gpu_wanted() */
	uint32_t guaranteed_gpu; /**< accelerators that the account has
				    guaranteed */
	const char *account;	 /**< name; empty: none */
} mt_admission_job_t;

typedef struct mt_admission_t {
	bool accepted;
	mt_admission_reason_t reason;
	mt_ms_t wait_ms; /**< expected time until the job starts */
	/** Valid for a refused job: MT_RETRY_AFTER_MIN_S to
	 * MT_RETRY_AFTER_MAX_S. */
	unsigned retry_after_s;
} mt_admission_t;

/**
 * Decides about a job.
 * @param pressure summary of the job's service; NULL: none, the job is accepted
 * @param age_ms age of the summary
 */
mt_admission_t mt_admission_decide(const MtDag__Pressure *pressure,
				   mt_ms_t age_ms,
				   const mt_admission_job_t *job);

/**
 * Describes a submitted job, whose id, priority and account are set in `spec`.
 * The result refers to texts of `spec`.
 * @param account NULL: the client has no account
 */
mt_admission_job_t mt_admission_job(const MtDag__Job *spec,
				    const mt_client_account_t *account);

/** Name of the reason in log events and metrics. */
const char *mt_admission_reason_name(mt_admission_reason_t reason);

#endif
