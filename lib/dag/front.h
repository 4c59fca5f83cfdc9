/**
 * @file front.h
 * Serves callers: submits, shows and cancels jobs. Knows no HTTP; the adapter
 * decodes a call and encodes the reply.
 */
#ifndef MT_DAG_FRONT_H
#define MT_DAG_FRONT_H

#include "dag/catalog.h"
#include "dag/follower.h"
#include "dag/table.h"
#include "dag/writer.h"

typedef enum mt_verb_t {
	MT_VERB_SUBMIT,
	MT_VERB_SHOW,
	MT_VERB_CANCEL,
	MT_VERB_OTHER,
} mt_verb_t;

typedef enum mt_outcome_t {
	MT_OUTCOME_ACCEPTED,	/**< the job is stored */
	MT_OUTCOME_STATE,	/**< `state` is set */
	MT_OUTCOME_PENDING,	/**< `pending` is set */
	MT_OUTCOME_CANCELLED,	/**< the cancellation is stored */
	MT_OUTCOME_NO_QUEUE,	/**< no queue at this address */
	MT_OUTCOME_NO_JOB,	/**< no such job */
	MT_OUTCOME_BAD_KEY,	/**< no account has this key */
	MT_OUTCOME_BAD_REQUEST, /**< malformed; nothing was done */
	MT_OUTCOME_BAD_METHOD,	/**< nothing was done */
	MT_OUTCOME_NOT_DONE,	/**< nothing was done; retry later */
	MT_OUTCOME_UNKNOWN,	/**< it may have been done; retry with the id */
} mt_outcome_t;

typedef struct mt_front_reply_t {
	mt_outcome_t outcome;
	MtDag__State state;
	unsigned pending;	/**< jobs of the queue that have not begun */
	unsigned retry_after_s; /**< with MT_OUTCOME_NOT_DONE */
} mt_front_reply_t;

/** Called exactly once, perhaps before mt_front_call() has returned. */
typedef void (*mt_front_cb)(void *ctx, const mt_front_reply_t *reply);

/** Valid during mt_front_call() only. */
typedef struct mt_front_call_t {
	mt_verb_t verb;
	mt_str_t host;
	mt_str_t path;
	mt_str_t key; /**< empty: none was sent */
	mt_str_t body;
	mt_ms_t timeout_ms; /**< the caller waits so long; 0: not told */
} mt_front_call_t;

typedef struct mt_dag_front_deps_t {
	mt_kernel_t *kernel;
	mt_table_t *table;
	mt_writer_t *writer;	/**< of accepted jobs and cancellations */
	mt_follower_t *records; /**< fills the table */
	mt_follower_t *config;	/**< brings the catalog */
	/** Decodes the body of a submission; NULL when it is malformed. */
	MtDag__Job *(*decode_job)(mt_str_t body);
	/** Keys are not trusted longer than this without news of them. */
	mt_ms_t key_age_max_ms;
} mt_dag_front_deps_t;

typedef struct mt_dag_front_t mt_dag_front_t;

mt_dag_front_t *mt_dag_front_new(const mt_dag_front_deps_t *deps);

/** Borrowed until the next call. */
void mt_dag_front_set_catalog(mt_dag_front_t *front,
			      const mt_catalog_t *catalog);

void mt_dag_front_call(mt_dag_front_t *front, const mt_front_call_t *call,
		       mt_front_cb cb, void *ctx);

/** True when this host can serve calls now. */
bool mt_dag_front_is_ready(const mt_dag_front_t *front);

/** Calls without a reply yet. */
unsigned mt_dag_front_open(const mt_dag_front_t *front);

#endif
