/** @file scenario.c The scenarios of the review. */
#include "scenario.h"

#include <stdio.h>
#include <string.h>

/* From the bounds of the site in SYSTEM.md. */
#define FINISH_MS 14000u
#define CANCEL_MS 3000u
#define CONTACT_MS 4000u

static unsigned stage;
static mt_ms_t stage_at;

static void next_stage(void)
{
	stage++;
	stage_at = now_ms();
}

static mt_ms_t in_stage(void)
{
	return now_ms() - stage_at;
}

static char *job_body(const char *spec, unsigned count, unsigned cpu,
		      unsigned estimate_ms, const char *more)
{
	return g_strdup_printf(
		"{\"spec\":\"%s\",\"steps\":[{\"count\":%u,\"cpu\":%u,"
		"\"mem_mb\":64,\"estimate_ms\":%u%s}]}",
		spec, count, cpu, estimate_ms, more);
}

static void set_store(store_mode_t mode)
{
	for (unsigned i = 0; i < scenario.n_hosts; i++)
		store_set_mode(i, mode);
	record("store: %s for all hosts",
	       mode == STORE_UP ? "up" : "down (busy)");
}

/* many-ends: over 500 subtasks of one worker end while the store is down. */

#define SMALL_JOBS 11u
#define SMALL_TASKS 57u
#define SMALL_MS 9000u
#define SMALL_GAP_MS 250u
#define OUTAGE_MS 4500u

static reply_t replies[SMALL_JOBS];
static reply_t states[SMALL_JOBS];
static unsigned n_sent;
static mt_ms_t first_start;

static void small_path(char *text, size_t size, unsigned i)
{
	g_snprintf(text, size, "/batch/%016x", 0xa0 + i);
}

static bool all_complete(void)
{
	for (unsigned i = 0; i < SMALL_JOBS; i++) {
		if (!strstr(states[i].body, "completed"))
			return false;
	}
	return true;
}

static void ask_states(void)
{
	static mt_ms_t asked_at;

	if (now_ms() - asked_at < 500)
		return;
	asked_at = now_ms();
	for (unsigned i = 0; i < SMALL_JOBS; i++) {
		char path[40];

		if (states[i].sent && !states[i].done)
			continue;
		if (strstr(states[i].body, "completed"))
			continue;
		small_path(path, sizeof(path), i);
		call_host(i % scenario.n_hosts, "GET", path, "", &states[i]);
	}
}

static void play_many_ends(void)
{
	char path[40];
	char *body;
	char *why;
	unsigned twice;

	switch (stage) {
	case 0:
		if (hosts_are_ready() && leading_host() >= 0)
			next_stage();
		break;
	case 1:
		if (in_stage() < 1000 + n_sent * SMALL_GAP_MS)
			break;
		small_path(path, sizeof(path), n_sent);
		body = job_body("ms=9000 cpu=100", SMALL_TASKS, 100, SMALL_MS,
				"");
		call_host(n_sent % scenario.n_hosts, "POST", path, body,
			  &replies[n_sent]);
		g_free(body);
		if (!first_start)
			first_start = now_ms();
		if (++n_sent == SMALL_JOBS)
			next_stage();
		break;
	case 2:
		/* The first ends are due now. */
		if (now_ms() - first_start < SMALL_MS - 300)
			break;
		if (runs_now("") < SMALL_JOBS * SMALL_TASKS)
			finish(2, "not all subtasks run");
		if (scenario.trouble)
			set_store(STORE_BUSY);
		next_stage();
		break;
	case 3:
		if (in_stage() < OUTAGE_MS)
			break;
		if (scenario.trouble)
			set_store(STORE_UP);
		next_stage();
		break;
	case 4:
		ask_states();
		if (!all_complete() && in_stage() < 30000)
			break;
		if (in_stage() < 12000)
			break;
		twice = count_twice();
		why = g_strdup_printf("%u subtasks, %u starts, %u ended done; "
				      "%u starts break "
				      "TWICE; all jobs completed: %s",
				      SMALL_JOBS * SMALL_TASKS,
				      runs_started(""), runs_ended("", "done"),
				      twice, all_complete() ? "yes" : "no");
		finish(twice ? 1 : all_complete() ? 0 : 2, why);
	}
}

/* large-jobs: the store is down for some seconds while large jobs run. */

