/**
 * @file health.h
 * Evidence on failures: servers that fail distinct jobs are quarantined, jobs
 * that fail on distinct healthy servers are given up. Each job has a retry
 * budget with growing, jittered backoff.
 */
#ifndef MT_DECIDE_HEALTH_H
#define MT_DECIDE_HEALTH_H

#include "kernel/kernel.h"

/** Distinct jobs in a row that fail on a server before it is quarantined. */
#define MT_SERVER_MAX_FAILED_JOBS 3

/** Distinct healthy servers on which a job fails before it is given up. */
#define MT_JOB_MAX_FAILED_SERVERS 3

/** Failures of one job before it is given up, whatever the servers. */
#define MT_JOB_MAX_FAILURES 8

typedef struct mt_health_t mt_health_t;

mt_health_t *mt_health_new(GRand *rand);
void mt_health_free(mt_health_t *health);

void mt_health_task_failed(mt_health_t *health, const mt_name_t *job,
			   const mt_name_t *server, mt_ms_t now);
/** Records a failure that is the job's own, whatever the server. */
void mt_health_job_failed(mt_health_t *health, const mt_name_t *job,
			  const mt_name_t *server, mt_ms_t now);
void mt_health_server_succeeded(mt_health_t *health, const mt_name_t *server);

/** Counts an attempt that ended without evidence against job or server. */
void mt_health_back_off(mt_health_t *health, const mt_name_t *job, mt_ms_t now);

bool mt_health_is_quarantined(const mt_health_t *health,
			      const mt_name_t *server, mt_ms_t now);

/** True when the evidence is against the job. */
bool mt_health_should_fail_job(const mt_health_t *health, const mt_name_t *job);

/** True when the job has failed on this server. */
bool mt_health_job_failed_on(const mt_health_t *health, const mt_name_t *job,
			     const mt_name_t *server);

/** Earliest time of the job's next attempt; 0 when it may start now. */
mt_ms_t mt_health_not_before(const mt_health_t *health, const mt_name_t *job);

/** Drops what is known of a job that has ended. */
void mt_health_forget_job(mt_health_t *health, const mt_name_t *job);

#endif
