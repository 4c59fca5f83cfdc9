/**
 * @file faults.c
 * Injection of random faults. The trace names the targets of some faults by
 * index. Host names end in the index of the host; server `i` is the server with
 * the name "DC-gpu-N", where DC is the name of data centre i /
 * MT_SOAK_SERVERS_PER_DC and N is i % MT_SOAK_SERVERS_PER_DC.
 */
#include "soak/faults.h"

#include <string.h>

/** Argument of the timer callback that ends a fault. */
typedef struct mt_fault_end_t {
	mt_world_t *world;
	guint target; /**< index of the host, data centre or server */
	/**
	 * If a link was cut: index of the host or data centre at its other end.
	 * If a host drains: incarnation number of the draining process. Else 0.
	 */
	guint other;
} mt_fault_end_t;

typedef void (*mt_inject_cb)(mt_world_t *world);

/** Random time, at least `low` and less than `high`. */
static mt_ms_t random_between(mt_world_t *world, guint low, guint high)
{
	return low + mt_world_random_below(world, high - low);
}

static void schedule_fault_end(mt_world_t *world, mt_ms_t delay, mt_timer_cb cb,
			       guint target, guint other)
{
	mt_fault_end_t *end = g_new0(mt_fault_end_t, 1);

	*end = (mt_fault_end_t){world, target, other};
	mt_timers_after(world->world_timers, delay, cb, end);
}

/* Hosts. */

static void on_restart(void *ctx)
{
	mt_fault_end_t *end = ctx;

	if (!end->world->hosts[end->target].alive)
		mt_world_start_host(end->world, end->target);
	g_free(end);
}

static void kill_host(mt_world_t *world)
{
	guint index = mt_world_random_below(world, MT_SOAK_HOSTS);

	if (!world->hosts[index].alive)
		return;
	mt_world_kill_host(world, index);
	schedule_fault_end(world, random_between(world, 200, 20000), on_restart,
			   index, 0);
}

/** Kills all hosts of one data centre; each restarts after 1 to 30 s. */
static void restart_dc(mt_world_t *world)
{
	guint dc = mt_world_random_below(world, MT_SOAK_DCS);

	for (guint i = 0; i < MT_SOAK_HOSTS; i++) {
		if (world->hosts[i].dc != dc || !world->hosts[i].alive)
			continue;
		mt_world_kill_host(world, i);
		schedule_fault_end(world, random_between(world, 1000, 30000),
				   on_restart, i, 0);
	}
}

/** Kills a host that has finished draining, and restarts it 1 s later. */
static void poll_drain(void *ctx)
{
	mt_fault_end_t *end = ctx;
	mt_host_t *host = &end->world->hosts[end->target];

	/* Another incarnation: the draining process was killed meanwhile. */
	if (!host->alive || host->incarnation_number != end->other) {
		g_free(end);
	} else if (mt_node_is_drained(host->node) ||
		   mt_world_now(end->world) >= host->drain_deadline) {
		mt_world_kill_host(end->world, end->target);
		mt_timers_after(end->world->world_timers, 1000, on_restart,
				end);
	} else {
		mt_timers_after(end->world->world_timers, 200, poll_drain, end);
	}
}

static void drain_host(mt_world_t *world)
{
	mt_host_t *host = mt_world_pick_host(world);

	if (!host || host->draining)
		return;
	mt_world_trace(world, "drain %s", host->settings->host.text);
	host->draining = true;
	/* mimosaturnd exits at this time even if no other host has taken over
	 * its work. */
	host->drain_deadline = mt_world_now(world) + host->settings->drain_ms;
	mt_timers_advance(host->timers, mt_world_now(world));
	mt_node_drain(host->node);
	schedule_fault_end(world, 200, poll_drain, host->index,
			   host->incarnation_number);
}

static void freeze_host(mt_world_t *world)
{
	mt_host_t *host = mt_world_pick_host(world);

	if (!host)
		return;
	host->frozen_until =
		mt_world_now(world) + random_between(world, 500, 25000);
	mt_world_trace(world, "freeze %s until %.3f", host->settings->host.text,
		       (double)host->frozen_until / 1000);
}

/* Networks. */

static void on_host_link_restored(void *ctx)
{
	mt_fault_end_t *end = ctx;

	end->world->active_faults.host_cut[end->target][end->other] = false;
	g_free(end);
}

