/** @file fake_servers.c In-memory backend servers that audit their commands. */
#include "fleet/fake_servers.h"

#include <stdio.h>
#include <string.h>

#include "fleet/fake_store.h"
#include "fleet/speed_audit.h"

/** Latency of a message between a host and a server; see also send_answer(). */
#define LATENCY_MS 2u

/** Time-outs of the calling host: for an answer, and for a connection. */
#define ANSWER_TIMEOUT_MS 350u
#define CONNECT_TIMEOUT_MS 350u

/** Longest lease that a server grants. */
#define LEASE_MAX_MS 10000u

/** Time within which all members of a gang must have been started. */
#define GANG_START_TIMEOUT_MS 3000u

/** Longest time that a run takes to stop. */
#define RUN_STOP_MAX_MS 400

/** Interval at which a server renews its report. */
#define REPORT_INTERVAL_MS 1500u

/** Interval at which a server checks its leases, runs and waiting holds. */
#define TICK_MS 20u

/** Delay of a command that executes late and without an answer. */
#define LATE_COMMAND_MIN_MS 2000
#define LATE_COMMAND_MAX_MS 12000

/** Share of runs that fail. */
#define FAIL_SHARE 0.02

/** The report of a server that is down or unreachable for longer is deleted. */
#define REPORT_EXPIRY_MS 4500u

/** A ticket of the policy service permits a start for this long. */
#define TICKET_VALID_MS 3000u

/** Time that the policy service takes: per request, and per server in it. */
#define ADVICE_LATENCY_MS 60u
#define ADVICE_PER_SERVER_MS 3u

/**
 * A task may still start this long after the cancellation of its job was
 * confirmed, since start commands may be in transit.
 */
#define CANCEL_GRACE_MS 3000u

/** A server is cold for this long after a restart. */
#define COLD_MIN_MS 3000
#define COLD_MAX_MS 10000

/**
 * The speed of a server must be known once it has completed this many tasks of
 * steps with several tasks under one leader, each longer than the minimum. In
 * gangs, the leader must see the progress before the work is done.
 */
#define OBSERVED_RUNS 6u
#define OBSERVED_RUN_MIN_MS 1000u
#define OBSERVED_MEMBER_MIN_MS (2 * REPORT_INTERVAL_MS)

/** Time that the leader has to learn the speed from these and to store it. */
#define LEARNING_MS 5000u

/** Speeds of the servers, relative to the usual one. */
static const double server_speeds[] = {0.6, 1.0, 1.6};

typedef struct mt_fake_run_t {
	mt_task_key_t key;
	char name[64];
	uint32_t run_number;
	mt_dag_resources_t need;
	bool gang;
	uint32_t members;
	mt_ms_t started_at;
	mt_ms_t work_started_at; /**< 0: gang is incomplete */
	mt_ms_t work_ms;
	mt_ms_t stop_at; /**< 0: not being stopped */
	bool fails;	 /**< will fail after `work_ms` */
	/** Its end shows the leader of term `term` the speed of the server. */
	bool shows_speed;
	uint64_t term; /**< of the leader that started it */
} mt_fake_run_t;

/** An ended run, kept until a hold command acknowledges its number. */
typedef struct mt_fake_end_t {
	uint64_t number;
	mt_task_key_t key;
	char name[64];
	uint32_t run_number;
	mt_end_reason_t reason;
	bool lease_expired; /**< the lease expired before the acknowledgement */
} mt_fake_end_t;

typedef struct mt_fake_server_t {
	mt_fake_fleet_t *fleet;
	unsigned index;
	char id[24];
	char rack[16];
	bool up;
	bool unreachable;
	bool draining;
	bool startless;		/**< it answers no start */
	bool stalled;		/**< its runs make no progress */
	mt_ms_t draining_since; /**< 0: not draining */
	mt_ms_t shutdown_at;	/**< 0: not draining */
	int64_t born; /**< same as `started_at`; identifies the instance */
	mt_ms_t started_at;	 /**< time of the last start */
	mt_ms_t last_contact_at; /**< when it could last renew its report */
	bool listed;		 /**< its report is in the store */
	uint64_t term;	     /**< highest term seen; lower ones are fenced */
	uint64_t leases_end; /**< end of all leases, on the server's clock */
	uint64_t last_end_number;
	GPtrArray *runs; /**< mt_fake_run_t */
	GPtrArray *ends; /**< mt_fake_end_t, by number */
	/** Task name to the highest run that has ended or must not start. */
	GHashTable *highest_ended;
	GPtrArray *waiting_holds; /**< mt_fake_command_t of hold commands */
	unsigned speed_index;	  /**< into server_speeds */
	/** Ends that have shown its speed to the present leader. */
	unsigned observed_runs;
	mt_ms_t observed_at;  /**< end number OBSERVED_RUNS; 0: not yet */
	mt_ms_t cold_until;   /**< it runs at half its speed before this time */
	unsigned cold_starts; /**< runs begun while it is cold */
} mt_fake_server_t;

struct mt_fake_fleet_t {
	mt_sim_t *sim;
	mt_fake_server_t *servers;
	unsigned count;
	GHashTable *jobs; /**< serialized job (GBytes) by id */
	/** Time (mt_ms_t) by job id: no task of the job must start after it. */
	GHashTable *forbidden;
	/** Time (mt_ms_t) by data centre: it is evacuated since then. */
	GHashTable *evacuated;
	GHashTable *started_jobs; /**< set of job ids */
	/** Names of tasks that have succeeded. */
	GHashTable *succeeded_tasks;
	/** Of these, those whose end was acknowledged under a valid lease. */
	GHashTable *acked_tasks;
	/** Number of succeeded tasks, by step_name(). */
	GHashTable *tasks_done;
	unsigned incomplete_gangs;
};

typedef enum mt_fake_command_kind_t {
	MT_FAKE_COMMAND_START,
	MT_FAKE_COMMAND_STOP,
	MT_FAKE_COMMAND_HOLD,
} mt_fake_command_kind_t;

/** Size of a ticket, including the terminating null byte. */
#define TICKET_BYTES 96

typedef struct mt_fake_command_t {
	mt_fake_fleet_t *fleet;
	mt_sim_host_t *host;
	mt_fake_server_t *server;
	mt_fake_command_kind_t kind;
	mt_task_key_t key;
	uint32_t run_number;
	uint64_t term;
	uint64_t lease_end; /**< on the server's clock; 0: no renewal */
	uint64_t last_seen; /**< of a hold: highest end that the host handled */
	mt_ms_t wait_until; /**< of a hold: latest time of the answer */
	mt_ms_t give_up_at; /**< when the host's time-out expires */
	mt_backend_cb cb;
	void *ctx;
	char ticket[TICKET_BYTES];
	int64_t born; /**< of the server instance that received it */
	bool late;    /**< the network has delayed it */
	mt_command_result_t result;
} mt_fake_command_t;

