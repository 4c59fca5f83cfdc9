/**
 * @file decide.h
 * The scheduling decision of one data centre: pure, from a view to actions.
 *
 * Waiting jobs are taken in this order: urgent ones, those within their
 * account's guarantee, the rest; inside each class by score. A job within a
 * guarantee that finds no room reclaims it from stoppable work beyond other
 * guarantees. The first other job that finds none gets a reservation; jobs
 * after it are placed only where they do not delay it.
 */
#ifndef MT_DECIDE_DECIDE_H
#define MT_DECIDE_DECIDE_H

#include "decide/guarantee.h"

/** Policies; the first two are baselines for measurements. */
typedef enum mt_policy_mode_t {
	MT_MODE_FIRST_COME, /**< arrival order, first fit, no overtaking */
	MT_MODE_BACKFILL,   /**< the same with reservation and backfill */
	MT_MODE_FULL,
} mt_policy_mode_t;

typedef struct mt_start_t {
	guint wait;    /**< index into mt_view_t.waiting_jobs */
	GArray *parts; /**< of mt_part_t */
} mt_start_t;

typedef enum mt_reclaim_reason_t {
	MT_RECLAIM_GUARANTEE,
	MT_RECLAIM_URGENT,
	MT_RECLAIM_DEFRAGMENT,
} mt_reclaim_reason_t;

typedef struct mt_reclaim_t {
	guint run; /**< index into mt_view_t.runs */
	mt_reclaim_reason_t reason;
} mt_reclaim_t;

typedef struct mt_decision_t {
	GArray *starts;		/**< of mt_start_t */
	GArray *reclaims;	/**< of mt_reclaim_t */
	uint32_t deficit;	/**< guaranteed accelerators without a place */
	uint32_t deficit_after; /**< the same once the starts run */
	uint32_t deficit_when_empty; /**< the same if nothing were running */
	bool reserved;		     /**< a job holds the reservation */
	guint reserved_job;	     /**< its index */
	mt_ms_t reserved_start;	     /**< when it is expected to start */
	uint32_t free_accelerators;
	uint32_t largest_free_block;
} mt_decision_t;

mt_decision_t *mt_decide(const mt_view_t *view, mt_policy_mode_t mode);
void mt_decision_free(mt_decision_t *decision);

/** Score of a waiting job inside its class; higher goes first. */
double mt_waiting_job_score(const mt_view_t *view,
			    const mt_view_waiting_job_t *wait);

#endif
