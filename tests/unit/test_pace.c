/** @file test_pace.c Tests of the search for slow servers. */
#include <CUnit/Basic.h>

#include "dag/pace.h"
#include "unit/tests.h"

#define GANG_SIZE 8u

/**
 * Pattern: a seventh of the servers turn slow during a burst. Sound servers
 * differ in speed by half, and the work of siblings by 30%. Only the slow ones
 * are found.
 */
static void slow_servers_are_found_among_siblings(void)
{
	mt_pace_sample_t samples[GANG_SIZE] = {{10, 0},	 {12, 0}, {8, 0},
					       {1.8, 0}, {14, 0}, {11, 0},
					       {9, 0},	 {3, 0}};

	CU_ASSERT_TRUE(mt_pace_compare(samples, GANG_SIZE));
	for (unsigned i = 0; i < GANG_SIZE; i++)
		CU_ASSERT_EQUAL(mt_pace_is_slow(samples[i].ratio),
				i == 3 || i == 7);
}

/** Of three tasks, none can be called the exception. */
static void few_siblings_show_nothing(void)
{
	mt_pace_sample_t samples[] = {{10, 0}, {10, 0}, {1, 0}};

	CU_ASSERT_FALSE(mt_pace_compare(samples, 3));
}

/**
 * A gang that waits for its last member makes no progress, and tasks of minutes
 * make too little for a comparison.
 */
static void slow_progress_of_all_shows_nothing(void)
{
	mt_pace_sample_t waiting[GANG_SIZE] = {{0, 0}};
	mt_pace_sample_t minutes[] = {{1, 0}, {1, 0}, {0, 0}, {1, 0}};

	CU_ASSERT_FALSE(mt_pace_compare(waiting, GANG_SIZE));
	CU_ASSERT_FALSE(mt_pace_compare(minutes, 4));
}

/**
 * A run of 2.5 s (40% per second) on a server that runs at a sixth of that: at
 * the beginning a new run elsewhere ends earlier, near its end it does not.
 * With a checkpoint it does so for longer.
 */
static void a_run_moves_only_if_it_ends_earlier_elsewhere(void)
{
	double ratio = 1.0 / 6;
	double rate = 40 * ratio;

	CU_ASSERT_TRUE(mt_pace_should_restart(10, rate, ratio, false));
	CU_ASSERT_TRUE(mt_pace_should_restart(60, rate, ratio, false));
	CU_ASSERT_FALSE(mt_pace_should_restart(75, rate, ratio, false));
	CU_ASSERT_TRUE(mt_pace_should_restart(75, rate, ratio, true));
	CU_ASSERT_FALSE(mt_pace_should_restart(97, rate, ratio, true));
	CU_ASSERT_FALSE(mt_pace_should_restart(10, 30, 0.75, false));
}

/** A run that stands still moves, however far it is. */
static void a_run_that_stands_still_moves(void)
{
	CU_ASSERT_TRUE(mt_pace_should_restart(0, 0, 0, false));
	CU_ASSERT_TRUE(mt_pace_should_restart(90, 0, 0, false));
}

const mt_test_t mt_pace_tests[] = {
	{"slow servers are found among siblings",
	 slow_servers_are_found_among_siblings},
	{"few siblings show nothing", few_siblings_show_nothing},
	{"slow progress of all shows nothing",
	 slow_progress_of_all_shows_nothing},
	{"a run moves only if it ends earlier elsewhere",
	 a_run_moves_only_if_it_ends_earlier_elsewhere},
	{"a run that stands still moves", a_run_that_stands_still_moves},
	{NULL, NULL},
};
