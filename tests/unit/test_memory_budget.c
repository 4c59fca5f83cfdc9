/** @file test_memory_budget.c Tests of the budget for the memory of jobs. */
#include <CUnit/Basic.h>

#include "dag/memory_budget.h"
#include "dag/table.h"
#include "unit/engine_fixture.h"
#include "unit/tests.h"

#define BYTES_PER_MB (1024u * 1024u)
#define HOSTS 8u

/** Memory of the hosts; the smallest one may be added later. */
#define HOST_MB 260u
#define SMALL_HOST_MB 120u

static mt_memory_budget_t make_budget(uint32_t memory_mb)
{
	mt_memory_budget_t budget = {0};

	for (unsigned i = 1; i <= HOSTS; i++)
		mt_memory_budget_on_host(&budget, memory_mb, i);
	return budget;
}

/** Fills `steps` with steps that depend on the one before. */
static MtDag__Job make_spec(MtDag__Step *steps, MtDag__Step **list, size_t n,
			    uint32_t *after)
{
	MtDag__Job spec = MT_DAG__JOB__INIT;

	for (size_t i = 0; i < n; i++) {
		steps[i] = mt_engine_fixture_step(1);
		list[i] = &steps[i];
		after[i] = i ? (uint32_t)i - 1 : 0;
		steps[i].after = &after[i];
		steps[i].n_after = i > 0;
	}
	spec.id = 1;
	spec.queue = (char *)"batch";
	spec.service = (char *)"service";
	spec.n_steps = n;
	spec.steps = list;
	return spec;
}

static size_t bytes_of(const MtDag__Job *spec)
{
	GBytes *record = mt_dag_pack(&spec->base);
	size_t bytes =
		mt_memory_budget_job_bytes(spec, g_bytes_get_size(record));

	g_bytes_unref(record);
	return bytes;
}

/** Guards against: jobs inside the limits are refused in calm. */
static void ordinary_and_largest_jobs_are_accepted(void)
{
	mt_memory_budget_t budget = make_budget(HOST_MB);
	MtDag__Step steps[256];
	MtDag__Step *list[256];
	uint32_t after[256];
	MtDag__Job spec = make_spec(steps, list, 2, after);
	uint64_t table_bytes = 0;
	unsigned accepted = 0;

	/* Two steps, each job read back before the next one. */
	while (mt_memory_budget_allows(&budget, bytes_of(&spec), 2,
				       table_bytes)) {
		table_bytes += bytes_of(&spec);
		accepted++;
	}
	CU_ASSERT_TRUE(accepted > 5000);
	spec = make_spec(steps, list, 256, after);
	spec.repeat = MT_DAG_TASKS_MAX / 256;
	CU_ASSERT_TRUE(mt_memory_budget_allows(&budget, bytes_of(&spec), 2, 0));
	for (unsigned i = 0; i < 256; i++)
		steps[i].n_after = 0;
	CU_ASSERT_TRUE(mt_memory_budget_allows(&budget, bytes_of(&spec), 2, 0));
	spec = make_spec(steps, list, 2, after);
	spec.repeat = MT_DAG_TASKS_MAX / 2;
	CU_ASSERT_TRUE(mt_memory_budget_allows(&budget, bytes_of(&spec), 2, 0));
}

/** Guards against: hosts accept more than the smallest one can lead with. */
static void the_smallest_host_decides(void)
{
	mt_memory_budget_t budget = make_budget(HOST_MB);

	CU_ASSERT_EQUAL(mt_memory_budget_max_bytes(&budget),
			(uint64_t)SMALL_HOST_MB * BYTES_PER_MB / 4);
	mt_memory_budget_on_host(&budget, 64, HOSTS);
	mt_memory_budget_on_host(&budget, 0, HOSTS);
	CU_ASSERT_EQUAL(mt_memory_budget_max_bytes(&budget),
			(uint64_t)64 * BYTES_PER_MB / 4);
}

static void without_a_known_size_there_is_no_limit(void)
{
	mt_memory_budget_t budget = make_budget(0);

	CU_ASSERT_TRUE(
		mt_memory_budget_allows(&budget, G_MAXUINT32, 2, G_MAXUINT32));
}

/** Guards against: jobs of lower priority leave no room for urgent ones. */
static void room_is_kept_for_priority_0(void)
{
	mt_memory_budget_t budget = make_budget(HOST_MB);
	uint64_t max = mt_memory_budget_max_bytes(&budget);

	mt_memory_budget_on_leader(&budget, max - max / 4);
	CU_ASSERT_FALSE(mt_memory_budget_allows(&budget, 3000, 2, 0));
	CU_ASSERT_FALSE(mt_memory_budget_allows(&budget, 3000, 1, 0));
	CU_ASSERT_TRUE(mt_memory_budget_allows(&budget, 3000, 0, 0));
	mt_memory_budget_on_leader(&budget, max);
	CU_ASSERT_FALSE(mt_memory_budget_allows(&budget, 3000, 0, 0));
}

