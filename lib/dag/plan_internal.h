/**
 * @file plan_internal.h
 * Internal interface of the placement plan: plan.c (order and rounds of units),
 * plan_place.c (placement of a unit), plan_reserve.c (reservations),
 * plan_scope.c (resources of a scope), plan_index.c (lookup tables, built once
 * per plan), plan_speed.c (choice of servers by their speeds), plan_pack.c
 * (weights of the resources) and plan_preempt.c (selection of tasks to
 * preempt). A victim is a placed task that may be preempted. The victims of one
 * gang form a victim group, as they are stopped together; every other victim is
 * a group of its own.
 */
#ifndef MT_DAG_PLAN_INTERNAL_H
#define MT_DAG_PLAN_INTERNAL_H

#include "dag/plan.h"

/** The resources of a server that count as available. */
typedef enum mt_capacity_kind_t {
	MT_CAPACITY_FREE,
	/** mt_plan_server_t.free and mt_plan_server_t.releasing. */
	MT_CAPACITY_FREE_OR_RELEASING,
	/** mt_plan_server_t.free, mt_plan_server_t.releasing, and the resources
	 * that the victims selected so far would free (mt_scope_t.freed). */
	MT_CAPACITY_AFTER_PREEMPTION,
	MT_CAPACITY_ROOM, /**< mt_plan_server_t.room */
} mt_capacity_kind_t;

/** The servers of one rack, or all servers. */
typedef struct mt_server_set_t {
	GQuark name;		 /**< of the rack; 0: all servers */
	const uint32_t *servers; /**< indexes into mt_plan_t.servers */
	uint32_t n_servers;
	/** Chosen for a gang by mt_plan_choose_by_speed(). */
	bool is_chosen_by_speed;
} mt_server_set_t;

/** Maximum number of classes; the last one has no upper bound. */
#define MT_SPEED_CLASSES_MAX 16u

/** Classes of servers of similar speeds, slowest first. */
typedef struct mt_speed_classes_t {
	uint32_t n;
	double lowest[MT_SPEED_CLASSES_MAX]; /**< lowest speed of each class */
	uint32_t *of_server;		     /**< class of each server */
} mt_speed_classes_t;

/**
 * Indexes grouped by a key. The indexes with key k are items[i] for
 * start[k] <= i < start[k + 1].
 */
typedef struct mt_buckets_t {
	uint32_t *items;
	uint32_t *start;
	uint32_t n_keys; /**< the keys are 0 to n_keys - 1 */
} mt_buckets_t;

typedef struct mt_plan_index_t {
	mt_server_set_t all;
	mt_server_set_t *racks; /**< in the order of their first servers */
	uint32_t n_racks;
	mt_buckets_t servers_by_rack;	/**< by index into `racks` */
	mt_buckets_t victims_by_server; /**< by index of the server */
	mt_buckets_t victims_by_group;	/**< by mt_plan_victim_t.group */
	double *group_cost;    /**< cost of stopping each victim group */
	uint32_t *all_servers; /**< owned memory of `all.servers` */
	mt_speed_classes_t classes;
} mt_plan_index_t;

/**
 * The servers considered for one unit, and the resources of these servers that
 * count as available.
 */
typedef struct mt_scope_t {
	const mt_plan_t *plan;
	const mt_plan_index_t *index;
	const mt_plan_unit_t *unit;
	const mt_server_set_t *server_set;
	mt_capacity_kind_t kind;
	/**
	 * Per server, the resources that the victims selected so far would
	 * free; NULL: none.
	 */
	const mt_dag_resources_t *freed;
} mt_scope_t;

/** Resources of a server that are reserved for units that cannot start soon. */
typedef struct mt_kept_t {
	mt_dag_resources_t free;
	mt_dag_resources_t releasing;
	uint32_t tasks_left; /**< see mt_plan_server_t.tasks_left */
} mt_kept_t;

/** A plan that is being computed. */
typedef struct mt_plan_run_t {
	mt_plan_t *plan;
	const mt_plan_index_t *index;
	mt_kept_t *kept; /**< per server */
	uint32_t n_limited_reservations;
} mt_plan_run_t;

/** Which speeds a unit prefers. */
typedef struct mt_speed_preference_t {
	/** The faster, the better. Otherwise the slowest servers are preferred
	 * on which the unit is expected to end in time. */
	bool end_soon;
	/** The slowest class on which the unit is expected to end in time; 0 if
	 * `end_soon` is set, or if no class is fast enough. */
	uint32_t in_time_from;
} mt_speed_preference_t;

