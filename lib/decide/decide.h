/**
 * @file decide.h
 * Makes one scheduling decision for a data centre: which waiting jobs to
 * start where, and which runs to stop. The decision is a pure function of a
 * view.
 *
 * Waiting jobs are considered in three classes: urgent jobs, guaranteed jobs
 * (see guarantee.h) and all others; by score within each class. An urgent or
 * guaranteed job that finds no free capacity reclaims capacity from runs that
 * can be stopped and are not guaranteed. Where the policy prefers large jobs, a
 * guaranteed job may also reclaim capacity from smaller runs of its own
 * account.
 *
 * Of the jobs that can neither be placed nor reclaim enough capacity, the first
 * one that would fit once the current runs have ended gets a reservation. If
 * this job is a gang that has waited long, it may also reclaim capacity from
 * checkpointable runs (defragmentation). Later jobs are placed only where they
 * do not delay the reserved job (backfill), except urgent and guaranteed jobs,
 * which may take reserved capacity.
 */
#ifndef MT_DECIDE_DECIDE_H
#define MT_DECIDE_DECIDE_H

#include "decide/guarantee.h"

/**
 * Scheduling algorithms. The first two are baselines for benchmarks; the
 * description of this file is that of MT_ALGORITHM_FULL.
 */
typedef enum mt_algorithm_t {
	/** Arrival order, first fit; stops at a job that does not fit. */
	MT_ALGORITHM_FIRST_COME,
	/** Arrival order, first fit, with reservation and backfill. */
	MT_ALGORITHM_BACKFILL,
	/**
	 * Best fit, with reservation and backfill, and also with classes,
	 * scores, guarantees and reclaims.
	 */
	MT_ALGORITHM_FULL,
} mt_algorithm_t;

typedef struct mt_start_t {
	guint waiting_job_index; /**< into mt_view_t.waiting_jobs */
	GArray *parts;		 /**< of mt_part_t */
} mt_start_t;

typedef enum mt_reclaim_reason_t {
	MT_RECLAIM_GUARANTEE,  /**< for a guaranteed job */
	MT_RECLAIM_URGENT,     /**< for an urgent job */
	MT_RECLAIM_DEFRAGMENT, /**< for a gang that needs adjacent capacity */
} mt_reclaim_reason_t;

/** A run to stop, so that its capacity is reclaimed. */
typedef struct mt_reclaim_t {
	guint run; /**< index into mt_view_t.runs */
	mt_reclaim_reason_t reason;
} mt_reclaim_t;

typedef struct mt_decision_t {
	GArray *starts;	  /**< of mt_start_t */
	GArray *reclaims; /**< of mt_reclaim_t */
	/** mt_guarantee_deficit(), given the runs of the view. */
	uint32_t deficit;
	uint32_t deficit_after;	     /**< given also the runs of `starts` */
	uint32_t deficit_when_empty; /**< given no runs at all */
	bool reserved;		     /**< a waiting job has a reservation */
	guint reserved_job;	     /**< index into mt_view_t.waiting_jobs */
	mt_ms_t reserved_start;	     /**< expected start of that job */
	uint32_t free_accelerators;  /**< before `starts` */
	/**
	 * Most free accelerators in any two neighbouring racks, before
	 * `starts`.
	 */
	uint32_t largest_free_block;
} mt_decision_t;

mt_decision_t *mt_decide(const mt_view_t *view, mt_algorithm_t algorithm);
void mt_decision_free(mt_decision_t *decision);

#endif
