/** @file speed_spread.c The distribution of the servers' speeds. */
#include "dag/speed_internal.h"

#include <math.h>

/** With fewer servers known well, their spread says nothing. */
#define KNOWN_SERVERS_MIN 12u

/**
 * A server below this speed is an exception, such as one that is slow for a
 * time, see pace.h. It does not make the other servers uneven.
 */
#define EXCEPTION_SPEED 0.4

/**
 * The spread of the speeds is the distance between these quantiles of their
 * logarithms. The lower one is further inside, so that a small share of servers
 * that are slowed for a part of their runs does not make the others uneven.
 * Nothing makes a server faster for a time.
 */
#define SPREAD_LOW 0.2
#define SPREAD_HIGH 0.9

/** Distance between these quantiles of a standard normal distribution. */
#define NORMAL_SPREAD 2.123

/* The servers become uneven above the first spread, and are no longer uneven
 * below the second one. */
#define UNEVEN_SPREAD 1.2
#define EVEN_SPREAD 1.12

/* The observed spread must exceed the one that errors alone would cause by a
 * factor, which is also higher for servers that are not uneven yet. It allows
 * for errors that are underestimated while there are few samples. Added to it
 * are SPREAD_ERRORS / sqrt(number of servers), four standard errors of the
 * spread. */
#define UNEVEN_FACTOR 1.5
#define EVEN_FACTOR 1.15
#define SPREAD_ERRORS 4.0

/** Log speeds of the servers that are known well, sorted. */
static GArray *known_log_speeds(const mt_speed_model_t *model)
{
	GArray *values = g_array_new(FALSE, FALSE, sizeof(double));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, model->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_speed_server_t *server = value;

		if (server->error <= MT_SPEED_KNOWN_ERROR)
			g_array_append_val(values, server->log_speed);
	}
	g_array_sort(values, mt_speed_compare_doubles);
	return values;
}

/** Quantile of sorted values, with interpolation; 0 if there are none. */
static double quantile(const GArray *values, double share)
{
	double position = share * (values->len - 1.0);
	guint index = values->len ? (guint)position : 0;
	double low;
	double high;

	if (!values->len)
		return 0;
	low = g_array_index(values, double, index);
	high = g_array_index(values, double, MIN(index + 1, values->len - 1));
	return low + (position - index) * (high - low);
}

/** Mean of the middle half of sorted values; 0 if there are none. */
static double middle_mean(const GArray *values)
{
	guint first = values->len / 4;
	double sum = 0;

	if (!values->len)
		return 0;
	for (guint i = first; i < values->len - first; i++)
		sum += g_array_index(values, double, i);
	return sum / (values->len - 2 * first);
}

/** Subtracts `shift` from all log speeds, and adds it to the levels. */
static void shift_speeds(mt_speed_model_t *model, double shift)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, model->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		mt_speed_server_t *server = value;

		server->log_speed -= shift;
		if (server->restored_at)
			server->prior_mean -= shift;
	}
	g_hash_table_iter_init(&iter, model->steps);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		mt_speed_step_t *step = value;

		step->level += shift;
	}
}

void mt_speed_center(mt_speed_model_t *model)
{
	GArray *known = known_log_speeds(model);

	shift_speeds(model, middle_mean(known));
	g_array_unref(known);
}

/**
 * True if the spread of the well-known speeds is clear.
 * @param spread_min see UNEVEN_SPREAD
 * @param factor_min see UNEVEN_FACTOR
 */
static bool spread_is_clear(const mt_speed_model_t *model, double spread_min,
			    double factor_min)
{
	GArray *values = g_array_new(FALSE, FALSE, sizeof(double));
	double prior = 1 / mt_speed_square(MT_SPEED_PRIOR_DEVIATION);
	double errors = 0;
	double deviation;
	double error;
	double factor;
	bool enough;
	GHashTableIter iter;
	gpointer value;

	/* The values are used as the samples alone would give them, as the
	 * prior draws them together. */
	g_hash_table_iter_init(&iter, model->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_speed_server_t *server = value;
		double share = 1 - prior * mt_speed_square(server->error);
		double log_speed = server->log_speed / share;

		if (server->error > MT_SPEED_KNOWN_ERROR ||
		    log_speed < log(EXCEPTION_SPEED))
			continue;
		g_array_append_val(values, log_speed);
		errors += mt_speed_square(server->error) / share;
	}
	g_array_sort(values, mt_speed_compare_doubles);
	deviation =
		(quantile(values, SPREAD_HIGH) - quantile(values, SPREAD_LOW)) /
		NORMAL_SPREAD;
	error = sqrt(errors / MAX(1, values->len));
	factor = factor_min + SPREAD_ERRORS / sqrt(MAX(1, values->len));
	enough = values->len >= KNOWN_SERVERS_MIN;
	g_array_unref(values);
	return enough && deviation > factor * error &&
	       NORMAL_SPREAD * sqrt(mt_speed_square(deviation) -
				    mt_speed_square(error)) >
		       log(spread_min);
}

void mt_speed_update_is_uneven(mt_speed_model_t *model)
{
	model->is_uneven =
		model->is_uneven
			? spread_is_clear(model, EVEN_SPREAD, EVEN_FACTOR)
			: spread_is_clear(model, UNEVEN_SPREAD, UNEVEN_FACTOR);
}

mt_speed_summary_t mt_speed_model_summary(const mt_speed_model_t *model)
{
	GArray *known = known_log_speeds(model);
	mt_speed_summary_t summary = {known->len, exp(quantile(known, 0.1)),
				      exp(quantile(known, 0.5)),
				      exp(quantile(known, 0.9))};

	g_array_unref(known);
	return summary;
}
