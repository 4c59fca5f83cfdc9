/** @file run_commands.c Commands to backend servers and their replies. */
#include <string.h>

#include "node/runner_internal.h"

typedef struct mt_command_ctx_t {
	mt_runner_t *runner;
	uint64_t run; /**< id of the run */
	guint part;   /**< index into mt_run_t.parts */
	mt_server_op_t op;
} mt_command_ctx_t;

static void fill_start_request(const mt_run_t *run, guint index,
			       const mt_job_t *job, mt_task_spec_t *start)
{
	const mt_run_part_t *part = mt_run_part(run, index);
	mt_shape_t share = {part->members, run->shape.each};
	mt_resources_t total = mt_shape_total(&share);

	start->task = part->task;
	start->job = run->job_text;
	start->servers = run->part_count;
	start->members = part->members;
	start->processors = total.processors;
	start->memory_mb = total.memory_mb;
	start->accelerators = total.accelerators;
	start->held = run->part_count > 1;
	start->resume = run->checkpointable && run->idempotent;
	start->payload = job->payload;
}

bool mt_run_owns_claim(const mt_runner_t *runner, const mt_run_t *run,
		       const mt_job_t *job)
{
	return job->claim && job->claim->number == run->claim_number &&
	       job->claim->run == run->id &&
	       !strcmp(job->claim->holder, runner->deps.incarnation.text);
}

/** Checks that a non-idempotent job starts only under this run's claim. */
static bool may_start(const mt_runner_t *runner, const mt_run_t *run,
		      const mt_job_t *job)
{
	return mt_invariant(runner->deps.kernel,
			    job && job->payload &&
				    (run->idempotent ||
				     mt_run_owns_claim(runner, run, job)),
			    "start_under_own_claim", "job %s",
			    run->job_text.text);
}

static void on_start_reply(mt_runner_t *runner, mt_run_t *run,
			   mt_run_part_t *part, const mt_server_reply_t *reply)
{
	mt_ms_t now = mt_kernel_now(runner->deps.kernel);

	part->lease_until =
		now + runner->deps.settings->lease_term_ms + MT_LEASE_MARGIN_MS;
	if (reply->status == MT_REPLY_OK) {
		part->acked = true;
		part->state = reply->state;
		part->began = reply->began;
		part->version = reply->version;
	} else if (reply->status == MT_REPLY_UNKNOWN) {
		part->retry_at = now + MT_COMMAND_RETRY_MS;
	} else if (!reply->reason || strcmp(reply->reason, "out_of_order")) {
		/* A START that is refused as "out_of_order" was overtaken by a
		 * later command under the same token, and is sent again. Any
		 * other refusal is final. */
		mt_run_unwind(runner, run, MT_CAUSE_REFUSED, "start_refused");
	}
}

static void on_release_reply(mt_runner_t *runner, mt_run_t *run,
			     mt_run_part_t *part,
			     const mt_server_reply_t *reply)
{
	if (reply->status == MT_REPLY_OK) {
		part->state = reply->state;
		part->began = reply->began;
	} else if (reply->status == MT_REPLY_UNKNOWN) {
		part->retry_at = mt_kernel_now(runner->deps.kernel) +
				 MT_COMMAND_RETRY_MS;
	} else {
		mt_run_unwind(runner, run, MT_CAUSE_LOST, "release_refused");
	}
}

static void on_result_reply(mt_runner_t *runner, mt_run_t *run,
			    mt_run_part_t *part, const mt_server_reply_t *reply)
{
	if (run->phase != MT_PHASE_COLLECT)
		return;
	if (reply->status == MT_REPLY_OK && reply->result) {
		run->result = g_bytes_ref(reply->result);
		if (g_bytes_get_size(run->result) > MT_RESULT_MAX_BYTES)
			mt_run_record_outcome(
				runner, run,
				MT_PB__OUTCOME_KIND__OUTCOME_FAILED,
				"result_too_large");
		else
			mt_run_record_outcome(
				runner, run,
				MT_PB__OUTCOME_KIND__OUTCOME_FINISHED, "");
	} else if (reply->status == MT_REPLY_REFUSED) {
		mt_run_unwind(runner, run, MT_CAUSE_LOST, "result_lost");
	} else {
		part->retry_at = mt_kernel_now(runner->deps.kernel) +
				 MT_COMMAND_RETRY_MS;
	}
}

static void on_reply(void *ctx, const mt_server_reply_t *reply)
{
	mt_command_ctx_t call = *(mt_command_ctx_t *)ctx;
	mt_run_t *run = g_hash_table_lookup(call.runner->by_id, &call.run);
	mt_run_part_t *part;

	g_free(ctx);
	/* A stale token ends the server lease, and with it the run; see
	 * on_lease_lost(). */
	if (!run || reply->status == MT_REPLY_STALE)
		return;
	part = mt_run_part(run, call.part);
	part->command_pending = false;
	if (call.op == MT_SERVER_START)
		on_start_reply(call.runner, run, part, reply);
	else if (call.op == MT_SERVER_RELEASE)
		on_release_reply(call.runner, run, part, reply);
	else if (call.op == MT_SERVER_RESULT)
		on_result_reply(call.runner, run, part, reply);
	else
		mt_run_on_stop_reply(call.runner, run, part, call.op, reply);
	run = g_hash_table_lookup(call.runner->by_id, &call.run);
	if (run)
		mt_run_advance(call.runner, run);
}

void mt_run_send_command(mt_runner_t *runner, mt_run_t *run, guint index,
			 mt_server_op_t op)
{
	mt_run_part_t *part = mt_run_part(run, index);
	mt_fleet_server_t *server =
		mt_fleet_find(runner->deps.fleet, &part->server);
	mt_server_request_t request = {.op = op};
	mt_command_ctx_t *call;
	mt_job_t *job;

	if (!server || !server->leased)
		return;
	request.task = part->task;
	if (op == MT_SERVER_START) {
		job = mt_jobs_find(runner->deps.jobs, &run->job);
		if (!may_start(runner, run, job))
			return;
		fill_start_request(run, index, job, &request.start);
		part->start_sent = true;
	}
	call = g_new0(mt_command_ctx_t, 1);
	*call = (mt_command_ctx_t){runner, run->id, index, op};
	part->command_pending = true;
	mt_fleet_command(runner->deps.fleet, server, &request, on_reply, call);
}
