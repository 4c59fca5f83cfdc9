/**
 * @file worker.c
 * Stand-in of one worker (control_mode "invoke"): starts, stops and holds with
 * fencing tokens and leases, and a report in the store each HEARTBEAT_MS.
 *
 *     worker --id ID --port N --platform-port N --record FILE
 *            [--service S] [--kind K] [--rack R] [--cpu N] [--mem N] [--gpu N]
 *            [--stop-ms N] [--unguarded]
 *
 * A real worker knows what it runs from the job. This one reads it from the
 * job's `spec`, words of the form name=value: ms (run time; 0: for ever), cpu,
 * mem, gpu (per subtask), needs (the required label; only recorded) and
 * ticket=1 (the queue has a policy: a start needs a ticket).
 */
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"
#include "net/http_client.h"

#define HEARTBEAT_MS 1500u
#define LEASE_MAX_MS 10000u
#define LEASE_CHECK_MS 20u
#define BODY_MAX_BYTES (1024u * 1024u)
#define ENDS_MAX 500u

typedef struct run_t {
	char *task;
	uint64_t run;
	uint64_t started_at;
	uint64_t work_ms; /**< 0: for ever */
	uint64_t cpu, mem, gpu;
	uint64_t timer; /**< ends the run as done, or as stopped */
	bool stopping;
} run_t;

typedef struct end_t {
	uint64_t number;
	char *task;
	uint64_t run;
	const char *how;
} end_t;

typedef struct hold_t {
	pending_t *pending;
	uint64_t timer;
} hold_t;

static mt_loop_t *loop;
static mt_http_client_t *client;
static const char *id = "";
static const char *service = "service";
static const char *kind = "a";
static const char *rack = "r1";
static uint16_t port, platform_port;
static uint64_t cpu = 64000, mem = 262144, gpu = 8, stop_ms = 100;
static bool unguarded;
static uint64_t born, started, lease_due, fence, n_ends, n_reports;
static GPtrArray *runs;	 /**< run_t */
static GPtrArray *ends;	 /**< end_t, not seen by the system yet */
static GPtrArray *holds; /**< hold_t that wait for an end */
static GHashTable *barred; /**< task to the highest run that ended here */

static uint64_t clock_ms(void)
{
	return now_ms() - started + 1000;
}

/** Value of a word of the job's spec. */
static uint64_t word(const char *spec, const char *name, uint64_t fallback)
{
	char **words = g_strsplit(spec, " ", -1);
	size_t len = strlen(name);

	for (char **at = words; *at; at++)
		if (!strncmp(*at, name, len) && (*at)[len] == '=')
			fallback = g_ascii_strtoull(*at + len + 1, NULL, 10);
	g_strfreev(words);
	return fallback;
}

static char *text_word(const char *spec, const char *name)
{
	char **words = g_strsplit(spec, " ", -1);
	size_t len = strlen(name);
	char *value = g_strdup("");

	for (char **at = words; *at; at++)
		if (!strncmp(*at, name, len) && (*at)[len] == '=') {
			g_free(value);
			value = g_strdup(*at + len + 1);
		}
	g_strfreev(words);
	return value;
}

static json_t *base_body(void)
{
	json_t *json = json_object();

	mt_json_set_u64(json, "clock_ms", clock_ms());
	mt_json_set_u64(json, "born", born);
	return json;
}

static void respond(const mt_http_incoming_request_t *request, int status,
		    const char *reason)
{
	json_t *json = base_body();
	char *text;

	if (reason)
		json_object_set_new(json, "reason", json_string(reason));
	text = mt_json_dump_decref(json);
	mt_http_respond(request->exchange, status, "application/json",
			mt_str_from(text), NULL);
	g_free(text);
}

/* Holds. */

static json_t *list_runs(void)
{
	json_t *rows = json_array();

	for (guint i = 0; i < runs->len; i++) {
		const run_t *run = runs->pdata[i];
		uint64_t worked = now_ms() - run->started_at;
		uint64_t percent =
			run->work_ms ? MIN(100, worked * 100 / run->work_ms)
				     : 100;

		json_array_append_new(
			rows, json_pack("[s,I,s,I,i]", run->task,
					(json_int_t)run->run, "",
					(json_int_t)percent, 0));
	}
	return rows;
}

static json_t *list_ends(void)
{
	json_t *rows = json_array();

	for (guint i = 0; i < ends->len && i < ENDS_MAX; i++) {
		const end_t *end = ends->pdata[i];

		json_array_append_new(rows,
				      json_pack("[I,s,I,s,s]",
						(json_int_t)end->number,
						end->task, (json_int_t)end->run,
						end->how, ""));
	}
	return rows;
}

