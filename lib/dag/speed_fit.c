/**
 * @file speed_fit.c
 * Estimates the relative speeds of servers by regularized least squares:
 *
 *   log rate of a run = level of its step + log speed of its server + error
 *
 * The speeds have a normal prior, which keeps a server without samples at the
 * speed 1. The error is normal, except in a small share of the runs (outliers),
 * whose work differs from that of their siblings by any factor. Each sample is
 * weighted by the probability that it is not an outlier. Levels and speeds are
 * computed alternately; each update continues from the results of the last one,
 * so that a few iterations per update are enough.
 */
#include "dag/speed_internal.h"

#include <math.h>
#include <stdlib.h>

/** Rounds in which the speed of one server is fitted to its samples. */
#define FIT_ROUNDS 3u

/**
 * Variance of a log rate per second of age, as speeds change over time: after a
 * minute, a sample is uncertain by another 13%.
 */
#define DRIFT_PER_S 0.0003

#define NOISE_MIN 0.1
#define NOISE_MAX 0.4

/** MT_SPEED_NOISE_FIRST counts as much as this number of samples. */
#define NOISE_PRIOR_SAMPLES 20.0

/** Share of the runs that are outliers. */
#define OUTLIER_SHARE 0.05

/** Probability density of the residual of an outlier. */
#define OUTLIER_DENSITY 0.4

/** Of fewer samples, the outliers cannot be told by a majority. */
#define MAJORITY_SAMPLES_MIN 3u

/** With fewer expected outliers, the solution of a fit is the only one. */
#define OUTLIERS_MIN 0.5

/* Iterations. */

/** Log rate of the run beyond the level of its step and its server's speed. */
static double residual(const mt_speed_run_t *run)
{
	return run->log_rate - run->step->level - run->server->log_speed;
}

/**
 * Computes the weight of a sample.
 * @param variance variance of the residual, if the run is not an outlier
 * @return probability density of the residual
 */
static double weigh(mt_speed_run_t *run, double variance)
{
	double r = residual(run);
	bool bound_holds = run->is_minimum && r < 0;
	double excess = bound_holds ? 0 : r;
	double inlier = (1 - OUTLIER_SHARE) *
			exp(-mt_speed_square(excess) / (2 * variance)) /
			sqrt(2 * G_PI * variance);
	double outlier = OUTLIER_SHARE * OUTLIER_DENSITY;

	run->precision =
		bound_holds ? 0 : inlier / (inlier + outlier) / run->variance;
	return inlier + outlier;
}

int mt_speed_compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double level_from_run(const mt_speed_run_t *run)
{
	return run->log_rate - run->server->log_speed;
}

static double log_speed_from_run(const mt_speed_run_t *run)
{
	return run->log_rate - run->step->level;
}

/** Median of the values that the samples give; outliers do not move it. */
static double median(const GPtrArray *runs,
		     double (*value)(const mt_speed_run_t *run))
{
	guint n = runs->len;
	double *values = g_new(double, n);
	double result;

	for (guint i = 0; i < n; i++)
		values[i] = value(runs->pdata[i]);
	qsort(values, n, sizeof(*values), mt_speed_compare_doubles);
	result = (values[(n - 1) / 2] + values[n / 2]) / 2;
	g_free(values);
	return result;
}

/** Expected number of outliers among the samples. */
static double n_outliers(const GPtrArray *runs)
{
	double weight = 0;

	for (guint i = 0; i < runs->len; i++) {
		const mt_speed_run_t *run = runs->pdata[i];

		weight += run->precision * run->variance;
	}
	return runs->len - weight;
}

/**
 * True if more than half of at least three samples count as outliers. The level
 * that they were compared with is then an outlier itself.
 */
static bool most_are_outliers(const GPtrArray *runs)
{
	return runs->len >= MAJORITY_SAMPLES_MIN &&
	       n_outliers(runs) > runs->len / 2.0;
}

/** Weighs the samples of a step, given its level. */
static void weigh_step(const mt_speed_step_t *step)
{
	for (guint i = 0; i < step->runs->len; i++) {
		mt_speed_run_t *run = step->runs->pdata[i];

		/* The residual of a sample on a server of unknown speed may be
		 * large without the run being an outlier. */
		weigh(run, run->variance + mt_speed_square(run->server->error));
	}
}

static void update_level(mt_speed_step_t *step)
{
	double precision = 0;
	double change = 0;

	if (!step->has_level)
		step->level = median(step->runs, level_from_run);
	step->has_level = true;
	weigh_step(step);
	if (most_are_outliers(step->runs)) {
		step->level = median(step->runs, level_from_run);
		weigh_step(step);
	}
	for (guint i = 0; i < step->runs->len; i++) {
		const mt_speed_run_t *run = step->runs->pdata[i];

		precision += run->precision;
		change += run->precision * residual(run);
	}
	if (precision > 0)
		step->level += change / precision;
}

/**
 * Weighs the samples of a server, given its speed.
 * @return logarithm of the posterior density of the speed, up to a constant
 */
