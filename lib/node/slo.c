/** @file slo.c Counts good and bad events per account and objective. */
#include "node/slo.h"

#define MINUTE_MS 60000u

typedef struct mt_bucket_t {
	uint64_t minute;
	uint64_t good;
	uint64_t bad;
} mt_bucket_t;

typedef struct mt_event_counts_t {
	uint64_t good;
	uint64_t bad;
	mt_bucket_t buckets[MT_SLO_LONG_MINUTES];
} mt_event_counts_t;

typedef struct mt_account_slo_t {
	mt_event_counts_t by_objective[MT_SLO_OBJECTIVE_COUNT];
} mt_account_slo_t;

struct mt_slo_t {
	mt_kernel_t *kernel;
	GHashTable *accounts; /**< account name to mt_account_slo_t */
};

const char *mt_objective_name(mt_objective_t objective)
{
	static const char *const names[MT_SLO_OBJECTIVE_COUNT] = {
		"guarantee", "deadline", "truthful", "urgent"};

	return names[objective];
}

mt_slo_t *mt_slo_new(mt_kernel_t *kernel)
{
	mt_slo_t *slo = g_new0(mt_slo_t, 1);

	slo->kernel = kernel;
	slo->accounts = g_hash_table_new_full(mt_name_hash, mt_name_key_equal,
					      g_free, g_free);
	return slo;
}

void mt_slo_free(mt_slo_t *slo)
{
	if (!slo)
		return;
	g_hash_table_destroy(slo->accounts);
	g_free(slo);
}

static uint64_t current_minute(const mt_slo_t *slo)
{
	/* Counted from 1, since 0 marks an unused bucket. */
	return mt_kernel_now(slo->kernel) / MINUTE_MS + 1;
}

static mt_account_slo_t *ensure_account(mt_slo_t *slo, const mt_name_t *name)
{
	mt_account_slo_t *account = g_hash_table_lookup(slo->accounts, name);

	if (!account) {
		account = g_new0(mt_account_slo_t, 1);
		g_hash_table_insert(slo->accounts, mt_name_dup(name), account);
	}
	return account;
}

void mt_slo_record(mt_slo_t *slo, const mt_name_t *account,
		   mt_objective_t objective, bool good)
{
	uint64_t minute = current_minute(slo);
	mt_event_counts_t *counts =
		&ensure_account(slo, account)->by_objective[objective];
	mt_bucket_t *bucket = &counts->buckets[minute % MT_SLO_LONG_MINUTES];

	if (bucket->minute != minute)
		*bucket = (mt_bucket_t){minute, 0, 0};
	if (good) {
		counts->good++;
		bucket->good++;
	} else {
		counts->bad++;
		bucket->bad++;
	}
	mt_kernel_count(slo->kernel,
			"slo_events_total{account=\"%s\",objective=\"%s\","
			"good=\"%d\"}",
			account->text, mt_objective_name(objective), good);
}

static mt_bucket_t sum_window(const mt_event_counts_t *counts, uint64_t now,
			      uint64_t minutes)
{
	mt_bucket_t sum = {0};

	for (guint i = 0; i < MT_SLO_LONG_MINUTES; i++) {
		const mt_bucket_t *bucket = &counts->buckets[i];

		if (!bucket->minute || bucket->minute + minutes <= now)
			continue;
		sum.good += bucket->good;
		sum.bad += bucket->bad;
	}
	return sum;
}

static json_t *counts_to_json(const mt_event_counts_t *counts, uint64_t now)
{
	mt_bucket_t shorter = sum_window(counts, now, MT_SLO_SHORT_MINUTES);
	mt_bucket_t longer = sum_window(counts, now, MT_SLO_LONG_MINUTES);

	return json_pack(
		"{s:I, s:I, s:I, s:I, s:I, s:I}", "good",
		(json_int_t)counts->good, "bad", (json_int_t)counts->bad,
		"short_good", (json_int_t)shorter.good, "short_bad",
		(json_int_t)shorter.bad, "long_good", (json_int_t)longer.good,
		"long_bad", (json_int_t)longer.bad);
}

json_t *mt_slo_report(const mt_slo_t *slo)
{
	json_t *report = json_object();
	uint64_t now = current_minute(slo);
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, slo->accounts);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const mt_account_slo_t *account = value;
		json_t *objectives = json_object();

		for (int i = 0; i < MT_SLO_OBJECTIVE_COUNT; i++)
			json_object_set_new(
				objectives,
				mt_objective_name((mt_objective_t)i),
				counts_to_json(&account->by_objective[i], now));
		json_object_set_new(report, ((mt_name_t *)key)->text,
				    objectives);
	}
	return report;
}
