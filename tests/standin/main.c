/**
 * @file main.c
 * HTTP server that replaces the platform for mimosaturnd in tests and the demo;
 * it is not shipped. (tests/platformd does so for mimosaturn-entry.) Serves the
 * log, the server list and all backend servers on one port, with the protocols
 * of docs/PLATFORM.md.
 *
 * `POST /admin/faults` injects faults, `GET /admin/audit` returns the audit of
 * the tasks, `GET /admin/begins?job=ID` the number of runs in which a program
 * of the job began.
 */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "model/fleet_model.h"
#include "model/log_model.h"
#include "net/http_ports.h"
#include "net/http_server.h"
#include "net/json_util.h"
#include "net/server_codec.h"

#define BODY_MAX_BYTES (4u * 1024u * 1024u)

/** Interval at which tasks are advanced and deferred responses checked. */
#define TICK_MS 10u
#define DEFAULT_RETENTION_MS 3600000u

/**
 * Limit of the time for which a gang may be partially running: the sum of the
 * default lease_term_ms (10 s) and the default renew_ms (2 s) of a host. Unlike
 * MT_SOAK_PARTIAL_MAX_MS, it has no margin.
 */
#define PARTIAL_MAX_MS 12000u

/**
 * The audit counts each START on a server that has been leaving for longer than
 * this.
 */
#define LEAVING_GRACE_MS 3000u

/**
 * Injected faults, besides those of single servers (mt_server_faults_t). The
 * members are named as in the body of `POST /admin/faults`.
 */
typedef struct mt_platform_faults_t {
	bool log_away;	    /**< the log answers 503 */
	double log_lost;    /**< share of appends that execute without a usable
			       answer */
	double server_lost; /**< share of commands to servers, except RENEW,
			       that execute without a usable answer */
	uint32_t delay_ms;  /**< added to the latency of appends */
	bool hosts_away;    /**< the server list (/v1/hosts) answers 503 */
} mt_platform_faults_t;

/**
 * A response to be sent later. If `stream` is set, it answers a read of the log
 * and is sent once the stream has a record at `from`, at the latest at `due`.
 * If `server` is set, it answers a RENEW and is sent once the server's version
 * differs from `renewal.seen`, at the latest at `due`. If neither is set, its
 * content is given by the other members, and it is sent at `due`.
 */
typedef struct mt_deferred_response_t {
	mt_http_exchange_t *exchange;
	mt_ms_t due;
	bool malformed; /**< send a body that the client cannot parse */
	char *stream;
	uint64_t from; /**< offset */
	mt_name_t server;
	mt_server_request_t renewal;
	char *body;	   /**< unused if `malformed` is set */
	int status;	   /**< HTTP status to be sent with `body` */
	bool disconnected; /**< the client has closed the connection */
} mt_deferred_response_t;

typedef struct mt_standin_t {
	mt_loop_t *loop;
	mt_timers_t *timers;
	mt_http_server_t *http;
	mt_log_model_t *log;
	mt_fleet_model_t *fleet;
	mt_platform_faults_t faults;
	GRand *rand;
	GPtrArray *deferred;
} mt_standin_t;

static mt_ms_t now_ms(const mt_standin_t *standin)
{
	return mt_timers_now(standin->timers);
}

static void send_json(mt_http_exchange_t *exchange, int status,
		      const char *text)
{
	mt_http_respond(exchange, status, "application/json", mt_str_from(text),
			NULL);
}

static void on_disconnect(void *ctx)
{
	((mt_deferred_response_t *)ctx)->disconnected = true;
}

static mt_deferred_response_t *defer_response(mt_standin_t *standin,
					      mt_http_exchange_t *exchange,
					      mt_ms_t delay)
{
	mt_deferred_response_t *deferred = g_new0(mt_deferred_response_t, 1);

	deferred->exchange = exchange;
	deferred->due = now_ms(standin) + delay;
	mt_http_on_disconnect(exchange, on_disconnect, deferred);
	g_ptr_array_add(standin->deferred, deferred);
	return deferred;
}

