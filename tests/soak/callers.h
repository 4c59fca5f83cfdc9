/**
 * @file callers.h
 * Simulated clients, which submit jobs, poll and cancel them at random hosts,
 * and check the answers against each other and against the audit of tasks.
 */
#ifndef MT_TESTS_SOAK_CALLERS_H
#define MT_TESTS_SOAK_CALLERS_H

#include "soak/world.h"

typedef struct mt_callers_t mt_callers_t;

mt_callers_t *mt_callers_new(mt_world_t *world);
void mt_callers_free(mt_callers_t *callers);

/** Submits one job of a random kind. */
void mt_callers_submit(mt_callers_t *callers);

/** Cancels up to `count` jobs that have not ended. */
void mt_callers_cancel_some(mt_callers_t *callers, guint count);

/** Number of jobs whose end has not been reported yet. */
guint mt_callers_open_jobs(const mt_callers_t *callers);

/** Checks all jobs and the audit; violations go to mt_world_breach(). */
void mt_callers_check_all(mt_callers_t *callers);

/** Prints the number of jobs by outcome. */
void mt_callers_print_summary(const mt_callers_t *callers);

/** Number of client accounts that submit jobs. */
#define MT_SOAK_ACCOUNTS 4
const char *mt_soak_account_name(guint index);

#endif