/** The caller frees the result with mt_plan_index_free(). */
mt_plan_index_t *mt_plan_index_new(const mt_plan_t *plan);
void mt_plan_index_free(mt_plan_index_t *index);

/** The rack with this name, or NULL. */
const mt_server_set_t *mt_plan_index_rack(const mt_plan_index_t *index,
					  GQuark name);

/**
 * True if the unit's tasks may run on the server, whether or not there is room:
 * the server is in mt_plan_unit_t.allowed and has the required label, and it
 * does not run fillers while the unit has a latency target, or the reverse.
 */
bool mt_scope_allows(const mt_scope_t *scope, uint32_t server);

/** The resources of the server that count as available in the scope. */
mt_dag_resources_t mt_scope_available_on(const mt_scope_t *scope,
					 uint32_t server);

/** Number of the unit's tasks that fit on one server. */
uint32_t mt_scope_fit_count_on(const mt_scope_t *scope, uint32_t server);

/**
 * Number of tasks with the needs of the unit that fit on the servers of the
 * scope. Counting ends at the server with which the number reaches unit->count;
 * the result may be higher than unit->count.
 */
uint32_t mt_scope_fit_count(const mt_scope_t *scope);

/**
 * What is left over on a server, as one number: the accelerators or, if the
 * plan has weights, the weighted sum of the shares of its room.
 */
double mt_plan_left_over(const mt_plan_t *plan, uint32_t server,
			 const mt_dag_resources_t *left);

/** Groups the servers of the plan; freed with mt_speed_classes_clear(). */
void mt_speed_classes_init(mt_speed_classes_t *classes, const mt_plan_t *plan);
void mt_speed_classes_clear(mt_speed_classes_t *classes);

/** True if there are several classes. */
bool mt_speed_classes_differ(const mt_speed_classes_t *classes);

mt_speed_preference_t mt_speed_preference_of(const mt_speed_classes_t *classes,
					     const mt_plan_unit_t *unit);

/**
 * Rank of the server among those of the scope, by its speed: lower ranks are
 * used first. On servers chosen for a gang, the slowest come first: the gang
 * ends with its slowest member, and uses less capacity if few are faster.
 */
uint32_t mt_speed_rank(const mt_scope_t *scope,
		       const mt_speed_preference_t *preference,
		       uint32_t server);

/**
 * True if the unit is expected to end late if its slowest task runs on the
 * slowest server of the set. Tasks of one step differ in work, so that this
 * includes a margin.
 */
bool mt_plan_is_late_on(const mt_plan_index_t *index,
			const mt_plan_unit_t *unit,
			const mt_server_set_t *server_set);

/**
 * The slowest class on which the unit ends in time, with the same margin, if it
 * starts once running tasks have been stopped; 0 if all classes are fast
 * enough, or none is.
 */
uint32_t mt_speed_slowest_after_stop(const mt_speed_classes_t *classes,
				     const mt_plan_unit_t *unit);

/**
 * Chooses the servers of similar speed on which a gang uses the least capacity,
 * weighed against the time at which it ends. Only free resources are
 * considered. Servers with a penalty are used only if the gang does not fit
 * otherwise.
 * @param one_rack the servers must belong to one rack
 * @param chosen receives the servers; the caller frees `chosen->servers`
 * @return false if the gang does not fit
 */
bool mt_plan_choose_by_speed(const mt_plan_t *plan,
			     const mt_plan_index_t *index,
			     const mt_plan_unit_t *unit, bool one_rack,
			     mt_server_set_t *chosen);

/**
 * The slowest class on which the unit is in time by its estimated run time; 0
 * if no class is fast enough.
 */
uint32_t mt_speed_slowest_in_time(const mt_speed_classes_t *classes,
				  const mt_plan_unit_t *unit);

/**
 * Time for which the unit can wait and still be in time on a server of speed 1,
 * with a margin; 0: none.
 */
uint32_t mt_plan_spare_ms(const mt_plan_unit_t *unit);

/**
 * Finds runs that end so soon that the unit, if it waits for them, still is in
 * time, and marks them as claimed.
 * @param one_rack as for mt_plan_preempt()
 * @return the rack that will have room first, or the set of all servers; NULL
 * if the unit will not fit in time
 */
