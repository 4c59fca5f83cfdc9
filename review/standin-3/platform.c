/**
 * @file platform.c
 * A small stand-in of the users' platform: the store (a log whose topics are
 * all keyed) and a number of sound workers, on loopback addresses in real time.
 * Faults are switched on and off with calls under /test/. Each order, answer,
 * end of a run and change of the list is written to standard output as a line
 * that begins with the time since the start, in milliseconds.
 *
 * Usage: platform PORT WORKERS CONFIG_FILE [SPARES [ID]]
 * Spare workers have the numbers from WORKERS on, and are not listed before
 * /test/list; their ids begin with ID.
 * The store listens on PORT, worker N on PORT + 1 + N. Each subtask takes one
 * of the GPUS accelerators of its worker. With GUARDS=0 in the environment the
 * workers start what does not fit, too; STOP_MS is how long a stop takes, ROOM
 * how many subtasks fit on a worker, if they take no accelerator, and
 * IDLE_MS when the workers close idle channels. ODD is a number of entries in
 * the list that come from another writer.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "net/http_server.h"
#include "net/loop.h"

#define BODY_MAX (4u * 1024u * 1024u)
#define WORKERS_MAX 48
#define HEARTBEAT_MS 1500
#define PAGE_ITEMS 500
#define APPENDS_KEPT 5
#define STOP_DEFAULT_MS 200
#define HOLD_MAX_MS 10000
#define GPUS 8

typedef struct {
	char *key;
	GBytes *value;
	uint64_t offset;
} record_t;

typedef struct {
	uint64_t epoch;
	uint64_t next; /* sequence that must come next; used if `any` */
	bool any;
	uint64_t sequence[APPENDS_KEPT];
	uint64_t offset[APPENDS_KEPT];
	unsigned kept;
} producer_t;

typedef struct {
	GPtrArray *log;	       /* record_t, by offset */
	GTree *newest;	       /* key to record_t */
	GHashTable *producers; /* name to producer_t */
	GPtrArray *readers;    /* reader_t, long polls */
} topic_t;

typedef struct {
	mt_http_exchange_t *exchange; /* NULL: disconnected */
	topic_t *topic;
	uint64_t from;
	uint64_t timer;
} reader_t;

typedef struct {
	char *task;
	unsigned run;
	uint64_t began, ends_at, estimate;
	uint64_t stop_at; /* 0: not being stopped */
	bool fails;
} run_t;

typedef struct {
	uint64_t number;
	char *task;
	unsigned run;
	const char *how;
} end_t;

typedef struct {
	mt_http_exchange_t *exchange; /* NULL: disconnected */
	struct worker *worker;
	uint64_t timer;
} hold_t;

typedef struct worker {
	int index;
	char id[128];
	uint64_t born;	/* Unix ms */
	uint64_t began; /* local ms */
	uint64_t token, due, ends;
	GPtrArray *runs;	/* run_t */
	GPtrArray *finished;	/* end_t */
	GHashTable *barred;	/* task to the highest run that is over */
	GPtrArray *holds;	/* hold_t */
	bool listed, draining;
	bool gone;	   /* it has left: it answers nothing and runs nothing */
	bool grey;	   /* start orders get no answer and are not done */
	bool fails;	   /* all that it starts fails */
	unsigned sequence;
} worker_t;

static mt_loop_t *loop;
static mt_timers_t *timers;
static uint64_t started;
static GHashTable *topics;
static worker_t workers[WORKERS_MAX];
static int n_workers, n_spares, base_port;
static const char *spare_id = "i";
static uint64_t run_ms = 1000;
static uint64_t stop_ms = STOP_DEFAULT_MS;
static uint64_t idle_ms; /* workers close idle channels then; 0: late */
static int n_odd;
static bool guards = true;
static unsigned room = GPUS; /* subtasks that fit on a worker */
static bool store_down;

static uint64_t now_ms(void)
{
	return mt_timers_now(timers);
}

static void note(const char *format, ...)
{
	va_list args;

	printf("%llu ", (unsigned long long)(now_ms() - started));
	va_start(args, format);
	vprintf(format, args);
	va_end(args);
	putchar('\n');
	fflush(stdout);
}

