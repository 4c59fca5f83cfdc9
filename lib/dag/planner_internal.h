/**
 * @file planner_internal.h
 * Internal interface of the planner: candidates.c (lists the steps that wait to
 * start), planner_servers.c (describes the servers), victims.c (lists the runs
 * that may be preempted), planner.c (builds the placement plan and applies it)
 * and wait_log.c (logs why steps still wait).
 */
#ifndef MT_DAG_PLANNER_INTERNAL_H
#define MT_DAG_PLANNER_INTERNAL_H

#include "dag/engine_internal.h"

/** A step with waiting tasks that may start; becomes one unit of the plan. */
typedef struct mt_candidate_step_t {
	mt_dag_step_t *step;
	uint32_t count;	 /**< number of waiting tasks */
	bool guaranteed; /**< the job is within its account's guarantee */
	/** Local time; see latest_start() in candidates.c. */
	int64_t latest_start_ms;
	mt_ms_t waited_ms; /**< time since step->waiting_since */
	/* The next two are only set if load is to be shed and the service is
	 * contended, and never for guaranteed jobs. The step then comes after
	 * others, for DEFER_MAX_MS (candidates.c) at most. */
	bool late; /**< the job can no longer meet its objective */
	/** The job's account uses more than an even share of what is left of
	 * the service beyond the guarantees. */
	bool over_share;
	/** How much the account uses of the fast servers, see fast_share.h; 0
	 * where servers are even, and once the step may not wait any longer. */
	unsigned fast_level;
	/** Has waited for OVERDUE_MS (candidates.c) on an underused service
	 * while nothing of its job ran. */
	bool overdue;
} mt_candidate_step_t;

/** The planning of one service in one scheduling pass. */
typedef struct mt_planner_t {
	mt_engine_t *engine;
	mt_ms_t now;
	/** Unix time in milliseconds; a step whose start time is later than
	 * this may not start yet. */
	int64_t start_time_max_ms;
	mt_shared_name_t service;
	/** Most cores or accelerators of the service are in use, see
	 * CONTENDED_SHARE in candidates.c. */
	bool contended;
	/** Most of the service is idle, see UNDERUSED_SHARE in candidates.c. */
	bool underused;
	/** Steps that are not started, as their tasks would probably be
	 * preempted before they end. */
	unsigned n_held_back;
	unsigned n_steps_visited; /**< ready steps that were looked at */
	GPtrArray *backends; /**< mt_backend_t, in the order of plan.servers */
	/** Maps mt_backend_t to its index in `backends` plus one. */
	GHashTable *backend_index;
	GArray *candidates; /**< mt_candidate_step_t, in the order of plan.units
			     */
	GPtrArray *victims; /**< mt_dag_task_t, in the order of plan.victims */
	/** Maps steps to their mt_planner_time_left(), int64_t. */
	GHashTable *times_left;
	GHashTable *guaranteed; /**< set of mt_dag_job_t, see
				   mt_guarantees_find() */
	/** See mt_account_use_find(); NULL unless load is to be shed and the
	 * service is contended. */
	GHashTable *account_use;
	double even_share_cores; /**< mean of `account_use` */
	mt_plan_t plan;
} mt_planner_t;

/** True if tasks of the service may be placed on the server now. */
bool mt_planner_may_use(const mt_planner_t *planner,
			const mt_backend_t *backend);

/** See mt_backend_t.suspect_until. */
bool mt_planner_is_suspect(const mt_planner_t *planner,
			   const mt_backend_t *backend);

/** See mt_backend_t.cold_until. */
bool mt_planner_is_cold(const mt_planner_t *planner,
			const mt_backend_t *backend);

/** Fills `candidates` with the steps that may start, in scheduling order. */
void mt_candidates_collect(mt_planner_t *planner);

/**
 * Time left until the latest end of the step with which its job meets its
 * objective, in ms; negative once it has passed. It is the step's share, by
 * estimated run time, of the time left until the objective.
 */
int64_t mt_planner_time_left(const mt_planner_t *planner,
			     const mt_dag_step_t *step);

/**
 * Weight of work of this priority when a preemption is considered; 1 for
 * priority 0, and less for lower priorities.
 */
double mt_planner_weight(uint32_t priority);

/** Fills the servers of the plan, `backends` and `backend_index`. */
void mt_planner_collect_servers(mt_planner_t *planner);

/** Fills the victims and the ends of the plan, and `victims`. */
void mt_victims_collect(mt_planner_t *planner);

/** True if the waiting steps are to be logged in this pass; notes the time. */
bool mt_wait_log_is_due(mt_engine_t *engine);

/**
 * Logs the state of the service, and the first steps, in scheduling order, that
 * have waited for long and of which the plan has placed no task. Nothing is
 * logged if there are no such steps and none is held back.
 */
void mt_wait_log_write(const mt_planner_t *planner);

#endif