#define LARGE_JOBS 5u
#define LARGE_TASKS 10000u
#define LARGE_RUNS_MS 6000u
#define LARGE_PREFIX "0000000000000b"
#define NEXT_JOB "0000000000000c01"

static reply_t large_replies[LARGE_JOBS];
static reply_t next_reply;
static mt_ms_t idle_since;
static unsigned n_before_next;

static void play_large_jobs(void)
{
	char *body;
	char *why;

	switch (stage) {
	case 0:
		if (hosts_are_ready() && leading_host() >= 0)
			next_stage();
		break;
	case 1:
		if (in_stage() < 1000)
			break;
		body = job_body("ms=3000 vary=200 cpu=1100", LARGE_TASKS, 1100,
				4500, ",\"anti_affinity\":11");
		for (unsigned i = 0; i < LARGE_JOBS; i++) {
			char path[40];

			g_snprintf(path, sizeof(path),
				   "/batch/" LARGE_PREFIX "%02x", i);
			call_host(i % scenario.n_hosts, "POST", path, body,
				  &large_replies[i]);
		}
		g_free(body);
		next_stage();
		break;
	case 2:
		if (in_stage() < LARGE_RUNS_MS)
			break;
		if (runs_now(LARGE_PREFIX) < 100)
			finish(2, "the large jobs do not run");
		if (scenario.trouble)
			set_store(STORE_BUSY);
		next_stage();
		break;
	case 3:
		if (in_stage() < OUTAGE_MS)
			break;
		if (scenario.trouble)
			set_store(STORE_UP);
		next_stage();
		break;
	case 4:
		/* Calm for longer than contact_ms. */
		if (in_stage() < CONTACT_MS + 2000)
			break;
		body = job_body("ms=1000 cpu=1100", 1, 1100, 1000, "");
		call_host(1, "POST", "/urgent/" NEXT_JOB, body, &next_reply);
		g_free(body);
		n_before_next = runs_started("");
		idle_since = now_ms();
		next_stage();
		break;
	case 5:
		if (next_reply.done && next_reply.status != 200)
			finish(2, "the second job was not accepted");
		/* LOST: `finish_s` after the end of the traffic, and for 3 s.
		 */
		if (in_stage() < FINISH_MS + 3000)
			break;
		why = g_strdup_printf(
			"accepted job %s: %u starts in %u s; starts of any job "
			"in that time: %u; subtasks running now: %u of %u; "
			"appends refused for their size: %u",
			NEXT_JOB, runs_started(NEXT_JOB),
			(FINISH_MS + 3000) / 1000,
			runs_started("") - n_before_next, runs_now(""),
			scenario.n_workers * (scenario.worker_cpu / 1100),
			store_oversized);
		finish(!runs_started(NEXT_JOB) && !runs_now("") ? 1 : 0, why);
	}
}

/* lasting-done: a subtask that lasts ends `done`. */

#define LASTING_JOB "0000000000000d01"
#define LASTING_CALM_MS 9000u

static reply_t lasting_reply;
static reply_t lasting_state;

static void play_lasting_done(void)
{
	char *body;
	char *why;

	switch (stage) {
	case 0:
		if (hosts_are_ready() && leading_host() >= 0)
			next_stage();
		break;
	case 1:
		if (in_stage() < 1000)
			break;
		body = job_body("ms=0 cpu=1000", 1, 1000, 1000,
				",\"long_running\":true");
		call_host(0, "POST", "/batch/" LASTING_JOB, body,
			  &lasting_reply);
		g_free(body);
		next_stage();
		break;
	case 2:
		if (in_stage() < 6000)
			break;
		if (!runs_now(LASTING_JOB))
			finish(2, "the subtask does not run");
		for (unsigned i = 0; scenario.trouble && i < scenario.n_workers;
		     i++)
			worker_end_runs(scenario.workers[i], LASTING_JOB,
					"done");
		next_stage();
		break;
	case 3:
		/* LOST: nothing running for 3 s, from 6 s after its last run,
		 * and 4 s before them calm. */
		if (in_stage() < LASTING_CALM_MS + 1000)
			break;
		call_host(1, "GET", "/batch/" LASTING_JOB, "", &lasting_state);
		next_stage();
		break;
	case 4:
		if (!lasting_state.done)
			break;
		why = g_strdup_printf(
			"subtask of a job that lasts, not cancelled: %u "
			"starts, "
			"%u running %u s after its end; the job is shown as %s",
			runs_started(LASTING_JOB), runs_now(LASTING_JOB),
			(LASTING_CALM_MS + 1000) / 1000, lasting_state.body);
		finish(runs_now(LASTING_JOB) ? 0 : 1, why);
	}
}

