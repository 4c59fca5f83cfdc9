/**
 * @file advice.h
 * What the policy service has said of one step: which servers may run it, and
 * the tickets that prove it. Pure.
 */
#ifndef MT_DAG_ADVICE_H
#define MT_DAG_ADVICE_H

#include "dag/advice_port.h"

typedef struct mt_advice_t mt_advice_t;

typedef enum mt_advice_state_t {
	MT_ADVICE_UNASKED,
	MT_ADVICE_DENIED,  /**< for good: the policy does not change */
	MT_ADVICE_EXPIRED, /**< allowed, but the ticket is too old */
	MT_ADVICE_VALID,
} mt_advice_state_t;

mt_advice_t *mt_advice_new(void);
void mt_advice_free(mt_advice_t *advice);

/** Takes an answer about `servers`; those without a row are denied. */
void mt_advice_apply(mt_advice_t *advice, const mt_name_t *servers,
		     size_t count, const mt_advice_answer_t *answer,
		     mt_ms_t now);

/** @param born_ms lifetime of the server; a ticket ends with it */
mt_advice_state_t mt_advice_state(const mt_advice_t *advice,
				  const mt_name_t *server, int64_t born_ms,
				  mt_ms_t now);

/** Ticket of a server, or NULL when there is no valid one. */
const char *mt_advice_ticket(const mt_advice_t *advice, const mt_name_t *server,
			     int64_t born_ms, mt_ms_t now);

/** Notes the lifetime in which a server was asked about. */
void mt_advice_set_born_ms(mt_advice_t *advice, const mt_name_t *server,
			   int64_t born_ms);

/** A server has refused the ticket: it has to be asked for again. */
void mt_advice_expire(mt_advice_t *advice, const mt_name_t *server);

#endif