static void respond(mt_http_exchange_t *exchange, int status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	mt_http_respond(exchange, status, "application/json", mt_str_from(text),
			NULL);
	free(text);
	json_decref(json);
}

static uint64_t number_of(mt_str_t query, const char *name, uint64_t otherwise)
{
	mt_str_t text;
	uint64_t value;

	return mt_http_query(query, name, &text) && mt_str_to_u64(text, &value)
		       ? value
		       : otherwise;
}

static char *text_of(mt_str_t query, const char *name)
{
	mt_str_t text = {0};
	char *raw, *plain;

	mt_http_query(query, name, &text);
	raw = g_strndup(text.data ? text.data : "", text.len);
	plain = g_uri_unescape_string(raw, NULL);
	g_free(raw);
	return plain ? plain : g_strdup("");
}

/* The store. */

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer unused)
{
	return strcmp(a, b);
}

static topic_t *topic_named(const char *name)
{
	topic_t *topic = g_hash_table_lookup(topics, name);

	if (topic)
		return topic;
	topic = g_new0(topic_t, 1);
	topic->log = g_ptr_array_new();
	topic->newest = g_tree_new_full(compare_keys, NULL, NULL, NULL);
	topic->producers = g_hash_table_new(g_str_hash, g_str_equal);
	topic->readers = g_ptr_array_new();
	g_hash_table_insert(topics, g_strdup(name), topic);
	return topic;
}

static void put_u32(GByteArray *out, uint32_t value)
{
	uint32_t big = GUINT32_TO_BE(value);

	g_byte_array_append(out, (guint8 *)&big, 4);
}

static void put_u64(GByteArray *out, uint64_t value)
{
	uint64_t big = GUINT64_TO_BE(value);

	g_byte_array_append(out, (guint8 *)&big, 8);
}

static void answer_reader(reader_t *reader)
{
	GByteArray *out = g_byte_array_new();

	put_u64(out, reader->topic->log->len);
	put_u64(out, 0);
	for (guint i = (guint)reader->from;
	     i < reader->topic->log->len && out->len < 512 * 1024; i++) {
		const record_t *record = reader->topic->log->pdata[i];
		guint8 key_len = (guint8)strlen(record->key);
		gsize len;
		const guint8 *data = g_bytes_get_data(record->value, &len);

		put_u32(out, (uint32_t)(1 + key_len + len));
		g_byte_array_append(out, &key_len, 1);
		g_byte_array_append(out, (const guint8 *)record->key, key_len);
		g_byte_array_append(out, data, (guint)len);
	}
	if (reader->exchange) {
		mt_http_on_disconnect(reader->exchange, NULL, NULL);
		mt_http_respond(reader->exchange, 200,
				"application/octet-stream",
				(mt_str_t){(char *)out->data, out->len}, NULL);
	}
	g_byte_array_unref(out);
	mt_timers_cancel(timers, reader->timer);
	g_free(reader);
}

static void on_reader_timer(void *ctx)
{
	reader_t *reader = ctx;

	reader->timer = 0;
	g_ptr_array_remove(reader->topic->readers, reader);
	answer_reader(reader);
}

static void on_reader_gone(void *ctx)
{
	reader_t *reader = ctx;

	reader->exchange = NULL;
}

static void wake_readers(topic_t *topic)
{
	while (topic->readers->len) {
		reader_t *reader = topic->readers->pdata[0];

		g_ptr_array_remove_index(topic->readers, 0);
		answer_reader(reader);
	}
}

static void append(topic_t *topic, const char *key, gsize key_len,
		   const void *value, gsize len)
{
	record_t *record = g_new0(record_t, 1);

	record->key = g_strndup(key, key_len);
	record->value = g_bytes_new(value, len);
	record->offset = topic->log->len;
	g_ptr_array_add(topic->log, record);
	if (len)
		g_tree_replace(topic->newest, record->key, record);
	else
		g_tree_remove(topic->newest, record->key);
}

