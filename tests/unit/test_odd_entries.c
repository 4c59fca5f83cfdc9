/**
 * @file test_odd_entries.c
 * Leaves one odd entry, from a seeded generator, among valid ones in each list
 * that others write. It must cost only itself. The build with sanitizers checks
 * that the decoders handle it safely.
 */
#include <CUnit/Basic.h>
#include <string.h>

#include "dag/directory.h"
#include "dag/job_model.h"
#include "net/json_util.h"
#include "platform/backend_json.h"
#include "platform/config_json.h"
#include "platform/store_http.h"
#include "unit/list_store.h"
#include "unit/odd_json.h"
#include "unit/engine_fixture.h"
#include "unit/tests.h"

#define SEED 20261205u
#define ROUNDS 1500u

#define REPORT                                                                 \
	"{\"service\":\"s\",\"address\":\"10.1.0.9:8080\",\"zone\":\"z\","     \
	"\"state\":\"ready\",\"capacity\":{\"cpu\":16000,\"mem_mb\":32768,"    \
	"\"gpu\":2},\"labels\":[\"a\",\"r1-3\"],\"born\":17,"                  \
	"\"remaining_ms\":5}"
#define ROUTE                                                                  \
	"{\"name\":\"%s\",\"host\":\"h\",\"path_prefix\":\"/%s/\","            \
	"\"service\":\"s\",\"priority\":1,\"max_attempts\":4,"                 \
	"\"slack_factor\":1.5,\"target_latency_ms\":500,"                      \
	"\"advice\":{\"decision_ms\":5,\"per_worker_ms\":1}}"
#define JOB                                                                    \
	"{\"spec\":\"x\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":256,"  \
	"\"estimate_ms\":900},{\"count\":2,\"gpu\":8,\"depends_on\":[0],"      \
	"\"gang\":true,\"anti_affinity\":1,\"requirements\":[\"a\"]}],"        \
	"\"repeat_count\":2,\"start_at_ms\":17,\"interval_ms\":5}"

/* Entries of the server list, read through the directory. */

/** A store that answers with one snapshot. */
typedef struct mt_odd_store_t {
	mt_list_store_t store;
	GHashTable *servers; /**< ids of the servers that are listed */
} mt_odd_store_t;

static void on_server(void *ctx, const mt_backend_info_t *info)
{
	mt_odd_store_t *store = ctx;

	CU_ASSERT_TRUE(info->target.port != 0);
	g_hash_table_add(store->servers, g_strdup(info->target.id.text));
}

static void on_unlisted(void *ctx, mt_shared_name_t id)
{
	mt_odd_store_t *store = ctx;

	g_hash_table_remove(store->servers, id.text);
}

static void ignore_line(void *ctx, mt_log_level_t level, const char *service,
			const char *message)
{
}

static void append_item(GString *out, const char *key_json, mt_str_t value)
{
	char *encoded = g_base64_encode((const guchar *)value.data, value.len);

	g_string_append_printf(
		out, "%s{\"key\":%s,\"value\":\"%s\",\"offset\":1}",
		out->str[out->len - 1] == '[' ? "" : ",", key_json, encoded);
	g_free(encoded);
}

/** Answers the pending call with the body of a page, as the adapter does. */
static void answer_page(mt_odd_store_t *store, const GString *body)
{
	mt_store_snapshot_t snapshot;
	bool valid = mt_store_snapshot_parse(&snapshot,
					     (mt_str_t){body->str, body->len});

	snapshot.page.result = valid ? MT_STORE_DONE : MT_STORE_UNKNOWN;
	mt_list_store_answer(&store->store, &snapshot.page);
	mt_store_snapshot_clear(&snapshot);
}

/** Reads a list of which the second of three entries is odd. */
static void read_list(const GString *body)
{
	mt_timers_t *timers = mt_timers_new(1000);
	mt_kernel_t *kernel = mt_kernel_new("odd", timers, 1);
	mt_odd_store_t store = {0};
	mt_directory_watcher_t watcher = {&store, on_server, on_unlisted};
	mt_directory_t *directory;

	mt_kernel_set_sink(kernel, ignore_line, NULL);
	mt_list_store_init(&store.store);
	store.servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	directory = mt_directory_new(kernel, &store.store.port,
				     &mt_server_list_format);
	mt_directory_open(directory, &watcher);
	answer_page(&store, body);
	CU_ASSERT_TRUE_FATAL(mt_directory_is_complete(directory));
	CU_ASSERT_TRUE_FATAL(g_hash_table_contains(store.servers, "i-1"));
	CU_ASSERT_TRUE_FATAL(g_hash_table_contains(store.servers, "i-3"));
	mt_directory_free(directory);
	mt_list_store_close(&store.store);
	g_hash_table_destroy(store.servers);
	mt_kernel_free(kernel);
	mt_timers_free(timers);
}

