/** @file commands.c Sends commands to backend servers and repeats them. */
#include "dag/engine_internal.h"

/**
 * Starts are not sent if this host's copy of the records is older than this.
 * When a start is sent, this host thus knows every cancellation of a job that
 * was stored longer ago than this.
 */
#define START_STALENESS_MAX_MS 1500u

/**
 * How long after the expiry of its leases a silent server's runs are kept if
 * the platform still lists the server: it is alive then, and only its answers
 * are late. Its runs may have ended successfully.
 */
#define LISTED_GRACE_MS 3000u

/** Minimum time between two attempts to start a task. */
#define START_RETRY_MS 250u

/**
 * The start of a task is repeated for at most this long after the first
 * attempt. If the server is not responsive, it is then kept until the server
 * answers again or its leases are over; if the server answers holds, but no
 * start, the start is withdrawn.
 */
#define START_RETRY_WINDOW_MS 2500u

/** An attempt is recent for this long; longer than its time-out. */
#define START_ATTEMPT_AGE_MAX_MS 1500u

/**
 * A gang is stopped, and placed again, if the start of a member is still not
 * confirmed this long after the first start command to any of its members.
 */
#define GANG_START_TIMEOUT_MS 1500u

/**
 * How long no task is placed on a server that rejected a start as malformed, or
 * that answered a start with MT_COMMAND_UNAVAILABLE.
 */
#define AVOID_REFUSING_MS 3000u

/** How long no task is placed on a server that had no room for a start. */
#define AVOID_FULL_MS 600u

/** How long no task is placed on a server if there was no connection to it. */
#define AVOID_UNREACHABLE_MS 1000u

/**
 * A start or stop that was sent. The task is looked up again when the answer
 * arrives, as the job may have been removed in between.
 */
typedef struct mt_sent_command_t {
	mt_engine_t *engine;
	unsigned generation;
	mt_task_key_t key;
	uint32_t run;
	mt_backend_t *backend;
} mt_sent_command_t;

static mt_sent_command_t *new_sent_command(mt_engine_t *engine,
					   mt_backend_t *backend,
					   const mt_task_key_t *key,
					   uint32_t run)
{
	mt_sent_command_t *sent = g_new0(mt_sent_command_t, 1);

	sent->engine = engine;
	sent->generation = engine->generation;
	sent->key = *key;
	sent->run = run;
	sent->backend = backend;
	return sent;
}

/**
 * Frees `sent` and returns its task. Returns NULL if the leadership has
 * changed, or if the run for which the command was sent is no longer the task's
 * present run on the server.
 */
static mt_dag_task_t *take_sent_command(mt_sent_command_t *sent)
{
	mt_dag_job_t *job;
	mt_dag_task_t *task = NULL;

	if (sent->generation == sent->engine->generation) {
		job = mt_engine_job(sent->engine, sent->key.job);
		task = job ? mt_dag_job_find_task(job, &sent->key) : NULL;
	}
	if (task && (task->run != sent->run || task->server != sent->backend))
		task = NULL;
	g_free(sent);
	return task;
}

/** Keeps the planner from placing tasks on the server for `avoid_ms`. */
static void avoid(mt_engine_t *engine, mt_backend_t *backend, mt_ms_t avoid_ms)
{
	mt_ms_t until = mt_engine_now(engine) + avoid_ms;

	backend->avoid_until = MAX(backend->avoid_until, until);
}

static void log_answer(mt_engine_t *engine, const char *event,
		       const mt_dag_task_t *task, int result)
{
	mt_kernel_event(
		engine->deps.kernel, event,
		"\"job\":\"%016" G_GINT64_MODIFIER
		"x\",\"step\":%u,\"task\":%u,\"run\":%u,\"server\":\"%s\","
		"\"term\":%" G_GUINT64_FORMAT ",\"result\":%d,\"placed_ms\":%u",
		task->step->job->id, task->step->index, task->index, task->run,
		task->server->log_name, engine->term, result,
		(unsigned)(mt_engine_now(engine) - task->placed_at));
}

/* Starts. */

/**
 * Gives up the start of a task. If all attempts to start the run were answered,
 * none of them can still take effect, and the task waits again at once.
 * Otherwise the server is first told to stop the run, which also keeps the run
 * from starting later. The other members of a gang are stopped too: a gang runs
 * only as a whole, so they would wait in vain for the task that did not start.
 */
static void give_up_start(mt_engine_t *engine, mt_dag_task_t *task,
			  const char *why)
{
	if (!task->start_unanswered)
		mt_reports_run_lost(engine, task, why);
	else
		mt_commands_stop_task_or_gang(engine, task);
}

