/**
 * @file proxy.h
 * A TCP proxy on loopback that harms what passes: delays it, swallows it one
 * way or both, or resets its connections.
 */
#ifndef MT_CHAOS_PROXY_H
#define MT_CHAOS_PROXY_H

#include <stdbool.h>

#include "net/loop.h"

typedef struct mt_proxy_t mt_proxy_t;

/** What happens to bytes while it is in force. */
typedef struct mt_proxy_fault_t {
	mt_ms_t delay_ms;   /**< added to each way */
	bool drop_requests; /**< bytes towards the target are lost */
	bool drop_answers;  /**< bytes from the target are lost */
} mt_proxy_fault_t;

/** @return NULL when the port cannot be listened on */
mt_proxy_t *mt_proxy_new(mt_loop_t *loop, uint16_t port, uint16_t target);

/**
 * Puts a harm in force, or ends it. Bytes that a cut has swallowed do not come
 * back, so connections that it has touched are silent for good.
 */
void mt_proxy_set_fault(mt_proxy_t *proxy, const mt_proxy_fault_t *harm);

/** Resets every open connection. */
void mt_proxy_reset(mt_proxy_t *proxy);

/** Frees the port; the proxy is not used any more. */
void mt_proxy_close(mt_proxy_t *proxy);

#endif
