/** @file scheduler_jobs.c Jobs that are handled without a decision. */
#include "node/scheduler_internal.h"

/**
 * Once this time has passed since a job's acceptance, the scheduler checks
 * periodically whether the job can ever run.
 */
#define FEASIBILITY_CHECK_AFTER_MS 5000u
#define FEASIBILITY_CHECK_PERIOD_MS 5000u

/** A job that has been infeasible for this long is refused or moved. */
#define INFEASIBLE_TIMEOUT_MS 10000u

/** State of the checks whether a waiting job can ever run. */
typedef struct mt_feasibility_check_t {
	mt_ms_t infeasible_since; /**< 0: feasible at the last check */
	mt_ms_t next_check_at;
} mt_feasibility_check_t;

static mt_feasibility_check_t *
ensure_feasibility_check(mt_scheduler_t *scheduler, const mt_job_t *job)
{
	mt_feasibility_check_t *check =
		g_hash_table_lookup(scheduler->feasibility_checks, &job->id);

	if (!check) {
		check = g_new0(mt_feasibility_check_t, 1);
		g_hash_table_insert(scheduler->feasibility_checks,
				    g_memdup2(&job->id, sizeof(job->id)),
				    check);
	}
	return check;
}

/** Moves a job that can never run here to where it can, or refuses it. */
static void check_feasibility(mt_scheduler_t *scheduler, mt_job_t *job)
{
	mt_feasibility_check_t *check =
		ensure_feasibility_check(scheduler, job);
	mt_ms_t now = mt_scheduler_now(scheduler);
	mt_name_t elsewhere;
	const char *reason;

	if (now < check->next_check_at)
		return;
	check->next_check_at = now + FEASIBILITY_CHECK_PERIOD_MS;
	reason = mt_planner_infeasible_reason(scheduler->deps.planner, job,
					      &elsewhere);
	if (!reason)
		check->infeasible_since = 0;
	else if (!check->infeasible_since)
		check->infeasible_since = now;
	else if (now < check->infeasible_since + INFEASIBLE_TIMEOUT_MS)
		return;
	else if (elsewhere.len)
		mt_scheduler_submit_move(scheduler, job, &elsewhere);
	else
		mt_runner_record_outcome(scheduler->deps.runner, job,
					 MT_PB__OUTCOME_KIND__OUTCOME_REFUSED,
					 reason);
}

/**
 * Recovers a claim, ends a cancelled job or checks its feasibility. Direct jobs
 * have no time of acceptance and are checked at once.
 */
static void process_job(mt_scheduler_t *scheduler, mt_job_t *job)
{
	mt_runner_t *runner = scheduler->deps.runner;

	if (!mt_name_equal(&job->dc, &scheduler->deps.settings->dc) ||
	    mt_runner_find(runner, &job->id))
		return;
	if (job->claim)
		mt_runner_recover_claim(runner, job);
	else if (job->cancel_requested)
		mt_runner_record_outcome(runner, job,
					 MT_PB__OUTCOME_KIND__OUTCOME_CANCELLED,
					 "cancelled");
	else if (job->direct || mt_planner_time_since_acceptance(
					scheduler->deps.planner, job) >=
					FEASIBILITY_CHECK_AFTER_MS)
		check_feasibility(scheduler, job);
}

GPtrArray *mt_scheduler_live_jobs(const mt_scheduler_t *scheduler)
{
	GPtrArray *jobs = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, mt_jobs_live(scheduler->deps.jobs));
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(jobs, value);
	return jobs;
}

void mt_scheduler_process_jobs(mt_scheduler_t *scheduler)
{
	GPtrArray *jobs = mt_scheduler_live_jobs(scheduler);

	for (guint i = 0; i < jobs->len; i++)
		process_job(scheduler, jobs->pdata[i]);
	g_ptr_array_unref(jobs);
}
