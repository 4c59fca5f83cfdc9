/** @file engine_fixture.c A scheduling engine with two fake servers. */
#include "unit/engine_fixture.h"

#include <stdlib.h>

/** At least HOLD_RETRY_MAX_MS in holds.c. */
#define HOLD_RETRY_LONGEST_MS 1000u

/**
 * Never answers. Frees the engine's context, as the engine would do when it
 * gets the answer.
 */
static void count_stop(void *self, const mt_backend_target_t *target,
		       const mt_stop_command_t *command, mt_backend_cb cb,
		       void *ctx)
{
	mt_engine_fixture_t *fixture = self;

	fixture->stops++;
	g_free(ctx);
}

/** Never answers; see count_stop(). */
static void count_start(void *self, const mt_backend_target_t *target,
			const mt_start_command_t *command, mt_backend_cb cb,
			void *ctx)
{
	mt_engine_fixture_t *fixture = self;

	fixture->starts++;
	g_free(ctx);
}

static void keep_hold(void *self, const mt_backend_target_t *target,
		      const mt_hold_command_t *command, mt_backend_cb cb,
		      void *ctx)
{
	mt_engine_fixture_t *fixture = self;
	mt_pending_hold_t hold = {*command, cb, ctx};

	g_array_append_val(fixture->holds, hold);
}

static int64_t wall_ms(void)
{
	return 0;
}

static mt_ms_t records_age_ms(void *ctx)
{
	const mt_engine_fixture_t *fixture = ctx;

	return fixture->records_age_ms;
}

mt_backend_t *mt_engine_fixture_add_server(mt_engine_fixture_t *fixture,
					   const char *id)
{
	mt_backend_info_t info = {.target = {mt_shared_name(id), {0}, 1},
				  .service = mt_shared_name("service")};
	mt_backend_t *server =
		mt_backend_new(mt_shared_name_hash(info.target.id));

	mt_backend_set_id(server, info.target.id);
	mt_backend_info_assign(&server->info, &info);
	mt_backend_info_clear(&info);
	server->info.capacity =
		(mt_dag_resources_t){64000, 64000, MT_ENGINE_FIXTURE_GPU};
	server->listed = true;
	server->hold_answered = true;
	server->clock_known = true;
	g_hash_table_insert(fixture->engine->backends, &server->id_hash,
			    server);
	return server;
}

void mt_engine_fixture_open(mt_engine_fixture_t *fixture)
{
	mt_engine_deps_t deps = {0};

	*fixture = (mt_engine_fixture_t){0};
	fixture->timers = mt_timers_new(10000);
	fixture->kernel = mt_kernel_new("test", fixture->timers, 1);
	fixture->port = (mt_backend_port_t){fixture, count_start, count_stop,
					    keep_hold};
	fixture->holds = g_array_new(FALSE, FALSE, sizeof(mt_pending_hold_t));
	deps.kernel = fixture->kernel;
	deps.backends = &fixture->port;
	deps.wall_ms = wall_ms;
	deps.records_age_ms = records_age_ms;
	deps.records_age_ctx = fixture;
	fixture->engine = mt_engine_new(&deps);
	fixture->servers[0] = mt_engine_fixture_add_server(fixture, "server-0");
	fixture->servers[1] = mt_engine_fixture_add_server(fixture, "server-1");
}

void mt_engine_fixture_answer_hold(mt_engine_fixture_t *fixture,
				   const mt_backend_answer_t *answer)
{
	mt_pending_hold_t hold =
		g_array_index(fixture->holds, mt_pending_hold_t, 0);

	g_array_remove_index(fixture->holds, 0);
	hold.cb(hold.ctx, answer);
}

void mt_engine_fixture_close(mt_engine_fixture_t *fixture)
{
	mt_backend_answer_t none = {.result = MT_COMMAND_UNKNOWN};

	fixture->engine->generation++;
	while (fixture->holds->len)
		mt_engine_fixture_answer_hold(fixture, &none);
	/* A hold that waits for its retry timer is freed by it. */
	mt_timers_advance(fixture->timers, mt_timers_now(fixture->timers) +
						   HOLD_RETRY_LONGEST_MS);
	g_array_unref(fixture->holds);
	g_hash_table_destroy(fixture->engine->jobs);
	g_ptr_array_unref(fixture->engine->dirty_jobs);
	mt_wakeups_clear(&fixture->engine->wakeups);
	g_hash_table_destroy(fixture->engine->backends);
	g_ptr_array_unref(fixture->engine->flushes);
	g_hash_table_destroy(fixture->engine->logged_zones);
	mt_speed_model_free(fixture->engine->speeds);
	g_hash_table_destroy(fixture->engine->speeds_stored);
	mt_run_times_free(fixture->engine->run_times);
	g_free(fixture->engine);
	mt_kernel_free(fixture->kernel);
	mt_timers_free(fixture->timers);
}

