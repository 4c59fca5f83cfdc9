/** @file writer.c Ordered, idempotent appends to one topic. */
#include "dag/writer.h"

#include <string.h>

/**
 * Timeout of an append. After each append without an answer it is doubled, from
 * the minimum up to the maximum.
 */
#define APPEND_TIMEOUT_MIN_MS 500u
#define APPEND_TIMEOUT_MAX_MS 2000u

/** Delay before a refused batch is sent again. */
#define REFUSED_RETRY_MS 100u

/** Maximum number of records in a batch, unless a single group has more. */
#define BATCH_MAX_RECORDS 400u

/**
 * A group that does not always retry is sent again after each of its first
 * REFUSALS_MAX refusals. After the next refusal it is reported as refused.
 */
#define REFUSALS_MAX 2u

/** Records that are written in the same append, see writer.h. */
typedef struct mt_group_t {
	GPtrArray *keys_and_values; /**< GBytes, alternately key and value */
	size_t size; /**< sum of mt_store_record_size() of its records */
	mt_writer_policy_t policy;
	mt_ms_t committed_at;
	unsigned n_refusals; /**< number of times it was refused */
	mt_writer_cb cb;
	void *ctx;
} mt_group_t;

struct mt_writer_t {
	mt_writer_deps_t deps;
	char *topic;
	char *producer;
	GQueue *groups;		   /**< mt_group_t, oldest first */
	mt_group_t *current_group; /**< not committed yet, or NULL */
	/** Number of groups in the present batch: the first of `groups`. */
	unsigned n_batch_groups;
	bool in_flight;	    /**< an append has no answer yet */
	bool maybe_written; /**< an append of this batch got no answer */
	/** Local time of the first failed append since the last success; 0: the
	 * last append succeeded. */
	mt_ms_t failing_since;
	bool closed;
	uint64_t sequence; /**< number of the present batch */
	mt_ms_t append_timeout_ms;
	uint64_t timer; /**< delays the next append; 0: not set */
};

static void send_next(mt_writer_t *writer);

mt_writer_t *mt_writer_new(const mt_writer_deps_t *deps)
{
	mt_writer_t *writer = g_new0(mt_writer_t, 1);

	writer->deps = *deps;
	writer->topic = g_strdup(deps->topic);
	writer->producer = g_strdup(deps->producer);
	writer->groups = g_queue_new();
	writer->sequence = deps->first_sequence;
	writer->append_timeout_ms = APPEND_TIMEOUT_MIN_MS;
	return writer;
}

static void free_group(mt_group_t *group)
{
	g_ptr_array_unref(group->keys_and_values);
	g_free(group);
}

static void free_writer(mt_writer_t *writer)
{
	mt_timers_cancel(mt_kernel_timers(writer->deps.kernel), writer->timer);
	g_queue_free_full(writer->groups, (GDestroyNotify)free_group);
	if (writer->current_group)
		free_group(writer->current_group);
	g_free(writer->topic);
	g_free(writer->producer);
	g_free(writer);
}

void mt_writer_close(mt_writer_t *writer)
{
	writer->closed = true;
	if (!writer->in_flight)
		free_writer(writer);
}

/** Removes the group at the head and reports its outcome. */
static void finish_group(mt_writer_t *writer, mt_store_result_t result)
{
	mt_group_t *group = g_queue_pop_head(writer->groups);

	if (group->cb)
		group->cb(group->ctx, result);
	free_group(group);
}

static void on_retry(void *ctx)
{
	mt_writer_t *writer = ctx;

	writer->timer = 0;
	send_next(writer);
}

static void retry_later(mt_writer_t *writer)
{
	const mt_kernel_t *kernel = writer->deps.kernel;

	if (!writer->timer)
		writer->timer = mt_timers_after(
			mt_kernel_timers(kernel),
			mt_kernel_jitter(kernel, REFUSED_RETRY_MS), on_retry,
			writer);
}

static void mark_failing(mt_writer_t *writer)
{
	if (!writer->failing_since)
		writer->failing_since = mt_kernel_now(writer->deps.kernel);
}

static void on_done(mt_writer_t *writer)
{
	unsigned n_batch_groups = writer->n_batch_groups;

	writer->sequence++;
	writer->n_batch_groups = 0;
	writer->maybe_written = false;
	writer->failing_since = 0;
	writer->append_timeout_ms = APPEND_TIMEOUT_MIN_MS;
	while (n_batch_groups-- && !writer->closed)
		finish_group(writer, MT_STORE_DONE);
}

