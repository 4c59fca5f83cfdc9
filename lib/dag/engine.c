/** @file engine.c Leadership, jobs and servers of the scheduling engine. */
#include "dag/engine_internal.h"

/**
 * Interval of the ticks. At a tick, the leader repeats commands, moves runs and
 * deletes records of ended jobs, each where necessary.
 */
#define TICK_MS 100u

/**
 * Minimum time between the starts of two scheduling passes, so that several
 * changes within a short time are planned and stored in one pass.
 */
#define PASS_INTERVAL_MIN_MS 30u

/**
 * How long a former leader may still renew leases after this host has become
 * the leader. A leader does not renew leases if its copy of the records is
 * older than RENEW_STALENESS_MAX_MS (holds.c), which therefore has the same
 * value. The former leader's runs on a server that does not answer are given up
 * as lost only when a lease renewed at the end of this time has expired.
 */
#define FORMER_LEADER_RENEWAL_MS 4000u

/**
 * Number of models of jobs that a new leader makes at once. Heartbeats and
 * answers come between.
 */
#define LOAD_SLICE 256u
#define LOAD_PAUSE_MS 1u

static void run_pass(void *ctx);
static void tick(void *ctx);

mt_ms_t mt_engine_now(const mt_engine_t *engine)
{
	return mt_kernel_now(engine->deps.kernel);
}

mt_ms_t mt_engine_records_age(const mt_engine_t *engine)
{
	return engine->deps.records_age_ms(engine->deps.records_age_ctx);
}

void mt_engine_insert_job(mt_engine_t *engine, mt_dag_job_t *job)
{
	g_hash_table_insert(engine->jobs, &job->id, job);
	mt_wakeups_add(&engine->wakeups, job);
	job->dirty_jobs = engine->dirty_jobs;
	if (job->dirty)
		g_ptr_array_add(engine->dirty_jobs, job);
}

void mt_engine_remove_job(mt_engine_t *engine, mt_dag_job_t *job)
{
	mt_wakeups_remove(&engine->wakeups, job);
	g_hash_table_remove(engine->jobs, &job->id);
}

int64_t mt_engine_start_time_max(const mt_engine_t *engine)
{
	return engine->deps.wall_ms() +
	       (int64_t)engine->deps.timings.start_early_ms;
}

mt_dag_job_t *mt_engine_job(const mt_engine_t *engine, uint64_t id)
{
	return g_hash_table_lookup(engine->jobs, &id);
}

bool mt_engine_is_leading(const mt_engine_t *engine)
{
	return engine->leading;
}

bool mt_engine_is_evacuated(const mt_engine_t *engine,
			    const mt_backend_t *backend)
{
	return engine->deps.evacuations &&
	       mt_evacuations_contain(engine->deps.evacuations,
				      backend->info.zone);
}

size_t mt_engine_list_pressure(const mt_engine_t *engine,
			       MtDag__Pressure ***list)
{
	return engine->load_summary
		       ? mt_load_summary_list(engine->load_summary, list)
		       : 0;
}

void mt_engine_request_pass(mt_engine_t *engine)
{
	mt_ms_t now = mt_engine_now(engine);
	mt_ms_t due = engine->pass_started_at + PASS_INTERVAL_MIN_MS;

	if (engine->leading && !engine->jobs_to_load && !engine->pass_timer)
		engine->pass_timer = mt_timers_after(
			mt_kernel_timers(engine->deps.kernel),
			due > now ? due - now : 0, run_pass, engine);
}

static void free_backend(gpointer data)
{
	mt_backend_free(data);
}

static void free_job(gpointer data)
{
	mt_dag_job_free(data);
}

mt_engine_t *mt_engine_new(const mt_engine_deps_t *deps)
{
	mt_engine_t *engine = g_new0(mt_engine_t, 1);

	engine->deps = *deps;
	engine->jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     free_job);
	engine->dirty_jobs = g_ptr_array_new();
	mt_wakeups_init(&engine->wakeups);
	engine->backends = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, free_backend);
	engine->flushes = g_ptr_array_new_with_free_func(mt_flush_free);
	engine->logged_zones = mt_shared_name_table_new(NULL);
	engine->speeds = mt_speed_model_new();
	engine->speeds_stored = mt_speed_records_new();
	engine->run_times = mt_run_times_new();
	mt_pass_pace_init(&engine->pass_pace);
	return engine;
}

/* Configuration. */

/** Copies the present settings of the job's queue, if it still exists. */
static void refresh_queue(mt_engine_t *engine, mt_dag_job_t *job)
{
	const mt_queue_t *queue =
		engine->catalog
			? mt_catalog_queue(engine->catalog,
					   mt_shared_name_text(job->queue.name))
			: NULL;

	if (!queue)
		return;
	mt_queue_copy(&job->queue, queue);
}

