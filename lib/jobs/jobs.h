/**
 * @file jobs.h
 * The table of jobs, computed from the records of the job stream alone (see
 * wire/mimosaturn.proto), except for direct jobs, which have no records (see
 * mt_job_t.direct).
 *
 * Every reader applies the same records in the same order by the same rules,
 * so all hosts agree on which job an idempotency key refers to, which claim may
 * start the job and which outcome counts. No rule reads a clock; time comes
 * from the timestamps of the log.
 *
 * A job is live until it has an outcome. Its epoch is 1 plus the number of its
 * moves between data centres. Of competing records the first valid one in the
 * log decides:
 *  - Accept: valid when the job id is unknown, or when its tombstone (the entry
 *    of an ended job) is older than MT_KEY_RETENTION_MS.
 *  - Claim (the right to start the job once): valid when the job is live, no
 *    cancellation is requested, the epoch is that of the job, no claim is open,
 *    the number is the next one, and the claim names a server. The claim is
 *    open until a ClaimVoid record or the outcome.
 *  - ClaimVoid: valid when it names the open claim.
 *  - Outcome: valid when the job is live and the epoch is that of the job. Two
 *    more rules hold for a non-idempotent job. If a claim is open, the outcome
 *    must name this claim. If no claim is open, the outcome must be a refusal
 *    or a cancellation, and proves that the job has not run ("not run"): such a
 *    job starts only under an open claim, and a claim is voided only if nothing
 *    has begun under it.
 *  - Move: valid when the job is live, the epoch is the next one and no claim
 *    is open.
 *  - Cancel: requests the cancellation of a live job, which stays live until
 *    its outcome. For an unknown id it leaves a tombstone with the outcome
 *    "cancelled", so that a later Accept is invalid. The tombstone proves "not
 *    run" only if the caller stated that the job is not idempotent, because an
 *    idempotent job may have run directly, without records.
 *  - Carry: restates the whole state of a job as of an offset. The log may then
 *    drop the older records of the job.
 *
 * A reader that cannot start at the very first record, because the log has
 * dropped it, defers all records until the end of the stream. It then creates
 * each job from the first Carry that covers all dropped records of the stream,
 * and applies the remaining records in order.
 */
#ifndef MT_JOBS_JOBS_H
#define MT_JOBS_JOBS_H

#include "kernel/kernel.h"
#include "wire/codec.h"

/**
 * How long the tombstone of an ended job, and so its idempotency key, is kept,
 * by the timestamps of the log.
 */
#define MT_KEY_RETENTION_MS (7ull * 24 * 3600 * 1000)

/** Largest payload and largest result, in bytes. */
#define MT_PAYLOAD_MAX_BYTES (16u * 1024u)
#define MT_RESULT_MAX_BYTES (16u * 1024u)

#define MT_DIGEST_BYTES 32

typedef struct mt_job_t {
	mt_job_id_t id;
	mt_name_t account;
	mt_name_t dc;
	uint32_t epoch; /**< 1 plus the number of moves */
	MtPb__Spec *spec;
	GBytes *payload; /**< NULL once the job has ended */
	/**
	 * Digest of the body of the submit request. A further request with the
	 * same key must have the same body. Zero for a direct job, and if
	 * `never_accepted` is set.
	 */
	uint8_t body_digest[MT_DIGEST_BYTES];
	/**
	 * Log time, that is, the timestamp of a record in the log: here of the
	 * Accept, or of the Cancel if there is none. 0 for a direct job.
	 */
	uint64_t accepted_at_ms;
	/** Log time of the oldest record that is needed to rebuild the job. */
	uint64_t oldest_record_at_ms;
	/**
	 * Offset up to which all changes of the job are known to be included:
	 * that of the last record that changed the job or, for a job created
	 * from a Carry, the offset that the Carry states. 0 for a direct job.
	 */
	uint64_t last_change_offset;
	bool cancel_requested;	    /**< the job may still be live */
	bool never_accepted;	    /**< cancelled before any Accept */
	uint32_t last_claim_number; /**< from 1; 0 if there was none */
	MtPb__Claim *claim;	    /**< the open claim, or NULL */
	/**
	 * OUTCOME_NONE while the job is live. OUTCOME_UNKNOWN if the job began
	 * or may have begun, and either it cannot be found out whether it
	 * finished, or its result is lost.
	 */
	MtPb__OutcomeKind outcome;
	char *reason;	      /**< of the outcome; NULL while the job is live */
	GBytes *result;	      /**< only with OUTCOME_FINISHED, else NULL */
	bool not_run;	      /**< ended, and proven not to have run */
	uint64_t ended_at_ms; /**< log time */
	bool direct;	      /**< runs for a waiting caller, without records */
} mt_job_t;