static void on_append(const mt_http_incoming_request_t *http, topic_t *topic)
{
	char *name = text_of(http->query, "producer");
	uint64_t at = number_of(http->query, "at", UINT64_MAX);
	uint64_t epoch = number_of(http->query, "epoch", 0);
	uint64_t sequence = number_of(http->query, "sequence", 0);
	producer_t *producer = g_hash_table_lookup(topic->producers, name);
	uint64_t offset = topic->log->len;
	size_t position = 0;

	if (!producer) {
		producer = g_new0(producer_t, 1);
		g_hash_table_insert(topic->producers, g_strdup(name), producer);
	}
	g_free(name);
	if (epoch < producer->epoch) {
		respond(http->exchange, 409, json_pack("{ss}", "reason",
						       "fenced"));
		return;
	}
	if (epoch > producer->epoch) {
		producer->epoch = epoch;
		producer->any = false;
		producer->kept = 0;
	}
	for (unsigned i = 0; i < producer->kept; i++) {
		if (producer->sequence[i] != sequence)
			continue;
		respond(http->exchange, 200,
			json_pack("{sIsI}", "offset",
				  (json_int_t)producer->offset[i], "end_offset",
				  (json_int_t)topic->log->len));
		return;
	}
	if (producer->any && sequence != producer->next) {
		respond(http->exchange, 409,
			json_pack("{sssI}", "reason", "seq", "sequence",
				  (json_int_t)producer->next));
		return;
	}
	if (at != UINT64_MAX && at != topic->log->len) {
		respond(http->exchange, 412,
			json_pack("{sI}", "end_offset",
				  (json_int_t)topic->log->len));
		return;
	}
	while (position + 5 <= http->body.len) {
		const guint8 *frame =
			(const guint8 *)http->body.data + position;
		uint32_t len = (uint32_t)frame[0] << 24 | frame[1] << 16 |
			       frame[2] << 8 | frame[3];

		append(topic, (const char *)frame + 5, frame[4],
		       frame + 5 + frame[4], len - 1 - frame[4]);
		position += 4 + len;
	}
	memmove(producer->sequence + 1, producer->sequence,
		sizeof(uint64_t) * (APPENDS_KEPT - 1));
	memmove(producer->offset + 1, producer->offset,
		sizeof(uint64_t) * (APPENDS_KEPT - 1));
	producer->sequence[0] = sequence;
	producer->offset[0] = offset;
	producer->kept = MIN(producer->kept + 1, APPENDS_KEPT);
	producer->next = sequence + 1;
	producer->any = true;
	respond(http->exchange, 200,
		json_pack("{sIsI}", "offset", (json_int_t)offset, "end_offset",
			  (json_int_t)topic->log->len));
	wake_readers(topic);
}

static void on_read(const mt_http_incoming_request_t *http, topic_t *topic)
{
	reader_t *reader = g_new0(reader_t, 1);
	uint64_t wait = number_of(http->query, "wait_ms", 0);

	reader->exchange = http->exchange;
	reader->topic = topic;
	reader->from = number_of(http->query, "from", 0);
	if (reader->from < topic->log->len || !wait) {
		answer_reader(reader);
		return;
	}
	mt_http_on_disconnect(http->exchange, on_reader_gone, reader);
	reader->timer = mt_timers_after(timers, wait, on_reader_timer, reader);
	g_ptr_array_add(topic->readers, reader);
}

typedef struct {
	const char *after;
	json_t *items;
	bool more;
} listing_t;

static gboolean list_record(gpointer key, gpointer value, gpointer ctx)
{
	listing_t *listing = ctx;
	const record_t *record = value;
	gsize len;
	const guchar *data = g_bytes_get_data(record->value, &len);
	char *text;

	if (strcmp(key, listing->after) <= 0)
		return FALSE;
	if (json_array_size(listing->items) >= PAGE_ITEMS) {
		listing->more = true;
		return TRUE;
	}
	text = g_base64_encode(data, len);
	json_array_append_new(listing->items,
			      json_pack("{sssssI}", "key", record->key, "value",
					text, "offset",
					(json_int_t)record->offset));
	g_free(text);
	return FALSE;
}

static void on_newest(const mt_http_incoming_request_t *http, topic_t *topic)
{
	char *after = text_of(http->query, "depends_on");
	listing_t listing = {after, json_array(), false};

	g_tree_foreach(topic->newest, list_record, &listing);
	respond(http->exchange, 200,
		json_pack("{sosbsI}", "items", listing.items, "has_more",
			  listing.more, "end_offset",
			  (json_int_t)topic->log->len));
	g_free(after);
}

