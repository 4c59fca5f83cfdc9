/**
 * @file follower.h
 * Follows one topic of the store: first reads a snapshot, that is the newest
 * record of each key, then all later records in order, by long polls.
 */
#ifndef MT_DAG_FOLLOWER_H
#define MT_DAG_FOLLOWER_H

#include "dag/store_port.h"
#include "kernel/kernel.h"

typedef struct mt_follower_t mt_follower_t;

typedef struct mt_follower_handler_t {
	void *ctx;
	/**
	 * Called for each record: in the order of the keys during a snapshot,
	 * otherwise in the order of the offsets. A record that was delivered in
	 * a snapshot may be delivered again after it. An empty value means that
	 * the key was deleted.
	 */
	void (*on_record)(void *ctx, const mt_store_record_t *record);
	/** Called when a snapshot begins, and when all of its records have been
	 * delivered (`begins` is false); may be NULL. */
	void (*on_snapshot)(void *ctx, bool begins);
	/** Called when all records of an answer to a read have been delivered.
	 * During a snapshot, called only at its end. May be NULL. */
	void (*on_page)(void *ctx);
} mt_follower_handler_t;

/** @param poll_wait_ms timeout of the long polls */
mt_follower_t *mt_follower_new(mt_kernel_t *kernel,
			       const mt_store_port_t *store, const char *topic,
			       mt_ms_t poll_wait_ms,
			       const mt_follower_handler_t *handler);

/**
 * True when a complete snapshot has been read. Becomes false again when the
 * store deletes records before they are read, until a new snapshot is complete.
 */
bool mt_follower_has_snapshot(const mt_follower_t *follower);

/**
 * Offset of the next record to read. Records with lower offsets were delivered,
 * or replaced by newer records of the same keys.
 */
uint64_t mt_follower_next(const mt_follower_t *follower);

/**
 * Age of the delivered state in ms: the time since the latest moment of which
 * it is known that all records then in the topic have been delivered. This is
 * the latest of these moments:
 * - When the last read was sent whose answer reached the end of the topic. The
 *   age therefore includes the time that a long poll waited for its answer.
 * - When the read of the first page of the last complete snapshot was sent.
 * - When the first read for the last completed mt_follower_catch_up() was sent.
 * MT_NEVER_MS before the first complete snapshot.
 */
mt_ms_t mt_follower_age(const mt_follower_t *follower);

/**
 * Shortest round trip in ms of all reads so far; MT_NEVER_MS: none has been
 * answered. It includes the wait of long polls, so that it is too long until a
 * read was answered at once.
 */
mt_ms_t mt_follower_round_trip(const mt_follower_t *follower);

/**
 * @param current true: all records that the topic held when
 * mt_follower_catch_up() was called have been delivered; false: a read failed,
 * the follower was stopped, or it has no complete snapshot
 */
typedef void (*mt_follower_catch_up_cb)(void *ctx, bool current);

/**
 * Reads up to the present end of the topic, in addition to the long polls: at
 * once, or together with other calls that come within a short time. Calls `cb`
 * even if the follower is stopped meanwhile.
 */
void mt_follower_catch_up(mt_follower_t *follower, mt_follower_catch_up_cb cb,
			  void *ctx);

/**
 * Sets the delay from an answer that reached the end of the topic to the next
 * read, so that one read returns several records. With 0, the default, the next
 * read is sent immediately.
 */
void mt_follower_set_read_delay(mt_follower_t *follower, mt_ms_t read_delay_ms);

/**
 * Makes the follower skip records that newer ones have replaced: a read that
 * did not reach the end of the topic is followed by a new snapshot. For topics
 * whose records are large and replace each other, such as the configuration.
 */
void mt_follower_skip_replaced(mt_follower_t *follower);

/**
 * Stops reading. The handler is not called again. The follower is freed when
 * the pending calls to the store have been answered.
 */
void mt_follower_stop(mt_follower_t *follower);

#endif
