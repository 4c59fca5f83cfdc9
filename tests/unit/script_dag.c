/**
 * @file script_dag.c
 * Script commands for those parts of the scheduler of mimosaturn-entry
 * (lib/dag) that do no I/O: placement plans, leader election, the job table
 * (lib/dag/table.h), and clocks and leases of servers.
 */
#include <stdio.h>
#include <string.h>

#include "dag/election.h"
#include "dag/plan.h"
#include "dag/backend.h"
#include "dag/slots.h"
#include "dag/table.h"
#include "unit/script.h"

#define UNITS_MAX 16u
#define SERVERS_MAX 32u
#define VICTIMS_MAX 64u
#define UNIT_TASKS_MAX 64u

typedef struct mt_dag_fixture_t {
	mt_plan_server_t servers[SERVERS_MAX];
	mt_plan_unit_t units[UNITS_MAX];
	mt_plan_victim_t victims[VICTIMS_MAX];
	uint32_t chosen[UNITS_MAX][UNIT_TASKS_MAX];
	mt_plan_t plan;
	mt_election_t election;
	mt_slots_t slots;
	mt_ms_t now;
	mt_timers_t *timers;
	mt_kernel_t *kernel;
	mt_table_t *table;
	mt_backend_t backend;
	GPtrArray *labels; /**< GArray of GQuark, those of `servers` */
} mt_dag_fixture_t;

static void *open_group(void)
{
	mt_dag_fixture_t *fixture = g_new0(mt_dag_fixture_t, 1);

	fixture->timers = mt_timers_new(1);
	fixture->kernel = mt_kernel_new("script", fixture->timers, 1);
	fixture->table = mt_table_new(fixture->kernel);
	fixture->labels =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_array_unref);
	return fixture;
}

static void close_group(void *data)
{
	mt_dag_fixture_t *fixture = data;

	g_ptr_array_unref(fixture->labels);
	mt_table_free(fixture->table);
	mt_kernel_free(fixture->kernel);
	mt_timers_free(fixture->timers);
	g_free(fixture);
}

static GQuark quark(char **words, const char *name)
{
	const char *text = mt_script_option(words, name, NULL);

	return text ? g_quark_from_string(text) : 0;
}

static const GArray *labels_of(mt_dag_fixture_t *fixture, GQuark label)
{
	GArray *labels = g_array_new(FALSE, FALSE, sizeof(GQuark));

	g_array_append_val(labels, label);
	g_ptr_array_add(fixture->labels, labels);
	return labels;
}

static uint32_t number(char **words, const char *name, uint32_t fallback)
{
	return (uint32_t)mt_script_number(words, name, fallback);
}

/**
 * Resources from the options `cpu`, in whole cores, and `gpu`, in accelerators,
 * or their defaults. The memory is always 1 MB.
 */
static mt_dag_resources_t parse_resources(char **words, uint32_t cpu,
					  uint32_t gpu)
{
	return (mt_dag_resources_t){number(words, "cpu", cpu) * 1000, 1,
				    number(words, "gpu", gpu)};
}

/*
 * Placement plans. Unless the options say otherwise, a server has 64 free cores
 * and 8 free accelerators; a task of a unit needs 1 core and 1 accelerator and
 * has priority 2; a victim, which is a running task that may be preempted,
 * holds 8 cores and 1 accelerator, has priority 2 and cost 1, and is a group of
 * its own. The victims of a group are stopped together. Each server has 1000
 * MB free and each task needs 1 MB, so memory never limits a plan.
 *
 * A server has room for 64 cores and `room` accelerators, 8 by default, when no
 * other task runs there.
 * `coming` is the number of accelerators that tasks being stopped will release
 * (`releasing`), each with 8 cores and 1 MB. "serves" (`latency_critical`)
 * marks the tasks of a unit as having a latency target, or a server as running
 * such tasks. "fills" marks the tasks of a unit as fillers, which use only
 * resources that other tasks leave, or a server as running fillers. Units of
 * priority 0 may preempt victims and reserve resources; "reserves" lets other
 * units reserve as well, and "limited" lets one such unit of the plan.
 * "overdue" marks a unit that may use what others have reserved.
 */

