/**
 * @file test_speed.c
 * Tests of the estimate of the servers' speeds, for servers that differ as on
 * the deployments with uneven load. The work of siblings differs by
 * 15 to 30%, and 3% of the tasks take seven times as long as the others.
 */
#include <CUnit/Basic.h>
#include <math.h>

#include "dag/speed.h"
#include "unit/engine_fixture.h"
#include "unit/tests.h"

#define SERVERS 60u
#define SERVERS_MANY 350u
#define SEEDS 20u
#define STRAGGLER_SHARE 0.03
#define STRAGGLER_FACTOR 7.0

/** Servers whose true speeds are given, and a model that observes them. */
typedef struct fleet_t {
	GRand *rand;
	mt_speed_model_t *model;
	mt_ms_t now;
	uint64_t n_jobs;
	unsigned n_updates_uneven; /**< updates that found them uneven */
	unsigned n_servers;
	double speeds[SERVERS_MANY];
} fleet_t;

static void open_fleet(fleet_t *fleet, guint32 seed, const double *speeds,
		       unsigned n_speeds)
{
	*fleet = (fleet_t){0};
	fleet->rand = g_rand_new_with_seed(seed);
	fleet->model = mt_speed_model_new();
	fleet->now = 1000;
	fleet->n_servers = SERVERS;
	for (unsigned i = 0; i < SERVERS_MANY; i++)
		fleet->speeds[i] = speeds[i % n_speeds];
}

static void close_fleet(fleet_t *fleet)
{
	g_rand_free(fleet->rand);
	mt_speed_model_free(fleet->model);
}

static mt_shared_name_t server_name(unsigned index)
{
	char text[16];

	g_snprintf(text, sizeof(text), "server-%u", index);
	return mt_shared_name(text);
}

/** Work of a task relative to the mean of its step. */
static double random_work(fleet_t *fleet, double spread)
{
	double sum = 0;

	for (unsigned i = 0; i < 12; i++)
		sum += g_rand_double(fleet->rand) - 0.5;
	if (g_rand_double(fleet->rand) < STRAGGLER_SHARE)
		return STRAGGLER_FACTOR;
	return exp(spread * sum);
}

/** Runs a step of tasks on random servers; each gives one sample. */
static void run_step(fleet_t *fleet, unsigned n_tasks, double spread)
{
	double level = exp(g_rand_double_range(fleet->rand, 2, 4));
	mt_speed_sample_t sample = {.job = ++fleet->n_jobs,
				    .run = 1,
				    .error = 0.03,
				    .at = fleet->now};

	for (unsigned i = 0; i < n_tasks; i++) {
		unsigned server = (unsigned)g_rand_int_range(
			fleet->rand, 0, (gint32)fleet->n_servers);

		sample.task = i;
		sample.server = server_name(server);
		sample.rate = level * fleet->speeds[server] /
			      random_work(fleet, spread);
		mt_speed_model_observe(fleet->model, &sample);
	}
}

static void update(fleet_t *fleet)
{
	mt_speed_model_update(fleet->model, fleet->now);
	fleet->n_updates_uneven += mt_speed_model_is_uneven(fleet->model);
}

/** Gives each server about `per_server` samples, in steps of 5, 13 and 39. */
static void run_steps(fleet_t *fleet, unsigned per_server, double spread)
{
	static const unsigned sizes[] = {5, 5, 5, 5, 13, 39};
	unsigned n = 0;

	for (unsigned i = 0; n < per_server * fleet->n_servers; i++) {
		unsigned size = sizes[i % G_N_ELEMENTS(sizes)];

		run_step(fleet, size, spread);
		n += size;
		fleet->now += 100;
		if (i % 5 == 0)
			update(fleet);
	}
	for (unsigned i = 0; i < 5; i++)
		update(fleet);
}

static double speed_of(const fleet_t *fleet, unsigned server)
{
	mt_shared_name_t name = server_name(server);

	return mt_speed_model_speed(fleet->model, name);
}

