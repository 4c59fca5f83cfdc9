/**
 * @file engine.h
 * The scheduler. While its host leads, it alone places tasks on backend
 * servers: it stores each placement before the start is sent, and each end
 * before the server may forget it.
 */
#ifndef MT_DAG_ENGINE_H
#define MT_DAG_ENGINE_H

#include "dag/advice_port.h"
#include "dag/backend_port.h"
#include "dag/catalog.h"
#include "dag/directory.h"
#include "dag/store_port.h"
#include "dag/table.h"
#include "kernel/kernel.h"

/** Times that the platform and the settings give the scheduler. */
typedef struct mt_engine_timing_t {
	mt_ms_t lease_ms;	/**< granted to what runs on a server */
	mt_ms_t stop_ms;	/**< a server takes so long to stop a task */
	mt_ms_t restore_ms;	/**< to resume from a checkpoint */
	mt_ms_t keep_ended_ms;	/**< ended jobs are shown for so long */
	mt_ms_t start_early_ms; /**< a timed start may come so early */
} mt_engine_timing_t;

typedef struct mt_engine_deps_t {
	mt_kernel_t *kernel;
	const mt_store_port_t *store;
	const mt_backend_port_t *backends;
	const mt_advice_port_t *advice; /**< NULL: there is no such service */
	mt_table_t *table;
	mt_directory_t *directory;
	mt_name_t host;
	mt_name_t incarnation;
	mt_engine_timing_t timings;
	/** Unix time in milliseconds. */
	int64_t (*wall_ms)(void);
	/** Milliseconds since the store last proved its answers current. */
	mt_ms_t (*store_staleness_ms)(void *ctx);
	void *store_staleness_ctx;
} mt_engine_deps_t;

typedef struct mt_engine_t mt_engine_t;

mt_engine_t *mt_engine_new(const mt_engine_deps_t *deps);

/** Borrowed until the next call; queues and guarantees are read from it. */
void mt_engine_set_catalog(mt_engine_t *engine, const mt_catalog_t *catalog);

/** This host has won the office under `term`. */
void mt_engine_become_leader(mt_engine_t *engine, uint64_t term);

/** The office is lost: nothing is sent any more. */
void mt_engine_step_down(mt_engine_t *engine);

/** Gives the office up by a record; `cb` when it is stored. */
void mt_engine_release_leadership(mt_engine_t *engine, mt_timer_cb cb,
				  void *ctx);

bool mt_engine_is_leading(const mt_engine_t *engine);

#endif
