/** @file cluster.c Starts and stops the processes of one chaos test. */
#include "chaos/cluster.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <unistd.h>

/** Offsets from the first port, which is that of the store. */
enum {
	PORT_SERVERS = 1,
	PORT_SERVER_PROXIES = 20,
	PORT_STORE_PROXIES = 40,
	PORT_CALLERS = 50,
	PORT_READINESS = 60,
	PORT_METRICS = 70,
	PORT_PEERS = 80,
};

/**
 * Grace period of a planned stop in the hosts' settings, and the time within
 * which a host must exit after SIGTERM: 1 s more, for slow machines.
 */
#define STOP_GRACE_S 6
#define HOST_STOP_MAX_MS 7000u

/** Time to wait for platformd's answer to a call of the test. */
#define PLATFORM_TIMEOUT_MS 1000u

static const char config_text[] =
	"{\"version\":3,\"routes\":["
	"{\"name\":\"urgent\",\"host\":\"jobs.example\","
	"\"path_prefix\":\"/urgent/\",\"service\":\"service\",\"priority\":0,"
	"\"max_attempts\":8,\"slack_factor\":1.5,\"target_latency_ms\":500},"
	"{\"name\":\"batch\",\"host\":\"jobs.example\","
	"\"path_prefix\":\"/batch/\",\"service\":\"service\",\"priority\":2,"
	"\"max_attempts\":8,\"slack_factor\":1.5,\"target_latency_ms\":500}],"
	"\"tenants\":[{\"name\":\"shop\",\"api_keys\":[\"good\"],"
	"\"guaranteed\":{\"gpu\":16}}]}";

static void on_platform_answer(void *ctx, const mt_http_response_t *response)
{
}

void mt_cluster_call_platform(mt_cluster_t *cluster, const char *path,
			      mt_str_t body)
{
	mt_http_request_t request = {0};

	request.address = mt_name("127.0.0.1");
	request.port = cluster->store_port;
	request.method = "POST";
	request.path = path;
	request.body = body;
	request.timeout_ms = PLATFORM_TIMEOUT_MS;
	mt_http_send(cluster->http, &request, on_platform_answer, NULL);
}

mt_ms_t mt_cluster_now(const mt_cluster_t *cluster)
{
	return mt_timers_now(mt_loop_timers(cluster->loop));
}

mt_timers_t *mt_cluster_timers(const mt_cluster_t *cluster)
{
	return mt_loop_timers(cluster->loop);
}

/** Writes a line of the prefix, the time and the text. */
static void write_line(const mt_cluster_t *cluster, FILE *file,
		       const char *prefix, const char *format, va_list args)
{
	fprintf(file, "%s%.3f s: ", prefix,
		(double)(mt_cluster_now(cluster) - cluster->started_at) /
			1000.0);
	vfprintf(file, format, args);
	fprintf(file, "\n");
	fflush(file);
}

void mt_cluster_log(mt_cluster_t *cluster, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	write_line(cluster, cluster->log, "", format, args);
	va_end(args);
}

void mt_cluster_breach(mt_cluster_t *cluster, const char *format, ...)
{
	va_list args;

	cluster->breaches++;
	va_start(args, format);
	write_line(cluster, stdout, "  breach at ", format, args);
	va_end(args);
	va_start(args, format);
	write_line(cluster, cluster->log, "breach at ", format, args);
	va_end(args);
}

static char *format_path(const mt_cluster_t *cluster, const char *format,
			 unsigned i)
{
	char *name = g_strdup_printf(format, i);
	char *path = g_build_filename(cluster->dir, name, NULL);

	g_free(name);
	return path;
}

/** Starts a program and appends its output to a log file. */
static bool spawn(mt_cluster_t *cluster, uv_process_t *process, char **args,
		  const char *log, uv_exit_cb on_exit)
{
	uv_process_options_t options = {0};
	uv_stdio_container_t stdio[3] = {{.flags = UV_IGNORE}};
	int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	int error;

	stdio[1].flags = UV_INHERIT_FD;
	stdio[1].data.fd = fd;
	stdio[2] = stdio[1];
	options.file = args[0];
	options.args = args;
	options.stdio = stdio;
	options.stdio_count = 3;
	options.exit_cb = on_exit;
	error = uv_spawn(mt_loop_uv(cluster->loop), process, &options);
	close(fd);
	if (error)
		printf("cannot start %s: %s\n", args[0], uv_strerror(error));
	return !error;
}

/* Hosts. */

static void on_host_closed(uv_handle_t *handle)
{
	mt_cluster_host_t *host = handle->data;

	host->running = false;
	if (!host->cluster->shutting_down && host->stopping)
		mt_cluster_start_host(host);
	host->stopping = false;
}

