/**
 * @file main.c
 * Simulates the users' platform for tests: serves the HTTP APIs of its store
 * and its backend servers in real time, on top of the fakes that tests/fleet
 * uses with virtual time.
 */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/fake_servers.h"
#include "fleet/fake_store.h"
#include "net/http_server.h"
#include "net/json_util.h"
#include "net/loop.h"
#include "platform/store_http.h"

/** Time-out of reads, in addition to that of a long poll. */
#define READ_TIMEOUT_MS 1500u

#define BODY_MAX_BYTES (4u * 1024u * 1024u)
#define OFFSET_BYTES 8

typedef struct mt_platformd_t {
	mt_loop_t *loop;
	mt_sim_t *sim;
	mt_sim_host_t *external_host; /**< origin of all hosts' calls */
	GPtrArray *servers;	      /**< mt_server_endpoint_t */
	json_t *config;		      /**< the operators' configuration */
} mt_platformd_t;

typedef struct mt_server_endpoint_t {
	mt_platformd_t *platform;
	mt_shared_name_t id;
} mt_server_endpoint_t;

/** An HTTP call that has no response yet. */
typedef struct mt_pending_call_t {
	mt_http_exchange_t *exchange; /**< NULL: the host disconnected */
	bool newest;		      /**< call of /mimosaturn/log-newest */
} mt_pending_call_t;

static void on_disconnect(void *ctx)
{
	mt_pending_call_t *call = ctx;

	call->exchange = NULL;
}

static mt_pending_call_t *
new_pending_call(const mt_http_incoming_request_t *http)
{
	mt_pending_call_t *call = g_new0(mt_pending_call_t, 1);

	call->exchange = http->exchange;
	mt_http_on_disconnect(http->exchange, on_disconnect, call);
	return call;
}

/**
 * Sends the response and frees the call. A status of 0 simulates a lost
 * answer: nothing is sent, and the call of the host times out. The call is then
 * not freed, as on_disconnect() will still use it.
 */
static void respond(mt_pending_call_t *call, int status, const char *type,
		    mt_str_t body)
{
	if (call->exchange && status) {
		mt_http_on_disconnect(call->exchange, NULL, NULL);
		mt_http_respond(call->exchange, status, type, body, NULL);
	}
	if (status || !call->exchange)
		g_free(call);
}

static void respond_json(mt_pending_call_t *call, int status, json_t *json)
{
	char *text = mt_json_dump_decref(json);

	respond(call, status, "application/json", mt_str_from(text));
	g_free(text);
}

static uint64_t query_number(const mt_http_incoming_request_t *http,
			     const char *name, uint64_t fallback)
{
	mt_str_t text;
	uint64_t value;

	if (!mt_http_query(http->query, name, &text) ||
	    !mt_str_to_u64(text, &value))
		return fallback;
	return value;
}

/** @return the parameter's value, to be freed; empty when it is missing */
static char *query_text(const mt_http_incoming_request_t *http,
			const char *name)
{
	mt_str_t text = {0};

	mt_http_query(http->query, name, &text);
	return g_strndup(text.data ? text.data : "", text.len);
}

/* Store API. */

static int store_http_status(mt_store_result_t result)
{
	switch (result) {
	case MT_STORE_DONE:
		return 200;
	case MT_STORE_REFUSED:
		return 503;
	case MT_STORE_WRONG_OFFSET:
		return 412;
	case MT_STORE_FENCED:
	case MT_STORE_OUT_OF_SEQUENCE:
		return 409;
	case MT_STORE_TRIMMED:
		return 410;
	default:
		return 0;
	}
}

static void on_appended(void *ctx, mt_store_result_t result, uint64_t offset)
{
	json_t *json = json_object();

	mt_json_set_u64(json, "offset", offset);
	if (result == MT_STORE_FENCED)
		json_object_set_new(json, "reason", json_string("fenced"));
	if (result == MT_STORE_OUT_OF_SEQUENCE)
		json_object_set_new(json, "reason", json_string("seq"));
	respond_json(ctx, store_http_status(result), json);
}

