/**
 * @file jobs.h
 * The table of jobs: a pure function of the records of the job stream.
 *
 * Every reader applies the same records in the same order and by the same
 * rules, so all hosts agree on which job a key names, which claim may start
 * it and which outcome counts. No rule reads a clock other than the log's.
 *
 * Rules, each decided by the first valid record in the log:
 *  - Accept: valid when no job of this id is known, or when its tombstone is
 *    older than the key window.
 *  - Claim: valid when the job is live, not cancelled, of the same epoch,
 *    without an open claim, and the number is the next one.
 *  - ClaimVoid: valid when it names the open claim.
 *  - Outcome: valid when the job is live and of the same epoch. For a
 *    non-idempotent job it must name the open claim, or be a refusal or a
 *    cancellation while no claim is open; only the latter is "not run".
 *  - Move: valid when the epoch is the next one and no claim is open.
 *  - Cancel: marks a live job; for an id that is not known it leaves a
 *    tombstone, so that a late Accept is void. It proves "not run" when the
 *    caller stated that the job is not idempotent: another one may have run
 *    directly.
 *
 * A reader that cannot begin at the first record ever keeps what it reads
 * until the end of the stream, then begins each job with the first Carry that
 * stands for all dropped records, and applies the rest in order.
 */
#ifndef MT_JOBS_JOBS_H
#define MT_JOBS_JOBS_H

#include "kernel/kernel.h"
#include "wire/codec.h"

/** How long an ended job's key is remembered, by the log's clock. */
#define MT_KEY_RETENTION_MS (7ull * 24 * 3600 * 1000)

/** Largest payload and largest result, in bytes. */
#define MT_PAYLOAD_MAX_BYTES (16u * 1024u)
#define MT_RESULT_MAX_BYTES (16u * 1024u)

#define MT_DIGEST_BYTES 32

typedef struct mt_job_t {
	mt_job_id_t id;
	mt_name_t account;
	mt_name_t dc;
	uint32_t epoch;
	MtPb__Spec *spec;
	GBytes *payload; /**< NULL once the job has ended */
	uint8_t body_digest[MT_DIGEST_BYTES];
	uint64_t accepted_at_ms;      /**< by the log's clock */
	uint64_t oldest_record_at_ms; /**< age of the oldest record needed */
	uint64_t last_change_offset;  /**< last record that changed the job */
	bool cancel;		      /**< its caller has asked to cancel it */
	bool never_accepted;	      /**< a cancellation came first */
	uint32_t claims;	      /**< number of the last claim */
	MtPb__Claim *claim;	      /**< the open claim, or NULL */
	MtPb__OutcomeKind outcome;
	char *reason;
	GBytes *result;
	bool not_run; /**< ended and proven never to have begun */
	uint64_t ended_at_ms;
	bool direct; /**< run for a waiting caller; not in the log */
} mt_job_t;

typedef enum mt_job_change_t {
	MT_JOB_ACCEPTED,
	MT_JOB_CLAIMED,
	MT_JOB_CLAIM_VOIDED,
	MT_JOB_CANCEL_REQUESTED,
	MT_JOB_MOVED,
	MT_JOB_ENDED,
	MT_JOB_DROPPED, /**< the pointer is invalid after the callback */
} mt_job_change_t;

typedef void (*mt_job_cb)(void *ctx, mt_job_t *job, mt_job_change_t change);

typedef struct mt_jobs_t mt_jobs_t;

mt_jobs_t *mt_jobs_new(mt_kernel_t *kernel);
void mt_jobs_free(mt_jobs_t *jobs);
void mt_jobs_subscribe(mt_jobs_t *jobs, mt_job_cb cb, void *ctx);

/** Drops everything; reading goes on at `offset`. */
void mt_jobs_reset(mt_jobs_t *jobs, uint64_t offset);

/** The end of the stream was reached: applies what was kept. */
void mt_jobs_finish_loading(mt_jobs_t *jobs);

/** False while records are kept for mt_jobs_finish_loading(). */
bool mt_jobs_is_loaded(const mt_jobs_t *jobs);

/** Applies the record at `offset`; records without a job are ignored. */
void mt_jobs_apply(mt_jobs_t *jobs, uint64_t offset, uint64_t at_ms,
		   const MtPb__Record *record);

mt_job_t *mt_jobs_find(const mt_jobs_t *jobs, const mt_job_id_t *id);

/** Jobs without an outcome: mt_job_id_t to mt_job_t. Do not change it. */
GHashTable *mt_jobs_live(const mt_jobs_t *jobs);

static inline bool mt_job_is_live(const mt_job_t *job)
{
	return job->outcome == MT_PB__OUTCOME_KIND__OUTCOME_NONE;
}

/** Drops tombstones past the key window. */
void mt_jobs_prune(mt_jobs_t *jobs, uint64_t log_now_ms);

/** Jobs whose records reach back more than `age_ms` (of mt_job_t *). */
GPtrArray *mt_jobs_older_than(const mt_jobs_t *jobs, uint64_t log_now_ms,
			      uint64_t age_ms);

/** Packs the job's state as of `as_of` as a Carry record. */
GBytes *mt_job_pack_carry(const mt_job_t *job, uint64_t as_of);

/** Adds a direct job, which no record tells of. NULL if the id is known. */
mt_job_t *mt_jobs_add_direct(mt_jobs_t *jobs, const MtPb__DirectRun *run);
void mt_jobs_drop_direct(mt_jobs_t *jobs, mt_job_t *job);
void mt_jobs_drop_all_direct(mt_jobs_t *jobs);

/** Word for an outcome as shown to callers. */
const char *mt_outcome_name(MtPb__OutcomeKind kind);

#endif
