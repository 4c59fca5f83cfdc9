/** @file fake_servers.c Backend servers in memory. */
#include "fleet/fake_servers.h"

#include <stdio.h>
#include <string.h>

#include "fleet/fake_store.h"

#define LATENCY_MS 2u
#define ANSWER_TIMEOUT_MS 350u
#define NO_CONNECTION_MS 350u
#define HOLD_MAX_MS 10000u
#define GANG_WAIT_MS 3000u
#define STOP_MAX_MS 400
#define REPORT_MS 1500u
#define TICK_MS 20u
#define LATE_MIN_MS 2000
#define LATE_MAX_MS 12000
#define FAIL_SHARE 0.02
#define EXPIRY_MS 4500u
#define TICKET_VALID_MS 3000u
#define DECISION_MS 60u
#define PER_SERVER_MS 3u

/** A task of a cancelled job may begin this long after the answer. */
#define CANCEL_MS 3000u

typedef struct mt_fake_run_t {
	mt_task_key_t key;
	char name[64];
	uint32_t run;
	mt_dag_resources_t need;
	bool gang;
	uint32_t members;
	mt_ms_t started_at;
	mt_ms_t work_from; /**< 0: the gang is not complete */
	mt_ms_t work_ms;
	mt_ms_t stop_at; /**< 0: not being stopped */
	bool fails;
} mt_fake_run_t;

typedef struct mt_fake_end_t {
	uint64_t number;
	mt_task_key_t key;
	char name[64];
	uint32_t run;
	mt_end_reason_t end;
	bool lapsed; /**< the server's lease ran out before it was noted */
} mt_fake_end_t;

typedef struct mt_fake_server_t {
	mt_fake_fleet_t *fleet;
	unsigned index;
	char id[24];
	char rack[16];
	bool up;
	bool cut;
	bool draining;
	bool stalled; /**< what runs here stands still */
	mt_ms_t leaves_at;
	int64_t born;
	mt_ms_t started_at;
	mt_ms_t silent_since;
	bool listed;
	uint64_t token;
	uint64_t due; /**< own clock */
	uint64_t ends_made;
	GPtrArray *runs;
	GPtrArray *ends;
	GHashTable *barred; /**< task name to highest run that ended */
	GPtrArray *polls;   /**< mt_fake_order_t of holds that wait */
} mt_fake_server_t;

struct mt_fake_fleet_t {
	mt_world_t *world;
	mt_fake_server_t *servers;
	unsigned count;
	GHashTable *jobs;	/**< id to packed job (GBytes) */
	GHashTable *forbidden;	/**< id to time */
	GHashTable *ended_done; /**< names of tasks that ended well */
	GHashTable *noted;	/**< names of tasks whose good end was noted */
	GHashTable *done;	/**< "job.occurrence.step" to tasks done */
	unsigned alone;
};

typedef enum mt_order_kind_t {
	MT_ORDER_START,
	MT_ORDER_STOP,
	MT_ORDER_HOLD,
} mt_order_kind_t;

/** Longest ticket, in bytes. */
#define TICKET_BYTES 96

typedef struct mt_fake_order_t {
	mt_fake_fleet_t *fleet;
	mt_world_host_t *host;
	mt_fake_server_t *server;
	mt_order_kind_t kind;
	mt_task_key_t key;
	uint32_t run;
	uint64_t token;
	uint64_t due;
	uint64_t last_seen;
	mt_ms_t wait_until;
	mt_ms_t give_up_at;
	mt_backend_cb cb;
	void *ctx;
	char ticket[TICKET_BYTES];
	int64_t born; /**< lifetime of the server that received it */
	mt_command_result_t result;
} mt_fake_order_t;

static void name_task(char *text, size_t size, const mt_task_key_t *key)
{
	snprintf(text, size, "%" G_GINT64_MODIFIER "x.%u.%u.%u", key->job,
		 key->occurrence, key->step, key->index);
}

static mt_ms_t now_of(const mt_fake_fleet_t *fleet)
{
	return mt_world_now(fleet->world);
}

/** A server's clock runs up to 2% slow. */
static uint64_t clock_of(const mt_fake_server_t *server)
{
	mt_ms_t up = now_of(server->fleet) - server->started_at;

	return 1 + up - up * (server->index % 3) / 100;
}

/* Reports. */

/** The report in the form that the fake directory decodes. */
static char *short_report(const mt_fake_server_t *server, unsigned left)
{
	return g_strdup_printf("%s %s %" G_GINT64_FORMAT " %u",
			       server->draining ? "draining" : "ready",
			       server->rack, server->born, left);
}

