/**
 * @file test_mutated_input.c
 * Decoders of the adapter on damaged input: seeded mutations of good texts.
 * They must neither crash nor leak, which the sanitized build checks, and a
 * server's report that is taken must be whole.
 */
#include <CUnit/CUnit.h>
#include <string.h>

#include "dag/table.h"
#include "platform/config_json.h"
#include "platform/backend_http.h"
#include "platform/store_http.h"
#include "unit/tests.h"

#define SEED 20261204u
#define ROUNDS 4000u
#define CHANGES_MAX 4

static const char *const reports[] = {
	"{\"service\":\"s\",\"address\":\"10.1.0.9:8080\",\"zone\":\"z\","
	"\"slots\":8,\"state\":\"ready\",\"capacity\":{\"cpu\":16000,"
	"\"mem_mb\":32768,\"gpu\":2},\"labels\":[\"a\",\"r1-3\"],\"born\":17}",
};

static const char *const configs[] = {
	"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
	"\"path_prefix\":\"/p/\",\"priority\":0,\"service\":\"s\","
	"\"max_attempts\":4,\"slack_factor\":1.5,\"advice\":{\"decision_ms\":"
	"5,\"per_worker_ms\":1}}],\"services\":[{\"name\":\"s\",\"standby\":"
	"true}],\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\"],"
	"\"guaranteed\":{\"gpu\":72}}]}",
};

static const char *const jobs[] = {
	"{\"spec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":256,"
	"\"estimate_ms\":900},{\"count\":2,\"gpu\":8,\"depends_on\":[0],"
	"\"gang\":true,\"requirements\":[\"a\"]}],\"repeat_count\":2,"
	"\"start_at_ms\":17,\"interval_ms\":5}",
};

/** Replaces, drops or doubles a few bytes. */
static GByteArray *mutate(GRand *rand, const void *data, size_t len)
{
	GByteArray *out = g_byte_array_new();
	int changes = g_rand_int_range(rand, 0, CHANGES_MAX + 1);

	g_byte_array_append(out, data, (guint)len);
	while (changes-- > 0 && out->len > 1) {
		guint at = (guint)g_rand_int_range(rand, 0, (gint32)out->len);
		int kind = g_rand_int_range(rand, 0, 4);

		if (kind == 0)
			out->data[at] = (guint8)g_rand_int(rand);
		else if (kind == 1)
			g_byte_array_remove_index(out, at);
		else if (kind == 2)
			g_byte_array_set_size(out, at);
		else
			g_byte_array_append(out, &(guint8){out->data[at]}, 1);
	}
	return out;
}

static mt_str_t view_of(const GByteArray *bytes)
{
	return (mt_str_t){(const char *)bytes->data, bytes->len};
}

static void try_report(mt_str_t text)
{
	mt_store_record_t record = {MT_STR("i-1"), text, 0};
	mt_backend_info_t info = {0};

	if (!mt_server_report_format.decode(&record, &info))
		return;
	CU_ASSERT_TRUE_FATAL(info.target.port != 0);
	CU_ASSERT_TRUE_FATAL(info.service.len <= MT_NAME_MAX_BYTES);
}

static void try_config(mt_str_t text)
{
	mt_catalog_free(mt_config_decode(text));
}

static void try_job(mt_str_t text)
{
	MtDag__Job *job = mt_job_decode(text);

	if (!job)
		return;
	CU_ASSERT_TRUE_FATAL(job->n_steps > 0);
	mt_dag__job__free_unpacked(job, NULL);
}

typedef void (*mt_try_cb)(mt_str_t text);

static void mutate_all(const char *const *corpus, size_t count, mt_try_cb cb)
{
	GRand *rand = g_rand_new_with_seed(SEED);

	for (unsigned round = 0; round < ROUNDS; round++) {
		const char *text = corpus[round % count];
		GByteArray *bytes = mutate(rand, text, strlen(text));

		cb(view_of(bytes));
		g_byte_array_unref(bytes);
	}
	g_rand_free(rand);
}

static void damaged_reports(void)
{
	mutate_all(reports, G_N_ELEMENTS(reports), try_report);
}

static void damaged_configs(void)
{
	mutate_all(configs, G_N_ELEMENTS(configs), try_config);
}

static void damaged_jobs(void)
{
	mutate_all(jobs, G_N_ELEMENTS(jobs), try_job);
}

/** A page of the store with one job record. */
static GByteArray *make_page(void)
{
	MtDag__Job *job = mt_job_decode(mt_str_from(jobs[0]));
	GBytes *packed = mt_dag_pack(&job->base);
	mt_record_key_t key = mt_record_key(MT_RECORD_JOB, 1);
	mt_store_record_t record = {mt_str_from(key.text),
				    mt_bytes_view(packed), 0};
	GByteArray *frames = mt_store_http_frame(&record, 1);
	guint8 head[16] = {0};

	head[7] = 1;
	g_byte_array_prepend(frames, head, sizeof(head));
	g_bytes_unref(packed);
	mt_dag__job__free_unpacked(job, NULL);
	return frames;
}

static void ignore_line(void *ctx, mt_log_level_t level, const char *service,
			const char *message)
{
	(void)ctx;
	(void)level;
	(void)service;
	(void)message;
}

static void damaged_pages(void)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	mt_timers_t *timers = mt_timers_new(1);
	mt_kernel_t *kernel = mt_kernel_new("mutated", timers, 1);
	mt_table_t *table = mt_table_new(kernel);
	GByteArray *page = make_page();

	mt_kernel_set_sink(kernel, ignore_line, NULL);
	for (unsigned round = 0; round < ROUNDS; round++) {
		GByteArray *bytes = mutate(rand, page->data, page->len);
		GArray *records =
			g_array_new(FALSE, FALSE, sizeof(mt_store_record_t));
		uint64_t end;

		mt_store_http_parse(view_of(bytes), 0, records, &end);
		for (guint i = 0; i < records->len; i++)
			mt_table_apply(
				table,
				&g_array_index(records, mt_store_record_t, i));
		g_array_unref(records);
		g_byte_array_unref(bytes);
	}
	g_byte_array_unref(page);
	mt_table_free(table);
	mt_kernel_free(kernel);
	mt_timers_free(timers);
	g_rand_free(rand);
}

const mt_test_t mt_mutated_input_tests[] = {
	{"damaged reports name no half server", damaged_reports},
	{"damaged configurations do no harm", damaged_configs},
	{"damaged jobs do no harm", damaged_jobs},
	{"damaged pages do no harm", damaged_pages},
	{NULL, NULL},
};