/**
 * Handles a start that had no effect: the server refused it, or it was not sent
 * as there was no connection or no valid ticket.
 */
static void handle_start_without_effect(mt_engine_t *engine,
					mt_dag_task_t *task, mt_ms_t avoid_ms)
{
	avoid(engine, task->server, avoid_ms);
	/* The reason in the log also stands for starts that were not sent. */
	give_up_start(engine, task, "start refused");
}

static void on_start_confirmed(mt_engine_t *engine, mt_dag_task_t *task)
{
	mt_dag_job_t *job = task->step->job;

	task->start_settled_at = mt_engine_now(engine);
	mt_kernel_observe(engine->deps.kernel, "task_start_ms",
			  task->start_settled_at - task->placed_at);
	if (task->phase == MT_TASK_PHASE_STARTING)
		task->phase = MT_TASK_PHASE_RUNNING;
	mt_server_speeds_note_start(engine, task);
	job->begun = true;
	mt_dag_job_update_state(job);
	mt_commands_hold(engine, task->server);
	mt_engine_request_pass(engine);
}

static void on_start_answer(void *ctx, const mt_backend_answer_t *answer)
{
	mt_sent_command_t *sent = ctx;
	mt_engine_t *engine = sent->engine;
	mt_dag_task_t *task = take_sent_command(sent);

	if (!task)
		return;
	task->start_in_flight = false;
	log_answer(engine, "start_answered", task, answer->result);
	mt_backend_note_clock(task->server, answer->clock_ms,
			      mt_engine_now(engine));
	switch (answer->result) {
	case MT_COMMAND_DONE:
		on_start_confirmed(engine, task);
		break;
	case MT_COMMAND_NO_ROOM:
		handle_start_without_effect(engine, task, AVOID_FULL_MS);
		break;
	case MT_COMMAND_UNAVAILABLE:
		handle_start_without_effect(engine, task, AVOID_REFUSING_MS);
		break;
	case MT_COMMAND_REJECTED:
		handle_start_without_effect(engine, task, AVOID_REFUSING_MS);
		break;
	case MT_COMMAND_NO_TICKET:
		if (task->step->advice)
			mt_advice_expire(task->step->advice,
					 task->server->info.target.id);
		handle_start_without_effect(engine, task, 0);
		break;
	case MT_COMMAND_STALE_RUN:
		/* The run ended there, or was stopped before it began. The next
		 * report contains the end of the run, or shows that the run
		 * never began. */
		task->start_settled_at = mt_engine_now(engine);
		mt_commands_hold(engine, task->server);
		break;
	case MT_COMMAND_NOT_SENT:
		handle_start_without_effect(engine, task, AVOID_UNREACHABLE_MS);
		break;
	case MT_COMMAND_UNKNOWN:
		task->start_unanswered = true;
		break;
	default:
		/* MT_COMMAND_FENCED, MT_COMMAND_LEASE_OVER and
		 * MT_COMMAND_WRONG_SERVER: the start is repeated at a later
		 * tick. */
		break;
	}
}

/** Valid ticket of the policy service for the task's server, or NULL. */
static const char *ticket_of(const mt_dag_task_t *task, mt_ms_t now)
{
	if (!task->step->advice)
		return NULL;
	return mt_advice_ticket(task->step->advice,
				task->server->info.target.id,
				task->server->born_ms, now);
}

/** True if this host's copies are recent enough for a start to be sent. */
static bool copies_are_recent(const mt_engine_t *engine)
{
	return mt_engine_records_age(engine) <= START_STALENESS_MAX_MS &&
	       (!engine->deps.evacuations ||
		mt_evacuations_are_fresh(engine->deps.evacuations));
}

/** True if the server answers holds, but has answered no start of the run. */
static bool answers_no_start(const mt_dag_task_t *task, mt_ms_t now)
{
	return task->start_unanswered &&
	       now - task->first_start_sent_at > START_RETRY_WINDOW_MS &&
	       now - task->last_start_sent_at <= START_ATTEMPT_AGE_MAX_MS &&
	       mt_backend_is_responsive(task->server, now,
					MT_RESPONSIVE_WINDOW_MS);
}

/**
 * Why the task must not be started on its server any more, or NULL. Since the
 * task was placed there, the server may have begun to drain, left the list, or
 * restarted as another kind.
 */
static const char *reason_to_withdraw(const mt_engine_t *engine,
				      const mt_dag_task_t *task)
{
	const mt_backend_t *server = task->server;

	if (mt_engine_is_evacuated(engine, server))
		return "data centre evacuated";
	if (!server->listed)
		return "its server has left";
	if (server->info.draining)
		return "its server leaves";
	if (!mt_shared_name_equal(server->info.service,
				  task->step->job->queue.service))
		return "its server runs another service";
	if (!mt_backend_has_label(server, task->step->label))
		return "its server has the label no more";
	if (!mt_dag_resources_fit(&server->used, &server->info.capacity))
		return "its server has become smaller";
	return NULL;
}

