/** @file scheduler.c The scheduler of a data centre. */
#include "node/scheduler.h"

#include <string.h>

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

/**
 * A job may move to a data centre with free capacity once this time, multiplied
 * by the job's epoch, has passed since its acceptance. Moves for other reasons
 * do not wait for this.
 */
#define MOVE_AFTER_MS 5000u

/** A data centre that sends no heartbeat for this long is considered lost. */
#define DC_LOST_AFTER_MS 30000u

/**
 * Period of move_jobs() and maximum number of its moves in one period. Moves of
 * infeasible jobs are not counted.
 */
#define MOVES_PER_PERIOD 8u
#define MOVE_PERIOD_MS 1000u

/**
 * A job that has moved this often, for whatever reason, does not move again to
 * a data centre with free capacity.
 */
#define MOVES_PER_JOB 4u

/**
 * Once this time has passed since a job's acceptance, the scheduler checks
 * periodically whether the job can ever run.
 */
#define FEASIBILITY_CHECK_AFTER_MS 5000u
#define FEASIBILITY_CHECK_PERIOD_MS 5000u

/** A job that has been infeasible for this long is refused or moved. */
#define INFEASIBLE_TIMEOUT_MS 10000u

struct mt_scheduler_t {
	mt_scheduler_deps_t deps;
	bool draining;
	bool handing_over;
	mt_ms_t active_since;
	mt_ms_t handover_since;
	uint64_t tick_timer;
	uint64_t periodic_decide_timer;
	uint64_t decide_timer;
	uint64_t move_timer;
	GHashTable *feasibility_checks; /**< by job id */
};

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

static mt_ms_t now_ms(const mt_scheduler_t *scheduler)
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
	       now_ms(scheduler) >=
		       scheduler->active_since + DISCOVERY_TIMEOUT_MS;
}

/** True when this host schedules and has loaded all state that it needs. */
static bool may_decide(const mt_scheduler_t *scheduler)
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
	scheduler->active_since = now_ms(scheduler);
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
	mt_ms_t now = now_ms(scheduler);

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

/* Moves between data centres. */

static void submit_move(mt_scheduler_t *scheduler, const mt_job_t *job,
			const mt_name_t *dc)
{
	MtPb__Record record = MT_PB__RECORD__INIT;
	MtPb__Move move = MT_PB__MOVE__INIT;
	GBytes *packed;

	mt_log(scheduler->deps.kernel, MT_LOG_INFO, "scheduler",
	       "moving job %s to %s", mt_job_id_text(&job->id).text, dc->text);
	mt_kernel_count(scheduler->deps.kernel, "moves_total");
	move.job = mt_job_id_field(&job->id);
	move.epoch = job->epoch + 1;
	move.dc = (char *)dc->text;
	record.body_case = MT_PB__RECORD__BODY_MOVE;
	record.move = &move;
	packed = mt_record_pack(&record);
	mt_appender_submit(scheduler->deps.appender, packed,
			   MT_PRIORITY_CRITICAL, NULL, NULL);
	g_bytes_unref(packed);
}

/* Jobs that are handled without a decision. */

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
	mt_ms_t now = now_ms(scheduler);
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
		submit_move(scheduler, job, &elsewhere);
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

/** A copy of the table of live jobs, since processing a job may drop it. */
static GPtrArray *live_jobs(const mt_scheduler_t *scheduler)
{
	GPtrArray *jobs = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, mt_jobs_live(scheduler->deps.jobs));
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(jobs, value);
	return jobs;
}

static void process_jobs(mt_scheduler_t *scheduler)
{
	GPtrArray *jobs = live_jobs(scheduler);

	for (guint i = 0; i < jobs->len; i++)
		process_job(scheduler, jobs->pdata[i]);
	g_ptr_array_unref(jobs);
}

/* Choice of another data centre. */

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
	submit_move(scheduler, job, target);
	return true;
}

static void move_jobs(void *ctx)
{
	mt_scheduler_t *scheduler = ctx;
	GPtrArray *jobs;
	guint n_moves = 0;

	if (!may_decide(scheduler) ||
	    !mt_tail_is_log_available(scheduler->deps.tail))
		return;
	jobs = live_jobs(scheduler);
	for (guint i = 0; i < jobs->len && n_moves < MOVES_PER_PERIOD; i++)
		n_moves += move_job(scheduler, jobs->pdata[i]);
	g_ptr_array_unref(jobs);
}

/* Timers and events. */

static void decide_now(void *ctx)
{
	mt_scheduler_t *scheduler = ctx;

	scheduler->decide_timer = 0;
	follow_election(scheduler);
	if (!may_decide(scheduler))
		return;
	process_jobs(scheduler);
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