/* Workers. */

static uint64_t clock_of(const worker_t *worker)
{
	return now_ms() - worker->began + 1;
}

static void report(worker_t *worker)
{
	topic_t *topic = topic_named("keyed.servers");
	char *text;
	json_t *json;

	if (!worker->listed)
		return;
	json = json_pack(
		"{sssssssssisssIsIs{sIsIsI}s[ss]sI}", "service", "service",
		"address", "", "zone", "here", "version", "v1", "slots", 8,
		"state", worker->draining ? "draining" : "ready", "sequence",
		(json_int_t)++worker->sequence, "cold_remaining_ms",
		(json_int_t)0, "capacity", "cpu", (json_int_t)64000, "mem_mb",
		(json_int_t)262144, "gpu", (json_int_t)GPUS, "labels", "a",
		worker->index % 2 ? "r1" : "r0", "born",
		(json_int_t)worker->born);
	text = g_strdup_printf("127.0.0.1:%d", base_port + 1 + worker->index);
	json_object_set_new(json, "address", json_string(text));
	g_free(text);
	if (worker->draining)
		json_object_set_new(json, "remaining_ms", json_integer(2500));
	text = json_dumps(json, JSON_COMPACT);
	append(topic, worker->id, strlen(worker->id), text, strlen(text));
	wake_readers(topic);
	free(text);
	json_decref(json);
}

static json_t *lists_of(const worker_t *worker)
{
	json_t *running = json_array();
	json_t *finished = json_array();

	for (guint i = 0; i < worker->runs->len; i++) {
		const run_t *run = worker->runs->pdata[i];
		uint64_t percent = MIN(99, (now_ms() - run->began) * 100 /
						   MAX(1, run->estimate));

		json_array_append_new(running,
				      json_pack("[sisI]", run->task, run->run,
						"", (json_int_t)percent));
	}
	for (guint i = 0; i < worker->finished->len && i < 500; i++) {
		const end_t *end = worker->finished->pdata[i];

		json_array_append_new(finished,
				      json_pack("[Isiss]",
						(json_int_t)end->number,
						end->task, end->run, end->how,
						""));
	}
	return json_pack("{sIsIsoso}", "clock_ms", (json_int_t)clock_of(worker),
			 "born", (json_int_t)worker->born, "running", running,
			 "finished", finished);
}

static void answer_hold(hold_t *hold)
{
	if (hold->exchange) {
		mt_http_on_disconnect(hold->exchange, NULL, NULL);
		respond(hold->exchange, 200, lists_of(hold->worker));
	}
	mt_timers_cancel(timers, hold->timer);
	g_free(hold);
}

static void on_hold_timer(void *ctx)
{
	hold_t *hold = ctx;

	hold->timer = 0;
	g_ptr_array_remove(hold->worker->holds, hold);
	answer_hold(hold);
}

static void on_hold_gone(void *ctx)
{
	hold_t *hold = ctx;

	hold->exchange = NULL;
}

static void end_run(worker_t *worker, guint index, const char *how)
{
	run_t *run = worker->runs->pdata[index];
	end_t *end = g_new0(end_t, 1);

	end->number = ++worker->ends;
	end->task = run->task;
	end->run = run->run;
	end->how = how;
	g_ptr_array_add(worker->finished, end);
	g_hash_table_replace(worker->barred, g_strdup(run->task),
			     GUINT_TO_POINTER(run->run));
	note("end %s %s %u %s", worker->id, run->task, run->run, how);
	g_ptr_array_remove_index(worker->runs, index);
	g_free(run);
	while (worker->holds->len) {
		hold_t *hold = worker->holds->pdata[0];

		g_ptr_array_remove_index(worker->holds, 0);
		answer_hold(hold);
	}
}

static void tick(void *unused)
{
	for (int w = 0; w < n_workers + n_spares; w++) {
		worker_t *worker = &workers[w];

		for (guint i = worker->runs->len; i-- > 0;) {
			const run_t *run = worker->runs->pdata[i];

			if (clock_of(worker) > worker->due)
				end_run(worker, i, "lapsed");
			else if (run->stop_at && now_ms() >= run->stop_at)
				end_run(worker, i, "stopped");
			else if (now_ms() >= run->ends_at)
				end_run(worker, i,
					run->fails ? "failed" : "done");
		}
	}
}