/**
 * Decodes the records of an append. mt_store_http_parse() expects the body of
 * a read response, which has two offsets before the frames; a request has
 * none, so zeros are put before its body.
 */
static GArray *parse_records(mt_str_t body)
{
	GArray *records = g_array_new(FALSE, FALSE, sizeof(mt_store_record_t));
	static char page[BODY_MAX_BYTES];
	uint64_t end;

	memset(page, 0, 2 * OFFSET_BYTES);
	if (body.len > sizeof(page) - 2 * OFFSET_BYTES)
		return records;
	memcpy(page + 2 * OFFSET_BYTES, body.data, body.len);
	mt_store_http_parse(
		(mt_str_t){page, body.len + 2 * (size_t)OFFSET_BYTES}, 0,
		records, &end);
	return records;
}

static void on_append_call(mt_platformd_t *platform,
			   const mt_http_incoming_request_t *http)
{
	const mt_store_port_t *store = &platform->external_host->store_port;
	GArray *records = parse_records(http->body);
	char *topic = query_text(http, "topic");
	char *producer = query_text(http, "producer");
	mt_store_append_t append = {0};

	append.topic = topic;
	append.producer = producer;
	append.records = (const mt_store_record_t *)records->data;
	append.count = records->len;
	append.expected_end = query_number(http, "at", MT_STORE_ANY_OFFSET);
	append.epoch = query_number(http, "epoch", 0);
	append.sequence = query_number(http, "sequence", 0);
	/* Time after which the fake store reports a lost answer. */
	append.timeout_ms = 1000;
	store->append(store->self, &append, on_appended,
		      new_pending_call(http));
	g_array_unref(records);
	g_free(topic);
	g_free(producer);
}

static void respond_newest(mt_pending_call_t *call, const mt_store_page_t *page)
{
	json_t *json = json_object();
	json_t *items = json_array();

	for (size_t i = 0; i < page->count; i++) {
		const mt_store_record_t *record = &page->records[i];
		json_t *item = json_object();
		GBytes *value =
			g_bytes_new(record->value.data, record->value.len);

		json_object_set_new(
			item, "key",
			json_stringn(record->key.data, record->key.len));
		mt_json_set_bytes(item, "value", value);
		mt_json_set_u64(item, "offset", record->offset);
		json_array_append_new(items, item);
		g_bytes_unref(value);
	}
	json_object_set_new(json, "items", items);
	json_object_set_new(json, "has_more", json_false());
	mt_json_set_u64(json, "end_offset", page->end);
	respond_json(call, 200, json);
}

static void respond_records(mt_pending_call_t *call,
			    const mt_store_page_t *page)
{
	GByteArray *body = g_byte_array_new();
	GByteArray *frames = mt_store_http_frame(page->records, page->count);
	/* The end of the topic, and its oldest offset, which is always sent as
	 * 0. */
	uint64_t head[2] = {GUINT64_TO_BE(page->end), 0};

	g_byte_array_append(body, (const guint8 *)head, sizeof(head));
	g_byte_array_append(body, frames->data, frames->len);
	respond(call, 200, "application/octet-stream",
		(mt_str_t){(const char *)body->data, body->len});
	g_byte_array_unref(frames);
	g_byte_array_unref(body);
}

static void on_page(void *ctx, const mt_store_page_t *page)
{
	mt_pending_call_t *call = ctx;

	if (page->result != MT_STORE_DONE)
		respond(call, store_http_status(page->result), "text/plain",
			(mt_str_t){0});
	else if (call->newest)
		respond_newest(call, page);
	else
		respond_records(call, page);
}

/* Fault injection and audit: calls that the users' platform does not have. */

/** Converts a percentage to a share; `current` when it is not specified. */
static double query_share(const mt_http_incoming_request_t *http,
			  const char *name, double current)
{
	return (double)query_number(http, name, (uint64_t)(current * 100)) /
	       100;
}

