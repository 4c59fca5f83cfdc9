/** @file node.c Creates and connects the services of one entry host. */
#include "node/node.h"

#include <string.h>

/**
 * When two consecutive periodic checks are further apart than the threshold,
 * the process was paused, and what it knows of peers and leases may be out of
 * date.
 */
#define PAUSE_CHECK_PERIOD_MS 100u
#define PAUSE_THRESHOLD_MS 1000u

struct mt_node_t {
	mt_kernel_t *kernel;
	const mt_settings_t *settings;
	mt_name_t incarnation;
	mt_node_ports_t ports;
	mt_jobs_t *jobs;
	mt_lists_t *lists;
	mt_membership_t *membership;
	mt_list_sync_t *list_sync;
	mt_tail_t *job_tail;
	mt_appender_t *job_appender;
	mt_appender_t *list_appender;
	mt_refresher_t *refresher;
	mt_fleet_t *fleet;
	mt_health_t *health;
	mt_estimator_t *estimator;
	mt_slo_t *slo;
	mt_runner_t *runner;
	mt_planner_t *planner;
	mt_scheduler_t *scheduler;
	mt_job_api_t *job_api;
	/** Job id of a direct job to the host that gets the result. */
	GHashTable *direct_origins;
	mt_ms_t last_check_at;
	uint64_t pause_check_timer;
	bool draining;
};

/* Log streams. */

static void on_job_reset(void *ctx, uint64_t offset)
{
	mt_node_t *node = ctx;

	mt_jobs_reset(node->jobs, offset);
}

static void on_job_record(void *ctx, const mt_log_record_t *log_record,
			  const MtPb__Record *record)
{
	mt_node_t *node = ctx;

	if (record)
		mt_jobs_apply(node->jobs, log_record->offset, log_record->at_ms,
			      record);
	mt_appender_on_read_back(node->job_appender, log_record->data,
				 log_record->offset);
}

static void on_job_page(void *ctx)
{
	mt_node_t *node = ctx;

	if (mt_tail_is_synced(node->job_tail))
		mt_jobs_finish_loading(node->jobs);
}

static void on_list_record(void *ctx, const mt_log_record_t *log_record)
{
	mt_node_t *node = ctx;

	mt_appender_on_read_back(node->list_appender, log_record->data,
				 log_record->offset);
}

static void on_job_change(void *ctx, mt_job_t *job, mt_job_change_t change)
{
	mt_node_t *node = ctx;

	mt_runner_on_job(node->runner, job, change);
	mt_scheduler_on_job(node->scheduler, job, change);
	mt_job_api_on_job(node->job_api, job, change);
}

static void on_lists_change(void *ctx, mt_list_t list)
{
	mt_node_t *node = ctx;

	mt_log(node->kernel, MT_LOG_INFO, "config",
	       "list %s: version %" G_GUINT64_FORMAT " is now in effect",
	       mt_list_name(list), mt_lists_version(node->lists, list));
	mt_scheduler_request_decision(node->scheduler);
}

/* The fleet. */

static void on_fleet_event(void *ctx, mt_fleet_server_t *server,
			   mt_fleet_event_t event)
{
	mt_node_t *node = ctx;

	mt_runner_on_fleet(node->runner, server, event);
}

static void add_tasks_to_skip(void *ctx, const mt_fleet_server_t *server,
			      GArray *tasks)
{
	mt_node_t *node = ctx;

	mt_runner_add_tasks_to_skip(node->runner, server, tasks);
}

static bool may_take_leases(void *ctx)
{
	mt_node_t *node = ctx;

	return mt_scheduler_is_scheduling(node->scheduler);
}

static void on_runs_changed(void *ctx)
{
	mt_node_t *node = ctx;

	mt_scheduler_request_decision(node->scheduler);
}

/* Direct runs. */

/**
 * Adds a direct job, which the scheduler on this host will start. Fails if this
 * host is not the scheduler or the job cannot be run directly.
 */