static void free_deferred(gpointer data)
{
	mt_deferred_response_t *deferred = data;

	mt_server_request_clear(&deferred->renewal);
	g_free(deferred->stream);
	g_free(deferred->body);
	g_free(deferred);
}

/* Log service. */

static void respond_read(mt_standin_t *standin, mt_http_exchange_t *exchange,
			 const char *stream, uint64_t from)
{
	mt_log_page_t *page =
		mt_log_model_read(standin->log, stream, from, now_ms(standin));
	char *text = mt_log_page_encode(page);

	send_json(exchange, 200, text);
	g_free(text);
	mt_log_page_free(page);
}

static void handle_read(mt_standin_t *standin,
			const mt_http_incoming_request_t *incoming,
			const char *stream)
{
	uint64_t from = 0;
	uint64_t wait_ms = 0;
	mt_str_t text;
	mt_deferred_response_t *deferred;

	if (mt_http_query(incoming->query, "from", &text))
		mt_str_to_u64(text, &from);
	if (mt_http_query(incoming->query, "wait_ms", &text))
		mt_str_to_u64(text, &wait_ms);
	if (!wait_ms || mt_log_model_next(standin->log, stream) > from) {
		respond_read(standin, incoming->exchange, stream, from);
		return;
	}
	deferred = defer_response(standin, incoming->exchange, wait_ms);
	deferred->stream = g_strdup(stream);
	deferred->from = from;
}

static void handle_append(mt_standin_t *standin,
			  const mt_http_incoming_request_t *incoming,
			  const char *stream)
{
	GPtrArray *records = mt_log_records_decode(incoming->body);
	mt_deferred_response_t *deferred;

	if (!records) {
		send_json(incoming->exchange, 400, "{}");
		return;
	}
	mt_log_model_append(standin->log, stream, now_ms(standin), records);
	g_ptr_array_unref(records);
	if (g_rand_double(standin->rand) < standin->faults.log_lost) {
		defer_response(standin, incoming->exchange, TICK_MS)
			->malformed = true;
		return;
	}
	if (!standin->faults.delay_ms) {
		send_json(incoming->exchange, 200, "{}");
		return;
	}
	deferred = defer_response(standin, incoming->exchange,
				  standin->faults.delay_ms);
	deferred->body = g_strdup("{}");
	deferred->status = 200;
}

static void handle_log(mt_standin_t *standin,
		       const mt_http_incoming_request_t *incoming)
{
	mt_str_t prefix = MT_STR("/v1/log/");
	char *stream = g_strndup(incoming->path.data + prefix.len,
				 incoming->path.len - prefix.len);

	if (standin->faults.log_away)
		send_json(incoming->exchange, 503, "{}");
	else if (mt_str_equal(incoming->method, MT_STR("GET")))
		handle_read(standin, incoming, stream);
	else
		handle_append(standin, incoming, stream);
	g_free(stream);
}

/* Backend servers. */

static void respond_server(mt_standin_t *standin, mt_http_exchange_t *exchange,
			   const mt_name_t *server,
			   const mt_server_request_t *request)
{
	mt_server_reply_t reply;
	char *text;

	mt_fleet_model_call(standin->fleet, server, request, now_ms(standin),
			    &reply);
	text = mt_server_reply_encode(&reply);
	send_json(exchange, reply.status == MT_REPLY_OK ? 200 : 409, text);
	g_free(text);
	mt_server_reply_clear(&reply);
}

/** Sends the reply to a RENEW; the task leases were renewed on its arrival. */
static void respond_deferred_renewal(mt_standin_t *standin,
				     const mt_deferred_response_t *deferred)
{
	mt_server_reply_t reply;
	char *text;

	mt_fleet_model_renew_reply(standin->fleet, &deferred->server,
				   &deferred->renewal, now_ms(standin), &reply);
	text = mt_server_reply_encode(&reply);
	send_json(deferred->exchange, reply.status == MT_REPLY_OK ? 200 : 409,
		  text);
	g_free(text);
	mt_server_reply_clear(&reply);
}

