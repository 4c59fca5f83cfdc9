/**
 * @file test_wide_jobs.c
 * Tests that jobs cost memory and time by what has begun or may start, not by
 * what they declare: counts, with bounds from the limits of a host.
 */
#include <CUnit/Basic.h>

#include "unit/engine_fixture.h"
#include "unit/tests.h"

/** Memory of the smallest host, and the part of it that jobs may use. */
#define SMALLEST_HOST_BYTES (120u * 1024u * 1024u)
#define JOBS_DIVISOR 4u

/** A burst: jobs that are accepted within seconds. */
#define BURST 80u

/** Largest record that the store takes. */
#define RECORD_MAX_BYTES 262144u

/** Occurrences of the largest repeated job of two steps. */
#define REPEAT 10000u

/** Tasks of which the fixture's servers can run at the same time. */
#define ROOM (MT_ENGINE_FIXTURE_SERVERS * MT_ENGINE_FIXTURE_GPU)

/** Steps that a pass may look at: those that may start, and those that run. */
#define VISITED_MAX 512u

static int64_t wall_now_ms;

static int64_t wall_ms(void)
{
	return wall_now_ms;
}

static size_t bytes_of_slot(const mt_dag_slot_t *slot)
{
	const mt_dag_step_t *step = slot->step;
	size_t n_tasks = step && step->tasks ? step->tasks->len : 0;

	return sizeof(*slot) + (step ? sizeof(*step) : 0) +
	       n_tasks * (sizeof(mt_dag_task_t) + sizeof(gpointer));
}

/** Bytes of the job's state, without its record. */
static size_t bytes_of_job(const mt_dag_job_t *job)
{
	size_t bytes = sizeof(*job) + job->spec->n_steps * sizeof(*job->layout);

	for (guint i = 0; i < job->occurrences->len; i++) {
		const mt_dag_occurrence_t *occurrence =
			job->occurrences->pdata[i];

		bytes += sizeof(*occurrence);
		for (size_t k = 0; k < job->spec->n_steps; k++)
			bytes += bytes_of_slot(&occurrence->slots[k]);
	}
	return bytes;
}

