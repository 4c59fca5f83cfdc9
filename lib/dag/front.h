/**
 * @file front.h
 * The front end of a host: handles the calls by which clients submit, show and
 * cancel jobs. A host without the records of all jobs stores submissions
 * itself, and passes on the other calls to a host that has the records. It does
 * not depend on HTTP: the platform adapter decodes calls and encodes replies.
 */
#ifndef MT_DAG_FRONT_H
#define MT_DAG_FRONT_H

#include "dag/memory_budget.h"
#include "dag/catalog.h"
#include "dag/follower.h"
#include "dag/leadership.h"
#include "dag/load_shedding.h"
#include "dag/peer_port.h"
#include "dag/table.h"
#include "dag/writer.h"

/** What a client asks for; front_http.c derives it from the HTTP method. */
typedef enum mt_verb_t {
	MT_VERB_SUBMIT,
	MT_VERB_SHOW,
	MT_VERB_CANCEL,
	MT_VERB_OTHER, /**< none of these; not supported */
	/* Only between hosts. Hosts of earlier versions answer
	 * MT_FRONT_OUTCOME_NOT_DONE. */
	/** Refuse the job, see refusals.h. Answers: ACCEPTED (the job is
	 * stored), CANCELLED (it is refused), or another one (uncertain). */
	MT_VERB_REFUSE,
	/** Is the stored job refused? Answers: ACCEPTED (it is not), CANCELLED
	 * (it is, and never runs), NO_JOB (it is, but may be stored again), or
	 * another one (not known). */
	MT_VERB_CONFIRM,
} mt_verb_t;

/**
 * Outcome of a call. The event call_answered contains it as a number; this
 * event is logged only for calls that waited for the store.
 */
typedef enum mt_front_outcome_t {
	MT_FRONT_OUTCOME_ACCEPTED, /**< the job is stored */
	MT_FRONT_OUTCOME_STATE,	   /**< answer about a job: `state` is set */
	/** Answer about a queue: `pending` is set. */
	MT_FRONT_OUTCOME_PENDING_COUNT,
	MT_FRONT_OUTCOME_CANCELLED, /**< the cancellation is stored */
	MT_FRONT_OUTCOME_NO_QUEUE,  /**< no queue has this host name and path */
	MT_FRONT_OUTCOME_NO_JOB,    /**< no such job */
	MT_FRONT_OUTCOME_BAD_KEY,   /**< no account has this API key */
	MT_FRONT_OUTCOME_BAD_REQUEST, /**< malformed call; nothing was done */
	/** The verb is not supported, or it needs a job id and the call has
	 * none; nothing was done. */
	MT_FRONT_OUTCOME_BAD_METHOD,
	MT_FRONT_OUTCOME_NOT_DONE, /**< nothing was done; retry later */
	/** The call may have taken effect. It may be repeated with the same job
	 * id, as a second record of the job or cancellation has no effect. */
	MT_FRONT_OUTCOME_UNKNOWN,
} mt_front_outcome_t;

typedef struct mt_front_reply_t {
	mt_front_outcome_t outcome;
	MtDag__State state; /**< valid with MT_FRONT_OUTCOME_STATE */
	/** Number of pending jobs of the queue, that is of unfinished jobs of
	 * which no task has started. */
	unsigned pending;
	/** Valid with MT_FRONT_OUTCOME_NOT_DONE. */
	unsigned retry_after_s;
} mt_front_reply_t;

/** Called exactly once, possibly before mt_dag_front_call() returns. */
typedef void (*mt_front_cb)(void *ctx, const mt_front_reply_t *reply);

/** A decoded call; valid during mt_dag_front_call() only. */
typedef struct mt_front_call_t {
	mt_verb_t verb;
	mt_str_t url_host; /**< host name in the URL */
	mt_str_t path; /**< path prefix of the queue, then the job id if any */
	mt_str_t key;  /**< API key; empty: the client sent none */
	mt_str_t body;
	mt_ms_t timeout_ms; /**< how long the client waits; 0: not specified */
} mt_front_call_t;

typedef struct mt_dag_front_deps_t {
	mt_kernel_t *kernel;
	mt_table_t *table;
	mt_writer_t *writer; /**< for accepted jobs and cancellations */
	/** Jobs with a larger record are refused, see mt_store_port_t. */
	size_t record_max_bytes;
	/** Passes on calls to other hosts. */
	const mt_peer_port_t *peers;
	/** Lists the hosts that have the records of all jobs, see
	 * mt_leadership_list_informed(). */
	unsigned (*list_informed)(void *ctx, mt_endpoint_t *endpoints);
	void *list_informed_ctx;
	/** Reads the operators' configuration. */
	mt_follower_t *config_follower;
	/** Decodes the body of a submission; returns NULL if malformed. */
	MtDag__Job *(*decode_job)(mt_str_t body);
	/** Calls are refused while mt_follower_age() of `config_follower`
	 * exceeds this, as API keys may have been revoked meanwhile. */
	mt_ms_t config_age_max_ms;
	const mt_store_port_t *store; /**< for refusals */
	mt_name_t incarnation;	      /**< id of this process */
	mt_admission_mode_t admission_mode;
	/** See mt_load_shedding_deps_t. */
	const MtDag__Pressure *(*pressure)(void *ctx, const char *service,
					   mt_ms_t *age_ms);
	void *pressure_ctx;
	mt_memory_budget_t *memory_budget; /**< NULL: no limit */
} mt_dag_front_deps_t;

typedef struct mt_dag_front_t mt_dag_front_t;

mt_dag_front_t *mt_dag_front_new(const mt_dag_front_deps_t *deps);

/** No call may be open. */
void mt_dag_front_free(mt_dag_front_t *front);

/**
 * Sets the present catalog (decoded configuration). It must stay valid until
 * the next call of this function.
 */
void mt_dag_front_set_catalog(mt_dag_front_t *front,
			      const mt_catalog_t *catalog);

/**
 * Sets the follower that reads the records of jobs, which are applied to the
 * table; NULL: this host does not read them.
 */
void mt_dag_front_set_records(mt_dag_front_t *front, mt_follower_t *follower);

/** Handles a call that another host has passed on. */
void mt_dag_front_peer_call(mt_dag_front_t *front, const MtDag__PeerCall *call,
			    mt_front_cb cb, void *ctx);

/**
 * Checks a call whose body has not been received: its queue and API key.
 * @param outcome receives the reason of a refusal
 * @param account receives the name of the client account; empty if the call
 *                needs no API key
 * @return false when the call is refused
 */
bool mt_dag_front_check(mt_dag_front_t *front, const mt_front_call_t *call,
			mt_front_outcome_t *outcome, mt_shared_name_t *account);

/** Handles one call; `cb` receives the reply. */
void mt_dag_front_call(mt_dag_front_t *front, const mt_front_call_t *call,
		       mt_front_cb cb, void *ctx);

/** True when the configuration is recent enough for calls. */
bool mt_dag_front_is_ready(const mt_dag_front_t *front);

/** Number of calls that have not been replied to. */
unsigned mt_dag_front_n_open_calls(const mt_dag_front_t *front);

#endif