static void read_list_with(const char *key_json, mt_str_t value)
{
	GString *body = g_string_new("{\"items\":[");

	append_item(body, "\"i-1\"", MT_STR(REPORT));
	append_item(body, key_json, value);
	append_item(body, "\"i-3\"", MT_STR(REPORT));
	g_string_append(body, "],\"has_more\":false,\"end_offset\":3}");
	read_list(body);
	g_string_free(body, TRUE);
}

/**
 * Guards against: another writer leaves one odd entry among those of the
 * servers, and the hosts that read the list end, or stop following it.
 */
static void an_odd_server_costs_only_itself(void)
{
	GRand *rand = g_rand_new_with_seed(SEED);

	for (unsigned i = 0; i < ROUNDS; i++) {
		GString *entry = mt_odd_json_entry(REPORT, rand);

		read_list_with("\"i-2\"", (mt_str_t){entry->str, entry->len});
		g_string_free(entry, TRUE);
	}
	g_rand_free(rand);
}

/** The same for a key that is not a name. */
static void an_odd_key_costs_only_itself(void)
{
	static const char *const keys[] = {
		"7",	    "null",	    "[]",
		"\"\"",	    "\"i\\u0000\"", "\"\\ud800\"",
		"\"\xff\"", "\"i\x01\"",    "99999999999999999999999",
		"1e999"};

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++)
		read_list_with(keys[i], MT_STR(REPORT));
}

static void count_line(void *ctx, mt_log_level_t level, const char *service,
		       const char *message)
{
	++*(unsigned *)ctx;
}

/** Answers the pending read with one entry of the server i-2. */
static void answer_entry(mt_odd_store_t *store, mt_str_t value)
{
	static uint64_t offset = 10;
	mt_store_record_t record = {MT_STR("i-2"), value, offset++};
	mt_store_page_t page = {.result = MT_STORE_DONE,
				.records = &record,
				.count = 1,
				.end = offset};

	mt_list_store_answer(&store->store, &page);
}

/**
 * Guards against a log that grows with each heartbeat of another writer: an odd
 * entry is told when it becomes odd, and when the reason for it changes
 * (review/12).
 */
static void an_odd_server_is_told_when_it_changes(void)
{
	mt_timers_t *timers = mt_timers_new(1000);
	mt_kernel_t *kernel = mt_kernel_new("odd", timers, 1);
	mt_odd_store_t store = {0};
	mt_directory_watcher_t watcher = {&store, on_server, on_unlisted};
	mt_directory_t *directory;
	unsigned n_lines = 0;
	GString *body = g_string_new("{\"items\":[");

	mt_kernel_set_sink(kernel, count_line, &n_lines);
	mt_list_store_init(&store.store);
	store.servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	directory = mt_directory_new(kernel, &store.store.port,
				     &mt_server_list_format);
	mt_directory_open(directory, &watcher);
	append_item(body, "\"i-2\"", MT_STR("{}"));
	g_string_append(body, "],\"has_more\":false,\"end_offset\":3}");
	answer_page(&store, body);
	CU_ASSERT_EQUAL(n_lines, 1);
	for (unsigned i = 0; i < 100; i++) {
		char *text = g_strdup_printf("{\"sequence\":%u}", i);

		answer_entry(&store, mt_str_from(text));
		g_free(text);
	}
	CU_ASSERT_EQUAL(n_lines, 1);
	answer_entry(&store, MT_STR("{\"service\":\"s\"}"));
	CU_ASSERT_EQUAL(n_lines, 2);
	answer_entry(&store, MT_STR(REPORT));
	CU_ASSERT_TRUE(g_hash_table_contains(store.servers, "i-2"));
	answer_entry(&store, MT_STR("{}"));
	CU_ASSERT_EQUAL(n_lines, 3);
	CU_ASSERT_EQUAL(
		*mt_kernel_counter(kernel, "server_reports_unreadable_total"),
		103);
	mt_directory_free(directory);
	mt_list_store_close(&store.store);
	g_hash_table_destroy(store.servers);
	mt_kernel_free(kernel);
	mt_timers_free(timers);
	g_string_free(body, TRUE);
}

/* Lists within one message. */

