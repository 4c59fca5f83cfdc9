/**
 * @file script_decide.c
 * Script commands for the scheduling decisions of mimosaturnd (lib/decide),
 * server health and the estimator of run times and memory. In the commands for
 * decisions, all times are in milliseconds, and the default of an option is
 * given in parentheses after it:
 *
 * "servers" adds `count` (1) servers in `rack` (0), named s0, s1 and so on.
 * Each has 64 processors, 262144 MB of memory, 8 accelerators and 8 slots. The
 * flag "unusable" excludes them from use.
 *
 * "account NAME" adds an account with `guarantee` (0), `adjacent` (0) and
 * `limit` (1000). These are numbers of accelerators; the guarantee and the
 * limit also include an eighth of a server's processors and memory for each.
 *
 * "run TAG ACCOUNT" adds a run that started `ran` (1000) ago and is expected to
 * end in `left` (10000); `on` (s0:1) gives the number of members on each
 * server. Its flags are "once", "checkpointable", "stopping" and "urgent".
 *
 * "wait TAG ACCOUNT" adds a job without a deadline that has waited for `waited`
 * (1000), is expected to run for `takes` (10000) and has a `value` (1). Its
 * flags are "once" and "urgent".
 *
 * A run or waiting job has `members` (1), and each member needs `accelerators`
 * (1), 1 processor and 1000 MB. "once" means that it cannot be stopped;
 * elsewhere, in script_jobs.c and script_parse.c, it means "not idempotent".
 *
 * "policy" sets the weights `completion` (50) and `fragmentation` (50).
 * "decide" prints the decision of the full algorithm; the flags "first-come"
 * and "backfill" select simpler ones.
 */
#include <string.h>

#include "decide/decide.h"
#include "decide/health.h"
#include "decide/estimator.h"
#include "unit/script.h"

typedef struct mt_decide_fixture_t {
	mt_view_t *view;
	GPtrArray *tags; /**< of runs and waiting jobs; owned */
	GRand *rand;
	mt_health_t *health;
	mt_estimator_t *estimator;
} mt_decide_fixture_t;

static void *open_group(void)
{
	/* Weights of completion, fragmentation and value; aging in seconds. */
	mt_policy_t policy = {50, 50, 10, 600};
	mt_decide_fixture_t *fixture = g_new0(mt_decide_fixture_t, 1);

	fixture->view = mt_view_new(1000000, &policy);
	fixture->tags = g_ptr_array_new_with_free_func(g_free);
	fixture->rand = g_rand_new_with_seed(1);
	fixture->health = mt_health_new(fixture->rand);
	fixture->estimator = mt_estimator_new();
	return fixture;
}

static void close_group(void *data)
{
	mt_decide_fixture_t *fixture = data;

	mt_view_free(fixture->view);
	g_ptr_array_unref(fixture->tags);
	mt_health_free(fixture->health);
	mt_estimator_free(fixture->estimator);
	g_rand_free(fixture->rand);
	g_free(fixture);
}

static char *copy_tag(mt_decide_fixture_t *fixture, const char *name)
{
	char *copy = g_strdup(name);

	g_ptr_array_add(fixture->tags, copy);
	return copy;
}

static void set_policy(mt_decide_fixture_t *fixture, char **words)
{
	mt_policy_t *policy = &fixture->view->policy;

	policy->completion_weight =
		(uint32_t)mt_script_number(words, "completion", 50);
	policy->fragmentation_weight =
		(uint32_t)mt_script_number(words, "fragmentation", 50);
}

static void add_servers(mt_decide_fixture_t *fixture, char **words)
{
	guint count = (guint)mt_script_number(words, "count", 1);

	for (guint i = 0; i < count; i++) {
		mt_view_server_t server = {0};
		char id[MT_NAME_MAX_BYTES];

		g_snprintf(id, sizeof(id), "s%u", fixture->view->servers->len);
		server.id = mt_name(id);
		server.rack = (uint32_t)mt_script_number(words, "rack", 0);
		server.total = (mt_resources_t){64, 262144, 8};
		server.slots = 8;
		server.usable = !mt_script_flag(words, "unusable");
		g_array_append_val(fixture->view->servers, server);
	}
}

/** Accelerators, each with an eighth of a server's processors and memory. */
static mt_resources_t resources_for(guint64 accelerators)
{
	return (mt_resources_t){(uint32_t)accelerators * 8,
				(uint32_t)accelerators * 32768,
				(uint32_t)accelerators};
}

