/** @file cluster.c Starts and ends the processes of one run. */
#include "chaos/cluster.h"

#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <unistd.h>

/** Ports after the first one. */
enum {
	PORT_SERVERS = 1,
	PORT_SERVER_PROXIES = 20,
	PORT_STORE_PROXIES = 40,
	PORT_CALLERS = 50,
	PORT_READINESS = 60,
	PORT_METRICS = 70,
};

/** Grace of a planned stop in the settings, and what a slow machine adds. */
#define STOP_GRACE_S 6
#define STOP_MAX_MS 7000u

static const char config_text[] =
	"{\"version\":3,\"routes\":["
	"{\"name\":\"urgent\",\"host\":\"jobs.example\","
	"\"path_prefix\":\"/urgent/\",\"service\":\"service\",\"priority\":0,"
	"\"max_attempts\":8,\"slack_factor\":1.5,\"target_latency_ms\":500},"
	"{\"name\":\"batch\",\"host\":\"jobs.example\","
	"\"path_prefix\":\"/batch/\",\"service\":\"service\",\"priority\":2,"
	"\"max_attempts\":8,\"slack_factor\":3.0,"
	"\"target_latency_ms\":3000}],"
	"\"tenants\":[{\"name\":\"shop\",\"api_keys\":[\"good\"],"
	"\"guaranteed\":{\"gpu\":16}}]}";

mt_ms_t mt_cluster_now(const mt_cluster_t *scene)
{
	return mt_timers_now(mt_loop_timers(scene->loop));
}

mt_timers_t *mt_cluster_timers(const mt_cluster_t *scene)
{
	return mt_loop_timers(scene->loop);
}

/** Writes the time and the text as one line. */
static void write_line(const mt_cluster_t *scene, FILE *file, const char *what,
		       const char *format, va_list args)
{
	fprintf(file, "%s%.3f s: ", what,
		(double)(mt_cluster_now(scene) - scene->begun_at) / 1000.0);
	vfprintf(file, format, args);
	fprintf(file, "\n");
	fflush(file);
}

void mt_cluster_log(mt_cluster_t *scene, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	write_line(scene, scene->log, "", format, args);
	va_end(args);
}

void mt_cluster_breach(mt_cluster_t *scene, const char *format, ...)
{
	va_list args;

	scene->breaches++;
	va_start(args, format);
	write_line(scene, stdout, "  breach at ", format, args);
	va_end(args);
	va_start(args, format);
	write_line(scene, scene->log, "breach at ", format, args);
	va_end(args);
}

static char *path_in(const mt_cluster_t *scene, const char *format, unsigned i)
{
	char *name = g_strdup_printf(format, i);
	char *path = g_build_filename(scene->dir, name, NULL);

	g_free(name);
	return path;
}

/** Starts a program whose output goes to the end of a file. */
static bool spawn(mt_cluster_t *scene, uv_process_t *process, char **args,
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
	error = uv_spawn(mt_loop_uv(scene->loop), process, &options);
	close(fd);
	if (error)
		printf("%s cannot be started: %s\n", args[0],
		       uv_strerror(error));
	return !error;
}

/* Hosts. */

static void on_host_closed(uv_handle_t *handle)
{
	mt_cluster_host_t *host = handle->data;

	host->runs = false;
	if (!host->scene->ending && host->stopping)
		mt_cluster_start_host(host);
	host->stopping = false;
}

static void on_host_exit(uv_process_t *process, int64_t status, int number)
{
	mt_cluster_host_t *host = process->data;
	mt_cluster_t *scene = host->scene;
	mt_ms_t took =
		mt_cluster_now(scene) - host->stop_sent_at - host->paused_ms;

	if (host->stopping && !number && status)
		mt_cluster_breach(scene, "host %u ended with status %d",
				  host->index, (int)status);
	if (host->stopping && !number && took > STOP_MAX_MS)
		mt_cluster_breach(scene, "host %u took %u ms to stop",
				  host->index, (unsigned)took);
	if (!scene->ending && !host->stopping && number != SIGKILL)
		mt_cluster_breach(
			scene, "host %u ended by itself, status %d, signal %d",
			host->index, (int)status, number);
	uv_close((uv_handle_t *)process, on_host_closed);
}