/** Cuts one direction of the link between two hosts. */
static void cut_host_link(mt_world_t *world)
{
	guint a = mt_world_random_below(world, MT_SOAK_HOSTS);
	guint b = mt_world_random_below(world, MT_SOAK_HOSTS);

	mt_world_trace(world, "cut host %u to %u", a, b);
	world->active_faults.host_cut[a][b] = true;
	schedule_fault_end(world, random_between(world, 1000, 30000),
			   on_host_link_restored, a, b);
}

static void on_dc_links_restored(void *ctx)
{
	mt_fault_end_t *end = ctx;

	end->world->active_faults.dc_cut[end->target][end->other] = false;
	end->world->active_faults.dc_cut[end->other][end->target] = false;
	g_free(end);
}

static void cut_dc_links(mt_world_t *world)
{
	guint a = mt_world_random_below(world, MT_SOAK_DCS);
	guint b = (a + 1) % MT_SOAK_DCS;

	mt_world_trace(world, "cut data centres %u and %u", a, b);
	world->active_faults.dc_cut[a][b] = true;
	world->active_faults.dc_cut[b][a] = true;
	schedule_fault_end(world, random_between(world, 2000, 60000),
			   on_dc_links_restored, a, b);
}

static void on_platform_restored(void *ctx)
{
	mt_fault_end_t *end = ctx;

	end->world->active_faults.platform_cut[end->target] = false;
	mt_world_trace(end->world, "data centre %u reaches the platform again",
		       end->target);
	g_free(end);
}

static void cut_platform(mt_world_t *world)
{
	guint dc = mt_world_random_below(world, MT_SOAK_DCS);

	mt_world_trace(world, "cut data centre %u from the platform", dc);
	world->active_faults.platform_cut[dc] = true;
	schedule_fault_end(world, random_between(world, 1000, 40000),
			   on_platform_restored, dc, 0);
}

/* Log. */

static void on_log_restored(void *ctx)
{
	mt_fault_end_t *end = ctx;

	end->world->active_faults.log_away = false;
	end->world->active_faults.log_lost = 0;
	end->world->active_faults.log_late = 0;
	mt_world_trace(end->world, "log restored");
	g_free(end);
}

static void stop_log(mt_world_t *world)
{
	mt_world_trace(world, "log unavailable");
	world->active_faults.log_away = true;
	schedule_fault_end(world, random_between(world, 500, 30000),
			   on_log_restored, 0, 0);
}

static void lose_log_answers(mt_world_t *world)
{
	mt_world_trace(world, "log loses answers, appends delayed");
	world->active_faults.log_lost = 0.4;
	world->active_faults.log_late = 0.2;
	schedule_fault_end(world, random_between(world, 2000, 30000),
			   on_log_restored, 0, 0);
}

/* Backend servers. */

static guint pick_server(mt_world_t *world)
{
	return mt_world_random_below(world, world->server_infos->len);
}

static void on_commands_restored(void *ctx)
{
	mt_fault_end_t *end = ctx;

	end->world->active_faults.server_lost = 0;
	end->world->active_faults.server_late = 0;
	g_free(end);
}

/** Commands to servers execute late, or execute without an answer. */
static void impair_commands(mt_world_t *world)
{
	mt_world_trace(world, "answers of servers lost, commands delayed");
	world->active_faults.server_lost = 0.2;
	world->active_faults.server_late = 0.15;
	schedule_fault_end(world, random_between(world, 2000, 20000),
			   on_commands_restored, 0, 0);
}

static void on_server_restored(void *ctx)
{
	mt_fault_end_t *end = ctx;

	end->world->active_faults.server_unreachable[end->target] = false;
	end->world->active_faults.server_unlisted[end->target] = false;
	mt_world_trace(end->world, "server %u restored", end->target);
	g_free(end);
}

/** The server does not answer, but its tasks run until their leases expire. */
static void make_server_unreachable(mt_world_t *world)
{
	guint index = pick_server(world);

	mt_world_trace(world, "server %u unreachable", index);
	world->active_faults.server_unreachable[index] = true;
	schedule_fault_end(world, random_between(world, 1000, 30000),
			   on_server_restored, index, 0);
}

static void reboot_server(mt_world_t *world)
{
	guint index = pick_server(world);

	mt_world_trace(world, "server %u reboots", index);
	mt_fleet_model_reboot(world->fleet, mt_world_server_id(world, index),
			      mt_world_now(world));
}

