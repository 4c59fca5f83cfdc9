/**
 * @file advice.h
 * Answers of the policy service about one step: the servers that may run it,
 * and the tickets that prove this to them. Performs no I/O and reads no clock.
 */
#ifndef MT_DAG_ADVICE_H
#define MT_DAG_ADVICE_H

#include "dag/advice_port.h"

typedef struct mt_advice_t mt_advice_t;

typedef enum mt_advice_state_t {
	MT_ADVICE_UNASKED, /**< no answer yet */
	MT_ADVICE_DENIED,  /**< permanent: the policy does not change */
	MT_ADVICE_EXPIRED, /**< allowed, but needs a new ticket */
	MT_ADVICE_VALID,
} mt_advice_state_t;

mt_advice_t *mt_advice_new(void);
void mt_advice_free(mt_advice_t *advice);

/**
 * Applies an answer about `servers`; those that it does not allow are denied.
 */
void mt_advice_apply(mt_advice_t *advice, const mt_name_t *servers,
		     size_t count, const mt_advice_answer_t *answer,
		     mt_ms_t now);

/**
 * State of the advice for a server.
 * @param born_ms start time of the server process; tickets end with the process
 */
mt_advice_state_t mt_advice_state(const mt_advice_t *advice,
				  const mt_name_t *server, int64_t born_ms,
				  mt_ms_t now);

/** Ticket for a server, or NULL if there is no valid one. */
const char *mt_advice_ticket(const mt_advice_t *advice, const mt_name_t *server,
			     int64_t born_ms, mt_ms_t now);

/**
 * Sets the start time of the server process for which a ticket was requested.
 */
void mt_advice_set_born_ms(mt_advice_t *advice, const mt_name_t *server,
			   int64_t born_ms);

/**
 * Called when a server has refused the ticket, so that a new one is requested.
 */
void mt_advice_expire(mt_advice_t *advice, const mt_name_t *server);

#endif
