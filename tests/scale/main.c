/**
 * @file main.c
 * Measures what jobs cost the leader: memory of its state, time of a scheduling
 * pass, and size of a progress record, against the number of tasks,
 * occurrences, steps and jobs. `make scale` prints the table of
 * docs/CAPACITY.md.
 *
 * A scheduling engine with two fake servers of 8 accelerators; each task needs
 * one. Passes alternate with the end of all runs.
 */
#include <malloc.h>
#include <stdio.h>

#include "unit/engine_fixture.h"

#define PASSES 40u

/** A case: the jobs that are handed in at once. */
typedef struct mt_scale_case_t {
	const char *name;
	uint32_t jobs;
	uint32_t repeat;
	uint32_t steps; /**< per occurrence, in a chain */
	uint32_t tasks; /**< per step */
	int64_t start_at_ms;
} mt_scale_case_t;

static const mt_scale_case_t cases[] = {
	{"tasks", 80, 0, 1, 20, 0},
	{"tasks", 80, 0, 1, 200, 0},
	{"tasks", 80, 0, 1, 2000, 0},
	{"tasks", 80, 0, 1, 20000, 0},
	{"occurrences", 1, 10, 2, 1, 0},
	{"occurrences", 1, 100, 2, 1, 0},
	{"occurrences", 1, 1000, 2, 1, 0},
	{"occurrences", 1, 10000, 2, 1, 0},
	{"not due", 80, 10000, 2, 1, 1000000},
	{"steps", 10, 0, 16, 1, 0},
	{"steps", 10, 0, 64, 1, 0},
	{"steps", 10, 0, 256, 1, 0},
	{"jobs", 10, 0, 1, 4, 0},
	{"jobs", 100, 0, 1, 4, 0},
	{"jobs", 1000, 0, 1, 4, 0},
	{"jobs", 10000, 0, 1, 4, 0},
	{"jobs not due", 10000, 0, 1, 4, 1000000},
};

/** Adds a job of steps that each depend on the one before. */
static void add_job(mt_engine_fixture_t *fixture, const mt_scale_case_t *at,
		    uint64_t id)
{
	MtDag__Job spec = MT_DAG__JOB__INIT;
	MtDag__Step *steps = g_new(MtDag__Step, at->steps);
	MtDag__Step **list = g_new(MtDag__Step *, at->steps);
	uint32_t *after = g_new(uint32_t, at->steps);

	for (uint32_t i = 0; i < at->steps; i++) {
		steps[i] = mt_engine_fixture_step(at->tasks);
		steps[i].gang = false;
		steps[i].gpu = 1;
		after[i] = i - 1;
		steps[i].after = &after[i];
		steps[i].n_after = i > 0;
		list[i] = &steps[i];
	}
	spec.id = id;
	spec.queue = (char *)"batch";
	spec.service = (char *)"service";
	spec.priority = 2;
	spec.start_at_ms = at->start_at_ms;
	spec.repeat = at->repeat;
	spec.n_steps = at->steps;
	spec.steps = list;
	mt_engine_insert_job(fixture->engine, mt_make_job(&spec, 9000));
	g_free(after);
	g_free(list);
	g_free(steps);
}

/** Ends all runs with success, and sums up the sizes of the job's records. */
static void end_runs(mt_engine_fixture_t *fixture, size_t *record_bytes)
{
	for (unsigned i = 0; i < MT_ENGINE_FIXTURE_SERVERS; i++) {
		GPtrArray *tasks = fixture->servers[i]->tasks;

		while (tasks->len) {
			mt_dag_task_t *task = tasks->pdata[0];
			mt_dag_job_t *job = task->step->job;
			GBytes *record = mt_dag_job_pack_progress(job);

			*record_bytes =
				MAX(*record_bytes, g_bytes_get_size(record));
			g_bytes_unref(record);
			mt_dag_task_finish(task);
			mt_dag_job_release_done(job);
		}
	}
}

static void measure(const mt_scale_case_t *at)
{
	mt_engine_fixture_t fixture;
	size_t before;
	size_t after;
	size_t record_bytes = 0;
	gint64 longest_us = 0;
	gint64 sum_us = 0;

	mt_engine_fixture_open(&fixture);
	before = mallinfo2().uordblks + mallinfo2().hblkhd;
	for (uint64_t id = 1; id <= at->jobs; id++)
		add_job(&fixture, at, id);
	mt_planner_run(fixture.engine);
	after = mallinfo2().uordblks + mallinfo2().hblkhd;
	for (unsigned i = 0; i < PASSES; i++) {
		gint64 began_us = g_get_monotonic_time();
		gint64 took_us;

		mt_planner_run(fixture.engine);
		mt_wakeups_let_sleep(&fixture.engine->wakeups, 0);
		took_us = g_get_monotonic_time() - began_us;
		longest_us = MAX(longest_us, took_us);
		sum_us += took_us;
		end_runs(&fixture, &record_bytes);
	}
	printf("| %s | %u | %u | %u | %u | %.1f | %.2f | %.2f | %zu |\n",
	       at->name, at->jobs, MAX(1, at->repeat), at->steps, at->tasks,
	       (double)(after - before) / 1024.0 / at->jobs,
	       (double)sum_us / PASSES / 1000.0, (double)longest_us / 1000.0,
	       record_bytes);
	mt_engine_fixture_close(&fixture);
}

int main(void)
{
	printf("| grows | jobs | occurrences | steps | tasks | KB a job "
	       "| pass ms | longest ms | record bytes |\n"
	       "|---|---|---|---|---|---|---|---|---|\n");
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		measure(&cases[i]);
	return 0;
}
