/** @file job_model.c The scheduler's model of a job. */
#include "dag/job_model.h"

static void init_step(mt_dag_job_t *job, mt_dag_step_t *step,
		      uint32_t occurrence, uint32_t index)
{
	const MtDag__Step *spec = job->spec->steps[index];

	step->job = job;
	step->occurrence = occurrence;
	step->index = index;
	step->spec = spec;
	step->tasks = g_new0(mt_dag_task_t, spec->count);
	step->label = *spec->label ? g_quark_from_string(spec->label) : 0;
	step->data_rack =
		*spec->data_rack ? g_quark_from_string(spec->data_rack) : 0;
	for (uint32_t i = 0; i < spec->count; i++) {
		step->tasks[i].step = step;
		step->tasks[i].index = i;
	}
}

static void init_queue(mt_queue_t *queue, const MtDag__Job *spec)
{
	queue->name = mt_name(spec->queue);
	queue->service = mt_name(spec->service);
	queue->priority = spec->priority;
	queue->attempts_max = spec->attempts_max;
	queue->slack_factor = spec->slack_permille / 1000.0;
	queue->objective_extra_ms = spec->target_ms;
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
	uint32_t occurrences = MAX(1, spec->repeat);

	job->id = spec->id;
	job->spec = spec;
	job->known_since = now;
	job->n_steps_total = occurrences * (uint32_t)spec->n_steps;
	job->steps = g_new0(mt_dag_step_t, job->n_steps_total);
	init_queue(&job->queue, spec);
	for (uint32_t i = 0; i < job->n_steps_total; i++)
		init_step(job, &job->steps[i], i / (uint32_t)spec->n_steps,
			  i % (uint32_t)spec->n_steps);
	job->critical_path_ms = mt_dag_job_critical_path_left_ms(job);
	return job;
}

void mt_dag_job_free(mt_dag_job_t *job)
{
	for (uint32_t i = 0; i < job->n_steps_total; i++) {
		mt_dag_step_t *step = &job->steps[i];

		for (uint32_t k = 0; k < step->spec->count; k++)
			g_free(step->tasks[k].checkpoint);
		g_free(step->tasks);
		mt_advice_free(step->advice);
	}
	g_free(job->steps);
	mt_dag__job__free_unpacked(job->spec, NULL);
	g_free(job);
}

mt_dag_task_t *mt_dag_job_find_task(mt_dag_job_t *job, const mt_task_key_t *key)
{
	uint32_t step_index;

	if (key->step >= job->spec->n_steps ||
	    key->occurrence >= MAX(1, job->spec->repeat))
		return NULL;
	step_index = key->occurrence * (uint32_t)job->spec->n_steps + key->step;
	if (key->index >= job->steps[step_index].spec->count)
		return NULL;
	return &job->steps[step_index].tasks[key->index];
}

mt_task_key_t mt_dag_task_key(const mt_dag_task_t *task)
{
	return (mt_task_key_t){task->step->job->id, task->step->occurrence,
			       task->step->index, task->index};
}

/**
 * Returns the step with index `index` in the occurrence of `step`. The steps of
 * an occurrence are adjacent in job->steps, in the order of their indices.
 */
static const mt_dag_step_t *step_of_same_occurrence(const mt_dag_step_t *step,
						    uint32_t index)
{
	return step + index - step->index;
}

static bool is_done(const mt_dag_step_t *step)
{
	return step->n_done == step->spec->count;
}

bool mt_dag_step_is_ready(const mt_dag_step_t *step)
{
	for (size_t i = 0; i < step->spec->n_after; i++) {
		if (!is_done(step_of_same_occurrence(step,
						     step->spec->after[i])))
			return false;
	}
	return true;
}

int64_t mt_dag_step_earliest_start(const mt_dag_step_t *step)
{
	const MtDag__Job *spec = step->job->spec;

	return spec->start_at_ms +
	       (int64_t)step->occurrence * spec->interval_ms;
}