void mt_cluster_start_host(mt_cluster_host_t *host)
{
	mt_cluster_t *scene = host->scene;
	char *program = g_build_filename(scene->build, "programs",
					 "mimosaturn-entry", NULL);
	char *settings = path_in(scene, "host-%u.json", host->index);
	char *log = path_in(scene, "host-%u.log", host->index);
	char *args[] = {program, "--settings", settings, NULL};

	if (!host->runs) {
		host->process.data = host;
		host->runs =
			spawn(scene, &host->process, args, log, on_host_exit);
		host->last_fault_at = mt_cluster_now(scene);
	}
	g_free(program);
	g_free(settings);
	g_free(log);
}

/** A host that is paused cannot stop meanwhile. */
static void note_pause(mt_cluster_host_t *host, int number)
{
	mt_ms_t now = mt_cluster_now(host->scene);

	if (number == SIGSTOP && !host->paused_at)
		host->paused_at = now;
	if (number != SIGSTOP && host->paused_at) {
		host->paused_ms += now - host->paused_at;
		host->paused_at = 0;
	}
	if (number == SIGTERM)
		host->paused_ms = 0;
}

void mt_cluster_signal_host(mt_cluster_host_t *host, int number)
{
	if (!host->runs)
		return;
	note_pause(host, number);
	host->last_fault_at = mt_cluster_now(host->scene);
	mt_cluster_log(host->scene, "host %u: signal %d", host->index, number);
	if (number == SIGTERM) {
		host->stopping = true;
		host->stop_sent_at = host->last_fault_at;
	}
	uv_process_kill(&host->process, number);
}

static void write_settings(const mt_cluster_t *scene, unsigned index,
			   uint16_t port)
{
	char *path = path_in(scene, "host-%u.json", index);
	char *text = g_strdup_printf(
		"{\"host\":\"host-%u\",\"data_centre\":\"here\","
		"\"cores\":%s,\"callers\":\"127.0.0.1:%u\","
		"\"readiness\":\"127.0.0.1:%u\",\"metrics\":\"127.0.0.1:%u\","
		"\"store\":\"127.0.0.1:%u\",\"lease_max_ms\":10000,"
		"\"stop_task_ms\":400,\"restore_ms\":100,\"keep_ended_s\":120,"
		"\"stop_grace_s\":%d,\"revoke_key_ms\":5000}",
		index, index % 2 ? "0.5" : "0.25", port + PORT_CALLERS + index,
		port + PORT_READINESS + index, port + PORT_METRICS + index,
		port + PORT_STORE_PROXIES + index, STOP_GRACE_S);

	g_file_set_contents(path, text, -1, NULL);
	g_free(path);
	g_free(text);
}

static bool add_host(mt_cluster_t *scene, unsigned index, uint16_t port)
{
	mt_cluster_host_t *host = &scene->hosts[index];

	host->scene = scene;
	host->index = index;
	host->callers_port = (uint16_t)(port + PORT_CALLERS + index);
	host->readiness_port = (uint16_t)(port + PORT_READINESS + index);
	host->store = mt_proxy_new(
		scene->loop, (uint16_t)(port + PORT_STORE_PROXIES + index),
		port);
	write_settings(scene, index, port);
	mt_cluster_start_host(host);
	return host->store && host->runs;
}

/* The platform. */

static void on_platform_exit(uv_process_t *process, int64_t status, int number)
{
	mt_cluster_t *scene = process->data;

	scene->platform_running = false;
	if (!scene->ending)
		mt_cluster_breach(
			scene,
			"the stand-in ended by itself, status %d, signal %d",
			(int)status, number);
	uv_close((uv_handle_t *)process, NULL);
}