typedef enum mt_job_change_t {
	MT_JOB_ADDED, /**< accepted, created from a Carry, or direct */
	MT_JOB_CLAIMED,
	MT_JOB_CLAIM_VOIDED,
	MT_JOB_CANCEL_REQUESTED,
	MT_JOB_MOVED,
	/**
	 * Has an outcome. Without MT_JOB_ADDED before it if the job was
	 * cancelled before its Accept, and only a tombstone was added.
	 */
	MT_JOB_ENDED,
	MT_JOB_DROPPED, /**< the pointer is invalid after the callback */
} mt_job_change_t;

typedef void (*mt_job_cb)(void *ctx, mt_job_t *job, mt_job_change_t change);

typedef struct mt_jobs_t mt_jobs_t;

mt_jobs_t *mt_jobs_new(void);
void mt_jobs_free(mt_jobs_t *jobs);
void mt_jobs_subscribe(mt_jobs_t *jobs, mt_job_cb cb, void *ctx);

/**
 * Drops all jobs, to read the stream from the record at `offset`. Unless
 * `offset` is 0, records are deferred until mt_jobs_finish_loading().
 */
void mt_jobs_reset(mt_jobs_t *jobs, uint64_t offset);

/** Applies the deferred records, once the end of the stream is reached. */
void mt_jobs_finish_loading(mt_jobs_t *jobs);

/** False while records are deferred. */
bool mt_jobs_is_loaded(const mt_jobs_t *jobs);

/** Applies the record at `offset`; records that concern no job are ignored. */
void mt_jobs_apply(mt_jobs_t *jobs, uint64_t offset, uint64_t at_ms,
		   const MtPb__Record *record);

mt_job_t *mt_jobs_find(const mt_jobs_t *jobs, const mt_job_id_t *id);

/**
 * The live jobs, direct ones included, as a map from mt_job_id_t to mt_job_t.
 * The caller must not modify it.
 */
GHashTable *mt_jobs_live(const mt_jobs_t *jobs);

static inline bool mt_job_is_live(const mt_job_t *job)
{
	return job->outcome == MT_PB__OUTCOME_KIND__OUTCOME_NONE;
}

/** Drops jobs that ended more than MT_KEY_RETENTION_MS before `log_now_ms`. */
void mt_jobs_prune(mt_jobs_t *jobs, uint64_t log_now_ms);

/**
 * Jobs (mt_job_t *) whose oldest needed record is older than `age_ms` by log
 * time. Direct jobs are left out, as they have no records.
 */
GPtrArray *mt_jobs_with_old_records(const mt_jobs_t *jobs, uint64_t log_now_ms,
				    uint64_t age_ms);

/** Packs the state of the job as of offset `as_of` as a Carry record. */
GBytes *mt_job_pack_carry(const mt_job_t *job, uint64_t as_of);

/**
 * Adds a direct job, which has no records.
 * @return NULL if the id is known or the job is not a valid idempotent one
 */
mt_job_t *mt_jobs_add_direct(mt_jobs_t *jobs, const MtPb__DirectRun *run);
void mt_jobs_drop_direct(mt_jobs_t *jobs, mt_job_t *job);
void mt_jobs_drop_all_direct(mt_jobs_t *jobs);

/** Name of an outcome in answers to callers; "accepted" for OUTCOME_NONE. */
const char *mt_outcome_name(MtPb__OutcomeKind kind);

#endif