mt_dag_job_t *mt_make_job(const MtDag__Job *spec, mt_ms_t known_since)
{
	GBytes *bytes = mt_dag_pack(&spec->base);
	mt_str_t view = mt_bytes_view(bytes);
	mt_dag_job_t *job = mt_dag_job_new(
		mt_dag__job__unpack(NULL, view.len, (const uint8_t *)view.data),
		known_since);

	g_bytes_unref(bytes);
	return job;
}

MtDag__Step mt_engine_fixture_step(uint32_t count)
{
	MtDag__Step step = MT_DAG__STEP__INIT;

	step.count = count;
	step.gpu = MT_ENGINE_FIXTURE_GPU;
	step.cpu_milli = 1000;
	step.estimate_ms = 5000;
	step.gang = count > 1;
	return step;
}

mt_dag_job_t *mt_engine_fixture_add_job(mt_engine_fixture_t *fixture,
					uint64_t id, uint32_t priority,
					uint32_t count)
{
	MtDag__Step step = mt_engine_fixture_step(count);

	return mt_engine_fixture_add_job_of(fixture, id, priority, &step, 0);
}

mt_dag_job_t *mt_engine_fixture_add_job_of(mt_engine_fixture_t *fixture,
					   uint64_t id, uint32_t priority,
					   MtDag__Step *step, uint32_t repeat)
{
	MtDag__Job job = MT_DAG__JOB__INIT;
	MtDag__Step *steps[] = {step};
	mt_dag_job_t *job_model;

	job.id = id;
	job.repeat = repeat;
	job.queue = (char *)"batch";
	job.service = (char *)"service";
	job.priority = priority;
	job.attempts_max = 3;
	job.n_steps = 1;
	job.steps = steps;
	job_model = mt_make_job(&job, 9000);
	mt_shared_name_set(&job_model->queue.service, MT_STR("service"));
	job_model->queue.priority = priority;
	mt_engine_insert_job(fixture->engine, job_model);
	return job_model;
}

mt_dag_step_t *mt_first_step(mt_dag_job_t *job)
{
	if (!job->n_opened)
		mt_dag_job_open_next(job);
	return mt_dag_job_find_step(job, 0, 0);
}

mt_dag_task_t *mt_task_of(mt_dag_step_t *step, uint32_t index)
{
	while (step->n_begun <= index)
		mt_dag_step_begin_task(step);
	return mt_dag_step_find_task(step, index);
}

void mt_engine_fixture_advance(mt_engine_fixture_t *fixture, mt_ms_t ms)
{
	for (mt_ms_t i = 0; i < ms; i += 100)
		mt_timers_advance(fixture->timers,
				  mt_timers_now(fixture->timers) + 100);
}

mt_dag_task_t *mt_engine_fixture_add_running_task(mt_engine_fixture_t *fixture)
{
	mt_dag_task_t *task = mt_task_of(
		mt_first_step(mt_engine_fixture_add_job(fixture, 1, 2, 1)), 0);

	mt_dag_task_place(task, fixture->servers[0], 1, 9000);
	task->placement_stored = true;
	task->phase = MT_TASK_PHASE_RUNNING;
	task->start_settled_at = 9000;
	return task;
}

void mt_engine_fixture_teach_speeds(mt_engine_fixture_t *fixture)
{
	mt_speed_sample_t sample = {.run = 1, .at = 10000, .error = 0.01};

	for (uint64_t job = 100; job < 110; job++) {
		for (uint32_t i = 0; i < 12; i++) {
			char name[16];

			g_snprintf(name, sizeof(name), "other-%u", i);
			sample.job = job;
			sample.task = i;
			sample.rate = i % 2 ? 16 : 6;
			sample.server =
				i < MT_ENGINE_FIXTURE_SERVERS
					? fixture->servers[i]->info.target.id
					: mt_shared_name(name);
			mt_speed_model_observe(fixture->engine->speeds,
					       &sample);
		}
	}
	mt_speed_model_update(fixture->engine->speeds, 10000);
}
