/** @file speed_samples.c The store of the samples of a speed model. */
#include "dag/speed_internal.h"

#include <math.h>

/** Bounds the memory, and the time of an update; the oldest one is replaced. */
#define SAMPLES_PER_SERVER_MAX 12u

/** A sample is dropped at this age. */
#define SAMPLE_AGE_MAX_MS 300000u

static mt_speed_step_t *find_or_add_step(mt_speed_model_t *model,
					 const mt_speed_sample_t *sample)
{
	mt_speed_step_key_t key = {sample->job, sample->occurrence,
				   sample->step};
	mt_speed_step_t *step = g_hash_table_lookup(model->steps, &key);

	if (step)
		return step;
	step = g_new0(mt_speed_step_t, 1);
	step->key = key;
	step->runs = g_ptr_array_new();
	g_hash_table_insert(model->steps, &step->key, step);
	return step;
}

/** Removes a sample of the server by its index. */
static void remove_run(mt_speed_model_t *model, mt_speed_server_t *server,
		       guint index)
{
	mt_speed_run_t *run = server->runs->pdata[index];
	mt_speed_step_t *step = run->step;

	g_ptr_array_remove_fast(step->runs, run);
	if (!step->runs->len)
		g_hash_table_remove(model->steps, &step->key);
	g_ptr_array_remove_index_fast(server->runs, index);
}

static void remove_oldest_run(mt_speed_model_t *model,
			      mt_speed_server_t *server)
{
	guint oldest = 0;

	for (guint i = 1; i < server->runs->len; i++) {
		const mt_speed_run_t *run = server->runs->pdata[i];
		const mt_speed_run_t *other = server->runs->pdata[oldest];

		if (run->at < other->at)
			oldest = i;
	}
	remove_run(model, server, oldest);
}

static mt_speed_run_t *find_run(const mt_speed_server_t *server,
				const mt_speed_step_t *step,
				const mt_speed_sample_t *sample)
{
	for (guint i = 0; i < server->runs->len; i++) {
		mt_speed_run_t *run = server->runs->pdata[i];

		if (run->step == step && run->task == sample->task &&
		    run->run == sample->run)
			return run;
	}
	return NULL;
}

static mt_speed_run_t *add_run(mt_speed_model_t *model,
			       mt_speed_server_t *server, mt_speed_step_t *step,
			       const mt_speed_sample_t *sample)
{
	mt_speed_run_t *run = g_new0(mt_speed_run_t, 1);

	run->step = step;
	run->server = server;
	run->task = sample->task;
	run->run = sample->run;
	g_ptr_array_add(step->runs, run);
	/* The new sample keeps the step, if the removed one was its last. */
	if (server->runs->len >= SAMPLES_PER_SERVER_MAX)
		remove_oldest_run(model, server);
	g_ptr_array_add(server->runs, run);
	return run;
}

void mt_speed_model_observe(mt_speed_model_t *model,
			    const mt_speed_sample_t *sample)
{
	mt_speed_server_t *server =
		mt_speed_find_or_add_server(model, sample->server);
	mt_speed_step_t *step = find_or_add_step(model, sample);
	mt_speed_run_t *run = find_run(server, step, sample);

	if (!run)
		run = add_run(model, server, step, sample);
	else if (sample->is_minimum)
		return;
	run->is_minimum = sample->is_minimum;
	run->at = sample->at;
	run->log_rate = log(sample->rate);
	run->error = sample->error;
}

static void remove_all_runs(mt_speed_model_t *model, mt_speed_server_t *server)
{
	while (server->runs->len)
		remove_run(model, server, server->runs->len - 1);
}

void mt_speed_model_forget(mt_speed_model_t *model, mt_shared_name_t name)
{
	mt_speed_server_t *server =
		g_hash_table_lookup(model->servers, mt_shared_name_key(name));

	if (!server)
		return;
	remove_all_runs(model, server);
	g_hash_table_remove(model->servers, mt_shared_name_key(name));
}

/* Samples that are too old. */

static void drop_old_runs(mt_speed_model_t *model, mt_speed_server_t *server,
			  mt_ms_t now)
{
	for (guint i = server->runs->len; i-- > 0;) {
		const mt_speed_run_t *run = server->runs->pdata[i];

		if (now - run->at > SAMPLE_AGE_MAX_MS)
			remove_run(model, server, i);
	}
}

void mt_speed_drop_old(mt_speed_model_t *model, mt_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, model->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		mt_speed_server_t *server = value;

		drop_old_runs(model, server, now);
		if (!server->runs->len &&
		    (!server->restored_at ||
		     now - server->restored_at > SAMPLE_AGE_MAX_MS))
			g_hash_table_iter_remove(&iter);
	}
}
