/** @file job_progress.c Records of a job that the leader writes. */
#include "dag/job_model_internal.h"

#include <string.h>
#include <xxhash.h>

/* Packing. */

/** Columns of a progress record that is being built (packed). */
typedef struct mt_packing_t {
	GArray *server_hash; /**< uint64_t, see MtDag__Progress */
	GArray *server_born; /**< int64_t */
	int64_t last_born_ms;
	GHashTable *server_numbers; /**< mt_backend_t to 1 + its index */
	/* Elements are of type uint32_t; see MtDag__Progress. */
	GArray *step_gap;
	GArray *step_begun;
	GArray *step_listed;
	GArray *task_gap;
	GArray *task_run;
	GArray *task_server;
	GArray *task_fails;
	bool any_fails;
} mt_packing_t;

static GArray *new_column(void)
{
	return g_array_new(FALSE, FALSE, sizeof(uint32_t));
}

static void open_packing(mt_packing_t *packing)
{
	packing->server_hash = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	packing->server_born = g_array_new(FALSE, FALSE, sizeof(int64_t));
	packing->last_born_ms = 0;
	packing->server_numbers = g_hash_table_new(NULL, NULL);
	packing->step_gap = new_column();
	packing->step_begun = new_column();
	packing->step_listed = new_column();
	packing->task_gap = new_column();
	packing->task_run = new_column();
	packing->task_server = new_column();
	packing->task_fails = new_column();
	packing->any_fails = false;
}

static void close_packing(mt_packing_t *packing)
{
	g_array_unref(packing->server_hash);
	g_array_unref(packing->server_born);
	g_hash_table_destroy(packing->server_numbers);
	g_array_unref(packing->step_gap);
	g_array_unref(packing->step_begun);
	g_array_unref(packing->step_listed);
	g_array_unref(packing->task_gap);
	g_array_unref(packing->task_run);
	g_array_unref(packing->task_server);
	g_array_unref(packing->task_fails);
}

static void append(GArray *column, uint32_t value)
{
	g_array_append_val(column, value);
}

/**
 * Returns 1 + index of a server in the columns server_*, and adds the server if
 * needed.
 */
static uint32_t server_number(mt_packing_t *packing, mt_backend_t *server)
{
	guint number = GPOINTER_TO_UINT(
		g_hash_table_lookup(packing->server_numbers, server));
	int64_t born_step_ms;

	if (number)
		return number;
	born_step_ms = server->born_ms - packing->last_born_ms;
	packing->last_born_ms = server->born_ms;
	g_array_append_val(packing->server_hash, server->id_hash);
	g_array_append_val(packing->server_born, born_step_ms);
	number = packing->server_hash->len;
	g_hash_table_insert(packing->server_numbers, server,
			    GUINT_TO_POINTER(number));
	return number;
}

/**
 * Adds a task. The record does not tell whether its start was confirmed: a new
 * leader learns this from the server.
 * @param next index after that of the task before; receives the one after this
 */
static void pack_task(mt_packing_t *packing, const mt_dag_task_t *task,
		      uint32_t *next)
{
	append(packing->task_gap, task->index - *next);
	append(packing->task_run, task->run);
	append(packing->task_server,
	       task->server ? server_number(packing, task->server) : 0);
	append(packing->task_fails, task->fails);
	packing->any_fails = packing->any_fails || task->fails;
	*next = task->index + 1;
}

static void pack_step(mt_packing_t *packing, const mt_dag_step_t *step)
{
	uint32_t n_listed = 0;
	uint32_t next = 0;

	for (guint i = 0; step->tasks && i < step->tasks->len; i++) {
		const mt_dag_task_t *task = step->tasks->pdata[i];

		if (task->phase == MT_TASK_PHASE_DONE)
			continue;
		pack_task(packing, task, &next);
		n_listed++;
	}
	append(packing->step_begun, step->n_begun);
	append(packing->step_listed, n_listed);
}

