/**
 * @file job_id.h
 * Identity of a job: derived from the client account and the caller's
 * idempotency key, so that every host computes the same id.
 */
#ifndef MT_WIRE_JOB_ID_H
#define MT_WIRE_JOB_ID_H

#include <protobuf-c/protobuf-c.h>

#include "kernel/name.h"

#define MT_JOB_ID_BYTES 16

typedef struct mt_job_id_t {
	uint8_t bytes[MT_JOB_ID_BYTES];
} mt_job_id_t;

/** First 16 bytes of SHA-256 over account, a zero byte and key. */
mt_job_id_t mt_job_id_derive(const mt_name_t *account, mt_str_t key);

/** Lower-case hexadecimal text, 32 characters. */
mt_name_t mt_job_id_text(const mt_job_id_t *id);

/** Reads what mt_job_id_text() wrote. */
bool mt_job_id_parse(mt_str_t text, mt_job_id_t *id);

/** Reads the id field of a message; false on a wrong length. */
bool mt_job_id_read(const ProtobufCBinaryData *field, mt_job_id_t *id);

/** Field that borrows the bytes of `id`. */
ProtobufCBinaryData mt_job_id_field(const mt_job_id_t *id);

bool mt_job_id_equal(const mt_job_id_t *a, const mt_job_id_t *b);
guint mt_job_id_hash(gconstpointer id);
gboolean mt_job_id_key_equal(gconstpointer a, gconstpointer b);

#endif
