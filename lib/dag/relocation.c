/** @file relocation.c Moves runs to other servers. */
#include "dag/engine_internal.h"
#include "dag/pace.h"

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

/** How long a server is suspect after a run has stalled there. */
#define AVOID_STALLED_MS 6000u

/**
 * A run that writes checkpoints is moved away from a draining server this long
 * before the server's deadline, if it would not end before the deadline.
 */
#define MOVE_BEFORE_DEADLINE_MS 1500u

#define PERCENT_MAX 100u

/**
 * A run that has made progress counts as stalled only after this many times the
 * mean time for one percent of its work so far.
 */
#define STALL_MEAN_PERCENTS 3u

/** The time without progress is doubled at most this often. */
#define STALL_DOUBLINGS_MAX 10u

/** Time over which the rate of progress of a run is measured, at least. */
#define PACE_WINDOW_MS 1000u

/** A rate of progress is used for this long after it was measured. */
#define PACE_AGE_MAX_MS 2500u

/**
 * From this progress on, a rate says nothing: a member of a gang that has done
 * its work waits for the others.
 */
#define PACE_PERCENT_MAX 95u

/** Interval of the search for slow servers. */
#define SLOW_SEARCH_INTERVAL_MS 500u

/** How long a server is suspect after it was found slow. */
#define AVOID_SLOW_MS 4000u

/**
 * Lowest speed that is normal for a server. Slower ones are treated as servers
 * that are slow for a while, also if their speed was learned.
 */
#define NORMAL_SPEED_MIN 0.5

/** A server counts as slow for this long after it was found slow. */
#define SLOW_AGE_MAX_MS 1000u

/** Mean time for one percent of the work of the run so far; 0: not known. */
static mt_ms_t mean_percent_ms(const mt_dag_task_t *task)
{
	if (!task->percent || task->progressed_at <= task->start_settled_at)
		return 0;
	return (task->progressed_at - task->start_settled_at) / task->percent;
}

/**
 * Time without a change of its progress after which the run is stalled: the
 * longest of STALL_MS, STALL_ESTIMATE_PERCENT of its estimated run time, and
 * STALL_MEAN_PERCENTS times the mean time for one percent. The first two are
 * doubled each time that runs of the step have stalled: its tasks may take much
 * longer than estimated.
 */
static mt_ms_t stall_limit(const mt_dag_task_t *task)
{
	const mt_dag_step_t *step = task->step;
	mt_ms_t percent_ms = step->spec->estimate_ms / PERCENT_MAX;
	mt_ms_t limit = MAX(STALL_MS, STALL_ESTIMATE_PERCENT * percent_ms);

	limit <<= MIN(step->n_stalls, STALL_DOUBLINGS_MAX);
	return MAX(limit, STALL_MEAN_PERCENTS * mean_percent_ms(task));
}

/** Counts runs of a step that stall at about the same time once. */
static void count_stall(mt_dag_step_t *step, mt_ms_t now)
{
	if (!step->n_stalls || now - step->stalled_at >= STALL_MS)
		step->n_stalls++;
	step->stalled_at = now;
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
	       !mt_dag_task_waits_for_gang(task) &&
	       task->server->answered_at > since &&
	       task->server->answered_at - since >= stall_limit(task) &&
	       mt_backend_is_responsive(task->server, now, STALL_MS);
}

/* Slow servers. */

void mt_relocation_note_progress(mt_dag_task_t *task, mt_ms_t now)
{
	mt_ms_t elapsed = now - task->pace_from_at;

	if (task->pace_from_at && elapsed < PACE_WINDOW_MS)
		return;
	if (task->pace_from_at && task->percent >= task->pace_from_percent) {
		task->pace = (task->percent - task->pace_from_percent) *
			     1000.0 / (double)elapsed;
		task->paced_at = now;
	}
	task->pace_from_at = now;
	task->pace_from_percent = task->percent;
}

/** True if the rate of progress of the run can be compared with siblings. */
static bool has_pace(const mt_dag_task_t *task, mt_ms_t now)
{
	GQuark data_rack = task->step->data_rack;

	return is_running(task) && task->paced_at &&
	       now - task->paced_at <= PACE_AGE_MAX_MS &&
	       task->percent < PACE_PERCENT_MAX &&
	       (!data_rack || task->server->info.rack == data_rack);
}

/**
 * Speed that is normal for the server, relative to the median server. A learned
 * speed below NORMAL_SPEED_MIN shows that the server has become slow.
 */
