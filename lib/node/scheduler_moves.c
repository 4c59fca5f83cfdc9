/** @file scheduler_moves.c Moves of jobs between data centres. */
#include "node/scheduler_internal.h"

/**
 * A job may move to a data centre with free capacity once this time, multiplied
 * by the job's epoch, has passed since its acceptance. Moves for other reasons
 * do not wait for this.
 */
#define MOVE_AFTER_MS 5000u

/** A data centre that sends no heartbeat for this long is considered lost. */
#define DC_LOST_AFTER_MS 30000u

/**
 * Maximum number of moves by one call of mt_scheduler_move_jobs(). Moves of
 * infeasible jobs are not counted.
 */
#define MOVES_PER_PERIOD 8u

/**
 * A job that has moved this often, for whatever reason, does not move again to
 * a data centre with free capacity.
 */
#define MOVES_PER_JOB 4u

void mt_scheduler_submit_move(mt_scheduler_t *scheduler, const mt_job_t *job,
			      const mt_name_t *dc)
{
	MtPb__Record record = MT_PB__RECORD__INIT;
	MtPb__Move move = MT_PB__MOVE__INIT;

	mt_log(scheduler->deps.kernel, MT_LOG_INFO, "scheduler",
	       "moving job %s to %s", mt_job_id_text(&job->id).text, dc->text);
	mt_kernel_count(scheduler->deps.kernel, "moves_total");
	move.job = mt_job_id_field(&job->id);
	move.epoch = job->epoch + 1;
	move.dc = (char *)dc->text;
	record.body_case = MT_PB__RECORD__BODY_MOVE;
	record.move = &move;
	mt_appender_submit_record(scheduler->deps.appender, &record,
				  MT_PRIORITY_CRITICAL, NULL, NULL);
}

/** True when the account's limit in `dc` allows the job. */
static bool is_allowed_in(const mt_scheduler_t *scheduler, const mt_job_t *job,
			  const mt_name_t *dc)
{
	const mt_quota_t *quota =
		mt_lists_quota(scheduler->deps.lists, &job->account, dc);
	mt_shape_t shape = mt_spec_shape(job->spec);

	return quota &&
	       mt_resources_within(mt_shape_total(&shape), quota->limit);
}

/** Another data centre with free capacity for the job now, or NULL. */
static const mt_name_t *
find_dc_with_free_capacity(const mt_scheduler_t *scheduler, const mt_job_t *job)
{
	const mt_settings_t *settings = scheduler->deps.settings;
	mt_shape_t shape = mt_spec_shape(job->spec);
	uint32_t need = mt_shape_total(&shape).accelerators;
	const mt_name_t *best = NULL;
	uint32_t best_free = 0;

	for (guint i = 0; i < settings->data_centres->len; i++) {
		const mt_name_t *dc =
			&g_array_index(settings->data_centres, mt_name_t, i);
		const MtPb__DcSummary *summary =
			mt_membership_summary(scheduler->deps.membership, dc);

		if (!summary || mt_name_equal(dc, &settings->dc) ||
		    !is_allowed_in(scheduler, job, dc) ||
		    summary->largest_free_block < need ||
		    summary->free_accelerators <
			    need + summary->queued_accelerators)
			continue;
		if (!best || summary->free_accelerators > best_free) {
			best = dc;
			best_free = summary->free_accelerators;
		}
	}
	return best;
}

/**
 * True when the job's data centre is lost and the account's limit in this data
 * centre allows the job.
 */
static bool may_adopt(const mt_scheduler_t *scheduler, const mt_job_t *job)
{
	return mt_membership_dc_silence(scheduler->deps.membership, &job->dc) >
		       DC_LOST_AFTER_MS &&
	       is_allowed_in(scheduler, job, &scheduler->deps.settings->dc);
}

/**
 * True when a startable job has waited long enough for its next move, and has
 * not moved too often.
 */
static bool may_move_away(const mt_scheduler_t *scheduler, const mt_job_t *job)
{
	return job->epoch <= MOVES_PER_JOB &&
	       mt_planner_is_startable(scheduler->deps.planner, job) &&
	       mt_planner_time_since_acceptance(scheduler->deps.planner, job) >=
		       (mt_ms_t)MOVE_AFTER_MS * job->epoch;
}

/**
 * Moves a job here if its data centre is lost, or away if it has waited long
 * enough and another data centre has free capacity.
 * @return true if a move was submitted
 */
static bool move_job(mt_scheduler_t *scheduler, const mt_job_t *job)
{
	const mt_settings_t *settings = scheduler->deps.settings;
	const mt_name_t *target = NULL;

	if (job->claim || job->cancel_requested || job->direct)
		return false;
	if (!mt_name_equal(&job->dc, &settings->dc)) {
		if (may_adopt(scheduler, job))
			target = &settings->dc;
	} else if (may_move_away(scheduler, job)) {
		target = find_dc_with_free_capacity(scheduler, job);
	}
	if (!target)
		return false;
	mt_scheduler_submit_move(scheduler, job, target);
	return true;
}

void mt_scheduler_move_jobs(mt_scheduler_t *scheduler)
{
	GPtrArray *jobs;
	guint n_moves = 0;

	if (!mt_scheduler_may_decide(scheduler) ||
	    !mt_tail_is_log_available(scheduler->deps.tail))
		return;
	jobs = mt_scheduler_live_jobs(scheduler);
	for (guint i = 0; i < jobs->len && n_moves < MOVES_PER_PERIOD; i++)
		n_moves += move_job(scheduler, jobs->pdata[i]);
	g_ptr_array_unref(jobs);
}
