/**
 * @file main.c
 * Entry hosts on virtual time under random failures. A seed passes when no
 * rule was broken while it ran and every accepted job has come to its end on
 * every host.
 */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/fake_servers.h"
#include "fleet/fake_store.h"

#define WARM_UP_MS 4000u
#define TRAFFIC_MS 40000u
#define SETTLE_MS 120000u
#define JOB_EVERY_MS 350
#define FAULT_EVERY_MS 2500
#define RETRIES_MAX 4u
#define CANCEL_SHARE 0.1

/** Ended jobs are gone from the store after this time. */
#define FORGET_MS 320000u

/** A key that was taken away must be refused after this time. */
#define REVOKE_MS 5000u
#define REVOKE_AFTER_MS 12000u
#define REVOKED_TRY_MS 100u
#define VANISHED_MAX 2u
#define NEVER_MS 10000000u

/** What a caller knows of its job. */
typedef struct mt_caller_job_t {
	mt_world_t *world;
	uint64_t id;
	const char *queue;
	GBytes *body;
	unsigned tries;
	bool accepted;
	bool unsure; /**< some attempt may have been stored */
	bool cancelled;
} mt_caller_job_t;

typedef struct mt_play_t {
	mt_world_t *world;
	GPtrArray *jobs;
	uint64_t last_id;
	bool calm; /**< no further failures */
	mt_ms_t revoked_at;
} mt_play_t;

static mt_world_host_t *pick_host(mt_world_t *world)
{
	unsigned at = (unsigned)g_rand_int_range(world->rand, 0, FLEET_HOSTS);

	for (unsigned i = 0; i < FLEET_HOSTS; i++) {
		mt_world_host_t *host = world->hosts[(at + i) % FLEET_HOSTS];

		if (host && !host->frozen && mt_dag_host_is_ready(host->host))
			return host;
	}
	return world->hosts[at];
}

/* Callers. */

static void submit(void *ctx);

typedef struct mt_call_ctx_t {
	mt_caller_job_t *job;
	mt_world_host_t *host;
} mt_call_ctx_t;

static void on_cancelled(void *ctx, const mt_front_reply_t *reply)
{
	mt_caller_job_t *job = ctx;

	if (reply->outcome != MT_OUTCOME_CANCELLED)
		return;
	job->cancelled = true;
	mt_fake_fleet_forbid_starts(job->world->fleet, job->id,
				    mt_world_now(job->world));
}

static void call_host(mt_caller_job_t *job, mt_verb_t verb, mt_front_cb cb)
{
	mt_world_host_t *host = pick_host(job->world);
	char path[64];
	mt_front_call_t call = {0};

	if (!host || host->frozen) {
		/* Nobody listens: the attempt fails without an answer. */
		mt_front_reply_t reply = {MT_OUTCOME_NOT_DONE, 0, 0, 1};

		cb(job, &reply);
		return;
	}
	snprintf(path, sizeof(path), "/%s/%016" G_GINT64_MODIFIER "x",
		 job->queue, job->id);
	call.verb = verb;
	call.host = MT_STR("jobs.example");
	call.path = mt_str_from(path);
	call.key = MT_STR("key");
	call.body = mt_bytes_view(job->body);
	call.timeout_ms = 3000;
	mt_dag_front_call(mt_dag_host_front(host->host), &call, cb, job);
}

static void cancel(void *ctx)
{
	call_host(ctx, MT_VERB_CANCEL, on_cancelled);
}

static void on_submitted(void *ctx, const mt_front_reply_t *reply)
{
	mt_caller_job_t *job = ctx;
	mt_world_t *world = job->world;

	if (reply->outcome == MT_OUTCOME_ACCEPTED) {
		job->accepted = true;
		if (mt_world_chance(world, CANCEL_SHARE))
			mt_timers_after(world->timers,
					(mt_ms_t)g_rand_int_range(world->rand,
								  10, 8000),
					cancel, job);
		if (mt_world_chance(world, CANCEL_SHARE))
			mt_timers_after(world->timers, 3000, submit, job);
		return;
	}
	if (reply->outcome == MT_OUTCOME_UNKNOWN)
		job->unsure = true;
	else if (reply->outcome != MT_OUTCOME_NOT_DONE)
		mt_world_breach(world, "a good job got outcome %d",
				reply->outcome);
	if (job->tries < RETRIES_MAX)
		mt_timers_after(world->timers, 700, submit, job);
	else if (!job->unsure && !job->accepted)
		mt_fake_fleet_forbid_starts(world->fleet, job->id, 0);
}

