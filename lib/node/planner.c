/** @file planner.c Makes a decision and carries it out. */
#include <string.h>

#include "node/planner_internal.h"

mt_planner_t *mt_planner_new(const mt_planner_deps_t *deps)
{
	mt_planner_t *planner = g_new0(mt_planner_t, 1);

	planner->deps = *deps;
	planner->histories = g_hash_table_new_full(
		mt_job_id_hash, mt_job_id_key_equal, g_free, g_free);
	return planner;
}

void mt_planner_free(mt_planner_t *planner)
{
	if (!planner)
		return;
	g_hash_table_destroy(planner->histories);
	g_free(planner);
}

const mt_planner_summary_t *mt_planner_summary(const mt_planner_t *planner)
{
	return &planner->summary;
}

mt_shape_t mt_spec_shape(const MtPb__Spec *spec)
{
	return (mt_shape_t){
		spec->members,
		{spec->processors, spec->memory_mb, spec->accelerators}};
}

mt_ms_t mt_planner_time_since_acceptance(const mt_planner_t *planner,
					 const mt_job_t *job)
{
	uint64_t now = mt_tail_log_time(planner->deps.tail);

	if (job->direct || now < job->accepted_at_ms)
		return 0;
	return now - job->accepted_at_ms;
}

static mt_job_history_t *ensure_history(const mt_planner_t *planner,
					const mt_job_id_t *job)
{
	mt_job_history_t *history =
		g_hash_table_lookup(planner->histories, job);

	if (!history) {
		history = g_new0(mt_job_history_t, 1);
		g_hash_table_insert(planner->histories,
				    g_memdup2(job, sizeof(*job)), history);
	}
	return history;
}

void mt_planner_record_run(const mt_planner_t *planner, const mt_job_id_t *job)
{
	mt_job_history_t *history = ensure_history(planner, job);

	history->had_run = true;
	history->run_last_seen_at = mt_kernel_now(planner->deps.kernel);
}

mt_ms_t mt_planner_time_in_queue(const mt_planner_t *planner,
				 const mt_job_t *job)
{
	const mt_job_history_t *history =
		g_hash_table_lookup(planner->histories, &job->id);

	if (history && history->had_run)
		return mt_kernel_now(planner->deps.kernel) -
		       history->run_last_seen_at;
	return mt_planner_time_since_acceptance(planner, job);
}

/** Updates since when each waiting job has been guaranteed. */
static void update_guaranteed_since(const mt_planner_t *planner,
				    const mt_view_t *view)
{
	bool *guaranteed = mt_guarantee_covered_jobs(view);

	for (guint i = 0; i < view->waiting_jobs->len; i++) {
		const mt_job_t *job = mt_view_waiting_job(view, i)->tag;
		mt_job_history_t *history = ensure_history(planner, &job->id);

		if (!guaranteed[i])
			history->guaranteed_since = 0;
		else if (!history->guaranteed_since)
			history->guaranteed_since =
				mt_kernel_now(planner->deps.kernel);
	}
	g_free(guaranteed);
}

void mt_planner_forget_job(mt_planner_t *planner, const mt_job_id_t *job)
{
	g_hash_table_remove(planner->histories, job);
}

bool mt_planner_is_startable(const mt_planner_t *planner, const mt_job_t *job)
{
	mt_name_t text = mt_job_id_text(&job->id);

	if (job->cancel_requested || job->claim ||
	    !mt_name_equal(&job->dc, &planner->deps.settings->dc) ||
	    mt_runner_find(planner->deps.runner, &job->id))
		return false;
	/* A claim cannot be written while the log is unavailable. */
	if (!job->spec->idempotent &&
	    !mt_tail_is_log_available(planner->deps.tail))
		return false;
	return mt_health_not_before(planner->deps.health, &text) <=
	       mt_kernel_now(planner->deps.kernel);
}

/**
 * Records the SLO events that tell whether the job starts in time. What counts
 * is the time of the decision to start it.
 */
