/**
 * @file test_evacuations.c
 * Tests of the evacuation of data centres: which ones are evacuated, by the
 * records of the operators' topic, and what the scheduling engine starts where.
 */
#include <CUnit/Basic.h>

#include "dag/evacuations.h"
#include "platform/config_json.h"
#include "unit/engine_fixture.h"
#include "unit/fake_topic.h"
#include "unit/tests.h"

#define EVACUATION_MS 5000u

/** Age from which on no start may be sent: a fifth is left for its way. */
#define START_AGE_MAX_MS 4000u

typedef struct mt_evacuation_fixture_t {
	mt_timers_t *timers;
	mt_kernel_t *kernel;
	mt_fake_topic_t topic;
	mt_evacuations_t *evacuations;
} mt_evacuation_fixture_t;

static void set_up(mt_evacuation_fixture_t *fixture)
{
	*fixture = (mt_evacuation_fixture_t){0};
	fixture->timers = mt_timers_new(10000);
	fixture->kernel = mt_kernel_new("test", fixture->timers, 1);
	mt_fake_topic_open(&fixture->topic);
	mt_fake_topic_put(&fixture->topic, "config", "{}");
	fixture->evacuations =
		mt_evacuations_new(fixture->kernel, &fixture->topic.port,
				   &mt_evacuations_format, EVACUATION_MS);
	mt_evacuations_open(fixture->evacuations);
}

static void tear_down(mt_evacuation_fixture_t *fixture)
{
	mt_evacuations_free(fixture->evacuations);
	mt_fake_topic_close(&fixture->topic);
	mt_kernel_free(fixture->kernel);
	mt_timers_free(fixture->timers);
}

static void put(mt_evacuation_fixture_t *fixture, const char *key,
		const char *value)
{
	mt_fake_topic_put(&fixture->topic, key, value);
	mt_fake_topic_answer(&fixture->topic);
}

static bool is_evacuated(const mt_evacuation_fixture_t *fixture,
			 const char *zone)
{
	mt_shared_name_t name = mt_shared_name(zone);
	bool evacuated = mt_evacuations_contain(fixture->evacuations, name);

	mt_shared_name_clear(&name);
	return evacuated;
}

static void advance(mt_evacuation_fixture_t *fixture, mt_ms_t ms)
{
	mt_timers_advance(fixture->timers, mt_timers_now(fixture->timers) + ms);
}

/**
 * Guards against: a new leader starts tasks in a data centre before it has read
 * that this is evacuated; or never starts any, since one read has failed.
 */
static void nothing_is_known_before_the_first_snapshot(void)
{
	mt_evacuation_fixture_t fixture;

	set_up(&fixture);
	mt_fake_topic_put(&fixture.topic, "evacuate/z1", "{}");
	CU_ASSERT_FALSE(mt_evacuations_are_known(fixture.evacuations));
	CU_ASSERT_FALSE(mt_evacuations_are_fresh(fixture.evacuations));
	mt_fake_topic_fail(&fixture.topic, MT_STORE_UNKNOWN);
	advance(&fixture, 1000);
	CU_ASSERT_FALSE(mt_evacuations_are_known(fixture.evacuations));
	mt_fake_topic_answer(&fixture.topic);
	CU_ASSERT_TRUE(mt_evacuations_are_known(fixture.evacuations));
	CU_ASSERT_TRUE(mt_evacuations_are_fresh(fixture.evacuations));
	CU_ASSERT_TRUE(is_evacuated(&fixture, "z1"));
	CU_ASSERT_FALSE(is_evacuated(&fixture, "z2"));
	tear_down(&fixture);
}

/**
 * Guards against: a record with another value than {}, a second evacuation, or
 * a new configuration ends an evacuation; a deletion does not.
 */
