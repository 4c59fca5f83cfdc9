/**
 * @file main.c
 * Fault soak: the real entry hosts as separate processes against the stand-in
 * of the platform, with faults from outside them. Signals pause, stop, kill
 * and restart hosts; proxies on loopback delay, cut and reset connections; the
 * stand-in loses answers and crashes servers. Callers' view and the stand-in's
 * audits are checked while it runs.
 */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "chaos/callers.h"
#include "chaos/faults.h"
#include "chaos/cluster.h"

#define READY_MS 10000u
#define HEAL_MS 30000u
#define AUDIT_TIMEOUT_MS 2000u

typedef struct mt_run_t {
	mt_cluster_t *scene;
	mt_callers_t *callers;
	mt_faults_t *faults;
	mt_ms_t length_ms;
} mt_run_t;

static void on_audited(void *ctx, const mt_http_response_t *answer)
{
	mt_run_t *run = ctx;

	if (answer->result != MT_HTTP_RESPONSE ||
	    !mt_str_equal(answer->body, MT_STR("0")))
		mt_cluster_breach(
			run->scene,
			"the stand-in saw a rule broken; see its log");
	mt_loop_stop(run->scene->loop);
}

static void finish(void *ctx)
{
	mt_run_t *run = ctx;
	mt_http_request_t request = {0};

	mt_callers_check_all(run->callers);
	request.address = mt_name("127.0.0.1");
	request.port = run->scene->store_port;
	request.method = "GET";
	request.path = "/test/audit";
	request.timeout_ms = AUDIT_TIMEOUT_MS;
	mt_http_send(run->scene->http, &request, on_audited, run);
}

static void wait_for_ends(void *ctx)
{
	mt_run_t *run = ctx;
	mt_ms_t now = mt_cluster_now(run->scene);

	if (mt_callers_all_ended(run->callers) ||
	    now >= run->scene->healed_at + HEAL_MS)
		finish(run);
	else
		mt_timers_after(mt_cluster_timers(run->scene), 100,
				wait_for_ends, run);
}

static void heal(void *ctx)
{
	mt_run_t *run = ctx;

	mt_faults_end(run->faults);
	mt_callers_stop_posting(run->callers);
	run->scene->healed_at = mt_cluster_now(run->scene);
	wait_for_ends(run);
}

static void begin(void *ctx)
{
	mt_run_t *run = ctx;

	if (!mt_callers_all_ready(run->callers)) {
		if (mt_cluster_now(run->scene) <
		    READY_MS + run->scene->begun_at) {
			mt_timers_after(mt_cluster_timers(run->scene), 100,
					begin, run);
			return;
		}
		mt_cluster_breach(run->scene, "a host is not ready in time");
		mt_loop_stop(run->scene->loop);
		return;
	}
	mt_callers_start_posting(run->callers);
	mt_faults_begin(run->faults);
	mt_timers_after(mt_cluster_timers(run->scene), run->length_ms, heal,
			run);
}

/** @return true when no promise was broken */
static bool play(const char *build, uint16_t port, guint32 seed,
		 mt_ms_t length_ms)
{
	mt_run_t run = {0};
	bool good;

	run.length_ms = length_ms;
	run.scene = mt_cluster_new(build, port, seed);
	if (!run.scene)
		return false;
	run.callers = mt_callers_new(run.scene);
	run.faults = mt_faults_new(run.scene);
	begin(&run);
	mt_loop_run(run.scene->loop);
	good = !run.scene->breaches;
	printf("seed %u: %s, %u jobs, %u accepted, %u faults%s%s\n", seed,
	       good ? "passed" : "FAILED", mt_callers_count(run.callers),
	       mt_callers_accepted(run.callers), mt_faults_count(run.faults),
	       good ? "" : ", logs kept in ", good ? "" : run.scene->dir);
	fflush(stdout);
	mt_cluster_shut_down(run.scene, good);
	return good;
}

int main(int argc, char **argv)
{
	struct arg_str *build =
		arg_str0(NULL, "build", "DIR", "where the programs are; build");
	struct arg_int *port =
		arg_int1(NULL, "port", "N", "first of 100 free ports");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "first seed; 1");
	struct arg_int *seeds = arg_int0(NULL, "seeds", "N", "how many; 1");
	struct arg_int *seconds =
		arg_int0(NULL, "seconds", "N", "time with faults; 15");
	struct arg_end *end = arg_end(4);
	void *table[] = {build, port, seed, seeds, seconds, end};
	unsigned passed = 0;

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
		passed += play(build->sval[0], (uint16_t)port->ival[0],
			       (guint32)(seed->ival[0] + i),
			       (mt_ms_t)seconds->ival[0] * 1000);
	printf("%u passed, %u failed\n", passed,
	       (unsigned)seeds->ival[0] - passed);
	return passed == (unsigned)seeds->ival[0] ? 0 : 1;
}