static bool add_direct_job(void *ctx, const MtPb__DirectRun *run,
			   const mt_peer_id_t *origin)
{
	mt_node_t *node = ctx;
	mt_job_t *job;

	if (!mt_scheduler_is_scheduling(node->scheduler))
		return false;
	job = mt_jobs_add_direct(node->jobs, run);
	if (!job)
		return false;
	job->dc = node->settings->dc;
	g_hash_table_insert(node->direct_origins,
			    g_memdup2(&job->id, sizeof(job->id)),
			    g_memdup2(origin, sizeof(*origin)));
	return true;
}

static void send_direct_result(mt_node_t *node, const mt_peer_id_t *origin,
			       MtPb__DirectResult *result)
{
	MtPb__Frame frame = MT_PB__FRAME__INIT;

	if (mt_name_equal(&origin->host, &node->settings->host)) {
		mt_job_api_on_direct_result(node->job_api, result);
		return;
	}
	frame.body_case = MT_PB__FRAME__BODY_DIRECT_RESULT;
	frame.direct_result = result;
	node->ports.peers.send(node->ports.peers.self, &origin->host, &frame);
}

static void on_direct_done(void *ctx, mt_job_t *job, MtPb__OutcomeKind kind,
			   const char *reason, GBytes *bytes)
{
	mt_node_t *node = ctx;
	const mt_peer_id_t *origin =
		g_hash_table_lookup(node->direct_origins, &job->id);
	MtPb__DirectResult result = MT_PB__DIRECT_RESULT__INIT;

	result.job = mt_job_id_field(&job->id);
	result.kind = kind;
	result.reason = (char *)reason;
	if (bytes)
		result.result = mt_field_from_bytes(bytes);
	if (origin)
		send_direct_result(node, origin, &result);
	g_hash_table_remove(node->direct_origins, &job->id);
}

void mt_node_on_frame(mt_node_t *node, const mt_peer_id_t *from,
		      const MtPb__Frame *frame)
{
	switch (frame->body_case) {
	case MT_PB__FRAME__BODY_HEARTBEAT:
		mt_membership_on_heartbeat(node->membership, from,
					   frame->heartbeat);
		break;
	case MT_PB__FRAME__BODY_LIST_REQUEST:
		mt_list_sync_on_request(node->list_sync, from,
					frame->list_request);
		break;
	case MT_PB__FRAME__BODY_LIST_SNAPSHOT:
		mt_list_sync_on_snapshot(node->list_sync, frame->list_snapshot);
		break;
	case MT_PB__FRAME__BODY_DIRECT_RUN:
		add_direct_job(node, frame->direct_run, from);
		break;
	case MT_PB__FRAME__BODY_DIRECT_RESULT:
		mt_job_api_on_direct_result(node->job_api,
					    frame->direct_result);
		break;
	default:
		mt_kernel_count(node->kernel, "peer_frames_unexpected_total");
		break;
	}
}

/* Pauses. */

static void check_for_pause(void *ctx)
{
	mt_node_t *node = ctx;
	mt_ms_t now = mt_kernel_now(node->kernel);

	if (now > node->last_check_at + PAUSE_THRESHOLD_MS) {
		mt_kernel_count(node->kernel, "pauses_total");
		mt_log(node->kernel, MT_LOG_WARNING, "node",
		       "event loop was paused for %" G_GUINT64_FORMAT " ms",
		       now - node->last_check_at);
		mt_membership_on_pause(node->membership);
		mt_fleet_on_pause(node->fleet);
	}
	node->last_check_at = now;
}

/* Lifecycle. */

bool mt_node_is_ready(const mt_node_t *node)
{
	return !node->draining && mt_list_sync_has_lists(node->list_sync);
}

static bool can_serve_requests(void *ctx)
{
	const mt_node_t *node = ctx;

	/* While the log is available, no request is served until all jobs are
	 * loaded. While it is unavailable, requests are served even if the jobs
	 * are not loaded: idempotent jobs can still run directly. */
	return mt_list_sync_has_lists(node->list_sync) &&
	       ((mt_tail_is_synced(node->job_tail) &&
		 mt_jobs_is_loaded(node->jobs)) ||
		!mt_tail_is_log_available(node->job_tail));
}

