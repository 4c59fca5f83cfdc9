/**
 * @file plan.h
 * Placement plan: assigns waiting tasks to servers and selects the placed
 * tasks to preempt for them. Has no side effects outside the mt_plan_t that the
 * caller fills in.
 */
#ifndef MT_DAG_PLAN_H
#define MT_DAG_PLAN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Marks a task without a server. */
#define MT_PLAN_NO_SERVER UINT32_MAX

typedef struct mt_dag_resources_t {
	uint32_t cpu_milli; /**< thousandths of a core */
	uint32_t mem_mb;
	uint32_t gpu; /**< number of accelerators */
} mt_dag_resources_t;

/**
 * How many times `need` fits into `available`; UINT32_MAX if `need` is zero.
 */
uint32_t mt_dag_resources_fit_count(const mt_dag_resources_t *need,
				    const mt_dag_resources_t *available);

bool mt_dag_resources_fit(const mt_dag_resources_t *need,
			  const mt_dag_resources_t *available);
void mt_dag_resources_add(mt_dag_resources_t *sum,
			  const mt_dag_resources_t *part);

/** Subtracts `part` from `sum`; a result below zero becomes zero. */
void mt_dag_resources_subtract(mt_dag_resources_t *sum,
			       const mt_dag_resources_t *part);

/** An accelerator counts as this many cores in sums of resources. */
#define MT_CORES_PER_GPU 8.0

/** The cores and accelerators as a number of cores; memory does not count. */
double mt_dag_resources_cores(const mt_dag_resources_t *resources);

typedef struct mt_plan_server_t {
	mt_dag_resources_t free; /**< not in use */
	/** Held by tasks that are being stopped or are to be stopped, or that
	 * still run although their gang is done. */
	mt_dag_resources_t releasing;
	/** Free once all tasks on it have ended, except long-running ones,
	 * which do not end by themselves. */
	mt_dag_resources_t room;
	GQuark rack;	       /**< 0: none */
	const GArray *labels;  /**< GQuark; NULL: none */
	bool latency_critical; /**< runs tasks with a latency target */
	bool runs_fillers;     /**< see mt_plan_unit_t.is_filler */
	bool suspect;	       /**< only for units that are overdue */
	/** Servers with a lower penalty are preferred. The planner sets this to
	 * the server's number of consecutive failed runs, and higher for a cold
	 * server, and still higher for a suspect one. */
	uint32_t penalty;
	/** Relative to the median server; 0 counts as 1. */
	double speed;
	bool is_limited; /**< only `tasks_left` tasks may be placed there now */
	uint32_t tasks_left;
} mt_plan_server_t;

/**
 * A scheduling unit: the waiting tasks of one step, which have equal needs.
 * They either form a gang or can start one by one.
 */
typedef struct mt_plan_unit_t {
	mt_dag_resources_t need; /**< of one task */
	uint32_t count;		 /**< number of tasks */
	bool is_gang;		 /**< place all tasks or none */
	/** The tasks have a latency target, which fillers on the same server
	 * would put at risk. */
	bool latency_critical;
	/** The tasks use only cores that other tasks leave idle; their
	 * need.cpu_milli is 0. */
	bool is_filler;
	/** Place all tasks in one rack. This is a requirement. In dag.proto,
	 * same_rack of a step is a preference: the planner no longer sets this
	 * member for a step that has waited too long. */
	bool same_rack;
	GQuark label; /**< required label of the servers; 0: any */
	/** Place all tasks in this rack, which holds the input data; 0: any
	 * rack. This is a requirement, while data_rack of a step is a
	 * preference, see `same_rack`. */
	GQuark data_rack;
	/** Maximum number of tasks of this step on one server; 0: no limit. */
	uint32_t per_server_max;
	const bool *allowed; /**< per server; NULL: all servers */
	/** Per server, number of tasks of this step that earlier plans placed
	 * there; NULL: none. Only set with `per_server_max`. */
	const uint32_t *already_placed;
	uint32_t priority; /**< 0 is the highest */
	/** Estimated run time of a task on a server of speed 1. */
	uint32_t run_ms;
	/** Time left until the latest end of the unit with which its job meets
	 * its objective; may be negative. */
	int64_t left_ms;
	bool guaranteed;  /**< the job is within its account's guarantee */
	bool may_preempt; /**< placed tasks may be preempted for it */
	/** The start may be delayed a little if the unit then ends in time,
	 * while it would be late on the servers that are free now. */
	bool may_wait_for_speed;
	/** Maximum cost of the victims that are preempted for the unit; 0: no
	 * limit, as its run time is not known. For guaranteed units, only a
	 * limit on what is preempted for faster servers. */
	double cost_max;
	/** If not all tasks of this unit can be placed, resources are reserved
	 * for the others, so that later units cannot use them. No resources
	 * are reserved for a gang that would not even fit into
	 * mt_plan_server_t.room. */
	bool reserves;
	/** The reservation counts towards reservations_max of the plan. */
	bool reservation_limited;
	/** Nothing of the job runs, although most of the service is idle. The
	 * unit may use suspect servers, and what is reserved for a unit that
	 * cannot start soon. */
	bool overdue;

	/** Result: the servers of the `placed` tasks. If the caller sets it to
	 * NULL, it is allocated for them with g_new() and freed by the caller;
	 * otherwise it has room for `count` elements, and those beyond `placed`
	 * receive MT_PLAN_NO_SERVER. */
	uint32_t *chosen;
	uint32_t placed; /**< result: number of tasks with a server */
} mt_plan_unit_t;

