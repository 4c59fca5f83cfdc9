/**
 * @file reports.c Applies the reports of servers: their active and ended runs.
 */
#include "dag/engine_internal.h"

/**
 * After this many consecutive failed runs on a server, it is suspect for some
 * time.
 */
#define AVOID_FAIL_STREAK 2u

/**
 * How long a server is suspect after AVOID_FAIL_STREAK consecutive failed runs,
 * unless a run succeeds. This time starts at the minimum and doubles with each
 * further failed run, up to the maximum.
 */
#define AVOID_FAILING_MIN_MS 4000u
#define AVOID_FAILING_MAX_MS 32000u

void mt_reports_note_failure(mt_engine_t *engine, mt_backend_t *backend)
{
	mt_ms_t avoid_ms = AVOID_FAILING_MIN_MS;

	backend->fail_streak++;
	if (backend->fail_streak < AVOID_FAIL_STREAK)
		return;
	for (unsigned i = AVOID_FAIL_STREAK;
	     i < backend->fail_streak && avoid_ms < AVOID_FAILING_MAX_MS; i++)
		avoid_ms *= 2;
	backend->suspect_until = mt_engine_now(engine) + avoid_ms;
	mt_kernel_event(engine->deps.kernel, "server_avoided",
			"\"server\":\"%s\",\"failures\":%u,\"for_ms\":%u",
			backend->log_name, backend->fail_streak,
			(unsigned)avoid_ms);
}

/** Counts a successful run on the server. */
static void note_success(mt_backend_t *backend)
{
	if (backend->fail_streak >= AVOID_FAIL_STREAK)
		backend->suspect_until = 0;
	backend->fail_streak = 0;
}

static void fail_job(mt_engine_t *engine, mt_dag_job_t *job)
{
	job->state = MT_DAG__STATE__FAILED;
	mt_dag_job_mark_dirty(job);
	mt_kernel_event(engine->deps.kernel, "job_failed",
			"\"job\":\"%016" G_GINT64_MODIFIER
			"x\",\"reason\":\"attempts used up\"",
			job->id);
	mt_engine_stop_tasks(engine, job);
}

/**
 * Called when a run of a gang has failed, or has ended with MT_END_GANG_BROKEN.
 * The other running members need no command: by a rule of the platform, when
 * one member of a gang ends, the servers of the others end these themselves,
 * with the reason MT_END_GANG_BROKEN. Members whose start is not confirmed yet
 * are stopped here, as they may never have been started.
 */
static void stop_starting_members(mt_engine_t *engine, mt_dag_step_t *step)
{
	for (guint i = 0; i < step->tasks->len; i++) {
		mt_dag_task_t *task = step->tasks->pdata[i];

		if (task->phase == MT_TASK_PHASE_STARTING)
			mt_commands_stop(engine, task);
	}
}

/**
 * Called when a run of the step ended without success. If the step is a gang,
 * stops the other members, except those that the servers end themselves, see
 * stop_starting_members().
 * @param reason why the run ended
 */
static void stop_rest_of_gang(mt_engine_t *engine, mt_dag_step_t *step,
			      mt_end_reason_t reason)
{
	if (!step->spec->gang)
		return;
	if (reason == MT_END_FAILED || reason == MT_END_GANG_BROKEN)
		stop_starting_members(engine, step);
	else
		mt_commands_stop_gang(engine, step);
}

void mt_reports_run_lost(mt_engine_t *engine, mt_dag_task_t *task,
			 const char *why)
{
	mt_dag_step_t *step = task->step;

	mt_kernel_event(
		engine->deps.kernel, "run_lost",
		"\"job\":\"%016" G_GINT64_MODIFIER
		"x\",\"step\":%u,\"task\":%u,\"run\":%u,\"server\":\"%s\","
		"\"reason\":\"%s\"",
		step->job->id, step->index, task->index, task->run,
		task->server ? task->server->log_name : "", why);
	if (step->spec->gang && step->n_done < step->spec->count)
		mt_work_lost_on_stop(&engine->work_lost, engine->deps.kernel,
				     task, MT_WORK_LOST_GANG_BROKEN);
	mt_dag_task_unplace(task);
	if (step->spec->gang && step->n_done < step->spec->count)
		mt_commands_stop_gang(engine, step);
	mt_engine_request_pass(engine);
}

void mt_reports_server_restarted(mt_engine_t *engine, mt_backend_t *backend,
				 int64_t born_ms)
{
	mt_kernel_event(engine->deps.kernel, "server_restarted",
			"\"server\":\"%s\",\"tasks\":%u", backend->log_name,
			backend->tasks->len);
	backend->born_ms = born_ms;
	/* The new process may have received a command with a lease by the old
	 * process's clock, which is ahead. It grants the longest lease then. */
	if (backend->clock_known)
		mt_backend_note_lease(backend, mt_engine_now(engine),
				      engine->deps.timings.lease_max_ms);
	backend->clock_known = false;
	backend->hold_answered = false;
	backend->last_end_handled = 0;
	backend->last_end_stored = 0;
	backend->last_end_deletable_sent = 0;
	mt_speed_model_forget(engine->speeds, backend->info.target.id);
	mt_engine_request_pass(engine);
}

