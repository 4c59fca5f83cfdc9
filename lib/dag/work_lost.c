/** @file work_lost.c Sums the work that runs have done in vain. */
#include "dag/work_lost.h"

#include "dag/table.h"

/** Minimum time between two events. */
#define LOG_INTERVAL_MS 5000u

static const char *const cause_names[MT_WORK_LOST_CAUSES] = {
	"preempted", "moved", "gang_broken", "gang_wait"};

static void add(mt_work_lost_t *lost, mt_kernel_t *kernel,
		mt_work_lost_cause_t cause, double core_s)
{
	char name[64];
	uint64_t whole;

	g_snprintf(name, sizeof(name),
		   "work_lost_core_seconds_total{cause=\"%s\"}",
		   cause_names[cause]);
	lost->unlogged[cause] += core_s;
	lost->uncounted[cause] += core_s;
	whole = (uint64_t)lost->uncounted[cause];
	*mt_kernel_counter(kernel, name) += whole;
	lost->uncounted[cause] -= (double)whole;
}

/** Work of the run that is lost if it ends now, in core-seconds. */
static double unsaved_work(const mt_dag_task_t *task, mt_ms_t now)
{
	return mt_dag_step_cores(task->step) *
	       (double)mt_dag_task_unsaved_ms(task, now) / 1000.0;
}

static double unsaved_work_of_gang(const mt_dag_step_t *step, mt_ms_t now)
{
	double core_s = 0;

	for (guint i = 0; i < step->tasks->len; i++) {
		const mt_dag_task_t *task = step->tasks->pdata[i];

		if (task->server && task->phase != MT_TASK_PHASE_DONE)
			core_s += unsaved_work(task, now);
	}
	return core_s;
}

void mt_work_lost_on_stop(mt_work_lost_t *lost, mt_kernel_t *kernel,
			  mt_dag_task_t *task, mt_work_lost_cause_t cause)
{
	mt_dag_step_t *step = task->step;
	mt_ms_t now = mt_kernel_now(kernel);

	if (step->job->cancelled || mt_state_is_final(step->job->state))
		return;
	if (!step->spec->gang) {
		if (!task->stop_wanted)
			add(lost, kernel, cause, unsaved_work(task, now));
		return;
	}
	if (step->work_lost_run == task->run)
		return;
	step->work_lost_run = task->run;
	add(lost, kernel, cause, unsaved_work_of_gang(step, now));
}

void mt_work_lost_on_tick(mt_work_lost_t *lost, mt_kernel_t *kernel,
			  const mt_dag_task_t *task, double seconds)
{
	if (task->phase == MT_TASK_PHASE_RUNNING &&
	    mt_dag_task_waits_for_gang(task))
		add(lost, kernel, MT_WORK_LOST_GANG_WAIT,
		    mt_dag_step_cores(task->step) * seconds);
}

void mt_work_lost_log(mt_work_lost_t *lost, mt_kernel_t *kernel)
{
	mt_ms_t now = mt_kernel_now(kernel);
	GString *members;
	bool any = false;

	if (lost->logged_at && now - lost->logged_at < LOG_INTERVAL_MS)
		return;
	members = g_string_new(NULL);
	for (unsigned i = 0; i < MT_WORK_LOST_CAUSES; i++) {
		any = any || lost->unlogged[i] > 0;
		g_string_append_printf(members, "%s\"%s\":%.1f", i ? "," : "",
				       cause_names[i], lost->unlogged[i]);
		lost->unlogged[i] = 0;
	}
	if (any) {
		mt_kernel_event(kernel, "work_lost", "%s", members->str);
		lost->logged_at = now;
	}
	g_string_free(members, TRUE);
}
