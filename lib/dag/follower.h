/**
 * @file follower.h
 * Follows one topic of the store: first the newest record of each key, then
 * every further record in order, by long polls.
 */
#ifndef MT_DAG_FOLLOWER_H
#define MT_DAG_FOLLOWER_H

#include "dag/store_port.h"
#include "kernel/kernel.h"

typedef struct mt_follower_t mt_follower_t;

typedef struct mt_follower_handler_t {
	void *ctx;
	/** One record, in the order of the topic. An empty value drops it. */
	void (*on_record)(void *ctx, const mt_store_record_t *record);
	/** A snapshot of all keys begins or has ended; may be NULL. */
	void (*on_snapshot)(void *ctx, bool begins);
	/** All records of an answer have been handed over; may be NULL. */
	void (*on_page)(void *ctx);
} mt_follower_handler_t;

/** @param wait_ms how long the store may hold back an empty answer */
mt_follower_t *mt_follower_new(mt_kernel_t *kernel,
			       const mt_store_port_t *store, const char *topic,
			       mt_ms_t wait_ms,
			       const mt_follower_handler_t *handler);

/** True once a whole snapshot has been read. */
bool mt_follower_is_synced(const mt_follower_t *follower);

/** Offset after the last record that was handed over. */
uint64_t mt_follower_next(const mt_follower_t *follower);

/**
 * Milliseconds since the last read was sent that reached the topic's end: the
 * state is at least so young. MT_NEVER_MS before the first.
 */
mt_ms_t mt_follower_age(const mt_follower_t *follower);

/** Shortest time that an answer of the store has taken. */
mt_ms_t mt_follower_round_trip(const mt_follower_t *follower);

/**
 * Reads up to the topic's present end, then tells whether the state is
 * current.
 */
typedef void (*mt_follower_sync_cb)(void *ctx, bool current);
void mt_follower_sync(mt_follower_t *follower, mt_follower_sync_cb cb,
		      void *ctx);

/**
 * Least time from an answer to the next read, so that records that come close
 * together are read by one call. 0, the default, reads on at once.
 */
void mt_follower_set_pace(mt_follower_t *follower, mt_ms_t pace_ms);

/**
 * Stops reading and calls the handler no more; it is freed once the calls of
 * the store that are under way have been answered.
 */
void mt_follower_stop(mt_follower_t *follower);

#endif
