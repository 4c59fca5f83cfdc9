/** @file scheduler.c The scheduler's duties of one host. */
#include "node/scheduler.h"

#include <string.h>

#define TICK_MS 250u

/** A decision is made at least so often, changes or not. */
#define DECIDE_AGAIN_MS 1000u

/** Changes within this time are decided on together. */
#define COALESCE_MS 10u

/** After taking over, silent servers are waited for at most this long. */
#define SETTLE_MS 4000u

/** A lease handed over is given up at the latest after this time. */
#define YIELD_MS 8000u

/** A job waits this long before it may move to another data centre. */
#define MOVE_AFTER_MS 5000u

/** A data centre that is silent for this long is taken for lost. */
#define LOST_DC_MS 30000u

/** Moves in one period, and in the life of one job. */
#define MOVES_PER_PERIOD 8u
#define MOVE_PERIOD_MS 1000u
#define MOVES_PER_JOB 4u

/** A job that has waited this long is looked at for being impossible. */
#define DOUBT_AFTER_MS 5000u
#define DOUBT_PERIOD_MS 5000u

/** A job must be seen as impossible for this long to be refused. */
#define IMPOSSIBLE_MS 10000u

struct mt_scheduler_t {
	mt_scheduler_deps_t deps;
	bool draining;
	bool yielding;
	mt_ms_t active_since;
	mt_ms_t yielding_since;
	uint64_t tick_timer;
	uint64_t again_timer;
	uint64_t decide_timer;
	uint64_t move_timer;
	GHashTable *doubts; /**< job id to mt_doubt_t */
};

