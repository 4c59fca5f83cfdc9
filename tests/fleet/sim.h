/**
 * @file sim.h
 * Simulation with virtual time and injected faults: several entry hosts run in
 * one process against an in-memory store and in-memory backend servers. In
 * names, "fleet" means all backend servers of a simulation; only this
 * directory, its program and the kernels of its hosts are named "fleet" for the
 * simulation as a whole. mt_fleet_t of lib/node is a host's view of the servers
 * and is not used here.
 */
#ifndef MT_FLEET_SIM_H
#define MT_FLEET_SIM_H

#include "dag/host.h"
#include "kernel/kernel.h"

/** More hosts than a leader and the standbys, so that calls are passed on. */
#define SIM_HOSTS 6u
#define SIM_SERVERS 12u

/** Number of servers with mt_sim_options_t.speeds. With few servers, the leader
 * does not use the speeds, and some are down at times. */
#define SIM_SERVERS_UNEQUAL 18u

/** Data centres with servers. */
#define SIM_ZONES 3u

/** No task may start on a server that has reported this long ago that it
 * drains.
 */
#define SIM_DRAIN_MS 2500u

/** Bound of an evacuation, see mt_evacuations_new(). */
#define SIM_EVACUATION_MS 5000u

/** Placements per second on a cold server, in the configuration. */
#define SIM_COLD_PER_S 1

/** Bounds of the platform, see docs/design/uneven-load.md, section 3. */
#define SIM_COLD_OVERRUN 1.5
#define SIM_COLD_SLACK 5

typedef struct mt_sim_t mt_sim_t;

/** One process of an entry host; a restart creates a new object. */
typedef struct mt_sim_host_t {
	mt_sim_t *sim;
	unsigned index;
	mt_timers_t *timers;
	mt_kernel_t *kernel;
	mt_dag_host_t *host;
	bool dead;
	bool paused;
	bool store_unreachable;	  /**< calls to the store get no answer */
	bool servers_unreachable; /**< commands to servers get no answer */
	GQueue *deferred_events;  /**< mt_sim_event_t due while paused */
	mt_store_port_t store_port;
	mt_backend_port_t backend_port;
	mt_advice_port_t advice_port;
	mt_peer_port_t peer_port;
} mt_sim_host_t;

/** What the hosts of a simulation can do, besides what all hosts can. */
typedef struct mt_sim_options_t {
	bool evacuations; /**< data centres can be evacuated */
	bool speeds;	  /**< servers run at unequal speeds */
	bool cold;	  /**< servers are cold after a restart */
	bool leaving; /**< the only faults: servers answer no starts, and leave
		       */
	mt_admission_mode_t admission_mode;
} mt_sim_options_t;

struct mt_sim_t {
	mt_timers_t *timers; /**< events outside the hosts; virtual clock */
	GRand *rand;
	/** Of speeds and cold starts: without these, a seed has the same
	 * faults. */
	GRand *server_rand;
	mt_sim_host_t *hosts[SIM_HOSTS]; /**< NULL: not running */
	unsigned incarnations;		 /**< host processes started */
	/** 0: the hosts run in this process. Otherwise they run outside it, and
	 * this is the TCP port at which platformd serves the store to them. The
	 * number itself is not used, but a value other than 0 has two effects:
	 * servers report themselves as JSON, and jobs are loaded from the
	 * store, as submissions to external hosts are not seen here. */
	uint16_t store_tcp_port;
	uint16_t server_port; /**< first of the ports that servers report */
	unsigned breaches;
	unsigned n_servers;
	unsigned lost_servers; /**< servers that will not come back */
	bool verbose;
	mt_sim_options_t options;
	/* Active faults, named as in platformd's /test/faults query, which
	 * lacks `order_unsent`. An order is a command to a server. */
	bool store_down;
	double store_lost;   /**< share of appends without an answer */
	double order_lost;   /**< share of commands without an answer */
	double order_late;   /**< share of order_lost that executes late */
	double order_unsent; /**< share of commands without a connection */
	double order_busy;   /**< share answered with MT_COMMAND_UNAVAILABLE */
	mt_ms_t store_extra_ms; /**< added to the store's latency */
	struct mt_fake_store_t *store;
	struct mt_fake_fleet_t *fleet;
};

mt_sim_t *mt_sim_new(guint32 seed, bool verbose,
		     const mt_sim_options_t *options);

/**
 * Creates a store and servers, but no hosts. The caller advances
 * mt_sim_t.timers, which start at `now`. Servers report themselves in the
 * platform's JSON format, with ports from `server_port` on.
 */
mt_sim_t *mt_sim_new_without_hosts(guint32 seed, uint16_t store_tcp_port,
				   uint16_t server_port, mt_ms_t now);

/**
 * Creates a placeholder for hosts outside this process. Only its `store_port`
 * and `backend_port` may be used.
 */
mt_sim_host_t *mt_sim_new_external_host(mt_sim_t *sim);

void mt_sim_start_host(mt_sim_t *sim, unsigned index);
void mt_sim_kill_host(mt_sim_t *sim, unsigned index);

/** Pauses or resumes a host process. Events that become due meanwhile run when
 * it is resumed. */
void mt_sim_set_host_paused(mt_sim_t *sim, unsigned index, bool paused);

/** Runs all events up to `until`, in order of due time. */
void mt_sim_run(mt_sim_t *sim, mt_ms_t until);
mt_ms_t mt_sim_now(const mt_sim_t *sim);

/** Prints and counts a violated invariant; the seed fails. */
void mt_sim_breach(mt_sim_t *sim, const char *format, ...) G_GNUC_PRINTF(2, 3);

/** True with probability `share`. */
bool mt_sim_chance(mt_sim_t *sim, double share);

/**
 * Calls `cb` after `delay`. If the host is paused at that time, `cb` is called
 * when it is resumed; if it has been killed, `cb` is not called.
 */
void mt_sim_schedule_on_host(mt_sim_host_t *host, mt_ms_t delay, mt_timer_cb cb,
			     void *ctx);

#endif
