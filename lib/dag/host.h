/**
 * @file host.h
 * A host: handles the calls of clients, follows the records of jobs while it is
 * the leader or a standby, and runs the scheduler (engine.h) while it is the
 * leader. All I/O goes through
 * the interfaces in mt_dag_host_deps_t. For the prefix mt_dag_ see job_model.h.
 */
#ifndef MT_DAG_HOST_H
#define MT_DAG_HOST_H

#include "dag/directory.h"
#include "dag/engine.h"
#include "dag/front.h"
#include "dag/peer_port.h"

/** Format of the operators' configuration; set by the platform adapter. */
typedef struct mt_config_format_t {
	const char *topic; /**< topic of the store with the configuration */
	const char *key;   /**< key of the configuration in this topic */
	/** @return NULL when the text is not a valid configuration */
	mt_catalog_t *(*decode)(mt_str_t text);
} mt_config_format_t;

typedef struct mt_dag_host_deps_t {
	mt_kernel_t *kernel;
	const mt_store_port_t *store;
	const mt_backend_port_t *backends;
	const mt_advice_port_t *advice; /**< NULL: no policy service */
	const mt_peer_port_t *peers;	/**< calls to other hosts */
	/** Format of the platform's list of backend servers. */
	const mt_directory_format_t *server_list_format;
	mt_config_format_t config_format;
	/** Format of the records that evacuate data centres. */
	const mt_evacuations_format_t *evacuations_format;
	/** See mt_evacuations_new(); 0: no data centre is evacuated. */
	mt_ms_t evacuation_ms;
	/** See mt_dag_front_deps_t. */
	MtDag__Job *(*decode_job)(mt_str_t body);
	mt_shared_name_t host;	/**< name of this host */
	mt_shared_name_t dc;	/**< name of its data centre */
	mt_name_t incarnation;	/**< id of this process; a restart changes it */
	mt_endpoint_t endpoint; /**< where this host takes calls of others */
	uint32_t cores_milli; /**< size of this host in thousandths of a core */
	uint32_t memory_mb;   /**< memory of this process; 0: not known */
	mt_ms_t config_age_max_ms; /**< see mt_dag_front_deps_t */
	mt_admission_mode_t admission_mode;
	mt_engine_timing_t timings;
	int64_t (*wall_ms)(void); /**< Unix time in milliseconds */
} mt_dag_host_deps_t;

typedef struct mt_dag_host_t mt_dag_host_t;

mt_dag_host_t *mt_dag_host_new(const mt_dag_host_deps_t *deps);

mt_dag_front_t *mt_dag_host_front(const mt_dag_host_t *host);

/**
 * Answers a call of another host for the configuration. Only a relay knows it.
 * The reply refers to memory of this host, which is valid until its next event.
 */
MtDag__ConfigReply mt_dag_host_config(const mt_dag_host_t *host,
				      const MtDag__ConfigCall *call);

/** True when this host can serve calls of clients. */
bool mt_dag_host_is_ready(const mt_dag_host_t *host);

/**
 * Number of jobs in this host's table of jobs, see mt_table_size(). 0 on a host
 * that does not follow the records of jobs.
 */
unsigned mt_dag_host_n_jobs(const mt_dag_host_t *host);

/** True while this host is the leader and its scheduler runs. */
bool mt_dag_host_is_leading(const mt_dag_host_t *host);

/**
 * Starts a graceful shutdown: the host is no longer ready, and releases the
 * leadership.
 */
void mt_dag_host_drain(mt_dag_host_t *host);

/**
 * True when the shutdown is complete: all calls have been replied to, and the
 * records that give up the leadership or the standby's slot are stored, if this
 * host had one of these.
 */
bool mt_dag_host_is_drained(const mt_dag_host_t *host);

#endif
