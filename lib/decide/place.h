/**
 * @file place.h
 * Places the members of a job adjacent to one another: on one server, else in
 * one rack, else in the fewest neighbouring racks. A gang counts as adjacent in
 * one more rack than it would need if all racks were empty and as large as the
 * largest one. It is not placed in more racks.
 */
#ifndef MT_DECIDE_PLACE_H
#define MT_DECIDE_PLACE_H

#include "decide/view.h"

/** Free capacity of one server. */
typedef struct mt_server_capacity_t {
	mt_resources_t free;
	uint32_t slots; /**< number of free slots; each member takes one */
} mt_server_capacity_t;

/** Free capacity of all servers of a view; a working copy for one decision. */
typedef struct mt_free_capacity_t {
	const mt_view_t *view;
	mt_server_capacity_t *per_server; /**< indexed like mt_view_t.servers */
} mt_free_capacity_t;

/** Which server or racks to choose if several have room for all members. */
typedef enum mt_fit_t {
	/** The server that is left with the least free capacity; among racks,
	 * those with the least room for members. */
	MT_FIT_BEST,
	/** The first server, else the first racks, in the order of the view. */
	MT_FIT_FIRST,
} mt_fit_t;

/** The capacity that the runs of the view leave free on usable servers. */
mt_free_capacity_t mt_free_capacity_new(const mt_view_t *view);
mt_free_capacity_t mt_free_capacity_copy(const mt_free_capacity_t *from);
void mt_free_capacity_clear(mt_free_capacity_t *free_capacity);

/** Takes capacity from the servers, but never more than is free. */
void mt_free_capacity_allocate(mt_free_capacity_t *free_capacity,
			       const mt_shape_t *shape, const GArray *parts);
/** Returns capacity to the servers, except to unusable ones. */
void mt_free_capacity_release(mt_free_capacity_t *free_capacity,
			      const mt_shape_t *shape, const GArray *parts);

/**
 * Places all members or none.
 * @param excluded per server: true if it must not be used; or NULL
 * @return the parts (mt_part_t), or NULL when not all members fit
 */
GArray *mt_place(const mt_free_capacity_t *free_capacity,
		 const mt_shape_t *shape, const bool *excluded, mt_fit_t fit);

/**
 * Counts the free accelerators of all servers.
 * @param largest_block receives the most free accelerators in any two
 *                      neighbouring racks
 */
void mt_free_capacity_measure(const mt_free_capacity_t *free_capacity,
			      uint32_t *free_accelerators,
			      uint32_t *largest_block);

#endif
