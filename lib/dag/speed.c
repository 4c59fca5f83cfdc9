/** @file speed.c Estimates the relative speeds of servers. */
#include "dag/speed.h"

#include <glib.h>

struct mt_speed_model_t {
	bool is_uneven;
};

mt_speed_model_t *mt_speed_model_new(void)
{
	return g_new0(mt_speed_model_t, 1);
}

void mt_speed_model_free(mt_speed_model_t *model)
{
	g_free(model);
}

void mt_speed_model_observe(mt_speed_model_t *model,
			    const mt_speed_sample_t *sample)
{
	(void)model;
	(void)sample;
}

void mt_speed_model_update(mt_speed_model_t *model, mt_ms_t now)
{
	(void)model;
	(void)now;
}

double mt_speed_model_speed(const mt_speed_model_t *model,
			    const mt_name_t *server)
{
	(void)model;
	(void)server;
	return 1.0;
}

double mt_speed_model_error(const mt_speed_model_t *model,
			    const mt_name_t *server)
{
	(void)model;
	(void)server;
	return G_MAXDOUBLE;
}

bool mt_speed_model_is_uneven(const mt_speed_model_t *model)
{
	return model->is_uneven;
}

void mt_speed_model_forget(mt_speed_model_t *model, const mt_name_t *server)
{
	(void)model;
	(void)server;
}
