/**
 * @file test_engine.c
 * Tests of the scheduling engine of lib/dag. The store is a fake that records
 * the last append.
 */
#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#include "unit/engine_fixture.h"
#include "unit/tests.h"

/** Adds a gang whose members are running, one on each server. */
static mt_dag_step_t *add_running_gang(mt_engine_fixture_t *fixture)
{
	mt_dag_step_t *step = mt_first_step(mt_engine_fixture_add_job(
		fixture, 1, 2, MT_ENGINE_FIXTURE_SERVERS));

	for (unsigned i = 0; i < MT_ENGINE_FIXTURE_SERVERS; i++) {
		mt_dag_task_place(mt_task_of(step, i), fixture->servers[i], 1,
				  9000);
		mt_task_of(step, i)->placement_stored = true;
		mt_task_of(step, i)->phase = MT_TASK_PHASE_RUNNING;
	}
	return step;
}

/**
 * One member of a gang is preempted for an urgent job. The other runs on a
 * server that is avoided and therefore not part of the plan; it must be stopped
 * too, or it would wait in vain for the rest of the gang.
 */
static void a_gang_is_stopped_as_a_whole(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_step_t *gang;

	mt_engine_fixture_open(&fixture);
	gang = add_running_gang(&fixture);
	fixture.servers[1]->avoid_until = 99999; /* after the test */
	mt_engine_fixture_add_job(&fixture, 2, 0, 1);
	mt_planner_run(fixture.engine);
	CU_ASSERT_TRUE(mt_task_of(gang, 0)->stop_wanted);
	CU_ASSERT_TRUE(mt_task_of(gang, 1)->stop_wanted);
	CU_ASSERT_EQUAL(fixture.stops, 2);
	mt_engine_fixture_close(&fixture);
}

/**
 * One member of a gang is preempted before any start of the gang was sent. All
 * members return to waiting, also the one whose server is not part of the plan
 * because a hold command failed. No stop commands are needed.
 */
static void an_unsent_gang_waits_again_as_a_whole(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_step_t *gang;

	mt_engine_fixture_open(&fixture);
	gang = add_running_gang(&fixture);
	for (unsigned i = 0; i < MT_ENGINE_FIXTURE_SERVERS; i++) {
		mt_task_of(gang, i)->placement_stored = false;
		mt_task_of(gang, i)->phase = MT_TASK_PHASE_STARTING;
	}
	fixture.servers[1]->n_failed_holds = 1;
	mt_engine_fixture_add_job(&fixture, 2, 0, 1);
	mt_planner_run(fixture.engine);
	CU_ASSERT_EQUAL(mt_task_of(gang, 0)->phase, MT_TASK_PHASE_WAITING);
	CU_ASSERT_EQUAL(mt_task_of(gang, 1)->phase, MT_TASK_PHASE_WAITING);
	CU_ASSERT_EQUAL(fixture.stops, 0);
	mt_engine_fixture_close(&fixture);
}

static void answer_unavailable(void *self, const mt_backend_target_t *target,
			       const mt_start_command_t *command,
			       mt_backend_cb cb, void *ctx)
{
	mt_backend_answer_t answer = {0};

	answer.result = MT_COMMAND_UNAVAILABLE;
	cb(ctx, &answer);
}

/**
 * A start got no answer, and the server refuses the second attempt because it
 * is unavailable. Whether the member runs is unknown, so the whole gang is
 * stopped.
 */
static void a_gang_is_stopped_after_a_start_of_unknown_outcome(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_step_t *gang;

	mt_engine_fixture_open(&fixture);
	gang = add_running_gang(&fixture);
	mt_task_of(gang, 1)->phase = MT_TASK_PHASE_STARTING;
	mt_task_of(gang, 1)->start_unanswered = true;
	fixture.port.start = answer_unavailable;
	mt_commands_start(fixture.engine, mt_task_of(gang, 1));
	CU_ASSERT_TRUE(mt_task_of(gang, 0)->stop_wanted);
	CU_ASSERT_TRUE(mt_task_of(gang, 1)->stop_wanted);
	CU_ASSERT_EQUAL(fixture.stops, 2);
	mt_engine_fixture_close(&fixture);
}

static void nothing_is_stopped_while_capacity_is_free(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_job_t *urgent;

	mt_engine_fixture_open(&fixture);
	urgent = mt_engine_fixture_add_job(&fixture, 2, 0, 1);
	mt_planner_run(fixture.engine);
	CU_ASSERT_EQUAL(mt_task_of(mt_first_step(urgent), 0)->phase,
			MT_TASK_PHASE_STARTING);
	CU_ASSERT_EQUAL(fixture.stops, 0);
	mt_engine_fixture_close(&fixture);
}

/**
 * Adds so many preemptions that batch tasks would probably be preempted before
 * they end.
 */
