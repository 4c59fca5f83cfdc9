/**
 * @file advice_port.h
 * Port of the policy service, which decides on which servers a step may run.
 */
#ifndef MT_DAG_ADVICE_PORT_H
#define MT_DAG_ADVICE_PORT_H

#include "dag/backend_port.h"

typedef struct mt_advice_grant_t {
	mt_name_t server;
	mt_str_t ticket;
} mt_advice_grant_t;

/** The result is MT_COMMAND_DONE, MT_COMMAND_UNAVAILABLE or MT_COMMAND_UNKNOWN.
 */
typedef struct mt_advice_answer_t {
	mt_command_result_t result;
	/** Servers that may run the step. */
	const mt_advice_grant_t *allowed_servers;
	size_t n_allowed_servers;
	mt_ms_t validity_ms; /**< of the tickets, from the answer on */
} mt_advice_answer_t;

typedef void (*mt_advice_cb)(void *ctx, const mt_advice_answer_t *answer);

typedef struct mt_advice_request_t {
	mt_task_key_t step; /**< the task index is not used */
	const mt_name_t *servers;
	size_t n_servers;
	mt_ms_t timeout_ms;
} mt_advice_request_t;

/** `cb` is never called before `request_advice` has returned. */
typedef struct mt_advice_port_t {
	void *self;
	void (*request_advice)(void *self, const mt_advice_request_t *request,
			       mt_advice_cb cb, void *ctx);
} mt_advice_port_t;

#endif