/**
 * Renews the task leases at once. Responds at once too, unless the client waits
 * for a newer version than the one it has seen.
 */
static void handle_renew(mt_standin_t *standin,
			 const mt_http_incoming_request_t *incoming,
			 const mt_name_t *server, mt_server_request_t *request)
{
	mt_server_reply_t reply;
	bool respond_now;
	mt_deferred_response_t *deferred;

	mt_fleet_model_call(standin->fleet, server, request, now_ms(standin),
			    &reply);
	respond_now =
		reply.status != MT_REPLY_OK || reply.version != request->seen;
	mt_server_reply_clear(&reply);
	if (!request->wait_ms || respond_now) {
		respond_server(standin, incoming->exchange, server, request);
		return;
	}
	deferred =
		defer_response(standin, incoming->exchange, request->wait_ms);
	deferred->server = *server;
	deferred->renewal = *request;
	deferred->renewal.skip = g_array_ref(request->skip);
}

static void handle_server(mt_standin_t *standin,
			  const mt_http_incoming_request_t *incoming)
{
	mt_str_t prefix = MT_STR("/v1/servers/");
	mt_name_t server =
		mt_name_from((mt_str_t){incoming->path.data + prefix.len,
					incoming->path.len - prefix.len});
	mt_server_request_t request;

	if (!mt_fleet_model_faults(standin->fleet, &server) ||
	    !mt_server_request_decode(incoming->body, &request)) {
		send_json(incoming->exchange, 400, "{}");
		return;
	}
	if (request.op == MT_SERVER_RENEW) {
		handle_renew(standin, incoming, &server, &request);
	} else if (g_rand_double(standin->rand) < standin->faults.server_lost) {
		mt_server_reply_t reply;

		mt_fleet_model_call(standin->fleet, &server, &request,
				    now_ms(standin), &reply);
		mt_server_reply_clear(&reply);
		defer_response(standin, incoming->exchange, TICK_MS)
			->malformed = true;
	} else {
		respond_server(standin, incoming->exchange, &server, &request);
	}
	mt_server_request_clear(&request);
}

/* Administration. */

static void set_server_faults(mt_standin_t *standin, const json_t *object)
{
	const char *name;
	json_t *item;

	json_object_foreach((json_t *)object, name, item)
	{
		mt_name_t server = mt_name(name);
		mt_server_faults_t *faults =
			mt_fleet_model_faults(standin->fleet, &server);
		bool leaving = false;
		bool reboot = false;

		if (!faults)
			continue;
		mt_json_get_bool(item, "fail_all", &faults->fail_all);
		mt_json_get_bool(item, "refuse_start", &faults->refuse_start);
		mt_json_get_bool(item, "refuse_checkpoint",
				 &faults->refuse_checkpoint);
		mt_json_get_u32(item, "checkpoint_ms", &faults->checkpoint_ms);
		if (mt_json_get_bool(item, "leaving", &leaving) && leaving)
			mt_fleet_model_set_leaving(standin->fleet, &server,
						   now_ms(standin));
		if (mt_json_get_bool(item, "reboot", &reboot) && reboot)
			mt_fleet_model_reboot(standin->fleet, &server,
					      now_ms(standin));
	}
}

