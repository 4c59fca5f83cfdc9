/** @file planner.c Builds the placement plan of each service and applies it. */
#include "dag/planner_internal.h"

#include <stdlib.h>
#include <string.h>

/**
 * A step of a guaranteed job is no longer restricted to one rack after waiting
 * this long.
 */
#define GUARANTEED_SPREAD_MS 900u

/**
 * How long a guaranteed step may wait for servers on which it ends in time.
 * Guaranteed jobs have to begin within a few seconds, and may have to preempt
 * afterwards.
 */
#define GUARANTEED_SPEED_WAIT_MS 900u

/**
 * A step of a job that is not guaranteed is no longer restricted to one rack
 * after waiting for this multiple of its estimated run time.
 */
#define SPREAD_AFTER_ESTIMATES 2u

/**
 * Units that may preempt always reserve resources. Of the other units, only
 * gangs that have waited for RESERVE_AFTER_MS reserve resources, and at most
 * this many gangs of a service do so. See mt_plan_reserve() for gangs that
 * cannot fit at all.
 */
#define RESERVING_GANGS_MAX 2u
#define RESERVE_AFTER_MS 2000u

/**
 * From this long before its latest start until this long after it, a gang may
 * preempt tasks of lower priority. Units of priority 0 may preempt at any time.
 */
#define LATEST_START_WINDOW_MS 3000

/** Share of the gain of a preemption that is left if the unit is late anyway.
 */
#define LATE_GAIN_SHARE 0.25

/* Units. */

/**
 * Number of the step's tasks for which the server has room when no other task
 * runs there, except long-running ones; 0 for a suspect server.
 */
static uint32_t server_max_tasks(const mt_plan_server_t *server,
				 const mt_dag_step_t *step)
{
	mt_dag_resources_t need = mt_dag_step_need(step);
	uint32_t max_tasks =
		MIN(mt_dag_resources_fit_count(&need, &server->room),
		    step->spec->count);

	if (server->suspect || !mt_plan_server_has_label(server, step->label))
		return 0;
	return step->spec->per_server_max
		       ? MIN(max_tasks, step->spec->per_server_max)
		       : max_tasks;
}

/** Number of the step's tasks for which the rack has room. */
static uint32_t rack_max_tasks(const mt_planner_t *planner,
			       const mt_dag_step_t *step, GQuark rack)
{
	uint32_t max_tasks = 0;

	for (uint32_t i = 0; i < planner->plan.n_servers; i++) {
		const mt_plan_server_t *server = &planner->plan.servers[i];

		if (server->rack == rack)
			max_tasks += server_max_tasks(server, step);
	}
	return max_tasks;
}

/**
 * True if some rack has room for all tasks of the step. Servers without a rack
 * form no rack, as in the plan.
 */
static bool any_rack_fits(const mt_planner_t *planner,
			  const mt_dag_step_t *step)
{
	GHashTable *max_tasks = g_hash_table_new(NULL, NULL);
	bool found = false;

	for (uint32_t i = 0; i < planner->plan.n_servers && !found; i++) {
		const mt_plan_server_t *server = &planner->plan.servers[i];
		gpointer rack = GUINT_TO_POINTER(server->rack);
		guint sum =
			GPOINTER_TO_UINT(g_hash_table_lookup(max_tasks, rack)) +
			server_max_tasks(server, step);

		if (!server->rack)
			continue;
		g_hash_table_insert(max_tasks, rack, GUINT_TO_POINTER(sum));
		found = sum >= step->spec->count;
	}
	g_hash_table_destroy(max_tasks);
	return found;
}

/**
 * True if the step has waited so long that it may be spread over several racks
 * and placed outside the rack with its data.
 */
static bool should_spread(const mt_candidate_step_t *candidate)
{
	if (candidate->overdue)
		return true;
	if (candidate->guaranteed)
		return candidate->waited_ms > GUARANTEED_SPREAD_MS;
	return candidate->waited_ms >
	       (mt_ms_t)SPREAD_AFTER_ESTIMATES *
		       candidate->step->spec->estimate_ms;
}

/** Returns mt_plan_unit_t.already_placed of the step. */
static uint32_t *count_already_placed(const mt_planner_t *planner,
				      const mt_dag_step_t *step)
{
	uint32_t *already_placed;

	if (!step->spec->per_server_max)
		return NULL;
	already_placed = g_new0(uint32_t, planner->backends->len + 1);
	for (guint i = 0; step->tasks && i < step->tasks->len; i++) {
		const mt_dag_task_t *task = step->tasks->pdata[i];
		guint index_plus_one = GPOINTER_TO_UINT(g_hash_table_lookup(
			planner->backend_index, task->server));

		if (task->server && index_plus_one)
			already_placed[index_plus_one - 1]++;
	}
	return already_placed;
}

