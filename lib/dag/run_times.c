/**
 * @file run_times.c
 * Predicts the run times of tasks. Medians are used throughout, so that a small
 * share of tasks that take many times as long has no influence.
 */
#include "dag/run_times.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/** The newest run times that are kept per group. */
#define SAMPLES_MAX 64u

/** A group with fewer samples predicts nothing. */
#define SAMPLES_MIN 16u

/** Bounds the memory; the group that was used least recently is dropped. */
#define GROUPS_MAX 512u

/**
 * The estimates of a group are right if the median run time differs from them
 * by less than this factor.
 */
#define RIGHT_FACTOR 1.25

/**
 * The estimates of a group are ignored if the run times as such differ less
 * among each other, by this factor, than their ratios to the estimates.
 */
#define IGNORED_SPREAD_RATIO 0.5

/** With fewer samples, the two spreads cannot be compared. */
#define IGNORED_SAMPLES_MIN 32u

/** Groups of a task, from the most specific one to the most general one. */
#define LEVELS 3u

/** Run times of tasks that have something in common. */
typedef struct mt_run_group_t {
	double log_run[SAMPLES_MAX];   /**< logarithms of run times in ms */
	double log_ratio[SAMPLES_MAX]; /**< of run time / estimate */
	unsigned n_samples;
	unsigned next;	  /**< where the next sample is put */
	uint64_t used_at; /**< mt_run_times_t.n_observed at the last sample */
} mt_run_group_t;

struct mt_run_times_t {
	GHashTable *groups; /**< key, see make_key(), to mt_run_group_t */
	uint64_t n_observed;
};

mt_run_times_t *mt_run_times_new(void)
{
	mt_run_times_t *times = g_new0(mt_run_times_t, 1);

	times->groups =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return times;
}

void mt_run_times_free(mt_run_times_t *times)
{
	g_hash_table_destroy(times->groups);
	g_free(times);
}

void mt_run_times_clear(mt_run_times_t *times)
{
	g_hash_table_remove_all(times->groups);
}

/** Key of the task's group of this level; the caller frees it. */
static char *make_key(const mt_run_kind_t *kind, unsigned level)
{
	switch (level) {
	case 0:
		return g_strdup_printf("%s\n%s\n%s", kind->queue, kind->image,
				       kind->account);
	case 1:
		return g_strdup_printf("%s\n%s", kind->queue, kind->image);
	default:
		return g_strdup(kind->queue);
	}
}

static void drop_least_recently_used(mt_run_times_t *times)
{
	const char *oldest = NULL;
	uint64_t oldest_at = UINT64_MAX;
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, times->groups);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const mt_run_group_t *group = value;

		if (group->used_at < oldest_at) {
			oldest_at = group->used_at;
			oldest = key;
		}
	}
	g_hash_table_remove(times->groups, oldest);
}

/** Finds a group, or adds it; takes ownership of `key`. */
static mt_run_group_t *find_or_add(mt_run_times_t *times, char *key)
{
	mt_run_group_t *group = g_hash_table_lookup(times->groups, key);

	if (group) {
		g_free(key);
		return group;
	}
	if (g_hash_table_size(times->groups) >= GROUPS_MAX)
		drop_least_recently_used(times);
	group = g_new0(mt_run_group_t, 1);
	g_hash_table_insert(times->groups, key, group);
	return group;
}

void mt_run_times_observe(mt_run_times_t *times, const mt_run_kind_t *kind,
			  double estimate_ms, double run_ms)
{
	times->n_observed++;
	for (unsigned level = 0; level < LEVELS; level++) {
		mt_run_group_t *group =
			find_or_add(times, make_key(kind, level));

		group->log_run[group->next] = log(run_ms);
		group->log_ratio[group->next] = log(run_ms / estimate_ms);
		group->next = (group->next + 1) % SAMPLES_MAX;
		group->n_samples = MIN(group->n_samples + 1, SAMPLES_MAX);
		group->used_at = times->n_observed;
	}
}

/** The most specific group of the task with enough samples, or NULL. */
static const mt_run_group_t *find_group(const mt_run_times_t *times,
					const mt_run_kind_t *kind)
{
	for (unsigned level = 0; level < LEVELS; level++) {
		char *key = make_key(kind, level);
		const mt_run_group_t *group =
			g_hash_table_lookup(times->groups, key);

		g_free(key);
		if (group && group->n_samples >= SAMPLES_MIN)
			return group;
	}
	return NULL;
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double quantile(const double *values, unsigned n, double share)
{
	double sorted[SAMPLES_MAX];
	double position = share * (n - 1);
	unsigned index = (unsigned)position;
	double result;

	memcpy(sorted, values, n * sizeof(*values));
	qsort(sorted, n, sizeof(*sorted), compare_doubles);
	result = sorted[index];
	if (index + 1 < n)
		result += (position - index) *
			  (sorted[index + 1] - sorted[index]);
	return result;
}

/** Distance between the quartiles. */
static double spread(const double *values, unsigned n)
{
	return quantile(values, n, 0.75) - quantile(values, n, 0.25);
}

/** True if the run times say more about each other than the estimates do. */
static bool ignores_estimates(const mt_run_group_t *group)
{
	return group->n_samples >= IGNORED_SAMPLES_MIN &&
	       spread(group->log_run, group->n_samples) <
		       IGNORED_SPREAD_RATIO *
			       spread(group->log_ratio, group->n_samples);
}

double mt_run_times_predict(const mt_run_times_t *times,
			    const mt_run_kind_t *kind, double estimate_ms)
{
	const mt_run_group_t *group = find_group(times, kind);
	double log_ratio;

	if (!group)
		return estimate_ms;
	if (ignores_estimates(group))
		return exp(quantile(group->log_run, group->n_samples, 0.5));
	log_ratio = quantile(group->log_ratio, group->n_samples, 0.5);
	if (fabs(log_ratio) < log(RIGHT_FACTOR))
		return estimate_ms;
	return estimate_ms * exp(log_ratio);
}

double mt_run_times_quantile(const mt_run_times_t *times,
			     const mt_run_kind_t *kind, double share)
{
	const mt_run_group_t *group = find_group(times, kind);
	const double *values;

	if (!group)
		return 1;
	values = ignores_estimates(group) ? group->log_run : group->log_ratio;
	return exp(quantile(values, group->n_samples, share) -
		   quantile(values, group->n_samples, 0.5));
}
