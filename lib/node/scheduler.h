/**
 * @file scheduler.h
 * The schedulers' duties of one host: takes over its data centre when
 * membership says so, decides, closes jobs that cannot run, moves jobs
 * between data centres, hands over on a drain.
 */
#ifndef MT_NODE_SCHEDULER_H
#define MT_NODE_SCHEDULER_H

#include "node/members.h"
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
	mt_members_t *members;
	mt_tail_t *tail;
	mt_slo_t *slo;
} mt_scheduler_deps_t;

mt_scheduler_t *mt_scheduler_new(const mt_scheduler_deps_t *deps);
void mt_scheduler_free(mt_scheduler_t *scheduler);
void mt_scheduler_start(mt_scheduler_t *scheduler);

/** Hands the data centre over; no new work is started from now on. */
void mt_scheduler_drain(mt_scheduler_t *scheduler);

/** True when this host holds no lease and has no run. */
bool mt_scheduler_is_idle(const mt_scheduler_t *scheduler);

/** True while this host schedules its data centre. */
bool mt_scheduler_is_active(const mt_scheduler_t *scheduler);

/** Something changed that a decision depends on. */
void mt_scheduler_request_decision(mt_scheduler_t *scheduler);

void mt_scheduler_on_job(mt_scheduler_t *scheduler, mt_job_t *job,
			 mt_job_change_t change);

#endif
