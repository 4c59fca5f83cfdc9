/**
 * @file writer.h
 * Appends records to one topic, in order and exactly once. Records are added to
 * a group; all records of a group are written in the same append. The records
 * of one append, called a batch, are those of one or more committed groups, as
 * many as the store takes at once; no group may be larger than that.
 * Only one batch is in flight at a time. Each batch has its own sequence
 * number. A batch without an answer is sent again with the same number, so that
 * the store does not write it twice. When a group of such a batch expires, the
 * other groups are written anew under the next epoch, from which on the store
 * rejects the old batch.
 */
#ifndef MT_DAG_WRITER_H
#define MT_DAG_WRITER_H

#include "dag/store_port.h"
#include "kernel/kernel.h"

typedef struct mt_writer_t mt_writer_t;

/** Time after which a group with MT_WRITER_EXPIRES is given up. */
#define MT_WRITER_EXPIRY_MS 30000u

/** What becomes of a group that is not written at once. */
typedef enum mt_writer_policy_t {
	/** A refused group is sent again until the store accepts it. */
	MT_WRITER_ALWAYS_RETRIES,
	/** A refused group is sent again at most REFUSALS_MAX times (writer.c)
	 * and then reported as refused. */
	MT_WRITER_REPORTS_REFUSAL,
	/** As before; also, the group is given up when its outcome is still
	 * unknown after MT_WRITER_EXPIRY_MS, and is not written later. Only
	 * for a writer whose other groups may be written twice. */
	MT_WRITER_EXPIRES,
} mt_writer_policy_t;

/**
 * Receives the outcome of a group. A batch without an answer is sent again
 * until its outcome is known.
 * @param result MT_STORE_DONE, MT_STORE_REFUSED (not written),
 * MT_STORE_UNKNOWN (given up, see MT_WRITER_EXPIRES; the group may have been
 * written), or
 * MT_STORE_FENCED (the store rejected a batch as fenced, out of sequence or at
 * a wrong offset, and all pending groups are given up; the group may have been
 * written). After MT_STORE_FENCED, the owner should close the writer, which
 * would still send later groups.
 */
typedef void (*mt_writer_cb)(void *ctx, mt_store_result_t result);

typedef struct mt_writer_deps_t {
	mt_kernel_t *kernel;
	const mt_store_port_t *store;
	const char *topic;
	const char *producer;
	uint64_t epoch;
	uint64_t first_sequence; /**< sequence number of the first batch */
} mt_writer_deps_t;

mt_writer_t *mt_writer_new(const mt_writer_deps_t *deps);

/**
 * Stops the writer: no callback is called any more, not even for groups without
 * an outcome. As an exception, if a callback closes the writer when its group
 * is refused, the callbacks of the other refused groups of the same batch are
 * still called. The writer is freed when the pending append, if any, has been
 * answered.
 */
void mt_writer_close(mt_writer_t *writer);

/** Adds a record to the current group; copies key and value. */
void mt_writer_add(mt_writer_t *writer, mt_str_t key, mt_str_t value);

/**
 * Commits the current group: queues it to be written.
 * @param cb may be NULL
 */
void mt_writer_commit(mt_writer_t *writer, mt_writer_policy_t policy,
		      mt_writer_cb cb, void *ctx);

/** Number of committed groups that have no outcome yet. */
unsigned mt_writer_n_pending(const mt_writer_t *writer);

/**
 * Time in ms for which all appends have failed, counted from the first failure;
 * 0 when the last append succeeded or no group is pending.
 */
mt_ms_t mt_writer_stalled_ms(const mt_writer_t *writer);

#endif
