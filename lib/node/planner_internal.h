/**
 * @file planner_internal.h
 * Declarations shared by the source files of the planner:
 *  - planner.c: makes a decision and carries it out;
 *  - planner_view.c: builds the view for a decision;
 *  - planner_feasibility.c: tells whether a job can ever run.
 */
#ifndef MT_NODE_PLANNER_INTERNAL_H
#define MT_NODE_PLANNER_INTERNAL_H

#include "node/planner.h"

/**
 * Scheduling history of a job, kept between decisions. A job has a run from the
 * run's creation until the run is dropped, also while the run waits for its
 * claim or is unwound.
 */
typedef struct mt_job_history_t {
	bool had_run;
	/**
	 * Time of the last decision at which the job had a run; valid if
	 * `had_run`.
	 */
	mt_ms_t run_last_seen_at;
	mt_ms_t guaranteed_since; /**< 0: not waiting, or not guaranteed */
} mt_job_history_t;

struct mt_planner_t {
	mt_planner_deps_t deps;
	GHashTable *histories; /**< job id to mt_job_history_t */
	mt_planner_summary_t summary;
};

/** A view of this data centre, with the tables needed to build it. */
typedef struct mt_view_builder_t {
	mt_view_t *view;
	/* Server id or account name to index + 1; 0 means not found. */
	GHashTable *server_index;
	GHashTable *account_index;
	GPtrArray *masks; /**< arrays of bool that the view refers to; owned */
} mt_view_builder_t;

mt_view_builder_t mt_view_builder_new(const mt_planner_t *planner);

/** Frees the view, too. */
void mt_view_builder_clear(mt_view_builder_t *builder);

mt_view_server_t mt_planner_view_server(const mt_server_info_t *info);

/** An account with its quota in `dc`; without a quota its limit is zero. */
mt_view_account_t mt_planner_view_account(const mt_planner_t *planner,
					  const mt_name_t *name,
					  const mt_name_t *dc);

/** Records that the job has a run at the time of this decision. */
void mt_planner_record_run(const mt_planner_t *planner, const mt_job_id_t *job);

/** Time since the job last had a run here, or else since its acceptance. */
mt_ms_t mt_planner_time_in_queue(const mt_planner_t *planner,
				 const mt_job_t *job);

#endif