static void handle_faults(mt_standin_t *standin,
			  const mt_http_incoming_request_t *incoming)
{
	json_t *object = mt_json_parse(incoming->body);
	mt_platform_faults_t *faults = &standin->faults;

	mt_json_get_bool(object, "log_away", &faults->log_away);
	mt_json_get_bool(object, "hosts_away", &faults->hosts_away);
	mt_json_get_u32(object, "delay_ms", &faults->delay_ms);
	if (json_object_get(object, "log_lost"))
		faults->log_lost =
			json_number_value(json_object_get(object, "log_lost"));
	if (json_object_get(object, "server_lost"))
		faults->server_lost = json_number_value(
			json_object_get(object, "server_lost"));
	set_server_faults(standin, json_object_get(object, "servers"));
	json_decref(object);
	send_json(incoming->exchange, 200, "{}");
}

static void handle_audit(mt_standin_t *standin,
			 const mt_http_incoming_request_t *incoming)
{
	mt_audit_t audit = mt_fleet_model_audit(standin->fleet);
	json_t *object = json_object();
	char *text;

	mt_json_set_u64(object, "jobs_begun", audit.jobs_begun);
	mt_json_set_u64(object, "once_begun", audit.once_begun);
	mt_json_set_u64(object, "run_twice", audit.run_twice);
	/* This field of the answer also counts the tasks that began before all
	 * tasks of their gang were created. */
	mt_json_set_u64(object, "partial_gangs",
			audit.gangs_partial_too_long + audit.premature_begins);
	mt_json_set_u64(object, "longest_partial_ms", audit.longest_partial_ms);
	mt_json_set_u64(object, "started_while_leaving",
			audit.started_while_leaving);
	mt_json_set_u64(object, "appends", mt_log_model_appends(standin->log));
	mt_json_set_u64(object, "log_bytes", mt_log_model_bytes(standin->log));
	text = mt_json_dump_decref(object);
	send_json(incoming->exchange, 200, text);
	g_free(text);
}

/** The query contains the job id as `job`. */
static void handle_begins(mt_standin_t *standin,
			  const mt_http_incoming_request_t *incoming)
{
	mt_str_t text = {0};
	mt_name_t job;
	char body[64];

	mt_http_query(incoming->query, "job", &text);
	job = mt_name_from(text);
	g_snprintf(body, sizeof(body), "{\"begins\":%u}",
		   mt_fleet_model_runs_begun(standin->fleet, &job));
	send_json(incoming->exchange, 200, body);
}

/** The platform's protocol calls backend servers hosts, hence /v1/hosts. */
static void handle_server_list(mt_standin_t *standin,
			       const mt_http_incoming_request_t *incoming)
{
	GArray *infos = mt_fleet_model_infos(standin->fleet);
	char *text = mt_server_infos_encode(infos);

	send_json(incoming->exchange, standin->faults.hosts_away ? 503 : 200,
		  text);
	g_free(text);
	g_array_unref(infos);
}

static void on_request(void *ctx, const mt_http_incoming_request_t *incoming)
{
	mt_standin_t *standin = ctx;

	if (mt_str_has_prefix(incoming->path, MT_STR("/v1/log/")))
		handle_log(standin, incoming);
	else if (mt_str_has_prefix(incoming->path, MT_STR("/v1/servers/")))
		handle_server(standin, incoming);
	else if (mt_str_equal(incoming->path, MT_STR("/v1/hosts")))
		handle_server_list(standin, incoming);
	else if (mt_str_equal(incoming->path, MT_STR("/admin/faults")))
		handle_faults(standin, incoming);
	else if (mt_str_equal(incoming->path, MT_STR("/admin/audit")))
		handle_audit(standin, incoming);
	else if (mt_str_equal(incoming->path, MT_STR("/admin/begins")))
		handle_begins(standin, incoming);
	else
		send_json(incoming->exchange, 404, "{}");
}

/* Deferred responses. */

/**
 * Responds if the response is due or the data it waits for has come.
 * @return true if the deferred response can be removed
 */
