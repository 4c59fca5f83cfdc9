/**
 * @file test_runner.c
 * Focused tests of claims: the real runner, fleet, appender and job table on
 * virtual time, with two servers that answer at once.
 */
#include <CUnit/Basic.h>
#include <string.h>

#include "node/runner.h"
#include "unit/tests.h"

typedef struct mt_bed_t {
	mt_timers_t *timers;
	mt_kernel_t *kernel;
	mt_settings_t settings;
	mt_jobs_t *jobs;
	mt_fleet_t *fleet;
	mt_appender_t *appender;
	mt_health_t *health;
	mt_estimator_t *estimator;
	mt_runner_t *runner;
	GPtrArray *records;	/**< appended, in order */
	mt_append_cb append_cb; /**< of the append under way */
	void *append_ctx;
	uint64_t tokens[2];
	guint starts[2]; /**< START calls to each server */
	uint64_t offset;
} mt_bed_t;

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

/** An answer on its way: no callback comes before its call has returned. */
typedef struct mt_on_way_t {
	mt_server_reply_t reply;
	mt_server_cb on_server;
	mt_hosts_cb on_hosts;
	void *ctx;
} mt_on_way_t;

static void deliver_reply(void *data)
{
	mt_on_way_t *on_way = data;

	on_way->on_server(on_way->ctx, &on_way->reply);
	g_free(on_way);
}

static void deliver_hosts(void *data)
{
	mt_on_way_t *on_way = data;
	GArray *infos = g_array_new(FALSE, FALSE, sizeof(mt_server_info_t));

	for (guint i = 0; i < 2; i++) {
		mt_server_info_t info = server_info(i);

		g_array_append_val(infos, info);
	}
	on_way->on_hosts(on_way->ctx, infos);
	g_array_unref(infos);
	g_free(on_way);
}

static void call_server(void *self, const mt_server_info_t *server,
			const mt_server_request_t *request, mt_server_cb cb,
			void *ctx)
{
	mt_bed_t *bed = self;
	guint index = !strcmp(server->id.text, "gpu-b");
	mt_on_way_t *on_way = g_new0(mt_on_way_t, 1);
	mt_server_reply_t *reply = &on_way->reply;

	if (request->op == MT_SERVER_LEASE)
		bed->tokens[index] = request->token;
	else if (request->token != bed->tokens[index])
		reply->status = MT_REPLY_STALE;
	if (request->op == MT_SERVER_START)
		bed->starts[index]++;
	reply->boot = mt_name("boot-1");
	reply->token = bed->tokens[index];
	reply->state = MT_TASK_RUNNING;
	on_way->on_server = cb;
	on_way->ctx = ctx;
	mt_timers_after(bed->timers, 0, deliver_reply, on_way);
}

static void fetch_hosts(void *self, mt_hosts_cb cb, void *ctx)
{
	mt_bed_t *bed = self;
	mt_on_way_t *on_way = g_new0(mt_on_way_t, 1);

	on_way->on_hosts = cb;
	on_way->ctx = ctx;
	mt_timers_after(bed->timers, 0, deliver_hosts, on_way);
}

static void end_append(void *data)
{
	mt_bed_t *bed = data;

	bed->append_cb(bed->append_ctx, MT_APPEND_DONE);
}

static void append(void *self, const char *stream, GPtrArray *records,
		   mt_append_cb cb, void *ctx)
{
	mt_bed_t *bed = self;

	(void)stream;
	for (guint i = 0; i < records->len; i++)
		g_ptr_array_add(bed->records, g_bytes_ref(records->pdata[i]));
	bed->append_cb = cb;
	bed->append_ctx = ctx;
	mt_timers_after(bed->timers, 0, end_append, bed);
}

static void on_fleet(void *ctx, mt_fleet_server_t *server,
		     mt_fleet_event_t event)
{
	mt_bed_t *bed = ctx;

	if (bed->runner)
		mt_runner_on_fleet(bed->runner, server, event);
}

static void no_tasks(void *ctx, const mt_fleet_server_t *server, GArray *tasks)
{
	(void)ctx;
	(void)server;
	(void)tasks;
}

static bool may_take(void *ctx)
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
	mt_bed_t *bed = ctx;

	mt_runner_on_job(bed->runner, job, change);
}

static void open_bed(mt_bed_t *bed)
{
	mt_log_port_t log = {bed, append, NULL};
	mt_server_port_t servers = {bed, call_server};
	mt_hosts_port_t hosts = {bed, fetch_hosts};
	mt_fleet_handler_t on_event = {bed, on_fleet, no_tasks, may_take};
	mt_runner_handler_t on_runner = {bed, ignore_change, NULL};
	mt_runner_deps_t deps = {.settings = &bed->settings};

	memset(bed, 0, sizeof(*bed));
	bed->settings.dc = mt_name("tunis");
	bed->settings.lease_term_ms = 10000;
	bed->settings.renew_ms = 2000;
	bed->timers = mt_timers_new(1000);
	bed->kernel = mt_kernel_new("test", bed->timers, 1);
	mt_kernel_set_level(bed->kernel, MT_LOG_ERR);
	bed->records =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	bed->jobs = mt_jobs_new(bed->kernel);
	bed->appender = mt_appender_new(bed->kernel, &log, "jobs", 50, 100);
	bed->health = mt_health_new(mt_kernel_rand(bed->kernel));
	bed->estimator = mt_estimator_new();
	deps.kernel = bed->kernel;
	deps.incarnation = mt_name("host-1");
	bed->fleet = mt_fleet_new(bed->kernel, &bed->settings,
				  &deps.incarnation, &servers, &hosts);
	mt_fleet_set_handler(bed->fleet, &on_event);
	deps.jobs = bed->jobs;
	deps.fleet = bed->fleet;
	deps.appender = bed->appender;
	deps.health = bed->health;
	deps.estimator = bed->estimator;
	bed->runner = mt_runner_new(&deps);
	mt_runner_set_handler(bed->runner, &on_runner);
	mt_jobs_subscribe(bed->jobs, on_job, bed);
	mt_fleet_start(bed->fleet);
	mt_fleet_set_active(bed->fleet, true);
	mt_timers_advance(bed->timers, 1200);
}