static void format_task_name(char *text, size_t size, const mt_task_key_t *key)
{
	snprintf(text, size, "%" G_GINT64_MODIFIER "x.%u.%u.%u", key->job,
		 key->occurrence, key->step, key->index);
}

static mt_ms_t fleet_now(const mt_fake_fleet_t *fleet)
{
	return mt_sim_now(fleet->sim);
}

/** A server's clock runs up to 2% slow. */
static uint64_t server_clock_ms(const mt_fake_server_t *server)
{
	mt_ms_t up = fleet_now(server->fleet) - server->started_at;

	return 1 + up - up * (server->index % 3) / 100;
}

/* Reports. */

/** The report in the text format of mt_fake_store_server_list_format(). */
static char *text_report(const mt_fake_server_t *server, unsigned remaining_ms)
{
	mt_ms_t now = fleet_now(server->fleet);
	mt_ms_t cold_remaining_ms = MAX(server->cold_until, now) - now;

	return g_strdup_printf("%s %s %" G_GINT64_FORMAT " %u %u",
			       server->draining ? "draining" : "ready",
			       server->rack, server->born, remaining_ms,
			       (unsigned)cold_remaining_ms);
}

/** The report in the platform's JSON format. */
static char *platform_report(const mt_fake_server_t *server,
			     unsigned remaining_ms)
{
	return g_strdup_printf(
		"{\"service\":\"service\",\"address\":\"127.0.0.1:%u\","
		"\"zone\":\"here\",\"state\":\"%s\",\"slots\":8,"
		"\"capacity\":{\"cpu\":64000,\"mem_mb\":262144,\"gpu\":8},"
		"\"labels\":[\"a\",\"%s\"],\"born\":%" G_GINT64_FORMAT
		",\"remaining_ms\":%u}",
		server->fleet->sim->server_port + server->index,
		server->draining ? "draining" : "ready", server->rack,
		server->born, remaining_ms);
}

static void publish_report(mt_fake_server_t *server)
{
	mt_ms_t now = fleet_now(server->fleet);
	unsigned remaining_ms = server->shutdown_at > now
					? (unsigned)(server->shutdown_at - now)
					: 0;
	char *text = server->fleet->sim->store_tcp_port
			     ? platform_report(server, remaining_ms)
			     : text_report(server, remaining_ms);

	mt_fake_store_put(server->fleet->sim->store, "keyed.servers",
			  server->id, mt_str_from(text));
	g_free(text);
	server->listed = true;
}

static void delete_report(mt_fake_server_t *server)
{
	if (!server->listed)
		return;
	mt_fake_store_put(server->fleet->sim->store, "keyed.servers",
			  server->id, (mt_str_t){0});
	server->listed = false;
}

static void update_report(void *ctx)
{
	mt_fake_server_t *server = ctx;
	mt_ms_t now = fleet_now(server->fleet);

	if (server->fleet->sim->store_down)
		return;
	if (server->up && !server->unreachable) {
		server->last_contact_at = now;
		if (!server->listed)
			publish_report(server);
	} else if (now - server->last_contact_at > REPORT_EXPIRY_MS) {
		delete_report(server);
	}
}

/* Ended runs. */

static char *step_name(uint64_t job, uint32_t occurrence, uint32_t step)
{
	return g_strdup_printf("%" G_GINT64_MODIFIER "x.%u.%u", job, occurrence,
			       step);
}

/** Counts each task once, even if it has to run again after its success. */
static void count_success(mt_fake_fleet_t *fleet, const mt_fake_run_t *run)
{
	char *name;
	guint tasks_done;

	if (!g_hash_table_add(fleet->succeeded_tasks, g_strdup(run->name)))
		return;
	name = step_name(run->key.job, run->key.occurrence, run->key.step);
	tasks_done =
		GPOINTER_TO_UINT(g_hash_table_lookup(fleet->tasks_done, name));
	g_hash_table_insert(fleet->tasks_done, name,
			    GUINT_TO_POINTER(tasks_done + 1));
}

static void count_observed_run(mt_fake_server_t *server,
			       const mt_fake_run_t *run)
{
	mt_ms_t now = fleet_now(server->fleet);

	if (!run->shows_speed || run->term != server->term)
		return;
	if (++server->observed_runs == OBSERVED_RUNS)
		server->observed_at = now;
}

static void reset_observed_runs(mt_fake_server_t *server)
{
	server->observed_runs = 0;
	server->observed_at = 0;
}

static void add_end(mt_fake_server_t *server, const mt_fake_run_t *run,
		    mt_end_reason_t reason)
{
	mt_fake_end_t *entry = g_new0(mt_fake_end_t, 1);
	guint highest_ended = GPOINTER_TO_UINT(
		g_hash_table_lookup(server->highest_ended, run->name));

	entry->number = ++server->last_end_number;
	entry->key = run->key;
	g_strlcpy(entry->name, run->name, sizeof(entry->name));
	entry->run_number = run->run_number;
	entry->reason = reason;
	g_ptr_array_add(server->ends, entry);
	g_hash_table_insert(
		server->highest_ended, g_strdup(run->name),
		GUINT_TO_POINTER(MAX(highest_ended, run->run_number)));
	if (reason == MT_END_DONE) {
		count_success(server->fleet, run);
		count_observed_run(server, run);
	}
	if (reason == MT_END_GANG_INCOMPLETE)
		server->fleet->incomplete_gangs++;
}

static void end_single_run(mt_fake_server_t *server, guint position,
			   mt_end_reason_t reason)
{
	mt_fake_run_t *run = server->runs->pdata[position];

	add_end(server, run, reason);
	g_ptr_array_remove_index_fast(server->runs, position);
	g_free(run);
}

static bool same_gang(const mt_fake_run_t *a, const mt_fake_run_t *b)
{
	return a->gang && a->key.job == b->key.job &&
	       a->key.occurrence == b->key.occurrence &&
	       a->key.step == b->key.step && a->run_number == b->run_number;
}

