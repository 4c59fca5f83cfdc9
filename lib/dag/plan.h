/**
 * @file plan.h
 * Which waiting tasks start on which servers, and what is stopped for them.
 * Pure: a function of the view that the caller fills in.
 */
#ifndef MT_DAG_PLAN_H
#define MT_DAG_PLAN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define MT_PLAN_LABELS_MAX 4

/** No server. */
#define MT_PLAN_NO_SERVER UINT32_MAX

typedef struct mt_dag_resources_t {
	uint32_t cpu_milli; /**< thousandths of a core */
	uint32_t mem_mb;
	uint32_t gpu;
} mt_dag_resources_t;

/** How often `need` goes into `room`; UINT32_MAX when it needs nothing. */
uint32_t mt_dag_resources_fit_count(const mt_dag_resources_t *need,
				    const mt_dag_resources_t *available);

bool mt_dag_resources_fit(const mt_dag_resources_t *need,
			  const mt_dag_resources_t *available);
void mt_dag_resources_add(mt_dag_resources_t *sum,
			  const mt_dag_resources_t *part);

/** Subtracts; what would fall below zero becomes zero. */
void mt_dag_resources_subtract(mt_dag_resources_t *sum,
			       const mt_dag_resources_t *part);

typedef struct mt_plan_server_t {
	mt_dag_resources_t free;      /**< unused now */
	mt_dag_resources_t releasing; /**< of tasks that are being stopped */
	GQuark rack;
	GQuark labels[MT_PLAN_LABELS_MAX];
	bool latency_critical; /**< tasks with a latency target run there */
	bool fills;	  /**< tasks that use what others leave run there */
	uint32_t penalty; /**< servers with less are preferred */
} mt_plan_server_t;

/** Equal tasks that wait: a gang, or tasks that can start one by one. */
typedef struct mt_plan_unit_t {
	mt_dag_resources_t need;
	uint32_t count;
	bool all_or_nothing;   /**< all or none */
	bool latency_critical; /**< has a latency target that fillers would harm
				*/
	bool fills;	       /**< uses what others leave */
	bool same_rack;
	GQuark label;
	GQuark data_rack;
	uint32_t per_server_max; /**< 0: no limit */
	const bool *allowed;	 /**< per server; NULL: all are */
	const uint8_t
		*already_placed; /**< per server, already of this step; NULL */
	uint32_t priority;
	bool guaranteed;  /**< within its account's guarantee */
	bool may_reclaim; /**< others may be stopped for it */
	bool reserves;	  /**< keeps room from those behind it */

	uint32_t *chosen; /**< result: a server or MT_PLAN_NO_SERVER a task */
	uint32_t placed;  /**< result: tasks with a server */
} mt_plan_unit_t;

/** A running task that could be stopped. */
typedef struct mt_plan_victim_t {
	uint32_t server;
	uint32_t group; /**< tasks of one group end together */
	mt_dag_resources_t amount;
	uint32_t priority;
	bool guaranteed;
	double cost;  /**< work that would be lost, in core-seconds */
	bool stopped; /**< result */
} mt_plan_victim_t;

typedef struct mt_plan_t {
	mt_plan_server_t *servers;
	uint32_t n_servers;
	mt_plan_unit_t *units; /**< in the order in which they are served */
	uint32_t n_units;
	mt_plan_victim_t *victims;
	uint32_t n_victims;
} mt_plan_t;

/** Fills in the results. Changes the servers' room as it goes. */
void mt_plan_run(mt_plan_t *plan);

#endif
