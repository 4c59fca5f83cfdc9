/**
 * @file advice_port.h
 * Interface to the policy service, which decides on which servers a step may
 * run and issues tickets for these servers. A server checks the ticket when a
 * task of the step is started there. An answer is called advice after the path
 * of the requests, /mimosaturn/advise. Unlike what the word suggests, it is
 * binding: a task is started only on a server that the answer allows.
 */
#ifndef MT_DAG_ADVICE_PORT_H
#define MT_DAG_ADVICE_PORT_H

#include "dag/backend_port.h"

/** A server that may run the step, and the ticket for it. */
typedef struct mt_advice_grant_t {
	mt_shared_name_t server;
	mt_str_t ticket;
} mt_advice_grant_t;

/**
 * Answer to a request. Although the policy service receives no commands,
 * `result` has the type mt_command_result_t, of which three values are used:
 * - MT_COMMAND_DONE: the policy service decided
 * - MT_COMMAND_UNAVAILABLE: the policy service refused the request
 * - MT_COMMAND_UNKNOWN: there was no answer, or a malformed one
 */
typedef struct mt_advice_answer_t {
	mt_command_result_t result;
	/** Servers that may run the step. */
	const mt_advice_grant_t *allowed_servers;
	size_t n_allowed_servers;
	/** Malformed entries were skipped: servers that are not listed may be
	 * allowed, too. */
	bool incomplete;
	mt_ms_t validity_ms; /**< of the tickets, counted from the answer */
} mt_advice_answer_t;

typedef void (*mt_advice_cb)(void *ctx, const mt_advice_answer_t *answer);

typedef struct mt_advice_request_t {
	/** The step that the request is about, given as the key of one of its
	 * tasks; the task index in the key is not used. */
	mt_task_key_t step;
	const mt_shared_name_t
		*servers; /**< ids of the servers to decide about */
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
