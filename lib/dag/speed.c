/**
 * @file speed.c
 * Estimates the relative speeds of servers by regularized least squares:
 *
 *   log rate of a run = level of its step + log speed of its server + error
 *
 * The speeds have a normal prior, which keeps a server without samples at the
 * speed 1. The error is normal, except in a small share of the runs (outliers),
 * whose work differs from that of their siblings by any factor. Each sample is
 * weighted by the probability that it is not an outlier. Levels and speeds are
 * computed alternately; each update continues from the results of the last one,
 * so that a few sweeps per update are enough.
 */
#include "dag/speed.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>

/** Bounds the memory, and the time of an update; the oldest one is replaced. */
#define SAMPLES_PER_SERVER_MAX 12u

#define SWEEPS_PER_UPDATE 4u

/** Rounds in which the speed of one server is fitted to its samples. */
#define FIT_ROUNDS 3u

/** A sample is dropped at this age. */
#define SAMPLE_AGE_MAX_MS 300000u

/**
 * Variance of a log rate per second of age, as speeds change over time: after a
 * minute, a sample is uncertain by another 13%.
 */
#define DRIFT_PER_S 0.0003

/** Standard deviation of the prior of a log speed. */
#define PRIOR_DEVIATION 0.4

/* The deviation of the log rates of siblings on servers of equal speed is
 * estimated. Its first value counts as much as NOISE_PRIOR_SAMPLES samples. */
#define NOISE_FIRST 0.25
#define NOISE_MIN 0.1
#define NOISE_MAX 0.4
#define NOISE_PRIOR_SAMPLES 20.0

/** Share of the runs that are outliers. */
#define OUTLIER_SHARE 0.05

/** Probability density of the residual of an outlier. */
#define OUTLIER_DENSITY 0.4

/** Of fewer samples, the outliers cannot be told by a majority. */
#define OUTVOTING_SAMPLES_MIN 3u

/** With fewer expected outliers, the solution of a fit is the only one. */
#define OUTLIERS_MIN 0.5

/** A speed is known well if the error of its logarithm is below this. */
#define KNOWN_ERROR 0.25

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

typedef struct mt_speed_server_t mt_speed_server_t;

typedef struct mt_speed_step_key_t {
	uint64_t job;
	uint32_t occurrence;
	uint32_t step;
} mt_speed_step_key_t;

/** A step of which there are samples. */
typedef struct mt_speed_step_t {
	mt_speed_step_key_t key;
	GPtrArray *runs; /**< mt_speed_run_t */
	bool has_level;
	double level; /**< log rate on a server of speed 1 */
} mt_speed_step_t;

/** The sample of a run. */
typedef struct mt_speed_run_t {
	mt_speed_step_t *step;
	mt_speed_server_t *server;
	uint32_t task;
	uint32_t run;
	bool is_minimum; /**< see mt_speed_sample_t */
	mt_ms_t at;
	double log_rate;
	double error; /**< see mt_speed_sample_t */
	double variance;
	double precision; /**< 1 / variance, less if it may be an outlier */
} mt_speed_run_t;

struct mt_speed_server_t {
	mt_name_t name;
	GPtrArray *runs; /**< mt_speed_run_t */
	double prior_mean;
	double prior_precision; /**< 1 / variance of the prior */
	/** Time of mt_speed_model_restore(); 0: the usual prior is used. */
	mt_ms_t restored_at;
	double restored_error;
	double log_speed;
	double error; /**< standard error of log_speed */
};

struct mt_speed_model_t {
	GHashTable *servers; /**< mt_name_t to mt_speed_server_t */
	GHashTable *steps;   /**< mt_speed_step_key_t to mt_speed_step_t */
	double noise;	     /**< see NOISE_FIRST */
	bool is_uneven;
};

static double square(double x)
{
	return x * x;
}

