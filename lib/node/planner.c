/** @file planner.c Builds the view for a decision and carries it out. */
#include "node/planner.h"

#include <string.h>

/**
 * Scheduling history of a job, kept between decisions. A job has a run from the
 * run's creation until the run is dropped, also while the run waits for its
 * claim or is unwound.
 */
typedef struct mt_job_history_t {
	bool had_run;
	/**
	 * Time of the last decision at which the job had a run; valid if
	 * `had_run`.
	 */
	mt_ms_t run_last_seen_at;
	mt_ms_t guaranteed_since; /**< 0: not waiting, or not guaranteed */
} mt_job_history_t;

struct mt_planner_t {
	mt_planner_deps_t deps;
	GHashTable *histories; /**< job id to mt_job_history_t */
	mt_planner_summary_t summary;
};

/** A view under construction, with the tables needed to build it. */
typedef struct mt_view_builder_t {
	mt_view_t *view;
	/* Server id or account name to index + 1; 0 means not found. */
	GHashTable *server_index;
	GHashTable *account_index;
	GPtrArray *masks; /**< arrays of bool that the view refers to; owned */
} mt_view_builder_t;

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

static void record_has_run(const mt_planner_t *planner, const mt_job_id_t *job)
{
	mt_job_history_t *history = ensure_history(planner, job);

	history->had_run = true;
	history->run_last_seen_at = mt_kernel_now(planner->deps.kernel);
}

/** Time since the job last had a run here, or else since its acceptance. */
static mt_ms_t time_in_queue(const mt_planner_t *planner, const mt_job_t *job)
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

static mt_view_builder_t new_builder(const mt_planner_t *planner)
{
	mt_view_builder_t builder;

	builder.view = mt_view_new(mt_kernel_now(planner->deps.kernel),
				   &planner->deps.settings->policy);
	builder.server_index =
		g_hash_table_new(mt_name_hash, mt_name_key_equal);
	builder.account_index = g_hash_table_new_full(
		mt_name_hash, mt_name_key_equal, g_free, NULL);
	builder.masks = g_ptr_array_new_with_free_func(g_free);
	return builder;
}

static void clear_builder(mt_view_builder_t *builder)
{
	mt_view_free(builder->view);
	g_hash_table_destroy(builder->server_index);
	g_hash_table_destroy(builder->account_index);
	g_ptr_array_unref(builder->masks);
}

static mt_view_server_t make_view_server(const mt_server_info_t *info)
{
	return (mt_view_server_t){
		.id = info->id,
		.rack = info->rack,
		.total = {info->processors, info->memory_mb,
			  info->accelerators},
		.slots = info->slots,
	};
}

/** An account with its quota in `dc`; without a quota its limit is zero. */
static mt_view_account_t make_view_account(const mt_planner_t *planner,
					   const mt_name_t *name,
					   const mt_name_t *dc)
{
	const mt_quota_t *quota = mt_lists_quota(planner->deps.lists, name, dc);
	mt_view_account_t account = {.name = *name};

	if (quota) {
		account.guarantee = quota->guarantee;
		account.guarantee_adjacent = quota->guarantee_adjacent;
		account.limit = quota->limit;
	}
	return account;
}

static void add_servers(const mt_planner_t *planner, mt_view_builder_t *builder)
{
	GPtrArray *servers = mt_fleet_servers(planner->deps.fleet);
	mt_ms_t now = mt_kernel_now(planner->deps.kernel);

	for (guint i = 0; i < servers->len; i++) {
		mt_fleet_server_t *server = servers->pdata[i];
		mt_view_server_t entry = make_view_server(&server->info);

		entry.usable =
			mt_fleet_is_usable(planner->deps.fleet, server) &&
			!mt_health_is_quarantined(planner->deps.health,
						  &entry.id, now);
		g_array_append_val(builder->view->servers, entry);
		g_hash_table_insert(builder->server_index, &server->info.id,
				    GUINT_TO_POINTER(i + 1));
	}
}

/** Index of the account in the view; adds it if needed. */
static guint index_account(const mt_planner_t *planner,
			   mt_view_builder_t *builder, const mt_name_t *name)
{
	guint index = GPOINTER_TO_UINT(
		g_hash_table_lookup(builder->account_index, name));
	mt_view_account_t account;

	if (index)
		return index - 1;
	account = make_view_account(planner, name, &planner->deps.settings->dc);
	g_array_append_val(builder->view->accounts, account);
	index = builder->view->accounts->len;
	g_hash_table_insert(builder->account_index, mt_name_dup(name),
			    GUINT_TO_POINTER(index));
	return index - 1;
}

