/**
 * @file callers.h
 * Callers: simulated clients of the job API. They submit, poll and cancel jobs
 * at random hosts. They check the answers against each other and against the
 * audit of the tasks (mt_audit_t).
 */
#ifndef MT_TESTS_SOAK_CALLERS_H
#define MT_TESTS_SOAK_CALLERS_H

#include "soak/world.h"

typedef struct mt_callers_t mt_callers_t;

mt_callers_t *mt_callers_new(mt_world_t *world);
void mt_callers_free(mt_callers_t *callers);

/** Submits one job of a random kind. */
void mt_callers_submit(mt_callers_t *callers);

/**
 * Cancels up to `count` jobs, the newest first. Skips jobs whose end the caller
 * knows, and jobs for which it has already sent a cancellation.
 */
void mt_callers_cancel_some(mt_callers_t *callers, guint count);

/** Number of jobs whose end has not been reported to their caller yet. */
guint mt_callers_open_jobs(const mt_callers_t *callers);

/** Checks all jobs and the audit. Each failed check is a breach. */
void mt_callers_check_all(mt_callers_t *callers);

/** Prints the number of jobs by outcome. */
void mt_callers_print_summary(const mt_callers_t *callers);

/** Number of client accounts that submit jobs. */
#define MT_SOAK_ACCOUNTS 4
const char *mt_soak_account_name(guint index);

#endif
