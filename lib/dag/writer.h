/**
 * @file writer.h
 * Appends records to one topic, in order and each once: batches are numbered
 * per producer, one is under way at a time, and one without an answer is sent
 * again under its number.
 */
#ifndef MT_DAG_WRITER_H
#define MT_DAG_WRITER_H

#include "dag/store_port.h"
#include "kernel/kernel.h"

typedef struct mt_writer_t mt_writer_t;

/**
 * MT_STORE_DONE, MT_STORE_REFUSED (certainly not written) or MT_STORE_FENCED.
 * A write whose outcome is unknown is repeated until it is known.
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

/** Calls no callback any more; frees itself once nothing is under way. */
void mt_writer_close(mt_writer_t *writer);

/** Adds a record to the batch being filled; copies key and value. */
void mt_writer_add(mt_writer_t *writer, mt_str_t key, mt_str_t value);

/**
 * Ends a group of records that were added; `cb` may be NULL.
 * @param insist true: a refused group is tried again until it is written
 */
void mt_writer_commit(mt_writer_t *writer, bool insist, mt_writer_cb cb,
		      void *ctx);

/** Groups that are not answered yet. */
unsigned mt_writer_pending(const mt_writer_t *writer);

/** For how long what waits could not be written; 0 while all is well. */
mt_ms_t mt_writer_stalled_ms(const mt_writer_t *writer);

#endif