static void submit(void *ctx)
{
	mt_caller_job_t *job = ctx;

	job->tries++;
	call_host(job, MT_VERB_SUBMIT, on_submitted);
}

static MtDag__Job *make_job(mt_play_t *play, bool urgent)
{
	GRand *rand = play->world->rand;
	MtDag__Job *job = calloc(1, sizeof(*job));
	unsigned steps = urgent ? 1 : (unsigned)g_rand_int_range(rand, 1, 3);

	mt_dag__job__init(job);
	job->id = ++play->last_id;
	job->payload = strdup("payload");
	job->n_steps = steps;
	job->steps = calloc(steps, sizeof(MtDag__Step *));
	for (unsigned i = 0; i < steps; i++) {
		MtDag__Step *step = calloc(1, sizeof(*step));

		mt_dag__step__init(step);
		step->count = (unsigned)g_rand_int_range(rand, 1, 8);
		step->cpu_milli = urgent ? 7500 : 26000;
		step->mem_mb = 39000;
		step->gpu = urgent ? 2 : 4;
		step->gang = urgent || mt_world_chance(play->world, 0.5);
		step->same_rack =
			step->gang && mt_world_chance(play->world, 0.5);
		step->checkpointing = mt_world_chance(play->world, 0.5);
		step->estimate_ms = (uint32_t)g_rand_int_range(rand, 300, 5000);
		if (i) {
			step->after = calloc(1, sizeof(*step->after));
			step->after[0] = i - 1;
			step->n_after = 1;
		}
		job->steps[i] = step;
	}
	return job;
}

static void on_arrival(void *ctx)
{
	mt_play_t *play = ctx;
	mt_world_t *world = play->world;
	bool urgent = mt_world_chance(world, 0.6);
	MtDag__Job *spec;
	mt_caller_job_t *job;

	if (play->calm)
		return;
	spec = make_job(play, urgent);
	job = g_new0(mt_caller_job_t, 1);
	job->world = world;
	job->id = spec->id;
	job->queue = urgent			   ? "urgent"
		     : mt_world_chance(world, 0.3) ? "advised"
						   : "batch";
	free(spec->queue != protobuf_c_empty_string ? spec->queue : NULL);
	spec->queue = strdup(job->queue);
	job->body = mt_dag_pack(&spec->base);
	g_ptr_array_add(play->jobs, job);
	mt_fake_fleet_register_job(world->fleet, spec);
	mt_dag__job__free_unpacked(spec, NULL);
	submit(job);
	mt_timers_after(
		world->timers,
		(mt_ms_t)g_rand_int_range(world->rand, 20, 2 * JOB_EVERY_MS),
		on_arrival, play);
}

/* A key that is taken away. */

typedef struct mt_revoked_t {
	mt_world_t *world;
	mt_ms_t sent_at;
	mt_ms_t revoked_at;
} mt_revoked_t;

static void on_revoked_reply(void *ctx, const mt_front_reply_t *reply)
{
	mt_revoked_t *call = ctx;

	if (reply->outcome == MT_OUTCOME_PENDING &&
	    call->sent_at > call->revoked_at + REVOKE_MS)
		mt_world_breach(call->world,
				"a key was accepted %u ms after its end",
				(unsigned)(call->sent_at - call->revoked_at));
	g_free(call);
}

/** Looks at a queue with the key, at any host, cut or not. */
static void try_revoked(void *ctx)
{
	mt_play_t *play = ctx;
	mt_world_t *world = play->world;
	mt_world_host_t *host =
		world->hosts[g_rand_int_range(world->rand, 0, FLEET_HOSTS)];
	mt_revoked_t *revoked;
	mt_front_call_t call = {0};

	if (!host || host->frozen)
		return;
	revoked = g_new0(mt_revoked_t, 1);
	revoked->world = world;
	revoked->sent_at = mt_world_now(world);
	revoked->revoked_at = play->revoked_at;
	call.verb = MT_VERB_SHOW;
	call.host = MT_STR("jobs.example");
	call.path = MT_STR("/urgent/");
	call.key = MT_STR("revoked");
	call.timeout_ms = 3000;
	mt_dag_front_call(mt_dag_host_front(host->host), &call,
			  on_revoked_reply, revoked);
}

static void revoke(void *ctx)
{
	mt_play_t *play = ctx;

	mt_fake_store_put(play->world->store, "keyed.op", "config",
			  MT_STR("2"));
	play->revoked_at = mt_world_now(play->world);
	mt_timers_every(play->world->timers, REVOKED_TRY_MS, try_revoked, play);
}

/* Failures. */

typedef struct mt_mend_t {
	mt_world_t *world;
	unsigned index;
} mt_mend_t;

