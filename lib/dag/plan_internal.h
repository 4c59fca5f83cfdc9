/**
 * @file plan_internal.h
 * Internal interface of the placement plan: plan.c (placement), plan_index.c
 * (lookup tables, built once per plan) and plan_reclaim.c (selection of tasks
 * to preempt).
 */
#ifndef MT_DAG_PLAN_INTERNAL_H
#define MT_DAG_PLAN_INTERNAL_H

#include "dag/plan.h"

/** Which resources of a server count as available. */
typedef enum mt_capacity_kind_t {
	MT_CAPACITY_FREE,
	/** Free, or held by tasks that are being stopped. */
	MT_CAPACITY_RELEASING,
	/** The same, and the resources of the victims under trial. */
	MT_CAPACITY_AFTER_PREEMPTION,
} mt_capacity_kind_t;

/** The servers of one rack, or all servers. */
typedef struct mt_server_group_t {
	GQuark name; /**< 0: all servers */
	const uint32_t *servers;
	uint32_t n_servers;
} mt_server_group_t;

/** Indexes grouped by key: those of key k are items[start[k]..start[k+1]). */
typedef struct mt_buckets_t {
	uint32_t *items;
	uint32_t *start;
	uint32_t n_keys;
} mt_buckets_t;

typedef struct mt_plan_index_t {
	mt_server_group_t all;
	mt_server_group_t *racks; /**< in the order of their first servers */
	uint32_t n_racks;
	mt_buckets_t by_rack;	/**< servers */
	mt_buckets_t by_server; /**< victims */
	mt_buckets_t by_group;	/**< victims */
	double *group_cost;
	uint32_t *all_servers;
} mt_plan_index_t;

/** The servers considered for one unit, and which of their resources count. */
typedef struct mt_scope_t {
	const mt_plan_t *plan;
	const mt_plan_index_t *index;
	const mt_plan_unit_t *unit;
	const mt_server_group_t *rack;
	mt_capacity_kind_t kind;
	/** Per server, resources of the victims under trial; NULL: none. */
	const mt_dag_resources_t *reclaimed;
} mt_scope_t;

/** The result is freed with mt_plan_index_free(). */
mt_plan_index_t *mt_plan_index_new(const mt_plan_t *plan);
void mt_plan_index_free(mt_plan_index_t *index);

/** The rack with this name, or NULL. */
const mt_server_group_t *mt_plan_index_rack(const mt_plan_index_t *index,
					    GQuark name);

/** True if the unit may run on the server. */
bool mt_scope_allows(const mt_scope_t *scope, uint32_t server);

/**
 * Number of the unit's tasks that fit into the scope. Counting ends as soon as
 * all of them fit.
 */
uint32_t mt_scope_fit_count(const mt_scope_t *scope);

/**
 * Selects the tasks to preempt so that the unit fits, and marks them as
 * stopped. They are taken from the rack where this costs least, or from all
 * servers if `one_rack` is false.
 * @return the rack, or NULL if no preemption makes the unit fit
 */
const mt_server_group_t *mt_plan_preempt(mt_plan_t *plan,
					 const mt_plan_index_t *index,
					 const mt_plan_unit_t *unit,
					 bool one_rack);

#endif
