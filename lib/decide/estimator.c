/** @file estimator.c Learned ratios of actual to declared use. */
#include "decide/estimator.h"

/** Weight of the newest observation in the moving average. */
#define NEWEST_WEIGHT 0.25

/**
 * Bounds of an observed ratio, so that one outlier does not distort the
 * estimates for a kind of job. RATIO_MAX also bounds the ratio after an
 * overrun.
 */
#define RATIO_MIN 0.05
#define RATIO_MAX 20.0

/** Memory to grant after an overrun, relative to what the task had used. */
#define OVERRUN_MARGIN 1.1

/** Moving averages of the ratio of actual to declared use. */
typedef struct mt_ratios_t {
	double run; /**< of run times */
	double memory;
} mt_ratios_t;

struct mt_estimator_t {
	GHashTable *ratios; /**< "account/kind" to mt_ratios_t */
};

mt_estimator_t *mt_estimator_new(void)
{
	mt_estimator_t *estimator = g_new0(mt_estimator_t, 1);

	estimator->ratios =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return estimator;
}

void mt_estimator_free(mt_estimator_t *estimator)
{
	if (!estimator)
		return;
	g_hash_table_destroy(estimator->ratios);
	g_free(estimator);
}

static char *make_key(const mt_name_t *account, const char *kind)
{
	return g_strdup_printf("%s/%s", account->text, kind);
}

static mt_ratios_t *find_ratios(const mt_estimator_t *estimator,
				const mt_name_t *account, const char *kind)
{
	char *key = make_key(account, kind);
	mt_ratios_t *ratios = g_hash_table_lookup(estimator->ratios, key);

	g_free(key);
	return ratios;
}

static mt_ratios_t *ensure_ratios(mt_estimator_t *estimator,
				  const mt_name_t *account, const char *kind)
{
	mt_ratios_t *ratios = find_ratios(estimator, account, kind);

	if (!ratios) {
		ratios = g_new0(mt_ratios_t, 1);
		ratios->run = 1;
		ratios->memory = 1;
		g_hash_table_insert(estimator->ratios, make_key(account, kind),
				    ratios);
	}
	return ratios;
}

static void update_ratio(double *ratio, double declared, double actual)
{
	double observed =
		CLAMP(actual / MAX(declared, 1), RATIO_MIN, RATIO_MAX);

	*ratio += NEWEST_WEIGHT * (observed - *ratio);
}

void mt_estimator_observe_run(mt_estimator_t *estimator,
			      const mt_name_t *account, const char *kind,
			      mt_ms_t declared_ms, mt_ms_t actual_ms)
{
	update_ratio(&ensure_ratios(estimator, account, kind)->run,
		     (double)declared_ms, (double)actual_ms);
}

void mt_estimator_observe_memory(mt_estimator_t *estimator,
				 const mt_name_t *account, const char *kind,
				 uint32_t declared_mb, uint32_t used_mb)
{
	update_ratio(&ensure_ratios(estimator, account, kind)->memory,
		     declared_mb, used_mb);
}

void mt_estimator_observe_memory_overrun(mt_estimator_t *estimator,
					 const mt_name_t *account,
					 const char *kind, uint32_t declared_mb,
					 uint32_t used_mb)
{
	mt_ratios_t *ratios = ensure_ratios(estimator, account, kind);
	double needed = OVERRUN_MARGIN * used_mb / MAX(declared_mb, 1);

	ratios->memory = CLAMP(needed, ratios->memory, RATIO_MAX);
}

mt_ms_t mt_estimator_expected_run(const mt_estimator_t *estimator,
				  const mt_name_t *account, const char *kind,
				  mt_ms_t declared_ms)
{
	const mt_ratios_t *ratios = find_ratios(estimator, account, kind);
	double ratio = ratios ? ratios->run : 1;

	return MAX(1, (mt_ms_t)((double)declared_ms * ratio));
}

uint32_t mt_estimator_memory_mb(const mt_estimator_t *estimator,
				const mt_name_t *account, const char *kind,
				uint32_t declared_mb)
{
	const mt_ratios_t *ratios = find_ratios(estimator, account, kind);
	double ratio = ratios ? MAX(1, ratios->memory) : 1;

	return (uint32_t)(declared_mb * ratio);
}