static mt_mend_t *new_mend(mt_world_t *world, unsigned index)
{
	mt_mend_t *mend = g_new0(mt_mend_t, 1);

	mend->world = world;
	mend->index = index;
	return mend;
}

static void mend_store(void *ctx)
{
	mt_mend_t *mend = ctx;

	mend->world->store_down = false;
	mend->world->store_lost = 0;
	mend->world->store_extra_ms = 0;
	mend->world->order_lost = 0;
	mend->world->order_unsent = 0;
	mend->world->order_busy = 0;
	g_free(mend);
}

static void mend_host(void *ctx)
{
	mt_mend_t *mend = ctx;
	mt_world_host_t *host = mend->world->hosts[mend->index];

	if (!host) {
		mt_world_start_host(mend->world, mend->index);
	} else {
		host->store_unreachable = false;
		host->servers_unreachable = false;
		if (host->frozen)
			mt_world_freeze_host(mend->world, mend->index, false);
	}
	g_free(mend);
}

static void mend_server(void *ctx)
{
	mt_mend_t *mend = ctx;

	mt_fake_fleet_set_unreachable(mend->world->fleet, mend->index, false);
	mt_fake_fleet_set_stalled(mend->world->fleet, mend->index, false);
	g_free(mend);
}

static unsigned leader_of(const mt_world_t *world)
{
	for (unsigned i = 0; i < FLEET_HOSTS; i++) {
		if (world->hosts[i] &&
		    mt_dag_host_is_leading(world->hosts[i]->host))
			return i;
	}
	return 0;
}

static void harm_host(mt_world_t *world, unsigned kind, mt_ms_t lasts)
{
	unsigned index = mt_world_chance(world, 0.6)
				 ? leader_of(world)
				 : (unsigned)g_rand_int_range(world->rand, 0,
							      FLEET_HOSTS);
	mt_world_host_t *host = world->hosts[index];

	if (!host || host->frozen)
		return;
	if (kind == 0)
		mt_world_kill_host(world, index);
	else if (kind == 1)
		mt_world_freeze_host(world, index, true);
	else
		host->store_unreachable = true;
	if (kind == 3)
		host->servers_unreachable = true;
	mt_timers_after(world->timers, lasts, mend_host,
			new_mend(world, index));
}

static void kill_all(mt_world_t *world, mt_ms_t lasts)
{
	for (unsigned i = 0; i < FLEET_HOSTS; i++) {
		if (!world->hosts[i] || world->hosts[i]->frozen)
			continue;
		mt_world_kill_host(world, i);
		mt_timers_after(world->timers, lasts, mend_host,
				new_mend(world, i));
	}
}

static void harm_store(mt_world_t *world, unsigned kind, mt_ms_t lasts)
{
	if (kind == 0)
		world->store_down = true;
	else if (kind == 1)
		world->store_lost = 0.35;
	else if (kind == 2)
		world->store_extra_ms = 240;
	else
		world->order_lost = 0.06;
	if (mt_world_chance(world, 0.5)) {
		world->order_unsent = 0.05;
		world->order_busy = 0.05;
	}
	world->order_late = 0.7;
	mt_timers_after(world->timers, lasts, mend_store, new_mend(world, 0));
}

/** Goes dark and never comes back, for a few servers at the most. */
static void vanish(mt_world_t *world, unsigned index)
{
	if (world->vanished >= VANISHED_MAX)
		return;
	world->vanished++;
	mt_fake_fleet_set_unreachable(world->fleet, index, true);
	mt_fake_fleet_crash(world->fleet, index, NEVER_MS);
}

static void harm_server(mt_world_t *world, unsigned kind, mt_ms_t lasts)
{
	unsigned index =
		(unsigned)g_rand_int_range(world->rand, 0, FLEET_SERVERS);

	if (kind == 3) {
		vanish(world, index);
	} else if (kind == 0) {
		mt_fake_fleet_crash(world->fleet, index, lasts);
	} else if (kind == 1) {
		mt_fake_fleet_drain(world->fleet, index, lasts);
	} else {
		if (kind == 4)
			mt_fake_fleet_set_stalled(world->fleet, index, true);
		else
			mt_fake_fleet_set_unreachable(world->fleet, index,
						      true);
		mt_timers_after(world->timers, lasts, mend_server,
				new_mend(world, index));
	}
}

