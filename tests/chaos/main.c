/**
 * @file main.c
 * Chaos test: runs the real entry hosts as separate processes against
 * platformd, which simulates the users' platform, and injects faults from
 * outside. Signals pause, stop, kill and restart hosts; proxies on loopback
 * delay, drop and reset connections; platformd loses answers and crashes
 * servers. Checks what clients see while it runs and platformd's audit at the
 * end.
 */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "chaos/clients.h"
#include "chaos/faults.h"
#include "chaos/cluster.h"

/** Time within which all hosts must become ready. */
#define READY_MS 10000u

/** Time after the end of all faults within which all jobs must have ended. */
#define JOBS_END_MAX_MS 30000u
#define AUDIT_TIMEOUT_MS 2000u

typedef struct mt_chaos_test_t {
	mt_cluster_t *cluster;
	mt_clients_t *clients;
	mt_faults_t *faults;
	mt_ms_t faults_ms; /**< time during which faults are injected */
} mt_chaos_test_t;

static void on_audited(void *ctx, const mt_http_response_t *response)
{
	mt_chaos_test_t *test = ctx;

	if (response->result != MT_HTTP_RESPONSE ||
	    !mt_str_equal(response->body, MT_STR("0")))
		mt_cluster_breach(test->cluster,
				  "platformd reports breaches, or does not "
				  "answer; see platform.log");
	mt_loop_stop(test->cluster->loop);
}

static void finish(void *ctx)
{
	mt_chaos_test_t *test = ctx;
	mt_http_request_t request = {0};

	mt_clients_check_all(test->clients);
	request.address = mt_name("127.0.0.1");
	request.port = test->cluster->store_port;
	request.method = "GET";
	request.path = "/test/audit";
	request.timeout_ms = AUDIT_TIMEOUT_MS;
	mt_http_send(test->cluster->http, &request, on_audited, test);
}

static void wait_for_ends(void *ctx)
{
	mt_chaos_test_t *test = ctx;
	mt_ms_t now = mt_cluster_now(test->cluster);

	if (mt_clients_all_ended(test->clients) ||
	    now >= test->cluster->faults_ended_at + JOBS_END_MAX_MS)
		finish(test);
	else
		mt_timers_after(mt_cluster_timers(test->cluster), 100,
				wait_for_ends, test);
}

static void end_faults(void *ctx)
{
	mt_chaos_test_t *test = ctx;

	mt_faults_end(test->faults);
	mt_clients_stop_submitting(test->clients);
	test->cluster->faults_ended_at = mt_cluster_now(test->cluster);
	wait_for_ends(test);
}

static void start_when_ready(void *ctx)
{
	mt_chaos_test_t *test = ctx;

	if (!mt_clients_all_ready(test->clients)) {
		if (mt_cluster_now(test->cluster) <
		    READY_MS + test->cluster->started_at) {
			mt_timers_after(mt_cluster_timers(test->cluster), 100,
					start_when_ready, test);
			return;
		}
		mt_cluster_breach(test->cluster,
				  "not all hosts became ready in time");
		mt_loop_stop(test->cluster->loop);
		return;
	}
	mt_clients_start_submitting(test->clients);
	mt_faults_begin(test->faults);
	mt_timers_after(mt_cluster_timers(test->cluster), test->faults_ms,
			end_faults, test);
}

/** @return true when no invariant was violated */
static bool run_seed(const char *build, uint16_t port, guint32 seed,
		     mt_ms_t faults_ms)
{
	mt_chaos_test_t test = {0};
	bool passed;

	test.faults_ms = faults_ms;
	test.cluster = mt_cluster_new(build, port, seed);
	if (!test.cluster)
		return false;
	test.clients = mt_clients_new(test.cluster);
	test.faults = mt_faults_new(test.cluster);
	start_when_ready(&test);
	mt_loop_run(test.cluster->loop);
	passed = !test.cluster->breaches;
	printf("seed %u: %s, %u jobs, %u accepted, %u refusals, "
	       "%u faults%s%s\n",
	       seed, passed ? "passed" : "FAILED",
	       mt_clients_count(test.clients),
	       mt_clients_accepted(test.clients),
	       mt_clients_refusals(test.clients), mt_faults_count(test.faults),
	       passed ? "" : ", logs kept in ",
	       passed ? "" : test.cluster->dir);
	fflush(stdout);
	mt_cluster_shut_down(test.cluster, passed);
	return passed;
}

int main(int argc, char **argv)
{
	struct arg_str *build = arg_str0(NULL, "build", "DIR",
					 "build directory; default: build");
	struct arg_int *port =
		arg_int1(NULL, "port", "N", "first of 100 free ports");
	struct arg_int *seed =
		arg_int0(NULL, "seed", "N", "first seed; default: 1");
	struct arg_int *seeds =
		arg_int0(NULL, "seeds", "N", "number of seeds; default: 1");
	struct arg_int *seconds = arg_int0(NULL, "seconds", "N",
					   "duration of faults; default: 15");
	struct arg_end *end = arg_end(4);
	void *table[] = {build, port, seed, seeds, seconds, end};
	unsigned passed_tests = 0;

	build->sval[0] = "build";
	seed->ival[0] = 1;
	seeds->ival[0] = 1;
	seconds->ival[0] = 15;
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	for (int i = 0; i < seeds->ival[0]; i++)
		passed_tests +=
			run_seed(build->sval[0], (uint16_t)port->ival[0],
				 (guint32)(seed->ival[0] + i),
				 (mt_ms_t)seconds->ival[0] * 1000);
	printf("%u passed, %u failed\n", passed_tests,
	       (unsigned)seeds->ival[0] - passed_tests);
	return passed_tests == (unsigned)seeds->ival[0] ? 0 : 1;
}
