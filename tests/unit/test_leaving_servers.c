/**
 * @file test_leaving_servers.c
 * Tests of starts on servers that leave, have left, or answer no start
 * (review/15: a start without an answer was repeated, and took effect 5 s after
 * its server had reported that it drains).
 */
#include <CUnit/Basic.h>

#include "platform/backend_json.h"
#include "unit/engine_fixture.h"
#include "unit/fake_topic.h"
#include "unit/tests.h"

#define TICK_MS 100u

/** A command without an answer. */
typedef struct mt_kept_command_t {
	unsigned n; /**< commands so far */
	mt_backend_cb cb;
	void *ctx;
} mt_kept_command_t;

static mt_kept_command_t last_start;
static mt_kept_command_t last_stop;

static void keep(mt_kept_command_t *kept, mt_backend_cb cb, void *ctx)
{
	g_free(kept->ctx);
	*kept = (mt_kept_command_t){kept->n + 1, cb, ctx};
}

static void keep_start(void *self, const mt_backend_target_t *target,
		       const mt_start_command_t *command, mt_backend_cb cb,
		       void *ctx)
{
	keep(&last_start, cb, ctx);
}

static void keep_stop(void *self, const mt_backend_target_t *target,
		      const mt_stop_command_t *command, mt_backend_cb cb,
		      void *ctx)
{
	keep(&last_stop, cb, ctx);
}

static void answer(mt_kept_command_t *kept, mt_command_result_t result)
{
	mt_backend_answer_t answer = {.result = result};
	mt_backend_cb cb = kept->cb;
	void *ctx = kept->ctx;

	CU_ASSERT_PTR_NOT_NULL_FATAL(ctx);
	kept->ctx = NULL;
	cb(ctx, &answer);
}

static void open_fixture(mt_engine_fixture_t *fixture)
{
	mt_engine_fixture_open(fixture);
	last_start = last_stop = (mt_kept_command_t){0};
	fixture->port.start = keep_start;
	fixture->port.stop = keep_stop;
	fixture->engine->deps.timings.lease_ms = 6000;
	for (unsigned i = 0; i < MT_ENGINE_FIXTURE_SERVERS; i++)
		fixture->servers[i]->answered_at = 10000;
}

static void close_fixture(mt_engine_fixture_t *fixture)
{
	g_free(last_start.ctx);
	g_free(last_stop.ctx);
	mt_engine_fixture_close(fixture);
}

/** A task whose placement on the first server is stored. */
static mt_dag_task_t *place(mt_engine_fixture_t *fixture, uint64_t job)
{
	MtDag__Step step = mt_engine_fixture_step(1);
	mt_dag_task_t *task;

	step.gpu = 1;
	task = mt_task_of(mt_first_step(mt_engine_fixture_add_job_of(
				  fixture, job, 2, &step, 0)),
			  0);
	mt_dag_task_place(task, fixture->servers[0], 1, 10000);
	task->placement_stored = true;
	return task;
}

/** Ways in which a server leaves. */
typedef void (*mt_leave_cb)(mt_backend_t *server);

static void drain(mt_backend_t *server)
{
	server->info.draining = true;
}

static void unlist(mt_backend_t *server)
{
	server->listed = false;
}

static const mt_leave_cb ways[] = {drain, unlist};

/** Lets the server answer the oldest hold without runs. */
static void report_nothing(mt_engine_fixture_t *fixture)
{
	mt_backend_answer_t answer = {.result = MT_COMMAND_DONE,
				      .clock_ms = 1000};

	CU_ASSERT_TRUE_FATAL(fixture->holds->len > 0);
	mt_engine_fixture_answer_hold(fixture, &answer);
}

static void tick_after(mt_engine_fixture_t *fixture, mt_backend_t *server,
		       mt_ms_t ms)
{
	mt_engine_fixture_advance(fixture, ms);
	mt_commands_tick(fixture->engine, server);
}

