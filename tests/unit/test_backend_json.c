/**
 * @file test_backend_json.c
 * Tests of the decoder of the responses of backend servers.
 */
#include <CUnit/Basic.h>

#include "platform/backend_json.h"
#include "unit/tests.h"

/** Maximum number of ended runs in a response, by the protocol. */
#define ENDED_RUNS_MAX 500u

/** A response to a hold with `n_ended` ended runs. */
static GString *make_response(unsigned n_ended)
{
	GString *text = g_string_new("{\"clock_ms\":5,\"running\":[],"
				     "\"finished\":[");

	for (unsigned i = 0; i < n_ended; i++)
		g_string_append_printf(
			text,
			"%s[%u,\"00000000000000a1.0.0.%u\",1,\"done\",\"\"]",
			i ? "," : "", i + 1, i);
	g_string_append(text, "]}");
	return text;
}

/**
 * Guards against: a list of ended runs that is cut short counts as complete, so
 * that runs that have ended are started again (TWICE).
 */
static void a_full_list_of_ends_may_be_cut_short(void)
{
	for (unsigned n = ENDED_RUNS_MAX - 1; n <= ENDED_RUNS_MAX; n++) {
		GString *text = make_response(n);
		mt_backend_body_t body;

		mt_backend_body_parse(&body, mt_str_from(text->str));
		CU_ASSERT_EQUAL(body.answer.n_ended, n);
		CU_ASSERT_TRUE(body.has_runs);
		CU_ASSERT_EQUAL(body.answer.runs_missing, n == ENDED_RUNS_MAX);
		mt_backend_body_clear(&body);
		g_string_free(text, TRUE);
	}
}

/** Guards against: a response without lists counts as a list of no runs. */
static void a_response_without_lists_lists_no_runs(void)
{
	static const char *const texts[] = {
		"", "{\"clock_ms\":5}", "{\"clock_ms\":5,\"running\":[]}",
		"{\"clock_ms\":5,\"running\":[],\"finished\":["};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		mt_backend_body_t body;

		mt_backend_body_parse(&body, mt_str_from(texts[i]));
		CU_ASSERT_FALSE(body.has_runs);
		mt_backend_body_clear(&body);
	}
}

/** Guards against: one malformed entry makes all runs of the server unknown. */
static void a_malformed_entry_costs_only_itself(void)
{
	mt_backend_body_t body;

	mt_backend_body_parse(
		&body,
		MT_STR("{\"running\":[[7],"
		       "[\"00000000000000a1.0.0.3\",1,\"\",20]],"
		       "\"finished\":["
		       "[1,\"00000000000000a1.0.0.1\",1,\"done\",\"\"],"
		       "[2,\"00000000000000a1.0.0.2\",1,\"lost\",\"\"]]}"));
	CU_ASSERT_EQUAL(body.n_malformed, 2);
	CU_ASSERT_EQUAL(body.answer.n_active_runs, 1);
	CU_ASSERT_EQUAL(body.answer.n_ended, 1);
	CU_ASSERT_TRUE(body.answer.runs_missing);
	mt_backend_body_clear(&body);
}

const mt_test_t mt_backend_json_tests[] = {
	{"a full list of ends may be cut short",
	 a_full_list_of_ends_may_be_cut_short},
	{"a response without lists lists no runs",
	 a_response_without_lists_lists_no_runs},
	{"a malformed entry costs only itself",
	 a_malformed_entry_costs_only_itself},
	{NULL, NULL},
};
