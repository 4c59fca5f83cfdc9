/**
 * @file responses.h
 * Builds the HTTP responses to callers and operators.
 */
#ifndef MT_API_RESPONSES_H
#define MT_API_RESPONSES_H

#include "node/node.h"

/** A complete HTTP response. */
typedef struct mt_api_response_t {
	int status;
	const char *type; /**< media type */
	GBytes *body;
	uint32_t retry_after_s; /**< 0: no Retry-After header */
} mt_api_response_t;

void mt_api_response_clear(mt_api_response_t *response);

/**
 * Error response of type application/problem+json.
 * @param not_run proven: the job has not run, and this request will never make
 *                it run
 */
mt_api_response_t mt_api_problem(int status, const char *code,
				 const char *detail, bool not_run);

/** Response with the state of the job, or with the reason of a refusal. */
mt_api_response_t mt_api_render_answer(const mt_answer_t *answer);

/** Response with the result bytes of an ended job, or with an error. */
mt_api_response_t mt_api_render_result(const mt_answer_t *answer);

/**
 * State of this host, its lists and members; while it is the scheduler, also of
 * the servers and accounts in its data centre.
 */
mt_api_response_t mt_api_status(const mt_kernel_t *kernel,
				const mt_node_t *node);
mt_api_response_t mt_api_slo(const mt_kernel_t *kernel);
mt_api_response_t mt_api_metrics(const mt_kernel_t *kernel);

#endif
