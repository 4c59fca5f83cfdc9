/**
 * @file jobs_internal.h
 * Declarations shared by the source files of the table of jobs:
 *  - jobs.c: the table, and the loading of the job stream;
 *  - job_records.c: the rules by which records change jobs (see jobs.h).
 */
#ifndef MT_JOBS_JOBS_INTERNAL_H
#define MT_JOBS_JOBS_INTERNAL_H

#include "jobs/jobs.h"

struct mt_jobs_t {
	GHashTable *all;       /**< mt_job_id_t to mt_job_t, which it owns */
	GHashTable *live;      /**< the jobs of `all` without an outcome */
	GArray *deferred;      /**< of mt_deferred_record_t; NULL once loaded */
	GArray *subscribers;   /**< of mt_subscriber_t */
	uint64_t start_offset; /**< see mt_jobs_reset() */
};

/** A live job of epoch 1 that is not in the table yet. */
mt_job_t *mt_job_new(const mt_job_id_t *id, const char *account,
		     const MtPb__Spec *spec,
		     const ProtobufCBinaryData *payload);

/** Adds the job to the table, which takes ownership of it. */
void mt_jobs_insert(mt_jobs_t *jobs, mt_job_t *job);

/** Removes the job from the table and frees it, after MT_JOB_DROPPED. */
void mt_jobs_drop(mt_jobs_t *jobs, mt_job_t *job);

/** Calls all subscribers. */
void mt_jobs_notify(mt_jobs_t *jobs, mt_job_t *job, mt_job_change_t change);

/** True when the job ended more than MT_KEY_RETENTION_MS before `at_ms`. */
bool mt_job_is_tombstone_expired(const mt_job_t *job, uint64_t at_ms);

/** Applies a record that concerns the job `id`, if it is valid. */
void mt_jobs_apply_record(mt_jobs_t *jobs, const mt_job_id_t *id,
			  uint64_t offset, uint64_t at_ms,
			  const MtPb__Record *record);

/**
 * Creates a job from a Carry, unless the log has dropped records that the Carry
 * does not cover.
 */
void mt_jobs_create_from_carry(mt_jobs_t *jobs, const mt_job_id_t *id,
			       uint64_t at_ms, const MtPb__Carry *carry);

#endif