/* Servers, steps and samples. */

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

	model->servers = g_hash_table_new_full(mt_name_hash, mt_name_key_equal,
					       NULL, free_server);
	model->steps = g_hash_table_new_full(hash_step, steps_are_equal, NULL,
					     free_step);
	model->noise = NOISE_FIRST;
	return model;
}

void mt_speed_model_free(mt_speed_model_t *model)
{
	g_hash_table_destroy(model->servers);
	g_hash_table_destroy(model->steps);
	g_free(model);
}

static mt_speed_server_t *find_or_add_server(mt_speed_model_t *model,
					     const mt_name_t *name)
{
	mt_speed_server_t *server = g_hash_table_lookup(model->servers, name);

	if (server)
		return server;
	server = g_new0(mt_speed_server_t, 1);
	server->name = *name;
	server->runs = g_ptr_array_new_with_free_func(g_free);
	server->prior_precision = 1 / square(PRIOR_DEVIATION);
	server->error = PRIOR_DEVIATION;
	g_hash_table_insert(model->servers, &server->name, server);
	return server;
}

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
	mt_speed_server_t *server = find_or_add_server(model, &sample->server);
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

void mt_speed_model_forget(mt_speed_model_t *model, const mt_name_t *name)
{
	mt_speed_server_t *server = g_hash_table_lookup(model->servers, name);

	if (!server)
		return;
	remove_all_runs(model, server);
	g_hash_table_remove(model->servers, name);
}

void mt_speed_model_restore(mt_speed_model_t *model, const mt_name_t *name,
			    double speed, double error, mt_ms_t now)
{
	mt_speed_server_t *server = find_or_add_server(model, name);

	server->prior_mean = log(speed);
	server->prior_precision = 1 / square(error);
	server->restored_at = MAX(1, now);
	server->restored_error = error;
	server->log_speed = server->prior_mean;
	server->error = error;
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

static void drop_old(mt_speed_model_t *model, mt_ms_t now)
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

/* Sweeps. */

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
	bool is_met = run->is_minimum && r < 0;
	double excess = is_met ? 0 : r;
	double inlier = (1 - OUTLIER_SHARE) *
			exp(-square(excess) / (2 * variance)) /
			sqrt(2 * G_PI * variance);
	double outlier = OUTLIER_SHARE * OUTLIER_DENSITY;

	run->precision =
		is_met ? 0 : inlier / (inlier + outlier) / run->variance;
	return inlier + outlier;
}

static int compare_doubles(const void *a, const void *b)
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
	qsort(values, n, sizeof(*values), compare_doubles);
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
	return runs->len >= OUTVOTING_SAMPLES_MIN &&
	       n_outliers(runs) > runs->len / 2.0;
}

/** Weighs the samples of a step, given its level. */
static void weigh_step(const mt_speed_step_t *step)
{
	for (guint i = 0; i < step->runs->len; i++) {
		mt_speed_run_t *run = step->runs->pdata[i];

		/* The residual of a sample on a server of unknown speed may be
		 * large without the run being an outlier. */
		weigh(run, run->variance + square(run->server->error));
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
	double log_density = -server->prior_precision / 2 *
			     square(server->log_speed - server->prior_mean);

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

static void fit_all(mt_speed_model_t *model)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, model->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fit(value);
}

static void sweep(mt_speed_model_t *model)
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
	return square(error) + DRIFT_PER_S * (double)(now - at) / 1000;
}

static void set_variances(mt_speed_model_t *model, mt_ms_t now)
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

			run->variance = square(model->noise) +
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
		errors += square(other->precision * other->server->error);
	}
	if (run->precision <= 0 || others <= 0)
		return 0;
	variance = 1 / own + 1 / others + errors / square(others);
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
	return 1 - MIN(1, server->prior_precision * square(server->error));
}

