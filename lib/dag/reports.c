/**
 * @file reports.c Applies the reports of servers: their active and ended runs.
 */
#include "dag/engine_internal.h"

/** No task is placed on a server after this many consecutive failed runs. */
#define AVOID_FAIL_STREAK 2u

/** How long no task is placed there; doubles with each further failure. */
#define AVOID_FAILING_MIN_MS 4000u
#define AVOID_FAILING_MAX_MS 32000u

/** Counts a failed run on the server. */
static void record_failure(mt_engine_t *engine, mt_backend_t *backend)
{
	mt_ms_t avoid = AVOID_FAILING_MIN_MS;

	backend->fail_streak++;
	if (backend->fail_streak < AVOID_FAIL_STREAK)
		return;
	for (unsigned i = AVOID_FAIL_STREAK;
	     i < backend->fail_streak && avoid < AVOID_FAILING_MAX_MS; i++)
		avoid *= 2;
	backend->avoid_until = mt_engine_now(engine) + avoid;
	mt_kernel_event(engine->deps.kernel, "server_avoided",
			"\"server\":\"%s\",\"failures\":%u,\"for_ms\":%u",
			backend->info.target.id.text, backend->fail_streak,
			(unsigned)avoid);
}

static void fail_job(mt_engine_t *engine, mt_dag_job_t *job)
{
	job->state = MT_DAG__STATE__FAILED;
	job->dirty = true;
	mt_kernel_event(engine->deps.kernel, "job_failed",
			"\"job\":\"%016" G_GINT64_MODIFIER
			"x\",\"reason\":\"attempts used up\"",
			job->id);
	mt_engine_stop_tasks(engine, job);
}

/**
 * Called when a run of a gang has failed, or has ended with MT_END_GANG_BROKEN.
 * The servers themselves end the other running members for the latter reason.
 * Members whose start is not confirmed yet are stopped here, as they may never
 * have been started.
 */
static void stop_starting_members(mt_engine_t *engine, mt_dag_step_t *step)
{
	for (uint32_t i = 0; i < step->spec->count; i++) {
		if (step->tasks[i].phase == MT_TASK_PHASE_STARTING)
			mt_commands_stop(engine, &step->tasks[i]);
	}
}

/** Called when a run of the step ended without success, for reason `end`. */
static void stop_rest_of_gang(mt_engine_t *engine, mt_dag_step_t *step,
			      mt_end_reason_t end)
{
	if (!step->spec->gang)
		return;
	if (end == MT_END_FAILED || end == MT_END_GANG_BROKEN)
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
		step->job->id, step->number, task->index, task->run,
		task->server ? task->server->info.target.id.text : "", why);
	mt_dag_task_unplace(task);
	if (step->spec->gang && step->n_done < step->spec->count)
		mt_commands_stop_gang(engine, step);
	mt_engine_request_pass(engine);
}

void mt_reports_server_restarted(mt_engine_t *engine, mt_backend_t *backend,
				 int64_t born_ms)
{
	mt_kernel_event(engine->deps.kernel, "server_restarted",
			"\"server\":\"%s\",\"tasks\":%u",
			backend->info.target.id.text, backend->tasks->len);
	backend->born_ms = born_ms;
	backend->clock_known = false;
	backend->hold_answered = false;
	backend->last_end_read = 0;
	backend->last_end_stored = 0;
	backend->last_end_acknowledged = 0;
	mt_engine_request_pass(engine);
}

/** Applies the end of the task's present run. */
static void apply_end(mt_engine_t *engine, mt_backend_t *backend,
		      mt_dag_task_t *task, mt_end_reason_t end)
{
	mt_dag_job_t *job = task->step->job;

	job->begun = true;
	if (end == MT_END_DONE) {
		backend->fail_streak = 0;
		mt_dag_task_finish(task);
	} else if (end == MT_END_FAILED) {
		record_failure(engine, backend);
		if (!mt_dag_task_fail(task))
			fail_job(engine, job);
		else
			stop_rest_of_gang(engine, task->step, end);
	} else {
		mt_dag_task_unplace(task);
		stop_rest_of_gang(engine, task->step, end);
	}
	mt_dag_job_update_state(job);
}