static void on_fault(void *ctx)
{
	mt_play_t *play = ctx;
	mt_world_t *world = play->world;
	mt_ms_t lasts = (mt_ms_t)g_rand_int_range(world->rand, 300, 7000);
	int what = g_rand_int_range(world->rand, 0, 16);

	if (play->calm)
		return;
	if (what < 5)
		harm_host(world, (unsigned)what % 4, lasts);
	else if (what < 9)
		harm_store(world, (unsigned)what - 5, lasts);
	else if (what < 14)
		harm_server(world, (unsigned)what - 9, lasts);
	else if (what == 14)
		kill_all(world, lasts / 5 + 100);
	else
		mt_fake_store_compact(world->store, MT_RECORDS_TOPIC);
	mt_timers_after(
		world->timers,
		(mt_ms_t)g_rand_int_range(world->rand, 200, 2 * FAULT_EVERY_MS),
		on_fault, play);
}

/* Verdict. */

typedef struct mt_shown_t {
	mt_outcome_t outcome;
	MtDag__State state;
} mt_shown_t;

static void on_shown(void *ctx, const mt_front_reply_t *reply)
{
	mt_shown_t *shown = ctx;

	shown->outcome = reply->outcome;
	shown->state = reply->state;
}

static void check_job(mt_world_t *world, const mt_caller_job_t *job,
		      unsigned index)
{
	mt_shown_t shown = {MT_OUTCOME_UNKNOWN, MT_DAG__STATE__QUEUED};
	char path[64];
	mt_front_call_t call = {0};

	snprintf(path, sizeof(path), "/%s/%016" G_GINT64_MODIFIER "x",
		 job->queue, job->id);
	call.verb = MT_VERB_SHOW;
	call.host = MT_STR("jobs.example");
	call.path = mt_str_from(path);
	call.key = MT_STR("key");
	mt_dag_front_call(mt_dag_host_front(world->hosts[index]->host), &call,
			  on_shown, &shown);
	if (shown.outcome != MT_OUTCOME_STATE ||
	    !mt_state_is_final(shown.state) ||
	    (job->cancelled && shown.state == MT_DAG__STATE__FAILED))
		mt_world_breach(world,
				"job %" G_GINT64_MODIFIER
				"x is shown by host %u as %d, %d",
				job->id, index, shown.outcome, shown.state);
}

static void make_calm(mt_play_t *play)
{
	play->calm = true;
	mt_fake_fleet_heal(play->world->fleet);
}

static bool play_seed(guint32 seed, bool verbose)
{
	mt_world_t *world = mt_world_new(seed, verbose);
	mt_play_t play = {world, g_ptr_array_new(), 0, false, 0};
	mt_ms_t from = mt_world_now(world);
	unsigned accepted = 0;

	mt_fake_store_put(world->store, "keyed.op", "config", MT_STR("1"));
	mt_world_run(world, from + WARM_UP_MS);
	on_arrival(&play);
	on_fault(&play);
	mt_timers_after(world->timers, REVOKE_AFTER_MS, revoke, &play);
	mt_world_run(world, from + WARM_UP_MS + TRAFFIC_MS);
	make_calm(&play);
	mt_world_run(world, from + WARM_UP_MS + TRAFFIC_MS + SETTLE_MS);
	for (guint i = 0; i < play.jobs->len; i++) {
		const mt_caller_job_t *job = play.jobs->pdata[i];

		accepted += job->accepted;
		for (unsigned k = 0; job->accepted && k < FLEET_HOSTS; k++)
			check_job(world, job, k);
	}
	mt_world_run(world, mt_world_now(world) + FORGET_MS);
	for (unsigned k = 0; k < FLEET_HOSTS; k++) {
		if (mt_dag_host_jobs(world->hosts[k]->host))
			mt_world_breach(
				world, "host %u still has %u jobs", k,
				mt_dag_host_jobs(world->hosts[k]->host));
	}
	printf("seed %u: %s, %u jobs, %u accepted, %u gangs alone\n", seed,
	       world->breaches ? "FAILED" : "passed", play.jobs->len, accepted,
	       mt_fake_fleet_incomplete_gangs(world->fleet));
	return !world->breaches;
}

int main(int argc, char **argv)
{
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "first seed");
	struct arg_int *seeds = arg_int0(NULL, "seeds", "N", "how many");
	struct arg_lit *verbose = arg_lit0("v", "verbose", "show events");
	struct arg_end *end = arg_end(4);
	void *table[] = {seed, seeds, verbose, end};
	int first;
	int count;
	int failed = 0;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		return 2;
	}
	setvbuf(stdout, NULL, _IOLBF, 0);
	first = seed->count ? seed->ival[0] : 1;
	count = seeds->count ? seeds->ival[0] : 1;
	for (int i = 0; i < count; i++)
		failed += !play_seed((guint32)(first + i), verbose->count);
	printf("%d passed, %d failed\n", count - failed, failed);
	return failed != 0;
}
