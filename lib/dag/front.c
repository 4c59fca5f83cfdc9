/** @file front.c Checks and dispatches the calls of clients. */
#include "dag/front_internal.h"

#include <string.h>

/**
 * The host is not ready when its copy of the configuration is older than this.
 * The age may reach twice the timeout of the long polls (CONFIG_WAIT_MS in
 * host.c) while the store answers.
 */
#define READY_AGE_MAX_MS 2500u

/**
 * Maximum number of events call_refused per second, so that clients without a
 * valid API key do not use up MT_EVENTS_PER_S.
 */
#define REFUSALS_LOGGED_PER_S 20u
#define MS_PER_S 1000u

static void make_admission(mt_dag_front_t *front)
{
	const mt_dag_front_deps_t *own = &front->deps;
	mt_refusals_deps_t deps = {own->kernel, own->store, own->table, {0}};
	mt_load_shedding_deps_t shedding_deps = {
		own->kernel, own->admission_mode, own->pressure,
		own->pressure_ctx};
	char *producer = g_strdup_printf("%s-r", own->incarnation.text);

	deps.producer = mt_name(producer);
	g_free(producer);
	front->refusals = mt_refusals_new(&deps);
	front->load_shedding = mt_load_shedding_new(&shedding_deps);
}

mt_dag_front_t *mt_dag_front_new(const mt_dag_front_deps_t *deps)
{
	mt_dag_front_t *front = g_new0(mt_dag_front_t, 1);

	front->deps = *deps;
	front->absent_cancels =
		mt_absent_cancels_new(deps->kernel, deps->table, deps->writer);
	make_admission(front);
	return front;
}

void mt_dag_front_free(mt_dag_front_t *front)
{
	mt_absent_cancels_free(front->absent_cancels);
	mt_refusals_free(front->refusals);
	mt_load_shedding_free(front->load_shedding);
	g_free(front);
}

void mt_dag_front_set_catalog(mt_dag_front_t *front,
			      const mt_catalog_t *catalog)
{
	front->catalog = catalog;
}

unsigned mt_dag_front_n_open_calls(const mt_dag_front_t *front)
{
	return front->open_calls;
}

/**
 * True when a configuration has been read and mt_follower_age() of the
 * configuration's follower is at most `age_max`.
 */
static bool config_is_recent(const mt_dag_front_t *front, mt_ms_t age_max)
{
	return front->catalog &&
	       mt_follower_age(front->deps.config_follower) <= age_max;
}

bool mt_dag_front_is_ready(const mt_dag_front_t *front)
{
	return config_is_recent(front, READY_AGE_MAX_MS);
}

void mt_dag_front_set_records(mt_dag_front_t *front, mt_follower_t *follower)
{
	front->records_follower = follower;
	mt_refusals_set_follower(front->refusals, follower);
}

bool mt_front_has_records(const mt_dag_front_t *front)
{
	return front->records_follower &&
	       mt_follower_has_snapshot(front->records_follower);
}

/* Dispatch of calls. */

/** @return true if a refused call may be logged now */
static bool may_log_refusal(mt_dag_front_t *front)
{
	mt_ms_t now = mt_kernel_now(front->deps.kernel);

	if (now - front->refusals_since >= MS_PER_S) {
		front->refusals_since = now;
		front->refusals_logged = 0;
	}
	return front->refusals_logged++ < REFUSALS_LOGGED_PER_S;
}

/** Counts and logs a refused call. Returns false. */
static bool refuse(mt_dag_front_t *front, const char *reason)
{
	mt_kernel_count(front->deps.kernel,
			"calls_refused_total{reason=\"%s\"}", reason);
	if (!may_log_refusal(front))
		return false;
	mt_kernel_event(
		front->deps.kernel, "call_refused",
		"\"reason\":\"%s\",\"config_version\":%" G_GUINT64_FORMAT
		",\"config_age_ms\":%" G_GINT64_FORMAT,
		reason, front->catalog ? front->catalog->version : 0,
		(gint64)mt_follower_age(front->deps.config_follower));
	return false;
}

