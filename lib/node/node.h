/**
 * @file node.h
 * One entry host: all services of the product, wired together over the ports
 * that it is given. It does no input or output of its own, so tests run
 * several nodes in one process on virtual time.
 */
#ifndef MT_NODE_NODE_H
#define MT_NODE_NODE_H

#include "node/config.h"
#include "node/job_api.h"
#include "node/refresher.h"
#include "node/scheduler.h"

#define MT_JOBS_STREAM "jobs"

/** Names under which the kernel knows the services. */
#define MT_SERVICE_JOBS "jobs"
#define MT_SERVICE_LISTS "lists"
#define MT_SERVICE_MEMBERS "members"
#define MT_SERVICE_FLEET "fleet"
#define MT_SERVICE_JOB_API "front"
#define MT_SERVICE_RUNNER "runner"
#define MT_SERVICE_PLANNER "planner"
#define MT_SERVICE_SCHEDULER "scheduler"
#define MT_SERVICE_SLO "slo"
#define MT_SERVICE_CONFIG "config"

typedef struct mt_node_ports_t {
	mt_log_port_t log;
	mt_server_port_t servers;
	mt_hosts_port_t hosts;
	mt_peer_port_t peers;
} mt_node_ports_t;

typedef struct mt_node_t mt_node_t;

/** `kernel`, `settings` and the ports outlive the node. */
mt_node_t *mt_node_new(mt_kernel_t *kernel, const mt_settings_t *settings,
		       const mt_name_t *incarnation,
		       const mt_node_ports_t *ports);
void mt_node_free(mt_node_t *node);
void mt_node_start(mt_node_t *node);

/** Takes a frame from a peer that has introduced itself. */
void mt_node_on_frame(mt_node_t *node, const mt_peer_id_t *from,
		      const MtPb__Frame *frame);

/** True once callers can be served; false again while draining. */
bool mt_node_is_ready(const mt_node_t *node);

/** Begins a graceful stop. */
void mt_node_drain(mt_node_t *node);

/** True when nothing is left that the stop must wait for. */
bool mt_node_is_drained(const mt_node_t *node);

#endif