/** The report in the platform's form. */
static char *platform_report(const mt_fake_server_t *server, unsigned left)
{
	return g_strdup_printf(
		"{\"service\":\"service\",\"address\":\"127.0.0.1:%u\","
		"\"zone\":\"here\",\"state\":\"%s\",\"slots\":8,"
		"\"capacity\":{\"cpu\":64000,\"mem_mb\":262144,\"gpu\":8},"
		"\"labels\":[\"a\",\"%s\"],\"born\":%" G_GINT64_FORMAT
		",\"remaining_ms\":%u}",
		server->fleet->world->server_port + server->index,
		server->draining ? "draining" : "ready", server->rack,
		server->born, left);
}

static void report(mt_fake_server_t *server)
{
	mt_ms_t now = now_of(server->fleet);
	unsigned left = server->leaves_at > now
				? (unsigned)(server->leaves_at - now)
				: 0;
	char *text = server->fleet->world->store_port
			     ? platform_report(server, left)
			     : short_report(server, left);

	mt_fake_store_put(server->fleet->world->store, "keyed.servers",
			  server->id, mt_str_from(text));
	g_free(text);
	server->listed = true;
}

static void expire(mt_fake_server_t *server)
{
	if (!server->listed)
		return;
	mt_fake_store_put(server->fleet->world->store, "keyed.servers",
			  server->id, (mt_str_t){0});
	server->listed = false;
}

static void on_report(void *ctx)
{
	mt_fake_server_t *server = ctx;
	mt_ms_t now = now_of(server->fleet);

	if (server->fleet->world->store_down)
		return;
	if (server->up && !server->cut) {
		server->silent_since = now;
		if (!server->listed)
			report(server);
	} else if (now - server->silent_since > EXPIRY_MS) {
		expire(server);
	}
}

/* Ends. */

static char *step_name(uint64_t job, uint32_t occurrence, uint32_t step)
{
	return g_strdup_printf("%" G_GINT64_MODIFIER "x.%u.%u", job, occurrence,
			       step);
}

/** Counts each task once, however often its end has to be made. */
static void count_done(mt_fake_fleet_t *fleet, const mt_fake_run_t *run)
{
	char *name;
	guint done;

	if (!g_hash_table_add(fleet->ended_done, g_strdup(run->name)))
		return;
	name = step_name(run->key.job, run->key.occurrence, run->key.step);
	done = GPOINTER_TO_UINT(g_hash_table_lookup(fleet->done, name));
	g_hash_table_insert(fleet->done, name, GUINT_TO_POINTER(done + 1));
}

static void add_end(mt_fake_server_t *server, const mt_fake_run_t *run,
		    mt_end_reason_t end)
{
	mt_fake_end_t *made = g_new0(mt_fake_end_t, 1);
	guint barred = GPOINTER_TO_UINT(
		g_hash_table_lookup(server->barred, run->name));

	made->number = ++server->ends_made;
	made->key = run->key;
	g_strlcpy(made->name, run->name, sizeof(made->name));
	made->run = run->run;
	made->end = end;
	g_ptr_array_add(server->ends, made);
	g_hash_table_insert(server->barred, g_strdup(run->name),
			    GUINT_TO_POINTER(MAX(barred, run->run)));
	if (end == MT_END_DONE)
		count_done(server->fleet, run);
	if (end == MT_END_GANG_INCOMPLETE)
		server->fleet->alone++;
}

static void end_run(mt_fake_server_t *server, guint at, mt_end_reason_t end)
{
	mt_fake_run_t *run = server->runs->pdata[at];

	add_end(server, run, end);
	g_ptr_array_remove_index_fast(server->runs, at);
	g_free(run);
}

static bool same_gang(const mt_fake_run_t *a, const mt_fake_run_t *b)
{
	return a->gang && a->key.job == b->key.job &&
	       a->key.occurrence == b->key.occurrence &&
	       a->key.step == b->key.step && a->run == b->run;
}

/** Ends every other member of the gang. */
static void end_gang(mt_fake_fleet_t *fleet, const mt_fake_run_t *first,
		     mt_end_reason_t end)
{
	for (unsigned i = 0; i < fleet->count; i++) {
		mt_fake_server_t *server = &fleet->servers[i];

		for (guint k = server->runs->len; k-- > 0;) {
			if (same_gang(server->runs->pdata[k], first))
				end_run(server, k, end);
		}
	}
}

static void finish_run(mt_fake_server_t *server, guint at, mt_end_reason_t end)
{
	mt_fake_run_t copy = *(mt_fake_run_t *)server->runs->pdata[at];

	end_run(server, at, end);
	if (copy.gang && copy.work_from)
		end_gang(server->fleet, &copy,
			 end == MT_END_DONE ? MT_END_DONE : MT_END_GANG_BROKEN);
}