static double normal_speed(const mt_engine_t *engine,
			   const mt_backend_t *backend)
{
	return MAX(
		NORMAL_SPEED_MIN,
		mt_speed_model_speed(engine->speeds, backend->info.target.id));
}

/**
 * Compares the running tasks of a step, each with what is normal on its server,
 * and adds the result to the servers.
 */
static void compare_step(const mt_engine_t *engine, const mt_dag_step_t *step,
			 mt_ms_t now)
{
	mt_pace_sample_t *samples = g_new(mt_pace_sample_t, step->n_placed);
	mt_dag_task_t **tasks = g_new(mt_dag_task_t *, step->n_placed);
	unsigned n = 0;

	for (guint i = 0; i < step->tasks->len && n < step->n_placed; i++) {
		mt_dag_task_t *task = step->tasks->pdata[i];

		if (!has_pace(task, now))
			continue;
		samples[n].rate =
			task->pace / normal_speed(engine, task->server);
		tasks[n++] = task;
	}
	if (mt_pace_compare(samples, n)) {
		for (unsigned i = 0; i < n; i++) {
			tasks[i]->server->ratio_sum += samples[i].ratio;
			tasks[i]->server->n_ratios++;
		}
	}
	g_free(samples);
	g_free(tasks);
}

static void compare_all_steps(const mt_engine_t *engine, mt_ms_t now)
{
	const GPtrArray *awake = engine->wakeups.awake;

	for (guint k = 0; k < awake->len; k++) {
		const mt_dag_job_t *job = awake->pdata[k];

		for (guint i = 0; job->n_placed && i < job->ready_steps->len;
		     i++) {
			const mt_dag_step_t *step = job->ready_steps->pdata[i];

			if (step->n_placed)
				compare_step(engine, step, now);
		}
	}
}

/** Evaluates the comparisons of the tasks on a server. */
static void judge_server(mt_engine_t *engine, mt_backend_t *backend,
			 mt_ms_t now)
{
	double ratio = backend->ratio_sum / MAX(1, backend->n_ratios);
	bool is_slow = backend->n_ratios && mt_pace_is_slow(ratio);

	backend->ratio_sum = 0;
	backend->n_ratios = 0;
	if (!is_slow)
		return;
	if (now - backend->slow_at > AVOID_SLOW_MS)
		mt_kernel_event(engine->deps.kernel, "server_slow",
				"\"server\":\"%s\",\"tasks\":%u,"
				"\"speed_percent\":%u",
				backend->log_name, backend->tasks->len,
				(unsigned)(ratio * PERCENT_MAX));
	backend->slow_ratio = ratio;
	backend->slow_at = now;
	backend->suspect_until =
		MAX(backend->suspect_until, now + AVOID_SLOW_MS);
}

void mt_relocation_find_slow_servers(mt_engine_t *engine)
{
	mt_ms_t now = mt_engine_now(engine);
	GHashTableIter iter;
	gpointer value;

	if (now - engine->slow_search_at < SLOW_SEARCH_INTERVAL_MS)
		return;
	engine->slow_search_at = now;
	compare_all_steps(engine, now);
	g_hash_table_iter_init(&iter, engine->backends);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		judge_server(engine, value, now);
}

/** True if tasks may be placed on the server, and nothing speaks against it. */
static bool is_sound(const mt_engine_t *engine, const mt_backend_t *server,
		     mt_ms_t now)
{
	return server->listed && !server->info.draining &&
	       mt_backend_info_is_current(server) && server->hold_answered &&
	       !server->n_failed_holds && server->clock_known &&
	       now >= server->avoid_until && now >= server->suspect_until &&
	       now >= server->cold_until &&
	       !mt_engine_is_evacuated(engine, server);
}

/** True if a new run of the task has room on the server now. */
static bool can_take(const mt_engine_t *engine, const mt_backend_t *server,
		     const mt_dag_task_t *task, mt_ms_t now)
{
	const mt_dag_step_t *step = task->step;
	mt_dag_resources_t need = mt_dag_step_need(step);
	mt_dag_resources_t available = server->info.capacity;

	mt_dag_resources_subtract(&available, &server->used);
	return server != task->server &&
	       mt_dag_resources_fit(&need, &available) &&
	       is_sound(engine, server, now) &&
	       mt_backend_has_label(server, step->label) &&
	       (!step->data_rack || server->info.rack == step->data_rack) &&
	       mt_shared_name_equal(server->info.service,
				    task->server->info.service);
}

