/** @file load_summary.c Summarizes the load of the services. */
#include "dag/load_summary.h"

#include <math.h>

#include "dag/engine_internal.h"

/** Minimum time between two computations of the summary. */
#define INTERVAL_MS 1000u

/**
 * A service is contended when the waiting work would occupy its whole capacity
 * for longer than this.
 */
#define CONTENDED_BACKLOG_MS 500u

/**
 * Time constant of the drain rate. Longer than the run time of usual tasks, as
 * the members of a gang are completed together.
 */
#define DRAIN_TIME_CONSTANT_S 10.0

/**
 * A new leader has seen no work completed. It assumes that the whole capacity
 * has completed work for this long.
 */
#define DRAIN_ASSUMED_S 3.0

#define N_PRIORITIES (MT_LOAD_PRIORITY_MAX + 1)
#define MS_PER_S 1000.0
#define MILLI 1000.0

/** Work of one priority, in core-milliseconds. */
typedef struct mt_work_t {
	double waiting;
	double running;
	double completed; /**< since the last update */
	/** Sums over time, of which older parts count less. */
	double drained;
} mt_work_t;

/** Load of one service; the message refers to the other members. */
typedef struct mt_service_load_t {
	mt_shared_name_t name; /**< the key in `services` */
	double capacity_cores;
	mt_work_t work[N_PRIORITIES];
	double drain_s; /**< time to which the sums `drained` refer */
	mt_shared_name_t account_names[MT_LOAD_ACCOUNTS_MAX];
	MtDag__Pressure message;
	MtDag__PriorityLoad loads[N_PRIORITIES];
	MtDag__PriorityLoad *load_list[N_PRIORITIES];
	MtDag__AccountLoad accounts[MT_LOAD_ACCOUNTS_MAX];
	MtDag__AccountLoad *account_list[MT_LOAD_ACCOUNTS_MAX];
} mt_service_load_t;

struct mt_load_summary_t {
	GHashTable *services; /**< name to mt_service_load_t */
	bool updated;	      /**< mt_load_summary_update() was called */
	mt_ms_t updated_at;
	MtDag__Pressure *list[MT_LOAD_SERVICES_MAX];
	size_t n_list;
};

static void free_load(gpointer data)
{
	mt_service_load_t *load = data;

	for (size_t i = 0; i < MT_LOAD_ACCOUNTS_MAX; i++)
		mt_shared_name_clear(&load->account_names[i]);
	g_free(load);
}

mt_load_summary_t *mt_load_summary_new(void)
{
	mt_load_summary_t *summary = g_new0(mt_load_summary_t, 1);

	summary->services = mt_shared_name_table_new(free_load);
	return summary;
}

void mt_load_summary_free(mt_load_summary_t *summary)
{
	g_hash_table_destroy(summary->services);
	g_free(summary);
}

static mt_service_load_t *find_or_add(mt_load_summary_t *summary,
				      mt_shared_name_t service)
{
	mt_service_load_t *load = g_hash_table_lookup(
		summary->services, mt_shared_name_key(service));

	if (load)
		return load;
	load = g_new0(mt_service_load_t, 1);
	load->name = service;
	g_hash_table_insert(summary->services, mt_shared_name_new_key(service),
			    load);
	return load;
}

static mt_work_t *work_of(mt_service_load_t *load, const mt_dag_job_t *job)
{
	return &load->work[MIN(job->queue.priority, MT_LOAD_PRIORITY_MAX)];
}

void mt_load_summary_note_done(mt_load_summary_t *summary,
			       const mt_dag_step_t *step, uint32_t count)
{
	mt_service_load_t *load =
		find_or_add(summary, step->job->queue.service);

	work_of(load, step->job)->completed +=
		count * mt_dag_step_cores(step) * step->spec->estimate_ms;
}

/* Work that waits and runs. */

static bool is_counted(const mt_dag_job_t *job)
{
	return !mt_state_is_final(job->state) && !job->cancelled;
}

