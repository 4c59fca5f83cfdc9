/**
 * @file store_port.h
 * Interface to the platform's store: topics of totally ordered keyed records,
 * with conditional and idempotent appends, long polls, and a query for the
 * newest record of each key.
 */
#ifndef MT_DAG_STORE_PORT_H
#define MT_DAG_STORE_PORT_H

#include "kernel/shared_name.h"
#include "kernel/timers.h"

typedef enum mt_store_result_t {
	MT_STORE_DONE,
	MT_STORE_REFUSED, /**< nothing was done; the call may be repeated */
	/** The topic does not end at mt_store_append_t.expected_end. */
	MT_STORE_WRONG_OFFSET,
	MT_STORE_FENCED,	  /**< a higher epoch of this producer exists */
	MT_STORE_OUT_OF_SEQUENCE, /**< not the sequence number expected next */
	MT_STORE_TRIMMED, /**< the requested records have been deleted */
	MT_STORE_UNKNOWN, /**< no answer; the call may have been carried out */
} mt_store_result_t;

/** One record. An empty value deletes the key. */
typedef struct mt_store_record_t {
	mt_str_t key;
	mt_str_t value;
	uint64_t offset; /**< set by reads, ignored by appends */
} mt_store_record_t;

/** Bytes that the store adds to a record, at most. */
#define MT_STORE_RECORD_OVERHEAD_BYTES 8u

/** Size of a record by which the limits of the store count, in bytes. */
static inline size_t mt_store_record_size(mt_str_t key, mt_str_t value)
{
	return key.len + value.len + MT_STORE_RECORD_OVERHEAD_BYTES;
}

/** Value of mt_store_append_t.expected_end for an append without a condition.
 */
#define MT_STORE_ANY_OFFSET UINT64_MAX

/** An append. The store must store either all of its records or none. */
typedef struct mt_store_append_t {
	const char *topic;
	const mt_store_record_t *records;
	size_t count; /**< number of records */
	/** Condition: offset at which the topic must end before the append.
	 * MT_STORE_ANY_OFFSET: no condition. */
	uint64_t expected_end;
	/* The store carries out the appends of one producer and epoch in the
	 * order of their sequence numbers, each of them once. It rejects
	 * (fences) an append whose epoch is lower than the highest epoch that
	 * it has seen of the producer. */
	const char *producer;
	uint64_t epoch;
	uint64_t sequence;
	mt_ms_t timeout_ms;
} mt_store_append_t;

/** @param offset offset of the first new record, valid with MT_STORE_DONE */
typedef void (*mt_store_append_cb)(void *ctx, mt_store_result_t result,
				   uint64_t offset);

/** Answer to `read` or `newest` of mt_store_port_t. */
typedef struct mt_store_page_t {
	mt_store_result_t result;
	const mt_store_record_t *records; /**< valid only in the callback */
	size_t count;			  /**< number of records */
	uint64_t end;  /**< offset after the last record of the topic */
	uint64_t next; /**< offset after the page's last record; read nowhere */
	bool more;     /**< in answers to `newest`: further keys follow */
	/** In answers to `newest`: last key of the page, also if its record is
	 * malformed and not among `records`. Empty: the last of `records`. */
	mt_str_t last_key;
	/** The page shows the topic as it was this long before the call; 0 in
	 * answers of the store itself. */
	mt_ms_t age_ms;
} mt_store_page_t;

typedef void (*mt_store_page_cb)(void *ctx, const mt_store_page_t *page);

/** `cb` is never called before the function that received it has returned. */
typedef struct mt_store_port_t {
	void *self;
	void (*append)(void *self, const mt_store_append_t *append,
		       mt_store_append_cb cb, void *ctx);
	/** Reads a page of records from offset `from` on. While there is no
	 * such record, the store delays its answer for up to `wait_ms`.
	 * `timeout_ms`, here and below, is the time until the answer must
	 * begin, and the longest time between two parts of it. */
	void (*read)(void *self, const char *topic, uint64_t from,
		     mt_ms_t wait_ms, mt_ms_t timeout_ms, mt_store_page_cb cb,
		     void *ctx);
	/** Reads a page with the newest record of each key, in the order of the
	 * keys, from the first key after `after_key` on. */
	void (*newest)(void *self, const char *topic, mt_str_t after_key,
		       mt_ms_t timeout_ms, mt_store_page_cb cb, void *ctx);
	/** Largest size of an append and of one record, in bytes, see
	 * mt_store_record_size(); 0: no limit. */
	size_t append_max_bytes;
	size_t record_max_bytes;
} mt_store_port_t;

#endif
