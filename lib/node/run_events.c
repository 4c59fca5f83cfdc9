/** @file run_events.c Job changes, server reports and lease renewal. */
#include <string.h>

#include "node/runner_internal.h"

/**
 * A server of a run on several servers counts as silent if its last answer is
 * older than the renewal period (setting `renew_ms`) plus this.
 */
#define SILENCE_MARGIN_MS 500u

static void on_claimed(mt_runner_t *runner, mt_run_t *run, const mt_job_t *job)
{
	if (run->phase != MT_PHASE_CLAIM)
		return;
	if (!mt_run_owns_claim(runner, run, job)) {
		mt_run_drop(runner, run);
		return;
	}
	mt_run_set_phase(runner, run, MT_PHASE_START);
	mt_run_advance(runner, run);
}

static void on_ended(mt_runner_t *runner, mt_run_t *run)
{
	if (run->phase == MT_PHASE_CLAIM) {
		mt_run_drop(runner, run);
	} else if (run->phase == MT_PHASE_RECORD) {
		mt_run_forget_tasks(runner, run);
		mt_run_drop(runner, run);
	} else {
		mt_run_unwind(runner, run, MT_CAUSE_ENDED, "");
	}
}

static void on_cancel(mt_runner_t *runner, mt_run_t *run)
{
	/* In CLAIM: a claim of a cancelled job is invalid, so
	 * on_claim_read_back() drops the run. In COLLECT and RECORD: the run is
	 * over and its outcome stands. If it gets none, because the claim is
	 * voided or the result is lost, the scheduler cancels the job once the
	 * run is dropped. In RECOVER: the cancellation is checked once all
	 * parts are known. */
	if (run->phase == MT_PHASE_CLAIM || run->phase == MT_PHASE_COLLECT ||
	    run->phase == MT_PHASE_RECORD || run->phase == MT_PHASE_RECOVER)
		return;
	mt_run_unwind(runner, run, MT_CAUSE_CANCEL, "cancelled");
}

void mt_runner_on_job(mt_runner_t *runner, mt_job_t *job,
		      mt_job_change_t change)
{
	mt_run_t *run = mt_runner_find(runner, &job->id);
	mt_name_t text = mt_job_id_text(&job->id);

	if (change == MT_JOB_ENDED || change == MT_JOB_DROPPED)
		mt_health_forget_job(runner->deps.health, &text);
	if (!run)
		return;
	switch (change) {
	case MT_JOB_CLAIMED:
		on_claimed(runner, run, job);
		break;
	case MT_JOB_CANCEL_REQUESTED:
		on_cancel(runner, run);
		break;
	case MT_JOB_ENDED:
		on_ended(runner, run);
		break;
	case MT_JOB_MOVED:
		if (!mt_name_equal(&job->dc, &runner->deps.settings->dc))
			mt_run_unwind(runner, run, MT_CAUSE_ENDED, "");
		break;
	case MT_JOB_CLAIM_VOIDED:
		mt_run_forget_tasks(runner, run);
		mt_run_drop(runner, run);
		break;
	case MT_JOB_DROPPED:
		mt_run_drop(runner, run);
		break;
	default:
		break;
	}
}

void mt_run_part_apply_report(mt_run_part_t *part,
			      const mt_fleet_server_t *server,
			      const mt_task_report_t *report)
{
	part->presence_known = true;
	part->start_sent = true;
	part->acked = true;
	part->began = part->began || report->began;
	part->state = report->state;
	part->fault = report->fault;
	part->used_memory_mb = report->used_memory_mb;
	part->ran_ms = report->ran_ms;
	part->token = server->token;
	part->boot = server->boot;
	if (part->version == 0)
		part->version = server->version;
}

