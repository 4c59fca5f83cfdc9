/**
 * @file log_model.h
 * In-memory model of the platform's append-only log. Used by the HTTP server of
 * tests/standin and by the simulation of tests/soak.
 */
#ifndef MT_TESTS_LOG_MODEL_H
#define MT_TESTS_LOG_MODEL_H

#include "net/log_port.h"

typedef struct mt_log_model_t mt_log_model_t;

mt_log_model_t *mt_log_model_new(uint64_t retention_ms);
void mt_log_model_free(mt_log_model_t *log);

/** Appends the records (GBytes), creating the stream if needed. */
void mt_log_model_append(mt_log_model_t *log, const char *stream,
			 uint64_t now_ms, GPtrArray *records);

/** Drops expired records, then reads at most 512 from offset `from` onwards. */
mt_log_page_t *mt_log_model_read(mt_log_model_t *log, const char *stream,
				 uint64_t from, uint64_t now_ms);

/** Offset that the next appended record will get. */
uint64_t mt_log_model_next(mt_log_model_t *log, const char *stream);

/** Number of appends, and bytes in all their records, since creation. */
uint64_t mt_log_model_appends(const mt_log_model_t *log);
uint64_t mt_log_model_bytes(const mt_log_model_t *log);

#endif