/** Begins the work of a gang whose members are all present. */
static void check_gang(mt_fake_fleet_t *fleet, const mt_fake_run_t *member)
{
	uint32_t present = 0;

	for (unsigned i = 0; i < fleet->count; i++) {
		for (guint k = 0; k < fleet->servers[i].runs->len; k++)
			present += same_gang(fleet->servers[i].runs->pdata[k],
					     member);
	}
	if (present < member->members)
		return;
	for (unsigned i = 0; i < fleet->count; i++) {
		for (guint k = 0; k < fleet->servers[i].runs->len; k++) {
			mt_fake_run_t *run = fleet->servers[i].runs->pdata[k];

			if (same_gang(run, member))
				run->work_from = now_of(fleet);
		}
	}
}

static void tick_run(mt_fake_server_t *server, guint at)
{
	mt_fake_run_t *run = server->runs->pdata[at];
	mt_ms_t now = now_of(server->fleet);

	if (server->stalled && run->work_from)
		run->work_from += TICK_MS;
	if (run->stop_at && now >= run->stop_at)
		finish_run(server, at, MT_END_STOPPED);
	else if (!run->work_from && now - run->started_at > GANG_WAIT_MS)
		finish_run(server, at, MT_END_GANG_INCOMPLETE);
	else if (run->work_from && now - run->work_from >= run->work_ms)
		finish_run(server, at,
			   run->fails ? MT_END_FAILED : MT_END_DONE);
}

static void answer_polls(mt_fake_server_t *server);

static void on_tick(void *ctx)
{
	mt_fake_server_t *server = ctx;

	if (!server->up)
		return;
	if (clock_of(server) >= server->due) {
		while (server->runs->len)
			finish_run(server, 0, MT_END_LEASE_EXPIRED);
		for (guint i = 0; i < server->ends->len; i++)
			((mt_fake_end_t *)server->ends->pdata[i])->lapsed =
				true;
	}
	for (guint i = server->runs->len; i-- > 0;) {
		if (i < server->runs->len)
			tick_run(server, i);
	}
	answer_polls(server);
}

/* Audits. */

static void audit_once(mt_fake_fleet_t *fleet, const mt_fake_run_t *run)
{
	if (g_hash_table_contains(fleet->noted, run->name))
		mt_world_breach(fleet->world, "%s started after its noted end",
				run->name);
	for (unsigned i = 0; i < fleet->count; i++) {
		const mt_fake_server_t *server = &fleet->servers[i];

		for (guint k = 0; k < server->runs->len; k++) {
			const mt_fake_run_t *other = server->runs->pdata[k];

			if (!strcmp(other->name, run->name))
				mt_world_breach(fleet->world,
						"%s runs twice: %u on %s, %u",
						run->name, other->run,
						server->id, run->run);
		}
	}
}

static void audit_order(mt_fake_fleet_t *fleet, const mt_fake_run_t *run,
			const MtDag__Job *job)
{
	const MtDag__Step *step = job->steps[run->key.step];

	for (size_t i = 0; i < step->n_after; i++) {
		char *name = step_name(run->key.job, run->key.occurrence,
				       step->after[i]);
		guint done = GPOINTER_TO_UINT(
			g_hash_table_lookup(fleet->done, name));

		if (done < job->steps[step->after[i]]->count)
			mt_world_breach(fleet->world,
					"%s started before step %u was done",
					run->name, step->after[i]);
		g_free(name);
	}
}

static void audit_forbidden(mt_fake_fleet_t *fleet, const mt_fake_run_t *run)
{
	mt_ms_t *from = g_hash_table_lookup(fleet->forbidden, &run->key.job);

	if (from && now_of(fleet) > *from + CANCEL_MS)
		mt_world_breach(fleet->world, "%s started though cancelled",
				run->name);
}

/**
 * The end was noted: the task must not begin again, unless the lease had run
 * out in between, when others could take the run for lost.
 */
static void note_end(mt_fake_fleet_t *fleet, const mt_fake_end_t *end)
{
	if (end->end == MT_END_DONE && !end->lapsed)
		g_hash_table_add(fleet->noted, g_strdup(end->name));
}

/* Orders. */

/** What was handed in; NULL when it is not known. */
static MtDag__Job *job_of(mt_fake_fleet_t *fleet, uint64_t id)
{
	GBytes *bytes = g_hash_table_lookup(fleet->jobs, &id);
	mt_str_t view;

	if (!bytes)
		return NULL;
	view = mt_bytes_view(bytes);
	return mt_dag__job__unpack(NULL, view.len, (const uint8_t *)view.data);
}

