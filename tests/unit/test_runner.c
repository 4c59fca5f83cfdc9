/**
 * @file test_runner.c
 * Tests of how the runner uses claims. The runner, the appender, the job table
 * and mt_fleet_t, a host's view of the backend servers, are the real ones, in
 * virtual time; the log, the server list and two backend servers are fakes.
 */
#include <CUnit/Basic.h>
#include <string.h>

#include "node/runner_internal.h"
#include "unit/tests.h"

typedef struct mt_runner_fixture_t {
	mt_timers_t *timers;
	mt_kernel_t *kernel;
	mt_settings_t settings;
	mt_jobs_t *jobs;
	mt_fleet_t *fleet;
	mt_appender_t *appender;
	mt_health_t *health;
	mt_estimator_t *estimator;
	mt_runner_t *runner;
	GPtrArray *records;	/**< packed records, in the order appended */
	mt_append_cb append_cb; /**< of the pending append */
	void *append_ctx;
	uint64_t tokens[2]; /**< fencing token of each server */
	guint starts[2];    /**< START calls to each server */
	uint64_t offset;
} mt_runner_fixture_t;

static mt_server_info_t server_info(guint index)
{
	mt_server_info_t info = {.processors = 64,
				 .memory_mb = 262144,
				 .accelerators = 8,
				 .slots = 8};

	info.id = mt_name(index ? "gpu-b" : "gpu-a");
	info.dc = mt_name("tunis");
	return info;
}

/**
 * An answer that a timer delivers, since a port must not call back before the
 * call to it has returned.
 */
typedef struct mt_delayed_answer_t {
	mt_server_reply_t reply;
	mt_server_cb on_server;
	mt_server_list_cb on_server_list;
	void *ctx;
} mt_delayed_answer_t;

static void deliver_reply(void *data)
{
	mt_delayed_answer_t *answer = data;

	answer->on_server(answer->ctx, &answer->reply);
	g_free(answer);
}

static void deliver_server_list(void *data)
{
	mt_delayed_answer_t *answer = data;
	GArray *infos = g_array_new(FALSE, FALSE, sizeof(mt_server_info_t));

	for (guint i = 0; i < 2; i++) {
		mt_server_info_t info = server_info(i);

		g_array_append_val(infos, info);
	}
	answer->on_server_list(answer->ctx, infos);
	g_array_unref(infos);
	g_free(answer);
}

static void call_server(void *self, const mt_server_info_t *server,
			const mt_server_request_t *request, mt_server_cb cb,
			void *ctx)
{
	mt_runner_fixture_t *fixture = self;
	guint index = !strcmp(server->id.text, "gpu-b");
	mt_delayed_answer_t *answer = g_new0(mt_delayed_answer_t, 1);
	mt_server_reply_t *reply = &answer->reply;

	if (request->op == MT_SERVER_LEASE)
		fixture->tokens[index] = request->token;
	else if (request->token != fixture->tokens[index])
		reply->status = MT_REPLY_STALE;
	if (request->op == MT_SERVER_START)
		fixture->starts[index]++;
	reply->boot = mt_name("boot-1");
	reply->token = fixture->tokens[index];
	reply->state = MT_TASK_RUNNING;
	answer->on_server = cb;
	answer->ctx = ctx;
	mt_timers_after(fixture->timers, 0, deliver_reply, answer);
}

static void fetch_server_list(void *self, mt_server_list_cb cb, void *ctx)
{
	mt_runner_fixture_t *fixture = self;
	mt_delayed_answer_t *answer = g_new0(mt_delayed_answer_t, 1);

	answer->on_server_list = cb;
	answer->ctx = ctx;
	mt_timers_after(fixture->timers, 0, deliver_server_list, answer);
}

static void end_append(void *data)
{
	mt_runner_fixture_t *fixture = data;

	fixture->append_cb(fixture->append_ctx, MT_APPEND_DONE);
}

static void append(void *self, const char *stream, GPtrArray *records,
		   mt_append_cb cb, void *ctx)
{
	mt_runner_fixture_t *fixture = self;

	(void)stream;
	for (guint i = 0; i < records->len; i++)
		g_ptr_array_add(fixture->records,
				g_bytes_ref(records->pdata[i]));
	fixture->append_cb = cb;
	fixture->append_ctx = ctx;
	mt_timers_after(fixture->timers, 0, end_append, fixture);
}

static void on_fleet(void *ctx, mt_fleet_server_t *server,
		     mt_fleet_event_t event)
{
	mt_runner_fixture_t *fixture = ctx;

	if (fixture->runner)
		mt_runner_on_fleet(fixture->runner, server, event);
}

/** Excludes no task from the renewal of leases. */
static void exclude_no_tasks(void *ctx, const mt_fleet_server_t *server,
			     GArray *tasks)
{
	(void)ctx;
	(void)server;
	(void)tasks;
}

static bool allow_leases(void *ctx)
{
	(void)ctx;
	return true;
}

static void ignore_change(void *ctx)
{
	(void)ctx;
}

