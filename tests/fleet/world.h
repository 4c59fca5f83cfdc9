/**
 * @file world.h
 * Virtual time, hosts and failures: several entry hosts run in one process
 * over a store and backend servers that live in memory.
 */
#ifndef MT_FLEET_WORLD_H
#define MT_FLEET_WORLD_H

#include "dag/host.h"
#include "kernel/kernel.h"

#define FLEET_HOSTS 4u
#define FLEET_SERVERS 12u

typedef struct mt_world_t mt_world_t;

/** One process of an entry host; a restart makes a new one. */
typedef struct mt_world_host_t {
	mt_world_t *world;
	unsigned index;
	mt_timers_t *timers;
	mt_kernel_t *kernel;
	mt_dag_host_t *host;
	bool dead;
	bool frozen;
	bool store_unreachable;	  /**< no answer from the store */
	bool servers_unreachable; /**< no answer from servers */
	GQueue *late;		  /**< mt_world_event_t kept while frozen */
	mt_store_port_t store_port;
	mt_backend_port_t backend_port;
	mt_advice_port_t advice_port;
} mt_world_host_t;

struct mt_world_t {
	mt_timers_t *timers; /**< the world's own events */
	GRand *rand;
	mt_world_host_t *hosts[FLEET_HOSTS];
	unsigned incarnations;
	uint16_t store_port;  /**< of a bare world; 0: none */
	uint16_t server_port; /**< first port that its servers report */
	unsigned breaches;
	unsigned vanished; /**< servers that are gone for good */
	bool verbose;
	/* Failures in force. */
	bool store_down;
	double store_lost;   /**< share of answers that are lost */
	double order_lost;   /**< share of orders without an answer */
	double order_late;   /**< of these, carried out seconds later */
	double order_unsent; /**< share of orders that find no connection */
	double order_busy;   /**< share of orders that a server turns away */
	mt_ms_t store_extra_ms;
	struct mt_fake_store_t *store;
	struct mt_fake_fleet_t *fleet;
};

mt_world_t *mt_world_new(guint32 seed, bool verbose);

/**
 * A world without hosts, whose owner advances its timers from `now` on. Its
 * servers report in the platform's form, at ports from `server_port` on.
 */
mt_world_t *mt_world_new_without_hosts(guint32 seed, uint16_t store_port,
				       uint16_t server_port, mt_ms_t now);

/** Ports of a bare world, for callers from outside. */
mt_world_host_t *mt_world_new_external_host(mt_world_t *world);
void mt_world_start_host(mt_world_t *world, unsigned index);
void mt_world_kill_host(mt_world_t *world, unsigned index);
void mt_world_freeze_host(mt_world_t *world, unsigned index, bool frozen);

/** Runs until `until`, in order of due times. */
void mt_world_run(mt_world_t *world, mt_ms_t until);
mt_ms_t mt_world_now(const mt_world_t *world);

/** A rule that the program promises does not hold. */
void mt_world_breach(mt_world_t *world, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/** True with probability `share`. */
bool mt_world_chance(mt_world_t *world, double share);

/** Calls `cb` in the host's turn, after `delay`; dropped when it has died. */
void mt_world_schedule_on_host(mt_world_host_t *host, mt_ms_t delay,
			       mt_timer_cb cb, void *ctx);

#endif
