/**
 * @file fake_store.h
 * In-memory fake of the platform's store: keyed topics, conditional appends,
 * producer epochs and sequences, long polls, deletion of old records, and lost
 * or late appends.
 */
#ifndef MT_FLEET_FAKE_STORE_H
#define MT_FLEET_FAKE_STORE_H

#include "fleet/sim.h"

/** First version of the configuration without the API key "revoked". */
#define SIM_KEY_REVOKED_VERSION 2u

typedef struct mt_fake_store_t mt_fake_store_t;

mt_fake_store_t *mt_fake_store_new(mt_sim_t *sim);

/** Fills in `host->store_port`. */
void mt_fake_store_bind(mt_fake_store_t *store, mt_sim_host_t *host);

/** Appends a record, in place of an operator or a server. */
void mt_fake_store_put(mt_fake_store_t *store, const char *topic,
		       const char *key, mt_str_t value);

/** Newest value of a key; empty when the key does not exist. */
mt_str_t mt_fake_store_get(mt_fake_store_t *store, const char *topic,
			   const char *key);

/**
 * Makes all records of a topic so far unreadable, except that newest() still
 * returns the newest record of each key.
 */
void mt_fake_store_drop_history(mt_fake_store_t *store, const char *topic);

/*
 * Decoders for the simulation's formats: reports of servers and configurations
 * are short texts, and submitted jobs are packed MtDag__Job messages. A
 * configuration is "VERSION", or "VERSION COLD_PER_S" with a limit of the
 * placements per second on a cold server.
 */

/** Format of the servers' reports; the directory of lib/dag reads these. */
const mt_directory_format_t *mt_fake_store_server_list_format(void);
mt_config_format_t mt_fake_store_config_format(void);
const mt_evacuations_format_t *mt_fake_store_evacuations_format(void);
MtDag__Job *mt_fake_store_decode_job(mt_str_t body);

#endif
