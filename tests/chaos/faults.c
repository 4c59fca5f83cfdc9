/** @file faults.c Injects faults from outside the processes. */
#include "chaos/faults.h"

#include <signal.h>
#include <stdio.h>

/** Time between two faults. */
#define FAULT_INTERVAL_MIN_MS 200
#define FAULT_INTERVAL_MAX_MS 1500

/** Longest series of configurations, and the time between two of them. */
#define CONFIGS_MAX 8
#define CONFIG_INTERVAL_MAX_MS 600

/** Longest series of evacuations, their duration, and the time between two. */
#define EVACUATIONS_MAX 3
#define EVACUATION_MAX_MS 8000
#define EVACUATION_INTERVAL_MAX_MS 500

struct mt_faults_t {
	mt_cluster_t *cluster;
	bool active;
	unsigned count;
};

/** Context of an action that is due later, such as the end of a fault. */
typedef struct mt_delayed_action_t {
	mt_faults_t *faults;
	mt_cluster_host_t *host;
	mt_proxy_t *proxy;
} mt_delayed_action_t;

/** Random number from `low` up to, but not including, `high`. */
static int random_between(const mt_faults_t *faults, int low, int high)
{
	return g_rand_int_range(faults->cluster->rand, low, high);
}

static void record_disturbance(mt_faults_t *faults)
{
	faults->cluster->last_disturbance_at = mt_cluster_now(faults->cluster);
}

static void schedule(mt_faults_t *faults, mt_cluster_host_t *host,
		     mt_proxy_t *proxy, int delay_ms, mt_timer_cb cb)
{
	mt_delayed_action_t *action = g_new0(mt_delayed_action_t, 1);

	action->faults = faults;
	action->host = host;
	action->proxy = proxy;
	mt_timers_after(mt_cluster_timers(faults->cluster), (mt_ms_t)delay_ms,
			cb, action);
}

/* Hosts. */

static void resume_host(void *ctx)
{
	mt_delayed_action_t *action = ctx;

	mt_cluster_signal_host(action->host, SIGCONT);
	g_free(action);
}

static void pause_host(mt_faults_t *faults, mt_cluster_host_t *host)
{
	mt_cluster_signal_host(host, SIGSTOP);
	schedule(faults, host, NULL, random_between(faults, 200, 5000),
		 resume_host);
}

static void restart_host(void *ctx)
{
	mt_delayed_action_t *action = ctx;

	if (!action->host->cluster->shutting_down)
		mt_cluster_start_host(action->host);
	g_free(action);
}

static void kill_host(mt_faults_t *faults, mt_cluster_host_t *host)
{
	mt_cluster_signal_host(host, SIGKILL);
	schedule(faults, host, NULL, random_between(faults, 200, 2500),
		 restart_host);
}

static void kill_all_hosts(mt_faults_t *faults)
{
	for (unsigned i = 0; i < CHAOS_HOSTS; i++)
		kill_host(faults, &faults->cluster->hosts[i]);
}

/**
 * Sends SIGTERM, after SIGCONT in case that the host is paused. The cluster
 * restarts the host when it has exited.
 */
static void stop_host(mt_cluster_host_t *host)
{
	mt_cluster_signal_host(host, SIGCONT);
	mt_cluster_signal_host(host, SIGTERM);
}

/* Connections. */

static void clear_proxy_fault(void *ctx)
{
	mt_delayed_action_t *action = ctx;
	mt_proxy_fault_t none = {0};

	mt_proxy_set_fault(action->proxy, &none);
	record_disturbance(action->faults);
	g_free(action);
}

