/**
 * @file main.c
 * Simulates entry hosts on virtual time with random faults. A seed passes when
 * no invariant was violated, every host shows every accepted job as ended, and
 * ended jobs are deleted in time. With --overload, jobs come faster than they
 * can be run, and no job may run that was refused for lack of capacity. With
 * --speeds, servers run at unequal speeds, and the leader must learn these.
 * With
 * --cold, servers that have restarted are slow for some time. With --leaving,
 * the only faults are servers that answer no starts, and leave meanwhile: none
 * may get a start then.
 */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/fake_servers.h"
#include "fleet/fake_store.h"

/*
 * Phases of a simulation: start-up without jobs or faults; jobs and faults;
 * with
 * --speeds, jobs without faults; and settling, without new jobs or faults, in
 * which the accepted jobs end.
 */
#define WARM_UP_MS 4000u
#define TRAFFIC_MS 40000u
#define FAULTLESS_MS 35000u
#define SETTLE_MS 120000u
/* With --overload, or with --speeds, where half of the servers are slow, a
 * queue has built up that takes longer to drain. */
#define SETTLE_BACKLOG_MS 150000u

/* Mean intervals, approximately. */
#define JOB_INTERVAL_MS 350
#define JOB_INTERVAL_SPEEDS_MS 230
#define JOB_INTERVAL_OVERLOAD_MS 110
#define FAULT_INTERVAL_MS 2500

#define SUBMIT_ATTEMPTS_MAX 4u

/**
 * Share of accepted jobs that are cancelled, and also share of accepted jobs
 * that are submitted once more. The two are chosen independently of each other.
 */
#define FOLLOW_UP_SHARE 0.1

/**
 * Hosts must have deleted all ended jobs this long after the last phase. The
 * settings keep them for 200 s (mt_sim_start_host()).
 */
#define ENDED_JOBS_DELETED_MS 320000u

/** A removed API key must be refused from this time after its removal on. */
#define REVOCATION_MAX_MS 5000u

/** Time of the removal, counted from the first job on. */
#define REVOCATION_AT_MS 12000u
#define REVOKED_CALL_INTERVAL_MS 100u

#define LOST_SERVERS_MAX 2u

/** Mean time between two changes of the evacuations, approximately. */
#define EVACUATION_INTERVAL_MS 2500

/** Mean time between two servers that leave, approximately. */
#define LEAVING_INTERVAL_MS 2500

/** Time for which a server answers no starts. */
#define STARTLESS_MS 5500u

/** Time from then on until it reports that it drains, and until it is gone. */
#define DRAIN_AFTER_MS 500u
#define GONE_AFTER_DRAIN_MS 9000u

/** Time for which a server is down that restarts at another speed. */
#define RESTART_MS 1000u

/** Longer than a simulation: the server is not restarted. */
#define NEVER_MS 10000000u

typedef struct mt_workload_t mt_workload_t;

/** A job as its client knows it. */
typedef struct mt_submitted_job_t {
	mt_sim_t *sim;
	mt_workload_t *workload;
	uint64_t id;
	const char *queue;
	GBytes *body;
	unsigned attempts; /**< to submit it */
	bool accepted;
	bool maybe_stored; /**< some attempt without an answer may be stored */
	bool cancelled;
	bool cancel_sent; /**< a client has tried to cancel it */
	bool refused;	  /**< at the last attempt, for lack of capacity */
} mt_submitted_job_t;

/** The jobs and faults of one simulation. */
struct mt_workload_t {
	mt_sim_t *sim;
	GPtrArray *jobs; /**< mt_submitted_job_t */
	uint64_t last_id;
	bool faultless;	    /**< no further faults */
	bool settling;	    /**< no further jobs and faults */
	mt_ms_t revoked_at; /**< when the API key "revoked" was removed */
	/** Of the evacuations: without these, a seed has the same faults. */
	GRand *evacuation_rand;
	/** By number of the data centre; the last one has no servers. */
	bool evacuated[SIM_ZONES + 1];
	int job_interval_ms;
	unsigned n_refused; /**< refusals for lack of capacity */
};

