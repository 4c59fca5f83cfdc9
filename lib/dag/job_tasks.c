/** @file job_tasks.c Tasks of a job: their states, and how these change. */
#include "dag/job_model_internal.h"

#include <string.h>

static void free_task(gpointer data)
{
	mt_dag_task_t *task = data;

	g_free(task->checkpoint);
	g_free(task);
}

mt_dag_task_t *mt_dag_step_find_task(const mt_dag_step_t *step, uint32_t index)
{
	guint first = 0;
	guint end = step->tasks ? step->tasks->len : 0;

	while (first < end) {
		guint middle = first + (end - first) / 2;
		mt_dag_task_t *task = step->tasks->pdata[middle];

		if (task->index == index)
			return task;
		if (task->index < index)
			first = middle + 1;
		else
			end = middle;
	}
	return NULL;
}

mt_dag_task_t *mt_dag_step_begin_task(mt_dag_step_t *step)
{
	mt_dag_task_t *task;

	if (step->n_begun >= step->spec->count)
		return NULL;
	if (!step->tasks)
		step->tasks = g_ptr_array_new_with_free_func(free_task);
	task = g_new0(mt_dag_task_t, 1);
	task->step = step;
	task->index = step->n_begun++;
	g_ptr_array_add(step->tasks, task);
	step->job->steps_begun =
		MAX(step->job->steps_begun, mt_dag_step_number(step) + 1);
	return task;
}

mt_dag_task_t *mt_dag_job_find_task(const mt_dag_job_t *job,
				    const mt_task_key_t *key)
{
	const mt_dag_step_t *step =
		mt_dag_job_find_step(job, key->occurrence, key->step);

	return step ? mt_dag_step_find_task(step, key->index) : NULL;
}

mt_task_key_t mt_dag_task_key(const mt_dag_task_t *task)
{
	return (mt_task_key_t){task->step->job->id,
			       task->step->occurrence->number,
			       task->step->index, task->index,
			       mt_record_spelling(task->step->job->spec)};
}

/** Counts a task of the step that was placed (1) or removed (-1). */
static void count_placed(mt_dag_step_t *step, int32_t change)
{
	mt_dag_resources_t need = mt_dag_step_need(step);
	mt_dag_job_t *job = step->job;

	step->n_placed += (uint32_t)change;
	step->occurrence->n_placed += (uint32_t)change;
	job->n_placed += (uint32_t)change;
	if (change > 0)
		mt_dag_resources_add(&job->used, &need);
	else
		mt_dag_resources_subtract(&job->used, &need);
	mt_dag_job_mark_dirty(job);
}

void mt_dag_task_place(mt_dag_task_t *task, mt_backend_t *server, uint32_t run,
		       mt_ms_t now)
{
	mt_dag_resources_t need = mt_dag_step_need(task->step);

	g_assert(task->phase == MT_TASK_PHASE_WAITING);
	task->phase = MT_TASK_PHASE_STARTING;
	task->run = run;
	task->server = server;
	task->placement_stored = false;
	task->restored = false;
	task->start_in_flight = false;
	task->start_unanswered = false;
	task->stop_wanted = false;
	task->stop_in_flight = false;
	task->stop_confirmed_at = 0;
	task->first_start_sent_at = 0;
	task->last_start_sent_at = 0;
	task->placed_at = now;
	task->start_settled_at = 0;
	task->progressed_at = now;
	task->checkpoint_saved_at = now;
	task->percent = 0;
	task->pace_from_at = 0;
	task->paced_at = 0;
	task->measured_from_at = 0;
	task->measured_from_percent = 0;
	task->measured_rate = 0;
	if (run > task->step->run) {
		task->step->run = run;
		task->step->run_first_sent_at = 0;
	}
	count_placed(task->step, 1);
	mt_dag_step_add_waiting(task->step, -1);
	g_ptr_array_add(server->tasks, task);
	mt_dag_resources_add(&server->used, &need);
}

static void remove_from_server(mt_dag_task_t *task)
{
	mt_dag_resources_t need = mt_dag_step_need(task->step);

	if (!task->server)
		return;
	g_ptr_array_remove_fast(task->server->tasks, task);
	mt_dag_resources_subtract(&task->server->used, &need);
	task->server = NULL;
	count_placed(task->step, -1);
}

void mt_dag_task_unplace(mt_dag_task_t *task)
{
	remove_from_server(task);
	if (task->phase == MT_TASK_PHASE_DONE) {
		mt_dag_step_note_done_task(task->step);
		return;
	}
	if (task->phase != MT_TASK_PHASE_WAITING)
		mt_dag_step_add_waiting(task->step, 1);
	task->phase = MT_TASK_PHASE_WAITING;
}

static void set_done(mt_dag_task_t *task)
{
	mt_dag_step_t *step = task->step;

	if (task->phase == MT_TASK_PHASE_DONE)
		return;
	if (task->phase == MT_TASK_PHASE_WAITING)
		mt_dag_step_add_waiting(step, -1);
	task->phase = MT_TASK_PHASE_DONE;
	g_clear_pointer(&task->checkpoint, g_free);
	mt_dag_step_note_done_task(step);
	mt_dag_job_mark_dirty(step->job);
	if (++step->n_done == step->spec->count)
		mt_dag_step_finish(step);
}

