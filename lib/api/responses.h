/**
 * @file responses.h
 * Builds the HTTP responses of mimosaturnd to clients and operators. Clients
 * are also named callers in settings and metrics.
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
 * @param not_run true if it is certain that the job has not run and that this
 *                request will never make it run; false if that is unknown
 */
mt_api_response_t mt_api_problem(int status, const char *code,
				 const char *detail, bool not_run);

/**
 * Response with the state of the job, or with the reason of a refusal. An
 * mt_answer_t is the reply of the job API, before it is encoded for HTTP.
 */
mt_api_response_t mt_api_render_answer(const mt_answer_t *answer);

/** Response with the result bytes of an ended job, or with an error. */
mt_api_response_t mt_api_render_result(const mt_answer_t *answer);

/**
 * State of this host, the versions of its lists and the live hosts. If this
 * host is the scheduler, also the servers and accounts of its data centre.
 * @param node the services of this host, see node/node.h
 */
mt_api_response_t mt_api_status(const mt_kernel_t *kernel,
				const mt_node_t *node);
mt_api_response_t mt_api_slo(const mt_kernel_t *kernel);
mt_api_response_t mt_api_metrics(const mt_kernel_t *kernel);

#endif
