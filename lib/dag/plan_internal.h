/**
 * @file plan_internal.h
 * Internal interface of the placement plan: plan.c (placement), plan_index.c
 * (lookup tables, built once per plan) and plan_preempt.c (selection of tasks
 * to preempt). A victim is a placed task that may be preempted. The victims of
 * one gang form a victim group, as they are stopped together; every other
 * victim is a group of its own.
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
} mt_server_set_t;

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

/**
 * Number of tasks with the needs of the unit that fit on the servers of the
 * scope. Counting ends at the server with which the number reaches unit->count;
 * the result may be higher than unit->count.
 */
uint32_t mt_scope_fit_count(const mt_scope_t *scope);

/**
 * Selects victims to stop so that the unit fits, and marks them as preempted.
 * @param one_rack true: the unit must fit into one rack, and the rack with the
 * lowest cost of preemption is used; false: the unit may use all servers
 * @return the rack that is used, or the set of all servers; NULL if the unit
 * does not fit even after preemption
 */
const mt_server_set_t *mt_plan_preempt(mt_plan_t *plan,
				       const mt_plan_index_t *index,
				       const mt_plan_unit_t *unit,
				       bool one_rack);

#endif
