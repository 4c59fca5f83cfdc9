/**
 * @file main.c
 * Stand-in for the platform, for tests and the demo: the log service, the
 * host list and the backend servers, over the protocols of docs/PLATFORM.md.
 *
 * `POST /admin/faults` sets fault switches, `GET /admin/audit` tells what the
 * tasks did. It is not shipped.
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
#define TICK_MS 10u
#define DEFAULT_RETENTION_MS 3600000u
#define PARTIAL_BOUND_MS 12000u
#define LEAVING_BOUND_MS 3000u

typedef struct mt_faults_t {
	bool log_away;	    /**< every call is refused with 503 */
	double log_lost;    /**< share of appends whose answer is lost */
	double server_lost; /**< share of commands whose answer is lost */
	uint32_t delay_ms;  /**< added to each answer of the log */
	bool hosts_away;
} mt_faults_t;

/** An answer that is held back. */
typedef struct mt_held_t {
	mt_http_exchange_t *exchange;
	mt_ms_t due;
	bool lost;    /**< a malformed answer is sent instead */
	char *stream; /**< log read that waits for `from` */
	uint64_t from;
	mt_name_t server; /**< renewal that waits for a newer version */
	mt_server_request_t renew;
	char *body; /**< answer that is ready, only late */
	int status;
	bool gone;
} mt_held_t;

