/** @file log.c The kernel's message log and events. */
#include "kernel/kernel_internal.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "kernel/log_limit.h"

/** Maximum length of a message; a longer one ends with "...". */
#define MESSAGE_MAX_BYTES 2048u

/** How often an output is tried that has not accepted all. */
#define SETTLE_INTERVAL_MS 1000u

struct mt_kernel_log_t {
	char *name;
	mt_timers_t *timers;
	mt_log_level_t level;
	mt_log_sink_cb sink;
	void *sink_ctx;
	bool events_enabled;
	mt_log_limit_t *limit;
	uint64_t summary_timer; /**< sums up repeated messages; 0: none has */
	/** Tells the outputs what they have left out; 0: nothing. */
	uint64_t settle_timer;
};

mt_kernel_log_t *mt_kernel_log_new(const char *name, mt_timers_t *timers)
{
	mt_kernel_log_t *log = g_new0(mt_kernel_log_t, 1);

	log->name = g_strdup(name);
	log->timers = timers;
	log->level = MT_LOG_INFO;
	log->limit = mt_log_limit_new();
	return log;
}

void mt_kernel_set_level(mt_kernel_t *kernel, mt_log_level_t level)
{
	kernel->log->level = level;
}

void mt_kernel_set_sink(mt_kernel_t *kernel, mt_log_sink_cb cb, void *ctx)
{
	kernel->log->sink = cb;
	kernel->log->sink_ctx = ctx;
}

void mt_kernel_enable_events(mt_kernel_t *kernel)
{
	kernel->log->events_enabled = true;
}

/* Lines that were left out. */

static void write_message(mt_kernel_log_t *log, mt_log_level_t level,
			  const char *component, const char *message);

static void write_summary(void *ctx, int level, const char *component,
			  unsigned n, const char *last)
{
	char *text = g_strdup_printf("%u more messages like this: %s", n, last);

	write_message(ctx, (mt_log_level_t)level, component, text);
	g_free(text);
}

static void sum_up(void *ctx);

static void sum_up_after(mt_kernel_log_t *log, mt_ms_t delay)
{
	if (!log->summary_timer)
		log->summary_timer =
			mt_timers_after(log->timers, delay, sum_up, log);
}

static void sum_up(void *ctx)
{
	mt_kernel_log_t *log = ctx;
	mt_ms_t now = mt_timers_now(log->timers);
	mt_ms_t next;

	log->summary_timer = 0;
	next = mt_log_limit_sum_up(log->limit, now, write_summary, log);
	if (next != MT_NEVER_MS)
		sum_up_after(log, next - now);
}

static void settle(void *ctx);

static void settle_later(mt_kernel_log_t *log)
{
	if (!log->settle_timer)
		log->settle_timer = mt_timers_after(
			log->timers, SETTLE_INTERVAL_MS, settle, log);
}

static void settle(void *ctx)
{
	mt_kernel_log_t *log = ctx;

	log->settle_timer = 0;
	if (!mt_log_output_settle())
		settle_later(log);
}

void mt_kernel_log_free(mt_kernel_log_t *log)
{
	mt_log_limit_sum_up(log->limit, MT_NEVER_MS, write_summary, log);
	mt_log_output_settle();
	mt_timers_cancel(log->timers, log->summary_timer);
	mt_timers_cancel(log->timers, log->settle_timer);
	mt_log_limit_free(log->limit);
	g_free(log->name);
	g_free(log);
}

/** Writes a line, unless the share's lines of this second are used up. */
static mt_log_drop_t write_line(mt_kernel_log_t *log, mt_log_stream_t stream,
				mt_log_share_t share, mt_str_t line)
{
	mt_log_drop_t dropped;

	if (mt_log_limit_take(log->limit, share, mt_timers_now(log->timers))) {
		dropped = mt_log_output_line(stream, line);
	} else {
		dropped = MT_LOG_DROP_RATE;
		mt_log_output_note_drop(stream, dropped);
	}
	if (dropped != MT_LOG_DROP_NONE)
		settle_later(log);
	return dropped;
}

/* Messages. */