/** Adds the run of a task, unless it is over or its time is unlimited. */
static void add_run(mt_load_summary_t *summary, const mt_dag_task_t *task,
		    mt_ms_t now)
{
	const mt_dag_step_t *step = task->step;
	double left_ms = step->spec->estimate_ms;
	mt_work_t *work;

	if (!is_counted(step->job) || step->spec->lasting ||
	    task->phase == MT_TASK_PHASE_DONE)
		return;
	work = work_of(find_or_add(summary, step->job->queue.service),
		       step->job);
	left_ms -= (double)(now - task->placed_at);
	work->running += mt_dag_step_cores(step) * MAX(left_ms, 0);
}

static void add_runs(mt_load_summary_t *summary, const mt_engine_t *engine)
{
	mt_ms_t now = mt_engine_now(engine);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, engine->backends);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_backend_t *backend = value;

		for (guint i = 0; i < backend->tasks->len; i++)
			add_run(summary, backend->tasks->pdata[i], now);
	}
}

/**
 * Adds the waiting work of the jobs, including that of steps which depend on
 * others, but none that starts later.
 */
static void add_jobs(mt_load_summary_t *summary, const mt_engine_t *engine)
{
	int64_t wall_ms = engine->deps.wall_ms();
	const GPtrArray *awake = engine->wakeups.awake;

	for (guint i = 0; i < awake->len; i++) {
		const mt_dag_job_t *job = awake->pdata[i];

		if (is_counted(job))
			work_of(find_or_add(summary, job->queue.service), job)
				->waiting +=
				mt_dag_job_waiting_core_ms(job, wall_ms);
	}
}

/** Adds the capacity of the servers that can get tasks. */
static void add_capacity(mt_load_summary_t *summary, const mt_engine_t *engine)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, engine->backends);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_backend_t *backend = value;

		if (!backend->listed || backend->info.draining ||
		    mt_engine_is_evacuated(engine, backend))
			continue;
		find_or_add(summary, backend->info.service)->capacity_cores +=
			mt_dag_resources_cores(&backend->info.capacity);
	}
}

static void clear_loads(mt_load_summary_t *summary)
{
	GHashTableIter iter;
	gpointer value;

	summary->n_list = 0;
	g_hash_table_iter_init(&iter, summary->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		mt_service_load_t *load = value;

		load->capacity_cores = 0;
		for (unsigned i = 0; i < N_PRIORITIES; i++) {
			load->work[i].waiting = 0;
			load->work[i].running = 0;
		}
	}
}

/* Drain rate. */

static void begin_drain(mt_service_load_t *load)
{
	load->drain_s = DRAIN_ASSUMED_S;
	load->work[MT_LOAD_PRIORITY_MAX].drained =
		load->capacity_cores * MS_PER_S * DRAIN_ASSUMED_S;
}

static void update_drain(mt_service_load_t *load, double elapsed_s)
{
	double kept = exp(-elapsed_s / DRAIN_TIME_CONSTANT_S);

	/* No server is known yet. */
	if (load->capacity_cores <= 0)
		return;
	if (load->drain_s <= 0)
		begin_drain(load);
	load->drain_s = load->drain_s * kept + elapsed_s;
	for (unsigned i = 0; i < N_PRIORITIES; i++) {
		mt_work_t *work = &load->work[i];

		work->drained = work->drained * kept + work->completed;
		work->completed = 0;
	}
}

/* Messages. */

static double waiting_of(const mt_service_load_t *load)
{
	double waiting = 0;

	for (unsigned i = 0; i < N_PRIORITIES; i++)
		waiting += load->work[i].waiting;
	return waiting;
}

static void write_loads(mt_service_load_t *load)
{
	size_t n = 0;

	for (uint32_t i = 0; i < N_PRIORITIES; i++) {
		const mt_work_t *work = &load->work[i];
		MtDag__PriorityLoad *message = &load->loads[n];

		mt_dag__priority_load__init(message);
		message->priority = i;
		message->waiting_core_ms = (uint64_t)work->waiting;
		message->running_core_ms = (uint64_t)work->running;
		message->drained_core_ms_per_s =
			(uint64_t)(work->drained / load->drain_s);
		if (message->waiting_core_ms || message->running_core_ms ||
		    message->drained_core_ms_per_s)
			load->load_list[n++] = message;
	}
	load->message.n_loads = n;
	load->message.loads = load->load_list;
}

/**
 * Inserts an account into the list, which is sorted by use, the most first. Of
 * more accounts than MT_LOAD_ACCOUNTS_MAX, those that use least are dropped.
 * The list refers to `name`.
 */
