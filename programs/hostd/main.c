/**
 * @file main.c
 * mimosaturnd, the daemon of a host on the platform that offers a log service
 * (net/log_port.h) and is specified in docs/PLATFORM.md. It keeps its state in
 * the log service and schedules with lib/node.
 *
 * On the other platform, which offers a store instead of a log service, hosts
 * run mimosaturn-entry (programs/entryd).
 */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "kernel/log_output.h"
#include "node/node.h"
#include "net/http_ports.h"
#include "net/peer_links.h"
#include "http_api.h"

#define EXIT_BAD_SETTINGS 2
#define EXIT_CANNOT_LISTEN 3

/**
 * A graceful shutdown keeps accepting new connections for this long. After
 * that, the setting drain_ms limits its duration.
 */
#define DRAIN_LINGER_MS 1500u
#define DRAIN_CHECK_MS 50u

#define BYTE_COUNTER_INTERVAL_MS 1000u

typedef struct mt_daemon_t {
	mt_loop_t *loop;
	mt_settings_t *settings;
	mt_kernel_t *kernel;
	mt_node_t *node;
	mt_http_api_t *http_api;
	mt_http_client_t *http_client;
	mt_peer_links_t *links;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	mt_ms_t drain_since;
} mt_daemon_t;

static void send_frame(void *self, const mt_name_t *host,
		       const MtPb__Frame *frame)
{
	mt_daemon_t *daemon = self;

	mt_peer_links_send(daemon->links, host, frame);
}

static void on_frame(void *ctx, const MtPb__Hello *hello,
		     const MtPb__Frame *frame)
{
	mt_daemon_t *daemon = ctx;
	mt_peer_id_t from = {mt_name(hello->host), mt_name(hello->dc),
			     mt_name(hello->incarnation)};

	mt_node_on_frame(daemon->node, &from, frame);
}

/* Graceful shutdown. */

static void check_drained(void *ctx)
{
	mt_daemon_t *daemon = ctx;
	mt_http_server_t *http_server = mt_http_api_server(daemon->http_api);
	mt_ms_t elapsed = mt_kernel_now(daemon->kernel) - daemon->drain_since;
	bool drained = mt_node_is_drained(daemon->node) &&
		       !mt_http_server_connections(http_server);

	if (elapsed >= DRAIN_LINGER_MS)
		mt_http_server_stop(http_server);
	if ((drained && elapsed >= DRAIN_LINGER_MS) ||
	    elapsed >= DRAIN_LINGER_MS + daemon->settings->drain_ms) {
		mt_log(daemon->kernel, drained ? MT_LOG_NOTICE : MT_LOG_WARNING,
		       "daemon", "stopped after %" G_GUINT64_FORMAT " ms%s",
		       elapsed, drained ? "" : ", with unfinished work");
		mt_loop_stop(daemon->loop);
		return;
	}
	mt_timers_after(mt_loop_timers(daemon->loop), DRAIN_CHECK_MS,
			check_drained, daemon);
}

static void on_stop_signal(uv_signal_t *handle, int signal_number)
{
	mt_daemon_t *daemon = handle->data;

	if (daemon->drain_since)
		return;
	mt_log(daemon->kernel, MT_LOG_NOTICE, "daemon",
	       "received signal %d, draining", signal_number);
	daemon->drain_since = mt_kernel_now(daemon->kernel);
	mt_http_server_disable_keep_alive(mt_http_api_server(daemon->http_api));
	mt_node_drain(daemon->node);
	check_drained(daemon);
}

static void watch_signal(mt_daemon_t *daemon, uv_signal_t *handle, int number)
{
	uv_signal_init(mt_loop_uv(daemon->loop), handle);
	handle->data = daemon;
	uv_signal_start(handle, on_stop_signal, number);
}

/** Updates the metric of bytes exchanged with the platform. */
static void update_byte_counter(void *ctx)
{
	mt_daemon_t *daemon = ctx;

	*mt_kernel_counter(daemon->kernel, "platform_bytes_total") =
		mt_http_client_bytes(daemon->http_client);
}

/* Start-up. */

/**
 * Returns an id that is unique per process. The host name and the address do
 * not identify a process, as they stay the same after a restart.
 */
static mt_name_t make_incarnation(const mt_name_t *host)
{
	char text[MT_NAME_MAX_BYTES + 1];

	g_snprintf(text, sizeof(text), "%.26s-%08x%08x", host->text,
		   g_random_int(), g_random_int());
	return mt_name(text);
}

static bool open_links(mt_daemon_t *daemon, mt_name_t *incarnation)
{
	const mt_settings_t *settings = daemon->settings;
	MtPb__Hello hello = MT_PB__HELLO__INIT;

	hello.host = (char *)settings->host.text;
	hello.dc = (char *)settings->dc.text;
	hello.incarnation = incarnation->text;
	hello.protocol = MT_PEER_PROTOCOL;
	daemon->links = mt_peer_links_new(
		daemon->kernel, daemon->loop, &settings->address,
		settings->peers_port, &hello, on_frame, daemon);
	if (!daemon->links)
		return false;
	for (guint i = 0; i < settings->peers->len; i++) {
		const mt_peer_setting_t *peer =
			&g_array_index(settings->peers, mt_peer_setting_t, i);

		mt_peer_links_add(daemon->links, &peer->host, &peer->address,
				  peer->port);
	}
	return true;
}

