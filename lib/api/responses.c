/** @file responses.c Builds the HTTP responses to clients and operators. */
#include "api/responses.h"

#include <string.h>

#include "net/json_util.h"

#define TYPE_JSON "application/json"
#define TYPE_PROBLEM "application/problem+json"
#define RETRY_AFTER_S 1u

/** HTTP status and explanation of a refusal. */
typedef struct mt_refusal_response_t {
	int status;
	const char *detail;
} mt_refusal_response_t;

static const mt_refusal_response_t refusal_responses[MT_REFUSAL_COUNT] = {
	[MT_REFUSAL_NONE] = {500, "no reason"},
	[MT_REFUSAL_NOT_READY] = {503, "this host is still starting"},
	[MT_REFUSAL_DRAINING] = {503, "this host is being stopped"},
	/* Without the log, the job cannot be recorded. It is not accepted, as
	 * the host could not keep the promise to run it. */
	[MT_REFUSAL_LOG_UNAVAILABLE] = {503,
					"the platform's log does not answer, "
					"so nothing can be promised"},
	[MT_REFUSAL_OVERLOADED] = {503, "too many jobs are being accepted now"},
	/* The text says "wait", but jobs_queued_per_account limits all jobs of
	 * the account that have not ended, including running ones. */
	[MT_REFUSAL_QUEUE_FULL] = {429, "too many jobs of this account wait"},
	[MT_REFUSAL_OVER_LIMIT] = {422, "larger than the plan's limit in every "
					"data centre"},
	[MT_REFUSAL_KEY_REUSED] = {409, "this key was used with another body"},
	[MT_REFUSAL_NOT_FOUND] = {404, "no such job of this account"},
};

void mt_api_response_clear(mt_api_response_t *response)
{
	g_clear_pointer(&response->body, g_bytes_unref);
}

/** Takes over the reference to `object`. */
static mt_api_response_t json_response(int status, const char *type,
				       json_t *object)
{
	char *text = mt_json_dump_decref(object);

	return (mt_api_response_t){status, type,
				   g_bytes_new_take(text, strlen(text)), 0};
}

mt_api_response_t mt_api_problem(int status, const char *code,
				 const char *detail, bool not_run)
{
	json_t *object = json_object();
	mt_api_response_t response;

	json_object_set_new(object, "status", json_integer(status));
	json_object_set_new(object, "code", json_string(code));
	json_object_set_new(object, "title", json_string(code));
	json_object_set_new(object, "detail", json_string(detail));
	json_object_set_new(object, "not_run", json_boolean(not_run));
	response = json_response(status, TYPE_PROBLEM, object);
	if (status == 503 || status == 429)
		response.retry_after_s = RETRY_AFTER_S;
	return response;
}

static json_t *render_job(const mt_job_t *job)
{
	json_t *object = json_object();
	mt_name_t id = mt_job_id_text(&job->id);
	bool ended = !mt_job_is_live(job);

	mt_json_set_name(object, "id", &id);
	/* The name of OUTCOME_NONE, which a job has until it ends, is
	 * "accepted". */
	json_object_set_new(object, "state",
			    json_string(mt_outcome_name(job->outcome)));
	json_object_set_new(object, "kind", json_string(job->spec->kind));
	mt_json_set_name(object, "data_centre", &job->dc);
	/* "durable": the job is recorded in the log. */
	json_object_set_new(object, "durable", json_true());
	json_object_set_new(object, "cancel_requested",
			    json_boolean(job->cancel_requested));
	json_object_set_new(object, "not_run", json_boolean(job->not_run));
	mt_json_set_u64(object, "accepted_at_ms", job->accepted_at_ms);
	if (ended)
		mt_json_set_u64(object, "ended_at_ms", job->ended_at_ms);
	if (ended && job->reason && *job->reason)
		json_object_set_new(object, "reason", json_string(job->reason));
	if (job->result) {
		char *digest = mt_sha256_hex(job->result);

		mt_json_set_u64(object, "result_length",
				g_bytes_get_size(job->result));
		json_object_set_new(object, "result_sha256",
				    json_string(digest));
		g_free(digest);
	}
	return object;
}

/** The job has not been read back from the log; it may still be accepted. */
static mt_api_response_t render_pending(const mt_answer_t *answer)
{
	json_t *object = json_object();
	mt_name_t id = mt_job_id_text(&answer->id);
	char *path = g_strdup_printf("/v1/jobs/%s", id.text);

	mt_json_set_name(object, "id", &id);
	json_object_set_new(object, "state", json_string("pending"));
	json_object_set_new(object, "not_run", json_false());
	json_object_set_new(object, "durable", json_false());
	/* "ask_at": where the client can request the state of the job. */
	json_object_set_new(object, "ask_at", json_string(path));
	g_free(path);
	return json_response(202, TYPE_JSON, object);
}

/**
 * The job was run without a record in the log, see DirectRun in
 * wire/mimosaturn.proto.
 */