static void refuse(mt_http_exchange_t *exchange, const worker_t *worker,
		   const char *reason)
{
	respond(exchange, 409,
		json_pack("{sIsssI}", "clock_ms", (json_int_t)clock_of(worker),
			  "reason", reason, "born", (json_int_t)worker->born));
}

static void accept_order(mt_http_exchange_t *exchange, const worker_t *worker)
{
	respond(exchange, 200,
		json_pack("{sIsI}", "clock_ms", (json_int_t)clock_of(worker),
			  "born", (json_int_t)worker->born));
}

static run_t *find_run(const worker_t *worker, const char *task, guint *index)
{
	for (guint i = 0; i < worker->runs->len; i++) {
		run_t *run = worker->runs->pdata[i];

		if (strcmp(run->task, task))
			continue;
		*index = i;
		return run;
	}
	return NULL;
}

static uint64_t field(const json_t *json, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(json, name));
}

static void renew(worker_t *worker, uint64_t due)
{
	due = MIN(due, clock_of(worker) + HOLD_MAX_MS);
	worker->due = MAX(worker->due, due);
}

static void on_start(worker_t *worker, mt_http_exchange_t *exchange,
		     const json_t *json)
{
	const char *task = json_string_value(json_object_get(json, "task"));
	unsigned number = (unsigned)field(json, "run_id");
	guint barred = GPOINTER_TO_UINT(
		g_hash_table_lookup(worker->barred, task));
	guint index;
	run_t *run = find_run(worker, task, &index);

	if (run && run->run == number) {
		renew(worker, field(json, "due_ms"));
		note("start %s %s %u there already", worker->id, task, number);
		accept_order(exchange, worker);
		return;
	}
	if (number <= barred || run) {
		renew(worker, field(json, "due_ms"));
		note("start %s %s %u refused old", worker->id, task, number);
		refuse(exchange, worker, "old");
		return;
	}
	if (field(json, "due_ms") <= clock_of(worker)) {
		note("start %s %s %u refused late", worker->id, task, number);
		refuse(exchange, worker, "late");
		return;
	}
	if (guards && worker->runs->len >= room) {
		renew(worker, field(json, "due_ms"));
		note("start %s %s %u refused room", worker->id, task, number);
		refuse(exchange, worker, "room");
		return;
	}
	run = g_new0(run_t, 1);
	run->task = g_strdup(task);
	run->run = number;
	run->began = now_ms();
	run->estimate = run_ms;
	run->fails = worker->fails;
	run->ends_at = now_ms() + (run->fails ? 100 : run_ms);
	g_ptr_array_add(worker->runs, run);
	renew(worker, field(json, "due_ms"));
	note("start %s %s %u begun%s, %u there", worker->id, task, number,
	     worker->draining ? " while draining" : "", worker->runs->len);
	accept_order(exchange, worker);
}

static void on_stop(worker_t *worker, mt_http_exchange_t *exchange,
		    const json_t *json)
{
	const char *task = json_string_value(json_object_get(json, "task"));
	unsigned number = (unsigned)field(json, "run_id");
	guint index;
	run_t *run = find_run(worker, task, &index);
	guint barred = GPOINTER_TO_UINT(
		g_hash_table_lookup(worker->barred, task));

	if (run && run->run == number && !run->stop_at)
		run->stop_at = now_ms() + stop_ms;
	else if (!run && number > barred)
		g_hash_table_replace(worker->barred, g_strdup(task),
				     GUINT_TO_POINTER(number));
	note("stop %s %s %u", worker->id, task, number);
	accept_order(exchange, worker);
}

static void on_hold(worker_t *worker, mt_http_exchange_t *exchange,
		    const json_t *json)
{
	uint64_t seen = field(json, "last_seen");
	uint64_t wait = MIN(field(json, "wait_ms"), 2000);
	hold_t *hold = g_new0(hold_t, 1);

	if (field(json, "due_ms"))
		renew(worker, field(json, "due_ms"));
	while (worker->finished->len &&
	       ((end_t *)worker->finished->pdata[0])->number <= seen)
		g_ptr_array_remove_index(worker->finished, 0);
	hold->exchange = exchange;
	hold->worker = worker;
	if (!wait || worker->finished->len) {
		answer_hold(hold);
		return;
	}
	mt_http_on_disconnect(exchange, on_hold_gone, hold);
	hold->timer = mt_timers_after(timers, wait, on_hold_timer, hold);
	g_ptr_array_add(worker->holds, hold);
}

