/**
 * @file kernel.h
 * The micro-kernel of a process: services registered and found by name,
 * counters, the timer service, the random source and log lines.
 */
#ifndef MT_KERNEL_KERNEL_H
#define MT_KERNEL_KERNEL_H

#include <glib.h>

#include "kernel/name.h"
#include "kernel/timers.h"

/** Severities as in syslog(3); smaller is more severe. */
typedef enum mt_log_level_t {
	MT_LOG_ERR = 3,
	MT_LOG_WARNING = 4,
	MT_LOG_NOTICE = 5,
	MT_LOG_INFO = 6,
	MT_LOG_DEBUG = 7,
} mt_log_level_t;

typedef struct mt_kernel_t mt_kernel_t;

/** Event lines that are written per second at the most. */
#define MT_EVENTS_PER_S 400u

/**
 * @param program name shown in log lines
 * @param timers  borrowed; outlives the kernel
 * @param seed    seed of the random source
 */
mt_kernel_t *mt_kernel_new(const char *program, mt_timers_t *timers,
			   guint32 seed);
void mt_kernel_free(mt_kernel_t *kernel);

/** Registers a service. A second service of one name is a bug. */
void mt_kernel_provide(mt_kernel_t *kernel, const char *name, void *service);

/** Finds a service. A missing service is a bug in the start order. */
void *mt_kernel_find(const mt_kernel_t *kernel, const char *name);

mt_timers_t *mt_kernel_timers(const mt_kernel_t *kernel);
mt_ms_t mt_kernel_now(const mt_kernel_t *kernel);
GRand *mt_kernel_rand(const mt_kernel_t *kernel);

/** `base` plus or minus up to a quarter of it, to spread retries. */
mt_ms_t mt_kernel_jitter(const mt_kernel_t *kernel, mt_ms_t base);

/**
 * The counter of this name; made with value 0 at first use. The name may
 * carry Prometheus labels, as in `requests_total{code="200"}`.
 */
uint64_t *mt_kernel_counter(mt_kernel_t *kernel, const char *name);

/** Adds one to a counter whose name is a format. */
void mt_kernel_count(mt_kernel_t *kernel, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/**
 * Counts a duration in the histogram of this name: cumulative buckets
 * `NAME_bucket{le="..."}` in milliseconds, `NAME_sum` and `NAME_count`.
 */
void mt_kernel_observe(mt_kernel_t *kernel, const char *name, mt_ms_t ms);

/** All counters in Prometheus text format, sorted by name. */
char *mt_kernel_metrics_text(const mt_kernel_t *kernel);

/** Least severe level that is written; the default is MT_LOG_INFO. */
void mt_kernel_set_level(mt_kernel_t *kernel, mt_log_level_t level);

/** Writes one syslog-style line to standard error. */
void mt_log(const mt_kernel_t *kernel, mt_log_level_t level,
	    const char *service, const char *format, ...) G_GNUC_PRINTF(4, 5);

/**
 * Writes one JSON object on a line of standard output: the event's name, the
 * time of day and the time of the timer service, then `format`, which gives
 * further members. Names and numbers only; no text from callers. Lines beyond
 * MT_EVENTS_PER_S, and those for which the output has no room, are counted in
 * `events_dropped_total` and left out.
 */
void mt_kernel_event(mt_kernel_t *kernel, const char *event, const char *format,
		     ...) G_GNUC_PRINTF(3, 4);

/** Turns event lines on; a kernel without them drops them silently. */
void mt_kernel_enable_events(mt_kernel_t *kernel);

/** Takes log lines instead of standard error, whatever their level. */
typedef void (*mt_log_sink_cb)(void *ctx, mt_log_level_t level,
			       const char *service, const char *message);
void mt_kernel_set_sink(mt_kernel_t *kernel, mt_log_sink_cb cb, void *ctx);

/** Called when an invariant does not hold, before it is counted. */
typedef void (*mt_breach_cb)(void *ctx, const char *invariant,
			     const char *detail);
void mt_kernel_on_breach(mt_kernel_t *kernel, mt_breach_cb cb, void *ctx);

/**
 * Checks an invariant of the running program. A breach is logged at level
 * err and counted in `invariant_breaches_total{invariant=...}`; the process
 * goes on, since stopping would break further promises.
 */
bool mt_invariant(mt_kernel_t *kernel, bool holds, const char *invariant,
		  const char *format, ...) G_GNUC_PRINTF(4, 5);

#endif