/**
 * Returns a random host that is ready. If there is none, returns any, which may
 * be NULL (not running) or paused.
 */
static mt_sim_host_t *pick_host(mt_sim_t *sim)
{
	unsigned first = (unsigned)g_rand_int_range(sim->rand, 0, SIM_HOSTS);

	for (unsigned i = 0; i < SIM_HOSTS; i++) {
		mt_sim_host_t *host = sim->hosts[(first + i) % SIM_HOSTS];

		if (host && !host->paused && mt_dag_host_is_ready(host->host))
			return host;
	}
	return sim->hosts[first];
}

/* Clients. */

static void submit(void *ctx);

typedef struct mt_call_ctx_t {
	mt_submitted_job_t *job;
	mt_sim_host_t *host;
} mt_call_ctx_t;

static void on_cancelled(void *ctx, const mt_front_reply_t *reply)
{
	mt_submitted_job_t *job = ctx;

	if (reply->outcome != MT_FRONT_OUTCOME_CANCELLED)
		return;
	job->cancelled = true;
	mt_fake_fleet_forbid_starts(job->sim->fleet, job->id,
				    mt_sim_now(job->sim));
}

static void send_call(mt_submitted_job_t *job, mt_verb_t verb, mt_front_cb cb)
{
	mt_sim_host_t *host = pick_host(job->sim);
	char path[64];
	mt_front_call_t call = {0};

	if (!host || host->paused) {
		/* No host takes the call, so nothing is done. */
		mt_front_reply_t reply = {MT_FRONT_OUTCOME_NOT_DONE, 0, 0, 1};

		cb(job, &reply);
		return;
	}
	snprintf(path, sizeof(path), "/%s/%016" G_GINT64_MODIFIER "x",
		 job->queue, job->id);
	call.verb = verb;
	call.url_host = MT_STR("jobs.example");
	call.path = mt_str_from(path);
	call.key = MT_STR("key");
	call.body = mt_bytes_view(job->body);
	call.timeout_ms = 3000;
	mt_dag_front_call(mt_dag_host_front(host->host), &call, cb, job);
}

static void cancel(void *ctx)
{
	mt_submitted_job_t *job = ctx;

	job->cancel_sent = true;
	send_call(ctx, MT_VERB_CANCEL, on_cancelled);
}

/** True for a refusal for lack of capacity; other replies have 1 s. */
static bool is_load_shed(const mt_front_reply_t *reply)
{
	return reply->outcome == MT_FRONT_OUTCOME_NOT_DONE &&
	       reply->retry_after_s > 1;
}

/**
 * Such a refusal says that the job has not run and never will, whatever became
 * of earlier attempts. Some clients return after the time that they are given.
 */
static void on_load_shed(mt_submitted_job_t *job, unsigned retry_after_s)
{
	mt_sim_t *sim = job->sim;

	job->workload->n_refused++;
	job->refused = true;
	if (job->accepted || mt_fake_fleet_has_started(sim->fleet, job->id))
		mt_sim_breach(sim,
			      "job %" G_GINT64_MODIFIER
			      "x was refused after it was accepted or started",
			      job->id);
	mt_fake_fleet_forbid_starts(sim->fleet, job->id, 0);
	if (job->attempts < SUBMIT_ATTEMPTS_MAX && mt_sim_chance(sim, 0.5))
		mt_timers_after(sim->timers, (mt_ms_t)retry_after_s * 1000,
				submit, job);
}