static double error_of(const fleet_t *fleet, unsigned server)
{
	mt_shared_name_t name = server_name(server);

	return mt_speed_model_error(fleet->model, name);
}

/** Root mean square of the errors of the log speeds, up to a common factor. */
static double mean_error(const fleet_t *fleet)
{
	double sum = 0;
	double squares = 0;

	for (unsigned i = 0; i < SERVERS; i++) {
		double error = log(speed_of(fleet, i) / fleet->speeds[i]);

		sum += error;
		squares += error * error;
	}
	return sqrt(squares / SERVERS - sum / SERVERS * sum / SERVERS);
}

/** Root mean square of the standard errors that the model states. */
static double stated_error(const fleet_t *fleet)
{
	double squares = 0;

	for (unsigned i = 0; i < SERVERS; i++) {
		double error = error_of(fleet, i);

		squares += error * error;
	}
	return sqrt(squares / SERVERS);
}

static const double speeds_in_thirds[] = {0.6, 1.0, 1.6};
static const double speeds_in_halves[] = {1.0, 1.3};
static const double speeds_equal[] = {1.0};

/**
 * Guards against: gangs are placed on servers of mixed speed, because the
 * speeds are known only after many runs, or the stragglers hide them.
 */
static void speeds_are_learned_from_three_runs_each(void)
{
	double error = 0;
	double stated = 0;

	for (guint32 seed = 0; seed < SEEDS; seed++) {
		fleet_t fleet;

		open_fleet(&fleet, seed, speeds_in_thirds, 3);
		run_steps(&fleet, 3, 0.2);
		CU_ASSERT_TRUE(mt_speed_model_is_uneven(fleet.model));
		error += mean_error(&fleet) / SEEDS;
		stated += stated_error(&fleet) / SEEDS;
		close_fleet(&fleet);
	}
	CU_ASSERT_TRUE(error < 0.2);
	CU_ASSERT_DOUBLE_EQUAL(error / stated, 1, 0.3);
}

/** Guards against: estimates that stay rough however much has been observed. */
static void more_runs_make_the_speeds_exact(void)
{
	for (guint32 seed = 0; seed < SEEDS; seed++) {
		fleet_t fleet;

		open_fleet(&fleet, seed, speeds_in_thirds, 3);
		run_steps(&fleet, 12, 0.2);
		CU_ASSERT_TRUE(mean_error(&fleet) < 0.1);
		for (unsigned i = 0; i < SERVERS; i++)
			CU_ASSERT_DOUBLE_EQUAL(
				speed_of(&fleet, i) / fleet.speeds[i], 1, 0.4);
		close_fleet(&fleet);
	}
}

/** Guards against: servers at 1.0 and 1.3 are taken for equal. */
static void a_small_difference_is_learned(void)
{
	for (guint32 seed = 0; seed < SEEDS; seed++) {
		fleet_t fleet;

		open_fleet(&fleet, seed, speeds_in_halves, 2);
		run_steps(&fleet, 16, 0.15);
		CU_ASSERT_TRUE(mt_speed_model_is_uneven(fleet.model));
		CU_ASSERT_TRUE(mean_error(&fleet) < 0.1);
		close_fleet(&fleet);
	}
}

/**
 * Guards against: on servers of equal speed, the different work of siblings is
 * taken for different speeds, and the plan changes.
 */
static void equal_servers_are_never_uneven(void)
{
	for (guint32 seed = 0; seed < 5 * SEEDS; seed++) {
		fleet_t fleet;

		open_fleet(&fleet, seed, speeds_equal, 1);
		run_steps(&fleet, 10, seed % 2 ? 0.15 : 0.3);
		CU_ASSERT_EQUAL(fleet.n_updates_uneven, 0);
		CU_ASSERT_EQUAL(speed_of(&fleet, 0), 1.0);
		close_fleet(&fleet);
	}
}

