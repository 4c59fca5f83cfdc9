/**
 * @file test_cold.c
 * Tests of cold servers, which are slow for some time after their start: the
 * rate limit of their placements, and which servers the planner prefers.
 */
#include <CUnit/Basic.h>

#include "dag/cold_rate.h"
#include "unit/engine_fixture.h"
#include "unit/tests.h"

/** Places as many tasks as the limit allows; returns their number. */
static uint32_t place_all(mt_cold_rate_t *rate, double per_s, mt_ms_t now)
{
	uint32_t n = 0;

	while (mt_cold_rate_left(rate, per_s, now)) {
		mt_cold_rate_note(rate, now);
		n++;
	}
	return n;
}

/**
 * Guards against: more tasks than the limit begin within one second, at any
 * phase of the intervals in which they are counted; or far fewer.
 */
static void no_second_exceeds_the_rate(void)
{
	for (mt_ms_t step_ms = 1; step_ms <= 150; step_ms += 7) {
		mt_cold_rate_t rate = {0};
		mt_ms_t begin = 1000003;
		uint32_t placed[3000] = {0};
		uint32_t total = 0;

		for (mt_ms_t t = 0; t < 3000; t += step_ms) {
			placed[t] = place_all(&rate, 4, begin + t);
			total += placed[t];
		}
		for (size_t from = 0; from + 1000 <= 3000; from++) {
			uint32_t sum = 0;

			for (size_t t = from; t < from + 1000; t++)
				sum += placed[t];
			CU_ASSERT_TRUE(sum <= 4);
		}
		CU_ASSERT_TRUE(total >= 8);
	}
}

/**
 * Guards against: a rate below one stops all placements; a rate beyond all
 * bounds, or a fraction, is converted to a wrong number.
 */
static void odd_rates_allow_at_least_one_task(void)
{
	mt_cold_rate_t rate = {0};

	CU_ASSERT_EQUAL(mt_cold_rate_left(&rate, 0.2, 10000), 1);
	CU_ASSERT_EQUAL(mt_cold_rate_left(&rate, 3.9, 10000), 3);
	CU_ASSERT_EQUAL(mt_cold_rate_left(&rate, 1e300, 10000), 1000000);
	mt_cold_rate_note(&rate, 10000);
	CU_ASSERT_EQUAL(mt_cold_rate_left(&rate, 0.2, 10999), 0);
	CU_ASSERT_EQUAL(mt_cold_rate_left(&rate, 0.2, 11200), 1);
}

/**
 * Guards against: a snapshot that delivers the entry of a server again prolongs
 * the time for which it is cold; a later process of it, or a newer entry, does
 * not change that time.
 */
static void the_same_entry_does_not_prolong_the_time(void)
{
	mt_backend_t backend = {0};
	mt_backend_info_t info = {.born_ms = 5, .cold_remaining_ms = 3000};

	mt_backend_note_cold(&backend, &info, 10000);
	CU_ASSERT_EQUAL(backend.cold_until, 13000);
	backend.info = info;
	mt_backend_note_cold(&backend, &info, 12000);
	CU_ASSERT_EQUAL(backend.cold_until, 13000);
	info.cold_remaining_ms = 2000;
	mt_backend_note_cold(&backend, &info, 12000);
	CU_ASSERT_EQUAL(backend.cold_until, 14000);
	backend.info = info;
	info.born_ms = 6;
	mt_backend_note_cold(&backend, &info, 13000);
	CU_ASSERT_EQUAL(backend.cold_until, 15000);
	info.cold_remaining_ms = 0;
	mt_backend_note_cold(&backend, &info, 13000);
	CU_ASSERT_EQUAL(backend.cold_until, 0);
}

/** A catalog in which the fixture's service has a limit for cold servers. */
static mt_catalog_t *catalog_with_limit(double cold_per_s)
{
	mt_catalog_t *catalog = mt_catalog_new(1);
	mt_service_t service = {mt_shared_name("service"), cold_per_s};

	g_array_append_val(catalog->services, service);
	return catalog;
}

/** Adds a step of `count` single tasks with one accelerator each. */
static mt_dag_step_t *add_small_tasks(mt_engine_fixture_t *fixture, uint64_t id,
				      uint32_t count)
{
	mt_dag_step_t *step =
		mt_first_step(mt_engine_fixture_add_job(fixture, id, 2, count));
	MtDag__Step *spec = (MtDag__Step *)step->spec;

	spec->gang = false;
	spec->gpu = 1;
	return step;
}