static bool start(mt_daemon_t *daemon)
{
	const mt_settings_t *settings = daemon->settings;
	mt_name_t incarnation = make_incarnation(&settings->host);
	mt_node_ports_t ports = {0};
	mt_http_ports_t *http_ports;

	daemon->loop = mt_loop_new();
	daemon->kernel =
		mt_kernel_new(settings->host.text, mt_loop_timers(daemon->loop),
			      g_random_int());
	mt_kernel_set_level(daemon->kernel, settings->log_level);
	daemon->http_client = mt_http_client_new(daemon->loop);
	http_ports = mt_http_ports_new(daemon->kernel, daemon->http_client,
				       &settings->platform_address,
				       settings->platform_port);
	ports.log = mt_http_ports_log(http_ports);
	ports.servers = mt_http_ports_server(http_ports);
	ports.server_list = mt_http_ports_server_list(http_ports);
	ports.peers = (mt_peer_port_t){daemon, send_frame};
	daemon->node =
		mt_node_new(daemon->kernel, settings, &incarnation, &ports);
	daemon->http_api = mt_http_api_new(daemon->kernel, daemon->loop,
					   settings, daemon->node);
	if (!daemon->http_api || !open_links(daemon, &incarnation))
		return false;
	watch_signal(daemon, &daemon->sigterm, SIGTERM);
	watch_signal(daemon, &daemon->sigint, SIGINT);
	mt_node_start(daemon->node);
	mt_timers_every(mt_loop_timers(daemon->loop), BYTE_COUNTER_INTERVAL_MS,
			update_byte_counter, daemon);
	mt_log(daemon->kernel, MT_LOG_NOTICE, "daemon",
	       "%s listens for clients at %s:%u", incarnation.text,
	       settings->address.text, settings->callers_port);
	return true;
}

static mt_settings_t *load_settings(const char *path)
{
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	mt_settings_t *settings = mt_settings_load(path, errors);

	for (guint i = 0; i < errors->len; i++)
		mt_log_output_printf("mimosaturnd: %s: %s", path,
				     (char *)errors->pdata[i]);
	g_ptr_array_unref(errors);
	return settings;
}

static int run(const char *path, bool check_only)
{
	mt_daemon_t daemon = {0};

	daemon.settings = load_settings(path);
	if (!daemon.settings)
		return EXIT_BAD_SETTINGS;
	if (check_only)
		return 0;
	if (!start(&daemon)) {
		mt_log(daemon.kernel, MT_LOG_ERR, "daemon",
		       "cannot listen on %s, ports %u and %u",
		       daemon.settings->address.text,
		       daemon.settings->callers_port,
		       daemon.settings->peers_port);
		return EXIT_CANNOT_LISTEN;
	}
	mt_loop_run(daemon.loop);
	return 0;
}

static void print_help(FILE *out, void **table)
{
	fprintf(out, "Usage: mimosaturnd");
	arg_print_syntax(out, table, "\n");
	fprintf(out, "\nServes clients on one host.\n\n");
	arg_print_glossary(out, table, "  %-24s %s\n");
	fprintf(out, "\nExamples:\n"
		     "  mimosaturnd --settings tunis-1.json\n"
		     "  mimosaturnd --settings tunis-1.json --check\n\n"
		     "Exit codes: 0 stopped gracefully, 2 bad settings or "
		     "command line,\n3 cannot listen.\n");
}

/** @param end NULL: the help is asked for */
static void print_usage(void **table, struct arg_end *end)
{
	mt_log_file_t out;

	mt_log_file_open(&out);
	if (end) {
		arg_print_errors(out.file, end, "mimosaturnd");
		fprintf(out.file, "mimosaturnd: --settings FILE is required; "
				  "see --help\n");
	} else {
		print_help(out.file, table);
	}
	mt_log_file_close(&out, end ? MT_LOG_MESSAGES : MT_LOG_EVENTS);
}

int main(int argc, char **argv)
{
	struct arg_file *settings = arg_file0("s", "settings", "FILE",
					      "settings of this host (JSON)");
	struct arg_lit *check =
		arg_lit0("c", "check", "check the settings and exit");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {settings, check, help, end};
	int errors;

	mt_log_output_open(true);
	errors = arg_parse(argc, argv, table);
	if (help->count) {
		print_usage(table, NULL);
		return 0;
	}
	if (errors || !settings->count) {
		print_usage(table, end);
		return EXIT_BAD_SETTINGS;
	}
	return run(settings->filename[0], check->count > 0);
}