/**
 * False for a gang that could not be placed with all tickets that the policy
 * service may still give: each answer would be of no use, while other steps
 * wait for theirs.
 */
static bool may_use_tickets(const mt_planner_t *planner,
			    const mt_dag_step_t *step)
{
	uint32_t max_tasks = 0;

	if (!step->spec->gang)
		return true;
	for (guint i = 0; i < planner->backends->len; i++) {
		const mt_backend_t *backend = planner->backends->pdata[i];

		if (!step->advice ||
		    mt_advice_state(step->advice, backend->info.target.id,
				    backend->born_ms,
				    planner->now) != MT_ADVICE_DENIED)
			max_tasks += server_max_tasks(&planner->plan.servers[i],
						      step);
	}
	return max_tasks >= step->spec->count;
}

/**
 * Returns mt_plan_unit_t.allowed of the step. NULL, that is all servers, unless
 * the queue needs tickets of the policy service (`advised`); then the servers
 * with a valid ticket. Requests tickets for more servers if those servers do
 * not have room for all waiting tasks.
 * @param n_waiting number of waiting tasks of the step
 */
static bool *find_allowed(mt_planner_t *planner, mt_dag_step_t *step,
			  uint32_t n_waiting)
{
	bool *allowed;

	if (!step->job->queue.advised)
		return NULL;
	if (may_use_tickets(planner, step))
		mt_advice_requests_send_if_needed(planner->engine, step,
						  n_waiting, planner->backends);
	allowed = g_new0(bool, planner->backends->len + 1);
	for (guint i = 0; step->advice && i < planner->backends->len; i++) {
		const mt_backend_t *backend = planner->backends->pdata[i];

		allowed[i] =
			mt_advice_state(step->advice, backend->info.target.id,
					backend->born_ms,
					planner->now) == MT_ADVICE_VALID;
	}
	return allowed;
}

/**
 * True for a gang within LATEST_START_WINDOW_MS of its latest start, which may
 * then preempt. Other units do not preempt for this reason, as their tasks can
 * be placed one by one. After the window, a gang no longer preempts for this
 * reason: under overload, it would only delay other work instead of its own.
 */
static bool is_near_latest_start(const mt_planner_t *planner,
				 const mt_candidate_step_t *candidate)
{
	return candidate->step->spec->gang &&
	       (int64_t)planner->now >=
		       candidate->latest_start_ms - LATEST_START_WINDOW_MS &&
	       (int64_t)planner->now <=
		       candidate->latest_start_ms + LATEST_START_WINDOW_MS;
}

static int64_t compute_time_left(const mt_planner_t *planner,
				 const mt_dag_step_t *step)
{
	mt_dag_job_t *job = step->job;
	int64_t left_ms = (int64_t)job->known_since +
			  mt_dag_job_objective_ms(job) - (int64_t)planner->now;
	uint32_t path_left_ms = mt_dag_job_critical_path_left_ms(job);

	if (!path_left_ms)
		return left_ms;
	return left_ms * step->spec->estimate_ms / path_left_ms;
}

int64_t mt_planner_time_left(const mt_planner_t *planner,
			     const mt_dag_step_t *step)
{
	int64_t *left_ms = g_hash_table_lookup(planner->times_left, step);

	if (!left_ms) {
		left_ms = g_new(int64_t, 1);
		*left_ms = compute_time_left(planner, step);
		g_hash_table_insert(planner->times_left, (gpointer)step,
				    left_ms);
	}
	return *left_ms;
}

/**
 * Returns mt_plan_unit_t.cost_max of the step: the work of its waiting tasks,
 * weighted as the cost of victims. Less if the step is late anyway.
 */
static double preemption_gain(const mt_plan_unit_t *unit)
{
	double gain = mt_dag_resources_cores(&unit->need) * unit->count *
		      unit->run_ms / 1000.0 * mt_planner_weight(unit->priority);

	return unit->left_ms < unit->run_ms ? gain * LATE_GAIN_SHARE : gain;
}

