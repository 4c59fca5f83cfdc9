/**
 * @file world_internal.h
 * Declarations shared by the source files of the simulation:
 *  - world.c: virtual time, trace, latencies and hosts;
 *  - fake_log.c: the log service;
 *  - fake_servers.c: the backend servers and the list of servers;
 *  - fake_links.c: the links between hosts.
 */
#ifndef MT_TESTS_SOAK_WORLD_INTERNAL_H
#define MT_TESTS_SOAK_WORLD_INTERNAL_H

#include "soak/world.h"

/** Upper bound of the delay of appends and commands that execute late. */
#define MT_SOAK_DELAY_MAX_MS 12000

/** Identifies a host process; outdated once that process was killed. */
typedef struct mt_host_ref_t {
	mt_host_t *host;
	guint incarnation_number;
} mt_host_ref_t;

mt_host_ref_t mt_host_ref(mt_host_t *host);
bool mt_host_ref_is_current(const mt_host_ref_t *origin);

/** True with probability `share`. */
bool mt_world_random_bool(mt_world_t *world, double share);

/** Latency of one message; random. */
mt_ms_t mt_network_latency(mt_world_t *world, bool between_regions);

/** Latency of one message between the host and the platform; random. */
mt_ms_t mt_platform_latency(mt_host_t *host);

/** Latency of one message between two hosts; random. */
mt_ms_t mt_link_latency(const mt_host_t *from, const mt_host_t *to);

/** True when the host has no link to the log and the server list. */
bool mt_is_platform_cut(const mt_host_t *host);

/** Calls `cb` once, after `delay`. */
void mt_world_after(mt_world_t *world, mt_ms_t delay, mt_timer_cb cb,
		    void *ctx);

/**
 * If the host is frozen, schedules `cb` for the time at which the host resumes.
 * @return true if `cb` was scheduled; the calling function must then return
 */
bool mt_defer_while_frozen(const mt_host_ref_t *origin, mt_timer_cb cb,
			   void *ctx);

/** Runs the due timers of the host; required before each call into its node. */
void mt_host_advance(mt_host_t *host);

/** Answers the waiting reads of the log that have new records or expired. */
void mt_fake_log_wake_readers(mt_world_t *world);

mt_log_port_t mt_fake_log_port(mt_host_t *host);
mt_server_port_t mt_fake_server_port(mt_host_t *host);
mt_server_list_port_t mt_fake_server_list_port(mt_host_t *host);
mt_peer_port_t mt_fake_peer_port(mt_host_t *host);

#endif