/** Sets the faults that are named in the query and keeps all others. */
static void on_faults_call(mt_platformd_t *platform,
			   const mt_http_incoming_request_t *http)
{
	mt_sim_t *sim = platform->sim;
	uint64_t crash = query_number(http, "crash", SIM_SERVERS);

	sim->store_down =
		query_number(http, "store_down", sim->store_down) != 0;
	sim->store_extra_ms =
		query_number(http, "store_extra_ms", sim->store_extra_ms);
	sim->store_lost = query_share(http, "store_lost", sim->store_lost);
	sim->order_lost = query_share(http, "order_lost", sim->order_lost);
	sim->order_late = query_share(http, "order_late", sim->order_late);
	sim->order_busy = query_share(http, "order_busy", sim->order_busy);
	if (crash < SIM_SERVERS)
		mt_fake_fleet_crash(sim->fleet, (unsigned)crash,
				    query_number(http, "down_ms", 1000));
	if (query_number(http, "drop_history", 0))
		mt_fake_store_drop_history(sim->store, MT_RECORDS_TOPIC);
	mt_http_respond(http->exchange, 200, "text/plain", (mt_str_t){0}, NULL);
}

static void store_config(const mt_platformd_t *platform)
{
	char *text = mt_json_dump_decref(json_incref(platform->config));

	mt_fake_store_put(platform->sim->store, "keyed.op", "config",
			  mt_str_from(text));
	g_free(text);
}

/**
 * Stores the next version of the configuration, with one route more, or without
 * one of those added before. The first two routes stay.
 */
static void on_config_call(mt_platformd_t *platform,
			   const mt_http_incoming_request_t *http)
{
	json_t *routes = json_object_get(platform->config, "routes");
	uint64_t version = 0;

	mt_json_get_u64(platform->config, "version", &version);
	mt_json_set_u64(platform->config, "version", version + 1);
	if (json_array_size(routes) > 2 + version % 4) {
		json_array_remove(routes, 2);
	} else {
		json_t *route = json_deep_copy(json_array_get(routes, 1));
		char *name = g_strdup_printf("extra-%u", (unsigned)version);
		char *prefix = g_strdup_printf("/%s/", name);

		json_object_set_new(route, "name", json_string(name));
		json_object_set_new(route, "path_prefix", json_string(prefix));
		json_array_append_new(routes, route);
		g_free(name);
		g_free(prefix);
	}
	store_config(platform);
	mt_http_respond(http->exchange, 200, "text/plain", (mt_str_t){0}, NULL);
}

/**
 * Evacuates the data centre of all servers, or ends this. For the audit of
 * starts, each rack is a data centre.
 */
static void on_evacuate_call(const mt_platformd_t *platform,
			     const mt_http_incoming_request_t *http)
{
	mt_sim_t *sim = platform->sim;
	bool on = query_number(http, "on", 1) != 0;

	mt_fake_store_put(sim->store, "keyed.op", "evacuate/here",
			  on ? MT_STR("{}") : (mt_str_t){0});
	for (unsigned i = 0; i < SIM_ZONES; i++) {
		char rack[16];

		snprintf(rack, sizeof(rack), "r%u", i);
		mt_fake_fleet_evacuate(sim->fleet, rack,
				       on ? mt_timers_now(sim->timers) : 0);
	}
	mt_http_respond(http->exchange, 200, "text/plain", (mt_str_t){0}, NULL);
}

/** Leaves an entry of another writer, the request's body, in the server list.
 */
static void on_entry_call(const mt_platformd_t *platform,
			  const mt_http_incoming_request_t *http)
{
	mt_fake_store_put(platform->sim->store, "keyed.servers", "odd-1",
			  http->body);
	mt_http_respond(http->exchange, 200, "text/plain", (mt_str_t){0}, NULL);
}