static void on_worker_call(void *ctx, const mt_http_incoming_request_t *http)
{
	worker_t *worker = ctx;
	json_t *json = json_loadb(http->body.data, http->body.len, 0, NULL);
	mt_str_t expected =
		mt_http_header(http->exchange, "mimosaturn-expect-instance");
	bool is_start = mt_str_equal(http->path,
				     MT_STR("/mimosaturn/run-start"));

	if (worker->gone) {
		/* No answer. */
	} else if (is_start && worker->grey) {
		note("start %s %s %u left unanswered", worker->id,
		     json_string_value(json_object_get(json, "task")),
		     (unsigned)field(json, "run_id"));
	} else if (expected.len &&
		   !mt_str_equal(expected, mt_str_from(worker->id))) {
		respond(http->exchange, 421, json_object());
	} else if (field(json, "fencing_token") < worker->token) {
		refuse(http->exchange, worker, "fence");
	} else {
		worker->token = field(json, "fencing_token");
		if (is_start)
			on_start(worker, http->exchange, json);
		else if (mt_str_equal(http->path,
				      MT_STR("/mimosaturn/run-stop")))
			on_stop(worker, http->exchange, json);
		else if (mt_str_equal(http->path, MT_STR("/mimosaturn/hold")))
			on_hold(worker, http->exchange, json);
		else
			respond(http->exchange, 404, json_object());
	}
	json_decref(json);
}

/** Entries of another writer: a state that the pages don't name. */
static void report_odd_entries(void)
{
	static const char *text = "{\"service\":\"service\",\"address\":"
				  "\"127.0.0.1:9\",\"state\":\"resting\"}";
	topic_t *topic = topic_named("keyed.servers");
	char id[16];

	for (int i = 0; i < n_odd; i++) {
		g_snprintf(id, sizeof(id), "odd-%d", i);
		append(topic, id, strlen(id), text, strlen(text));
	}
	if (n_odd)
		wake_readers(topic);
}

static void heartbeat(void *unused)
{
	report_odd_entries();
	for (int i = 0; i < n_workers + n_spares; i++)
		report(&workers[i]);
}

/* Faults. */

static void on_test_call(const mt_http_incoming_request_t *http)
{
	worker_t *worker = &workers[number_of(http->query, "worker", 0) %
				    WORKERS_MAX];
	char *text;

	if (mt_str_equal(http->path, MT_STR("/test/grey"))) {
		worker->grey = number_of(http->query, "on", 1) != 0;
		note("grey %s %s", worker->id, worker->grey ? "on" : "off");
	} else if (mt_str_equal(http->path, MT_STR("/test/fails"))) {
		worker->fails = number_of(http->query, "on", 1) != 0;
		note("fails %s %s", worker->id, worker->fails ? "on" : "off");
	} else if (mt_str_equal(http->path, MT_STR("/test/drain"))) {
		worker->draining = true;
		report(worker);
		note("draining %s", worker->id);
	} else if (mt_str_equal(http->path, MT_STR("/test/list"))) {
		worker->listed = true;
		report(worker);
		note("listed %s", worker->id);
	} else if (mt_str_equal(http->path, MT_STR("/test/leave"))) {
		worker->listed = false;
		worker->gone = true;
		while (worker->runs->len)
			g_ptr_array_remove_index(worker->runs, 0);
		append(topic_named("keyed.servers"), worker->id,
		       strlen(worker->id), "", 0);
		wake_readers(topic_named("keyed.servers"));
		note("left %s", worker->id);
	} else if (mt_str_equal(http->path, MT_STR("/test/run-ms"))) {
		run_ms = number_of(http->query, "ms", run_ms);
	} else if (mt_str_equal(http->path, MT_STR("/test/store-down"))) {
		store_down = number_of(http->query, "on", 1) != 0;
	} else if (mt_str_equal(http->path, MT_STR("/test/config"))) {
		append(topic_named("keyed.op"), "config", strlen("config"),
		       http->body.data, http->body.len);
		wake_readers(topic_named("keyed.op"));
		note("desired state of %zu bytes", http->body.len);
	} else if (mt_str_equal(http->path, MT_STR("/test/note"))) {
		text = text_of(http->query, "text");
		note("%s", text);
		g_free(text);
	}
	respond(http->exchange, 200, json_object());
}

