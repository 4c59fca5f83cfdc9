/**
 * @file cluster.h
 * The processes of one run: the stand-in of the platform, the entry hosts, and
 * the proxies between them. Ends only processes that it has started.
 */
#ifndef MT_CHAOS_CLUSTER_H
#define MT_CHAOS_CLUSTER_H

#include <glib.h>
#include <stdio.h>

#include "chaos/proxy.h"
#include "net/http_client.h"

#define CHAOS_HOSTS 4u
#define CHAOS_SERVERS 12u

typedef struct mt_cluster_t mt_cluster_t;

/** An entry host; its process comes and goes. */
typedef struct mt_cluster_host_t {
	mt_cluster_t *scene;
	unsigned index;
	uint16_t callers_port;
	uint16_t readiness_port;
	mt_proxy_t *store; /**< its way to the store */
	uv_process_t process;
	bool runs;
	bool stopping; /**< a planned stop is under way */
	mt_ms_t stop_sent_at;
	mt_ms_t paused_at;     /**< 0: is not paused */
	mt_ms_t paused_ms;     /**< in all since the planned stop began */
	mt_ms_t last_fault_at; /**< last fault at this host */
} mt_cluster_host_t;

struct mt_cluster_t {
	mt_loop_t *loop;
	mt_http_client_t *http;
	GRand *rand;
	char *build;
	char *dir; /**< settings and logs */
	uint16_t store_port;
	mt_cluster_host_t hosts[CHAOS_HOSTS];
	mt_proxy_t *servers[CHAOS_SERVERS];
	uv_process_t platform;
	bool platform_running;
	mt_ms_t begun_at;
	mt_ms_t last_fault_at; /**< last fault of store or servers */
	mt_ms_t healed_at;     /**< 0: faults still come */
	bool ending;
	unsigned breaches;
	FILE *log; /**< faults and breaches, with their times */
};

/** Starts everything; NULL when a program or a port is missing. */
mt_cluster_t *mt_cluster_new(const char *build, uint16_t port, guint32 seed);

/** Kills what still runs; the directory stays unless the run was good. */
void mt_cluster_shut_down(mt_cluster_t *scene, bool good);

/** Starts the host's process, if it does not run. */
void mt_cluster_start_host(mt_cluster_host_t *host);

/** Sends a signal to the host's process, if it runs. */
void mt_cluster_signal_host(mt_cluster_host_t *host, int number);

mt_ms_t mt_cluster_now(const mt_cluster_t *scene);
mt_timers_t *mt_cluster_timers(const mt_cluster_t *scene);

/** Notes what the soak does in its log, to trace a breach. */
void mt_cluster_log(mt_cluster_t *scene, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/** A promise does not hold. */
void mt_cluster_breach(mt_cluster_t *scene, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

#endif