/**
 * Callers from outside hand in unseen: when the first start of a job is sent,
 * its record says what was asked for. The record of an ended job does not.
 */
static void learn_job(mt_fake_fleet_t *fleet, uint64_t id)
{
	mt_record_key_t key = mt_record_key(MT_RECORD_JOB, id);
	MtDag__Job *job;
	mt_str_t view;

	if (!fleet->world->store_port ||
	    g_hash_table_contains(fleet->jobs, &id))
		return;
	view = mt_fake_store_get(fleet->world->store, MT_RECORDS_TOPIC,
				 key.text);
	if (!view.len)
		return;
	job = mt_dag__job__unpack(NULL, view.len, (const uint8_t *)view.data);
	if (job && job->n_steps)
		mt_fake_fleet_register_job(fleet, job);
	if (job)
		mt_dag__job__free_unpacked(job, NULL);
}

/* Policy. */

/** Two servers in three may run a step. */
static bool may_run(const mt_fake_server_t *server, const mt_task_key_t *step)
{
	return (server->index + step->job + step->step) % 3 != 0;
}

/** A ticket names step, server, lifetime and the end of its validity. */
static void make_ticket(char *ticket, const mt_fake_server_t *server,
			const mt_task_key_t *step)
{
	snprintf(ticket, TICKET_BYTES,
		 "%" G_GINT64_MODIFIER "x.%u.%u %u %" G_GINT64_FORMAT
		 " %" G_GUINT64_FORMAT,
		 step->job, step->occurrence, step->step, server->index,
		 server->born, now_of(server->fleet) + TICKET_VALID_MS);
}

static bool is_ticket_good(const mt_fake_server_t *server,
			   const mt_fake_order_t *order)
{
	mt_task_key_t step = {0};
	unsigned index = 0;
	gint64 born = 0;
	guint64 until = 0;

	return sscanf(order->ticket,
		      "%" G_GINT64_MODIFIER "x.%u.%u %u %" G_GINT64_MODIFIER
		      "d %" G_GINT64_MODIFIER "u",
		      &step.job, &step.occurrence, &step.step, &index, &born,
		      &until) == 6 &&
	       step.job == order->key.job &&
	       step.occurrence == order->key.occurrence &&
	       step.step == order->key.step && index == server->index &&
	       born == server->born && until > now_of(server->fleet);
}

typedef struct mt_fake_question_t {
	mt_world_host_t *host;
	mt_task_key_t step;
	mt_name_t *servers;
	size_t n_servers;
	mt_advice_cb cb;
	void *ctx;
} mt_fake_question_t;

static void answer_question(void *ctx)
{
	mt_fake_question_t *question = ctx;
	mt_fake_fleet_t *fleet = question->host->world->fleet;
	mt_advice_answer_t answer = {MT_COMMAND_DONE, NULL, 0, TICKET_VALID_MS};
	mt_advice_grant_t *allowed_servers =
		g_new0(mt_advice_grant_t, question->n_servers + 1);
	char(*tickets)[TICKET_BYTES] =
		g_malloc0((question->n_servers + 1) * TICKET_BYTES);

	for (size_t i = 0; i < question->n_servers; i++) {
		unsigned index = 0;

		sscanf(question->servers[i].text, "server-%u", &index);
		if (!may_run(&fleet->servers[index], &question->step))
			continue;
		make_ticket(tickets[i], &fleet->servers[index],
			    &question->step);
		allowed_servers[answer.n_allowed_servers].server =
			question->servers[i];
		allowed_servers[answer.n_allowed_servers++].ticket =
			mt_str_from(tickets[i]);
	}
	answer.allowed_servers = allowed_servers;
	if (mt_world_chance(question->host->world, 0.05))
		answer = (mt_advice_answer_t){MT_COMMAND_BUSY, NULL, 0, 0};
	question->cb(question->ctx, &answer);
	g_free(allowed_servers);
	g_free(tickets);
	g_free(question->servers);
	g_free(question);
}

static void request_advice(void *self, const mt_advice_request_t *asked,
			   mt_advice_cb cb, void *ctx)
{
	mt_fake_question_t *question = g_new0(mt_fake_question_t, 1);

	question->host = self;
	question->step = asked->step;
	question->servers = g_memdup2(
		asked->servers, asked->n_servers * sizeof(*asked->servers));
	question->n_servers = asked->n_servers;
	question->cb = cb;
	question->ctx = ctx;
	mt_world_schedule_on_host(
		question->host, DECISION_MS + PER_SERVER_MS * asked->n_servers,
		answer_question, question);
}

