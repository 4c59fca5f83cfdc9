/**
 * @file bench.h
 * Simulation of one data centre under a seeded stream of arrivals, scheduled by
 * mt_decide() with one of its algorithms.
 */
#ifndef MT_TESTS_BENCH_H
#define MT_TESTS_BENCH_H

#include "decide/decide.h"

/** Classes of jobs, by urgency, size and whether they may run again. */
typedef enum mt_bench_class_t {
	MT_BENCH_URGENT,
	MT_BENCH_SMALL,
	MT_BENCH_MEDIUM,
	MT_BENCH_LARGE,
	MT_BENCH_NOT_IDEMPOTENT, /**< printed as "once" */
	MT_BENCH_CLASSES
} mt_bench_class_t;

/** Parameters of one class of jobs in a deployment. */
typedef struct mt_bench_class_params_t {
	uint32_t share; /**< per mille of the jobs */
	uint32_t members;
	uint32_t accelerators; /**< per member */
	uint32_t run_min_s;
	uint32_t run_max_s;
	uint32_t value; /**< of a finished job */
	bool idempotent;
	bool checkpointable;
} mt_bench_class_params_t;

/** Policy and load of one simulated deployment. */
typedef struct mt_deployment_t {
	const char *name;
	mt_policy_t policy;
	mt_bench_class_params_t classes[MT_BENCH_CLASSES];
	/** Mean. An arrival is one job or a burst; see generate_arrivals(). */
	uint32_t arrivals_per_hour;
} mt_deployment_t;

/**
 * Results of one simulation with one algorithm. "Stranded" accelerators are
 * free while the largest waiting job does not fit into them.
 */
typedef struct mt_bench_result_t {
	/**
	 * Of double: time from arrival to end. Unfinished jobs count with the
	 * time until the end of the simulation, jobs that were lost with their
	 * server do not count.
	 */
	GArray *completion_s[MT_BENCH_CLASSES];
	GArray *urgent_start_s;	  /**< of double; from arrival to first start */
	GArray *guarantee_wait_s; /**< of double; time for which a guarantee
				     covered the waiting job (see
				     mt_guarantee_covered_jobs()) before it
				     started */
	double value;		  /**< of all finished jobs */
	double stranded_s;	  /**< stranded accelerator seconds */
	double idle_s;	/**< free accelerator seconds while jobs wait */
	double total_s; /**< accelerator seconds of all servers */
	double large_completion_max_s; /**< longest of a large job */
	uint32_t finished;
	uint32_t unfinished; /**< jobs that have not ended */
	uint32_t reclaims;   /**< runs stopped to free capacity */
} mt_bench_result_t;

extern const mt_deployment_t mt_deployments[];

/** Runs one simulation. The caller clears the result. */
void mt_bench_run(const mt_deployment_t *deployment, mt_algorithm_t algorithm,
		  guint32 seed, mt_bench_result_t *result);
void mt_bench_result_clear(mt_bench_result_t *result);

#endif