static void on_job(void *ctx, mt_job_t *job, mt_job_change_t change)
{
	mt_runner_fixture_t *fixture = ctx;

	mt_runner_on_job(fixture->runner, job, change);
}

/**
 * Makes a runner with two leased servers. The appender waits 50 ms from one
 * append to the next; its queue holds 100 records.
 */
static void set_up(mt_runner_fixture_t *fixture)
{
	mt_log_port_t log = {fixture, append, NULL};
	mt_server_port_t servers = {fixture, call_server};
	mt_server_list_port_t server_list = {fixture, fetch_server_list};
	mt_fleet_handler_t on_event = {fixture, on_fleet, exclude_no_tasks,
				       allow_leases};
	mt_runner_handler_t on_runner = {fixture, ignore_change, NULL};
	mt_runner_deps_t deps = {.settings = &fixture->settings};

	memset(fixture, 0, sizeof(*fixture));
	fixture->settings.dc = mt_name("tunis");
	fixture->settings.lease_term_ms = 10000;
	fixture->settings.renew_ms = 2000;
	fixture->timers = mt_timers_new(1000);
	fixture->kernel = mt_kernel_new("test", fixture->timers, 1);
	mt_kernel_set_level(fixture->kernel, MT_LOG_ERR);
	fixture->records =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	fixture->jobs = mt_jobs_new();
	fixture->appender =
		mt_appender_new(fixture->kernel, &log, "jobs", 50, 100);
	fixture->health = mt_health_new(mt_kernel_rand(fixture->kernel));
	fixture->estimator = mt_estimator_new();
	deps.kernel = fixture->kernel;
	deps.incarnation = mt_name("host-1");
	fixture->fleet =
		mt_fleet_new(fixture->kernel, &fixture->settings,
			     &deps.incarnation, &servers, &server_list);
	mt_fleet_set_handler(fixture->fleet, &on_event);
	deps.jobs = fixture->jobs;
	deps.fleet = fixture->fleet;
	deps.appender = fixture->appender;
	deps.health = fixture->health;
	deps.estimator = fixture->estimator;
	fixture->runner = mt_runner_new(&deps);
	mt_runner_set_handler(fixture->runner, &on_runner);
	mt_jobs_subscribe(fixture->jobs, on_job, fixture);
	mt_fleet_start(fixture->fleet);
	mt_fleet_set_active(fixture->fleet, true);
	mt_timers_advance(fixture->timers, 1200);
}

static void tear_down(mt_runner_fixture_t *fixture)
{
	/* Deliver the delayed answers. */
	mt_timers_advance(fixture->timers, mt_timers_now(fixture->timers));
	mt_runner_free(fixture->runner);
	mt_fleet_free(fixture->fleet);
	mt_appender_free(fixture->appender);
	mt_jobs_free(fixture->jobs);
	mt_estimator_free(fixture->estimator);
	mt_health_free(fixture->health);
	g_ptr_array_unref(fixture->records);
	mt_kernel_free(fixture->kernel);
	mt_timers_free(fixture->timers);
}

static mt_job_t *accept_job(mt_runner_fixture_t *fixture, bool idempotent)
{
	MtPb__Record record = MT_PB__RECORD__INIT;
	MtPb__Accept accept = MT_PB__ACCEPT__INIT;
	MtPb__Spec spec = MT_PB__SPEC__INIT;
	uint8_t digest[MT_DIGEST_BYTES] = {0};
	mt_name_t account = mt_name("shop");
	mt_job_id_t id = mt_job_id_derive(&account, MT_STR("charge-1"));

	spec.kind = (char *)"charge";
	spec.idempotent = idempotent;
	spec.members = 1;
	spec.memory_mb = 100;
	spec.run_s = 1;
	accept.job = mt_job_id_field(&id);
	accept.account = account.text;
	accept.dc = (char *)"tunis";
	accept.spec = &spec;
	accept.body_digest = (ProtobufCBinaryData){sizeof(digest), digest};
	record.body_case = MT_PB__RECORD__BODY_ACCEPT;
	record.accept = &accept;
	mt_jobs_apply(fixture->jobs, fixture->offset++, 0, &record);
	return mt_jobs_find(fixture->jobs, &id);
}

static void start_on(mt_runner_fixture_t *fixture, mt_job_t *job, guint index)
{
	mt_shape_t shape = {1, {0, 100, 0}};
	mt_server_info_t info = server_info(index);
	mt_target_t target = {mt_fleet_find(fixture->fleet, &info.id), 1};
	GArray *targets = g_array_new(FALSE, FALSE, sizeof(mt_target_t));

	g_array_append_val(targets, target);
	mt_runner_start(fixture->runner, job, &shape, targets);
	g_array_unref(targets);
}

/** Reads the appended records back from the log, from index `first` on. */
static void read_back(mt_runner_fixture_t *fixture, guint first)
{
	for (guint i = first; i < fixture->records->len; i++) {
		GBytes *packed = fixture->records->pdata[i];
		MtPb__Record *record = mt_record_unpack(packed);
		uint64_t offset = fixture->offset++;

		mt_jobs_apply(fixture->jobs, offset, 0, record);
		mt_appender_on_read_back(fixture->appender, packed, offset);
		mt_record_free(record);
	}
}