/** Ends the members of the gang that are still running. */
static void end_gang(mt_fake_fleet_t *fleet, const mt_fake_run_t *ended_member,
		     mt_end_reason_t reason)
{
	for (unsigned i = 0; i < fleet->count; i++) {
		mt_fake_server_t *server = &fleet->servers[i];

		for (guint k = server->runs->len; k-- > 0;) {
			if (same_gang(server->runs->pdata[k], ended_member))
				end_single_run(server, k, reason);
		}
	}
}

/** Ends a run, and with it its gang if the gang's work has started. */
static void end_run_and_gang(mt_fake_server_t *server, guint position,
			     mt_end_reason_t reason)
{
	mt_fake_run_t copy = *(mt_fake_run_t *)server->runs->pdata[position];

	end_single_run(server, position, reason);
	if (copy.gang && copy.work_started_at)
		end_gang(server->fleet, &copy,
			 reason == MT_END_DONE ? MT_END_DONE
					       : MT_END_GANG_BROKEN);
}

/** Starts the work of a gang once all of its members have been started. */
static void start_gang_if_complete(mt_fake_fleet_t *fleet,
				   const mt_fake_run_t *member)
{
	uint32_t present = 0;

	for (unsigned i = 0; i < fleet->count; i++) {
		for (guint k = 0; k < fleet->servers[i].runs->len; k++)
			present += same_gang(fleet->servers[i].runs->pdata[k],
					     member);
	}
	if (present < member->members)
		return;
	for (unsigned i = 0; i < fleet->count; i++) {
		for (guint k = 0; k < fleet->servers[i].runs->len; k++) {
			mt_fake_run_t *run = fleet->servers[i].runs->pdata[k];

			if (same_gang(run, member))
				run->work_started_at = fleet_now(fleet);
		}
	}
}

static bool is_work_done(const mt_fake_run_t *run, mt_ms_t now)
{
	return run->work_started_at &&
	       now - run->work_started_at >= run->work_ms;
}

/**
 * True while the run has done its work and waits for slower members of its
 * gang. At equal speeds, the first member to be done ends the gang.
 */
static bool waits_for_gang(const mt_fake_fleet_t *fleet,
			   const mt_fake_run_t *run)
{
	if (!fleet->sim->options.speeds || !run->gang || run->fails)
		return false;
	for (unsigned i = 0; i < fleet->count; i++) {
		for (guint k = 0; k < fleet->servers[i].runs->len; k++) {
			const mt_fake_run_t *other =
				fleet->servers[i].runs->pdata[k];

			if (same_gang(other, run) &&
			    !is_work_done(other, fleet_now(fleet)))
				return true;
		}
	}
	return false;
}

static void tick_run(mt_fake_server_t *server, guint position)
{
	mt_fake_run_t *run = server->runs->pdata[position];
	mt_ms_t now = fleet_now(server->fleet);

	if (server->stalled && run->work_started_at)
		run->work_started_at += TICK_MS;
	else if (now < server->cold_until && run->work_started_at)
		run->work_started_at =
			MIN(now, run->work_started_at + TICK_MS / 2);
	if (run->stop_at && now >= run->stop_at)
		end_run_and_gang(server, position, MT_END_STOPPED);
	else if (!run->work_started_at &&
		 now - run->started_at > GANG_START_TIMEOUT_MS)
		end_run_and_gang(server, position, MT_END_GANG_INCOMPLETE);
	else if (is_work_done(run, now) && !waits_for_gang(server->fleet, run))
		end_run_and_gang(server, position,
				 run->fails ? MT_END_FAILED : MT_END_DONE);
}

static void answer_waiting_holds(mt_fake_server_t *server);

static void on_tick(void *ctx)
{
	mt_fake_server_t *server = ctx;

	if (!server->up)
		return;
	if (server_clock_ms(server) >= server->leases_end) {
		while (server->runs->len)
			end_run_and_gang(server, 0, MT_END_LEASE_EXPIRED);
		for (guint i = 0; i < server->ends->len; i++)
			((mt_fake_end_t *)server->ends->pdata[i])
				->lease_expired = true;
	}
	for (guint i = server->runs->len; i-- > 0;) {
		/* tick_run() may have removed several runs. */
		if (i < server->runs->len)
			tick_run(server, i);
	}
	answer_waiting_holds(server);
}

/* Audits. */

/** Checks that no other run of the task is active or has succeeded. */
static void audit_single_run(mt_fake_fleet_t *fleet, const mt_fake_run_t *run)
{
	if (g_hash_table_contains(fleet->acked_tasks, run->name))
		mt_sim_breach(fleet->sim,
			      "%s started after its end was acknowledged",
			      run->name);
	for (unsigned i = 0; i < fleet->count; i++) {
		const mt_fake_server_t *server = &fleet->servers[i];

		for (guint k = 0; k < server->runs->len; k++) {
			const mt_fake_run_t *other = server->runs->pdata[k];

			if (!strcmp(other->name, run->name))
				mt_sim_breach(fleet->sim,
					      "%s runs twice: run %u on %s "
					      "and run %u",
					      run->name, other->run_number,
					      server->id, run->run_number);
		}
	}
}

/** Checks that all steps which this one depends on have succeeded. */
static void audit_step_order(mt_fake_fleet_t *fleet, const mt_fake_run_t *run,
			     const MtDag__Job *job)
{
	const MtDag__Step *step = job->steps[run->key.step];

	for (size_t i = 0; i < step->n_after; i++) {
		char *name = step_name(run->key.job, run->key.occurrence,
				       step->after[i]);
		guint tasks_done = GPOINTER_TO_UINT(
			g_hash_table_lookup(fleet->tasks_done, name));

		if (tasks_done < job->steps[step->after[i]]->count)
			mt_sim_breach(fleet->sim,
				      "%s started before step %u was done",
				      run->name, step->after[i]);
		g_free(name);
	}
}

/** Reports a start later than CANCEL_GRACE_MS after starts were forbidden. */
static void audit_forbidden_start(mt_fake_fleet_t *fleet,
				  const mt_fake_run_t *run)
{
	mt_ms_t *from = g_hash_table_lookup(fleet->forbidden, &run->key.job);

	g_hash_table_add(fleet->started_jobs,
			 g_memdup2(&run->key.job, sizeof(run->key.job)));
	if (from && fleet_now(fleet) > *from + CANCEL_GRACE_MS)
		mt_sim_breach(
			fleet->sim,
			"%s started although its job was cancelled or refused",
			run->name);
}

/**
 * Reports a start in a data centre that has been evacuated for longer than
 * SIM_EVACUATION_MS, unless the network has delayed the command.
 */
