/** @file refresher.c Restates jobs and lists before the log drops them. */
#include "node/refresher.h"

/**
 * State is restated once the age of its oldest record has reached a quarter of
 * the log's retention. For each rank above 0 a host waits 1/64 of the retention
 * longer, at most 1/8 in all. So the log may be unavailable for 5/8 of the
 * retention before state is lost.
 */
#define RESTATE_AGE_DIVISOR 4u
#define RANK_DELAY_DIVISOR 64u
#define DELAYED_RANKS_MAX 8u

/** The refresher runs this many passes within the retention. */
#define PASSES_PER_RETENTION 32u
#define PASS_PERIOD_MIN_MS 250u
#define PASS_PERIOD_MAX_MS 60000u

/**
 * Maximum number of old jobs that one pass looks at, and so of its Carry
 * records. Keeps a backlog from filling the appender's queue.
 */
#define OLD_JOBS_PER_PASS 512u

struct mt_refresher_t {
	mt_refresher_deps_t deps;
	uint64_t timer;
};

static void run_pass(void *ctx);

mt_refresher_t *mt_refresher_new(const mt_refresher_deps_t *deps)
{
	mt_refresher_t *refresher = g_new0(mt_refresher_t, 1);

	refresher->deps = *deps;
	return refresher;
}

void mt_refresher_free(mt_refresher_t *refresher)
{
	if (!refresher)
		return;
	mt_timers_cancel(mt_kernel_timers(refresher->deps.kernel),
			 refresher->timer);
	g_free(refresher);
}

/**
 * Age that the oldest record of a job or of the lists must reach before this
 * host restates them.
 * @param key identifies the job or the lists
 */
static uint64_t restate_age(const mt_refresher_t *refresher, mt_str_t key,
			    uint64_t retention_ms)
{
	guint rank = mt_membership_rank(refresher->deps.membership, key);
	uint64_t age = retention_ms / RESTATE_AGE_DIVISOR;

	return age + (uint64_t)MIN(rank, DELAYED_RANKS_MAX) *
			     (retention_ms / RANK_DELAY_DIVISOR);
}

/** Appends a Carry record with the job's state as of the last record read. */
static void append_carry(mt_refresher_t *refresher, const mt_job_t *job)
{
	uint64_t next = mt_tail_next_offset(refresher->deps.job_tail);
	GBytes *record = mt_job_pack_carry(job, next - 1);

	if (mt_appender_submit(refresher->deps.job_appender, record,
			       MT_PRIORITY_NORMAL, NULL, NULL))
		mt_kernel_count(refresher->deps.kernel, "carries_total");
	g_bytes_unref(record);
}

static void restate_jobs(mt_refresher_t *refresher, uint64_t now,
			 uint64_t retention)
{
	GPtrArray *old = mt_jobs_with_old_records(
		refresher->deps.jobs, now, retention / RESTATE_AGE_DIVISOR);

	for (guint i = 0; i < old->len && i < OLD_JOBS_PER_PASS; i++) {
		const mt_job_t *job = old->pdata[i];
		mt_str_t key = {(const char *)job->id.bytes, MT_JOB_ID_BYTES};

		if (job->oldest_record_at_ms +
			    restate_age(refresher, key, retention) <
		    now)
			append_carry(refresher, job);
	}
	g_ptr_array_unref(old);
}

/** Appends a snapshot of both lists when the older one is due. */
static void restate_lists(mt_refresher_t *refresher, uint64_t now,
			  uint64_t retention)
{
	const mt_lists_t *lists = refresher->deps.lists;
	uint64_t oldest = UINT64_MAX;
	GBytes *record;

	for (int i = 0; i < MT_LIST_COUNT; i++) {
		if (mt_lists_version(lists, (mt_list_t)i))
			oldest = MIN(oldest,
				     mt_lists_restated_at(lists, (mt_list_t)i));
	}
	if (oldest == UINT64_MAX ||
	    oldest + restate_age(refresher, MT_STR("lists"), retention) >= now)
		return;
	record = mt_lists_pack_snapshot(lists);
	if (mt_appender_submit(refresher->deps.list_appender, record,
			       MT_PRIORITY_CRITICAL, NULL, NULL))
		mt_kernel_count(refresher->deps.kernel, "list_snapshots_total");
	g_bytes_unref(record);
}

static void run_pass(void *ctx)
{
	mt_refresher_t *refresher = ctx;
	uint64_t retention = mt_tail_retention_ms(refresher->deps.job_tail);
	mt_ms_t period = retention ? retention / PASSES_PER_RETENTION
				   : PASS_PERIOD_MIN_MS;

	if (mt_tail_is_synced(refresher->deps.job_tail) &&
	    mt_tail_is_log_available(refresher->deps.job_tail)) {
		uint64_t now = mt_tail_log_time(refresher->deps.job_tail);

		mt_jobs_prune(refresher->deps.jobs, now);
		restate_jobs(refresher, now, retention);
	}
	if (mt_tail_is_synced(refresher->deps.list_tail) &&
	    mt_tail_is_log_available(refresher->deps.list_tail) &&
	    mt_lists_complete(refresher->deps.lists))
		restate_lists(refresher,
			      mt_tail_log_time(refresher->deps.list_tail),
			      mt_tail_retention_ms(refresher->deps.list_tail));
	refresher->timer = mt_timers_after(
		mt_kernel_timers(refresher->deps.kernel),
		CLAMP(period, PASS_PERIOD_MIN_MS, PASS_PERIOD_MAX_MS), run_pass,
		refresher);
}

void mt_refresher_start(mt_refresher_t *refresher)
{
	run_pass(refresher);
}