/**
 * The tasks of a job must not start from now on: its client has cancelled it,
 * or was told that it is refused and has not run ("refused=1"). With
 * "permit=1", they may start again, as the client submits the job again.
 */
static void on_forbid_call(const mt_platformd_t *platform,
			   const mt_http_incoming_request_t *http)
{
	mt_sim_t *sim = platform->sim;
	char *text = query_text(http, "job");
	uint64_t job;

	if (mt_record_parse_job_id(mt_str_from(text), &job)) {
		if (query_number(http, "refused", 0) &&
		    mt_fake_fleet_has_started(sim->fleet, job))
			mt_sim_breach(sim, "job %s was refused, but has run",
				      text);
		if (query_number(http, "permit", 0))
			mt_fake_fleet_permit_starts(sim->fleet, job);
		else
			mt_fake_fleet_forbid_starts(sim->fleet, job,
						    mt_timers_now(sim->timers));
	}
	g_free(text);
	mt_http_respond(http->exchange, 200, "text/plain", (mt_str_t){0}, NULL);
}

/** Responds with the number of invariant breaches that were detected. */
static void on_audit_call(const mt_platformd_t *platform,
			  const mt_http_incoming_request_t *http)
{
	char *text = g_strdup_printf("%u", platform->sim->breaches);

	/* The test kills this process next; the printed breaches must not be
	 * lost. */
	fflush(stdout);
	mt_http_respond(http->exchange, 200, "text/plain", mt_str_from(text),
			NULL);
	g_free(text);
}

static void on_store_call(void *ctx, const mt_http_incoming_request_t *http)
{
	mt_platformd_t *platform = ctx;
	const mt_store_port_t *store = &platform->external_host->store_port;
	char *topic = query_text(http, "topic");
	mt_pending_call_t *call;

	if (mt_str_equal(http->path, MT_STR("/mimosaturn/log-append"))) {
		on_append_call(platform, http);
	} else if (mt_str_equal(http->path, MT_STR("/mimosaturn/log-read"))) {
		store->read(store->self, topic, query_number(http, "from", 0),
			    query_number(http, "wait_ms", 0),
			    query_number(http, "wait_ms", 0) + READ_TIMEOUT_MS,
			    on_page, new_pending_call(http));
	} else if (mt_str_equal(http->path, MT_STR("/mimosaturn/log-newest"))) {
		call = new_pending_call(http);
		call->newest = true;
		store->newest(store->self, topic, (mt_str_t){0},
			      READ_TIMEOUT_MS, on_page, call);
	} else if (mt_str_equal(http->path, MT_STR("/test/faults"))) {
		on_faults_call(platform, http);
	} else if (mt_str_equal(http->path, MT_STR("/test/config"))) {
		on_config_call(platform, http);
	} else if (mt_str_equal(http->path, MT_STR("/test/evacuate"))) {
		on_evacuate_call(platform, http);
	} else if (mt_str_equal(http->path, MT_STR("/test/entry"))) {
		on_entry_call(platform, http);
	} else if (mt_str_equal(http->path, MT_STR("/test/forbid"))) {
		on_forbid_call(platform, http);
	} else if (mt_str_equal(http->path, MT_STR("/test/audit"))) {
		on_audit_call(platform, http);
	} else {
		mt_http_respond(http->exchange, 404, "text/plain",
				(mt_str_t){0}, NULL);
	}
	g_free(topic);
}

/* Server API. */

static json_t *task_id_to_json(const mt_task_key_t *key)
{
	char text[80];

	mt_job_id_text_t job = mt_record_client_id(key->job, &key->spelling);

	snprintf(text, sizeof(text), "%s.%u.%u.%u", job.text, key->occurrence,
		 key->step, key->index);
	return json_string(text);
}

static json_t *running_to_json(const mt_backend_answer_t *answer)
{
	json_t *rows = json_array();

	for (size_t i = 0; i < answer->n_active_runs; i++) {
		const mt_active_run_t *run = &answer->active_runs[i];
		json_t *row = json_array();

		json_array_append_new(row, task_id_to_json(&run->task));
		json_array_append_new(row, json_integer(run->run));
		/* No checkpoint. */
		json_array_append_new(row, json_string(""));
		json_array_append_new(row, json_integer(run->percent));
		json_array_append_new(rows, row);
	}
	return rows;
}

