/** @file job_model.c The scheduler's model of a job. */
#include "dag/job_model_internal.h"

#include <string.h>

/* Construction. */

static void init_queue(mt_queue_t *queue, const MtDag__Job *spec)
{
	mt_shared_name_set(&queue->name, mt_str_from(spec->queue));
	mt_shared_name_set(&queue->service, mt_str_from(spec->service));
	queue->priority = spec->priority;
	queue->attempts_max = spec->attempts_max;
	queue->slack_factor = spec->slack_permille / 1000.0;
	queue->objective_extra_ms = spec->target_ms;
	queue->advised = spec->advised;
	queue->decision_ms = spec->decision_ms;
	queue->per_server_ms = spec->per_server_ms;
}

static bool step_is_valid(const MtDag__Step *step, size_t index)
{
	for (size_t i = 0; i < step->n_after; i++) {
		if (step->after[i] >= index)
			return false;
	}
	return step->count && step->count <= MT_DAG_TASKS_MAX;
}

bool mt_dag_job_spec_is_valid(const MtDag__Job *spec)
{
	uint64_t n_tasks = 0;

	for (size_t i = 0; i < spec->n_steps; i++) {
		if (!step_is_valid(spec->steps[i], i))
			return false;
		n_tasks += spec->steps[i]->count;
	}
	return n_tasks && n_tasks <= MT_DAG_TASKS_MAX / MAX(1, spec->repeat);
}

mt_dag_job_t *mt_dag_job_new(MtDag__Job *spec, mt_ms_t now)
{
	mt_dag_job_t *job = g_new0(mt_dag_job_t, 1);

	job->id = spec->id;
	job->spec = spec;
	job->known_since = now;
	job->n_occurrences = MAX(1, spec->repeat);
	job->occurrences = g_ptr_array_new();
	job->ready_steps = g_ptr_array_new();
	job->steps_with_done_tasks = g_ptr_array_new();
	init_queue(&job->queue, spec);
	mt_dag_job_init_layout(job);
	job->critical_path_ms = mt_dag_job_critical_path_left_ms(job);
	return job;
}

void mt_dag_step_free(mt_dag_step_t *step)
{
	if (!step)
		return;
	g_clear_pointer(&step->tasks, g_ptr_array_unref);
	mt_advice_free(step->advice);
	g_free(step);
}

void mt_dag_occurrence_free(mt_dag_occurrence_t *occurrence)
{
	for (size_t i = 0; i < occurrence->job->spec->n_steps; i++)
		mt_dag_step_free(occurrence->slots[i].step);
	g_free(occurrence);
}

void mt_dag_job_free(mt_dag_job_t *job)
{
	for (guint i = 0; i < job->occurrences->len; i++)
		mt_dag_occurrence_free(job->occurrences->pdata[i]);
	g_ptr_array_unref(job->occurrences);
	g_ptr_array_unref(job->ready_steps);
	g_ptr_array_unref(job->steps_with_done_tasks);
	mt_dag_job_clear_layout(job);
	mt_queue_clear(&job->queue);
	mt_dag__job__free_unpacked(job->spec, NULL);
	g_free(job);
}

void mt_dag_job_mark_dirty(mt_dag_job_t *job)
{
	if (!job->dirty && job->dirty_jobs)
		g_ptr_array_add(job->dirty_jobs, job);
	job->dirty = true;
}

/* Occurrences and steps. */

uint32_t mt_dag_step_number(const mt_dag_step_t *step)
{
	return step->occurrence->number * (uint32_t)step->job->spec->n_steps +
	       step->index;
}

bool mt_dag_step_is_done(const mt_dag_step_t *step)
{
	return step->n_done == step->spec->count;
}

/** Index of the first ready step with this number or a higher one. */
static guint find_ready(const mt_dag_job_t *job, uint32_t number)
{
	guint first = 0;
	guint end = job->ready_steps->len;

	while (first < end) {
		guint middle = first + (end - first) / 2;

		if (mt_dag_step_number(job->ready_steps->pdata[middle]) <
		    number)
			first = middle + 1;
		else
			end = middle;
	}
	return first;
}

static void add_ready(mt_dag_step_t *step)
{
	mt_dag_job_t *job = step->job;

	job->path_left_known = false;
	g_ptr_array_insert(job->ready_steps,
			   (gint)find_ready(job, mt_dag_step_number(step)),
			   step);
}

static void remove_ready(mt_dag_step_t *step)
{
	mt_dag_job_t *job = step->job;

	job->path_left_known = false;
	g_ptr_array_remove_index(job->ready_steps,
				 find_ready(job, mt_dag_step_number(step)));
}

/** Changes the number of waiting tasks of open occurrences. */
static void add_waiting_of_job(mt_dag_job_t *job, uint32_t step, int32_t change)
{
	if (job->spec->steps[step]->lasting)
		return;
	job->n_waiting += (uint64_t)(int64_t)change;
	job->waiting_core_ms += change * job->layout[step].work_core_ms;
	/* Without waiting tasks, what is left are errors of rounding. */
	if (!job->n_waiting)
		job->waiting_core_ms = 0;
}

void mt_dag_step_add_waiting(mt_dag_step_t *step, int32_t change)
{
	step->n_waiting += (uint32_t)change;
	add_waiting_of_job(step->job, step->index, change);
}

/** Stands for a label or rack that no server has had so far. */
static GQuark unknown_name(void)
{
	return g_quark_from_static_string("\001unknown");
}

static GQuark find_name(const char *name)
{
	GQuark known = g_quark_try_string(name);

	if (!*name)
		return 0;
	return known ? known : unknown_name();
}