static void records_begin_and_end_evacuations(void)
{
	mt_evacuation_fixture_t fixture;

	set_up(&fixture);
	mt_fake_topic_answer(&fixture.topic);
	put(&fixture, "evacuate/z1", "{");
	put(&fixture, "evacuate/z2", "null");
	put(&fixture, "evacuate/nowhere", "0");
	put(&fixture, "config", "{}");
	CU_ASSERT_TRUE(is_evacuated(&fixture, "z1"));
	CU_ASSERT_TRUE(is_evacuated(&fixture, "z2"));
	put(&fixture, "evacuate/z1", "");
	CU_ASSERT_FALSE(is_evacuated(&fixture, "z1"));
	CU_ASSERT_TRUE(is_evacuated(&fixture, "z2"));
	put(&fixture, "evacuate/z1", "{}");
	CU_ASSERT_TRUE(is_evacuated(&fixture, "z1"));
	tear_down(&fixture);
}

/** Guards against: the read of a deletion and of what follows it, in one page
 * or several, leaves the older state. */
static void the_newest_of_several_records_counts(void)
{
	mt_evacuation_fixture_t fixture;

	for (size_t page_records = 1; page_records <= 4; page_records++) {
		set_up(&fixture);
		fixture.topic.page_records = page_records;
		mt_fake_topic_answer(&fixture.topic);
		mt_fake_topic_put(&fixture.topic, "evacuate/z1", "{}");
		mt_fake_topic_put(&fixture.topic, "evacuate/z1", "");
		mt_fake_topic_put(&fixture.topic, "evacuate/z2", "{}");
		put(&fixture, "evacuate/z1", "{}");
		CU_ASSERT_TRUE(is_evacuated(&fixture, "z1"));
		CU_ASSERT_TRUE(is_evacuated(&fixture, "z2"));
		mt_fake_topic_put(&fixture.topic, "evacuate/z2", "");
		mt_fake_topic_put(&fixture.topic, "evacuate/z3", "{}");
		put(&fixture, "evacuate/z3", "");
		CU_ASSERT_TRUE(is_evacuated(&fixture, "z1"));
		CU_ASSERT_FALSE(is_evacuated(&fixture, "z2"));
		CU_ASSERT_FALSE(is_evacuated(&fixture, "z3"));
		tear_down(&fixture);
	}
}

/**
 * Guards against: the leader was cut off from the store, the deletion is among
 * the records that it skips or that the store has dropped, and the data centre
 * stays evacuated for ever; or, during the snapshot, is used too early.
 */
static void a_snapshot_without_the_record_ends_the_evacuation(void)
{
	mt_evacuation_fixture_t fixture;

	set_up(&fixture);
	fixture.topic.page_records = 2;
	mt_fake_topic_put(&fixture.topic, "evacuate/z1", "{}");
	mt_fake_topic_put(&fixture.topic, "evacuate/z3", "{}");
	mt_fake_topic_answer(&fixture.topic);
	mt_fake_topic_put(&fixture.topic, "evacuate/z1", "");
	mt_fake_topic_put(&fixture.topic, "evacuate/z2", "{}");
	mt_fake_topic_fail(&fixture.topic, MT_STORE_TRIMMED);
	CU_ASSERT_TRUE(is_evacuated(&fixture, "z1"));
	mt_fake_topic_answer_one(&fixture.topic);
	CU_ASSERT_TRUE(mt_evacuations_are_known(fixture.evacuations));
	CU_ASSERT_TRUE(is_evacuated(&fixture, "z1"));
	CU_ASSERT_TRUE(is_evacuated(&fixture, "z2"));
	mt_fake_topic_answer(&fixture.topic);
	CU_ASSERT_FALSE(is_evacuated(&fixture, "z1"));
	CU_ASSERT_TRUE(is_evacuated(&fixture, "z2"));
	CU_ASSERT_TRUE(is_evacuated(&fixture, "z3"));
	tear_down(&fixture);
}

/**
 * Guards against: the leader cannot read the topic, and starts tasks in a data
 * centre although its evacuation was acknowledged evacuation_ms ago.
 */
