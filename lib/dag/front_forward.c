/**
 * @file front_forward.c
 * Calls that are passed on to a host with the records of all jobs, and those
 * that other hosts have passed on to this one.
 */
#include "dag/front_internal.h"

/** True if the call may have been carried out although it got no such reply. */
static bool is_maybe_done(const mt_front_op_t *op,
			  const MtDag__PeerReply *reply)
{
	return op->verb == MT_VERB_CANCEL &&
	       (!reply || reply->outcome != MT_FRONT_OUTCOME_NOT_DONE);
}

/** True if the reply settles the call; otherwise another host is asked. */
static bool is_settled(const MtDag__PeerReply *reply)
{
	return reply && reply->outcome < MT_FRONT_OUTCOME_NOT_DONE &&
	       reply->state <= MT_DAG__STATE__CANCELLED;
}

static void on_peer_reply(void *ctx, const MtDag__PeerReply *peer_reply)
{
	mt_front_op_t *op = ctx;
	mt_front_reply_t reply = {MT_FRONT_OUTCOME_NOT_DONE,
				  MT_DAG__STATE__QUEUED, 0,
				  MT_FRONT_RETRY_AFTER_S};

	if (!is_settled(peer_reply)) {
		op->maybe_done =
			op->maybe_done || is_maybe_done(op, peer_reply);
		mt_front_forward(op);
		return;
	}
	if (op->verb == MT_VERB_SUBMIT) {
		mt_front_on_confirmation(
			op, (mt_front_outcome_t)peer_reply->outcome);
		return;
	}
	reply.outcome = (mt_front_outcome_t)peer_reply->outcome;
	reply.state = peer_reply->state;
	reply.pending = peer_reply->pending;
	if (mt_front_finish_op(op, &reply) && op->verb == MT_VERB_CANCEL)
		mt_front_log_answered(op, reply.outcome);
	mt_front_free_op(op);
}

void mt_front_forward(void *ctx)
{
	mt_front_op_t *op = ctx;
	const mt_dag_front_deps_t *deps = &op->front->deps;
	MtDag__PeerCall call = MT_DAG__PEER_CALL__INIT;
	mt_endpoint_t endpoints[MT_INFORMED_HOSTS_MAX];
	unsigned n_endpoints;

	if (!op->cb) {
		mt_front_free_op(op);
		return;
	}
	n_endpoints = deps->list_informed(deps->list_informed_ctx, endpoints);
	if (op->next_peer >= n_endpoints) {
		op->next_peer = 0;
		mt_timers_after(mt_kernel_timers(deps->kernel),
				MT_FRONT_FORWARD_RETRY_MS, mt_front_forward,
				op);
		return;
	}
	call.verb = op->peer_verb;
	call.job = op->job;
	call.queue = (char *)mt_shared_name_text(op->queue);
	deps->peers->call(deps->peers->self, &endpoints[op->next_peer++], &call,
			  on_peer_reply, op);
}

/** A call of another host with MT_VERB_REFUSE or MT_VERB_CONFIRM. */
typedef struct mt_admission_call_t {
	mt_dag_front_t *front;
	uint64_t job;
	mt_front_cb cb;
	void *ctx;
} mt_admission_call_t;

static void answer_admission_call(mt_admission_call_t *call,
				  mt_front_outcome_t outcome)
{
	mt_front_reply_now(call->cb, call->ctx, outcome);
	g_free(call);
}

static void on_refusal_for_peer(void *ctx, mt_refusal_result_t result)
{
	mt_front_outcome_t outcome = MT_FRONT_OUTCOME_UNKNOWN;

	if (result == MT_REFUSAL_REFUSED)
		outcome = MT_FRONT_OUTCOME_CANCELLED;
	else if (result == MT_REFUSAL_STORED)
		outcome = MT_FRONT_OUTCOME_ACCEPTED;
	answer_admission_call(ctx, outcome);
}

static void on_caught_up_for_peer(void *ctx, bool current)
{
	mt_admission_call_t *call = ctx;

	answer_admission_call(
		call, current && mt_front_has_records(call->front)
			      ? mt_front_confirmation(call->front, call->job)
			      : MT_FRONT_OUTCOME_NOT_DONE);
}

static void peer_admission_call(mt_dag_front_t *front,
				const MtDag__PeerCall *peer_call,
				mt_front_cb cb, void *ctx)
{
	mt_admission_call_t *call = g_new0(mt_admission_call_t, 1);

	*call = (mt_admission_call_t){front, peer_call->job, cb, ctx};
	if (peer_call->verb == MT_VERB_REFUSE)
		mt_refusals_add(front->refusals, call->job, on_refusal_for_peer,
				call);
	else
		mt_follower_catch_up(front->records_follower,
				     on_caught_up_for_peer, call);
}

void mt_dag_front_peer_call(mt_dag_front_t *front, const MtDag__PeerCall *call,
			    mt_front_cb cb, void *ctx)
{
	mt_str_t queue_name = mt_str_from(call->queue);
	mt_shared_name_t queue = {0};

	if (mt_shared_name_is_valid(queue_name))
		queue = mt_shared_name_new(queue_name);
	if (!mt_front_has_records(front))
		mt_front_reply_now(cb, ctx, MT_FRONT_OUTCOME_NOT_DONE);
	else if (call->verb == MT_VERB_REFUSE || call->verb == MT_VERB_CONFIRM)
		peer_admission_call(front, call, cb, ctx);
	else if (call->verb != MT_VERB_SHOW && call->verb != MT_VERB_CANCEL)
		mt_front_reply_now(cb, ctx, MT_FRONT_OUTCOME_NOT_DONE);
	else if (queue.len)
		mt_front_show_queue(front, queue, cb, ctx);
	else
		mt_front_look_up(front, (mt_verb_t)call->verb,
				 MT_PEER_TIMEOUT_MS, call->job, true, cb, ctx);
	mt_shared_name_clear(&queue);
}
