/**
 * @file planner.h
 * Turns what the scheduler knows into a view, and a decision into starts and
 * reclaims.
 */
#ifndef MT_NODE_PLANNER_H
#define MT_NODE_PLANNER_H

#include "decide/decide.h"
#include "lists/lists.h"
#include "node/runner.h"
#include "node/slo.h"
#include "node/tail.h"

typedef struct mt_planner_t mt_planner_t;

typedef struct mt_planner_deps_t {
	mt_kernel_t *kernel;
	const mt_settings_t *settings;
	mt_jobs_t *jobs;
	mt_lists_t *lists;
	mt_fleet_t *fleet;
	mt_runner_t *runner;
	mt_health_t *health;
	mt_estimator_t *estimator;
	mt_slo_t *slo;
	mt_tail_t *tail;
} mt_planner_deps_t;

/** What the last decision saw. */
typedef struct mt_planner_summary_t {
	uint32_t free_accelerators;
	uint32_t largest_free_block;
	uint32_t queued_accelerators;
	uint32_t total_accelerators;
	uint32_t waiting;
	uint32_t deficit;
	uint32_t deficit_when_empty;
} mt_planner_summary_t;

mt_planner_t *mt_planner_new(const mt_planner_deps_t *deps);
void mt_planner_free(mt_planner_t *planner);

/** Decides once and carries the decision out. */
void mt_planner_decide(mt_planner_t *planner);

/** Drops what is kept of a job that has ended. */
void mt_planner_forget_job(mt_planner_t *planner, const mt_job_id_t *job);

const mt_planner_summary_t *mt_planner_summary(const mt_planner_t *planner);

/** How long the job has waited since its acceptance. */
mt_ms_t mt_planner_waited(const mt_planner_t *planner, const mt_job_t *job);

/**
 * Why the job cannot run in this data centre even if nothing else ran there;
 * NULL when it can.
 * @param elsewhere set to a data centre in which it can, or to no name
 */
const char *mt_planner_infeasible_reason(const mt_planner_t *planner,
					 const mt_job_t *job,
					 mt_name_t *elsewhere);

/** True when the job waits for a run here and now. */
bool mt_planner_is_waiting(const mt_planner_t *planner, const mt_job_t *job);

/** Sizes that a job declares. */
mt_shape_t mt_spec_shape(const MtPb__Spec *spec);

#endif
