/**
 * @file appender.h
 * Appends records to one stream of the log, several per request (group
 * commit).
 *
 * A record counts as written only once it has been read back from the log, as
 * the caller reports with mt_appender_on_read_back(). The appender appends a
 * record again when the answer to the append is lost or the record is not read
 * back in time. This is safe, since the readers of the stream ignore a second
 * copy. The appender identifies records by their bytes.
 */
#ifndef MT_NODE_APPENDER_H
#define MT_NODE_APPENDER_H

#include "kernel/kernel.h"
#include "net/log_port.h"
#include "wire/codec.h"

/**
 * Records of MT_PRIORITY_CRITICAL are appended first, and any number of them
 * can be queued. The number of queued records of MT_PRIORITY_NORMAL is limited.
 */
typedef enum mt_priority_t {
	MT_PRIORITY_CRITICAL, /**< all other records */
	/**
	 * Records that accept a new job (Accept) or state a job again before
	 * the log drops its older records (Carry); see jobs.h.
	 */
	MT_PRIORITY_NORMAL,
	MT_PRIORITY_COUNT
} mt_priority_t;

typedef struct mt_appender_t mt_appender_t;

/**
 * Called once, after the record was read back at `offset`. If the record is
 * valid and the table that it changes is loaded, it has been applied by then.
 */
typedef void (*mt_read_back_cb)(void *ctx, uint64_t offset);

/**
 * @param spacing_ms minimum time between two appends; limits the load on the
 * log
 * @param max_queued_records maximum number of queued MT_PRIORITY_NORMAL records
 */
mt_appender_t *mt_appender_new(mt_kernel_t *kernel, const mt_log_port_t *log,
			       const char *stream, mt_ms_t spacing_ms,
			       guint max_queued_records);
void mt_appender_free(mt_appender_t *appender);

/**
 * Queues a record; `cb` may be NULL. If an identical record is still pending,
 * no second one is queued; `cb` replaces its callback. While the queue of
 * MT_PRIORITY_NORMAL is full, a record of this priority is refused even if an
 * identical one is pending.
 * @return an id, or 0 if the queue is full and nothing was queued
 */
uint64_t mt_appender_submit(mt_appender_t *appender, GBytes *record,
			    mt_priority_t priority, mt_read_back_cb cb,
			    void *ctx);

/** Like mt_appender_submit(), but packs the record first. */
uint64_t mt_appender_submit_record(mt_appender_t *appender,
				   const MtPb__Record *record,
				   mt_priority_t priority, mt_read_back_cb cb,
				   void *ctx);

/** Drops the callback of a record; the record is still appended. */
void mt_appender_drop_callback(mt_appender_t *appender, uint64_t id);

/**
 * Removes a record from the queue if no append of it can have taken effect.
 * @return true if the record is not in the log and never will be; false if
 *         it is in the log or may be, in which case nothing was removed
 */
bool mt_appender_withdraw(mt_appender_t *appender, uint64_t id);

/**
 * Must be called for each record that was read from the log, after it was
 * applied, deferred or found to be malformed.
 */
void mt_appender_on_read_back(mt_appender_t *appender, GBytes *record,
			      uint64_t offset);

/** Number of records that have not been read back yet. */
guint mt_appender_pending(const mt_appender_t *appender);

#endif
