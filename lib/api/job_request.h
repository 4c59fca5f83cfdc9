/**
 * @file job_request.h
 * The body of `POST /v1/jobs`, checked in full.
 */
#ifndef MT_API_JOB_REQUEST_H
#define MT_API_JOB_REQUEST_H

#include "jobs/jobs.h"

/** Largest request body, in bytes. */
#define MT_BODY_MAX_BYTES (64u * 1024u)

/** Longest idempotency key, in bytes. */
#define MT_IDEMPOTENCY_KEY_MAX_BYTES 128u

/** Most members of a gang. */
#define MT_GANG_MEMBERS_MAX 256u

#define MT_API_ERROR mt_api_error_quark()
GQuark mt_api_error_quark(void);
typedef enum mt_api_error_t {
	MT_API_ERROR_SYNTAX, /**< not a JSON object */
	MT_API_ERROR_FIELD,  /**< a member breaks the checks */
} mt_api_error_t;

typedef struct mt_job_request_t {
	MtPb__Spec spec; /**< `kind` points into `kind` below */
	mt_name_t kind;
	GBytes *payload;
	uint8_t digest[MT_DIGEST_BYTES]; /**< of the canonical body */
} mt_job_request_t;

/**
 * Parses a body.
 * @return false with MT_API_ERROR; `request` then holds nothing
 */
bool mt_job_request_parse(mt_str_t body, mt_job_request_t *request,
			  GError **error);
void mt_job_request_clear(mt_job_request_t *request);

/** A key has 1 to MT_IDEMPOTENCY_KEY_MAX_BYTES printable ASCII characters. */
bool mt_idempotency_key_is_valid(mt_str_t key);

#endif