/* cancel-unstored: a job is cancelled whose submission got no answer. */

#define CUT_JOB "0000000000000e01"
#define NODES_DOWN_MS 9000u

static reply_t submit_reply;
static reply_t cancel_reply;
static unsigned cut_host;
static unsigned other_host;
static mt_ms_t down_at;
static mt_ms_t up_at;

static unsigned starts_after(const char *prefix, mt_ms_t after)
{
	unsigned n = 0;

	for (guint i = 0; i < run_events->len; i++) {
		const run_event_t *event = run_events->pdata[i];

		n += event->started_at > after &&
		     g_str_has_prefix(event->task, prefix);
	}
	return n;
}

static void play_cancel_unstored(void)
{
	mt_ms_t late;
	char *why;

	switch (stage) {
	case 0:
		if (!hosts_are_ready() || leading_host() < 0)
			break;
		next_stage();
		break;
	case 1:
		if (in_stage() < 3000)
			break;
		cut_host = ((unsigned)leading_host() + 1) % scenario.n_hosts;
		other_host = ((unsigned)leading_host() + 2) % scenario.n_hosts;
		down_at = now_ms();
		up_at = down_at + NODES_DOWN_MS;
		if (scenario.trouble) {
			store_set_mode(cut_host, STORE_SILENT);
			record("store: silent for host-%u only", cut_host);
		}
		next_stage();
		break;
	case 2:
		if (in_stage() < 100)
			break;
		call_host(cut_host, "POST", "/batch/" CUT_JOB,
			  "{\"spec\":\"ms=9000 cpu=1000\",\"steps\":["
			  "{\"count\":1,\"cpu\":1000,\"mem_mb\":64,"
			  "\"estimate_ms\":9000},{\"count\":1,\"cpu\":1000,"
			  "\"mem_mb\":64,\"estimate_ms\":9000,"
			  "\"depends_on\":[0]}]}",
			  &submit_reply);
		next_stage();
		break;
	case 3:
		if (!submit_reply.done)
			break;
		if (submit_reply.status == 503)
			finish(2, "the submission was rejected");
		call_host(other_host, "DELETE", "/batch/" CUT_JOB, "",
			  &cancel_reply);
		next_stage();
		break;
	case 4:
		if (!cancel_reply.done)
			break;
		if (cancel_reply.status != 200 && cancel_reply.status != 410)
			finish(2, "the cancelling was not acknowledged");
		next_stage();
		break;
	case 5:
		if (now_ms() < up_at)
			break;
		if (scenario.trouble) {
			store_set_mode(cut_host, STORE_UP);
			record("store: up for host-%u", cut_host);
		}
		next_stage();
		break;
	case 6:
		if (in_stage() < 20000)
			break;
		/* Starts by a machine in touch, later than cancel_ms. */
		late = MAX(cancel_reply.done_at + CANCEL_MS,
			   up_at + CONTACT_MS);
		why = g_strdup_printf(
			"submission: %d, cancelling: %d; starts after that: "
			"%u, of which by a machine in touch and later than "
			"cancel_ms: %u",
			submit_reply.status, cancel_reply.status,
			starts_after(CUT_JOB, cancel_reply.done_at),
			starts_after(CUT_JOB, late));
		finish(starts_after(CUT_JOB, late) ? 1 : 0, why);
	}
}

/* silent-channels: open channels to the workers go silent, new ones work. */

#define SERVING_JOB "0000000000000f01"
#define SERVING_TASKS 4u
#define MISS_ALLOWED 1u

#define OTHER_JOB "0000000000000f02"

static reply_t serving_reply;
static reply_t other_reply;
static mt_ms_t silent_at;

/**
 * AVAIL: a lease that lapses with no impairment near ends a subtask at work
 * while `miss_allowed` others of its step are away.
 */
