/** @file fast_share.c Shares the capacity of fast servers between accounts. */
#include "dag/fast_share.h"

#include <glib.h>
#include <stdlib.h>

/**
 * Accounts are of one level if they differ by no more than this part of an even
 * share. A few tasks more or less then do not change the order of the accounts.
 */
#define LEVEL_PART_OF_SHARE 0.5

/** What one account uses. */
typedef struct mt_fast_use_t {
	double cores;
	unsigned level;
} mt_fast_use_t;

struct mt_fast_share_t {
	double cores;	  /**< capacity of the fast servers */
	GHashTable *uses; /**< name of the account to mt_fast_use_t */
};

mt_fast_share_t *mt_fast_share_new(void)
{
	mt_fast_share_t *share = g_new0(mt_fast_share_t, 1);

	share->uses =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return share;
}

void mt_fast_share_free(mt_fast_share_t *share)
{
	g_hash_table_destroy(share->uses);
	g_free(share);
}

/** Cores that count on a server of this speed. */
static double fast_cores(double speed, double cores)
{
	return cores * MAX(0, speed - 1.0);
}

void mt_fast_share_add_server(mt_fast_share_t *share, double speed,
			      double cores)
{
	share->cores += fast_cores(speed, cores);
}

static mt_fast_use_t *find_or_add(mt_fast_share_t *share, char *account)
{
	mt_fast_use_t *use = g_hash_table_lookup(share->uses, account);

	if (!use) {
		use = g_new0(mt_fast_use_t, 1);
		g_hash_table_insert(share->uses, account, use);
	}
	return use;
}

void mt_fast_share_add_account(mt_fast_share_t *share, char *account)
{
	find_or_add(share, account);
}

void mt_fast_share_add_task(mt_fast_share_t *share, char *account, double speed,
			    double cores)
{
	find_or_add(share, account)->cores += fast_cores(speed, cores);
}

static int compare_uses(const void *a, const void *b)
{
	const mt_fast_use_t *x = *(mt_fast_use_t *const *)a;
	const mt_fast_use_t *y = *(mt_fast_use_t *const *)b;

	return (x->cores > y->cores) - (x->cores < y->cores);
}

/** The uses of all accounts, least first. The caller frees the array. */
static mt_fast_use_t **sort_uses(const mt_fast_share_t *share, guint n_uses)
{
	mt_fast_use_t **uses = g_new(mt_fast_use_t *, n_uses);
	guint n = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, share->uses);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		uses[n++] = value;
	qsort(uses, n, sizeof(mt_fast_use_t *), compare_uses);
	return uses;
}

void mt_fast_share_rank(mt_fast_share_t *share)
{
	guint n_uses = g_hash_table_size(share->uses);
	mt_fast_use_t **uses;
	double step;
	double level_min;
	unsigned level = 0;

	if (!n_uses)
		return;
	uses = sort_uses(share, n_uses);
	step = LEVEL_PART_OF_SHARE * share->cores / n_uses;
	level_min = uses[0]->cores;
	for (guint i = 0; i < n_uses; i++) {
		if (uses[i]->cores > level_min + step) {
			level_min = uses[i]->cores;
			level++;
		}
		uses[i]->level = level;
	}
	g_free(uses);
}

unsigned mt_fast_share_level(const mt_fast_share_t *share, const char *account)
{
	const mt_fast_use_t *use = g_hash_table_lookup(share->uses, account);

	return use ? use->level : 0;
}
