/**
 * @file engine.h
 * The scheduling engine. Only the engine of the leading host places tasks on
 * backend servers. It stores each placement before it sends the start command.
 * It stores the effect of each ended run that a server reports before it
 * permits the server to delete the ended run.
 */
#ifndef MT_DAG_ENGINE_H
#define MT_DAG_ENGINE_H

#include "dag/advice_port.h"
#include "dag/backend_port.h"
#include "dag/catalog.h"
#include "dag/directory.h"
#include "dag/evacuations.h"
#include "dag/store_port.h"
#include "dag/table.h"
#include "kernel/kernel.h"

/** Durations, which come from the settings except where noted. */
typedef struct mt_engine_timing_t {
	mt_ms_t lease_ms; /**< length of the leases of runs */
	/** Longest lease that a server grants, whatever is requested. */
	mt_ms_t lease_max_ms;
	mt_ms_t stop_ms;    /**< time a server takes to stop a run; not used */
	mt_ms_t restore_ms; /**< time to resume a task from a checkpoint */
	mt_ms_t keep_ended_ms; /**< how long records of ended jobs are kept */
	/** A job with a start time may start this long before that time. No
	 * setting exists for it: always 0. */
	mt_ms_t start_early_ms;
} mt_engine_timing_t;

typedef struct mt_engine_deps_t {
	mt_kernel_t *kernel;
	const mt_store_port_t *store;
	const mt_backend_port_t *backends;
	const mt_advice_port_t *advice; /**< NULL: no policy service */
	mt_table_t *table;
	mt_directory_t *directory;
	/** Read while this host leads; NULL: no data centre is evacuated. */
	mt_evacuations_t *evacuations;
	/** On a contended service, waiting jobs that are late already, or whose
	 * account uses more than its share, give way to others. */
	bool sheds_load;
	mt_engine_timing_t timings;
	/** Returns the Unix time in milliseconds. */
	int64_t (*wall_ms)(void);
	/** Age of this host's copy of the records of jobs and leaders: the
	 * higher of both, see mt_follower_age(). */
	mt_ms_t (*records_age_ms)(void *ctx);
	void *records_age_ctx;
} mt_engine_deps_t;

typedef struct mt_engine_t mt_engine_t;

mt_engine_t *mt_engine_new(const mt_engine_deps_t *deps);

/**
 * Sets the catalog, from which queues and guarantees are read. `catalog` must
 * stay valid until the next call of this function.
 */
void mt_engine_set_catalog(mt_engine_t *engine, const mt_catalog_t *catalog);

/**
 * Starts scheduling. Called after this host has become the leader.
 * @param term term of the new leader, see MtDag__Leader
 */
void mt_engine_become_leader(mt_engine_t *engine, uint64_t term);

/** Stops scheduling and sending commands after the leadership is lost. */
void mt_engine_step_down(mt_engine_t *engine);

bool mt_engine_is_leading(const mt_engine_t *engine);

/**
 * Lists the load of the contended services, see load_summary.h. The list is
 * valid until the next event.
 * @return number of elements of `list`; 0 unless this host leads
 */
size_t mt_engine_list_pressure(const mt_engine_t *engine,
			       MtDag__Pressure ***list);

#endif
