/** @file relocation.c Runs that are better started again on another server. */
#include "dag/engine_internal.h"

/** A run whose percentage stays the same for so long stands still. */
#define STALL_MS 3500u

/** Steps of one percent of the estimate that a run may miss. */
#define STALL_PERCENT_STEPS 6u

/** No placement on a server where a run stood still. */
#define AVOID_STALLED_MS 6000u

/** A task that can be resumed leaves a draining server this long before. */
#define EVACUATE_MS 1500u

#define PERCENT_MAX 100u

static mt_ms_t stall_limit(const mt_dag_task_t *task)
{
	mt_ms_t percent_ms = task->step->spec->estimate_ms / PERCENT_MAX;

	return MAX(STALL_MS, STALL_PERCENT_STEPS * percent_ms);
}

static bool is_running(const mt_dag_task_t *task)
{
	return task->phase == MT_TASK_RUNNING && !task->stop_wanted;
}

/** True when the server has said for long enough that nothing moves. */
static bool is_stalled(const mt_dag_task_t *task, mt_ms_t now)
{
	mt_ms_t since = MAX(task->acked_at, task->progressed_at);

	return is_running(task) && !task->step->spec->lasting &&
	       task->server->answered_at > since &&
	       task->server->answered_at - since >= stall_limit(task) &&
	       mt_backend_is_responsive(task->server, now, STALL_MS);
}

/** Time that the rest of the run takes by its estimate. */
static mt_ms_t time_left(const mt_dag_task_t *task)
{
	uint32_t percent = MIN(task->percent, PERCENT_MAX);

	return (mt_ms_t)task->step->spec->estimate_ms *
	       (PERCENT_MAX - percent) / PERCENT_MAX;
}

/** True when the run will not end before its server leaves. */
static bool should_evacuate(const mt_dag_task_t *task, mt_ms_t now)
{
	mt_ms_t drain_deadline = task->server->drain_deadline;
	mt_ms_t left = drain_deadline > now ? drain_deadline - now : 0;

	if (!drain_deadline || !is_running(task) || time_left(task) <= left)
		return false;
	return !task->step->spec->checkpointing || left <= EVACUATE_MS;
}

/** Stops a run, and the rest of its gang, so that it is placed anew. */
static void relocate(mt_engine_t *engine, mt_dag_task_t *task,
		     const char *reason)
{
	mt_dag_step_t *step = task->step;

	mt_kernel_event(engine->deps.kernel, "run_moved",
			"\"job\":\"%016" G_GINT64_MODIFIER
			"x\",\"step\":%u,\"task\":%u,\"run\":%u,"
			"\"server\":\"%s\",\"percent\":%u,\"reason\":\"%s\"",
			step->job->id, step->number, task->index, task->run,
			task->server->info.target.id.text, task->percent,
			reason);
	mt_commands_stop_unit(engine, task);
}

void mt_relocation_tick(mt_engine_t *engine, mt_backend_t *backend)
{
	mt_ms_t now = mt_engine_now(engine);

	for (guint i = backend->tasks->len; i-- > 0;) {
		mt_dag_task_t *task;

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
