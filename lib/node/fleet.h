/**
 * @file fleet.h
 * The backend servers of the own data centre, and the scheduler's leases on
 * them. While active it takes each server's token, renews tasks and reports
 * what the servers say. Every command carries (boot, token), so a server
 * refuses commands of an earlier holder.
 */
#ifndef MT_NODE_FLEET_H
#define MT_NODE_FLEET_H

#include "kernel/kernel.h"
#include "net/server_port.h"
#include "settings/settings.h"

/** A server that is not listed for this long counts as gone for good. */
#define MT_SERVER_GONE_MS 60000u

typedef struct mt_fleet_server_t {
	mt_server_info_t info;
	bool listed;
	mt_ms_t unlisted_at; /**< valid while not listed */
	bool leased;	     /**< the token is held, as far as is known */
	bool confirmed;	     /**< and was confirmed since the last pause */
	bool leaving;	     /**< by its own word or by the list */
	mt_name_t boot;
	uint64_t token;
	uint64_t sequence;
	uint64_t version;    /**< of the last report */
	mt_ms_t renewed_at;  /**< when the last renewal answered was sent */
	mt_ms_t answered_at; /**< when that answer came */
	mt_ms_t retry_at;
	mt_ms_t backoff;
	bool calling;  /**< a LEASE or RENEW is under way */
	GArray *tasks; /**< of mt_task_report_t; last report, or NULL */
} mt_fleet_server_t;

typedef enum mt_fleet_event_t {
	MT_FLEET_LEASED,     /**< token taken; all tasks reported */
	MT_FLEET_REPORT,     /**< tasks reported, or the server answers again */
	MT_FLEET_RENEWED,    /**< leases renewed; nothing has changed */
	MT_FLEET_LEASE_LOST, /**< the token is another holder's now */
	MT_FLEET_LIST_UPDATED, /**< the list of servers changed; server is NULL
				*/
} mt_fleet_event_t;

typedef struct mt_fleet_handler_t {
	void *ctx;
	void (*event)(void *ctx, mt_fleet_server_t *server,
		      mt_fleet_event_t event);
	/** Adds the names (mt_name_t) of tasks whose leases are to run out. */
	void (*add_skipped_tasks)(void *ctx, const mt_fleet_server_t *server,
				  GArray *tasks);
	/** True when other holders' tokens may be taken, not only kept. */
	bool (*may_take_leases)(void *ctx);
} mt_fleet_handler_t;

typedef struct mt_fleet_t mt_fleet_t;

mt_fleet_t *mt_fleet_new(mt_kernel_t *kernel, const mt_settings_t *settings,
			 const mt_name_t *incarnation,
			 const mt_server_port_t *servers,
			 const mt_hosts_port_t *hosts);
void mt_fleet_free(mt_fleet_t *fleet);
void mt_fleet_set_handler(mt_fleet_t *fleet, const mt_fleet_handler_t *handler);
void mt_fleet_start(mt_fleet_t *fleet);

/** Takes and keeps leases, or gives them up without touching any task. */
void mt_fleet_set_active(mt_fleet_t *fleet, bool active);
bool mt_fleet_is_active(const mt_fleet_t *fleet);

/** No answer counts as confirmed any more; renewals follow at once. */
void mt_fleet_on_pause(mt_fleet_t *fleet);

mt_fleet_server_t *mt_fleet_find(const mt_fleet_t *fleet, const mt_name_t *id);

/** Listed servers by rack and id (mt_fleet_server_t *), all known ones. */
GPtrArray *mt_fleet_servers(const mt_fleet_t *fleet);

/** Servers of other data centres, from the same list (mt_server_info_t). */
const GArray *mt_fleet_all_infos(const mt_fleet_t *fleet);
bool mt_fleet_has_list(const mt_fleet_t *fleet);

/** True when new work may be started there now. */
bool mt_fleet_is_usable(const mt_fleet_t *fleet,
			const mt_fleet_server_t *server);

/** True when the server's last report names this task. */
bool mt_fleet_has_task(const mt_fleet_server_t *server, const mt_name_t *task);

/** True when all listed servers are leased. */
bool mt_fleet_all_leased(const mt_fleet_t *fleet);
guint mt_fleet_leased_count(const mt_fleet_t *fleet);

/** True when the server will not come back. */
bool mt_fleet_is_gone(const mt_fleet_t *fleet, const mt_name_t *id);

/**
 * Sends a command to a leased server; fills in boot, token, sequence and
 * term. A stale answer ends the lease before `cb` is called.
 */
void mt_fleet_command(mt_fleet_t *fleet, mt_fleet_server_t *server,
		      mt_server_request_t *request, mt_server_cb cb, void *ctx);

#endif
