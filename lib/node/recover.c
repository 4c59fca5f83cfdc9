/**
 * @file recover.c
 * Recovers runs that another host, or this one earlier, has started: creates
 * their mt_run_t from the open claim of the job or, for an idempotent job, from
 * the tasks that servers report. A stray task is a reported task without an
 * mt_run_t.
 */
#include <string.h>

#include "node/runner_internal.h"

static void ignore_reply(void *ctx, const mt_server_reply_t *reply)
{
	(void)ctx;
	(void)reply;
}

void mt_runner_send_task_command(mt_runner_t *runner, mt_fleet_server_t *server,
				 const mt_name_t *task, mt_server_op_t op)
{
	mt_server_request_t request = {.op = op};

	request.task = *task;
	mt_fleet_command(runner->deps.fleet, server, &request, ignore_reply,
			 NULL);
}

/** Stops a stray task, or has its server forget it once it has ended. */
static void remove_stray_task(mt_runner_t *runner, mt_fleet_server_t *server,
			      const mt_task_report_t *report)
{
	mt_kernel_count(runner->deps.kernel, "stray_tasks_total");
	mt_runner_send_task_command(runner, server, &report->task,
				    mt_task_state_is_final(report->state)
					    ? MT_SERVER_FORGET
					    : MT_SERVER_STOP);
}

static void fill_reported_part(const mt_fleet_server_t *server,
			       const mt_task_report_t *report,
			       mt_run_part_t *part)
{
	part->server = server->info.id;
	part->task = report->task;
	part->members = report->members;
	mt_run_part_apply_report(part, server, report);
}

/** True for the label of a run of the job that was unwound and dropped. */
static bool was_unwound(const mt_runner_t *runner, const mt_job_t *job,
			const mt_name_t *run_label)
{
	const mt_name_t *label = g_hash_table_lookup(runner->unwound, &job->id);

	return label && mt_name_equal(label, run_label);
}

/**
 * Adds a task of an idempotent job to the job's run, created if needed. A task
 * of a run that this host has unwound is removed: the report may be older than
 * that.
 */
static void recover_idempotent_task(mt_runner_t *runner,
				    mt_fleet_server_t *server, mt_job_t *job,
				    const mt_name_t *run_label,
				    const mt_task_report_t *report)
{
	mt_run_t *run = mt_runner_find(runner, &job->id);
	mt_run_part_t part = {0};

	if (!run && was_unwound(runner, job, run_label)) {
		remove_stray_task(runner, server, report);
		return;
	}
	if (!run) {
		run = mt_run_new(runner, job, MT_PHASE_RECOVER);
		run->run_label = *run_label;
		run->part_count = report->servers;
		mt_kernel_count(runner->deps.kernel, "runs_recovered_total");
	}
	if (run->phase != MT_PHASE_RECOVER ||
	    !mt_name_equal(&run->run_label, run_label)) {
		remove_stray_task(runner, server, report);
		return;
	}
	fill_reported_part(server, report, &part);
	part.lease_until = mt_kernel_now(runner->deps.kernel) +
			   runner->deps.settings->lease_term_ms +
			   MT_LEASE_MARGIN_MS;
	/* The memory granted may exceed the spec; only the report tells it. */
	run->shape.each.memory_mb = report->memory_mb / MAX(1, report->members);
	mt_run_add_part(runner, run, &part);
}

/** Claim number from the run label `c<number>`; 0: malformed. */
static uint64_t parse_claim_number(const mt_name_t *run_label)
{
	mt_str_t digits = {run_label->text + 1, (size_t)(run_label->len - 1)};
	uint64_t number;

	return run_label->len > 1 && mt_str_to_u64(digits, &number) ? number
								    : 0;
}

static void on_claimed_stray_task(mt_runner_t *runner,
				  mt_fleet_server_t *server, mt_job_t *job,
				  const mt_name_t *run_label,
				  const mt_task_report_t *report)
{
	uint64_t number = parse_claim_number(run_label);

	if (!mt_job_is_live(job)) {
		remove_stray_task(runner, server, report);
	} else if (job->claim && number == job->claim->number) {
		if (!mt_runner_find(runner, &job->id))
			mt_runner_recover_claim(runner, job);
	} else if (number <= job->last_claim_number) {
		/* A task of a voided claim (or with a malformed number), so it
		 * never began. Nothing is sent: its lease is left to expire,
		 * and the task is removed once the job has ended. */
		mt_invariant(runner->deps.kernel, !report->began,
			     "void_claim_never_began", "task %s",
			     report->task.text);
	}
	/* A higher number belongs to a claim that has not been read from the
	 * log yet. */
}

