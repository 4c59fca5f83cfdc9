/** @file world.c Virtual time, trace and hosts of the simulation. */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "soak/world_internal.h"

/** Interval at which tasks and waiting reads of the log are advanced. */
#define FLEET_TICK_MS 100u
#define SERVERS_PER_RACK 2

/** Time for which a leaving server may still get a START; a later one is a
 * breach. */
#define LEAVING_GRACE_MS 3000u

/** Latency of a message: a minimum and the bound of a random part. */
#define LOCAL_LATENCY_MS 1u
#define REMOTE_LATENCY_MS 20u
#define LATENCY_RANGE_MS 3u

/**
 * Index of the data centre that is in another region than the platform and the
 * other data centres.
 */
#define REMOTE_DC 2u

static const char *const dc_names[MT_SOAK_DCS] = {"tunis", "bizerte", "sfax"};

/** Data centre of each host, as an index of dc_names. */
static const guint host_dcs[MT_SOAK_HOSTS] = {0, 0, 0, 1, 1, 2, 2};

const char *mt_soak_dc_name(guint dc)
{
	return dc_names[dc];
}

guint mt_world_random_below(mt_world_t *world, guint below)
{
	return (guint)g_rand_int_range(world->rand, 0, (gint32)below);
}

bool mt_world_random_bool(mt_world_t *world, double share)
{
	return share > 0 && g_rand_double(world->rand) < share;
}

mt_ms_t mt_world_now(const mt_world_t *world)
{
	return mt_timers_now(world->world_timers);
}

static bool is_frozen(const mt_host_t *host)
{
	return mt_world_now(host->world) < host->frozen_until;
}

mt_host_ref_t mt_host_ref(mt_host_t *host)
{
	return (mt_host_ref_t){host, host->incarnation_number};
}

bool mt_host_ref_is_current(const mt_host_ref_t *origin)
{
	return origin->host->alive &&
	       origin->host->incarnation_number == origin->incarnation_number;
}

const mt_name_t *mt_world_server_id(const mt_world_t *world, guint index)
{
	return &g_array_index(world->server_infos, mt_server_info_t, index).id;
}

/* Trace. */

void mt_world_trace(mt_world_t *world, const char *format, ...)
{
	char message[512];
	va_list args;
	char **line = &world->trace[world->trace_next++ % MT_SOAK_TRACE_LINES];

	va_start(args, format);
	vsnprintf(message, sizeof(message), format, args);
	va_end(args);
	g_free(*line);
	*line = g_strdup_printf("%10.3f %s", (double)mt_world_now(world) / 1000,
				message);
	if (world->verbose)
		fprintf(stderr, "%s\n", *line);
}

void mt_world_print_trace(const mt_world_t *world)
{
	for (guint i = 0; i < MT_SOAK_TRACE_LINES; i++) {
		const char *line = world->trace[(world->trace_next + i) %
						MT_SOAK_TRACE_LINES];

		if (line)
			printf("%s\n", line);
	}
}

void mt_world_breach(mt_world_t *world, const char *format, ...)
{
	char message[512];
	va_list args;

	va_start(args, format);
	vsnprintf(message, sizeof(message), format, args);
	va_end(args);
	world->breaches++;
	mt_world_trace(world, "BREACH %s", message);
}

/* Latency. */

mt_ms_t mt_network_latency(mt_world_t *world, bool between_regions)
{
	return (between_regions ? REMOTE_LATENCY_MS : LOCAL_LATENCY_MS) +
	       mt_world_random_below(world, LATENCY_RANGE_MS);
}

mt_ms_t mt_platform_latency(mt_host_t *host)
{
	return mt_network_latency(host->world, host->dc == REMOTE_DC);
}

mt_ms_t mt_link_latency(const mt_host_t *from, const mt_host_t *to)
{
	return mt_network_latency(from->world, (from->dc == REMOTE_DC) !=
						       (to->dc == REMOTE_DC));
}

void mt_world_after(mt_world_t *world, mt_ms_t delay, mt_timer_cb cb, void *ctx)
{
	mt_timers_after(world->world_timers, delay, cb, ctx);
}

bool mt_defer_while_frozen(const mt_host_ref_t *origin, mt_timer_cb cb,
			   void *ctx)
{
	mt_world_t *world = origin->host->world;

	if (!mt_host_ref_is_current(origin) || !is_frozen(origin->host))
		return false;
	mt_world_after(world, origin->host->frozen_until - mt_world_now(world),
		       cb, ctx);
	return true;
}

