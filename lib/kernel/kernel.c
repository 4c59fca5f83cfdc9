/** @file kernel.c Service registry, metrics, message log and events. */
#include "kernel/kernel.h"

#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

struct mt_kernel_t {
	char *log_name;
	mt_timers_t *timers;
	GRand *rand;
	GHashTable *services;
	GHashTable *counters;
	mt_log_level_t level;
	mt_log_sink_cb sink;
	void *sink_ctx;
	bool events_enabled;
	mt_ms_t events_second; /**< second that `events_left` counts for */
	unsigned events_left;  /**< events that may still be written in it */
	mt_breach_cb on_breach;
	void *breach_ctx;
};

mt_kernel_t *mt_kernel_new(const char *log_name, mt_timers_t *timers,
			   guint32 seed)
{
	mt_kernel_t *kernel = g_new0(mt_kernel_t, 1);

	kernel->log_name = g_strdup(log_name);
	kernel->timers = timers;
	kernel->rand = g_rand_new_with_seed(seed);
	kernel->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	kernel->counters =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	kernel->level = MT_LOG_INFO;
	return kernel;
}

void mt_kernel_free(mt_kernel_t *kernel)
{
	if (!kernel)
		return;
	g_hash_table_destroy(kernel->services);
	g_hash_table_destroy(kernel->counters);
	g_rand_free(kernel->rand);
	g_free(kernel->log_name);
	g_free(kernel);
}

void mt_kernel_provide(mt_kernel_t *kernel, const char *name, void *service)
{
	bool added =
		g_hash_table_insert(kernel->services, g_strdup(name), service);

	g_assert(added);
}

void *mt_kernel_find(const mt_kernel_t *kernel, const char *name)
{
	void *service = g_hash_table_lookup(kernel->services, name);

	if (!service)
		g_error("service %s is not registered", name);
	return service;
}

mt_timers_t *mt_kernel_timers(const mt_kernel_t *kernel)
{
	return kernel->timers;
}

mt_ms_t mt_kernel_now(const mt_kernel_t *kernel)
{
	return mt_timers_now(kernel->timers);
}

GRand *mt_kernel_rand(const mt_kernel_t *kernel)
{
	return kernel->rand;
}

mt_ms_t mt_kernel_jitter(const mt_kernel_t *kernel, mt_ms_t base)
{
	double factor = g_rand_double_range(kernel->rand, 0.75, 1.25);

	return MAX(1, (mt_ms_t)((double)base * factor));
}

uint64_t *mt_kernel_counter(mt_kernel_t *kernel, const char *name)
{
	uint64_t *value = g_hash_table_lookup(kernel->counters, name);

	if (!value) {
		value = g_new0(uint64_t, 1);
		g_hash_table_insert(kernel->counters, g_strdup(name), value);
	}
	return value;
}

void mt_kernel_count(mt_kernel_t *kernel, const char *format, ...)
{
	char name[256];
	va_list args;

	va_start(args, format);
	vsnprintf(name, sizeof(name), format, args);
	va_end(args);
	++*mt_kernel_counter(kernel, name);
}

void mt_kernel_observe(mt_kernel_t *kernel, const char *name, mt_ms_t ms)
{
	static const unsigned bucket_bounds_ms[] = {
		5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000, 30000};
	char *sum;

	for (size_t i = 0; i < G_N_ELEMENTS(bucket_bounds_ms); i++) {
		if (ms <= bucket_bounds_ms[i])
			mt_kernel_count(kernel, "%s_bucket{le=\"%u\"}", name,
					bucket_bounds_ms[i]);
	}
	mt_kernel_count(kernel, "%s_bucket{le=\"+Inf\"}", name);
	mt_kernel_count(kernel, "%s_count", name);
	sum = g_strdup_printf("%s_sum", name);
	*mt_kernel_counter(kernel, sum) += ms;
	g_free(sum);
}

static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

char *mt_kernel_metrics_text(const mt_kernel_t *kernel)
{
	GString *text = g_string_new(NULL);
	GList *names = g_hash_table_get_keys(kernel->counters);

	names = g_list_sort(names, compare_names);
	for (GList *item = names; item; item = item->next) {
		uint64_t *value =
			g_hash_table_lookup(kernel->counters, item->data);

		g_string_append_printf(text,
				       "mimosaturn_%s %" G_GUINT64_FORMAT "\n",
				       (char *)item->data, *value);
	}
	g_list_free(names);
	return g_string_free(text, FALSE);
}