mt_scheduler_t *mt_scheduler_new(const mt_scheduler_deps_t *deps)
{
	mt_scheduler_t *scheduler = g_new0(mt_scheduler_t, 1);

	scheduler->deps = *deps;
	scheduler->doubts = g_hash_table_new_full(
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
	mt_timers_cancel(timers, scheduler->again_timer);
	mt_timers_cancel(timers, scheduler->decide_timer);
	mt_timers_cancel(timers, scheduler->move_timer);
	g_hash_table_destroy(scheduler->doubts);
	g_free(scheduler);
}

static mt_ms_t now_ms(const mt_scheduler_t *scheduler)
{
	return mt_kernel_now(scheduler->deps.kernel);
}

static bool is_synced(const mt_scheduler_t *scheduler)
{
	return mt_tail_is_synced(scheduler->deps.tail) &&
	       mt_jobs_is_loaded(scheduler->deps.jobs);
}

bool mt_scheduler_is_active(const mt_scheduler_t *scheduler)
{
	return mt_fleet_is_active(scheduler->deps.fleet) &&
	       !scheduler->yielding;
}

bool mt_scheduler_is_idle(const mt_scheduler_t *scheduler)
{
	return !mt_fleet_is_active(scheduler->deps.fleet);
}

static bool is_settled(const mt_scheduler_t *scheduler)
{
	return mt_fleet_all_leased(scheduler->deps.fleet) ||
	       now_ms(scheduler) >= scheduler->active_since + SETTLE_MS;
}

/** True when decisions may be made now. */
static bool may_decide(const mt_scheduler_t *scheduler)
{
	return mt_scheduler_is_active(scheduler) && is_synced(scheduler) &&
	       mt_lists_complete(scheduler->deps.lists) &&
	       mt_fleet_has_list(scheduler->deps.fleet) &&
	       is_settled(scheduler);
}

/* Taking over and handing over. */

static void activate(mt_scheduler_t *scheduler)
{
	mt_log(scheduler->deps.kernel, MT_LOG_NOTICE, "scheduler",
	       "scheduling %s", scheduler->deps.settings->dc.text);
	mt_kernel_count(scheduler->deps.kernel, "takeovers_total");
	scheduler->yielding = false;
	scheduler->active_since = now_ms(scheduler);
	mt_fleet_set_active(scheduler->deps.fleet, true);
}

static void deactivate(mt_scheduler_t *scheduler)
{
	mt_log(scheduler->deps.kernel, MT_LOG_NOTICE, "scheduler",
	       "no longer scheduling %s", scheduler->deps.settings->dc.text);
	scheduler->yielding = false;
	mt_fleet_set_active(scheduler->deps.fleet, false);
	mt_runner_drop_all(scheduler->deps.runner);
	/* Nobody else knows of these; their callers ask again. */
	mt_jobs_drop_all_direct(scheduler->deps.jobs);
}

/** Keeps leases alive until the successor has taken them. */
static void yield_leases(mt_scheduler_t *scheduler)
{
	mt_ms_t now = now_ms(scheduler);

	if (!scheduler->yielding) {
		scheduler->yielding = true;
		scheduler->yielding_since = now;
	}
	/* A draining host without a successor stays until it must exit. */
	if (scheduler->draining &&
	    !mt_members_has_successor(scheduler->deps.members))
		scheduler->yielding_since = now;
	if (!mt_fleet_leased_count(scheduler->deps.fleet) ||
	    now >= scheduler->yielding_since + YIELD_MS)
		deactivate(scheduler);
}

static void follow_members(mt_scheduler_t *scheduler)
{
	bool active = mt_fleet_is_active(scheduler->deps.fleet);
	bool wanted = !scheduler->draining &&
		      mt_members_is_scheduler(scheduler->deps.members);

	if (wanted && !active)
		activate(scheduler);
	else if (wanted)
		scheduler->yielding = false;
	else if (active)
		yield_leases(scheduler);
	mt_members_set_state(scheduler->deps.members, is_synced(scheduler),
			     scheduler->draining,
			     mt_scheduler_is_active(scheduler));
	mt_runner_set_state(scheduler->deps.runner, is_synced(scheduler),
			    is_settled(scheduler));
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
	mt_members_set_summary(scheduler->deps.members, &summary);
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

/* Jobs that do not need a decision. */

/** What is known of a job that may be impossible. */
typedef struct mt_doubt_t {
	mt_ms_t since; /**< 0: it was possible at the last look */
	mt_ms_t next_look;
} mt_doubt_t;

static mt_doubt_t *find_doubt(mt_scheduler_t *scheduler, const mt_job_t *job)
{
	mt_doubt_t *doubt = g_hash_table_lookup(scheduler->doubts, &job->id);

	if (!doubt) {
		doubt = g_new0(mt_doubt_t, 1);
		g_hash_table_insert(scheduler->doubts,
				    g_memdup2(&job->id, sizeof(job->id)),
				    doubt);
	}
	return doubt;
}

/** Refuses a job that can never run, or moves it to where it can. */
static void doubt_job(mt_scheduler_t *scheduler, mt_job_t *job)
{
	mt_doubt_t *doubt = find_doubt(scheduler, job);
	mt_ms_t now = now_ms(scheduler);
	mt_name_t elsewhere;
	const char *why;

	if (now < doubt->next_look)
		return;
	doubt->next_look = now + DOUBT_PERIOD_MS;
	why = mt_planner_infeasible_reason(scheduler->deps.planner, job,
					   &elsewhere);
	if (!why)
		doubt->since = 0;
	else if (!doubt->since)
		doubt->since = now;
	else if (now < doubt->since + IMPOSSIBLE_MS)
		return;
	else if (elsewhere.len)
		submit_move(scheduler, job, &elsewhere);
	else
		mt_runner_record_outcome(scheduler->deps.runner, job,
					 MT_PB__OUTCOME_KIND__OUTCOME_REFUSED,
					 why);
}

static void tend_job(mt_scheduler_t *scheduler, mt_job_t *job)
{
	mt_runner_t *runner = scheduler->deps.runner;

	if (!mt_name_equal(&job->dc, &scheduler->deps.settings->dc) ||
	    mt_runner_find(runner, &job->id))
		return;
	if (job->claim)
		mt_runner_recover_claim(runner, job);
	else if (job->cancel)
		mt_runner_record_outcome(runner, job,
					 MT_PB__OUTCOME_KIND__OUTCOME_CANCELLED,
					 "cancelled");
	else if (job->direct || mt_planner_waited(scheduler->deps.planner,
						  job) >= DOUBT_AFTER_MS)
		doubt_job(scheduler, job);
}

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

static void tend_jobs(mt_scheduler_t *scheduler)
{
	GPtrArray *jobs = live_jobs(scheduler);

	for (guint i = 0; i < jobs->len; i++)
		tend_job(scheduler, jobs->pdata[i]);
	g_ptr_array_unref(jobs);
}

/* Choice of another data centre. */

static bool is_allowed_in(const mt_scheduler_t *scheduler, const mt_job_t *job,
			  const mt_name_t *dc)
{
	const mt_quota_t *quota =
		mt_lists_quota(scheduler->deps.lists, &job->account, dc);
	mt_shape_t shape = mt_spec_shape(job->spec);

	return quota &&
	       mt_resources_within(mt_shape_total(&shape), quota->limit);
}

/** Another data centre with room for the job right now; NULL: none. */
static const mt_name_t *find_roomier_dc(const mt_scheduler_t *scheduler,
					const mt_job_t *job)
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
			mt_members_summary(scheduler->deps.members, dc);

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

/** True when the job's data centre is lost and this one may take it. */
static bool is_orphaned(const mt_scheduler_t *scheduler, const mt_job_t *job)
{
	return mt_members_dc_silence(scheduler->deps.members, &job->dc) >
		       LOST_DC_MS &&
	       is_allowed_in(scheduler, job, &scheduler->deps.settings->dc);
}

/** True when a job of this data centre has waited for long enough. */
static bool may_leave(const mt_scheduler_t *scheduler, const mt_job_t *job)
{
	return job->epoch <= MOVES_PER_JOB &&
	       mt_planner_is_waiting(scheduler->deps.planner, job) &&
	       mt_planner_waited(scheduler->deps.planner, job) >=
		       (mt_ms_t)MOVE_AFTER_MS * job->epoch;
}

/** Moves a job if it should move. @return true when it does */
static bool move_job(mt_scheduler_t *scheduler, const mt_job_t *job)
{
	const mt_settings_t *settings = scheduler->deps.settings;
	const mt_name_t *target = NULL;

	if (job->claim || job->cancel || job->direct)
		return false;
	if (!mt_name_equal(&job->dc, &settings->dc)) {
		if (is_orphaned(scheduler, job))
			target = &settings->dc;
	} else if (may_leave(scheduler, job)) {
		target = find_roomier_dc(scheduler, job);
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
	guint moves = 0;

	if (!may_decide(scheduler) ||
	    !mt_tail_is_available(scheduler->deps.tail))
		return;
	jobs = live_jobs(scheduler);
	for (guint i = 0; i < jobs->len && moves < MOVES_PER_PERIOD; i++)
		moves += move_job(scheduler, jobs->pdata[i]);
	g_ptr_array_unref(jobs);
}

/* Clockwork. */

static void decide_now(void *ctx)
{
	mt_scheduler_t *scheduler = ctx;

	scheduler->decide_timer = 0;
	follow_members(scheduler);
	if (!may_decide(scheduler))
		return;
	tend_jobs(scheduler);
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

static void on_members(void *ctx)
{
	mt_scheduler_request_decision(ctx);
}

static void tick(void *ctx)
{
	mt_scheduler_t *scheduler = ctx;

	follow_members(scheduler);
	mt_runner_tick(scheduler->deps.runner);
}

/** Backoffs and waits run out without an event. */
static void decide_again(void *ctx)
{
	mt_scheduler_request_decision(ctx);
}

void mt_scheduler_start(mt_scheduler_t *scheduler)
{
	mt_timers_t *timers = mt_kernel_timers(scheduler->deps.kernel);

	scheduler->tick_timer =
		mt_timers_every(timers, TICK_MS, tick, scheduler);
	scheduler->again_timer = mt_timers_every(timers, DECIDE_AGAIN_MS,
						 decide_again, scheduler);
	scheduler->move_timer =
		mt_timers_every(timers, MOVE_PERIOD_MS, move_jobs, scheduler);
	mt_members_subscribe(scheduler->deps.members, on_members, scheduler);
}

void mt_scheduler_drain(mt_scheduler_t *scheduler)
{
	scheduler->draining = true;
	follow_members(scheduler);
}

static bool met_deadline(const mt_job_t *job)
{
	uint64_t deadline_ms = (uint64_t)job->spec->deadline_s * 1000;

	return job->outcome == MT_PB__OUTCOME_KIND__OUTCOME_FINISHED &&
	       job->ended_at_ms <= job->accepted_at_ms + deadline_ms;
}

/** The scheduler of the job's data centre counts for all hosts. */
static void note_outcome(mt_scheduler_t *scheduler, const mt_job_t *job)
{
	if (!mt_scheduler_is_active(scheduler) || !is_synced(scheduler) ||
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
		note_outcome(scheduler, job);
	if (change == MT_JOB_ENDED || change == MT_JOB_DROPPED) {
		g_hash_table_remove(scheduler->doubts, &job->id);
		mt_planner_forget_job(scheduler->deps.planner, &job->id);
	}
	mt_scheduler_request_decision(scheduler);
}
