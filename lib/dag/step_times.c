/**
 * @file step_times.c
 * Learns the run times of tasks from runs that have ended, and predicts those
 * of other tasks, see run_times.h.
 */
#include "dag/engine_internal.h"

#define PERCENT_MAX 100.0
#define MS_PER_S 1000.0

static mt_run_kind_t kind_of(const mt_dag_step_t *step)
{
	return (mt_run_kind_t){mt_shared_name_text(step->job->queue.name),
			       step->job->spec->account, step->spec->image};
}

/**
 * Adds the run time of a task.
 * @param rate mean rate of its run, in percent per second
 */
static void observe(mt_engine_t *engine, const mt_dag_task_t *task, double rate)
{
	const mt_dag_step_t *step = task->step;
	mt_run_kind_t kind = kind_of(step);
	double speed = mt_speed_model_speed(engine->speeds,
					    task->server->info.target.id);

	if (step->spec->estimate_ms)
		mt_run_times_observe(engine->run_times, &kind,
				     step->spec->estimate_ms,
				     PERCENT_MAX / rate * MS_PER_S * speed);
}

/** Adds the run times of the members of a gang, by their last known rates. */
static void observe_gang(mt_engine_t *engine, const mt_dag_step_t *step)
{
	for (guint i = 0; i < step->tasks->len; i++) {
		const mt_dag_task_t *task = step->tasks->pdata[i];

		if (task->server && task->measured_rate > 0)
			observe(engine, task, task->measured_rate);
	}
}

void mt_step_times_note_end(mt_engine_t *engine, const mt_dag_task_t *task)
{
	mt_speed_sample_t sample;

	if (task->step->spec->gang)
		observe_gang(engine, task->step);
	else if (mt_server_speeds_sample_end(engine, task, &sample))
		observe(engine, task, sample.rate);
}

double mt_step_times_predict_ms(const mt_engine_t *engine,
				const mt_dag_step_t *step)
{
	mt_run_kind_t kind = kind_of(step);

	/* Deployments of equal servers are planned by the estimates alone. */
	if (!mt_speed_model_is_uneven(engine->speeds))
		return step->spec->estimate_ms;
	return mt_run_times_predict(engine->run_times, &kind,
				    step->spec->estimate_ms);
}
