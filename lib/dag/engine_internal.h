/**
 * @file engine_internal.h
 * Shared by the files of the scheduler: engine.c (office, jobs), flush.c
 * (storing), guarantees.c,
 * orders.c (commands to servers), ends.c (what servers report), advisor.c
 * (policy service), rescue.c (runs that should move) and planner.c (view for
 * the plan). Calls go engine -> planner -> orders -> ends.
 */
#ifndef MT_DAG_ENGINE_INTERNAL_H
#define MT_DAG_ENGINE_INTERNAL_H

#include "dag/engine.h"
#include "dag/follower.h"
#include "dag/survival.h"
#include "dag/job_model.h"
#include "dag/writer.h"

struct mt_engine_t {
	mt_engine_deps_t deps;
	const mt_catalog_t *catalog;
	bool leading;
	uint64_t term;
	unsigned generation; /**< rises with each gain and loss of the office */
	mt_ms_t leading_since;
	mt_writer_t *writer;
	GHashTable *jobs;     /**< id to mt_dag_job_t */
	GHashTable *backends; /**< id to mt_backend_t */
	GPtrArray *flushes;   /**< mt_flush_t under way */
	bool advice_pending;  /**< a question to the policy service is under way
			       */
	mt_ms_t next_advice_at; /**< no question before this time */
	uint64_t pass_timer;
	uint64_t tick_timer;
	mt_survival_t survival;	 /**< how soon tasks are stopped for others */
	mt_ms_t pass_started_at; /**< when the last turn began */
	mt_ms_t last_sweep_at;	 /**< when ended jobs were last looked for */
	mt_ms_t last_write_at;	 /**< when the last write was handed in */
};

/** Has the scheduler look at everything again, soon. */
void mt_engine_request_pass(mt_engine_t *engine);

mt_dag_job_t *mt_engine_job(const mt_engine_t *engine, uint64_t id);
mt_ms_t mt_engine_now(const mt_engine_t *engine);

/** Stops all tasks of a job that has reached a final state. */
void mt_engine_stop_tasks(mt_engine_t *engine, mt_dag_job_t *job);

/* flush.c */

/**
 * Writes the progress of changed jobs; once it is stored, sends the starts and
 * lets servers forget the ends that it covers. Jobs that are over are let go.
 */
void mt_flush_changes(mt_engine_t *engine);

/** For the list of writes under way. */
void mt_flush_free(gpointer flush);

/* guarantees.c */

/**
 * Jobs of priority 0 within their accounts' guarantees, the oldest first; a
 * set to be destroyed by the caller.
 */
GHashTable *mt_guarantees_find(const mt_engine_t *engine);

/* sweep.c */

/** Now and then removes jobs that ended `keep_ended_ms` ago. */
void mt_sweep_ended(mt_engine_t *engine);

/* planner.c */

/** Places what can start and marks what has to stop for it. */
void mt_planner_run(mt_engine_t *engine);

/* advisor.c */

/**
 * Asks the policy service about further servers if `waiting` tasks of the step
 * do not fit on those known to be allowed; one question at a time.
 */
void mt_advisor_request_if_needed(mt_engine_t *engine, mt_dag_step_t *step,
				  uint32_t waiting, const GPtrArray *backends);

/* orders.c */

/** Sends the start of a task whose placement is stored. */
void mt_commands_start(mt_engine_t *engine, mt_dag_task_t *task);

/** Has a placed or running task stopped; repeated until it is gone. */
void mt_commands_stop(mt_engine_t *engine, mt_dag_task_t *task);

/** Has every member of a gang stopped, wherever it stands. */
void mt_commands_stop_gang(mt_engine_t *engine, mt_dag_step_t *step);

/** Has a task stopped, and with it the gang that it belongs to. */
void mt_commands_stop_unit(mt_engine_t *engine, mt_dag_task_t *task);

/** Sends the next hold if the server needs one and none is under way. */
void mt_commands_hold(mt_engine_t *engine, mt_backend_t *backend);

/** Once per tick: leases that are over, orders to repeat. */
void mt_commands_tick(mt_engine_t *engine, mt_backend_t *backend);

/** Stops a run that belongs to no task any more. */
void mt_commands_stop_stray(mt_engine_t *engine, mt_backend_t *backend,
			    const mt_task_key_t *key, uint32_t run);

/* rescue.c */

/** Once per tick: tasks that stand still, and those on leaving servers. */
void mt_relocation_tick(mt_engine_t *engine, mt_backend_t *backend);

/* ends.c */

/** Takes the lists of an answered hold. */
void mt_reports_apply(mt_engine_t *engine, mt_backend_t *backend,
		      const mt_backend_answer_t *answer);

/** A run is over without a result that counts. */
void mt_reports_run_lost(mt_engine_t *engine, mt_dag_task_t *task,
			 const char *why);

/**
 * The server has begun a new lifetime. A start may have reached the new one
 * before this was noticed, so its next list says what is lost.
 */
void mt_reports_server_restarted(mt_engine_t *engine, mt_backend_t *backend,
				 int64_t born_ms);

#endif