static void add_preemptions(mt_engine_fixture_t *fixture)
{
	mt_survival_add_running_time(&fixture->engine->survival, 2, 100);
	for (unsigned i = 0; i < 100; i++)
		mt_survival_add_preemption(&fixture->engine->survival, 2);
}

/**
 * A service is contended when more than 70% of its cores or accelerators are in
 * use. With half of them in use it is not, so a batch task is placed although
 * preemptions have been frequent.
 */
static void batch_starts_on_an_uncontended_service(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_job_t *batch;

	mt_engine_fixture_open(&fixture);
	add_preemptions(&fixture);
	mt_dag_task_place(mt_task_of(mt_first_step(mt_engine_fixture_add_job(
					     &fixture, 1, 2, 1)),
				     0),
			  fixture.servers[0], 1, 9000);
	batch = mt_engine_fixture_add_job(&fixture, 2, 2, 1);
	mt_planner_run(fixture.engine);
	CU_ASSERT_EQUAL(mt_task_of(mt_first_step(batch), 0)->phase,
			MT_TASK_PHASE_STARTING);
	mt_engine_fixture_close(&fixture);
}

/**
 * A batch task is placed while the service is not contended: 31 of 128 cores
 * and half of the accelerators are in use. It is unplaced and the servers'
 * capacity is reduced, so that 31 of 42 cores (74%) are in use. The service is
 * now contended: the batch task, which would probably be preempted, waits,
 * while an urgent task is placed.
 */
static void batch_waits_on_a_contended_service(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_job_t *batch;
	mt_dag_job_t *urgent;

	mt_engine_fixture_open(&fixture);
	add_preemptions(&fixture);
	mt_dag_task_place(mt_task_of(mt_first_step(mt_engine_fixture_add_job(
					     &fixture, 1, 0, 1)),
				     0),
			  fixture.servers[0], 1, 9000);
	fixture.servers[1]->used.cpu_milli = 30000;
	batch = mt_engine_fixture_add_job(&fixture, 2, 2, 1);
	mt_planner_run(fixture.engine);
	CU_ASSERT_EQUAL(mt_task_of(mt_first_step(batch), 0)->phase,
			MT_TASK_PHASE_STARTING);
	mt_dag_task_unplace(mt_task_of(mt_first_step(batch), 0));
	fixture.servers[1]->info.capacity.cpu_milli = 32000;
	fixture.servers[0]->info.capacity.cpu_milli = 10000;
	mt_planner_run(fixture.engine);
	CU_ASSERT_EQUAL(mt_task_of(mt_first_step(batch), 0)->phase,
			MT_TASK_PHASE_WAITING);
	urgent = mt_engine_fixture_add_job(&fixture, 3, 0, 1);
	mt_planner_run(fixture.engine);
	CU_ASSERT_EQUAL(mt_task_of(mt_first_step(urgent), 0)->phase,
			MT_TASK_PHASE_STARTING);
	mt_engine_fixture_close(&fixture);
}

/** A store that captures appends and answers no call until the test ends. */
typedef struct mt_capturing_store_t {
	mt_store_port_t port;
	/**
	 * Last append: "KIND:long " or "KIND:short " for each record. KIND is
	 * the first character of its key, see mt_record_kind_t.
	 */
	GString *written;
	mt_store_append_cb append_cb;
	void *append_ctx;
	mt_store_page_cb page_cb;
	void *page_ctx;
} mt_capturing_store_t;

static void capture_append(void *self, const mt_store_append_t *append,
			   mt_store_append_cb cb, void *ctx)
{
	mt_capturing_store_t *store = self;

	store->append_cb = cb;
	store->append_ctx = ctx;
	g_string_truncate(store->written, 0);
	for (size_t i = 0; i < append->count; i++)
		g_string_append_printf(
			store->written, "%c:%s ",
			append->records[i].key.data[0],
			append->records[i].value.len > 100 ? "long" : "short");
}

static void defer_newest(void *self, const char *topic, mt_str_t after_key,
			 mt_ms_t timeout_ms, mt_store_page_cb cb, void *ctx)
{
	mt_capturing_store_t *store = self;

	store->page_cb = cb;
	store->page_ctx = ctx;
}

static void open_store(mt_capturing_store_t *store)
{
	*store = (mt_capturing_store_t){0};
	store->port = (mt_store_port_t){
		store, capture_append, NULL, defer_newest, 0, 0};
	store->written = g_string_new(NULL);
}

/** Answers the pending calls, so that their owners can be freed. */
static void close_store(mt_capturing_store_t *store)
{
	mt_store_page_t refused = {.result = MT_STORE_REFUSED};

	if (store->append_cb)
		store->append_cb(store->append_ctx, MT_STORE_DONE, 0);
	if (store->page_cb)
		store->page_cb(store->page_ctx, &refused);
	g_string_free(store->written, TRUE);
}

