/**
 * @file job_totals.c Sums and maxima over the steps of a job. They cost what is
 * ready to start, not what the job declares.
 */
#include "dag/job_model_internal.h"

/** Limit of the waiting steps of a job in one pass, and of those of an index.
 */
#define WAITING_STEPS_MAX 512u
#define WAITING_OF_INDEX_MIN 2u
#define WAITING_OF_INDEX_MAX 128u

/* Layout. */

uint32_t mt_dag_spec_n_first_steps(const MtDag__Job *spec)
{
	uint32_t n = 0;

	for (size_t i = 0; i < spec->n_steps; i++)
		n += !spec->steps[i]->n_after;
	return n;
}

uint32_t mt_dag_spec_waiting_max(const MtDag__Job *spec)
{
	uint32_t n_first = MAX(1, mt_dag_spec_n_first_steps(spec));

	return CLAMP(WAITING_STEPS_MAX / n_first, WAITING_OF_INDEX_MIN,
		     WAITING_OF_INDEX_MAX);
}

static void note_successors(mt_dag_job_t *job, uint32_t index)
{
	const MtDag__Step *spec = job->spec->steps[index];

	job->layout[index].successors =
		g_array_new(FALSE, FALSE, sizeof(uint32_t));
	for (size_t i = 0; i < spec->n_after; i++)
		g_array_append_val(job->layout[spec->after[i]].successors,
				   index);
}

static uint64_t gpu_of_step(const mt_dag_job_t *job, uint32_t index)
{
	const MtDag__Step *spec = job->spec->steps[index];

	return (uint64_t)spec->count * spec->gpu;
}

/** Sums up what follows the step; its successors come first. */
static void sum_up_step(mt_dag_job_t *job, uint32_t index)
{
	const MtDag__Step *spec = job->spec->steps[index];
	mt_dag_step_layout_t *layout = &job->layout[index];
	mt_dag_resources_t need = mt_dag_spec_need(spec);
	uint64_t path_ms = 0;

	for (guint i = 0; i < layout->successors->len; i++) {
		uint32_t next = g_array_index(layout->successors, uint32_t, i);
		const mt_dag_step_layout_t *after = &job->layout[next];

		path_ms = MAX(path_ms, after->path_ms);
		layout->gpu_after = MAX(layout->gpu_after, after->gpu_after);
		layout->gpu_after =
			MAX(layout->gpu_after, gpu_of_step(job, next));
	}
	path_ms += spec->estimate_ms;
	layout->path_ms = (uint32_t)MIN(path_ms, UINT32_MAX);
	if (!spec->lasting)
		layout->work_core_ms =
			mt_dag_resources_cores(&need) * spec->estimate_ms;
	job->occurrence_work_core_ms += layout->work_core_ms * spec->count;
}

void mt_dag_job_init_layout(mt_dag_job_t *job)
{
	uint32_t n_steps = (uint32_t)job->spec->n_steps;

	job->waiting_max = mt_dag_spec_waiting_max(job->spec);
	job->layout = g_new0(mt_dag_step_layout_t, n_steps);
	for (uint32_t i = 0; i < n_steps; i++)
		note_successors(job, i);
	/* Steps depend only on steps of lower index. */
	for (uint32_t i = n_steps; i-- > 0;)
		sum_up_step(job, i);
}

void mt_dag_job_clear_layout(mt_dag_job_t *job)
{
	for (size_t i = 0; i < job->spec->n_steps; i++)
		g_array_unref(job->layout[i].successors);
	g_clear_pointer(&job->layout, g_free);
}

/* Sums and maxima. */

static bool has_unopened(const mt_dag_job_t *job)
{
	return job->n_opened < job->n_occurrences;
}

uint32_t mt_dag_job_gpu_wanted(const mt_dag_job_t *job)
{
	uint64_t most = 0;

	for (uint32_t i = 0; has_unopened(job) && i < job->spec->n_steps; i++)
		most = MAX(most, gpu_of_step(job, i));
	for (guint i = 0; i < job->ready_steps->len; i++) {
		const mt_dag_step_t *step = job->ready_steps->pdata[i];
		uint64_t unfinished = step->spec->count - step->n_done;

		most = MAX(most, unfinished * step->spec->gpu);
		most = MAX(most, job->layout[step->index].gpu_after);
	}
	return (uint32_t)MIN(most, UINT32_MAX);
}

/**
 * The longest chain of unfinished steps begins at a ready step: the steps on
 * which a done step depends are done, too.
 */
static uint32_t find_path_left(const mt_dag_job_t *job)
{
	uint32_t longest = 0;

	for (uint32_t i = 0; has_unopened(job) && i < job->spec->n_steps; i++)
		longest = MAX(longest, job->layout[i].path_ms);
	for (guint i = 0; i < job->ready_steps->len; i++) {
		const mt_dag_step_t *step = job->ready_steps->pdata[i];

		longest = MAX(longest, job->layout[step->index].path_ms);
	}
	return longest;
}

uint32_t mt_dag_job_critical_path_left_ms(mt_dag_job_t *job)
{
	if (!job->path_left_known)
		job->path_left_ms = find_path_left(job);
	job->path_left_known = true;
	return job->path_left_ms;
}

uint32_t mt_dag_job_objective_ms(const mt_dag_job_t *job)
{
	double objective = job->critical_path_ms * job->queue.slack_factor +
			   job->queue.objective_extra_ms;

	return (uint32_t)MIN(objective, UINT32_MAX);
}

uint32_t mt_dag_job_n_due_unopened(const mt_dag_job_t *job, int64_t wall_ms)
{
	int64_t since_ms =
		wall_ms - mt_dag_job_earliest_start(job, job->n_opened);
	uint32_t unopened = job->n_occurrences - job->n_opened;

	if (!unopened || since_ms < 0)
		return 0;
	if (!job->spec->interval_ms)
		return unopened;
	return (uint32_t)MIN(since_ms / job->spec->interval_ms + 1, unopened);
}

double mt_dag_job_waiting_core_ms(const mt_dag_job_t *job, int64_t wall_ms)
{
	return job->waiting_core_ms + mt_dag_job_n_due_unopened(job, wall_ms) *
					      job->occurrence_work_core_ms;
}
