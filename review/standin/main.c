/**
 * @file main.c
 * Plays one scenario of the review: serves the store and the workers, acts as
 * the clients, and tells at the end whether the rule was broken.
 *
 * Exit status: 1 broken, 0 held, 2 the scenario could not run.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <netinet/in.h>
#include <unistd.h>

#include "scenario.h"

#define TICK_MS 5u
#define PORTS 110
#define FIRST_BASE 21000
#define LAST_BASE 59000

mt_loop_t *loop;
mt_timers_t *timers;
scenario_t scenario;

static FILE *record_file;
static mt_ms_t started_at;
static mt_http_client_t *client;

/* Desired state. */

static char *route_text(const char *name, const char *prefix, unsigned priority)
{
	return g_strdup_printf(
		"{\"name\":\"%s\",\"host\":\"127.0.0.1\",\"path_prefix\":"
		"\"%s\",\"kind\":\"non_idempotent\",\"timeout_ms\":3000,"
		"\"target_latency_ms\":3000,\"priority\":%u,"
		"\"service\":\"shop\",\"max_attempts\":4,"
		"\"slack_factor\":3.0,\"public\":false}",
		name, prefix, priority);
}

void put_config(unsigned version, const char *route)
{
	char *urgent = route_text("urgent", "/urgent/", 0);
	char *batch = route_text("batch", "/batch/", 2);
	char *added = route ? route_text(route, "/albums/", 2) : g_strdup("");
	char *text = g_strdup_printf(
		"{\"version\":%u,\"routes\":[%s,%s%s%s],"
		"\"services\":[{\"name\":\"shop\",\"health_path\":\"/healthz\","
		"\"max_connections\":64,\"protocol\":\"h1\",\"tls_enabled\":"
		"false,\"admission_check\":true,\"standby\":false}],"
		"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
		"262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
		"\"tenants\":[{\"name\":\"tenant\",\"api_keys\":[\"good\"],"
		"\"priority\":1,\"guaranteed\":{\"gpu\":16}}]}",
		version, urgent, batch, route ? "," : "", added);

	store_put("keyed.op", "config", text);
	record("operator: version %u, with the routes urgent, batch %s",
	       version, route ? route : "");
	g_free(text);
	g_free(urgent);
	g_free(batch);
	g_free(added);
}

/* Time and record. */

mt_ms_t now_ms(void)
{
	return mt_timers_now(timers) - started_at;
}

gint64 unix_ms(void)
{
	return g_get_real_time() / 1000;
}

void record(const char *format, ...)
{
	va_list args;

	fprintf(record_file, "%7.3f ", (double)now_ms() / 1000);
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
}

void finish(int status, const char *why)
{
	record("%s: %s",
	       status == 0   ? "HELD"
	       : status == 1 ? "BROKEN"
			     : "NOT RUN",
	       why);
	printf("%s\n", why);
	exit(status);
}

/* Calls that are answered later. */

static void on_disconnect(void *ctx)
{
	pending_t *call = ctx;

	call->exchange = NULL;
	if (call->answered)
		return; /* freed by the timer */
	g_free(call);
}

pending_t *pending_new(const mt_http_incoming_request_t *http)
{
	pending_t *call = g_new0(pending_t, 1);

	call->exchange = http->exchange;
	mt_http_on_disconnect(http->exchange, on_disconnect, call);
	return call;
}

static void send_answer(void *ctx)
{
	pending_t *call = ctx;

	if (call->exchange) {
		mt_str_t body = {0};
		gsize len = 0;

		if (call->body) {
			body.data = g_bytes_get_data(call->body, &len);
			body.len = len;
		}
		mt_http_on_disconnect(call->exchange, NULL, NULL);
		mt_http_respond(call->exchange, call->status,
				"application/json", body, NULL);
	}
	g_clear_pointer(&call->body, g_bytes_unref);
	g_free(call);
}

void pending_answer(pending_t *call, mt_ms_t delay, int status, GBytes *body)
{
	call->status = status;
	call->body = body;
	call->answered = true;
	mt_timers_after(timers, delay, send_answer, call);
}

void pending_answer_json(pending_t *call, mt_ms_t delay, int status,
			 json_t *json)
{
	char *text = mt_json_dump_decref(json);

	pending_answer(call, delay, status,
		       g_bytes_new_take(text, strlen(text)));
}

void pending_drop(pending_t *call)
{
	/* The caller's time-out closes the channel. */
}

/* Clients. */

typedef struct client_call_t {
	reply_t *reply;
	char *what;
	mt_ms_t sent_at;
} client_call_t;

static void on_response(void *ctx, const mt_http_response_t *response)
{
	client_call_t *call = ctx;
	reply_t *reply = call->reply;

	reply->done = true;
	reply->done_at = now_ms();
	reply->status =
		response->result == MT_HTTP_RESPONSE ? response->status : 0;
	g_snprintf(reply->body, sizeof(reply->body), "%.*s",
		   (int)response->body.len,
		   response->body.len ? response->body.data : "");
	record("client: %s -> %d %s after %" G_GUINT64_FORMAT " ms", call->what,
	       reply->status, reply->body, now_ms() - call->sent_at);
	g_free(call->what);
	g_free(call);
}