static void add_servers(mt_dag_fixture_t *fixture, char **words)
{
	uint32_t count = number(words, "count", 1);

	for (uint32_t i = 0; i < count && fixture->plan.n_servers < SERVERS_MAX;
	     i++) {
		mt_plan_server_t *server =
			&fixture->servers[fixture->plan.n_servers++];

		server->free = parse_resources(words, 64, 8);
		server->free.mem_mb = 1000;
		server->releasing.gpu = number(words, "coming", 0);
		server->releasing.cpu_milli = server->releasing.gpu * 8000;
		server->releasing.mem_mb = server->releasing.gpu;
		server->room = (mt_dag_resources_t){64000, 1000,
						    number(words, "room", 8)};
		server->rack = quark(words, "rack");
		server->labels = labels_of(fixture, quark(words, "label"));
		server->penalty = number(words, "penalty", 0);
		server->latency_critical = mt_script_flag(words, "serves");
		server->runs_fillers = mt_script_flag(words, "fills");
	}
}

static void add_unit(mt_dag_fixture_t *fixture, char **words)
{
	mt_plan_unit_t *unit = &fixture->units[fixture->plan.n_units];

	unit->chosen = fixture->chosen[fixture->plan.n_units++];
	unit->need = parse_resources(words, 1, 1);
	unit->count = number(words, "count", 1);
	unit->is_gang = mt_script_flag(words, "gang");
	unit->latency_critical = mt_script_flag(words, "serves");
	unit->is_filler = mt_script_flag(words, "fills");
	unit->same_rack = mt_script_flag(words, "same-rack");
	unit->data_rack = quark(words, "data");
	unit->label = quark(words, "label");
	unit->per_server_max = number(words, "per-server", 0);
	unit->priority = number(words, "priority", 2);
	unit->guaranteed = mt_script_flag(words, "guaranteed");
	unit->may_preempt = !unit->priority;
	unit->reservation_limited = mt_script_flag(words, "limited");
	unit->reserves = unit->may_preempt || unit->reservation_limited ||
			 mt_script_flag(words, "reserves");
	unit->overdue = mt_script_flag(words, "overdue");
}

static void add_victim(mt_dag_fixture_t *fixture, char **words)
{
	mt_plan_victim_t *victim = &fixture->victims[fixture->plan.n_victims++];

	victim->server = number(words, "server", 0);
	victim->group = number(words, "group", fixture->plan.n_victims);
	victim->amount = parse_resources(words, 8, 1);
	victim->priority = number(words, "priority", 2);
	victim->guaranteed = mt_script_flag(words, "guaranteed");
	victim->cost = number(words, "cost", 1);
}

/**
 * Prints for each unit the servers of its tasks, then "stop V on S" for each
 * victim with index V that is preempted on the server with index S. Removes
 * the servers, units and victims.
 */
static void run_plan(mt_dag_fixture_t *fixture, GString *out)
{
	mt_plan_t *plan = &fixture->plan;

	plan->servers = fixture->servers;
	plan->units = fixture->units;
	plan->victims = fixture->victims;
	plan->reservations_max = 1;
	mt_plan_run(plan);
	for (uint32_t i = 0; i < plan->n_units; i++) {
		g_string_append_printf(out, "unit %u:", i);
		for (uint32_t k = 0; k < plan->units[i].placed; k++)
			g_string_append_printf(out, " %u",
					       plan->units[i].chosen[k]);
		g_string_append(out, plan->units[i].placed ? "\n" : " waits\n");
	}
	for (uint32_t i = 0; i < plan->n_victims; i++) {
		if (plan->victims[i].preempted)
			g_string_append_printf(out, "stop %u on %u\n", i,
					       plan->victims[i].server);
	}
	memset(plan, 0, sizeof(*plan));
	memset(fixture->servers, 0, sizeof(fixture->servers));
	memset(fixture->units, 0, sizeof(fixture->units));
	memset(fixture->victims, 0, sizeof(fixture->victims));
}

static bool plan_command(mt_dag_fixture_t *fixture, char **words, GString *out)
{
	if (!strcmp(words[0], "plan-servers"))
		add_servers(fixture, words);
	else if (!strcmp(words[0], "plan-unit"))
		add_unit(fixture, words);
	else if (!strcmp(words[0], "plan-victim"))
		add_victim(fixture, words);
	else if (!strcmp(words[0], "plan-run"))
		run_plan(fixture, out);
	else
		return false;
	return true;
}

/*
 * Leader election. In the commands, `process` is the incarnation of a host, and
 * `rank` is the delay of this host's claim in milliseconds (`claim_delay_ms`).
 * "election-read" reports an answer of the store to a read.
 * "election-after" lets `ms` milliseconds pass and prints what this host does
 * then.
 */

static void apply_leader(mt_dag_fixture_t *fixture, char **words)
{
	MtDag__Leader leader = MT_DAG__LEADER__INIT;

	leader.host = (char *)mt_script_option(words, "host", "");
	leader.incarnation = (char *)mt_script_option(words, "process", "");
	leader.term = mt_script_number(words, "term", 1);
	leader.released = mt_script_flag(words, "released");
	mt_election_on_leader(&fixture->election, &leader, fixture->now);
}

