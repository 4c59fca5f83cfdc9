/**
 * @file fleet.h
 * The backend servers of the local data centre, and this host's leases on them.
 *
 * There are two kinds of leases:
 *  - A server lease gives its holder the right to send commands to the server.
 *    It has no term; it lasts until another host takes it. It is identified by
 *    the server's boot id and a fencing token that increases each time the
 *    lease is taken. Every command carries both, so a server rejects
 *    commands from an earlier holder.
 *  - A task lease lets one task run for a term. The server stops the task
 *    unless the holder of the server lease renews it.
 *
 * While this host is the scheduler, or is handing over to the next one, the
 * fleet is active: it takes the lease of each server, renews the leases of the
 * tasks there and passes on the server's reports.
 *
 * The boot id changes whenever the server's process starts. A report is the
 * server's list of its tasks, as sent in a reply. Words in capitals, such as
 * LEASE and RENEW, are the requests to servers in mt_server_op_t.
 */
#ifndef MT_NODE_FLEET_H
#define MT_NODE_FLEET_H

#include "kernel/kernel.h"
#include "net/server_port.h"
#include "settings/settings.h"

/** See mt_fleet_is_gone(). */
#define MT_SERVER_GONE_MS 60000u

typedef struct mt_fleet_server_t {
	mt_server_info_t info;
	bool listed;	     /**< part of the last list of servers */
	mt_ms_t unlisted_at; /**< valid if not listed */
	bool leased;	     /**< this host holds the lease, as far as known */
	/**
	 * The last LEASE or RENEW succeeded, and this process was not paused
	 * since the answer arrived. The call may have been sent before a pause;
	 * mt_fleet_is_usable() checks the age of `last_ok_sent_at` as well.
	 */
	bool confirmed;
	/**
	 * The server is draining, as stated by its report or by the list. Both
	 * call this "leaving".
	 */
	bool leaving;
	mt_name_t boot;	   /**< boot id of the server process */
	uint64_t token;	   /**< fencing token of the server lease */
	uint64_t sequence; /**< of the last command or RENEW under `token` */
	uint64_t version;  /**< of the last task report */
	/** Send time of the last LEASE or RENEW that succeeded. */
	mt_ms_t last_ok_sent_at;
	mt_ms_t last_ok_answered_at; /**< arrival time of its answer */
	mt_ms_t retry_at; /**< no LEASE or RENEW is sent before this */
	mt_ms_t backoff; /**< delay after the next failed call, before jitter */
	bool call_pending; /**< a LEASE or RENEW is in progress */
	GArray *tasks;	   /**< mt_task_report_t of the last report, or NULL */
} mt_fleet_server_t;

typedef enum mt_fleet_event_t {
	MT_FLEET_LEASED, /**< server lease taken; all tasks were reported */
	/** New task report, or the server lease is confirmed again. */
	MT_FLEET_REPORT,
	MT_FLEET_RENEWED,      /**< task leases renewed; no task has changed */
	MT_FLEET_LEASE_LOST,   /**< another host has taken the server lease */
	MT_FLEET_LIST_UPDATED, /**< a new list was fetched; `server` is NULL */
} mt_fleet_event_t;

typedef struct mt_fleet_handler_t {
	void *ctx;
	void (*event)(void *ctx, mt_fleet_server_t *server,
		      mt_fleet_event_t event);
	/** Appends the names of the tasks whose leases must not be renewed. */
	void (*add_tasks_to_skip)(void *ctx, const mt_fleet_server_t *server,
				  GArray *tasks);
	/**
	 * True if server leases may be taken; otherwise only task leases are
	 * renewed.
	 */
	bool (*may_take_leases)(void *ctx);
} mt_fleet_handler_t;

typedef struct mt_fleet_t mt_fleet_t;

mt_fleet_t *mt_fleet_new(mt_kernel_t *kernel, const mt_settings_t *settings,
			 const mt_name_t *incarnation,
			 const mt_server_port_t *servers,
			 const mt_server_list_port_t *server_list);
void mt_fleet_free(mt_fleet_t *fleet);
void mt_fleet_set_handler(mt_fleet_t *fleet, const mt_fleet_handler_t *handler);
void mt_fleet_start(mt_fleet_t *fleet);

/**
 * Starts taking server leases and renewing task leases, or stops doing so.
 * Stopping sends nothing to the servers, so tasks keep running until their
 * leases expire or another host renews them.
 */
void mt_fleet_set_active(mt_fleet_t *fleet, bool active);
bool mt_fleet_is_active(const mt_fleet_t *fleet);

/**
 * Must be called after this process was paused: treats all server leases as
 * unconfirmed until the servers have answered a renewal, and ends all backoffs,
 * so that the next tick sends the renewals. While a call to a server is
 * pending, no renewal is sent to this server.
 */
void mt_fleet_on_pause(mt_fleet_t *fleet);

mt_fleet_server_t *mt_fleet_find(const mt_fleet_t *fleet, const mt_name_t *id);

/** All known servers, listed or not, by rack and id (mt_fleet_server_t *). */
GPtrArray *mt_fleet_servers(const mt_fleet_t *fleet);

/**
 * Last list of servers (mt_server_info_t) of all data centres; NULL before the
 * first one.
 */
const GArray *mt_fleet_listed_servers(const mt_fleet_t *fleet);
bool mt_fleet_has_list(const mt_fleet_t *fleet);

/** True if tasks may be started on the server now. */
bool mt_fleet_is_usable(const mt_fleet_t *fleet,
			const mt_fleet_server_t *server);

/** True if the server's last report includes this task. */
bool mt_fleet_has_task(const mt_fleet_server_t *server, const mt_name_t *task);

/**
 * True if this host holds the lease of every listed server; false before the
 * first list.
 */
bool mt_fleet_all_leased(const mt_fleet_t *fleet);
guint mt_fleet_leased_count(const mt_fleet_t *fleet);

/**
 * True if the server is considered permanently gone: it has been missing from
 * the list for MT_SERVER_GONE_MS, and this host does not hold its lease. For a
 * server that has never been listed, the time counts from the first list.
 */
bool mt_fleet_is_gone(const mt_fleet_t *fleet, const mt_name_t *id);

/**
 * Sends a command to a leased server, with boot id, token, sequence and term of
 * the task lease filled in. If the server answers that the token is stale, the
 * server lease is dropped before `cb` is called.
 */
void mt_fleet_command(mt_fleet_t *fleet, mt_fleet_server_t *server,
		      mt_server_request_t *request, mt_server_cb cb, void *ctx);

#endif