static void an_old_copy_is_not_fresh(void)
{
	mt_evacuation_fixture_t fixture;

	set_up(&fixture);
	mt_fake_topic_answer(&fixture.topic);
	advance(&fixture, START_AGE_MAX_MS);
	CU_ASSERT_TRUE(mt_evacuations_are_fresh(fixture.evacuations));
	advance(&fixture, 1);
	CU_ASSERT_FALSE(mt_evacuations_are_fresh(fixture.evacuations));
	CU_ASSERT_TRUE(mt_evacuations_are_known(fixture.evacuations));
	/* The answer shows the state of the time at which the call was sent,
	 * which is as old; the next call is sent now. */
	mt_fake_topic_answer_one(&fixture.topic);
	CU_ASSERT_FALSE(mt_evacuations_are_fresh(fixture.evacuations));
	mt_fake_topic_answer_one(&fixture.topic);
	CU_ASSERT_TRUE(mt_evacuations_are_fresh(fixture.evacuations));
	tear_down(&fixture);
}

/**
 * Guards against: names that no server can have, of any length, are cut to the
 * name of another data centre, or end the program.
 */
static void odd_names_evacuate_no_other_data_centre(void)
{
	mt_evacuation_fixture_t fixture;
	char *letters = g_strnfill(MT_SHARED_NAME_MAX_BYTES, 'z');
	char *long_key = g_strconcat("evacuate/", letters, "z", NULL);

	set_up(&fixture);
	mt_fake_topic_answer(&fixture.topic);
	put(&fixture, long_key, "{}");
	put(&fixture, "evacuate/", "{}");
	put(&fixture, "evacuate", "{}");
	put(&fixture, "evacuate/\"z\\", "{}");
	CU_ASSERT_FALSE(is_evacuated(&fixture, letters));
	CU_ASSERT_FALSE(is_evacuated(&fixture, ""));
	CU_ASSERT_TRUE(is_evacuated(&fixture, "\"z\\"));
	CU_ASSERT_EQUAL(
		g_hash_table_size(mt_evacuations_zones(fixture.evacuations)),
		1);
	g_free(letters);
	g_free(long_key);
	tear_down(&fixture);
}

/**
 * Guards against: a host that leads again uses what it has read in an earlier
 * term.
 */
static void a_later_term_reads_again(void)
{
	mt_evacuation_fixture_t fixture;

	set_up(&fixture);
	put(&fixture, "evacuate/z1", "{}");
	mt_evacuations_close(fixture.evacuations);
	CU_ASSERT_FALSE(is_evacuated(&fixture, "z1"));
	CU_ASSERT_FALSE(mt_evacuations_are_known(fixture.evacuations));
	CU_ASSERT_FALSE(mt_evacuations_are_fresh(fixture.evacuations));
	mt_fake_topic_fail(&fixture.topic, MT_STORE_REFUSED);
	put(&fixture, "evacuate/z1", "");
	mt_evacuations_open(fixture.evacuations);
	CU_ASSERT_FALSE(mt_evacuations_are_known(fixture.evacuations));
	mt_fake_topic_answer(&fixture.topic);
	CU_ASSERT_TRUE(mt_evacuations_are_known(fixture.evacuations));
	CU_ASSERT_FALSE(is_evacuated(&fixture, "z1"));
	tear_down(&fixture);
}

/* The engine. */

/** An engine with server 0 in data centre z1, and server 1 in z2. */
typedef struct mt_evacuated_engine_t {
	mt_engine_fixture_t engine;
	mt_fake_topic_t topic;
} mt_evacuated_engine_t;

/** The topic has been read; it holds no evacuation. */
static void open_engine(mt_evacuated_engine_t *fixture)
{
	mt_engine_fixture_open(&fixture->engine);
	mt_fake_topic_open(&fixture->topic);
	fixture->engine.servers[0]->info.zone = mt_shared_name("z1");
	fixture->engine.servers[1]->info.zone = mt_shared_name("z2");
	fixture->engine.engine->deps.evacuations =
		mt_evacuations_new(fixture->engine.kernel, &fixture->topic.port,
				   &mt_evacuations_format, EVACUATION_MS);
	mt_evacuations_open(fixture->engine.engine->deps.evacuations);
	mt_fake_topic_answer(&fixture->topic);
}

