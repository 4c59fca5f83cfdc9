/**
 * @file log_port.h
 * What the product needs from the platform's append-only log service.
 * Contract: docs/PLATFORM.md, "Log service".
 */
#ifndef MT_NET_LOG_PORT_H
#define MT_NET_LOG_PORT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** What is known about an append when its call has ended. */
typedef enum mt_append_result_t {
	MT_APPEND_DONE,	   /**< all records stand in the log */
	MT_APPEND_REFUSED, /**< proven: none of the records was taken */
	MT_APPEND_UNKNOWN, /**< no usable answer; either may be true */
} mt_append_result_t;

typedef struct mt_log_entry_t {
	uint64_t offset;
	uint64_t at_ms; /**< append time by the log's own clock */
	GBytes *data;
} mt_log_entry_t;

/** One answer to a read. Entries are in offset order and without gaps. */
typedef struct mt_log_page_t {
	uint64_t first;	       /**< oldest offset that is still kept */
	uint64_t next;	       /**< offset that the next append gets */
	uint64_t now_ms;       /**< the log's own clock */
	uint64_t retention_ms; /**< how long records are kept */
	GArray *entries;       /**< of mt_log_entry_t */
} mt_log_page_t;

typedef void (*mt_append_cb)(void *ctx, mt_append_result_t result);

/** `page` is NULL when no usable answer came; it is freed by the callee. */
typedef void (*mt_read_cb)(void *ctx, mt_log_page_t *page);

typedef struct mt_log_port_t {
	void *self;
	/** Appends all `records` (GBytes) in order, or none. */
	void (*append)(void *self, const char *stream, GPtrArray *records,
		       mt_append_cb cb, void *ctx);
	/** Reads from `from`; waits up to `wait_ms` for a first record. */
	void (*read)(void *self, const char *stream, uint64_t from,
		     uint32_t wait_ms, mt_read_cb cb, void *ctx);
} mt_log_port_t;

mt_log_page_t *mt_log_page_new(void);
void mt_log_page_add(mt_log_page_t *page, uint64_t offset, uint64_t at_ms,
		     GBytes *data);
void mt_log_page_free(mt_log_page_t *page);

#endif