/**
 * Guards against: the first runs of each of many servers, whose work differs
 * much, look like different speeds.
 */
static void many_equal_servers_are_never_uneven(void)
{
	for (guint32 seed = 0; seed < 2 * SEEDS; seed++) {
		fleet_t fleet;

		open_fleet(&fleet, seed, speeds_equal, 1);
		fleet.n_servers = SERVERS_MANY;
		run_steps(&fleet, 3, 0.3);
		CU_ASSERT_EQUAL(fleet.n_updates_uneven, 0);
		close_fleet(&fleet);
	}
}

/**
 * Guards against: a seventh of the servers is slow for a time, and the plan
 * sorts the sound servers by speeds that are only noise.
 */
static void a_few_slow_servers_do_not_make_the_others_uneven(void)
{
	static const double speeds[] = {1, 1, 1, 1.0 / 6, 1, 1, 1};

	for (guint32 seed = 0; seed < SEEDS; seed++) {
		fleet_t fleet;

		open_fleet(&fleet, seed, speeds, G_N_ELEMENTS(speeds));
		run_steps(&fleet, 6, 0.2);
		CU_ASSERT_EQUAL(fleet.n_updates_uneven, 0);
		close_fleet(&fleet);
	}
}

/**
 * Guards against: a seventh of the servers is slow for a part of each run, so
 * that their speeds seem to differ from the others by less than a half.
 */
static void a_few_slowed_servers_do_not_make_the_others_uneven(void)
{
	for (guint32 seed = 0; seed < SEEDS; seed++) {
		fleet_t fleet;

		open_fleet(&fleet, seed, speeds_equal, 1);
		for (unsigned i = 0; i < SERVERS; i += 7)
			fleet.speeds[i] =
				g_rand_double_range(fleet.rand, 0.4, 0.9);
		run_steps(&fleet, 8, 0.15);
		CU_ASSERT_EQUAL(fleet.n_updates_uneven, 0);
		close_fleet(&fleet);
	}
}

/** Adds one sample of a run on a server. */
static void add_sample(fleet_t *fleet, uint64_t job, uint32_t task,
		       unsigned server, double rate)
{
	mt_speed_sample_t sample = {.job = job,
				    .task = task,
				    .run = 1,
				    .server = server_name(server),
				    .rate = rate,
				    .at = fleet->now};

	mt_speed_model_observe(fleet->model, &sample);
}

/** Guards against: one straggler makes a server of known speed count as slow.
 */
static void a_straggler_does_not_decide(void)
{
	fleet_t fleet;
	mt_speed_summary_t summary;

	open_fleet(&fleet, 1, speeds_in_thirds, 3);
	run_steps(&fleet, 12, 0.2);
	for (uint32_t task = 0; task < SERVERS; task++) {
		double rate = 20 * fleet.speeds[task];

		add_sample(&fleet, 1000, task, task, task ? rate : rate / 7);
	}
	fleet.now += 500;
	update(&fleet);
	CU_ASSERT_DOUBLE_EQUAL(speed_of(&fleet, 0), 0.6, 0.12);
	summary = mt_speed_model_summary(fleet.model);
	CU_ASSERT_EQUAL(summary.n_known, SERVERS);
	CU_ASSERT_DOUBLE_EQUAL(summary.p10, 0.6, 0.1);
	CU_ASSERT_DOUBLE_EQUAL(summary.p50, 1.0, 0.1);
	CU_ASSERT_DOUBLE_EQUAL(summary.p90, 1.6, 0.2);
	close_fleet(&fleet);
}

/**
 * Guards against: the first runs of a server are stragglers, its later runs
 * count as outliers, and its speed stays wrong.
 */
