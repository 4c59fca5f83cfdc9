/**
 * @file job_request.h
 * Parses and validates the body of `POST /v1/jobs`.
 */
#ifndef MT_API_JOB_REQUEST_H
#define MT_API_JOB_REQUEST_H

#include "jobs/jobs.h"

/** Maximum size of the body of `POST /v1/jobs`. */
#define MT_JOB_REQUEST_MAX_BYTES (64u * 1024u)

/** Maximum length of an idempotency key. */
#define MT_IDEMPOTENCY_KEY_MAX_BYTES 128u

/** Maximum number of members of a job's gang. */
#define MT_GANG_MEMBERS_MAX 256u

#define MT_API_ERROR mt_api_error_quark()
GQuark mt_api_error_quark(void);
typedef enum mt_api_error_t {
	MT_API_ERROR_SYNTAX, /**< not a JSON object */
	MT_API_ERROR_FIELD,  /**< a field of the object is invalid */
} mt_api_error_t;

typedef struct mt_job_request_t {
	MtPb__Spec spec; /**< `spec.kind` points to `kind.text` below */
	mt_name_t kind;
	GBytes *payload;
	/** SHA-256 of the body, rewritten as compact JSON with sorted keys. */
	uint8_t digest[MT_DIGEST_BYTES];
} mt_job_request_t;

/**
 * @return false with an MT_API_ERROR; `request` then needs no
 *         mt_job_request_clear()
 */
bool mt_job_request_parse(mt_str_t body, mt_job_request_t *request,
			  GError **error);
void mt_job_request_clear(mt_job_request_t *request);

/**
 * A valid key consists of 1 to MT_IDEMPOTENCY_KEY_MAX_BYTES printable ASCII
 * characters without spaces.
 */
bool mt_idempotency_key_is_valid(mt_str_t key);

#endif
