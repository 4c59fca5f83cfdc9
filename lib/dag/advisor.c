/** @file advisor.c Asks the policy service about steps that need it. */
#include "dag/engine_internal.h"

/** Servers that one question names. */
#define QUESTION_SERVERS 30u

/** Beyond the time that the policy needs for its answer. */
#define ANSWER_SLACK_MS 1500u

/** Pause after a question that was turned away or got no answer. */
#define ASK_AGAIN_MS 200u

/** A question under way. */
typedef struct mt_question_t {
	mt_engine_t *engine;
	unsigned generation;
	mt_task_key_t step;
	mt_name_t servers[QUESTION_SERVERS];
	int64_t born_ms[QUESTION_SERVERS];
	size_t n_servers;
} mt_question_t;

static mt_dag_step_t *step_of(mt_engine_t *engine, const mt_task_key_t *key)
{
	mt_dag_job_t *job = mt_engine_job(engine, key->job);
	mt_dag_task_t *task = job ? mt_dag_job_find_task(job, key) : NULL;

	return task ? task->step : NULL;
}

static void take_answer(mt_question_t *question,
			const mt_advice_answer_t *answer)
{
	mt_engine_t *engine = question->engine;
	mt_dag_step_t *step = step_of(engine, &question->step);

	mt_kernel_event(engine->deps.kernel, "advice_answered",
			"\"job\":\"%016" G_GINT64_MODIFIER
			"x\",\"step\":%u,\"asked\":%zu,\"allowed\":%zu,"
			"\"result\":%d",
			question->step.job, question->step.step,
			question->n_servers, answer->n_allowed_servers,
			answer->result);
	if (answer->result != MT_COMMAND_DONE) {
		engine->ask_after = mt_engine_now(engine) + ASK_AGAIN_MS;
		return;
	}
	if (!step || !step->advice)
		return;
	mt_advice_apply(step->advice, question->servers, question->n_servers,
			answer, mt_engine_now(engine));
	for (size_t i = 0; i < question->n_servers; i++)
		mt_advice_set_born_ms(step->advice, &question->servers[i],
				      question->born_ms[i]);
	mt_engine_request_pass(engine);
}

static void on_advice(void *ctx, const mt_advice_answer_t *answer)
{
	mt_question_t *question = ctx;

	if (question->generation == question->engine->generation) {
		question->engine->asking = false;
		take_answer(question, answer);
	}
	g_free(question);
}

/** How many more tasks of the step the server could take. */
static uint32_t room_for(const mt_backend_t *backend, const mt_dag_step_t *step)
{
	mt_dag_resources_t need = mt_dag_step_need(step);
	mt_dag_resources_t room = backend->info.capacity;

	mt_dag_resources_subtract(&room, &backend->used);
	return MIN(mt_dag_resources_fit_count(&need, &room), step->spec->count);
}

/** Adds servers in one state of advice until the question is full. */
static void add_servers(mt_question_t *question, const mt_dag_step_t *step,
			const GPtrArray *backends, mt_advice_state_t wanted)
{
	mt_ms_t now = mt_engine_now(question->engine);

	for (guint i = 0;
	     i < backends->len && question->n_servers < QUESTION_SERVERS; i++) {
		const mt_backend_t *backend = backends->pdata[i];
		const mt_name_t *id = &backend->info.target.id;

		if (mt_advice_state(step->advice, id, backend->born_ms, now) !=
			    wanted ||
		    (wanted == MT_ADVICE_EXPIRED && !room_for(backend, step)))
			continue;
		question->servers[question->n_servers] = *id;
		question->born_ms[question->n_servers++] = backend->born_ms;
	}
}

/** Tasks that have room on servers with a valid ticket. */
static uint32_t advised_room(const mt_engine_t *engine,
			     const mt_dag_step_t *step,
			     const GPtrArray *backends)
{
	mt_ms_t now = mt_engine_now(engine);
	uint32_t room = 0;

	for (guint i = 0; i < backends->len; i++) {
		const mt_backend_t *backend = backends->pdata[i];

		if (mt_advice_state(step->advice, &backend->info.target.id,
				    backend->born_ms, now) == MT_ADVICE_VALID)
			room += room_for(backend, step);
	}
	return room;
}

static mt_question_t *make_question(mt_engine_t *engine, mt_dag_step_t *step,
				    const GPtrArray *backends)
{
	mt_question_t *question = g_new0(mt_question_t, 1);

	question->engine = engine;
	question->generation = engine->generation;
	question->step = mt_dag_task_key(&step->tasks[0]);
	add_servers(question, step, backends, MT_ADVICE_EXPIRED);
	add_servers(question, step, backends, MT_ADVICE_UNASKED);
	if (question->n_servers)
		return question;
	g_free(question);
	return NULL;
}

void mt_advisor_request_if_needed(mt_engine_t *engine, mt_dag_step_t *step,
				  uint32_t waiting, const GPtrArray *backends)
{
	const mt_queue_t *queue = &step->job->queue;
	mt_advice_request_t ask = {0};
	mt_question_t *question;

	if (!step->advice)
		step->advice = mt_advice_new();
	if (engine->asking || !engine->deps.advice ||
	    mt_engine_now(engine) < engine->ask_after ||
	    advised_room(engine, step, backends) >= waiting)
		return;
	question = make_question(engine, step, backends);
	if (!question)
		return;
	ask.step = question->step;
	ask.servers = question->servers;
	ask.n_servers = question->n_servers;
	ask.timeout_ms = queue->decision_ms +
			 queue->per_server_ms * question->n_servers +
			 ANSWER_SLACK_MS;
	engine->asking = true;
	engine->deps.advice->ask(engine->deps.advice->self, &ask, on_advice,
				 question);
}
