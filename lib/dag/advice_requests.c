/**
 * @file advice_requests.c Requests tickets from the policy service for the
 * steps of queues that need them (mt_queue_t.advised).
 */
#include "dag/engine_internal.h"

/** Maximum number of servers in one request. */
#define REQUEST_SERVERS_MAX 30u

/**
 * The timeout of a request is this much longer than the time expected for the
 * decision, which is `decision_ms` of the queue plus `per_server_ms` for each
 * server in the request.
 */
#define ANSWER_MARGIN_MS 1500u

/**
 * Delay before the next request after one that was refused, not answered, or
 * answered with malformed entries.
 */
#define RETRY_DELAY_MS 200u

/** A request in progress, and the servers that it asks about. */
typedef struct mt_pending_request_t {
	mt_engine_t *engine;
	unsigned generation;
	mt_task_key_t step; /**< its step; the index of the task is 0 */
	mt_shared_name_t servers[REQUEST_SERVERS_MAX]; /**< references */
	/** Start times of the server processes when the request was sent. */
	int64_t born_ms[REQUEST_SERVERS_MAX];
	size_t n_servers;
} mt_pending_request_t;

/** The step with this key, or NULL if it is done or its job was removed. */
static mt_dag_step_t *find_step(mt_engine_t *engine, const mt_task_key_t *key)
{
	mt_dag_job_t *job = mt_engine_job(engine, key->job);

	return job ? mt_dag_job_find_step(job, key->occurrence, key->step)
		   : NULL;
}

/**
 * Stores a decision in the step, if the step still exists. Delays the next
 * request if there was no decision.
 */
static void apply_answer(mt_pending_request_t *pending,
			 const mt_advice_answer_t *answer)
{
	mt_engine_t *engine = pending->engine;
	mt_dag_step_t *step = find_step(engine, &pending->step);

	mt_kernel_event(engine->deps.kernel, "advice_answered",
			"\"job\":\"%016" G_GINT64_MODIFIER
			"x\",\"step\":%u,\"asked\":%zu,\"allowed\":%zu,"
			"\"result\":%d",
			pending->step.job, pending->step.step,
			pending->n_servers, answer->n_allowed_servers,
			answer->result);
	if (answer->result != MT_COMMAND_DONE || answer->incomplete)
		engine->next_advice_request_at =
			mt_engine_now(engine) + RETRY_DELAY_MS;
	if (answer->result != MT_COMMAND_DONE)
		return;
	if (!step || !step->advice)
		return;
	mt_advice_apply(step->advice, pending->servers, pending->n_servers,
			answer, mt_engine_now(engine));
	for (size_t i = 0; i < pending->n_servers; i++)
		mt_advice_set_born_ms(step->advice, pending->servers[i],
				      pending->born_ms[i]);
	mt_engine_request_pass(engine);
}

static void on_advice_answer(void *ctx, const mt_advice_answer_t *answer)
{
	mt_pending_request_t *pending = ctx;

	if (pending->generation == pending->engine->generation) {
		pending->engine->advice_request_pending = false;
		apply_answer(pending, answer);
	}
	for (size_t i = 0; i < pending->n_servers; i++)
		mt_shared_name_clear(&pending->servers[i]);
	g_free(pending);
}

/** Number of further tasks of the step that fit on the server. */
static uint32_t fit_count_on(const mt_backend_t *backend,
			     const mt_dag_step_t *step)
{
	mt_dag_resources_t need = mt_dag_step_need(step);
	mt_dag_resources_t available = backend->info.capacity;

	mt_dag_resources_subtract(&available, &backend->used);
	return MIN(mt_dag_resources_fit_count(&need, &available),
		   step->spec->count);
}

/**
 * Adds servers for which the advice is in state `wanted`, until the request has
 * REQUEST_SERVERS_MAX servers. A server that has no room for a task is skipped
 * if its ticket has expired, as a new ticket might expire before there is room.
 * A server without room about which there is no answer yet is added all the
 * same: the answer may be a denial, which is permanent and so saves later
 * requests.
 */
static void add_servers(mt_pending_request_t *pending,
			const mt_dag_step_t *step, const GPtrArray *backends,
			mt_advice_state_t wanted)
{
	mt_ms_t now = mt_engine_now(pending->engine);

	for (guint i = 0;
	     i < backends->len && pending->n_servers < REQUEST_SERVERS_MAX;
	     i++) {
		const mt_backend_t *backend = backends->pdata[i];
		mt_shared_name_t id = backend->info.target.id;

		if (mt_advice_state(step->advice, id, backend->born_ms, now) !=
			    wanted ||
		    (wanted == MT_ADVICE_EXPIRED &&
		     !fit_count_on(backend, step)))
			continue;
		pending->servers[pending->n_servers] = mt_shared_name_ref(id);
		pending->born_ms[pending->n_servers++] = backend->born_ms;
	}
}

/** Number of the step's tasks that fit on servers with a valid ticket. */
static uint32_t fit_count_with_tickets(const mt_engine_t *engine,
				       const mt_dag_step_t *step,
				       const GPtrArray *backends)
{
	mt_ms_t now = mt_engine_now(engine);
	uint32_t fit = 0;

	for (guint i = 0; i < backends->len; i++) {
		const mt_backend_t *backend = backends->pdata[i];

		if (mt_advice_state(step->advice, backend->info.target.id,
				    backend->born_ms, now) == MT_ADVICE_VALID)
			fit += fit_count_on(backend, step);
	}
	return fit;
}

/** Makes a request; returns NULL if there is no server to ask about. */
static mt_pending_request_t *new_pending_request(mt_engine_t *engine,
						 mt_dag_step_t *step,
						 const GPtrArray *backends)
{
	mt_pending_request_t *pending = g_new0(mt_pending_request_t, 1);

	pending->engine = engine;
	pending->generation = engine->generation;
	pending->step = (mt_task_key_t){step->job->id, step->occurrence->number,
					step->index, 0,
					mt_record_spelling(step->job->spec)};
	add_servers(pending, step, backends, MT_ADVICE_EXPIRED);
	add_servers(pending, step, backends, MT_ADVICE_UNASKED);
	if (pending->n_servers)
		return pending;
	g_free(pending);
	return NULL;
}

void mt_advice_requests_send_if_needed(mt_engine_t *engine, mt_dag_step_t *step,
				       uint32_t n_waiting,
				       const GPtrArray *backends)
{
	const mt_queue_t *queue = &step->job->queue;
	mt_advice_request_t request = {0};
	mt_pending_request_t *pending;

	if (!step->advice)
		step->advice = mt_advice_new();
	if (engine->advice_request_pending || !engine->deps.advice ||
	    mt_engine_now(engine) < engine->next_advice_request_at ||
	    fit_count_with_tickets(engine, step, backends) >= n_waiting)
		return;
	pending = new_pending_request(engine, step, backends);
	if (!pending)
		return;
	request.step = pending->step;
	request.servers = pending->servers;
	request.n_servers = pending->n_servers;
	request.timeout_ms = queue->decision_ms +
			     queue->per_server_ms * pending->n_servers +
			     ANSWER_MARGIN_MS;
	engine->advice_request_pending = true;
	engine->deps.advice->request_advice(engine->deps.advice->self, &request,
					    on_advice_answer, pending);
}
