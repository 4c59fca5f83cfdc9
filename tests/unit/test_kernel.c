/** @file test_kernel.c Tests of the kernel package. */
#include <CUnit/Basic.h>
#include <string.h>

#include "kernel/kernel.h"
#include "unit/tests.h"

static void append_letter(void *ctx)
{
	GString *text = ctx;

	g_string_append_c(text, 'x');
}

static void timers_run_in_order_and_once(void)
{
	mt_timers_t *timers = mt_timers_new(100);
	GString *text = g_string_new(NULL);
	uint64_t id = mt_timers_after(timers, 50, append_letter, text);

	mt_timers_after(timers, 10, append_letter, text);
	mt_timers_cancel(timers, id);
	mt_timers_advance(timers, 109);
	CU_ASSERT_EQUAL(text->len, 0);
	mt_timers_advance(timers, 300);
	CU_ASSERT_EQUAL(text->len, 1);
	CU_ASSERT_EQUAL(mt_timers_next(timers), MT_NEVER_MS);
	g_string_free(text, TRUE);
	mt_timers_free(timers);
}

static void timers_replace_missed_periods_by_one(void)
{
	mt_timers_t *timers = mt_timers_new(0);
	GString *text = g_string_new(NULL);

	mt_timers_every(timers, 100, append_letter, text);
	mt_timers_advance(timers, 1000);
	CU_ASSERT_EQUAL(text->len, 1);
	mt_timers_advance(timers, 1100);
	CU_ASSERT_EQUAL(text->len, 2);
	g_string_free(text, TRUE);
	mt_timers_free(timers);
}

static void names_are_checked(void)
{
	CU_ASSERT_TRUE(mt_name_is_valid(MT_STR("tunis-1")));
	CU_ASSERT_FALSE(mt_name_is_valid(MT_STR("")));
	CU_ASSERT_FALSE(mt_name_is_valid(MT_STR("Tunis")));
	CU_ASSERT_FALSE(mt_name_is_valid(MT_STR("-x")));
	CU_ASSERT_FALSE(mt_name_is_valid(MT_STR("a\0b")));
}

static void numbers_are_read_whole(void)
{
	uint64_t value;

	CU_ASSERT_TRUE(mt_str_to_u64(MT_STR("18446744073709551615"), &value));
	CU_ASSERT_EQUAL(value, UINT64_MAX);
	CU_ASSERT_FALSE(mt_str_to_u64(MT_STR("18446744073709551616"), &value));
	CU_ASSERT_FALSE(mt_str_to_u64(MT_STR("1x"), &value));
	CU_ASSERT_FALSE(mt_str_to_u64(MT_STR(""), &value));
}

static void note_breach(void *ctx, const char *invariant, const char *detail)
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

static void breaches_are_counted_and_told(void)
{
	mt_timers_t *timers = mt_timers_new(0);
	mt_kernel_t *kernel = mt_kernel_new("test", timers, 1);
	GString *told = g_string_new(NULL);
	char *text;

	mt_kernel_set_sink(kernel, ignore_line, NULL);
	mt_kernel_on_breach(kernel, note_breach, told);
	CU_ASSERT_TRUE(mt_invariant(kernel, true, "holds", "%s", ""));
	CU_ASSERT_FALSE(mt_invariant(kernel, false, "broken", "%d", 1));
	CU_ASSERT_STRING_EQUAL(told->str, "broken");
	text = mt_kernel_metrics_text(kernel);
	CU_ASSERT_PTR_NOT_NULL(strstr(text,
				      "mimosaturn_invariant_breaches_total{"
				      "invariant=\"broken\"} 1\n"));
	g_free(text);
	g_string_free(told, TRUE);
	mt_kernel_free(kernel);
	mt_timers_free(timers);
}

static mt_ms_t read_later(void)
{
	return 500;
}

static void a_clock_is_read_between_two_turns(void)
{
	mt_timers_t *timers = mt_timers_new(100);

	CU_ASSERT_EQUAL(mt_timers_now(timers), 100);
	mt_timers_set_clock(timers, read_later);
	CU_ASSERT_EQUAL(mt_timers_now(timers), 500);
	mt_timers_after(timers, 10, append_letter, NULL);
	CU_ASSERT_EQUAL(mt_timers_next(timers), 510);
	mt_timers_free(timers);
}

static void histograms_count_durations(void)
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
	{"timers run in order and once", timers_run_in_order_and_once},
	{"timers replace missed periods by one",
	 timers_replace_missed_periods_by_one},
	{"names are checked", names_are_checked},
	{"numbers are read whole", numbers_are_read_whole},
	{"a clock is read between two turns",
	 a_clock_is_read_between_two_turns},
	{"histograms count durations", histograms_count_durations},
	{"breaches are counted and told", breaches_are_counted_and_told},
	{NULL, NULL},
};