static void add_account(mt_decide_fixture_t *fixture, char **words)
{
	mt_view_account_t account = {.name = mt_name(words[1])};

	account.guarantee =
		resources_for(mt_script_number(words, "guarantee", 0));
	account.guarantee_adjacent =
		(uint32_t)mt_script_number(words, "adjacent", 0);
	account.limit = resources_for(mt_script_number(words, "limit", 1000));
	g_array_append_val(fixture->view->accounts, account);
}

static uint32_t account_index(const mt_decide_fixture_t *fixture,
			      const char *name)
{
	mt_name_t wanted = mt_name(name);

	for (guint i = 0; i < fixture->view->accounts->len; i++) {
		if (mt_name_equal(&mt_view_account(fixture->view, i)->name,
				  &wanted))
			return i;
	}
	return 0;
}

static mt_shape_t shape_of(char **words)
{
	mt_shape_t shape = {
		(uint32_t)mt_script_number(words, "members", 1),
		{1, 1000,
		 (uint32_t)mt_script_number(words, "accelerators", 1)}};

	return shape;
}

/** Parses `on=s0:2,s1:2`: servers and the number of members on each. */
static GArray *parts_of(char **words)
{
	GArray *parts = g_array_new(FALSE, FALSE, sizeof(mt_part_t));
	char **items =
		g_strsplit(mt_script_option(words, "on", "s0:1"), ",", -1);

	for (char **item = items; *item; item++) {
		char **pair = g_strsplit(*item, ":", 2);
		mt_part_t part = {
			(uint32_t)g_ascii_strtoull(pair[0] + 1, NULL, 10),
			pair[1] ? (uint32_t)g_ascii_strtoull(pair[1], NULL, 10)
				: 1};

		g_array_append_val(parts, part);
		g_strfreev(pair);
	}
	g_strfreev(items);
	return parts;
}

static void add_run(mt_decide_fixture_t *fixture, char **words)
{
	mt_view_run_t run = {0};

	run.tag = copy_tag(fixture, words[1]);
	run.account = account_index(fixture, words[2]);
	run.shape = shape_of(words);
	run.parts = parts_of(words);
	run.started_at =
		fixture->view->now - mt_script_number(words, "ran", 1000);
	run.expected_end =
		fixture->view->now + mt_script_number(words, "left", 10000);
	run.stoppable = !mt_script_flag(words, "once");
	run.checkpointable = mt_script_flag(words, "checkpointable");
	run.ending = mt_script_flag(words, "stopping");
	run.urgent = mt_script_flag(words, "urgent");
	g_array_append_val(fixture->view->runs, run);
}

static void add_waiting_job(mt_decide_fixture_t *fixture, char **words)
{
	mt_view_waiting_job_t waiting_job = {0};

	waiting_job.tag = copy_tag(fixture, words[1]);
	waiting_job.account = account_index(fixture, words[2]);
	waiting_job.shape = shape_of(words);
	waiting_job.waited_ms = mt_script_number(words, "waited", 1000);
	waiting_job.expected_run_ms = mt_script_number(words, "takes", 10000);
	waiting_job.deadline_left_ms = MT_NEVER_MS;
	waiting_job.value = (uint32_t)mt_script_number(words, "value", 1);
	waiting_job.urgent = mt_script_flag(words, "urgent");
	waiting_job.stoppable = !mt_script_flag(words, "once");
	g_array_append_val(fixture->view->waiting_jobs, waiting_job);
}

static void print_start(const mt_decide_fixture_t *fixture,
			const mt_start_t *start, GString *out)
{
	const mt_view_waiting_job_t *waiting_job =
		mt_view_waiting_job(fixture->view, start->waiting_job_index);

	g_string_append_printf(out, "start %s on", (char *)waiting_job->tag);
	for (guint i = 0; i < start->parts->len; i++) {
		const mt_part_t *part =
			&g_array_index(start->parts, mt_part_t, i);

		g_string_append_printf(
			out, " %s:%u",
			mt_view_server(fixture->view, part->server)->id.text,
			part->members);
	}
	g_string_append(out, "\n");
}

/**
 * Prints the decision. "deficit D, after A" gives the guarantee deficit before
 * and after the starts: the guaranteed accelerators that could not be placed
 * even if all runs that may be stopped for a guarantee were stopped
 * (mt_guarantee_deficit()).
 */