/**
 * A starting host reads the records of all jobs, so those of ended jobs must be
 * small: the job record is replaced by one without the payload.
 */
static void the_record_of_an_ended_job_has_no_payload(void)
{
	mt_engine_fixture_t fixture;
	mt_capturing_store_t store;
	mt_writer_deps_t deps = {0};
	mt_dag_job_t *job;
	char *payload;

	mt_engine_fixture_open(&fixture);
	open_store(&store);
	deps.kernel = fixture.kernel;
	deps.store = &store.port;
	deps.topic = MT_RECORDS_TOPIC;
	deps.producer = "test";
	fixture.engine->writer = mt_writer_new(&deps);
	job = mt_engine_fixture_add_job(&fixture, 1, 2, 1);
	payload = g_strnfill(1000, 'x');
	if (job->spec->payload != protobuf_c_empty_string)
		free(job->spec->payload);
	job->spec->payload = strdup(payload);
	g_free(payload);
	job->state = MT_DAG__STATE__COMPLETED;
	mt_dag_job_mark_dirty(job);
	mt_flush_changes(fixture.engine);
	/* A progress record and the job record that replaces the long one. */
	CU_ASSERT_STRING_EQUAL(store.written->str, "p:short a:short ");
	close_store(&store);
	mt_writer_close(fixture.engine->writer);
	mt_engine_fixture_close(&fixture);
}

/**
 * Guards against: while the store is away, each pass adds the records of all
 * changed jobs, without a limit (memory, LOST).
 */
static void writes_do_not_pile_up_while_the_store_is_away(void)
{
	mt_engine_fixture_t fixture;
	mt_capturing_store_t store;
	mt_writer_deps_t deps = {0};
	mt_dag_job_t *job;

	mt_engine_fixture_open(&fixture);
	open_store(&store);
	deps.kernel = fixture.kernel;
	deps.store = &store.port;
	deps.topic = MT_RECORDS_TOPIC;
	deps.producer = "test";
	fixture.engine->writer = mt_writer_new(&deps);
	job = mt_engine_fixture_add_job(&fixture, 1, 2, 1);
	for (unsigned i = 0; i < 100; i++) {
		mt_dag_job_mark_dirty(job);
		mt_flush_changes(fixture.engine);
	}
	CU_ASSERT_TRUE(mt_writer_n_pending(fixture.engine->writer) < 10);
	CU_ASSERT_TRUE(job->dirty);
	mt_writer_close(fixture.engine->writer);
	close_store(&store);
	g_ptr_array_set_size(fixture.engine->flushes, 0);
	mt_engine_fixture_close(&fixture);
}

static void apply_record(mt_table_t *table, mt_record_kind_t kind, uint64_t id,
			 mt_str_t value, uint64_t offset)
{
	mt_record_key_t key = mt_record_key(kind, id);
	mt_store_record_t record = {mt_str_from(key.text), value, offset};

	mt_table_apply(table, &record);
}

/** Gives the engine a table of jobs and the store. */
static void connect_store(mt_engine_fixture_t *fixture,
			  mt_capturing_store_t *store)
{
	static const mt_directory_format_t format = {"servers", NULL};

	fixture->engine->deps.store = &store->port;
	fixture->engine->deps.table = mt_table_new(fixture->kernel);
	fixture->engine->deps.directory =
		mt_directory_new(fixture->kernel, &store->port, &format);
}

/** Makes the engine the leader, with a table of jobs and the given store. */
static void lead(mt_engine_fixture_t *fixture, mt_capturing_store_t *store)
{
	connect_store(fixture, store);
	mt_engine_become_leader(fixture->engine, 7);
}

static void stop_leading(mt_engine_fixture_t *fixture,
			 mt_capturing_store_t *store)
{
	mt_engine_step_down(fixture->engine);
	close_store(store);
	mt_table_free(fixture->engine->deps.table);
	mt_directory_free(fixture->engine->deps.directory);
}

/** A task on the first server that needs a label; its start got no answer. */
static mt_dag_task_t *add_labelled_task(mt_engine_fixture_t *fixture)
{
	GQuark label = g_quark_from_static_string("kind-a");
	MtDag__Step step = mt_engine_fixture_step(1);
	mt_backend_t *server = fixture->servers[0];
	mt_dag_task_t *task;

	mt_backend_info_add_label(&server->info, label);
	server->info.born_ms = server->born_ms = 100;
	server->leases_expire_at = 99999;
	step.label = (char *)"kind-a";
	task = mt_task_of(mt_first_step(mt_engine_fixture_add_job_of(
				  fixture, 1, 2, &step, 0)),
			  0);
	mt_dag_task_place(task, server, 1, 10000);
	task->placement_stored = true;
	mt_commands_start(fixture->engine, task);
	task->start_in_flight = false;
	task->start_unanswered = true;
	return task;
}

