/**
 * @file guarantee.h
 * Which runs stand within their account's guarantee, which may be reclaimed,
 * and whether all unused guarantees can still be placed at once.
 */
#ifndef MT_DECIDE_GUARANTEE_H
#define MT_DECIDE_GUARANTEE_H

#include "decide/place.h"

/** Use of one account in the data centre. */
typedef struct mt_account_usage_t {
	mt_resources_t total;
	mt_resources_t guaranteed; /**< part that counts as the guarantee's */
	GArray *steps; /**< how it grows from the largest run to the least */
} mt_account_usage_t;

/**
 * Runs that cannot be stopped count first, as far as the guarantee goes; then
 * the others, each if it lies within what is left as a whole: the oldest
 * first, or, where the policy prefers shapes, the largest first. In the latter
 * case an account's small work never stands in the way of its own shape.
 */
typedef struct mt_guarantee_usage_t {
	guint accounts;
	mt_account_usage_t *uses; /**< per account */
	bool *reclaimable; /**< per run: beyond its guarantee and stoppable */
} mt_guarantee_usage_t;

mt_guarantee_usage_t mt_guarantee_usage_new(const mt_view_t *view);
void mt_guarantee_usage_clear(mt_guarantee_usage_t *standing);

/**
 * True when `more` lies within what is left of the account's guarantee. Where
 * the policy prefers shapes, smaller runs that can be stopped do not count.
 */
bool mt_guarantee_covers(const mt_view_t *view,
			 const mt_guarantee_usage_t *standing, uint32_t account,
			 const mt_shape_t *more);

/**
 * Which waiting jobs are entitled to room by their account's guarantee. Of
 * jobs that lie within it one by one but not together, the largest come
 * first, then those that have waited longest.
 * @return one flag per wait, freed with g_free()
 */
bool *mt_guarantee_entitled(const mt_view_t *view);

/** True when `more` keeps the account within its limit. */
bool mt_limit_allows(const mt_view_t *view,
		     const mt_guarantee_usage_t *standing, uint32_t account,
		     const mt_shape_t *more);

/**
 * Places the unused guarantee of every account, the largest blocks first,
 * into `rooms` (free and reclaimable room together).
 * @return accelerators that found no place; 0 when all guarantees hold
 */
uint32_t mt_guarantee_deficit(const mt_free_capacity_t *rooms,
			      const mt_guarantee_usage_t *standing);

/** Free room with all room that can be reclaimed added. */
mt_free_capacity_t
mt_free_capacity_with_reclaimable(const mt_free_capacity_t *free_rooms,
				  const mt_guarantee_usage_t *standing);

#endif
