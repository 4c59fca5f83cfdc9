/** @file planner_view.c Builds the view for a decision. */
#include "node/planner_internal.h"

mt_view_server_t mt_planner_view_server(const mt_server_info_t *info)
{
	return (mt_view_server_t){
		.id = info->id,
		.rack = info->rack,
		.total = {info->processors, info->memory_mb,
			  info->accelerators},
		.slots = info->slots,
	};
}

mt_view_account_t mt_planner_view_account(const mt_planner_t *planner,
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
		mt_view_server_t entry = mt_planner_view_server(&server->info);

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
	account = mt_planner_view_account(planner, name,
					  &planner->deps.settings->dc);
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

		mt_planner_record_run(planner, &run->job);
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
	waiting_job.waited_ms = mt_planner_time_in_queue(planner, job);
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

mt_view_builder_t mt_view_builder_new(const mt_planner_t *planner)
{
	mt_view_builder_t builder;

	builder.view = mt_view_new(mt_kernel_now(planner->deps.kernel),
				   &planner->deps.settings->policy);
	builder.server_index =
		g_hash_table_new(mt_name_hash, mt_name_key_equal);
	builder.account_index = g_hash_table_new_full(
		mt_name_hash, mt_name_key_equal, g_free, NULL);
	builder.masks = g_ptr_array_new_with_free_func(g_free);
	add_servers(planner, &builder);
	add_accounts(planner, &builder);
	add_runs(planner, &builder);
	add_waiting_jobs(planner, &builder);
	return builder;
}

void mt_view_builder_clear(mt_view_builder_t *builder)
{
	mt_view_free(builder->view);
	g_hash_table_destroy(builder->server_index);
	g_hash_table_destroy(builder->account_index);
	g_ptr_array_unref(builder->masks);
}