mt_dag_resources_t mt_dag_step_need(const mt_dag_step_t *step)
{
	mt_dag_resources_t need = {step->spec->cpu_milli, step->spec->mem_mb,
				   step->spec->gpu};

	/* Fillers use only cores that other tasks leave idle, and so reserve
	 * none. */
	if (step->spec->fills)
		need.cpu_milli = 0;
	return need;
}

double mt_dag_step_cores(const mt_dag_step_t *step)
{
	mt_dag_resources_t need = mt_dag_step_need(step);

	return mt_dag_resources_cores(&need);
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
	task->step->n_placed++;
	task->step->job->dirty = true;
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
	task->step->n_placed--;
	task->step->job->dirty = true;
}

void mt_dag_task_unplace(mt_dag_task_t *task)
{
	remove_from_server(task);
	if (task->phase != MT_TASK_PHASE_DONE)
		task->phase = MT_TASK_PHASE_WAITING;
}

static void set_done(mt_dag_task_t *task)
{
	if (task->phase == MT_TASK_PHASE_DONE)
		return;
	task->phase = MT_TASK_PHASE_DONE;
	task->step->n_done++;
	task->step->job->dirty = true;
	g_clear_pointer(&task->checkpoint, g_free);
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
	for (uint32_t i = 0; i < task->step->spec->count; i++)
		set_done(&task->step->tasks[i]);
}

/**
 * Returns the task whose `fails` counts the failed runs of `task`: in a gang,
 * which fails as a whole, the first task.
 */