static void add_accounts(const mt_planner_t *planner,
			 mt_view_builder_t *builder)
{
	GPtrArray *accounts = mt_lists_accounts(planner->deps.lists);

	for (guint i = 0; i < accounts->len; i++) {
		const mt_account_t *account = accounts->pdata[i];

		index_account(planner, builder, &account->name);
	}
	g_ptr_array_unref(accounts);
}

static GArray *make_view_parts(const mt_view_builder_t *builder,
			       const mt_run_t *run)
{
	GArray *parts = g_array_new(FALSE, FALSE, sizeof(mt_part_t));

	for (guint i = 0; i < run->parts->len; i++) {
		const mt_run_part_t *part =
			&g_array_index(run->parts, mt_run_part_t, i);
		guint index = GPOINTER_TO_UINT(g_hash_table_lookup(
			builder->server_index, &part->server));
		mt_part_t entry = {index - 1, part->members};

		if (index)
			g_array_append_val(parts, entry);
	}
	return parts;
}

static void add_runs(const mt_planner_t *planner, mt_view_builder_t *builder)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, mt_runner_runs(planner->deps.runner));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		mt_run_t *run = value;
		mt_view_run_t entry = {0};

		record_has_run(planner, &run->job);
		entry.tag = run;
		entry.account = index_account(planner, builder, &run->account);
		entry.shape = run->shape;
		entry.parts = make_view_parts(builder, run);
		entry.started_at = run->created_at;
		entry.expected_end = run->created_at + run->expected_run_ms;
		entry.value = run->value;
		entry.stoppable = run->idempotent && !run->direct;
		entry.checkpointable = run->checkpointable;
		entry.urgent = run->urgent;
		entry.ending = run->phase == MT_PHASE_UNWIND ||
			       run->phase == MT_PHASE_COLLECT ||
			       run->phase == MT_PHASE_RECORD;
		entry.checkpointing = run->phase == MT_PHASE_UNWIND &&
				      run->cause == MT_CAUSE_RECLAIM &&
				      run->checkpointable &&
				      !run->no_checkpoint;
		g_array_append_val(builder->view->runs, entry);
	}
}

/**
 * Mask of the servers on which the job has failed. NULL if none of these
 * servers is usable, or if they are more than half of the usable ones.
 * @param job id of the job, as text
 */
static const bool *make_excluded_mask(const mt_planner_t *planner,
				      mt_view_builder_t *builder,
				      const mt_name_t *job)
{
	guint count = builder->view->servers->len;
	bool *mask = g_new0(bool, count + 1);
	guint n_usable = 0;
	guint n_masked = 0;

	for (guint i = 0; i < count; i++) {
		const mt_view_server_t *server =
			mt_view_server(builder->view, i);

		n_usable += server->usable;
		mask[i] = mt_health_job_failed_on(planner->deps.health, job,
						  &server->id);
		n_masked += server->usable && mask[i];
	}
	g_ptr_array_add(builder->masks, mask);
	return n_masked && 2 * n_masked <= n_usable ? mask : NULL;
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

/** Declared resources, with the memory raised to the estimator's value. */
static mt_shape_t granted_shape(const mt_planner_t *planner,
				const mt_job_t *job)
{
	mt_shape_t shape = mt_spec_shape(job->spec);

	shape.each.memory_mb =
		mt_estimator_memory_mb(planner->deps.estimator, &job->account,
				       job->spec->kind, job->spec->memory_mb);
	return shape;
}

static mt_ms_t time_to_deadline(const mt_planner_t *planner,
				const mt_job_t *job)
{
	mt_ms_t deadline = (mt_ms_t)job->spec->deadline_s * 1000;
	mt_ms_t waited = mt_planner_time_since_acceptance(planner, job);

	if (!deadline)
		return MT_NEVER_MS;
	return deadline > waited ? deadline - waited : 0;
}

static void add_waiting_job(const mt_planner_t *planner,
			    mt_view_builder_t *builder, mt_job_t *job)
{
	mt_name_t text = mt_job_id_text(&job->id);
	mt_view_waiting_job_t waiting_job = {0};

	waiting_job.tag = job;
	waiting_job.account = index_account(planner, builder, &job->account);
	waiting_job.shape = granted_shape(planner, job);
	waiting_job.waited_ms = time_in_queue(planner, job);
	waiting_job.expected_run_ms = mt_estimator_expected_run(
		planner->deps.estimator, &job->account, job->spec->kind,
		(mt_ms_t)job->spec->run_s * 1000);
	waiting_job.deadline_left_ms = time_to_deadline(planner, job);
	waiting_job.value = job->spec->value;
	waiting_job.urgent = job->spec->urgent;
	waiting_job.stoppable = job->spec->idempotent && !job->direct;
	waiting_job.excluded_servers =
		make_excluded_mask(planner, builder, &text);
	g_array_append_val(builder->view->waiting_jobs, waiting_job);
}

static void add_waiting_jobs(const mt_planner_t *planner,
			     mt_view_builder_t *builder)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, mt_jobs_live(planner->deps.jobs));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (mt_planner_is_startable(planner, value))
			add_waiting_job(planner, builder, value);
	}
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
	mt_view_builder_t builder = new_builder(planner);
	mt_decision_t *decision;

	add_servers(planner, &builder);
	add_accounts(planner, &builder);
	add_runs(planner, &builder);
	add_waiting_jobs(planner, &builder);
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
	clear_builder(&builder);
}