void mt_dag_task_finish(mt_dag_task_t *task)
{
	remove_from_server(task);
	if (!task->step->spec->gang) {
		set_done(task);
		return;
	}
	/* The other tasks of the gang are done, but stay placed until their
	 * servers report the ends of their runs. */
	while (mt_dag_step_begin_task(task->step))
		;
	for (guint i = 0; i < task->step->tasks->len; i++)
		set_done(task->step->tasks->pdata[i]);
}

/**
 * Returns the task whose `fails` counts the failed runs of `task`: in a gang,
 * which fails as a whole, the first task.
 */
static mt_dag_task_t *fail_counter_of(mt_dag_task_t *task)
{
	return task->step->spec->gang ? task->step->tasks->pdata[0] : task;
}

bool mt_dag_task_fail(mt_dag_task_t *task)
{
	mt_dag_step_t *step = task->step;
	mt_dag_task_t *counter_task = fail_counter_of(task);
	bool already_counted =
		step->spec->gang && step->failed_run == task->run;

	step->failed_run = task->run;
	mt_dag_task_unplace(task);
	if (already_counted || step->spec->lasting)
		return true;
	counter_task->fails++;
	mt_dag_job_mark_dirty(step->job);
	return counter_task->fails < MAX(1, step->job->queue.attempts_max);
}

static void save_checkpoint(mt_dag_task_t *task, mt_str_t checkpoint,
			    mt_ms_t now)
{
	if (task->checkpoint &&
	    mt_str_equal(mt_str_from(task->checkpoint), checkpoint))
		return;
	g_free(task->checkpoint);
	task->checkpoint = g_strndup(checkpoint.data, checkpoint.len);
	task->checkpoint_saved_at = now;
}

void mt_dag_task_save_checkpoint(mt_dag_task_t *task, mt_str_t checkpoint,
				 mt_ms_t now)
{
	if (!checkpoint.len || task->phase == MT_TASK_PHASE_DONE)
		return;
	if (!task->step->spec->gang) {
		save_checkpoint(task, checkpoint, now);
		return;
	}
	for (guint i = 0; i < task->step->tasks->len; i++)
		save_checkpoint(task->step->tasks->pdata[i], checkpoint, now);
}

mt_ms_t mt_dag_task_unsaved_ms(const mt_dag_task_t *task, mt_ms_t now)
{
	mt_ms_t since = task->placed_at;

	if (task->step->spec->checkpointing && task->checkpoint)
		since = MAX(since, task->checkpoint_saved_at);
	return now > since ? now - since : 0;
}

bool mt_dag_task_waits_for_gang(const mt_dag_task_t *task)
{
	return task->step->spec->gang && task->percent >= MT_DAG_PERCENT_MAX;
}

/* Release of states. */

static bool may_release(const mt_dag_task_t *task)
{
	return task->phase == MT_TASK_PHASE_DONE && !task->server;
}

/** Frees the states of the step's tasks that are done and on no server. */
static void release_tasks(mt_dag_step_t *step)
{
	guint kept = 0;

	step->has_done_tasks = false;
	if (!step->tasks)
		return;
	for (guint i = 0; i < step->tasks->len; i++) {
		mt_dag_task_t *task = step->tasks->pdata[i];

		if (may_release(task))
			free_task(task);
		else
			step->tasks->pdata[kept++] = task;
	}
	/* The elements beyond `kept` are freed or have moved. */
	memset(step->tasks->pdata + kept, 0,
	       (step->tasks->len - kept) * sizeof(gpointer));
	g_ptr_array_set_free_func(step->tasks, NULL);
	g_ptr_array_set_size(step->tasks, (gint)kept);
	g_ptr_array_set_free_func(step->tasks, free_task);
	if (!kept)
		g_clear_pointer(&step->tasks, g_ptr_array_unref);
}

static bool is_over(const mt_dag_occurrence_t *occurrence)
{
	return occurrence->n_steps_done == occurrence->job->spec->n_steps &&
	       !occurrence->n_placed;
}

/** Frees the state of a step that is done and has no placed tasks. */
static void release_step(mt_dag_step_t *step)
{
	if (!mt_dag_step_is_done(step) || step->n_placed)
		return;
	step->occurrence->slots[step->index].step = NULL;
	mt_dag_step_free(step);
}

/** Frees the occurrence if all its steps are done and no task is placed. */
static void release_if_over(mt_dag_job_t *job, mt_dag_occurrence_t *occurrence)
{
	if (!is_over(occurrence))
		return;
	g_ptr_array_remove(job->occurrences, occurrence);
	mt_dag_occurrence_free(occurrence);
}

static gint compare_steps(gconstpointer a, gconstpointer b)
{
	uint32_t x = mt_dag_step_number(*(mt_dag_step_t *const *)a);
	uint32_t y = mt_dag_step_number(*(mt_dag_step_t *const *)b);

	return x < y ? -1 : x > y;
}

void mt_dag_job_release_done(mt_dag_job_t *job)
{
	GPtrArray *steps = job->steps_with_done_tasks;
	mt_dag_occurrence_t *occurrence = NULL;

	g_ptr_array_sort(steps, compare_steps);
	for (guint i = 0; i < steps->len; i++) {
		mt_dag_step_t *step = steps->pdata[i];

		if (occurrence && occurrence != step->occurrence)
			release_if_over(job, occurrence);
		occurrence = step->occurrence;
		release_tasks(step);
		release_step(step);
	}
	if (occurrence)
		release_if_over(job, occurrence);
	g_ptr_array_set_size(steps, 0);
}