static void record_start(const mt_planner_t *planner, const mt_job_t *job)
{
	mt_job_history_t *history = ensure_history(planner, &job->id);
	mt_ms_t now = mt_kernel_now(planner->deps.kernel);

	if (job->direct)
		return;
	if (job->spec->urgent && job->spec->members == 1 && !history->had_run)
		mt_slo_record(planner->deps.slo, &job->account, MT_SLO_URGENT,
			      mt_planner_time_since_acceptance(planner, job) <=
				      MT_URGENT_START_MS);
	if (history->guaranteed_since)
		mt_slo_record(planner->deps.slo, &job->account,
			      MT_SLO_GUARANTEE,
			      now - history->guaranteed_since <=
				      MT_CHECKPOINT_TIMEOUT_MS +
					      MT_GUARANTEE_START_MS);
	history->guaranteed_since = 0;
}

static void start_job(mt_planner_t *planner, const mt_view_builder_t *builder,
		      const mt_start_t *start)
{
	const mt_view_waiting_job_t *waiting_job =
		mt_view_waiting_job(builder->view, start->waiting_job_index);
	GPtrArray *servers = mt_fleet_servers(planner->deps.fleet);
	GArray *targets = g_array_new(FALSE, FALSE, sizeof(mt_target_t));
	mt_job_t *job = waiting_job->tag;

	for (guint i = 0; i < start->parts->len; i++) {
		const mt_part_t *part =
			&g_array_index(start->parts, mt_part_t, i);
		mt_target_t target = {servers->pdata[part->server],
				      part->members};

		g_array_append_val(targets, target);
	}
	record_start(planner, job);
	mt_runner_start(planner->deps.runner, job, &waiting_job->shape,
			targets);
	g_array_unref(targets);
}

static void apply_decision(mt_planner_t *planner,
			   const mt_view_builder_t *builder,
			   const mt_decision_t *decision)
{
	for (guint i = 0; i < decision->reclaims->len; i++) {
		const mt_reclaim_t *reclaim =
			&g_array_index(decision->reclaims, mt_reclaim_t, i);

		/* The label is the numeric value of mt_reclaim_reason_t. */
		mt_kernel_count(planner->deps.kernel,
				"reclaims_total{reason=\"%d\"}",
				reclaim->reason);
		/* An urgent job cannot wait for a checkpoint. */
		mt_runner_reclaim(planner->deps.runner,
				  mt_view_run(builder->view, reclaim->run)->tag,
				  reclaim->reason != MT_RECLAIM_URGENT);
	}
	for (guint i = 0; i < decision->starts->len; i++)
		start_job(planner, builder,
			  &g_array_index(decision->starts, mt_start_t, i));
}

static void update_summary(mt_planner_t *planner,
			   const mt_view_builder_t *builder,
			   const mt_decision_t *decision)
{
	mt_planner_summary_t *summary = &planner->summary;

	memset(summary, 0, sizeof(*summary));
	summary->free_accelerators = decision->free_accelerators;
	summary->largest_free_block = decision->largest_free_block;
	summary->waiting = builder->view->waiting_jobs->len;
	summary->deficit = decision->deficit;
	summary->deficit_when_empty = decision->deficit_when_empty;
	for (guint i = 0; i < builder->view->waiting_jobs->len; i++)
		summary->queued_accelerators +=
			mt_shape_total(
				&mt_view_waiting_job(builder->view, i)->shape)
				.accelerators;
	for (guint i = 0; i < builder->view->servers->len; i++) {
		const mt_view_server_t *server =
			mt_view_server(builder->view, i);

		if (server->usable)
			summary->total_accelerators +=
				server->total.accelerators;
	}
	*mt_kernel_counter(planner->deps.kernel,
			   "guarantee_deficit_accelerators") =
		decision->deficit;
	*mt_kernel_counter(planner->deps.kernel, "jobs_waiting") =
		summary->waiting;
}

void mt_planner_decide(mt_planner_t *planner)
{
	mt_view_builder_t builder = mt_view_builder_new(planner);
	mt_decision_t *decision;

	update_guaranteed_since(planner, builder.view);
	decision = mt_decide(builder.view, MT_ALGORITHM_FULL);
	mt_kernel_count(planner->deps.kernel, "decisions_total");
	mt_invariant(planner->deps.kernel,
		     decision->deficit_after <= decision->deficit,
		     "guarantee_reclaimable",
		     "%u guaranteed accelerators cannot be placed after "
		     "a decision, %u before it",
		     decision->deficit_after, decision->deficit);
	update_summary(planner, &builder, decision);
	apply_decision(planner, &builder, decision);
	mt_decision_free(decision);
	mt_view_builder_clear(&builder);
}
