/** @file absent_cancels.c Stores cancellations of jobs that are not stored. */
#include "dag/absent_cancels.h"

/** Minimum time between the writes of two groups. */
#define GROUP_INTERVAL_MS 100u

/** Maximum number of cancellations in a group. */
#define GROUP_MAX 400u

/** Maximum number of such cancellations in the table of jobs. */
#define STORED_MAX 10000u

/** A cancellation that waits to be stored. */
typedef struct mt_absent_cancel_t {
	uint64_t job;
	mt_writer_cb cb;
	void *ctx;
} mt_absent_cancel_t;

struct mt_absent_cancels_t {
	mt_kernel_t *kernel;
	const mt_table_t *table;
	mt_writer_t *writer;
	GArray *waiting; /**< mt_absent_cancel_t of the next group */
	uint64_t timer;	 /**< writes the next group; 0: not set */
	mt_ms_t group_written_at;
};

mt_absent_cancels_t *mt_absent_cancels_new(mt_kernel_t *kernel,
					   const mt_table_t *table,
					   mt_writer_t *writer)
{
	mt_absent_cancels_t *cancels = g_new0(mt_absent_cancels_t, 1);

	cancels->kernel = kernel;
	cancels->table = table;
	cancels->writer = writer;
	cancels->waiting =
		g_array_new(FALSE, FALSE, sizeof(mt_absent_cancel_t));
	return cancels;
}

void mt_absent_cancels_free(mt_absent_cancels_t *cancels)
{
	mt_timers_cancel(mt_kernel_timers(cancels->kernel), cancels->timer);
	g_array_unref(cancels->waiting);
	g_free(cancels);
}

/** @param ctx GArray of mt_absent_cancel_t, which is freed */
static void on_group_written(void *ctx, mt_store_result_t result)
{
	GArray *group = ctx;

	for (guint i = 0; i < group->len; i++) {
		const mt_absent_cancel_t *cancel =
			&g_array_index(group, mt_absent_cancel_t, i);

		cancel->cb(cancel->ctx, result);
	}
	g_array_unref(group);
}

static void write_group(void *ctx)
{
	mt_absent_cancels_t *cancels = ctx;
	GArray *group = cancels->waiting;

	cancels->timer = 0;
	cancels->group_written_at = mt_kernel_now(cancels->kernel);
	cancels->waiting =
		g_array_new(FALSE, FALSE, sizeof(mt_absent_cancel_t));
	for (guint i = 0; i < group->len; i++) {
		mt_record_key_t key = mt_record_key(
			MT_RECORD_CANCEL,
			g_array_index(group, mt_absent_cancel_t, i).job);

		mt_writer_add(cancels->writer, mt_str_from(key.text),
			      MT_STR(MT_CANCEL_BY_CLIENT));
	}
	mt_writer_commit(cancels->writer, MT_WRITER_REPORTS_REFUSAL,
			 on_group_written, group);
}

/** Time until the next group may be written. */
static mt_ms_t delay_of_group(const mt_absent_cancels_t *cancels)
{
	mt_ms_t due = cancels->group_written_at + GROUP_INTERVAL_MS;
	mt_ms_t now = mt_kernel_now(cancels->kernel);

	return due > now ? due - now : 0;
}

bool mt_absent_cancels_add(mt_absent_cancels_t *cancels, uint64_t job,
			   mt_writer_cb cb, void *ctx)
{
	mt_absent_cancel_t cancel = {job, cb, ctx};

	if (cancels->waiting->len >= GROUP_MAX ||
	    mt_table_n_absent_cancels(cancels->table) >= STORED_MAX)
		return false;
	g_array_append_val(cancels->waiting, cancel);
	if (!cancels->timer)
		cancels->timer = mt_timers_after(
			mt_kernel_timers(cancels->kernel),
			delay_of_group(cancels), write_group, cancels);
	return true;
}
