/**
 * @file tail.h
 * Reads one stream of the log, from its oldest record on, and keeps following
 * it as records are appended.
 */
#ifndef MT_NODE_TAIL_H
#define MT_NODE_TAIL_H

#include "kernel/kernel.h"
#include "net/log_port.h"
#include "wire/codec.h"

typedef struct mt_tail_handler_t {
	void *ctx;
	/**
	 * Reading starts at `offset`, or starts over there because unread
	 * records before it were dropped from the log. State built from earlier
	 * records is then no longer valid.
	 */
	void (*reset)(void *ctx, uint64_t offset);
	/** Called for each record; `record` is NULL if it is malformed. */
	void (*record)(void *ctx, const mt_log_record_t *log_record,
		       const MtPb__Record *record);
	/** Called after the last record of each page that the log returns. */
	void (*page)(void *ctx);
} mt_tail_handler_t;

typedef struct mt_tail_t mt_tail_t;

mt_tail_t *mt_tail_new(mt_kernel_t *kernel, const mt_log_port_t *log,
		       const char *stream, const mt_tail_handler_t *handler);
void mt_tail_free(mt_tail_t *tail);
void mt_tail_start(mt_tail_t *tail);

/** Offset of the next record to be read. */
uint64_t mt_tail_next_offset(const mt_tail_t *tail);

/**
 * True once the end of the stream has been reached; false again after a reset.
 * Says nothing of whether deferred records are applied; see
 * mt_jobs_is_loaded().
 */
bool mt_tail_is_synced(const mt_tail_t *tail);

/** True if the log answered a read recently. */
bool mt_tail_is_log_available(const mt_tail_t *tail);

/**
 * The log's clock in ms, extrapolated from its last answer by the local
 * monotonic clock; 0 until the log has answered.
 */
uint64_t mt_tail_log_time(const mt_tail_t *tail);

/** How long the log keeps records; 0 until the log has answered. */
uint64_t mt_tail_retention_ms(const mt_tail_t *tail);

#endif