static bool has_room(const mt_fake_server_t *server,
		     const mt_dag_resources_t *need)
{
	mt_dag_resources_t room = {64000, 262144, 8};

	for (guint i = 0; i < server->runs->len; i++)
		mt_dag_resources_subtract(
			&room,
			&((mt_fake_run_t *)server->runs->pdata[i])->need);
	return mt_dag_resources_fit(need, &room);
}

static void extend(mt_fake_server_t *server, uint64_t due)
{
	server->due =
		MAX(server->due, MIN(due, clock_of(server) + HOLD_MAX_MS));
}

static mt_fake_run_t *find_run(mt_fake_server_t *server, const char *name,
			       guint *at)
{
	for (guint i = 0; i < server->runs->len; i++) {
		mt_fake_run_t *run = server->runs->pdata[i];

		if (!strcmp(run->name, name)) {
			*at = i;
			return run;
		}
	}
	return NULL;
}

static void begin_run(mt_fake_server_t *server, const mt_fake_order_t *order,
		      const char *name, const MtDag__Job *job)
{
	mt_fake_fleet_t *fleet = server->fleet;
	const MtDag__Step *step = job->steps[order->key.step];
	mt_fake_run_t *run = g_new0(mt_fake_run_t, 1);

	run->key = order->key;
	g_strlcpy(run->name, name, sizeof(run->name));
	run->run = order->run;
	run->need =
		(mt_dag_resources_t){step->cpu_milli, step->mem_mb, step->gpu};
	run->gang = step->gang;
	run->members = step->count;
	run->started_at = now_of(fleet);
	run->work_from = step->gang ? 0 : run->started_at;
	run->work_ms = step->estimate_ms;
	run->fails = mt_world_chance(fleet->world, FAIL_SHARE);
	audit_once(fleet, run);
	audit_order(fleet, run, job);
	audit_forbidden(fleet, run);
	g_ptr_array_add(server->runs, run);
	if (run->gang)
		check_gang(fleet, run);
}

static mt_command_result_t start_run(mt_fake_order_t *order)
{
	mt_fake_server_t *server = order->server;
	char name[64];
	guint at;
	mt_fake_run_t *run;
	MtDag__Job *job = job_of(server->fleet, order->key.job);
	const MtDag__Step *step;
	mt_dag_resources_t need;

	name_task(name, sizeof(name), &order->key);
	if (!job) {
		mt_world_breach(server->fleet->world, "%s was never asked for",
				name);
		return MT_COMMAND_REJECTED;
	}
	step = job->steps[order->key.step];
	need = (mt_dag_resources_t){step->cpu_milli, step->mem_mb, step->gpu};
	run = find_run(server, name, &at);
	if (order->due <= clock_of(server)) {
		mt_dag__job__free_unpacked(job, NULL);
		return MT_COMMAND_LEASE_OVER;
	}
	if (order->run <=
	    GPOINTER_TO_UINT(g_hash_table_lookup(server->barred, name))) {
		mt_dag__job__free_unpacked(job, NULL);
		return MT_COMMAND_STALE_RUN;
	}
	extend(server, order->due);
	if (run && run->run == order->run) {
		mt_dag__job__free_unpacked(job, NULL);
		return MT_COMMAND_DONE;
	}
	if (!strcmp(job->queue, "advised") && !is_ticket_good(server, order)) {
		mt_dag__job__free_unpacked(job, NULL);
		return MT_COMMAND_NO_TICKET;
	}
	if (!has_room(server, &need)) {
		mt_dag__job__free_unpacked(job, NULL);
		return MT_COMMAND_NO_ROOM;
	}
	begin_run(server, order, name, job);
	mt_dag__job__free_unpacked(job, NULL);
	return MT_COMMAND_DONE;
}

static mt_command_result_t stop_run(mt_fake_order_t *order)
{
	mt_fake_server_t *server = order->server;
	mt_world_t *world = server->fleet->world;
	char name[64];
	guint at;
	guint barred;
	mt_fake_run_t *run;

	name_task(name, sizeof(name), &order->key);
	run = find_run(server, name, &at);
	barred = GPOINTER_TO_UINT(g_hash_table_lookup(server->barred, name));
	if (run && run->run <= order->run && !run->stop_at)
		run->stop_at =
			mt_world_now(world) +
			(mt_ms_t)g_rand_int_range(world->rand, 10, STOP_MAX_MS);
	if (!run && order->run > barred)
		g_hash_table_insert(server->barred, g_strdup(name),
				    GUINT_TO_POINTER(order->run));
	return MT_COMMAND_DONE;
}