static void on_submitted(void *ctx, const mt_front_reply_t *reply)
{
	mt_submitted_job_t *job = ctx;
	mt_sim_t *sim = job->sim;

	if (is_load_shed(reply)) {
		on_load_shed(job, reply->retry_after_s);
		return;
	}
	if (job->refused && reply->outcome != MT_FRONT_OUTCOME_NOT_DONE) {
		job->refused = false;
		mt_fake_fleet_permit_starts(sim->fleet, job->id);
	}
	if (reply->outcome == MT_FRONT_OUTCOME_ACCEPTED) {
		job->accepted = true;
		if (mt_sim_chance(sim, FOLLOW_UP_SHARE))
			mt_timers_after(
				sim->timers,
				(mt_ms_t)g_rand_int_range(sim->rand, 10, 8000),
				cancel, job);
		if (mt_sim_chance(sim, FOLLOW_UP_SHARE))
			mt_timers_after(sim->timers, 3000, submit, job);
		return;
	}
	if (reply->outcome == MT_FRONT_OUTCOME_UNKNOWN)
		job->maybe_stored = true;
	else if (reply->outcome != MT_FRONT_OUTCOME_NOT_DONE)
		mt_sim_breach(sim, "a valid job got outcome %d",
			      reply->outcome);
	if (job->attempts < SUBMIT_ATTEMPTS_MAX)
		mt_timers_after(sim->timers, 700, submit, job);
	else if (!job->maybe_stored && !job->accepted)
		mt_fake_fleet_forbid_starts(sim->fleet, job->id, 0);
}

static void submit(void *ctx)
{
	mt_submitted_job_t *job = ctx;

	job->attempts++;
	send_call(job, MT_VERB_SUBMIT, on_submitted);
}