void mt_runner_on_stray_task(mt_runner_t *runner, mt_fleet_server_t *server,
			     const mt_task_report_t *report)
{
	mt_job_id_t id;
	mt_name_t run_label;
	uint32_t index;
	mt_job_t *job;

	if (!runner->jobs_loaded ||
	    !mt_task_name_parse(&report->task, &id, &run_label, &index))
		return;
	job = mt_jobs_find(runner->deps.jobs, &id);
	if (mt_task_is_claimed(&report->task)) {
		/* The job's records may not be known here, and only the task
		 * shows whether it began. So a claimed task of an unknown job
		 * is never removed. */
		if (job)
			on_claimed_stray_task(runner, server, job, &run_label,
					      report);
		return;
	}
	if (!job || !mt_job_is_live(job) || job->direct ||
	    !mt_name_equal(&job->dc, &runner->deps.settings->dc))
		remove_stray_task(runner, server, report);
	else
		recover_idempotent_task(runner, server, job, &run_label,
					report);
}

void mt_runner_recover_claim(mt_runner_t *runner, mt_job_t *job)
{
	mt_run_t *run = mt_run_new(runner, job, MT_PHASE_RECOVER);
	char text[16];

	run->claim_number = job->claim->number;
	g_snprintf(text, sizeof(text), "c%u", run->claim_number);
	run->run_label = mt_name(text);
	run->part_count = (uint32_t)job->claim->n_targets;
	for (guint i = 0; i < run->part_count; i++) {
		const MtPb__ClaimTarget *target = job->claim->targets[i];
		mt_run_part_t part = {0};

		part.server = mt_name(target->server);
		part.boot = mt_name(target->boot);
		part.members = target->members;
		part.task = mt_run_task_name(run, i);
		/* The claim's holder may have sent START. When the task lease
		 * expires is not known before the server reports the task. */
		part.start_sent = true;
		part.lease_until = MT_NEVER_MS;
		mt_run_add_part(runner, run, &part);
	}
	mt_kernel_count(runner->deps.kernel, "runs_recovered_total");
}

/**
 * True when a task that is missing from the server's last report will never
 * start there. This holds only for a report that was requested after this run
 * was created, and so after the claim was read: by answering under this host's
 * token, the server began to refuse the older token of the claim's holder. An
 * earlier report proves nothing, since the holder may have had the server lease
 * between the report and the claim, and may have sent START then.
 */
static bool is_report_conclusive(const mt_run_t *run,
				 const mt_fleet_server_t *server)
{
	return server->leased && server->last_ok_sent_at > run->created_at;
}

void mt_run_mark_absent_parts(mt_run_t *run, const mt_fleet_server_t *server)
{
	for (guint i = 0; i < run->parts->len; i++) {
		mt_run_part_t *part = mt_run_part(run, i);

		if (part->presence_known ||
		    !is_report_conclusive(run, server) ||
		    !mt_name_equal(&part->server, &server->info.id) ||
		    mt_fleet_has_task(server, &part->task))
			continue;
		part->presence_known = true;
		if (mt_name_equal(&part->boot, &server->boot))
			part->stopped = true;
		else
			part->lost = true;
	}
}

guint mt_run_count_acked(const mt_run_t *run)
{
	guint n_acked = 0;

	for (guint i = 0; i < run->parts->len; i++)
		n_acked += mt_run_part(run, i)->acked;
	return n_acked;
}

/**
 * True when it is known of each part whether its server has the task, and no
 * further part is expected to be reported.
 */
static bool are_all_parts_known(mt_runner_t *runner, mt_run_t *run)
{
	for (guint i = 0; i < run->parts->len; i++) {
		mt_run_part_t *part = mt_run_part(run, i);
		mt_fleet_server_t *server =
			mt_fleet_find(runner->deps.fleet, &part->server);

		if (!part->presence_known && server)
			mt_run_mark_absent_parts(run, server);
		if (!part->presence_known &&
		    mt_fleet_is_gone(runner->deps.fleet, &part->server)) {
			part->presence_known = true;
			part->lost = true;
		}
		if (!part->presence_known)
			return false;
	}
	return run->parts->len == run->part_count || runner->discovery_done;
}

void mt_run_advance_recover(mt_runner_t *runner, mt_run_t *run)
{
	mt_job_t *job = mt_jobs_find(runner->deps.jobs, &run->job);

	if (!job || !are_all_parts_known(runner, run))
		return;
	if (job->cancel_requested)
		mt_run_unwind(runner, run, MT_CAUSE_CANCEL, "cancelled");
	else if (mt_run_count_acked(run) < run->part_count)
		mt_run_unwind(runner, run, MT_CAUSE_LOST, "not_recovered");
	else
		mt_run_set_phase(runner, run, MT_PHASE_RELEASE);
	run = mt_runner_find(runner, &job->id);
	if (run && run->phase == MT_PHASE_RELEASE)
		mt_run_advance(runner, run);
}
