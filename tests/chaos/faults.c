/** @file faults.c Faults from outside the processes. */
#include "chaos/faults.h"

#include <signal.h>
#include <stdio.h>

/** Pause between two faults. */
#define GAP_MIN_MS 200
#define GAP_MAX_MS 1500

#define CALL_TIMEOUT_MS 1000u

struct mt_faults_t {
	mt_cluster_t *scene;
	bool coming;
	unsigned count;
};

/** Something that ends later. */
typedef struct mt_passing_t {
	mt_faults_t *faults;
	mt_cluster_host_t *host;
	mt_proxy_t *proxy;
} mt_passing_t;

static int pick(const mt_faults_t *faults, int low, int high)
{
	return g_rand_int_range(faults->scene->rand, low, high);
}

static void note_fault(mt_faults_t *faults)
{
	faults->scene->last_fault_at = mt_cluster_now(faults->scene);
}

static void later(mt_faults_t *faults, mt_cluster_host_t *host,
		  mt_proxy_t *proxy, int delay_ms, mt_timer_cb cb)
{
	mt_passing_t *passing = g_new0(mt_passing_t, 1);

	passing->faults = faults;
	passing->host = host;
	passing->proxy = proxy;
	mt_timers_after(mt_cluster_timers(faults->scene), (mt_ms_t)delay_ms, cb,
			passing);
}

/* Hosts. */

static void wake(void *ctx)
{
	mt_passing_t *passing = ctx;

	mt_cluster_signal_host(passing->host, SIGCONT);
	g_free(passing);
}

static void freeze(mt_faults_t *faults, mt_cluster_host_t *host)
{
	mt_cluster_signal_host(host, SIGSTOP);
	later(faults, host, NULL, pick(faults, 200, 5000), wake);
}

static void restart(void *ctx)
{
	mt_passing_t *passing = ctx;

	if (!passing->host->scene->ending)
		mt_cluster_start_host(passing->host);
	g_free(passing);
}

static void kill_host(mt_faults_t *faults, mt_cluster_host_t *host)
{
	mt_cluster_signal_host(host, SIGKILL);
	later(faults, host, NULL, pick(faults, 200, 2500), restart);
}

static void kill_all(mt_faults_t *faults)
{
	for (unsigned i = 0; i < CHAOS_HOSTS; i++)
		kill_host(faults, &faults->scene->hosts[i]);
}

/** The scene starts it again when it has ended. */
static void stop_host(mt_cluster_host_t *host)
{
	mt_cluster_signal_host(host, SIGCONT);
	mt_cluster_signal_host(host, SIGTERM);
}

/* Connections. */

static void mend(void *ctx)
{
	mt_passing_t *passing = ctx;
	mt_proxy_fault_t none = {0};

	mt_proxy_set_fault(passing->proxy, &none);
	note_fault(passing->faults);
	g_free(passing);
}

static void harm(mt_faults_t *faults, mt_proxy_t *proxy)
{
	mt_proxy_fault_t harm = {0};

	note_fault(faults);
	switch (pick(faults, 0, 5)) {
	case 0:
		harm.delay_ms = (mt_ms_t)pick(faults, 20, 400);
		break;
	case 1:
		harm.drop_requests = true;
		break;
	case 2:
		harm.drop_answers = true;
		break;
	case 3:
		harm.drop_requests = true;
		harm.drop_answers = true;
		break;
	default:
		mt_proxy_reset(proxy);
		return;
	}
	mt_proxy_set_fault(proxy, &harm);
	mt_cluster_log(faults->scene,
		       "a connection: delay %u ms, requests cut %d, answers "
		       "cut %d",
		       (unsigned)harm.delay_ms, harm.drop_requests,
		       harm.drop_answers);
	later(faults, NULL, proxy, pick(faults, 300, 5000), mend);
}

/* The stand-in. */

static void on_told(void *ctx, const mt_http_response_t *answer)
{
}

