/**
 * @file follower.h
 * Follows one topic of the store: first reads a snapshot, the newest record of
 * each key, then all later records in order by long polls.
 */
#ifndef MT_DAG_FOLLOWER_H
#define MT_DAG_FOLLOWER_H

#include "dag/store_port.h"
#include "kernel/kernel.h"

typedef struct mt_follower_t mt_follower_t;

typedef struct mt_follower_handler_t {
	void *ctx;
	/**
	 * One record: in the order of the keys during a snapshot, otherwise in
	 * the order of the topic. An empty value means that the key was
	 * deleted.
	 */
	void (*on_record)(void *ctx, const mt_store_record_t *record);
	/** A snapshot begins, or has been read completely; may be NULL. */
	void (*on_snapshot)(void *ctx, bool begins);
	/** All records of an answer have been delivered; may be NULL. */
	void (*on_page)(void *ctx);
} mt_follower_handler_t;

/** @param wait_ms time for which the store may hold back an empty answer */
mt_follower_t *mt_follower_new(mt_kernel_t *kernel,
			       const mt_store_port_t *store, const char *topic,
			       mt_ms_t wait_ms,
			       const mt_follower_handler_t *handler);

/** True once a complete snapshot has been read. */
bool mt_follower_has_snapshot(const mt_follower_t *follower);

/** Offset below which all records have been delivered or superseded. */
uint64_t mt_follower_next(const mt_follower_t *follower);

/**
 * Age of the state that was delivered: milliseconds since the sending of the
 * last read that reached the end of the topic. MT_NEVER_MS before the first.
 */
mt_ms_t mt_follower_age(const mt_follower_t *follower);

/** Shortest round trip of a snapshot read; MT_NEVER_MS before the first. */
mt_ms_t mt_follower_round_trip(const mt_follower_t *follower);

/**
 * @param current true: all records up to the end of the topic at the time of
 * the call have been delivered; false: the read failed
 */
typedef void (*mt_follower_catch_up_cb)(void *ctx, bool current);

/** Reads up to the present end of the topic, without waiting for records. */
void mt_follower_catch_up(mt_follower_t *follower, mt_follower_catch_up_cb cb,
			  void *ctx);

/**
 * Sets the minimum time from an answer that reached the end of the topic to
 * the next read, so that one read returns several records. 0, the default,
 * reads on immediately.
 */
void mt_follower_set_pace(mt_follower_t *follower, mt_ms_t pace_ms);

/**
 * Stops reading. The handler is not called any more; the follower is freed
 * when the pending calls to the store have been answered.
 */
void mt_follower_stop(mt_follower_t *follower);

#endif
