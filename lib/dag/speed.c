/** @file speed.c How fast the servers of each data centre run. */
#include "dag/speed.h"

#include <math.h>

/** Tasks that must have ended in a data centre before it is judged. */
#define SAMPLES_MIN 8u

/** Weight of a new sample once enough are known. */
#define SAMPLE_WEIGHT 0.05

/** Beyond this ratio, either way, an estimate says nothing about speed. */
#define RATIO_MAX 4.0

#define PERMILLE 1000.0

typedef struct mt_dc_speed_t {
	unsigned samples;
	double log_ratio; /**< mean of the logarithm of taken over estimated */
} mt_dc_speed_t;

struct mt_speed_t {
	GHashTable *dcs; /**< mt_name_t to mt_dc_speed_t */
};

mt_speed_t *mt_speed_new(void)
{
	mt_speed_t *speed = g_new0(mt_speed_t, 1);

	speed->dcs = g_hash_table_new_full(mt_name_hash, mt_name_key_equal,
					   g_free, g_free);
	return speed;
}

void mt_speed_free(mt_speed_t *speed)
{
	g_hash_table_destroy(speed->dcs);
	g_free(speed);
}

void mt_speed_note(mt_speed_t *speed, const mt_name_t *dc, uint32_t took_ms,
		   uint32_t estimate_ms)
{
	mt_dc_speed_t *known = g_hash_table_lookup(speed->dcs, dc);
	double ratio;
	double weight;

	if (!took_ms || !estimate_ms)
		return;
	ratio = (double)took_ms / estimate_ms;
	if (ratio > RATIO_MAX || ratio < 1 / RATIO_MAX)
		return;
	if (!known) {
		known = g_new0(mt_dc_speed_t, 1);
		g_hash_table_insert(speed->dcs, mt_name_dup(dc), known);
	}
	known->samples++;
	weight = MAX(1.0 / known->samples, SAMPLE_WEIGHT);
	known->log_ratio += weight * (log(ratio) - known->log_ratio);
}

uint32_t mt_speed_slowness(const mt_speed_t *speed, const mt_name_t *dc)
{
	const mt_dc_speed_t *known = g_hash_table_lookup(speed->dcs, dc);
	double fastest = HUGE_VAL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, speed->dcs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_dc_speed_t *other = value;

		if (other->samples >= SAMPLES_MIN)
			fastest = MIN(fastest, other->log_ratio);
	}
	if (!known || known->samples < SAMPLES_MIN)
		return (uint32_t)PERMILLE;
	return (uint32_t)(PERMILLE * exp(known->log_ratio - fastest));
}