/** Runs a scheduling pass; returns how many tasks are on the server. */
static unsigned plan(mt_engine_fixture_t *fixture, unsigned server)
{
	mt_planner_run(fixture->engine);
	return fixture->servers[server]->tasks->len;
}

/**
 * Guards against: after an evacuation, tasks go to servers that have just come
 * back and are slow, while others are free.
 */
static void a_warm_server_is_preferred(void)
{
	mt_engine_fixture_t fixture;

	mt_engine_fixture_open(&fixture);
	fixture.servers[0]->cold_until = 13000;
	fixture.servers[1]->fail_streak = 1;
	add_small_tasks(&fixture, 1, 3);
	CU_ASSERT_EQUAL(plan(&fixture, 0), 0);
	CU_ASSERT_EQUAL(plan(&fixture, 1), 3);
	/* What does not fit on the warm server goes to the cold one. */
	add_small_tasks(&fixture, 2, 6);
	CU_ASSERT_EQUAL(plan(&fixture, 0), 1);
	mt_engine_fixture_close(&fixture);
}

/**
 * Guards against: a cold server gets more tasks per second than its service
 * allows, in one pass or several; the limit applies when it is warm; or without
 * a limit of its service.
 */
static void a_cold_server_gets_few_tasks_per_second(void)
{
	mt_engine_fixture_t fixture;
	mt_catalog_t *catalog = catalog_with_limit(2);

	mt_engine_fixture_open(&fixture);
	mt_engine_set_catalog(fixture.engine, catalog);
	fixture.servers[0]->cold_until = 13000;
	fixture.servers[1]->listed = false;
	add_small_tasks(&fixture, 1, 1);
	add_small_tasks(&fixture, 2, 6);
	CU_ASSERT_EQUAL(plan(&fixture, 0), 2);
	mt_engine_fixture_advance(&fixture, 900);
	CU_ASSERT_EQUAL(plan(&fixture, 0), 2);
	mt_engine_fixture_advance(&fixture, 300);
	CU_ASSERT_EQUAL(plan(&fixture, 0), 4);
	mt_engine_fixture_advance(&fixture, 1800);
	CU_ASSERT_EQUAL(plan(&fixture, 0), 7);
	mt_engine_fixture_close(&fixture);
	mt_catalog_free(catalog);
}

/** Guards against: a cold server of a service without a limit gets no tasks. */
static void a_service_without_a_limit_fills_cold_servers(void)
{
	mt_engine_fixture_t fixture;
	mt_catalog_t *catalog = catalog_with_limit(0);

	mt_engine_fixture_open(&fixture);
	fixture.servers[0]->cold_until = 13000;
	fixture.servers[1]->listed = false;
	add_small_tasks(&fixture, 1, 3);
	CU_ASSERT_EQUAL(plan(&fixture, 0), 3);
	mt_engine_set_catalog(fixture.engine, catalog);
	add_small_tasks(&fixture, 2, 3);
	CU_ASSERT_EQUAL(plan(&fixture, 0), 6);
	mt_engine_fixture_close(&fixture);
	mt_catalog_free(catalog);
}

/**
 * Guards against: a gang begins with only those members that the limit of a
 * cold server allows, or never, although servers become warm.
 */
static void a_gang_waits_for_a_cold_server_as_a_whole(void)
{
	mt_engine_fixture_t fixture;
	mt_catalog_t *catalog = catalog_with_limit(2);
	mt_dag_step_t *gang;

	mt_engine_fixture_open(&fixture);
	mt_engine_set_catalog(fixture.engine, catalog);
	fixture.servers[0]->cold_until = 13000;
	fixture.servers[1]->listed = false;
	gang = add_small_tasks(&fixture, 1, 3);
	((MtDag__Step *)gang->spec)->gang = true;
	CU_ASSERT_EQUAL(plan(&fixture, 0), 0);
	mt_engine_fixture_advance(&fixture, 3000);
	CU_ASSERT_EQUAL(plan(&fixture, 0), 3);
	mt_engine_fixture_close(&fixture);
	mt_catalog_free(catalog);
}

/**
 * Guards against: tasks are stopped on a cold server although the limit keeps
 * others from being placed there.
 */
