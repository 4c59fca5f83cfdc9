/**
 * @file flush.c Writes changes to the store, and acts on them once they are
 * stored.
 */
#include "dag/engine_internal.h"

/**
 * Maximum number of writes in progress. Jobs that change meanwhile are written
 * later, so that writes do not pile up while the store is away.
 */
#define FLUSHES_MAX 8u

/**
 * A write in progress, with the actions that follow once the write is stored:
 * the starts to send, and the ended runs that servers may delete. If the
 * effects of the ended runs are stored already, there is no write, and the
 * actions follow at once.
 */
typedef struct mt_flush_t {
	mt_engine_t *engine;
	GArray *placements; /**< mt_flushed_placement_t */
	GArray *ends;	    /**< mt_flushed_ends_t, ended runs by server */
} mt_flush_t;

typedef struct mt_flushed_placement_t {
	mt_task_key_t key;
	uint32_t run;
} mt_flushed_placement_t;

/**
 * The ended runs that one server process has reported, with numbers up to
 * `last_number`, see mt_ended_run_t.
 */
typedef struct mt_flushed_ends_t {
	mt_backend_t *backend;
	int64_t born_ms; /**< start time of the server process */
	uint64_t last_number;
} mt_flushed_ends_t;

void mt_flush_free(gpointer data)
{
	mt_flush_t *flush = data;

	g_array_unref(flush->placements);
	g_array_unref(flush->ends);
	g_free(flush);
}

static void on_placement_stored(mt_engine_t *engine,
				const mt_flushed_placement_t *placement)
{
	mt_dag_job_t *job = mt_engine_job(engine, placement->key.job);
	mt_dag_task_t *task =
		job ? mt_dag_job_find_task(job, &placement->key) : NULL;

	if (!task || task->run != placement->run ||
	    task->phase != MT_TASK_PHASE_STARTING || !task->server)
		return;
	/* An earlier write may have contained the same placement. */
	if (task->placement_stored)
		return;
	task->placement_stored = true;
	mt_commands_start(engine, task);
}

static void on_ends_stored(mt_engine_t *engine, const mt_flushed_ends_t *ends)
{
	/* A server that has restarted numbers its ended runs anew. */
	if (ends->backend->born_ms != ends->born_ms)
		return;
	ends->backend->last_end_stored =
		MAX(ends->backend->last_end_stored, ends->last_number);
	mt_commands_hold(engine, ends->backend);
}

static void on_flushed(void *ctx, mt_store_result_t result)
{
	mt_flush_t *flush = ctx;
	mt_engine_t *engine = flush->engine;

	if (result != MT_STORE_DONE) {
		/* The write was fenced: another host is the leader now. No
		 * other failure is reported here, as the writer repeats refused
		 * writes. */
		g_ptr_array_remove(engine->flushes, flush);
		mt_engine_step_down(engine);
		return;
	}
	for (guint i = 0; i < flush->placements->len; i++)
		on_placement_stored(engine,
				    &g_array_index(flush->placements,
						   mt_flushed_placement_t, i));
	for (guint i = 0; i < flush->ends->len; i++)
		on_ends_stored(engine, &g_array_index(flush->ends,
						      mt_flushed_ends_t, i));
	g_ptr_array_remove(engine->flushes, flush);
}

static mt_flush_t *new_flush(mt_engine_t *engine)
{
	mt_flush_t *flush = g_new0(mt_flush_t, 1);

	flush->engine = engine;
	flush->placements =
		g_array_new(FALSE, FALSE, sizeof(mt_flushed_placement_t));
	flush->ends = g_array_new(FALSE, FALSE, sizeof(mt_flushed_ends_t));
	g_ptr_array_add(engine->flushes, flush);
	return flush;
}

/** Adds to the flush the placements of the job that are not stored yet. */
static void collect_placements(mt_flush_t *flush, const mt_dag_job_t *job)
{
	for (guint i = 0; i < job->ready_steps->len; i++) {
		const mt_dag_step_t *step = job->ready_steps->pdata[i];

		for (guint k = 0; step->n_placed && k < step->tasks->len; k++) {
			const mt_dag_task_t *task = step->tasks->pdata[k];
			mt_flushed_placement_t placement = {
				mt_dag_task_key(task), task->run};

			if (task->phase == MT_TASK_PHASE_STARTING &&
			    !task->placement_stored)
				g_array_append_val(flush->placements,
						   placement);
		}
	}
}

/** Adds a record to the writer's current group; takes ownership of `bytes`. */
static void add_record(mt_engine_t *engine, mt_record_kind_t kind, uint64_t job,
		       GBytes *bytes)
{
	mt_record_key_t key = mt_record_key(kind, job);

	mt_writer_add(engine->writer, mt_str_from(key.text),
		      mt_bytes_view(bytes));
	g_bytes_unref(bytes);
}