static void apply_report(mt_runner_t *runner, mt_run_t *run,
			 const mt_fleet_server_t *server,
			 const mt_task_report_t *report)
{
	for (guint i = 0; i < run->parts->len; i++) {
		mt_run_part_t *part = mt_run_part(run, i);

		if (!mt_name_equal(&part->task, &report->task))
			continue;
		mt_run_part_apply_report(part, server, report);
		part->lease_until = server->last_ok_sent_at +
				    runner->deps.settings->lease_term_ms +
				    MT_LEASE_MARGIN_MS;
	}
}

/** Marks parts as lost if the server has restarted or reports no such task. */
static void mark_lost_parts(mt_run_t *run, const mt_fleet_server_t *server)
{
	for (guint i = 0; i < run->parts->len; i++) {
		mt_run_part_t *part = mt_run_part(run, i);

		if (!part->start_sent || part->stopped ||
		    !mt_name_equal(&part->server, &server->info.id))
			continue;
		if (!mt_name_equal(&part->boot, &server->boot))
			part->lost = true;
		else if (part->acked && !part->command_pending &&
			 server->version > part->version &&
			 !mt_fleet_has_task(server, &part->task))
			part->lost = true;
	}
}

/**
 * Ids of the runs with a part on this server. Callers look each run up by its
 * id, since handling one run may drop others.
 */
static GArray *run_ids_on(const mt_runner_t *runner,
			  const mt_fleet_server_t *server)
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	const GPtrArray *runs = mt_runner_runs_on(runner, &server->info.id);

	for (guint i = 0; i < runs->len; i++) {
		mt_run_t *run = runs->pdata[i];

		g_array_append_val(ids, run->id);
	}
	return ids;
}

static void on_report(mt_runner_t *runner, mt_fleet_server_t *server)
{
	GArray *reports = g_array_ref(server->tasks);
	GArray *ids;

	for (guint i = 0; i < reports->len; i++) {
		const mt_task_report_t *report =
			&g_array_index(reports, mt_task_report_t, i);
		mt_run_t *run =
			g_hash_table_lookup(runner->by_task, &report->task);

		if (run)
			apply_report(runner, run, server, report);
		else
			mt_runner_on_stray_task(runner, server, report);
	}
	g_array_unref(reports);
	ids = run_ids_on(runner, server);
	for (guint i = 0; i < ids->len; i++) {
		mt_run_t *run = g_hash_table_lookup(
			runner->by_id, &g_array_index(ids, uint64_t, i));

		if (!run)
			continue;
		if (run->phase == MT_PHASE_RECOVER)
			mt_run_mark_absent_parts(run, server);
		else
			mark_lost_parts(run, server);
		mt_run_advance(runner, run);
	}
	g_array_unref(ids);
}

/** Drops the server's runs: the new holder of its lease recovers them. */
static void on_lease_lost(mt_runner_t *runner, const mt_fleet_server_t *server)
{
	GArray *ids = run_ids_on(runner, server);

	for (guint i = 0; i < ids->len; i++) {
		mt_run_t *run = g_hash_table_lookup(
			runner->by_id, &g_array_index(ids, uint64_t, i));

		if (run)
			mt_run_drop(runner, run);
	}
	g_array_unref(ids);
}

void mt_runner_on_fleet(mt_runner_t *runner, mt_fleet_server_t *server,
			mt_fleet_event_t event)
{
	if (event == MT_FLEET_LEASE_LOST)
		on_lease_lost(runner, server);
	else if (event != MT_FLEET_LIST_UPDATED)
		on_report(runner, server);
	if (event != MT_FLEET_RENEWED)
		runner->handler.changed(runner->handler.ctx);
}

/**
 * True when none of the run's servers is silent (see SILENCE_MARGIN_MS).
 * Otherwise no task lease of the run is renewed. So once a server is lost, the
 * other parts run on for at most the renewal period, the margin and one lease
 * term. The bound in runner.h, two lease terms, allows this if the period and
 * the margin together are at most one term. They are: the settings limit the
 * period to a third of a term and a term to at least 1 s, so at least 666 ms
 * are left for the margin.
 */