/** Guards against: one odd run makes a server silent, or its runs lost. */
static void an_odd_run_costs_only_itself(void)
{
	static const char row[] = "[3,\"00000000000000a1.0.0.1\",1,\"done\","
				  "\"\"]";
	GRand *rand = g_rand_new_with_seed(SEED);

	for (unsigned i = 0; i < ROUNDS; i++) {
		GString *odd = mt_odd_json_entry(row, rand);
		GString *text = g_string_new("{\"clock_ms\":5,\"running\":[");
		mt_backend_body_t body;

		g_string_append_printf(
			text,
			"%s,[\"00000000000000a1.0.0.2\",1,\"\",7]],"
			"\"finished\":[%s,"
			"[4,\"00000000000000a1.0.0.3\",1,\"done\",\"\"]]}",
			odd->str, odd->str);
		mt_backend_body_parse(&body, (mt_str_t){text->str, text->len});
		/* Text after a value that is not closed belongs to it. */
		if (body.has_runs) {
			CU_ASSERT_TRUE_FATAL(body.answer.n_active_runs >= 1);
			CU_ASSERT_TRUE_FATAL(body.answer.n_ended >= 1);
		}
		CU_ASSERT_TRUE(body.has_runs || !body.json ||
			       strstr(odd->str, "[{"));
		mt_backend_body_clear(&body);
		g_string_free(odd, TRUE);
		g_string_free(text, TRUE);
	}
	g_rand_free(rand);
}

/** Guards against: one odd queue makes the whole configuration unreadable. */
static void an_odd_queue_costs_only_itself(void)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	char *first = g_strdup_printf(ROUTE, "a", "a");
	char *second = g_strdup_printf(ROUTE, "b", "b");
	char *third = g_strdup_printf(ROUTE, "c", "c");
	unsigned n_read = 0;

	for (unsigned i = 0; i < ROUNDS; i++) {
		GString *odd = mt_odd_json_entry(second, rand);
		char *text =
			g_strdup_printf("{\"version\":7,\"routes\":[%s,%s,%s]}",
					first, odd->str, third);
		mt_catalog_t *catalog = mt_config_decode(mt_str_from(text));

		if (catalog) {
			n_read++;
			CU_ASSERT_PTR_NOT_NULL(mt_catalog_queue(catalog, "a"));
			CU_ASSERT_PTR_NOT_NULL(mt_catalog_queue(catalog, "c"));
			mt_catalog_free(catalog);
		}
		g_string_free(odd, TRUE);
		g_free(text);
	}
	/* The others are nested without an end, or have no valid text. */
	CU_ASSERT_TRUE(n_read > ROUNDS * 8 / 10);
	g_free(first);
	g_free(second);
	g_free(third);
	g_rand_free(rand);
}

/* Jobs and their records. */

static mt_backend_t *no_server(void *ctx, uint64_t id_hash, int64_t born_ms)
{
	return ctx;
}

/** Makes the model of a job, from the record that a host would store. */
static void use_job(const MtDag__Job *job)
{
	GBytes *bytes = mt_dag_pack(&job->base);
	mt_str_t value = mt_bytes_view(bytes);
	MtDag__Job *spec = mt_dag__job__unpack(NULL, value.len,
					       (const uint8_t *)value.data);
	mt_dag_job_t *model;

	CU_ASSERT_TRUE_FATAL(spec && mt_dag_job_spec_is_valid(spec));
	model = mt_dag_job_new(spec, 1000);
	for (uint32_t i = 0; i < model->n_occurrences; i++)
		CU_ASSERT_TRUE(mt_dag_job_earliest_start(model, i) >= 0);
	while (mt_dag_job_open_next(model))
		;
	mt_dag_job_objective_ms(model);
	mt_dag_job_gpu_wanted(model);
	mt_dag_job_free(model);
	g_bytes_unref(bytes);
}

/** Guards against: a job with odd numbers ends the hosts. */
static void an_odd_job_is_handled_safely(void)
{
	GRand *rand = g_rand_new_with_seed(SEED);

	for (unsigned i = 0; i < ROUNDS; i++) {
		GString *text = mt_odd_json_entry(JOB, rand);
		MtDag__Job *job =
			mt_job_decode((mt_str_t){text->str, text->len});

		if (job) {
			use_job(job);
			mt_dag__job__free_unpacked(job, NULL);
		}
		g_string_free(text, TRUE);
	}
	g_rand_free(rand);
}

/** Replaces up to three bytes. */
static void disturb(GRand *rand, uint8_t *data, gsize len)
{
	for (int i = 0; i < 3 && len; i++)
		data[g_rand_int_range(rand, 0, (gint32)len)] =
			(uint8_t)g_rand_int(rand);
}