/** Lets a later process of the server answer holds. */
static void restart(mt_engine_fixture_t *fixture, mt_backend_t *server)
{
	mt_reports_server_restarted(fixture->engine, server, 200);
	server->clock_known = true;
	server->hold_answered = true;
}

/**
 * Guards against: a start that got no answer is repeated to the next process of
 * the server, which lacks the label that the task needs (ROUTE).
 */
static void a_start_is_not_repeated_to_another_kind(void)
{
	mt_engine_fixture_t fixture;
	mt_backend_t *server;
	mt_dag_task_t *task;

	mt_engine_fixture_open(&fixture);
	server = fixture.servers[0];
	task = add_labelled_task(&fixture);
	CU_ASSERT_EQUAL(fixture.starts, 1);
	restart(&fixture, server);
	/* What the list says may be about the former process. */
	mt_engine_fixture_advance(&fixture, 500);
	mt_commands_tick(fixture.engine, server);
	CU_ASSERT_EQUAL(fixture.starts, 1);
	CU_ASSERT_EQUAL(fixture.stops, 0);
	server->info.born_ms = 200;
	g_clear_pointer(&server->info.labels, g_array_unref);
	mt_backend_info_add_label(&server->info,
				  g_quark_from_static_string("kind-b"));
	mt_commands_tick(fixture.engine, server);
	CU_ASSERT_EQUAL(fixture.starts, 1);
	CU_ASSERT_EQUAL(fixture.stops, 1);
	CU_ASSERT_TRUE(task->stop_wanted);
	mt_engine_fixture_close(&fixture);
}

/** A server that comes back as what it was gets the start again. */
static void a_start_is_repeated_to_the_same_kind(void)
{
	mt_engine_fixture_t fixture;
	mt_backend_t *server;

	mt_engine_fixture_open(&fixture);
	server = fixture.servers[0];
	add_labelled_task(&fixture);
	restart(&fixture, server);
	server->info.born_ms = 200;
	mt_engine_fixture_advance(&fixture, 500);
	mt_commands_tick(fixture.engine, server);
	CU_ASSERT_EQUAL(fixture.starts, 2);
	CU_ASSERT_EQUAL(fixture.stops, 0);
	mt_engine_fixture_close(&fixture);
}

/**
 * Guards against: a placement that was being stored while its server restarted
 * is started on a process with less room, or of another service (LIMIT, ROUTE).
 */
static void a_first_start_is_not_sent_to_another_kind(void)
{
	for (unsigned smaller = 0; smaller < 2; smaller++) {
		mt_engine_fixture_t fixture;
		mt_backend_t *server;
		mt_dag_task_t *task;

		mt_engine_fixture_open(&fixture);
		server = fixture.servers[0];
		task = mt_task_of(mt_first_step(mt_engine_fixture_add_job(
					  &fixture, 1, 2, 1)),
				  0);
		mt_dag_task_place(task, server, 1, 10000);
		task->placement_stored = true;
		if (smaller)
			server->info.capacity.gpu = 1;
		else
			mt_shared_name_set(&server->info.service,
					   MT_STR("other"));
		mt_commands_start(fixture.engine, task);
		CU_ASSERT_EQUAL(fixture.starts, 0);
		CU_ASSERT_EQUAL(task->phase, MT_TASK_PHASE_WAITING);
		mt_engine_fixture_close(&fixture);
	}
}

/** A server whose list entry is about its former process gets no tasks. */
static void an_outdated_entry_is_not_used(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_job_t *job;

	mt_engine_fixture_open(&fixture);
	for (unsigned i = 0; i < MT_ENGINE_FIXTURE_SERVERS; i++)
		fixture.servers[i]->info.born_ms = 100;
	fixture.servers[0]->born_ms = 200;
	fixture.servers[1]->born_ms = 100;
	job = mt_engine_fixture_add_job(&fixture, 1, 2, 1);
	mt_planner_run(fixture.engine);
	CU_ASSERT_PTR_EQUAL(mt_task_of(mt_first_step(job), 0)->server,
			    fixture.servers[1]);
	mt_engine_fixture_close(&fixture);
}