static void a_wrong_first_estimate_is_corrected(void)
{
	fleet_t fleet;

	open_fleet(&fleet, 1, speeds_in_thirds, 3);
	run_steps(&fleet, 12, 0.15);
	mt_speed_model_forget(fleet.model, server_name(0));
	for (uint64_t job = 1000; job < 1007; job++) {
		for (uint32_t task = 0; task < SERVERS; task++) {
			bool straggles = !task && job < 1002;
			double rate = 20 * fleet.speeds[task];

			add_sample(&fleet, job, task, task,
				   straggles ? rate / 7 : rate);
		}
		fleet.now += 500;
		update(&fleet);
	}
	CU_ASSERT_DOUBLE_EQUAL(speed_of(&fleet, 0), 0.6, 0.1);
	close_fleet(&fleet);
}

/**
 * Guards against: a server restarts with another speed, and is used by the
 * speed of its former process.
 */
static void a_restarted_server_is_learned_anew(void)
{
	fleet_t fleet;
	mt_shared_name_t name = server_name(2);

	open_fleet(&fleet, 1, speeds_in_thirds, 3);
	run_steps(&fleet, 8, 0.2);
	CU_ASSERT_DOUBLE_EQUAL(speed_of(&fleet, 2), 1.6, 0.3);
	mt_speed_model_forget(fleet.model, name);
	update(&fleet);
	CU_ASSERT_EQUAL(speed_of(&fleet, 2), 1.0);
	CU_ASSERT_TRUE(error_of(&fleet, 2) > 0.3);
	fleet.speeds[2] = 0.6;
	run_steps(&fleet, 8, 0.2);
	CU_ASSERT_DOUBLE_EQUAL(speed_of(&fleet, 2), 0.6, 0.15);
	close_fleet(&fleet);
}

/** Guards against: a server without runs is taken for slow or fast. */
static void an_unknown_server_counts_as_median(void)
{
	fleet_t fleet;
	mt_shared_name_t name = mt_shared_name("server-new");

	open_fleet(&fleet, 1, speeds_in_thirds, 3);
	run_steps(&fleet, 8, 0.2);
	CU_ASSERT_TRUE(mt_speed_model_is_uneven(fleet.model));
	CU_ASSERT_EQUAL(mt_speed_model_speed(fleet.model, name), 1.0);
	CU_ASSERT_TRUE(mt_speed_model_error(fleet.model, name) > 0.3);
	close_fleet(&fleet);
}

/**
 * Guards against: each report of a run counts as an observation of its own, so
 * that a few runs seem to give an exact speed.
 */
static void reports_of_one_run_are_one_sample(void)
{
	fleet_t fleet;
	double error;

	open_fleet(&fleet, 1, speeds_equal, 1);
	for (uint32_t task = 0; task < 5; task++)
		add_sample(&fleet, 1, task, task, 20);
	for (unsigned i = 0; i < 10; i++)
		update(&fleet);
	error = error_of(&fleet, 0);
	for (unsigned i = 0; i < 10; i++) {
		for (uint32_t task = 0; task < 5; task++)
			add_sample(&fleet, 1, task, task, 20);
		update(&fleet);
	}
	CU_ASSERT_DOUBLE_EQUAL(error_of(&fleet, 0), error, 0.01);
	CU_ASSERT_TRUE(error > 0.2);
	close_fleet(&fleet);
}

static void restore(void *ctx, mt_shared_name_t server, double speed,
		    double error)
{
	fleet_t *fleet = ctx;

	mt_speed_model_restore(fleet->model, server, speed, error, fleet->now);
}

/**
 * Guards against: after a change of the leader, all speeds are unknown, or the
 * first samples of the new leader move the servers that the former one had
 * learned against those that it had not.
 */