static void apply_host(mt_dag_fixture_t *fixture, char **words, GString *out)
{
	MtDag__Host host = MT_DAG__HOST__INIT;
	uint64_t offset = mt_script_number(words, "offset", 1);

	host.name = (char *)mt_script_option(words, "name", "");
	host.cores_milli = mt_script_number(words, "cores_milli", 250);
	mt_election_on_host(&fixture->election, &host);
	if (mt_election_should_yield(&fixture->election, &host, offset))
		g_string_append(out, "yields\n");
}

static bool election_command(mt_dag_fixture_t *fixture, char **words,
			     GString *out)
{
	mt_shared_name_t host;
	mt_name_t process;

	if (!strcmp(words[0], "election-start")) {
		host = mt_shared_name(mt_script_option(words, "host", "a"));
		process = mt_name(mt_script_option(words, "process", "a-1"));
		mt_election_init(&fixture->election, host, &process,
				 mt_script_number(words, "cores_milli", 250),
				 fixture->now);
		fixture->election.claim_delay_ms =
			mt_script_number(words, "rank", 0);
		fixture->election.lacks_records =
			mt_script_flag(words, "lacks_records");
	} else if (!strcmp(words[0], "election-leader")) {
		apply_leader(fixture, words);
	} else if (!strcmp(words[0], "election-host")) {
		apply_host(fixture, words, out);
	} else if (!strcmp(words[0], "election-read")) {
		mt_election_on_read(&fixture->election, fixture->now);
	} else if (!strcmp(words[0], "election-back-off")) {
		mt_election_back_off(&fixture->election, fixture->now);
	} else if (!strcmp(words[0], "election-after")) {
		fixture->now += mt_script_number(words, "ms", 0);
		g_string_append_printf(out, "%s%s\n",
				       mt_election_is_leader(&fixture->election)
					       ? "leads"
					       : "follows",
				       mt_election_should_claim(
					       &fixture->election, fixture->now)
					       ? ", claims"
					       : "");
	} else {
		return false;
	}
	return true;
}

/* Slots. In the commands, `process` is the incarnation of a host. */

static void apply_slot(mt_dag_fixture_t *fixture, char **words)
{
	MtDag__SlotHolder holder = MT_DAG__SLOT_HOLDER__INIT;

	holder.incarnation = (char *)mt_script_option(words, "process", "");
	holder.released = mt_script_flag(words, "released");
	holder.address = (char *)mt_script_option(words, "address", "10.0.0.2");
	holder.port = 1;
	mt_slots_on_record(&fixture->slots, mt_script_number(words, "slot", 0),
			   &holder, fixture->now);
}

static void start_slots(mt_dag_fixture_t *fixture, char **words)
{
	mt_name_t process = mt_name(mt_script_option(words, "process", "a-1"));
	mt_endpoint_t endpoint = {
		mt_name(mt_script_option(words, "address", "10.0.0.1")), 1};

	mt_slots_init(&fixture->slots, 3, &process, &endpoint, fixture->now);
	fixture->slots.take_delay_ms = mt_script_number(words, "delay", 0);
}

static void show_slot(mt_dag_fixture_t *fixture, char **words, GString *out)
{
	int own = mt_slots_own(&fixture->slots);
	int free_slot = mt_slots_to_take(&fixture->slots,
					 mt_script_number(words, "extra", 0),
					 fixture->now);

	if (own == MT_NO_SLOT)
		g_string_append(out, "none");
	else
		g_string_append_printf(out, "slot %d", own);
	if (free_slot != MT_NO_SLOT)
		g_string_append_printf(out, ", takes %d", free_slot);
	if (mt_slots_should_renew(&fixture->slots, fixture->now))
		g_string_append(out, ", renews");
	g_string_append_c(out, '\n');
}

static bool slot_command(mt_dag_fixture_t *fixture, char **words, GString *out)
{
	if (!strcmp(words[0], "slot-start")) {
		start_slots(fixture, words);
	} else if (!strcmp(words[0], "slot-record")) {
		apply_slot(fixture, words);
	} else if (!strcmp(words[0], "slot-back-off")) {
		mt_slots_back_off(&fixture->slots, fixture->now);
	} else if (!strcmp(words[0], "slot-after")) {
		fixture->now += mt_script_number(words, "ms", 0);
		show_slot(fixture, words, out);
	} else {
		return false;
	}
	return true;
}

/* Job table. */