static void close_engine(mt_evacuated_engine_t *fixture)
{
	mt_evacuations_free(fixture->engine.engine->deps.evacuations);
	mt_fake_topic_close(&fixture->topic);
	mt_engine_fixture_close(&fixture->engine);
}

static void evacuate(mt_evacuated_engine_t *fixture, const char *zone)
{
	char *key = g_strconcat("evacuate/", zone, NULL);

	mt_fake_topic_put(&fixture->topic, key, "{}");
	mt_fake_topic_answer(&fixture->topic);
	g_free(key);
}

static void restore(mt_evacuated_engine_t *fixture, const char *zone)
{
	char *key = g_strconcat("evacuate/", zone, NULL);

	mt_fake_topic_put(&fixture->topic, key, "");
	mt_fake_topic_answer(&fixture->topic);
	g_free(key);
}

/** Adds a job whose tasks are placed, one on each server, and stored. */
static mt_dag_step_t *add_placed_step(mt_engine_fixture_t *fixture,
				      uint32_t count)
{
	mt_dag_step_t *step =
		mt_first_step(mt_engine_fixture_add_job(fixture, 1, 2, count));

	for (uint32_t i = 0; i < count; i++) {
		mt_dag_task_place(mt_task_of(step, i), fixture->servers[i], 1,
				  9000);
		mt_task_of(step, i)->placement_stored = true;
	}
	return step;
}

static void tick_all(mt_engine_fixture_t *fixture)
{
	for (unsigned i = 0; i < MT_ENGINE_FIXTURE_SERVERS; i++)
		mt_commands_tick(fixture->engine, fixture->servers[i]);
}

/**
 * Guards against: tasks are placed in an evacuated data centre, tasks that run
 * there are preempted or stopped, or the data centre stays unused after the
 * evacuation.
 */
static void no_task_is_placed_in_an_evacuated_data_centre(void)
{
	mt_evacuated_engine_t fixture;
	mt_dag_task_t *running;
	mt_dag_task_t *task;

	open_engine(&fixture);
	running = mt_engine_fixture_add_running_task(&fixture.engine);
	evacuate(&fixture, "z1");
	evacuate(&fixture, "z2");
	task = mt_task_of(mt_first_step(mt_engine_fixture_add_job(
				  &fixture.engine, 2, 0, 1)),
			  0);
	mt_planner_run(fixture.engine.engine);
	CU_ASSERT_EQUAL(task->phase, MT_TASK_PHASE_WAITING);
	CU_ASSERT_EQUAL(running->phase, MT_TASK_PHASE_RUNNING);
	CU_ASSERT_FALSE(running->stop_wanted);
	restore(&fixture, "z2");
	mt_planner_run(fixture.engine.engine);
	CU_ASSERT_PTR_EQUAL(task->server, fixture.engine.servers[1]);
	CU_ASSERT_EQUAL(fixture.engine.stops, 0);
	close_engine(&fixture);
}

/**
 * Guards against: a long-running task whose run has ended in the evacuated data
 * centre is started there again.
 */
static void a_long_running_task_moves_when_it_ends(void)
{
	mt_evacuated_engine_t fixture;
	mt_dag_task_t *task;
	mt_ended_run_t ended = {1, {0}, 1, MT_END_DONE, {0}};
	mt_backend_answer_t answer = {.result = MT_COMMAND_DONE};

	open_engine(&fixture);
	task = mt_engine_fixture_add_running_task(&fixture.engine);
	((MtDag__Step *)task->step->spec)->lasting = true;
	evacuate(&fixture, "z1");
	ended.task = mt_dag_task_key(task);
	answer.ended = &ended;
	answer.n_ended = 1;
	mt_reports_apply_ends(fixture.engine.engine, fixture.engine.servers[0],
			      &answer);
	mt_planner_run(fixture.engine.engine);
	CU_ASSERT_PTR_EQUAL(task->server, fixture.engine.servers[1]);
	close_engine(&fixture);
}

/**
 * Guards against: a task that was placed before the evacuation was read is
 * started after it.
 */
