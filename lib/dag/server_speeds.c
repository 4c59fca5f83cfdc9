/**
 * @file server_speeds.c
 * Measures the rates of progress of runs, from which the engine's model learns
 * the speeds of the servers, see speed.h. Servers of several services share the
 * model: as they never run tasks of the same step, they are not compared with
 * each other.
 */
#include <math.h>

#include "dag/engine_internal.h"

#define PERCENT_MAX 100u

/** A rate over a shorter time is too inexact. */
#define RATE_TIME_MIN_MS 500u

/** A rate over less progress, in percent, is too inexact. */
#define RATE_PERCENT_MIN 2u

/** Servers report whole percent, rounded down; standard error of a difference.
 */
#define PERCENT_ERROR 0.4

/** Standard error of the time between two reports. */
#define TIME_ERROR_MS 60.0

/**
 * A server reports the end of a run at once while it holds a call. If its last
 * report is older than this, the run may have ended long before it is reported.
 */
#define END_REPORT_MAX_MS 2000u

#define UPDATE_INTERVAL_MS 500u

#define EVENT_INTERVAL_MS 5000u

/** Change of a quantile or of the number of servers that is worth an event. */
#define EVENT_CHANGE 0.05

/* Samples. */

/**
 * True if the rate of the run depends only on its work and its server. Fillers
 * depend on the load of their servers, and tasks on the distance to their data.
 * A run that was placed on a cold server has been slow for a part of its time.
 */
static bool is_measurable(const mt_dag_task_t *task)
{
	const mt_dag_step_t *step = task->step;

	return task->phase == MT_TASK_PHASE_RUNNING && !task->stop_wanted &&
	       !step->spec->lasting && !step->spec->fills &&
	       task->placed_at >= task->server->cold_until &&
	       (!step->data_rack || task->server->info.rack == step->data_rack);
}

static bool has_siblings(const mt_dag_task_t *task)
{
	return task->step->spec->count > 1;
}

/**
 * Time at which the last member of the gang was confirmed; 0: not all are. The
 * members make no progress before.
 */
static mt_ms_t gang_confirmed_at(const mt_dag_step_t *step)
{
	mt_ms_t confirmed_at = 0;

	if (step->n_begun < step->spec->count)
		return 0;
	for (guint i = 0; i < step->tasks->len; i++) {
		const mt_dag_task_t *task = step->tasks->pdata[i];

		if (task->phase != MT_TASK_PHASE_RUNNING)
			return 0;
		confirmed_at = MAX(confirmed_at, task->start_settled_at);
	}
	return confirmed_at;
}

/** Time from which the progress of the run is measured; 0: it has not begun. */
static mt_ms_t measured_since(const mt_dag_task_t *task)
{
	mt_ms_t confirmed_at;

	if (!task->step->spec->gang || task->measured_from_percent)
		return task->measured_from_at;
	confirmed_at = gang_confirmed_at(task->step);
	return confirmed_at ? MAX(confirmed_at, task->measured_from_at) : 0;
}

/**
 * Estimates the progress of the run beyond that at the begin of its
 * measurement.
 * @param error receives the standard error
 */
static double measured_percent(const mt_dag_task_t *task, bool has_ended,
			       double *error)
{
	uint32_t from = task->measured_from_percent;

	if (has_ended || task->percent >= PERCENT_MAX) {
		*error = from ? PERCENT_ERROR : 0;
		return (double)PERCENT_MAX - from;
	}
	/* The progress is rounded down. In a difference of two reports, the
	 * rounding cancels out on average. */
	*error = PERCENT_ERROR;
	return (double)task->percent - from + (from ? 0 : 0.5);
}

bool mt_server_speeds_sample(const mt_engine_t *engine,
			     const mt_dag_task_t *task, bool has_ended,
			     mt_speed_sample_t *sample)
{
	mt_ms_t now = mt_engine_now(engine);
	mt_ms_t since = measured_since(task);
	double elapsed_ms = (double)(now - since);
	double error;
	double percent = measured_percent(task, has_ended, &error);

	if (!since || elapsed_ms < RATE_TIME_MIN_MS ||
	    percent < RATE_PERCENT_MIN)
		return false;
	*sample = (mt_speed_sample_t){
		.job = task->step->job->id,
		.occurrence = task->step->occurrence->number,
		.step = task->step->index,
		.task = task->index,
		.run = task->run,
		.server = task->server->info.target.id,
		.rate = percent * 1000 / elapsed_ms,
		.at = now,
		.error = hypot(error / percent, TIME_ERROR_MS / elapsed_ms),
		.is_minimum = !has_ended && task->percent >= PERCENT_MAX,
	};
	return true;
}

void mt_server_speeds_note_start(const mt_engine_t *engine, mt_dag_task_t *task)
{
	/* If the start was sent before, the run may have begun then. A run that
	 * resumes does not begin at 0%. Both are measured from the first
	 * report on. */
	if (task->measured_from_at || task->start_unanswered ||
	    task->restored || task->checkpoint)
		return;
	task->measured_from_at = mt_engine_now(engine);
	task->measured_from_percent = 0;
}

