/**
 * @file scene.h
 * The processes of one run: the stand-in of the platform, the entry hosts, and
 * the proxies between them. Ends only processes that it has started.
 */
#ifndef MT_CHAOS_SCENE_H
#define MT_CHAOS_SCENE_H

#include <glib.h>
#include <stdio.h>

#include "chaos/proxy.h"
#include "net/http_client.h"

#define CHAOS_HOSTS 4u
#define CHAOS_SERVERS 12u

typedef struct mt_scene_t mt_scene_t;

/** An entry host; its process comes and goes. */
typedef struct mt_scene_host_t {
	mt_scene_t *scene;
	unsigned index;
	uint16_t callers_port;
	uint16_t readiness_port;
	mt_proxy_t *store; /**< its way to the store */
	uv_process_t process;
	bool runs;
	bool stopping; /**< a planned stop is under way */
	mt_ms_t stop_sent_at;
	mt_ms_t paused_at;    /**< 0: is not paused */
	mt_ms_t paused_ms;    /**< in all since the planned stop began */
	mt_ms_t disturbed_at; /**< last fault at this host */
} mt_scene_host_t;

struct mt_scene_t {
	mt_loop_t *loop;
	mt_http_client_t *http;
	GRand *rand;
	char *build;
	char *dir; /**< settings and logs */
	uint16_t store_port;
	mt_scene_host_t hosts[CHAOS_HOSTS];
	mt_proxy_t *servers[CHAOS_SERVERS];
	uv_process_t platform;
	bool platform_runs;
	mt_ms_t begun_at;
	mt_ms_t disturbed_at; /**< last fault of store or servers */
	mt_ms_t healed_at;    /**< 0: faults still come */
	bool ending;
	unsigned breaches;
	FILE *log; /**< faults and breaches, with their times */
};

/** Starts everything; NULL when a program or a port is missing. */
mt_scene_t *mt_scene_new(const char *build, uint16_t port, guint32 seed);

/** Kills what still runs; the directory stays unless the run was good. */
void mt_scene_end(mt_scene_t *scene, bool good);

/** Starts the host's process, if it does not run. */
void mt_scene_start_host(mt_scene_host_t *host);

/** Sends a signal to the host's process, if it runs. */
void mt_scene_signal_host(mt_scene_host_t *host, int number);

mt_ms_t mt_scene_now(const mt_scene_t *scene);
mt_timers_t *mt_scene_timers(const mt_scene_t *scene);

/** Notes what the soak does in its log, to trace a breach. */
void mt_scene_note(mt_scene_t *scene, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/** A promise does not hold. */
void mt_scene_breach(mt_scene_t *scene, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

#endif