/** Counts the bytes of progress records, and keeps the largest one. */
static void count_progress(mt_engine_t *engine, size_t bytes)
{
	mt_kernel_t *kernel = engine->deps.kernel;
	uint64_t *largest =
		mt_kernel_counter(kernel, "progress_record_largest_bytes");

	*largest = MAX(*largest, bytes);
	*mt_kernel_counter(kernel, "progress_bytes_total") += bytes;
	++*mt_kernel_counter(kernel, "progress_records_total");
}

/**
 * Adds the progress record of a job to the writer's current group. When the job
 * ends, its job record is replaced in the same group by a short record, without
 * payload and steps, so that a host that starts up has less to read. As a group
 * is written as a whole, a reader that finds the short job record also knows
 * how the job ended.
 */
static void add_progress(mt_engine_t *engine, mt_dag_job_t *job)
{
	GBytes *progress = mt_dag_job_pack_progress(job);

	count_progress(engine, g_bytes_get_size(progress));
	add_record(engine, MT_RECORD_PROGRESS, job->id, progress);
	mt_dag_job_release_done(job);
	job->dirty = false;
	if (!mt_state_is_final(job->state) || job->job_record_shortened)
		return;
	add_record(engine, MT_RECORD_JOB, job->id, mt_dag_job_pack_ended(job));
	job->job_record_shortened = true;
}

/**
 * Adds to the flush, for each server, the ended runs that this host has handled
 * and that the server may not delete yet. Their effects are in this write or in
 * an earlier one. As writes are stored in order, the effects are in the store
 * once this write is.
 */
static void collect_ends(mt_engine_t *engine, mt_flush_t *flush)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, engine->backends);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		mt_backend_t *backend = value;
		mt_flushed_ends_t ends = {backend, backend->born_ms,
					  backend->last_end_handled};

		if (backend->last_end_handled > backend->last_end_stored)
			g_array_append_val(flush->ends, ends);
	}
}

static void log_job_ended(mt_engine_t *engine, const mt_dag_job_t *job)
{
	char *queue = mt_text_printable(job->spec->queue);
	char *account = mt_text_printable(job->spec->account);

	mt_kernel_observe(engine->deps.kernel, "job_ms",
			  mt_engine_now(engine) - job->known_since);
	mt_kernel_event(engine->deps.kernel, "job_ended",
			"\"job\":\"%016" G_GINT64_MODIFIER
			"x\",\"queue\":\"%s\",\"account\":\"%s\",\"state\":%d,"
			"\"took_ms\":%u,\"objective_ms\":%u",
			job->id, queue, account, job->state,
			(unsigned)(mt_engine_now(engine) - job->known_since),
			mt_dag_job_objective_ms(job));
	g_free(queue);
	g_free(account);
}

/** True if the job has ended and has no tasks on servers. */
static bool is_removable(const mt_dag_job_t *job)
{
	return mt_state_is_final(job->state) && !job->n_placed;
}

/**
 * Writes the progress of the job. Each job is a group of its own, so that the
 * writer can put them into several appends.
 * @param flush receives the flush, which is made for the first job
 */
static void write_job(mt_engine_t *engine, mt_dag_job_t *job,
		      mt_flush_t **flush)
{
	if (*flush)
		mt_writer_commit(engine->writer, MT_WRITER_ALWAYS_RETRIES, NULL,
				 NULL);
	else
		*flush = new_flush(engine);
	collect_placements(*flush, job);
	add_progress(engine, job);
	if (!is_removable(job))
		return;
	log_job_ended(engine, job);
	mt_engine_remove_job(engine, job);
}

/**
 * Permits the deletion of ended runs when no job has changed. If no write is in
 * progress either, the effects of all handled ended runs are stored. Otherwise
 * a later pass permits it, as the write in progress may contain such effects.
 */
static void permit_deletions(mt_engine_t *engine)
{
	mt_flush_t *flush;

	if (engine->flushes->len)
		return;
	flush = new_flush(engine);
	collect_ends(engine, flush);
	on_flushed(flush, MT_STORE_DONE);
}

void mt_flush_changes(mt_engine_t *engine)
{
	mt_flush_t *flush = NULL;

	if (engine->flushes->len >= FLUSHES_MAX)
		return;
	mt_speed_records_write(engine);
	for (guint i = 0; i < engine->dirty_jobs->len; i++)
		write_job(engine, engine->dirty_jobs->pdata[i], &flush);
	g_ptr_array_set_size(engine->dirty_jobs, 0);
	if (!flush) {
		permit_deletions(engine);
		return;
	}
	collect_ends(engine, flush);
	/* Groups are stored in order: with this last one, all are. */
	mt_writer_commit(engine->writer, MT_WRITER_ALWAYS_RETRIES, on_flushed,
			 flush);
}