const mt_server_set_t *mt_plan_wait_for_ends(mt_plan_t *plan,
					     const mt_plan_index_t *index,
					     const mt_plan_unit_t *unit,
					     bool one_rack);

/**
 * Makes room for a gang on servers that are fast enough for it to end in time:
 * finds room that is being released there, or else preempts tasks of lower
 * priority if that is worth it.
 * @param part receives these servers, of one rack or of all; the caller frees
 * `part->servers`
 * @return false if there is no such room soon enough
 */
bool mt_plan_make_fast_room(mt_plan_t *plan, const mt_plan_index_t *index,
			    const mt_plan_unit_t *unit, bool one_rack,
			    mt_server_set_t *part);

/**
 * Selects victims to stop so that the unit fits, and marks them as preempted.
 * Where speeds differ, only servers on which the unit would be in time are
 * considered, or all for a guaranteed unit that does not fit there.
 * @param one_rack true: the unit must fit into one rack, and the rack with the
 * lowest cost of preemption is used; false: the unit may use all servers
 * @return the rack that is used, or the set of all servers; NULL if the unit
 * does not fit even after preemption, or if the victims cost more than the unit
 * gains, see mt_plan_unit_t.cost_max
 */
const mt_server_set_t *mt_plan_preempt(mt_plan_t *plan,
				       const mt_plan_index_t *index,
				       const mt_plan_unit_t *unit,
				       bool one_rack);

/* plan_place.c */

/**
 * Assigns up to `count` tasks of the unit to servers of the scope.
 * @param chosen receives the server of each assigned task
 * @return the number of assigned tasks
 */
uint32_t mt_plan_assign_servers(const mt_scope_t *scope, uint32_t *chosen,
				uint32_t count);

/**
 * Deducts the resources of the unit's tasks from those of their servers, so
 * that later units cannot use them: first from the free resources, and the
 * rest from the resources being released. Also marks the servers as running
 * fillers or tasks with a latency target.
 */
void mt_plan_allocate(mt_plan_t *plan, const mt_plan_unit_t *unit,
		      const uint32_t *chosen, uint32_t count);

/**
 * Of the racks into which the whole unit fits, returns the one with the fewest
 * available accelerators, or NULL if there is none.
 */
const mt_server_set_t *mt_plan_find_rack_with_fewest_gpus(
	const mt_plan_t *plan, const mt_plan_index_t *index,
	const mt_plan_unit_t *unit, mt_capacity_kind_t kind);

/** True if the speeds of the servers matter for the choice of a set. */
bool mt_plan_chooses_by_speed(const mt_plan_run_t *run,
			      const mt_plan_unit_t *unit);

/**
 * Places tasks of a unit that is restricted to one rack: all of them if they
 * fit into a rack now. Otherwise those that fit, if the unit is restricted only
 * by `data_rack` and is not a gang.
 * @return true if all tasks were placed
 */
bool mt_plan_place_in_rack(const mt_plan_run_t *run, mt_plan_unit_t *unit);

/**
 * Places tasks of a unit that may use all servers.
 * @return true if all tasks were placed
 */
bool mt_plan_place_anywhere(const mt_plan_run_t *run, mt_plan_unit_t *unit);

/* plan_reserve.c */

/**
 * Reserves resources for the tasks of a unit, none of which is placed, so that
 * later units cannot use these resources. Uses free resources and resources
 * being released. Reserves nothing for a gang that cannot fit into the set even
 * if all other tasks there end, as the resources would stay idle in vain.
 * @param soon the whole unit fits once the resources being released are free
 */
void mt_plan_reserve(mt_plan_run_t *run, const mt_plan_unit_t *unit,
		     const mt_server_set_t *server_set, bool soon);

/**
 * The rack into which the largest number of the unit's tasks fits, or NULL if
 * no task fits into any rack. For a gang, only racks are considered into which
 * it would fit if no other task ran there. The caller reserves resources in
 * this rack. As later units cannot use these, the room in this rack grows
 * whenever a task there ends, and so the next plans tend to select this rack
 * again.
 */
const mt_server_set_t *
mt_plan_find_rack_fitting_most(const mt_plan_run_t *run,
			       const mt_plan_unit_t *unit);

/** Returns the resources that are reserved for units that start later. */
void mt_plan_release_kept(mt_plan_run_t *run);

#endif
