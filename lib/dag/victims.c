/**
 * @file victims.c Lists the runs that may be preempted, with the cost of
 * stopping them, and the runs that end soon.
 */
#include "dag/planner_internal.h"

#include <math.h>
#include <stdlib.h>

/**
 * Fixed part of the cost of a preemption: this many seconds are added to the
 * time that the task loses.
 */
#define STOP_COST_S 0.3

/**
 * A core-second of a priority weighs as much as this many of the next lower
 * priority. Priorities from WEIGHT_LEVELS_MAX on weigh the same.
 */
#define PRIORITY_WEIGHT_RATIO 4.0
#define WEIGHT_LEVELS_MAX 8u

/** A run with less of its work left than this, in percent, is nearly done. */
#define NEARLY_DONE_PERCENT 20

/** Factor of the cost of a run that is nearly done. */
#define NEARLY_DONE_FACTOR 2.0

/** Time that a preempted run is expected to wait until it runs again. */
#define RESTART_WAIT_MS 1000

/** Runs that end later than this are not waited for. */
#define ENDS_WITHIN_MS 2000

/** Runs that are stopped together: those of a gang, or a single one. */
typedef struct mt_stop_group_t {
	uint32_t number;   /**< see mt_plan_victim_t.group */
	double seconds;	   /**< lost per member, all factors included */
	double outside;	   /**< cost of the members outside the plan */
	mt_ms_t time_left; /**< until the end of the last member */
} mt_stop_group_t;

typedef struct mt_collection_t {
	mt_planner_t *planner;
	GHashTable *groups; /**< step of a gang, or task, to mt_stop_group_t */
	GArray *victims;    /**< mt_plan_victim_t */
	GArray *ends;	    /**< mt_plan_end_t */
} mt_collection_t;

double mt_planner_weight(uint32_t priority)
{
	return pow(PRIORITY_WEIGHT_RATIO,
		   -(double)MIN(priority, WEIGHT_LEVELS_MAX));
}

/** Run time of a task on this server, by the estimate. */
static double run_time_ms(const mt_planner_t *planner,
			  const mt_dag_task_t *task)
{
	return task->step->spec->estimate_ms /
	       mt_speed_model_speed(planner->engine->speeds,
				    task->server->info.target.id);
}

/** Time until the run ends, by its rate of progress if that is known. */
static double run_left_ms(const mt_planner_t *planner,
			  const mt_dag_task_t *task)
{
	double percent_left =
		MT_DAG_PERCENT_MAX - MIN(task->percent, MT_DAG_PERCENT_MAX);

	if (task->phase == MT_TASK_PHASE_RUNNING && task->paced_at &&
	    task->pace > 0)
		return percent_left / task->pace * 1000.0;
	return run_time_ms(planner, task) * percent_left / MT_DAG_PERCENT_MAX;
}

/**
 * Work of the run that is not saved, in seconds: the time since its placement
 * or, if it writes checkpoints, since its newest checkpoint, and the time to
 * resume from it.
 */
static double unsaved_s(const mt_planner_t *planner, const mt_dag_task_t *task)
{
	mt_ms_t unsaved_ms = mt_dag_task_unsaved_ms(task, planner->now);

	if (task->step->spec->checkpointing && task->checkpoint)
		unsaved_ms += planner->engine->deps.timings.restore_ms;
	return (double)unsaved_ms / 1000.0;
}

/**
 * True if the step would be in time if its runs continue, but not if they are
 * stopped now.
 */
static bool gets_late(const mt_planner_t *planner, const mt_dag_task_t *task,
		      double left_ms)
{
	const mt_dag_step_t *step = task->step;
	double in_time_ms = (double)mt_planner_time_left(planner, step);
	double again_ms =
		RESTART_WAIT_MS + left_ms + unsaved_s(planner, task) * 1000.0;

	return left_ms <= in_time_ms && again_ms > in_time_ms;
}

/** Time that stopping the run costs, in seconds; see the factors above. */
static double lost_s(const mt_planner_t *planner, const mt_dag_task_t *task,
		     double left_ms)
{
	double seconds = unsaved_s(planner, task) + STOP_COST_S;

	if (gets_late(planner, task, left_ms))
		seconds += run_time_ms(planner, task) / 1000.0;
	if (task->percent > MT_DAG_PERCENT_MAX - NEARLY_DONE_PERCENT)
		seconds *= NEARLY_DONE_FACTOR;
	return seconds * (1 + task->n_preemptions);
}

/** Evaluates all members of a gang, also those outside the plan. */
static void init_gang(const mt_planner_t *planner, const mt_dag_step_t *step,
		      mt_stop_group_t *group)
{
	double left_ms = 0;
	double seconds = 0;
	uint32_t n = 0;
	uint32_t n_outside = 0;

	for (guint i = 0; i < step->tasks->len; i++) {
		const mt_dag_task_t *task = step->tasks->pdata[i];

		if (task->server)
			left_ms = MAX(left_ms, run_left_ms(planner, task));
	}
	for (guint i = 0; i < step->tasks->len; i++) {
		const mt_dag_task_t *task = step->tasks->pdata[i];

		if (!task->server)
			continue;
		n++;
		seconds += lost_s(planner, task, left_ms);
		n_outside += !g_hash_table_contains(planner->backend_index,
						    task->server);
	}
	group->seconds = seconds / MAX(1, n);
	group->outside = group->seconds * n_outside * mt_dag_step_cores(step);
	group->time_left = (mt_ms_t)MIN(left_ms, G_MAXUINT32);
}

