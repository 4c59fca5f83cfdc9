/**
 * @file test_engine.c
 * Tests of the scheduler over servers that only count what they are told, and
 * a store that keeps the last write.
 */
#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#include "dag/engine_internal.h"
#include "unit/tests.h"

#define SERVERS 2u
#define CAPACITY_GPU 8u

typedef struct mt_planned_t {
	mt_timers_t *timers;
	mt_kernel_t *kernel;
	mt_backend_port_t port;
	unsigned stops;
	mt_engine_t *engine;
	mt_backend_t *servers[SERVERS];
} mt_planned_t;

static void count_stop(void *self, const mt_backend_target_t *target,
		       const mt_stop_command_t *command, mt_backend_cb cb,
		       void *ctx)
{
	mt_planned_t *test = self;

	test->stops++;
	g_free(ctx);
}

static int64_t wall_ms(void)
{
	return 0;
}

static mt_ms_t no_age(void *ctx)
{
	return 0;
}

static mt_backend_t *add_server(mt_planned_t *test, const char *id)
{
	mt_backend_t *server = g_new0(mt_backend_t, 1);

	server->info.target.id = mt_name(id);
	server->info.target.port = 1;
	server->info.service = mt_name("service");
	server->info.capacity =
		(mt_dag_resources_t){64000, 64000, CAPACITY_GPU};
	server->tasks = g_ptr_array_new();
	server->listed = true;
	server->answered_in_term = true;
	server->clock_known = true;
	g_hash_table_insert(test->engine->backends, &server->info.target.id,
			    server);
	return server;
}

static void set_up(mt_planned_t *test)
{
	mt_engine_deps_t deps = {0};

	*test = (mt_planned_t){0};
	test->timers = mt_timers_new(10000);
	test->kernel = mt_kernel_new("test", test->timers, 1);
	test->port = (mt_backend_port_t){test, NULL, count_stop, NULL};
	deps.kernel = test->kernel;
	deps.backends = &test->port;
	deps.wall_ms = wall_ms;
	deps.store_staleness_ms = no_age;
	test->engine = mt_engine_new(&deps);
	test->servers[0] = add_server(test, "server-0");
	test->servers[1] = add_server(test, "server-1");
}

static void tear_down(mt_planned_t *test)
{
	g_hash_table_destroy(test->engine->jobs);
	g_hash_table_destroy(test->engine->backends);
	g_ptr_array_unref(test->engine->flushes);
	g_free(test->engine);
	mt_kernel_free(test->kernel);
	mt_timers_free(test->timers);
}

/** A job of one step whose tasks need a whole server each. */
static mt_dag_job_t *add_job(mt_planned_t *test, uint64_t id, uint32_t priority,
			     uint32_t count)
{
	MtDag__Job job = MT_DAG__JOB__INIT;
	MtDag__Step step = MT_DAG__STEP__INIT;
	MtDag__Step *steps[] = {&step};
	GBytes *bytes;
	mt_str_t view;
	mt_dag_job_t *work;

	step.count = count;
	step.gpu = CAPACITY_GPU;
	step.cpu_milli = 1000;
	step.estimate_ms = 5000;
	step.gang = count > 1;
	job.id = id;
	job.queue = (char *)"batch";
	job.service = (char *)"service";
	job.priority = priority;
	job.attempts_max = 3;
	job.n_steps = 1;
	job.steps = steps;
	bytes = mt_dag_pack(&job.base);
	view = mt_bytes_view(bytes);
	work = mt_dag_job_new(
		mt_dag__job__unpack(NULL, view.len, (const uint8_t *)view.data),
		9000);
	g_bytes_unref(bytes);
	work->queue.service = mt_name("service");
	work->queue.priority = priority;
	g_hash_table_insert(test->engine->jobs, &work->id, work);
	return work;
}

/** A gang of two that runs, one member on each server. */
static mt_dag_step_t *run_gang(mt_planned_t *test)
{
	mt_dag_step_t *step = &add_job(test, 1, 2, SERVERS)->steps[0];

	for (unsigned i = 0; i < SERVERS; i++) {
		mt_dag_task_place(&step->tasks[i], test->servers[i], 1, 9000);
		step->tasks[i].start_durable = true;
		step->tasks[i].phase = MT_TASK_RUNNING;
	}
	return step;
}

/**
 * An urgent job needs the first server; a member on one that is avoided, and
 * so not in the plan, must not be left to wait for the rest of its gang.
 */
static void a_gang_is_stopped_as_a_whole(void)
{
	mt_planned_t test;
	mt_dag_step_t *gang;

	set_up(&test);
	gang = run_gang(&test);
	test.servers[1]->avoid_until = 99999;
	add_job(&test, 2, 0, 1);
	mt_planner_run(test.engine);
	CU_ASSERT_TRUE(gang->tasks[0].stop_wanted);
	CU_ASSERT_TRUE(gang->tasks[1].stop_wanted);
	CU_ASSERT_EQUAL(test.stops, 2);
	tear_down(&test);
}