static void decide(mt_decide_fixture_t *fixture, char **words, GString *out)
{
	static const char *const reasons[] = {"guarantee", "urgent",
					      "defragment"};
	mt_algorithm_t algorithm = MT_ALGORITHM_FULL;
	mt_decision_t *decision;

	if (mt_script_flag(words, "first-come"))
		algorithm = MT_ALGORITHM_FIRST_COME;
	if (mt_script_flag(words, "backfill"))
		algorithm = MT_ALGORITHM_BACKFILL;
	decision = mt_decide(fixture->view, algorithm);
	for (guint i = 0; i < decision->starts->len; i++)
		print_start(fixture,
			    &g_array_index(decision->starts, mt_start_t, i),
			    out);
	for (guint i = 0; i < decision->reclaims->len; i++) {
		const mt_reclaim_t *reclaim =
			&g_array_index(decision->reclaims, mt_reclaim_t, i);

		g_string_append_printf(
			out, "reclaim %s for %s\n",
			(char *)mt_view_run(fixture->view, reclaim->run)->tag,
			reasons[reclaim->reason]);
	}
	if (decision->reserved)
		g_string_append_printf(
			out, "reserve for %s in %" G_GUINT64_FORMAT " ms\n",
			(char *)mt_view_waiting_job(fixture->view,
						    decision->reserved_job)
				->tag,
			decision->reserved_start - fixture->view->now);
	if (decision->deficit || decision->deficit_after)
		g_string_append_printf(out, "deficit %u, after %u\n",
				       decision->deficit,
				       decision->deficit_after);
	mt_decision_free(decision);
}

/**
 * "job-failed-on JOB SERVER" records a failure that either of the two may have
 * caused; "gives-up JOB" tells whether the job is to end as failed.
 */
static void run_health(mt_decide_fixture_t *fixture, char **words, GString *out)
{
	mt_name_t first = mt_name(words[1]);
	mt_name_t second = mt_name(words[2] ? words[2] : "");
	mt_ms_t at = mt_script_number(words, "at", 0);

	if (!strcmp(words[0], "job-failed-on"))
		mt_health_record_unclear_failure(fixture->health, &first,
						 &second, at);
	else if (!strcmp(words[0], "server-succeeded"))
		mt_health_server_succeeded(fixture->health, &first);
	else if (!strcmp(words[0], "quarantined"))
		g_string_append_printf(
			out, "%s\n",
			mt_health_is_quarantined(fixture->health, &first, at)
				? "yes"
				: "no");
	else
		g_string_append_printf(
			out, "%s\n",
			mt_health_should_fail_job(fixture->health, &first)
				? "yes"
				: "no");
}

/**
 * "learn-run" reports the run time of a task, in milliseconds; "learn-guard"
 * reports that a task exceeded its memory, in megabytes, as the guard of a
 * server does (mt_estimator_observe_memory_overrun()). `declared` is the value
 * that the job declared and `actual` the one observed. "expect" takes
 * `declared` both as a run time and as a memory size.
 */
static void run_estimator(mt_decide_fixture_t *fixture, char **words,
			  GString *out)
{
	mt_name_t account = mt_name("shop");
	guint64 declared = mt_script_number(words, "declared", 1000);
	guint64 actual = mt_script_number(words, "actual", 1000);

	if (!strcmp(words[0], "learn-run"))
		mt_estimator_observe_run(fixture->estimator, &account, words[1],
					 declared, actual);
	else if (!strcmp(words[0], "learn-guard"))
		mt_estimator_observe_memory_overrun(
			fixture->estimator, &account, words[1],
			(uint32_t)declared, (uint32_t)actual);
	else
		g_string_append_printf(
			out, "run %" G_GUINT64_FORMAT " ms, memory %u MB\n",
			mt_estimator_expected_run(fixture->estimator, &account,
						  words[1], declared),
			mt_estimator_memory_mb(fixture->estimator, &account,
					       words[1], (uint32_t)declared));
}

static bool run_command(void *data, char **words, const char *rest,
			GString *out)
{
	static const char *const health_commands[] = {
		"job-failed-on", "server-succeeded", "quarantined", "gives-up",
		NULL};
	static const char *const estimator_commands[] = {
		"learn-run", "learn-guard", "expect", NULL};
	mt_decide_fixture_t *fixture = data;

	if (!strcmp(words[0], "policy"))
		set_policy(fixture, words);
	else if (!strcmp(words[0], "servers"))
		add_servers(fixture, words);
	else if (!strcmp(words[0], "account"))
		add_account(fixture, words);
	else if (!strcmp(words[0], "run"))
		add_run(fixture, words);
	else if (!strcmp(words[0], "wait"))
		add_waiting_job(fixture, words);
	else if (!strcmp(words[0], "decide"))
		decide(fixture, words, out);
	else if (g_strv_contains(health_commands, words[0]))
		run_health(fixture, words, out);
	else if (g_strv_contains(estimator_commands, words[0]))
		run_estimator(fixture, words, out);
	else
		return false;
	return true;
}

const mt_script_group_t mt_script_decide = {open_group, close_group,
					    run_command};
