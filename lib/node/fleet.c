/** @file fleet.c Leases on the backend servers of the local data centre. */
#include "node/fleet.h"

#include <string.h>

/** Period at which the list of servers is fetched. */
#define LIST_PERIOD_MS 1000u

/** Period at which due LEASE and RENEW requests are sent. */
#define TICK_MS 100u

/**
 * Delay, before jitter, after a LEASE or RENEW that failed; doubles each time.
 */
#define BACKOFF_MIN_MS 200u
#define BACKOFF_MAX_MS 5000u

/**
 * Delay, before jitter, before this host takes back a server lease that another
 * host has taken.
 */
#define RETAKE_DELAY_MS 3000u

/**
 * A server counts as usable for this many renewal periods (setting `renew_ms`)
 * after the last successful LEASE or RENEW was sent.
 */
#define USABLE_RENEW_PERIODS 3u

struct mt_fleet_t {
	mt_kernel_t *kernel;
	const mt_settings_t *settings;
	mt_name_t incarnation;
	mt_server_port_t port;
	mt_server_list_port_t server_list;
	mt_fleet_handler_t handler;
	GHashTable *servers;	   /**< id to mt_fleet_server_t */
	GPtrArray *sorted_servers; /**< the same servers, by rack and id */
	GArray *listed_servers;	   /**< see mt_fleet_listed_servers() */
	mt_ms_t first_list_at;	   /**< when the first list was fetched */
	bool active;
	bool fetching;
	uint64_t list_timer;
	uint64_t tick_timer;
};

/** Context of one call to a server. */
typedef struct mt_call_t {
	mt_fleet_t *fleet;
	mt_name_t server;
	uint64_t token;
	mt_ms_t sent_at;
	mt_server_cb cb;
	void *ctx;
} mt_call_t;

static void fetch_list(void *ctx);
static void tick(void *ctx);

static void free_server(gpointer data)
{
	mt_fleet_server_t *server = data;

	g_clear_pointer(&server->tasks, g_array_unref);
	g_free(server);
}

mt_fleet_t *mt_fleet_new(mt_kernel_t *kernel, const mt_settings_t *settings,
			 const mt_name_t *incarnation,
			 const mt_server_port_t *servers,
			 const mt_server_list_port_t *server_list)
{
	mt_fleet_t *fleet = g_new0(mt_fleet_t, 1);

	fleet->kernel = kernel;
	fleet->settings = settings;
	fleet->incarnation = *incarnation;
	fleet->port = *servers;
	fleet->server_list = *server_list;
	fleet->servers = g_hash_table_new_full(mt_name_hash, mt_name_key_equal,
					       NULL, free_server);
	fleet->sorted_servers = g_ptr_array_new();
	return fleet;
}

void mt_fleet_free(mt_fleet_t *fleet)
{
	mt_timers_t *timers;

	if (!fleet)
		return;
	timers = mt_kernel_timers(fleet->kernel);
	mt_timers_cancel(timers, fleet->list_timer);
	mt_timers_cancel(timers, fleet->tick_timer);
	g_ptr_array_unref(fleet->sorted_servers);
	g_hash_table_destroy(fleet->servers);
	g_clear_pointer(&fleet->listed_servers, g_array_unref);
	g_free(fleet);
}

void mt_fleet_set_handler(mt_fleet_t *fleet, const mt_fleet_handler_t *handler)
{
	fleet->handler = *handler;
}

void mt_fleet_start(mt_fleet_t *fleet)
{
	mt_timers_t *timers = mt_kernel_timers(fleet->kernel);

	fleet->list_timer =
		mt_timers_every(timers, LIST_PERIOD_MS, fetch_list, fleet);
	fleet->tick_timer = mt_timers_every(timers, TICK_MS, tick, fleet);
	fetch_list(fleet);
}

static gint compare_servers(gconstpointer a, gconstpointer b)
{
	const mt_fleet_server_t *const *x = a;
	const mt_fleet_server_t *const *y = b;

	if ((*x)->info.rack != (*y)->info.rack)
		return (*x)->info.rack < (*y)->info.rack ? -1 : 1;
	return mt_name_compare(&(*x)->info.id, &(*y)->info.id);
}