static void forget_ends(mt_fake_server_t *server, uint64_t last_seen)
{
	while (server->ends->len) {
		mt_fake_end_t *end = server->ends->pdata[0];

		if (end->number > last_seen)
			break;
		note_end(server->fleet, end);
		g_ptr_array_remove_index(server->ends, 0);
		g_free(end);
	}
}

static mt_command_result_t carry_out(mt_fake_order_t *order)
{
	mt_fake_server_t *server = order->server;

	if (order->token < server->token)
		return MT_COMMAND_FENCED;
	server->token = order->token;
	if (order->kind == MT_ORDER_START)
		return start_run(order);
	if (order->kind == MT_ORDER_STOP)
		return stop_run(order);
	forget_ends(server, order->last_seen);
	if (order->due)
		extend(server, order->due);
	return MT_COMMAND_DONE;
}

/* Answers. */

static void deliver(void *ctx)
{
	mt_fake_order_t *order = ctx;
	mt_backend_answer_t answer = {0};

	answer.result = order->result;
	order->cb(order->ctx, &answer);
	g_free(order);
}

/** An answer with the lists as they were when it was made. */
typedef struct mt_fake_lists_t {
	mt_fake_order_t *order;
	uint64_t clock_ms;
	int64_t born;
	GArray *running;
	GArray *ended;
} mt_fake_lists_t;

static void deliver_lists(void *ctx)
{
	mt_fake_lists_t *lists = ctx;
	mt_backend_answer_t answer = {0};

	answer.result = lists->order->result;
	answer.clock_ms = lists->clock_ms;
	answer.born_ms = lists->born;
	answer.running = (const mt_running_task_t *)lists->running->data;
	answer.n_running = lists->running->len;
	answer.ended = (const mt_ended_task_t *)lists->ended->data;
	answer.n_ended = lists->ended->len;
	lists->order->cb(lists->order->ctx, &answer);
	g_array_unref(lists->running);
	g_array_unref(lists->ended);
	g_free(lists->order);
	g_free(lists);
}

static uint32_t percent_of(const mt_fake_server_t *server,
			   const mt_fake_run_t *run)
{
	mt_ms_t now = now_of(server->fleet);

	if (!run->work_from || !run->work_ms)
		return 0;
	return (uint32_t)MIN(100, (now - run->work_from) * 100 / run->work_ms);
}

static void answer(mt_fake_order_t *order)
{
	mt_fake_server_t *server = order->server;
	mt_fake_lists_t *lists = g_new0(mt_fake_lists_t, 1);

	lists->order = order;
	lists->clock_ms = clock_of(server);
	lists->born = server->born;
	lists->running = g_array_new(FALSE, TRUE, sizeof(mt_running_task_t));
	lists->ended = g_array_new(FALSE, TRUE, sizeof(mt_ended_task_t));
	for (guint i = 0; order->kind == MT_ORDER_HOLD && i < server->runs->len;
	     i++) {
		const mt_fake_run_t *run = server->runs->pdata[i];
		mt_running_task_t out = {
			run->key, run->run, {0}, percent_of(server, run)};

		g_array_append_val(lists->running, out);
	}
	for (guint i = 0; order->kind == MT_ORDER_HOLD && i < server->ends->len;
	     i++) {
		const mt_fake_end_t *end = server->ends->pdata[i];
		mt_ended_task_t out = {
			end->number, end->key, end->run, end->end, {0}};

		g_array_append_val(lists->ended, out);
	}
	mt_world_schedule_on_host(order->host,
				  LATENCY_MS + order->host->index * 5,
				  deliver_lists, lists);
}

static void fail(mt_fake_order_t *order, mt_command_result_t result,
		 mt_ms_t delay)
{
	order->result = result;
	mt_world_schedule_on_host(order->host, delay, deliver, order);
}

static bool has_new_end(const mt_fake_server_t *server,
			const mt_fake_order_t *order)
{
	return server->ends->len > 0 &&
	       ((mt_fake_end_t *)server->ends->pdata[server->ends->len - 1])
			       ->number > order->last_seen;
}

static void answer_polls(mt_fake_server_t *server)
{
	for (guint i = server->polls->len; i-- > 0;) {
		mt_fake_order_t *order = server->polls->pdata[i];

		if (!has_new_end(server, order) &&
		    now_of(server->fleet) < order->wait_until)
			continue;
		g_ptr_array_remove_index_fast(server->polls, i);
		if (server->cut || order->host->servers_unreachable)
			fail(order, MT_COMMAND_UNKNOWN, ANSWER_TIMEOUT_MS);
		else
			answer(order);
	}
}

static void on_late(void *ctx)
{
	mt_fake_order_t *order = ctx;

	/* What a process has received ends with it. */
	if (order->server->up && order->server->born == order->born)
		carry_out(order);
	g_free(order);
}