static void init_unit(mt_planner_t *planner, mt_plan_unit_t *unit,
		      const mt_candidate_step_t *candidate)
{
	mt_dag_step_t *step = candidate->step;
	bool spread = should_spread(candidate);

	unit->need = mt_dag_step_need(step);
	unit->count = candidate->count;
	unit->is_gang = step->spec->gang;
	unit->latency_critical = step->spec->target_ms > 0;
	unit->is_filler = step->spec->fills;
	unit->label = step->label;
	unit->per_server_max = step->spec->per_server_max;
	unit->already_placed = count_already_placed(planner, step);
	unit->allowed = find_allowed(planner, step, unit->count);
	unit->priority = step->job->queue.priority;
	unit->run_ms = step->spec->estimate_ms;
	unit->left_ms = mt_planner_time_left(planner, step);
	unit->guaranteed = candidate->guaranteed;
	unit->may_preempt =
		!unit->priority || is_near_latest_start(planner, candidate);
	/* The estimated run time of a long-running step says nothing. */
	if (!step->spec->lasting)
		unit->cost_max = preemption_gain(unit);
	unit->may_wait_for_speed =
		!step->spec->lasting && !candidate->overdue &&
		(!unit->guaranteed ||
		 candidate->waited_ms < GUARANTEED_SPEED_WAIT_MS);
	unit->reservation_limited = !unit->may_preempt;
	unit->reserves =
		unit->may_preempt ||
		(unit->is_gang && candidate->waited_ms > RESERVE_AFTER_MS);
	unit->overdue = candidate->overdue;
	if (!spread && step->spec->same_rack && any_rack_fits(planner, step))
		unit->same_rack = true;
	if (!spread && step->data_rack &&
	    rack_max_tasks(planner, step, step->data_rack) >=
		    (unit->is_gang ? step->spec->count : 1))
		unit->data_rack = step->data_rack;
}

static void build_units(mt_planner_t *planner)
{
	planner->plan.n_units = planner->candidates->len;
	planner->plan.units =
		g_new0(mt_plan_unit_t, planner->candidates->len + 1);
	for (guint i = 0; i < planner->candidates->len; i++)
		init_unit(planner, &planner->plan.units[i],
			  &g_array_index(planner->candidates,
					 mt_candidate_step_t, i));
	planner->plan.reservations_max = RESERVING_GANGS_MAX;
}

/* Results. */

static void log_placed(const mt_planner_t *planner,
		       const mt_candidate_step_t *candidate, uint32_t placed)
{
	const mt_dag_step_t *step = candidate->step;

	mt_kernel_event(planner->engine->deps.kernel, "tasks_placed",
			"\"job\":\"%016" G_GINT64_MODIFIER
			"x\",\"step\":%u,\"tasks\":%u,\"of\":%u,"
			"\"gpu\":%u,\"estimate_ms\":%u,\"run\":%u,"
			"\"waited_ms\":%u,\"priority\":%u,\"guaranteed\":%s",
			step->job->id, step->index, placed, step->spec->count,
			step->spec->gpu, step->spec->estimate_ms, step->run,
			(unsigned)candidate->waited_ms,
			step->job->queue.priority,
			candidate->guaranteed ? "true" : "false");
}

/**
 * Returns the first waiting task of the step.
 * @param at index into step->tasks from which to search; receives that of the
 * element after the task
 */
static mt_dag_task_t *next_waiting_task(mt_dag_step_t *step, guint *at)
{
	while (step->tasks && *at < step->tasks->len) {
		mt_dag_task_t *task = step->tasks->pdata[(*at)++];

		if (task->phase == MT_TASK_PHASE_WAITING)
			return task;
	}
	++*at;
	return mt_dag_step_begin_task(step);
}

/** Places the waiting tasks of the step on the servers chosen for the unit. */
static void place_unit(mt_planner_t *planner, const mt_plan_unit_t *unit,
		       const mt_candidate_step_t *candidate)
{
	mt_dag_step_t *step = candidate->step;
	uint32_t gang_run = step->run + 1;
	uint32_t next = 0;
	guint at = 0;

	while (next < unit->placed) {
		mt_dag_task_t *task = next_waiting_task(step, &at);
		mt_backend_t *backend;

		if (!task)
			break;
		backend = planner->backends->pdata[unit->chosen[next++]];
		mt_dag_task_place(task, backend,
				  step->spec->gang ? gang_run : task->run + 1,
				  planner->now);
		if (mt_planner_is_cold(planner, backend))
			mt_cold_rate_note(&backend->cold_rate, planner->now);
	}
	if (next) {
		log_placed(planner, candidate, next);
		mt_kernel_observe(planner->engine->deps.kernel, "step_wait_ms",
				  candidate->waited_ms);
		step->waiting_since = 0;
	}
}

static void log_preempted(const mt_planner_t *planner,
			  const mt_dag_task_t *task, double cost)
{
	mt_kernel_event(planner->engine->deps.kernel, "run_preempted",
			"\"job\":\"%016" G_GINT64_MODIFIER
			"x\",\"step\":%u,\"task\":%u,\"run\":%u,"
			"\"priority\":%u,\"cost\":%.1f",
			task->step->job->id, task->step->index, task->index,
			task->run, task->step->job->queue.priority, cost);
}

/**
 * Stops the preempted victims. All members of a gang are stopped, also those on
 * servers that are not part of the plan.
 */
