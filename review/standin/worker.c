/** @file worker.c Stand-in of the platform's workers. */
#include <stdlib.h>
#include <string.h>

#include "standin.h"

#define BEAT_MS 1500u
#define ENDS_MAX 500u
#define HOLD_WAIT_MAX_MS 2000u
#define CLOCK_START_MS 1000u
#define STOP_MS 50u
#define ENTRY_LAG_MS 800u /* `lag_ms` of the site */

typedef struct hold_t {
	pending_t *call;
	mt_ms_t until;
} hold_t;

typedef struct run_t {
	run_event_t *event;
	mt_ms_t end_at; /**< MT_NEVER_MS: runs until it is stopped */
	unsigned cpu;
	const char *how;
	bool stopping;
} run_t;

struct worker_t {
	unsigned index;
	char id[24];
	char address[32];
	unsigned life;
	gint64 born;
	mt_ms_t clock_from;
	guint64 fence;
	guint64 due;
	unsigned cpu;
	GHashTable *runs;   /**< task to run_t */
	GHashTable *barred; /**< task to the highest run ended or stopped */
	GPtrArray *ends;    /**< run_event_t, not forgotten yet */
	unsigned next_end;
	GPtrArray *holds; /**< hold_t, waiting for an end */
	bool cut;	  /**< nothing reaches it, and it reaches nothing */
	mt_ms_t next_beat;
	mt_ms_t unlist_at; /**< removal of its entry; 0: none */
	unsigned sequence;
};

GPtrArray *run_events;
static mt_ms_t hold_max_ms = 10000;

void worker_set_hold_max(mt_ms_t ms)
{
	hold_max_ms = ms;
}

static guint64 clock_of(const worker_t *worker)
{
	return now_ms() - worker->clock_from + CLOCK_START_MS;
}

static void free_run(gpointer data)
{
	g_free(data);
}

static void write_entry(worker_t *worker)
{
	char *text = g_strdup_printf(
		"{\"service\":\"shop\",\"address\":\"%s\",\"zone\":\"here\","
		"\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
		"\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":%u,"
		"\"mem_mb\":262144,\"gpu\":8},\"labels\":[\"a\",\"r1-%u\"],"
		"\"clock_ms\":%" G_GUINT64_FORMAT ",\"sequence\":%u,"
		"\"born\":%" G_GINT64_FORMAT "}",
		worker->address, worker->cpu, worker->index / 8,
		clock_of(worker), ++worker->sequence, worker->born);

	store_put("keyed.servers", worker->id, text);
	g_free(text);
	worker->next_beat = now_ms() + BEAT_MS;
}

/* Ends. */

static void list_end(worker_t *worker, run_t *run, const char *how)
{
	run_event_t *event = run->event;
	unsigned *highest = g_hash_table_lookup(worker->barred, event->task);

	event->ended_at = now_ms();
	event->how = how;
	event->number = worker->next_end++;
	g_ptr_array_add(worker->ends, event);
	if (!highest) {
		highest = g_new0(unsigned, 1);
		g_hash_table_insert(worker->barred, g_strdup(event->task),
				    highest);
	}
	*highest = MAX(*highest, event->run);
	record("worker %u: end %u of %s run %u, %s", worker->index,
	       event->number, event->task, event->run, how);
}

static void note_ends(worker_t *worker, guint64 last_seen)
{
	for (guint i = worker->ends->len; i-- > 0;) {
		run_event_t *event = worker->ends->pdata[i];

		if (event->number > last_seen)
			continue;
		event->noted = true;
		event->noted_at = now_ms();
		g_ptr_array_remove_index(worker->ends, i);
	}
}

/** The lease of everything on the worker lapses. */
static void check_lease(worker_t *worker)
{
	GHashTableIter iter;
	gpointer value;

	if (clock_of(worker) < worker->due)
		return;
	for (guint i = 0; i < worker->ends->len; i++)
		((run_event_t *)worker->ends->pdata[i])->lapsed_before_noted =
			true;
	g_hash_table_iter_init(&iter, worker->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		list_end(worker, value, "lapsed");
		g_hash_table_iter_remove(&iter);
	}
}

static void end_due_runs(worker_t *worker)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, worker->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		run_t *run = value;

		if (now_ms() < run->end_at)
			continue;
		list_end(worker, run, run->how);
		g_hash_table_iter_remove(&iter);
	}
}

