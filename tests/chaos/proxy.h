/**
 * @file proxy.h
 * A TCP proxy on loopback that injects faults: it delays bytes, drops them in
 * one direction or both, or resets connections.
 */
#ifndef MT_CHAOS_PROXY_H
#define MT_CHAOS_PROXY_H

#include <stdbool.h>

#include "net/loop.h"

typedef struct mt_proxy_t mt_proxy_t;

/** Fault of all connections; all zero: none. */
typedef struct mt_proxy_fault_t {
	mt_ms_t delay_ms;   /**< added in each direction */
	bool drop_requests; /**< drop bytes to the target */
	bool drop_answers;  /**< drop bytes from the target */
} mt_proxy_fault_t;

/** @return NULL when the port cannot be listened on */
mt_proxy_t *mt_proxy_new(mt_loop_t *loop, uint16_t port, uint16_t target);

/**
 * Sets or clears the fault. A connection that has lost bytes forwards nothing
 * any more, also when the fault is cleared: its stream has a gap.
 */
void mt_proxy_set_fault(mt_proxy_t *proxy, const mt_proxy_fault_t *fault);

/** Resets every open connection. */
void mt_proxy_reset(mt_proxy_t *proxy);

/** Closes all connections and the port. The proxy must not be used again. */
void mt_proxy_close(mt_proxy_t *proxy);

#endif