static void inject_proxy_fault(mt_faults_t *faults, mt_proxy_t *proxy)
{
	mt_proxy_fault_t fault = {0};

	record_disturbance(faults);
	switch (random_between(faults, 0, 5)) {
	case 0:
		fault.delay_ms = (mt_ms_t)random_between(faults, 20, 400);
		break;
	case 1:
		fault.drop_requests = true;
		break;
	case 2:
		fault.drop_answers = true;
		break;
	case 3:
		fault.drop_requests = true;
		fault.drop_answers = true;
		break;
	default:
		mt_proxy_reset(proxy);
		return;
	}
	mt_proxy_set_fault(proxy, &fault);
	mt_cluster_log(faults->cluster,
		       "proxy fault: delay %u ms, drop requests %d, "
		       "drop answers %d",
		       (unsigned)fault.delay_ms, fault.drop_requests,
		       fault.drop_answers);
	schedule(faults, NULL, proxy, random_between(faults, 300, 5000),
		 clear_proxy_fault);
}

/* Platform. */

static void set_platform_faults(mt_faults_t *faults, const char *query)
{
	char *path = g_strdup_printf("/test/faults?%s", query);

	record_disturbance(faults);
	mt_cluster_log(faults->cluster, "platformd faults: %s", query);
	mt_cluster_call_platform(faults->cluster, path, (mt_str_t){0});
	g_free(path);
}

static void clear_platform_faults(void *ctx)
{
	mt_delayed_action_t *action = ctx;

	set_platform_faults(action->faults,
			    "store_down=0&store_lost=0&store_extra_ms=0&"
			    "order_lost=0&order_late=0&order_busy=0");
	g_free(action);
}

static void inject_platform_fault(mt_faults_t *faults)
{
	static const char *const queries[] = {
		"store_down=1",	      "store_lost=30",
		"store_extra_ms=200", "order_lost=20&order_late=50",
		"order_busy=20",      "drop_history=1",
	};

	set_platform_faults(
		faults,
		queries[random_between(faults, 0, G_N_ELEMENTS(queries))]);
	schedule(faults, NULL, NULL, random_between(faults, 500, 4000),
		 clear_platform_faults);
}

/* Configurations and entries of other writers. */

static void store_next_config(void *ctx)
{
	mt_delayed_action_t *action = ctx;

	mt_cluster_log(action->faults->cluster, "next configuration");
	mt_cluster_call_platform(action->faults->cluster, "/test/config",
				 (mt_str_t){0});
	g_free(action);
}

/** Stores several configurations, one after the other. */
static void change_configuration(mt_faults_t *faults)
{
	int n_configs = random_between(faults, 1, CONFIGS_MAX + 1);
	int delay_ms = 0;

	for (int i = 0; i < n_configs; i++) {
		schedule(faults, NULL, NULL, delay_ms, store_next_config);
		delay_ms += random_between(faults, 1, CONFIG_INTERVAL_MAX_MS);
	}
}

static void evacuate(void *ctx)
{
	mt_delayed_action_t *action = ctx;

	if (action->faults->active) {
		mt_cluster_log(action->faults->cluster, "evacuation");
		mt_cluster_call_platform(action->faults->cluster,
					 "/test/evacuate?on=1", (mt_str_t){0});
	}
	g_free(action);
}

static void return_to_service(void *ctx)
{
	mt_delayed_action_t *action = ctx;

	mt_cluster_log(action->faults->cluster, "return to service");
	mt_cluster_call_platform(action->faults->cluster, "/test/evacuate?on=0",
				 (mt_str_t){0});
	g_free(action);
}

/** Evacuates all servers, and ends this, several times. Other faults go on. */
static void change_evacuations(mt_faults_t *faults)
{
	int n_evacuations = random_between(faults, 1, EVACUATIONS_MAX + 1);
	int delay_ms = 0;

	for (int i = 0; i < n_evacuations; i++) {
		schedule(faults, NULL, NULL, delay_ms, evacuate);
		delay_ms += random_between(faults, 1, EVACUATION_MAX_MS);
		schedule(faults, NULL, NULL, delay_ms, return_to_service);
		delay_ms +=
			random_between(faults, 1, EVACUATION_INTERVAL_MAX_MS);
	}
}

