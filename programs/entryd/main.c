/**
 * @file main.c
 * mimosaturn-entry, the daemon of a host on the platform that offers a store
 * (platform/store_http.h), a policy service and backend servers. It keeps its
 * state in the store and schedules with lib/dag.
 *
 * On the other platform, which offers a log service and is specified in
 * docs/PLATFORM.md, hosts run mimosaturnd (programs/hostd) instead.
 */
#include <argtable2.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/resource.h>

#include "dag/host.h"
#include "kernel/log_output.h"
#include "net/http_client.h"
#include "peer/peer_http.h"
#include "platform/advice_http.h"
#include "platform/front_http.h"
#include "platform/config_json.h"
#include "platform/wire_names.h"
#include "platform/backend_http.h"
#include "platform/backend_json.h"
#include "platform/store_http.h"
#include "limits.h"
#include "settings.h"

#define EXIT_BAD_SETTINGS 2
#define EXIT_CANNOT_LISTEN 3

#define SETTINGS_VARIABLE "MIMOSATURN_BOOT"

/**
 * A graceful shutdown keeps accepting new connections for this long. The load
 * balancer needs this time to stop sending clients to this host.
 */
#define DRAIN_LINGER_MS 2600u
#define DRAIN_CHECK_MS 50u

#define US_PER_MS 1000

typedef struct mt_entryd_t {
	mt_entry_settings_t settings;
	const char *settings_path;
	mt_loop_t *loop;
	mt_kernel_t *kernel;
	mt_http_client_t *http_client;
	mt_dag_host_t *host;
	mt_front_http_t *front_http;
	mt_entry_limits_t *limits;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	uv_signal_t sighup;
	mt_ms_t drain_since;
} mt_entryd_t;

static int64_t wall_ms(void)
{
	return g_get_real_time() / US_PER_MS;
}

/* Graceful shutdown. */

static void check_drained(void *ctx)
{
	mt_entryd_t *entryd = ctx;
	mt_http_server_t *http_server =
		mt_front_http_server(entryd->front_http);
	mt_ms_t elapsed = mt_kernel_now(entryd->kernel) - entryd->drain_since;
	bool drained = elapsed >= DRAIN_LINGER_MS &&
		       mt_dag_host_is_drained(entryd->host);

	if (elapsed >= DRAIN_LINGER_MS)
		mt_http_server_stop(http_server);
	if ((drained && !mt_http_server_connections(http_server)) ||
	    elapsed >= entryd->settings.drain_ms) {
		mt_kernel_event(entryd->kernel, "stopped",
				"\"after_ms\":%u,\"work_left\":%s",
				(unsigned)elapsed, drained ? "false" : "true");
		mt_loop_stop(entryd->loop);
		return;
	}
	mt_timers_after(mt_loop_timers(entryd->loop), DRAIN_CHECK_MS,
			check_drained, entryd);
}

static void on_stop_signal(uv_signal_t *handle, int signal_number)
{
	mt_entryd_t *entryd = handle->data;

	if (entryd->drain_since)
		return;
	mt_kernel_event(entryd->kernel, "stopping", "\"signal\":%d",
			signal_number);
	entryd->drain_since = mt_kernel_now(entryd->kernel);
	mt_http_server_disable_keep_alive(
		mt_front_http_server(entryd->front_http));
	mt_dag_host_drain(entryd->host);
	check_drained(entryd);
}

/**
 * Handles SIGHUP: checks the settings file and logs the result. The running
 * process keeps the settings that it was started with. In spite of its name,
 * the event settings_reloaded only says that the file is valid.
 */
static void on_check_settings_signal(uv_signal_t *handle, int signal_number)
{
	mt_entryd_t *entryd = handle->data;
	mt_entry_settings_t settings;
	GError *error = NULL;

	if (mt_entry_settings_read(entryd->settings_path, &settings, &error)) {
		mt_kernel_event(entryd->kernel, "settings_reloaded",
				"\"signal\":%d", signal_number);
		return;
	}
	mt_log(entryd->kernel, MT_LOG_ERR, "entryd",
	       "the settings file is invalid: %s", error->message);
	g_error_free(error);
}

static void watch_signal(mt_entryd_t *entryd, uv_signal_t *handle, int number,
			 uv_signal_cb cb)
{
	uv_signal_init(mt_loop_uv(entryd->loop), handle);
	handle->data = entryd;
	uv_signal_start(handle, cb, number);
}

/* HTTP interfaces. */

static bool is_ready(void *ctx)
{
	mt_entryd_t *entryd = ctx;

	return mt_dag_host_is_ready(entryd->host);
}

static void on_metrics(void *ctx, const mt_http_incoming_request_t *request)
{
	mt_entryd_t *entryd = ctx;
	char *text;

	*mt_kernel_counter(entryd->kernel, "platform_bytes_total") =
		mt_http_client_bytes(entryd->http_client);
	mt_entry_limits_update_metrics(entryd->limits);
	text = mt_kernel_metrics_text(entryd->kernel);
	mt_http_respond(request->exchange, 200, "text/plain", mt_str_from(text),
			NULL);
	g_free(text);
}

static bool listen_all(mt_entryd_t *entryd)
{
	const mt_entry_settings_t *settings = &entryd->settings;
	mt_entry_servers_t servers;

	entryd->front_http = mt_front_http_new(
		entryd->kernel, entryd->loop, &settings->callers.address,
		settings->callers.port, mt_dag_host_front(entryd->host));
	if (!entryd->front_http)
		return false;
	servers.callers = mt_front_http_server(entryd->front_http);
	servers.peers = mt_peer_server_new(entryd->kernel, entryd->loop,
					   &settings->peers, entryd->host);
	servers.readiness = mt_readiness_server_new(
		entryd->loop, &settings->readiness.address,
		settings->readiness.port, is_ready, entryd);
	servers.metrics = mt_http_server_new(
		entryd->loop, &settings->metrics.address,
		settings->metrics.port, 0, on_metrics, entryd);
	if (!servers.peers || !servers.readiness || !servers.metrics)
		return false;
	entryd->limits = mt_entry_limits_new(entryd->kernel, settings, &servers,
					     entryd->http_client);
	return true;
}