/** True when the order is lost; it may be carried out later. */
static bool lose_order(mt_fake_order_t *order)
{
	mt_world_t *world = order->fleet->world;

	if (!mt_world_chance(world, world->order_lost))
		return false;
	if (mt_world_chance(world, world->order_late))
		mt_timers_after(world->timers,
				(mt_ms_t)g_rand_int_range(
					world->rand, LATE_MIN_MS, LATE_MAX_MS),
				on_late, g_memdup2(order, sizeof(*order)));
	else
		carry_out(order);
	return true;
}

static void on_arrival(void *ctx)
{
	mt_fake_order_t *order = ctx;
	mt_fake_server_t *server = order->server;
	mt_ms_t now = now_of(order->fleet);
	mt_ms_t rest = order->give_up_at - now;

	if (server->cut || order->host->servers_unreachable) {
		fail(order, MT_COMMAND_UNKNOWN, rest);
		return;
	}
	if (!server->up) {
		fail(order, MT_COMMAND_NOT_SENT, LATENCY_MS);
		return;
	}
	if (mt_world_chance(order->fleet->world,
			    order->fleet->world->order_unsent)) {
		fail(order, MT_COMMAND_NOT_SENT, NO_CONNECTION_MS);
		return;
	}
	if (order->kind != MT_ORDER_HOLD &&
	    mt_world_chance(order->fleet->world,
			    order->fleet->world->order_busy)) {
		fail(order, MT_COMMAND_BUSY, LATENCY_MS);
		return;
	}
	order->born = server->born;
	if (lose_order(order)) {
		fail(order, MT_COMMAND_UNKNOWN, rest);
		return;
	}
	order->result = carry_out(order);
	if (order->kind == MT_ORDER_HOLD && order->result == MT_COMMAND_DONE &&
	    order->wait_until > now && !has_new_end(server, order))
		g_ptr_array_add(server->polls, order);
	else
		answer(order);
}

static mt_fake_order_t *new_order(mt_world_host_t *host,
				  const mt_backend_target_t *target,
				  mt_order_kind_t kind, mt_backend_cb cb,
				  void *ctx)
{
	mt_fake_order_t *order = g_new0(mt_fake_order_t, 1);
	unsigned index = 0;

	sscanf(target->id.text, "server-%u", &index);
	order->fleet = host->world->fleet;
	order->host = host;
	order->server = &order->fleet->servers[index];
	order->kind = kind;
	order->cb = cb;
	order->ctx = ctx;
	order->give_up_at = now_of(order->fleet) + ANSWER_TIMEOUT_MS;
	mt_timers_after(host->world->timers, LATENCY_MS, on_arrival, order);
	return order;
}

static void start(void *self, const mt_backend_target_t *target,
		  const mt_start_command_t *command, mt_backend_cb cb,
		  void *ctx)
{
	mt_fake_order_t *order =
		new_order(self, target, MT_ORDER_START, cb, ctx);

	order->key = command->task;
	order->run = command->run;
	order->token = command->term;
	learn_job(order->fleet, command->task.job);
	order->due = command->due_ms;
	if (command->ticket)
		g_strlcpy(order->ticket, command->ticket,
			  sizeof(order->ticket));
}

static void stop(void *self, const mt_backend_target_t *target,
		 const mt_stop_command_t *command, mt_backend_cb cb, void *ctx)
{
	mt_fake_order_t *order =
		new_order(self, target, MT_ORDER_STOP, cb, ctx);

	order->key = command->task;
	order->run = command->run;
	order->token = command->term;
}

static void hold(void *self, const mt_backend_target_t *target,
		 const mt_hold_command_t *command, mt_backend_cb cb, void *ctx)
{
	mt_fake_order_t *order =
		new_order(self, target, MT_ORDER_HOLD, cb, ctx);

	order->token = command->term;
	order->due = command->due_ms;
	order->last_seen = command->last_seen;
	order->wait_until = now_of(order->fleet) + command->wait_ms;
	order->give_up_at += command->wait_ms;
}

void mt_fake_fleet_bind(mt_fake_fleet_t *fleet, mt_world_host_t *host)
{
	(void)fleet;
	host->backend_port = (mt_backend_port_t){host, start, stop, hold};
	host->advice_port = (mt_advice_port_t){host, request_advice};
}

/* Life of servers. */

static void come_up(void *ctx)
{
	mt_fake_server_t *server = ctx;

	server->up = true;
	server->draining = false;
	server->leaves_at = 0;
	server->started_at = now_of(server->fleet);
	server->born = (int64_t)server->started_at;
	server->token = 0;
	server->due = 0;
	server->ends_made = 0;
	if (!server->cut)
		report(server);
}