void worker_end_runs(worker_t *worker, const char *prefix, const char *how)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, worker->runs);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (!g_str_has_prefix(key, prefix))
			continue;
		list_end(worker, value, how);
		g_hash_table_iter_remove(&iter);
	}
}

/* Answers. */

static json_t *base_answer(const worker_t *worker)
{
	json_t *json = json_object();

	mt_json_set_u64(json, "clock_ms", clock_of(worker));
	json_object_set_new(json, "born", json_integer(worker->born));
	return json;
}

static void refuse(const worker_t *worker, pending_t *call, const char *reason)
{
	json_t *json = base_answer(worker);

	json_object_set_new(json, "reason", json_string(reason));
	pending_answer_json(call, 0, 409, json);
}

static void answer_hold(worker_t *worker, pending_t *call)
{
	json_t *json = base_answer(worker);
	json_t *running = json_array();
	json_t *finished = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, worker->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const run_t *run = value;
		const run_event_t *event = run->event;
		mt_ms_t span = run->end_at - event->started_at;
		mt_ms_t past = now_ms() - event->started_at;
		json_int_t percent =
			run->end_at == MT_NEVER_MS
				? 100
				: (json_int_t)(past * 100 / MAX(span, 1));

		json_array_append_new(
			running, json_pack("[sisII]", event->task, event->run,
					   "", percent, (json_int_t)0));
	}
	for (guint i = 0; i < worker->ends->len && i < ENDS_MAX; i++) {
		const run_event_t *event = worker->ends->pdata[i];

		json_array_append_new(finished,
				      json_pack("[isiss]", event->number,
						event->task, event->run,
						event->how, ""));
	}
	json_object_set_new(json, "running", running);
	json_object_set_new(json, "finished", finished);
	pending_answer_json(call, 0, 200, json);
}

static void answer_holds(worker_t *worker)
{
	for (guint i = worker->holds->len; i-- > 0;) {
		hold_t *hold = worker->holds->pdata[i];

		if (!worker->ends->len && now_ms() < hold->until)
			continue;
		g_ptr_array_remove_index(worker->holds, i);
		answer_hold(worker, hold->call);
		g_free(hold);
	}
}

/* Calls. */

static guint64 number(const json_t *json, const char *name)
{
	uint64_t value = 0;

	mt_json_get_u64(json, name, &value);
	return value;
}

static void grant(worker_t *worker, guint64 due)
{
	worker->due =
		MAX(worker->due, MIN(due, clock_of(worker) + hold_max_ms));
}