static void audit_evacuated_start(const mt_fake_server_t *server,
				  const mt_fake_command_t *command)
{
	mt_fake_fleet_t *fleet = server->fleet;
	mt_ms_t *from = g_hash_table_lookup(fleet->evacuated, server->rack);
	char name[64];

	format_task_name(name, sizeof(name), &command->key);
	if (from && !command->late &&
	    fleet_now(fleet) > *from + SIM_EVACUATION_MS)
		mt_sim_breach(fleet->sim,
			      "%s started %u ms after the evacuation of %s",
			      name, (unsigned)(fleet_now(fleet) - *from),
			      server->rack);
}

/**
 * Reports a start on a server that has drained for longer than SIM_DRAIN_MS,
 * unless the network has delayed the command. Only audited where hosts and
 * store have no faults, so that the leader knows the list.
 */
static void audit_leaving_start(const mt_fake_server_t *server,
				const mt_fake_command_t *command)
{
	mt_fake_fleet_t *fleet = server->fleet;
	mt_ms_t since = server->draining_since;
	char name[64];

	format_task_name(name, sizeof(name), &command->key);
	if (fleet->sim->options.leaving && since && !command->late &&
	    fleet_now(fleet) > since + SIM_DRAIN_MS)
		mt_sim_breach(fleet->sim,
			      "%s started %u ms after %s reported to drain",
			      name, (unsigned)(fleet_now(fleet) - since),
			      server->id);
}

/**
 * Reports more starts on a cold server than the platform allows, which is
 * SIM_COLD_OVERRUN times its limit and SIM_COLD_SLACK tasks. Those that the
 * network has delayed do not count.
 */
static void audit_cold_start(mt_fake_server_t *server,
			     const mt_fake_command_t *command)
{
	mt_fake_fleet_t *fleet = server->fleet;
	mt_ms_t now = fleet_now(fleet);
	double allowed = SIM_COLD_OVERRUN * SIM_COLD_PER_S *
				 (double)(now - server->started_at) / 1000 +
			 SIM_COLD_SLACK;

	if (now >= server->cold_until || command->late)
		return;
	if (++server->cold_starts > allowed)
		mt_sim_breach(fleet->sim,
			      "%u starts on %s, which is cold for %u ms",
			      server->cold_starts, server->id,
			      (unsigned)(now - server->started_at));
}

/**
 * Once a host has acknowledged a task's success, the task must not start
 * again. This does not hold when the lease expired before the acknowledgement:
 * the scheduler may have declared the run lost by then.
 */
static void record_acked_end(mt_fake_fleet_t *fleet, const mt_fake_end_t *end)
{
	if (end->reason == MT_END_DONE && !end->lease_expired)
		g_hash_table_add(fleet->acked_tasks, g_strdup(end->name));
}

/* Submitted jobs. */

/** The registered job, to be freed by the caller; NULL: not registered. */
static MtDag__Job *find_job(mt_fake_fleet_t *fleet, uint64_t id)
{
	GBytes *bytes = g_hash_table_lookup(fleet->jobs, &id);
	mt_str_t view;

	if (!bytes)
		return NULL;
	view = mt_bytes_view(bytes);
	return mt_dag__job__unpack(NULL, view.len, (const uint8_t *)view.data);
}

/**
 * In platformd, registers a job that a client submitted to a host outside this
 * process, so that the submission was not seen here. When the first start
 * command of a job is sent, its record in the store still contains the steps;
 * the record of an ended job does not.
 */
static void load_stored_job(mt_fake_fleet_t *fleet, uint64_t id)
{
	mt_record_key_t key = mt_record_key(MT_RECORD_JOB, id);
	MtDag__Job *job;
	mt_str_t view;

	if (!fleet->sim->store_tcp_port ||
	    g_hash_table_contains(fleet->jobs, &id))
		return;
	view = mt_fake_store_get(fleet->sim->store, MT_RECORDS_TOPIC, key.text);
	if (!view.len)
		return;
	job = mt_dag__job__unpack(NULL, view.len, (const uint8_t *)view.data);
	if (job && job->n_steps)
		mt_fake_fleet_register_job(fleet, job);
	if (job)
		mt_dag__job__free_unpacked(job, NULL);
}

/*
 * Policy service (mt_advice_port_t): decides which servers the jobs of a queue
 * marked as advised may use. Its decision on a step is called advice, and it
 * includes a ticket for each allowed server.
 */

/** Allows each step on two thirds of the servers. */
static bool advice_allows(const mt_fake_server_t *server,
			  const mt_task_key_t *step)
{
	return (server->index + step->job + step->step) % 3 != 0;
}

/** Writes a ticket: step, server, the server's instance and time of expiry. */
static void make_ticket(char *ticket, const mt_fake_server_t *server,
			const mt_task_key_t *step)
{
	snprintf(ticket, TICKET_BYTES,
		 "%" G_GINT64_MODIFIER "x.%u.%u %u %" G_GINT64_FORMAT
		 " %" G_GUINT64_FORMAT,
		 step->job, step->occurrence, step->step, server->index,
		 server->born, fleet_now(server->fleet) + TICKET_VALID_MS);
}

static bool is_ticket_valid(const mt_fake_server_t *server,
			    const mt_fake_command_t *command)
{
	mt_task_key_t step = {0};
	unsigned index = 0;
	gint64 born = 0;
	guint64 until = 0;

	return sscanf(command->ticket,
		      "%" G_GINT64_MODIFIER "x.%u.%u %u %" G_GINT64_MODIFIER
		      "d %" G_GINT64_MODIFIER "u",
		      &step.job, &step.occurrence, &step.step, &index, &born,
		      &until) == 6 &&
	       step.job == command->key.job &&
	       step.occurrence == command->key.occurrence &&
	       step.step == command->key.step && index == server->index &&
	       born == server->born && until > fleet_now(server->fleet);
}

typedef struct mt_fake_advice_call_t {
	mt_sim_host_t *host;
	mt_task_key_t step;
	mt_shared_name_t *servers;
	size_t n_servers;
	mt_advice_cb cb;
	void *ctx;
} mt_fake_advice_call_t;