static void nothing_is_preempted_in_vain_on_a_cold_server(void)
{
	mt_engine_fixture_t fixture;
	mt_catalog_t *catalog = catalog_with_limit(1);

	mt_engine_fixture_open(&fixture);
	mt_engine_set_catalog(fixture.engine, catalog);
	mt_engine_fixture_add_running_task(&fixture);
	fixture.servers[0]->cold_until = 13000;
	fixture.servers[1]->listed = false;
	mt_cold_rate_note(&fixture.servers[0]->cold_rate, 10000);
	mt_engine_fixture_add_job(&fixture, 2, 0, 1);
	mt_planner_run(fixture.engine);
	CU_ASSERT_EQUAL(fixture.stops, 0);
	mt_engine_fixture_close(&fixture);
	mt_catalog_free(catalog);
}

/**
 * Guards against: single tasks of low priority use up the limit of a cold
 * server again and again, so that an urgent gang never gets all it needs.
 */
static void an_urgent_gang_is_not_starved_by_single_tasks(void)
{
	mt_engine_fixture_t fixture;
	mt_catalog_t *catalog = catalog_with_limit(2);
	mt_dag_step_t *gang;
	mt_dag_step_t *batch;

	mt_engine_fixture_open(&fixture);
	mt_engine_set_catalog(fixture.engine, catalog);
	fixture.servers[0]->cold_until = 13000;
	fixture.servers[1]->listed = false;
	mt_cold_rate_note(&fixture.servers[0]->cold_rate, 10000);
	gang = add_small_tasks(&fixture, 1, 2);
	((MtDag__Step *)gang->spec)->gang = true;
	gang->job->queue.priority = 0;
	batch = add_small_tasks(&fixture, 2, 4);
	CU_ASSERT_EQUAL(plan(&fixture, 0), 0);
	mt_engine_fixture_advance(&fixture, 1100);
	CU_ASSERT_EQUAL(plan(&fixture, 0), 2);
	CU_ASSERT_EQUAL(gang->n_placed, 2);
	mt_engine_fixture_advance(&fixture, 1100);
	CU_ASSERT_EQUAL(plan(&fixture, 0), 4);
	CU_ASSERT_EQUAL(batch->n_placed, 2);
	mt_engine_fixture_close(&fixture);
	mt_catalog_free(catalog);
}

/**
 * Guards against: the limit of a cold server is kept for an urgent gang that is
 * larger than it, and a job that could start there stands still.
 */
static void an_overdue_task_uses_a_limit_that_is_kept(void)
{
	mt_engine_fixture_t fixture;
	mt_catalog_t *catalog = catalog_with_limit(2);
	mt_dag_step_t *gang;
	mt_dag_step_t *batch;

	mt_engine_fixture_open(&fixture);
	mt_engine_set_catalog(fixture.engine, catalog);
	fixture.servers[0]->cold_until = 13000;
	fixture.servers[1]->listed = false;
	gang = add_small_tasks(&fixture, 1, 3);
	((MtDag__Step *)gang->spec)->gang = true;
	gang->job->queue.priority = 0;
	batch = add_small_tasks(&fixture, 2, 1);
	CU_ASSERT_EQUAL(plan(&fixture, 0), 0);
	batch->waiting_since = 5000;
	CU_ASSERT_EQUAL(plan(&fixture, 0), 1);
	CU_ASSERT_EQUAL(batch->n_placed, 1);
	mt_engine_fixture_close(&fixture);
	mt_catalog_free(catalog);
}

const mt_test_t mt_cold_tests[] = {
	{"no second exceeds the rate", no_second_exceeds_the_rate},
	{"odd rates allow at least one task",
	 odd_rates_allow_at_least_one_task},
	{"the same entry does not prolong the time",
	 the_same_entry_does_not_prolong_the_time},
	{"a warm server is preferred", a_warm_server_is_preferred},
	{"a cold server gets few tasks per second",
	 a_cold_server_gets_few_tasks_per_second},
	{"a service without a limit fills cold servers",
	 a_service_without_a_limit_fills_cold_servers},
	{"a gang waits for a cold server as a whole",
	 a_gang_waits_for_a_cold_server_as_a_whole},
	{"nothing is preempted in vain on a cold server",
	 nothing_is_preempted_in_vain_on_a_cold_server},
	{"an urgent gang is not starved by single tasks",
	 an_urgent_gang_is_not_starved_by_single_tasks},
	{"an overdue task uses a limit that is kept",
	 an_overdue_task_uses_a_limit_that_is_kept},
	{NULL, NULL},
};
