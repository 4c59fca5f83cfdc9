/**
 * @file timers.h
 * Timer service.  Parts subscribe with a delay and a callback; the owner of
 * the loop advances the clock.  The clock is monotonic, in milliseconds, and
 * belongs to this process alone.
 */
#ifndef MT_KERNEL_TIMERS_H
#define MT_KERNEL_TIMERS_H

#include <stdint.h>

typedef uint64_t mt_ms_t;

/** "No timer is due." */
#define MT_NEVER_MS UINT64_MAX

typedef struct mt_timers_t mt_timers_t;
typedef void (*mt_timer_cb)(void *ctx);

mt_timers_t *mt_timers_new(mt_ms_t now);
void mt_timers_free(mt_timers_t *timers);

/**
 * Reads the clock between two calls of mt_timers_advance(), so that a pause of
 * the process is noticed by the first callback after it.
 */
void mt_timers_set_clock(mt_timers_t *timers, mt_ms_t (*read_ms)(void));

/** The clock's time; without a clock, that of the last mt_timers_advance(). */
mt_ms_t mt_timers_now(const mt_timers_t *timers);

/**
 * Calls `cb` once, `delay` after now.
 * @return an id for mt_timers_cancel(), never 0.
 */
uint64_t mt_timers_after(mt_timers_t *timers, mt_ms_t delay, mt_timer_cb cb,
			 void *ctx);

/** Calls `cb` each `period`, the first time after one period. */
uint64_t mt_timers_every(mt_timers_t *timers, mt_ms_t period, mt_timer_cb cb,
			 void *ctx);

/** Cancels a timer; 0 and ids of timers that have fired are ignored. */
void mt_timers_cancel(mt_timers_t *timers, uint64_t id);

/** Moves the clock to `now` and runs what is due, in order of due time. */
void mt_timers_advance(mt_timers_t *timers, mt_ms_t now);

/** Due time of the next timer, or MT_NEVER_MS. */
mt_ms_t mt_timers_next(const mt_timers_t *timers);

#endif
