/**
 * @file catalog.h
 * The catalog, that is the operators' configuration in decoded form: queues,
 * the services that run their tasks, and client accounts with their API keys
 * and guarantees. The configuration is its encoded form, as stored in the
 * platform's store.
 */
#ifndef MT_DAG_CATALOG_H
#define MT_DAG_CATALOG_H

#include "kernel/shared_name.h"

/** A queue of jobs, selected by the host name and the path of a URL. */
typedef struct mt_queue_t {
	mt_shared_name_t name;
	mt_shared_name_t url_host; /**< host name in the URLs of this queue */
	char *path_prefix;	   /**< path of these URLs, up to the job id */
	mt_shared_name_t service;  /**< service whose servers run the tasks */
	uint32_t priority;	   /**< 0 is the highest */
	/** A job fails when one of its tasks has this many failed runs; 0
	 * counts as 1. */
	uint32_t attempts_max;
	/* Objective: a job should be completed within its critical path *
	 * slack_factor + objective_extra_ms. The scheduler counts this time
	 * from the moment at which the present leader made its model of the job
	 * (mt_dag_job_t.known_since). `objective_extra_ms` has other names in
	 * stored data: target_latency_ms in the operators' configuration, and
	 * target_ms in the job record (MtDag__Job). */
	double slack_factor;
	uint32_t objective_extra_ms;
	bool needs_no_key; /**< requests need no API key */
	/* Expected time for a decision of the policy service: decision_ms, plus
	 * per_server_ms for each server in the request. The timeout of the
	 * request is longer, see advice_requests.c. */
	uint32_t decision_ms;
	uint32_t per_server_ms;
	/** The policy service decides which servers may run the tasks. Its
	 * decisions are binding: the words "advised" and "advice" only come
	 * from the path of the calls to it, /mimosaturn/advise. */
	bool advised;
} mt_queue_t;

typedef struct mt_client_account_t {
	mt_shared_name_t name;
	GPtrArray *keys;	 /**< its API keys, char * */
	uint32_t guaranteed_gpu; /**< number of guaranteed accelerators */
} mt_client_account_t;

typedef struct mt_service_t {
	mt_shared_name_t name;
	/** Maximum number of tasks that are placed per second on a server of
	 * the service while it is cold; 0: no limit. */
	double cold_per_s;
} mt_service_t;

#define MT_CATALOG_PROBLEMS_MAX 20u

typedef struct mt_catalog_t {
	uint64_t version;
	GPtrArray *queues;   /**< mt_queue_t */
	GPtrArray *accounts; /**< mt_client_account_t */
	GArray *services;    /**< mt_service_t, only those with a limit */
	/** What of the configuration cannot be used, and is left out; char *,
	 * at most MT_CATALOG_PROBLEMS_MAX. */
	GPtrArray *problems;
	/** Maps API keys to mt_client_account_t. */
	GHashTable *accounts_by_key;
} mt_catalog_t;

/** Copies a queue without `path_prefix`; what `to` had is freed. */
void mt_queue_copy(mt_queue_t *to, const mt_queue_t *from);

/** Frees what a queue refers to. */
void mt_queue_clear(mt_queue_t *queue);

mt_catalog_t *mt_catalog_new(uint64_t version);
void mt_catalog_free(mt_catalog_t *catalog);

/** Adds an empty queue or account for the caller to fill in. */
mt_queue_t *mt_catalog_add_queue(mt_catalog_t *catalog);
mt_client_account_t *mt_catalog_add_account(mt_catalog_t *catalog);

void mt_catalog_add_key(mt_catalog_t *catalog, mt_client_account_t *account,
			const char *key);

/**
 * Finds the queue for a URL: of the queues with the URL's host name, the one
 * with the longest path prefix that matches `path`. NULL when none matches.
 * @param url_host host name of the URL; a port after it is ignored
 */
const mt_queue_t *mt_catalog_route(const mt_catalog_t *catalog,
				   mt_str_t url_host, mt_str_t path);

/** Finds a queue by name; NULL when there is none. */
const mt_queue_t *mt_catalog_queue(const mt_catalog_t *catalog,
				   const char *name);
/** See mt_service_t.cold_per_s; 0 for an unknown service. */
double mt_catalog_cold_per_s(const mt_catalog_t *catalog,
			     mt_shared_name_t service);

/** Finds an account by name; NULL when there is none. */
const mt_client_account_t *mt_catalog_account(const mt_catalog_t *catalog,
					      const char *name);
/** Finds the account of an API key; NULL when there is none. */
const mt_client_account_t *
mt_catalog_account_of_key(const mt_catalog_t *catalog, mt_str_t key);

#endif
