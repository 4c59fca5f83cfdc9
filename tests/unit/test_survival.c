/**
 * @file test_survival.c
 * The load behind lib/dag/survival: urgent jobs that come and go over a
 * service full of batch tasks, which are stopped for them again and again.
 */
#include <CUnit/Basic.h>

#include "dag/survival.h"
#include "unit/tests.h"

#define URGENT 0u
#define BATCH 2u
#define TASK_S 6.0

/** `tasks` batch tasks run for `seconds`, and so many a second are stopped. */
static void run_batch(mt_survival_t *survival, unsigned seconds, unsigned tasks,
		      unsigned stops_per_s)
{
	while (seconds-- > 0) {
		mt_survival_decay(survival, 1);
		mt_survival_add_running_time(survival, BATCH, tasks);
		for (unsigned i = 0; i < stops_per_s; i++)
			mt_survival_add_preemption(survival, BATCH);
	}
}

static void nothing_is_held_back_at_first(void)
{
	mt_survival_t survival = {0};

	CU_ASSERT_EQUAL(mt_survival_probability(&survival, BATCH, TASK_S), 1.0);
}

static void a_few_early_stops_prove_little(void)
{
	mt_survival_t survival = {0};

	mt_survival_add_preemption(&survival, BATCH);
	CU_ASSERT(mt_survival_probability(&survival, BATCH, TASK_S) > 0.7);
}

/** 300 tasks of 6 s, 60 stopped a second: one in three would end. */
static void urgent_waves_lower_the_chance_of_batch_tasks(void)
{
	mt_survival_t survival = {0};

	run_batch(&survival, 20, 300, 60);
	CU_ASSERT(mt_survival_probability(&survival, BATCH, TASK_S) < 0.4);
	CU_ASSERT(mt_survival_probability(&survival, BATCH, 0.5) > 0.85);
	CU_ASSERT_EQUAL(mt_survival_probability(&survival, URGENT, TASK_S),
			1.0);
}

/** Held back, no batch task runs: the chance has to rise again. */
static void a_held_back_priority_is_tried_again(void)
{
	mt_survival_t survival = {0};

	run_batch(&survival, 20, 300, 60);
	run_batch(&survival, 30, 0, 0);
	CU_ASSERT(mt_survival_probability(&survival, BATCH, TASK_S) > 0.7);
}

static void priorities_beyond_the_last_level_share_it(void)
{
	mt_survival_t survival = {0};

	mt_survival_add_running_time(&survival, 100, 10);
	mt_survival_add_preemption(&survival, MT_SURVIVAL_LEVELS - 1);
	CU_ASSERT(mt_survival_probability(&survival, 100, TASK_S) < 1.0);
	CU_ASSERT_EQUAL(mt_survival_probability(&survival, 100, TASK_S),
			mt_survival_probability(&survival, UINT32_MAX, TASK_S));
}

const mt_test_t mt_survival_tests[] = {
	{"nothing is held back at first", nothing_is_held_back_at_first},
	{"a few early stops prove little", a_few_early_stops_prove_little},
	{"urgent waves lower the chance of batch tasks",
	 urgent_waves_lower_the_chance_of_batch_tasks},
	{"a held back priority is tried again",
	 a_held_back_priority_is_tried_again},
	{"priorities beyond the last level share it",
	 priorities_beyond_the_last_level_share_it},
	{NULL, NULL},
};