static void on_store_call(void *ctx, const mt_http_incoming_request_t *http)
{
	char *name = text_of(http->query, "topic");

	if (mt_str_has_prefix(http->path, MT_STR("/test/")))
		on_test_call(http);
	else if (store_down)
		respond(http->exchange, 503, json_object());
	else if (mt_str_equal(http->path, MT_STR("/mimosaturn/log-append")))
		on_append(http, topic_named(name));
	else if (mt_str_equal(http->path, MT_STR("/mimosaturn/log-read")))
		on_read(http, topic_named(name));
	else if (mt_str_equal(http->path, MT_STR("/mimosaturn/log-newest")))
		on_newest(http, topic_named(name));
	else
		respond(http->exchange, 404, json_object());
	g_free(name);
}

static bool open_worker(int index)
{
	worker_t *worker = &workers[index];
	mt_name_t address = mt_name("127.0.0.1");
	mt_http_server_t *server;

	worker->index = index;
	g_snprintf(worker->id, sizeof(worker->id), "%s-%04d",
		   index < n_workers ? "i" : spare_id, index);
	worker->began = now_ms();
	worker->born = (uint64_t)g_get_real_time() / 1000;
	worker->listed = index < n_workers;
	worker->runs = g_ptr_array_new();
	worker->finished = g_ptr_array_new();
	worker->holds = g_ptr_array_new();
	worker->barred =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	report(worker);
	server = mt_http_server_new(loop, &address,
				    (uint16_t)(base_port + 1 + index), BODY_MAX,
				    on_worker_call, worker);
	if (server && idle_ms) {
		mt_http_limits_t limits = *mt_http_server_limits(server);

		limits.idle_ms = idle_ms;
		limits.connections_max = 10000;
		mt_http_server_set_limits(server, &limits);
	}
	return server != NULL;
}

int main(int argc, char **argv)
{
	mt_name_t address = mt_name("127.0.0.1");
	char *config;
	gsize len;

	if (argc < 4 || !g_file_get_contents(argv[3], &config, &len, NULL)) {
		fprintf(stderr, "usage: platform PORT WORKERS CONFIG_FILE\n");
		return 2;
	}
	if (getenv("GUARDS"))
		guards = atoi(getenv("GUARDS")) != 0;
	if (getenv("ODD"))
		n_odd = atoi(getenv("ODD"));
	if (getenv("IDLE_MS"))
		idle_ms = (uint64_t)atoi(getenv("IDLE_MS"));
	if (getenv("ROOM"))
		room = (unsigned)atoi(getenv("ROOM"));
	if (getenv("STOP_MS"))
		stop_ms = (uint64_t)atoi(getenv("STOP_MS"));
	base_port = atoi(argv[1]);
	n_workers = MIN(atoi(argv[2]), WORKERS_MAX);
	if (argc > 4)
		n_spares = MIN(atoi(argv[4]), WORKERS_MAX - n_workers);
	if (argc > 5)
		spare_id = argv[5];
	loop = mt_loop_new();
	timers = mt_loop_timers(loop);
	started = now_ms();
	topics = g_hash_table_new(g_str_hash, g_str_equal);
	append(topic_named("keyed.op"), "config", strlen("config"), config,
	       len);
	for (int i = 0; i < n_workers + n_spares; i++) {
		if (!open_worker(i))
			return 3;
	}
	if (!mt_http_server_new(loop, &address, (uint16_t)base_port, BODY_MAX,
				on_store_call, NULL))
		return 3;
	mt_timers_every(timers, 20, tick, NULL);
	mt_timers_every(timers, HEARTBEAT_MS, heartbeat, NULL);
	mt_loop_run(loop);
	return 0;
}
