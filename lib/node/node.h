/**
 * @file node.h
 * One entry host, elsewhere just "host": it accepts the requests of callers,
 * and one host of each data centre is normally also its scheduler. A node
 * is the part of a host's process that creates and connects all services. Input
 * and output go only through the ports given to it, so tests can run several
 * nodes in one process on virtual time.
 */
#ifndef MT_NODE_NODE_H
#define MT_NODE_NODE_H

#include "node/list_sync.h"
#include "node/job_api.h"
#include "node/refresher.h"
#include "node/scheduler.h"

#define MT_JOBS_STREAM "jobs"

/**
 * Names under which the services are registered with the kernel. The job API is
 * registered as "front", the list sync as "config".
 */
#define MT_SERVICE_JOBS "jobs"
#define MT_SERVICE_LISTS "lists"
#define MT_SERVICE_MEMBERSHIP "members"
#define MT_SERVICE_FLEET "fleet"
#define MT_SERVICE_JOB_API "front"
#define MT_SERVICE_RUNNER "runner"
#define MT_SERVICE_PLANNER "planner"
#define MT_SERVICE_SCHEDULER "scheduler"
#define MT_SERVICE_SLO "slo"
#define MT_SERVICE_LIST_SYNC "config"

typedef struct mt_node_ports_t {
	mt_log_port_t log;
	mt_server_port_t servers;
	mt_server_list_port_t server_list; /**< lists the backend servers */
	mt_peer_port_t peers;
} mt_node_ports_t;

typedef struct mt_node_t mt_node_t;

/** `kernel`, `settings` and the ports must outlive the node. */
mt_node_t *mt_node_new(mt_kernel_t *kernel, const mt_settings_t *settings,
		       const mt_name_t *incarnation,
		       const mt_node_ports_t *ports);
void mt_node_free(mt_node_t *node);
void mt_node_start(mt_node_t *node);

/** Handles a frame from a peer that has identified itself. */
void mt_node_on_frame(mt_node_t *node, const mt_peer_id_t *from,
		      const MtPb__Frame *frame);

/**
 * True once the host may get requests, which is when the operators' lists are
 * known; false again while draining. The jobs need not be loaded yet: until
 * they are, the job API still refuses requests as "not_ready", unless the log
 * is unavailable.
 */
bool mt_node_is_ready(const mt_node_t *node);

/** Starts a graceful shutdown. */
void mt_node_drain(mt_node_t *node);

/** True once a graceful shutdown has nothing left to wait for. */
bool mt_node_is_drained(const mt_node_t *node);

#endif
