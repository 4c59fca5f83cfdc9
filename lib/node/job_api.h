/**
 * @file job_api.h
 * Requests of callers, independent of HTTP: submit, get, wait for and cancel
 * jobs. An answer states only what the log or the backend servers have
 * confirmed; as the exception, mt_job_api_get() without a wait shows a direct
 * job as live, that is, without an outcome. While the log is unavailable, an
 * idempotent job whose caller waits for the outcome is run directly: without
 * records in the log. For records and outcomes see jobs.h.
 */
#ifndef MT_NODE_JOB_API_H
#define MT_NODE_JOB_API_H

#include "node/membership.h"
#include "node/planner.h"

/** Maximum wait that a caller may request, in milliseconds. */
#define MT_WAIT_MAX_MS 60000u

/** Kind of answer to a request. */
typedef enum mt_answer_kind_t {
	MT_ANSWER_JOB,	   /**< the job in its current state */
	MT_ANSWER_REFUSED, /**< not done; `refusal` gives the reason */
	/**
	 * The request may have been recorded, and the job can be queried by its
	 * id; or a direct run has not given a result in time.
	 */
	MT_ANSWER_PENDING,
	MT_ANSWER_DIRECT, /**< result of a direct run */
} mt_answer_kind_t;

typedef enum mt_refusal_t {
	MT_REFUSAL_NONE,
	MT_REFUSAL_NOT_READY,	    /**< this host is still loading its state */
	MT_REFUSAL_DRAINING,	    /**< this host is shutting down */
	MT_REFUSAL_LOG_UNAVAILABLE, /**< the request cannot be recorded */
	MT_REFUSAL_OVERLOADED, /**< too many records are queued for the log */
	MT_REFUSAL_QUEUE_FULL, /**< too many live jobs of the account */
	/** Above the account's limit in every data centre. */
	MT_REFUSAL_OVER_LIMIT,
	MT_REFUSAL_KEY_REUSED, /**< the key was used with another body */
	MT_REFUSAL_NOT_FOUND,  /**< no such job of this account */
	MT_REFUSAL_COUNT
} mt_refusal_t;

typedef struct mt_answer_t {
	mt_answer_kind_t kind;
	mt_job_id_t id;
	const mt_job_t *job;  /**< for MT_ANSWER_JOB */
	mt_refusal_t refusal; /**< for MT_ANSWER_REFUSED */
	/**
	 * For MT_ANSWER_REFUSED: it is proven that the job has not run, and
	 * this request will never make it run. Only set if the caller stated
	 * that no earlier request used the same key, since an earlier one may
	 * have run the job.
	 */
	bool not_run;
	/** This and the next two fields are for MT_ANSWER_DIRECT. */
	MtPb__OutcomeKind direct_kind;
	const char *direct_reason;
	GBytes *direct_result;
} mt_answer_t;

/** Called exactly once per request, unless the request is abandoned. */
typedef void (*mt_answer_cb)(void *ctx, const mt_answer_t *answer);

typedef struct mt_submission_t {
	mt_name_t account;
	mt_str_t key;
	const MtPb__Spec *spec;
	GBytes *payload;
	uint8_t body_digest[MT_DIGEST_BYTES];
	/** As stated by the caller: no earlier request used the key. */
	bool first_request;
	uint32_t wait_ms; /**< maximum wait for the outcome; 0: do not wait */
} mt_submission_t;

typedef struct mt_job_api_t mt_job_api_t;

typedef struct mt_job_api_deps_t {
	mt_kernel_t *kernel;
	const mt_settings_t *settings;
	mt_jobs_t *jobs;
	mt_lists_t *lists;
	mt_membership_t *membership;
	mt_appender_t *appender;
	mt_tail_t *tail;
	mt_peer_port_t peers;
	/**
	 * Queues a direct job on this host and returns true, or returns false.
	 * The result is sent to `origin`.
	 */
	bool (*add_direct_job)(void *ctx, const MtPb__DirectRun *run,
			       const mt_peer_id_t *origin);
	void *add_direct_job_ctx;
	/** True once requests can be served; otherwise they are refused. */
	bool (*can_serve_requests)(void *ctx);
	void *can_serve_requests_ctx;
} mt_job_api_deps_t;

mt_job_api_t *mt_job_api_new(const mt_job_api_deps_t *deps);
void mt_job_api_free(mt_job_api_t *api);

/**
 * Submits a job. Calls `cb` after ACCEPT_TIMEOUT_MS plus `wait_ms` at the
 * latest; for a direct run, after DIRECT_WAIT_MS. Both constants are in
 * job_api.c.
 * @return a request id for mt_job_api_abandon(), or 0 if `cb` was already
 * called
 */
uint64_t mt_job_api_submit(mt_job_api_t *api, const mt_submission_t *submission,
			   mt_answer_cb cb, void *ctx);

/**
 * Gets a job. If it is live, first waits up to `wait_ms` for its outcome.
 * Returns like mt_job_api_submit().
 */
uint64_t mt_job_api_get(mt_job_api_t *api, const mt_name_t *account,
			const mt_job_id_t *id, uint32_t wait_ms,
			mt_answer_cb cb, void *ctx);

typedef struct mt_cancellation_t {
	mt_name_t account;
	mt_job_id_t id;
	bool id_derived_from_key; /**< the caller gave the job's key */
	/**
	 * As stated by the caller: the job is not idempotent. Named after the
	 * field of the Cancel record.
	 */
	bool once;
	uint32_t wait_ms;
} mt_cancellation_t;

/**
 * Cancels a job and waits for its outcome, for `wait_ms` or ACCEPT_TIMEOUT_MS,
 * whichever is longer, but not longer than MT_WAIT_MAX_MS. If the caller gave
 * the job's key, an unknown job can be cancelled too: the cancellation is
 * recorded, and a later submission with that key does not run. Returns like
 * mt_job_api_submit().
 */
uint64_t mt_job_api_cancel(mt_job_api_t *api,
			   const mt_cancellation_t *cancellation,
			   mt_answer_cb cb, void *ctx);

/** Must be called when the caller is gone; `cb` is not called after this. */
void mt_job_api_abandon(mt_job_api_t *api, uint64_t request_id);

/**
 * Ends all current waits for outcomes with the jobs' current state, and refuses
 * new submissions. A later cancellation still waits for the outcome. Pending
 * acceptances and direct runs are still completed.
 */
void mt_job_api_drain(mt_job_api_t *api);

/** Number of requests that have not been answered yet. */
guint mt_job_api_pending(const mt_job_api_t *api);

void mt_job_api_on_job(mt_job_api_t *api, mt_job_t *job,
		       mt_job_change_t change);
void mt_job_api_on_direct_result(mt_job_api_t *api,
				 const MtPb__DirectResult *result);

/** Error code of a refusal, as shown to callers; must stay the same. */
const char *mt_refusal_code(mt_refusal_t refusal);

#endif