static void update_listed_server(mt_fleet_t *fleet,
				 const mt_server_info_t *info)
{
	mt_fleet_server_t *server = mt_fleet_find(fleet, &info->id);

	if (!server) {
		server = g_new0(mt_fleet_server_t, 1);
		server->info = *info;
		server->backoff = BACKOFF_MIN_MS;
		g_hash_table_insert(fleet->servers, &server->info.id, server);
		g_ptr_array_add(fleet->sorted_servers, server);
	}
	/* A server that reported itself as leaving may not be listed as
	 * leaving yet, so the flag is kept while the server lease lasts. */
	server->leaving = info->leaving || (server->leaving && server->leased);
	server->info = *info;
	server->listed = true;
}

static void update_unlisted_times(mt_fleet_t *fleet)
{
	for (guint i = 0; i < fleet->sorted_servers->len; i++) {
		mt_fleet_server_t *server = fleet->sorted_servers->pdata[i];

		if (server->listed)
			server->unlisted_at = 0;
		else if (!server->unlisted_at)
			server->unlisted_at = mt_kernel_now(fleet->kernel);
	}
}

static void on_server_list(void *ctx, GArray *listed_servers)
{
	mt_fleet_t *fleet = ctx;

	fleet->fetching = false;
	if (!listed_servers) {
		/* The metric calls the backend servers "hosts", as the
		 * platform does. */
		mt_kernel_count(fleet->kernel, "host_list_failed_total");
		return;
	}
	for (guint i = 0; i < fleet->sorted_servers->len; i++)
		((mt_fleet_server_t *)fleet->sorted_servers->pdata[i])->listed =
			false;
	for (guint i = 0; i < listed_servers->len; i++) {
		const mt_server_info_t *info =
			&g_array_index(listed_servers, mt_server_info_t, i);

		if (mt_name_equal(&info->dc, &fleet->settings->dc))
			update_listed_server(fleet, info);
	}
	update_unlisted_times(fleet);
	g_ptr_array_sort(fleet->sorted_servers, compare_servers);
	if (!fleet->listed_servers)
		fleet->first_list_at = mt_kernel_now(fleet->kernel);
	g_clear_pointer(&fleet->listed_servers, g_array_unref);
	fleet->listed_servers = g_array_ref(listed_servers);
	fleet->handler.event(fleet->handler.ctx, NULL, MT_FLEET_LIST_UPDATED);
}

static void fetch_list(void *ctx)
{
	mt_fleet_t *fleet = ctx;

	if (fleet->fetching)
		return;
	fleet->fetching = true;
	fleet->server_list.fetch(fleet->server_list.self, on_server_list,
				 fleet);
}

mt_fleet_server_t *mt_fleet_find(const mt_fleet_t *fleet, const mt_name_t *id)
{
	return g_hash_table_lookup(fleet->servers, id);
}

GPtrArray *mt_fleet_servers(const mt_fleet_t *fleet)
{
	return fleet->sorted_servers;
}

const GArray *mt_fleet_listed_servers(const mt_fleet_t *fleet)
{
	return fleet->listed_servers;
}

bool mt_fleet_has_list(const mt_fleet_t *fleet)
{
	return fleet->listed_servers != NULL;
}

static void emit(mt_fleet_t *fleet, mt_fleet_server_t *server,
		 mt_fleet_event_t event)
{
	fleet->handler.event(fleet->handler.ctx, server, event);
}

/**
 * Stores the server's current token and boot id, under which the lease can be
 * taken, and ends the lease if this host held it.
 */
static void handle_stale_reply(mt_fleet_t *fleet, mt_fleet_server_t *server,
			       const mt_server_reply_t *reply)
{
	bool was_leased = server->leased;

	server->leased = false;
	server->confirmed = false;
	server->token = reply->token;
	server->boot = reply->boot;
	server->retry_at =
		mt_kernel_now(fleet->kernel) +
		(was_leased ? mt_kernel_jitter(fleet->kernel, RETAKE_DELAY_MS)
			    : 0);
	if (was_leased) {
		mt_kernel_count(fleet->kernel, "leases_lost_total");
		emit(fleet, server, MT_FLEET_LEASE_LOST);
	}
}

static void back_off(mt_fleet_t *fleet, mt_fleet_server_t *server)
{
	server->retry_at = mt_kernel_now(fleet->kernel) +
			   mt_kernel_jitter(fleet->kernel, server->backoff);
	server->backoff = MIN(server->backoff * 2, BACKOFF_MAX_MS);
}

/**
 * Stores the report in a reply. If the reply contains no list of tasks, the
 * tasks of the last report are kept.
 */
