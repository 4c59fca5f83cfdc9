/**
 * @file test_fast_share.c
 * Tests of the order of accounts by what they use of the fast servers. Ten
 * servers of 100 cores run at 1.6 times, ten at 0.6 times the usual speed, so
 * that 600 cores count as fast.
 */
#include <CUnit/Basic.h>

#include "dag/fast_share.h"
#include "unit/tests.h"

#define N_ACCOUNTS 3u
#define FAST 1.6
#define SLOW 0.6

static char account_names[N_ACCOUNTS][2] = {"a", "b", "c"};

/** Compares the levels of accounts that use these cores at this speed. */
static void check_levels(double speed, const double *cores,
			 const unsigned *levels)
{
	mt_fast_share_t *share = mt_fast_share_new();

	for (unsigned i = 0; i < 10; i++) {
		mt_fast_share_add_server(share, FAST, 100);
		mt_fast_share_add_server(share, SLOW, 100);
	}
	for (unsigned i = 0; i < N_ACCOUNTS; i++) {
		mt_fast_share_add_account(share, account_names[i]);
		mt_fast_share_add_task(share, account_names[i], speed,
				       cores[i] / 2);
		mt_fast_share_add_task(share, account_names[i], speed,
				       cores[i] / 2);
	}
	mt_fast_share_rank(share);
	for (unsigned i = 0; i < N_ACCOUNTS; i++)
		CU_ASSERT_EQUAL(mt_fast_share_level(share, account_names[i]),
				levels[i]);
	CU_ASSERT_EQUAL(mt_fast_share_level(share, "unknown"), 0);
	mt_fast_share_free(share);
}

/** Guards against: the account that has least does not come first. */
static void accounts_are_ranked_by_their_use(void)
{
	check_levels(FAST, (double[]){900, 0, 400}, (unsigned[]){2, 0, 1});
	check_levels(FAST, (double[]){0, 400, 500}, (unsigned[]){0, 1, 1});
}

/**
 * Guards against: the order of accounts that use about the same changes with
 * each task, and with it the order of their jobs.
 */
static void accounts_of_about_equal_use_are_of_one_level(void)
{
	check_levels(FAST, (double[]){330, 250, 400}, (unsigned[]){0, 0, 0});
	check_levels(FAST, (double[]){160, 0, 10}, (unsigned[]){0, 0, 0});
}

/** Guards against: work on slow servers counts as a use of the fast ones. */
static void work_on_slow_servers_does_not_count(void)
{
	check_levels(SLOW, (double[]){900, 0, 400}, (unsigned[]){0, 0, 0});
	check_levels(1, (double[]){900, 0, 400}, (unsigned[]){0, 0, 0});
}

/** Guards against: an empty service ends the process. */
static void nothing_has_no_order(void)
{
	mt_fast_share_t *share = mt_fast_share_new();

	mt_fast_share_rank(share);
	CU_ASSERT_EQUAL(mt_fast_share_level(share, "a"), 0);
	mt_fast_share_free(share);
}

const mt_test_t mt_fast_share_tests[] = {
	{"accounts are ranked by their use", accounts_are_ranked_by_their_use},
	{"accounts of about equal use are of one level",
	 accounts_of_about_equal_use_are_of_one_level},
	{"work on slow servers does not count",
	 work_on_slow_servers_does_not_count},
	{"nothing has no order", nothing_has_no_order},
	{NULL, NULL},
};
