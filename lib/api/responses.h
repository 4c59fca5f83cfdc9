/**
 * @file responses.h
 * JSON bodies of the answers to callers and operators.
 */
#ifndef MT_API_RESPONSES_H
#define MT_API_RESPONSES_H

#include "node/node.h"

/** A whole answer. */
typedef struct mt_api_response_t {
	int status;
	const char *type; /**< media type */
	GBytes *body;
	uint32_t retry_after_s; /**< 0: none */
} mt_api_response_t;

void mt_api_response_clear(mt_api_response_t *body);

/** An error in application/problem+json. */
mt_api_response_t mt_api_problem(int status, const char *code,
				 const char *detail, bool not_run);

/** Renders what the front answered. */
mt_api_response_t mt_api_render_answer(const mt_answer_t *answer);

/** The result bytes of a finished job, or a problem. */
mt_api_response_t mt_api_render_result(const mt_answer_t *answer);

/** State of this host, of the lists and of its data centre's servers. */
mt_api_response_t mt_api_status(const mt_kernel_t *kernel,
				const mt_node_t *node);
mt_api_response_t mt_api_slo(const mt_kernel_t *kernel);
mt_api_response_t mt_api_metrics(const mt_kernel_t *kernel);

#endif