/** A placed task, starting or running, that may be preempted. */
typedef struct mt_plan_victim_t {
	uint32_t server; /**< index into mt_plan_t.servers */
	uint32_t group;	 /**< victims of one group are stopped together */
	mt_dag_resources_t amount; /**< resources freed by stopping it */
	uint32_t priority;
	/** The job is within its account's guarantee. The planner never sets
	 * this, as it leaves out the tasks of such jobs. */
	bool guaranteed;
	/** Cost of stopping it: work lost and delay, in core-seconds, weighted
	 * by priority. */
	double cost;
	bool preempted; /**< result: is to be stopped */
	bool awaited;	/**< result: a unit waits until the run ends */
} mt_plan_victim_t;

/** A run that is expected to end soon. */
typedef struct mt_plan_end_t {
	uint32_t server;	   /**< index into mt_plan_t.servers */
	mt_dag_resources_t amount; /**< resources that are free then */
	uint32_t in_ms;		   /**< time until it ends */
	/** Index of the same run in mt_plan_t.victims plus one; 0: it must not
	 * be preempted. */
	uint32_t victim_plus_one;
	bool claimed; /**< result: a unit waits for it instead of preempting */
} mt_plan_end_t;

/** Weights of the resources when servers are packed; all 0: accelerators only.
 */
typedef struct mt_plan_weights_t {
	double cpu;
	double mem;
	double gpu;
} mt_plan_weights_t;

typedef struct mt_plan_t {
	mt_plan_server_t *servers;
	uint32_t n_servers;
	mt_plan_unit_t *units; /**< in scheduling order */
	uint32_t n_units;
	mt_plan_victim_t *victims;
	uint32_t n_victims;
	mt_plan_end_t *ends; /**< in the order of in_ms */
	uint32_t n_ends;
	/** Maximum number of units with `reservation_limited` for which
	 * resources are reserved. */
	uint32_t reservations_max;
	mt_plan_weights_t weights; /**< see mt_plan_weigh_resources() */
	/** Result: number of units that do not preempt, as the victims cost
	 * more than the unit gains. */
	uint32_t n_refused;
	/** Result: number of units that wait for runs that end soon instead of
	 * preempting. */
	uint32_t n_awaiting;
	/** Result: number of units that wait for faster servers. */
	uint32_t n_awaiting_speed;
} mt_plan_t;

/** Why no task of a unit was placed. */
typedef enum mt_plan_wait_t {
	MT_PLAN_WAIT_NO_SERVER,	 /**< no server may run its tasks */
	MT_PLAN_WAIT_NEVER_FITS, /**< larger than mt_plan_server_t.room of all
				    servers that may run its tasks */
	MT_PLAN_WAIT_RESERVED,	 /**< would fit without the reservations */
	MT_PLAN_WAIT_NO_ROOM,	 /**< other tasks use the resources */
} mt_plan_wait_t;

/** True if the server has the label; always true for label 0. */
/** True if the labels (GQuark; NULL: none) contain this one. */
bool mt_plan_labels_contain(const GArray *labels, GQuark label);

bool mt_plan_server_has_label(const mt_plan_server_t *server, GQuark label);

/**
 * Sets the weights of the plan to the shares of the resources that are in use.
 * Leaves them at 0 unless cores or memory are scarcer than accelerators: tasks
 * then fill servers where large tasks would not fit any more, even if
 * accelerators are left over there.
 */
void mt_plan_weigh_resources(mt_plan_t *plan);

/**
 * Computes the plan: sets the results of the units and victims. Also updates
 * `servers`: deducts the resources that are assigned to units or reserved for
 * them, and adds those of preempted victims to `releasing`.
 */
void mt_plan_run(mt_plan_t *plan);

/**
 * Explains why mt_plan_run() has placed no task of the unit, by the state of
 * the servers afterwards.
 */
mt_plan_wait_t mt_plan_explain_wait(const mt_plan_t *plan,
				    const mt_plan_unit_t *unit);

#endif