static void store_report(mt_fleet_server_t *server,
			 const mt_server_reply_t *reply)
{
	if (reply->tasks) {
		g_clear_pointer(&server->tasks, g_array_unref);
		server->tasks = g_array_ref(reply->tasks);
	}
	if (!server->tasks)
		server->tasks =
			g_array_new(FALSE, TRUE, sizeof(mt_task_report_t));
	server->version = reply->version;
	server->leaving = reply->leaving || server->info.leaving;
	server->backoff = BACKOFF_MIN_MS;
}

/**
 * Marks a LEASE or RENEW as ended. @return its server, or NULL if the answer
 * must be ignored because the fleet is no longer active
 */
static mt_fleet_server_t *finish_call(mt_call_t *call)
{
	mt_fleet_server_t *server = mt_fleet_find(call->fleet, &call->server);

	if (server)
		server->call_pending = false;
	return call->fleet->active ? server : NULL;
}

static void on_lease(void *ctx, const mt_server_reply_t *reply)
{
	mt_call_t *call = ctx;
	mt_fleet_t *fleet = call->fleet;
	mt_fleet_server_t *server = finish_call(call);

	if (server && reply->status == MT_REPLY_OK) {
		mt_kernel_count(fleet->kernel, "leases_taken_total");
		server->leased = true;
		server->confirmed = true;
		server->boot = reply->boot;
		server->token = reply->token;
		server->sequence = 0;
		g_clear_pointer(&server->tasks, g_array_unref);
		server->last_ok_sent_at = call->sent_at;
		server->last_ok_answered_at = mt_kernel_now(fleet->kernel);
		store_report(server, reply);
		emit(fleet, server, MT_FLEET_LEASED);
	} else if (server && reply->status == MT_REPLY_STALE) {
		handle_stale_reply(fleet, server, reply);
	} else if (server) {
		back_off(fleet, server);
	}
	g_free(call);
}

static mt_call_t *new_call(mt_fleet_t *fleet, const mt_fleet_server_t *server)
{
	mt_call_t *call = g_new0(mt_call_t, 1);

	call->fleet = fleet;
	call->server = server->info.id;
	call->token = server->token;
	call->sent_at = mt_kernel_now(fleet->kernel);
	return call;
}

static void take_lease(mt_fleet_t *fleet, mt_fleet_server_t *server)
{
	mt_server_request_t request = {.op = MT_SERVER_LEASE};

	request.holder = fleet->incarnation;
	request.expect = server->token;
	request.token = server->token + 1;
	server->call_pending = true;
	fleet->port.call(fleet->port.self, &server->info, &request, on_lease,
			 new_call(fleet, server));
}

static void on_renewed(void *ctx, const mt_server_reply_t *reply)
{
	mt_call_t *call = ctx;
	mt_fleet_t *fleet = call->fleet;
	mt_fleet_server_t *server = finish_call(call);

	if (!server || !server->leased || server->token != call->token) {
		g_free(call);
		return;
	}
	if (reply->status == MT_REPLY_OK) {
		bool unchanged = server->confirmed && !reply->tasks;

		server->confirmed = true;
		server->last_ok_sent_at = call->sent_at;
		server->last_ok_answered_at = mt_kernel_now(fleet->kernel);
		server->retry_at = 0;
		store_report(server, reply);
		emit(fleet, server,
		     unchanged ? MT_FLEET_RENEWED : MT_FLEET_REPORT);
	} else if (reply->status == MT_REPLY_STALE) {
		handle_stale_reply(fleet, server, reply);
	} else {
		server->confirmed = false;
		back_off(fleet, server);
	}
	g_free(call);
}

static void renew(mt_fleet_t *fleet, mt_fleet_server_t *server)
{
	mt_server_request_t request = {.op = MT_SERVER_RENEW};

	request.boot = server->boot;
	request.token = server->token;
	request.sequence = ++server->sequence;
	request.term_ms = fleet->settings->lease_term_ms;
	request.skip = g_array_new(FALSE, TRUE, sizeof(mt_name_t));
	request.seen = server->version;
	/* The server delays its answer until its report changes, at most for
	 * this time, which is thus also the renewal period. While the lease is
	 * not confirmed, the answer is needed at once. */
	request.wait_ms = server->confirmed ? fleet->settings->renew_ms : 0;
	fleet->handler.add_tasks_to_skip(fleet->handler.ctx, server,
					 request.skip);
	server->call_pending = true;
	fleet->port.call(fleet->port.self, &server->info, &request, on_renewed,
			 new_call(fleet, server));
	g_array_unref(request.skip);
}