/**
 * True if the run would end clearly earlier on the other server.
 * @param speed speed of the other server
 */
static bool ends_sooner_at(const mt_engine_t *engine, const mt_dag_task_t *task,
			   double speed)
{
	double ratio = task->server->slow_ratio *
		       normal_speed(engine, task->server) / speed;

	return mt_pace_should_restart(task->percent, task->pace, ratio,
				      task->step->spec->checkpointing);
}

/**
 * True if the run would end clearly earlier on the servers that have room for
 * it. The planner places urgent tasks on the fastest ones, so that one of them
 * suffices. Other tasks may be placed on any, so that all have to.
 */
static bool ends_sooner_elsewhere(const mt_engine_t *engine,
				  const mt_dag_task_t *task, mt_ms_t now)
{
	bool is_urgent = task->step->job->queue.priority == 0;
	bool found = false;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, engine->backends);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_backend_t *server = value;
		double speed;

		if (!can_take(engine, server, task, now))
			continue;
		speed = mt_speed_model_speed(engine->speeds,
					     server->info.target.id);
		found = ends_sooner_at(engine, task, speed);
		if (found == is_urgent)
			return found;
	}
	return found;
}

/**
 * True if the run is to be moved, as it would end clearly earlier on another
 * server. Where the speeds of servers are known, they are compared, and a task
 * is moved only once.
 */
static bool crawls(const mt_engine_t *engine, const mt_dag_task_t *task,
		   mt_ms_t now)
{
	const mt_backend_t *server = task->server;
	const MtDag__Step *spec = task->step->spec;

	if (!server->slow_at || now - server->slow_at > SLOW_AGE_MAX_MS ||
	    !has_pace(task, now) || spec->lasting)
		return false;
	if (!mt_speed_model_is_uneven(engine->speeds))
		return mt_pace_should_restart(task->percent, task->pace,
					      server->slow_ratio,
					      spec->checkpointing);
	return !task->moved_from_slow &&
	       ends_sooner_elsewhere(engine, task, now);
}

/** Notes that the run, or its whole gang, is moved from a slow server. */
static void note_moved_from_slow(mt_dag_task_t *task)
{
	const mt_dag_step_t *step = task->step;

	task->moved_from_slow = true;
	for (guint i = 0; step->spec->gang && i < step->tasks->len; i++) {
		mt_dag_task_t *member = step->tasks->pdata[i];

		member->moved_from_slow = true;
	}
}

/* Ends of runs. */

/** Estimated time until the run ends. */
static mt_ms_t time_left(const mt_engine_t *engine, const mt_dag_task_t *task)
{
	uint32_t percent = MIN(task->percent, PERCENT_MAX);
	double run_ms = mt_step_times_predict_ms(engine, task->step);
	double speed = mt_speed_model_speed(engine->speeds,
					    task->server->info.target.id);

	return (mt_ms_t)(run_ms * (PERCENT_MAX - percent) / PERCENT_MAX /
			 speed);
}

/**
 * True if the run must be moved now because its server drains and would stop
 * before the run ends. A run that writes checkpoints is moved only
 * MOVE_BEFORE_DEADLINE_MS before the server's deadline, other runs at once.
 */
static bool should_move_before_stop(const mt_engine_t *engine,
				    const mt_dag_task_t *task, mt_ms_t now)
{
	mt_ms_t drain_deadline = task->server->drain_deadline;
	mt_ms_t left = drain_deadline > now ? drain_deadline - now : 0;

	if (!drain_deadline || !is_running(task) ||
	    time_left(engine, task) <= left)
		return false;
	return !task->step->spec->checkpointing ||
	       left <= MOVE_BEFORE_DEADLINE_MS;
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
			task->server->log_name, task->percent, reason);
	mt_work_lost_on_stop(&engine->work_lost, engine->deps.kernel, task,
			     MT_WORK_LOST_MOVED);
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
			backend->suspect_until = MAX(backend->suspect_until,
						     now + AVOID_STALLED_MS);
			count_stall(task->step, now);
			relocate(engine, task, "stands still");
		} else if (crawls(engine, task, now)) {
			note_moved_from_slow(task);
			relocate(engine, task, "its server is slow");
		} else if (should_move_before_stop(engine, task, now)) {
			relocate(engine, task, "its server leaves");
		}
	}
}