static MtDag__Job *make_job(mt_workload_t *workload, bool urgent)
{
	GRand *rand = workload->sim->rand;
	MtDag__Job *job = calloc(1, sizeof(*job));
	unsigned steps = urgent ? 1 : (unsigned)g_rand_int_range(rand, 1, 3);

	mt_dag__job__init(job);
	job->id = ++workload->last_id;
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
		step->gang = urgent || mt_sim_chance(workload->sim, 0.5);
		step->same_rack =
			step->gang && mt_sim_chance(workload->sim, 0.5);
		step->checkpointing = mt_sim_chance(workload->sim, 0.5);
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

static void submit_next_job(void *ctx)
{
	mt_workload_t *workload = ctx;
	mt_sim_t *sim = workload->sim;
	bool urgent = mt_sim_chance(sim, 0.6);
	MtDag__Job *spec;
	mt_submitted_job_t *job;

	if (workload->settling)
		return;
	spec = make_job(workload, urgent);
	job = g_new0(mt_submitted_job_t, 1);
	job->sim = sim;
	job->workload = workload;
	job->id = spec->id;
	job->queue = urgent		       ? "urgent"
		     : mt_sim_chance(sim, 0.3) ? "advised"
					       : "batch";
	free(spec->queue != protobuf_c_empty_string ? spec->queue : NULL);
	spec->queue = strdup(job->queue);
	job->body = mt_dag_pack(&spec->base);
	g_ptr_array_add(workload->jobs, job);
	mt_fake_fleet_register_job(sim->fleet, spec);
	mt_dag__job__free_unpacked(spec, NULL);
	submit(job);
	mt_timers_after(sim->timers,
			(mt_ms_t)g_rand_int_range(
				sim->rand, 20, 2 * workload->job_interval_ms),
			submit_next_job, workload);
}

/* Revocation of an API key. */

typedef struct mt_revoked_key_call_t {
	mt_sim_t *sim;
	mt_ms_t sent_at;
	mt_ms_t revoked_at;
} mt_revoked_key_call_t;

static void on_revoked_key_reply(void *ctx, const mt_front_reply_t *reply)
{
	mt_revoked_key_call_t *call = ctx;

	/* The number of pending jobs is shown, so the key was accepted. */
	if (reply->outcome == MT_FRONT_OUTCOME_PENDING_COUNT &&
	    call->sent_at > call->revoked_at + REVOCATION_MAX_MS)
		mt_sim_breach(call->sim,
			      "a key was accepted %u ms after its removal",
			      (unsigned)(call->sent_at - call->revoked_at));
	g_free(call);
}

/**
 * Asks a random host for the state of a queue with the removed key. Hosts that
 * cannot reach the store must refuse the key in time, too.
 */
static void call_with_revoked_key(void *ctx)
{
	mt_workload_t *workload = ctx;
	mt_sim_t *sim = workload->sim;
	mt_sim_host_t *host =
		sim->hosts[g_rand_int_range(sim->rand, 0, SIM_HOSTS)];
	mt_revoked_key_call_t *revoked_call;
	mt_front_call_t call = {0};

	if (!host || host->paused)
		return;
	revoked_call = g_new0(mt_revoked_key_call_t, 1);
	revoked_call->sim = sim;
	revoked_call->sent_at = mt_sim_now(sim);
	revoked_call->revoked_at = workload->revoked_at;
	call.verb = MT_VERB_SHOW;
	call.url_host = MT_STR("jobs.example");
	call.path = MT_STR("/urgent/");
	call.key = MT_STR("revoked");
	call.timeout_ms = 3000;
	mt_dag_front_call(mt_dag_host_front(host->host), &call,
			  on_revoked_key_reply, revoked_call);
}

static void put_config(const mt_sim_t *sim, unsigned version)
{
	char text[32];
	int len = snprintf(text, sizeof(text), "%u", version);

	if (sim->options.cold)
		snprintf(text + len, sizeof(text) - (size_t)len, " %d",
			 SIM_COLD_PER_S);
	mt_fake_store_put(sim->store, "keyed.op", "config", mt_str_from(text));
}

static void revoke_key(void *ctx)
{
	mt_workload_t *workload = ctx;

	put_config(workload->sim, SIM_KEY_REVOKED_VERSION);
	workload->revoked_at = mt_sim_now(workload->sim);
	mt_timers_every(workload->sim->timers, REVOKED_CALL_INTERVAL_MS,
			call_with_revoked_key, workload);
}

/* Faults. */

/** Context of a repair function, which ends faults. */
typedef struct mt_repair_t {
	mt_sim_t *sim;
	unsigned index; /**< of the host or server; unused for the platform */
} mt_repair_t;

static mt_repair_t *new_repair(mt_sim_t *sim, unsigned index)
{
	mt_repair_t *repair = g_new0(mt_repair_t, 1);

	repair->sim = sim;
	repair->index = index;
	return repair;
}

/** Ends the faults of the store and of commands to servers. */
static void repair_platform(void *ctx)
{
	mt_repair_t *repair = ctx;

	repair->sim->store_down = false;
	repair->sim->store_lost = 0;
	repair->sim->store_extra_ms = 0;
	repair->sim->order_lost = 0;
	repair->sim->order_unsent = 0;
	repair->sim->order_busy = 0;
	g_free(repair);
}

static void repair_host(void *ctx)
{
	mt_repair_t *repair = ctx;
	mt_sim_host_t *host = repair->sim->hosts[repair->index];

	if (!host) {
		mt_sim_start_host(repair->sim, repair->index);
	} else {
		host->store_unreachable = false;
		host->servers_unreachable = false;
		if (host->paused)
			mt_sim_set_host_paused(repair->sim, repair->index,
					       false);
	}
	g_free(repair);
}

static void repair_server(void *ctx)
{
	mt_repair_t *repair = ctx;

	mt_fake_fleet_set_unreachable(repair->sim->fleet, repair->index, false);
	mt_fake_fleet_set_stalled(repair->sim->fleet, repair->index, false);
	g_free(repair);
}

/** Index of a host that leads; 0 if there is none. */
static unsigned find_leader(const mt_sim_t *sim)
{
	for (unsigned i = 0; i < SIM_HOSTS; i++) {
		if (sim->hosts[i] &&
		    mt_dag_host_is_leading(sim->hosts[i]->host))
			return i;
	}
	return 0;
}

/**
 * Kinds: 0 kills the host, 1 suspends it, 2 cuts it off from the store, and 3
 * from the store and the servers. The leader is chosen more often than others.
 */
static void inject_host_fault(mt_sim_t *sim, unsigned kind, mt_ms_t duration_ms)
{
	unsigned index =
		mt_sim_chance(sim, 0.6)
			? find_leader(sim)
			: (unsigned)g_rand_int_range(sim->rand, 0, SIM_HOSTS);
	mt_sim_host_t *host = sim->hosts[index];

	if (!host || host->paused)
		return;
	if (kind == 0)
		mt_sim_kill_host(sim, index);
	else if (kind == 1)
		mt_sim_set_host_paused(sim, index, true);
	else
		host->store_unreachable = true;
	if (kind == 3)
		host->servers_unreachable = true;
	mt_timers_after(sim->timers, duration_ms, repair_host,
			new_repair(sim, index));
}

static void kill_all_hosts(mt_sim_t *sim, mt_ms_t duration_ms)
{
	for (unsigned i = 0; i < SIM_HOSTS; i++) {
		if (!sim->hosts[i] || sim->hosts[i]->paused)
			continue;
		mt_sim_kill_host(sim, i);
		mt_timers_after(sim->timers, duration_ms, repair_host,
				new_repair(sim, i));
	}
}

/**
 * Kinds: 0 stops the store, 1 loses answers to appends, 2 slows the store, and
 * 3 loses answers to commands. Some commands may fail in addition.
 */
static void inject_platform_fault(mt_sim_t *sim, unsigned kind,
				  mt_ms_t duration_ms)
{
	if (kind == 0)
		sim->store_down = true;
	else if (kind == 1)
		sim->store_lost = 0.35;
	else if (kind == 2)
		sim->store_extra_ms = 240;
	else
		sim->order_lost = 0.06;
	if (mt_sim_chance(sim, 0.5)) {
		sim->order_unsent = 0.05;
		sim->order_busy = 0.05;
	}
	sim->order_late = 0.7;
	mt_timers_after(sim->timers, duration_ms, repair_platform,
			new_repair(sim, 0));
}

/**
 * Crashes a server, which is not restarted before the end, and makes it
 * unreachable: commands to it time out, while a server that is only down
 * refuses connections. Does so with LOST_SERVERS_MAX servers at the most.
 */
static void remove_server(mt_sim_t *sim, unsigned index)
{
	if (sim->lost_servers >= LOST_SERVERS_MAX)
		return;
	sim->lost_servers++;
	mt_fake_fleet_set_unreachable(sim->fleet, index, true);
	mt_fake_fleet_crash(sim->fleet, index, NEVER_MS);
}

/**
 * Kinds: 0 crashes the server, 1 announces a shutdown, 2 makes it unreachable,
 * 3 removes it for good, and 4 stalls it.
 */
static void inject_server_fault(mt_sim_t *sim, unsigned kind,
				mt_ms_t duration_ms)
{
	unsigned index =
		(unsigned)g_rand_int_range(sim->rand, 0, (int)sim->n_servers);

	if (kind == 3) {
		remove_server(sim, index);
	} else if (kind == 0) {
		mt_fake_fleet_crash(sim->fleet, index, duration_ms);
	} else if (kind == 1) {
		mt_fake_fleet_drain(sim->fleet, index, duration_ms);
	} else {
		if (kind == 4)
			mt_fake_fleet_set_stalled(sim->fleet, index, true);
		else
			mt_fake_fleet_set_unreachable(sim->fleet, index, true);
		mt_timers_after(sim->timers, duration_ms, repair_server,
				new_repair(sim, index));
	}
}

/**
 * Injects a fault and schedules the next. Of 16 equally likely choices, 5 are
 * faults of one host, 4 of the platform, 5 of a server, 1 kills all hosts and 1
 * drops the store's history.
 */
static void inject_fault(void *ctx)
{
	mt_workload_t *workload = ctx;
	mt_sim_t *sim = workload->sim;
	mt_ms_t duration_ms = (mt_ms_t)g_rand_int_range(sim->rand, 300, 7000);
	int choice = g_rand_int_range(sim->rand, 0, 16);

	if (workload->faultless)
		return;
	if (choice < 5)
		inject_host_fault(sim, (unsigned)choice % 4, duration_ms);
	else if (choice < 9)
		inject_platform_fault(sim, (unsigned)choice - 5, duration_ms);
	else if (choice < 14)
		inject_server_fault(sim, (unsigned)choice - 9, duration_ms);
	else if (choice == 14)
		kill_all_hosts(sim, duration_ms / 5 + 100);
	else
		mt_fake_store_drop_history(sim->store, MT_RECORDS_TOPIC);
	mt_timers_after(sim->timers,
			(mt_ms_t)g_rand_int_range(sim->rand, 200,
						  2 * FAULT_INTERVAL_MS),
			inject_fault, workload);
}

/* Servers that leave. */

typedef struct mt_leaving_t {
	mt_sim_t *sim;
	unsigned server; /**< its index */
} mt_leaving_t;

static void begin_to_drain(void *ctx)
{
	const mt_leaving_t *leaving = ctx;

	mt_fake_fleet_drain(leaving->sim->fleet, leaving->server,
			    GONE_AFTER_DRAIN_MS);
}

static void end_startless(void *ctx)
{
	mt_leaving_t *leaving = ctx;

	mt_fake_fleet_set_startless(leaving->sim->fleet, leaving->server,
				    false);
	g_free(leaving);
}

/** Lets a server answer no starts, and often leave, and schedules the next. */
static void let_server_leave(void *ctx)
{
	mt_workload_t *workload = ctx;
	mt_sim_t *sim = workload->sim;
	mt_leaving_t *leaving;

	if (workload->faultless)
		return;
	leaving = g_new0(mt_leaving_t, 1);
	leaving->sim = sim;
	leaving->server =
		(unsigned)g_rand_int_range(sim->rand, 0, (int)sim->n_servers);
	mt_fake_fleet_set_startless(sim->fleet, leaving->server, true);
	if (mt_sim_chance(sim, 0.7))
		mt_timers_after(sim->timers, DRAIN_AFTER_MS, begin_to_drain,
				leaving);
	mt_timers_after(sim->timers, STARTLESS_MS, end_startless, leaving);
	mt_timers_after(sim->timers,
			(mt_ms_t)g_rand_int_range(sim->rand, 200,
						  2 * LEAVING_INTERVAL_MS),
			let_server_leave, workload);
}

/* Evacuations. */

static void set_evacuated(mt_workload_t *workload, unsigned zone,
			  bool evacuated)
{
	mt_sim_t *sim = workload->sim;
	char name[16];
	char key[32];

	snprintf(name, sizeof(name), "r%u", zone);
	snprintf(key, sizeof(key), "evacuate/%s", name);
	workload->evacuated[zone] = evacuated;
	mt_fake_store_put(sim->store, "keyed.op", key,
			  evacuated ? MT_STR("{}") : (mt_str_t){0});
	mt_fake_fleet_evacuate(sim->fleet, name,
			       evacuated ? mt_sim_now(sim) : 0);
}

/**
 * Evacuates a data centre or ends its evacuation; sometimes takes this back at
 * once. Sometimes the store then drops the records, so that only a snapshot
 * shows what is left.
 */
static void change_evacuations(void *ctx)
{
	mt_workload_t *workload = ctx;
	GRand *rand = workload->evacuation_rand;
	unsigned zone = (unsigned)g_rand_int_range(rand, 0, SIM_ZONES + 1);

	if (workload->faultless)
		return;
	set_evacuated(workload, zone, !workload->evacuated[zone]);
	if (g_rand_double(rand) < 0.2)
		set_evacuated(workload, zone, !workload->evacuated[zone]);
	if (g_rand_double(rand) < 0.2)
		mt_fake_store_drop_history(workload->sim->store, "keyed.op");
	mt_timers_after(workload->sim->timers,
			(mt_ms_t)g_rand_int_range(rand, 100,
						  2 * EVACUATION_INTERVAL_MS),
			change_evacuations, workload);
}

static void end_evacuations(mt_workload_t *workload)
{
	for (unsigned i = 0; i <= SIM_ZONES; i++) {
		if (workload->evacuated[i])
			set_evacuated(workload, i, false);
	}
}

/* Checks at the end. */

/** How long a host may take to show a job. */
#define SHOW_MAX_MS 3500u

/** What a host shows of a job. */
typedef struct mt_job_view_t {
	const mt_submitted_job_t *job;
	unsigned host; /**< index of the host */
	mt_front_outcome_t outcome;
	MtDag__State state;
} mt_job_view_t;

static void on_job_shown(void *ctx, const mt_front_reply_t *reply)
{
	mt_job_view_t *view = ctx;

	view->outcome = reply->outcome;
	view->state = reply->state;
}

/** Asks a host to show a job. */
static void ask_for_job(mt_sim_t *sim, mt_job_view_t *view)
{
	char path[64];
	mt_front_call_t call = {0};

	snprintf(path, sizeof(path), "/%s/%016" G_GINT64_MODIFIER "x",
		 view->job->queue, view->job->id);
	call.verb = MT_VERB_SHOW;
	call.url_host = MT_STR("jobs.example");
	call.path = mt_str_from(path);
	call.key = MT_STR("key");
	mt_dag_front_call(mt_dag_host_front(sim->hosts[view->host]->host),
			  &call, on_job_shown, view);
}

static void check_view(mt_sim_t *sim, const mt_job_view_t *view)
{
	/* A cancelled job may have completed first, but must not have failed:
	 * the queues allow 50 attempts per task, and few runs fail. */
	if (view->outcome != MT_FRONT_OUTCOME_STATE ||
	    !mt_state_is_final(view->state) ||
	    (view->job->cancelled && view->state == MT_DAG__STATE__FAILED) ||
	    (!view->job->cancel_sent &&
	     view->state == MT_DAG__STATE__CANCELLED))
		mt_sim_breach(sim,
			      "job %" G_GINT64_MODIFIER
			      "x: host %u replies outcome %d, state %d",
			      view->job->id, view->host, view->outcome,
			      view->state);
}

/** Checks that each host shows each accepted job as ended. */
static void check_jobs(mt_sim_t *sim, const GPtrArray *jobs)
{
	GPtrArray *views = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < jobs->len; i++) {
		const mt_submitted_job_t *job = jobs->pdata[i];

		for (unsigned k = 0; job->accepted && k < SIM_HOSTS; k++) {
			mt_job_view_t *view = g_new0(mt_job_view_t, 1);

			*view = (mt_job_view_t){job, k,
						MT_FRONT_OUTCOME_UNKNOWN,
						MT_DAG__STATE__QUEUED};
			g_ptr_array_add(views, view);
			ask_for_job(sim, view);
		}
	}
	mt_sim_run(sim, mt_sim_now(sim) + SHOW_MAX_MS);
	for (guint i = 0; i < views->len; i++)
		check_view(sim, views->pdata[i]);
	g_ptr_array_unref(views);
}