static void answer_advice_call(void *ctx)
{
	mt_fake_advice_call_t *call = ctx;
	mt_fake_fleet_t *fleet = call->host->sim->fleet;
	mt_advice_answer_t answer = {MT_COMMAND_DONE, NULL, 0, false,
				     TICKET_VALID_MS};
	mt_advice_grant_t *allowed_servers =
		g_new0(mt_advice_grant_t, call->n_servers + 1);
	char(*tickets)[TICKET_BYTES] =
		g_malloc0((call->n_servers + 1) * TICKET_BYTES);

	for (size_t i = 0; i < call->n_servers; i++) {
		unsigned index = 0;

		sscanf(call->servers[i].text, "server-%u", &index);
		if (!advice_allows(&fleet->servers[index], &call->step))
			continue;
		make_ticket(tickets[i], &fleet->servers[index], &call->step);
		allowed_servers[answer.n_allowed_servers].server =
			call->servers[i];
		allowed_servers[answer.n_allowed_servers++].ticket =
			mt_str_from(tickets[i]);
	}
	answer.allowed_servers = allowed_servers;
	/* The service refuses 5% of the requests. */
	if (mt_sim_chance(call->host->sim, 0.05))
		answer = (mt_advice_answer_t){MT_COMMAND_UNAVAILABLE, NULL, 0,
					      false, 0};
	call->cb(call->ctx, &answer);
	g_free(allowed_servers);
	g_free(tickets);
	g_free(call->servers);
	g_free(call);
}

static void request_advice(void *self, const mt_advice_request_t *request,
			   mt_advice_cb cb, void *ctx)
{
	mt_fake_advice_call_t *call = g_new0(mt_fake_advice_call_t, 1);

	call->host = self;
	call->step = request->step;
	call->servers =
		g_memdup2(request->servers,
			  request->n_servers * sizeof(*request->servers));
	call->n_servers = request->n_servers;
	call->cb = cb;
	call->ctx = ctx;
	mt_sim_schedule_on_host(call->host,
				ADVICE_LATENCY_MS + ADVICE_PER_SERVER_MS *
							    request->n_servers,
				answer_advice_call, call);
}

/* Execution of commands. */

static bool has_room(const mt_fake_server_t *server,
		     const mt_dag_resources_t *need)
{
	mt_dag_resources_t room = {64000, 262144, 8};

	for (guint i = 0; i < server->runs->len; i++)
		mt_dag_resources_subtract(
			&room,
			&((mt_fake_run_t *)server->runs->pdata[i])->need);
	return mt_dag_resources_fit(need, &room);
}

static void extend_leases(mt_fake_server_t *server, uint64_t lease_end)
{
	server->leases_end =
		MAX(server->leases_end,
		    MIN(lease_end, server_clock_ms(server) + LEASE_MAX_MS));
}

static mt_fake_run_t *find_run(mt_fake_server_t *server, const char *name,
			       guint *position)
{
	for (guint i = 0; i < server->runs->len; i++) {
		mt_fake_run_t *run = server->runs->pdata[i];

		if (!strcmp(run->name, name)) {
			*position = i;
			return run;
		}
	}
	return NULL;
}

/** Siblings do the same work, give or take 20%. */
static mt_ms_t time_of_work(const mt_fake_server_t *server, uint32_t work_ms)
{
	mt_sim_t *sim = server->fleet->sim;

	if (!sim->options.speeds)
		return work_ms;
	return (mt_ms_t)(work_ms *
			 g_rand_double_range(sim->server_rand, 0.8, 1.2) /
			 server_speeds[server->speed_index]);
}

static void begin_run(mt_fake_server_t *server,
		      const mt_fake_command_t *command, const char *name,
		      const MtDag__Job *job)
{
	mt_fake_fleet_t *fleet = server->fleet;
	const MtDag__Step *step = job->steps[command->key.step];
	mt_fake_run_t *run = g_new0(mt_fake_run_t, 1);

	run->key = command->key;
	g_strlcpy(run->name, name, sizeof(run->name));
	run->run_number = command->run_number;
	run->need =
		(mt_dag_resources_t){step->cpu_milli, step->mem_mb, step->gpu};
	run->gang = step->gang;
	run->members = step->count;
	run->started_at = fleet_now(fleet);
	run->work_started_at = step->gang ? 0 : run->started_at;
	run->work_ms = time_of_work(server, step->estimate_ms);
	run->shows_speed = step->count > 1 &&
			   run->started_at >= server->cold_until &&
			   run->work_ms >= (step->gang ? OBSERVED_MEMBER_MIN_MS
						       : OBSERVED_RUN_MIN_MS);
	run->term = command->term;
	run->fails = mt_sim_chance(fleet->sim, FAIL_SHARE);
	audit_single_run(fleet, run);
	audit_step_order(fleet, run, job);
	audit_forbidden_start(fleet, run);
	audit_evacuated_start(server, command);
	audit_leaving_start(server, command);
	audit_cold_start(server, command);
	g_ptr_array_add(server->runs, run);
	if (run->gang)
		start_gang_if_complete(fleet, run);
}

static mt_command_result_t execute_start(mt_fake_command_t *command)
{
	mt_fake_server_t *server = command->server;
	char name[64];
	guint position;
	mt_fake_run_t *run;
	MtDag__Job *job = find_job(server->fleet, command->key.job);
	const MtDag__Step *step;
	mt_dag_resources_t need;

	format_task_name(name, sizeof(name), &command->key);
	if (!job) {
		mt_sim_breach(server->fleet->sim, "%s belongs to no known job",
			      name);
		return MT_COMMAND_REJECTED;
	}
	step = job->steps[command->key.step];
	need = (mt_dag_resources_t){step->cpu_milli, step->mem_mb, step->gpu};
	run = find_run(server, name, &position);
	if (command->lease_end <= server_clock_ms(server)) {
		mt_dag__job__free_unpacked(job, NULL);
		return MT_COMMAND_LEASE_OVER;
	}
	if (command->run_number <= GPOINTER_TO_UINT(g_hash_table_lookup(
					   server->highest_ended, name))) {
		mt_dag__job__free_unpacked(job, NULL);
		return MT_COMMAND_STALE_RUN;
	}
	extend_leases(server, command->lease_end);
	if (run && run->run_number == command->run_number) {
		mt_dag__job__free_unpacked(job, NULL);
		return MT_COMMAND_DONE;
	}
	if (!strcmp(job->queue, "advised") &&
	    !is_ticket_valid(server, command)) {
		mt_dag__job__free_unpacked(job, NULL);
		return MT_COMMAND_NO_TICKET;
	}
	if (!has_room(server, &need)) {
		mt_dag__job__free_unpacked(job, NULL);
		return MT_COMMAND_NO_ROOM;
	}
	begin_run(server, command, name, job);
	mt_dag__job__free_unpacked(job, NULL);
	return MT_COMMAND_DONE;
}