static void answer_hold(hold_t *hold)
{
	json_t *json = base_body();

	mt_timers_cancel(mt_loop_timers(loop), hold->timer);
	json_object_set_new(json, "running", list_runs());
	json_object_set_new(json, "finished", list_ends());
	pending_respond_json(hold->pending, 200, json);
	g_free(hold);
}

static void on_hold_over(void *ctx)
{
	hold_t *hold = ctx;

	hold->timer = 0;
	g_ptr_array_remove_fast(holds, hold);
	answer_hold(hold);
}

static void answer_holds(void)
{
	while (holds->len)
		answer_hold(g_ptr_array_remove_index(holds, holds->len - 1));
}

/* Runs. */

static void note_barred(const char *task, uint64_t run)
{
	uint64_t *highest = g_hash_table_lookup(barred, task);

	if (!highest) {
		highest = g_new0(uint64_t, 1);
		g_hash_table_insert(barred, g_strdup(task), highest);
	}
	*highest = MAX(*highest, run);
}

static void end_run(run_t *run, const char *how)
{
	end_t *end = g_new0(end_t, 1);

	mt_timers_cancel(mt_loop_timers(loop), run->timer);
	*end = (end_t){++n_ends, g_strdup(run->task), run->run, how};
	g_ptr_array_add(ends, end);
	note_barred(run->task, run->run);
	g_ptr_array_remove_fast(runs, run);
	record("end task=%s run=%llu how=%s", run->task,
	       (unsigned long long)run->run, how);
	g_free(run->task);
	g_free(run);
	answer_holds();
}

static void on_run_over(void *ctx)
{
	run_t *run = ctx;

	run->timer = 0;
	end_run(run, run->stopping ? "stopped" : "done");
}

static run_t *find_run(const char *task)
{
	for (guint i = 0; i < runs->len; i++) {
		run_t *run = runs->pdata[i];

		if (!strcmp(run->task, task))
			return run;
	}
	return NULL;
}

static void check_leases(void *ctx)
{
	(void)ctx;
	if (clock_ms() <= lease_due)
		return;
	while (runs->len)
		end_run(runs->pdata[runs->len - 1], "lapsed");
}

static void extend_lease(const json_t *body)
{
	uint64_t due = json_number(body, "due_ms", 0);

	due = MIN(due, clock_ms() + LEASE_MAX_MS);
	lease_due = MAX(lease_due, due);
}

/** True if the ticket is of this step and worker, and still valid. */
static bool ticket_is_valid(const char *task, const char *ticket)
{
	char *step = g_strdup(task);
	char **parts = g_strsplit(ticket, "/", 3);
	char *dot = strrchr(step, '.');
	bool valid;

	if (dot)
		*dot = 0;
	valid = g_strv_length(parts) == 3 && !strcmp(parts[0], step) &&
		!strcmp(parts[1], id) &&
		g_ascii_strtoull(parts[2], NULL, 10) > unix_ms();
	g_strfreev(parts);
	g_free(step);
	return valid;
}

static bool has_room(const char *spec)
{
	uint64_t used[3] = {word(spec, "cpu", 0), word(spec, "mem", 0),
			    word(spec, "gpu", 0)};

	for (guint i = 0; i < runs->len; i++) {
		const run_t *run = runs->pdata[i];

		used[0] += run->cpu;
		used[1] += run->mem;
		used[2] += run->gpu;
	}
	return used[0] <= cpu && used[1] <= mem && used[2] <= gpu;
}

/** Reason for which a start is rejected; NULL: it is accepted. */
static const char *reject_start(const char *task, uint64_t number,
				const char *spec, const json_t *body)
{
	const uint64_t *highest = g_hash_table_lookup(barred, task);
	const run_t *present = find_run(task);

	if (json_number(body, "due_ms", 0) <= clock_ms())
		return "late";
	extend_lease(body);
	if ((highest && number <= *highest) ||
	    (present && number < present->run))
		return "old";
	if (word(spec, "ticket", 0) &&
	    !ticket_is_valid(task, json_text(body, "ticket")))
		return "ticket";
	return unguarded || has_room(spec) ? NULL : "room";
}