static void on_host_exit(uv_process_t *process, int64_t status,
			 int signal_number)
{
	mt_cluster_host_t *host = process->data;
	mt_cluster_t *cluster = host->cluster;
	mt_ms_t took =
		mt_cluster_now(cluster) - host->stop_sent_at - host->paused_ms;

	if (host->stopping && !signal_number && status)
		mt_cluster_breach(cluster,
				  "host %u exited with status %d after SIGTERM",
				  host->index, (int)status);
	if (host->stopping && !signal_number && took > HOST_STOP_MAX_MS)
		mt_cluster_breach(cluster, "host %u took %u ms to stop",
				  host->index, (unsigned)took);
	if (!cluster->shutting_down && !host->stopping &&
	    signal_number != SIGKILL)
		mt_cluster_breach(cluster,
				  "host %u exited unexpectedly, status %d, "
				  "signal %d",
				  host->index, (int)status, signal_number);
	uv_close((uv_handle_t *)process, on_host_closed);
}

void mt_cluster_start_host(mt_cluster_host_t *host)
{
	mt_cluster_t *cluster = host->cluster;
	char *program = g_build_filename(cluster->build, "programs",
					 "mimosaturn-entry", NULL);
	char *settings = format_path(cluster, "host-%u.json", host->index);
	char *log = format_path(cluster, "host-%u.log", host->index);
	char *args[] = {program, "--settings", settings, NULL};

	if (!host->running) {
		host->process.data = host;
		host->running =
			spawn(cluster, &host->process, args, log, on_host_exit);
		host->last_disturbance_at = mt_cluster_now(cluster);
	}
	g_free(program);
	g_free(settings);
	g_free(log);
}

/** Sums up pauses: they do not count towards the time a host takes to stop. */
static void track_pause(mt_cluster_host_t *host, int signal_number)
{
	mt_ms_t now = mt_cluster_now(host->cluster);

	if (signal_number == SIGSTOP && !host->paused_at)
		host->paused_at = now;
	if (signal_number != SIGSTOP && host->paused_at) {
		host->paused_ms += now - host->paused_at;
		host->paused_at = 0;
	}
	if (signal_number == SIGTERM)
		host->paused_ms = 0;
}

void mt_cluster_signal_host(mt_cluster_host_t *host, int signal_number)
{
	if (!host->running)
		return;
	track_pause(host, signal_number);
	host->last_disturbance_at = mt_cluster_now(host->cluster);
	mt_cluster_log(host->cluster, "host %u: signal %d", host->index,
		       signal_number);
	if (signal_number == SIGTERM) {
		host->stopping = true;
		host->stop_sent_at = host->last_disturbance_at;
	}
	uv_process_kill(&host->process, signal_number);
}

static void write_settings(const mt_cluster_t *cluster, unsigned index,
			   uint16_t port)
{
	char *path = format_path(cluster, "host-%u.json", index);
	char *text = g_strdup_printf(
		"{\"host\":\"host-%u\",\"data_centre\":\"here\","
		"\"cores\":%s,\"callers\":\"127.0.0.1:%u\","
		"\"readiness\":\"127.0.0.1:%u\",\"metrics\":\"127.0.0.1:%u\","
		"\"peers\":\"127.0.0.1:%u\",\"store\":\"127.0.0.1:%u\","
		"\"lease_max_ms\":10000,"
		"\"stop_task_ms\":400,\"restore_ms\":100,\"keep_ended_s\":120,"
		"\"stop_grace_s\":%d,\"revoke_key_ms\":5000,"
		"\"evacuation_ms\":5000,\"admission_control\":\"%s\"}",
		index, index % 2 ? "0.5" : "0.25", port + PORT_CALLERS + index,
		port + PORT_READINESS + index, port + PORT_METRICS + index,
		port + PORT_PEERS + index, port + PORT_STORE_PROXIES + index,
		STOP_GRACE_S, cluster->refuses_jobs ? "on" : "off");

	g_file_set_contents(path, text, -1, NULL);
	g_free(path);
	g_free(text);
}

static bool add_host(mt_cluster_t *cluster, unsigned index, uint16_t port)
{
	mt_cluster_host_t *host = &cluster->hosts[index];

	host->cluster = cluster;
	host->index = index;
	host->callers_port = (uint16_t)(port + PORT_CALLERS + index);
	host->readiness_port = (uint16_t)(port + PORT_READINESS + index);
	host->store_proxy = mt_proxy_new(
		cluster->loop, (uint16_t)(port + PORT_STORE_PROXIES + index),
		port);
	write_settings(cluster, index, port);
	mt_cluster_start_host(host);
	return host->store_proxy && host->running;
}

/* The platform. */

static void on_platform_exit(uv_process_t *process, int64_t status,
			     int signal_number)
{
	mt_cluster_t *cluster = process->data;

	cluster->platform_running = false;
	if (!cluster->shutting_down)
		mt_cluster_breach(
			cluster,
			"platformd exited unexpectedly, status %d, signal %d",
			(int)status, signal_number);
	uv_close((uv_handle_t *)process, NULL);
}

