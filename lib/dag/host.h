/**
 * @file host.h
 * One entry host: follows the store, serves callers, and schedules while it
 * holds the office. Wired over ports; no I/O of its own.
 */
#ifndef MT_DAG_HOST_H
#define MT_DAG_HOST_H

#include "dag/directory.h"
#include "dag/engine.h"
#include "dag/front.h"

/** How the platform writes the operators' configuration. */
typedef struct mt_config_format_t {
	const char *topic;
	const char *key;
	/** @return NULL when the text is no configuration */
	mt_catalog_t *(*decode)(mt_str_t text);
} mt_config_format_t;

typedef struct mt_dag_host_deps_t {
	mt_kernel_t *kernel;
	const mt_store_port_t *store;
	const mt_backend_port_t *backends;
	const mt_advice_port_t *advice; /**< NULL: there is no such service */
	const mt_directory_format_t *reports;
	mt_config_format_t config;
	MtDag__Job *(*decode_job)(mt_str_t body);
	mt_name_t host;
	mt_name_t incarnation; /**< new in each process */
	uint32_t cores_milli;  /**< that it may use, in thousandths of a core */
	mt_ms_t key_age_max_ms;
	mt_engine_timing_t timings;
	int64_t (*wall_ms)(void);
} mt_dag_host_deps_t;

typedef struct mt_dag_host_t mt_dag_host_t;

mt_dag_host_t *mt_dag_host_new(const mt_dag_host_deps_t *deps);

mt_dag_front_t *mt_dag_host_front(const mt_dag_host_t *host);

/** True when callers may be sent here. */
bool mt_dag_host_is_ready(const mt_dag_host_t *host);

/** Jobs that this host knows, ended ones included. */
unsigned mt_dag_host_jobs(const mt_dag_host_t *host);

/** True while this host schedules. */
bool mt_dag_host_is_leading(const mt_dag_host_t *host);

/** Begins a graceful stop: not ready any more, the office is given up. */
void mt_dag_host_drain(mt_dag_host_t *host);

/** True when nothing is left to be done before the process ends. */
bool mt_dag_host_is_drained(const mt_dag_host_t *host);

#endif
