/** @file limits.c Sets the limits of a host's HTTP servers and reports them. */
#include "limits.h"

/** Interval of the event client_limits_reached. */
#define REPORT_INTERVAL_MS 5000u

typedef struct mt_limited_server_t {
	const char *name; /**< in metrics and events: the setting's name */
	mt_http_server_t *server;
	/** Values of mt_http_stats_t.closed in the last report. */
	uint64_t reported[MT_HTTP_REASON_COUNT];
} mt_limited_server_t;

/** Number of fields of mt_entry_servers_t. */
#define SERVERS_COUNT 4u

struct mt_entry_limits_t {
	mt_kernel_t *kernel;
	mt_http_client_t *client;
	mt_limited_server_t servers[SERVERS_COUNT];
};

static void set_limits(mt_entry_limits_t *limits,
		       const mt_entry_settings_t *settings,
		       const mt_entry_servers_t *servers)
{
	const mt_host_resources_t *resources = &settings->resources;
	mt_http_limits_t client = *mt_http_server_limits(servers->callers);
	mt_http_limits_t peer = mt_peer_limits(
		resources, mt_http_server_limits(servers->peers));
	mt_http_limits_t readiness = mt_probe_limits(
		resources, mt_http_server_limits(servers->readiness));
	mt_http_limits_t metrics = mt_probe_limits(
		resources, mt_http_server_limits(servers->metrics));

	if (settings->max_body_bytes)
		client.body_max_bytes = settings->max_body_bytes;
	client = mt_client_limits(resources, &client);
	mt_http_server_set_limits(servers->callers, &client);
	mt_http_server_set_limits(servers->peers, &peer);
	mt_http_server_set_limits(servers->readiness, &readiness);
	mt_http_server_set_limits(servers->metrics, &metrics);
	if (resources->memory_mb)
		mt_http_client_set_responses_max(
			limits->client, mt_responses_max_bytes(resources));
}

/** True for reasons that are not part of ordinary use. */
static bool is_reported(mt_http_reason_t reason)
{
	return reason != MT_HTTP_REASON_IDLE &&
	       reason != MT_HTTP_REASON_LINGERED;
}

static void report_server(mt_kernel_t *kernel, mt_limited_server_t *limited)
{
	const mt_http_stats_t *stats = mt_http_server_stats(limited->server);

	for (int i = MT_HTTP_REASON_NONE + 1; i < MT_HTTP_REASON_COUNT; i++) {
		uint64_t count = stats->closed[i] - limited->reported[i];

		limited->reported[i] = stats->closed[i];
		if (count && is_reported((mt_http_reason_t)i))
			mt_kernel_event(
				kernel, "client_limits_reached",
				"\"server\":\"%s\",\"reason\":\"%s\","
				"\"count\":%" G_GUINT64_FORMAT
				",\"connections\":%u,\"buffered_bytes\":%zu",
				limited->name,
				mt_http_reason_name((mt_http_reason_t)i), count,
				stats->connections, stats->buffered_bytes);
	}
}

static void report(void *ctx)
{
	mt_entry_limits_t *limits = ctx;

	for (size_t i = 0; i < SERVERS_COUNT; i++)
		report_server(limits->kernel, &limits->servers[i]);
}

/** Logs the limits in force, which are raised for the largest request. */
static void report_limits(mt_kernel_t *kernel,
			  const mt_limited_server_t *limited)
{
	const mt_http_limits_t *limits = mt_http_server_limits(limited->server);

	mt_kernel_event(kernel, "client_limits",
			"\"server\":\"%s\",\"connections_max\":%u,"
			"\"buffered_max_bytes\":%zu,"
			"\"account_max_bytes\":%zu,"
			"\"header_max_bytes\":%zu,\"body_max_bytes\":%zu",
			limited->name, limits->connections_max,
			limits->buffered_max_bytes, limits->account_max_bytes,
			limits->header_max_bytes, limits->body_max_bytes);
}

mt_entry_limits_t *mt_entry_limits_new(mt_kernel_t *kernel,
				       const mt_entry_settings_t *settings,
				       const mt_entry_servers_t *servers,
				       mt_http_client_t *client)
{
	mt_entry_limits_t *limits = g_new(mt_entry_limits_t, 1);

	*limits = (mt_entry_limits_t){
		.kernel = kernel,
		.client = client,
		.servers = {{"callers", servers->callers, {0}},
			    {"peers", servers->peers, {0}},
			    {"readiness", servers->readiness, {0}},
			    {"metrics", servers->metrics, {0}}},
	};
	set_limits(limits, settings, servers);
	for (size_t i = 0; i < SERVERS_COUNT; i++)
		report_limits(kernel, &limits->servers[i]);
	mt_timers_every(mt_kernel_timers(kernel), REPORT_INTERVAL_MS, report,
			limits);
	return limits;
}

static void set_metric(mt_kernel_t *kernel, const char *metric,
		       const char *server, uint64_t value)
{
	char *name = g_strdup_printf("%s{server=\"%s\"}", metric, server);

	*mt_kernel_counter(kernel, name) = value;
	g_free(name);
}

static void update_server(mt_kernel_t *kernel,
			  const mt_limited_server_t *limited)
{
	const mt_http_stats_t *stats = mt_http_server_stats(limited->server);
	const mt_http_limits_t *limits = mt_http_server_limits(limited->server);

	set_metric(kernel, "http_connections", limited->name,
		   stats->connections);
	set_metric(kernel, "http_connections_peak", limited->name,
		   stats->connections_peak);
	set_metric(kernel, "http_connections_max", limited->name,
		   limits->connections_max);
	set_metric(kernel, "http_buffered_bytes", limited->name,
		   stats->buffered_bytes);
	set_metric(kernel, "http_buffered_bytes_peak", limited->name,
		   stats->buffered_peak_bytes);
	set_metric(kernel, "http_buffered_bytes_max", limited->name,
		   limits->buffered_max_bytes);
	for (int i = MT_HTTP_REASON_NONE + 1; i < MT_HTTP_REASON_COUNT; i++) {
		char *name = g_strdup_printf(
			"http_closed_total{server=\"%s\",reason=\"%s\"}",
			limited->name,
			mt_http_reason_name((mt_http_reason_t)i));

		*mt_kernel_counter(kernel, name) = stats->closed[i];
		g_free(name);
	}
}

void mt_entry_limits_update_metrics(const mt_entry_limits_t *limits)
{
	*mt_kernel_counter(limits->kernel, "http_responses_too_large_total") =
		mt_http_client_too_large(limits->client);
	for (size_t i = 0; i < SERVERS_COUNT; i++)
		update_server(limits->kernel, &limits->servers[i]);
}
