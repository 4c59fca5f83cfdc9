/**
 * @file planner.h
 * Builds the input of the scheduling decision, an mt_view_t, from the state
 * of the host, and carries out the decision's starts and reclaims. The planner
 * is not related to the operators' list of plans (see lists.h).
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

/** Figures of the last decision, for the status page and other hosts. */
typedef struct mt_planner_summary_t {
	uint32_t free_accelerators;
	uint32_t largest_free_block;  /**< see mt_decision_t */
	uint32_t queued_accelerators; /**< of the jobs counted in `waiting` */
	uint32_t total_accelerators;  /**< of the usable servers */
	uint32_t waiting; /**< number of jobs that may be started now */
	uint32_t deficit; /**< see mt_decision_t */
	uint32_t deficit_when_empty;
} mt_planner_summary_t;

mt_planner_t *mt_planner_new(const mt_planner_deps_t *deps);
void mt_planner_free(mt_planner_t *planner);

/** Makes one decision and carries it out. */
void mt_planner_decide(mt_planner_t *planner);

/** Drops the scheduling history of a job that has ended. */
void mt_planner_forget_job(mt_planner_t *planner, const mt_job_id_t *job);

const mt_planner_summary_t *mt_planner_summary(const mt_planner_t *planner);

/** Time since the job was accepted, by the log's clock; 0 if direct. */
mt_ms_t mt_planner_time_since_acceptance(const mt_planner_t *planner,
					 const mt_job_t *job);

/**
 * Reason why the job cannot run in this data centre even if nothing else ran
 * there; NULL if it can.
 * @param elsewhere set to a data centre where it can run, or to an empty name
 */
const char *mt_planner_infeasible_reason(const mt_planner_t *planner,
					 const mt_job_t *job,
					 mt_name_t *elsewhere);

/**
 * True when the job may be started in this data centre now: it belongs here,
 * has no run, claim or cancellation, its backoff is over, and the log is
 * available if the job needs a claim.
 */
bool mt_planner_is_startable(const mt_planner_t *planner, const mt_job_t *job);

/** Members of a job and the resources that it declares for each. */
mt_shape_t mt_spec_shape(const MtPb__Spec *spec);

#endif