/** Guards against: a placement was being stored while its server left. */
static void a_first_start_is_not_sent_to_a_server_that_leaves(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(ways); i++) {
		mt_engine_fixture_t fixture;
		mt_dag_task_t *task;

		open_fixture(&fixture);
		task = place(&fixture, 1);
		ways[i](fixture.servers[0]);
		mt_commands_start(fixture.engine, task);
		CU_ASSERT_EQUAL(last_start.n, 0);
		CU_ASSERT_EQUAL(last_stop.n, 0);
		CU_ASSERT_EQUAL(task->phase, MT_TASK_PHASE_WAITING);
		close_fixture(&fixture);
	}
}

/**
 * Guards against: a start without an answer is repeated after its server has
 * reported that it leaves; or the task is started elsewhere while that start
 * may still take effect. It is certain not to once its stop is confirmed and a
 * later report does not list the run.
 */
static void a_start_is_not_repeated_to_a_server_that_leaves(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(ways); i++) {
		mt_engine_fixture_t fixture;
		mt_backend_t *server;
		mt_dag_task_t *task;

		open_fixture(&fixture);
		server = fixture.servers[0];
		task = place(&fixture, 1);
		mt_commands_start(fixture.engine, task);
		answer(&last_start, MT_COMMAND_UNKNOWN);
		ways[i](server);
		tick_after(&fixture, server, 500);
		CU_ASSERT_EQUAL(last_start.n, 1);
		CU_ASSERT_EQUAL(last_stop.n, 1);
		CU_ASSERT_PTR_EQUAL(task->server, server);
		tick_after(&fixture, server, 100);
		/* The hold was sent before the stop was confirmed. */
		answer(&last_stop, MT_COMMAND_DONE);
		mt_engine_fixture_advance(&fixture, 100);
		report_nothing(&fixture);
		CU_ASSERT_PTR_EQUAL(task->server, server);
		tick_after(&fixture, server, 100);
		report_nothing(&fixture);
		CU_ASSERT_EQUAL(task->phase, MT_TASK_PHASE_WAITING);
		CU_ASSERT_PTR_NULL(task->server);
		CU_ASSERT_EQUAL(last_start.n, 1);
		close_fixture(&fixture);
	}
}

/** A start that was answered cannot take effect: its task waits at once. */
static void a_start_that_was_refused_is_withdrawn_at_once(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_task_t *task;

	open_fixture(&fixture);
	task = place(&fixture, 1);
	mt_commands_start(fixture.engine, task);
	answer(&last_start, MT_COMMAND_FENCED);
	drain(fixture.servers[0]);
	tick_after(&fixture, fixture.servers[0], 300);
	CU_ASSERT_EQUAL(task->phase, MT_TASK_PHASE_WAITING);
	CU_ASSERT_EQUAL(last_stop.n, 0);
	close_fixture(&fixture);
}

/** Guards against: the other members of a gang wait for one that never starts.
 */
static void a_gang_goes_on_as_a_whole(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_step_t *gang;

	open_fixture(&fixture);
	gang = mt_first_step(mt_engine_fixture_add_job(&fixture, 1, 2, 2));
	for (unsigned i = 0; i < 2; i++) {
		mt_dag_task_place(mt_task_of(gang, i), fixture.servers[i], 1,
				  10000);
		mt_task_of(gang, i)->placement_stored = true;
		mt_commands_start(fixture.engine, mt_task_of(gang, i));
		answer(&last_start, i ? MT_COMMAND_UNKNOWN : MT_COMMAND_DONE);
	}
	drain(fixture.servers[1]);
	tick_after(&fixture, fixture.servers[1], 300);
	CU_ASSERT_EQUAL(last_start.n, 2);
	CU_ASSERT_EQUAL(last_stop.n, 2);
	CU_ASSERT_TRUE(mt_task_of(gang, 0)->stop_wanted);
	CU_ASSERT_TRUE(mt_task_of(gang, 1)->stop_wanted);
	close_fixture(&fixture);
}