static void stop_victims(mt_planner_t *planner)
{
	mt_engine_t *engine = planner->engine;

	for (uint32_t i = 0; i < planner->plan.n_victims; i++) {
		mt_dag_task_t *task = planner->victims->pdata[i];

		if (!planner->plan.victims[i].preempted)
			continue;
		task->n_preemptions++;
		log_preempted(planner, task, planner->plan.victims[i].cost);
		mt_survival_add_preemption(&engine->survival,
					   task->step->job->queue.priority);
		mt_work_lost_on_stop(&engine->work_lost, engine->deps.kernel,
				     task, MT_WORK_LOST_PREEMPTED);
		mt_commands_stop_task_or_gang(engine, task);
	}
}

/** Counts the preemptions that the plan has avoided. */
static void count_avoided_preemptions(const mt_planner_t *planner)
{
	mt_kernel_t *kernel = planner->engine->deps.kernel;

	*mt_kernel_counter(kernel, "preemptions_refused_total") +=
		planner->plan.n_refused;
	*mt_kernel_counter(kernel, "preemptions_awaited_total") +=
		planner->plan.n_awaiting;
	*mt_kernel_counter(kernel, "waits_for_speed_total") +=
		planner->plan.n_awaiting_speed;
}

static void apply_plan(mt_planner_t *planner)
{
	count_avoided_preemptions(planner);
	stop_victims(planner);
	for (guint i = 0; i < planner->candidates->len; i++)
		place_unit(planner, &planner->plan.units[i],
			   &g_array_index(planner->candidates,
					  mt_candidate_step_t, i));
}

static void free_plan(mt_planner_t *planner)
{
	for (uint32_t i = 0; i < planner->plan.n_units; i++) {
		g_free(planner->plan.units[i].chosen);
		g_free((uint32_t *)planner->plan.units[i].already_placed);
		g_free((bool *)planner->plan.units[i].allowed);
	}
	g_free(planner->plan.units);
	g_free(planner->plan.servers);
	g_free(planner->plan.victims);
	g_free(planner->plan.ends);
	g_array_unref(planner->candidates);
	g_ptr_array_unref(planner->backends);
	g_ptr_array_unref(planner->victims);
	g_hash_table_destroy(planner->backend_index);
	g_clear_pointer(&planner->account_use, g_hash_table_destroy);
	g_hash_table_destroy(planner->times_left);
}

static void plan_service(mt_engine_t *engine, mt_shared_name_t service,
			 GHashTable *guaranteed, bool log_waits)
{
	mt_planner_t planner = {0};

	planner.engine = engine;
	planner.now = mt_engine_now(engine);
	planner.start_time_max_ms = mt_engine_start_time_max(engine);
	planner.service = service;
	planner.guaranteed = guaranteed;
	planner.backends = g_ptr_array_new();
	planner.victims = g_ptr_array_new();
	planner.backend_index = g_hash_table_new(NULL, NULL);
	planner.times_left = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	planner.candidates =
		g_array_new(FALSE, FALSE, sizeof(mt_candidate_step_t));
	mt_candidates_collect(&planner);
	if (planner.candidates->len || planner.n_held_back) {
		mt_planner_collect_servers(&planner);
		mt_plan_weigh_resources(&planner.plan);
		build_units(&planner);
		mt_victims_collect(&planner);
		mt_plan_run(&planner.plan);
		if (log_waits)
			mt_wait_log_write(&planner);
		apply_plan(&planner);
	}
	engine->pass_pace.n_steps_visited += planner.n_steps_visited;
	engine->pass_pace.n_candidates += planner.candidates->len;
	free_plan(&planner);
}

/** Set of the services of unfinished jobs that are awake. */
static GHashTable *list_services(const mt_engine_t *engine)
{
	GHashTable *services = mt_shared_name_table_new(NULL);

	for (guint i = 0; i < engine->wakeups.awake->len; i++) {
		const mt_dag_job_t *job = engine->wakeups.awake->pdata[i];

		if (!mt_state_is_final(job->state) &&
		    !g_hash_table_contains(
			    services, mt_shared_name_key(job->queue.service)))
			g_hash_table_add(services, mt_shared_name_new_key(
							   job->queue.service));
	}
	return services;
}

void mt_planner_run(mt_engine_t *engine)
{
	GHashTable *services;
	GHashTable *guaranteed;
	bool log_waits;
	GHashTableIter iter;
	gpointer key;

	if (engine->deps.evacuations &&
	    !mt_evacuations_are_known(engine->deps.evacuations))
		return;
	mt_wakeups_wake_due(&engine->wakeups, mt_engine_start_time_max(engine));
	services = list_services(engine);
	guaranteed = mt_guarantees_find(engine);
	log_waits = mt_wait_log_is_due(engine);
	g_hash_table_iter_init(&iter, services);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		plan_service(engine, mt_shared_name_of_key(key), guaranteed,
			     log_waits);
	g_hash_table_destroy(guaranteed);
	g_hash_table_destroy(services);
}
