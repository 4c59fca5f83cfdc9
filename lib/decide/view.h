/**
 * @file view.h
 * Snapshot of one data centre, the input of a scheduling decision: plain
 * values, built anew for each decision. Servers are sorted by rack; the numbers
 * of neighbouring racks differ by one.
 */
#ifndef MT_DECIDE_VIEW_H
#define MT_DECIDE_VIEW_H

#include "kernel/kernel.h"
#include "lists/lists.h"
#include "settings/settings.h"

/**
 * Number of members of a job, and the resources of each. A job with several
 * members is a gang: its members run at the same time or not at all.
 */
typedef struct mt_shape_t {
	uint32_t members;
	mt_resources_t each;
} mt_shape_t;

/** The members of a job that are placed on one server. */
typedef struct mt_part_t {
	uint32_t server; /**< index into mt_view_t.servers */
	uint32_t members;
} mt_part_t;

typedef struct mt_view_server_t {
	mt_name_t id;
	uint32_t rack;
	mt_resources_t total;
	uint32_t slots; /**< number of members that it can run at once */
	bool usable;	/**< may be given new members */
} mt_view_server_t;

typedef struct mt_view_account_t {
	mt_name_t name;
	mt_resources_t guarantee;
	/**
	 * Number of guaranteed accelerators that must be adjacent (see
	 * place.h). 0 stands for DEFAULT_BLOCK_ACCELERATORS in guarantee.c.
	 */
	uint32_t guarantee_adjacent;
	mt_resources_t limit;
} mt_view_account_t;

/** A run of a job, which occupies capacity: starting, running or ending. */
typedef struct mt_view_run_t {
	void *tag;	  /**< for the caller; not used in the decision */
	uint32_t account; /**< index into mt_view_t.accounts */
	mt_shape_t shape;
	GArray *parts; /**< of mt_part_t */
	mt_ms_t started_at;
	mt_ms_t expected_end;
	uint32_t value;	     /**< declared value of the job */
	bool stoppable;	     /**< may be stopped; its job then runs again */
	bool checkpointable; /**< keeps its progress when stopped */
	/** Being stopped or already finished; releases its capacity soon. */
	bool ending;
	/**
	 * Being stopped, and may still be saving its progress. `ending` is set
	 * too.
	 */
	bool checkpointing;
	/**
	 * Declared urgent, and has a single member: stopped only for a
	 * guaranteed job. The caller must leave this unset for a run with
	 * several members; mt_decide() does not check the number of members.
	 */
	bool urgent;
} mt_view_run_t;

/** A job that waits for capacity. */
typedef struct mt_view_waiting_job_t {
	void *tag;	  /**< for the caller; not used in the decision */
	uint32_t account; /**< index into mt_view_t.accounts */
	mt_shape_t shape;
	mt_ms_t waited_ms;
	mt_ms_t expected_run_ms;
	mt_ms_t deadline_left_ms; /**< MT_NEVER_MS if none */
	uint32_t value;		  /**< declared value of the job */
	/**
	 * Declared urgent. Unlike mt_view_run_t.urgent, this may also be set
	 * for a gang; mt_decide() then treats the job as not urgent.
	 */
	bool urgent;
	bool stoppable; /**< its run may be stopped; the job then runs again */
	/** Per server: true if the job must not start there; or NULL. */
	const bool *excluded_servers;
} mt_view_waiting_job_t;

typedef struct mt_view_t {
	mt_ms_t now;
	mt_policy_t policy;
	GArray *servers;      /**< of mt_view_server_t */
	GArray *accounts;     /**< of mt_view_account_t */
	GArray *runs;	      /**< of mt_view_run_t */
	GArray *waiting_jobs; /**< of mt_view_waiting_job_t */
} mt_view_t;

mt_view_t *mt_view_new(mt_ms_t now, const mt_policy_t *policy);
void mt_view_free(mt_view_t *view);

static inline mt_view_server_t *mt_view_server(const mt_view_t *view, guint i)
{
	return &g_array_index(view->servers, mt_view_server_t, i);
}

static inline mt_view_account_t *mt_view_account(const mt_view_t *view, guint i)
{
	return &g_array_index(view->accounts, mt_view_account_t, i);
}

static inline mt_view_run_t *mt_view_run(const mt_view_t *view, guint i)
{
	return &g_array_index(view->runs, mt_view_run_t, i);
}

static inline mt_view_waiting_job_t *mt_view_waiting_job(const mt_view_t *view,
							 guint i)
{
	return &g_array_index(view->waiting_jobs, mt_view_waiting_job_t, i);
}

/**
 * True when the policy weighs fragmentation above completion time. An account's
 * guarantee then covers its larger runs first, otherwise its older runs. For
 * waiting jobs see mt_guarantee_covered_jobs().
 */
static inline bool mt_view_prefers_large_jobs(const mt_view_t *view)
{
	return view->policy.fragmentation_weight >
	       view->policy.completion_weight;
}

/** Resources of all members together. */
mt_resources_t mt_shape_total(const mt_shape_t *shape);

mt_resources_t mt_resources_add(mt_resources_t a, mt_resources_t b);

/** `a` minus `b`; zero where `b` is larger. */
mt_resources_t mt_resources_subtract(mt_resources_t a, mt_resources_t b);

/** The smaller of the two amounts, per kind of resource. */
mt_resources_t mt_resources_min(mt_resources_t a, mt_resources_t b);

/** True when `part` exceeds `whole` in no kind of resource. */
bool mt_resources_within(mt_resources_t part, mt_resources_t whole);

#endif
