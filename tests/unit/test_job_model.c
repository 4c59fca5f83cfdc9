/** @file test_job_model.c Tests of the job model of lib/dag. */
#include <CUnit/Basic.h>

#include "dag/job_model.h"
#include "unit/engine_fixture.h"
#include "unit/tests.h"

#define ATTEMPTS 3u

static mt_dag_job_t *make_job(uint32_t count, bool gang)
{
	MtDag__Job job = MT_DAG__JOB__INIT;
	MtDag__Step step = MT_DAG__STEP__INIT;
	MtDag__Step *steps[] = {&step};
	mt_dag_job_t *job_model;

	step.count = count;
	step.gang = gang;
	job.id = 1;
	job.attempts_max = ATTEMPTS;
	job.n_steps = 1;
	job.steps = steps;
	job_model = mt_make_job(&job, 0);
	job_model->queue.attempts_max = ATTEMPTS;
	return job_model;
}

static mt_backend_t *make_server(void)
{
	return mt_backend_new(1);
}

static void free_server(mt_backend_t *server)
{
	mt_backend_free(server);
}

static mt_backend_t *find_server(void *ctx, uint64_t id_hash, int64_t born_ms)
{
	return ctx;
}

/**
 * Restores the job from its progress record, as a new leader does. Frees the
 * original.
 */
static mt_dag_job_t *restore(mt_dag_job_t *job, mt_backend_t *server)
{
	mt_dag_job_t *restored = make_job(mt_first_step(job)->spec->count,
					  mt_first_step(job)->spec->gang);
	GBytes *record = mt_dag_job_pack_progress(job);

	CU_ASSERT_TRUE(mt_dag_job_unpack_progress(
		restored, mt_bytes_view(record), find_server, server, 0));
	g_bytes_unref(record);
	mt_dag_job_free(job);
	return restored;
}

static bool fail_once(mt_dag_job_t *job, mt_backend_t *server)
{
	mt_dag_task_t *task = mt_task_of(mt_first_step(job), 0);

	mt_dag_task_place(task, server, task->run + 1, 0);
	return mt_dag_task_fail(task);
}

/** Runs that failed under an earlier leader still count as attempts. */
static void attempts_survive_a_change_of_leader(void)
{
	mt_backend_t *server = make_server();
	mt_dag_job_t *job = make_job(2, false);

	for (unsigned i = 1; i < ATTEMPTS; i++) {
		CU_ASSERT_TRUE(fail_once(job, server));
		job = restore(job, server);
	}
	CU_ASSERT_FALSE(fail_once(job, server));
	mt_dag_job_free(job);
	free_server(server);
}

/** Several members that fail in one run of a gang count as one attempt. */
static void a_gang_run_is_one_failed_attempt(void)
{
	mt_backend_t *server = make_server();
	mt_dag_job_t *job = make_job(2, true);
	mt_dag_task_t *first = mt_task_of(mt_first_step(job), 0);
	mt_dag_task_t *second = mt_task_of(mt_first_step(job), 1);

	for (unsigned run = 1; run < ATTEMPTS; run++) {
		mt_dag_task_place(first, server, run, 0);
		mt_dag_task_place(second, server, run, 0);
		CU_ASSERT_TRUE(mt_dag_task_fail(first));
		CU_ASSERT_TRUE(mt_dag_task_fail(second));
	}
	mt_dag_task_place(first, server, ATTEMPTS, 0);
	CU_ASSERT_FALSE(mt_dag_task_fail(first));
	mt_dag_job_free(job);
	free_server(server);
}

const mt_test_t mt_job_model_tests[] = {
	{"attempts survive a change of leader",
	 attempts_survive_a_change_of_leader},
	{"a gang run is one failed attempt", a_gang_run_is_one_failed_attempt},
	{NULL, NULL},
};