void mt_engine_set_catalog(mt_engine_t *engine, const mt_catalog_t *catalog)
{
	GHashTableIter iter;
	gpointer value;

	engine->catalog = catalog;
	g_hash_table_iter_init(&iter, engine->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		refresh_queue(engine, value);
		mt_wakeups_update_priority(&engine->wakeups, value);
	}
	mt_engine_request_pass(engine);
}

/* Servers. */

mt_backend_t *mt_engine_backend(const mt_engine_t *engine, mt_shared_name_t id)
{
	uint64_t id_hash = mt_shared_name_hash(id);
	mt_backend_t *backend = g_hash_table_lookup(engine->backends, &id_hash);

	return backend && mt_shared_name_equal(backend->info.target.id, id)
		       ? backend
		       : NULL;
}

static mt_backend_t *find_or_add_backend(mt_engine_t *engine, uint64_t id_hash)
{
	mt_backend_t *backend = g_hash_table_lookup(engine->backends, &id_hash);

	if (backend)
		return backend;
	backend = mt_backend_new(id_hash);
	/* The server's clock has not been read yet. Until then, its drift is
	 * counted from the latest time at which a former leader may renew
	 * leases on the server. */
	backend->drift_start = mt_engine_now(engine) + FORMER_LEADER_RENEWAL_MS;
	mt_backend_note_lease(backend, backend->drift_start,
			      engine->deps.timings.lease_ms);
	g_hash_table_insert(engine->backends, &backend->id_hash, backend);
	return backend;
}

static void note_cold(mt_engine_t *engine, mt_backend_t *backend,
		      const mt_backend_info_t *info)
{
	mt_ms_t now = mt_engine_now(engine);
	bool was_cold = now < backend->cold_until;

	mt_backend_note_cold(backend, info, now);
	if (!was_cold && now < backend->cold_until)
		mt_kernel_event(
			engine->deps.kernel, "server_cold",
			"\"server\":\"%s\",\"remaining_ms\":%" G_GUINT64_FORMAT,
			backend->log_name, info->cold_remaining_ms);
}

static void on_server(void *ctx, const mt_backend_info_t *info)
{
	mt_engine_t *engine = ctx;
	mt_backend_t *backend = find_or_add_backend(
		engine, mt_shared_name_hash(info->target.id));
	mt_shared_name_t known_id = backend->info.target.id;

	if (known_id.len && !mt_shared_name_equal(known_id, info->target.id)) {
		mt_log(engine->deps.kernel, MT_LOG_ERR, "engine",
		       "not using server %s: its id has the same hash as "
		       "that of server %s",
		       info->target.id.text, known_id.text);
		return;
	}
	note_cold(engine, backend, info);
	if (!known_id.len)
		mt_backend_set_id(backend, info->target.id);
	if (info->draining && !backend->info.draining) {
		backend->drain_deadline =
			mt_engine_now(engine) + info->remaining_ms;
		mt_kernel_event(engine->deps.kernel, "server_draining",
				"\"server\":\"%s\",\"tasks\":%u,"
				"\"remaining_ms\":%u",
				backend->log_name, backend->tasks->len,
				(unsigned)info->remaining_ms);
	}
	if (!info->draining)
		backend->drain_deadline = 0;
	mt_backend_info_assign(&backend->info, info);
	backend->listed = true;
	if (!backend->born_ms)
		backend->born_ms = info->born_ms;
	else if (info->born_ms && info->born_ms > backend->born_ms)
		mt_reports_server_restarted(engine, backend, info->born_ms);
	mt_speed_records_take(engine, backend);
	mt_commands_hold(engine, backend);
	mt_engine_request_pass(engine);
}

static void on_server_unlisted(void *ctx, mt_shared_name_t id)
{
	mt_engine_t *engine = ctx;
	mt_backend_t *backend = mt_engine_backend(engine, id);

	if (!backend)
		return;
	backend->listed = false;
	mt_kernel_event(engine->deps.kernel, "server_unlisted",
			"\"server\":\"%s\",\"tasks\":%u", backend->log_name,
			backend->tasks->len);
	mt_engine_request_pass(engine);
}

/** Implements mt_dag_server_cb. */
static mt_backend_t *server_in_progress(void *ctx, uint64_t id_hash,
					int64_t born_ms)
{
	mt_engine_t *engine = ctx;
	mt_backend_t *backend = find_or_add_backend(engine, id_hash);

	backend->born_ms = MAX(backend->born_ms, born_ms);
	return backend;
}

/* Jobs. */

void mt_engine_stop_tasks(mt_engine_t *engine, mt_dag_job_t *job)
{
	for (guint i = 0; i < job->ready_steps->len; i++)
		mt_commands_stop_gang(engine, job->ready_steps->pdata[i]);
	mt_engine_request_pass(engine);
}