static void a_new_leader_keeps_the_speeds(void)
{
	fleet_t fleet;
	fleet_t next;
	unsigned n_kept = 0;

	open_fleet(&fleet, 1, speeds_in_thirds, 3);
	open_fleet(&next, 2, speeds_in_thirds, 3);
	run_steps(&fleet, 4, 0.2);
	mt_speed_model_each(fleet.model, restore, &next);
	update(&next);
	CU_ASSERT_TRUE(mt_speed_model_is_uneven(next.model));
	for (unsigned i = 0; i < SERVERS; i++) {
		if (speed_of(&next, i) == 1.0)
			continue;
		n_kept++;
		CU_ASSERT_DOUBLE_EQUAL(speed_of(&next, i) / speed_of(&fleet, i),
				       1, 0.1);
	}
	CU_ASSERT_TRUE(n_kept >= SERVERS / 2);
	run_steps(&next, 4, 0.2);
	CU_ASSERT_TRUE(mean_error(&next) < 0.15);
	close_fleet(&fleet);
	close_fleet(&next);
}

/** Guards against: a long life of the leader fills its memory with samples. */
static void old_samples_are_dropped(void)
{
	fleet_t fleet;

	open_fleet(&fleet, 1, speeds_in_thirds, 3);
	run_steps(&fleet, 8, 0.2);
	fleet.now += 3600000;
	update(&fleet);
	CU_ASSERT_EQUAL(mt_speed_model_summary(fleet.model).n_known, 0);
	CU_ASSERT_FALSE(mt_speed_model_is_uneven(fleet.model));
	close_fleet(&fleet);
}

/* Samples from reports. A gang of two runs on the servers of the fixture. */

static mt_dag_step_t *place_gang(mt_engine_fixture_t *fixture)
{
	mt_dag_step_t *step =
		mt_first_step(mt_engine_fixture_add_job(fixture, 1, 2, 2));

	for (unsigned i = 0; i < 2; i++) {
		mt_dag_task_place(mt_task_of(step, i), fixture->servers[i], 1,
				  mt_timers_now(fixture->timers));
		mt_task_of(step, i)->placement_stored = true;
	}
	return step;
}

static void confirm(mt_engine_fixture_t *fixture, mt_dag_task_t *task)
{
	task->phase = MT_TASK_PHASE_RUNNING;
	task->start_settled_at = mt_timers_now(fixture->timers);
	mt_server_speeds_note_start(fixture->engine, task);
}

/** Lets time pass; then a server reports the progress of a task. */
static void report(mt_engine_fixture_t *fixture, mt_dag_task_t *task,
		   mt_ms_t ms, uint32_t percent)
{
	mt_active_run_t active = {
		.task = mt_dag_task_key(task),
		.run = task->run,
		.percent = percent,
	};
	mt_backend_answer_t answer = {.active_runs = &active,
				      .n_active_runs = 1};
	mt_ms_t now;

	mt_timers_advance(fixture->timers, mt_timers_now(fixture->timers) + ms);
	now = mt_timers_now(fixture->timers);
	mt_reports_apply(fixture->engine, task->server, &answer, now);
}

/** Number of the fixture's servers of which there is a useful sample. */
static unsigned n_sampled(const mt_engine_fixture_t *fixture)
{
	unsigned n = 0;

	for (unsigned i = 0; i < 10; i++)
		mt_speed_model_update(fixture->engine->speeds,
				      mt_timers_now(fixture->timers));
	for (unsigned i = 0; i < MT_ENGINE_FIXTURE_SERVERS; i++)
		n += mt_speed_model_error(fixture->engine->speeds,
					  fixture->servers[i]->info.target.id) <
		     0.39;
	return n;
}

/**
 * Guards against: the speeds are not learned from gangs, whose runs make up
 * most of the work, or only long after their begin.
 */
static void members_of_a_gang_are_compared(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_step_t *step;

	mt_engine_fixture_open(&fixture);
	mt_timers_advance(fixture.timers, 20000);
	step = place_gang(&fixture);
	confirm(&fixture, mt_task_of(step, 0));
	confirm(&fixture, mt_task_of(step, 1));
	report(&fixture, mt_task_of(step, 0), 1000, 20);
	report(&fixture, mt_task_of(step, 1), 0, 30);
	CU_ASSERT_EQUAL(n_sampled(&fixture), 2);
	mt_engine_fixture_close(&fixture);
}