static size_t bytes_of_jobs(const mt_engine_t *engine)
{
	GHashTableIter iter;
	gpointer value;
	size_t bytes = 0;

	g_hash_table_iter_init(&iter, engine->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		bytes += bytes_of_job(value);
	return bytes;
}

/** A step of single tasks that each need one accelerator. */
static MtDag__Step single_tasks(uint32_t count)
{
	MtDag__Step step = mt_engine_fixture_step(count);

	step.gang = false;
	step.gpu = 1;
	return step;
}

/** Confirms what was placed, and finishes what runs. */
static void run_tasks(mt_engine_fixture_t *fixture)
{
	for (unsigned i = 0; i < MT_ENGINE_FIXTURE_SERVERS; i++) {
		GPtrArray *tasks = fixture->servers[i]->tasks;

		while (tasks->len) {
			mt_dag_task_t *task = tasks->pdata[0];
			mt_dag_job_t *job = task->step->job;

			mt_dag_task_finish(task);
			mt_dag_job_release_done(job);
			job->dirty = false;
		}
	}
	g_ptr_array_set_size(fixture->engine->dirty_jobs, 0);
}

/** Runs a pass, and returns the number of steps that it looked at. */
static unsigned run_pass(mt_engine_fixture_t *fixture)
{
	mt_pass_pace_begin(&fixture->engine->pass_pace, 0);
	mt_planner_run(fixture->engine);
	return fixture->engine->pass_pace.n_steps_visited;
}

/**
 * Guards against: a leader has a state for each task that accepted jobs
 * declare, and exceeds the memory of its host.
 */
static void waiting_tasks_cost_no_memory(void)
{
	mt_engine_fixture_t fixture;
	MtDag__Step step = single_tasks(MT_DAG_TASKS_MAX);
	size_t n_tasks = 0;

	mt_engine_fixture_open(&fixture);
	for (uint64_t id = 1; id <= BURST; id++)
		mt_engine_fixture_add_job_of(&fixture, id, 2, &step, 0);
	for (unsigned i = 0; i < 20; i++) {
		run_pass(&fixture);
		CU_ASSERT_EQUAL(fixture.servers[0]->tasks->len +
					fixture.servers[1]->tasks->len,
				ROOM);
		CU_ASSERT_TRUE(bytes_of_jobs(fixture.engine) <
			       SMALLEST_HOST_BYTES / JOBS_DIVISOR);
		run_tasks(&fixture);
		n_tasks += ROOM;
	}
	CU_ASSERT_EQUAL(n_tasks, 20 * ROOM);
	mt_engine_fixture_close(&fixture);
}

/** Guards against: each occurrence of a repeated job has a state. */
static void occurrences_not_begun_cost_no_memory(void)
{
	mt_engine_fixture_t fixture;
	MtDag__Step step = single_tasks(1);

	mt_engine_fixture_open(&fixture);
	fixture.engine->deps.wall_ms = wall_ms;
	for (uint64_t id = 1; id <= BURST; id++)
		mt_engine_fixture_add_job_of(&fixture, id, 2, &step, REPEAT);
	for (unsigned i = 0; i < 20; i++) {
		run_pass(&fixture);
		CU_ASSERT_TRUE(bytes_of_jobs(fixture.engine) <
			       SMALLEST_HOST_BYTES / JOBS_DIVISOR);
		run_tasks(&fixture);
	}
	mt_engine_fixture_close(&fixture);
}

/** Adds a job of two steps, of which the second one depends on the first. */
static mt_dag_job_t *add_chains(mt_engine_fixture_t *fixture, uint32_t repeat)
{
	MtDag__Job spec = MT_DAG__JOB__INIT;
	MtDag__Step steps[] = {single_tasks(1), single_tasks(1)};
	MtDag__Step *list[] = {&steps[0], &steps[1]};
	uint32_t after[] = {0};
	mt_dag_job_t *job;

	steps[1].n_after = 1;
	steps[1].after = after;
	spec.id = 7;
	spec.queue = (char *)"batch";
	spec.service = (char *)"service";
	spec.priority = 2;
	spec.attempts_max = 3;
	spec.repeat = repeat;
	spec.n_steps = 2;
	spec.steps = list;
	job = mt_make_job(&spec, 9000);
	mt_engine_insert_job(fixture->engine, job);
	return job;
}

/**
 * Guards against: a pass walks all steps of a job of 10,000 occurrences, so
 * that the leader's heartbeats stop.
 */
static void a_pass_costs_what_may_start(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_job_t *job;

	mt_engine_fixture_open(&fixture);
	job = add_chains(&fixture, REPEAT);
	for (unsigned i = 0; i < 50; i++) {
		CU_ASSERT_TRUE(run_pass(&fixture) <= VISITED_MAX);
		CU_ASSERT_TRUE(job->occurrences->len <= VISITED_MAX);
		run_tasks(&fixture);
	}
	CU_ASSERT_EQUAL(job->n_occurrences_done, 50 * ROOM / 2);
	mt_engine_fixture_close(&fixture);
}

/** Guards against: occurrences that are not due are looked at by each pass. */
static void occurrences_not_due_are_not_visited(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_job_t *job;

	mt_engine_fixture_open(&fixture);
	fixture.engine->deps.wall_ms = wall_ms;
	wall_now_ms = 0;
	job = add_chains(&fixture, REPEAT);
	job->spec->start_at_ms = 500;
	job->spec->interval_ms = 1000;
	CU_ASSERT_EQUAL(run_pass(&fixture), 0);
	CU_ASSERT_EQUAL(job->occurrences->len, 0);
	wall_now_ms = 2600;
	CU_ASSERT_EQUAL(run_pass(&fixture), 3);
	CU_ASSERT_EQUAL(job->occurrences->len, 3);
	CU_ASSERT_EQUAL(mt_dag_job_n_due_unopened(job, 2600), 0);
	CU_ASSERT_EQUAL(mt_dag_job_n_due_unopened(job, 5500), 3);
	mt_engine_fixture_close(&fixture);
}

static size_t record_bytes(const mt_dag_job_t *job)
{
	GBytes *record = mt_dag_job_pack_progress(job);
	size_t size = g_bytes_get_size(record);

	g_bytes_unref(record);
	return size;
}

/**
 * Guards against: the progress record grows with the occurrences that have
 * begun, until the store takes it no more.
 */
static void the_progress_record_does_not_grow(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_job_t *job;
	size_t most = 0;
	size_t first = 0;

	mt_engine_fixture_open(&fixture);
	job = add_chains(&fixture, REPEAT);
	while (job->n_occurrences_done < REPEAT) {
		run_pass(&fixture);
		most = MAX(most, record_bytes(job));
		if (!first)
			first = most;
		run_tasks(&fixture);
	}
	CU_ASSERT_TRUE(most <= 3 * first);
	CU_ASSERT_TRUE(most <= RECORD_MAX_BYTES / 64);
	mt_dag_job_update_state(job);
	CU_ASSERT_EQUAL(job->state, MT_DAG__STATE__COMPLETED);
	mt_engine_fixture_close(&fixture);
}

/** Places all tasks of the step, as late runs, on servers in turn. */
static void place_all(mt_engine_fixture_t *fixture, mt_dag_step_t *step,
		      unsigned server)
{
	for (uint32_t i = 0; i < step->spec->count; i++)
		mt_dag_task_place(mt_task_of(step, i),
				  fixture->servers[(server + i) %
						   MT_ENGINE_FIXTURE_SERVERS],
				  200, 9000);
}

/**
 * Guards against: the progress record of a job of which all tasks run at the
 * same time is larger than the store takes, whether the job has many tasks or
 * many occurrences.
 */
static void a_record_of_running_tasks_fits(void)
{
	mt_engine_fixture_t fixture;
	MtDag__Step wide = single_tasks(MT_DAG_TASKS_MAX);
	mt_dag_job_t *job;
	mt_dag_occurrence_t *occurrence;

	mt_engine_fixture_open(&fixture);
	job = mt_engine_fixture_add_job_of(&fixture, 1, 2, &wide, 0);
	place_all(&fixture, mt_first_step(job), 0);
	CU_ASSERT_EQUAL(job->n_placed, MT_DAG_TASKS_MAX);
	CU_ASSERT_TRUE(record_bytes(job) < RECORD_MAX_BYTES);
	wide.count = 2;
	job = mt_engine_fixture_add_job_of(&fixture, 2, 2, &wide, REPEAT);
	while ((occurrence = mt_dag_job_open_next(job)))
		place_all(&fixture, occurrence->slots[0].step,
			  occurrence->number);
	CU_ASSERT_EQUAL(job->n_placed, MT_DAG_TASKS_MAX);
	CU_ASSERT_TRUE(record_bytes(job) < RECORD_MAX_BYTES);
	mt_engine_fixture_close(&fixture);
}

static mt_backend_t *find_server(void *ctx, uint64_t id_hash, int64_t born_ms)
{
	mt_engine_fixture_t *fixture = ctx;

	return g_hash_table_lookup(fixture->engine->backends, &id_hash);
}

/** Plain sums over the occurrences, steps and tasks that have a state. */
typedef struct mt_recount_t {
	uint32_t n_placed;
	uint32_t n_done;
	uint32_t n_ready;
	uint64_t n_waiting;
	uint32_t path_left_ms;
	uint64_t gpu_wanted;
} mt_recount_t;

static void recount_step(const mt_dag_step_t *step, mt_recount_t *sums)
{
	uint32_t n_done = step->n_begun;
	uint32_t n_waiting = step->spec->count - step->n_begun;
	uint32_t n_placed = 0;

	for (guint i = 0; step->tasks && i < step->tasks->len; i++) {
		const mt_dag_task_t *task = step->tasks->pdata[i];

		n_done -= task->phase != MT_TASK_PHASE_DONE;
		n_waiting += task->phase == MT_TASK_PHASE_WAITING;
		n_placed += task->server != NULL;
	}
	CU_ASSERT_EQUAL(step->n_done, n_done);
	CU_ASSERT_EQUAL(step->n_waiting, n_waiting);
	CU_ASSERT_EQUAL(step->n_placed, n_placed);
	sums->n_placed += n_placed;
	sums->n_done += n_done;
	if (!step->spec->lasting)
		sums->n_waiting += n_waiting;
	if (n_done < step->spec->count)
		sums->gpu_wanted =
			MAX(sums->gpu_wanted,
			    (step->spec->count - n_done) * step->spec->gpu);
}

/** Adds a step that depends on an unfinished one. */
static void recount_blocked(const MtDag__Step *step, mt_recount_t *sums)
{
	if (!step->lasting)
		sums->n_waiting += step->count;
	sums->gpu_wanted = MAX(sums->gpu_wanted, step->count * step->gpu);
}

static void recount_occurrence(const mt_dag_occurrence_t *occurrence,
			       mt_recount_t *sums)
{
	const MtDag__Job *spec = occurrence->job->spec;
	uint32_t *path_ms = g_new0(uint32_t, spec->n_steps);
	bool *is_done = g_new0(bool, spec->n_steps);

	for (size_t i = 0; i < spec->n_steps; i++) {
		const mt_dag_slot_t *slot = &occurrence->slots[i];
		const MtDag__Step *step = spec->steps[i];
		uint32_t n_blockers = 0;

		for (size_t k = 0; k < step->n_after; k++) {
			uint32_t after = step->after[k];

			path_ms[i] = MAX(path_ms[i], path_ms[after]);
			n_blockers += !is_done[after];
		}
		CU_ASSERT_EQUAL(slot->n_blockers, n_blockers);
		if (slot->step)
			recount_step(slot->step, sums);
		else if (n_blockers)
			recount_blocked(step, sums);
		is_done[i] = !n_blockers &&
			     (!slot->step || mt_dag_step_is_done(slot->step));
		if (!is_done[i])
			path_ms[i] += step->estimate_ms;
		sums->path_left_ms = MAX(sums->path_left_ms, path_ms[i]);
		sums->n_ready += !n_blockers && !is_done[i];
	}
	g_free(path_ms);
	g_free(is_done);
}

/** Compares what is kept with each change with a plain recount. */
static void check_counts(mt_dag_job_t *job)
{
	mt_recount_t sums = {0};

	for (guint i = 0; i < job->occurrences->len; i++)
		recount_occurrence(job->occurrences->pdata[i], &sums);
	CU_ASSERT_EQUAL(job->n_placed, sums.n_placed);
	CU_ASSERT_EQUAL(job->n_waiting, sums.n_waiting);
	CU_ASSERT_EQUAL(job->ready_steps->len, sums.n_ready);
	if (job->n_opened < job->n_occurrences)
		return;
	CU_ASSERT_EQUAL(mt_dag_job_critical_path_left_ms(job),
			sums.path_left_ms);
	CU_ASSERT_EQUAL(mt_dag_job_gpu_wanted(job), sums.gpu_wanted);
}

/** Restores the job from its progress record, and compares the two. */
static void check_restored(mt_engine_fixture_t *fixture, mt_dag_job_t *job)
{
	GBytes *record = mt_dag_job_pack_progress(job);
	mt_dag_job_t *restored = mt_make_job(job->spec, 9000);
	GBytes *again;

	CU_ASSERT_TRUE(mt_dag_job_unpack_progress(
		restored, mt_bytes_view(record), find_server, fixture, 9000));
	check_counts(restored);
	CU_ASSERT_EQUAL(restored->n_occurrences_done, job->n_occurrences_done);
	again = mt_dag_job_pack_progress(restored);
	CU_ASSERT_TRUE(g_bytes_equal(record, again));
	for (unsigned i = 0; i < MT_ENGINE_FIXTURE_SERVERS; i++) {
		GPtrArray *tasks = fixture->servers[i]->tasks;

		for (guint k = tasks->len; k-- > 0;) {
			mt_dag_task_t *task = tasks->pdata[k];

			if (task->step->job == restored)
				mt_dag_task_unplace(task);
		}
	}
	g_bytes_unref(again);
	g_bytes_unref(record);
	mt_dag_job_free(restored);
}

static MtDag__Step random_step(GRand *rand)
{
	MtDag__Step step = single_tasks((uint32_t)g_rand_int_range(rand, 1, 6));

	step.gang = g_rand_int_range(rand, 0, 3) == 0;
	step.lasting = g_rand_int_range(rand, 0, 10) == 0;
	step.estimate_ms = (uint32_t)g_rand_int_range(rand, 0, 5000);
	return step;
}

static mt_dag_job_t *add_random_job(mt_engine_fixture_t *fixture, GRand *rand)
{
	MtDag__Job spec = MT_DAG__JOB__INIT;
	MtDag__Step steps[5];
	MtDag__Step *list[5];
	uint32_t after[5][2];
	mt_dag_job_t *job;

	spec.id = 1;
	spec.queue = (char *)"batch";
	spec.service = (char *)"service";
	spec.priority = 2;
	spec.attempts_max = 1000;
	spec.repeat = (uint32_t)g_rand_int_range(rand, 0, 6);
	spec.n_steps = (size_t)g_rand_int_range(rand, 1, 6);
	spec.steps = list;
	for (size_t i = 0; i < spec.n_steps; i++) {
		steps[i] = random_step(rand);
		list[i] = &steps[i];
		steps[i].after = after[i];
		steps[i].n_after = i ? (size_t)g_rand_int_range(rand, 0, 3) : 0;
		for (size_t k = 0; k < steps[i].n_after; k++)
			after[i][k] =
				(uint32_t)g_rand_int_range(rand, 0, (gint32)i);
	}
	job = mt_make_job(&spec, 9000);
	mt_engine_insert_job(fixture->engine, job);
	return job;
}

static void play_random_event(mt_engine_fixture_t *fixture, GRand *rand)
{
	GPtrArray *tasks =
		fixture->servers[g_rand_int_range(rand, 0, 2)]->tasks;
	mt_dag_task_t *task;
	mt_dag_job_t *job;

	if (!tasks->len)
		return;
	task = tasks->pdata[g_rand_int_range(rand, 0, (gint32)tasks->len)];
	job = task->step->job;
	switch (g_rand_int_range(rand, 0, 6)) {
	case 0:
		mt_dag_task_fail(task);
		break;
	case 1:
		mt_dag_task_unplace(task);
		break;
	case 2:
		mt_dag_job_release_done(job);
		break;
	default:
		mt_dag_task_finish(task);
	}
}

/** Guards against: counts that are kept with each change become wrong. */
static void kept_counts_equal_a_recount(void)
{
	for (uint32_t seed = 1; seed <= 60; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		mt_engine_fixture_t fixture;
		mt_dag_job_t *job;

		mt_engine_fixture_open(&fixture);
		job = add_random_job(&fixture, rand);
		for (unsigned i = 0; i < 120; i++) {
			if (i % 5 == 0)
				mt_planner_run(fixture.engine);
			play_random_event(&fixture, rand);
			check_counts(job);
			check_restored(&fixture, job);
		}
		mt_engine_fixture_close(&fixture);
		g_rand_free(rand);
	}
}

/** Guards against: names in jobs fill the memory for good. */
static void names_of_jobs_are_not_interned(void)
{
	mt_engine_fixture_t fixture;
	MtDag__Step step = single_tasks(1);
	mt_dag_step_t *waiting;

	mt_engine_fixture_open(&fixture);
	step.label = (char *)"a label that only this job mentions";
	waiting = mt_first_step(
		mt_engine_fixture_add_job_of(&fixture, 1, 2, &step, 0));
	run_pass(&fixture);
	CU_ASSERT_EQUAL(waiting->n_placed, 0);
	CU_ASSERT_EQUAL(g_quark_try_string(step.label), 0);
	mt_backend_info_add_label(&fixture.servers[1]->info,
				  g_quark_from_string(step.label));
	run_pass(&fixture);
	CU_ASSERT_EQUAL(fixture.servers[1]->tasks->len, 1);
	mt_engine_fixture_close(&fixture);
}

const mt_test_t mt_wide_jobs_tests[] = {
	{"names of jobs are not interned", names_of_jobs_are_not_interned},
	{"waiting tasks cost no memory", waiting_tasks_cost_no_memory},
	{"occurrences not begun cost no memory",
	 occurrences_not_begun_cost_no_memory},
	{"a pass costs what may start", a_pass_costs_what_may_start},
	{"occurrences not due are not visited",
	 occurrences_not_due_are_not_visited},
	{"the progress record does not grow",
	 the_progress_record_does_not_grow},
	{"a record of running tasks fits", a_record_of_running_tasks_fits},
	{"kept counts equal a recount", kept_counts_equal_a_recount},
	{NULL, NULL},
};