void mt_host_advance(mt_host_t *host)
{
	mt_timers_advance(host->timers, mt_world_now(host->world));
}

bool mt_is_platform_cut(const mt_host_t *host)
{
	return host->world->active_faults.platform_cut[host->dc];
}

/* Hosts. */

static void on_message(void *ctx, mt_log_level_t level, const char *service,
		       const char *message)
{
	mt_host_t *host = ctx;

	(void)level;
	mt_world_trace(host->world, "%s %s: %s", host->settings->host.text,
		       service, message);
}

static void on_breach(void *ctx, const char *invariant, const char *detail)
{
	mt_host_t *host = ctx;

	mt_world_breach(host->world, "%s: invariant %s: %s",
			host->settings->host.text, invariant, detail);
}

void mt_world_start_host(mt_world_t *world, guint index)
{
	mt_host_t *host = &world->hosts[index];
	mt_node_ports_t ports = {.log = mt_fake_log_port(host),
				 .servers = mt_fake_server_port(host),
				 .server_list = mt_fake_server_list_port(host),
				 .peers = mt_fake_peer_port(host)};
	char text[MT_NAME_MAX_BYTES];
	mt_name_t incarnation;

	g_assert(!host->alive);
	host->incarnation_number++;
	host->alive = true;
	host->draining = false;
	host->frozen_until = 0;
	memset(host->list_versions, 0, sizeof(host->list_versions));
	g_snprintf(text, sizeof(text), "%s-i%u", host->settings->host.text,
		   host->incarnation_number);
	incarnation = mt_name(text);
	mt_world_trace(world, "start %s", text);
	host->timers = mt_timers_new(mt_world_now(world));
	host->kernel = mt_kernel_new(host->settings->host.text, host->timers,
				     g_rand_int(world->rand));
	mt_kernel_set_sink(host->kernel, on_message, host);
	mt_kernel_on_breach(host->kernel, on_breach, host);
	host->node =
		mt_node_new(host->kernel, host->settings, &incarnation, &ports);
	mt_node_start(host->node);
}

void mt_world_kill_host(mt_world_t *world, guint index)
{
	mt_host_t *host = &world->hosts[index];

	mt_world_trace(world, "kill %s", host->settings->host.text);
	host->alive = false;
	mt_node_free(host->node);
	mt_kernel_free(host->kernel);
	mt_timers_free(host->timers);
	host->node = NULL;
}

static mt_name_t host_name(guint index)
{
	char text[MT_NAME_MAX_BYTES];

	g_snprintf(text, sizeof(text), "%s-%u", dc_names[host_dcs[index]],
		   index);
	return mt_name(text);
}

static mt_settings_t *make_settings(guint index)
{
	mt_settings_t *settings = g_new0(mt_settings_t, 1);

	settings->host = host_name(index);
	settings->dc = mt_name(dc_names[host_dcs[index]]);
	settings->data_centres = g_array_new(FALSE, TRUE, sizeof(mt_name_t));
	settings->peers = g_array_new(FALSE, TRUE, sizeof(mt_peer_setting_t));
	for (guint i = 0; i < MT_SOAK_DCS; i++) {
		mt_name_t dc = mt_name(dc_names[i]);

		g_array_append_val(settings->data_centres, dc);
	}
	for (guint i = 0; i < MT_SOAK_HOSTS; i++) {
		mt_peer_setting_t peer = {.host = host_name(i),
					  .dc = mt_name(dc_names[host_dcs[i]])};

		if (i != index)
			g_array_append_val(settings->peers, peer);
	}
	settings->policy = (mt_policy_t){.completion_weight = 70,
					 .fragmentation_weight = 30,
					 .value_weight = 5,
					 .aging_s = 300};
	settings->lease_term_ms = MT_SOAK_LEASE_MS;
	settings->renew_ms = MT_SOAK_RENEW_MS;
	settings->heartbeat_ms = 400;
	settings->peer_timeout_ms = 2000;
	settings->append_spacing_ms = 50;
	settings->append_queue_records = 2000;
	settings->jobs_queued_per_account = 5000;
	settings->drain_ms = 20000;
	return settings;
}