void mt_server_speeds_note_progress(mt_engine_t *engine, mt_dag_task_t *task,
				    bool progressed)
{
	mt_speed_sample_t sample;

	if (!task->measured_from_at) {
		task->measured_from_at = mt_engine_now(engine);
		task->measured_from_percent = task->percent;
		return;
	}
	/* A task outside a gang ends at 100%. */
	if (!progressed || !is_measurable(task) ||
	    (task->percent >= PERCENT_MAX && !task->step->spec->gang) ||
	    !mt_server_speeds_sample(engine, task, false, &sample))
		return;
	if (!sample.is_minimum)
		task->measured_rate = sample.rate;
	if (has_siblings(task))
		mt_speed_model_observe(engine->speeds, &sample);
}

bool mt_server_speeds_sample_end(const mt_engine_t *engine,
				 const mt_dag_task_t *task,
				 mt_speed_sample_t *sample)
{
	mt_ms_t now = mt_engine_now(engine);

	/* The members of a gang end together. */
	return !task->step->spec->gang && task->measured_from_at &&
	       task->server && is_measurable(task) &&
	       now - task->server->reported_at <= END_REPORT_MAX_MS &&
	       mt_server_speeds_sample(engine, task, true, sample);
}

void mt_server_speeds_note_end(mt_engine_t *engine, const mt_dag_task_t *task)
{
	mt_speed_sample_t sample;

	if (has_siblings(task) &&
	    mt_server_speeds_sample_end(engine, task, &sample))
		mt_speed_model_observe(engine->speeds, &sample);
}

/* Updates. */

static bool differs(double a, double b)
{
	return fabs(a - b) > EVENT_CHANGE * MAX(a, b);
}

static void set_metrics(mt_engine_t *engine, const mt_speed_summary_t *summary)
{
	mt_kernel_t *kernel = engine->deps.kernel;

	*mt_kernel_counter(kernel, "server_speeds_known") = summary->n_known;
	*mt_kernel_counter(kernel, "server_speeds_uneven") =
		mt_speed_model_is_uneven(engine->speeds);
	*mt_kernel_counter(kernel, "server_speed_percent{quantile=\"0.1\"}") =
		(uint64_t)(summary->p10 * PERCENT_MAX);
	*mt_kernel_counter(kernel, "server_speed_percent{quantile=\"0.5\"}") =
		(uint64_t)(summary->p50 * PERCENT_MAX);
	*mt_kernel_counter(kernel, "server_speed_percent{quantile=\"0.9\"}") =
		(uint64_t)(summary->p90 * PERCENT_MAX);
}

/** Logs the distribution of the speeds, if it has changed. */
static void log_speeds(mt_engine_t *engine, const mt_speed_summary_t *summary)
{
	const mt_speed_summary_t *logged = &engine->speeds_logged;
	mt_ms_t now = mt_engine_now(engine);
	bool is_uneven = mt_speed_model_is_uneven(engine->speeds);

	if (engine->speeds_logged_at &&
	    now - engine->speeds_logged_at < EVENT_INTERVAL_MS)
		return;
	if (!is_uneven && !engine->speeds_logged_uneven)
		return;
	if (is_uneven == engine->speeds_logged_uneven &&
	    !differs(summary->n_known, logged->n_known) &&
	    !differs(summary->p10, logged->p10) &&
	    !differs(summary->p90, logged->p90))
		return;
	mt_kernel_event(engine->deps.kernel, "speeds_learned",
			"\"uneven\":%s,\"servers\":%u,\"p10_percent\":%u,"
			"\"p50_percent\":%u,\"p90_percent\":%u",
			is_uneven ? "true" : "false", summary->n_known,
			(unsigned)(summary->p10 * PERCENT_MAX),
			(unsigned)(summary->p50 * PERCENT_MAX),
			(unsigned)(summary->p90 * PERCENT_MAX));
	engine->speeds_logged = *summary;
	engine->speeds_logged_uneven = is_uneven;
	engine->speeds_logged_at = now;
}

void mt_server_speeds_update(mt_engine_t *engine)
{
	mt_ms_t now = mt_engine_now(engine);
	mt_speed_summary_t summary;

	if (engine->speeds_updated_at &&
	    now - engine->speeds_updated_at < UPDATE_INTERVAL_MS)
		return;
	engine->speeds_updated_at = now;
	mt_speed_model_update(engine->speeds, now);
	summary = mt_speed_model_summary(engine->speeds);
	set_metrics(engine, &summary);
	log_speeds(engine, &summary);
}

void mt_server_speeds_clear(mt_engine_t *engine)
{
	mt_speed_model_free(engine->speeds);
	engine->speeds = mt_speed_model_new();
	engine->speeds_updated_at = 0;
	engine->speeds_logged_at = 0;
	engine->speeds_logged_uneven = false;
	set_metrics(engine, &(mt_speed_summary_t){0});
}