static unsigned cpu_used(const worker_t *worker)
{
	GHashTableIter iter;
	gpointer value;
	unsigned used = 0;

	g_hash_table_iter_init(&iter, worker->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		used += ((run_t *)value)->cpu;
	return used;
}

/**
 * What a subtask does stands in its job's `spec`: "ms=N cpu=N" for a length and
 * its size, "ms=0" for one that runs on; "vary=N" adds 0 to 15 times N ms; with
 * "fails" the runs end `failed`.
 */
static unsigned spec_number(const char *spec, const char *name)
{
	const char *at = strstr(spec, name);

	return at ? (unsigned)g_ascii_strtoull(at + strlen(name), NULL, 10) : 0;
}

static void on_start(worker_t *worker, pending_t *call, const json_t *json)
{
	const char *task = json_string_value(json_object_get(json, "task"));
	const char *spec = json_string_value(json_object_get(json, "spec"));
	unsigned run_id = (unsigned)number(json, "run_id");
	const unsigned *barred;
	run_t *run;

	if (!task || !spec) {
		pending_answer_json(call, 0, 400, base_answer(worker));
		return;
	}
	grant(worker, number(json, "due_ms"));
	barred = g_hash_table_lookup(worker->barred, task);
	run = g_hash_table_lookup(worker->runs, task);
	if (run && run->event->run == run_id) {
		pending_answer_json(call, 0, 200, base_answer(worker));
	} else if (run || (barred && run_id <= *barred)) {
		refuse(worker, call, "old");
	} else if (number(json, "due_ms") <= clock_of(worker)) {
		refuse(worker, call, "late");
	} else if (cpu_used(worker) + spec_number(spec, "cpu=") > worker->cpu) {
		refuse(worker, call, "room");
	} else {
		unsigned ms = spec_number(spec, "ms=");
		const char *dot = strrchr(task, '.');

		run = g_new0(run_t, 1);
		run->event = g_new0(run_event_t, 1);
		run->event->task = g_strdup(task);
		run->event->run = run_id;
		run->event->worker = worker->index;
		run->event->life = worker->life;
		run->event->started_at = now_ms();
		run->cpu = spec_number(spec, "cpu=");
		run->how = strstr(spec, "fails") ? "failed" : "done";
		run->end_at =
			ms ? now_ms() + ms +
					spec_number(spec, "vary=") *
						((unsigned)atoi(dot + 1) % 16)
			   : MT_NEVER_MS;
		g_ptr_array_add(run_events, run->event);
		g_hash_table_insert(worker->runs, run->event->task, run);
		record("worker %u: start of %s run %u", worker->index, task,
		       run_id);
		pending_answer_json(call, 0, 200, base_answer(worker));
	}
}

static void on_stop(worker_t *worker, pending_t *call, const json_t *json)
{
	const char *task = json_string_value(json_object_get(json, "task"));
	unsigned run_id = (unsigned)number(json, "run_id");
	run_t *run = task ? g_hash_table_lookup(worker->runs, task) : NULL;
	unsigned *barred;

	if (!task) {
		pending_answer_json(call, 0, 400, base_answer(worker));
		return;
	}
	if (run && run->event->run == run_id && !run->stopping) {
		run->stopping = true;
		run->how = "stopped";
		run->end_at = now_ms() + STOP_MS;
	} else if (!run || run->event->run < run_id) {
		barred = g_hash_table_lookup(worker->barred, task);
		if (!barred) {
			barred = g_new0(unsigned, 1);
			g_hash_table_insert(worker->barred, g_strdup(task),
					    barred);
		}
		*barred = MAX(*barred, run_id);
	}
	record("worker %u: stop of %s run %u", worker->index, task, run_id);
	pending_answer_json(call, 0, 200, base_answer(worker));
}

static void on_hold(worker_t *worker, pending_t *call, const json_t *json)
{
	hold_t *hold = g_new0(hold_t, 1);

	note_ends(worker, number(json, "last_seen"));
	if (number(json, "due_ms"))
		grant(worker, number(json, "due_ms"));
	hold->call = call;
	hold->until = now_ms() + MIN(number(json, "wait_ms"), HOLD_WAIT_MAX_MS);
	g_ptr_array_add(worker->holds, hold);
	answer_holds(worker);
}

static void on_call(void *ctx, const mt_http_incoming_request_t *http)
{
	worker_t *worker = ctx;
	pending_t *call = pending_new(http);
	json_t *json;
	mt_str_t instance;
	guint64 fence;

	if (worker->cut) {
		pending_drop(call);
		return;
	}
	json = mt_json_parse(http->body);
	instance = mt_http_header(http->exchange, "mimosaturn-expect-instance");
	fence = number(json, "fencing_token");

	if (instance.len && !mt_str_equal(instance, mt_str_from(worker->id))) {
		pending_answer_json(call, 0, 421, base_answer(worker));
	} else if (fence < worker->fence) {
		refuse(worker, call, "fence");
	} else {
		worker->fence = fence;
		if (mt_str_equal(http->path, MT_STR("/mimosaturn/run-start")))
			on_start(worker, call, json);
		else if (mt_str_equal(http->path,
				      MT_STR("/mimosaturn/run-stop")))
			on_stop(worker, call, json);
		else if (mt_str_equal(http->path, MT_STR("/mimosaturn/hold")))
			on_hold(worker, call, json);
		else
			pending_answer(call, 0, 404, NULL);
	}
	json_decref(json);
}

worker_t *worker_new(unsigned index, uint16_t port, uint16_t shown_port,
		     unsigned cpu_milli)
{
	worker_t *worker = g_new0(worker_t, 1);
	mt_name_t address = mt_name("127.0.0.1");

	worker->index = index;
	g_snprintf(worker->id, sizeof(worker->id), "i-7f3a%04x", index);
	g_snprintf(worker->address, sizeof(worker->address), "127.0.0.1:%u",
		   shown_port);
	worker->born = unix_ms();
	worker->clock_from = now_ms();
	worker->cpu = cpu_milli;
	worker->next_end = 1;
	worker->runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_run);
	worker->barred =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	worker->ends = g_ptr_array_new();
	worker->holds = g_ptr_array_new();
	if (!mt_http_server_new(loop, &address, port, 1024u * 1024u, on_call,
				worker))
		return NULL;
	write_entry(worker);
	return worker;
}

