/**
 * @file scheduler.h
 * The scheduler of a data centre, normally active on one of its hosts. It
 * takes over when the membership elects this host, runs the planner, refuses
 * jobs that can never run, moves jobs between data centres, and hands over
 * when the host drains.
 */
#ifndef MT_NODE_SCHEDULER_H
#define MT_NODE_SCHEDULER_H

#include "node/membership.h"
#include "node/planner.h"

typedef struct mt_scheduler_t mt_scheduler_t;

typedef struct mt_scheduler_deps_t {
	mt_kernel_t *kernel;
	const mt_settings_t *settings;
	mt_jobs_t *jobs;
	mt_lists_t *lists;
	mt_fleet_t *fleet;
	mt_runner_t *runner;
	mt_planner_t *planner;
	mt_appender_t *appender;
	mt_membership_t *membership;
	mt_tail_t *tail;
	mt_slo_t *slo;
} mt_scheduler_deps_t;

mt_scheduler_t *mt_scheduler_new(const mt_scheduler_deps_t *deps);
void mt_scheduler_free(mt_scheduler_t *scheduler);
void mt_scheduler_start(mt_scheduler_t *scheduler);

/** Starts no further jobs and hands the data centre over to another host. */
void mt_scheduler_drain(mt_scheduler_t *scheduler);

/**
 * True when this host holds no server leases and has no runs, since it has
 * handed over or has never been the scheduler. During the handover, neither
 * this nor mt_scheduler_is_scheduling() is true.
 */
bool mt_scheduler_has_released_all(const mt_scheduler_t *scheduler);

/** True while this host schedules its data centre and is not handing over. */
bool mt_scheduler_is_scheduling(const mt_scheduler_t *scheduler);

/** Requests a decision after a change that may affect it. */
void mt_scheduler_request_decision(mt_scheduler_t *scheduler);

void mt_scheduler_on_job(mt_scheduler_t *scheduler, mt_job_t *job,
			 mt_job_change_t change);

#endif