static void a_start_that_was_not_sent_is_withdrawn(void)
{
	mt_evacuated_engine_t fixture;
	mt_dag_task_t *task;

	open_engine(&fixture);
	task = mt_task_of(add_placed_step(&fixture.engine, 1), 0);
	evacuate(&fixture, "z1");
	mt_commands_start(fixture.engine.engine, task);
	CU_ASSERT_EQUAL(fixture.engine.starts, 0);
	CU_ASSERT_EQUAL(task->phase, MT_TASK_PHASE_WAITING);
	CU_ASSERT_EQUAL(task->fails, 0);
	close_engine(&fixture);
}

/**
 * Guards against: after the evacuation was read, a start without an answer is
 * repeated; or the task is started elsewhere although the first attempt may
 * have been carried out, and runs twice.
 */
static void a_start_without_an_answer_is_not_repeated(void)
{
	mt_evacuated_engine_t fixture;
	mt_dag_task_t *task;

	open_engine(&fixture);
	task = mt_task_of(add_placed_step(&fixture.engine, 1), 0);
	fixture.engine.servers[0]->leases_expire_at = 99999;
	task->first_start_sent_at = 9000;
	task->last_start_sent_at = 9000;
	task->start_unanswered = true;
	evacuate(&fixture, "z1");
	tick_all(&fixture.engine);
	CU_ASSERT_EQUAL(fixture.engine.starts, 0);
	CU_ASSERT_EQUAL(fixture.engine.stops, 1);
	CU_ASSERT_TRUE(task->stop_wanted);
	CU_ASSERT_PTR_EQUAL(task->server, fixture.engine.servers[0]);
	close_engine(&fixture);
}

/**
 * Guards against: a start that was in flight when the evacuation was read is
 * taken for one without effect, and the task runs twice.
 */
static void a_start_in_flight_is_awaited(void)
{
	mt_evacuated_engine_t fixture;
	mt_dag_task_t *task;

	open_engine(&fixture);
	task = mt_task_of(add_placed_step(&fixture.engine, 1), 0);
	fixture.engine.servers[0]->leases_expire_at = 99999;
	task->start_in_flight = true;
	evacuate(&fixture, "z1");
	tick_all(&fixture.engine);
	CU_ASSERT_EQUAL(task->phase, MT_TASK_PHASE_STARTING);
	CU_ASSERT_FALSE(task->stop_wanted);
	task->start_in_flight = false;
	task->start_settled_at = 10000;
	tick_all(&fixture.engine);
	CU_ASSERT_FALSE(task->stop_wanted);
	CU_ASSERT_EQUAL(fixture.engine.starts + fixture.engine.stops, 0);
	close_engine(&fixture);
}

/**
 * Guards against: one member of a gang returns to waiting, and the others, in
 * other data centres, wait in vain for it.
 */
static void a_gang_returns_to_waiting_as_a_whole(void)
{
	mt_evacuated_engine_t fixture;
	mt_dag_step_t *gang;

	open_engine(&fixture);
	gang = add_placed_step(&fixture.engine, MT_ENGINE_FIXTURE_SERVERS);
	fixture.engine.servers[0]->leases_expire_at = 99999;
	fixture.engine.servers[1]->leases_expire_at = 99999;
	mt_task_of(gang, 1)->phase = MT_TASK_PHASE_RUNNING;
	mt_task_of(gang, 1)->start_settled_at = 9500;
	evacuate(&fixture, "z1");
	tick_all(&fixture.engine);
	CU_ASSERT_EQUAL(fixture.engine.starts, 0);
	CU_ASSERT_EQUAL(mt_task_of(gang, 0)->phase, MT_TASK_PHASE_WAITING);
	CU_ASSERT_TRUE(mt_task_of(gang, 1)->stop_wanted);
	CU_ASSERT_EQUAL(fixture.engine.stops, 1);
	close_engine(&fixture);
}

/**
 * Guards against: the store is away, and the leader starts tasks in a data
 * centre of whose evacuation it cannot know.
 */
