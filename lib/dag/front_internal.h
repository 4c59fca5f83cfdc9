/**
 * @file front_internal.h
 * Internal interface of the front, which handles the calls that submit, show
 * and cancel jobs: front.c (checks and dispatches calls), front_op.c
 * (operations), front_submit.c (submissions), front_lookup.c (queries and
 * cancellations) and front_forward.c (calls between hosts).
 */
#ifndef MT_DAG_FRONT_INTERNAL_H
#define MT_DAG_FRONT_INTERNAL_H

#include "dag/absent_cancels.h"
#include "dag/front.h"
#include "dag/refusals.h"

/** Delay after which a client is told to repeat a call that was not done. */
#define MT_FRONT_RETRY_AFTER_S 1u

/**
 * Delay before a call is passed on again after all hosts with the records have
 * failed to reply, for example while there is no leader.
 */
#define MT_FRONT_FORWARD_RETRY_MS 100u

struct mt_dag_front_t {
	mt_dag_front_deps_t deps;
	mt_ms_t refusals_since;	  /**< begin of the present second */
	unsigned refusals_logged; /**< in the present second */
	/** Reads the records of jobs; NULL: this host does not read them. */
	mt_follower_t *records_follower;
	const mt_catalog_t *catalog;
	unsigned open_calls; /**< number of calls not replied to yet */
	mt_absent_cancels_t *absent_cancels;
	mt_refusals_t *refusals;
	mt_load_shedding_t *load_shedding;
};

/** An operation: a call that waits for the store or for another host. */
typedef struct mt_front_op_t {
	mt_dag_front_t *front;
	mt_front_cb cb; /**< NULL after the call has been replied to */
	void *ctx;
	uint64_t timer; /**< see on_op_timeout() in front_op.c */
	uint64_t job;
	mt_verb_t verb;
	mt_ms_t started_at; /**< local time of the call */
	/** A job that is shown must be read up to the time of the call: the
	 * call comes from another host, whose clients may have been shown a
	 * later state. */
	bool exact;
	/* Of a call that is passed on to another host. */
	mt_shared_name_t queue; /**< of a call about a queue; empty otherwise */
	bool forwarded;		/**< the call is passed on */
	unsigned next_peer;  /**< index of the next host in the list of hosts */
	bool maybe_done;     /**< an attempt to cancel got no reply */
	mt_verb_t peer_verb; /**< verb of the call */
	/* Of a submission. */
	GBytes *job_record; /**< the packed job; NULL: not to be stored */
	size_t job_bytes;   /**< see mt_memory_budget_job_bytes() */
	uint32_t priority;
	mt_admission_t admission; /**< why it is refused */
} mt_front_op_t;

/* front.c */

/** True when this host has the records of all jobs. */
bool mt_front_has_records(const mt_dag_front_t *front);

/* front_op.c */

/** Replies with `outcome` to a call that needs no operation. Logs no event. */
void mt_front_reply_now(mt_front_cb cb, void *ctx, mt_front_outcome_t outcome);

/**
 * Creates an operation, which counts as an open call until it is replied to.
 * @param timeout how long the client waits; 0: not specified
 */
mt_front_op_t *mt_front_new_op(mt_dag_front_t *front, mt_verb_t verb,
			       mt_ms_t timeout, uint64_t job, mt_front_cb cb,
			       void *ctx);

void mt_front_free_op(mt_front_op_t *op);

/**
 * Gives the reply to the client, unless the call was replied to before.
 * @return false when the call was replied to before
 */
bool mt_front_finish_op(mt_front_op_t *op, const mt_front_reply_t *reply);

/** Logs the event call_answered and counts the time of the call. */
void mt_front_log_answered(const mt_front_op_t *op, mt_front_outcome_t outcome);

/** Replies with `outcome`, unless the call was replied to before. */
void mt_front_reply_op(mt_front_op_t *op, mt_front_outcome_t outcome);

/**
 * Replies with the state of the job, unless the call was replied to before.
 * Logs no event.
 */
void mt_front_reply_state(mt_front_op_t *op, const mt_table_job_t *job);

/* front_submit.c */

/**
 * Handles a submission. It is accepted even while the records are still being
 * read. The store may then already have a record of the job that this host has
 * not read, but a second record of the same job has no effect.
 */
void mt_front_submit(mt_dag_front_t *front, const mt_front_call_t *call,
		     uint64_t id, const mt_job_spelling_t *spelling,
		     const mt_queue_t *queue,
		     const mt_client_account_t *account, mt_front_cb cb,
		     void *ctx);

/**
 * Replies with the outcome of a write, unless the call has timed out, and
 * frees the operation. If submissions have to be confirmed, a stored one is
 * replied to later.
 * @param ctx the operation, mt_front_op_t
 */
void mt_front_on_written(void *ctx, mt_store_result_t result);

/**
 * Handles the answer whether the job of a submission is refused.
 * @param outcome see MT_VERB_CONFIRM
 */
void mt_front_on_confirmation(mt_front_op_t *op, mt_front_outcome_t outcome);

/** See MT_VERB_CONFIRM; this host's copy of the records is current. */
mt_front_outcome_t mt_front_confirmation(const mt_dag_front_t *front,
					 uint64_t id);

/* front_lookup.c */

/**
 * Handles a call to show or cancel a job on a host with the records of all
 * jobs. If the job is not in the table, this host's copy of the records is
 * updated first, as another host may have accepted the job.
 * @param exact see mt_front_op_t
 */
void mt_front_look_up(mt_dag_front_t *front, mt_verb_t verb, mt_ms_t timeout,
		      uint64_t id, bool exact, mt_front_cb cb, void *ctx);

/** Replies with mt_table_n_pending() of the queue. */
void mt_front_show_queue(const mt_dag_front_t *front, mt_shared_name_t queue,
			 mt_front_cb cb, void *ctx);

/* front_forward.c */

/**
 * Passes on the call to the next host that has the records: the leader first,
 * then the standbys. After the last one, begins anew after a delay. Ends when
 * the call has been replied to because of its timeout.
 * @param ctx the operation, mt_front_op_t
 */
void mt_front_forward(void *ctx);

#endif
