/**
 * @file random_plan.h
 * Random placement plans with the load of a deployment under contention: racks
 * of 20 servers, urgent gangs, large gangs, and wide steps of single tasks.
 */
#ifndef MT_TESTS_RANDOM_PLAN_H
#define MT_TESTS_RANDOM_PLAN_H

#include "dag/plan.h"

#define MT_RANDOM_PLAN_RACK_SIZE 20u

typedef struct mt_random_plan_t {
	mt_plan_t plan;
	GRand *random;
} mt_random_plan_t;

/** Sizes of a random plan. */
typedef struct mt_random_plan_size_t {
	uint32_t n_servers;
	uint32_t n_units;
	uint32_t n_victims;
} mt_random_plan_size_t;

void mt_random_plan_open(mt_random_plan_t *random_plan, uint32_t seed,
			 const mt_random_plan_size_t *size);
void mt_random_plan_close(mt_random_plan_t *random_plan);

/** Gives the servers speeds of 0.6, 1.0 and 1.6, each with a small error. */
void mt_random_plan_make_uneven(mt_random_plan_t *random_plan);

/** Hash of the results of the plan, by FNV-1a, added to `hash`. */
uint64_t mt_random_plan_hash(const mt_plan_t *plan, uint64_t hash);

#endif