/** Gives up a start that must not be sent any more. */
static void withdraw_start(mt_engine_t *engine, mt_dag_task_t *task,
			   const char *reason)
{
	mt_kernel_count(engine->deps.kernel, "starts_withdrawn_total");
	mt_kernel_event(engine->deps.kernel, "start_withdrawn",
			"\"job\":\"%016" G_GINT64_MODIFIER
			"x\",\"step\":%u,\"task\":%u,\"run\":%u,"
			"\"server\":\"%s\",\"may_run\":%s,\"reason\":\"%s\"",
			task->step->job->id, task->step->index, task->index,
			task->run, task->server->log_name,
			task->start_unanswered ? "true" : "false", reason);
	give_up_start(engine, task, reason);
}

/** Withdraws a start that the server does not answer, and avoids the server. */
static void withdraw_unanswered_start(mt_engine_t *engine, mt_dag_task_t *task)
{
	mt_backend_t *server = task->server;
	mt_ms_t now = mt_engine_now(engine);

	/* Starts that are withdrawn together count as one failure. */
	if (now >= server->avoid_until)
		mt_reports_note_failure(engine, server);
	avoid(engine, server, AVOID_REFUSING_MS);
	withdraw_start(engine, task, "its server answers no start");
}

void mt_commands_start(mt_engine_t *engine, mt_dag_task_t *task)
{
	mt_backend_t *backend = task->server;
	mt_ms_t now = mt_engine_now(engine);
	mt_task_key_t key = mt_dag_task_key(task);
	mt_start_command_t command = {key,
				      task->run,
				      engine->term,
				      0,
				      task->step->job->spec->payload,
				      task->checkpoint,
				      ticket_of(task, now)};
	const char *reason = reason_to_withdraw(engine, task);

	if (reason) {
		withdraw_start(engine, task, reason);
		return;
	}
	if (!backend->clock_known) {
		mt_commands_hold(engine, backend);
		return;
	}
	if (!copies_are_recent(engine) || !mt_backend_info_is_current(backend))
		return;
	if (task->step->job->queue.advised && !command.ticket) {
		handle_start_without_effect(engine, task, 0);
		return;
	}
	command.due_ms =
		mt_backend_clock(backend, now) + engine->deps.timings.lease_ms;
	mt_backend_note_lease(backend, now, engine->deps.timings.lease_ms);
	task->start_in_flight = true;
	task->last_start_sent_at = now;
	if (!task->first_start_sent_at)
		task->first_start_sent_at = now;
	if (!task->step->run_first_sent_at)
		task->step->run_first_sent_at = now;
	engine->deps.backends->start(
		engine->deps.backends->self, &backend->info.target, &command,
		on_start_answer,
		new_sent_command(engine, backend, &key, task->run));
}

/* Stops. */

static void on_stop_answer(void *ctx, const mt_backend_answer_t *answer)
{
	mt_sent_command_t *sent = ctx;
	mt_engine_t *engine = sent->engine;
	mt_dag_task_t *task = take_sent_command(sent);

	if (!task)
		return;
	task->stop_in_flight = false;
	log_answer(engine, "stop_answered", task, answer->result);
	if (answer->result != MT_COMMAND_DONE)
		return;
	task->stop_confirmed_at = mt_engine_now(engine);
	mt_commands_hold(engine, task->server);
}

static void send_stop(mt_engine_t *engine, mt_backend_t *backend,
		      const mt_task_key_t *key, uint32_t run)
{
	mt_stop_command_t command = {*key, run, engine->term};

	engine->deps.backends->stop(
		engine->deps.backends->self, &backend->info.target, &command,
		on_stop_answer, new_sent_command(engine, backend, key, run));
}

void mt_commands_stop(mt_engine_t *engine, mt_dag_task_t *task)
{
	mt_task_key_t key = mt_dag_task_key(task);

	if (!task->server)
		return;
	task->stop_wanted = true;
	if (!task->placement_stored) {
		/* No start was sent yet, so there is nothing to stop. */
		mt_dag_task_unplace(task);
		return;
	}
	/* While the server is known only from a progress record, its port is 0
	 * and no command can be sent: the platform's list has not yet given its
	 * address. */
	if (task->stop_in_flight || !task->server->info.target.port)
		return;
	task->stop_in_flight = true;
	send_stop(engine, task->server, &key, task->run);
}

