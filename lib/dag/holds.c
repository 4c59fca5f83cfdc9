/**
 * @file holds.c Sends holds to backend servers: long polls for their reports,
 * which renew the leases of runs.
 */
#include "dag/engine_internal.h"

/**
 * A hold is a long poll: the server answers when a run ends, at the latest
 * after this time. As the next hold is sent when the answer arrives, the leases
 * on a server that answers are renewed about this often or more often.
 */
#define HOLD_WAIT_MS 1500u

/**
 * Leases are not renewed if this host's copy of the records is older than this,
 * since another host may have become the leader. FORMER_LEADER_RENEWAL_MS in
 * engine.c has the same value.
 */
#define RENEW_STALENESS_MAX_MS 4000u

/**
 * After a failed hold, the next one is delayed by this time, multiplied by the
 * number of consecutive failures, but by at most HOLD_RETRY_MAX_MS.
 */
#define HOLD_RETRY_MS 150u
#define HOLD_RETRY_MAX_MS 700u

/**
 * Timeout of the long poll while a start is being withdrawn, see
 * hold_wait(): the task waits for a report that is later than the
 * answer to its stop.
 */
#define WITHDRAWN_HOLD_WAIT_MS 200u

/**
 * A hold is overdue when its answer has not come this long after the time at
 * which the server should have answered. Another hold is then sent. The overdue
 * one is not cancelled, as its answer may contain ends of runs that the server
 * does not know to be unseen here.
 */
#define HOLD_OVERDUE_MS 1000u

/** No further hold is sent to a server while this many holds are overdue. */
#define OVERDUE_HOLDS_MAX 2u

/**
 * Minimum time between two holds while the effects of reported ended runs are
 * not stored yet. Such holds set no `wait_ms`, so that the server answers at
 * once.
 */
#define UNSTORED_ENDS_HOLD_INTERVAL_MS 700u

/** A hold that has no answer yet. */
typedef struct mt_sent_hold_t {
	mt_engine_t *engine;
	unsigned generation;
	mt_backend_t *backend;
	uint64_t number; /**< see mt_backend_t.last_hold */
	mt_ms_t sent_at;
	uint64_t overdue_timer; /**< 0: the hold is overdue */
} mt_sent_hold_t;

/** A hold that waits to be sent after a failed or overdue one. */
typedef struct mt_delayed_hold_t {
	mt_engine_t *engine;
	unsigned generation;
	mt_backend_t *backend;
} mt_delayed_hold_t;

static void on_hold_timer(void *ctx)
{
	mt_delayed_hold_t *hold = ctx;

	if (hold->generation == hold->engine->generation) {
		hold->backend->hold_delayed = false;
		mt_commands_hold(hold->engine, hold->backend);
	}
	g_free(hold);
}

static void schedule_hold(mt_engine_t *engine, mt_backend_t *backend,
			  mt_ms_t delay)
{
	mt_delayed_hold_t *hold = g_new0(mt_delayed_hold_t, 1);

	hold->engine = engine;
	hold->generation = engine->generation;
	hold->backend = backend;
	backend->hold_delayed = true;
	mt_timers_after(mt_kernel_timers(engine->deps.kernel), delay,
			on_hold_timer, hold);
}

/** Handles a hold that failed or is overdue: sends another one later. */
static void on_hold_failed(mt_engine_t *engine, mt_backend_t *backend,
			   mt_command_result_t result)
{
	backend->hold_in_flight = false;
	backend->n_failed_holds++;
	/* The event is also logged if the server answered with an error. */
	if (backend->n_failed_holds == 1)
		mt_kernel_event(engine->deps.kernel, "server_silent",
				"\"server\":\"%s\",\"result\":%d,"
				"\"tasks\":%u",
				backend->log_name, result, backend->tasks->len);
	schedule_hold(engine, backend,
		      MIN(HOLD_RETRY_MS * backend->n_failed_holds,
			  HOLD_RETRY_MAX_MS));
}

static void on_hold_overdue(void *ctx)
{
	mt_sent_hold_t *hold = ctx;

	hold->overdue_timer = 0;
	if (hold->generation != hold->engine->generation)
		return;
	hold->backend->n_overdue_holds++;
	on_hold_failed(hold->engine, hold->backend, MT_COMMAND_UNKNOWN);
}

/**
 * Notes the start time in the answer to a hold.
 * @param timely the hold was not overdue
 * @return false when the answer comes from an earlier server process
 */
static bool note_born(mt_engine_t *engine, mt_backend_t *backend,
		      int64_t born_ms, bool timely)
{
	if (!born_ms || !backend->born_ms || born_ms == backend->born_ms)
		return true;
	if (!timely && born_ms < backend->born_ms)
		return false;
	mt_reports_server_restarted(engine, backend, born_ms);
	return true;
}

/**
 * Handles the report in the answer to a hold, which may be overdue.
 * @param timely the hold was not overdue
 */
static void on_report(const mt_sent_hold_t *hold, bool timely,
		      const mt_backend_answer_t *answer)
{
	mt_engine_t *engine = hold->engine;
	mt_backend_t *backend = hold->backend;

	if (!note_born(engine, backend, answer->born_ms, timely))
		return;
	if (hold->number < backend->last_report) {
		mt_reports_apply_ends(engine, backend, answer);
		return;
	}
	if (backend->n_failed_holds || !backend->hold_answered)
		mt_engine_request_pass(engine);
	/* A server that answers only late gets no new tasks. */
	if (timely)
		backend->n_failed_holds = 0;
	backend->hold_answered = true;
	backend->answered_at = mt_engine_now(engine);
	backend->last_report = hold->number;
	mt_backend_note_clock(backend, answer->clock_ms, backend->answered_at);
	mt_reports_apply(engine, backend, answer, hold->sent_at);
}

