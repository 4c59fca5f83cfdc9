/**
 * @file refresher.h
 * The refresher restates jobs and lists, that is, appends their current state
 * to the log again before the log drops the records that it was built from. A
 * job is restated as a Carry record, the lists as one ListSnapshot record.
 *
 * Every host checks which state is old. The higher its rendezvous rank for the
 * state (see mt_membership_rank()), the longer a host waits, so that usually
 * only the host of rank 0 appends.
 */
#ifndef MT_NODE_REFRESHER_H
#define MT_NODE_REFRESHER_H

#include "jobs/jobs.h"
#include "lists/lists.h"
#include "node/appender.h"
#include "node/membership.h"
#include "node/tail.h"

typedef struct mt_refresher_t mt_refresher_t;

typedef struct mt_refresher_deps_t {
	mt_kernel_t *kernel;
	mt_jobs_t *jobs;
	mt_lists_t *lists;
	mt_membership_t *membership;
	mt_tail_t *job_tail;
	mt_tail_t *list_tail;
	mt_appender_t *job_appender;
	mt_appender_t *list_appender;
} mt_refresher_deps_t;

mt_refresher_t *mt_refresher_new(const mt_refresher_deps_t *deps);
void mt_refresher_free(mt_refresher_t *refresher);
void mt_refresher_start(mt_refresher_t *refresher);

#endif