void mt_commands_stop_gang(mt_engine_t *engine, mt_dag_step_t *step)
{
	for (guint i = 0; step->tasks && i < step->tasks->len; i++) {
		mt_dag_task_t *task = step->tasks->pdata[i];

		if (task->phase != MT_TASK_PHASE_DONE)
			mt_commands_stop(engine, task);
	}
}

void mt_commands_stop_task_or_gang(mt_engine_t *engine, mt_dag_task_t *task)
{
	if (task->step->spec->gang)
		mt_commands_stop_gang(engine, task->step);
	else
		mt_commands_stop(engine, task);
}

void mt_commands_stop_stray(mt_engine_t *engine, mt_backend_t *backend,
			    const mt_task_key_t *key, uint32_t run)
{
	mt_kernel_event(engine->deps.kernel, "stray_run_stopped",
			"\"job\":\"%016" G_GINT64_MODIFIER
			"x\",\"step\":%u,\"task\":%u,\"run\":%u,"
			"\"server\":\"%s\"",
			key->job, key->step, key->index, run,
			backend->log_name);
	send_stop(engine, backend, key, run);
}

/* Repeated commands and time-outs. */

/**
 * Stops a gang, to place it again, if the start of this member is not confirmed
 * within GANG_START_TIMEOUT_MS. The start may not even have been sent, for
 * example because the member's server has restarted and its clock is not known.
 */
static void check_gang_start(mt_engine_t *engine, mt_dag_task_t *task,
			     mt_ms_t now)
{
	mt_dag_step_t *step = task->step;

	if (!step->spec->gang || task->stop_wanted ||
	    task->phase != MT_TASK_PHASE_STARTING || !step->run_first_sent_at ||
	    now - step->run_first_sent_at < GANG_START_TIMEOUT_MS)
		return;
	mt_commands_stop_gang(engine, step);
}

/**
 * True if the start may be sent, for the first time or again. Each attempt may
 * grant a lease, and so delays `leases_expire_at`. Attempts on a server that
 * does not answer are limited to START_RETRY_WINDOW_MS: otherwise
 * `leases_expire_at` would never be reached, and the runs on the server would
 * never be given up as lost.
 */
static bool may_send_start(const mt_dag_task_t *task, mt_ms_t now)
{
	return !task->first_start_sent_at ||
	       now - task->first_start_sent_at <= START_RETRY_WINDOW_MS ||
	       mt_backend_is_responsive(task->server, now,
					MT_RESPONSIVE_WINDOW_MS);
}

/**
 * True if the start is neither in flight nor settled, and this leader placed
 * the task. If an earlier leader placed it, the start is not repeated: the
 * server's report shows whether it took effect.
 */
static bool waits_for_start(const mt_dag_task_t *task)
{
	return task->phase == MT_TASK_PHASE_STARTING &&
	       task->placement_stored && !task->restored &&
	       !task->start_in_flight && !task->start_settled_at;
}

static void tick_task(mt_engine_t *engine, mt_dag_task_t *task, mt_ms_t now)
{
	if (task->stop_wanted) {
		if (!task->stop_confirmed_at)
			mt_commands_stop(engine, task);
		return;
	}
	if (waits_for_start(task)) {
		const char *reason = reason_to_withdraw(engine, task);

		if (reason) {
			withdraw_start(engine, task, reason);
			return;
		}
		if (answers_no_start(task, now)) {
			withdraw_unanswered_start(engine, task);
			return;
		}
		if (now - task->last_start_sent_at >= START_RETRY_MS &&
		    may_send_start(task, now))
			mt_commands_start(engine, task);
	}
	check_gang_start(engine, task, now);
}

/**
 * True when runs on the server can be given up: their leases have expired, and
 * the server is either not listed or has been silent for LISTED_GRACE_MS more.
 */
static bool are_runs_over(const mt_backend_t *backend, mt_ms_t now)
{
	mt_ms_t grace = backend->listed ? LISTED_GRACE_MS : 0;

	return now >= backend->leases_expire_at + grace;
}

void mt_commands_tick(mt_engine_t *engine, mt_backend_t *backend)
{
	mt_ms_t now = mt_engine_now(engine);

	for (guint i = backend->tasks->len; i-- > 0;) {
		mt_dag_task_t *task;

		/* Handling a task may have removed others of its gang. */
		if (i >= backend->tasks->len)
			continue;
		task = backend->tasks->pdata[i];
		if (task->placement_stored && are_runs_over(backend, now))
			mt_reports_run_lost(engine, task, "lease over");
		else
			tick_task(engine, task, now);
	}
	mt_commands_hold(engine, backend);
}
