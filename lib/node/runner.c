/** @file runner.c The table of runs, and the names of their tasks. */
#include "node/runner.h"

#include <string.h>

#include "node/runner_internal.h"

static void free_run(gpointer data)
{
	mt_run_t *run = data;

	g_array_unref(run->parts);
	g_clear_pointer(&run->result, g_bytes_unref);
	g_free(run);
}

mt_runner_t *mt_runner_new(const mt_runner_deps_t *deps)
{
	mt_runner_t *runner = g_new0(mt_runner_t, 1);

	runner->deps = *deps;
	runner->by_job = g_hash_table_new_full(
		mt_job_id_hash, mt_job_id_key_equal, NULL, free_run);
	runner->unwound = g_hash_table_new_full(
		mt_job_id_hash, mt_job_id_key_equal, g_free, g_free);
	runner->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	runner->by_task = g_hash_table_new_full(mt_name_hash, mt_name_key_equal,
						g_free, NULL);
	runner->by_server =
		g_hash_table_new_full(mt_name_hash, mt_name_key_equal, g_free,
				      (GDestroyNotify)g_ptr_array_unref);
	return runner;
}

void mt_runner_free(mt_runner_t *runner)
{
	if (!runner)
		return;
	mt_runner_drop_all(runner);
	g_hash_table_destroy(runner->unwound);
	g_hash_table_destroy(runner->by_server);
	g_hash_table_destroy(runner->by_task);
	g_hash_table_destroy(runner->by_id);
	g_hash_table_destroy(runner->by_job);
	g_free(runner);
}

void mt_runner_set_handler(mt_runner_t *runner,
			   const mt_runner_handler_t *handler)
{
	runner->handler = *handler;
}

void mt_runner_set_discovery_state(mt_runner_t *runner, bool jobs_loaded,
				   bool discovery_done)
{
	runner->jobs_loaded = jobs_loaded;
	runner->discovery_done = discovery_done;
}

mt_run_t *mt_runner_find(const mt_runner_t *runner, const mt_job_id_t *job)
{
	return g_hash_table_lookup(runner->by_job, job);
}

GHashTable *mt_runner_runs(const mt_runner_t *runner)
{
	return runner->by_job;
}

static const char *phase_name(mt_phase_t phase)
{
	static const char *const names[MT_PHASE_COUNT] = {
		"claim",   "hold",   "release", "run",
		"collect", "record", "unwind",	"recover"};

	return names[phase];
}

mt_run_t *mt_run_new(mt_runner_t *runner, const mt_job_t *job, mt_phase_t phase)
{
	mt_run_t *run = g_new0(mt_run_t, 1);
	mt_ms_t declared = (mt_ms_t)job->spec->run_s * 1000;

	run->runner = runner;
	run->id = ++runner->last_id;
	run->job = job->id;
	run->job_text = mt_job_id_text(&job->id);
	run->account = job->account;
	run->phase = phase;
	run->idempotent = job->spec->idempotent;
	run->checkpointable = job->spec->checkpointable;
	run->urgent = job->spec->urgent && job->spec->members == 1;
	run->direct = job->direct;
	run->value = job->spec->value;
	run->shape.members = job->spec->members;
	run->shape.each.processors = job->spec->processors;
	run->shape.each.memory_mb = job->spec->memory_mb;
	run->shape.each.accelerators = job->spec->accelerators;
	run->parts = g_array_new(FALSE, TRUE, sizeof(mt_run_part_t));
	run->created_at = mt_kernel_now(runner->deps.kernel);
	run->phase_entered_at = run->created_at;
	run->expected_run_ms =
		mt_estimator_expected_run(runner->deps.estimator, &job->account,
					  job->spec->kind, declared);
	g_hash_table_insert(runner->by_job, &run->job, run);
	g_hash_table_insert(runner->by_id, &run->id, run);
	return run;
}

mt_name_t mt_run_task_name(const mt_run_t *run, guint part)
{
	char text[MT_NAME_MAX_BYTES + 1];

	/* 32 is the length of a job id in hexadecimal. A run label is "r" and 7
	 * digits, or "c" and the claim number, so 9 cuts only claim numbers of
	 * more than 8 digits. */
	g_snprintf(text, sizeof(text), "%.32s.%.9s.%u", run->job_text.text,
		   run->run_label.text, part);
	return mt_name(text);
}

bool mt_task_name_parse(const mt_name_t *task, mt_job_id_t *job,
			mt_name_t *run_label, uint32_t *part)
{
	const char *first = strchr(task->text, '.');
	const char *second = first ? strchr(first + 1, '.') : NULL;
	uint64_t number;

	if (!second ||
	    !mt_job_id_parse(
		    (mt_str_t){task->text, (size_t)(first - task->text)},
		    job) ||
	    !mt_str_to_u64(mt_str_from(second + 1), &number) ||
	    number > UINT32_MAX)
		return false;
	*run_label = mt_name_from(
		(mt_str_t){first + 1, (size_t)(second - first - 1)});
	*part = (uint32_t)number;
	return true;
}

bool mt_task_is_claimed(const mt_name_t *task)
{
	const char *dot = strchr(task->text, '.');

	return dot && dot[1] == 'c';
}

GPtrArray *mt_runner_runs_on(const mt_runner_t *runner, const mt_name_t *server)
{
	GPtrArray *runs = g_hash_table_lookup(runner->by_server, server);

	if (!runs) {
		runs = g_ptr_array_new();
		g_hash_table_insert(runner->by_server, mt_name_dup(server),
				    runs);
	}
	return runs;
}

void mt_run_add_part(mt_runner_t *runner, mt_run_t *run,
		     const mt_run_part_t *part)
{
	g_ptr_array_add(mt_runner_runs_on(runner, &part->server), run);
	g_array_append_vals(run->parts, part, 1);
	g_hash_table_insert(runner->by_task, mt_name_dup(&part->task), run);
}

void mt_run_drop(mt_runner_t *runner, mt_run_t *run)
{
	for (guint i = 0; i < run->parts->len; i++) {
		const mt_run_part_t *part = mt_run_part(run, i);

		g_hash_table_remove(runner->by_task, &part->task);
		g_ptr_array_remove_fast(
			mt_runner_runs_on(runner, &part->server), run);
	}
	mt_appender_drop_callback(runner->deps.appender, run->record_id);
	g_hash_table_remove(runner->by_id, &run->id);
	g_hash_table_remove(runner->by_job, &run->job);
	runner->handler.changed(runner->handler.ctx);
}

void mt_runner_drop_all(mt_runner_t *runner)
{
	GList *runs = g_hash_table_get_values(runner->by_job);

	for (GList *at = runs; at; at = at->next)
		mt_run_drop(runner, at->data);
	g_list_free(runs);
}

void mt_run_set_phase(mt_runner_t *runner, mt_run_t *run, mt_phase_t phase)
{
	mt_log(runner->deps.kernel, MT_LOG_DEBUG, "runner", "job %s: %s to %s",
	       run->job_text.text, phase_name(run->phase), phase_name(phase));
	run->phase = phase;
	run->phase_entered_at = mt_kernel_now(runner->deps.kernel);
}