/**
 * True if the task needs no further run. A long-running task (`lasting`) is
 * started again however its run ended.
 */
static bool finishes_task(const mt_dag_task_t *task, mt_end_reason_t reason)
{
	return reason == MT_END_DONE && !task->step->spec->lasting;
}

/** Sets the task, or its whole gang, to done, and counts the work. */
static void finish_task(mt_engine_t *engine, mt_dag_task_t *task)
{
	uint32_t n_done = task->step->n_done;

	mt_dag_task_finish(task);
	if (engine->load_summary)
		mt_load_summary_note_done(engine->load_summary, task->step,
					  task->step->n_done - n_done);
}

/** Applies the end of the task's last run. */
static void apply_end(mt_engine_t *engine, mt_backend_t *backend,
		      mt_dag_task_t *task, mt_end_reason_t reason)
{
	mt_dag_job_t *job = task->step->job;

	job->begun = true;
	if (reason == MT_END_DONE)
		note_success(backend);
	if (task->step->spec->gang && !finishes_task(task, reason))
		mt_work_lost_on_stop(&engine->work_lost, engine->deps.kernel,
				     task, MT_WORK_LOST_GANG_BROKEN);
	if (finishes_task(task, reason)) {
		mt_server_speeds_note_end(engine, task);
		mt_step_times_note_end(engine, task);
		finish_task(engine, task);
	} else if (reason == MT_END_FAILED) {
		mt_reports_note_failure(engine, backend);
		if (!mt_dag_task_fail(task))
			fail_job(engine, job);
		else
			stop_rest_of_gang(engine, task->step, reason);
	} else {
		mt_dag_task_unplace(task);
		stop_rest_of_gang(engine, task->step, reason);
	}
	mt_dag_job_update_state(job);
}

/**
 * True for the success of an earlier run than the present one: that run was
 * given up as lost, but its work is done. Members of a gang are left out, as
 * the present run of the whole gang would have to be stopped.
 */
static bool is_late_success(const mt_dag_task_t *task,
			    const mt_ended_run_t *ended)
{
	return ended->run < task->run && !task->step->spec->gang &&
	       task->phase != MT_TASK_PHASE_DONE &&
	       finishes_task(task, ended->reason);
}

/** Finishes a task whose earlier run has succeeded, and stops its present run.
 */
static void apply_late_success(mt_engine_t *engine, mt_dag_task_t *task)
{
	mt_task_key_t key = mt_dag_task_key(task);

	if (task->server && task->placement_stored &&
	    task->server->info.target.port)
		mt_commands_stop_stray(engine, task->server, &key, task->run);
	task->step->job->begun = true;
	finish_task(engine, task);
	mt_dag_job_update_state(task->step->job);
}

static void on_ended_run(mt_engine_t *engine, mt_backend_t *backend,
			 const mt_ended_run_t *ended)
{
	mt_dag_job_t *job = mt_engine_job(engine, ended->task.job);
	mt_dag_task_t *task =
		job ? mt_dag_job_find_task(job, &ended->task) : NULL;

	/* `known`: the run is the last run of a task in memory. */
	mt_kernel_event(engine->deps.kernel, "run_ended",
			"\"job\":\"%016" G_GINT64_MODIFIER
			"x\",\"step\":%u,\"task\":%u,\"run\":%u,"
			"\"server\":\"%s\",\"end\":%d,\"known\":%s",
			ended->task.job, ended->task.step, ended->task.index,
			ended->run, backend->log_name, ended->reason,
			task && task->run == ended->run ? "true" : "false");
	if (task && is_late_success(task, ended)) {
		apply_late_success(engine, task);
		return;
	}
	if (!task || task->run != ended->run)
		return;
	if (task->server && task->server != backend)
		return;
	mt_dag_task_save_checkpoint(task, ended->checkpoint,
				    mt_engine_now(engine));
	if (task->phase == MT_TASK_PHASE_DONE) {
		mt_dag_task_unplace(task);
		return;
	}
	/* The task has no server if its last run was given up as lost. That run
	 * still counts if it succeeded. */
	if (!task->server && !finishes_task(task, ended->reason))
		return;
	apply_end(engine, backend, task, ended->reason);
}

/**
 * Handles an active run in a report. A run that is not the present run of a
 * task on this server is stopped.
 */