static unsigned count_misses(void)
{
	unsigned n = 0;

	for (guint i = 0; i < run_events->len; i++) {
		const run_event_t *event = run_events->pdata[i];
		unsigned others_at_work = 0;

		if (!event->how || strcmp(event->how, "lapsed") ||
		    !g_str_has_prefix(event->task, SERVING_JOB) ||
		    event->ended_at < silent_at + CONTACT_MS)
			continue;
		for (guint k = 0; k < run_events->len; k++) {
			const run_event_t *other = run_events->pdata[k];

			/* Of ends at the same time, the first comes first. */
			others_at_work +=
				k != i &&
				g_str_has_prefix(other->task, SERVING_JOB) &&
				other->started_at < event->ended_at &&
				(!other->how ||
				 other->ended_at > event->ended_at ||
				 (other->ended_at == event->ended_at && k > i));
		}
		if (SERVING_TASKS - 1 - others_at_work < MISS_ALLOWED)
			continue;
		record("AVAIL: the lease of %s run %u on worker %u lapsed "
		       "%" G_GUINT64_FORMAT
		       " ms after the channels went silent, with %u others "
		       "away",
		       event->task, event->run, event->worker,
		       event->ended_at - silent_at,
		       SERVING_TASKS - 1 - others_at_work);
		n++;
	}
	return n;
}

static void play_silent_channels(void)
{
	char *body;
	char *why;
	unsigned misses;

	switch (stage) {
	case 0:
		if (hosts_are_ready() && leading_host() >= 0)
			next_stage();
		break;
	case 1:
		if (in_stage() < 1000)
			break;
		body = job_body("ms=0 cpu=1000", SERVING_TASKS, 1000, 1000,
				",\"long_running\":true,\"anti_affinity\":1,"
				"\"miss_allowed\":1");
		call_host(0, "POST", "/batch/" SERVING_JOB, body,
			  &serving_reply);
		g_free(body);
		next_stage();
		break;
	case 2:
		/* Other work on the same workers, so that a start is sent while
		 * a hold is open. */
		if (in_stage() < 3000)
			break;
		body = job_body("ms=60000 cpu=1000", SERVING_TASKS, 1000, 60000,
				",\"anti_affinity\":1");
		call_host(0, "POST", "/batch/" OTHER_JOB, body, &other_reply);
		g_free(body);
		next_stage();
		break;
	case 3:
		if (in_stage() < 7000)
			break;
		if (runs_now(SERVING_JOB) < SERVING_TASKS)
			finish(2, "the subtasks do not run");
		silent_at = now_ms();
		if (scenario.trouble)
			record("%u open channels to workers go silent",
			       proxy_silence());
		next_stage();
		break;
	case 4:
		if (in_stage() < 20000)
			break;
		misses = count_misses();
		why = g_strdup_printf(
			"%u subtasks that last: %u starts, %u leases lapsed, "
			"%u of them break AVAIL (miss_allowed %u); %u run now",
			SERVING_TASKS, runs_started(SERVING_JOB),
			runs_ended(SERVING_JOB, "lapsed"), misses, MISS_ALLOWED,
			runs_now(SERVING_JOB));
		finish(misses ? 1 : 0, why);
	}
}

/*
 * wide-gang: one job comes that can never be done, as its gang is wider than
 * all workers together. failing-job: one job comes of which each run fails.
 * Ordinary jobs are handed in before and after it.
 */

#define ORDINARY_JOBS 20u
#define ORDINARY_GAP_MS 400u
#define HOPELESS_AFTER 4u
#define HOPELESS_JOB "0000000000001bad"

static reply_t ordinary_replies[ORDINARY_JOBS];
static reply_t hopeless_reply;
static unsigned n_ordinary;

static void ordinary_path(char *text, size_t size, unsigned i)
{
	g_snprintf(text, size, "/batch/%016x", 0x2000 + i);
}

/** LOST: a job has nothing running, and has not ended, for 3 s. */
static unsigned count_not_run(void)
{
	unsigned n = 0;

	for (unsigned i = 0; i < n_ordinary; i++) {
		char id[20];

		g_snprintf(id, sizeof(id), "%016x", 0x2000 + i);
		if (ordinary_replies[i].status != 200 || runs_started(id))
			continue;
		record("LOST: the accepted job %s has not been started", id);
		n++;
	}
	return n;
}

