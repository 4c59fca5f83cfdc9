/**
 * @file timers.h
 * One-shot and periodic timers. The event loop, or a test, advances the time.
 * Time is monotonic, in milliseconds, and not comparable between processes.
 */
#ifndef MT_KERNEL_TIMERS_H
#define MT_KERNEL_TIMERS_H

#include <stdint.h>

typedef uint64_t mt_ms_t;

/**
 * A time that is never reached. Stands for a time that is missing or not known,
 * such as the due time when no timer is set, or a missing deadline.
 */
#define MT_NEVER_MS UINT64_MAX

typedef struct mt_timers_t mt_timers_t;
typedef void (*mt_timer_cb)(void *ctx);

mt_timers_t *mt_timers_new(mt_ms_t now);
void mt_timers_free(mt_timers_t *timers);

/**
 * Makes mt_timers_now() read a clock instead of returning the time of the last
 * mt_timers_advance(). After a pause of the process, its first callback then
 * already sees the time that has passed.
 */
void mt_timers_set_clock(mt_timers_t *timers, mt_ms_t (*read_ms)(void));

/** The time of the clock or, without one, of the last mt_timers_advance(). */
mt_ms_t mt_timers_now(const mt_timers_t *timers);

/**
 * Calls `cb` once, after `delay`.
 * @return an id for mt_timers_cancel(), never 0
 */
uint64_t mt_timers_after(mt_timers_t *timers, mt_ms_t delay, mt_timer_cb cb,
			 void *ctx);

/**
 * Calls `cb` periodically, for the first time after one period. If the process
 * was paused for several periods, `cb` is called once for all of them.
 * @return an id for mt_timers_cancel(), never 0
 */
uint64_t mt_timers_every(mt_timers_t *timers, mt_ms_t period, mt_timer_cb cb,
			 void *ctx);

/** Cancels a timer; 0 and the ids of timers that have ended are ignored. */
void mt_timers_cancel(mt_timers_t *timers, uint64_t id);

/** Advances the time to `now` and calls the due timers in order of due time. */
void mt_timers_advance(mt_timers_t *timers, mt_ms_t now);

/** Due time of the next timer, or MT_NEVER_MS. */
mt_ms_t mt_timers_next(const mt_timers_t *timers);

#endif
