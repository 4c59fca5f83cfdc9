/** @file relocation.c Moves runs to other servers. */
#include "dag/engine_internal.h"

/**
 * A run counts as stalled only if its progress, which its server reports in
 * percent, has not changed for at least this long. Its server must also have
 * answered a hold within the last STALL_MS, so that the progress known here is
 * not merely outdated.
 */
#define STALL_MS 3500u

/**
 * Second condition for a stalled run: its progress has not changed for at least
 * this share of its estimated run time, in percent.
 */
#define STALL_ESTIMATE_PERCENT 6u

/** How long no task is placed on a server after a run has stalled there. */
#define AVOID_STALLED_MS 6000u

/**
 * A run that writes checkpoints is moved away from a draining server this long
 * before the server's deadline, if it would not end before the deadline.
 */
#define EVACUATE_BEFORE_DEADLINE_MS 1500u

#define PERCENT_MAX 100u

/**
 * Time without a change of its progress after which the run is stalled: the
 * longer of STALL_MS and STALL_ESTIMATE_PERCENT of its estimated run time.
 */
static mt_ms_t stall_limit(const mt_dag_task_t *task)
{
	mt_ms_t percent_ms = task->step->spec->estimate_ms / PERCENT_MAX;

	return MAX(STALL_MS, STALL_ESTIMATE_PERCENT * percent_ms);
}

static bool is_running(const mt_dag_task_t *task)
{
	return task->phase == MT_TASK_PHASE_RUNNING && !task->stop_wanted;
}

/**
 * True if the run has stalled: its server's last answer to a hold is recent,
 * and by the time of that answer, the run's progress had not changed for
 * stall_limit(). Long-running tasks (`lasting`) are never stalled.
 */
static bool is_stalled(const mt_dag_task_t *task, mt_ms_t now)
{
	mt_ms_t since = MAX(task->start_settled_at, task->progressed_at);

	return is_running(task) && !task->step->spec->lasting &&
	       task->server->answered_at > since &&
	       task->server->answered_at - since >= stall_limit(task) &&
	       mt_backend_is_responsive(task->server, now, STALL_MS);
}

/** Estimated time until the run ends. */
static mt_ms_t time_left(const mt_dag_task_t *task)
{
	uint32_t percent = MIN(task->percent, PERCENT_MAX);

	return (mt_ms_t)task->step->spec->estimate_ms *
	       (PERCENT_MAX - percent) / PERCENT_MAX;
}

/**
 * True if the run must be moved now because its server drains and would stop
 * before the run ends. A run that writes checkpoints is moved only
 * EVACUATE_BEFORE_DEADLINE_MS before the server's deadline, other runs at once.
 */
static bool should_evacuate(const mt_dag_task_t *task, mt_ms_t now)
{
	mt_ms_t drain_deadline = task->server->drain_deadline;
	mt_ms_t left = drain_deadline > now ? drain_deadline - now : 0;

	if (!drain_deadline || !is_running(task) || time_left(task) <= left)
		return false;
	return !task->step->spec->checkpointing ||
	       left <= EVACUATE_BEFORE_DEADLINE_MS;
}

/** Stops a run, or its whole gang, so that it is placed again. */
static void relocate(mt_engine_t *engine, mt_dag_task_t *task,
		     const char *reason)
{
	mt_dag_step_t *step = task->step;

	mt_kernel_event(engine->deps.kernel, "run_moved",
			"\"job\":\"%016" G_GINT64_MODIFIER
			"x\",\"step\":%u,\"task\":%u,\"run\":%u,"
			"\"server\":\"%s\",\"percent\":%u,\"reason\":\"%s\"",
			step->job->id, step->index, task->index, task->run,
			task->server->info.target.id.text, task->percent,
			reason);
	mt_commands_stop_task_or_gang(engine, task);
}

void mt_relocation_tick(mt_engine_t *engine, mt_backend_t *backend)
{
	mt_ms_t now = mt_engine_now(engine);

	for (guint i = backend->tasks->len; i-- > 0;) {
		mt_dag_task_t *task;

		/* Handling a task may have removed others of its gang. */
		if (i >= backend->tasks->len)
			continue;
		task = backend->tasks->pdata[i];
		if (is_stalled(task, now)) {
			backend->avoid_until = MAX(backend->avoid_until,
						   now + AVOID_STALLED_MS);
			relocate(engine, task, "stands still");
		} else if (should_evacuate(task, now)) {
			relocate(engine, task, "its server leaves");
		}
	}
}