static json_t *ended_to_json(const mt_backend_answer_t *answer)
{
	/* Indexed by mt_end_reason_t. The names are those of the platform:
	 * "lapsed" is an expired lease, "broken" a gang of which another
	 * member has ended, and "alone" one that was not started completely.
	 */
	static const char *const end_names[] = {"done",	  "failed", "stopped",
						"lapsed", "broken", "alone"};
	json_t *rows = json_array();

	for (size_t i = 0; i < answer->n_ended; i++) {
		const mt_ended_run_t *ended = &answer->ended[i];
		json_t *row = json_array();

		json_array_append_new(row,
				      json_integer((json_int_t)ended->number));
		json_array_append_new(row, task_id_to_json(&ended->task));
		json_array_append_new(row, json_integer(ended->run));
		json_array_append_new(row,
				      json_string(end_names[ended->reason]));
		/* No checkpoint. */
		json_array_append_new(row, json_string(""));
		json_array_append_new(rows, row);
	}
	return rows;
}

static void on_command_answered(void *ctx, const mt_backend_answer_t *answer)
{
	/* All other results, such as a lost answer, get status 0; see
	 * respond(). The reasons are those of the platform. */
	static const struct {
		mt_command_result_t result;
		int status;
		const char *reason;
	} statuses[] = {
		{MT_COMMAND_DONE, 200, NULL},
		{MT_COMMAND_FENCED, 409, "fence"},
		{MT_COMMAND_STALE_RUN, 409, "old"},
		{MT_COMMAND_LEASE_OVER, 409, "late"},
		{MT_COMMAND_NO_ROOM, 409, "room"},
		{MT_COMMAND_REJECTED, 400, NULL},
		{MT_COMMAND_UNAVAILABLE, 503, NULL},
	};
	json_t *json = json_object();
	int status = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
		if (statuses[i].result != answer->result)
			continue;
		status = statuses[i].status;
		if (statuses[i].reason)
			json_object_set_new(json, "reason",
					    json_string(statuses[i].reason));
	}
	mt_json_set_u64(json, "clock_ms", answer->clock_ms);
	mt_json_set_u64(json, "born", (uint64_t)answer->born_ms);
	json_object_set_new(json, "running", running_to_json(answer));
	json_object_set_new(json, "finished", ended_to_json(answer));
	respond_json(ctx, status, json);
}

static mt_task_key_t read_task(const json_t *json)
{
	mt_task_key_t key = {0};
	const char *text = json_string_value(json_object_get(json, "task"));

	mt_str_t id = {text, MT_JOB_ID_DIGITS};

	if (text && strlen(text) > MT_JOB_ID_DIGITS &&
	    mt_record_parse_client_id(id, &key.job, &key.spelling))
		sscanf(text + MT_JOB_ID_DIGITS, ".%u.%u.%u", &key.occurrence,
		       &key.step, &key.index);
	return key;
}

static uint64_t read_number(const json_t *json, const char *name)
{
	uint64_t value = 0;

	mt_json_get_u64(json, name, &value);
	return value;
}