static mt_dag_task_t *fail_counter_of(mt_dag_task_t *task)
{
	return task->step->spec->gang ? &task->step->tasks[0] : task;
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
	step->job->dirty = true;
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
	for (uint32_t i = 0; i < task->step->spec->count; i++)
		save_checkpoint(&task->step->tasks[i], checkpoint, now);
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

uint32_t mt_dag_job_n_placed(const mt_dag_job_t *job)
{
	uint32_t placed = 0;

	for (uint32_t i = 0; i < job->n_steps_total; i++)
		placed += job->steps[i].n_placed;
	return placed;
}

static bool all_done(const mt_dag_job_t *job)
{
	for (uint32_t i = 0; i < job->n_steps_total; i++) {
		if (!is_done(&job->steps[i]))
			return false;
	}
	return true;
}

void mt_dag_job_update_state(mt_dag_job_t *job)
{
	MtDag__State before = job->state;

	if (before == MT_DAG__STATE__COMPLETED ||
	    before == MT_DAG__STATE__FAILED ||
	    before == MT_DAG__STATE__CANCELLED)
		return;
	if (all_done(job))
		job->state = MT_DAG__STATE__COMPLETED;
	else if (job->cancelled)
		job->state = MT_DAG__STATE__CANCELLED;
	else if (job->begun)
		job->state = MT_DAG__STATE__ACTIVE;
	job->dirty = job->dirty || job->state != before;
}

uint32_t mt_dag_job_gpu_wanted(const mt_dag_job_t *job)
{
	uint64_t most = 0;

	for (uint32_t i = 0; i < job->n_steps_total; i++) {
		const mt_dag_step_t *step = &job->steps[i];
		uint64_t unfinished = step->spec->count - step->n_done;

		most = MAX(most, unfinished * step->spec->gpu);
	}
	return (uint32_t)MIN(most, UINT32_MAX);
}

/**
 * Returns the critical path up to and including this step, in ms. Steps that
 * are done count as 0. UINT32_MAX if it is longer.
 * @param path_ms results for the steps of lower index in the occurrence, by the
 * index of the step
 */
static uint32_t path_through(const mt_dag_step_t *step, uint32_t *path_ms)
{
	uint64_t path = 0;

	for (size_t i = 0; i < step->spec->n_after; i++)
		path = MAX(path, path_ms[step->spec->after[i]]);
	if (!is_done(step))
		path += step->spec->estimate_ms;
	return (uint32_t)MIN(path, UINT32_MAX);
}

uint32_t mt_dag_job_critical_path_left_ms(const mt_dag_job_t *job)
{
	uint32_t steps_per_occurrence = (uint32_t)job->spec->n_steps;
	uint32_t *path_ms = g_new0(uint32_t, steps_per_occurrence);
	uint32_t longest = 0;

	for (uint32_t i = 0; i < job->n_steps_total; i++) {
		path_ms[i % steps_per_occurrence] =
			path_through(&job->steps[i], path_ms);
		longest = MAX(longest, path_ms[i % steps_per_occurrence]);
	}
	g_free(path_ms);
	return longest;
}

uint32_t mt_dag_job_objective_ms(const mt_dag_job_t *job)
{
	double objective = job->critical_path_ms * job->queue.slack_factor +
			   job->queue.objective_extra_ms;

	return (uint32_t)MIN(objective, UINT32_MAX);
}

/* Progress records. */

/** Parts of a progress record that is being built (packed). */
typedef struct mt_packing_t {
	/** MtDag__Placement of each server, for MtDag__Progress.servers. */
	GPtrArray *server_entries;
	GPtrArray *servers; /**< mt_backend_t, in the same order */
	GPtrArray *steps;   /**< MtDag__StepProgress */
} mt_packing_t;

/**
 * Returns 1 + index of a server in MtDag__Progress.servers, and adds the server
 * if needed.
 */
static uint32_t server_number(mt_packing_t *packing, mt_backend_t *server)
{
	MtDag__Placement *server_entry;

	for (guint i = 0; i < packing->servers->len; i++) {
		if (packing->servers->pdata[i] == server)
			return i + 1;
	}
	server_entry = g_new(MtDag__Placement, 1);
	mt_dag__placement__init(server_entry);
	server_entry->server = server->info.target.id.text;
	server_entry->born_ms = server->born_ms;
	g_ptr_array_add(packing->servers, server);
	g_ptr_array_add(packing->server_entries, server_entry);
	return packing->servers->len;
}

/** True when no task of the step has ever been placed. */
static bool was_never_placed(const mt_dag_step_t *step)
{
	for (uint32_t i = 0; i < step->spec->count; i++) {
		if (step->tasks[i].run || step->tasks[i].phase)
			return false;
	}
	return true;
}

static void pack_task(mt_packing_t *packing, MtDag__StepProgress *out,
		      const mt_dag_task_t *task)
{
	uint32_t phase = task->phase;

	/* The record does not tell whether the start was confirmed: a new
	 * leader learns this from the server. */
	out->phase[task->index] =
		phase == MT_TASK_PHASE_RUNNING ? MT_TASK_PHASE_STARTING : phase;
	out->run[task->index] = task->run;
	out->fails[task->index] = task->fails;
	if (task->server && phase != MT_TASK_PHASE_DONE)
		out->server[task->index] = server_number(packing, task->server);
}

static uint32_t *new_values(uint32_t count)
{
	return g_new0(uint32_t, count);
}

static void pack_step(mt_packing_t *packing, const mt_dag_step_t *step)
{
	MtDag__StepProgress *out = g_new(MtDag__StepProgress, 1);
	uint32_t n = step->spec->count;

	mt_dag__step_progress__init(out);
	out->occurrence = step->occurrence;
	out->step = step->index;
	out->n_phase = out->n_run = out->n_server = out->n_fails = n;
	out->phase = new_values(n);
	out->run = new_values(n);
	out->server = new_values(n);
	out->fails = new_values(n);
	for (uint32_t i = 0; i < n; i++)
		pack_task(packing, out, &step->tasks[i]);
	g_ptr_array_add(packing->steps, out);
}

static void free_step_progress(gpointer data)
{
	MtDag__StepProgress *step = data;

	g_free(step->phase);
	g_free(step->run);
	g_free(step->server);
	g_free(step->fails);
	g_free(step);
}

GBytes *mt_dag_job_pack_progress(const mt_dag_job_t *job)
{
	MtDag__Progress progress = MT_DAG__PROGRESS__INIT;
	mt_packing_t packing = {
		g_ptr_array_new_with_free_func(g_free), g_ptr_array_new(),
		g_ptr_array_new_with_free_func(free_step_progress)};
	bool omit_steps = job->state >= MT_DAG__STATE__COMPLETED &&
			  !mt_dag_job_n_placed(job);
	GBytes *bytes;

	for (uint32_t i = 0; i < job->n_steps_total && !omit_steps; i++) {
		if (!was_never_placed(&job->steps[i]))
			pack_step(&packing, &job->steps[i]);
	}
	progress.id = job->id;
	progress.state = job->state;
	progress.begun = job->begun;
	progress.servers = (MtDag__Placement **)packing.server_entries->pdata;
	progress.n_servers = packing.server_entries->len;
	progress.steps = (MtDag__StepProgress **)packing.steps->pdata;
	progress.n_steps = packing.steps->len;
	bytes = mt_dag_pack(&progress.base);
	g_ptr_array_unref(packing.server_entries);
	g_ptr_array_unref(packing.servers);
	g_ptr_array_unref(packing.steps);
	return bytes;
}

GBytes *mt_dag_job_pack_ended(const mt_dag_job_t *job)
{
	MtDag__Job ended = *job->spec;

	ended.payload = (char *)protobuf_c_empty_string;
	ended.n_steps = 0;
	ended.steps = NULL;
	return mt_dag_pack(&ended.base);
}

/**
 * True when the job has the step that `in` is about, with as many tasks as
 * `in`.
 * @param step_index receives the index into job->steps
 */
static bool step_matches(const mt_dag_job_t *job, const MtDag__StepProgress *in,
			 uint32_t *step_index)
{
	if (in->step >= job->spec->n_steps ||
	    in->occurrence >= MAX(1, job->spec->repeat))
		return false;
	*step_index = in->occurrence * (uint32_t)job->spec->n_steps + in->step;
	return in->n_phase == job->steps[*step_index].spec->count &&
	       in->n_run == in->n_phase && in->n_server == in->n_phase &&
	       in->n_fails == in->n_phase;
}

/** Restores a task; returns false when the progress record is malformed. */
static bool unpack_task(mt_dag_task_t *task, const MtDag__Progress *progress,
			const MtDag__StepProgress *in, mt_dag_server_cb cb,
			void *ctx, mt_ms_t now)
{
	uint32_t server = in->server[task->index];

	task->fails = in->fails[task->index];
	task->run = in->run[task->index];
	task->step->run = MAX(task->step->run, task->run);
	if (in->phase[task->index] == MT_TASK_PHASE_DONE)
		set_done(task);
	if (in->phase[task->index] != MT_TASK_PHASE_STARTING)
		return true;
	if (!server || server > progress->n_servers)
		return false;
	mt_dag_task_place(task,
			  cb(ctx, progress->servers[server - 1]->server,
			     progress->servers[server - 1]->born_ms),
			  task->run, now);
	task->placement_stored = true;
	task->restored = true;
	return true;
}

bool mt_dag_job_unpack_progress(mt_dag_job_t *job, mt_str_t value,
				mt_dag_server_cb cb, void *ctx, mt_ms_t now)
{
	MtDag__Progress *progress = mt_dag__progress__unpack(
		NULL, value.len, (const uint8_t *)value.data);
	bool valid = progress != NULL;

	for (size_t i = 0; progress && i < progress->n_steps && valid; i++) {
		const MtDag__StepProgress *in = progress->steps[i];
		uint32_t step_index = 0;

		valid = step_matches(job, in, &step_index);
		for (uint32_t k = 0; valid && k < in->n_phase; k++)
			valid = unpack_task(&job->steps[step_index].tasks[k],
					    progress, in, cb, ctx, now);
	}
	if (progress) {
		job->state = progress->state;
		job->begun = progress->begun;
		mt_dag__progress__free_unpacked(progress, NULL);
	}
	job->dirty = false;
	return valid;
}