/** A stop that arrives before the start of its run makes the start invalid. */
static mt_command_result_t execute_stop(mt_fake_command_t *command)
{
	mt_fake_server_t *server = command->server;
	mt_sim_t *sim = server->fleet->sim;
	char name[64];
	guint position;
	guint highest_ended;
	mt_fake_run_t *run;

	format_task_name(name, sizeof(name), &command->key);
	run = find_run(server, name, &position);
	highest_ended = GPOINTER_TO_UINT(
		g_hash_table_lookup(server->highest_ended, name));
	if (run && run->run_number <= command->run_number && !run->stop_at)
		run->stop_at = mt_sim_now(sim) +
			       (mt_ms_t)g_rand_int_range(sim->rand, 10,
							 RUN_STOP_MAX_MS);
	if (!run && command->run_number > highest_ended)
		g_hash_table_insert(server->highest_ended, g_strdup(name),
				    GUINT_TO_POINTER(command->run_number));
	return MT_COMMAND_DONE;
}

static void acknowledge_ends(mt_fake_server_t *server, uint64_t last_seen)
{
	while (server->ends->len) {
		mt_fake_end_t *end = server->ends->pdata[0];

		if (end->number > last_seen)
			break;
		record_acked_end(server->fleet, end);
		g_ptr_array_remove_index(server->ends, 0);
		g_free(end);
	}
}

static mt_command_result_t execute_command(mt_fake_command_t *command)
{
	mt_fake_server_t *server = command->server;

	if (command->term < server->term)
		return MT_COMMAND_FENCED;
	if (command->term > server->term)
		reset_observed_runs(server);
	server->term = command->term;
	if (command->kind == MT_FAKE_COMMAND_START)
		return execute_start(command);
	if (command->kind == MT_FAKE_COMMAND_STOP)
		return execute_stop(command);
	acknowledge_ends(server, command->last_seen);
	if (command->lease_end)
		extend_leases(server, command->lease_end);
	return MT_COMMAND_DONE;
}

/* Answers. */

static void deliver_failure(void *ctx)
{
	mt_fake_command_t *command = ctx;
	mt_backend_answer_t answer = {0};

	answer.result = command->result;
	command->cb(command->ctx, &answer);
	g_free(command);
}

/** An answer in transit, with the state of the server when it was sent. */
typedef struct mt_answer_snapshot_t {
	mt_fake_command_t *command;
	uint64_t clock_ms;
	int64_t born;
	GArray *running;
	GArray *ended;
} mt_answer_snapshot_t;

static void deliver_answer(void *ctx)
{
	mt_answer_snapshot_t *snapshot = ctx;
	mt_backend_answer_t answer = {0};

	answer.result = snapshot->command->result;
	answer.clock_ms = snapshot->clock_ms;
	answer.born_ms = snapshot->born;
	answer.active_runs = (const mt_active_run_t *)snapshot->running->data;
	answer.n_active_runs = snapshot->running->len;
	answer.ended = (const mt_ended_run_t *)snapshot->ended->data;
	answer.n_ended = snapshot->ended->len;
	snapshot->command->cb(snapshot->command->ctx, &answer);
	g_array_unref(snapshot->running);
	g_array_unref(snapshot->ended);
	g_free(snapshot->command);
	g_free(snapshot);
}

static uint32_t progress_percent(const mt_fake_server_t *server,
				 const mt_fake_run_t *run)
{
	mt_ms_t now = fleet_now(server->fleet);

	if (!run->work_started_at || !run->work_ms)
		return 0;
	return (uint32_t)MIN(100,
			     (now - run->work_started_at) * 100 / run->work_ms);
}

static void send_answer(mt_fake_command_t *command)
{
	mt_fake_server_t *server = command->server;
	mt_answer_snapshot_t *snapshot = g_new0(mt_answer_snapshot_t, 1);

	snapshot->command = command;
	snapshot->clock_ms = server_clock_ms(server);
	snapshot->born = server->born;
	snapshot->running = g_array_new(FALSE, TRUE, sizeof(mt_active_run_t));
	snapshot->ended = g_array_new(FALSE, TRUE, sizeof(mt_ended_run_t));
	for (guint i = 0;
	     command->kind == MT_FAKE_COMMAND_HOLD && i < server->runs->len;
	     i++) {
		const mt_fake_run_t *run = server->runs->pdata[i];
		mt_active_run_t out = {run->key,
				       run->run_number,
				       {0},
				       progress_percent(server, run)};

		g_array_append_val(snapshot->running, out);
	}
	for (guint i = 0;
	     command->kind == MT_FAKE_COMMAND_HOLD && i < server->ends->len;
	     i++) {
		const mt_fake_end_t *end = server->ends->pdata[i];
		mt_ended_run_t out = {end->number,
				      end->key,
				      end->run_number,
				      end->reason,
				      {0}};

		g_array_append_val(snapshot->ended, out);
	}
	/* Hosts with a higher index are farther from the servers. */
	mt_sim_schedule_on_host(command->host,
				LATENCY_MS + command->host->index * 5,
				deliver_answer, snapshot);
}

static void fail_command(mt_fake_command_t *command, mt_command_result_t result,
			 mt_ms_t delay)
{
	command->result = result;
	mt_sim_schedule_on_host(command->host, delay, deliver_failure, command);
}

static bool has_new_end(const mt_fake_server_t *server,
			const mt_fake_command_t *command)
{
	return server->ends->len > 0 &&
	       ((mt_fake_end_t *)server->ends->pdata[server->ends->len - 1])
			       ->number > command->last_seen;
}

static void answer_waiting_holds(mt_fake_server_t *server)
{
	for (guint i = server->waiting_holds->len; i-- > 0;) {
		mt_fake_command_t *command = server->waiting_holds->pdata[i];

		if (!has_new_end(server, command) &&
		    fleet_now(server->fleet) < command->wait_until)
			continue;
		g_ptr_array_remove_index_fast(server->waiting_holds, i);
		if (server->unreachable || command->host->servers_unreachable)
			fail_command(command, MT_COMMAND_UNKNOWN,
				     ANSWER_TIMEOUT_MS);
		else
			send_answer(command);
	}
}

static void execute_late_command(void *ctx)
{
	mt_fake_command_t *command = ctx;

	command->late = true;
	/* A restarted server has lost the commands received before. */
	if (command->server->up && command->server->born == command->born)
		execute_command(command);
	g_free(command);
}

/**
 * Decides at random whether the command's answer is lost. If so, executes the
 * command at once or later.
 */
