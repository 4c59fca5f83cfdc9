/** @file world.c Runs simulated hosts on virtual time. */
#include "fleet/world.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/fake_servers.h"
#include "fleet/fake_store.h"

/** Virtual time at the start: like the clock of a machine that is up. */
#define START_MS 1000000u

/** Unix time at virtual time 0. */
#define UNIX_EPOCH_MS 1700000000000

/** Read by clock callbacks, which have no context argument. */
static mt_world_t *current_world;

/** A callback that is due on a host. */
typedef struct mt_world_event_t {
	mt_world_host_t *host;
	mt_timer_cb cb;
	void *ctx;
} mt_world_event_t;

static int64_t wall_ms(void)
{
	return UNIX_EPOCH_MS + (int64_t)mt_world_now(current_world);
}

mt_ms_t mt_world_now(const mt_world_t *world)
{
	return mt_timers_now(world->timers);
}

bool mt_world_chance(mt_world_t *world, double share)
{
	return share > 0 && g_rand_double(world->rand) < share;
}

void mt_world_breach(mt_world_t *world, const char *format, ...)
{
	va_list args;

	world->breaches++;
	printf("  breach at %.3f s: ",
	       (double)(mt_world_now(world) - START_MS) / 1000.0);
	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	printf("\n");
}

static void run_event(void *ctx)
{
	mt_world_event_t *event = ctx;

	if (event->host->dead) {
		g_free(event);
		return;
	}
	if (event->host->frozen) {
		g_queue_push_tail(event->host->deferred_events, event);
		return;
	}
	event->cb(event->ctx);
	g_free(event);
}

void mt_world_schedule_on_host(mt_world_host_t *host, mt_ms_t delay,
			       mt_timer_cb cb, void *ctx)
{
	mt_world_event_t *event = g_new0(mt_world_event_t, 1);

	event->host = host;
	event->cb = cb;
	event->ctx = ctx;
	mt_timers_after(host->world->timers, delay, run_event, event);
}

static void print_log_line(void *ctx, mt_log_level_t level, const char *service,
			   const char *message)
{
	mt_world_host_t *host = ctx;

	if (host->world->verbose)
		printf("  %9.3f host %u %s: %s\n",
		       (double)(mt_world_now(host->world) - START_MS) / 1000.0,
		       host->index, service, message);
}

static mt_ms_t read_virtual_clock(void)
{
	return mt_timers_now(current_world->timers);
}

void mt_world_start_host(mt_world_t *world, unsigned index)
{
	mt_world_host_t *host = g_new0(mt_world_host_t, 1);
	mt_dag_host_deps_t deps = {0};
	char name[32];

	host->world = world;
	host->index = index;
	host->timers = mt_timers_new(mt_world_now(world));
	mt_timers_set_clock(host->timers, read_virtual_clock);
	host->kernel =
		mt_kernel_new("fleet", host->timers, g_rand_int(world->rand));
	mt_kernel_set_sink(host->kernel, print_log_line, host);
	if (world->verbose)
		mt_kernel_enable_events(host->kernel);
	host->deferred_events = g_queue_new();
	mt_fake_store_bind(world->store, host);
	mt_fake_fleet_bind(world->fleet, host);
	world->hosts[index] = host;
	deps.kernel = host->kernel;
	deps.store = &host->store_port;
	deps.backends = &host->backend_port;
	deps.advice = &host->advice_port;
	deps.backend_report_format = mt_fake_store_report_format();
	deps.config = mt_fake_store_config_format();
	deps.decode_job = mt_fake_store_decode_job;
	snprintf(name, sizeof(name), "host-%u", index);
	deps.host = mt_name(name);
	snprintf(name, sizeof(name), "host-%u-%u", index,
		 ++world->incarnations);
	deps.incarnation = mt_name(name);
	/* Half of the hosts are larger: the leadership moves to these. */
	deps.cores_milli = index % 2 ? 500 : 120;
	deps.config_age_max_ms = 2500;
	/* Lease, stop, restore, retention of ended jobs, early start. */
	deps.timings = (mt_engine_timing_t){6000, 400, 100, 200000, 0};
	deps.wall_ms = wall_ms;
	host->host = mt_dag_host_new(&deps);
}

void mt_world_kill_host(mt_world_t *world, unsigned index)
{
	/* Not freed: pending events still check `dead`. */
	if (world->hosts[index])
		world->hosts[index]->dead = true;
	world->hosts[index] = NULL;
}

void mt_world_freeze_host(mt_world_t *world, unsigned index, bool frozen)
{
	mt_world_host_t *host = world->hosts[index];
	mt_world_event_t *event;

	if (!host)
		return;
	host->frozen = frozen;
	while (!frozen && (event = g_queue_pop_head(host->deferred_events)))
		run_event(event);
}

mt_world_t *mt_world_new(guint32 seed, bool verbose)
{
	mt_world_t *world = g_new0(mt_world_t, 1);

	current_world = world;
	world->timers = mt_timers_new(START_MS);
	world->rand = g_rand_new_with_seed(seed);
	world->verbose = verbose;
	world->store = mt_fake_store_new(world);
	world->fleet = mt_fake_fleet_new(world, FLEET_SERVERS);
	for (unsigned i = 0; i < FLEET_HOSTS; i++)
		mt_world_start_host(world, i);
	return world;
}

mt_world_t *mt_world_new_without_hosts(guint32 seed, uint16_t store_tcp_port,
				       uint16_t server_port, mt_ms_t now)
{
	mt_world_t *world = g_new0(mt_world_t, 1);

	current_world = world;
	world->timers = mt_timers_new(now);
	world->rand = g_rand_new_with_seed(seed);
	world->store_tcp_port = store_tcp_port;
	world->server_port = server_port;
	world->store = mt_fake_store_new(world);
	world->fleet = mt_fake_fleet_new(world, FLEET_SERVERS);
	return world;
}

mt_world_host_t *mt_world_new_external_host(mt_world_t *world)
{
	mt_world_host_t *host = g_new0(mt_world_host_t, 1);

	host->world = world;
	host->deferred_events = g_queue_new();
	mt_fake_store_bind(world->store, host);
	mt_fake_fleet_bind(world->fleet, host);
	return host;
}

static mt_ms_t next_event_at(const mt_world_t *world)
{
	mt_ms_t next = mt_timers_next(world->timers);

	for (unsigned i = 0; i < FLEET_HOSTS; i++) {
		const mt_world_host_t *host = world->hosts[i];

		if (host && !host->frozen)
			next = MIN(next, mt_timers_next(host->timers));
	}
	return next;
}

void mt_world_run(mt_world_t *world, mt_ms_t until)
{
	for (;;) {
		mt_ms_t next = MAX(next_event_at(world), mt_world_now(world));

		if (next > until)
			break;
		mt_timers_advance(world->timers, next);
		for (unsigned i = 0; i < FLEET_HOSTS; i++) {
			mt_world_host_t *host = world->hosts[i];

			if (host && !host->frozen)
				mt_timers_advance(host->timers, next);
		}
	}
	mt_timers_advance(world->timers, until);
}