static GBytes *pack_job(char **words, uint64_t id)
{
	MtDag__Job job = MT_DAG__JOB__INIT;

	job.id = id;
	job.queue = (char *)mt_script_option(words, "queue", "q");
	return mt_dag_pack(&job.base);
}

static GBytes *pack_progress(char **words, uint64_t id)
{
	MtDag__Progress progress = MT_DAG__PROGRESS__INIT;

	progress.id = id;
	progress.state = (MtDag__State)mt_script_number(words, "state", 0);
	progress.begun = mt_script_flag(words, "begun");
	return mt_dag_pack(&progress.base);
}

/**
 * Applies a record to the job table. The flag "job" or "progress" gives its
 * kind; without either it is a cancel record. "dropped" empties the value,
 * which deletes the record's key in the store; "broken" makes the value
 * malformed.
 */
static void apply_record(mt_dag_fixture_t *fixture, char **words)
{
	uint64_t id = mt_script_number(words, "id", 1);
	mt_record_kind_t kind = MT_RECORD_CANCEL;
	mt_store_record_t record = {{0}, MT_STR("1"), 0};
	mt_record_key_t key;
	GBytes *bytes = NULL;

	if (mt_script_flag(words, "job")) {
		kind = MT_RECORD_JOB;
		bytes = pack_job(words, id);
	} else if (mt_script_flag(words, "progress")) {
		kind = MT_RECORD_PROGRESS;
		bytes = pack_progress(words, id);
	}
	key = mt_record_key(kind, id);
	record.key = mt_str_from(key.text);
	if (bytes)
		record.value = mt_bytes_view(bytes);
	if (mt_script_flag(words, "broken"))
		record.value = MT_STR("\xff\xff\xff");
	if (mt_script_flag(words, "dropped"))
		record.value = (mt_str_t){0};
	record.offset = mt_script_number(words, "offset", 0);
	mt_table_apply(fixture->table, &record);
	if (bytes)
		g_bytes_unref(bytes);
}

/**
 * Prints the state of the job, and as "pending" the number of jobs of the queue
 * that have not begun.
 */
static void show_job(mt_dag_fixture_t *fixture, char **words, GString *out)
{
	static const char *const names[] = {"queued", "active", "completed",
					    "failed", "cancelled"};
	const mt_table_job_t *job =
		mt_table_find(fixture->table, mt_script_number(words, "id", 1));
	mt_shared_name_t queue =
		mt_shared_name(mt_script_option(words, "queue", "q"));

	g_string_append_printf(out, "%s, %u pending\n",
			       job ? names[mt_table_state(job)] : "unknown",
			       mt_table_n_pending(fixture->table, queue));
	mt_shared_name_clear(&queue);
}

static bool table_command(mt_dag_fixture_t *fixture, char **words, GString *out)
{
	if (!strcmp(words[0], "table-record"))
		apply_record(fixture, words);
	else if (!strcmp(words[0], "table-show"))
		show_job(fixture, words, out);
	else
		return false;
	return true;
}

/*
 * Clocks and leases of servers. In each command, `at` is the local time in
 * milliseconds. "lease-clock" reports that the server's clock read `ms` then,
 * and "lease-grant" that a lease of `ms` milliseconds is requested.
 * "lease-show" prints the estimated reading of the server's clock, and after
 * "over at" the local time by which all its leases have expired
 * (`leases_expire_at`).
 */

static bool lease_command(mt_dag_fixture_t *fixture, char **words, GString *out)
{
	mt_ms_t at = mt_script_number(words, "at", 0);

	if (!strcmp(words[0], "lease-clock"))
		mt_backend_note_clock(&fixture->backend,
				      mt_script_number(words, "ms", 0), at);
	else if (!strcmp(words[0], "lease-grant"))
		mt_backend_note_lease(&fixture->backend, at,
				      mt_script_number(words, "ms", 0));
	else if (!strcmp(words[0], "lease-show"))
		g_string_append_printf(out,
				       "clock %" G_GUINT64_FORMAT
				       ", over at %" G_GUINT64_FORMAT "\n",
				       mt_backend_clock(&fixture->backend, at),
				       fixture->backend.leases_expire_at);
	else
		return false;
	return true;
}

static bool run(void *data, char **words, const char *rest, GString *out)
{
	mt_dag_fixture_t *fixture = data;

	(void)rest;
	return plan_command(fixture, words, out) ||
	       election_command(fixture, words, out) ||
	       slot_command(fixture, words, out) ||
	       table_command(fixture, words, out) ||
	       lease_command(fixture, words, out);
}

const mt_script_group_t mt_script_dag = {open_group, close_group, run};
