/** @file refusals.c Refuses submissions so that the refusal stays true. */
#include "dag/refusals.h"

/** Maximum number of attempts to append; one fails if another record is
 * appended first. */
#define ATTEMPTS_MAX 6u

/** Maximum number of refusals in one append; the others wait for the next. */
#define GROUP_MAX 200u

/** Maximum number of cancellations of absent jobs in the table of jobs. */
#define STORED_MAX 10000u

#define APPEND_TIMEOUT_MS 1000u

/**
 * The store carries out an append at most this long after the host has given it
 * up.
 */
#define STORE_DELAY_MAX_MS 10000u

/**
 * A refusal whose record is not older than this is repeated without a new
 * record, which outlasts a submission that another host has just received.
 */
#define VALID_MS (MT_REFUSAL_KEEP_MS - MT_WRITER_EXPIRY_MS - STORE_DELAY_MAX_MS)
G_STATIC_ASSERT(MT_REFUSAL_KEEP_MS > MT_WRITER_EXPIRY_MS + STORE_DELAY_MAX_MS);

/** Time before the end of a record in which the leader may be deleting it. */
#define DELETION_MARGIN_MS 10000u

/** The record is not renewed when it is older than this. */
#define RENEW_MAX_MS (MT_REFUSAL_KEEP_MS - DELETION_MARGIN_MS)

/** A submission that is to be refused. */
typedef struct mt_refusal_t {
	uint64_t job;
	mt_refusal_cb cb;
	void *ctx;
} mt_refusal_t;

struct mt_refusals_t {
	mt_refusals_deps_t deps;
	mt_follower_t *follower;
	GArray *waiting;     /**< mt_refusal_t of the next round */
	GArray *round;	     /**< mt_refusal_t in progress */
	bool in_round;	     /**< a round is in progress */
	unsigned n_attempts; /**< of the present round */
	uint64_t epoch;	     /**< of the last append; each has its own */
};

static void begin_round(mt_refusals_t *refusals);

mt_refusals_t *mt_refusals_new(const mt_refusals_deps_t *deps)
{
	mt_refusals_t *refusals = g_new0(mt_refusals_t, 1);

	refusals->deps = *deps;
	refusals->waiting = g_array_new(FALSE, FALSE, sizeof(mt_refusal_t));
	refusals->round = g_array_new(FALSE, FALSE, sizeof(mt_refusal_t));
	return refusals;
}

void mt_refusals_free(mt_refusals_t *refusals)
{
	g_array_unref(refusals->waiting);
	g_array_unref(refusals->round);
	g_free(refusals);
}

void mt_refusals_set_follower(mt_refusals_t *refusals, mt_follower_t *follower)
{
	refusals->follower = follower;
}

static const mt_refusal_t *refusal_at(const GArray *refusals, guint index)
{
	return &g_array_index(refusals, mt_refusal_t, index);
}

/** Ends the round with the same result for all its refusals. */
static void end_round(mt_refusals_t *refusals, mt_refusal_result_t result)
{
	GArray *round = refusals->round;

	refusals->round = g_array_new(FALSE, FALSE, sizeof(mt_refusal_t));
	for (guint i = 0; i < round->len; i++)
		refusal_at(round, i)->cb(refusal_at(round, i)->ctx, result);
	g_array_unref(round);
	refusals->in_round = false;
	begin_round(refusals);
}

/** True if the record of the refusal is certainly not older than that. */
static bool is_recent(const mt_refusals_t *refusals, const mt_table_job_t *job,
		      mt_ms_t max_age_ms)
{
	return job->refused_after &&
	       mt_kernel_now(refusals->deps.kernel) - job->refused_after <=
		       max_age_ms;
}

bool mt_refusals_is_certain(const mt_refusals_t *refusals, uint64_t job)
{
	const mt_table_job_t *refused =
		mt_table_find_refused(refusals->deps.table, job);

	return refused && is_recent(refusals, refused, VALID_MS);
}

/**
 * Result for a job by this host's copy of the records, which is current.
 * @return false when the record of a refusal has to be stored
 */
static bool find_result(const mt_refusals_t *refusals, uint64_t id,
			mt_refusal_result_t *result)
{
	const mt_table_t *table = refusals->deps.table;
	const mt_table_job_t *refused = mt_table_find_refused(table, id);

	*result = MT_REFUSAL_UNCERTAIN;
	if (mt_refusals_is_certain(refusals, id))
		*result = MT_REFUSAL_REFUSED;
	else if (refused)
		return !is_recent(refusals, refused, RENEW_MAX_MS);
	else if (mt_table_find(table, id))
		*result = MT_REFUSAL_STORED;
	else if (!mt_table_is_absent_cancelled(table, id))
		return mt_table_n_absent_cancels(table) >= STORED_MAX;
	return true;
}

