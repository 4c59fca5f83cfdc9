/**
 * @file log_port.h
 * Interface (mt_log_port_t) to the append-only log service of the platform that
 * mimosaturnd runs on. Specified in docs/PLATFORM.md, "Log service".
 */
#ifndef MT_NET_LOG_PORT_H
#define MT_NET_LOG_PORT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Outcome of an append. */
typedef enum mt_append_result_t {
	MT_APPEND_DONE,	    /**< all records are in the log */
	MT_APPEND_NOT_DONE, /**< none was appended: the log service refused
				the request, or there was no connection */
	MT_APPEND_UNKNOWN,  /**< no usable response; either all records were
				 appended or none */
} mt_append_result_t;

/** A record as read from the log. */
typedef struct mt_log_record_t {
	uint64_t offset;
	uint64_t at_ms; /**< append time by the log service's clock */
	GBytes *data;
} mt_log_record_t;

/** Result of a read. Its records are in offset order and without gaps. */
typedef struct mt_log_page_t {
	uint64_t first;	       /**< oldest offset that is still retained */
	uint64_t next;	       /**< offset of the next append */
	uint64_t now_ms;       /**< current time of the log service's clock */
	uint64_t retention_ms; /**< retention period of records */
	GArray *log_records;   /**< of mt_log_record_t */
} mt_log_page_t;

typedef void (*mt_append_cb)(void *ctx, mt_append_result_t result);

/** @param page to be freed by the callback; NULL without a usable response */
typedef void (*mt_read_cb)(void *ctx, mt_log_page_t *page);

typedef struct mt_log_port_t {
	void *self;
	/** Appends all `records` (GBytes) in order, or none of them. */
	void (*append)(void *self, const char *stream, GPtrArray *records,
		       mt_append_cb cb, void *ctx);
	/**
	 * Reads records from offset `from` on. If there are none yet, the log
	 * service waits for one, for up to `wait_ms`.
	 */
	void (*read)(void *self, const char *stream, uint64_t from,
		     uint32_t wait_ms, mt_read_cb cb, void *ctx);
} mt_log_port_t;

mt_log_page_t *mt_log_page_new(void);

/** Adds a record to the page; takes its own reference to `data`. */
void mt_log_page_add(mt_log_page_t *page, uint64_t offset, uint64_t at_ms,
		     GBytes *data);

void mt_log_page_free(mt_log_page_t *page);

#endif