/** An earlier leader's placement is not started anew: the report tells. */
static void a_restored_placement_is_not_started(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_task_t *task;

	open_fixture(&fixture);
	task = place(&fixture, 1);
	task->restored = true;
	fixture.servers[0]->leases_expire_at = 99999;
	drain(fixture.servers[0]);
	tick_after(&fixture, fixture.servers[0], 100);
	report_nothing(&fixture);
	CU_ASSERT_EQUAL(last_start.n, 0);
	CU_ASSERT_EQUAL(task->phase, MT_TASK_PHASE_WAITING);
	close_fixture(&fixture);
}

/**
 * Lets a server answer holds, but no start, until the start is withdrawn.
 * @return how long that took
 */
static mt_ms_t wait_for_withdrawal(mt_engine_fixture_t *fixture,
				   const mt_dag_task_t *task)
{
	mt_backend_t *server = fixture->servers[0];
	mt_ms_t from = mt_timers_now(fixture->timers);

	for (unsigned i = 0; i < 100 && !task->stop_wanted; i++) {
		if (last_start.ctx)
			answer(&last_start, MT_COMMAND_UNKNOWN);
		tick_after(fixture, server, TICK_MS);
		report_nothing(fixture);
	}
	return mt_timers_now(fixture->timers) - from;
}

/**
 * Guards against: a start is repeated for as long as its server answers holds,
 * while others are idle.
 */
static void a_server_that_answers_no_start_is_avoided(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_task_t *task;

	open_fixture(&fixture);
	task = place(&fixture, 1);
	mt_commands_start(fixture.engine, task);
	CU_ASSERT_TRUE(wait_for_withdrawal(&fixture, task) <= 3500);
	CU_ASSERT_TRUE(task->stop_wanted);
	CU_ASSERT_TRUE(last_start.n > 2);
	CU_ASSERT_EQUAL(last_stop.n, 1);
	CU_ASSERT_TRUE(fixture.servers[0]->avoid_until >
		       mt_timers_now(fixture.timers));
	CU_ASSERT_EQUAL(fixture.servers[0]->fail_streak, 1);
	close_fixture(&fixture);
}

/** The end of the newest hold's leases; 0: it renews none. */
static uint64_t last_due_ms(const mt_engine_fixture_t *fixture)
{
	return g_array_index(fixture->holds, mt_pending_hold_t,
			     fixture->holds->len - 1)
		.command.due_ms;
}

/**
 * Guards against: a run whose stop gets no answer either is kept for ever,
 * since the holds renew its lease. Its task goes on when the lease is over, and
 * not before.
 */
static void a_withdrawn_start_ends_with_its_lease(void)
{
	mt_engine_fixture_t fixture;
	mt_backend_t *server;
	mt_dag_task_t *task;
	mt_ms_t lease_end;

	open_fixture(&fixture);
	server = fixture.servers[0];
	task = place(&fixture, 1);
	mt_commands_start(fixture.engine, task);
	wait_for_withdrawal(&fixture, task);
	lease_end = server->leases_expire_at;
	while (mt_timers_now(fixture.timers) < lease_end) {
		CU_ASSERT_PTR_EQUAL_FATAL(task->server, server);
		report_nothing(&fixture);
		CU_ASSERT_EQUAL(last_due_ms(&fixture), 0);
		tick_after(&fixture, server, TICK_MS);
	}
	report_nothing(&fixture);
	CU_ASSERT_PTR_EQUAL(task->server, server);
	tick_after(&fixture, server, TICK_MS);
	report_nothing(&fixture);
	CU_ASSERT_PTR_NULL(task->server);
	CU_ASSERT_EQUAL(server->leases_expire_at, lease_end);
	close_fixture(&fixture);
}