/** A cancel record stops the tasks without waiting for a server's report. */
static void a_cancelled_job_is_stopped_at_once(void)
{
	mt_engine_fixture_t fixture;
	mt_capturing_store_t store;
	mt_dag_job_t *job;
	GBytes *bytes;

	mt_engine_fixture_open(&fixture);
	open_store(&store);
	lead(&fixture, &store);
	job = mt_engine_fixture_add_job(&fixture, 1, 2, 1);
	bytes = mt_dag_pack(&job->spec->base);
	mt_dag_task_place(mt_task_of(mt_first_step(job), 0), fixture.servers[0],
			  1, 9000);
	mt_task_of(mt_first_step(job), 0)->placement_stored = true;
	apply_record(fixture.engine->deps.table, MT_RECORD_JOB, 1,
		     mt_bytes_view(bytes), 1);
	apply_record(fixture.engine->deps.table, MT_RECORD_CANCEL, 1,
		     MT_STR("1"), 2);
	CU_ASSERT_TRUE(job->cancelled);
	CU_ASSERT_EQUAL(fixture.stops, 1);
	g_bytes_unref(bytes);
	stop_leading(&fixture, &store);
	mt_engine_fixture_close(&fixture);
}

/** Adds unfinished jobs to the engine's table. */
static void fill_table(mt_engine_fixture_t *fixture, uint64_t n_jobs)
{
	for (uint64_t id = 1; id <= n_jobs; id++) {
		mt_dag_job_t *job =
			mt_engine_fixture_add_job(fixture, id, 2, 1);
		GBytes *bytes = mt_dag_pack(&job->spec->base);

		mt_engine_remove_job(fixture->engine, job);
		apply_record(fixture->engine->deps.table, MT_RECORD_JOB, id,
			     mt_bytes_view(bytes), id);
		g_bytes_unref(bytes);
	}
}

/**
 * Guards against: a new leader makes the models of all jobs at once, so that
 * its heartbeats stop; or it schedules before it knows all jobs, and stops
 * their runs as unknown.
 */
static void a_take_over_is_sliced(void)
{
	mt_engine_fixture_t fixture;
	mt_capturing_store_t store;
	unsigned slices = 0;
	guint known = 0;

	mt_engine_fixture_open(&fixture);
	open_store(&store);
	connect_store(&fixture, &store);
	fill_table(&fixture, 1000);
	mt_engine_become_leader(fixture.engine, 8);
	while (fixture.engine->jobs_to_load && slices < 100) {
		guint n_jobs = g_hash_table_size(fixture.engine->jobs);

		CU_ASSERT_TRUE(n_jobs - known <= 256);
		CU_ASSERT_FALSE(fixture.engine->pass_timer);
		CU_ASSERT_FALSE(fixture.engine->tick_timer);
		known = n_jobs;
		slices++;
		mt_timers_advance(fixture.timers,
				  mt_timers_now(fixture.timers) + 1);
	}
	CU_ASSERT_TRUE(slices >= 3);
	CU_ASSERT_EQUAL(g_hash_table_size(fixture.engine->jobs), 1000);
	CU_ASSERT_TRUE(fixture.engine->tick_timer);
	stop_leading(&fixture, &store);
	mt_engine_fixture_close(&fixture);
}

/**
 * Guards against: a job runs that was stored after its cancelling was answered
 * with "no such job" (UNASKED).
 */
static void a_job_stored_after_its_cancellation_does_not_start(void)
{
	mt_engine_fixture_t fixture;
	mt_capturing_store_t store;
	mt_dag_job_t *job;
	GBytes *bytes;

	mt_engine_fixture_open(&fixture);
	open_store(&store);
	lead(&fixture, &store);
	job = mt_engine_fixture_add_job(&fixture, 1, 2, 1);
	bytes = mt_dag_pack(&job->spec->base);
	mt_engine_remove_job(fixture.engine, job);
	apply_record(fixture.engine->deps.table, MT_RECORD_CANCEL, 1,
		     MT_STR("1"), 1);
	apply_record(fixture.engine->deps.table, MT_RECORD_JOB, 1,
		     mt_bytes_view(bytes), 2);
	job = mt_engine_job(fixture.engine, 1);
	mt_planner_run(fixture.engine);
	CU_ASSERT_TRUE(job && job->state == MT_DAG__STATE__CANCELLED);
	CU_ASSERT_TRUE(job && !job->n_placed);
	g_bytes_unref(bytes);
	stop_leading(&fixture, &store);
	mt_engine_fixture_close(&fixture);
}

/** Cancellations of jobs that never existed do not stay in the store. */
static void a_cancellation_without_a_job_is_deleted_later(void)
{
	mt_engine_fixture_t fixture;
	mt_capturing_store_t store;

	mt_engine_fixture_open(&fixture);
	open_store(&store);
	lead(&fixture, &store);
	fixture.engine->deps.timings.keep_ended_ms = 120000;
	apply_record(fixture.engine->deps.table, MT_RECORD_CANCEL, 1,
		     MT_STR("1"), 1);
	CU_ASSERT_EQUAL(mt_table_n_absent_cancels(fixture.engine->deps.table),
			1);
	mt_engine_fixture_advance(&fixture, 119000);
	CU_ASSERT_STRING_EQUAL(store.written->str, "");
	mt_engine_fixture_advance(&fixture, 7000);
	CU_ASSERT_STRING_EQUAL(store.written->str, "c:short ");
	apply_record(fixture.engine->deps.table, MT_RECORD_CANCEL, 1,
		     (mt_str_t){0}, 2);
	CU_ASSERT_EQUAL(mt_table_n_absent_cancels(fixture.engine->deps.table),
			0);
	stop_leading(&fixture, &store);
	mt_engine_fixture_close(&fixture);
}