static void cancel_job(mt_engine_t *engine, mt_dag_job_t *job)
{
	if (job->cancelled)
		return;
	job->cancelled = true;
	mt_dag_job_update_state(job);
	mt_engine_stop_tasks(engine, job);
}

/** Returns the job of a job record; NULL if the record is malformed. */
static MtDag__Job *unpack_job(const mt_engine_t *engine,
			      const mt_table_job_t *entry)
{
	mt_str_t value = mt_bytes_view(entry->packed_job);
	MtDag__Job *spec = mt_dag__job__unpack(NULL, value.len,
					       (const uint8_t *)value.data);

	if (spec && spec->id == entry->id && mt_dag_job_spec_is_valid(spec))
		return spec;
	mt_log(engine->deps.kernel, MT_LOG_ERR, "engine",
	       "the record of job %016" G_GINT64_MODIFIER
	       "x has steps that cannot be run",
	       entry->id);
	if (spec)
		mt_dag__job__free_unpacked(spec, NULL);
	return NULL;
}

/** Adds an unfinished job of the table, and restores its progress. */
static void add_job(void *ctx, const mt_table_job_t *entry)
{
	mt_engine_t *engine = ctx;
	mt_dag_job_t *job;
	MtDag__Job *spec;

	if (!entry->packed_job || mt_engine_job(engine, entry->id))
		return;
	spec = unpack_job(engine, entry);
	if (!spec)
		return;
	job = mt_dag_job_new(spec, mt_engine_now(engine));
	refresh_queue(engine, job);
	if (entry->packed_progress &&
	    !mt_dag_job_unpack_progress(
		    job, mt_bytes_view(entry->packed_progress),
		    server_in_progress, engine, mt_engine_now(engine)))
		mt_log(engine->deps.kernel, MT_LOG_ERR, "engine",
		       "progress record of job %016" G_GINT64_MODIFIER
		       "x is malformed or does not match the job's steps",
		       job->id);
	mt_engine_insert_job(engine, job);
	if (entry->cancelled)
		cancel_job(engine, job);
	mt_engine_request_pass(engine);
}

static void on_job_cancelled(void *ctx, const mt_table_job_t *entry)
{
	mt_engine_t *engine = ctx;
	mt_dag_job_t *job = mt_engine_job(engine, entry->id);

	if (job)
		cancel_job(engine, job);
}

/* Scheduling passes and ticks. */

/** Time of a clock that also runs while a callback does. */
static uint64_t steady_us(void)
{
	return (uint64_t)g_get_monotonic_time();
}

static void run_pass(void *ctx)
{
	mt_engine_t *engine = ctx;

	engine->pass_timer = 0;
	if (!engine->leading)
		return;
	engine->pass_started_at = mt_engine_now(engine);
	mt_pass_pace_begin(&engine->pass_pace, steady_us());
	mt_server_speeds_update(engine);
	mt_planner_run(engine);
	mt_flush_changes(engine);
	mt_wakeups_let_sleep(&engine->wakeups,
			     mt_engine_start_time_max(engine));
	mt_pass_pace_end(&engine->pass_pace, engine->deps.kernel, steady_us());
}

/**
 * Adds TICK_MS of running time for each running task on the server, and to the
 * work lost if the task only waits for its gang.
 */
static void record_running_time(mt_engine_t *engine,
				const mt_backend_t *backend)
{
	for (guint i = 0; i < backend->tasks->len; i++) {
		const mt_dag_task_t *task = backend->tasks->pdata[i];

		mt_work_lost_on_tick(&engine->work_lost, engine->deps.kernel,
				     task, TICK_MS / 1000.0);
		if (task->phase == MT_TASK_PHASE_RUNNING)
			mt_survival_add_running_time(
				&engine->survival,
				task->step->job->queue.priority,
				TICK_MS / 1000.0);
	}
}

/** Sets the gauge of cold servers, which exists once there has been one. */
static void count_cold_servers(mt_engine_t *engine)
{
	mt_ms_t now = mt_engine_now(engine);
	unsigned n_cold = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, engine->backends);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_backend_t *backend = value;

		n_cold += backend->listed && now < backend->cold_until;
	}
	if (n_cold == engine->n_cold)
		return;
	engine->n_cold = n_cold;
	*mt_kernel_counter(engine->deps.kernel, "cold_servers") = n_cold;
}

static void tick(void *ctx)
{
	mt_engine_t *engine = ctx;
	GHashTableIter iter;
	gpointer value;

	if (!engine->leading)
		return;
	g_hash_table_iter_init(&iter, engine->backends);
	mt_survival_decay(&engine->survival, TICK_MS / 1000.0);
	mt_relocation_find_slow_servers(engine);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		record_running_time(engine, value);
		mt_commands_tick(engine, value);
		mt_relocation_tick(engine, value);
	}
	mt_evacuation_log_tick(engine);
	mt_work_lost_log(&engine->work_lost, engine->deps.kernel);
	count_cold_servers(engine);
	mt_sweep_ended(engine);
	mt_load_summary_update(engine->load_summary, engine);
	mt_engine_request_pass(engine);
}

