/**
 * @file peer_port.h
 * Interface for calls between hosts: calls of clients that one host passes on
 * to another, which has the records of all jobs; and reads of the
 * configuration.
 */
#ifndef MT_DAG_PEER_PORT_H
#define MT_DAG_PEER_PORT_H

#include "dag/dag.pb-c.h"
#include "kernel/shared_name.h"

/** Timeout of a call to another host. */
#define MT_PEER_TIMEOUT_MS 800u

/** @param reply NULL: no answer; the call may have been carried out */
typedef void (*mt_peer_cb)(void *ctx, const MtDag__PeerReply *reply);

/** @param reply NULL: no answer */
typedef void (*mt_peer_config_cb)(void *ctx, const MtDag__ConfigReply *reply);

/** `cb` is never called before the function that received it has returned. */
typedef struct mt_peer_port_t {
	void *self;
	void (*call)(void *self, const mt_endpoint_t *host,
		     const MtDag__PeerCall *call, mt_peer_cb cb, void *ctx);
	void (*get_config)(void *self, const mt_endpoint_t *host,
			   const MtDag__ConfigCall *call, mt_peer_config_cb cb,
			   void *ctx);
} mt_peer_port_t;

#endif