static void play_hopeless(const char *hopeless_body)
{
	unsigned n_running;
	unsigned not_run;
	char path[40];
	char *body;
	char *why;

	switch (stage) {
	case 0:
		if (hosts_are_ready() && leading_host() >= 0)
			next_stage();
		break;
	case 1:
		if (in_stage() < 1000 + n_ordinary * ORDINARY_GAP_MS)
			break;
		ordinary_path(path, sizeof(path), n_ordinary);
		body = g_strdup("{\"spec\":\"ms=1500 cpu=1000\",\"steps\":["
				"{\"count\":2,\"cpu\":1000,\"mem_mb\":64,"
				"\"gpu\":1,\"estimate_ms\":1500}]}");
		call_host(n_ordinary % scenario.n_hosts, "POST", path, body,
			  &ordinary_replies[n_ordinary]);
		g_free(body);
		if (++n_ordinary == HOPELESS_AFTER && scenario.trouble)
			call_host(0, "POST", "/batch/" HOPELESS_JOB,
				  hopeless_body, &hopeless_reply);
		if (n_ordinary == ORDINARY_JOBS)
			next_stage();
		break;
	case 2:
		if (in_stage() < FINISH_MS + 3000)
			break;
		if (scenario.trouble && hopeless_reply.status != 200)
			finish(2, "the hopeless job was not accepted");
		not_run = count_not_run();
		n_running = runs_now("");
		why = g_strdup_printf(
			"%u ordinary jobs, %u of them without a start %u s "
			"after the last was handed in; %u subtasks run on %u "
			"workers",
			n_ordinary, not_run, (FINISH_MS + 3000) / 1000,
			n_running, scenario.n_workers);
		finish(not_run ? 1 : 0, why);
	}
}

static void play_wide_gang(void)
{
	play_hopeless("{\"spec\":\"ms=1500 cpu=1000\",\"steps\":["
		      "{\"count\":72,\"cpu\":1000,\"mem_mb\":64,\"gpu\":1,"
		      "\"estimate_ms\":1500,\"gang\":true}]}");
}

static void play_failing_job(void)
{
	play_hopeless("{\"spec\":\"ms=300 cpu=1000 fails\",\"steps\":["
		      "{\"count\":16,\"cpu\":1000,\"mem_mb\":64,\"gpu\":1,"
		      "\"estimate_ms\":1500}]}");
}

/* long-runs: the subtasks of a job take ten times as long as estimated. */

#define LONG_JOB "0000000000003a01"
#define LONG_TASKS 64u
#define LONG_ESTIMATE_MS 60000u
#define LONG_FACTOR 10u
#define LOST_GAP_MS 3000u

static reply_t long_reply;
static mt_ms_t long_gap_since;
static mt_ms_t longest_gap;

/** Notes for how long the job has had nothing running. */
static void watch_gap(void)
{
	if (runs_now(LONG_JOB)) {
		long_gap_since = 0;
		return;
	}
	if (!long_gap_since) {
		long_gap_since = now_ms();
		record("nothing of job %s runs", LONG_JOB);
	}
	longest_gap = MAX(longest_gap, now_ms() - long_gap_since);
}

static void play_long_runs(void)
{
	char *spec;
	char *body;
	char *why;

	switch (stage) {
	case 0:
		if (hosts_are_ready() && leading_host() >= 0)
			next_stage();
		break;
	case 1:
		if (in_stage() < 1000)
			break;
		spec = g_strdup_printf("ms=%u cpu=1000",
				       scenario.trouble
					       ? LONG_ESTIMATE_MS * LONG_FACTOR
					       : LONG_ESTIMATE_MS);
		body = job_body(spec, LONG_TASKS, 1000, LONG_ESTIMATE_MS,
				",\"gpu\":1");
		call_host(0, "POST", "/batch/" LONG_JOB, body, &long_reply);
		g_free(body);
		g_free(spec);
		next_stage();
		break;
	case 2:
		if (long_reply.done && long_reply.status != 200)
			finish(2, "the job was not accepted");
		if (in_stage() < FINISH_MS)
			break;
		next_stage();
		break;
	case 3:
		watch_gap();
		if (in_stage() < 30000)
			break;
		why = g_strdup_printf(
			"%u subtasks, %u starts and %u stops in %u s; from "
			"%u s on, the longest time with nothing running: "
			"%" G_GUINT64_FORMAT " ms",
			LONG_TASKS, runs_started(LONG_JOB),
			runs_ended(LONG_JOB, "stopped"),
			(FINISH_MS + 30000) / 1000, FINISH_MS / 1000,
			longest_gap);
		finish(longest_gap >= LOST_GAP_MS ? 1 : 0, why);
	}
}