void mt_kernel_set_level(mt_kernel_t *kernel, mt_log_level_t level)
{
	kernel->level = level;
}

static void write_log_line(const mt_kernel_t *kernel, mt_log_level_t level,
			   const char *component, const char *message)
{
	/* The index is the syslog severity, hence also "emerg" to "crit". */
	static const char *const level_names[] = {"emerg", "alert",   "crit",
						  "err",   "warning", "notice",
						  "info",  "debug"};
	char timestamp[32];
	time_t now = time(NULL);
	struct tm local;

	localtime_r(&now, &local);
	strftime(timestamp, sizeof(timestamp), "%b %e %H:%M:%S", &local);
	fprintf(stderr, "%s %s[%d]: %s: %s: %s\n", timestamp, kernel->log_name,
		(int)getpid(), level_names[level], component, message);
}

void mt_log(const mt_kernel_t *kernel, mt_log_level_t level,
	    const char *component, const char *format, ...)
{
	char message[512];
	va_list args;

	if (!kernel->sink && level > kernel->level)
		return;
	va_start(args, format);
	vsnprintf(message, sizeof(message), format, args);
	va_end(args);
	if (kernel->sink)
		kernel->sink(kernel->sink_ctx, level, component, message);
	else
		write_log_line(kernel, level, component, message);
}

void mt_kernel_set_sink(mt_kernel_t *kernel, mt_log_sink_cb cb, void *ctx)
{
	kernel->sink = cb;
	kernel->sink_ctx = ctx;
}

void mt_kernel_on_breach(mt_kernel_t *kernel, mt_breach_cb cb, void *ctx)
{
	kernel->on_breach = cb;
	kernel->breach_ctx = ctx;
}

bool mt_invariant(mt_kernel_t *kernel, bool holds, const char *invariant,
		  const char *format, ...)
{
	char detail[512];
	va_list args;

	if (holds)
		return true;
	va_start(args, format);
	vsnprintf(detail, sizeof(detail), format, args);
	va_end(args);
	mt_log(kernel, MT_LOG_ERR, "invariant", "%s violated: %s", invariant,
	       detail);
	mt_kernel_count(kernel, "invariant_breaches_total{invariant=\"%s\"}",
			invariant);
	if (kernel->on_breach)
		kernel->on_breach(kernel->breach_ctx, invariant, detail);
	return false;
}

void mt_kernel_enable_events(mt_kernel_t *kernel)
{
	kernel->events_enabled = true;
}

/**
 * Uses up one of the events that may be written in the current second.
 * @return false if none is left, or if writing to standard output would block
 */
static bool take_event_budget(mt_kernel_t *kernel)
{
	struct pollfd output = {STDOUT_FILENO, POLLOUT, 0};
	mt_ms_t current_second = mt_kernel_now(kernel) / 1000;

	if (current_second != kernel->events_second) {
		kernel->events_second = current_second;
		kernel->events_left = MT_EVENTS_PER_S;
	}
	if (!kernel->events_left)
		return false;
	kernel->events_left--;
	return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT);
}

void mt_kernel_event(mt_kernel_t *kernel, const char *event, const char *format,
		     ...)
{
	char line[1024];
	int len;
	va_list args;

	if (!kernel->events_enabled)
		return;
	if (!take_event_budget(kernel)) {
		mt_kernel_count(kernel, "events_dropped_total");
		return;
	}
	len = snprintf(line, sizeof(line),
		       "{\"event\":\"%s\",\"at_ms\":%" G_GINT64_FORMAT
		       ",\"clock_ms\":%" G_GUINT64_FORMAT ",",
		       event, g_get_real_time() / 1000, mt_kernel_now(kernel));
	/* Room is left for "}" and the line end. */
	va_start(args, format);
	len += vsnprintf(line + len, sizeof(line) - (size_t)len - 3, format,
			 args);
	va_end(args);
	len = MIN(len, (int)sizeof(line) - 3);
	line[len++] = '}';
	line[len++] = '\n';
	if (write(STDOUT_FILENO, line, (size_t)len) != len)
		mt_kernel_count(kernel, "events_dropped_total");
}