static void write_message(mt_kernel_log_t *log, mt_log_level_t level,
			  const char *component, const char *message)
{
	/* The index is the syslog severity, hence also "emerg" to "crit". */
	static const char *const level_names[] = {"emerg", "alert",   "crit",
						  "err",   "warning", "notice",
						  "info",  "debug"};
	char line[MT_LOG_LINE_MAX_BYTES];
	char timestamp[32];
	time_t now = time(NULL);
	struct tm local;
	int len;

	localtime_r(&now, &local);
	strftime(timestamp, sizeof(timestamp), "%b %e %H:%M:%S", &local);
	len = snprintf(line, sizeof(line), "%s %s[%d]: %s: %s: %s", timestamp,
		       log->name, (int)getpid(), level_names[level], component,
		       message);
	len = MIN(len, (int)sizeof(line) - 1);
	line[len++] = '\n';
	write_line(log, MT_LOG_MESSAGES,
		   level <= MT_LOG_ERR ? MT_LOG_SHARE_ERRORS
				       : MT_LOG_SHARE_MESSAGES,
		   (mt_str_t){line, (size_t)len});
}

static void log_message(mt_kernel_log_t *log, mt_log_level_t level,
			const char *component, const char *kind,
			const char *format, va_list args)
{
	static const char ellipsis[] = "...";
	char message[MESSAGE_MAX_BYTES];
	mt_ms_t now = mt_timers_now(log->timers);

	if (!log->sink && level > log->level)
		return;
	if (vsnprintf(message, sizeof(message), format, args) >=
	    (int)sizeof(message))
		memcpy(message + sizeof(message) - sizeof(ellipsis), ellipsis,
		       sizeof(ellipsis));
	if (log->sink) {
		log->sink(log->sink_ctx, level, component, message);
	} else if (level > MT_LOG_WARNING ||
		   mt_log_limit_note(log->limit, kind, level, component,
				     message, now)) {
		write_message(log, level, component, message);
	} else {
		mt_log_output_note_repeat();
		sum_up_after(log, MT_LOG_REPEAT_WINDOW_MS);
	}
}

void mt_kernel_log_message(mt_kernel_log_t *log, mt_log_level_t level,
			   const char *component, const char *kind,
			   const char *format, ...)
{
	va_list args;

	va_start(args, format);
	log_message(log, level, component, kind, format, args);
	va_end(args);
}

void mt_log(const mt_kernel_t *kernel, mt_log_level_t level,
	    const char *component, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	log_message(kernel->log, level, component, format, format, args);
	va_end(args);
}

/* Events. */

/** Bytes of a line that are kept for its end, "}" and the line end. */
#define EVENT_END_BYTES 3

/** Formats an event; without its fields if the line would be too long. */
static size_t format_event(const mt_kernel_t *kernel, char *line, size_t size,
			   const char *event, const char *format, va_list args)
{
	int begin = snprintf(line, size,
			     "{\"event\":\"%s\",\"at_ms\":%" G_GINT64_FORMAT
			     ",\"clock_ms\":%" G_GUINT64_FORMAT ",",
			     event, g_get_real_time() / 1000,
			     mt_kernel_now(kernel));
	size_t room = size - (size_t)begin - EVENT_END_BYTES;
	int len = vsnprintf(line + begin, room, format, args);

	if ((size_t)len >= room)
		len = snprintf(line + begin, room, "\"fields_too_long\":true");
	len += begin;
	line[len++] = '}';
	line[len++] = '\n';
	return (size_t)len;
}

void mt_kernel_event(mt_kernel_t *kernel, const char *event, const char *format,
		     ...)
{
	char line[MT_LOG_LINE_MAX_BYTES];
	size_t len;
	va_list args;

	if (!kernel->log->events_enabled)
		return;
	va_start(args, format);
	len = format_event(kernel, line, sizeof(line), event, format, args);
	va_end(args);
	if (write_line(kernel->log, MT_LOG_EVENTS, MT_LOG_SHARE_EVENTS,
		       (mt_str_t){line, len}) != MT_LOG_DROP_NONE)
		mt_kernel_count(kernel, "events_dropped_total");
}