/** Estimates the deviation of the log rates from the residuals. */
static void update_noise(mt_speed_model_t *model)
{
	double freedom = NOISE_PRIOR_SAMPLES;
	double sum = NOISE_PRIOR_SAMPLES * square(NOISE_FIRST);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, model->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_speed_server_t *server = value;

		freedom -= data_share(server);
		for (guint i = 0; i < server->runs->len; i++) {
			const mt_speed_run_t *run = server->runs->pdata[i];
			double weight = run->precision * run->variance;
			double rest = run->variance - square(model->noise);

			if (run->is_minimum)
				continue;
			freedom += weight;
			sum += weight * (square(residual(run)) - rest);
		}
	}
	freedom -= g_hash_table_size(model->steps);
	freedom = MAX(freedom, NOISE_PRIOR_SAMPLES);
	model->noise = CLAMP(sqrt(MAX(0, sum) / freedom), NOISE_MIN, NOISE_MAX);
}

static void update_errors(mt_speed_model_t *model)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, model->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		update_error(value);
}

/* Distribution of the speeds. */

/** Log speeds of the servers that are known well, sorted. */
static GArray *known_log_speeds(const mt_speed_model_t *model)
{
	GArray *values = g_array_new(FALSE, FALSE, sizeof(double));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, model->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_speed_server_t *server = value;

		if (server->error <= KNOWN_ERROR)
			g_array_append_val(values, server->log_speed);
	}
	g_array_sort(values, compare_doubles);
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

/**
 * Makes the speeds relative to the median server. The mean of the middle half
 * takes the place of the median, which would jump between two groups of servers
 * of equal size.
 */
static void center(mt_speed_model_t *model)
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
	double prior = 1 / square(PRIOR_DEVIATION);
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
		double share = 1 - prior * square(server->error);
		double log_speed = server->log_speed / share;

		if (server->error > KNOWN_ERROR ||
		    log_speed < log(EXCEPTION_SPEED))
			continue;
		g_array_append_val(values, log_speed);
		errors += square(server->error) / share;
	}
	g_array_sort(values, compare_doubles);
	deviation =
		(quantile(values, SPREAD_HIGH) - quantile(values, SPREAD_LOW)) /
		NORMAL_SPREAD;
	error = sqrt(errors / MAX(1, values->len));
	factor = factor_min + SPREAD_ERRORS / sqrt(MAX(1, values->len));
	enough = values->len >= KNOWN_SERVERS_MIN;
	g_array_unref(values);
	return enough && deviation > factor * error &&
	       NORMAL_SPREAD * sqrt(square(deviation) - square(error)) >
		       log(spread_min);
}

void mt_speed_model_update(mt_speed_model_t *model, mt_ms_t now)
{
	drop_old(model, now);
	set_variances(model, now);
	for (unsigned i = 0; i < SWEEPS_PER_UPDATE; i++)
		sweep(model);
	fit_all(model);
	update_errors(model);
	update_noise(model);
	center(model);
	model->is_uneven =
		model->is_uneven
			? spread_is_clear(model, EVEN_SPREAD, EVEN_FACTOR)
			: spread_is_clear(model, UNEVEN_SPREAD, UNEVEN_FACTOR);
}

double mt_speed_model_speed(const mt_speed_model_t *model,
			    const mt_name_t *name)
{
	const mt_speed_server_t *server;

	if (!model->is_uneven)
		return 1.0;
	server = g_hash_table_lookup(model->servers, name);
	return server ? exp(server->log_speed) : 1.0;
}

double mt_speed_model_error(const mt_speed_model_t *model,
			    const mt_name_t *name)
{
	const mt_speed_server_t *server =
		g_hash_table_lookup(model->servers, name);

	return server ? server->error : PRIOR_DEVIATION;
}

bool mt_speed_model_is_uneven(const mt_speed_model_t *model)
{
	return model->is_uneven;
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

		if (server->error <= KNOWN_ERROR)
			cb(ctx, &server->name, exp(server->log_speed),
			   server->error);
	}
}