/** View of `dc` without runs; servers that are draining are unusable. */
static mt_view_t *empty_view(const mt_planner_t *planner, const mt_name_t *dc)
{
	const GArray *infos = mt_fleet_listed_servers(planner->deps.fleet);
	mt_view_t *view = mt_view_new(mt_kernel_now(planner->deps.kernel),
				      &planner->deps.settings->policy);
	GPtrArray *accounts = mt_lists_accounts(planner->deps.lists);

	for (guint i = 0; i < infos->len; i++) {
		const mt_server_info_t *info =
			&g_array_index(infos, mt_server_info_t, i);
		mt_view_server_t entry = make_view_server(info);

		entry.usable = !info->leaving;
		if (mt_name_equal(&info->dc, dc))
			g_array_append_val(view->servers, entry);
	}
	for (guint i = 0; i < accounts->len; i++) {
		const mt_account_t *account = accounts->pdata[i];
		mt_view_account_t entry =
			make_view_account(planner, &account->name, dc);

		g_array_append_val(view->accounts, entry);
	}
	g_ptr_array_unref(accounts);
	return view;
}

static void add_single_waiting_job(mt_view_t *view, const mt_job_t *job)
{
	mt_view_waiting_job_t waiting_job = {.shape = mt_spec_shape(job->spec),
					     .expected_run_ms = 1,
					     .deadline_left_ms = MT_NEVER_MS,
					     .stoppable =
						     job->spec->idempotent};

	for (guint i = 0; i < view->accounts->len; i++) {
		if (mt_name_equal(&mt_view_account(view, i)->name,
				  &job->account))
			waiting_job.account = i;
	}
	g_array_append_val(view->waiting_jobs, waiting_job);
}

static bool fits_when_empty(const mt_view_t *view, const mt_shape_t *shape)
{
	mt_free_capacity_t free_capacity = mt_free_capacity_new(view);
	GArray *parts = mt_place(&free_capacity, shape, NULL, MT_FIT_FIRST);

	mt_free_capacity_clear(&free_capacity);
	if (!parts)
		return false;
	g_array_unref(parts);
	return true;
}

/**
 * Reason why the job cannot run in `dc` even if nothing else ran there; NULL if
 * it can.
 */
static const char *infeasible_reason_in(const mt_planner_t *planner,
					const mt_job_t *job,
					const mt_name_t *dc)
{
	mt_shape_t shape = mt_spec_shape(job->spec);
	const mt_quota_t *quota =
		mt_lists_quota(planner->deps.lists, &job->account, dc);
	const char *infeasible_reason = NULL;
	mt_decision_t *decision;
	mt_view_t *view;

	if (!quota ||
	    !mt_resources_within(mt_shape_total(&shape), quota->limit))
		return "over_limit";
	view = empty_view(planner, dc);
	add_single_waiting_job(view, job);
	decision = mt_decide(view, MT_ALGORITHM_FULL);
	if (!fits_when_empty(view, &shape))
		infeasible_reason = "does_not_fit";
	else if (!decision->starts->len)
		infeasible_reason = "guarantees_leave_no_room";
	mt_decision_free(decision);
	mt_view_free(view);
	return infeasible_reason;
}

const char *mt_planner_infeasible_reason(const mt_planner_t *planner,
					 const mt_job_t *job,
					 mt_name_t *elsewhere)
{
	const mt_name_t *own = &planner->deps.settings->dc;
	GArray *dcs = planner->deps.settings->data_centres;
	const char *infeasible_reason;

	memset(elsewhere, 0, sizeof(*elsewhere));
	if (!mt_lists_account(planner->deps.lists, &job->account))
		return "account_removed";
	infeasible_reason = infeasible_reason_in(planner, job, own);
	for (guint i = 0; infeasible_reason && i < dcs->len && !elsewhere->len;
	     i++) {
		const mt_name_t *dc = &g_array_index(dcs, mt_name_t, i);

		if (!mt_name_equal(dc, own) &&
		    !infeasible_reason_in(planner, job, dc))
			*elsewhere = *dc;
	}
	return infeasible_reason;
}
