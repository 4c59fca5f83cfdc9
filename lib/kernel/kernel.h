/**
 * @file kernel.h
 * What all components of a process share: a registry of services by name,
 * metrics, timers, a random number generator, the message log and the event
 * output. The message log is not the platform's log service, whose interface
 * in net/log_port.h also has the prefix mt_log_.
 */
#ifndef MT_KERNEL_KERNEL_H
#define MT_KERNEL_KERNEL_H

#include <glib.h>

#include "kernel/name.h"
#include "kernel/timers.h"

/** Severity of a message, as in syslog(3); smaller is more severe. */
typedef enum mt_log_level_t {
	MT_LOG_ERR = 3,
	MT_LOG_WARNING = 4,
	MT_LOG_NOTICE = 5,
	MT_LOG_INFO = 6,
	MT_LOG_DEBUG = 7,
} mt_log_level_t;

typedef struct mt_kernel_t mt_kernel_t;

/**
 * @param log_name name written in each message: that of the program or, for
 *                 mimosaturnd, that of the host
 * @param timers   must outlive the kernel
 * @param seed     seed of the random number generator
 */
mt_kernel_t *mt_kernel_new(const char *log_name, mt_timers_t *timers,
			   guint32 seed);
void mt_kernel_free(mt_kernel_t *kernel);

/** Registers a service; aborts if the name is already registered. */
void mt_kernel_provide(mt_kernel_t *kernel, const char *name, void *service);

/**
 * Finds a service; aborts if the name is not registered, because then the
 * services were created in the wrong order.
 */
void *mt_kernel_find(const mt_kernel_t *kernel, const char *name);

mt_timers_t *mt_kernel_timers(const mt_kernel_t *kernel);
mt_ms_t mt_kernel_now(const mt_kernel_t *kernel);
GRand *mt_kernel_rand(const mt_kernel_t *kernel);

/** A random duration of `base` +/- 25 %, to spread retries over time. */
mt_ms_t mt_kernel_jitter(const mt_kernel_t *kernel, mt_ms_t base);

/**
 * Returns the counter of this name; creates it with value 0 at the first use.
 * The name may include Prometheus labels, as in `requests_total{code="200"}`.
 */
uint64_t *mt_kernel_counter(mt_kernel_t *kernel, const char *name);

/** Adds one to the counter whose name results from `format`. */
void mt_kernel_count(mt_kernel_t *kernel, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/**
 * Adds a duration to the Prometheus histogram of this name. It consists of the
 * cumulative buckets `NAME_bucket{le="..."}` with bounds in milliseconds, of
 * `NAME_sum` and of `NAME_count`.
 */
void mt_kernel_observe(mt_kernel_t *kernel, const char *name, mt_ms_t ms);

/** All counters in Prometheus text format, sorted by name. */
char *mt_kernel_metrics_text(const mt_kernel_t *kernel);

/** Sets the least severe level that is written; the default is MT_LOG_INFO. */
void mt_kernel_set_level(mt_kernel_t *kernel, mt_log_level_t level);

/**
 * Writes a message to standard error, as one syslog-style line. Messages with
 * the same `format` at the levels err and warning that come in quick succession
 * are summed up, and the number of lines per second is bounded, see
 * log_limit.h. A line that standard error does not accept at once is left out.
 * What is left out is counted in `log_lines_dropped_total`.
 * @param component the part of the program that writes the message; it need not
 *                  be the name of a registered service
 */
void mt_log(const mt_kernel_t *kernel, mt_log_level_t level,
	    const char *component, const char *format, ...) G_GNUC_PRINTF(4, 5);

/**
 * Writes an event as one line of JSON to standard output: an object with the
 * name of the event, the time of day, the time of the timer service and the
 * fields that `format` yields. Strings are not escaped: pass only names and
 * numbers, no text from clients. Lines above MT_LOG_EVENTS_PER_S, and lines
 * that standard output does not accept at once, are left out and counted in
 * `events_dropped_total`, and by reason in `log_lines_dropped_total`.
 */
void mt_kernel_event(mt_kernel_t *kernel, const char *event, const char *format,
		     ...) G_GNUC_PRINTF(3, 4);

/** Enables events; until then they are discarded without being counted. */
void mt_kernel_enable_events(mt_kernel_t *kernel);

/**
 * Receives the messages of all levels. While a sink is set, none is written to
 * standard error.
 */
typedef void (*mt_log_sink_cb)(void *ctx, mt_log_level_t level,
			       const char *component, const char *message);
void mt_kernel_set_sink(mt_kernel_t *kernel, mt_log_sink_cb cb, void *ctx);

/** Called after the violation of an invariant was logged and counted. */
typedef void (*mt_breach_cb)(void *ctx, const char *invariant,
			     const char *detail);
void mt_kernel_on_breach(mt_kernel_t *kernel, mt_breach_cb cb, void *ctx);

/**
 * Checks an invariant. A violation is logged at level err and counted in
 * `invariant_breaches_total{invariant=...}`. The process continues: stopping it
 * would break further guarantees to clients, also for jobs that are not
 * affected by the violation.
 * @return `holds`, the checked condition
 */
bool mt_invariant(mt_kernel_t *kernel, bool holds, const char *invariant,
		  const char *format, ...) G_GNUC_PRINTF(4, 5);

#endif