static void tick(void *ctx)
{
	mt_fleet_t *fleet = ctx;
	mt_ms_t now = mt_kernel_now(fleet->kernel);

	if (!fleet->active)
		return;
	for (guint i = 0; i < fleet->sorted_servers->len; i++) {
		mt_fleet_server_t *server = fleet->sorted_servers->pdata[i];

		if (server->call_pending || now < server->retry_at)
			continue;
		if (server->leased)
			renew(fleet, server);
		else if (server->listed &&
			 fleet->handler.may_take_leases(fleet->handler.ctx))
			take_lease(fleet, server);
	}
}

void mt_fleet_set_active(mt_fleet_t *fleet, bool active)
{
	if (fleet->active == active)
		return;
	fleet->active = active;
	for (guint i = 0; i < fleet->sorted_servers->len; i++) {
		mt_fleet_server_t *server = fleet->sorted_servers->pdata[i];

		server->leased = false;
		server->confirmed = false;
		server->retry_at = 0;
		server->backoff = BACKOFF_MIN_MS;
		g_clear_pointer(&server->tasks, g_array_unref);
	}
	if (active)
		tick(fleet);
}

bool mt_fleet_is_active(const mt_fleet_t *fleet)
{
	return fleet->active;
}

void mt_fleet_on_pause(mt_fleet_t *fleet)
{
	for (guint i = 0; i < fleet->sorted_servers->len; i++) {
		mt_fleet_server_t *server = fleet->sorted_servers->pdata[i];

		server->confirmed = false;
		server->retry_at = 0;
	}
}

bool mt_fleet_is_usable(const mt_fleet_t *fleet,
			const mt_fleet_server_t *server)
{
	mt_ms_t usable_ms =
		USABLE_RENEW_PERIODS * (mt_ms_t)fleet->settings->renew_ms;

	return server->listed && server->leased && server->confirmed &&
	       !server->leaving &&
	       mt_kernel_now(fleet->kernel) <=
		       server->last_ok_sent_at + usable_ms;
}

bool mt_fleet_has_task(const mt_fleet_server_t *server, const mt_name_t *task)
{
	for (guint i = 0; server->tasks && i < server->tasks->len; i++) {
		const mt_task_report_t *report =
			&g_array_index(server->tasks, mt_task_report_t, i);

		if (mt_name_equal(&report->task, task))
			return true;
	}
	return false;
}

bool mt_fleet_all_leased(const mt_fleet_t *fleet)
{
	if (!fleet->listed_servers)
		return false;
	for (guint i = 0; i < fleet->sorted_servers->len; i++) {
		const mt_fleet_server_t *server =
			fleet->sorted_servers->pdata[i];

		if (server->listed && !server->leased)
			return false;
	}
	return true;
}

guint mt_fleet_leased_count(const mt_fleet_t *fleet)
{
	guint count = 0;

	for (guint i = 0; i < fleet->sorted_servers->len; i++)
		count += ((mt_fleet_server_t *)fleet->sorted_servers->pdata[i])
				 ->leased;
	return count;
}

bool mt_fleet_is_gone(const mt_fleet_t *fleet, const mt_name_t *id)
{
	const mt_fleet_server_t *server = mt_fleet_find(fleet, id);
	mt_ms_t since = server ? server->unlisted_at : fleet->first_list_at;

	if (!fleet->listed_servers ||
	    (server && (server->listed || server->leased)))
		return false;
	return mt_kernel_now(fleet->kernel) >= since + MT_SERVER_GONE_MS;
}

static void on_command(void *ctx, const mt_server_reply_t *reply)
{
	mt_call_t *call = ctx;
	mt_fleet_t *fleet = call->fleet;
	mt_fleet_server_t *server = mt_fleet_find(fleet, &call->server);

	if (reply->status == MT_REPLY_STALE && server && fleet->active &&
	    server->leased && server->token == call->token)
		handle_stale_reply(fleet, server, reply);
	call->cb(call->ctx, reply);
	g_free(call);
}

void mt_fleet_command(mt_fleet_t *fleet, mt_fleet_server_t *server,
		      mt_server_request_t *request, mt_server_cb cb, void *ctx)
{
	mt_call_t *call = new_call(fleet, server);

	g_assert(server->leased);
	call->cb = cb;
	call->ctx = ctx;
	request->boot = server->boot;
	request->token = server->token;
	request->sequence = ++server->sequence;
	request->term_ms = fleet->settings->lease_term_ms;
	fleet->port.call(fleet->port.self, &server->info, request, on_command,
			 call);
}
