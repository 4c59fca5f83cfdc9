/**
 * @file config_relay.h
 * Reads the configuration without all hosts of a far data centre reading it
 * from the store. Two sides:
 * - A source stands in for the store in a follower of the configuration's
 * topic: it asks the relay of the data centre, and the store if there is no
 * relay, or if the relay fails or has an old copy.
 * - A relay follows the topic in the store and answers other hosts.
 */
#ifndef MT_DAG_CONFIG_RELAY_H
#define MT_DAG_CONFIG_RELAY_H

#include "dag/follower.h"
#include "dag/peer_port.h"
#include "dag/records.h"

typedef struct mt_config_source_deps_t {
	mt_kernel_t *kernel;
	const mt_store_port_t *store;
	const mt_peer_port_t *peers;
	/**
	 * Finds the relay to ask; returns false if there is none.
	 * @param may_come set to true if this host should wait for a relay
	 */
	bool (*find_relay)(void *ctx, mt_endpoint_t *relay, bool *may_come);
	void *find_relay_ctx;
} mt_config_source_deps_t;

typedef struct mt_config_source_t mt_config_source_t;

mt_config_source_t *mt_config_source_new(const mt_config_source_deps_t *deps);

/** The port to read from; it has no append. */
const mt_store_port_t *mt_config_source_port(const mt_config_source_t *source);

typedef struct mt_config_relay_t mt_config_relay_t;

/** Starts to follow the configuration with key `key` in `topic`. */
mt_config_relay_t *mt_config_relay_new(mt_kernel_t *kernel,
				       const mt_store_port_t *store,
				       const char *topic, const char *key);

/** Answers a call; the reply refers to the relay's copy. */
MtDag__ConfigReply mt_config_relay_answer(const mt_config_relay_t *relay,
					  const MtDag__ConfigCall *call);

void mt_config_relay_free(mt_config_relay_t *relay);

#endif