/** An answer to a hold that reports the successful end of the task's run. */
static mt_backend_answer_t success_of(const mt_dag_task_t *task,
				      mt_ended_run_t *ended)
{
	mt_backend_answer_t answer = {.result = MT_COMMAND_DONE};

	*ended = (mt_ended_run_t){
		1, mt_dag_task_key(task), task->run, MT_END_DONE, {0}};
	answer.ended = ended;
	answer.n_ended = 1;
	return answer;
}

/**
 * Pattern: the network between the leader and a server is slow. The answer to a
 * hold comes after the next hold was sent. It still counts, as the server may
 * consider the ended run as known.
 */
static void a_late_answer_to_a_hold_counts(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_task_t *task;
	mt_ended_run_t ended;
	mt_backend_answer_t answer;

	mt_engine_fixture_open(&fixture);
	task = mt_engine_fixture_add_running_task(&fixture);
	mt_commands_hold(fixture.engine, fixture.servers[0]);
	CU_ASSERT_EQUAL(fixture.holds->len, 1);
	mt_engine_fixture_advance(&fixture, 1500);
	CU_ASSERT_EQUAL(fixture.holds->len, 2);
	CU_ASSERT_EQUAL(fixture.servers[0]->n_overdue_holds, 1);
	answer = success_of(task, &ended);
	mt_engine_fixture_answer_hold(&fixture, &answer);
	CU_ASSERT_EQUAL(task->phase, MT_TASK_PHASE_DONE);
	CU_ASSERT_EQUAL(fixture.servers[0]->n_overdue_holds, 0);
	CU_ASSERT_TRUE(fixture.servers[0]->n_failed_holds > 0);
	mt_engine_fixture_close(&fixture);
}

/**
 * The answer to an earlier hold is overtaken by that to a later one. It lists
 * no run, as it was made before the start; the run must not count as lost.
 */
static void an_overtaken_report_gives_no_run_up(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_task_t *task;
	mt_backend_answer_t answer = {.result = MT_COMMAND_DONE};
	mt_active_run_t active = {0};
	mt_pending_hold_t first;

	mt_engine_fixture_open(&fixture);
	task = mt_engine_fixture_add_running_task(&fixture);
	mt_commands_hold(fixture.engine, fixture.servers[0]);
	mt_engine_fixture_advance(&fixture, 1500);
	CU_ASSERT_EQUAL_FATAL(fixture.holds->len, 2);
	first = g_array_index(fixture.holds, mt_pending_hold_t, 0);
	g_array_remove_index(fixture.holds, 0);
	active.task = mt_dag_task_key(task);
	active.run = 1;
	answer.active_runs = &active;
	answer.n_active_runs = 1;
	mt_engine_fixture_answer_hold(&fixture, &answer);
	answer.n_active_runs = 0;
	first.cb(first.ctx, &answer);
	CU_ASSERT_EQUAL(task->phase, MT_TASK_PHASE_RUNNING);
	CU_ASSERT_PTR_EQUAL(task->server, fixture.servers[0]);
	mt_engine_fixture_close(&fixture);
}

/**
 * Guards against: over 500 ends wait on a server while the store is down, its
 * lists are cut short, and a run that is in neither is started again (TWICE).
 */
static void a_run_missing_from_a_cut_list_is_not_lost(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_task_t *task;
	mt_backend_answer_t answer = {.result = MT_COMMAND_DONE,
				      .runs_missing = true};

	mt_engine_fixture_open(&fixture);
	task = mt_engine_fixture_add_running_task(&fixture);
	mt_commands_hold(fixture.engine, fixture.servers[0]);
	mt_engine_fixture_answer_hold(&fixture, &answer);
	CU_ASSERT_EQUAL_FATAL(task->phase, MT_TASK_PHASE_RUNNING);
	answer.runs_missing = false;
	mt_engine_fixture_answer_hold(&fixture, &answer);
	CU_ASSERT_EQUAL(task->phase, MT_TASK_PHASE_WAITING);
	mt_engine_fixture_close(&fixture);
}

/**
 * Guards against: a run that was given up as lost has succeeded, which its
 * server lists when it is reached again, but the task runs once more and may be
 * started yet again (TWICE).
 */