/* Leadership. The log events call it "office". */

static void note_job_to_load(void *ctx, const mt_table_job_t *entry)
{
	mt_engine_t *engine = ctx;

	if (entry->packed_job)
		g_array_append_val(engine->jobs_to_load, entry->id);
}

/** Begins to schedule; all jobs are known. */
static void begin_scheduling(mt_engine_t *engine)
{
	mt_directory_watcher_t server_watcher = {engine, on_server,
						 on_server_unlisted};

	g_clear_pointer(&engine->jobs_to_load, g_array_unref);
	mt_directory_open(engine->deps.directory, &server_watcher);
	if (engine->deps.evacuations)
		mt_evacuations_open(engine->deps.evacuations);
	engine->tick_timer = mt_timers_every(
		mt_kernel_timers(engine->deps.kernel), TICK_MS, tick, engine);
	mt_kernel_event(engine->deps.kernel, "office_won",
			"\"term\":%" G_GUINT64_FORMAT ",\"jobs\":%u",
			engine->term, g_hash_table_size(engine->jobs));
	mt_engine_request_pass(engine);
}

/** Makes the models of the next jobs. */
static void load_jobs(void *ctx)
{
	mt_engine_t *engine = ctx;
	GArray *ids = engine->jobs_to_load;

	engine->load_timer = 0;
	for (unsigned i = 0; i < LOAD_SLICE && ids->len; i++) {
		uint64_t id = g_array_index(ids, uint64_t, ids->len - 1);
		const mt_table_job_t *entry =
			mt_table_find(engine->deps.table, id);

		g_array_set_size(ids, ids->len - 1);
		if (entry)
			add_job(engine, entry);
	}
	if (ids->len)
		engine->load_timer =
			mt_timers_after(mt_kernel_timers(engine->deps.kernel),
					LOAD_PAUSE_MS, load_jobs, engine);
	else
		begin_scheduling(engine);
}

void mt_engine_become_leader(mt_engine_t *engine, uint64_t term)
{
	mt_table_watcher_t job_watcher = {engine, add_job, on_job_cancelled};
	/* The first sequence number is 1: this producer and epoch have used 0
	 * for the record that begins the term, see write_fence() in host.c. */
	mt_writer_deps_t writer_deps = {engine->deps.kernel,
					engine->deps.store,
					MT_RECORDS_TOPIC,
					MT_SCHEDULER_PRODUCER,
					term,
					1};

	mt_engine_step_down(engine);
	engine->leading = true;
	engine->advice_request_pending = false;
	engine->next_advice_request_at = 0;
	engine->generation++;
	engine->term = term;
	engine->writer = mt_writer_new(&writer_deps);
	mt_speed_records_read(engine);
	engine->load_summary = mt_load_summary_new();
	engine->jobs_to_load = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	mt_table_each(engine->deps.table, note_job_to_load, engine);
	mt_table_watch(engine->deps.table, &job_watcher);
	load_jobs(engine);
}

void mt_engine_step_down(mt_engine_t *engine)
{
	mt_timers_t *timers = mt_kernel_timers(engine->deps.kernel);

	if (!engine->leading)
		return;
	mt_kernel_event(engine->deps.kernel, "office_left",
			"\"term\":%" G_GUINT64_FORMAT, engine->term);
	engine->leading = false;
	engine->generation++;
	mt_timers_cancel(timers, engine->load_timer);
	engine->load_timer = 0;
	g_clear_pointer(&engine->jobs_to_load, g_array_unref);
	mt_timers_cancel(timers, engine->pass_timer);
	mt_timers_cancel(timers, engine->tick_timer);
	engine->pass_timer = 0;
	engine->tick_timer = 0;
	mt_table_watch(engine->deps.table, NULL);
	mt_directory_close(engine->deps.directory);
	if (engine->deps.evacuations)
		mt_evacuations_close(engine->deps.evacuations);
	mt_evacuation_log_reset(engine);
	mt_writer_close(engine->writer);
	engine->writer = NULL;
	mt_load_summary_reset_gauges(engine->load_summary, engine);
	g_clear_pointer(&engine->load_summary, mt_load_summary_free);
	g_ptr_array_set_size(engine->flushes, 0);
	g_ptr_array_set_size(engine->dirty_jobs, 0);
	mt_wakeups_remove_all(&engine->wakeups);
	g_hash_table_remove_all(engine->jobs);
	g_hash_table_remove_all(engine->backends);
	mt_server_speeds_clear(engine);
	count_cold_servers(engine);
	mt_speed_records_clear(engine);
	mt_run_times_clear(engine->run_times);
}
