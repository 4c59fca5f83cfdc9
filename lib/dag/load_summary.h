/**
 * @file load_summary.h
 * Summarizes the load of each service for the leader record: the work that
 * waits and runs, the rate at which work is completed, and what accounts use
 * beyond their guarantees. All hosts decide by it whether to accept new jobs,
 * see admission.h.
 *
 * Work is counted in core-milliseconds by the estimates of run times; an
 * accelerator counts as MT_CORES_PER_GPU cores. As the completed work is
 * counted by the same estimates, wrong estimates change the expected waits
 * little.
 */
#ifndef MT_DAG_LOAD_SUMMARY_H
#define MT_DAG_LOAD_SUMMARY_H

#include "dag/job_model.h"

/** Maximum number of services in a summary, and of accounts of a service. */
#define MT_LOAD_SERVICES_MAX 4u
#define MT_LOAD_ACCOUNTS_MAX 8u

/** Priorities from this one on are counted together. */
#define MT_LOAD_PRIORITY_MAX 3u

/** Defined in engine_internal.h. */
struct mt_engine_t;

typedef struct mt_load_summary_t mt_load_summary_t;

mt_load_summary_t *mt_load_summary_new(void);
void mt_load_summary_free(mt_load_summary_t *summary);

/** Counts `count` tasks of the step as completed. */
void mt_load_summary_note_done(mt_load_summary_t *summary,
			       const mt_dag_step_t *step, uint32_t count);

/** Computes the summary anew, unless that was done within the last second. */
void mt_load_summary_update(mt_load_summary_t *summary,
			    const struct mt_engine_t *engine);

/** Sets the gauges of the load to 0, as this host leads no more. */
void mt_load_summary_reset_gauges(const mt_load_summary_t *summary,
				  const struct mt_engine_t *engine);

/**
 * Lists the contended services. The list is valid until the next call of
 * mt_load_summary_update().
 * @return number of elements of `list`
 */
size_t mt_load_summary_list(const mt_load_summary_t *summary,
			    MtDag__Pressure ***list);

#endif