/*
 * oversized-job: a job comes whose body is as large as `max_body_bytes` allows.
 * Its client repeats it at the next host after each 504. Then a client cancels
 * a job that runs.
 */

#define MAX_BODY_BYTES 262144u
#define OVERSIZED_JOB "0000000000004b16"
#define RUNNING_JOB "0000000000004a01"
#define ACK_TIMEOUT_MS 5000u
#define STOP_TIMEOUT_MS 400u

static reply_t running_reply;
static reply_t oversized_reply;
static reply_t stop_reply;
static reply_t small_reply;
static unsigned oversized_host;
static unsigned stop_host;
static mt_ms_t stop_asked_at;
static mt_ms_t stop_acked_at;

static char *oversized_body(void)
{
	const char *head = "{\"spec\":\"ms=1000 cpu=1000\",\"steps\":["
			   "{\"count\":1,\"cpu\":1000,\"estimate_ms\":1000,"
			   "\"image\":\"";
	const char *tail = "\"}]}";
	size_t len = MAX_BODY_BYTES - strlen(head) - strlen(tail);
	char *image = g_strnfill(len, 'i');
	char *body = g_strconcat(head, image, tail, NULL);

	g_free(image);
	return body;
}

static void play_oversized_job(void)
{
	char *body;
	char *why;
	bool broken;

	switch (stage) {
	case 0:
		if (hosts_are_ready() && leading_host() >= 0)
			next_stage();
		break;
	case 1:
		if (in_stage() < 1000)
			break;
		body = job_body("ms=90000 cpu=1000", 2, 1000, 90000, "");
		call_host(0, "POST", "/batch/" RUNNING_JOB, body,
			  &running_reply);
		g_free(body);
		next_stage();
		break;
	case 2:
		if (in_stage() < 2000)
			break;
		if (runs_now(RUNNING_JOB) != 2)
			finish(2, "the first job does not run");
		next_stage();
		break;
	case 3:
		/* The usual retries of a client: at the next host. */
		if (!scenario.trouble) {
			next_stage();
			break;
		}
		if (oversized_reply.sent && !oversized_reply.done)
			break;
		if (oversized_host == scenario.n_hosts ||
		    (oversized_reply.done && oversized_reply.status != 504)) {
			next_stage();
			break;
		}
		body = oversized_body();
		call_host(oversized_host++, "POST", "/batch/" OVERSIZED_JOB,
			  body, &oversized_reply);
		g_free(body);
		break;
	case 4:
		/* Cancels until it is acknowledged. */
		if (!stop_asked_at)
			stop_asked_at = now_ms();
		if (stop_reply.done &&
		    (stop_reply.status == 200 || stop_reply.status == 410)) {
			stop_acked_at = stop_reply.done_at;
			next_stage();
		} else if (in_stage() > ACK_TIMEOUT_MS) {
			stop_acked_at = stop_asked_at + ACK_TIMEOUT_MS;
			next_stage();
		} else if (!stop_reply.sent || stop_reply.done) {
			call_host(stop_host++ % scenario.n_hosts, "DELETE",
				  "/batch/" RUNNING_JOB, "", &stop_reply);
		}
		break;
	case 5:
		if (now_ms() <
		    stop_acked_at + CANCEL_MS + STOP_TIMEOUT_MS + 500)
			break;
		body = job_body("ms=1000 cpu=1000", 1, 1000, 1000, "");
		call_host(0, "POST", "/batch/0000000000004c01", body,
			  &small_reply);
		g_free(body);
		next_stage();
		break;
	case 6:
		/* The rule is judged here; the small job is only shown. */
		if (!small_reply.done)
			break;
		broken = runs_now(RUNNING_JOB) > 0;
		why = g_strdup_printf(
			"oversized job: last answer %d after %u hosts; "
			"cancelling: last answer %d; the cancelled job has %u "
			"subtasks running %" G_GUINT64_FORMAT " ms after it "
			"was first asked for; a new small job gets %d; "
			"appends refused for their size: %u",
			oversized_reply.status, oversized_host,
			stop_reply.status, runs_now(RUNNING_JOB),
			now_ms() - stop_asked_at, small_reply.status,
			store_oversized);
		finish(broken ? 1 : 0, why);
	}
}