static bool lose_answer(mt_fake_command_t *command)
{
	mt_sim_t *sim = command->fleet->sim;

	if (!mt_sim_chance(sim, sim->order_lost))
		return false;
	if (mt_sim_chance(sim, sim->order_late))
		mt_timers_after(sim->timers,
				(mt_ms_t)g_rand_int_range(sim->rand,
							  LATE_COMMAND_MIN_MS,
							  LATE_COMMAND_MAX_MS),
				execute_late_command,
				g_memdup2(command, sizeof(*command)));
	else
		execute_command(command);
	return true;
}

static void on_command_received(void *ctx)
{
	mt_fake_command_t *command = ctx;
	mt_fake_server_t *server = command->server;
	mt_ms_t now = fleet_now(command->fleet);
	mt_ms_t time_left = command->give_up_at - now;

	if (server->unreachable || command->host->servers_unreachable) {
		fail_command(command, MT_COMMAND_UNKNOWN, time_left);
		return;
	}
	if (!server->up) {
		fail_command(command, MT_COMMAND_NOT_SENT, LATENCY_MS);
		return;
	}
	if (mt_sim_chance(command->fleet->sim,
			  command->fleet->sim->order_unsent)) {
		fail_command(command, MT_COMMAND_NOT_SENT, CONNECT_TIMEOUT_MS);
		return;
	}
	if (command->kind != MT_FAKE_COMMAND_HOLD &&
	    mt_sim_chance(command->fleet->sim,
			  command->fleet->sim->order_busy)) {
		fail_command(command, MT_COMMAND_UNAVAILABLE, LATENCY_MS);
		return;
	}
	command->born = server->born;
	if (server->startless && command->kind == MT_FAKE_COMMAND_START) {
		fail_command(command, MT_COMMAND_UNKNOWN, time_left);
		return;
	}
	if (lose_answer(command)) {
		fail_command(command, MT_COMMAND_UNKNOWN, time_left);
		return;
	}
	command->result = execute_command(command);
	if (command->kind == MT_FAKE_COMMAND_HOLD &&
	    command->result == MT_COMMAND_DONE && command->wait_until > now &&
	    !has_new_end(server, command))
		g_ptr_array_add(server->waiting_holds, command);
	else
		send_answer(command);
}

static mt_fake_command_t *new_command(mt_sim_host_t *host,
				      const mt_backend_target_t *target,
				      mt_fake_command_kind_t kind,
				      mt_backend_cb cb, void *ctx)
{
	mt_fake_command_t *command = g_new0(mt_fake_command_t, 1);
	unsigned index = 0;

	sscanf(target->id.text, "server-%u", &index);
	command->fleet = host->sim->fleet;
	command->host = host;
	command->server = &command->fleet->servers[index];
	command->kind = kind;
	command->cb = cb;
	command->ctx = ctx;
	command->give_up_at = fleet_now(command->fleet) + ANSWER_TIMEOUT_MS;
	mt_timers_after(host->sim->timers, LATENCY_MS, on_command_received,
			command);
	return command;
}

static void start(void *self, const mt_backend_target_t *target,
		  const mt_start_command_t *request, mt_backend_cb cb,
		  void *ctx)
{
	mt_fake_command_t *command =
		new_command(self, target, MT_FAKE_COMMAND_START, cb, ctx);

	command->key = request->task;
	command->run_number = request->run;
	command->term = request->term;
	load_stored_job(command->fleet, request->task.job);
	command->lease_end = request->due_ms;
	if (request->ticket)
		g_strlcpy(command->ticket, request->ticket,
			  sizeof(command->ticket));
}

static void stop(void *self, const mt_backend_target_t *target,
		 const mt_stop_command_t *request, mt_backend_cb cb, void *ctx)
{
	mt_fake_command_t *command =
		new_command(self, target, MT_FAKE_COMMAND_STOP, cb, ctx);

	command->key = request->task;
	command->run_number = request->run;
	command->term = request->term;
}

static void hold(void *self, const mt_backend_target_t *target,
		 const mt_hold_command_t *request, mt_backend_cb cb, void *ctx)
{
	mt_fake_command_t *command =
		new_command(self, target, MT_FAKE_COMMAND_HOLD, cb, ctx);

	command->term = request->term;
	command->lease_end = request->due_ms;
	command->last_seen = request->last_seen;
	command->wait_until = fleet_now(command->fleet) + request->wait_ms;
	command->give_up_at += request->wait_ms;
}

void mt_fake_fleet_bind(mt_fake_fleet_t *fleet, mt_sim_host_t *host)
{
	(void)fleet;
	host->backend_port = (mt_backend_port_t){host, start, stop, hold};
	host->advice_port = (mt_advice_port_t){host, request_advice};
}

/* Restarts and shutdowns of servers. */

/** The speed of a server changes with each restart. */
static void choose_speed(mt_fake_server_t *server, bool restarted)
{
	GRand *rand = server->fleet->sim->server_rand;
	unsigned n_speeds = G_N_ELEMENTS(server_speeds);

	if (!server->fleet->sim->options.speeds)
		return;
	if (!restarted)
		server->speed_index = server->index % n_speeds;
	else
		server->speed_index =
			(server->speed_index +
			 (unsigned)g_rand_int_range(rand, 1, (int)n_speeds)) %
			n_speeds;
}

static void begin_cold_time(mt_fake_server_t *server)
{
	mt_sim_t *sim = server->fleet->sim;

	server->cold_starts = 0;
	if (sim->options.cold)
		server->cold_until =
			mt_sim_now(sim) +
			(mt_ms_t)g_rand_int_range(sim->server_rand, COLD_MIN_MS,
						  COLD_MAX_MS);
	/* So that its entry is written anew once it is reachable. */
	if (sim->options.cold)
		server->listed = false;
}

static void start_server(void *ctx)
{
	mt_fake_server_t *server = ctx;
	bool restarted = server->born != 0;

	choose_speed(server, restarted);
	reset_observed_runs(server);
	if (restarted)
		begin_cold_time(server);
	server->up = true;
	server->draining = false;
	server->draining_since = 0;
	server->shutdown_at = 0;
	server->started_at = fleet_now(server->fleet);
	server->born = (int64_t)server->started_at;
	server->term = 0;
	server->leases_end = 0;
	server->last_end_number = 0;
	if (!server->unreachable)
		publish_report(server);
}

