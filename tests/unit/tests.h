/** @file tests.h Lists of the unit tests that are written in C. */
#ifndef MT_TESTS_TESTS_H
#define MT_TESTS_TESTS_H

typedef struct mt_test_t {
	const char *name;
	void (*run)(void);
} mt_test_t;

/** Each list ends with an entry whose name is NULL. */
extern const mt_test_t mt_kernel_tests[];
extern const mt_test_t mt_log_tests[];
extern const mt_test_t mt_leaving_servers_tests[];
extern const mt_test_t mt_long_names_tests[];
extern const mt_test_t mt_log_output_tests[];
extern const mt_test_t mt_follower_tests[];
extern const mt_test_t mt_engine_tests[];
extern const mt_test_t mt_planner_tests[];
extern const mt_test_t mt_plan_speed_tests[];
extern const mt_test_t mt_plan_preempt_tests[];
extern const mt_test_t mt_work_lost_tests[];
extern const mt_test_t mt_plan_pack_tests[];
extern const mt_test_t mt_relocation_tests[];
extern const mt_test_t mt_front_tests[];
extern const mt_test_t mt_writer_tests[];
extern const mt_test_t mt_runner_tests[];
extern const mt_test_t mt_survival_tests[];
extern const mt_test_t mt_job_model_tests[];
extern const mt_test_t mt_pace_tests[];
extern const mt_test_t mt_speed_tests[];
extern const mt_test_t mt_run_times_tests[];
extern const mt_test_t mt_speed_records_tests[];
extern const mt_test_t mt_config_relay_tests[];
extern const mt_test_t mt_leadership_tests[];
extern const mt_test_t mt_backend_json_tests[];
extern const mt_test_t mt_mutated_input_tests[];
extern const mt_test_t mt_odd_entries_tests[];
extern const mt_test_t mt_evacuations_tests[];
extern const mt_test_t mt_cold_tests[];
extern const mt_test_t mt_fast_share_tests[];
extern const mt_test_t mt_admission_tests[];
extern const mt_test_t mt_http_guard_tests[];
extern const mt_test_t mt_same_plan_tests[];
extern const mt_test_t mt_wide_jobs_tests[];
extern const mt_test_t mt_memory_budget_tests[];
extern const mt_test_t mt_pass_cost_tests[];

#endif