static void close_bed(mt_bed_t *bed)
{
	/* Answers that are on their way arrive. */
	mt_timers_advance(bed->timers, mt_timers_now(bed->timers));
	mt_runner_free(bed->runner);
	mt_fleet_free(bed->fleet);
	mt_appender_free(bed->appender);
	mt_jobs_free(bed->jobs);
	mt_estimator_free(bed->estimator);
	mt_health_free(bed->health);
	g_ptr_array_unref(bed->records);
	mt_kernel_free(bed->kernel);
	mt_timers_free(bed->timers);
}

static mt_job_t *accept_charge(mt_bed_t *bed)
{
	MtPb__Record record = MT_PB__RECORD__INIT;
	MtPb__Accept accept = MT_PB__ACCEPT__INIT;
	MtPb__Spec spec = MT_PB__SPEC__INIT;
	uint8_t digest[MT_DIGEST_BYTES] = {0};
	mt_name_t account = mt_name("shop");
	mt_job_id_t id = mt_job_id_derive(&account, MT_STR("charge-1"));

	spec.kind = (char *)"charge";
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
	mt_jobs_apply(bed->jobs, bed->offset++, 0, &record);
	return mt_jobs_find(bed->jobs, &id);
}

static void start_on(mt_bed_t *bed, mt_job_t *job, guint index)
{
	mt_shape_t shape = {1, {0, 100, 0}};
	mt_server_info_t info = server_info(index);
	mt_target_t target = {mt_fleet_find(bed->fleet, &info.id), 1};
	GArray *targets = g_array_new(FALSE, FALSE, sizeof(mt_target_t));

	g_array_append_val(targets, target);
	mt_runner_start(bed->runner, job, &shape, targets);
	g_array_unref(targets);
}

/** Reads back what was appended, from record `first` on. */
static void read_back(mt_bed_t *bed, guint first)
{
	for (guint i = first; i < bed->records->len; i++) {
		GBytes *packed = bed->records->pdata[i];
		MtPb__Record *record = mt_record_unpack(packed);
		uint64_t offset = bed->offset++;

		mt_jobs_apply(bed->jobs, offset, 0, record);
		mt_appender_confirm(bed->appender, packed, offset);
		mt_record_free(record);
	}
}

static void starts_only_after_its_claim_is_read_back(void)
{
	mt_bed_t bed;
	mt_job_t *job;

	open_bed(&bed);
	job = accept_charge(&bed);
	start_on(&bed, job, 0);
	mt_timers_advance(bed.timers, 1300);
	CU_ASSERT_EQUAL(bed.records->len, 1);
	CU_ASSERT_EQUAL(bed.starts[0], 0);
	read_back(&bed, 0);
	CU_ASSERT_EQUAL(bed.starts[0], 1);
	close_bed(&bed);
}

static void takes_no_claim_of_an_earlier_run_for_its_own(void)
{
	mt_bed_t bed;
	mt_job_t *job;

	open_bed(&bed);
	job = accept_charge(&bed);
	start_on(&bed, job, 0);
	mt_timers_advance(bed.timers, 1300);
	/* Another holder takes the server: the run is dropped, not its claim.
	 */
	bed.tokens[0]++;
	mt_timers_advance(bed.timers, 4000);
	CU_ASSERT_PTR_NULL(mt_runner_find(bed.runner, &job->id));
	start_on(&bed, job, 1);
	mt_timers_advance(bed.timers, 4100);
	CU_ASSERT_EQUAL(bed.records->len, 2);
	read_back(&bed, 0);
	/* The log names the first server; nothing may begin on the other. */
	CU_ASSERT_STRING_EQUAL(job->claim->targets[0]->server, "gpu-a");
	CU_ASSERT_EQUAL(bed.starts[0] + bed.starts[1], 0);
	close_bed(&bed);
}

static void gives_up_a_start_when_the_lease_changed(void)
{
	mt_bed_t bed;
	mt_job_t *job;

	open_bed(&bed);
	job = accept_charge(&bed);
	start_on(&bed, job, 0);
	mt_timers_advance(bed.timers, 1300);
	/* The token changes between the claim and its reading back. */
	bed.tokens[0]++;
	read_back(&bed, 0);
	mt_timers_advance(bed.timers, 1400);
	CU_ASSERT_PTR_NULL(mt_runner_find(bed.runner, &job->id));
	CU_ASSERT_PTR_NOT_NULL(job->claim);
	close_bed(&bed);
}

const mt_test_t mt_runner_tests[] = {
	{"a claim is read back before the start",
	 starts_only_after_its_claim_is_read_back},
	{"a claim belongs to the run that wrote it",
	 takes_no_claim_of_an_earlier_run_for_its_own},
	{"a changed lease ends the run, the claim stays open",
	 gives_up_a_start_when_the_lease_changed},
	{NULL, NULL},
};