/* long-name: a version adds a route whose name has more than 47 bytes. */

#define CONFIG_APPLY_MS 2500u
#define SHORT_NAME "albums"
#define LONG_NAME "batch-colorize-of-family-albums-for-the-northern-shops"

static reply_t album_reply;

static void play_long_name(void)
{
	char *body;
	char *why;

	switch (stage) {
	case 0:
		if (hosts_are_ready() && leading_host() >= 0)
			next_stage();
		break;
	case 1:
		if (in_stage() < 1000)
			break;
		put_config(2, scenario.trouble ? LONG_NAME : SHORT_NAME);
		next_stage();
		break;
	case 2:
		if (in_stage() < CONFIG_APPLY_MS + CONTACT_MS)
			break;
		body = job_body("ms=500 cpu=1000", 1, 1000, 500, "");
		call_host(0, "POST", "/albums/0000000000005a01", body,
			  &album_reply);
		g_free(body);
		next_stage();
		break;
	case 3:
		if (!album_reply.done)
			break;
		why = g_strdup_printf("a call on the added route, %u ms after "
				      "the version: %d",
				      CONFIG_APPLY_MS + CONTACT_MS,
				      album_reply.status);
		finish(album_reply.status == 404   ? 1
		       : album_reply.status == 200 ? 0
						   : 2,
		       why);
	}
}

/*
 * reborn-cut: a worker without work crashes and starts again under its id. It
 * gets work at once, and is cut off soon after that.
 */

#define REBORN_CUT_MS 12000u

static reply_t warm_reply;
static reply_t reborn_reply;
static worker_t *reborn;

static void play_reborn_cut(void)
{
	unsigned twice;
	char *body;
	char *why;

	switch (stage) {
	case 0:
		if (hosts_are_ready() && leading_host() >= 0)
			next_stage();
		break;
	case 1:
		if (in_stage() < 12000)
			break;
		/* One job a worker, so that each of them has been used. */
		body = job_body("ms=500 cpu=64000", 2, 64000, 500, "");
		call_host(0, "POST", "/batch/0000000000006a01", body,
			  &warm_reply);
		g_free(body);
		next_stage();
		break;
	case 2:
		if (in_stage() < 8000)
			break;
		if (scenario.trouble)
			worker_restart(scenario.workers[0]);
		body = job_body("ms=30000 cpu=40000", 1, 40000, 30000, "");
		call_host(0, "POST", "/batch/0000000000006a02", body,
			  &reborn_reply);
		g_free(body);
		next_stage();
		break;
	case 3:
		if (in_stage() < 500)
			break;
		for (unsigned i = 0; i < scenario.n_workers; i++) {
			if (worker_n_running(scenario.workers[i]))
				reborn = scenario.workers[i];
		}
		if (reborn != scenario.workers[0])
			finish(2, "the job runs on another worker");
		worker_cut(reborn, true);
		next_stage();
		break;
	case 4:
		if (in_stage() < REBORN_CUT_MS)
			break;
		worker_cut(reborn, false);
		next_stage();
		break;
	case 5:
		if (in_stage() < 4000)
			break;
		twice = count_twice();
		why = g_strdup_printf("%u starts of the subtask; %u break "
				      "TWICE",
				      runs_started("0000000000006a02"), twice);
		finish(twice ? 1 : 0, why);
	}
}

/*
 * full-rack: the rack with a job's data is full of long work, the other two
 * racks are idle.
 */

#define RACK_GPUS 64u
#define DATA_JOB "0000000000007a02"

static reply_t filling_reply;
static reply_t data_reply;
static mt_ms_t data_waits_since;
static mt_ms_t data_gap;