static void on_active_run(mt_engine_t *engine, mt_backend_t *backend,
			  const mt_active_run_t *active)
{
	mt_dag_job_t *job = mt_engine_job(engine, active->task.job);
	mt_dag_task_t *task =
		job ? mt_dag_job_find_task(job, &active->task) : NULL;
	mt_ms_t now = mt_engine_now(engine);
	bool progressed;

	if (!task || task->server != backend || task->run != active->run) {
		backend->n_stray_runs++;
		mt_commands_stop_stray(engine, backend, &active->task,
				       active->run);
		return;
	}
	if (task->phase == MT_TASK_PHASE_STARTING) {
		task->phase = MT_TASK_PHASE_RUNNING;
		task->start_settled_at = now;
		job->begun = true;
		mt_dag_job_update_state(job);
	}
	progressed = task->percent != active->percent;
	if (progressed) {
		task->percent = active->percent;
		task->progressed_at = now;
	}
	mt_relocation_note_progress(task, now);
	mt_server_speeds_note_progress(engine, task, progressed);
	mt_dag_task_save_checkpoint(task, active->checkpoint, now);
	if (task->stop_wanted || job->state >= MT_DAG__STATE__COMPLETED)
		mt_commands_stop(engine, task);
}

/** True if the report lists the task's present run as active. */
static bool is_reported_active(const mt_backend_answer_t *answer,
			       const mt_dag_task_t *task)
{
	mt_task_key_t key = mt_dag_task_key(task);

	for (size_t i = 0; i < answer->n_active_runs; i++) {
		const mt_active_run_t *active = &answer->active_runs[i];

		if (active->run == task->run && active->task.job == key.job &&
		    active->task.occurrence == key.occurrence &&
		    active->task.step == key.step &&
		    active->task.index == key.index)
			return true;
	}
	return false;
}

/**
 * True if the report in the answer to a hold sent at `sent_at` must list the
 * task's run, as active or as ended. If the report does not list it, the run is
 * lost: it never began and will not begin any more, or the server has lost it,
 * for example in a restart. The first case that applies decides:
 * - All leases on the server were over when the hold was sent, and this leader
 *   sent the start before that: true. If it is carried out only now, it is
 *   refused, as its lease is over.
 * - The server has confirmed the stop of the run: true if it did so before the
 *   hold was sent, as the report may otherwise be older than the stop.
 * - The start is settled, see mt_dag_task_t.start_settled_at: true if it was
 *   settled before the hold was sent, as the report may otherwise be older.
 * - An earlier leader placed the task, and no start command of this leader is
 *   in flight: true. A start sent by the earlier leader can no longer take
 *   effect, since the server has seen the present term in the hold.
 * - Otherwise false.
 */
static bool report_must_list(const mt_dag_task_t *task, mt_ms_t sent_at)
{
	if (task->first_start_sent_at && !task->start_in_flight &&
	    sent_at >= task->server->leases_expire_at)
		return true;
	if (task->stop_confirmed_at)
		return sent_at > task->stop_confirmed_at;
	if (task->start_settled_at)
		return sent_at > task->start_settled_at;
	return task->placement_stored && !task->start_in_flight &&
	       task->restored;
}

/**
 * Gives up as lost each run on this server for which report_must_list() is true
 * and which the report does not list. The ended runs in the report have been
 * applied before, so that only active runs are looked up. A report that does
 * not list all runs says nothing about those that are missing.
 */
static void mark_missing_lost(mt_engine_t *engine, mt_backend_t *backend,
			      const mt_backend_answer_t *answer,
			      mt_ms_t sent_at)
{
	if (answer->runs_missing)
		return;
	for (guint i = backend->tasks->len; i-- > 0;) {
		mt_dag_task_t *task;

		/* Handling a task may have removed others of its gang. */
		if (i >= backend->tasks->len)
			continue;
		task = backend->tasks->pdata[i];
		if (report_must_list(task, sent_at) &&
		    !is_reported_active(answer, task))
			mt_reports_run_lost(engine, task,
					    "unknown to its server");
	}
}

void mt_reports_apply_ends(mt_engine_t *engine, mt_backend_t *backend,
			   const mt_backend_answer_t *answer)
{
	for (size_t i = 0; i < answer->n_ended; i++) {
		if (answer->ended[i].number <= backend->last_end_handled)
			continue;
		on_ended_run(engine, backend, &answer->ended[i]);
		backend->last_end_handled = answer->ended[i].number;
	}
	if (answer->n_ended)
		mt_engine_request_pass(engine);
}

void mt_reports_apply(mt_engine_t *engine, mt_backend_t *backend,
		      const mt_backend_answer_t *answer, mt_ms_t sent_at)
{
	mt_reports_apply_ends(engine, backend, answer);
	backend->n_stray_runs = 0;
	for (size_t i = 0; i < answer->n_active_runs; i++)
		on_active_run(engine, backend, &answer->active_runs[i]);
	mark_missing_lost(engine, backend, answer, sent_at);
	backend->reported_at = mt_engine_now(engine);
}