static bool start_platform(mt_cluster_t *cluster, uint16_t port, guint32 seed)
{
	char *program =
		g_build_filename(cluster->build, "tests", "platformd", NULL);
	char *config = format_path(cluster, "config.json", 0);
	char *log = format_path(cluster, "platform.log", 0);
	char *port_text = g_strdup_printf("%u", port);
	char *reported = g_strdup_printf("%u", port + PORT_SERVER_PROXIES);
	char *seed_text = g_strdup_printf("%u", seed);
	char *args[] = {
		program,	   "--port", port_text, "--config", config,
		"--reported-port", reported, "--seed",	seed_text,  NULL};

	g_file_set_contents(config, config_text, -1, NULL);
	cluster->platform.data = cluster;
	cluster->platform_running =
		spawn(cluster, &cluster->platform, args, log, on_platform_exit);
	g_free(program);
	g_free(config);
	g_free(log);
	g_free(port_text);
	g_free(reported);
	g_free(seed_text);
	return cluster->platform_running;
}

static bool start_all(mt_cluster_t *cluster, uint16_t port, guint32 seed)
{
	bool started = start_platform(cluster, port, seed);

	for (unsigned i = 0; i < CHAOS_SERVERS; i++) {
		cluster->server_proxies[i] =
			mt_proxy_new(cluster->loop,
				     (uint16_t)(port + PORT_SERVER_PROXIES + i),
				     (uint16_t)(port + PORT_SERVERS + i));
		started = started && cluster->server_proxies[i];
	}
	for (unsigned i = 0; i < CHAOS_HOSTS; i++)
		started = add_host(cluster, i, port) && started;
	return started;
}

mt_cluster_t *mt_cluster_new(const char *build, uint16_t port, guint32 seed)
{
	mt_cluster_t *cluster = g_new0(mt_cluster_t, 1);
	char *path;

	cluster->loop = mt_loop_new();
	cluster->http = mt_http_client_new(cluster->loop);
	cluster->rand = g_rand_new_with_seed(seed);
	cluster->build = g_strdup(build);
	cluster->dir = g_dir_make_tmp("mimosaturn-chaos-XXXXXX", NULL);
	path = format_path(cluster, "faults.log", 0);
	cluster->log = fopen(path, "w");
	g_free(path);
	if (!cluster->log)
		cluster->log = stderr;
	cluster->store_port = port;
	cluster->refuses_jobs = seed % 2 == 0;
	cluster->started_at = mt_cluster_now(cluster);
	if (start_all(cluster, port, seed))
		return cluster;
	printf("cannot start all processes; are the ports from %u on free?\n",
	       port);
	mt_cluster_shut_down(cluster, true);
	return NULL;
}

static void remove_dir(const char *dir)
{
	GDir *files = g_dir_open(dir, 0, NULL);
	const char *name;

	while (files && (name = g_dir_read_name(files))) {
		char *path = g_build_filename(dir, name, NULL);

		g_unlink(path);
		g_free(path);
	}
	if (files)
		g_dir_close(files);
	g_rmdir(dir);
}

/** Stops the loop once all processes have exited. */
static void stop_loop_when_ended(void *ctx)
{
	mt_cluster_t *cluster = ctx;
	bool running = cluster->platform_running;

	for (unsigned i = 0; i < CHAOS_HOSTS; i++)
		running = running || cluster->hosts[i].running;
	if (running)
		mt_timers_after(mt_cluster_timers(cluster), 20,
				stop_loop_when_ended, cluster);
	else
		mt_loop_stop(cluster->loop);
}

static void close_proxies(mt_cluster_t *cluster)
{
	for (unsigned i = 0; i < CHAOS_SERVERS; i++) {
		if (cluster->server_proxies[i])
			mt_proxy_close(cluster->server_proxies[i]);
	}
	for (unsigned i = 0; i < CHAOS_HOSTS; i++) {
		if (cluster->hosts[i].store_proxy)
			mt_proxy_close(cluster->hosts[i].store_proxy);
	}
}

void mt_cluster_shut_down(mt_cluster_t *cluster, bool remove_logs)
{
	cluster->shutting_down = true;
	for (unsigned i = 0; i < CHAOS_HOSTS; i++)
		mt_cluster_signal_host(&cluster->hosts[i], SIGKILL);
	if (cluster->platform_running)
		uv_process_kill(&cluster->platform, SIGKILL);
	close_proxies(cluster);
	stop_loop_when_ended(cluster);
	mt_loop_run(cluster->loop);
	if (remove_logs)
		remove_dir(cluster->dir);
	/* The loop and its open handles are not freed; this process exits. */
}
