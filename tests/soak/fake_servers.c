/** @file fake_servers.c Backend servers of the simulation, and their list. */
#include "soak/world_internal.h"

/** A host learns after this time that a command to a server got no answer. */
#define COMMAND_TIMEOUT_MS 2000u

/** Interval of the check whether a RENEW that waits can be answered. */
#define RENEW_POLL_MS 200u

/** One command to a server (a call of mt_server_port_t), and its answer. */
typedef struct mt_fake_command_t {
	mt_host_ref_t origin;
	guint server; /**< index */
	mt_server_request_t request;
	/** RENEW: answered at this time even without a newer version. */
	mt_ms_t deadline;
	mt_server_reply_t reply;
	mt_server_cb cb;
	void *ctx;
} mt_fake_command_t;

static void free_command(mt_fake_command_t *command)
{
	g_clear_pointer(&command->request.skip, g_array_unref);
	g_clear_pointer(&command->request.start.payload, g_bytes_unref);
	mt_server_reply_clear(&command->reply);
	g_free(command);
}

static void answer_command(void *ctx)
{
	mt_fake_command_t *command = ctx;

	if (mt_defer_while_frozen(&command->origin, answer_command, command))
		return;
	if (mt_host_ref_is_current(&command->origin)) {
		mt_host_advance(command->origin.host);
		command->cb(command->ctx, &command->reply);
	}
	free_command(command);
}

static void answer_unknown(mt_fake_command_t *command)
{
	mt_server_reply_clear(&command->reply);
	command->reply = (mt_server_reply_t){.status = MT_REPLY_UNKNOWN};
	mt_world_after(command->origin.host->world, COMMAND_TIMEOUT_MS,
		       answer_command, command);
}

static void execute(mt_fake_command_t *command)
{
	mt_world_t *world = command->origin.host->world;

	mt_fleet_model_call(
		world->fleet, mt_world_server_id(world, command->server),
		&command->request, mt_world_now(world), &command->reply);
}

static void execute_delayed(void *ctx)
{
	mt_fake_command_t *command = ctx;

	if (!command->origin.host->world->active_faults
		     .server_unreachable[command->server])
		execute(command);
	free_command(command);
}

/**
 * Answers a RENEW once a task of the server has changed since the report that
 * the host has, or at the deadline of the command.
 */
static void poll_renewal(void *ctx)
{
	mt_fake_command_t *command = ctx;
	mt_world_t *world = command->origin.host->world;
	uint64_t version = mt_fleet_model_version(
		world->fleet, mt_world_server_id(world, command->server));

	if (command->reply.status == MT_REPLY_OK &&
	    version == command->request.seen &&
	    mt_world_now(world) < command->deadline) {
		mt_world_after(world, RENEW_POLL_MS, poll_renewal, command);
		return;
	}
	if (command->reply.status == MT_REPLY_OK) {
		mt_server_reply_clear(&command->reply);
		mt_fleet_model_renew_reply(
			world->fleet,
			mt_world_server_id(world, command->server),
			&command->request, mt_world_now(world),
			&command->reply);
	}
	if (world->active_faults.server_unreachable[command->server])
		answer_unknown(command);
	else
		mt_world_after(world, mt_network_latency(world, false),
			       answer_command, command);
}

static mt_fake_command_t *copy_command(const mt_fake_command_t *command)
{
	mt_fake_command_t *copy = g_memdup2(command, sizeof(*command));

	if (copy->request.skip)
		g_array_ref(copy->request.skip);
	if (copy->request.start.payload)
		g_bytes_ref(copy->request.start.payload);
	return copy;
}

static void on_command_arrival(void *ctx)
{
	mt_fake_command_t *command = ctx;
	mt_world_t *world = command->origin.host->world;

	if (world->active_faults.server_unreachable[command->server]) {
		answer_unknown(command);
		return;
	}
	if (command->request.op != MT_SERVER_RENEW &&
	    mt_world_random_bool(world, world->active_faults.server_late)) {
		mt_world_after(
			world,
			mt_world_random_below(world, MT_SOAK_DELAY_MAX_MS),
			execute_delayed, copy_command(command));
		answer_unknown(command);
		return;
	}
	execute(command);
	if (command->request.op == MT_SERVER_RENEW)
		poll_renewal(command);
	else if (mt_world_random_bool(world, world->active_faults.server_lost))
		answer_unknown(command);
	else
		mt_world_after(world, mt_network_latency(world, false),
			       answer_command, command);
}

/** Index of the server with this id, or -1. */
static int server_index(const mt_world_t *world, const mt_name_t *id)
{
	for (guint i = 0; i < world->server_infos->len; i++) {
		if (mt_name_equal(mt_world_server_id(world, i), id))
			return (int)i;
	}
	return -1;
}

static void fake_command(void *self, const mt_server_info_t *server,
			 const mt_server_request_t *request, mt_server_cb cb,
			 void *ctx)
{
	mt_host_t *host = self;
	mt_fake_command_t *command = g_new0(mt_fake_command_t, 1);

	command->origin = mt_host_ref(host);
	command->server = (guint)server_index(host->world, &server->id);
	command->request = *request;
	if (request->skip)
		g_array_ref(command->request.skip);
	if (request->start.payload)
		g_bytes_ref(command->request.start.payload);
	command->deadline = mt_world_now(host->world) + request->wait_ms;
	command->cb = cb;
	command->ctx = ctx;
	mt_world_after(host->world, mt_network_latency(host->world, false),
		       on_command_arrival, command);
}

/* Server list. */

typedef struct mt_fake_fetch_t {
	mt_host_ref_t origin;
	mt_server_list_cb cb;
	void *ctx;
} mt_fake_fetch_t;

static GArray *listed_servers(const mt_world_t *world)
{
	GArray *all = mt_fleet_model_infos(world->fleet);
	GArray *listed = g_array_new(FALSE, FALSE, sizeof(mt_server_info_t));

	for (guint i = 0; i < all->len; i++) {
		if (!world->active_faults.server_unlisted[i])
			g_array_append_vals(
				listed,
				&g_array_index(all, mt_server_info_t, i), 1);
	}
	g_array_unref(all);
	return listed;
}

static void answer_fetch(void *ctx)
{
	mt_fake_fetch_t *fetch = ctx;
	mt_host_t *host = fetch->origin.host;
	GArray *infos = NULL;

	if (mt_defer_while_frozen(&fetch->origin, answer_fetch, fetch))
		return;
	if (mt_host_ref_is_current(&fetch->origin)) {
		mt_host_advance(host);
		if (!mt_is_platform_cut(host))
			infos = listed_servers(host->world);
		fetch->cb(fetch->ctx, infos);
		if (infos)
			g_array_unref(infos);
	}
	g_free(fetch);
}

static void fake_fetch(void *self, mt_server_list_cb cb, void *ctx)
{
	mt_host_t *host = self;
	mt_fake_fetch_t *fetch = g_new0(mt_fake_fetch_t, 1);

	*fetch = (mt_fake_fetch_t){mt_host_ref(host), cb, ctx};
	mt_world_after(host->world, 2 * mt_platform_latency(host), answer_fetch,
		       fetch);
}

mt_server_port_t mt_fake_server_port(mt_host_t *host)
{
	return (mt_server_port_t){host, fake_command};
}

mt_server_list_port_t mt_fake_server_list_port(mt_host_t *host)
{
	return (mt_server_list_port_t){host, fake_fetch};
}
