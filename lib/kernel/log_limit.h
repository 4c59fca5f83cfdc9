/**
 * @file log_limit.h
 * Bounds the volume of a log: a number of lines a second, of which errors have
 * a share of their own, and repeated messages, which are summed up. Does no I/O
 * and reads no clock.
 */
#ifndef MT_KERNEL_LOG_LIMIT_H
#define MT_KERNEL_LOG_LIMIT_H

#include <glib.h>
#include <stdbool.h>

#include "kernel/timers.h"

/** Kinds of lines; each has its own maximum number per second. */
typedef enum mt_log_share_t {
	MT_LOG_SHARE_EVENTS,
	MT_LOG_SHARE_MESSAGES, /**< messages less severe than errors */
	MT_LOG_SHARE_ERRORS,
	MT_LOG_N_SHARES,
} mt_log_share_t;

#define MT_LOG_EVENTS_PER_S 400u
#define MT_LOG_MESSAGES_PER_S 200u
#define MT_LOG_ERRORS_PER_S 50u

/**
 * So many messages of a kind are written in MT_LOG_REPEAT_WINDOW_MS; then they
 * are counted, and summed up at its end.
 */
#define MT_LOG_REPEATS_MAX 5u
#define MT_LOG_REPEAT_WINDOW_MS 10000u

/** Maximum number of kinds of messages whose repetitions are counted. */
#define MT_LOG_KINDS_MAX 256u

typedef struct mt_log_limit_t mt_log_limit_t;

mt_log_limit_t *mt_log_limit_new(void);
void mt_log_limit_free(mt_log_limit_t *limit);

/** Uses up one line of the share's present second; false if none is left. */
bool mt_log_limit_take(mt_log_limit_t *limit, mt_log_share_t share,
		       mt_ms_t now);

/**
 * Notes a message.
 * @param kind the same for messages that repeat each other; copied
 * @param level its severity, for the summary
 * @return false if it is to be left out, as it will be summed up
 */
bool mt_log_limit_note(mt_log_limit_t *limit, const char *kind, int level,
		       const char *component, const char *message, mt_ms_t now);

/**
 * Receives a summary: `n` messages of the kind were left out, `last` is the
 * last of them.
 */
typedef void (*mt_log_summary_cb)(void *ctx, int level, const char *component,
				  unsigned n, const char *last);

/**
 * Sums up the kinds whose window is over at `now`, and forgets those that have
 * not been repeated in it.
 * @return time at which the next window with something to sum up ends;
 *         MT_NEVER_MS: there is none
 */
mt_ms_t mt_log_limit_sum_up(mt_log_limit_t *limit, mt_ms_t now,
			    mt_log_summary_cb cb, void *ctx);

#endif