/** Without a start that was sent, the members just wait again. */
static void a_gang_that_was_not_sent_waits_as_a_whole(void)
{
	mt_planned_t test;
	mt_dag_step_t *gang;

	set_up(&test);
	gang = run_gang(&test);
	for (unsigned i = 0; i < SERVERS; i++) {
		gang->tasks[i].start_durable = false;
		gang->tasks[i].phase = MT_TASK_PLACED;
	}
	test.servers[1]->unanswered_holds = 1;
	add_job(&test, 2, 0, 1);
	mt_planner_run(test.engine);
	CU_ASSERT_EQUAL(gang->tasks[0].phase, MT_TASK_WAITING);
	CU_ASSERT_EQUAL(gang->tasks[1].phase, MT_TASK_WAITING);
	CU_ASSERT_EQUAL(test.stops, 0);
	tear_down(&test);
}

static void busy_after_silence(void *self, const mt_backend_target_t *target,
			       const mt_start_command_t *command,
			       mt_backend_cb cb, void *ctx)
{
	mt_backend_answer_t answer = {0};

	answer.result = MT_COMMAND_BUSY;
	cb(ctx, &answer);
}

/**
 * A start got no answer, and the server turns the second attempt away: the
 * member may run or not, the others are stopped with it.
 */
static void a_gang_with_a_refused_member_is_stopped(void)
{
	mt_planned_t test;
	mt_dag_step_t *gang;

	set_up(&test);
	gang = run_gang(&test);
	gang->tasks[1].phase = MT_TASK_PLACED;
	gang->tasks[1].start_unanswered = true;
	test.port.start = busy_after_silence;
	mt_commands_start(test.engine, &gang->tasks[1]);
	CU_ASSERT_TRUE(gang->tasks[0].stop_wanted);
	CU_ASSERT_TRUE(gang->tasks[1].stop_wanted);
	CU_ASSERT_EQUAL(test.stops, 2);
	tear_down(&test);
}

static void nothing_is_stopped_where_there_is_room(void)
{
	mt_planned_t test;
	mt_dag_job_t *urgent;

	set_up(&test);
	urgent = add_job(&test, 2, 0, 1);
	mt_planner_run(test.engine);
	CU_ASSERT_EQUAL(urgent->steps[0].tasks[0].phase, MT_TASK_PLACED);
	CU_ASSERT_EQUAL(test.stops, 0);
	tear_down(&test);
}

/** Batch tasks have been stopped again and again in the last seconds. */
static void learn_stops(mt_planned_t *test)
{
	mt_survival_add_running_time(&test->engine->survival, 2, 100);
	for (unsigned i = 0; i < 100; i++)
		mt_survival_add_preemption(&test->engine->survival, 2);
}

/**
 * Half of the service is in use: there is room enough, so nothing waits for
 * fear of being stopped.
 */
static void room_is_used_though_stops_are_likely(void)
{
	mt_planned_t test;
	mt_dag_job_t *batch;

	set_up(&test);
	learn_stops(&test);
	mt_dag_task_place(&add_job(&test, 1, 2, 1)->steps[0].tasks[0],
			  test.servers[0], 1, 9000);
	batch = add_job(&test, 2, 2, 1);
	mt_planner_run(test.engine);
	CU_ASSERT_EQUAL(batch->steps[0].tasks[0].phase, MT_TASK_PLACED);
	tear_down(&test);
}

/** In a crowd a batch task waits for a calmer time; an urgent one does not. */
static void what_would_be_stopped_is_not_started(void)
{
	mt_planned_t test;
	mt_dag_job_t *batch;
	mt_dag_job_t *urgent;

	set_up(&test);
	learn_stops(&test);
	mt_dag_task_place(&add_job(&test, 1, 0, 1)->steps[0].tasks[0],
			  test.servers[0], 1, 9000);
	test.servers[1]->used.cpu_milli = 30000;
	batch = add_job(&test, 2, 2, 1);
	mt_planner_run(test.engine);
	CU_ASSERT_EQUAL(batch->steps[0].tasks[0].phase, MT_TASK_PLACED);
	mt_dag_task_unplace(&batch->steps[0].tasks[0]);
	test.servers[1]->info.capacity.cpu_milli = 32000;
	test.servers[0]->info.capacity.cpu_milli = 10000;
	mt_planner_run(test.engine);
	CU_ASSERT_EQUAL(batch->steps[0].tasks[0].phase, MT_TASK_WAITING);
	urgent = add_job(&test, 3, 0, 1);
	mt_planner_run(test.engine);
	CU_ASSERT_EQUAL(urgent->steps[0].tasks[0].phase, MT_TASK_PLACED);
	tear_down(&test);
}

/** A store that keeps its calls until the test ends. */
typedef struct mt_kept_store_t {
	mt_store_port_t port;
	GString *written; /**< last append, "kind:length " each record */
	mt_store_append_cb append_cb;
	void *append_ctx;
	mt_store_page_cb page_cb;
	void *page_ctx;
} mt_kept_store_t;

