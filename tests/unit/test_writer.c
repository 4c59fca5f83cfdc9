/**
 * @file test_writer.c
 * Tests of the writer of lib/dag. The store is a fake that keeps the last
 * append until the test answers it.
 */
#include <CUnit/Basic.h>

#include "dag/writer.h"
#include "unit/tests.h"

/** Longer than the writer's time until a group expires. */
#define LONG_OUTAGE_MS 31000u

typedef struct mt_writer_fixture_t {
	mt_timers_t *timers;
	mt_kernel_t *kernel;
	mt_store_port_t port;
	mt_writer_t *writer;
	/* The last append. */
	GString *keys; /**< with a space after each */
	uint64_t epoch;
	uint64_t sequence;
	mt_store_append_cb cb;
	void *ctx;
	/** Outcome of the submission; -1: none yet. */
	int outcome;
} mt_writer_fixture_t;

static void keep_append(void *self, const mt_store_append_t *append,
			mt_store_append_cb cb, void *ctx)
{
	mt_writer_fixture_t *fixture = self;

	fixture->epoch = append->epoch;
	fixture->sequence = append->sequence;
	fixture->cb = cb;
	fixture->ctx = ctx;
	g_string_truncate(fixture->keys, 0);
	for (size_t i = 0; i < append->count; i++)
		g_string_append_printf(fixture->keys, "%.*s ",
				       (int)append->records[i].key.len,
				       append->records[i].key.data);
}

static void set_up(mt_writer_fixture_t *fixture)
{
	mt_writer_deps_t deps = {0};

	*fixture = (mt_writer_fixture_t){0};
	fixture->outcome = -1;
	fixture->timers = mt_timers_new(1000);
	fixture->kernel = mt_kernel_new("test", fixture->timers, 1);
	fixture->keys = g_string_new(NULL);
	fixture->port =
		(mt_store_port_t){fixture, keep_append, NULL, NULL, 0, 0};
	deps.kernel = fixture->kernel;
	deps.store = &fixture->port;
	deps.topic = "topic";
	deps.producer = "test";
	deps.epoch = 1;
	fixture->writer = mt_writer_new(&deps);
}

static void answer(mt_writer_fixture_t *fixture, mt_store_result_t result)
{
	fixture->cb(fixture->ctx, result, 0);
}

static void tear_down(mt_writer_fixture_t *fixture)
{
	mt_writer_close(fixture->writer);
	answer(fixture, MT_STORE_DONE);
	g_string_free(fixture->keys, TRUE);
	mt_kernel_free(fixture->kernel);
	mt_timers_free(fixture->timers);
}

static void keep_outcome(void *ctx, mt_store_result_t result)
{
	mt_writer_fixture_t *fixture = ctx;

	fixture->outcome = result;
}

static void add(mt_writer_fixture_t *fixture, const char *key,
		mt_writer_policy_t policy, mt_writer_cb cb)
{
	mt_writer_add(fixture->writer, mt_str_from(key), MT_STR("1"));
	mt_writer_commit(fixture->writer, policy, cb, fixture);
}

/**
 * Guards against: a submission is stored long after its client got no answer,
 * when the cancellation of the unknown job has been deleted (UNASKED).
 */
static void a_submission_without_an_outcome_is_given_up(void)
{
	mt_writer_fixture_t fixture;

	set_up(&fixture);
	add(&fixture, "job", MT_WRITER_EXPIRES, keep_outcome);
	answer(&fixture, MT_STORE_UNKNOWN);
	add(&fixture, "cancel", MT_WRITER_REPORTS_REFUSAL, NULL);
	CU_ASSERT_STRING_EQUAL(fixture.keys->str, "job ");
	mt_timers_advance(fixture.timers, 1000 + LONG_OUTAGE_MS);
	answer(&fixture, MT_STORE_UNKNOWN);
	CU_ASSERT_EQUAL(fixture.outcome, MT_STORE_UNKNOWN);
	/* The next epoch excludes the append that may still be carried out. */
	CU_ASSERT_STRING_EQUAL(fixture.keys->str, "cancel ");
	CU_ASSERT_EQUAL(fixture.epoch, 2);
	CU_ASSERT_EQUAL(fixture.sequence, 0);
	tear_down(&fixture);
}

