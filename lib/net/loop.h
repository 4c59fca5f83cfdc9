/**
 * @file loop.h
 * The libuv event loop of a process; also drives the timer service.
 */
#ifndef MT_NET_LOOP_H
#define MT_NET_LOOP_H

#include <uv.h>

#include "kernel/timers.h"

typedef struct mt_loop_t mt_loop_t;

mt_loop_t *mt_loop_new(void);
uv_loop_t *mt_loop_uv(mt_loop_t *loop);
mt_timers_t *mt_loop_timers(mt_loop_t *loop);

/** Runs until mt_loop_stop(). */
void mt_loop_run(mt_loop_t *loop);
void mt_loop_stop(mt_loop_t *loop);

#endif