static void the_success_of_a_run_given_up_counts(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_task_t *task;
	mt_ended_run_t ended;
	mt_backend_answer_t answer;

	mt_engine_fixture_open(&fixture);
	task = mt_engine_fixture_add_running_task(&fixture);
	answer = success_of(task, &ended);
	mt_reports_run_lost(fixture.engine, task, "lease over");
	mt_dag_task_place(task, fixture.servers[1], 2, 10000);
	task->placement_stored = true;
	mt_reports_apply_ends(fixture.engine, fixture.servers[0], &answer);
	CU_ASSERT_EQUAL(task->phase, MT_TASK_PHASE_DONE);
	CU_ASSERT_EQUAL(task->step->job->state, MT_DAG__STATE__COMPLETED);
	CU_ASSERT_EQUAL(fixture.stops, 1);
	mt_engine_fixture_close(&fixture);
}

/**
 * Guards against: a long-running task ends `done`, is not started again, and
 * its job is shown as completed (LOST).
 */
static void a_long_running_task_that_ends_waits_again(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_task_t *task;
	mt_ended_run_t ended;
	mt_backend_answer_t answer;

	mt_engine_fixture_open(&fixture);
	task = mt_engine_fixture_add_running_task(&fixture);
	((MtDag__Step *)task->step->spec)->lasting = true;
	mt_commands_hold(fixture.engine, fixture.servers[0]);
	answer = success_of(task, &ended);
	mt_engine_fixture_answer_hold(&fixture, &answer);
	CU_ASSERT_EQUAL(task->phase, MT_TASK_PHASE_WAITING);
	CU_ASSERT_EQUAL(task->step->job->state, MT_DAG__STATE__ACTIVE);
	mt_engine_fixture_close(&fixture);
}

/**
 * Guards against: a start reaches a server that has just restarted, with a
 * lease by the clock of its former process; the server is cut off, and the task
 * is started elsewhere before that lease is over (TWICE).
 */
static void a_restarted_server_may_have_granted_a_longer_lease(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_task_t *task;

	mt_engine_fixture_open(&fixture);
	fixture.engine->deps.timings.lease_max_ms = 10000;
	task = mt_engine_fixture_add_running_task(&fixture);
	fixture.servers[0]->listed = false;
	fixture.servers[0]->drift_start = 10000;
	fixture.servers[0]->leases_expire_at = 16000;
	mt_reports_server_restarted(fixture.engine, fixture.servers[0], 17);
	mt_timers_advance(fixture.timers, 19900);
	mt_commands_tick(fixture.engine, fixture.servers[0]);
	CU_ASSERT_EQUAL(task->phase, MT_TASK_PHASE_RUNNING);
	mt_timers_advance(fixture.timers, 21000);
	mt_commands_tick(fixture.engine, fixture.servers[0]);
	CU_ASSERT_EQUAL(task->phase, MT_TASK_PHASE_WAITING);
	mt_engine_fixture_close(&fixture);
}

/**
 * A server is silent, but the platform lists it as alive. Its run may have
 * ended successfully, so that it is kept for a while after its lease.
 */
static void a_listed_server_keeps_its_runs_longer(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_task_t *task;

	mt_engine_fixture_open(&fixture);
	task = mt_engine_fixture_add_running_task(&fixture);
	fixture.servers[0]->leases_expire_at = 10000;
	mt_commands_tick(fixture.engine, fixture.servers[0]);
	CU_ASSERT_EQUAL(task->phase, MT_TASK_PHASE_RUNNING);
	fixture.servers[0]->listed = false;
	mt_commands_tick(fixture.engine, fixture.servers[0]);
	CU_ASSERT_EQUAL(task->phase, MT_TASK_PHASE_WAITING);
	mt_engine_fixture_close(&fixture);
}

/**
 * After a failed hold the server may have restarted under the same id. It then
 * numbers its ended runs anew, so that none may be deleted yet.
 */
static void a_hold_after_a_failed_one_deletes_no_ends(void)
{
	mt_engine_fixture_t fixture;
	mt_backend_answer_t reset = {.result = MT_COMMAND_UNKNOWN};

	mt_engine_fixture_open(&fixture);
	mt_engine_fixture_add_running_task(&fixture);
	fixture.servers[0]->last_end_handled = 57;
	fixture.servers[0]->last_end_stored = 57;
	mt_commands_hold(fixture.engine, fixture.servers[0]);
	CU_ASSERT_EQUAL(g_array_index(fixture.holds, mt_pending_hold_t, 0)
				.command.last_seen,
			57);
	mt_engine_fixture_answer_hold(&fixture, &reset);
	mt_engine_fixture_advance(&fixture, 1000);
	CU_ASSERT_EQUAL_FATAL(fixture.holds->len, 1);
	CU_ASSERT_EQUAL(g_array_index(fixture.holds, mt_pending_hold_t, 0)
				.command.last_seen,
			0);
	mt_engine_fixture_close(&fixture);
}