static bool send_if_due(mt_standin_t *standin, mt_deferred_response_t *deferred)
{
	bool due = now_ms(standin) >= deferred->due;

	if (deferred->disconnected)
		return true;
	if (deferred->stream &&
	    (due || mt_log_model_next(standin->log, deferred->stream) >
			    deferred->from)) {
		if (standin->faults.log_away)
			send_json(deferred->exchange, 503, "{}");
		else
			respond_read(standin, deferred->exchange,
				     deferred->stream, deferred->from);
		return true;
	}
	if (deferred->server.len &&
	    (due || mt_fleet_model_version(standin->fleet, &deferred->server) !=
			    deferred->renewal.seen)) {
		respond_deferred_renewal(standin, deferred);
		return true;
	}
	if (deferred->stream || deferred->server.len || !due)
		return false;
	if (deferred->malformed)
		send_json(deferred->exchange, 200, "lost");
	else
		send_json(deferred->exchange, deferred->status, deferred->body);
	return true;
}

static void on_tick(void *ctx)
{
	mt_standin_t *standin = ctx;
	guint i = 0;

	mt_fleet_model_advance(standin->fleet, now_ms(standin));
	while (i < standin->deferred->len) {
		if (send_if_due(standin, standin->deferred->pdata[i]))
			g_ptr_array_remove_index(standin->deferred, i);
		else
			i++;
	}
}

/* Startup. */

/** Loads the servers; this process serves all of them at `port`. */
static bool add_servers(mt_standin_t *standin, const char *path, uint16_t port)
{
	char *text;
	gsize len;
	GArray *infos;

	if (!g_file_get_contents(path, &text, &len, NULL))
		return false;
	infos = mt_server_infos_decode((mt_str_t){text, len});
	g_free(text);
	if (!infos)
		return false;
	for (guint i = 0; i < infos->len; i++) {
		mt_server_info_t *info =
			&g_array_index(infos, mt_server_info_t, i);

		info->port = port;
		mt_fleet_model_add(standin->fleet, info);
	}
	g_array_unref(infos);
	return true;
}

static int run(const char *servers, uint16_t port, uint32_t retention_ms,
	       guint32 seed)
{
	mt_standin_t standin = {0};
	mt_name_t address = mt_name("127.0.0.1");

	signal(SIGPIPE, SIG_IGN);
	standin.loop = mt_loop_new();
	standin.timers = mt_loop_timers(standin.loop);
	standin.log = mt_log_model_new(retention_ms);
	standin.fleet = mt_fleet_model_new(PARTIAL_MAX_MS, LEAVING_GRACE_MS);
	standin.rand = g_rand_new_with_seed(seed);
	standin.deferred = g_ptr_array_new_with_free_func(free_deferred);
	if (!add_servers(&standin, servers, port)) {
		fprintf(stderr,
			"standin: cannot read a list of servers from %s\n",
			servers);
		return 2;
	}
	standin.http = mt_http_server_new(standin.loop, &address, port,
					  BODY_MAX_BYTES, on_request, &standin);
	if (!standin.http) {
		fprintf(stderr, "standin: cannot listen on port %u\n", port);
		return 3;
	}
	mt_timers_every(standin.timers, TICK_MS, on_tick, &standin);
	mt_loop_run(standin.loop);
	return 0;
}

int main(int argc, char **argv)
{
	struct arg_file *servers = arg_file1(NULL, "servers", "FILE",
					     "list of backend servers (JSON)");
	struct arg_int *port = arg_int1(NULL, "port", "N", "port to listen on");
	struct arg_int *retention =
		arg_int0(NULL, "retention-ms", "N", "retention of log records");
	struct arg_int *seed =
		arg_int0(NULL, "seed", "N", "seed of the injected faults");
	struct arg_end *end = arg_end(8);
	void *table[] = {servers, port, retention, seed, end};

	retention->ival[0] = DEFAULT_RETENTION_MS;
	seed->ival[0] = 1;
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "standin");
		return 2;
	}
	return run(servers->filename[0], (uint16_t)port->ival[0],
		   (uint32_t)retention->ival[0], (guint32)seed->ival[0]);
}
