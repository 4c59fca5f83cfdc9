/**
 * @file job_api.h
 * What callers ask of the product, apart from HTTP: submit, look, wait for
 * and cancel jobs. Each answer says only what is proven.
 */
#ifndef MT_NODE_JOB_API_H
#define MT_NODE_JOB_API_H

#include "node/members.h"
#include "node/planner.h"

/** Longest wait that a caller may ask for, in milliseconds. */
#define MT_WAIT_MAX_MS 60000u

/** What the answer to a request is about. */
typedef enum mt_answer_kind_t {
	MT_ANSWER_JOB,	   /**< the job as it is known now */
	MT_ANSWER_REFUSED, /**< `code` says why */
	MT_ANSWER_PENDING, /**< may be accepted; ask again by its id */
	MT_ANSWER_DIRECT,  /**< run without a durable promise */
} mt_answer_kind_t;

typedef enum mt_refusal_t {
	MT_REFUSAL_NONE,
	MT_REFUSAL_NOT_READY,	    /**< this host has no lists or jobs yet */
	MT_REFUSAL_DRAINING,	    /**< this host is being stopped */
	MT_REFUSAL_LOG_UNAVAILABLE, /**< nothing can be promised now */
	MT_REFUSAL_OVERLOADED,	    /**< the budget of the log is spent */
	MT_REFUSAL_QUEUE_FULL, /**< the account has too many jobs waiting */
	MT_REFUSAL_OVER_LIMIT, /**< larger than the plan's limit anywhere */
	MT_REFUSAL_KEY_REUSED, /**< same key, another body */
	MT_REFUSAL_NOT_FOUND,  /**< no such job of this account */
	MT_REFUSALS
} mt_refusal_t;

typedef struct mt_answer_t {
	mt_answer_kind_t kind;
	mt_job_id_t id;
	const mt_job_t *job; /**< JOB */
	mt_refusal_t refusal;
	/**
	 * Proven: this request has not run anything and never will. Of
	 * earlier requests with the same key it says nothing, unless the
	 * caller stated that there were none.
	 */
	bool not_run;
	MtPb__OutcomeKind direct_kind; /**< DIRECT, as the next two */
	const char *direct_reason;
	GBytes *direct_result;
} mt_answer_t;

/** Called exactly once per request, unless it was abandoned. */
typedef void (*mt_answer_cb)(void *ctx, const mt_answer_t *answer);

typedef struct mt_submission_t {
	mt_name_t account;
	mt_str_t key;
	const MtPb__Spec *spec;
	GBytes *payload;
	uint8_t body_digest[MT_DIGEST_BYTES];
	bool first_attempt; /**< no earlier request used this key */
	uint32_t wait_ms;   /**< wait so long for the outcome */
} mt_submission_t;

typedef struct mt_job_api_t mt_job_api_t;

typedef struct mt_job_api_deps_t {
	mt_kernel_t *kernel;
	const mt_settings_t *settings;
	mt_jobs_t *jobs;
	mt_lists_t *lists;
	mt_members_t *members;
	mt_appender_t *appender;
	mt_tail_t *tail;
	mt_peer_port_t peers;
	/** Runs a direct job here; false when this host does not schedule. */
	bool (*run_direct)(void *ctx, const MtPb__DirectRun *run,
			   const mt_peer_id_t *origin);
	void *run_direct_ctx;
	/** True once callers can be served. */
	bool (*is_ready)(void *ctx);
	void *is_ready_ctx;
} mt_job_api_deps_t;

mt_job_api_t *mt_job_api_new(const mt_job_api_deps_t *deps);
void mt_job_api_free(mt_job_api_t *front);

/**
 * The answer comes through `cb`, at the latest after the wait and the time
 * for an acceptance.
 * @return a ticket for mt_job_api_abandon(), or 0 when `cb` was called already
 */
uint64_t mt_job_api_submit(mt_job_api_t *front,
			   const mt_submission_t *submission, mt_answer_cb cb,
			   void *ctx);

/** Answers when the job has ended, or after `wait_ms`. */
uint64_t mt_job_api_get(mt_job_api_t *front, const mt_name_t *account,
			const mt_job_id_t *id, uint32_t wait_ms,
			mt_answer_cb cb, void *ctx);

typedef struct mt_cancellation_t {
	mt_name_t account;
	mt_job_id_t id;
	bool id_derived_from_key; /**< the caller gave the key that makes the id
				   */
	bool once;		  /**< the caller states: not idempotent */
	uint32_t wait_ms;
} mt_cancellation_t;

/**
 * Cancels a job and waits for its outcome. With the key that made the id, a
 * job that is not known is ended before it begins.
 */
uint64_t mt_job_api_cancel(mt_job_api_t *front,
			   const mt_cancellation_t *cancellation,
			   mt_answer_cb cb, void *ctx);

/** The caller is gone; `cb` will not be called. */
void mt_job_api_abandon(mt_job_api_t *front, uint64_t ticket);

/** Answers all who wait with what is known, and refuses new work. */
void mt_job_api_drain(mt_job_api_t *front);
guint mt_job_api_pending(const mt_job_api_t *front);

void mt_job_api_on_job(mt_job_api_t *front, mt_job_t *job,
		       mt_job_change_t change);
void mt_job_api_on_direct_result(mt_job_api_t *front,
				 const MtPb__DirectResult *result);

/** Stable word for a refusal, as shown to callers. */
const char *mt_refusal_code(mt_refusal_t refusal);

#endif