static void nothing_starts_while_the_copy_is_old(void)
{
	mt_evacuated_engine_t fixture;
	mt_dag_task_t *task;

	open_engine(&fixture);
	task = mt_task_of(add_placed_step(&fixture.engine, 1), 0);
	mt_timers_advance(fixture.engine.timers,
			  10000 + START_AGE_MAX_MS + 100);
	mt_commands_start(fixture.engine.engine, task);
	CU_ASSERT_EQUAL(fixture.engine.starts, 0);
	CU_ASSERT_EQUAL(task->phase, MT_TASK_PHASE_STARTING);
	mt_fake_topic_answer_one(&fixture.topic);
	mt_fake_topic_answer_one(&fixture.topic);
	mt_commands_start(fixture.engine.engine, task);
	CU_ASSERT_EQUAL(fixture.engine.starts, 1);
	close_engine(&fixture);
}

/* Leadership. */

/** The store of a leader: the list of servers, and the last append. */
typedef struct mt_leader_store_t {
	mt_fake_topic_t
		servers; /**< first, as its port passes on its address */
	mt_store_append_cb append_cb;
	void *append_ctx;
} mt_leader_store_t;

/** Answers no append before the leader has stepped down. */
static void keep_append(void *self, const mt_store_append_t *append,
			mt_store_append_cb cb, void *ctx)
{
	mt_leader_store_t *store = self;

	store->append_cb = cb;
	store->append_ctx = ctx;
}

/** Makes the engine the leader; no topic is read before the test answers. */
static void lead(mt_evacuated_engine_t *fixture, mt_leader_store_t *store)
{
	static const mt_directory_format_t format = {"servers", NULL};
	mt_engine_t *engine = fixture->engine.engine;

	*store = (mt_leader_store_t){0};
	mt_fake_topic_open(&store->servers);
	store->servers.port.append = keep_append;
	engine->deps.store = &store->servers.port;
	engine->deps.table = mt_table_new(fixture->engine.kernel);
	engine->deps.directory = mt_directory_new(
		fixture->engine.kernel, &store->servers.port, &format);
	mt_engine_become_leader(engine, 7);
}

static void stop_leading(mt_evacuated_engine_t *fixture,
			 mt_leader_store_t *store)
{
	mt_engine_t *engine = fixture->engine.engine;

	mt_engine_step_down(engine);
	if (store->append_cb)
		store->append_cb(store->append_ctx, MT_STORE_REFUSED, 0);
	mt_table_free(engine->deps.table);
	mt_directory_free(engine->deps.directory);
	mt_fake_topic_close(&store->servers);
}

/**
 * Guards against: the leader is lost during an evacuation, and the next one
 * places tasks before it has read the evacuation, or repeats a start of the
 * former leader, or gives up one whose record was restored some time after it
 * began to lead, so that the task runs twice. A task that the former leader has
 * started is left alone.
 */
static void a_take_over_during_an_evacuation(void)
{
	mt_evacuated_engine_t fixture;
	mt_leader_store_t store;
	mt_dag_task_t *former;
	mt_dag_task_t *task;

	open_engine(&fixture);
	mt_fake_topic_put(&fixture.topic, "evacuate/z1", "{}");
	lead(&fixture, &store);
	former = mt_task_of(add_placed_step(&fixture.engine, 1), 0);
	former->restored = true;
	former->placed_at = mt_engine_now(fixture.engine.engine) + 1;
	fixture.engine.servers[0]->leases_expire_at = 99999;
	task = mt_task_of(mt_first_step(mt_engine_fixture_add_job(
				  &fixture.engine, 2, 0, 1)),
			  0);
	mt_engine_fixture_advance(&fixture.engine, 1000);
	CU_ASSERT_EQUAL(task->phase, MT_TASK_PHASE_WAITING);
	CU_ASSERT_EQUAL(former->phase, MT_TASK_PHASE_STARTING);
	mt_fake_topic_answer(&fixture.topic);
	mt_engine_fixture_advance(&fixture.engine, 1000);
	CU_ASSERT_PTR_EQUAL(task->server, fixture.engine.servers[1]);
	CU_ASSERT_PTR_EQUAL(former->server, fixture.engine.servers[0]);
	CU_ASSERT_EQUAL(fixture.engine.starts + fixture.engine.stops, 0);
	stop_leading(&fixture, &store);
	close_engine(&fixture);
}