static void end_faults(mt_workload_t *workload)
{
	workload->faultless = true;
	end_evacuations(workload);
	mt_fake_fleet_repair(workload->sim->fleet);
}

/**
 * Submits jobs without faults, so that the leader can learn the speeds. First
 * restarts a server, whose speed changes thereby.
 * @return number of servers whose speeds were checked
 */
static unsigned run_faultless(mt_workload_t *workload)
{
	mt_sim_t *sim = workload->sim;

	mt_fake_fleet_crash(sim->fleet,
			    (unsigned)g_rand_int_range(sim->server_rand, 0,
						       (int)sim->n_servers),
			    RESTART_MS);
	mt_sim_run(sim, mt_sim_now(sim) + FAULTLESS_MS);
	return mt_fake_fleet_check_speeds(sim->fleet);
}

static int job_interval_ms(const mt_sim_options_t *options)
{
	if (options->admission_mode == MT_ADMISSION_REFUSES)
		return JOB_INTERVAL_OVERLOAD_MS;
	return options->speeds ? JOB_INTERVAL_SPEEDS_MS : JOB_INTERVAL_MS;
}

/** @return true when no invariant was violated */
static bool run_seed(guint32 seed, bool verbose,
		     const mt_sim_options_t *options)
{
	bool overload = options->admission_mode == MT_ADMISSION_REFUSES;
	mt_sim_t *sim = mt_sim_new(seed, verbose, options);
	mt_workload_t workload = {.sim = sim,
				  .jobs = g_ptr_array_new(),
				  .evacuation_rand = g_rand_new_with_seed(seed),
				  .job_interval_ms = job_interval_ms(options)};
	mt_ms_t started_at = mt_sim_now(sim);
	mt_ms_t settle_ms =
		overload || options->speeds ? SETTLE_BACKLOG_MS : SETTLE_MS;
	unsigned accepted = 0;
	unsigned n_speeds = 0;

	put_config(sim, 1);
	mt_sim_run(sim, started_at + WARM_UP_MS);
	submit_next_job(&workload);
	if (options->leaving)
		let_server_leave(&workload);
	else
		inject_fault(&workload);
	if (options->evacuations)
		change_evacuations(&workload);
	mt_timers_after(sim->timers, REVOCATION_AT_MS, revoke_key, &workload);
	mt_sim_run(sim, started_at + WARM_UP_MS + TRAFFIC_MS);
	end_faults(&workload);
	if (options->speeds)
		n_speeds = run_faultless(&workload);
	workload.settling = true;
	/* FAULTLESS_MS are a part of the time to settle: later, hosts would
	 * have deleted the first jobs. */
	mt_sim_run(sim, started_at + WARM_UP_MS + TRAFFIC_MS + settle_ms);
	for (guint i = 0; i < workload.jobs->len; i++) {
		const mt_submitted_job_t *job = workload.jobs->pdata[i];

		accepted += job->accepted;
	}
	check_jobs(sim, workload.jobs);
	mt_sim_run(sim, mt_sim_now(sim) + ENDED_JOBS_DELETED_MS);
	for (unsigned k = 0; k < SIM_HOSTS; k++) {
		if (mt_dag_host_n_jobs(sim->hosts[k]->host))
			mt_sim_breach(sim, "host %u still has %u jobs", k,
				      mt_dag_host_n_jobs(sim->hosts[k]->host));
	}
	printf("seed %u: %s, %u jobs, %u accepted, ", seed,
	       sim->breaches ? "FAILED" : "passed", workload.jobs->len,
	       accepted);
	if (overload)
		printf("%u refusals, ", workload.n_refused);
	if (options->speeds)
		printf("%u speeds, ", n_speeds);
	printf("%u incomplete gangs\n",
	       mt_fake_fleet_incomplete_gangs(sim->fleet));
	return !sim->breaches;
}

