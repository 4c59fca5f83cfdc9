/** @file refresher.c Carries state forward before the log drops it. */
#include "node/refresher.h"

/**
 * State is carried once its records have lived a quarter of their time; each
 * rank waits a further 64th, up to an eighth. So an outage of the log may last
 * five eighths of the retention before state is lost.
 */
#define CARRY_AGE_SHARE 4u
#define RANK_SHARE 64u
#define RANKS_MAX 8u

/** Looks so many times within the retention. */
#define LOOKS_PER_RETENTION 32u
#define LOOK_MIN_MS 250u
#define LOOK_MAX_MS 60000u

/** Carries in one look, so that a backlog cannot fill the log. */
#define CARRIES_PER_LOOK 512u

struct mt_refresher_t {
	mt_refresher_deps_t deps;
	uint64_t timer;
};

static void look(void *ctx);

mt_refresher_t *mt_refresher_new(const mt_refresher_deps_t *deps)
{
	mt_refresher_t *keeper = g_new0(mt_refresher_t, 1);

	keeper->deps = *deps;
	return keeper;
}

void mt_refresher_free(mt_refresher_t *keeper)
{
	if (!keeper)
		return;
	mt_timers_cancel(mt_kernel_timers(keeper->deps.kernel), keeper->timer);
	g_free(keeper);
}

/** Age at which this host carries what `key` names. */
static uint64_t carry_age(const mt_refresher_t *keeper, mt_str_t key,
			  uint64_t retention_ms)
{
	guint rank = mt_members_rank(keeper->deps.members, key);
	uint64_t age = retention_ms / CARRY_AGE_SHARE;

	return age +
	       (uint64_t)MIN(rank, RANKS_MAX) * (retention_ms / RANK_SHARE);
}

static void carry_job(mt_refresher_t *keeper, const mt_job_t *job)
{
	uint64_t next = mt_tail_next_offset(keeper->deps.job_tail);
	GBytes *record = mt_job_pack_carry(job, next - 1);

	if (mt_appender_submit(keeper->deps.job_appender, record,
			       MT_PRIORITY_NORMAL, NULL, NULL))
		mt_kernel_count(keeper->deps.kernel, "carries_total");
	g_bytes_unref(record);
}

static void carry_jobs(mt_refresher_t *keeper, uint64_t now, uint64_t retention)
{
	GPtrArray *old = mt_jobs_older_than(keeper->deps.jobs, now,
					    retention / CARRY_AGE_SHARE);

	for (guint i = 0; i < old->len && i < CARRIES_PER_LOOK; i++) {
		const mt_job_t *job = old->pdata[i];
		mt_str_t key = {(const char *)job->id.bytes, MT_JOB_ID_BYTES};

		if (job->oldest_record_at_ms +
			    carry_age(keeper, key, retention) <
		    now)
			carry_job(keeper, job);
	}
	g_ptr_array_unref(old);
}

/** The older of the two lists tells how urgent a snapshot is. */
static void carry_lists(mt_refresher_t *keeper, uint64_t now,
			uint64_t retention)
{
	const mt_lists_t *lists = keeper->deps.lists;
	uint64_t oldest = UINT64_MAX;
	GBytes *record;

	for (int i = 0; i < MT_LISTS; i++) {
		if (mt_lists_version(lists, (mt_list_t)i))
			oldest = MIN(oldest,
				     mt_lists_restated_at(lists, (mt_list_t)i));
	}
	if (oldest == UINT64_MAX ||
	    oldest + carry_age(keeper, MT_STR("lists"), retention) >= now)
		return;
	record = mt_lists_pack_snapshot(lists);
	if (mt_appender_submit(keeper->deps.list_appender, record,
			       MT_PRIORITY_CRITICAL, NULL, NULL))
		mt_kernel_count(keeper->deps.kernel, "list_snapshots_total");
	g_bytes_unref(record);
}

static void look(void *ctx)
{
	mt_refresher_t *keeper = ctx;
	uint64_t retention = mt_tail_retention_ms(keeper->deps.job_tail);
	mt_ms_t period =
		retention ? retention / LOOKS_PER_RETENTION : LOOK_MIN_MS;

	if (mt_tail_is_synced(keeper->deps.job_tail) &&
	    mt_tail_is_available(keeper->deps.job_tail)) {
		uint64_t now = mt_tail_log_time(keeper->deps.job_tail);

		mt_jobs_prune(keeper->deps.jobs, now);
		carry_jobs(keeper, now, retention);
	}
	if (mt_tail_is_synced(keeper->deps.list_tail) &&
	    mt_tail_is_available(keeper->deps.list_tail) &&
	    mt_lists_complete(keeper->deps.lists))
		carry_lists(keeper, mt_tail_log_time(keeper->deps.list_tail),
			    mt_tail_retention_ms(keeper->deps.list_tail));
	keeper->timer = mt_timers_after(mt_kernel_timers(keeper->deps.kernel),
					CLAMP(period, LOOK_MIN_MS, LOOK_MAX_MS),
					look, keeper);
}

void mt_refresher_start(mt_refresher_t *keeper)
{
	look(keeper);
}
