/**
 * @file test_kernel.c
 * Tests of lib/kernel, the base that all modules share: timers, names, numbers,
 * invariants and histograms.
 */
#include <CUnit/Basic.h>
#include <string.h>

#include "kernel/kernel.h"
#include "unit/tests.h"

static void append_x(void *ctx)
{
	GString *text = ctx;

	g_string_append_c(text, 'x');
}

static void timers_fire_once_unless_cancelled(void)
{
	mt_timers_t *timers = mt_timers_new(100);
	GString *text = g_string_new(NULL);
	uint64_t id = mt_timers_after(timers, 50, append_x, text);

	mt_timers_after(timers, 10, append_x, text);
	mt_timers_cancel(timers, id);
	mt_timers_advance(timers, 109);
	CU_ASSERT_EQUAL(text->len, 0);
	mt_timers_advance(timers, 300);
	CU_ASSERT_EQUAL(text->len, 1);
	CU_ASSERT_EQUAL(mt_timers_next(timers), MT_NEVER_MS);
	g_string_free(text, TRUE);
	mt_timers_free(timers);
}

static void a_periodic_timer_fires_once_for_missed_periods(void)
{
	mt_timers_t *timers = mt_timers_new(0);
	GString *text = g_string_new(NULL);

	mt_timers_every(timers, 100, append_x, text);
	mt_timers_advance(timers, 1000);
	CU_ASSERT_EQUAL(text->len, 1);
	mt_timers_advance(timers, 1100);
	CU_ASSERT_EQUAL(text->len, 2);
	g_string_free(text, TRUE);
	mt_timers_free(timers);
}

static void invalid_names_are_rejected(void)
{
	CU_ASSERT_TRUE(mt_name_is_valid(MT_STR("tunis-1")));
	CU_ASSERT_FALSE(mt_name_is_valid(MT_STR("")));
	CU_ASSERT_FALSE(mt_name_is_valid(MT_STR("Tunis")));
	CU_ASSERT_FALSE(mt_name_is_valid(MT_STR("-x")));
	CU_ASSERT_FALSE(mt_name_is_valid(MT_STR("a\0b")));
}

static void numbers_must_be_complete_and_in_range(void)
{
	uint64_t value;

	CU_ASSERT_TRUE(mt_str_to_u64(MT_STR("18446744073709551615"), &value));
	CU_ASSERT_EQUAL(value, UINT64_MAX);
	CU_ASSERT_FALSE(mt_str_to_u64(MT_STR("18446744073709551616"), &value));
	CU_ASSERT_FALSE(mt_str_to_u64(MT_STR("1x"), &value));
	CU_ASSERT_FALSE(mt_str_to_u64(MT_STR(""), &value));
}

static void append_breach(void *ctx, const char *invariant, const char *detail)
{
	(void)detail;
	g_string_append(ctx, invariant);
}

static void ignore_line(void *ctx, mt_log_level_t level, const char *service,
			const char *message)
{
	(void)ctx;
	(void)level;
	(void)service;
	(void)message;
}

static void breaches_are_counted_and_reported(void)
{
	mt_timers_t *timers = mt_timers_new(0);
	mt_kernel_t *kernel = mt_kernel_new("test", timers, 1);
	GString *reported = g_string_new(NULL);
	char *text;

	mt_kernel_set_sink(kernel, ignore_line, NULL);
	mt_kernel_on_breach(kernel, append_breach, reported);
	CU_ASSERT_TRUE(mt_invariant(kernel, true, "holds", "%s", ""));
	CU_ASSERT_FALSE(mt_invariant(kernel, false, "broken", "%d", 1));
	CU_ASSERT_STRING_EQUAL(reported->str, "broken");
	text = mt_kernel_metrics_text(kernel);
	CU_ASSERT_PTR_NOT_NULL(strstr(text,
				      "mimosaturn_invariant_breaches_total{"
				      "invariant=\"broken\"} 1\n"));
	g_free(text);
	g_string_free(reported, TRUE);
	mt_kernel_free(kernel);
	mt_timers_free(timers);
}

static mt_ms_t clock_at_500(void)
{
	return 500;
}

/** With a clock set, the time is current without mt_timers_advance(). */
static void a_clock_is_read_on_demand(void)
{
	mt_timers_t *timers = mt_timers_new(100);

	CU_ASSERT_EQUAL(mt_timers_now(timers), 100);
	mt_timers_set_clock(timers, clock_at_500);
	CU_ASSERT_EQUAL(mt_timers_now(timers), 500);
	mt_timers_after(timers, 10, append_x, NULL);
	CU_ASSERT_EQUAL(mt_timers_next(timers), 510);
	mt_timers_free(timers);
}

static void histograms_count_durations_per_bucket(void)
{
	mt_timers_t *timers = mt_timers_new(1);
	mt_kernel_t *kernel = mt_kernel_new("test", timers, 1);

	mt_kernel_observe(kernel, "wait_ms", 30);
	mt_kernel_observe(kernel, "wait_ms", 40000);
	CU_ASSERT_EQUAL(*mt_kernel_counter(kernel, "wait_ms_count"), 2);
	CU_ASSERT_EQUAL(*mt_kernel_counter(kernel, "wait_ms_sum"), 40030);
	CU_ASSERT_EQUAL(*mt_kernel_counter(kernel, "wait_ms_bucket{le=\"25\"}"),
			0);
	CU_ASSERT_EQUAL(*mt_kernel_counter(kernel, "wait_ms_bucket{le=\"50\"}"),
			1);
	CU_ASSERT_EQUAL(
		*mt_kernel_counter(kernel, "wait_ms_bucket{le=\"+Inf\"}"), 2);
	mt_kernel_free(kernel);
	mt_timers_free(timers);
}

const mt_test_t mt_kernel_tests[] = {
	{"timers fire once unless cancelled",
	 timers_fire_once_unless_cancelled},
	{"a periodic timer fires once for missed periods",
	 a_periodic_timer_fires_once_for_missed_periods},
	{"invalid names are rejected", invalid_names_are_rejected},
	{"numbers must be complete and in range",
	 numbers_must_be_complete_and_in_range},
	{"a clock is read on demand", a_clock_is_read_on_demand},
	{"histograms count durations per bucket",
	 histograms_count_durations_per_bucket},
	{"breaches are counted and reported",
	 breaches_are_counted_and_reported},
	{NULL, NULL},
};
