/**
 * @file scheduler_internal.h
 * Declarations shared by the source files of the scheduler:
 *  - scheduler.c: takes over a data centre, schedules it, hands it over;
 *  - scheduler_jobs.c: jobs that are handled without a decision;
 *  - scheduler_moves.c: moves of jobs between data centres.
 */
#ifndef MT_NODE_SCHEDULER_INTERNAL_H
#define MT_NODE_SCHEDULER_INTERNAL_H

#include "node/scheduler.h"

struct mt_scheduler_t {
	mt_scheduler_deps_t deps;
	bool draining;
	bool handing_over;
	mt_ms_t active_since;
	mt_ms_t handover_since;
	uint64_t tick_timer;
	uint64_t periodic_decide_timer;
	uint64_t decide_timer;
	uint64_t move_timer;
	/** Job id to mt_feasibility_check_t (in scheduler_jobs.c). */
	GHashTable *feasibility_checks;
};

mt_ms_t mt_scheduler_now(const mt_scheduler_t *scheduler);

/** True when this host schedules and has loaded all state that it needs. */
bool mt_scheduler_may_decide(const mt_scheduler_t *scheduler);

/** A copy of the table of live jobs, since processing a job may drop it. */
GPtrArray *mt_scheduler_live_jobs(const mt_scheduler_t *scheduler);

/**
 * Recovers claims, ends cancelled jobs, and refuses or moves jobs that can
 * never run here.
 */
void mt_scheduler_process_jobs(mt_scheduler_t *scheduler);

/** Appends a Move record of the job to `dc`. */
void mt_scheduler_submit_move(mt_scheduler_t *scheduler, const mt_job_t *job,
			      const mt_name_t *dc);

/**
 * Moves jobs of lost data centres here, and jobs that have waited long enough
 * to data centres with free capacity.
 */
void mt_scheduler_move_jobs(mt_scheduler_t *scheduler);

#endif