static void play_full_rack(void)
{
	char *body;
	char *why;

	switch (stage) {
	case 0:
		if (hosts_are_ready() && leading_host() >= 0)
			next_stage();
		break;
	case 1:
		if (in_stage() < 1000)
			break;
		body = job_body("ms=60000 cpu=4000", RACK_GPUS, 4000, 60000,
				",\"gpu\":1,\"data_rack\":\"r1-0\"");
		if (scenario.trouble)
			call_host(0, "POST", "/batch/0000000000007a01", body,
				  &filling_reply);
		g_free(body);
		next_stage();
		break;
	case 2:
		if (in_stage() < 3000)
			break;
		if (scenario.trouble && runs_now("") != RACK_GPUS)
			finish(2, "the rack is not full");
		body = job_body("ms=15000 cpu=4000", 2, 4000, 15000,
				",\"gpu\":1,\"data_rack\":\"r1-0\"");
		call_host(1, "POST", "/batch/" DATA_JOB, body, &data_reply);
		g_free(body);
		next_stage();
		break;
	case 3:
		if (in_stage() < FINISH_MS)
			break;
		next_stage();
		break;
	case 4:
		if (!runs_started(DATA_JOB)) {
			if (!data_waits_since)
				data_waits_since = now_ms();
			data_gap = now_ms() - data_waits_since;
		}
		if (in_stage() < 10000)
			break;
		why = g_strdup_printf(
			"a job whose data rack is full: nothing of it runs for "
			"%" G_GUINT64_FORMAT " ms from %u s after its hand-in "
			"on; %u subtasks run on 24 workers",
			data_gap, FINISH_MS / 1000, runs_now(""));
		finish(data_gap >= LOST_GAP_MS ? 1 : 0, why);
	}
}

/* slow-links: all links are slow for 20 s while jobs run. */

#define SLOW_JOBS 16u

static reply_t slow_replies[SLOW_JOBS];
static unsigned n_slow;

static void play_slow_links(void)
{
	static const mt_ms_t delays_ms[] = {700, 1500, 2500, 700};
	unsigned twice;
	char path[40];
	char *body;
	char *why;

	if (stage == 0 && hosts_are_ready() && leading_host() >= 0)
		next_stage();
	if (stage == 0)
		return;
	if (n_slow < SLOW_JOBS && in_stage() > 1000 + n_slow * 1500) {
		g_snprintf(path, sizeof(path), "/batch/%016x", 0x8000 + n_slow);
		body = job_body("ms=2000 vary=200 cpu=4000", 8, 4000, 3500, "");
		call_host(n_slow % scenario.n_hosts, "POST", path, body,
			  &slow_replies[n_slow]);
		n_slow++;
		g_free(body);
	}
	if (scenario.trouble && in_stage() > 5000 && in_stage() < 25000)
		proxy_delay(delays_ms[(in_stage() / 2500) %
				      G_N_ELEMENTS(delays_ms)]);
	else
		proxy_delay(0);
	if (in_stage() < 60000)
		return;
	twice = count_twice();
	why = g_strdup_printf("%u starts, %u ended done, %u lapsed; %u break "
			      "TWICE; %u still run",
			      runs_started(""), runs_ended("", "done"),
			      runs_ended("", "lapsed"), twice, runs_now(""));
	finish(twice ? 1 : 0, why);
}

/* List. */

bool scenario_find(const char *name)
{
	static const struct {
		const char *name;
		unsigned n_workers;
		unsigned worker_cpu;
		void (*play)(void);
	} list[] = {
		{"many-ends", 1, 64000, play_many_ends},
		{"large-jobs", 8, 64000, play_large_jobs},
		{"lasting-done", 2, 64000, play_lasting_done},
		{"silent-channels", 4, 64000, play_silent_channels},
		{"wide-gang", 8, 64000, play_wide_gang},
		{"oversized-job", 2, 64000, play_oversized_job},
		{"long-name", 2, 64000, play_long_name},
		{"reborn-cut", 2, 64000, play_reborn_cut},
		{"full-rack", 24, 64000, play_full_rack},
		{"slow-links", 6, 64000, play_slow_links},
		{"long-runs", 8, 64000, play_long_runs},
		{"failing-job", 4, 64000, play_failing_job},
		{"cancel-unstored", 2, 64000, play_cancel_unstored},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(list); i++) {
		if (strcmp(list[i].name, name))
			continue;
		scenario.n_workers = list[i].n_workers;
		scenario.worker_cpu = list[i].worker_cpu;
		scenario.play = list[i].play;
		return true;
	}
	return false;
}