static void init_single(const mt_planner_t *planner, const mt_dag_task_t *task,
			mt_stop_group_t *group)
{
	double left_ms = run_left_ms(planner, task);

	group->seconds = lost_s(planner, task, left_ms);
	group->time_left = (mt_ms_t)MIN(left_ms, G_MAXUINT32);
}

static mt_stop_group_t *find_or_add_group(mt_collection_t *collection,
					  const mt_dag_task_t *task)
{
	const mt_dag_step_t *step = task->step;
	gconstpointer key =
		step->spec->gang ? (gconstpointer)step : (gconstpointer)task;
	mt_stop_group_t *group = g_hash_table_lookup(collection->groups, key);

	if (group)
		return group;
	group = g_new0(mt_stop_group_t, 1);
	group->number = g_hash_table_size(collection->groups);
	if (step->spec->gang)
		init_gang(collection->planner, step, group);
	else
		init_single(collection->planner, task, group);
	g_hash_table_insert(collection->groups, (gpointer)key, group);
	return group;
}

/**
 * False for the tasks of guaranteed jobs, which are never preempted. Long-
 * running tasks, and those that are done or already being stopped, have been
 * left out before.
 */
static bool can_be_victim(const mt_planner_t *planner,
			  const mt_dag_task_t *task)
{
	const mt_dag_job_t *job = task->step->job;

	return job->queue.priority ||
	       !g_hash_table_contains(planner->guaranteed, job);
}

static void add_victim(mt_collection_t *collection, mt_dag_task_t *task,
		       uint32_t server, mt_stop_group_t *group)
{
	mt_plan_victim_t victim = {0};

	victim.server = server;
	victim.group = group->number;
	victim.amount = mt_dag_step_need(task->step);
	victim.priority = task->step->job->queue.priority;
	victim.cost = (mt_dag_step_cores(task->step) * group->seconds +
		       group->outside) *
		      mt_planner_weight(victim.priority);
	/* The members outside the plan are counted once. */
	group->outside = 0;
	g_array_append_val(collection->victims, victim);
	g_ptr_array_add(collection->planner->victims, task);
}

/** Adds the end of a run before the run itself is added as a victim. */
static void add_end(mt_collection_t *collection, const mt_dag_task_t *task,
		    uint32_t server, const mt_stop_group_t *group)
{
	mt_plan_end_t end = {0};

	if (group->time_left > ENDS_WITHIN_MS)
		return;
	end.server = server;
	end.amount = mt_dag_step_need(task->step);
	end.in_ms = (uint32_t)group->time_left;
	if (can_be_victim(collection->planner, task))
		end.victim_plus_one = collection->victims->len + 1;
	g_array_append_val(collection->ends, end);
}

static void collect_server(mt_collection_t *collection, uint32_t server)
{
	mt_planner_t *planner = collection->planner;
	const mt_backend_t *backend = planner->backends->pdata[server];

	for (guint i = 0; i < backend->tasks->len; i++) {
		mt_dag_task_t *task = backend->tasks->pdata[i];
		mt_stop_group_t *group;

		if (task->stop_wanted || task->phase == MT_TASK_PHASE_DONE ||
		    task->step->spec->lasting)
			continue;
		group = find_or_add_group(collection, task);
		add_end(collection, task, server, group);
		if (can_be_victim(planner, task))
			add_victim(collection, task, server, group);
	}
}

static gint compare_ends(gconstpointer a, gconstpointer b)
{
	const mt_plan_end_t *x = a;
	const mt_plan_end_t *y = b;

	if (x->in_ms != y->in_ms)
		return x->in_ms < y->in_ms ? -1 : 1;
	return x->server < y->server ? -1 : x->server > y->server;
}

void mt_victims_collect(mt_planner_t *planner)
{
	mt_collection_t collection = {
		planner, g_hash_table_new_full(NULL, NULL, NULL, g_free),
		g_array_new(FALSE, FALSE, sizeof(mt_plan_victim_t)),
		g_array_new(FALSE, FALSE, sizeof(mt_plan_end_t))};

	for (guint i = 0; i < planner->backends->len; i++)
		collect_server(&collection, i);
	g_array_sort(collection.ends, compare_ends);
	planner->plan.n_victims = collection.victims->len;
	planner->plan.victims =
		(mt_plan_victim_t *)g_array_free(collection.victims, FALSE);
	planner->plan.n_ends = collection.ends->len;
	planner->plan.ends =
		(mt_plan_end_t *)g_array_free(collection.ends, FALSE);
	g_hash_table_destroy(collection.groups);
}