/**
 * Handles a refusal by the store. If an earlier append may have written the
 * batch, it is sent again unchanged. Otherwise each of its groups is kept for a
 * retry or reported as refused.
 */
static void on_refused(mt_writer_t *writer)
{
	unsigned n_batch_groups = writer->n_batch_groups;
	GQueue *kept = g_queue_new();

	mark_failing(writer);
	if (writer->maybe_written) {
		retry_later(writer);
		g_queue_free(kept);
		return;
	}
	writer->n_batch_groups = 0;
	while (n_batch_groups--) {
		mt_group_t *group = g_queue_peek_head(writer->groups);

		if (group->policy == MT_WRITER_ALWAYS_RETRIES ||
		    ++group->n_refusals <= REFUSALS_MAX) {
			g_queue_push_tail(kept,
					  g_queue_pop_head(writer->groups));
			continue;
		}
		finish_group(writer, MT_STORE_REFUSED);
	}
	while (!g_queue_is_empty(kept))
		g_queue_push_head(writer->groups, g_queue_pop_tail(kept));
	g_queue_free(kept);
	retry_later(writer);
}

/** Reports all pending groups as fenced. */
static void on_fenced(mt_writer_t *writer)
{
	writer->n_batch_groups = 0;
	while (!writer->closed && !g_queue_is_empty(writer->groups))
		finish_group(writer, MT_STORE_FENCED);
}

static bool is_expired(const mt_writer_t *writer, const mt_group_t *group)
{
	return group->policy == MT_WRITER_EXPIRES &&
	       mt_kernel_now(writer->deps.kernel) - group->committed_at >=
		       MT_WRITER_EXPIRY_MS;
}

/** Removes the expired groups and reports them. */
static void finish_expired(mt_writer_t *writer, mt_store_result_t result)
{
	GQueue *kept = g_queue_new();

	while (!writer->closed && !g_queue_is_empty(writer->groups)) {
		if (is_expired(writer, g_queue_peek_head(writer->groups)))
			finish_group(writer, result);
		else
			g_queue_push_tail(kept,
					  g_queue_pop_head(writer->groups));
	}
	while (!g_queue_is_empty(kept))
		g_queue_push_head(writer->groups, g_queue_pop_tail(kept));
	g_queue_free(kept);
}

/**
 * Gives up expired groups. Groups are committed in the order of their age, so
 * that there is one if the oldest that can expire has expired. If the present
 * batch may have been written, its other groups are written again under the
 * next epoch; from its first append on, the store rejects the old batch.
 */
static void give_up_expired(mt_writer_t *writer)
{
	bool any = false;

	for (const GList *at = writer->groups->head; at && !any; at = at->next)
		any = is_expired(writer, at->data);
	if (!any)
		return;
	mt_log(writer->deps.kernel, MT_LOG_WARNING, "writer",
	       "producer %s: giving up writes without an outcome for %u s",
	       writer->producer, MT_WRITER_EXPIRY_MS / 1000);
	if (writer->maybe_written) {
		writer->deps.epoch++;
		writer->sequence = writer->deps.first_sequence;
		writer->maybe_written = false;
	}
	writer->n_batch_groups = 0;
	finish_expired(writer, MT_STORE_UNKNOWN);
}

static void on_answer(void *ctx, mt_store_result_t result, uint64_t offset)
{
	mt_writer_t *writer = ctx;

	writer->in_flight = false;
	if (writer->closed) {
		free_writer(writer);
		return;
	}
	/* A callback may call mt_writer_close(), which does not free the writer
	 * while in_flight is set. */
	writer->in_flight = true;
	switch (result) {
	case MT_STORE_DONE:
		on_done(writer);
		break;
	case MT_STORE_REFUSED:
		on_refused(writer);
		break;
	case MT_STORE_FENCED:
	case MT_STORE_OUT_OF_SEQUENCE:
	case MT_STORE_WRONG_OFFSET:
		mt_log(writer->deps.kernel, MT_LOG_WARNING, "writer",
		       "producer %s epoch %" G_GUINT64_FORMAT
		       " sequence %" G_GUINT64_FORMAT
		       ": append rejected as fenced or out of sequence "
		       "(store result %d); pending writes are given up",
		       writer->producer, writer->deps.epoch, writer->sequence,
		       result);
		on_fenced(writer);
		break;
	default:
		writer->maybe_written = true;
		mark_failing(writer);
		writer->append_timeout_ms = MIN(writer->append_timeout_ms * 2,
						APPEND_TIMEOUT_MAX_MS);
		break;
	}
	if (!writer->closed)
		give_up_expired(writer);
	writer->in_flight = false;
	if (writer->closed)
		free_writer(writer);
	else if (!writer->timer)
		send_next(writer);
}