/* Start-up. */

/**
 * Returns an id that is unique per process. The host name and the address do
 * not identify a process, as they stay the same after a restart.
 */
static mt_name_t make_incarnation(mt_shared_name_t host)
{
	char text[MT_NAME_MAX_BYTES + 1];

	g_snprintf(text, sizeof(text), "%.26s-%08x%08x",
		   mt_shared_name_text(host), g_random_int(), g_random_int());
	/* It is sent in queries of URLs. */
	g_strcanon(text, G_CSET_A_2_Z G_CSET_a_2_z G_CSET_DIGITS "-_.", '_');
	return mt_name(text);
}

static void make_host(mt_entryd_t *entryd)
{
	const mt_entry_settings_t *settings = &entryd->settings;
	mt_dag_host_deps_t deps = {0};

	deps.kernel = entryd->kernel;
	deps.store = mt_store_http_port(
		mt_store_http_new(entryd->kernel, entryd->http_client,
				  &settings->store, &settings->store_limits));
	deps.backends = mt_backend_http_port(
		mt_backend_http_new(entryd->kernel, entryd->http_client));
	if (settings->advice.port)
		deps.advice = mt_advice_http_port(mt_advice_http_new(
			entryd->kernel, entryd->http_client,
			&settings->advice.address, settings->advice.port));
	deps.peers = mt_peer_http_port(
		mt_peer_http_new(entryd->kernel, entryd->http_client));
	deps.server_list_format = &mt_server_list_format;
	deps.config_format = (mt_config_format_t){
		WIRE_TOPIC_OPERATOR, WIRE_KEY_CONFIG, mt_config_decode};
	deps.evacuations_format = &mt_evacuations_format;
	deps.evacuation_ms = settings->evacuation_ms;
	deps.decode_job = mt_job_decode;
	deps.host = settings->host;
	deps.dc = settings->dc;
	deps.endpoint = settings->peers;
	deps.incarnation = make_incarnation(settings->host);
	deps.cores_milli = settings->cores_milli;
	deps.memory_mb = settings->resources.memory_mb;
	deps.config_age_max_ms = settings->config_age_max_ms;
	deps.timings = settings->timings;
	deps.admission_mode = settings->admission_mode;
	deps.wall_ms = wall_ms;
	entryd->host = mt_dag_host_new(&deps);
}

static bool start(mt_entryd_t *entryd)
{
	char *host;

	entryd->loop = mt_loop_new();
	entryd->kernel =
		mt_kernel_new("mimosaturn-entry", mt_loop_timers(entryd->loop),
			      g_random_int());
	mt_kernel_enable_events(entryd->kernel);
	host = mt_text_printable(mt_shared_name_text(entryd->settings.host));
	mt_kernel_event(entryd->kernel, "starting", "\"host\":\"%s\"", host);
	g_free(host);
	entryd->http_client = mt_http_client_new(entryd->loop);
	make_host(entryd);
	watch_signal(entryd, &entryd->sigterm, SIGTERM, on_stop_signal);
	watch_signal(entryd, &entryd->sigint, SIGINT, on_stop_signal);
	watch_signal(entryd, &entryd->sighup, SIGHUP, on_check_settings_signal);
	return listen_all(entryd);
}

static void print_usage(void **table, struct arg_end *end, const char *program)
{
	mt_log_file_t out;

	mt_log_file_open(&out);
	arg_print_errors(out.file, end, program);
	arg_print_glossary(out.file, table, "  %-28s %s\n");
	mt_log_file_close(&out, MT_LOG_MESSAGES);
}

static const char *choose_path(int argc, char **argv)
{
	struct arg_str *settings = arg_str0(
		"s", "settings", "FILE",
		"settings file (default: the one named by " SETTINGS_VARIABLE
		")");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {settings, help, end};
	const char *path = getenv(SETTINGS_VARIABLE);
	int errors = arg_parse(argc, argv, table);

	if (errors || help->count) {
		print_usage(table, end, argv[0]);
		exit(errors ? EXIT_BAD_SETTINGS : EXIT_SUCCESS);
	}
	if (settings->count)
		path = g_strdup(settings->sval[0]);
	arg_freetable(table, G_N_ELEMENTS(table));
	return path;
}

int main(int argc, char **argv)
{
	mt_entryd_t entryd = {0};
	GError *error = NULL;

	mt_log_output_open(true);
	entryd.settings_path = choose_path(argc, argv);
	if (!entryd.settings_path) {
		mt_log_output_printf(
			"no settings file: use --settings or set %s",
			SETTINGS_VARIABLE);
		return EXIT_BAD_SETTINGS;
	}
	if (!mt_entry_settings_read(entryd.settings_path, &entryd.settings,
				    &error)) {
		mt_log_output_printf("%s", error->message);
		g_error_free(error);
		return EXIT_BAD_SETTINGS;
	}
	if (!start(&entryd)) {
		mt_log_output_printf(
			"cannot listen on the address in the setting callers, "
			"peers, readiness or metrics");
		return EXIT_CANNOT_LISTEN;
	}
	mt_loop_run(entryd.loop);
	return EXIT_SUCCESS;
}