static void on_end(mt_engine_t *engine, mt_backend_t *backend,
		   const mt_ended_run_t *ended)
{
	mt_dag_job_t *job = mt_engine_job(engine, ended->task.job);
	mt_dag_task_t *task =
		job ? mt_dag_job_find_task(job, &ended->task) : NULL;

	mt_kernel_event(engine->deps.kernel, "run_ended",
			"\"job\":\"%016" G_GINT64_MODIFIER
			"x\",\"step\":%u,\"task\":%u,\"run\":%u,"
			"\"server\":\"%s\",\"end\":%d,\"known\":%s",
			ended->task.job, ended->task.step, ended->task.index,
			ended->run, backend->info.target.id.text, ended->reason,
			task && task->run == ended->run ? "true" : "false");
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
	/* The run was given up as lost: it still counts if it succeeded. */
	if (!task->server && ended->reason != MT_END_DONE)
		return;
	apply_end(engine, backend, task, ended->reason);
}

/**
 * Handles an active run in a report. A run that is not the present run of a
 * task on this server is stopped.
 */
static void on_running(mt_engine_t *engine, mt_backend_t *backend,
		       const mt_active_run_t *running)
{
	mt_dag_job_t *job = mt_engine_job(engine, running->task.job);
	mt_dag_task_t *task =
		job ? mt_dag_job_find_task(job, &running->task) : NULL;
	mt_ms_t now = mt_engine_now(engine);

	if (!task || task->server != backend || task->run != running->run) {
		backend->n_stray_runs++;
		mt_commands_stop_stray(engine, backend, &running->task,
				       running->run);
		return;
	}
	if (task->phase == MT_TASK_PHASE_STARTING) {
		task->phase = MT_TASK_PHASE_RUNNING;
		task->start_settled_at = now;
		job->begun = true;
		mt_dag_job_update_state(job);
	}
	if (task->percent != running->percent) {
		task->percent = running->percent;
		task->progressed_at = now;
	}
	mt_dag_task_save_checkpoint(task, running->checkpoint, now);
	if (task->stop_wanted || job->state >= MT_DAG__STATE__COMPLETED)
		mt_commands_stop(engine, task);
}

static bool is_reported(const mt_backend_answer_t *answer,
			const mt_dag_task_t *task)
{
	mt_task_key_t key = mt_dag_task_key(task);

	for (size_t i = 0; i < answer->n_running; i++) {
		const mt_active_run_t *running = &answer->running[i];

		if (running->run == task->run && running->task.job == key.job &&
		    running->task.occurrence == key.occurrence &&
		    running->task.step == key.step &&
		    running->task.index == key.index)
			return true;
	}
	return false;
}

/**
 * True if the server's report must contain the task's run, provided that the
 * run ever began. This is so if the stop or the start was confirmed before the
 * hold was sent, or if an earlier leader placed the task: its start can no
 * longer take effect, as the server has seen the present term in the hold.
 */
static bool should_be_reported(const mt_engine_t *engine,
			       const mt_backend_t *backend,
			       const mt_dag_task_t *task)
{
	if (task->stop_acked_at)
		return backend->hold_sent_at > task->stop_acked_at;
	if (task->start_settled_at)
		return backend->hold_sent_at > task->start_settled_at;
	return task->placement_stored && !task->start_in_flight &&
	       task->placed_at <= engine->leading_since;
}

/**
 * Gives up as lost the runs of tasks on this server that its report should
 * contain and does not.
 */
static void mark_missing_lost(mt_engine_t *engine, mt_backend_t *backend,
			      const mt_backend_answer_t *answer)
{
	for (guint i = backend->tasks->len; i-- > 0;) {
		mt_dag_task_t *task;

		if (i >= backend->tasks->len)
			continue;
		task = backend->tasks->pdata[i];
		if (should_be_reported(engine, backend, task) &&
		    !is_reported(answer, task))
			mt_reports_run_lost(engine, task,
					    "unknown to its server");
	}
}

void mt_reports_apply(mt_engine_t *engine, mt_backend_t *backend,
		      const mt_backend_answer_t *answer)
{
	for (size_t i = 0; i < answer->n_ended; i++) {
		if (answer->ended[i].number <= backend->last_end_read)
			continue;
		on_end(engine, backend, &answer->ended[i]);
		backend->last_end_read = answer->ended[i].number;
	}
	backend->n_stray_runs = 0;
	for (size_t i = 0; i < answer->n_running; i++)
		on_running(engine, backend, &answer->running[i]);
	mark_missing_lost(engine, backend, answer);
	if (answer->n_ended)
		mt_engine_request_pass(engine);
}
