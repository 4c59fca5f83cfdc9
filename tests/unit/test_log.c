/**
 * @file test_log.c
 * Tests of the log's writer, which never waits for its output, and of the
 * bounds of its volume (review/12: a host stood still for good as nobody read
 * its log).
 */
#include <CUnit/Basic.h>
#include <errno.h>
#include <string.h>

#include "kernel/log_limit.h"
#include "kernel/log_writer.h"
#include "unit/tests.h"

/** An output that accepts so many bytes and then reports an error. */
typedef struct mt_fake_output_t {
	GString *text;
	size_t room;
	int error;
} mt_fake_output_t;

static gssize write_some(void *self, const char *data, size_t len)
{
	mt_fake_output_t *output = self;
	size_t n = MIN(len, output->room);

	if (!n) {
		errno = output->error;
		return -1;
	}
	output->room -= n;
	g_string_append_len(output->text, data, (gssize)n);
	return (gssize)n;
}

static void describe(void *self, const mt_log_drops_t *drops, GString *line)
{
	g_string_append_printf(line,
			       "left out: %" G_GUINT64_FORMAT
			       " full, %" G_GUINT64_FORMAT " closed\n",
			       drops->n[MT_LOG_DROP_FULL],
			       drops->n[MT_LOG_DROP_CLOSED]);
}

static void open_output(mt_fake_output_t *output, mt_log_writer_t *writer)
{
	mt_line_port_t port = {output, write_some, describe};

	*output = (mt_fake_output_t){g_string_new(NULL), 0, EAGAIN};
	mt_log_writer_init(writer, &port);
}

/** What an output that is full leaves out is told before the next line. */
static void a_full_output_is_told_what_was_left_out(void)
{
	mt_fake_output_t output;
	mt_log_writer_t writer;

	open_output(&output, &writer);
	CU_ASSERT_EQUAL(mt_log_writer_write(&writer, MT_STR("a\n")),
			MT_LOG_DROP_FULL);
	CU_ASSERT_EQUAL(mt_log_writer_write(&writer, MT_STR("b\n")),
			MT_LOG_DROP_FULL);
	output.room = 100;
	CU_ASSERT_EQUAL(mt_log_writer_write(&writer, MT_STR("c\n")),
			MT_LOG_DROP_NONE);
	CU_ASSERT_STRING_EQUAL(output.text->str,
			       "left out: 2 full, 0 closed\nc\n");
	CU_ASSERT_TRUE(mt_log_writer_settle(&writer));
	CU_ASSERT_STRING_EQUAL(output.text->str,
			       "left out: 2 full, 0 closed\nc\n");
	g_string_free(output.text, TRUE);
}

/** A line of which only a part was accepted is ended before the next begins. */
static void a_line_written_in_part_is_ended_first(void)
{
	mt_fake_output_t output;
	mt_log_writer_t writer;

	open_output(&output, &writer);
	output.room = 3;
	CU_ASSERT_EQUAL(mt_log_writer_write(&writer, MT_STR("first\n")),
			MT_LOG_DROP_NONE);
	CU_ASSERT_EQUAL(mt_log_writer_write(&writer, MT_STR("second\n")),
			MT_LOG_DROP_FULL);
	output.room = 1;
	CU_ASSERT_FALSE(mt_log_writer_settle(&writer));
	output.room = 100;
	CU_ASSERT_TRUE(mt_log_writer_settle(&writer));
	CU_ASSERT_STRING_EQUAL(output.text->str,
			       "first\nleft out: 1 full, 0 closed\n");
	g_string_free(output.text, TRUE);
}

/** A reader that has ended costs lines, and nothing else. */
static void an_output_without_a_reader_is_tried_again(void)
{
	mt_fake_output_t output;
	mt_log_writer_t writer;

	open_output(&output, &writer);
	output.error = EPIPE;
	CU_ASSERT_EQUAL(mt_log_writer_write(&writer, MT_STR("a\n")),
			MT_LOG_DROP_CLOSED);
	CU_ASSERT_FALSE(mt_log_writer_settle(&writer));
	output.room = 100;
	CU_ASSERT_TRUE(mt_log_writer_settle(&writer));
	CU_ASSERT_STRING_EQUAL(output.text->str,
			       "left out: 0 full, 1 closed\n");
	g_string_free(output.text, TRUE);
}

/** Errors are written while other messages have used up their share. */
static void errors_keep_a_share_of_their_own(void)
{
	mt_log_limit_t *limit = mt_log_limit_new();
	unsigned n = 0;

	while (n < 10000 &&
	       mt_log_limit_take(limit, MT_LOG_SHARE_MESSAGES, 5000))
		n++;
	CU_ASSERT_EQUAL(n, MT_LOG_MESSAGES_PER_S);
	CU_ASSERT_FALSE(mt_log_limit_take(limit, MT_LOG_SHARE_MESSAGES, 5999));
	CU_ASSERT_TRUE(mt_log_limit_take(limit, MT_LOG_SHARE_ERRORS, 5999));
	CU_ASSERT_TRUE(mt_log_limit_take(limit, MT_LOG_SHARE_EVENTS, 5999));
	CU_ASSERT_TRUE(mt_log_limit_take(limit, MT_LOG_SHARE_MESSAGES, 6000));
	mt_log_limit_free(limit);
}

static void append_summary(void *ctx, int level, const char *component,
			   unsigned n, const char *last)
{
	g_string_append_printf(ctx, "%d %s %u %s;", level, component, n, last);
}

/** A warning that comes again and again is summed up once in a window. */
static void repeated_messages_are_summed_up(void)
{
	mt_log_limit_t *limit = mt_log_limit_new();
	GString *text = g_string_new(NULL);
	unsigned n_written = 0;

	for (unsigned i = 0; i < 1000; i++)
		n_written += mt_log_limit_note(limit, "odd %u", 4, "directory",
					       i == 999 ? "odd 999" : "odd",
					       1000 + i);
	CU_ASSERT_EQUAL(n_written, MT_LOG_REPEATS_MAX);
	CU_ASSERT_TRUE(mt_log_limit_note(limit, "other", 3, "x", "y", 1999));
	CU_ASSERT_EQUAL(mt_log_limit_sum_up(limit, 2000, append_summary, text),
			1000 + MT_LOG_REPEAT_WINDOW_MS);
	CU_ASSERT_EQUAL(text->len, 0);
	CU_ASSERT_EQUAL(mt_log_limit_sum_up(limit,
					    1000 + MT_LOG_REPEAT_WINDOW_MS,
					    append_summary, text),
			MT_NEVER_MS);
	CU_ASSERT_STRING_EQUAL(text->str, "4 directory 995 odd 999;");
	CU_ASSERT_TRUE(mt_log_limit_note(limit, "odd %u", 4, "directory", "odd",
					 20000));
	g_string_free(text, TRUE);
	mt_log_limit_free(limit);
}

const mt_test_t mt_log_tests[] = {
	{"a full output is told what was left out",
	 a_full_output_is_told_what_was_left_out},
	{"a line written in part is ended first",
	 a_line_written_in_part_is_ended_first},
	{"an output without a reader is tried again",
	 an_output_without_a_reader_is_tried_again},
	{"errors keep a share of their own", errors_keep_a_share_of_their_own},
	{"repeated messages are summed up", repeated_messages_are_summed_up},
	{NULL, NULL},
};
