/**
 * @file log_model.h
 * The append-only log of the platform, kept in memory: behind the stand-in's
 * HTTP interface and inside the soak runs.
 */
#ifndef MT_TESTS_LOG_MODEL_H
#define MT_TESTS_LOG_MODEL_H

#include "net/log_port.h"

typedef struct mt_log_model_t mt_log_model_t;

mt_log_model_t *mt_log_model_new(uint64_t retention_ms);
void mt_log_model_free(mt_log_model_t *log);
void mt_log_model_append(mt_log_model_t *log, const char *stream,
			 uint64_t now_ms, GPtrArray *records);

/** Drops expired records, then reads at most 512 from `from`. */
mt_log_page_t *mt_log_model_read(mt_log_model_t *log, const char *stream,
				 uint64_t from, uint64_t now_ms);
uint64_t mt_log_model_next(mt_log_model_t *log, const char *stream);
uint64_t mt_log_model_appends(const mt_log_model_t *log);
uint64_t mt_log_model_bytes(const mt_log_model_t *log);

#endif