int main(int argc, char **argv)
{
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "first seed");
	struct arg_int *seeds = arg_int0(NULL, "seeds", "N", "number of seeds");
	struct arg_lit *verbose = arg_lit0("v", "verbose", "show events");
	struct arg_lit *evacuations = arg_lit0(
		NULL, "evacuations", "evacuate data centres now and then");
	struct arg_lit *overload = arg_lit0(
		NULL, "overload", "too many jobs, with admission control");
	struct arg_lit *speeds =
		arg_lit0(NULL, "speeds", "servers run at unequal speeds");
	struct arg_lit *cold =
		arg_lit0(NULL, "cold", "servers are cold after a restart");
	struct arg_lit *leaving =
		arg_lit0(NULL, "leaving",
			 "only faults: servers answer no starts, leave");
	struct arg_end *end = arg_end(5);
	void *table[] = {seed,	 seeds, verbose, evacuations, overload,
			 speeds, cold,	leaving, end};
	mt_sim_options_t options = {.admission_mode = MT_ADMISSION_OFF};
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
	options.evacuations = evacuations->count > 0;
	options.speeds = speeds->count > 0;
	options.cold = cold->count > 0;
	options.leaving = leaving->count > 0;
	if (overload->count)
		options.admission_mode = MT_ADMISSION_REFUSES;
	for (int i = 0; i < count; i++)
		failed += !run_seed((guint32)(first + i), verbose->count,
				    &options);
	printf("%d passed, %d failed\n", count - failed, failed);
	return failed != 0;
}