static void begin_run(const char *task, uint64_t number, const char *spec)
{
	run_t *run = g_new0(run_t, 1);
	char *needs = text_word(spec, "needs");
	uint64_t used[3] = {0};

	run->task = g_strdup(task);
	run->run = number;
	run->started_at = now_ms();
	run->work_ms = word(spec, "ms", 0);
	run->cpu = word(spec, "cpu", 0);
	run->mem = word(spec, "mem", 0);
	run->gpu = word(spec, "gpu", 0);
	g_ptr_array_add(runs, run);
	for (guint i = 0; i < runs->len; i++) {
		const run_t *other = runs->pdata[i];

		used[0] += other->cpu;
		used[1] += other->mem;
		used[2] += other->gpu;
	}
	if (run->work_ms)
		run->timer = mt_timers_after(mt_loop_timers(loop), run->work_ms,
					     on_run_over, run);
	record("start task=%s run=%llu kind=%s needs=%s cpu=%llu/%llu "
	       "mem=%llu/%llu gpu=%llu/%llu%s",
	       task, (unsigned long long)number, kind, *needs ? needs : "-",
	       (unsigned long long)used[0], (unsigned long long)cpu,
	       (unsigned long long)used[1], (unsigned long long)mem,
	       (unsigned long long)used[2], (unsigned long long)gpu,
	       used[0] > cpu || used[1] > mem || used[2] > gpu ? " OVER" : "");
	g_free(needs);
}

static void on_start(const mt_http_incoming_request_t *request,
		     const json_t *body)
{
	const char *task = json_text(body, "task");
	const char *spec = json_text(body, "spec");
	uint64_t number = json_number(body, "run_id", 0);
	const run_t *present = find_run(task);
	const char *reason;

	if (present && present->run == number) {
		extend_lease(body);
		respond(request, 200, NULL);
		return;
	}
	reason = reject_start(task, number, spec, body);
	if (reason)
		record("reject task=%s run=%llu reason=%s", task,
		       (unsigned long long)number, reason);
	else
		begin_run(task, number, spec);
	respond(request, reason ? 409 : 200, reason);
}

static void on_stop(const mt_http_incoming_request_t *request,
		    const json_t *body)
{
	const char *task = json_text(body, "task");
	uint64_t number = json_number(body, "run_id", 0);
	run_t *run = find_run(task);

	if (run && run->run <= number && !run->stopping) {
		record("stop task=%s run=%llu", task,
		       (unsigned long long)number);
		run->stopping = true;
		mt_timers_cancel(mt_loop_timers(loop), run->timer);
		run->timer = mt_timers_after(mt_loop_timers(loop), stop_ms,
					     on_run_over, run);
	}
	if (!run)
		note_barred(task, number);
	respond(request, 200, NULL);
}

static void forget_ends(uint64_t last_seen)
{
	while (ends->len && ((end_t *)ends->pdata[0])->number <= last_seen) {
		end_t *end = g_ptr_array_remove_index(ends, 0);

		record("seen task=%s run=%llu how=%s", end->task,
		       (unsigned long long)end->run, end->how);
		g_free(end->task);
		g_free(end);
	}
}

static void on_hold(const mt_http_incoming_request_t *request,
		    const json_t *body)
{
	hold_t *hold = g_new0(hold_t, 1);
	uint64_t wait = MIN(json_number(body, "wait_ms", 0), 2000);

	forget_ends(json_number(body, "last_seen", 0));
	extend_lease(body);
	hold->pending = pending_new(request->exchange);
	if (ends->len || !wait) {
		answer_hold(hold);
		return;
	}
	hold->timer = mt_timers_after(mt_loop_timers(loop), wait, on_hold_over,
				      hold);
	g_ptr_array_add(holds, hold);
}

static void on_request(void *ctx, const mt_http_incoming_request_t *request)
{
	mt_str_t expected =
		mt_http_header(request->exchange, "mimosaturn-expect-instance");
	json_t *body = mt_json_parse(request->body);
	uint64_t token = json_number(body, "fencing_token", 0);

	(void)ctx;
	if (mt_str_equal(request->path, MT_STR("/healthz"))) {
		respond(request, 200, NULL);
	} else if (expected.len && !mt_str_equal(expected, mt_str_from(id))) {
		respond(request, 421, NULL);
	} else if (token < fence) {
		respond(request, 409, "fence");
	} else {
		fence = token;
		if (mt_str_equal(request->path, MT_STR("/mimosaturn/run-start")))
			on_start(request, body);
		else if (mt_str_equal(request->path,
				      MT_STR("/mimosaturn/run-stop")))
			on_stop(request, body);
		else if (mt_str_equal(request->path,
				      MT_STR("/mimosaturn/hold")))
			on_hold(request, body);
		else
			respond(request, 404, NULL);
	}
	json_decref(body);
}

/* Reports in the store. */

static void on_reported(void *ctx, const mt_http_response_t *response)
{
	(void)response;
	g_byte_array_unref(ctx);
}