static void leave_odd_entry(const mt_faults_t *faults)
{
	static const char *const entries[] = {
		"",
		"{",
		"[[[[[[[[[[[[[[[[",
		"null",
		"\xff\xfe",
		"{\"service\":\"service\",\"address\":\"127.0.0.1:99999\"}",
		"{\"service\":\"service\",\"address\":\"127.0.0.1:1\","
		"\"state\":\"ready\",\"capacity\":"
		"{\"cpu\":1e999,\"mem_mb\":1}}",
		"{\"service\":\"service\",\"address\":\"127.0.0.1:1\","
		"\"state\":\"ready\",\"capacity\":{\"cpu\":4294967295,"
		"\"mem_mb\":4294967295,\"gpu\":4294967295},"
		"\"born\":9223372036854775807}",
	};
	int index = random_between(faults, 0, G_N_ELEMENTS(entries));

	mt_cluster_log(faults->cluster, "odd entry %d", index);
	mt_cluster_call_platform(faults->cluster, "/test/entry",
				 mt_str_from(entries[index]));
}

static void crash_server(mt_faults_t *faults)
{
	char query[64];

	snprintf(query, sizeof(query), "crash=%d&down_ms=%d",
		 random_between(faults, 0, CHAOS_SERVERS),
		 random_between(faults, 200, 4000));
	set_platform_faults(faults, query);
}

/* Schedule of faults. */

static void inject_next_fault(void *ctx)
{
	mt_faults_t *faults = ctx;
	mt_cluster_t *cluster = faults->cluster;
	mt_cluster_host_t *host =
		&cluster->hosts[random_between(faults, 0, CHAOS_HOSTS)];

	if (!faults->active)
		return;
	faults->count++;
	switch (random_between(faults, 0, 21)) {
	case 0:
	case 1:
	case 2:
		pause_host(faults, host);
		break;
	case 3:
	case 4:
	case 5:
		kill_host(faults, host);
		break;
	case 6:
	case 7:
		stop_host(host);
		break;
	case 8:
		kill_all_hosts(faults);
		break;
	case 9:
	case 10:
		host->last_disturbance_at = mt_cluster_now(cluster);
		inject_proxy_fault(faults, host->store_proxy);
		break;
	case 11:
	case 12:
		inject_proxy_fault(faults,
				   cluster->server_proxies[random_between(
					   faults, 0, CHAOS_SERVERS)]);
		break;
	case 13:
		crash_server(faults);
		break;
	case 14:
	case 15:
		change_configuration(faults);
		break;
	case 16:
		leave_odd_entry(faults);
		break;
	case 17:
	case 18:
		change_evacuations(faults);
		break;
	default:
		inject_platform_fault(faults);
		break;
	}
	mt_timers_after(mt_cluster_timers(cluster),
			(mt_ms_t)random_between(faults, FAULT_INTERVAL_MIN_MS,
						FAULT_INTERVAL_MAX_MS),
			inject_next_fault, faults);
}

mt_faults_t *mt_faults_new(mt_cluster_t *cluster)
{
	mt_faults_t *faults = g_new0(mt_faults_t, 1);

	faults->cluster = cluster;
	return faults;
}

void mt_faults_begin(mt_faults_t *faults)
{
	faults->active = true;
	inject_next_fault(faults);
}

static void end_all_faults(void *ctx)
{
	mt_delayed_action_t *action = ctx;
	mt_cluster_t *cluster = action->faults->cluster;
	mt_proxy_fault_t none = {0};

	for (unsigned i = 0; i < CHAOS_SERVERS; i++)
		mt_proxy_set_fault(cluster->server_proxies[i], &none);
	for (unsigned i = 0; i < CHAOS_HOSTS; i++) {
		mt_proxy_set_fault(cluster->hosts[i].store_proxy, &none);
		mt_cluster_signal_host(&cluster->hosts[i], SIGCONT);
		mt_cluster_start_host(&cluster->hosts[i]);
	}
	schedule(action->faults, NULL, NULL, 0, return_to_service);
	clear_platform_faults(action);
}

/**
 * Actions that are already scheduled still run, at their time, except for
 * evacuations.
 */
void mt_faults_end(mt_faults_t *faults)
{
	faults->active = false;
	schedule(faults, NULL, NULL, 0, end_all_faults);
}

unsigned mt_faults_count(const mt_faults_t *faults)
{
	return faults->count;
}