/** Other groups of the same batch are written again. */
static void a_cancellation_beside_an_expired_submission_is_kept(void)
{
	mt_writer_fixture_t fixture;

	set_up(&fixture);
	add(&fixture, "first", MT_WRITER_REPORTS_REFUSAL, NULL);
	add(&fixture, "cancel", MT_WRITER_REPORTS_REFUSAL, NULL);
	add(&fixture, "job", MT_WRITER_EXPIRES, keep_outcome);
	answer(&fixture, MT_STORE_DONE);
	CU_ASSERT_STRING_EQUAL(fixture.keys->str, "cancel job ");
	answer(&fixture, MT_STORE_UNKNOWN);
	mt_timers_advance(fixture.timers, 1000 + LONG_OUTAGE_MS);
	answer(&fixture, MT_STORE_UNKNOWN);
	CU_ASSERT_EQUAL(fixture.outcome, MT_STORE_UNKNOWN);
	CU_ASSERT_STRING_EQUAL(fixture.keys->str, "cancel ");
	CU_ASSERT_EQUAL(fixture.epoch, 2);
	tear_down(&fixture);
}

/** A batch is repeated unchanged as long as none of its groups has expired. */
static void a_batch_without_an_outcome_is_repeated(void)
{
	mt_writer_fixture_t fixture;

	set_up(&fixture);
	add(&fixture, "job", MT_WRITER_EXPIRES, keep_outcome);
	answer(&fixture, MT_STORE_UNKNOWN);
	mt_timers_advance(fixture.timers, 11000);
	answer(&fixture, MT_STORE_UNKNOWN);
	CU_ASSERT_STRING_EQUAL(fixture.keys->str, "job ");
	CU_ASSERT_EQUAL(fixture.epoch, 1);
	CU_ASSERT_EQUAL(fixture.sequence, 0);
	answer(&fixture, MT_STORE_DONE);
	CU_ASSERT_EQUAL(fixture.outcome, MT_STORE_DONE);
	add(&fixture, "next", MT_WRITER_EXPIRES, NULL);
	CU_ASSERT_EQUAL(fixture.sequence, 1);
	tear_down(&fixture);
}

/**
 * Guards against: after an outage all that waits is written in one append,
 * which is larger than the store accepts and is repeated for ever (LOST).
 */
static void a_batch_is_not_larger_than_the_store_takes(void)
{
	mt_writer_fixture_t fixture;

	set_up(&fixture);
	fixture.port.append_max_bytes =
		2 * mt_store_record_size(MT_STR("job-1"), MT_STR("1"));
	add(&fixture, "first", MT_WRITER_ALWAYS_RETRIES, NULL);
	add(&fixture, "job-1", MT_WRITER_ALWAYS_RETRIES, NULL);
	add(&fixture, "job-2", MT_WRITER_ALWAYS_RETRIES, NULL);
	add(&fixture, "job-3", MT_WRITER_ALWAYS_RETRIES, NULL);
	answer(&fixture, MT_STORE_DONE);
	CU_ASSERT_STRING_EQUAL(fixture.keys->str, "job-1 job-2 ");
	answer(&fixture, MT_STORE_DONE);
	CU_ASSERT_STRING_EQUAL(fixture.keys->str, "job-3 ");
	tear_down(&fixture);
}

const mt_test_t mt_writer_tests[] = {
	{"a batch is not larger than the store takes",
	 a_batch_is_not_larger_than_the_store_takes},
	{"a submission without an outcome is given up",
	 a_submission_without_an_outcome_is_given_up},
	{"a cancellation beside an expired submission is kept",
	 a_cancellation_beside_an_expired_submission_is_kept},
	{"a batch without an outcome is repeated",
	 a_batch_without_an_outcome_is_repeated},
	{NULL, NULL},
};