void mt_dag_step_find_names(mt_dag_step_t *step)
{
	if (step->label == unknown_name())
		step->label = find_name(step->spec->label);
	if (step->data_rack == unknown_name())
		step->data_rack = find_name(step->spec->data_rack);
}

/** Makes the state of a step that depends on no unfinished step any more. */
static void make_step(mt_dag_occurrence_t *occurrence, uint32_t index)
{
	const MtDag__Step *spec = occurrence->job->spec->steps[index];
	mt_dag_step_t *step = g_new0(mt_dag_step_t, 1);

	occurrence->slots[index].step = step;
	step->job = occurrence->job;
	step->occurrence = occurrence;
	step->index = index;
	step->spec = spec;
	step->label = find_name(spec->label);
	step->data_rack = find_name(spec->data_rack);
	step->n_waiting = spec->count;
	add_ready(step);
}

static void open_slot(mt_dag_occurrence_t *occurrence, uint32_t index)
{
	const MtDag__Step *spec = occurrence->job->spec->steps[index];

	occurrence->slots[index].n_blockers = (uint32_t)spec->n_after;
	add_waiting_of_job(occurrence->job, index, (int32_t)spec->count);
	if (!spec->n_after)
		make_step(occurrence, index);
}

mt_dag_occurrence_t *mt_dag_job_open_next(mt_dag_job_t *job)
{
	size_t n_steps = job->spec->n_steps;
	mt_dag_occurrence_t *occurrence;

	if (job->n_opened >= job->n_occurrences)
		return NULL;
	occurrence = g_malloc0(sizeof(*occurrence) +
			       n_steps * sizeof(mt_dag_slot_t));
	occurrence->job = job;
	occurrence->number = job->n_opened++;
	g_ptr_array_add(job->occurrences, occurrence);
	for (uint32_t i = 0; i < n_steps; i++)
		open_slot(occurrence, i);
	return occurrence;
}

mt_dag_step_t *mt_dag_job_find_step(const mt_dag_job_t *job,
				    uint32_t occurrence, uint32_t step)
{
	guint first = 0;
	guint end = job->occurrences->len;

	if (step >= job->spec->n_steps)
		return NULL;
	while (first < end) {
		guint middle = first + (end - first) / 2;
		mt_dag_occurrence_t *at = job->occurrences->pdata[middle];

		if (at->number == occurrence)
			return at->slots[step].step;
		if (at->number < occurrence)
			first = middle + 1;
		else
			end = middle;
	}
	return NULL;
}

void mt_dag_step_finish(mt_dag_step_t *step)
{
	mt_dag_job_t *job = step->job;
	mt_dag_occurrence_t *occurrence = step->occurrence;
	const GArray *successors = job->layout[step->index].successors;

	remove_ready(step);
	for (guint i = 0; i < successors->len; i++) {
		uint32_t next = g_array_index(successors, uint32_t, i);

		if (!--occurrence->slots[next].n_blockers)
			make_step(occurrence, next);
	}
	if (++occurrence->n_steps_done == job->spec->n_steps)
		job->n_occurrences_done++;
}

void mt_dag_step_note_done_task(mt_dag_step_t *step)
{
	if (!step->has_done_tasks)
		g_ptr_array_add(step->job->steps_with_done_tasks, step);
	step->has_done_tasks = true;
}

void mt_dag_step_restore_done(mt_dag_step_t *step)
{
	mt_dag_step_add_waiting(step, -(int32_t)step->n_waiting);
	step->n_begun = step->spec->count;
	step->n_done = step->spec->count;
	mt_dag_step_note_done_task(step);
	mt_dag_step_finish(step);
}

void mt_dag_step_restore_tasks_done(mt_dag_step_t *step, uint32_t count)
{
	mt_dag_step_add_waiting(step, -(int32_t)count);
	step->n_begun += count;
	step->n_done += count;
}

int64_t mt_dag_job_earliest_start(const mt_dag_job_t *job, uint32_t occurrence)
{
	return job->spec->start_at_ms +
	       (int64_t)occurrence * job->spec->interval_ms;
}

int64_t mt_dag_step_earliest_start(const mt_dag_step_t *step)
{
	return mt_dag_job_earliest_start(step->job, step->occurrence->number);
}

mt_dag_resources_t mt_dag_spec_need(const MtDag__Step *spec)
{
	mt_dag_resources_t need = {spec->cpu_milli, spec->mem_mb, spec->gpu};

	/* Fillers use only cores that other tasks leave idle, and so reserve
	 * none. */
	if (spec->fills)
		need.cpu_milli = 0;
	return need;
}

mt_dag_resources_t mt_dag_step_need(const mt_dag_step_t *step)
{
	return mt_dag_spec_need(step->spec);
}

double mt_dag_step_cores(const mt_dag_step_t *step)
{
	mt_dag_resources_t need = mt_dag_step_need(step);

	return mt_dag_resources_cores(&need);
}

void mt_dag_job_update_state(mt_dag_job_t *job)
{
	MtDag__State before = job->state;

	if (before == MT_DAG__STATE__COMPLETED ||
	    before == MT_DAG__STATE__FAILED ||
	    before == MT_DAG__STATE__CANCELLED)
		return;
	if (job->n_occurrences_done == job->n_occurrences)
		job->state = MT_DAG__STATE__COMPLETED;
	else if (job->cancelled)
		job->state = MT_DAG__STATE__CANCELLED;
	else if (job->begun)
		job->state = MT_DAG__STATE__ACTIVE;
	if (job->state != before)
		mt_dag_job_mark_dirty(job);
}
