/**
 * @file engine_fixture.h
 * A scheduling engine of lib/dag with two fake servers, which count starts and
 * stops and keep holds until a test answers them.
 */
#ifndef MT_TESTS_ENGINE_FIXTURE_H
#define MT_TESTS_ENGINE_FIXTURE_H

#include "dag/engine_internal.h"

#define MT_ENGINE_FIXTURE_SERVERS 2u
/** Accelerators of each server. */
#define MT_ENGINE_FIXTURE_GPU 8u

/** A hold that the fake server has received. */
typedef struct mt_pending_hold_t {
	mt_hold_command_t command;
	mt_backend_cb cb;
	void *ctx;
} mt_pending_hold_t;

typedef struct mt_engine_fixture_t {
	mt_timers_t *timers;
	mt_kernel_t *kernel;
	mt_backend_port_t port;
	unsigned stops;
	unsigned starts;
	mt_ms_t records_age_ms; /**< age of the leader's copy of the records */
	/** Holds that were sent and not answered, oldest first. */
	GArray *holds; /**< mt_pending_hold_t */
	mt_engine_t *engine;
	mt_backend_t *servers[MT_ENGINE_FIXTURE_SERVERS];
} mt_engine_fixture_t;

/**
 * Sets the clock to 10000. The tests add jobs and place tasks at 9000, that is
 * 1 s before they begin.
 */
void mt_engine_fixture_open(mt_engine_fixture_t *fixture);

/** Answers the pending holds to a later leadership, which ignores them. */
void mt_engine_fixture_close(mt_engine_fixture_t *fixture);

/** Answers the oldest hold. */
void mt_engine_fixture_answer_hold(mt_engine_fixture_t *fixture,
				   const mt_backend_answer_t *answer);

/**
 * Adds a job of one step; each task needs all accelerators of a server. The
 * step is a gang if it has more than one task.
 */
mt_dag_job_t *mt_engine_fixture_add_job(mt_engine_fixture_t *fixture,
					uint64_t id, uint32_t priority,
					uint32_t count);

/**
 * Makes the model of a job from the record that `spec` would be stored as, as a
 * leader does.
 */
mt_dag_job_t *mt_make_job(const MtDag__Job *spec, mt_ms_t known_since);

/** The step of such a job. */
MtDag__Step mt_engine_fixture_step(uint32_t count);

/** Adds a job of this step that runs `repeat` times, all due at once. */
mt_dag_job_t *mt_engine_fixture_add_job_of(mt_engine_fixture_t *fixture,
					   uint64_t id, uint32_t priority,
					   MtDag__Step *step, uint32_t repeat);

/** The first step of a job, in its first occurrence, which is opened. */
mt_dag_step_t *mt_first_step(mt_dag_job_t *job);

/** The state of a task that is not done; the tasks up to it are begun. */
mt_dag_task_t *mt_task_of(mt_dag_step_t *step, uint32_t index);

/** Places a running task of a new job, 1, on the first server. */
mt_dag_task_t *mt_engine_fixture_add_running_task(mt_engine_fixture_t *fixture);

/** Adds an idle server like the first two. */
mt_backend_t *mt_engine_fixture_add_server(mt_engine_fixture_t *fixture,
					   const char *id);

/**
 * Teaches the model that the first server and "other-2", "other-4" to
 * "other-10" run at 0.375 of the speed of the second one and "other-3",
 * "other-5" to "other-11".
 */
void mt_engine_fixture_teach_speeds(mt_engine_fixture_t *fixture);

/** Runs the timers of the fixture for `ms`, which is a multiple of 100. */
void mt_engine_fixture_advance(mt_engine_fixture_t *fixture, mt_ms_t ms);

#endif
