/**
 * @file test_mutated_input.c
 * Feeds random mutations of valid input to the decoders of the platform's
 * formats (platform/). The decoders must neither crash nor leak memory, which
 * the build with sanitizers checks, and what they accept must be complete. The
 * random source has a fixed seed, so that failures can be reproduced.
 */
#include <CUnit/CUnit.h>
#include <string.h>

#include "dag/table.h"
#include "platform/config_json.h"
#include "platform/backend_json.h"
#include "platform/store_http.h"
#include "unit/tests.h"

#define SEED 20261204u
#define ROUNDS 4000u
#define MUTATIONS_MAX 4

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

/**
 * Applies up to MUTATIONS_MAX changes. Each replaces a byte, removes one,
 * truncates the data or appends a copy of one of its bytes.
 */
static GByteArray *mutate(GRand *rand, const void *data, size_t len)
{
	GByteArray *out = g_byte_array_new();
	int mutations = g_rand_int_range(rand, 0, MUTATIONS_MAX + 1);

	g_byte_array_append(out, data, (guint)len);
	while (mutations-- > 0 && out->len > 1) {
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

static void check_report(mt_str_t text)
{
	mt_store_record_t record = {MT_STR("i-1"), text, 0};
	mt_backend_info_t info = {0};

	if (!mt_server_list_format.decode(&record, &info)) {
		CU_ASSERT_TRUE_FATAL(info.target.port != 0);
		CU_ASSERT_TRUE_FATAL(info.service.len <=
				     MT_SHARED_NAME_MAX_BYTES);
	}
	mt_backend_info_clear(&info);
}

static void check_config(mt_str_t text)
{
	mt_catalog_free(mt_config_decode(text));
}

static void check_job(mt_str_t text)
{
	MtDag__Job *job = mt_job_decode(text);

	if (!job)
		return;
	CU_ASSERT_TRUE_FATAL(job->n_steps > 0);
	mt_dag__job__free_unpacked(job, NULL);
}

typedef void (*mt_check_cb)(mt_str_t text);

static void mutate_all(const char *const *corpus, size_t count, mt_check_cb cb)
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

static void mutated_reports(void)
{
	mutate_all(reports, G_N_ELEMENTS(reports), check_report);
}

static void mutated_configs(void)
{
	mutate_all(configs, G_N_ELEMENTS(configs), check_config);
}

static void mutated_jobs(void)
{
	mutate_all(jobs, G_N_ELEMENTS(jobs), check_job);
}

/** Encodes a page of the store that holds one job record. */
static GByteArray *make_page(void)
{
	MtDag__Job *job = mt_job_decode(mt_str_from(jobs[0]));
	GBytes *packed = mt_dag_pack(&job->base);
	mt_record_key_t key = mt_record_key(MT_RECORD_JOB, 1);
	mt_store_record_t record = {mt_str_from(key.text),
				    mt_bytes_view(packed), 0};
	GByteArray *frames = mt_store_http_frame(&record, 1);
	guint8 header[16] = {0};

	/* Two 64-bit big-endian offsets: the topic's end (1) and its oldest
	 * readable record (0). */
	header[7] = 1;
	g_byte_array_prepend(frames, header, sizeof(header));
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

static void mutated_pages(void)
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
	{"mutated reports yield no incomplete server", mutated_reports},
	{"mutated configurations are handled safely", mutated_configs},
	{"mutated jobs are handled safely", mutated_jobs},
	{"mutated pages are handled safely", mutated_pages},
	{NULL, NULL},
};