static bool start_platform(mt_cluster_t *scene, uint16_t port, guint32 seed)
{
	char *program =
		g_build_filename(scene->build, "tests", "platformd", NULL);
	char *config = path_in(scene, "config.json", 0);
	char *log = path_in(scene, "platform.log", 0);
	char *store = g_strdup_printf("%u", port);
	char *reported = g_strdup_printf("%u", port + PORT_SERVER_PROXIES);
	char *seed_text = g_strdup_printf("%u", seed);
	char *args[] = {
		program,	   "--port", store,    "--config", config,
		"--reported-port", reported, "--seed", seed_text,  NULL};

	g_file_set_contents(config, config_text, -1, NULL);
	scene->platform.data = scene;
	scene->platform_running =
		spawn(scene, &scene->platform, args, log, on_platform_exit);
	g_free(program);
	g_free(config);
	g_free(log);
	g_free(store);
	g_free(reported);
	g_free(seed_text);
	return scene->platform_running;
}

static bool start_all(mt_cluster_t *scene, uint16_t port, guint32 seed)
{
	bool good = start_platform(scene, port, seed);

	for (unsigned i = 0; i < CHAOS_SERVERS; i++) {
		scene->servers[i] = mt_proxy_new(
			scene->loop, (uint16_t)(port + PORT_SERVER_PROXIES + i),
			(uint16_t)(port + PORT_SERVERS + i));
		good = good && scene->servers[i];
	}
	for (unsigned i = 0; i < CHAOS_HOSTS; i++)
		good = add_host(scene, i, port) && good;
	return good;
}

mt_cluster_t *mt_cluster_new(const char *build, uint16_t port, guint32 seed)
{
	mt_cluster_t *scene = g_new0(mt_cluster_t, 1);
	char *path;

	scene->loop = mt_loop_new();
	scene->http = mt_http_client_new(scene->loop);
	scene->rand = g_rand_new_with_seed(seed);
	scene->build = g_strdup(build);
	scene->dir = g_dir_make_tmp("mimosaturn-chaos-XXXXXX", NULL);
	path = path_in(scene, "soak.log", 0);
	scene->log = fopen(path, "w");
	g_free(path);
	if (!scene->log)
		scene->log = stderr;
	scene->store_port = port;
	scene->begun_at = mt_cluster_now(scene);
	if (start_all(scene, port, seed))
		return scene;
	printf("the processes cannot be started; are ports from %u free?\n",
	       port);
	mt_cluster_shut_down(scene, true);
	return NULL;
}

static void remove_files(const char *dir)
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

static void on_ended(void *ctx)
{
	mt_cluster_t *scene = ctx;
	bool runs = scene->platform_running;

	for (unsigned i = 0; i < CHAOS_HOSTS; i++)
		runs = runs || scene->hosts[i].runs;
	if (runs)
		mt_timers_after(mt_cluster_timers(scene), 20, on_ended, scene);
	else
		mt_loop_stop(scene->loop);
}

static void close_proxies(mt_cluster_t *scene)
{
	for (unsigned i = 0; i < CHAOS_SERVERS; i++) {
		if (scene->servers[i])
			mt_proxy_close(scene->servers[i]);
	}
	for (unsigned i = 0; i < CHAOS_HOSTS; i++) {
		if (scene->hosts[i].store)
			mt_proxy_close(scene->hosts[i].store);
	}
}

void mt_cluster_shut_down(mt_cluster_t *scene, bool good)
{
	scene->ending = true;
	for (unsigned i = 0; i < CHAOS_HOSTS; i++)
		mt_cluster_signal_host(&scene->hosts[i], SIGKILL);
	if (scene->platform_running)
		uv_process_kill(&scene->platform, SIGKILL);
	close_proxies(scene);
	on_ended(scene);
	mt_loop_run(scene->loop);
	if (good)
		remove_files(scene->dir);
	/* The loop and its open handles go with the process. */
}
