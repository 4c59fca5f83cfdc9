/** @file scheduler.c Takes over a data centre, schedules it, hands it over. */
#include "node/scheduler_internal.h"

/**
 * Period at which this host takes over or hands over as elected, and at which
 * the runs are advanced.
 */
#define TICK_MS 250u

/** A decision is made at least this often, even without a change. */
#define DECISION_PERIOD_MS 1000u

/** Changes within this time are covered by one decision. */
#define COALESCE_MS 10u

/** After a takeover, the longest wait for the leases of all servers. */
#define DISCOVERY_TIMEOUT_MS 4000u

/** On handover, the longest wait for other hosts to take the server leases. */
#define HANDOVER_TIMEOUT_MS 8000u

/** Period of mt_scheduler_move_jobs(). */
#define MOVE_PERIOD_MS 1000u

mt_scheduler_t *mt_scheduler_new(const mt_scheduler_deps_t *deps)
{
	mt_scheduler_t *scheduler = g_new0(mt_scheduler_t, 1);

	scheduler->deps = *deps;
	scheduler->feasibility_checks = g_hash_table_new_full(
		mt_job_id_hash, mt_job_id_key_equal, g_free, g_free);
	return scheduler;
}

void mt_scheduler_free(mt_scheduler_t *scheduler)
{
	mt_timers_t *timers;

	if (!scheduler)
		return;
	timers = mt_kernel_timers(scheduler->deps.kernel);
	mt_timers_cancel(timers, scheduler->tick_timer);
	mt_timers_cancel(timers, scheduler->periodic_decide_timer);
	mt_timers_cancel(timers, scheduler->decide_timer);
	mt_timers_cancel(timers, scheduler->move_timer);
	g_hash_table_destroy(scheduler->feasibility_checks);
	g_free(scheduler);
}

mt_ms_t mt_scheduler_now(const mt_scheduler_t *scheduler)
{
	return mt_kernel_now(scheduler->deps.kernel);
}

/** Unlike mt_tail_is_synced(), also requires that the jobs are loaded. */
static bool are_jobs_loaded(const mt_scheduler_t *scheduler)
{
	return mt_tail_is_synced(scheduler->deps.tail) &&
	       mt_jobs_is_loaded(scheduler->deps.jobs);
}

bool mt_scheduler_is_scheduling(const mt_scheduler_t *scheduler)
{
	return mt_fleet_is_active(scheduler->deps.fleet) &&
	       !scheduler->handing_over;
}

bool mt_scheduler_has_released_all(const mt_scheduler_t *scheduler)
{
	return !mt_fleet_is_active(scheduler->deps.fleet);
}

static bool is_discovery_done(const mt_scheduler_t *scheduler)
{
	return mt_fleet_all_leased(scheduler->deps.fleet) ||
	       mt_scheduler_now(scheduler) >=
		       scheduler->active_since + DISCOVERY_TIMEOUT_MS;
}

bool mt_scheduler_may_decide(const mt_scheduler_t *scheduler)
{
	return mt_scheduler_is_scheduling(scheduler) &&
	       are_jobs_loaded(scheduler) &&
	       mt_lists_complete(scheduler->deps.lists) &&
	       mt_fleet_has_list(scheduler->deps.fleet) &&
	       is_discovery_done(scheduler);
}

/* Taking over and handing over. */

static void activate(mt_scheduler_t *scheduler)
{
	mt_log(scheduler->deps.kernel, MT_LOG_NOTICE, "scheduler",
	       "now scheduling data centre %s",
	       scheduler->deps.settings->dc.text);
	mt_kernel_count(scheduler->deps.kernel, "takeovers_total");
	scheduler->handing_over = false;
	scheduler->active_since = mt_scheduler_now(scheduler);
	mt_fleet_set_active(scheduler->deps.fleet, true);
}

static void deactivate(mt_scheduler_t *scheduler)
{
	mt_log(scheduler->deps.kernel, MT_LOG_NOTICE, "scheduler",
	       "no longer scheduling data centre %s",
	       scheduler->deps.settings->dc.text);
	scheduler->handing_over = false;
	mt_fleet_set_active(scheduler->deps.fleet, false);
	mt_runner_drop_all(scheduler->deps.runner);
	/* Direct jobs are known to this host only; their callers retry. */
	mt_jobs_drop_all_direct(scheduler->deps.jobs);
}

/**
 * Keeps the server leases until a successor has taken them all, but no longer
 * than HANDOVER_TIMEOUT_MS.
 */
static void hand_over_leases(mt_scheduler_t *scheduler)
{
	mt_ms_t now = mt_scheduler_now(scheduler);

	if (!scheduler->handing_over) {
		scheduler->handing_over = true;
		scheduler->handover_since = now;
	}
	/* Without a successor, a draining host keeps its leases until its
	 * process ends at the time-out for a graceful shutdown (`drain_ms`). */
	if (scheduler->draining &&
	    !mt_membership_has_successor(scheduler->deps.membership))
		scheduler->handover_since = now;
	if (!mt_fleet_leased_count(scheduler->deps.fleet) ||
	    now >= scheduler->handover_since + HANDOVER_TIMEOUT_MS)
		deactivate(scheduler);
}

