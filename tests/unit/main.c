/**
 * @file main.c
 * Runs the unit tests: each script of a directory as one CUnit test, then the
 * tests written in C.
 */
#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "unit/script.h"
#include "unit/tests.h"

static GPtrArray *script_paths;
static guint next_script;

/**
 * Runs one script of `script_paths`; a CUnit test takes no arguments. CUnit
 * runs the tests in the order in which they were added, which is that of
 * `script_paths`.
 */
static void run_next_script(void)
{
	const char *path = script_paths->pdata[next_script++];
	char *difference = NULL;
	bool same = mt_script_run(path, &difference);

	if (!same)
		printf("\n%s: %s", path, difference);
	g_free(difference);
	CU_ASSERT_TRUE(same);
}

static gint compare_paths(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void find_scripts(const char *directory)
{
	GDir *dir = g_dir_open(directory, 0, NULL);
	const char *name;

	script_paths = g_ptr_array_new_with_free_func(g_free);
	while (dir && (name = g_dir_read_name(dir))) {
		if (g_str_has_suffix(name, ".script"))
			g_ptr_array_add(
				script_paths,
				g_build_filename(directory, name, NULL));
	}
	if (dir)
		g_dir_close(dir);
	g_ptr_array_sort(script_paths, compare_paths);
}

static void add_suite(const char *name, const mt_test_t *tests)
{
	CU_pSuite suite = CU_add_suite(name, NULL, NULL);

	for (; tests->name; tests++)
		CU_add_test(suite, tests->name, tests->run);
}

int main(int argc, char **argv)
{
	CU_pSuite scripts;

	find_scripts(argc > 1 ? argv[1] : "tests/scripted");
	CU_initialize_registry();
	scripts = CU_add_suite("scripts", NULL, NULL);
	for (guint i = 0; i < script_paths->len; i++)
		CU_add_test(scripts, script_paths->pdata[i], run_next_script);
	add_suite("kernel", mt_kernel_tests);
	add_suite("log", mt_log_tests);
	add_suite("leaving servers", mt_leaving_servers_tests);
	add_suite("long names", mt_long_names_tests);
	add_suite("log output", mt_log_output_tests);
	add_suite("follower", mt_follower_tests);
	add_suite("engine", mt_engine_tests);
	add_suite("planner", mt_planner_tests);
	add_suite("plan speed", mt_plan_speed_tests);
	add_suite("plan preempt", mt_plan_preempt_tests);
	add_suite("work lost", mt_work_lost_tests);
	add_suite("plan pack", mt_plan_pack_tests);
	add_suite("relocation", mt_relocation_tests);
	add_suite("front", mt_front_tests);
	add_suite("admission", mt_admission_tests);
	add_suite("writer", mt_writer_tests);
	add_suite("runner", mt_runner_tests);
	add_suite("survival", mt_survival_tests);
	add_suite("job model", mt_job_model_tests);
	add_suite("pace", mt_pace_tests);
	add_suite("speed", mt_speed_tests);
	add_suite("run times", mt_run_times_tests);
	add_suite("speed records", mt_speed_records_tests);
	add_suite("config relay", mt_config_relay_tests);
	add_suite("leadership", mt_leadership_tests);
	add_suite("backend json", mt_backend_json_tests);
	add_suite("mutated input", mt_mutated_input_tests);
	add_suite("odd entries", mt_odd_entries_tests);
	add_suite("evacuations", mt_evacuations_tests);
	add_suite("cold", mt_cold_tests);
	add_suite("fast share", mt_fast_share_tests);
	add_suite("http guard", mt_http_guard_tests);
	add_suite("same plan", mt_same_plan_tests);
	add_suite("wide jobs", mt_wide_jobs_tests);
	add_suite("memory budget", mt_memory_budget_tests);
	add_suite("pass cost", mt_pass_cost_tests);
	CU_basic_set_mode(CU_BRM_NORMAL);
	CU_basic_run_tests();
	printf("%u passed, %u failed\n",
	       CU_get_number_of_tests_run() - CU_get_number_of_tests_failed(),
	       CU_get_number_of_tests_failed());
	g_ptr_array_unref(script_paths);
	return CU_get_number_of_tests_failed() || !CU_get_number_of_tests_run()
		       ? 1
		       : 0;
}