static void keep_append(void *self, const mt_store_append_t *append,
			mt_store_append_cb cb, void *ctx)
{
	mt_kept_store_t *store = self;

	store->append_cb = cb;
	store->append_ctx = ctx;
	g_string_truncate(store->written, 0);
	for (size_t i = 0; i < append->count; i++)
		g_string_append_printf(
			store->written, "%c:%s ",
			append->records[i].key.data[0],
			append->records[i].value.len > 100 ? "long" : "short");
}

static void keep_newest(void *self, const char *topic, mt_str_t after_key,
			mt_store_page_cb cb, void *ctx)
{
	mt_kept_store_t *store = self;

	store->page_cb = cb;
	store->page_ctx = ctx;
}

static void open_store(mt_kept_store_t *store)
{
	*store = (mt_kept_store_t){0};
	store->port = (mt_store_port_t){store, keep_append, NULL, keep_newest};
	store->written = g_string_new(NULL);
}

/** Answers what is under way, so that its owners can go. */
static void close_store(mt_kept_store_t *store)
{
	mt_store_page_t refused = {.result = MT_STORE_REFUSED};

	if (store->append_cb)
		store->append_cb(store->append_ctx, MT_STORE_DONE, 0);
	if (store->page_cb)
		store->page_cb(store->page_ctx, &refused);
	g_string_free(store->written, TRUE);
}

/** A host that starts reads every record: ended jobs must be small. */
static void an_ended_job_keeps_no_payload(void)
{
	mt_planned_t test;
	mt_kept_store_t store;
	mt_writer_deps_t deps = {0};
	mt_dag_job_t *job;
	char *payload;

	set_up(&test);
	open_store(&store);
	deps.kernel = test.kernel;
	deps.store = &store.port;
	deps.topic = MT_RECORDS_TOPIC;
	deps.producer = "test";
	test.engine->writer = mt_writer_new(&deps);
	job = add_job(&test, 1, 2, 1);
	payload = g_strnfill(1000, 'x');
	if (job->spec->payload != protobuf_c_empty_string)
		free(job->spec->payload);
	job->spec->payload = strdup(payload);
	g_free(payload);
	job->state = MT_DAG__STATE__COMPLETED;
	job->dirty = true;
	mt_flush_changes(test.engine);
	CU_ASSERT_STRING_EQUAL(store.written->str, "p:short a:short ");
	close_store(&store);
	mt_writer_close(test.engine->writer);
	tear_down(&test);
}

static void apply_record(mt_table_t *table, mt_record_kind_t kind, uint64_t id,
			 mt_str_t value, uint64_t offset)
{
	mt_record_key_t key = mt_record_key(kind, id);
	mt_store_record_t record = {mt_str_from(key.text), value, offset};

	mt_table_apply(table, &record);
}

/** The caller's cancellation is carried out before the server reports again. */
static void a_cancelled_job_is_stopped_at_once(void)
{
	mt_planned_t test;
	mt_kept_store_t store;
	mt_directory_format_t format = {"servers", NULL};
	mt_dag_job_t *job;
	GBytes *bytes;

	set_up(&test);
	open_store(&store);
	test.engine->deps.store = &store.port;
	test.engine->deps.table = mt_table_new(test.kernel);
	test.engine->deps.directory =
		mt_directory_new(test.kernel, &store.port, &format);
	mt_engine_become_leader(test.engine, 7);
	job = add_job(&test, 1, 2, 1);
	bytes = mt_dag_pack(&job->spec->base);
	mt_dag_task_place(&job->steps[0].tasks[0], test.servers[0], 1, 9000);
	job->steps[0].tasks[0].start_durable = true;
	apply_record(test.engine->deps.table, MT_RECORD_JOB, 1,
		     mt_bytes_view(bytes), 1);
	apply_record(test.engine->deps.table, MT_RECORD_CANCEL, 1, MT_STR("1"),
		     2);
	CU_ASSERT_TRUE(job->cancelled);
	CU_ASSERT_EQUAL(test.stops, 1);
	mt_engine_step_down(test.engine);
	close_store(&store);
	g_bytes_unref(bytes);
	mt_table_free(test.engine->deps.table);
	mt_directory_free(test.engine->deps.directory);
	tear_down(&test);
}

const mt_test_t mt_engine_tests[] = {
	{"a gang is stopped as a whole", a_gang_is_stopped_as_a_whole},
	{"a gang that was not sent waits as a whole",
	 a_gang_that_was_not_sent_waits_as_a_whole},
	{"a gang with a refused member is stopped",
	 a_gang_with_a_refused_member_is_stopped},
	{"nothing is stopped where there is room",
	 nothing_is_stopped_where_there_is_room},
	{"room is used though stops are likely",
	 room_is_used_though_stops_are_likely},
	{"what would be stopped is not started",
	 what_would_be_stopped_is_not_started},
	{"a cancelled job is stopped at once",
	 a_cancelled_job_is_stopped_at_once},
	{"an ended job keeps no payload", an_ended_job_keeps_no_payload},
	{NULL, NULL},
};
