/**
 * @file tail.h
 * Follows one stream of the log from its oldest record on, forever.
 */
#ifndef MT_NODE_TAIL_H
#define MT_NODE_TAIL_H

#include "kernel/kernel.h"
#include "net/log_port.h"
#include "wire/codec.h"

typedef struct mt_tail_handler_t {
	void *ctx;
	/** Reading (re)starts at `offset`: what was read before is void. */
	void (*reset)(void *ctx, uint64_t offset);
	/** One record. `record` is NULL when it could not be unpacked. */
	void (*record)(void *ctx, const mt_log_entry_t *entry,
		       const MtPb__Record *record);
	/** The end of the stream was reached, or a page ended. */
	void (*page)(void *ctx);
} mt_tail_handler_t;

typedef struct mt_tail_t mt_tail_t;

mt_tail_t *mt_tail_new(mt_kernel_t *kernel, const mt_log_port_t *log,
		       const char *stream, const mt_tail_handler_t *handler);
void mt_tail_free(mt_tail_t *tail);
void mt_tail_start(mt_tail_t *tail);

/** Offset of the next record to be read. */
uint64_t mt_tail_next_offset(const mt_tail_t *tail);

/** True once the end of the stream has been reached. */
bool mt_tail_is_synced(const mt_tail_t *tail);

/** True while the log answers reads. */
bool mt_tail_is_available(const mt_tail_t *tail);

/** The log's clock, carried on by the own monotonic clock; 0: unknown. */
uint64_t mt_tail_log_time(const mt_tail_t *tail);
uint64_t mt_tail_retention_ms(const mt_tail_t *tail);

#endif