static uint64_t gauge(const mt_evacuated_engine_t *fixture, const char *name)
{
	return *mt_kernel_counter(fixture->engine.kernel, name);
}

/**
 * Guards against: operators do not see that what is left no longer suffices for
 * the guarantees, or see it of a host that leads no more. The configuration
 * comes after the first record.
 */
static void gauges_show_evacuations_and_missing_guarantees(void)
{
	mt_evacuated_engine_t fixture;
	mt_leader_store_t store;
	mt_catalog_t *catalog = mt_catalog_new(1);

	mt_catalog_add_account(catalog)->guaranteed_gpu =
		MT_ENGINE_FIXTURE_GPU + 3;
	open_engine(&fixture);
	lead(&fixture, &store);
	mt_fake_topic_answer(&store.servers);
	mt_engine_fixture_add_running_task(&fixture.engine);
	fixture.engine.servers[0]->leases_expire_at = 99999;
	evacuate(&fixture, "z1");
	evacuate(&fixture, "nowhere");
	mt_engine_fixture_advance(&fixture.engine, 100);
	CU_ASSERT_EQUAL(gauge(&fixture, "evacuated_zones"), 2);
	CU_ASSERT_EQUAL(gauge(&fixture, "evacuated_zone_tasks"), 1);
	CU_ASSERT_EQUAL(gauge(&fixture, "guaranteed_gpu_missing"), 0);
	mt_engine_set_catalog(fixture.engine.engine, catalog);
	mt_engine_fixture_advance(&fixture.engine, 100);
	CU_ASSERT_EQUAL(gauge(&fixture, "guaranteed_gpu_missing"), 3);
	restore(&fixture, "z1");
	mt_engine_fixture_advance(&fixture.engine, 100);
	CU_ASSERT_EQUAL(gauge(&fixture, "evacuated_zones"), 1);
	CU_ASSERT_EQUAL(gauge(&fixture, "evacuated_zone_tasks"), 0);
	CU_ASSERT_EQUAL(gauge(&fixture, "guaranteed_gpu_missing"), 0);
	stop_leading(&fixture, &store);
	CU_ASSERT_EQUAL(gauge(&fixture, "evacuated_zones"), 0);
	mt_catalog_free(catalog);
	close_engine(&fixture);
}

const mt_test_t mt_evacuations_tests[] = {
	{"nothing is known before the first snapshot",
	 nothing_is_known_before_the_first_snapshot},
	{"records begin and end evacuations",
	 records_begin_and_end_evacuations},
	{"the newest of several records counts",
	 the_newest_of_several_records_counts},
	{"a snapshot without the record ends the evacuation",
	 a_snapshot_without_the_record_ends_the_evacuation},
	{"an old copy is not fresh", an_old_copy_is_not_fresh},
	{"odd names evacuate no other data centre",
	 odd_names_evacuate_no_other_data_centre},
	{"a later term reads again", a_later_term_reads_again},
	{"no task is placed in an evacuated data centre",
	 no_task_is_placed_in_an_evacuated_data_centre},
	{"a long-running task moves when it ends",
	 a_long_running_task_moves_when_it_ends},
	{"a start that was not sent is withdrawn",
	 a_start_that_was_not_sent_is_withdrawn},
	{"a start without an answer is not repeated",
	 a_start_without_an_answer_is_not_repeated},
	{"a start in flight is awaited", a_start_in_flight_is_awaited},
	{"a gang returns to waiting as a whole",
	 a_gang_returns_to_waiting_as_a_whole},
	{"nothing starts while the copy is old",
	 nothing_starts_while_the_copy_is_old},
	{"a take-over during an evacuation", a_take_over_during_an_evacuation},
	{"gauges show evacuations and missing guarantees",
	 gauges_show_evacuations_and_missing_guarantees},
	{NULL, NULL},
};