/** A host starts a non-idempotent job only after it has read its claim. */
static void a_start_waits_until_its_claim_is_read_back(void)
{
	mt_runner_fixture_t fixture;
	mt_job_t *job;

	set_up(&fixture);
	job = accept_job(&fixture, false);
	start_on(&fixture, job, 0);
	mt_timers_advance(fixture.timers, 1300);
	CU_ASSERT_EQUAL(fixture.records->len, 1);
	CU_ASSERT_EQUAL(fixture.starts[0], 0);
	read_back(&fixture, 0);
	CU_ASSERT_EQUAL(fixture.starts[0], 1);
	tear_down(&fixture);
}

static void a_claim_of_an_earlier_run_permits_no_start(void)
{
	mt_runner_fixture_t fixture;
	mt_job_t *job;

	set_up(&fixture);
	job = accept_job(&fixture, false);
	start_on(&fixture, job, 0);
	mt_timers_advance(fixture.timers, 1300);
	/* Another host takes the lease of the server: this host ends the run,
	 * but has already appended its claim record. */
	fixture.tokens[0]++;
	mt_timers_advance(fixture.timers, 4000);
	CU_ASSERT_PTR_NULL(mt_runner_find(fixture.runner, &job->id));
	start_on(&fixture, job, 1);
	mt_timers_advance(fixture.timers, 4100);
	CU_ASSERT_EQUAL(fixture.records->len, 2);
	read_back(&fixture, 0);
	/* The claim names the first server, so no other may start the job. */
	CU_ASSERT_STRING_EQUAL(job->claim->targets[0]->server, "gpu-a");
	CU_ASSERT_EQUAL(fixture.starts[0] + fixture.starts[1], 0);
	tear_down(&fixture);
}

/**
 * The host ends the run before it has sent a start. The claim of the run stays
 * open until a record voids it.
 */
static void a_changed_token_ends_the_run_but_not_the_claim(void)
{
	mt_runner_fixture_t fixture;
	mt_job_t *job;

	set_up(&fixture);
	job = accept_job(&fixture, false);
	start_on(&fixture, job, 0);
	mt_timers_advance(fixture.timers, 1300);
	/* The fencing token changes before the claim is read back. */
	fixture.tokens[0]++;
	read_back(&fixture, 0);
	mt_timers_advance(fixture.timers, 1400);
	CU_ASSERT_PTR_NULL(mt_runner_find(fixture.runner, &job->id));
	CU_ASSERT_PTR_NOT_NULL(job->claim);
	tear_down(&fixture);
}

/** Unwinds the job's run, of which no start was sent; returns its task's name.
 */
static mt_name_t unwind_run(mt_runner_fixture_t *fixture, const mt_job_t *job)
{
	mt_run_t *run = mt_runner_find(fixture->runner, &job->id);
	mt_name_t task = {0};

	CU_ASSERT_PTR_NOT_NULL(run);
	if (!run)
		return task;
	task = mt_run_task_name(run, 0);
	mt_run_part(run, 0)->stopped = true;
	mt_run_unwind(fixture->runner, run, MT_CAUSE_RECLAIM, "reclaimed");
	return task;
}

/**
 * Guards against: a report that was asked for before a run was dropped still
 * lists its ended task, a run is recovered from it, and the job is backed off
 * again and again (a gang that waits over 30 s on idle servers).
 */
static void an_ended_task_of_a_dropped_run_is_not_recovered(void)
{
	mt_runner_fixture_t fixture;
	mt_job_t *job;
	mt_task_report_t report = {.state = MT_TASK_STOPPED, .members = 1};
	mt_name_t server = mt_name("gpu-a");

	set_up(&fixture);
	mt_runner_set_discovery_state(fixture.runner, true, true);
	job = accept_job(&fixture, true);
	start_on(&fixture, job, 0);
	report.task = unwind_run(&fixture, job);
	report.servers = 2;
	CU_ASSERT_PTR_NULL(mt_runner_find(fixture.runner, &job->id));
	mt_runner_on_stray_task(fixture.runner,
				mt_fleet_find(fixture.fleet, &server), &report);
	CU_ASSERT_PTR_NULL(mt_runner_find(fixture.runner, &job->id));
	tear_down(&fixture);
}

const mt_test_t mt_runner_tests[] = {
	{"an ended task of a dropped run is not recovered",
	 an_ended_task_of_a_dropped_run_is_not_recovered},
	{"a start waits until its claim is read back",
	 a_start_waits_until_its_claim_is_read_back},
	{"a claim of an earlier run permits no start",
	 a_claim_of_an_earlier_run_permits_no_start},
	{"a changed token ends the run but not the claim",
	 a_changed_token_ends_the_run_but_not_the_claim},
	{NULL, NULL},
};
