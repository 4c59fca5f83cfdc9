/**
 * @file speed_internal.h
 * Internal interface of the model of the servers' speeds: speed.c (servers,
 * update and queries), speed_samples.c (store of the samples), speed_fit.c
 * (estimate by least squares, and its errors) and speed_spread.c (distribution
 * of the speeds).
 */
#ifndef MT_DAG_SPEED_INTERNAL_H
#define MT_DAG_SPEED_INTERNAL_H

#include <glib.h>

#include "dag/speed.h"

/** Standard deviation of the prior of a log speed. */
#define MT_SPEED_PRIOR_DEVIATION 0.4

/**
 * First value of mt_speed_model_t.noise, the deviation of the log rates of
 * siblings on servers of equal speed, which is estimated.
 */
#define MT_SPEED_NOISE_FIRST 0.25

/** A speed is known well if the error of its logarithm is below this. */
#define MT_SPEED_KNOWN_ERROR 0.25

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
	mt_shared_name_t name; /**< the key in the model; no reference */
	GPtrArray *runs;       /**< mt_speed_run_t */
	double prior_mean;
	double prior_precision; /**< 1 / variance of the prior */
	/** Time of mt_speed_model_restore(); 0: the usual prior is used. */
	mt_ms_t restored_at;
	double restored_error;
	double log_speed;
	double error; /**< standard error of log_speed */
};

struct mt_speed_model_t {
	GHashTable *servers; /**< id to mt_speed_server_t */
	GHashTable *steps;   /**< mt_speed_step_key_t to mt_speed_step_t */
	double noise;	     /**< see MT_SPEED_NOISE_FIRST */
	bool is_uneven;
};

static inline double mt_speed_square(double x)
{
	return x * x;
}

/* speed.c */

/** Finds a server; one that is missing is added with the usual prior. */
mt_speed_server_t *mt_speed_find_or_add_server(mt_speed_model_t *model,
					       mt_shared_name_t name);

/* speed_samples.c */

/** Drops the samples that are too old, and servers of which nothing is left. */
void mt_speed_drop_old(mt_speed_model_t *model, mt_ms_t now);

/* speed_fit.c */

/** Orders doubles, for qsort() and g_array_sort(). */
int mt_speed_compare_doubles(const void *a, const void *b);

/** Sets the variances of the samples and of restored priors by their age. */
void mt_speed_set_variances(mt_speed_model_t *model, mt_ms_t now);

/** Computes the levels from the speeds, and then the speeds from the levels. */
void mt_speed_iterate(mt_speed_model_t *model);

/** Computes the speeds from the levels; see fit() in speed_fit.c. */
void mt_speed_fit_all(mt_speed_model_t *model);

/** Computes the standard errors of the speeds. */
void mt_speed_update_errors(mt_speed_model_t *model);

/** Estimates the deviation of the log rates from the residuals. */
void mt_speed_update_noise(mt_speed_model_t *model);

/* speed_spread.c */

/**
 * Makes the speeds relative to the median server. The mean of the middle half
 * takes the place of the median, which would jump between two groups of servers
 * of equal size.
 */
void mt_speed_center(mt_speed_model_t *model);

/** Decides whether the servers are uneven. */
void mt_speed_update_is_uneven(mt_speed_model_t *model);

#endif