/** Answers the refusals of the round that need no record. */
static void answer_known(mt_refusals_t *refusals)
{
	GArray *round = refusals->round;
	GArray *left = g_array_new(FALSE, FALSE, sizeof(mt_refusal_t));
	GArray *known = g_array_new(FALSE, FALSE, sizeof(mt_refusal_t));
	GArray *results =
		g_array_new(FALSE, FALSE, sizeof(mt_refusal_result_t));

	for (guint i = 0; i < round->len; i++) {
		mt_refusal_t refusal = *refusal_at(round, i);
		mt_refusal_result_t result;

		if (!find_result(refusals, refusal.job, &result)) {
			g_array_append_val(left, refusal);
			continue;
		}
		g_array_append_val(known, refusal);
		g_array_append_val(results, result);
	}
	refusals->round = left;
	g_array_unref(round);
	for (guint i = 0; i < known->len; i++)
		refusal_at(known, i)->cb(
			refusal_at(known, i)->ctx,
			g_array_index(results, mt_refusal_result_t, i));
	g_array_unref(known);
	g_array_unref(results);
}

static void on_caught_up(void *ctx, bool current);

/** Reads up to the end of the topic, and tries to append there. */
static void attempt(mt_refusals_t *refusals)
{
	if (!refusals->follower || refusals->n_attempts++ >= ATTEMPTS_MAX) {
		end_round(refusals, MT_REFUSAL_UNCERTAIN);
		return;
	}
	mt_follower_catch_up(refusals->follower, on_caught_up, refusals);
}

static void on_appended(void *ctx, mt_store_result_t result, uint64_t offset)
{
	mt_refusals_t *refusals = ctx;

	(void)offset;
	if (result == MT_STORE_WRONG_OFFSET) {
		attempt(refusals);
		return;
	}
	if (result != MT_STORE_DONE)
		mt_log(refusals->deps.kernel, MT_LOG_WARNING, "refusals",
		       "%u refusals are not stored (store result %d)",
		       refusals->round->len, result);
	end_round(refusals, result == MT_STORE_DONE ? MT_REFUSAL_REFUSED
						    : MT_REFUSAL_UNCERTAIN);
}

/** Appends the records of the round if the topic ends at `end`. */
static void append_round(mt_refusals_t *refusals, uint64_t end)
{
	guint count = refusals->round->len;
	mt_record_key_t *keys = g_new0(mt_record_key_t, count);
	mt_store_record_t *records = g_new0(mt_store_record_t, count);
	mt_store_append_t append = {0};

	for (guint i = 0; i < count; i++) {
		keys[i] = mt_record_key(MT_RECORD_CANCEL,
					refusal_at(refusals->round, i)->job);
		records[i].key = mt_str_from(keys[i].text);
		records[i].value = MT_STR(MT_CANCEL_REFUSED);
	}
	append.topic = MT_RECORDS_TOPIC;
	append.records = records;
	append.count = count;
	append.expected_end = end;
	append.producer = refusals->deps.producer.text;
	append.epoch = ++refusals->epoch;
	append.timeout_ms = APPEND_TIMEOUT_MS;
	refusals->deps.store->append(refusals->deps.store->self, &append,
				     on_appended, refusals);
	g_free(records);
	g_free(keys);
}

static void on_caught_up(void *ctx, bool current)
{
	mt_refusals_t *refusals = ctx;

	if (!current || !refusals->follower) {
		end_round(refusals, MT_REFUSAL_UNCERTAIN);
		return;
	}
	answer_known(refusals);
	if (refusals->round->len)
		append_round(refusals, mt_follower_next(refusals->follower));
	else
		end_round(refusals, MT_REFUSAL_UNCERTAIN);
}

/** Begins the next round if submissions wait and none is in progress. */
static void begin_round(mt_refusals_t *refusals)
{
	guint count = MIN(refusals->waiting->len, GROUP_MAX);

	if (refusals->in_round || !count)
		return;
	refusals->in_round = true;
	g_array_append_vals(refusals->round, refusals->waiting->data, count);
	g_array_remove_range(refusals->waiting, 0, count);
	refusals->n_attempts = 0;
	attempt(refusals);
}

void mt_refusals_add(mt_refusals_t *refusals, uint64_t job, mt_refusal_cb cb,
		     void *ctx)
{
	mt_refusal_t refusal = {job, cb, ctx};

	g_array_append_val(refusals->waiting, refusal);
	begin_round(refusals);
}