static void on_server_call(void *ctx, const mt_http_incoming_request_t *http)
{
	mt_server_endpoint_t *endpoint = ctx;
	const mt_backend_port_t *port =
		&endpoint->platform->external_host->backend_port;
	mt_backend_target_t target = {endpoint->id, {0}, 1};
	json_t *json = mt_json_parse(http->body);
	uint64_t term = read_number(json, "fencing_token");

	if (mt_str_equal(http->path, MT_STR("/mimosaturn/run-start"))) {
		mt_start_command_t start = {0};

		start.task = read_task(json);
		start.run = (uint32_t)read_number(json, "run_id");
		start.term = term;
		start.due_ms = read_number(json, "due_ms");
		port->start(port->self, &target, &start, on_command_answered,
			    new_pending_call(http));
	} else if (mt_str_equal(http->path, MT_STR("/mimosaturn/run-stop"))) {
		mt_stop_command_t stop = {read_task(json),
					  (uint32_t)read_number(json, "run_id"),
					  term};

		port->stop(port->self, &target, &stop, on_command_answered,
			   new_pending_call(http));
	} else if (mt_str_equal(http->path, MT_STR("/mimosaturn/hold"))) {
		mt_hold_command_t hold = {term, read_number(json, "last_seen"),
					  read_number(json, "due_ms"),
					  read_number(json, "wait_ms")};

		port->hold(port->self, &target, &hold, on_command_answered,
			   new_pending_call(http));
	} else {
		mt_http_respond(http->exchange, 404, "text/plain",
				(mt_str_t){0}, NULL);
	}
	json_decref(json);
}

/* Start-up. */

/** Advances the simulation's timers to the current time. */
static void advance_simulation(void *ctx)
{
	mt_platformd_t *platform = ctx;

	mt_timers_advance(platform->sim->timers,
			  mt_timers_now(mt_loop_timers(platform->loop)));
}

static bool start_http_servers(mt_platformd_t *platform, uint16_t port)
{
	mt_name_t address = mt_name("127.0.0.1");

	for (unsigned i = 0; i < SIM_SERVERS; i++) {
		mt_server_endpoint_t *endpoint =
			g_new0(mt_server_endpoint_t, 1);
		char id[24];

		snprintf(id, sizeof(id), "server-%u", i);
		endpoint->platform = platform;
		endpoint->id = mt_shared_name(id);
		if (!mt_http_server_new(
			    platform->loop, &address, (uint16_t)(port + 1 + i),
			    BODY_MAX_BYTES, on_server_call, endpoint))
			return false;
	}
	return mt_http_server_new(platform->loop, &address, port,
				  BODY_MAX_BYTES, on_store_call, platform);
}

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int1(NULL, "port", "N",
					"port of the store; the servers listen "
					"on the following ports");
	struct arg_str *config = arg_str1(NULL, "config", "FILE",
					  "routes and accounts, as JSON");
	struct arg_int *reported =
		arg_int0(NULL, "reported-port", "N",
			 "first of the ports that servers report as theirs; "
			 "default: --port + 1");
	struct arg_int *seed =
		arg_int0(NULL, "seed", "N", "random seed; default: 1");
	struct arg_end *end = arg_end(4);
	void *table[] = {port, config, reported, seed, end};
	mt_platformd_t platform = {0};
	char *text;
	gsize len;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	if (!g_file_get_contents(config->sval[0], &text, &len, NULL)) {
		fprintf(stderr, "cannot read configuration file %s\n",
			config->sval[0]);
		return 2;
	}
	if (!reported->count)
		reported->ival[0] = port->ival[0] + 1;
	platform.loop = mt_loop_new();
	platform.sim = mt_sim_new_without_hosts(
		seed->count ? (guint32)seed->ival[0] : 1,
		(uint16_t)port->ival[0], (uint16_t)reported->ival[0],
		mt_timers_now(mt_loop_timers(platform.loop)));
	platform.external_host = mt_sim_new_external_host(platform.sim);
	platform.config = json_loadb(text, len, 0, NULL);
	g_free(text);
	if (!platform.config) {
		fprintf(stderr, "%s is not JSON\n", config->sval[0]);
		return 2;
	}
	store_config(&platform);
	mt_timers_every(mt_loop_timers(platform.loop), 1, advance_simulation,
			&platform);
	if (!start_http_servers(&platform, (uint16_t)port->ival[0])) {
		fprintf(stderr, "cannot listen on the ports of the store and "
				"servers\n");
		return 3;
	}
	mt_loop_run(platform.loop);
	return 0;
}