/**
 * Guards against: a server that hangs counts as slow, although the time until
 * its runs are moved says nothing of its speed.
 */
static void a_hanging_server_gives_no_sample(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_step_t *step;

	mt_engine_fixture_open(&fixture);
	mt_timers_advance(fixture.timers, 20000);
	step = place_gang(&fixture);
	confirm(&fixture, mt_task_of(step, 0));
	confirm(&fixture, mt_task_of(step, 1));
	for (unsigned i = 1; i < 4; i++) {
		report(&fixture, mt_task_of(step, 0), 500, 20 * i);
		report(&fixture, mt_task_of(step, 1), 0, 0);
	}
	CU_ASSERT_EQUAL(n_sampled(&fixture), 0);
	mt_engine_fixture_close(&fixture);
}

/**
 * Guards against: the wait for the last member counts as slow progress of the
 * first one, and so does the wait of a member that has done its work.
 */
static void waits_inside_a_gang_are_not_measured(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_step_t *step;
	mt_dag_task_t *first;
	mt_speed_sample_t sample;

	mt_engine_fixture_open(&fixture);
	mt_timers_advance(fixture.timers, 20000);
	step = place_gang(&fixture);
	first = mt_task_of(step, 0);
	confirm(&fixture, first);
	mt_timers_advance(fixture.timers, 23000);
	confirm(&fixture, mt_task_of(step, 1));
	report(&fixture, first, 1000, 20);
	report(&fixture, mt_task_of(step, 1), 0, 20);
	CU_ASSERT_EQUAL(n_sampled(&fixture), 2);
	CU_ASSERT_TRUE(
		mt_server_speeds_sample(fixture.engine, first, false, &sample));
	CU_ASSERT_DOUBLE_EQUAL(sample.rate, 20.5, 0.01);
	CU_ASSERT_FALSE(sample.is_minimum);
	report(&fixture, first, 4000, 100);
	CU_ASSERT_TRUE(
		mt_server_speeds_sample(fixture.engine, first, false, &sample));
	CU_ASSERT_TRUE(sample.is_minimum);
	mt_engine_fixture_close(&fixture);
}

/** Guards against: work far from its data counts as work on a slow server. */
static void tasks_outside_the_rack_of_their_data_give_no_sample(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_step_t *step;

	mt_engine_fixture_open(&fixture);
	mt_timers_advance(fixture.timers, 20000);
	step = place_gang(&fixture);
	step->data_rack = g_quark_from_static_string("rack-1");
	fixture.servers[0]->info.rack = step->data_rack;
	confirm(&fixture, mt_task_of(step, 0));
	confirm(&fixture, mt_task_of(step, 1));
	report(&fixture, mt_task_of(step, 0), 1000, 30);
	report(&fixture, mt_task_of(step, 1), 0, 10);
	CU_ASSERT_EQUAL(n_sampled(&fixture), 0);
	mt_engine_fixture_close(&fixture);
}

/** Guards against: a server that was cold is treated as a slow one later. */
static void runs_on_cold_servers_give_no_sample(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_step_t *step;

	mt_engine_fixture_open(&fixture);
	mt_timers_advance(fixture.timers, 20000);
	fixture.servers[0]->cold_until = 20500;
	step = place_gang(&fixture);
	confirm(&fixture, mt_task_of(step, 0));
	confirm(&fixture, mt_task_of(step, 1));
	report(&fixture, mt_task_of(step, 0), 1000, 10);
	report(&fixture, mt_task_of(step, 1), 0, 30);
	CU_ASSERT_EQUAL(n_sampled(&fixture), 0);
	mt_engine_fixture_close(&fixture);
}

/**
 * Guards against: a run that an earlier leader started, or that resumes from a
 * checkpoint, seems to have done all its work since this leader knows of it.
 */
