/**
 * @file appender.h
 * Writes records to one stream by group commit.
 *
 * A record counts as written only when it has been read back. Its identity
 * is its bytes, and the rules of the readers ignore a second copy, so a lost
 * answer is resolved by reading on and, failing that, by appending again.
 */
#ifndef MT_NODE_APPENDER_H
#define MT_NODE_APPENDER_H

#include "kernel/kernel.h"
#include "net/log_port.h"

/** Records of a lower priority wait for those of a higher one. */
typedef enum mt_priority_t {
	MT_PRIORITY_CRITICAL, /**< outcomes, claims, cancellations */
	MT_PRIORITY_NORMAL,   /**< acceptances; bounded in number */
	MT_PRIORITIES
} mt_priority_t;

typedef struct mt_appender_t mt_appender_t;

/** Called once, after the record at `offset` has been applied. */
typedef void (*mt_written_cb)(void *ctx, uint64_t offset);

/**
 * @param spacing_ms   least time between two appends: the log's budget
 * @param queue_records most records of MT_PRIORITY_NORMAL in the queue
 */
mt_appender_t *mt_appender_new(mt_kernel_t *kernel, const mt_log_port_t *log,
			       const char *stream, mt_ms_t spacing_ms,
			       guint queue_records);
void mt_appender_free(mt_appender_t *appender);

/**
 * Queues a record; `cb` may be NULL. A record that is queued already stays
 * there once, with the newer callback.
 * @return an id, or 0 when the queue is full and nothing was queued
 */
uint64_t mt_appender_submit(mt_appender_t *appender, GBytes *record,
			    mt_priority_t priority, mt_written_cb cb,
			    void *ctx);

/** Drops the callback; the record itself stays queued. */
void mt_appender_drop_callback(mt_appender_t *appender, uint64_t id);

/**
 * Takes a record back. @return true when it is proven that the record is
 * not in the log and never will be; false when it may be.
 */
bool mt_appender_withdraw(mt_appender_t *appender, uint64_t id);

/** Tells of a record that was read and applied. */
void mt_appender_confirm(mt_appender_t *appender, GBytes *record,
			 uint64_t offset);

/** Records not read back yet. */
guint mt_appender_pending(const mt_appender_t *appender);

#endif
