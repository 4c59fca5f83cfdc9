/**
 * @file cluster.h
 * The processes of one chaos test on loopback: platformd, which simulates the
 * users' platform, and the entry hosts, with proxies on the connections between
 * them. Signals go only to processes that were started here.
 */
#ifndef MT_CHAOS_CLUSTER_H
#define MT_CHAOS_CLUSTER_H

#include <glib.h>
#include <stdio.h>

#include "chaos/proxy.h"
#include "net/http_client.h"

#define CHAOS_HOSTS 6u
#define CHAOS_SERVERS 12u

typedef struct mt_cluster_t mt_cluster_t;

/** An entry host, whose process may be stopped and restarted. */
typedef struct mt_cluster_host_t {
	mt_cluster_t *cluster;
	unsigned index;
	uint16_t callers_port; /**< for clients; "callers" in the settings */
	uint16_t readiness_port;
	mt_proxy_t *store_proxy; /**< the host's connections to the store */
	uv_process_t process;
	bool running;  /**< `process` has not exited */
	bool stopping; /**< SIGTERM was sent */
	mt_ms_t stop_sent_at;
	mt_ms_t paused_at; /**< time of SIGSTOP; 0: not paused */
	mt_ms_t paused_ms; /**< total pause since SIGTERM */
	/** Last start of the process, signal to it, or start of a fault of
	 * `store_proxy`. */
	mt_ms_t last_disturbance_at;
} mt_cluster_host_t;

struct mt_cluster_t {
	mt_loop_t *loop;
	mt_http_client_t *http;
	GRand *rand;
	char *build;	     /**< build directory with the programs */
	char *dir;	     /**< temporary directory for settings and logs */
	uint16_t store_port; /**< TCP port of the store, without the proxy */
	bool refuses_jobs;   /**< the hosts have admission control */
	mt_cluster_host_t hosts[CHAOS_HOSTS];
	mt_proxy_t *server_proxies[CHAOS_SERVERS];
	uv_process_t platform;
	bool platform_running;
	mt_ms_t started_at;
	/** Last start or end of a fault of the platform or of a proxy. */
	mt_ms_t last_disturbance_at;
	mt_ms_t faults_ended_at; /**< end of all faults; 0: not yet */
	bool shutting_down;
	unsigned breaches;
	/** Faults and breaches with their times; faults.log in `dir`. */
	FILE *log;
};

/**
 * The hosts have admission control if the seed is even.
 * @return NULL when a program is missing or a port is in use
 */
mt_cluster_t *mt_cluster_new(const char *build, uint16_t port, guint32 seed);

/** Kills all processes. */
void mt_cluster_shut_down(mt_cluster_t *cluster, bool remove_logs);

/** Starts the host's process unless it is running. */
void mt_cluster_start_host(mt_cluster_host_t *host);

/** Sends a signal to the host's process if it is running. */
void mt_cluster_signal_host(mt_cluster_host_t *host, int signal_number);

mt_ms_t mt_cluster_now(const mt_cluster_t *cluster);
mt_timers_t *mt_cluster_timers(const mt_cluster_t *cluster);

/**
 * Sends a call to platformd and does not wait for the response.
 * @param body kept by the caller until the call has ended
 */
void mt_cluster_call_platform(mt_cluster_t *cluster, const char *path,
			      mt_str_t body);

/** Writes to the log of faults, which helps to explain a breach. */
void mt_cluster_log(mt_cluster_t *cluster, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/** Prints, logs and counts a violated invariant; the test fails. */
void mt_cluster_breach(mt_cluster_t *cluster, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

#endif
