/**
 * @file health.h
 * Tracks failures of servers and jobs. Servers on which distinct jobs fail are
 * quarantined: they get no new work for a while. Jobs that fail on distinct
 * servers are not run again, nor are jobs that fail too often. After a failure,
 * a job waits for an exponential backoff with jitter. Jobs are given by their
 * id as text, servers by their name.
 */
#ifndef MT_DECIDE_HEALTH_H
#define MT_DECIDE_HEALTH_H

#include "kernel/kernel.h"

/**
 * A server is quarantined after this many distinct jobs in a row fail on it.
 * After a quarantine, one failure is enough until a job succeeds there.
 */
#define MT_SERVER_MAX_FAILED_JOBS 3

/**
 * A job ends as failed after failures on this many distinct servers. Servers
 * that were quarantined and on which no job has succeeded since do not count.
 */
#define MT_JOB_MAX_FAILED_SERVERS 3

/** A job ends as failed after this many failures on any servers. */
#define MT_JOB_MAX_FAILURES 8

typedef struct mt_health_t mt_health_t;

mt_health_t *mt_health_new(GRand *rand);
void mt_health_free(mt_health_t *health);

/**
 * Records a failure that either the job or the server may have caused. It
 * counts against both.
 */
void mt_health_record_unclear_failure(mt_health_t *health,
				      const mt_name_t *job_text,
				      const mt_name_t *server_name,
				      mt_ms_t now);
/** Records a failure that the job caused, not the server. */
void mt_health_record_job_failure(mt_health_t *health,
				  const mt_name_t *job_text,
				  const mt_name_t *server_name, mt_ms_t now);
/**
 * Records that a job has succeeded on the server: clears the server's failures
 * and its number of quarantines. A current quarantine still lasts to its end.
 */
void mt_health_server_succeeded(mt_health_t *health,
				const mt_name_t *server_name);

/**
 * Delays the job's next run after a failure that counts against neither the job
 * nor the server, such as the loss of a server. The two functions that record a
 * failure also delay the next run.
 */
void mt_health_back_off(mt_health_t *health, const mt_name_t *job_text,
			mt_ms_t now);

bool mt_health_is_quarantined(const mt_health_t *health,
			      const mt_name_t *server_name, mt_ms_t now);

/**
 * True when the job has reached MT_JOB_MAX_FAILED_SERVERS or
 * MT_JOB_MAX_FAILURES and is to end as failed.
 */
bool mt_health_should_fail_job(const mt_health_t *health,
			       const mt_name_t *job_text);

bool mt_health_job_failed_on(const mt_health_t *health,
			     const mt_name_t *job_text,
			     const mt_name_t *server_name);

/** Earliest start of the job's next run; 0 if it has never been delayed. */
mt_ms_t mt_health_not_before(const mt_health_t *health,
			     const mt_name_t *job_text);

/** Removes the failures of a job that has ended. */
void mt_health_forget_job(mt_health_t *health, const mt_name_t *job_text);

#endif