/**
 * Number of groups in the next batch. A batch that may have been written is
 * sent again unchanged, so that the store recognizes the repetition.
 */
static unsigned choose_n_batch_groups(const mt_writer_t *writer)
{
	size_t max_bytes = writer->deps.store->append_max_bytes;
	unsigned n_groups = 0;
	unsigned n_records = 0;
	size_t size = 0;

	if (writer->maybe_written)
		return writer->n_batch_groups;
	for (const GList *at = writer->groups->head; at; at = at->next) {
		const mt_group_t *group = at->data;

		n_records += group->keys_and_values->len / 2;
		size += group->size;
		if (n_groups && (n_records > BATCH_MAX_RECORDS ||
				 (max_bytes && size > max_bytes)))
			break;
		n_groups++;
	}
	return n_groups;
}

static mt_str_t key_or_value_at(const mt_group_t *group, guint index)
{
	gsize len;
	const char *data =
		g_bytes_get_data(group->keys_and_values->pdata[index], &len);

	return (mt_str_t){data, len};
}

static void send_next(mt_writer_t *writer)
{
	mt_store_append_t append = {0};
	GArray *records;
	const GList *at = writer->groups->head;

	if (writer->in_flight || writer->closed || !at)
		return;
	writer->n_batch_groups = choose_n_batch_groups(writer);
	records = g_array_new(FALSE, TRUE, sizeof(mt_store_record_t));
	for (unsigned i = 0; i < writer->n_batch_groups; i++, at = at->next) {
		const mt_group_t *group = at->data;

		for (guint k = 0; k < group->keys_and_values->len; k += 2) {
			mt_store_record_t record = {
				key_or_value_at(group, k),
				key_or_value_at(group, k + 1), 0};

			g_array_append_val(records, record);
		}
	}
	append.topic = writer->topic;
	append.records = (const mt_store_record_t *)records->data;
	append.count = records->len;
	append.expected_end = MT_STORE_ANY_OFFSET;
	append.producer = writer->producer;
	append.epoch = writer->deps.epoch;
	append.sequence = writer->sequence;
	append.timeout_ms = writer->append_timeout_ms;
	writer->in_flight = true;
	writer->deps.store->append(writer->deps.store->self, &append, on_answer,
				   writer);
	g_array_unref(records);
}

void mt_writer_add(mt_writer_t *writer, mt_str_t key, mt_str_t value)
{
	if (!writer->current_group) {
		writer->current_group = g_new0(mt_group_t, 1);
		writer->current_group->keys_and_values =
			g_ptr_array_new_with_free_func(
				(GDestroyNotify)g_bytes_unref);
	}
	writer->current_group->size += mt_store_record_size(key, value);
	g_ptr_array_add(writer->current_group->keys_and_values,
			g_bytes_new(key.data, key.len));
	g_ptr_array_add(writer->current_group->keys_and_values,
			g_bytes_new(value.data, value.len));
}

void mt_writer_commit(mt_writer_t *writer, mt_writer_policy_t policy,
		      mt_writer_cb cb, void *ctx)
{
	mt_group_t *group = writer->current_group;

	g_assert(group);
	writer->current_group = NULL;
	group->policy = policy;
	group->committed_at = mt_kernel_now(writer->deps.kernel);
	group->cb = cb;
	group->ctx = ctx;
	g_queue_push_tail(writer->groups, group);
	if (!writer->timer)
		send_next(writer);
}

unsigned mt_writer_n_pending(const mt_writer_t *writer)
{
	return g_queue_get_length(writer->groups);
}

mt_ms_t mt_writer_stalled_ms(const mt_writer_t *writer)
{
	if (!writer->failing_since || g_queue_is_empty(writer->groups))
		return 0;
	return mt_kernel_now(writer->deps.kernel) - writer->failing_since;
}