static void create_state_services(mt_node_t *node)
{
	mt_tail_handler_t handler = {node, on_job_reset, on_job_record,
				     on_job_page};

	node->jobs = mt_jobs_new();
	node->lists = mt_lists_new();
	node->health = mt_health_new(mt_kernel_rand(node->kernel));
	node->estimator = mt_estimator_new();
	node->slo = mt_slo_new(node->kernel);
	node->membership =
		mt_membership_new(node->kernel, node->settings,
				  &node->incarnation, &node->ports.peers);
	node->list_sync =
		mt_list_sync_new(node->kernel, node->settings, node->lists,
				 &node->ports.log, &node->ports.peers);
	node->job_tail = mt_tail_new(node->kernel, &node->ports.log,
				     MT_JOBS_STREAM, &handler);
	node->job_appender =
		mt_appender_new(node->kernel, &node->ports.log, MT_JOBS_STREAM,
				node->settings->append_spacing_ms,
				node->settings->append_queue_records);
	node->list_appender =
		mt_appender_new(node->kernel, &node->ports.log, MT_LIST_STREAM,
				node->settings->append_spacing_ms,
				node->settings->append_queue_records);
}

static void create_scheduling_services(mt_node_t *node)
{
	mt_fleet_handler_t fleet_handler = {node, on_fleet_event,
					    add_tasks_to_skip, may_take_leases};
	mt_runner_handler_t runner_handler = {node, on_runs_changed,
					      on_direct_done};
	mt_runner_deps_t runner_deps = {.kernel = node->kernel,
					.settings = node->settings,
					.incarnation = node->incarnation,
					.jobs = node->jobs,
					.appender = node->job_appender,
					.health = node->health,
					.estimator = node->estimator};
	mt_planner_deps_t planner_deps = {.kernel = node->kernel,
					  .settings = node->settings,
					  .jobs = node->jobs,
					  .lists = node->lists,
					  .health = node->health,
					  .estimator = node->estimator,
					  .slo = node->slo,
					  .tail = node->job_tail};
	mt_scheduler_deps_t scheduler_deps = {.kernel = node->kernel,
					      .settings = node->settings,
					      .jobs = node->jobs,
					      .lists = node->lists,
					      .appender = node->job_appender,
					      .membership = node->membership,
					      .tail = node->job_tail,
					      .slo = node->slo};

	node->fleet =
		mt_fleet_new(node->kernel, node->settings, &node->incarnation,
			     &node->ports.servers, &node->ports.server_list);
	mt_fleet_set_handler(node->fleet, &fleet_handler);
	runner_deps.fleet = node->fleet;
	node->runner = mt_runner_new(&runner_deps);
	mt_runner_set_handler(node->runner, &runner_handler);
	planner_deps.fleet = node->fleet;
	planner_deps.runner = node->runner;
	node->planner = mt_planner_new(&planner_deps);
	scheduler_deps.fleet = node->fleet;
	scheduler_deps.runner = node->runner;
	scheduler_deps.planner = node->planner;
	node->scheduler = mt_scheduler_new(&scheduler_deps);
}

static void create_request_services(mt_node_t *node)
{
	mt_job_api_deps_t job_api_deps = {.kernel = node->kernel,
					  .settings = node->settings,
					  .jobs = node->jobs,
					  .lists = node->lists,
					  .membership = node->membership,
					  .appender = node->job_appender,
					  .tail = node->job_tail,
					  .peers = node->ports.peers,
					  .add_direct_job = add_direct_job,
					  .add_direct_job_ctx = node,
					  .can_serve_requests =
						  can_serve_requests,
					  .can_serve_requests_ctx = node};
	mt_refresher_deps_t refresher_deps = {
		.kernel = node->kernel,
		.jobs = node->jobs,
		.lists = node->lists,
		.membership = node->membership,
		.job_tail = node->job_tail,
		.list_tail = mt_list_sync_tail(node->list_sync),
		.job_appender = node->job_appender,
		.list_appender = node->list_appender};

	node->job_api = mt_job_api_new(&job_api_deps);
	node->refresher = mt_refresher_new(&refresher_deps);
}

