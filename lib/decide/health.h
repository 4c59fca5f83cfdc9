/**
 * @file health.h
 * Tracks failures of servers and jobs. Servers on which distinct jobs fail are
 * quarantined. Jobs that fail on distinct healthy servers are not tried again.
 * Each job has a limited number of failures, and its attempts are separated by
 * exponential backoff with jitter.
 */
#ifndef MT_DECIDE_HEALTH_H
#define MT_DECIDE_HEALTH_H

#include "kernel/kernel.h"

/** A server is quarantined after this many distinct jobs in a row fail on it.
 */
#define MT_SERVER_MAX_FAILED_JOBS 3

/** A job ends as failed after failures on this many distinct healthy servers.
 */
#define MT_JOB_MAX_FAILED_SERVERS 3

/** A job ends as failed after this many failures on any servers. */
#define MT_JOB_MAX_FAILURES 8

typedef struct mt_health_t mt_health_t;

mt_health_t *mt_health_new(GRand *rand);
void mt_health_free(mt_health_t *health);

/** Records a failure that either the job or the server may have caused. */
void mt_health_record_unclear_failure(mt_health_t *health, const mt_name_t *job,
				      const mt_name_t *server, mt_ms_t now);
/** Records a failure that the job caused, not the server. */
void mt_health_record_job_failure(mt_health_t *health, const mt_name_t *job,
				  const mt_name_t *server, mt_ms_t now);
/** Clears the failures and quarantine count of a server. */
void mt_health_server_succeeded(mt_health_t *health, const mt_name_t *server);

/**
 * Delays the next attempt after one that failed through neither the job nor
 * the server. Recording a failure of the job does this as well.
 */
void mt_health_back_off(mt_health_t *health, const mt_name_t *job, mt_ms_t now);

bool mt_health_is_quarantined(const mt_health_t *health,
			      const mt_name_t *server, mt_ms_t now);

/** True when the job has reached one of its limits and is to end as failed. */
bool mt_health_should_fail_job(const mt_health_t *health, const mt_name_t *job);

bool mt_health_job_failed_on(const mt_health_t *health, const mt_name_t *job,
			     const mt_name_t *server);

/** Earliest time of the job's next attempt; 0 when it may start now. */
mt_ms_t mt_health_not_before(const mt_health_t *health, const mt_name_t *job);

/** Removes the record of a job that has ended. */
void mt_health_forget_job(mt_health_t *health, const mt_name_t *job);

#endif
