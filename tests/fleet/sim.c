/** @file sim.c Runs simulated hosts on virtual time. */
#include "fleet/sim.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/fake_peers.h"
#include "fleet/fake_servers.h"
#include "fleet/fake_store.h"

/**
 * Virtual time at the start. Like the monotonic clock of a running machine it
 * is not 0, which stands for "not set" in many fields.
 */
#define START_MS 1000000u

/** Unix time at virtual time 0. */
#define UNIX_TIME_AT_ZERO_MS 1700000000000

/** Read by clock callbacks, which have no context argument. */
static mt_sim_t *current_sim;

/** A callback that is due on a host. */
typedef struct mt_sim_event_t {
	mt_sim_host_t *host;
	mt_timer_cb cb;
	void *ctx;
} mt_sim_event_t;

static int64_t wall_ms(void)
{
	return UNIX_TIME_AT_ZERO_MS + (int64_t)mt_sim_now(current_sim);
}

mt_ms_t mt_sim_now(const mt_sim_t *sim)
{
	return mt_timers_now(sim->timers);
}

bool mt_sim_chance(mt_sim_t *sim, double share)
{
	return share > 0 && g_rand_double(sim->rand) < share;
}

void mt_sim_breach(mt_sim_t *sim, const char *format, ...)
{
	va_list args;

	sim->breaches++;
	printf("  breach at %.3f s: ",
	       (double)(mt_sim_now(sim) - START_MS) / 1000.0);
	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	printf("\n");
}

static void run_event(void *ctx)
{
	mt_sim_event_t *event = ctx;

	if (event->host->dead) {
		g_free(event);
		return;
	}
	if (event->host->paused) {
		g_queue_push_tail(event->host->deferred_events, event);
		return;
	}
	event->cb(event->ctx);
	g_free(event);
}

void mt_sim_schedule_on_host(mt_sim_host_t *host, mt_ms_t delay, mt_timer_cb cb,
			     void *ctx)
{
	mt_sim_event_t *event = g_new0(mt_sim_event_t, 1);

	event->host = host;
	event->cb = cb;
	event->ctx = ctx;
	mt_timers_after(host->sim->timers, delay, run_event, event);
}

static void print_log_line(void *ctx, mt_log_level_t level, const char *service,
			   const char *message)
{
	mt_sim_host_t *host = ctx;

	if (host->sim->verbose)
		printf("  %9.3f host %u %s: %s\n",
		       (double)(mt_sim_now(host->sim) - START_MS) / 1000.0,
		       host->index, service, message);
}

static mt_ms_t read_virtual_clock(void)
{
	return mt_timers_now(current_sim->timers);
}

void mt_sim_start_host(mt_sim_t *sim, unsigned index)
{
	mt_sim_host_t *host = g_new0(mt_sim_host_t, 1);
	mt_dag_host_deps_t deps = {0};
	char name[32];

	host->sim = sim;
	host->index = index;
	host->timers = mt_timers_new(mt_sim_now(sim));
	mt_timers_set_clock(host->timers, read_virtual_clock);
	host->kernel =
		mt_kernel_new("fleet", host->timers, g_rand_int(sim->rand));
	mt_kernel_set_sink(host->kernel, print_log_line, host);
	if (sim->verbose)
		mt_kernel_enable_events(host->kernel);
	host->deferred_events = g_queue_new();
	mt_fake_store_bind(sim->store, host);
	mt_fake_fleet_bind(sim->fleet, host);
	mt_fake_peers_bind(host);
	sim->hosts[index] = host;
	deps.kernel = host->kernel;
	deps.store = &host->store_port;
	deps.backends = &host->backend_port;
	deps.advice = &host->advice_port;
	deps.peers = &host->peer_port;
	deps.endpoint = mt_fake_peers_endpoint(index);
	deps.server_list_format = mt_fake_store_server_list_format();
	deps.config_format = mt_fake_store_config_format();
	deps.evacuations_format = mt_fake_store_evacuations_format();
	deps.evacuation_ms = sim->options.evacuations ? SIM_EVACUATION_MS : 0;
	deps.decode_job = mt_fake_store_decode_job;
	snprintf(name, sizeof(name), "host-%u", index);
	deps.host = mt_shared_name(name);
	deps.dc = mt_shared_name("dc");
	snprintf(name, sizeof(name), "host-%u-%u", index, ++sim->incarnations);
	deps.incarnation = mt_name(name);
	/* Half of the hosts are larger: the leadership moves to these. */
	deps.cores_milli = index % 2 ? 500 : 120;
	deps.memory_mb = index % 2 ? 260 : 120;
	deps.config_age_max_ms = 2500;
	/* lease_ms, stop_ms, restore_ms, keep_ended_ms, start_early_ms */
	deps.timings = (mt_engine_timing_t){6000, 10000, 400, 100, 200000, 0};
	deps.wall_ms = wall_ms;
	deps.admission_mode = sim->options.admission_mode;
	host->host = mt_dag_host_new(&deps);
}

