/**
 * @file catalog.h
 * The operators' configuration in typed form: queues, the services that run
 * their tasks, and client accounts with their keys and guarantees.
 */
#ifndef MT_DAG_CATALOG_H
#define MT_DAG_CATALOG_H

#include "kernel/name.h"

/** A queue of jobs, addressed by host name and path prefix. */
typedef struct mt_queue_t {
	mt_name_t name;
	mt_name_t host;
	char *path_prefix;
	mt_name_t service;
	uint32_t priority;     /**< 0 is served first */
	uint32_t attempts_max; /**< failed runs of a task before giving up */
	double slack_factor;   /**< of the longest chain, in the objective */
	uint32_t target_ms;    /**< added to the objective */
	bool needs_no_key;
	uint32_t decision_ms;	/**< the policy service takes so long */
	uint32_t per_server_ms; /**< and so much more for each server named */
	bool advised; /**< a policy service says which servers may run it */
} mt_queue_t;

typedef struct mt_client_account_t {
	mt_name_t name;
	GPtrArray *keys; /**< char * */
	uint32_t guaranteed_gpu;
} mt_client_account_t;

typedef struct mt_catalog_t {
	uint64_t version;
	GPtrArray *queues;   /**< mt_queue_t */
	GPtrArray *accounts; /**< mt_client_account_t */
	GHashTable *by_key;  /**< key text to mt_client_account_t */
	GHashTable *standby; /**< names of services whose machines are off */
} mt_catalog_t;

mt_catalog_t *mt_catalog_new(uint64_t version);
void mt_catalog_free(mt_catalog_t *catalog);

/** Adds an empty queue or account, to be filled in by the caller. */
mt_queue_t *mt_catalog_add_queue(mt_catalog_t *catalog);
mt_client_account_t *mt_catalog_add_account(mt_catalog_t *catalog);

/** Adds a key to an account. */
void mt_catalog_add_key(mt_catalog_t *catalog, mt_client_account_t *account,
			const char *key);

/**
 * Queue of the longest prefix under which `path` stands, or NULL.
 * @param host a port after the name is ignored
 */
const mt_queue_t *mt_catalog_route(const mt_catalog_t *catalog, mt_str_t host,
				   mt_str_t path);

const mt_queue_t *mt_catalog_queue(const mt_catalog_t *catalog,
				   const char *name);
const mt_client_account_t *mt_catalog_account(const mt_catalog_t *catalog,
					      const char *name);
const mt_client_account_t *
mt_catalog_account_of_key(const mt_catalog_t *catalog, mt_str_t key);

#endif
