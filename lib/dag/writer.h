/**
 * @file writer.h
 * Appends records to one topic, in order and exactly once. Records are added to
 * a group; all records of a group are written in the same append. The records
 * of one append, called a batch, are those of one or more committed groups.
 * Only one batch is in flight at a time. Each batch has its own sequence
 * number. A batch without an answer is sent again with the same number, so that
 * the store does not write it twice.
 */
#ifndef MT_DAG_WRITER_H
#define MT_DAG_WRITER_H

#include "dag/store_port.h"
#include "kernel/kernel.h"

typedef struct mt_writer_t mt_writer_t;

/**
 * Receives the outcome of a group. A batch without an answer is sent again
 * until its outcome is known.
 * @param result MT_STORE_DONE, MT_STORE_REFUSED (not written), or
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
 * @param retry_refused true: a group that the store refuses is sent again until
 * the store accepts it; false: it is sent again at most REFUSALS_MAX times
 * (writer.c) and then reported as refused
 * @param cb may be NULL
 */
void mt_writer_commit(mt_writer_t *writer, bool retry_refused, mt_writer_cb cb,
		      void *ctx);

/** Number of committed groups that have no outcome yet. */
unsigned mt_writer_n_pending(const mt_writer_t *writer);

/**
 * Time in ms for which all appends have failed, counted from the first failure;
 * 0 when the last append succeeded or no group is pending.
 */
mt_ms_t mt_writer_stalled_ms(const mt_writer_t *writer);

#endif
