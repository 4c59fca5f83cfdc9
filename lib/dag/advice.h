/**
 * @file advice.h
 * Advice: the answers of the policy service about one step. They name the
 * servers that may run the step, and contain the tickets that prove this to the
 * servers. The answers are binding, see advice_port.h. Performs no I/O and
 * reads no clock.
 */
#ifndef MT_DAG_ADVICE_H
#define MT_DAG_ADVICE_H

#include "dag/advice_port.h"

typedef struct mt_advice_t mt_advice_t;

/** What the policy service has decided about one server, as far as known. */
typedef enum mt_advice_state_t {
	MT_ADVICE_UNASKED, /**< no answer about this server yet */
	MT_ADVICE_DENIED,  /**< not allowed; permanent */
	MT_ADVICE_EXPIRED, /**< allowed, but a new ticket is needed */
	MT_ADVICE_VALID,   /**< allowed, with a valid ticket */
} mt_advice_state_t;

mt_advice_t *mt_advice_new(void);
void mt_advice_free(mt_advice_t *advice);

/**
 * Applies an answer to a request about `servers`. Servers that the answer does
 * not allow are denied, unless it is incomplete. The caller then calls
 * mt_advice_set_born_ms() for each of the servers.
 */
void mt_advice_apply(mt_advice_t *advice, const mt_shared_name_t *servers,
		     size_t count, const mt_advice_answer_t *answer,
		     mt_ms_t now);

/**
 * State of the advice for a server.
 * @param born_ms start time of the present server process, 0 if unknown; a
 * ticket is valid only for the process for which it was requested
 */
mt_advice_state_t mt_advice_state(const mt_advice_t *advice,
				  mt_shared_name_t server, int64_t born_ms,
				  mt_ms_t now);

/** Ticket for a server, or NULL if there is no valid one. */
const char *mt_advice_ticket(const mt_advice_t *advice, mt_shared_name_t server,
			     int64_t born_ms, mt_ms_t now);

/**
 * Sets the start time of the server process for which the ticket was requested
 * (0: unknown). The ticket is valid only for this process. mt_advice_apply()
 * sets the start time to 0. Until this function is called, a ticket is
 * therefore valid only if the server's present start time is unknown, too.
 * Does nothing if there is no answer about this server.
 */
void mt_advice_set_born_ms(mt_advice_t *advice, mt_shared_name_t server,
			   int64_t born_ms);

/**
 * Called when a server has refused the ticket, so that a new one is requested.
 * Does nothing if there is no answer about this server.
 */
void mt_advice_expire(mt_advice_t *advice, mt_shared_name_t server);

#endif