/** Guards against: a malformed record of a job ends the leader. */
static void odd_records_are_handled_safely(void)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	MtDag__Job *job = mt_job_decode(MT_STR(JOB));
	mt_dag_job_t *model;
	mt_backend_t server = {.tasks = g_ptr_array_new()};
	GBytes *job_bytes = mt_dag_pack(&job->base);
	GBytes *progress;

	model = mt_dag_job_new(job, 1000);
	mt_dag_task_place(mt_task_of(mt_first_step(model), 0), &server, 1,
			  1000);
	progress = mt_dag_job_pack_progress(model);
	mt_dag_job_free(model);
	for (unsigned i = 0; i < ROUNDS; i++) {
		mt_str_t value = mt_bytes_view(job_bytes);
		uint8_t *data = g_memdup2(value.data, value.len);
		MtDag__Job *spec;

		disturb(rand, data, i % 2 ? value.len : 0);
		spec = mt_dag__job__unpack(NULL, value.len, data);
		g_free(data);
		if (spec && mt_dag_job_spec_is_valid(spec)) {
			model = mt_dag_job_new(spec, 1000);
			value = mt_bytes_view(progress);
			data = g_memdup2(value.data, value.len);
			disturb(rand, data, value.len);
			mt_dag_job_unpack_progress(
				model, (mt_str_t){(char *)data, value.len},
				no_server, &server, 1000);
			g_free(data);
			mt_dag_job_free(model);
		} else if (spec) {
			mt_dag__job__free_unpacked(spec, NULL);
		}
		g_ptr_array_set_size(server.tasks, 0);
	}
	g_bytes_unref(job_bytes);
	g_bytes_unref(progress);
	g_ptr_array_unref(server.tasks);
	g_rand_free(rand);
}

/** A job with `count` values in a field that is ignored. */
static bool takes_job_with(const char *value, unsigned count)
{
	GString *text = g_string_new("{\"spec\":\"\\\"[{,\",\"more\":[");
	MtDag__Job *job;

	while (count-- > 0)
		g_string_append_printf(text, "%s,", value);
	g_string_append(text, "0],\"steps\":[{\"count\":1,\"cpu\":1,"
			      "\"mem_mb\":1,\"estimate_ms\":1}]}");
	job = mt_job_decode((mt_str_t){text->str, text->len});
	g_string_free(text, TRUE);
	if (!job)
		return false;
	mt_dag__job__free_unpacked(job, NULL);
	return true;
}

/**
 * Guards against jobs that use up the memory: a body of 1 MiB that consists of
 * empty objects takes 80 MB when it is decoded.
 */
static void jobs_that_take_much_memory_are_refused(void)
{
	CU_ASSERT_TRUE(takes_job_with("{}", 1000));
	CU_ASSERT_FALSE(takes_job_with("{}", 100000));
	CU_ASSERT_FALSE(takes_job_with("[]", 100000));
	CU_ASSERT_TRUE(takes_job_with("0", 65280));
	CU_ASSERT_FALSE(takes_job_with("0", 300000));
	CU_ASSERT_TRUE(takes_job_with("\"[,[,[,\"", 60000));
}

/**
 * Guards against text in strings that is counted, and against values that are
 * refused at the limit. Each text has three containers and four commas.
 */
static void json_is_within_its_limits(void)
{
	static const char *const texts[] = {
		"{\"a\":[1,2,{\"b\":3,\"c\":4}],\"d\":5}",
		"{\"a\":[1,2,{\"b\":\"[,{\",\"c\":4}],\"d\":5}",
		"{\"a\":[1,2,{\"b\":\"\\\"[,{\",\"c\":4}],\"d\":5}",
		"{\"a\":[1,2,{\"b\":\"\\\\\",\"c\":4}],\"d\":5}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		mt_str_t text = mt_str_from(texts[i]);

		CU_ASSERT_TRUE(mt_json_is_within(text, 3, 4));
		CU_ASSERT_FALSE(mt_json_is_within(text, 2, 4));
		CU_ASSERT_FALSE(mt_json_is_within(text, 3, 3));
	}
	CU_ASSERT_TRUE(mt_json_is_within(MT_STR(""), 0, 0));
	/* A backslash at the end, in a string that does not end. */
	CU_ASSERT_TRUE(mt_json_is_within(MT_STR("\"[,\\"), 0, 0));
}

const mt_test_t mt_odd_entries_tests[] = {
	{"JSON is within its limits", json_is_within_its_limits},
	{"jobs that take much memory are refused",
	 jobs_that_take_much_memory_are_refused},
	{"an odd server costs only itself", an_odd_server_costs_only_itself},
	{"an odd server is told when it changes",
	 an_odd_server_is_told_when_it_changes},
	{"an odd key costs only itself", an_odd_key_costs_only_itself},
	{"an odd run costs only itself", an_odd_run_costs_only_itself},
	{"an odd queue costs only itself", an_odd_queue_costs_only_itself},
	{"an odd job is handled safely", an_odd_job_is_handled_safely},
	{"odd records are handled safely", odd_records_are_handled_safely},
	{NULL, NULL},
};