static void a_run_in_progress_is_measured_from_its_first_report(void)
{
	mt_engine_fixture_t fixture;
	mt_speed_sample_t sample;
	mt_dag_step_t *step;

	mt_engine_fixture_open(&fixture);
	mt_timers_advance(fixture.timers, 20000);
	step = place_gang(&fixture);
	mt_task_of(step, 0)->restored = true;
	mt_task_of(step, 1)->restored = true;
	confirm(&fixture, mt_task_of(step, 0));
	confirm(&fixture, mt_task_of(step, 1));
	report(&fixture, mt_task_of(step, 0), 1000, 70);
	report(&fixture, mt_task_of(step, 1), 0, 20);
	CU_ASSERT_EQUAL(n_sampled(&fixture), 0);
	report(&fixture, mt_task_of(step, 0), 1000, 90);
	report(&fixture, mt_task_of(step, 1), 0, 40);
	CU_ASSERT_EQUAL(n_sampled(&fixture), 2);
	CU_ASSERT_TRUE(mt_server_speeds_sample(
		fixture.engine, mt_task_of(step, 0), false, &sample));
	CU_ASSERT_DOUBLE_EQUAL(sample.rate, 20, 0.01);
	mt_engine_fixture_close(&fixture);
}

/** Guards against: a restarted server keeps the speed of its former process. */
static void a_restart_forgets_the_speed(void)
{
	mt_engine_fixture_t fixture;
	mt_dag_step_t *step;

	mt_engine_fixture_open(&fixture);
	mt_timers_advance(fixture.timers, 20000);
	step = place_gang(&fixture);
	confirm(&fixture, mt_task_of(step, 0));
	confirm(&fixture, mt_task_of(step, 1));
	report(&fixture, mt_task_of(step, 0), 1000, 20);
	report(&fixture, mt_task_of(step, 1), 0, 30);
	mt_reports_server_restarted(fixture.engine, fixture.servers[1], 5);
	CU_ASSERT_EQUAL(n_sampled(&fixture), 0);
	mt_engine_fixture_close(&fixture);
}

const mt_test_t mt_speed_tests[] = {
	{"speeds are learned from three runs each",
	 speeds_are_learned_from_three_runs_each},
	{"more runs make the speeds exact", more_runs_make_the_speeds_exact},
	{"a small difference is learned", a_small_difference_is_learned},
	{"equal servers are never uneven", equal_servers_are_never_uneven},
	{"many equal servers are never uneven",
	 many_equal_servers_are_never_uneven},
	{"a few slow servers do not make the others uneven",
	 a_few_slow_servers_do_not_make_the_others_uneven},
	{"a few slowed servers do not make the others uneven",
	 a_few_slowed_servers_do_not_make_the_others_uneven},
	{"a straggler does not decide", a_straggler_does_not_decide},
	{"a wrong first estimate is corrected",
	 a_wrong_first_estimate_is_corrected},
	{"a restarted server is learned anew",
	 a_restarted_server_is_learned_anew},
	{"an unknown server counts as median",
	 an_unknown_server_counts_as_median},
	{"reports of one run are one sample",
	 reports_of_one_run_are_one_sample},
	{"a new leader keeps the speeds", a_new_leader_keeps_the_speeds},
	{"old samples are dropped", old_samples_are_dropped},
	{"members of a gang are compared", members_of_a_gang_are_compared},
	{"a hanging server gives no sample", a_hanging_server_gives_no_sample},
	{"waits inside a gang are not measured",
	 waits_inside_a_gang_are_not_measured},
	{"tasks outside the rack of their data give no sample",
	 tasks_outside_the_rack_of_their_data_give_no_sample},
	{"a run in progress is measured from its first report",
	 a_run_in_progress_is_measured_from_its_first_report},
	{"a restart forgets the speed", a_restart_forgets_the_speed},
	{"runs on cold servers give no sample",
	 runs_on_cold_servers_give_no_sample},
	{NULL, NULL},
};