static void insert_account(mt_service_load_t *load, const char *name,
			   double cores)
{
	MtDag__AccountLoad message = MT_DAG__ACCOUNT_LOAD__INIT;
	size_t at = load->message.n_accounts;

	message.borrowed_millicores = (uint64_t)(cores * MILLI);
	while (at > 0 && load->accounts[at - 1].borrowed_millicores <
				 message.borrowed_millicores)
		at--;
	if (!message.borrowed_millicores || at >= MT_LOAD_ACCOUNTS_MAX)
		return;
	load->message.n_accounts =
		MIN(load->message.n_accounts + 1, MT_LOAD_ACCOUNTS_MAX);
	for (size_t i = load->message.n_accounts - 1; i > at; i--) {
		load->accounts[i] = load->accounts[i - 1];
	}
	message.account = (char *)name;
	load->accounts[at] = message;
}

static void write_accounts(mt_service_load_t *load, const mt_engine_t *engine)
{
	GHashTable *use = mt_account_use_find(engine, load->name);
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	load->message.n_accounts = 0;
	g_hash_table_iter_init(&iter, use);
	while (g_hash_table_iter_next(&iter, &key, &value))
		insert_account(load, key, *(const double *)value);
	g_hash_table_destroy(use);
	for (size_t i = 0; i < load->message.n_accounts; i++) {
		mt_shared_name_set(&load->account_names[i],
				   mt_str_from(load->accounts[i].account));
		load->accounts[i].account =
			(char *)mt_shared_name_text(load->account_names[i]);
		load->account_list[i] = &load->accounts[i];
	}
	load->message.accounts = load->account_list;
}

static void write_message(mt_load_summary_t *summary, mt_service_load_t *load,
			  const mt_engine_t *engine)
{
	if (summary->n_list >= MT_LOAD_SERVICES_MAX) {
		mt_kernel_count(engine->deps.kernel,
				"load_summary_services_left_out_total");
		return;
	}
	mt_dag__pressure__init(&load->message);
	load->message.service = (char *)mt_shared_name_text(load->name);
	load->message.capacity_millicores =
		(uint64_t)(load->capacity_cores * MILLI);
	write_loads(load);
	write_accounts(load, engine);
	summary->list[summary->n_list++] = &load->message;
}

/** Sets the gauge of the load; 0 while the service is not contended. */
static void set_gauge(const mt_engine_t *engine, const mt_service_load_t *load,
		      double backlog_ms)
{
	char *service = mt_text_printable(mt_shared_name_text(load->name));
	char *name =
		g_strdup_printf("service_backlog_ms{service=\"%s\"}", service);

	*mt_kernel_counter(engine->deps.kernel, name) = (uint64_t)backlog_ms;
	g_free(name);
	g_free(service);
}

void mt_load_summary_reset_gauges(const mt_load_summary_t *summary,
				  const struct mt_engine_t *engine)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, summary->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		set_gauge(engine, value, 0);
}

void mt_load_summary_update(mt_load_summary_t *summary,
			    const struct mt_engine_t *engine)
{
	mt_ms_t now = mt_engine_now(engine);
	double elapsed_s =
		summary->updated
			? (double)(now - summary->updated_at) / MS_PER_S
			: 0;
	GHashTableIter iter;
	gpointer value;

	if (summary->updated && now - summary->updated_at < INTERVAL_MS)
		return;
	summary->updated = true;
	summary->updated_at = now;
	clear_loads(summary);
	add_capacity(summary, engine);
	add_jobs(summary, engine);
	add_runs(summary, engine);
	g_hash_table_iter_init(&iter, summary->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		mt_service_load_t *load = value;
		double backlog_ms =
			load->capacity_cores > 0
				? waiting_of(load) / load->capacity_cores
				: 0;
		bool contended = backlog_ms > CONTENDED_BACKLOG_MS;

		update_drain(load, elapsed_s);
		set_gauge(engine, load, contended ? backlog_ms : 0);
		if (contended)
			write_message(summary, load, engine);
	}
}

size_t mt_load_summary_list(const mt_load_summary_t *summary,
			    MtDag__Pressure ***list)
{
	*list = (MtDag__Pressure **)summary->list;
	return summary->n_list;
}