typedef struct mt_standin_t {
	mt_loop_t *loop;
	mt_timers_t *timers;
	mt_http_server_t *http;
	mt_log_model_t *log;
	mt_fleet_model_t *fleet;
	mt_faults_t faults;
	GRand *rand;
	GPtrArray *held;
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

static void on_held_gone(void *ctx)
{
	((mt_held_t *)ctx)->gone = true;
}

static mt_held_t *hold(mt_standin_t *standin, mt_http_exchange_t *exchange,
		       mt_ms_t delay)
{
	mt_held_t *held = g_new0(mt_held_t, 1);

	held->exchange = exchange;
	held->due = now_ms(standin) + delay;
	mt_http_on_disconnect(exchange, on_held_gone, held);
	g_ptr_array_add(standin->held, held);
	return held;
}

static void free_held(gpointer data)
{
	mt_held_t *held = data;

	mt_server_request_clear(&held->renew);
	g_free(held->stream);
	g_free(held->body);
	g_free(held);
}

/* Log service. */

static void answer_read(mt_standin_t *standin, mt_http_exchange_t *exchange,
			const char *stream, uint64_t from)
{
	mt_log_page_t *page =
		mt_log_model_read(standin->log, stream, from, now_ms(standin));
	char *text = mt_log_page_encode(page);

	send_json(exchange, 200, text);
	g_free(text);
	mt_log_page_free(page);
}

static void handle_read(mt_standin_t *standin, const mt_http_call_t *call,
			const char *stream)
{
	uint64_t from = 0;
	uint64_t wait_ms = 0;
	mt_str_t text;
	mt_held_t *held;

	if (mt_http_query(call->query, "from", &text))
		mt_str_to_u64(text, &from);
	if (mt_http_query(call->query, "wait_ms", &text))
		mt_str_to_u64(text, &wait_ms);
	if (!wait_ms || mt_log_model_next(standin->log, stream) > from) {
		answer_read(standin, call->exchange, stream, from);
		return;
	}
	held = hold(standin, call->exchange, wait_ms);
	held->stream = g_strdup(stream);
	held->from = from;
}

static void handle_append(mt_standin_t *standin, const mt_http_call_t *call,
			  const char *stream)
{
	GPtrArray *records = mt_log_records_decode(call->body);
	mt_held_t *held;

	if (!records) {
		send_json(call->exchange, 400, "{}");
		return;
	}
	mt_log_model_append(standin->log, stream, now_ms(standin), records);
	g_ptr_array_unref(records);
	if (g_rand_double(standin->rand) < standin->faults.log_lost) {
		hold(standin, call->exchange, TICK_MS)->lost = true;
		return;
	}
	if (!standin->faults.delay_ms) {
		send_json(call->exchange, 200, "{}");
		return;
	}
	held = hold(standin, call->exchange, standin->faults.delay_ms);
	held->body = g_strdup("{}");
	held->status = 200;
}

static void handle_log(mt_standin_t *standin, const mt_http_call_t *call)
{
	mt_str_t prefix = MT_STR("/v1/log/");
	char *stream = g_strndup(call->path.data + prefix.len,
				 call->path.len - prefix.len);

	if (standin->faults.log_away)
		send_json(call->exchange, 503, "{}");
	else if (mt_str_equal(call->method, MT_STR("GET")))
		handle_read(standin, call, stream);
	else
		handle_append(standin, call, stream);
	g_free(stream);
}

/* Backend servers. */

static void answer_server(mt_standin_t *standin, mt_http_exchange_t *exchange,
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

/** Reports after a wait; the leases were renewed when the request came. */
static void answer_waited(mt_standin_t *standin, const mt_held_t *held)
{
	mt_server_reply_t reply;
	char *text;

	mt_fleet_model_report(standin->fleet, &held->server, &held->renew,
			      now_ms(standin), &reply);
	text = mt_server_reply_encode(&reply);
	send_json(held->exchange, reply.status == MT_REPLY_OK ? 200 : 409,
		  text);
	g_free(text);
	mt_server_reply_clear(&reply);
}

/** Renews at once; the report may wait for something new. */
static void handle_renew(mt_standin_t *standin, const mt_http_call_t *call,
			 const mt_name_t *server, mt_server_request_t *request)
{
	mt_server_reply_t reply;
	bool newer;
	mt_held_t *held;

	mt_fleet_model_call(standin->fleet, server, request, now_ms(standin),
			    &reply);
	newer = reply.status != MT_REPLY_OK || reply.version != request->seen;
	mt_server_reply_clear(&reply);
	if (!request->wait_ms || newer) {
		answer_server(standin, call->exchange, server, request);
		return;
	}
	held = hold(standin, call->exchange, request->wait_ms);
	held->server = *server;
	held->renew = *request;
	held->renew.skip = g_array_ref(request->skip);
}

static void handle_server(mt_standin_t *standin, const mt_http_call_t *call)
{
	mt_str_t prefix = MT_STR("/v1/servers/");
	mt_name_t server = mt_name_from((mt_str_t){
		call->path.data + prefix.len, call->path.len - prefix.len});
	mt_server_request_t request;

	if (!mt_fleet_model_faults(standin->fleet, &server) ||
	    !mt_server_request_decode(call->body, &request)) {
		send_json(call->exchange, 400, "{}");
		return;
	}
	if (request.op == MT_SERVER_RENEW) {
		handle_renew(standin, call, &server, &request);
	} else if (g_rand_double(standin->rand) < standin->faults.server_lost) {
		mt_server_reply_t reply;

		mt_fleet_model_call(standin->fleet, &server, &request,
				    now_ms(standin), &reply);
		mt_server_reply_clear(&reply);
		hold(standin, call->exchange, TICK_MS)->lost = true;
	} else {
		answer_server(standin, call->exchange, &server, &request);
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

static void handle_faults(mt_standin_t *standin, const mt_http_call_t *call)
{
	json_t *object = mt_json_parse(call->body);
	mt_faults_t *faults = &standin->faults;

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
	send_json(call->exchange, 200, "{}");
}

static void handle_audit(mt_standin_t *standin, const mt_http_call_t *call)
{
	mt_audit_t audit = mt_fleet_model_audit(standin->fleet);
	json_t *object = json_object();
	char *text;

	mt_json_set_u64(object, "jobs_begun", audit.jobs_begun);
	mt_json_set_u64(object, "once_begun", audit.once_begun);
	mt_json_set_u64(object, "run_twice", audit.run_twice);
	mt_json_set_u64(object, "partial_gangs",
			audit.partial_gangs + audit.unheld_gangs);
	mt_json_set_u64(object, "longest_partial_ms", audit.longest_partial_ms);
	mt_json_set_u64(object, "started_while_leaving",
			audit.started_while_leaving);
	mt_json_set_u64(object, "appends", mt_log_model_appends(standin->log));
	mt_json_set_u64(object, "log_bytes", mt_log_model_bytes(standin->log));
	text = mt_json_dump_decref(object);
	send_json(call->exchange, 200, text);
	g_free(text);
}

/** Begins of one job: `?job=` names it. */
static void handle_begins(mt_standin_t *standin, const mt_http_call_t *call)
{
	mt_str_t text = {0};
	mt_name_t job;
	char body[64];

	mt_http_query(call->query, "job", &text);
	job = mt_name_from(text);
	g_snprintf(body, sizeof(body), "{\"begins\":%u}",
		   mt_fleet_model_begins(standin->fleet, &job));
	send_json(call->exchange, 200, body);
}

static void handle_hosts(mt_standin_t *standin, const mt_http_call_t *call)
{
	GArray *infos = mt_fleet_model_infos(standin->fleet);
	char *text = mt_server_infos_encode(infos);

	send_json(call->exchange, standin->faults.hosts_away ? 503 : 200, text);
	g_free(text);
	g_array_unref(infos);
}

static void on_call(void *ctx, const mt_http_call_t *call)
{
	mt_standin_t *standin = ctx;

	if (mt_str_has_prefix(call->path, MT_STR("/v1/log/")))
		handle_log(standin, call);
	else if (mt_str_has_prefix(call->path, MT_STR("/v1/servers/")))
		handle_server(standin, call);
	else if (mt_str_equal(call->path, MT_STR("/v1/hosts")))
		handle_hosts(standin, call);
	else if (mt_str_equal(call->path, MT_STR("/admin/faults")))
		handle_faults(standin, call);
	else if (mt_str_equal(call->path, MT_STR("/admin/audit")))
		handle_audit(standin, call);
	else if (mt_str_equal(call->path, MT_STR("/admin/begins")))
		handle_begins(standin, call);
	else
		send_json(call->exchange, 404, "{}");
}

/* Held answers. */

/** Answers what is due. @return true when the entry is done with */
static bool release_held(mt_standin_t *standin, mt_held_t *held)
{
	bool due = now_ms(standin) >= held->due;

	if (held->gone)
		return true;
	if (held->stream &&
	    (due ||
	     mt_log_model_next(standin->log, held->stream) > held->from)) {
		if (standin->faults.log_away)
			send_json(held->exchange, 503, "{}");
		else
			answer_read(standin, held->exchange, held->stream,
				    held->from);
		return true;
	}
	if (held->server.len &&
	    (due || mt_fleet_model_version(standin->fleet, &held->server) !=
			    held->renew.seen)) {
		answer_waited(standin, held);
		return true;
	}
	if (held->stream || held->server.len || !due)
		return false;
	if (held->lost)
		send_json(held->exchange, 200, "lost");
	else
		send_json(held->exchange, held->status, held->body);
	return true;
}

static void on_tick(void *ctx)
{
	mt_standin_t *standin = ctx;
	guint i = 0;

	mt_fleet_model_advance(standin->fleet, now_ms(standin));
	while (i < standin->held->len) {
		if (release_held(standin, standin->held->pdata[i]))
			g_ptr_array_remove_index(standin->held, i);
		else
			i++;
	}
}

/* Start. */

/** Lets all servers answer on the stand-in's own port. */
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
	standin.fleet = mt_fleet_model_new(PARTIAL_BOUND_MS, LEAVING_BOUND_MS);
	standin.rand = g_rand_new_with_seed(seed);
	standin.held = g_ptr_array_new_with_free_func(free_held);
	if (!add_servers(&standin, servers, port)) {
		fprintf(stderr, "standin: %s: no list of servers\n", servers);
		return 2;
	}
	standin.http = mt_http_server_new(standin.loop, &address, port,
					  BODY_MAX_BYTES, on_call, &standin);
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
	struct arg_int *retention = arg_int0(NULL, "retention-ms", "N",
					     "how long records are kept");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "seed of faults");
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