static void add_servers(mt_world_t *world)
{
	for (guint i = 0; i < MT_SOAK_DCS * MT_SOAK_SERVERS_PER_DC; i++) {
		mt_server_info_t info = {0};
		guint dc = i / MT_SOAK_SERVERS_PER_DC;
		guint number = i % MT_SOAK_SERVERS_PER_DC;
		char text[MT_NAME_MAX_BYTES];

		g_snprintf(text, sizeof(text), "%s-gpu-%u", dc_names[dc],
			   number);
		info.id = mt_name(text);
		info.dc = mt_name(dc_names[dc]);
		info.rack = number / SERVERS_PER_RACK;
		info.processors = 64;
		info.memory_mb = 262144;
		info.accelerators = 8;
		info.slots = 8;
		g_array_append_val(world->server_infos, info);
		mt_fleet_model_add(world->fleet, &info);
	}
}

static void on_fleet_tick(void *ctx)
{
	mt_world_t *world = ctx;

	mt_fleet_model_advance(world->fleet, mt_world_now(world));
	mt_fake_log_wake_readers(world);
}

mt_world_t *mt_world_new(guint32 seed, uint64_t retention_ms)
{
	mt_world_t *world = g_new0(mt_world_t, 1);

	world->rand = g_rand_new_with_seed(seed);
	world->world_timers = mt_timers_new(MT_SOAK_START_MS);
	world->log = mt_log_model_new(retention_ms);
	world->fleet =
		mt_fleet_model_new(MT_SOAK_PARTIAL_MAX_MS, LEAVING_GRACE_MS);
	world->server_infos =
		g_array_new(FALSE, TRUE, sizeof(mt_server_info_t));
	add_servers(world);
	world->active_faults.server_unreachable =
		g_new0(bool, world->server_infos->len);
	world->active_faults.server_unlisted =
		g_new0(bool, world->server_infos->len);
	world->log_waiters = g_ptr_array_new();
	for (guint i = 0; i < MT_SOAK_HOSTS; i++) {
		mt_host_t *host = &world->hosts[i];

		host->world = world;
		host->index = i;
		host->dc = host_dcs[i];
		host->settings = make_settings(i);
	}
	mt_timers_every(world->world_timers, FLEET_TICK_MS, on_fleet_tick,
			world);
	return world;
}

void mt_world_free(mt_world_t *world)
{
	for (guint i = 0; i < MT_SOAK_HOSTS; i++) {
		if (world->hosts[i].alive)
			mt_world_kill_host(world, i);
		mt_settings_free(world->hosts[i].settings);
	}
	for (guint i = 0; i < MT_SOAK_TRACE_LINES; i++)
		g_free(world->trace[i]);
	g_free(world->active_faults.server_unreachable);
	g_free(world->active_faults.server_unlisted);
	g_ptr_array_unref(world->log_waiters);
	g_array_unref(world->server_infos);
	mt_fleet_model_free(world->fleet);
	mt_log_model_free(world->log);
	mt_timers_free(world->world_timers);
	g_rand_free(world->rand);
	g_free(world);
}

mt_host_t *mt_world_pick_host(mt_world_t *world)
{
	guint start = mt_world_random_below(world, MT_SOAK_HOSTS);

	for (guint i = 0; i < MT_SOAK_HOSTS; i++) {
		mt_host_t *host = &world->hosts[(start + i) % MT_SOAK_HOSTS];

		if (host->alive && !is_frozen(host))
			return host;
	}
	return NULL;
}

/**
 * Time at which the host's next timer can run, which is not before the end of a
 * freeze. MT_NEVER_MS if the host is not alive.
 */
static mt_ms_t next_due(const mt_host_t *host)
{
	mt_ms_t due = host->alive ? mt_timers_next(host->timers) : MT_NEVER_MS;

	return due == MT_NEVER_MS ? due : MAX(due, host->frozen_until);
}

void mt_world_step(mt_world_t *world)
{
	mt_ms_t next = mt_timers_next(world->world_timers);
	mt_host_t *first = NULL;

	for (guint i = 0; i < MT_SOAK_HOSTS; i++) {
		mt_ms_t due = next_due(&world->hosts[i]);

		if (due < next) {
			next = due;
			first = &world->hosts[i];
		}
	}
	world->steps++;
	mt_timers_advance(world->world_timers, MAX(next, mt_world_now(world)));
	if (first && first->alive && !is_frozen(first))
		mt_host_advance(first);
}
