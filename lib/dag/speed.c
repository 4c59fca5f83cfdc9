/**
 * @file speed.c
 * The model of the servers' speeds: its servers, its update, and what it
 * reports.
 */
#include "dag/speed_internal.h"

#include <math.h>

#define ITERATIONS_PER_UPDATE 4u

static guint hash_step(gconstpointer data)
{
	const mt_speed_step_key_t *key = data;

	return g_int64_hash(&key->job) ^ key->occurrence << 8 ^ key->step;
}

static gboolean steps_are_equal(gconstpointer a, gconstpointer b)
{
	const mt_speed_step_key_t *x = a;
	const mt_speed_step_key_t *y = b;

	return x->job == y->job && x->occurrence == y->occurrence &&
	       x->step == y->step;
}

static void free_server(gpointer data)
{
	mt_speed_server_t *server = data;

	g_ptr_array_unref(server->runs);
	g_free(server);
}

static void free_step(gpointer data)
{
	mt_speed_step_t *step = data;

	g_ptr_array_unref(step->runs);
	g_free(step);
}

mt_speed_model_t *mt_speed_model_new(void)
{
	mt_speed_model_t *model = g_new0(mt_speed_model_t, 1);

	model->servers = mt_shared_name_table_new(free_server);
	model->steps = g_hash_table_new_full(hash_step, steps_are_equal, NULL,
					     free_step);
	model->noise = MT_SPEED_NOISE_FIRST;
	return model;
}

void mt_speed_model_free(mt_speed_model_t *model)
{
	g_hash_table_destroy(model->servers);
	g_hash_table_destroy(model->steps);
	g_free(model);
}

mt_speed_server_t *mt_speed_find_or_add_server(mt_speed_model_t *model,
					       mt_shared_name_t name)
{
	mt_speed_server_t *server =
		g_hash_table_lookup(model->servers, mt_shared_name_key(name));

	if (server)
		return server;
	server = g_new0(mt_speed_server_t, 1);
	server->name = name;
	server->runs = g_ptr_array_new_with_free_func(g_free);
	server->prior_precision = 1 / mt_speed_square(MT_SPEED_PRIOR_DEVIATION);
	server->error = MT_SPEED_PRIOR_DEVIATION;
	g_hash_table_insert(model->servers, mt_shared_name_new_key(name),
			    server);
	return server;
}

void mt_speed_model_restore(mt_speed_model_t *model, mt_shared_name_t name,
			    double speed, double error, mt_ms_t now)
{
	mt_speed_server_t *server = mt_speed_find_or_add_server(model, name);

	server->prior_mean = log(speed);
	server->prior_precision = 1 / mt_speed_square(error);
	server->restored_at = MAX(1, now);
	server->restored_error = error;
	server->log_speed = server->prior_mean;
	server->error = error;
}

void mt_speed_model_update(mt_speed_model_t *model, mt_ms_t now)
{
	mt_speed_drop_old(model, now);
	mt_speed_set_variances(model, now);
	for (unsigned i = 0; i < ITERATIONS_PER_UPDATE; i++)
		mt_speed_iterate(model);
	mt_speed_fit_all(model);
	mt_speed_update_errors(model);
	mt_speed_update_noise(model);
	mt_speed_center(model);
	mt_speed_update_is_uneven(model);
}

double mt_speed_model_speed(const mt_speed_model_t *model,
			    mt_shared_name_t name)
{
	const mt_speed_server_t *server;

	if (!model->is_uneven)
		return 1.0;
	server = g_hash_table_lookup(model->servers, mt_shared_name_key(name));
	return server ? exp(server->log_speed) : 1.0;
}

double mt_speed_model_error(const mt_speed_model_t *model,
			    mt_shared_name_t name)
{
	const mt_speed_server_t *server =
		g_hash_table_lookup(model->servers, mt_shared_name_key(name));

	return server ? server->error : MT_SPEED_PRIOR_DEVIATION;
}

bool mt_speed_model_is_uneven(const mt_speed_model_t *model)
{
	return model->is_uneven;
}

void mt_speed_model_each(const mt_speed_model_t *model, mt_speed_cb cb,
			 void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	if (!model->is_uneven)
		return;
	g_hash_table_iter_init(&iter, model->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_speed_server_t *server = value;

		if (server->error <= MT_SPEED_KNOWN_ERROR)
			cb(ctx, server->name, exp(server->log_speed),
			   server->error);
	}
}
