/**
 * @file writer.h
 * Appends records to one topic, in order and exactly once. Each batch has a
 * sequence number of its producer, one batch is in flight at a time, and a
 * batch without an answer is sent again with the same number.
 */
#ifndef MT_DAG_WRITER_H
#define MT_DAG_WRITER_H

#include "dag/store_port.h"
#include "kernel/kernel.h"

typedef struct mt_writer_t mt_writer_t;

/**
 * @param result MT_STORE_DONE, MT_STORE_REFUSED (not written) or
 * MT_STORE_FENCED. A write with an unknown outcome is repeated until the
 * outcome is known.
 */
typedef void (*mt_writer_cb)(void *ctx, mt_store_result_t result);

typedef struct mt_writer_deps_t {
	mt_kernel_t *kernel;
	const mt_store_port_t *store;
	const char *topic;
	const char *producer;
	uint64_t epoch;
	uint64_t first_sequence;
} mt_writer_deps_t;

mt_writer_t *mt_writer_new(const mt_writer_deps_t *deps);

/** No callback is called after this. Frees the writer, after a pending call. */
void mt_writer_close(mt_writer_t *writer);

/** Adds a record to the current group; copies key and value. */
void mt_writer_add(mt_writer_t *writer, mt_str_t key, mt_str_t value);

/**
 * Queues the current group, which is then written in one append.
 * @param retry_refused true: a refused group is retried until it is written;
 * false: only a few times
 * @param cb may be NULL
 */
void mt_writer_commit(mt_writer_t *writer, bool retry_refused, mt_writer_cb cb,
		      void *ctx);

/** Number of committed groups without an outcome. */
unsigned mt_writer_pending(const mt_writer_t *writer);

/**
 * Time since the first of the failed attempts to write the pending groups;
 * 0 when nothing is pending or the last attempt succeeded.
 */
mt_ms_t mt_writer_stalled_ms(const mt_writer_t *writer);

#endif