static void report(void *ctx)
{
	json_t *json = json_object();
	char *address = g_strdup_printf("127.0.0.1:%u", port);
	GByteArray *frame = g_byte_array_new();
	mt_http_request_t request = {0};
	guint8 id_len = (guint8)strlen(id);
	uint32_t len;
	char *text;

	(void)ctx;
	json_object_set_new(json, "service", json_string(service));
	json_object_set_new(json, "address", json_string(address));
	json_object_set_new(json, "zone", json_string("here"));
	json_object_set_new(json, "version", json_string("v1"));
	json_object_set_new(json, "slots", json_integer(8));
	json_object_set_new(json, "state", json_string("ready"));
	json_object_set_new(json, "cold_remaining_ms", json_integer(0));
	json_object_set_new(json, "capacity",
			    json_pack("{s:I,s:I,s:I}", "cpu", (json_int_t)cpu,
				      "mem_mb", (json_int_t)mem, "gpu",
				      (json_int_t)gpu));
	json_object_set_new(json, "labels", json_pack("[s,s]", kind, rack));
	mt_json_set_u64(json, "clock_ms", clock_ms());
	mt_json_set_u64(json, "born", born);
	mt_json_set_u64(json, "sequence", ++n_reports);
	if (n_reports == 1)
		record("report kind=%s cpu=%llu born=%llu", kind,
		       (unsigned long long)cpu, (unsigned long long)born);
	text = mt_json_dump_decref(json);
	len = GUINT32_TO_BE((uint32_t)(1 + id_len + strlen(text)));
	g_byte_array_append(frame, (const guint8 *)&len, 4);
	g_byte_array_append(frame, &id_len, 1);
	g_byte_array_append(frame, (const guint8 *)id, id_len);
	g_byte_array_append(frame, (const guint8 *)text, (guint)strlen(text));
	request.address = mt_name("127.0.0.1");
	request.port = platform_port;
	request.method = "POST";
	request.path = "/mimosaturn/log-append?topic=keyed.servers&part=0";
	request.body = (mt_str_t){(const char *)frame->data, frame->len};
	request.timeout_ms = 1000;
	mt_http_send(client, &request, on_reported, frame);
	g_free(text);
	g_free(address);
}

static void read_options(int argc, char **argv)
{
	static const struct option options[] = {
		{"id", required_argument, NULL, 'i'},
		{"port", required_argument, NULL, 'p'},
		{"platform-port", required_argument, NULL, 'P'},
		{"record", required_argument, NULL, 'r'},
		{"service", required_argument, NULL, 's'},
		{"kind", required_argument, NULL, 'k'},
		{"rack", required_argument, NULL, 'R'},
		{"cpu", required_argument, NULL, 'c'},
		{"mem", required_argument, NULL, 'm'},
		{"gpu", required_argument, NULL, 'g'},
		{"stop-ms", required_argument, NULL, 'S'},
		{"unguarded", no_argument, NULL, 'u'},
		{0}};
	const char *record_path = "";
	int option;

	while ((option = getopt_long(argc, argv, "", options, NULL)) != -1) {
		switch (option) {
		case 'i': id = optarg; break;
		case 'p': port = (uint16_t)atoi(optarg); break;
		case 'P': platform_port = (uint16_t)atoi(optarg); break;
		case 'r': record_path = optarg; break;
		case 's': service = optarg; break;
		case 'k': kind = optarg; break;
		case 'R': rack = optarg; break;
		case 'c': cpu = (uint64_t)atoll(optarg); break;
		case 'm': mem = (uint64_t)atoll(optarg); break;
		case 'g': gpu = (uint64_t)atoll(optarg); break;
		case 'S': stop_ms = (uint64_t)atoll(optarg); break;
		case 'u': unguarded = true; break;
		default: exit(2);
		}
	}
	record_open(record_path, id);
}

int main(int argc, char **argv)
{
	mt_name_t address = mt_name("127.0.0.1");

	read_options(argc, argv);
	loop = mt_loop_new();
	client = mt_http_client_new(loop);
	born = unix_ms();
	started = now_ms();
	runs = g_ptr_array_new();
	ends = g_ptr_array_new();
	holds = g_ptr_array_new();
	barred = g_hash_table_new(g_str_hash, g_str_equal);
	if (!mt_http_server_new(loop, &address, port, BODY_MAX_BYTES,
				on_request, NULL)) {
		fprintf(stderr, "cannot listen on port %u\n", port);
		return 2;
	}
	report(NULL);
	mt_timers_every(mt_loop_timers(loop), HEARTBEAT_MS, report, NULL);
	mt_timers_every(mt_loop_timers(loop), LEASE_CHECK_MS, check_leases,
			NULL);
	mt_loop_run(loop);
	return 0;
}