/**
 * Finds the queue and the account of a call.
 * @param account receives NULL if the call has no valid key and needs none
 * @return false when the call is refused, with `outcome`
 */
static bool authorize(mt_dag_front_t *front, const mt_front_call_t *call,
		      const mt_queue_t **queue,
		      const mt_client_account_t **account,
		      mt_front_outcome_t *outcome)
{
	if (!config_is_recent(front, front->deps.config_age_max_ms)) {
		*outcome = MT_FRONT_OUTCOME_NOT_DONE;
		return refuse(front, "configuration is not current");
	}
	*queue = mt_catalog_route(front->catalog, call->url_host, call->path);
	if (!*queue) {
		*outcome = MT_FRONT_OUTCOME_NO_QUEUE;
		return refuse(front, "no queue");
	}
	*account = mt_catalog_account_of_key(front->catalog, call->key);
	if (!*account && !(*queue)->needs_no_key) {
		*outcome = MT_FRONT_OUTCOME_BAD_KEY;
		return refuse(front, "unknown key");
	}
	return true;
}

bool mt_dag_front_check(mt_dag_front_t *front, const mt_front_call_t *call,
			mt_front_outcome_t *outcome,
			mt_shared_name_t *account_name)
{
	const mt_client_account_t *account = NULL;
	const mt_queue_t *queue;

	if (!authorize(front, call, &queue, &account, outcome))
		return false;
	if (account)
		*account_name = account->name;
	return true;
}

/**
 * Handles a call about a job, or about a queue, here or on a host that has the
 * records.
 * @param queue NULL: the call is about the job `id`
 */
static void ask_about(mt_dag_front_t *front, const mt_front_call_t *call,
		      uint64_t id, const mt_queue_t *queue, mt_front_cb cb,
		      void *ctx)
{
	mt_front_op_t *op;

	if (mt_front_has_records(front) && queue) {
		mt_front_show_queue(front, queue->name, cb, ctx);
		return;
	}
	if (mt_front_has_records(front)) {
		mt_front_look_up(front, call->verb, call->timeout_ms, id, false,
				 cb, ctx);
		return;
	}
	op = mt_front_new_op(front, call->verb, call->timeout_ms, id, cb, ctx);
	op->forwarded = true;
	op->peer_verb = call->verb;
	if (queue)
		mt_shared_name_assign(&op->queue, queue->name);
	mt_front_forward(op);
}

void mt_dag_front_call(mt_dag_front_t *front, const mt_front_call_t *call,
		       mt_front_cb cb, void *ctx)
{
	const mt_client_account_t *account;
	const mt_queue_t *queue;
	mt_front_outcome_t outcome;
	mt_str_t id_text;
	uint64_t id;
	mt_job_spelling_t spelling;

	if (!authorize(front, call, &queue, &account, &outcome)) {
		mt_front_reply_now(cb, ctx, outcome);
		return;
	}
	id_text = (mt_str_t){call->path.data + strlen(queue->path_prefix),
			     call->path.len - strlen(queue->path_prefix)};
	if (!id_text.len && call->verb == MT_VERB_SHOW)
		ask_about(front, call, 0, queue, cb, ctx);
	else if (call->verb == MT_VERB_OTHER || !id_text.len)
		mt_front_reply_now(cb, ctx, MT_FRONT_OUTCOME_BAD_METHOD);
	else if (!mt_record_parse_client_id(id_text, &id, &spelling))
		mt_front_reply_now(cb, ctx,
				   call->verb == MT_VERB_SUBMIT
					   ? MT_FRONT_OUTCOME_BAD_REQUEST
					   : MT_FRONT_OUTCOME_NO_JOB);
	else if (call->verb == MT_VERB_SUBMIT)
		mt_front_submit(front, call, id, &spelling, queue, account, cb,
				ctx);
	else
		ask_about(front, call, id, NULL, cb, ctx);
}