void mt_fake_fleet_crash(mt_fake_fleet_t *fleet, unsigned server_index,
			 mt_ms_t down_ms)
{
	mt_fake_server_t *server = &fleet->servers[server_index];

	if (!server->up)
		return;
	for (guint i = server->runs->len; i-- > 0;) {
		mt_fake_run_t copy = *(mt_fake_run_t *)server->runs->pdata[i];

		g_ptr_array_remove_index_fast(server->runs, i);
		if (copy.gang && copy.work_started_at) {
			/* May remove other runs of this server, too. */
			end_gang(fleet, &copy, MT_END_GANG_BROKEN);
			i = server->runs->len;
		}
	}
	g_ptr_array_set_size(server->ends, 0);
	g_hash_table_remove_all(server->highest_ended);
	answer_waiting_holds(server);
	while (server->waiting_holds->len) {
		fail_command(server->waiting_holds->pdata[0],
			     MT_COMMAND_UNKNOWN, LATENCY_MS);
		g_ptr_array_remove_index_fast(server->waiting_holds, 0);
	}
	server->up = false;
	mt_timers_after(fleet->sim->timers, down_ms, start_server, server);
}

void mt_fake_fleet_set_unreachable(mt_fake_fleet_t *fleet,
				   unsigned server_index, bool unreachable)
{
	fleet->servers[server_index].unreachable = unreachable;
}

void mt_fake_fleet_set_startless(mt_fake_fleet_t *fleet, unsigned server_index,
				 bool startless)
{
	fleet->servers[server_index].startless = startless;
}

void mt_fake_fleet_set_stalled(mt_fake_fleet_t *fleet, unsigned server_index,
			       bool stalled)
{
	fleet->servers[server_index].stalled = stalled;
}

void mt_fake_fleet_repair(mt_fake_fleet_t *fleet)
{
	for (unsigned i = 0; i < fleet->count; i++) {
		fleet->servers[i].stalled = false;
		fleet->servers[i].startless = false;
		reset_observed_runs(&fleet->servers[i]);
		if (fleet->servers[i].up)
			fleet->servers[i].unreachable = false;
	}
}

typedef struct mt_pending_shutdown_t {
	mt_fake_fleet_t *fleet;
	unsigned server_index;
} mt_pending_shutdown_t;

static void shut_down_server(void *ctx)
{
	mt_pending_shutdown_t *pending = ctx;

	/* The server is down for 3 s. */
	mt_fake_fleet_crash(pending->fleet, pending->server_index, 3000);
	delete_report(&pending->fleet->servers[pending->server_index]);
	g_free(pending);
}

void mt_fake_fleet_drain(mt_fake_fleet_t *fleet, unsigned server_index,
			 mt_ms_t shutdown_after_ms)
{
	mt_pending_shutdown_t *pending = g_new0(mt_pending_shutdown_t, 1);

	if (!fleet->servers[server_index].up) {
		g_free(pending);
		return;
	}
	fleet->servers[server_index].draining = true;
	fleet->servers[server_index].draining_since = fleet_now(fleet);
	fleet->servers[server_index].shutdown_at =
		fleet_now(fleet) + shutdown_after_ms;
	publish_report(&fleet->servers[server_index]);
	pending->fleet = fleet;
	pending->server_index = server_index;
	mt_timers_after(fleet->sim->timers, shutdown_after_ms, shut_down_server,
			pending);
}

mt_fake_fleet_t *mt_fake_fleet_new(mt_sim_t *sim, unsigned count)
{
	mt_fake_fleet_t *fleet = g_new0(mt_fake_fleet_t, 1);

	sim->fleet = fleet;
	fleet->sim = sim;
	fleet->count = count;
	fleet->servers = g_new0(mt_fake_server_t, count);
	fleet->jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					    (GDestroyNotify)g_bytes_unref);
	fleet->started_jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    g_free, NULL);
	fleet->forbidden = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, g_free);
	fleet->evacuated =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet->succeeded_tasks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->acked_tasks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->tasks_done =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (unsigned i = 0; i < count; i++) {
		mt_fake_server_t *server = &fleet->servers[i];

		server->fleet = fleet;
		server->index = i;
		snprintf(server->id, sizeof(server->id), "server-%u", i);
		snprintf(server->rack, sizeof(server->rack), "r%u",
			 i * SIM_ZONES / count);
		server->runs = g_ptr_array_new();
		server->ends = g_ptr_array_new();
		server->waiting_holds = g_ptr_array_new();
		server->highest_ended = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, NULL);
		start_server(server);
		mt_timers_every(sim->timers, TICK_MS, on_tick, server);
		mt_timers_every(sim->timers, REPORT_INTERVAL_MS, update_report,
				server);
	}
	return fleet;
}

void mt_fake_fleet_register_job(mt_fake_fleet_t *fleet, const MtDag__Job *job)
{
	g_hash_table_insert(fleet->jobs, g_memdup2(&job->id, sizeof(job->id)),
			    mt_dag_pack(&job->base));
}

void mt_fake_fleet_forbid_starts(mt_fake_fleet_t *fleet, uint64_t job,
				 mt_ms_t from)
{
	g_hash_table_insert(fleet->forbidden, g_memdup2(&job, sizeof(job)),
			    g_memdup2(&from, sizeof(from)));
}

void mt_fake_fleet_evacuate(mt_fake_fleet_t *fleet, const char *zone,
			    mt_ms_t from)
{
	if (from)
		g_hash_table_insert(fleet->evacuated, g_strdup(zone),
				    g_memdup2(&from, sizeof(from)));
	else
		g_hash_table_remove(fleet->evacuated, zone);
}

void mt_fake_fleet_permit_starts(mt_fake_fleet_t *fleet, uint64_t job)
{
	g_hash_table_remove(fleet->forbidden, &job);
}

bool mt_fake_fleet_has_started(const mt_fake_fleet_t *fleet, uint64_t job)
{
	return g_hash_table_contains(fleet->started_jobs, &job);
}

unsigned mt_fake_fleet_check_speeds(const mt_fake_fleet_t *fleet)
{
	GArray *known = g_array_new(FALSE, FALSE, sizeof(mt_true_speed_t));
	mt_ms_t now = fleet_now(fleet);
	unsigned n_known;

	for (unsigned i = 0; i < fleet->count; i++) {
		const mt_fake_server_t *server = &fleet->servers[i];
		mt_true_speed_t speed = {server->id, server->born,
					 server_speeds[server->speed_index]};

		if (server->up && server->observed_at &&
		    now - server->observed_at >= LEARNING_MS)
			g_array_append_val(known, speed);
	}
	n_known = known->len;
	mt_speed_audit(fleet->sim, (const mt_true_speed_t *)known->data,
		       n_known);
	g_array_unref(known);
	return n_known;
}

unsigned mt_fake_fleet_incomplete_gangs(const mt_fake_fleet_t *fleet)
{
	return fleet->incomplete_gangs;
}
