/**
 * @file load.h
 * The load command: submits a reproducible mix of jobs, as clients do, and
 * checks what the hosts report about each job.
 */
#ifndef MT_CTL_LOAD_H
#define MT_CTL_LOAD_H

#include "ctl.h"
#include "wire/job_id.h"

/** The state of a job, as far as the responses of the hosts tell. */
typedef enum mt_load_state_t {
	MT_LOAD_PENDING, /**< nothing reported, or not yet accepted */
	MT_LOAD_ACCEPTED,
	MT_LOAD_FINISHED,
	MT_LOAD_FAILED,
	/**
	 * The job ended with the outcome "refused", or a request was rejected
	 * with an HTTP error that is not retried, see handle_error_response().
	 */
	MT_LOAD_REFUSED,
	MT_LOAD_CANCELLED,
	MT_LOAD_UNKNOWN, /**< ended, but the outcome is unknown */
	MT_LOAD_STATE_COUNT
} mt_load_state_t;

typedef struct mt_load_account_t {
	mt_name_t name;
	char *key; /**< API key of the account */
} mt_load_account_t;

typedef struct mt_load_kind_t {
	mt_name_t name;
	uint32_t share;	       /**< relative frequency of the kind in the mix */
	uint32_t cancel_share; /**< percentage of jobs to cancel */
	uint32_t run_min_ms;
	uint32_t run_max_ms;
	json_t *body; /**< request body without the payload */
} mt_load_kind_t;

typedef struct mt_load_mix_t {
	GArray *accounts; /**< of mt_load_account_t */
	GArray *kinds;	  /**< of mt_load_kind_t */
} mt_load_mix_t;

typedef struct mt_load_job_t {
	guint account; /**< index into the accounts of the mix */
	guint kind;    /**< index into the kinds of the mix */
	char *key;     /**< idempotency key */
	mt_name_t id;
	char *body;	       /**< request body */
	char *expected_result; /**< result that the job must yield */
	/* Both relative to mt_load_t.started_at. */
	mt_ms_t submit_at;
	mt_ms_t cancel_at; /**< 0: never */
	mt_load_state_t state;
	bool done;	   /**< ended, and the result, if any, was fetched */
	bool once;	   /**< not idempotent: must begin at most once */
	bool not_run;	   /**< reported as not run */
	bool wrong_result; /**< the result differs from the expected one */
	guint attempts;	   /**< number of submissions sent */
	mt_ms_t submitted_at;
	mt_ms_t ended_at;
	uint32_t begin_count; /**< from the audit; 0 without one */
} mt_load_job_t;

typedef struct mt_load_t {
	mt_ctl_t ctl;
	GRand *rand;
	mt_load_mix_t mix;
	GArray *hosts;	 /**< of mt_endpoint_t */
	GPtrArray *jobs; /**< of mt_load_job_t */
	/** Number of jobs that are not done (in mt_load_run()), or of audit
	 * requests that have not been answered (in mt_load_audit()). The loop
	 * stops when it reaches 0. */
	guint remaining;
	/** Per host: number of requests that were sent, but got no complete
	 * response. */
	uint64_t *unanswered;
	bool quiet; /**< print no progress */
	mt_ms_t started_at;
} mt_load_t;

/** Reads the mix; prints an error and returns false if it is malformed. */
bool mt_load_read_mix(const char *path, mt_load_mix_t *mix);

/** Creates `count` jobs, to be submitted at `rate` per second. */
void mt_load_make_jobs(mt_load_t *load, guint count, double rate, guint32 seed);

/** Runs all jobs to their end, or until the time-out. */
void mt_load_run(mt_load_t *load, mt_ms_t timeout_ms);

/** Asks the test platform at `audit` how often each job began. */
void mt_load_audit(mt_load_t *load, const mt_endpoint_t *audit);

#endif