/**
 * Takes over or hands over as elected, and passes the resulting state on to the
 * membership and the runner.
 */
static void follow_election(mt_scheduler_t *scheduler)
{
	bool active = mt_fleet_is_active(scheduler->deps.fleet);
	bool wanted = !scheduler->draining &&
		      mt_membership_is_elected(scheduler->deps.membership);

	if (wanted && !active)
		activate(scheduler);
	else if (wanted)
		scheduler->handing_over = false;
	else if (active)
		hand_over_leases(scheduler);
	mt_membership_set_state(scheduler->deps.membership,
				are_jobs_loaded(scheduler), scheduler->draining,
				mt_scheduler_is_scheduling(scheduler));
	mt_runner_set_discovery_state(scheduler->deps.runner,
				      are_jobs_loaded(scheduler),
				      is_discovery_done(scheduler));
}

static void publish_summary(mt_scheduler_t *scheduler)
{
	const mt_planner_summary_t *from =
		mt_planner_summary(scheduler->deps.planner);
	MtPb__DcSummary summary = MT_PB__DC_SUMMARY__INIT;

	summary.free_accelerators = from->free_accelerators;
	summary.largest_free_block = from->largest_free_block;
	summary.queued_accelerators = from->queued_accelerators;
	summary.total_accelerators = from->total_accelerators;
	mt_membership_set_summary(scheduler->deps.membership, &summary);
}

/* Timers and events. */

static void decide_now(void *ctx)
{
	mt_scheduler_t *scheduler = ctx;

	scheduler->decide_timer = 0;
	follow_election(scheduler);
	if (!mt_scheduler_may_decide(scheduler))
		return;
	mt_scheduler_process_jobs(scheduler);
	mt_planner_decide(scheduler->deps.planner);
	publish_summary(scheduler);
}

void mt_scheduler_request_decision(mt_scheduler_t *scheduler)
{
	if (scheduler->decide_timer)
		return;
	scheduler->decide_timer =
		mt_timers_after(mt_kernel_timers(scheduler->deps.kernel),
				COALESCE_MS, decide_now, scheduler);
}

static void on_scheduler_changed(void *ctx)
{
	mt_scheduler_request_decision(ctx);
}

static void tick(void *ctx)
{
	mt_scheduler_t *scheduler = ctx;

	follow_election(scheduler);
	mt_runner_tick(scheduler->deps.runner);
}

/** Decides periodically, since no event marks the end of a backoff or wait. */
static void decide_periodically(void *ctx)
{
	mt_scheduler_request_decision(ctx);
}

static void move_jobs(void *ctx)
{
	mt_scheduler_move_jobs(ctx);
}

void mt_scheduler_start(mt_scheduler_t *scheduler)
{
	mt_timers_t *timers = mt_kernel_timers(scheduler->deps.kernel);

	scheduler->tick_timer =
		mt_timers_every(timers, TICK_MS, tick, scheduler);
	scheduler->periodic_decide_timer = mt_timers_every(
		timers, DECISION_PERIOD_MS, decide_periodically, scheduler);
	scheduler->move_timer =
		mt_timers_every(timers, MOVE_PERIOD_MS, move_jobs, scheduler);
	mt_membership_subscribe(scheduler->deps.membership,
				on_scheduler_changed, scheduler);
}

void mt_scheduler_drain(mt_scheduler_t *scheduler)
{
	scheduler->draining = true;
	follow_election(scheduler);
}

static bool met_deadline(const mt_job_t *job)
{
	uint64_t deadline_ms = (uint64_t)job->spec->deadline_s * 1000;

	return job->outcome == MT_PB__OUTCOME_KIND__OUTCOME_FINISHED &&
	       job->ended_at_ms <= job->accepted_at_ms + deadline_ms;
}

/** Records SLO events; only the scheduler of the job's data centre does so. */
static void record_objectives(mt_scheduler_t *scheduler, const mt_job_t *job)
{
	if (!mt_scheduler_is_scheduling(scheduler) ||
	    !are_jobs_loaded(scheduler) ||
	    !mt_name_equal(&job->dc, &scheduler->deps.settings->dc))
		return;
	mt_slo_record(scheduler->deps.slo, &job->account, MT_SLO_TRUTHFUL,
		      job->outcome != MT_PB__OUTCOME_KIND__OUTCOME_UNKNOWN);
	if (job->spec->deadline_s &&
	    job->outcome != MT_PB__OUTCOME_KIND__OUTCOME_CANCELLED)
		mt_slo_record(scheduler->deps.slo, &job->account,
			      MT_SLO_DEADLINE, met_deadline(job));
}

void mt_scheduler_on_job(mt_scheduler_t *scheduler, mt_job_t *job,
			 mt_job_change_t change)
{
	if (change == MT_JOB_ENDED)
		record_objectives(scheduler, job);
	if (change == MT_JOB_ENDED || change == MT_JOB_DROPPED) {
		g_hash_table_remove(scheduler->feasibility_checks, &job->id);
		mt_planner_forget_job(scheduler->deps.planner, &job->id);
	}
	mt_scheduler_request_decision(scheduler);
}