static void on_hold_answer(void *ctx, const mt_backend_answer_t *answer)
{
	mt_sent_hold_t *hold = ctx;
	mt_engine_t *engine = hold->engine;
	mt_backend_t *backend = hold->backend;
	bool timely = hold->overdue_timer != 0;

	mt_timers_cancel(mt_kernel_timers(engine->deps.kernel),
			 hold->overdue_timer);
	if (hold->generation != engine->generation) {
		g_free(hold);
		return;
	}
	if (timely)
		backend->hold_in_flight = false;
	else
		backend->n_overdue_holds--;
	if (answer->result == MT_COMMAND_DONE)
		on_report(hold, timely, answer);
	else if (timely)
		on_hold_failed(engine, backend, answer->result);
	g_free(hold);
	mt_commands_hold(engine, backend);
}

/**
 * True if a task on the server is to go on there. The leases of others are left
 * to end: a start that was withdrawn without an answer, and whose stop gets no
 * answer either, can take effect until then.
 */
static bool has_run_to_keep(const mt_backend_t *backend)
{
	for (guint i = 0; i < backend->tasks->len; i++) {
		const mt_dag_task_t *task = backend->tasks->pdata[i];

		if (!task->stop_wanted)
			return true;
	}
	return false;
}

/**
 * True if the next hold may wait for the end of a run, and renew the leases of
 * the runs on the server. Always false for the first hold to a server since
 * this host began to lead, as the server is responsive only once it has
 * answered a hold.
 */
static bool is_in_contact(const mt_engine_t *engine,
			  const mt_backend_t *backend)
{
	return backend->clock_known && backend->tasks->len &&
	       mt_engine_records_age(engine) <= RENEW_STALENESS_MAX_MS &&
	       mt_backend_is_responsive(backend, mt_engine_now(engine),
					MT_RESPONSIVE_WINDOW_MS);
}

/**
 * True if a hold to the server is of use: tasks or stray runs (active runs that
 * are not the present run of a task placed there) are on the server, the last
 * hold failed, the server's state or clock is not known, or the server can be
 * permitted to delete ended runs.
 */
static bool needs_hold(const mt_backend_t *backend)
{
	return backend->tasks->len || backend->n_stray_runs ||
	       !backend->hold_answered || !backend->clock_known ||
	       backend->n_failed_holds ||
	       backend->last_end_deletable_sent < backend->last_end_stored;
}

/**
 * Number up to which the next hold permits the deletion of ended runs. None
 * after a failed hold: the server may have restarted meanwhile, and then
 * numbers its ended runs anew.
 */
static uint64_t deletable_end(const mt_backend_t *backend)
{
	return backend->n_failed_holds ? 0 : backend->last_end_stored;
}

/**
 * How long the next hold waits for the end of a run: shortly while a start is
 * being withdrawn, and not at all in the first hold after its stop was
 * confirmed, as no run ends if the start had no effect.
 */
static mt_ms_t hold_wait(const mt_backend_t *backend)
{
	mt_ms_t wait_ms = HOLD_WAIT_MS;

	for (guint i = 0; i < backend->tasks->len; i++) {
		const mt_dag_task_t *task = backend->tasks->pdata[i];

		if (task->phase != MT_TASK_PHASE_STARTING || !task->stop_wanted)
			continue;
		if (task->stop_confirmed_at &&
		    task->stop_confirmed_at >= backend->hold_sent_at)
			return 0;
		wait_ms = WITHDRAWN_HOLD_WAIT_MS;
	}
	return wait_ms;
}

void mt_commands_hold(mt_engine_t *engine, mt_backend_t *backend)
{
	mt_ms_t now = mt_engine_now(engine);
	mt_hold_command_t command = {engine->term, deletable_end(backend), 0,
				     0};
	mt_sent_hold_t *hold;
	bool in_contact;

	/* Port 0: the address is not known, see mt_commands_stop(). */
	if (backend->hold_in_flight || backend->hold_delayed ||
	    backend->n_overdue_holds >= OVERDUE_HOLDS_MAX ||
	    !backend->info.target.port || !needs_hold(backend))
		return;
	if (!backend->listed && !backend->tasks->len)
		return;
	if (backend->last_end_handled > backend->last_end_stored &&
	    now - backend->hold_sent_at < UNSTORED_ENDS_HOLD_INTERVAL_MS)
		return;
	in_contact = is_in_contact(engine, backend);
	if (in_contact && has_run_to_keep(backend)) {
		mt_ms_t lease = engine->deps.timings.lease_ms;

		command.due_ms = mt_backend_clock(backend, now) + lease;
		mt_backend_note_lease(backend, now, lease);
	}
	if (in_contact && backend->last_end_handled == backend->last_end_stored)
		command.wait_ms = hold_wait(backend);
	hold = g_new0(mt_sent_hold_t, 1);
	hold->engine = engine;
	hold->generation = engine->generation;
	hold->backend = backend;
	hold->number = ++backend->last_hold;
	hold->sent_at = now;
	hold->overdue_timer = mt_timers_after(
		mt_kernel_timers(engine->deps.kernel),
		command.wait_ms + HOLD_OVERDUE_MS, on_hold_overdue, hold);
	backend->hold_in_flight = true;
	backend->hold_sent_at = now;
	backend->last_end_deletable_sent = command.last_seen;
	engine->deps.backends->hold(engine->deps.backends->self,
				    &backend->info.target, &command,
				    on_hold_answer, hold);
}