/**
 * Guards against: hosts that all accept jobs between two leader records exceed
 * the budget together.
 */
static void hosts_share_what_is_left(void)
{
	mt_memory_budget_t hosts[HOSTS];
	uint64_t sum = 0;
	const size_t job_bytes = 3000;

	for (unsigned i = 0; i < HOSTS; i++) {
		hosts[i] = make_budget(HOST_MB);
		mt_memory_budget_on_leader(&hosts[i], BYTES_PER_MB);
		while (mt_memory_budget_allows(&hosts[i], job_bytes, 2, 0)) {
			mt_memory_budget_note_accepted(&hosts[i], job_bytes);
			sum += job_bytes;
		}
	}
	CU_ASSERT_TRUE(sum > BYTES_PER_MB);
	CU_ASSERT_TRUE(sum + BYTES_PER_MB <=
		       mt_memory_budget_max_bytes(&hosts[0]) * 3 / 4);
	/* What was accepted counts until two leader records later. */
	mt_memory_budget_on_leader(&hosts[0], BYTES_PER_MB);
	CU_ASSERT_FALSE(mt_memory_budget_allows(&hosts[0], job_bytes, 2, 0));
	mt_memory_budget_on_leader(&hosts[0], BYTES_PER_MB);
	CU_ASSERT_TRUE(mt_memory_budget_allows(&hosts[0], job_bytes, 2, 0));
}

static void apply(mt_table_t *table, mt_record_kind_t kind, uint64_t id,
		  GBytes *value, uint64_t offset)
{
	mt_record_key_t key = mt_record_key(kind, id);
	mt_store_record_t record = {
		mt_str_from(key.text),
		value ? mt_bytes_view(value) : (mt_str_t){0}, offset};

	mt_table_apply(table, &record);
	if (value)
		g_bytes_unref(value);
}

static GBytes *progress_record(uint64_t id, MtDag__State state, bool begun)
{
	MtDag__Progress progress = MT_DAG__PROGRESS__INIT;

	progress.id = id;
	progress.state = state;
	progress.begun = begun;
	return mt_dag_pack(&progress.base);
}

/**
 * Guards against: memory and pending jobs that the table keeps with each change
 * differ from those of its entries.
 */
static void the_table_counts_with_each_change(void)
{
	mt_timers_t *timers = mt_timers_new(1000);
	mt_kernel_t *kernel = mt_kernel_new("test", timers, 1);
	mt_table_t *table = mt_table_new(kernel);
	mt_shared_name_t queue = mt_shared_name("batch");
	MtDag__Step steps[2];
	MtDag__Step *list[2];
	uint32_t after[2];
	MtDag__Job spec = make_spec(steps, list, 2, after);
	uint64_t bytes;

	apply(table, MT_RECORD_JOB, 1, mt_dag_pack(&spec.base), 1);
	bytes = bytes_of(&spec);
	CU_ASSERT_EQUAL(mt_table_memory_bytes(table), bytes);
	CU_ASSERT_EQUAL(mt_table_n_pending(table, queue), 1);
	spec.id = 2;
	apply(table, MT_RECORD_JOB, 2, mt_dag_pack(&spec.base), 2);
	CU_ASSERT_EQUAL(mt_table_n_pending(table, queue), 2);
	apply(table, MT_RECORD_PROGRESS, 2,
	      progress_record(2, MT_DAG__STATE__ACTIVE, true), 3);
	CU_ASSERT_EQUAL(mt_table_n_pending(table, queue), 1);
	CU_ASSERT_TRUE(mt_table_memory_bytes(table) > 2 * bytes);
	apply(table, MT_RECORD_PROGRESS, 2,
	      progress_record(2, MT_DAG__STATE__COMPLETED, true), 4);
	CU_ASSERT_EQUAL(mt_table_memory_bytes(table),
			bytes + MT_MEMORY_BUDGET_ENTRY_BYTES);
	apply(table, MT_RECORD_CANCEL, 1,
	      g_bytes_new_static(MT_CANCEL_BY_CLIENT, 1), 5);
	CU_ASSERT_EQUAL(mt_table_n_pending(table, queue), 0);
	apply(table, MT_RECORD_JOB, 1, NULL, 6);
	apply(table, MT_RECORD_JOB, 2, NULL, 7);
	CU_ASSERT_EQUAL(mt_table_memory_bytes(table), 0);
	mt_table_free(table);
	mt_kernel_free(kernel);
	mt_timers_free(timers);
}

const mt_test_t mt_memory_budget_tests[] = {
	{"ordinary and the largest jobs are accepted",
	 ordinary_and_largest_jobs_are_accepted},
	{"the smallest host decides", the_smallest_host_decides},
	{"without a known size there is no limit",
	 without_a_known_size_there_is_no_limit},
	{"room is kept for priority 0", room_is_kept_for_priority_0},
	{"hosts share what is left", hosts_share_what_is_left},
	{"the table counts with each change",
	 the_table_counts_with_each_change},
	{NULL, NULL},
};
