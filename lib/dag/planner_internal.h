/**
 * @file planner_internal.h
 * Shared by the files of the planner: candidates.c (what waits, and in which
 * order) and planner.c (the view for the plan, and what follows from it).
 */
#ifndef MT_DAG_PLANNER_INTERNAL_H
#define MT_DAG_PLANNER_INTERNAL_H

#include "dag/engine_internal.h"

/** One unit of the plan and the step that it comes from. */
typedef struct mt_candidate_step_t {
	mt_dag_step_t *step;
	uint32_t count;
	bool guaranteed;
	int64_t latest_start_ms; /**< own time by which it should have started
				  */
	mt_ms_t waited_ms;
} mt_candidate_step_t;

typedef struct mt_planner_t {
	mt_engine_t *engine;
	mt_ms_t now;
	int64_t wall_ms;
	const mt_name_t *service;
	bool contended;		/**< most of the service's room is in use */
	GPtrArray *backends;	/**< mt_backend_t, in the order of the plan */
	GHashTable *index;	/**< backend to index plus one */
	GArray *candidates;	/**< mt_candidate_step_t */
	GPtrArray *victims;	/**< mt_dag_task_t, in the order of the plan */
	GHashTable *guaranteed; /**< jobs within their guarantee */
	mt_plan_t plan;
} mt_planner_t;

/** True when tasks may be placed on the server now. */
bool mt_planner_may_use(const mt_planner_t *planner,
			const mt_backend_t *backend);

/** Lists the steps that wait and may start, in the order of their turns. */
void mt_candidates_collect(mt_planner_t *planner);

#endif
