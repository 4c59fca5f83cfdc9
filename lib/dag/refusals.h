/**
 * @file refusals.h
 * Refuses submissions so that the refusal stays true. A client that got no
 * answer repeats its submission at any host, and the host that was asked before
 * may still be storing it. Before a repetition is refused, a cancel record of
 * the job is therefore stored, with the value MT_CANCEL_REFUSED. Since all
 * records of jobs are in one topic, a job record that is stored later has no
 * effect.
 *
 * The record is appended on the condition that the topic ends where this host
 * has read it to, so that no job record can have come before it. If other
 * records come in between each time, the job is not refused.
 *
 * Only a host with the records of all jobs can refuse. It does so for others,
 * too. See docs/design/admission.md.
 */
#ifndef MT_DAG_REFUSALS_H
#define MT_DAG_REFUSALS_H

#include "dag/follower.h"
#include "dag/table.h"
#include "dag/writer.h"

/**
 * How long the leader keeps the record of a refusal. Until then, the same job
 * is not accepted. Twice the time after which a host gives up the write of a
 * submission, as the store may carry out its last append seconds later.
 */
#define MT_REFUSAL_KEEP_MS (2 * MT_WRITER_EXPIRY_MS)

typedef enum mt_refusal_result_t {
	MT_REFUSAL_REFUSED, /**< the job is not stored, and never runs */
	MT_REFUSAL_STORED,  /**< the job is stored */
	/** Neither is certain; if the job is stored from now on, it may have no
	 * effect. */
	MT_REFUSAL_UNCERTAIN,
} mt_refusal_result_t;

typedef void (*mt_refusal_cb)(void *ctx, mt_refusal_result_t result);

typedef struct mt_refusals_deps_t {
	mt_kernel_t *kernel;
	const mt_store_port_t *store;
	const mt_table_t *table;
	/** Producer name of the appends, unique to this process. */
	mt_name_t producer;
} mt_refusals_deps_t;

typedef struct mt_refusals_t mt_refusals_t;

mt_refusals_t *mt_refusals_new(const mt_refusals_deps_t *deps);

/** No refusal may be in progress. */
void mt_refusals_free(mt_refusals_t *refusals);

/** Sets the follower of the table's records; NULL: there is none. */
void mt_refusals_set_follower(mt_refusals_t *refusals, mt_follower_t *follower);

/**
 * True if the job is refused, and it is certain without a new record that it
 * never runs. This host's copy of the records must be current.
 */
bool mt_refusals_is_certain(const mt_refusals_t *refusals, uint64_t job);

/** Refuses a job, unless it is stored. `cb` is called exactly once. */
void mt_refusals_add(mt_refusals_t *refusals, uint64_t job, mt_refusal_cb cb,
		     void *ctx);

#endif