static void tell_platform(mt_faults_t *faults, const char *query)
{
	char *path = g_strdup_printf("/test/faults?%s", query);
	mt_http_request_t request = {0};

	note_fault(faults);
	mt_cluster_log(faults->scene, "the stand-in: %s", query);
	request.address = mt_name("127.0.0.1");
	request.port = faults->scene->store_port;
	request.method = "POST";
	request.path = path;
	request.timeout_ms = CALL_TIMEOUT_MS;
	mt_http_send(faults->scene->http, &request, on_told, NULL);
	g_free(path);
}

static void calm_platform(void *ctx)
{
	mt_passing_t *passing = ctx;

	tell_platform(passing->faults,
		      "store_down=0&store_lost=0&store_extra_ms=0&"
		      "order_lost=0&order_late=0&order_busy=0");
	g_free(passing);
}

static void trouble_platform(mt_faults_t *faults)
{
	static const char *const queries[] = {
		"store_down=1",	      "store_lost=30",
		"store_extra_ms=200", "order_lost=20&order_late=50",
		"order_busy=20",      "drop_history=1",
	};

	tell_platform(faults, queries[pick(faults, 0, G_N_ELEMENTS(queries))]);
	later(faults, NULL, NULL, pick(faults, 500, 4000), calm_platform);
}

static void crash_server(mt_faults_t *faults)
{
	char query[64];

	snprintf(query, sizeof(query), "crash=%d&down_ms=%d",
		 pick(faults, 0, CHAOS_SERVERS), pick(faults, 200, 4000));
	tell_platform(faults, query);
}

/* All. */

static void next_fault(void *ctx)
{
	mt_faults_t *faults = ctx;
	mt_cluster_t *scene = faults->scene;
	mt_cluster_host_t *host = &scene->hosts[pick(faults, 0, CHAOS_HOSTS)];

	if (!faults->coming)
		return;
	faults->count++;
	switch (pick(faults, 0, 16)) {
	case 0:
	case 1:
	case 2:
		freeze(faults, host);
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
		kill_all(faults);
		break;
	case 9:
	case 10:
		host->last_fault_at = mt_cluster_now(scene);
		harm(faults, host->store);
		break;
	case 11:
	case 12:
		harm(faults, scene->servers[pick(faults, 0, CHAOS_SERVERS)]);
		break;
	case 13:
		crash_server(faults);
		break;
	default:
		trouble_platform(faults);
		break;
	}
	mt_timers_after(mt_cluster_timers(scene),
			(mt_ms_t)pick(faults, GAP_MIN_MS, GAP_MAX_MS),
			next_fault, faults);
}

mt_faults_t *mt_faults_new(mt_cluster_t *scene)
{
	mt_faults_t *faults = g_new0(mt_faults_t, 1);

	faults->scene = scene;
	return faults;
}

void mt_faults_begin(mt_faults_t *faults)
{
	faults->coming = true;
	next_fault(faults);
}

static void end_all(void *ctx)
{
	mt_passing_t *passing = ctx;
	mt_cluster_t *scene = passing->faults->scene;
	mt_proxy_fault_t none = {0};

	for (unsigned i = 0; i < CHAOS_SERVERS; i++)
		mt_proxy_set_fault(scene->servers[i], &none);
	for (unsigned i = 0; i < CHAOS_HOSTS; i++) {
		mt_proxy_set_fault(scene->hosts[i].store, &none);
		mt_cluster_signal_host(&scene->hosts[i], SIGCONT);
		mt_cluster_start_host(&scene->hosts[i]);
	}
	calm_platform(passing);
}

/** What is still to end by itself does so within its longest time. */
void mt_faults_end(mt_faults_t *faults)
{
	faults->coming = false;
	later(faults, NULL, NULL, 0, end_all);
}

unsigned mt_faults_count(const mt_faults_t *faults)
{
	return faults->count;
}
