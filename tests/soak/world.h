/**
 * @file world.h
 * Simulation with virtual time and injected faults: the hosts of a deployment
 * run the code of mimosaturnd (scheduling, recovery, membership) in one
 * process. The log, the backend servers, the server list and the links between
 * hosts are fakes.
 */
#ifndef MT_TESTS_SOAK_WORLD_H
#define MT_TESTS_SOAK_WORLD_H

#include "model/fleet_model.h"
#include "model/log_model.h"
#include "node/node.h"

#define MT_SOAK_DCS 3
#define MT_SOAK_HOSTS 7
#define MT_SOAK_SERVERS_PER_DC 6
#define MT_SOAK_TRACE_LINES 400

/**
 * The virtual clock starts here, not at 0: a time of 0 means "unset", for
 * example in mt_gang_run_t.partial_since (fleet_model.c).
 */
#define MT_SOAK_START_MS 1000000u

/** Term of the task leases, and interval of their renewal. */
#define MT_SOAK_LEASE_MS 10000u
#define MT_SOAK_RENEW_MS 2000u

/**
 * Limit of the time for which a gang may be partially running: the interval
 * until a renewal reports that one task was lost, a lease term until the leases
 * of the other tasks expire, and a margin of 1 s.
 */
#define MT_SOAK_PARTIAL_MAX_MS (MT_SOAK_LEASE_MS + MT_SOAK_RENEW_MS + 1000u)

typedef struct mt_world_t mt_world_t;

typedef struct mt_host_t {
	mt_world_t *world;
	guint index;
	guint dc;
	mt_settings_t *settings;
	guint incarnation_number; /**< number of starts so far */
	bool alive;
	bool draining;		/**< stopping gracefully */
	mt_ms_t drain_deadline; /**< end of draining at the latest */
	mt_ms_t frozen_until;	/**< process suspended until then */
	mt_timers_t *timers;
	mt_kernel_t *kernel;
	mt_node_t *node;
	/** Versions that check_list_versions() in main.c saw last. */
	uint64_t list_versions[MT_LIST_COUNT];
} mt_host_t;

/** Faults in effect, besides those of mt_server_faults_t and mt_host_t. */
typedef struct mt_active_faults_t {
	bool log_away;	 /**< the log refuses all requests */
	double log_lost; /**< share of appends that execute without an answer */
	/**
	 * Share of appends that execute late, by up to MT_SOAK_DELAY_MAX_MS,
	 * and without an answer.
	 */
	double log_late;
	/**
	 * Share of commands to servers, except RENEW (MT_SERVER_RENEW), that
	 * execute without an answer.
	 */
	double server_lost;
	/** As `server_lost`, but executed late, as those of `log_late`. */
	double server_late;
	/** Per data centre: no link to the log and the server list. */
	bool platform_cut[MT_SOAK_DCS];
	bool dc_cut[MT_SOAK_DCS][MT_SOAK_DCS];	     /**< [from][to] */
	bool host_cut[MT_SOAK_HOSTS][MT_SOAK_HOSTS]; /**< [from][to] */
	bool *server_unreachable;		     /**< per server */
	bool *server_unlisted; /**< per server: not in the server list */
} mt_active_faults_t;

struct mt_world_t {
	GRand *rand;
	mt_timers_t *world_timers; /**< virtual clock; timers of all but the
				    hosts */
	mt_log_model_t *log;
	mt_fleet_model_t *fleet;
	GArray *server_infos; /**< mt_server_info_t of all servers */
	mt_host_t hosts[MT_SOAK_HOSTS];
	mt_active_faults_t active_faults;
	GPtrArray *log_waiters; /**< log reads that wait for a record */
	uint64_t steps;		/**< calls of mt_world_step() */
	guint breaches;		/**< see mt_world_breach() */
	char *trace[MT_SOAK_TRACE_LINES]; /**< ring buffer */
	guint trace_next;		  /**< lines added so far */
	bool verbose;			  /**< also print the trace to stderr */
};

mt_world_t *mt_world_new(guint32 seed, uint64_t retention_ms);
void mt_world_free(mt_world_t *world);

/** Virtual time; starts at MT_SOAK_START_MS. */
mt_ms_t mt_world_now(const mt_world_t *world);
void mt_world_start_host(mt_world_t *world, guint index);
void mt_world_kill_host(mt_world_t *world, guint index);

/**
 * Advances the virtual time to the next due timer, of `world_timers` or of a
 * host. Runs the timers of `world_timers` that are due then. If the next timer
 * is one of a host, also runs the due timers of that host; those of other hosts
 * run in later steps at the same time.
 */
void mt_world_step(mt_world_t *world);

/** Adds a line to the trace, which keeps the last MT_SOAK_TRACE_LINES. */
void mt_world_trace(mt_world_t *world, const char *format, ...)
	G_GNUC_PRINTF(2, 3);
void mt_world_print_trace(const mt_world_t *world);

/**
 * Counts and traces a breach, that is, a violated invariant or a failed check.
 * The seed then fails.
 */
void mt_world_breach(mt_world_t *world, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/** Name of a data centre, by its index. */
const char *mt_soak_dc_name(guint dc);

/** Id of a server, by its index in `server_infos`. */
const mt_name_t *mt_world_server_id(const mt_world_t *world, guint index);

/** A random host that is alive and not frozen, or NULL. */
mt_host_t *mt_world_pick_host(mt_world_t *world);

/** Appends a record to the log without latency or faults. */
void mt_world_append(mt_world_t *world, const char *stream, GBytes *record);

/** Random number from 0 to `below` - 1. */
guint mt_world_random_below(mt_world_t *world, guint below);

#endif