static mt_api_response_t render_direct(const mt_answer_t *answer)
{
	json_t *object = json_object();
	mt_name_t id = mt_job_id_text(&answer->id);

	mt_json_set_name(object, "id", &id);
	json_object_set_new(object, "state",
			    json_string(mt_outcome_name(answer->direct_kind)));
	json_object_set_new(object, "durable", json_false());
	json_object_set_new(object, "not_run", json_false());
	if (answer->direct_reason && *answer->direct_reason)
		json_object_set_new(object, "reason",
				    json_string(answer->direct_reason));
	if (answer->direct_result)
		mt_json_set_bytes(object, "result_base64",
				  answer->direct_result);
	return json_response(200, TYPE_JSON, object);
}

static mt_api_response_t render_refusal(const mt_answer_t *answer)
{
	const mt_refusal_response_t *response =
		&refusal_responses[answer->refusal];

	return mt_api_problem(response->status,
			      mt_refusal_code(answer->refusal),
			      response->detail, answer->not_run);
}

mt_api_response_t mt_api_render_answer(const mt_answer_t *answer)
{
	switch (answer->kind) {
	case MT_ANSWER_JOB:
		return json_response(mt_job_is_live(answer->job) ? 202 : 200,
				     TYPE_JSON, render_job(answer->job));
	case MT_ANSWER_PENDING:
		return render_pending(answer);
	case MT_ANSWER_DIRECT:
		return render_direct(answer);
	default:
		return render_refusal(answer);
	}
}

mt_api_response_t mt_api_render_result(const mt_answer_t *answer)
{
	if (answer->kind != MT_ANSWER_JOB)
		return mt_api_render_answer(answer);
	if (mt_job_is_live(answer->job))
		return mt_api_problem(409, "not_finished",
				      "the job has not ended yet", false);
	if (!answer->job->result)
		return mt_api_problem(404, "no_result",
				      "the job has ended without a result",
				      answer->job->not_run);
	return (mt_api_response_t){200, "application/octet-stream",
				   g_bytes_ref(answer->job->result), 0};
}

/* Responses to operators. */

/** Renders the live hosts; their field in the response is named "members". */
static json_t *render_live_hosts(const mt_kernel_t *kernel)
{
	mt_membership_t *membership =
		mt_kernel_find(kernel, MT_SERVICE_MEMBERSHIP);
	GArray *live_hosts = mt_membership_live(membership);
	json_t *list = json_array();

	for (guint i = 0; i < live_hosts->len; i++) {
		const mt_host_state_t *live_host =
			&g_array_index(live_hosts, mt_host_state_t, i);
		json_t *item = json_object();

		mt_json_set_name(item, "host", &live_host->id.host);
		mt_json_set_name(item, "data_centre", &live_host->id.dc);
		mt_json_set_name(item, "incarnation",
				 &live_host->id.incarnation);
		json_object_set_new(item, "synced",
				    json_boolean(live_host->synced));
		json_object_set_new(item, "draining",
				    json_boolean(live_host->draining));
		json_object_set_new(item, "scheduler",
				    json_boolean(live_host->scheduler));
		json_array_append_new(list, item);
	}
	g_array_unref(live_hosts);
	return list;
}

static json_t *render_lists(const mt_kernel_t *kernel)
{
	mt_lists_t *lists = mt_kernel_find(kernel, MT_SERVICE_LISTS);
	json_t *object = json_object();

	for (int i = 0; i < MT_LIST_COUNT; i++)
		mt_json_set_u64(object, mt_list_name((mt_list_t)i),
				mt_lists_version(lists, (mt_list_t)i));
	return object;
}

/** A server is "leased" if this host holds the lease on it. */
static json_t *render_servers(const mt_kernel_t *kernel)
{
	mt_fleet_t *fleet = mt_kernel_find(kernel, MT_SERVICE_FLEET);
	GPtrArray *servers = mt_fleet_servers(fleet);
	json_t *list = json_array();

	for (guint i = 0; i < servers->len; i++) {
		const mt_fleet_server_t *server = servers->pdata[i];
		json_t *item = json_object();

		mt_json_set_name(item, "id", &server->info.id);
		mt_json_set_u64(item, "rack", server->info.rack);
		json_object_set_new(item, "listed",
				    json_boolean(server->listed));
		json_object_set_new(item, "leased",
				    json_boolean(server->leased));
		json_object_set_new(item, "leaving",
				    json_boolean(server->leaving));
		json_object_set_new(
			item, "usable",
			json_boolean(mt_fleet_is_usable(fleet, server)));
		mt_json_set_u64(item, "tasks",
				server->tasks ? server->tasks->len : 0);
		json_array_append_new(list, item);
	}
	return list;
}

static void set_resources(json_t *object, const char *key,
			  const mt_resources_t *resources)
{
	json_object_set_new(object, key,
			    json_pack("{s:i, s:i, s:i}", "processors",
				      (int)resources->processors, "memory_mb",
				      (int)resources->memory_mb, "accelerators",
				      (int)resources->accelerators));
}

