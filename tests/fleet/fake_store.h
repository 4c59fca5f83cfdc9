/**
 * @file fake_store.h
 * The platform's store in memory: keyed topics, conditional appends, producer
 * epochs and sequences, long polls, dropped history and lost answers.
 */
#ifndef MT_FLEET_FAKE_STORE_H
#define MT_FLEET_FAKE_STORE_H

#include "fleet/world.h"

/** From this version of the configuration on, key "revoked" is not there. */
#define FLEET_KEY_REVOKED_VERSION 2u

typedef struct mt_fake_store_t mt_fake_store_t;

mt_fake_store_t *mt_fake_store_new(mt_world_t *world);

/** Fills in the host's store port. */
void mt_fake_store_bind(mt_fake_store_t *store, mt_world_host_t *host);

/** Writes a record as the operator or a server would. */
void mt_fake_store_put(mt_fake_store_t *store, const char *topic,
		       const char *key, mt_str_t value);

/** Newest value of a key; empty when there is none. */
mt_str_t mt_fake_store_get(mt_fake_store_t *store, const char *topic,
			   const char *key);

/** Drops all records of a topic but the newest of each key. */
void mt_fake_store_compact(mt_fake_store_t *store, const char *topic);

/** Formats of the records that the fakes write. */
const mt_directory_format_t *mt_fake_store_report_format(void);
mt_config_format_t mt_fake_store_config_format(void);
MtDag__Job *mt_fake_store_decode_job(mt_str_t body);

#endif
