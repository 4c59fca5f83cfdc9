/**
 * @file place.h
 * Finds adjacent room for the members of a job: on one server, else in one
 * rack, else in the fewest neighbouring racks. A gang counts as adjacent over
 * at most one rack more than it would need in an empty data centre.
 */
#ifndef MT_DECIDE_PLACE_H
#define MT_DECIDE_PLACE_H

#include "decide/view.h"

/** Free room of one server. */
typedef struct mt_server_capacity_t {
	mt_resources_t free;
	uint32_t slots;
} mt_server_capacity_t;

/** Free room of all servers of a view, as scratch for one decision. */
typedef struct mt_free_capacity_t {
	const mt_view_t *view;
	mt_server_capacity_t *rooms; /**< one per server */
} mt_free_capacity_t;

typedef enum mt_fit_t {
	MT_FIT_BEST,  /**< leaves the least usable room behind */
	MT_FIT_FIRST, /**< the first that fits, in server order */
} mt_fit_t;

/** Room that all runs of the view leave free; servers not usable have none. */
mt_free_capacity_t mt_free_capacity_new(const mt_view_t *view);
mt_free_capacity_t mt_free_capacity_copy(const mt_free_capacity_t *from);
void mt_free_capacity_clear(mt_free_capacity_t *rooms);

void mt_free_capacity_allocate(mt_free_capacity_t *rooms,
			       const mt_shape_t *shape, const GArray *parts);
/** Gives room back, on servers that are usable. */
void mt_free_capacity_release(mt_free_capacity_t *rooms,
			      const mt_shape_t *shape, const GArray *parts);

/** How many members of this size fit on one server. */
uint32_t mt_server_capacity_members(const mt_server_capacity_t *room,
				    const mt_resources_t *each);

/**
 * Places all members or none.
 * @param barred per server: not to be used; or NULL
 * @return the parts (mt_part_t), or NULL when the members do not fit
 */
GArray *mt_place(const mt_free_capacity_t *rooms, const mt_shape_t *shape,
		 const bool *barred, mt_fit_t fit);

/** Free accelerators, and the most of them in two neighbouring racks. */
void mt_free_capacity_measure(const mt_free_capacity_t *rooms,
			      uint32_t *free_accelerators,
			      uint32_t *largest_block);

#endif