static bool have_all_servers_answered(const mt_runner_t *runner,
				      const mt_run_t *run)
{
	mt_ms_t silence = runner->deps.settings->renew_ms + SILENCE_MARGIN_MS;
	mt_ms_t now = mt_kernel_now(runner->deps.kernel);

	for (guint i = 0; i < run->parts->len; i++) {
		const mt_run_part_t *part = mt_run_part(run, i);
		const mt_fleet_server_t *server =
			mt_fleet_find(runner->deps.fleet, &part->server);

		if (part->acked &&
		    (!server || now > server->last_ok_answered_at + silence))
			return false;
	}
	return true;
}

/** True when the run's task leases are to be renewed. */
static bool should_renew(const mt_runner_t *runner, const mt_run_t *run)
{
	/* While a run is unwound, its task leases are renewed only if its tasks
	 * save checkpoints. */
	if (run->phase == MT_PHASE_UNWIND)
		return run->cause == MT_CAUSE_RECLAIM && run->checkpointable &&
		       !run->no_checkpoint;
	if (run->part_count == 1)
		return true;
	/* While parts of the run are missing, its task leases are left to
	 * expire. */
	if (run->phase == MT_PHASE_RECOVER &&
	    mt_run_count_acked(run) < run->part_count)
		return false;
	return have_all_servers_answered(runner, run);
}

/** True when two tasks are parts of one run. */
static bool is_same_run(const mt_name_t *a, const mt_name_t *b)
{
	const char *end = strrchr(a->text, '.');

	return end && !strncmp(a->text, b->text, (size_t)(end - a->text) + 1);
}

/** Unfinished parts of the task's run on servers with confirmed leases. */
static guint count_unfinished_parts(const mt_runner_t *runner,
				    const mt_name_t *task)
{
	const GPtrArray *servers = mt_fleet_servers(runner->deps.fleet);
	guint count = 0;

	for (guint i = 0; i < servers->len; i++) {
		const mt_fleet_server_t *server = servers->pdata[i];

		for (guint k = 0; server->tasks && k < server->tasks->len;
		     k++) {
			const mt_task_report_t *report = &g_array_index(
				server->tasks, mt_task_report_t, k);

			count += server->confirmed &&
				 !mt_task_state_is_final(report->state) &&
				 is_same_run(task, &report->task);
		}
	}
	return count;
}

/**
 * True when the lease of a stray task, one without an mt_run_t, is to be
 * renewed. Until the job table has been read from the log, a task is kept
 * running if all parts of its run are reported. After that, its lease is left
 * to expire unless the task is recovered.
 */
static bool should_renew_stray(const mt_runner_t *runner,
			       const mt_task_report_t *report)
{
	return !runner->jobs_loaded &&
	       (report->servers == 1 ||
		count_unfinished_parts(runner, &report->task) ==
			report->servers);
}

void mt_runner_add_tasks_to_skip(mt_runner_t *runner,
				 const mt_fleet_server_t *server, GArray *tasks)
{
	for (guint i = 0; server->tasks && i < server->tasks->len; i++) {
		const mt_task_report_t *report =
			&g_array_index(server->tasks, mt_task_report_t, i);
		mt_run_t *run =
			g_hash_table_lookup(runner->by_task, &report->task);
		bool renewed = run ? should_renew(runner, run)
				   : should_renew_stray(runner, report);

		if (!renewed)
			g_array_append_val(tasks, report->task);
	}
}

void mt_runner_tick(mt_runner_t *runner)
{
	GList *runs = g_hash_table_get_values(runner->by_job);
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (GList *at = runs; at; at = at->next)
		g_array_append_val(ids, ((mt_run_t *)at->data)->id);
	g_list_free(runs);
	for (guint i = 0; i < ids->len; i++) {
		mt_run_t *run = g_hash_table_lookup(
			runner->by_id, &g_array_index(ids, uint64_t, i));

		if (run)
			mt_run_advance(runner, run);
	}
	g_array_unref(ids);
}