static void register_services(mt_node_t *node)
{
	mt_kernel_provide(node->kernel, MT_SERVICE_JOBS, node->jobs);
	mt_kernel_provide(node->kernel, MT_SERVICE_LISTS, node->lists);
	mt_kernel_provide(node->kernel, MT_SERVICE_MEMBERSHIP,
			  node->membership);
	mt_kernel_provide(node->kernel, MT_SERVICE_FLEET, node->fleet);
	mt_kernel_provide(node->kernel, MT_SERVICE_JOB_API, node->job_api);
	mt_kernel_provide(node->kernel, MT_SERVICE_RUNNER, node->runner);
	mt_kernel_provide(node->kernel, MT_SERVICE_PLANNER, node->planner);
	mt_kernel_provide(node->kernel, MT_SERVICE_SCHEDULER, node->scheduler);
	mt_kernel_provide(node->kernel, MT_SERVICE_SLO, node->slo);
	mt_kernel_provide(node->kernel, MT_SERVICE_LIST_SYNC, node->list_sync);
}

mt_node_t *mt_node_new(mt_kernel_t *kernel, const mt_settings_t *settings,
		       const mt_name_t *incarnation,
		       const mt_node_ports_t *ports)
{
	mt_node_t *node = g_new0(mt_node_t, 1);

	node->kernel = kernel;
	node->settings = settings;
	node->incarnation = *incarnation;
	node->ports = *ports;
	node->direct_origins = g_hash_table_new_full(
		mt_job_id_hash, mt_job_id_key_equal, g_free, g_free);
	create_state_services(node);
	create_scheduling_services(node);
	create_request_services(node);
	register_services(node);
	mt_jobs_subscribe(node->jobs, on_job_change, node);
	mt_lists_subscribe(node->lists, on_lists_change, node);
	return node;
}

void mt_node_free(mt_node_t *node)
{
	if (!node)
		return;
	mt_timers_cancel(mt_kernel_timers(node->kernel),
			 node->pause_check_timer);
	mt_job_api_free(node->job_api);
	mt_refresher_free(node->refresher);
	mt_runner_free(node->runner);
	mt_scheduler_free(node->scheduler);
	mt_planner_free(node->planner);
	mt_fleet_free(node->fleet);
	mt_tail_free(node->job_tail);
	mt_list_sync_free(node->list_sync);
	mt_membership_free(node->membership);
	mt_appender_free(node->job_appender);
	mt_appender_free(node->list_appender);
	mt_slo_free(node->slo);
	mt_estimator_free(node->estimator);
	mt_health_free(node->health);
	mt_lists_free(node->lists);
	mt_jobs_free(node->jobs);
	g_hash_table_destroy(node->direct_origins);
	g_free(node);
}

void mt_node_start(mt_node_t *node)
{
	node->last_check_at = mt_kernel_now(node->kernel);
	node->pause_check_timer =
		mt_timers_every(mt_kernel_timers(node->kernel),
				PAUSE_CHECK_PERIOD_MS, check_for_pause, node);
	mt_membership_start(node->membership);
	mt_list_sync_start(node->list_sync, on_list_record, node);
	mt_tail_start(node->job_tail);
	mt_fleet_start(node->fleet);
	mt_scheduler_start(node->scheduler);
	mt_refresher_start(node->refresher);
}

void mt_node_drain(mt_node_t *node)
{
	node->draining = true;
	mt_job_api_drain(node->job_api);
	mt_scheduler_drain(node->scheduler);
}

bool mt_node_is_drained(const mt_node_t *node)
{
	return node->draining && !mt_job_api_pending(node->job_api) &&
	       !mt_appender_pending(node->job_appender) &&
	       mt_scheduler_has_released_all(node->scheduler);
}
