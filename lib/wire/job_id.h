/**
 * @file job_id.h
 * Id of a job. It is derived from the client account and the idempotency key of
 * the request, so that every host computes the same id.
 */
#ifndef MT_WIRE_JOB_ID_H
#define MT_WIRE_JOB_ID_H

#include <protobuf-c/protobuf-c.h>

#include "kernel/name.h"

#define MT_JOB_ID_BYTES 16

typedef struct mt_job_id_t {
	uint8_t bytes[MT_JOB_ID_BYTES];
} mt_job_id_t;

/**
 * Id of the job of this account and idempotency key: the first 16 bytes of the
 * SHA-256 of the account, a zero byte and the key.
 */
mt_job_id_t mt_job_id_derive(const mt_name_t *account, mt_str_t key);

/** Lower-case hexadecimal text, 32 characters. */
mt_name_t mt_job_id_text(const mt_job_id_t *id);

/** Parses the text form of an id. */
bool mt_job_id_parse(mt_str_t text, mt_job_id_t *id);

/** Reads an id from a message field; false if its length is wrong. */
bool mt_job_id_read(const ProtobufCBinaryData *field, mt_job_id_t *id);

/** Makes a message field. It points to the bytes of `id`. */
ProtobufCBinaryData mt_job_id_field(const mt_job_id_t *id);

bool mt_job_id_equal(const mt_job_id_t *a, const mt_job_id_t *b);

/** Hash and equality functions for a GHashTable keyed by mt_job_id_t. */
guint mt_job_id_hash(gconstpointer id);
gboolean mt_job_id_key_equal(gconstpointer a, gconstpointer b);

#endif