static void pack_steps(mt_packing_t *packing, const mt_dag_job_t *job)
{
	uint32_t next = 0;

	for (guint i = 0; i < job->ready_steps->len; i++) {
		const mt_dag_step_t *step = job->ready_steps->pdata[i];
		uint32_t number = mt_dag_step_number(step);

		if (number >= job->steps_begun)
			break;
		append(packing->step_gap, number - next);
		pack_step(packing, step);
		next = number + 1;
	}
}

/** Sets a column of the message; it refers to the elements of the array. */
#define SET_COLUMN(message, packing, column)                                   \
	((message)->column = (uint32_t *)(packing)->column->data,              \
	 (message)->n_##column = (packing)->column->len)

static void set_columns(MtDag__Progress *progress, const mt_packing_t *packing)
{
	SET_COLUMN(progress, packing, step_gap);
	SET_COLUMN(progress, packing, step_begun);
	SET_COLUMN(progress, packing, step_listed);
	SET_COLUMN(progress, packing, task_gap);
	SET_COLUMN(progress, packing, task_run);
	SET_COLUMN(progress, packing, task_server);
	if (packing->any_fails)
		SET_COLUMN(progress, packing, task_fails);
}

GBytes *mt_dag_job_pack_progress(const mt_dag_job_t *job)
{
	MtDag__Progress progress = MT_DAG__PROGRESS__INIT;
	bool omit_steps =
		job->state >= MT_DAG__STATE__COMPLETED && !job->n_placed;
	mt_packing_t packing;
	GBytes *bytes;

	open_packing(&packing);
	progress.id = job->id;
	progress.state = job->state;
	progress.begun = job->begun;
	if (!omit_steps) {
		pack_steps(&packing, job);
		progress.steps_begun = job->steps_begun;
	}
	progress.server_hash = (uint64_t *)packing.server_hash->data;
	progress.n_server_hash = packing.server_hash->len;
	progress.server_born = (int64_t *)packing.server_born->data;
	progress.n_server_born = packing.server_born->len;
	set_columns(&progress, &packing);
	bytes = mt_dag_pack(&progress.base);
	close_packing(&packing);
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

/* Unpacking. */

/** A progress record that is being restored. */
typedef struct mt_unpacking_t {
	mt_dag_job_t *job;
	const MtDag__Progress *progress;
	mt_dag_server_cb cb;
	void *ctx;
	mt_ms_t now;
	GArray *servers; /**< mt_backend_t *, those that the record lists */
	size_t step;	 /**< next element of the columns step_* */
	size_t task;	 /**< next element of the columns task_* */
	/** Number of the listed step at `step`; UINT64_MAX: there is none. */
	uint64_t listed_number;
} mt_unpacking_t;

/** True if the columns have equal lengths. */
static bool columns_match(const MtDag__Progress *progress)
{
	return progress->n_server_born == progress->n_server_hash &&
	       progress->n_step_begun == progress->n_step_gap &&
	       progress->n_step_listed == progress->n_step_gap &&
	       progress->n_task_run == progress->n_task_gap &&
	       progress->n_task_server == progress->n_task_gap &&
	       (!progress->n_task_fails ||
		progress->n_task_fails == progress->n_task_gap);
}

/** Goes to the next listed step. */
static void find_listed_step(mt_unpacking_t *in, uint64_t next_number)
{
	in->listed_number =
		in->step < in->progress->n_step_gap
			? next_number + in->progress->step_gap[in->step]
			: UINT64_MAX;
}

static void add_listed_server(mt_unpacking_t *in, uint64_t id_hash,
			      int64_t born_ms)
{
	mt_backend_t *server = in->cb(in->ctx, id_hash, born_ms);

	g_array_append_val(in->servers, server);
}

/** Finds the servers that the record lists. */
static void find_servers(mt_unpacking_t *in)
{
	const MtDag__Progress *progress = in->progress;
	int64_t born_ms = 0;

	/* Records of earlier versions. */
	for (size_t i = 0; i < progress->n_servers; i++) {
		const MtDag__Placement *entry = progress->servers[i];

		add_listed_server(
			in, XXH3_64bits(entry->server, strlen(entry->server)),
			entry->born_ms);
	}
	for (size_t i = 0;
	     i < MIN(progress->n_server_hash, progress->n_server_born); i++) {
		/* The sum may not overflow in a record that is not ours. */
		born_ms = (int64_t)((uint64_t)born_ms +
				    (uint64_t)progress->server_born[i]);
		add_listed_server(in, progress->server_hash[i], born_ms);
	}
}

/** Places a task on the server to which the record refers. */
static bool restore_placement(mt_unpacking_t *in, mt_dag_task_t *task,
			      uint32_t server)
{
	if (server > in->servers->len)
		return false;
	mt_dag_task_place(
		task, g_array_index(in->servers, mt_backend_t *, server - 1),
		task->run, in->now);
	task->placement_stored = true;
	task->restored = true;
	return true;
}

/** Restores a listed task; those between it and the one before are done. */
static bool restore_task(mt_unpacking_t *in, mt_dag_step_t *step,
			 uint32_t begun)
{
	const MtDag__Progress *progress = in->progress;
	size_t i = in->task;
	mt_dag_task_t *task;

	if (i >= progress->n_task_gap || step->n_begun >= begun ||
	    progress->task_gap[i] >= begun - step->n_begun)
		return false;
	mt_dag_step_restore_tasks_done(step, progress->task_gap[i]);
	task = mt_dag_step_begin_task(step);
	task->run = progress->task_run[i];
	task->fails = progress->n_task_fails ? progress->task_fails[i] : 0;
	step->run = MAX(step->run, task->run);
	in->task++;
	return !progress->task_server[i] ||
	       restore_placement(in, task, progress->task_server[i]);
}

/** Restores a listed step, which must be ready and not done. */
static bool restore_step(mt_unpacking_t *in, mt_dag_step_t *step)
{
	uint32_t begun = in->progress->step_begun[in->step];
	uint32_t n_listed = in->progress->step_listed[in->step];

	if (begun > step->spec->count)
		return false;
	for (uint32_t i = 0; i < n_listed; i++) {
		if (!restore_task(in, step, begun))
			return false;
	}
	/* A step of which all tasks are done is not listed. */
	if (begun == step->spec->count && !n_listed)
		return false;
	mt_dag_step_restore_tasks_done(step, begun - step->n_begun);
	in->step++;
	find_listed_step(in, (uint64_t)mt_dag_step_number(step) + 1);
	return true;
}

/** Restores an occurrence of which at least one step is not done. */
static bool restore_occurrence(mt_unpacking_t *in)
{
	mt_dag_occurrence_t *occurrence = mt_dag_job_open_next(in->job);
	uint32_t n_steps = (uint32_t)in->job->spec->n_steps;
	uint32_t first = occurrence->number * n_steps;

	for (uint32_t i = 0; i < n_steps; i++) {
		mt_dag_step_t *step = occurrence->slots[i].step;
		uint32_t number = first + i;

		if (number == in->listed_number) {
			if (!step || !restore_step(in, step))
				return false;
		} else if (step && number < in->progress->steps_begun) {
			mt_dag_step_restore_done(step);
		}
	}
	return true;
}

static bool unpack_steps(mt_unpacking_t *in)
{
	mt_dag_job_t *job = in->job;
	uint64_t n_steps = job->spec->n_steps;
	uint64_t steps_begun = in->progress->steps_begun;

	if (!columns_match(in->progress) ||
	    steps_begun > n_steps * job->n_occurrences)
		return false;
	find_listed_step(in, 0);
	while (job->n_opened * n_steps < steps_begun) {
		uint64_t end = (job->n_opened + 1) * n_steps;

		if (in->listed_number >= end && steps_begun >= end) {
			job->n_opened++;
			job->n_occurrences_done++;
		} else if (!restore_occurrence(in)) {
			return false;
		}
	}
	job->steps_begun = (uint32_t)steps_begun;
	return in->listed_number == UINT64_MAX &&
	       in->task == in->progress->n_task_gap;
}

/* Records of earlier versions. */

/**
 * True when the job has the step that `in` is about, with as many tasks as
 * `in`, and the occurrence is the last one that is open or comes next.
 */
static bool step_matches(const mt_dag_job_t *job, const MtDag__StepProgress *in)
{
	return in->step < job->spec->n_steps &&
	       in->occurrence < job->n_occurrences &&
	       in->occurrence + 1 >= job->n_opened &&
	       in->n_phase == job->spec->steps[in->step]->count &&
	       in->n_run == in->n_phase && in->n_server == in->n_phase &&
	       in->n_fails == in->n_phase;
}

static uint32_t count_begun(const MtDag__StepProgress *in)
{
	uint32_t n_begun = 0;

	for (uint32_t i = 0; i < in->n_phase; i++) {
		if (in->run[i] || in->phase[i] != MT_TASK_PHASE_WAITING)
			n_begun = i + 1;
	}
	return n_begun;
}

static bool all_done(const MtDag__StepProgress *in)
{
	for (uint32_t i = 0; i < in->n_phase; i++) {
		if (in->phase[i] != MT_TASK_PHASE_DONE)
			return false;
	}
	return true;
}

/** Restores the next task of the step. */
static bool restore_earlier_task(mt_unpacking_t *in, mt_dag_step_t *step,
				 const MtDag__StepProgress *progress)
{
	uint32_t index = step->n_begun;
	mt_dag_task_t *task;

	if (progress->phase[index] == MT_TASK_PHASE_DONE) {
		mt_dag_step_restore_tasks_done(step, 1);
		return true;
	}
	task = mt_dag_step_begin_task(step);
	task->run = progress->run[index];
	task->fails = progress->fails[index];
	step->run = MAX(step->run, task->run);
	if (progress->phase[index] != MT_TASK_PHASE_STARTING)
		return true;
	return progress->server[index] &&
	       restore_placement(in, task, progress->server[index]);
}

static bool restore_earlier_step(mt_unpacking_t *in,
				 const MtDag__StepProgress *progress)
{
	mt_dag_step_t *step;
	uint32_t n_begun;

	if (!step_matches(in->job, progress))
		return false;
	while (in->job->n_opened <= progress->occurrence)
		mt_dag_job_open_next(in->job);
	step = mt_dag_job_find_step(in->job, progress->occurrence,
				    progress->step);
	if (!step || step->n_begun)
		return false;
	n_begun = count_begun(progress);
	in->job->steps_begun =
		MAX(in->job->steps_begun, mt_dag_step_number(step) + 1);
	if (all_done(progress)) {
		mt_dag_step_restore_done(step);
		return true;
	}
	while (step->n_begun < n_begun) {
		if (!restore_earlier_task(in, step, progress))
			return false;
	}
	return true;
}

/** The steps of these records come in the order of their numbers. */
static bool unpack_earlier_steps(mt_unpacking_t *in)
{
	for (size_t i = 0; i < in->progress->n_steps; i++) {
		if (!restore_earlier_step(in, in->progress->steps[i]))
			return false;
	}
	return true;
}

bool mt_dag_job_unpack_progress(mt_dag_job_t *job, mt_str_t value,
				mt_dag_server_cb cb, void *ctx, mt_ms_t now)
{
	MtDag__Progress *progress = mt_dag__progress__unpack(
		NULL, value.len, (const uint8_t *)value.data);
	mt_unpacking_t in = {job,  progress, cb, ctx,	    now,
			     NULL, 0,	     0,	 UINT64_MAX};
	bool valid;

	if (!progress)
		return false;
	in.servers = g_array_new(FALSE, FALSE, sizeof(mt_backend_t *));
	find_servers(&in);
	valid = progress->n_steps ? unpack_earlier_steps(&in)
				  : unpack_steps(&in);
	job->state = progress->state;
	job->begun = progress->begun;
	g_array_unref(in.servers);
	mt_dag__progress__free_unpacked(progress, NULL);
	mt_dag_job_release_done(job);
	job->path_left_known = false;
	job->dirty = false;
	return valid;
}