/**
 * Pattern: the leader was paused, or cut off from the store, for some seconds.
 * Another host may lead by now, so that it starts and renews nothing before it
 * has read the records again.
 */
static void a_leader_with_old_records_starts_and_renews_nothing(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_task_t *task;
	mt_pending_hold_t hold;

	mt_engine_fixture_open(&fixture);
	task = mt_engine_fixture_add_running_task(&fixture);
	task->phase = MT_TASK_PHASE_STARTING;
	fixture.servers[0]->answered_at = 10000;
	fixture.records_age_ms = 5000;
	mt_commands_start(fixture.engine, task);
	CU_ASSERT_EQUAL(fixture.starts, 0);
	mt_commands_hold(fixture.engine, fixture.servers[0]);
	hold = g_array_index(fixture.holds, mt_pending_hold_t, 0);
	CU_ASSERT_EQUAL(hold.command.due_ms, 0);
	fixture.records_age_ms = 100;
	mt_commands_start(fixture.engine, task);
	CU_ASSERT_EQUAL(fixture.starts, 1);
	mt_commands_hold(fixture.engine, fixture.servers[1]);
	mt_engine_fixture_close(&fixture);
}

/**
 * A new leader learns of a server only from records of jobs, as the server has
 * left. It is not used again.
 */
static void a_server_that_has_left_gets_no_tasks(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_job_t *job;

	mt_engine_fixture_open(&fixture);
	fixture.servers[0]->listed = false;
	fixture.servers[1]->hold_answered = false;
	job = mt_engine_fixture_add_job(&fixture, 1, 0, 1);
	mt_planner_run(fixture.engine);
	CU_ASSERT_EQUAL(mt_task_of(mt_first_step(job), 0)->phase,
			MT_TASK_PHASE_WAITING);
	fixture.servers[0]->listed = true;
	mt_planner_run(fixture.engine);
	CU_ASSERT_EQUAL(mt_task_of(mt_first_step(job), 0)->phase,
			MT_TASK_PHASE_STARTING);
	mt_engine_fixture_close(&fixture);
}

const mt_test_t mt_engine_tests[] = {
	{"a start is not repeated to another kind",
	 a_start_is_not_repeated_to_another_kind},
	{"a start is repeated to the same kind",
	 a_start_is_repeated_to_the_same_kind},
	{"a first start is not sent to another kind",
	 a_first_start_is_not_sent_to_another_kind},
	{"an outdated entry is not used", an_outdated_entry_is_not_used},
	{"a take-over is sliced", a_take_over_is_sliced},
	{"a leader with old records starts and renews nothing",
	 a_leader_with_old_records_starts_and_renews_nothing},
	{"a server that has left gets no tasks",
	 a_server_that_has_left_gets_no_tasks},
	{"a late answer to a hold counts", a_late_answer_to_a_hold_counts},
	{"an overtaken report gives no run up",
	 an_overtaken_report_gives_no_run_up},
	{"a run missing from a cut list is not lost",
	 a_run_missing_from_a_cut_list_is_not_lost},
	{"the success of a run given up counts",
	 the_success_of_a_run_given_up_counts},
	{"a long-running task that ends waits again",
	 a_long_running_task_that_ends_waits_again},
	{"a restarted server may have granted a longer lease",
	 a_restarted_server_may_have_granted_a_longer_lease},
	{"a listed server keeps its runs longer",
	 a_listed_server_keeps_its_runs_longer},
	{"a hold after a failed one deletes no ends",
	 a_hold_after_a_failed_one_deletes_no_ends},
	{"a gang is stopped as a whole", a_gang_is_stopped_as_a_whole},
	{"an unsent gang waits again as a whole",
	 an_unsent_gang_waits_again_as_a_whole},
	{"a gang is stopped after a start of unknown outcome",
	 a_gang_is_stopped_after_a_start_of_unknown_outcome},
	{"nothing is stopped while capacity is free",
	 nothing_is_stopped_while_capacity_is_free},
	{"batch starts on an uncontended service",
	 batch_starts_on_an_uncontended_service},
	{"batch waits on a contended service",
	 batch_waits_on_a_contended_service},
	{"a job stored after its cancellation does not start",
	 a_job_stored_after_its_cancellation_does_not_start},
	{"a cancellation without a job is deleted later",
	 a_cancellation_without_a_job_is_deleted_later},
	{"a cancelled job is stopped at once",
	 a_cancelled_job_is_stopped_at_once},
	{"writes do not pile up while the store is away",
	 writes_do_not_pile_up_while_the_store_is_away},
	{"the record of an ended job has no payload",
	 the_record_of_an_ended_job_has_no_payload},
	{NULL, NULL},
};