void worker_tick(worker_t *worker)
{
	end_due_runs(worker);
	check_lease(worker);
	answer_holds(worker);
	if (worker->cut && worker->unlist_at && now_ms() >= worker->unlist_at) {
		/* After three intervals of silence. */
		store_put("keyed.servers", worker->id, NULL);
		record("worker %u: its entry is removed", worker->index);
		worker->unlist_at = 0;
	}
	if (!worker->cut && now_ms() >= worker->next_beat)
		write_entry(worker);
}

void worker_cut(worker_t *worker, bool cut)
{
	worker->cut = cut;
	worker->unlist_at = cut ? now_ms() + 3 * BEAT_MS : 0;
	for (guint i = 0; cut && i < worker->holds->len; i++) {
		hold_t *hold = worker->holds->pdata[i];

		pending_drop(hold->call);
		g_free(hold);
	}
	if (cut)
		g_ptr_array_set_size(worker->holds, 0);
	record("worker %u: %s", worker->index,
	       cut ? "cut off from everything" : "back");
}

void worker_restart(worker_t *worker)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, worker->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		run_t *run = value;

		run->event->ended_at = now_ms();
		run->event->how = "crashed";
		g_hash_table_iter_remove(&iter);
	}
	g_hash_table_remove_all(worker->barred);
	g_ptr_array_set_size(worker->ends, 0);
	worker->next_end = 1;
	worker->fence = 0;
	worker->due = 0;
	worker->life++;
	worker->sequence = 0;
	worker->born = unix_ms();
	worker->clock_from = now_ms();
	/* The entry of the new life follows with its first report. */
	worker->next_beat = now_ms() + ENTRY_LAG_MS;
	record("worker %u: restarted under the same id", worker->index);
}

unsigned worker_n_running(const worker_t *worker)
{
	return g_hash_table_size(worker->runs);
}

/* What the workers have seen. */

unsigned runs_now(const char *prefix)
{
	unsigned n = 0;

	for (guint i = 0; i < run_events->len; i++) {
		const run_event_t *event = run_events->pdata[i];

		n += !event->how && g_str_has_prefix(event->task, prefix);
	}
	return n;
}

unsigned runs_started(const char *prefix)
{
	unsigned n = 0;

	for (guint i = 0; i < run_events->len; i++) {
		const run_event_t *event = run_events->pdata[i];

		n += g_str_has_prefix(event->task, prefix);
	}
	return n;
}

unsigned runs_ended(const char *prefix, const char *how)
{
	unsigned n = 0;

	for (guint i = 0; i < run_events->len; i++) {
		const run_event_t *event = run_events->pdata[i];

		n += event->how && !strcmp(event->how, how) &&
		     g_str_has_prefix(event->task, prefix);
	}
	return n;
}

unsigned count_twice(void)
{
	GHashTable *last = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned n = 0;

	/* In the order of the starts. */
	for (guint i = 0; i < run_events->len; i++) {
		run_event_t *event = run_events->pdata[i];
		run_event_t *before = g_hash_table_lookup(last, event->task);

		if (before &&
		    (!before->how || before->ended_at > event->started_at)) {
			record("TWICE: %s run %u on worker %u runs beside run "
			       "%u on worker %u",
			       event->task, event->run, event->worker,
			       before->run, before->worker);
			n++;
		} else if (before && !strcmp(before->how, "done") &&
			   before->noted && !before->lapsed_before_noted) {
			record("TWICE: %s run %u started at %" G_GUINT64_FORMAT
			       ", run %u ended done at %" G_GUINT64_FORMAT
			       ", taken note of at %" G_GUINT64_FORMAT,
			       event->task, event->run, event->started_at,
			       before->run, before->ended_at, before->noted_at);
			n++;
		}
		/* A run that ended done stays the one to compare with. */
		if (!before || !before->how || strcmp(before->how, "done") ||
		    !before->noted)
			g_hash_table_insert(last, event->task, event);
	}
	g_hash_table_destroy(last);
	return n;
}
