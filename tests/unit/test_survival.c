/**
 * @file test_survival.c
 * Tests of the estimated probability that a task ends before it is preempted.
 * The load is a service full of batch tasks, which are preempted again and
 * again for bursts of urgent jobs.
 */
#include <CUnit/Basic.h>

#include "dag/survival.h"
#include "unit/tests.h"

#define URGENT 0u
#define BATCH 2u
#define TASK_S 6.0

/** Lets `tasks` batch tasks run and preempts `stops_per_s` each second. */
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

static void without_observations_survival_is_certain(void)
{
	mt_survival_t survival = {0};

	CU_ASSERT_EQUAL(mt_survival_probability(&survival, BATCH, TASK_S), 1.0);
}

static void one_early_preemption_has_little_weight(void)
{
	mt_survival_t survival = {0};

	mt_survival_add_preemption(&survival, BATCH);
	CU_ASSERT(mt_survival_probability(&survival, BATCH, TASK_S) > 0.7);
}

/**
 * 300 tasks of 6 s run and 60 are preempted each second: about one in three
 * would end before it is preempted.
 */
static void preemptions_lower_the_probability_of_long_tasks(void)
{
	mt_survival_t survival = {0};

	run_batch(&survival, 20, 300, 60);
	CU_ASSERT(mt_survival_probability(&survival, BATCH, TASK_S) < 0.4);
	CU_ASSERT(mt_survival_probability(&survival, BATCH, 0.5) > 0.85);
	CU_ASSERT_EQUAL(mt_survival_probability(&survival, URGENT, TASK_S),
			1.0);
}

/**
 * While batch tasks are not started there are no new observations; the
 * probability must rise again, or they would never be retried.
 */
static void the_probability_recovers_without_running_tasks(void)
{
	mt_survival_t survival = {0};

	run_batch(&survival, 20, 300, 60);
	run_batch(&survival, 30, 0, 0);
	CU_ASSERT(mt_survival_probability(&survival, BATCH, TASK_S) > 0.7);
}

/**
 * Observations are kept apart for MT_SURVIVAL_LEVEL_COUNT priorities; all
 * larger priority numbers share those of the last one.
 */
static void large_priority_numbers_share_observations(void)
{
	mt_survival_t survival = {0};

	mt_survival_add_running_time(&survival, 100, 10);
	mt_survival_add_preemption(&survival, MT_SURVIVAL_LEVEL_COUNT - 1);
	CU_ASSERT(mt_survival_probability(&survival, 100, TASK_S) < 1.0);
	CU_ASSERT_EQUAL(mt_survival_probability(&survival, 100, TASK_S),
			mt_survival_probability(&survival, UINT32_MAX, TASK_S));
}

const mt_test_t mt_survival_tests[] = {
	{"without observations survival is certain",
	 without_observations_survival_is_certain},
	{"one early preemption has little weight",
	 one_early_preemption_has_little_weight},
	{"preemptions lower the probability of long tasks",
	 preemptions_lower_the_probability_of_long_tasks},
	{"the probability recovers without running tasks",
	 the_probability_recovers_without_running_tasks},
	{"large priority numbers share observations",
	 large_priority_numbers_share_observations},
	{NULL, NULL},
};
