/**
 * @file store_port.h
 * What the system needs of the platform's store: topics of keyed records in
 * one order, conditional and idempotent appends, long polls, and the newest
 * record of each key.
 */
#ifndef MT_DAG_STORE_PORT_H
#define MT_DAG_STORE_PORT_H

#include "kernel/name.h"
#include "kernel/timers.h"

typedef enum mt_store_result_t {
	MT_STORE_DONE,
	MT_STORE_REFUSED,  /**< nothing was done; worth a retry */
	MT_STORE_CONFLICT, /**< the topic does not end where it was expected */
	MT_STORE_FENCED,   /**< a higher epoch of this producer exists */
	MT_STORE_OUT_OF_SEQUENCE,
	MT_STORE_TRIMMED, /**< the records asked for have been dropped */
	MT_STORE_UNKNOWN, /**< no answer; it may have been done */
} mt_store_result_t;

/** One record. An empty value drops the key. */
typedef struct mt_store_record_t {
	mt_str_t key;
	mt_str_t value;
	uint64_t offset; /**< set on records that were read */
} mt_store_record_t;

/** Append whatever the end of the topic is. */
#define MT_STORE_ANY_OFFSET UINT64_MAX

typedef struct mt_store_append_t {
	const char *topic;
	const mt_store_record_t *records;
	size_t count;
	uint64_t at;	      /**< only if the topic ends here */
	const char *producer; /**< orders and deduplicates appends */
	uint64_t epoch;
	uint64_t sequence;
	mt_ms_t timeout_ms;
} mt_store_append_t;

/** @param offset offset of the first record, valid with MT_STORE_DONE */
typedef void (*mt_store_append_cb)(void *ctx, mt_store_result_t result,
				   uint64_t offset);

typedef struct mt_store_page_t {
	mt_store_result_t result;
	const mt_store_record_t *records; /**< valid during the callback */
	size_t count;
	uint64_t end;  /**< offset after the last record of the topic */
	uint64_t next; /**< offset after the last record of this page */
	bool more;     /**< newest only: continue after the last key */
} mt_store_page_t;

typedef void (*mt_store_page_cb)(void *ctx, const mt_store_page_t *page);

/** Callbacks never come before the call has returned. */
typedef struct mt_store_port_t {
	void *self;
	void (*append)(void *self, const mt_store_append_t *append,
		       mt_store_append_cb cb, void *ctx);
	/** Waits up to `wait_ms` for a record at `from` or later. */
	void (*read)(void *self, const char *topic, uint64_t from,
		     mt_ms_t wait_ms, mt_store_page_cb cb, void *ctx);
	/** Newest record of each key, a page at a time, after `after_key`. */
	void (*newest)(void *self, const char *topic, mt_str_t after_key,
		       mt_store_page_cb cb, void *ctx);
} mt_store_port_t;

#endif