static double weigh_server(const mt_speed_server_t *server)
{
	double log_density =
		-server->prior_precision / 2 *
		mt_speed_square(server->log_speed - server->prior_mean);

	for (guint i = 0; i < server->runs->len; i++) {
		mt_speed_run_t *run = server->runs->pdata[i];

		log_density += log(weigh(run, run->variance));
	}
	return log_density;
}

/** Sets the speed to the weighted mean of the prior and the samples. */
static void update_log_speed(mt_speed_server_t *server)
{
	double precision = server->prior_precision;
	double sum = server->prior_precision * server->prior_mean;

	for (guint i = 0; i < server->runs->len; i++) {
		const mt_speed_run_t *run = server->runs->pdata[i];

		precision += run->precision;
		sum += run->precision * log_speed_from_run(run);
	}
	server->log_speed = sum / precision;
}

/**
 * Improves the speed of a server from a first value.
 * @return see weigh_server()
 */
static double fit_from(mt_speed_server_t *server, double log_speed)
{
	server->log_speed = log_speed;
	for (unsigned i = 0; i < FIT_ROUNDS; i++) {
		weigh_server(server);
		update_log_speed(server);
	}
	return weigh_server(server);
}

/**
 * Computes the speed of a server. If some of its runs are outliers, there may
 * be two solutions, which take different runs for these: the speed is near the
 * prior, or near the median of the samples. The more probable one is chosen.
 */
static void fit(mt_speed_server_t *server)
{
	double density;
	double log_speed;

	if (!server->runs->len) {
		server->log_speed = server->prior_mean;
		return;
	}
	density = fit_from(server, server->prior_mean);
	if (n_outliers(server->runs) < OUTLIERS_MIN)
		return;
	log_speed = server->log_speed;
	if (fit_from(server, median(server->runs, log_speed_from_run)) <
	    density)
		fit_from(server, log_speed);
}

void mt_speed_fit_all(mt_speed_model_t *model)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, model->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fit(value);
}

void mt_speed_iterate(mt_speed_model_t *model)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, model->steps);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		update_level(value);
	g_hash_table_iter_init(&iter, model->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		update_log_speed(value);
}

/** Variance of a value with this error that was measured at `at`. */
static double aged_variance(double error, mt_ms_t at, mt_ms_t now)
{
	return mt_speed_square(error) + DRIFT_PER_S * (double)(now - at) / 1000;
}

void mt_speed_set_variances(mt_speed_model_t *model, mt_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, model->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		mt_speed_server_t *server = value;

		if (server->restored_at)
			server->prior_precision =
				1 / aged_variance(server->restored_error,
						  server->restored_at, now);
		for (guint i = 0; i < server->runs->len; i++) {
			mt_speed_run_t *run = server->runs->pdata[i];

			run->variance = mt_speed_square(model->noise) +
					aged_variance(run->error, run->at, now);
		}
	}
}

/* Errors. */

/**
 * Precision with which the step's samples determine the speed of the run's
 * server, in the share of this run. The level is computed from the samples on
 * other servers, whose speeds have errors themselves.
 */
static double information(const mt_speed_run_t *run)
{
	const mt_speed_step_t *step = run->step;
	double own = 0;
	double others = 0;
	double errors = 0;
	double variance;

	for (guint i = 0; i < step->runs->len; i++) {
		const mt_speed_run_t *other = step->runs->pdata[i];

		if (other->server == run->server) {
			own += other->precision;
			continue;
		}
		others += other->precision;
		errors += mt_speed_square(other->precision *
					  other->server->error);
	}
	if (run->precision <= 0 || others <= 0)
		return 0;
	variance = 1 / own + 1 / others + errors / mt_speed_square(others);
	return run->precision / own / variance;
}

static void update_error(mt_speed_server_t *server)
{
	double precision = server->prior_precision;

	for (guint i = 0; i < server->runs->len; i++)
		precision += information(server->runs->pdata[i]);
	server->error = 1 / sqrt(precision);
}

/** Share of a server's speed that its samples determine, rather than its prior.
 */
static double data_share(const mt_speed_server_t *server)
{
	return 1 -
	       MIN(1, server->prior_precision * mt_speed_square(server->error));
}

void mt_speed_update_noise(mt_speed_model_t *model)
{
	double degrees_of_freedom = NOISE_PRIOR_SAMPLES;
	double sum =
		NOISE_PRIOR_SAMPLES * mt_speed_square(MT_SPEED_NOISE_FIRST);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, model->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_speed_server_t *server = value;

		degrees_of_freedom -= data_share(server);
		for (guint i = 0; i < server->runs->len; i++) {
			const mt_speed_run_t *run = server->runs->pdata[i];
			double weight = run->precision * run->variance;
			double rest =
				run->variance - mt_speed_square(model->noise);

			if (run->is_minimum)
				continue;
			degrees_of_freedom += weight;
			sum += weight * (mt_speed_square(residual(run)) - rest);
		}
	}
	degrees_of_freedom -= g_hash_table_size(model->steps);
	degrees_of_freedom = MAX(degrees_of_freedom, NOISE_PRIOR_SAMPLES);
	model->noise = CLAMP(sqrt(MAX(0, sum) / degrees_of_freedom), NOISE_MIN,
			     NOISE_MAX);
}

void mt_speed_update_errors(mt_speed_model_t *model)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, model->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		update_error(value);
}