void call_host(unsigned host, const char *method, const char *path,
	       const char *body, reply_t *reply)
{
	client_call_t *call = g_new0(client_call_t, 1);
	mt_http_request_t request = {0};

	*reply = (reply_t){.sent = true};
	call->reply = reply;
	call->sent_at = now_ms();
	call->what = g_strdup_printf("%s %s at host-%u", method, path, host);
	record("client: %s sent", call->what);
	request.address = mt_name("127.0.0.1");
	request.port = (uint16_t)(scenario.base + 40 + host);
	request.method = method;
	request.path = path;
	request.headers = "Authorization: Token good\r\n"
			  "Content-Type: application/json\r\n"
			  "Mimosaturn-Deadline-Ms: 3000\r\n";
	request.body = mt_str_from(body);
	request.timeout_ms = 3000;
	mt_http_send(client, &request, on_response, call);
}

/* Readiness, as the platform asks for it. */

static reply_t ready[MAX_HOSTS];

static void ask_ready(void *ctx)
{
	unsigned host = GPOINTER_TO_UINT(ctx);
	client_call_t *call = g_new0(client_call_t, 1);
	mt_http_request_t request = {0};

	if (ready[host].status == 200) {
		g_free(call);
		return;
	}
	call->reply = &ready[host];
	call->sent_at = now_ms();
	call->what = g_strdup_printf("readyz of host-%u", host);
	request.address = mt_name("127.0.0.1");
	request.port = (uint16_t)(scenario.base + 50 + host);
	request.method = "GET";
	request.path = "/mimosaturn/readyz";
	request.timeout_ms = 1000;
	mt_http_send(client, &request, on_response, call);
}

bool hosts_are_ready(void)
{
	for (unsigned i = 0; i < scenario.n_hosts; i++) {
		if (ready[i].status != 200)
			return false;
	}
	return true;
}

/* Start-up. */

static void tick(void *ctx)
{
	store_tick();
	for (unsigned i = 0; i < scenario.n_workers; i++)
		worker_tick(scenario.workers[i]);
	scenario.play();
	if (now_ms() > 112000)
		finish(2, "the scenario did not end in time");
}

static bool is_free(int port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool bound;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	bound = !bind(fd, (struct sockaddr *)&address, sizeof(address));
	close(fd);
	return bound;
}

/** Prints the first of PORTS free ports. */
static int print_free_base(void)
{
	for (int try = 0; try < 200; try++) {
		int base = g_random_int_range(FIRST_BASE, LAST_BASE);
		int n = 0;

		while (n < PORTS && is_free(base + n))
			n++;
		if (n == PORTS) {
			printf("%d\n", base);
			return 0;
		}
	}
	return 2;
}

static bool start(void)
{
	loop = mt_loop_new();
	timers = mt_loop_timers(loop);
	started_at = mt_timers_now(timers);
	client = mt_http_client_new(loop);
	run_events = g_ptr_array_new();
	store_init();
	put_config(1, NULL);
	if (!scenario_find(scenario.name))
		return false;
	for (unsigned i = 0; i < scenario.n_hosts; i++) {
		uint16_t port = (uint16_t)(scenario.base + i);
		uint16_t shown = (uint16_t)(scenario.base + 34 + i);

		if (!store_listen(port, i) || !proxy_listen(shown, port))
			return false;
		mt_timers_every(timers, 200, ask_ready, GUINT_TO_POINTER(i));
	}
	for (unsigned i = 0; i < scenario.n_workers; i++) {
		uint16_t port = (uint16_t)(scenario.base + 10 + i);
		uint16_t shown = (uint16_t)(scenario.base + 80 + i);

		scenario.workers[i] =
			worker_new(i, port, shown, scenario.worker_cpu);
		if (!scenario.workers[i] || !proxy_listen(shown, port))
			return false;
	}
	mt_timers_every(timers, TICK_MS, tick, NULL);
	return true;
}

int main(int argc, char **argv)
{
	if (argc == 2 && !strcmp(argv[1], "free-ports"))
		return print_free_base();
	if (argc != 6) {
		fprintf(stderr,
			"usage: %s SCENARIO BASE HOSTS TROUBLE RECORD\n",
			argv[0]);
		return 2;
	}
	scenario.name = argv[1];
	scenario.base = (unsigned)atoi(argv[2]);
	scenario.n_hosts = (unsigned)atoi(argv[3]);
	scenario.trouble = atoi(argv[4]) != 0;
	record_file = fopen(argv[5], "w");
	if (!record_file || !start()) {
		fprintf(stderr, "cannot start the stand-ins\n");
		return 2;
	}
	record("scenario %s, trouble %d", scenario.name, scenario.trouble);
	mt_loop_run(loop);
	return 2;
}