/** The leases of other runs on the server are still renewed. */
static void other_runs_keep_their_leases(void)
{
	mt_engine_fixture_t fixture;
	mt_backend_t *server;
	mt_dag_task_t *task;
	mt_dag_task_t *other;

	open_fixture(&fixture);
	server = fixture.servers[0];
	task = place(&fixture, 1);
	other = place(&fixture, 2);
	other->phase = MT_TASK_PHASE_RUNNING;
	other->start_settled_at = 90000;
	mt_commands_start(fixture.engine, task);
	wait_for_withdrawal(&fixture, task);
	report_nothing(&fixture);
	tick_after(&fixture, server, TICK_MS);
	CU_ASSERT_TRUE(last_due_ms(&fixture) > 0);
	CU_ASSERT_PTR_EQUAL(task->server, server);
	close_fixture(&fixture);
}

static void ignore_append(void *self, const mt_store_append_t *append,
			  mt_store_append_cb cb, void *ctx)
{
}

/** The entry of a server; it stays for `remaining_ms` if it drains. */
static char *list_entry(const char *state, unsigned remaining_ms)
{
	return g_strdup_printf(
		"{\"service\":\"service\",\"address\":\"10.0.0.1:80\","
		"\"state\":\"%s\",\"remaining_ms\":%u,"
		"\"capacity\":{\"cpu\":1000,\"mem_mb\":10,\"gpu\":0}}",
		state, remaining_ms);
}

/** Lets the engine lead, and read a list with one entry. */
static mt_backend_t *read_first_entry(mt_engine_fixture_t *fixture,
				      mt_fake_topic_t *topic, const char *entry)
{
	mt_engine_t *engine = fixture->engine;
	mt_shared_name_t id = mt_shared_name("listed");
	mt_backend_t *server;

	mt_fake_topic_open(topic);
	topic->port.append = ignore_append;
	mt_fake_topic_put(topic, "listed", entry);
	engine->deps.store = &topic->port;
	engine->deps.table = mt_table_new(fixture->kernel);
	engine->deps.directory = mt_directory_new(fixture->kernel, &topic->port,
						  &mt_server_list_format);
	mt_engine_become_leader(engine, 7);
	mt_fake_topic_answer(topic);
	server = mt_engine_backend(engine, id);
	mt_shared_name_clear(&id);
	return server;
}

static void stop_leading(mt_engine_fixture_t *fixture, mt_fake_topic_t *topic)
{
	mt_engine_step_down(fixture->engine);
	mt_table_free(fixture->engine->deps.table);
	mt_directory_free(fixture->engine->deps.directory);
	mt_fake_topic_close(topic);
}

/**
 * Guards against: a leader that first sees a server when it drains already does
 * not know when it leaves, and never moves the runs there.
 */
static void a_server_that_drains_when_first_seen_has_a_deadline(void)
{
	mt_engine_fixture_t fixture;
	mt_fake_topic_t topic;
	char *entry = list_entry("draining", 2500);
	mt_backend_t *server;

	open_fixture(&fixture);
	server = read_first_entry(&fixture, &topic, entry);
	CU_ASSERT_PTR_NOT_NULL(server);
	CU_ASSERT_TRUE(server && server->info.draining);
	CU_ASSERT_TRUE(server && server->drain_deadline ==
					 mt_timers_now(fixture.timers) + 2500);
	stop_leading(&fixture, &topic);
	g_free(entry);
	close_fixture(&fixture);
}

const mt_test_t mt_leaving_servers_tests[] = {
	{"a first start is not sent to a server that leaves",
	 a_first_start_is_not_sent_to_a_server_that_leaves},
	{"a start is not repeated to a server that leaves",
	 a_start_is_not_repeated_to_a_server_that_leaves},
	{"a start that was refused is withdrawn at once",
	 a_start_that_was_refused_is_withdrawn_at_once},
	{"a gang goes on as a whole", a_gang_goes_on_as_a_whole},
	{"a restored placement is not started",
	 a_restored_placement_is_not_started},
	{"a server that answers no start is avoided",
	 a_server_that_answers_no_start_is_avoided},
	{"a withdrawn start ends with its lease",
	 a_withdrawn_start_ends_with_its_lease},
	{"other runs keep their leases", other_runs_keep_their_leases},
	{"a server that drains when first seen has a deadline",
	 a_server_that_drains_when_first_seen_has_a_deadline},
	{NULL, NULL},
};
