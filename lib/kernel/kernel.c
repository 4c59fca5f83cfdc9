/** @file kernel.c Service registry, metrics and invariants. */
#include "kernel/kernel_internal.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

mt_kernel_t *mt_kernel_new(const char *log_name, mt_timers_t *timers,
			   guint32 seed)
{
	mt_kernel_t *kernel = g_new0(mt_kernel_t, 1);

	kernel->timers = timers;
	kernel->rand = g_rand_new_with_seed(seed);
	kernel->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	kernel->counters =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	kernel->log = mt_kernel_log_new(log_name, timers);
	return kernel;
}

void mt_kernel_free(mt_kernel_t *kernel)
{
	if (!kernel)
		return;
	mt_kernel_log_free(kernel->log);
	g_hash_table_destroy(kernel->services);
	g_hash_table_destroy(kernel->counters);
	g_rand_free(kernel->rand);
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
	char *name;
	va_list args;

	va_start(args, format);
	name = g_strdup_vprintf(format, args);
	va_end(args);
	++*mt_kernel_counter(kernel, name);
	g_free(name);
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
	mt_log_output_append_metrics(text);
	return g_string_free(text, FALSE);
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
	mt_kernel_log_message(kernel->log, MT_LOG_ERR, "invariant", invariant,
			      "%s violated: %s", invariant, detail);
	mt_kernel_count(kernel, "invariant_breaches_total{invariant=\"%s\"}",
			invariant);
	if (kernel->on_breach)
		kernel->on_breach(kernel->breach_ctx, invariant, detail);
	return false;
}