/**
 * The server loses its tasks and is off the server list. A new server with the
 * same name is listed after 70 to 100 s, which is later than
 * MT_SERVER_GONE_MS, so that the hosts consider the old one gone. (The end of
 * an earlier fault of the server may list it sooner.)
 */
static void replace_server(mt_world_t *world)
{
	guint index = pick_server(world);

	mt_world_trace(world, "server %u replaced", index);
	mt_fleet_model_reboot(world->fleet, mt_world_server_id(world, index),
			      mt_world_now(world));
	world->active_faults.server_unreachable[index] = true;
	world->active_faults.server_unlisted[index] = true;
	schedule_fault_end(world, random_between(world, 70000, 100000),
			   on_server_restored, index, 0);
}

static void on_server_faults_ended(void *ctx)
{
	mt_fault_end_t *end = ctx;
	mt_server_faults_t *faults = mt_fleet_model_faults(
		end->world->fleet, mt_world_server_id(end->world, end->target));

	memset(faults, 0, sizeof(*faults));
	g_free(end);
}

static void make_server_fail_tasks(mt_world_t *world)
{
	guint index = pick_server(world);

	mt_world_trace(world, "server %u fails all tasks", index);
	mt_fleet_model_faults(world->fleet, mt_world_server_id(world, index))
		->fail_all = true;
	schedule_fault_end(world, random_between(world, 5000, 60000),
			   on_server_faults_ended, index, 0);
}

static void make_server_leave(mt_world_t *world)
{
	guint index = pick_server(world);

	mt_world_trace(world, "server %u leaves", index);
	mt_fleet_model_set_leaving(world->fleet,
				   mt_world_server_id(world, index),
				   mt_world_now(world));
	schedule_fault_end(world, random_between(world, 10000, 60000),
			   on_server_faults_ended, index, 0);
}

/** The server refuses checkpoints (in half the cases) or takes 0.1 to 30 s. */
static void impair_checkpoints(mt_world_t *world)
{
	guint index = pick_server(world);
	mt_server_faults_t *faults = mt_fleet_model_faults(
		world->fleet, mt_world_server_id(world, index));

	faults->refuse_checkpoint = mt_world_random_below(world, 2);
	faults->checkpoint_ms = (uint32_t)random_between(world, 100, 30000);
	schedule_fault_end(world, random_between(world, 5000, 60000),
			   on_server_faults_ended, index, 0);
}

static void refuse_starts(mt_world_t *world)
{
	guint index = pick_server(world);

	mt_fleet_model_faults(world->fleet, mt_world_server_id(world, index))
		->refuse_start = true;
	schedule_fault_end(world, random_between(world, 2000, 30000),
			   on_server_faults_ended, index, 0);
}

/** Each is equally likely; kill_host is listed twice. */
static const mt_inject_cb injectors[] = {
	kill_host,	   kill_host,	       drain_host,
	freeze_host,	   restart_dc,	       cut_host_link,
	cut_dc_links,	   cut_platform,       stop_log,
	lose_log_answers,  impair_commands,    make_server_unreachable,
	reboot_server,	   replace_server,     make_server_fail_tasks,
	make_server_leave, impair_checkpoints, refuse_starts};

void mt_faults_inject_one(mt_world_t *world)
{
	injectors[mt_world_random_below(world, G_N_ELEMENTS(injectors))](world);
}

void mt_faults_end_all(mt_world_t *world)
{
	for (guint i = 0; i < MT_SOAK_HOSTS; i++) {
		world->hosts[i].frozen_until = 0;
		if (!world->hosts[i].alive)
			mt_world_start_host(world, i);
	}
	memset(world->active_faults.platform_cut, 0,
	       sizeof(world->active_faults.platform_cut));
	memset(world->active_faults.dc_cut, 0,
	       sizeof(world->active_faults.dc_cut));
	memset(world->active_faults.host_cut, 0,
	       sizeof(world->active_faults.host_cut));
	world->active_faults.log_away = false;
	world->active_faults.log_lost = 0;
	world->active_faults.log_late = 0;
	world->active_faults.server_lost = 0;
	world->active_faults.server_late = 0;
	for (guint i = 0; i < world->server_infos->len; i++) {
		mt_server_faults_t *faults = mt_fleet_model_faults(
			world->fleet, mt_world_server_id(world, i));

		memset(faults, 0, sizeof(*faults));
		world->active_faults.server_unreachable[i] = false;
		world->active_faults.server_unlisted[i] = false;
	}
	mt_world_trace(world, "all faults ended");
}