/** Resources that the account's runs occupy in this data centre. */
static mt_resources_t account_resources_in_use(const mt_kernel_t *kernel,
					       const mt_name_t *account)
{
	mt_runner_t *runner = mt_kernel_find(kernel, MT_SERVICE_RUNNER);
	mt_resources_t used = {0};
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, mt_runner_runs(runner));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_run_t *run = value;

		if (mt_name_equal(&run->account, account))
			used = mt_resources_add(used,
						mt_shape_total(&run->shape));
	}
	return used;
}

static json_t *render_accounts(const mt_kernel_t *kernel, const mt_name_t *dc)
{
	mt_lists_t *lists = mt_kernel_find(kernel, MT_SERVICE_LISTS);
	GPtrArray *accounts = mt_lists_accounts(lists);
	json_t *list = json_array();

	for (guint i = 0; i < accounts->len; i++) {
		const mt_account_t *account = accounts->pdata[i];
		const mt_quota_t *quota =
			mt_lists_quota(lists, &account->name, dc);
		mt_resources_t used =
			account_resources_in_use(kernel, &account->name);
		json_t *item = json_object();

		mt_json_set_name(item, "account", &account->name);
		mt_json_set_name(item, "plan", &account->plan);
		set_resources(item, "used", &used);
		if (quota) {
			set_resources(item, "guarantee", &quota->guarantee);
			set_resources(item, "limit", &quota->limit);
		}
		json_array_append_new(list, item);
	}
	g_ptr_array_unref(accounts);
	return list;
}

/**
 * Renders the summary of the scheduler's last decision. The response calls it
 * "plan"; the "plan" of an account is something else, namely the name of its
 * entry in the usage list.
 *
 * "guarantee_deficit" is the number of accelerators that accounts are
 * guaranteed and do not use, but could not get even if every reclaimable run
 * (decide/guarantee.h) were stopped. "guarantee_deficit_when_empty" is the
 * number of guaranteed accelerators that accounts could not get even if nothing
 * ran.
 */
static json_t *render_planner_summary(const mt_kernel_t *kernel)
{
	mt_planner_t *planner = mt_kernel_find(kernel, MT_SERVICE_PLANNER);
	const mt_planner_summary_t *summary = mt_planner_summary(planner);

	return json_pack("{s:i, s:i, s:i, s:i, s:i}", "waiting",
			 (int)summary->waiting, "free_accelerators",
			 (int)summary->free_accelerators, "total_accelerators",
			 (int)summary->total_accelerators, "guarantee_deficit",
			 (int)summary->deficit, "guarantee_deficit_when_empty",
			 (int)summary->deficit_when_empty);
}

mt_api_response_t mt_api_status(const mt_kernel_t *kernel,
				const mt_node_t *node)
{
	mt_membership_t *membership =
		mt_kernel_find(kernel, MT_SERVICE_MEMBERSHIP);
	mt_scheduler_t *scheduler =
		mt_kernel_find(kernel, MT_SERVICE_SCHEDULER);
	const mt_peer_id_t *self = mt_membership_self(membership);
	bool scheduling = mt_scheduler_is_scheduling(scheduler);
	json_t *object = json_object();

	mt_json_set_name(object, "host", &self->host);
	mt_json_set_name(object, "data_centre", &self->dc);
	mt_json_set_name(object, "incarnation", &self->incarnation);
	json_object_set_new(object, "ready",
			    json_boolean(mt_node_is_ready(node)));
	json_object_set_new(object, "scheduler", json_boolean(scheduling));
	json_object_set_new(object, "lists", render_lists(kernel));
	json_object_set_new(object, "members", render_live_hosts(kernel));
	if (scheduling) {
		json_object_set_new(object, "servers", render_servers(kernel));
		json_object_set_new(object, "accounts",
				    render_accounts(kernel, &self->dc));
		json_object_set_new(object, "plan",
				    render_planner_summary(kernel));
	}
	return json_response(200, TYPE_JSON, object);
}

mt_api_response_t mt_api_slo(const mt_kernel_t *kernel)
{
	mt_slo_t *slo = mt_kernel_find(kernel, MT_SERVICE_SLO);
	mt_membership_t *membership =
		mt_kernel_find(kernel, MT_SERVICE_MEMBERSHIP);
	json_t *object = json_object();

	mt_json_set_name(object, "host", &mt_membership_self(membership)->host);
	json_object_set_new(object, "accounts", mt_slo_report(slo));
	return json_response(200, TYPE_JSON, object);
}

mt_api_response_t mt_api_metrics(const mt_kernel_t *kernel)
{
	char *text = mt_kernel_metrics_text(kernel);

	return (mt_api_response_t){200, "text/plain; version=0.0.4",
				   g_bytes_new_take(text, strlen(text)), 0};
}