void mt_fake_fleet_crash(mt_fake_fleet_t *fleet, unsigned index,
			 mt_ms_t down_ms)
{
	mt_fake_server_t *server = &fleet->servers[index];

	if (!server->up)
		return;
	for (guint i = server->runs->len; i-- > 0;) {
		mt_fake_run_t copy = *(mt_fake_run_t *)server->runs->pdata[i];

		g_ptr_array_remove_index_fast(server->runs, i);
		if (copy.gang && copy.work_from) {
			end_gang(fleet, &copy, MT_END_GANG_BROKEN);
			i = server->runs->len;
		}
	}
	g_ptr_array_set_size(server->ends, 0);
	g_hash_table_remove_all(server->barred);
	answer_polls(server);
	while (server->polls->len) {
		fail(server->polls->pdata[0], MT_COMMAND_UNKNOWN, LATENCY_MS);
		g_ptr_array_remove_index_fast(server->polls, 0);
	}
	server->up = false;
	mt_timers_after(fleet->world->timers, down_ms, come_up, server);
}

void mt_fake_fleet_set_unreachable(mt_fake_fleet_t *fleet, unsigned server,
				   bool cut)
{
	fleet->servers[server].cut = cut;
}

void mt_fake_fleet_set_stalled(mt_fake_fleet_t *fleet, unsigned server,
			       bool stalled)
{
	fleet->servers[server].stalled = stalled;
}

void mt_fake_fleet_heal(mt_fake_fleet_t *fleet)
{
	for (unsigned i = 0; i < fleet->count; i++) {
		fleet->servers[i].stalled = false;
		if (fleet->servers[i].up)
			fleet->servers[i].cut = false;
	}
}

typedef struct mt_leave_t {
	mt_fake_fleet_t *fleet;
	unsigned server;
} mt_leave_t;

static void leave(void *ctx)
{
	mt_leave_t *leaving = ctx;

	mt_fake_fleet_crash(leaving->fleet, leaving->server, 3000);
	expire(&leaving->fleet->servers[leaving->server]);
	g_free(leaving);
}

void mt_fake_fleet_drain(mt_fake_fleet_t *fleet, unsigned index,
			 mt_ms_t leaves_after)
{
	mt_leave_t *leaving = g_new0(mt_leave_t, 1);

	if (!fleet->servers[index].up) {
		g_free(leaving);
		return;
	}
	fleet->servers[index].draining = true;
	fleet->servers[index].leaves_at = now_of(fleet) + leaves_after;
	report(&fleet->servers[index]);
	leaving->fleet = fleet;
	leaving->server = index;
	mt_timers_after(fleet->world->timers, leaves_after, leave, leaving);
}

mt_fake_fleet_t *mt_fake_fleet_new(mt_world_t *world, unsigned count)
{
	mt_fake_fleet_t *fleet = g_new0(mt_fake_fleet_t, 1);

	world->fleet = fleet;
	fleet->world = world;
	fleet->count = count;
	fleet->servers = g_new0(mt_fake_server_t, count);
	fleet->jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    (GDestroyNotify)g_bytes_unref);
	fleet->forbidden = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, g_free);
	fleet->ended_done =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->noted =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->done =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (unsigned i = 0; i < count; i++) {
		mt_fake_server_t *server = &fleet->servers[i];

		server->fleet = fleet;
		server->index = i;
		snprintf(server->id, sizeof(server->id), "server-%u", i);
		snprintf(server->rack, sizeof(server->rack), "r%u", i / 4);
		server->runs = g_ptr_array_new();
		server->ends = g_ptr_array_new();
		server->polls = g_ptr_array_new();
		server->barred = g_hash_table_new_full(g_str_hash, g_str_equal,
						       g_free, NULL);
		come_up(server);
		mt_timers_every(world->timers, TICK_MS, on_tick, server);
		mt_timers_every(world->timers, REPORT_MS, on_report, server);
	}
	return fleet;
}

void mt_fake_fleet_register_job(mt_fake_fleet_t *fleet, const MtDag__Job *job)
{
	g_hash_table_insert(fleet->jobs, g_memdup2(&job->id, sizeof(job->id)),
			    mt_dag_pack(&job->base));
}

void mt_fake_fleet_forbid_starts(mt_fake_fleet_t *fleet, uint64_t job,
				 mt_ms_t from)
{
	g_hash_table_insert(fleet->forbidden, g_memdup2(&job, sizeof(job)),
			    g_memdup2(&from, sizeof(from)));
}

unsigned mt_fake_fleet_incomplete_gangs(const mt_fake_fleet_t *fleet)
{
	return fleet->alone;
}
