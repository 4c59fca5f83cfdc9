/**
 * @file guarantee.h
 * Determines which runs and waiting jobs are guaranteed, that is, covered by
 * their account's guarantee; from which runs capacity may be reclaimed; and
 * whether all unused guarantees can be placed at the same time.
 */
#ifndef MT_DECIDE_GUARANTEE_H
#define MT_DECIDE_GUARANTEE_H

#include "decide/place.h"

/** Resources that the runs of one account use in the data centre. */
typedef struct mt_account_usage_t {
	mt_resources_t total;
	mt_resources_t guaranteed; /**< the part that the guarantee covers */
	GArray *guaranteed_jobs;   /**< private to guarantee.c */
} mt_account_usage_t;

/**
 * How the runs use the guarantees. Runs that cannot be stopped are counted
 * first, and may be covered in part. A run that can be stopped is covered only
 * if the rest of the guarantee covers it entirely. These runs are counted from
 * the oldest to the newest or, where the policy prefers large jobs, from the
 * largest to the smallest, so that an account's small jobs never use up the
 * guarantee that its large ones need.
 */
typedef struct mt_guarantee_usage_t {
	guint n_accounts;		 /**< length of `per_account` */
	mt_account_usage_t *per_account; /**< indexed like mt_view_t.accounts */
	/**
	 * Per run of the view: whether its capacity may be reclaimed, that is,
	 * used for another job. This is so if the run is ending, or if it can
	 * be stopped and is not guaranteed.
	 */
	bool *reclaimable;
} mt_guarantee_usage_t;

mt_guarantee_usage_t mt_guarantee_usage_new(const mt_view_t *view);
void mt_guarantee_usage_clear(mt_guarantee_usage_t *usage);

/**
 * True when the unused part of the account's guarantee covers `shape`. Where
 * the policy prefers large jobs, runs that can be stopped and have fewer
 * accelerators than `shape` are not counted as use.
 */
bool mt_guarantee_covers(const mt_view_t *view,
			 const mt_guarantee_usage_t *usage, uint32_t account,
			 const mt_shape_t *shape);

/**
 * Determines which waiting jobs are covered by the unused part of their
 * account's guarantee. If it covers each of several jobs alone but not all
 * together, the larger ones take precedence whatever the policy prefers, and
 * among jobs of one size those that have waited longest.
 * @return one flag per waiting job; free it with g_free()
 */
bool *mt_guarantee_covered_jobs(const mt_view_t *view);

/** True when the account stays within its limit if `shape` is added. */
bool mt_limit_allows(const mt_view_t *view, const mt_guarantee_usage_t *usage,
		     uint32_t account, const mt_shape_t *shape);

/**
 * Tries to place the unused guarantees of all accounts at the same time, except
 * those without unused accelerators. Each one is split into blocks of
 * accelerators that must be adjacent (see
 * mt_view_account_t.guarantee_adjacent); the largest of these guarantee blocks
 * are placed first.
 * @param obtainable_capacity free and reclaimable capacity together
 * @return number of accelerators in the guarantee blocks that cannot be placed;
 *         0 when all guarantees can be met
 */
uint32_t mt_guarantee_deficit(const mt_free_capacity_t *obtainable_capacity,
			      const mt_guarantee_usage_t *usage);

/** Returns the free capacity plus that of all runs marked `reclaimable`. */
mt_free_capacity_t
mt_free_capacity_with_reclaimable(const mt_free_capacity_t *free_capacity,
				  const mt_guarantee_usage_t *usage);

#endif
