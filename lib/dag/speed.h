/**
 * @file speed.h
 * Estimates the relative speeds of the servers of one service from the rates of
 * progress of their runs. Tasks of one step do nearly the same work, so that
 * their rates can be compared, whereas the estimates of run times are too rough
 * for this. Performs no I/O and reads no clock.
 */
#ifndef MT_DAG_SPEED_H
#define MT_DAG_SPEED_H

#include <stdbool.h>

#include "kernel/shared_name.h"
#include "kernel/timers.h"

/** Mean rate of progress of one run. */
typedef struct mt_speed_sample_t {
	/** The step: runs with the same job, occurrence and step are siblings.
	 */
	uint64_t job;
	uint32_t occurrence;
	uint32_t step;
	uint32_t task;		 /**< index of the task in its step */
	uint32_t run;		 /**< number of the run */
	mt_shared_name_t server; /**< id of the server; no reference */
	double rate;		 /**< percent of the work per second, above 0 */
	mt_ms_t at;		 /**< time of the observation */
	/** Standard error of the natural logarithm of `rate` that results from
	 * how it was measured; 0: it is exact. */
	double error;
	/** The run has done all its work by `at`, so that its rate is at least
	 * `rate`. Such a sample never replaces one with an exact rate. */
	bool is_minimum;
} mt_speed_sample_t;

/** What a model knows. */
typedef struct mt_speed_summary_t {
	unsigned n_known; /**< servers whose speeds are known well */
	double p10;	  /**< quantiles of the speeds of these servers */
	double p50;
	double p90;
} mt_speed_summary_t;

/** Receives the speed of a server and the standard error of its logarithm. */
typedef void (*mt_speed_cb)(void *ctx, mt_shared_name_t server, double speed,
			    double error);

typedef struct mt_speed_model_t mt_speed_model_t;

mt_speed_model_t *mt_speed_model_new(void);
void mt_speed_model_free(mt_speed_model_t *model);

/** Adds a sample; it replaces an earlier sample of the same run. */
void mt_speed_model_observe(mt_speed_model_t *model,
			    const mt_speed_sample_t *sample);

/** Computes the speeds anew from the samples. */
void mt_speed_model_update(mt_speed_model_t *model, mt_ms_t now);

/**
 * Speed of the server relative to the median server. 1.0 if it is not known, or
 * if the servers are not uneven.
 */
double mt_speed_model_speed(const mt_speed_model_t *model,
			    mt_shared_name_t server);

/**
 * Standard error of the natural logarithm of the server's speed: 0.4 if there
 * are no samples, below 0.25 if the speed is known well.
 */
double mt_speed_model_error(const mt_speed_model_t *model,
			    mt_shared_name_t server);

/** True if the servers' speeds differ enough to be used in placements. */
bool mt_speed_model_is_uneven(const mt_speed_model_t *model);

/** Forgets a server, for example because its process has restarted. */
void mt_speed_model_forget(mt_speed_model_t *model, mt_shared_name_t server);

/** Quantiles of the speeds, also if the servers are not uneven. */
mt_speed_summary_t mt_speed_model_summary(const mt_speed_model_t *model);

/**
 * Calls `cb` for each server whose speed is known well. Does nothing if the
 * servers are not uneven.
 */
void mt_speed_model_each(const mt_speed_model_t *model, mt_speed_cb cb,
			 void *ctx);

/**
 * Sets the speed of a server that another model has reported to
 * mt_speed_model_each(). Samples of this model change it further. To be called
 * before the first sample of the server; mt_speed_model_update() then decides
 * whether the servers are uneven.
 */
void mt_speed_model_restore(mt_speed_model_t *model, mt_shared_name_t server,
			    double speed, double error, mt_ms_t now);

#endif