void mt_sim_kill_host(mt_sim_t *sim, unsigned index)
{
	/* Not freed: pending events still check `dead`. */
	if (sim->hosts[index])
		sim->hosts[index]->dead = true;
	sim->hosts[index] = NULL;
}

void mt_sim_set_host_paused(mt_sim_t *sim, unsigned index, bool paused)
{
	mt_sim_host_t *host = sim->hosts[index];
	mt_sim_event_t *event;

	if (!host)
		return;
	host->paused = paused;
	while (!paused && (event = g_queue_pop_head(host->deferred_events)))
		run_event(event);
}

mt_sim_t *mt_sim_new(guint32 seed, bool verbose,
		     const mt_sim_options_t *options)
{
	mt_sim_t *sim = g_new0(mt_sim_t, 1);

	current_sim = sim;
	sim->timers = mt_timers_new(START_MS);
	sim->rand = g_rand_new_with_seed(seed);
	sim->server_rand = g_rand_new_with_seed(seed);
	sim->verbose = verbose;
	sim->options = *options;
	sim->store = mt_fake_store_new(sim);
	sim->n_servers = options->speeds ? SIM_SERVERS_UNEQUAL : SIM_SERVERS;
	sim->fleet = mt_fake_fleet_new(sim, sim->n_servers);
	for (unsigned i = 0; i < SIM_HOSTS; i++)
		mt_sim_start_host(sim, i);
	return sim;
}

mt_sim_t *mt_sim_new_without_hosts(guint32 seed, uint16_t store_tcp_port,
				   uint16_t server_port, mt_ms_t now)
{
	mt_sim_t *sim = g_new0(mt_sim_t, 1);

	current_sim = sim;
	sim->timers = mt_timers_new(now);
	sim->rand = g_rand_new_with_seed(seed);
	sim->store_tcp_port = store_tcp_port;
	sim->server_port = server_port;
	sim->store = mt_fake_store_new(sim);
	sim->n_servers = SIM_SERVERS;
	sim->fleet = mt_fake_fleet_new(sim, sim->n_servers);
	return sim;
}

mt_sim_host_t *mt_sim_new_external_host(mt_sim_t *sim)
{
	mt_sim_host_t *host = g_new0(mt_sim_host_t, 1);

	host->sim = sim;
	host->deferred_events = g_queue_new();
	mt_fake_store_bind(sim->store, host);
	mt_fake_fleet_bind(sim->fleet, host);
	return host;
}

static mt_ms_t next_event_at(const mt_sim_t *sim)
{
	mt_ms_t next = mt_timers_next(sim->timers);

	for (unsigned i = 0; i < SIM_HOSTS; i++) {
		const mt_sim_host_t *host = sim->hosts[i];

		if (host && !host->paused)
			next = MIN(next, mt_timers_next(host->timers));
	}
	return next;
}

void mt_sim_run(mt_sim_t *sim, mt_ms_t until)
{
	for (;;) {
		mt_ms_t next = MAX(next_event_at(sim), mt_sim_now(sim));

		if (next > until)
			break;
		mt_timers_advance(sim->timers, next);
		for (unsigned i = 0; i < SIM_HOSTS; i++) {
			mt_sim_host_t *host = sim->hosts[i];

			if (host && !host->paused)
				mt_timers_advance(host->timers, next);
		}
	}
	mt_timers_advance(sim->timers, until);
}
