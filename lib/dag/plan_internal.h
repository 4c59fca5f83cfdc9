/**
 * @file plan_internal.h
 * Shared by the files of the plan: plan.c (placement), plan_index.c (what
 * stands where, looked up once a plan) and plan_reclaim.c (what is stopped).
 */
#ifndef MT_DAG_PLAN_INTERNAL_H
#define MT_DAG_PLAN_INTERNAL_H

#include "dag/plan.h"

/** Which room of a server is counted. */
typedef enum mt_capacity_kind_t {
	MT_CAPACITY_FREE,
	MT_CAPACITY_RELEASING, /**< free, or being freed */
	MT_CAPACITY_RECLAIMED, /**< with the victims that are tried */
} mt_capacity_kind_t;

/** The servers of one rack, or all servers. */
typedef struct mt_rack_t {
	GQuark name; /**< 0: all servers */
	const uint32_t *servers;
	uint32_t n_servers;
} mt_rack_t;

/** Numbers grouped by a key: those of key k are items[start[k]..start[k+1]). */
typedef struct mt_buckets_t {
	uint32_t *items;
	uint32_t *start;
	uint32_t n_keys;
} mt_buckets_t;

typedef struct mt_plan_index_t {
	mt_rack_t all;
	mt_rack_t *racks; /**< in the order of their first servers */
	uint32_t n_racks;
	mt_buckets_t by_rack;	/**< servers */
	mt_buckets_t by_server; /**< victims */
	mt_buckets_t by_group;	/**< victims */
	double *group_cost;
	uint32_t *all_servers;
} mt_plan_index_t;

/** A set of servers that one unit may use. */
typedef struct mt_scope_t {
	const mt_plan_t *plan;
	const mt_plan_index_t *index;
	const mt_plan_unit_t *unit;
	const mt_rack_t *rack;
	mt_capacity_kind_t kind;
	const mt_dag_resources_t
		*reclaimed; /**< per server, of victims that are tried */
} mt_scope_t;

/** To be freed with mt_plan_index_free(). */
mt_plan_index_t *mt_plan_index_new(const mt_plan_t *plan);
void mt_plan_index_free(mt_plan_index_t *index);

/** The rack of this name, or NULL. */
const mt_rack_t *mt_plan_index_rack(const mt_plan_index_t *index, GQuark name);

/** True when the unit may use the server. */
bool mt_scope_allows(const mt_scope_t *scope, uint32_t server);

/** Tasks that fit within the scope, counted up to the unit's size. */
uint32_t mt_scope_fit_count(const mt_scope_t *scope);

/**
 * Marks as stopped what makes room for the unit, in the cheapest rack or, with
 * `one_rack` false, anywhere.
 * @return the rack, or NULL when no stops would help
 */
const mt_rack_t *mt_plan_reclaim(mt_plan_t *plan, const mt_plan_index_t *index,
				 const mt_plan_unit_t *unit, bool one_rack);

#endif
