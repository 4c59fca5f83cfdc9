/**
 * @file advice_port.h
 * Interface to the policy service, which decides on which servers a step may
 * run and issues tickets for these servers. A server checks the ticket when a
 * task of the step is started there.
 */
#ifndef MT_DAG_ADVICE_PORT_H
#define MT_DAG_ADVICE_PORT_H

#include "dag/backend_port.h"

/** A server that may run the step, and the ticket for it. */
typedef struct mt_advice_grant_t {
	mt_name_t server;
	mt_str_t ticket;
} mt_advice_grant_t;

/**
 * Answer to a request. Although the policy service receives no commands, the
 * result uses three values of mt_command_result_t: MT_COMMAND_DONE if the
 * policy service decided, MT_COMMAND_UNAVAILABLE if it refused the request, and
 * MT_COMMAND_UNKNOWN if there was no answer or it is malformed.
 */
typedef struct mt_advice_answer_t {
	mt_command_result_t result;
	/** Servers that may run the step. */
	const mt_advice_grant_t *allowed_servers;
	size_t n_allowed_servers;
	mt_ms_t validity_ms; /**< of the tickets, counted from the answer */
} mt_advice_answer_t;

typedef void (*mt_advice_cb)(void *ctx, const mt_advice_answer_t *answer);

typedef struct mt_advice_request_t {
	mt_task_key_t step; /**< any task of the step; the index is not used */
	const mt_name_t *servers; /**< ids of the servers that it asks about */
	size_t n_servers;
	mt_ms_t timeout_ms;
} mt_advice_request_t;

/** `cb` is called once, and never before `request_advice` has returned. */
typedef struct mt_advice_port_t {
	void *self;
	void (*request_advice)(void *self, const mt_advice_request_t *request,
			       mt_advice_cb cb, void *ctx);
} mt_advice_port_t;

#endif
