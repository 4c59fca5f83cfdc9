/** @file fleet_model.c In-memory backend servers and the audit of tasks. */
#include "model/fleet_model.h"

#include <string.h>

#include "net/json_util.h"

/** Behaviour of a task, parsed from its payload. */
typedef struct mt_task_behaviour_t {
	uint32_t run_ms;
	uint32_t use_memory_mb;
	bool fail;
	bool once;
	char *result;
} mt_task_behaviour_t;

typedef struct mt_model_task_t {
	mt_task_spec_t spec;
	mt_task_behaviour_t behaviour;
	mt_task_state_t state;
	/** Why the task failed. Not one of the injected faults. */
	mt_task_fault_t fault;
	bool began;
	mt_ms_t began_at;
	mt_ms_t ends_at;
	mt_ms_t lease_until;	    /**< end of the task lease */
	mt_ms_t checkpoint_ends_at; /**< 0: no checkpoint in progress */
	uint32_t resumed_ms;	    /**< progress of the job, in ms, when
				       this task began */
} mt_model_task_t;

typedef struct mt_model_server_t {
	mt_server_info_t info;
	mt_server_faults_t injected; /**< faults that a test injects */
	mt_name_t boot;
	uint32_t boot_count;
	uint64_t token; /**< fencing token of the server lease */
	/**
	 * Highest sequence number of a FORGET, or of a STOP of an unknown task,
	 * under the current token. A START with this or a lower number is
	 * refused, as it was sent earlier.
	 */
	uint64_t fence_sequence;
	uint64_t version;
	mt_ms_t leaving_since; /**< set with `injected.leaving` */
	GHashTable *tasks;     /**< task name to mt_model_task_t */
} mt_model_server_t;

/** Task counts of one run of a job, over all servers of the run. */
typedef struct mt_gang_run_t {
	uint32_t total; /**< tasks, one on each server of the run */
	uint32_t created;
	uint32_t running;
	uint32_t finished;
	mt_ms_t partial_since; /**< 0: not partially running */
	bool counted; /**< counted in mt_audit_t.gangs_partial_too_long */
} mt_gang_run_t;

/** Audit data of one job. */
typedef struct mt_job_audit_t {
	bool once;
	uint32_t runs_begun;  /**< runs in which a program began */
	mt_name_t last_run;   /**< newest run in which a program began */
	uint32_t progress_ms; /**< highest progress saved by a checkpoint */
} mt_job_audit_t;

struct mt_fleet_model_t {
	GHashTable *servers;	/**< server id to mt_model_server_t */
	GPtrArray *server_list; /**< of mt_model_server_t, as added */
	GHashTable *jobs;	/**< job id to mt_job_audit_t */
	GHashTable *gangs;	/**< run name to mt_gang_run_t */
	mt_ms_t partial_max_ms;
	mt_ms_t leaving_grace_ms;
	mt_audit_t audit;
};

static void free_task(gpointer data)
{
	mt_model_task_t *task = data;

	g_bytes_unref(task->spec.payload);
	g_free(task->behaviour.result);
	g_free(task);
}

static void free_server(gpointer data)
{
	mt_model_server_t *server = data;

	g_hash_table_destroy(server->tasks);
	g_free(server);
}

mt_fleet_model_t *mt_fleet_model_new(mt_ms_t partial_max_ms,
				     mt_ms_t leaving_grace_ms)
{
	mt_fleet_model_t *fleet = g_new0(mt_fleet_model_t, 1);

	fleet->partial_max_ms = partial_max_ms;
	fleet->leaving_grace_ms = leaving_grace_ms;
	fleet->servers = g_hash_table_new_full(mt_name_hash, mt_name_key_equal,
					       g_free, free_server);
	fleet->server_list = g_ptr_array_new();
	fleet->jobs = g_hash_table_new_full(mt_name_hash, mt_name_key_equal,
					    g_free, g_free);
	fleet->gangs = g_hash_table_new_full(mt_name_hash, mt_name_key_equal,
					     g_free, g_free);
	return fleet;
}

void mt_fleet_model_free(mt_fleet_model_t *fleet)
{
	g_hash_table_destroy(fleet->gangs);
	g_hash_table_destroy(fleet->jobs);
	g_ptr_array_unref(fleet->server_list);
	g_hash_table_destroy(fleet->servers);
	g_free(fleet);
}

static mt_model_server_t *find_server(const mt_fleet_model_t *fleet,
				      const mt_name_t *name)
{
	return g_hash_table_lookup(fleet->servers, name);
}

static void set_boot(mt_model_server_t *server)
{
	char text[MT_NAME_MAX_BYTES + 1];

	server->boot_count++;
	g_snprintf(text, sizeof(text), "%.32s-b%u", server->info.id.text,
		   server->boot_count);
	server->boot = mt_name(text);
}

void mt_fleet_model_add(mt_fleet_model_t *fleet, const mt_server_info_t *info)
{
	mt_model_server_t *server = g_new0(mt_model_server_t, 1);

	server->info = *info;
	server->tasks = g_hash_table_new_full(mt_name_hash, mt_name_key_equal,
					      g_free, free_task);
	set_boot(server);
	g_hash_table_insert(fleet->servers, mt_name_dup(&info->id), server);
	g_ptr_array_add(fleet->server_list, server);
}

GArray *mt_fleet_model_infos(const mt_fleet_model_t *fleet)
{
	GArray *infos = g_array_new(FALSE, FALSE, sizeof(mt_server_info_t));

	for (guint i = 0; i < fleet->server_list->len; i++) {
		mt_model_server_t *server = fleet->server_list->pdata[i];
		mt_server_info_t info = server->info;

		info.leaving = server->injected.leaving;
		g_array_append_val(infos, info);
	}
	return infos;
}

mt_server_faults_t *mt_fleet_model_faults(mt_fleet_model_t *fleet,
					  const mt_name_t *name)
{
	mt_model_server_t *server = find_server(fleet, name);

	return server ? &server->injected : NULL;
}

void mt_fleet_model_set_leaving(mt_fleet_model_t *fleet, const mt_name_t *name,
				mt_ms_t now)
{
	mt_model_server_t *server = find_server(fleet, name);

	server->injected.leaving = true;
	server->leaving_since = now;
	server->version++;
}

/** Name of the run that a task belongs to: the task name up to its last dot. */
static mt_name_t run_name(const mt_name_t *task)
{
	const char *end = strrchr(task->text, '.');

	if (!end)
		return *task;
	return mt_name_from((mt_str_t){task->text, (size_t)(end - task->text)});
}

static mt_gang_run_t *get_or_add_gang(mt_fleet_model_t *fleet,
				      const mt_task_spec_t *spec)
{
	mt_name_t run = run_name(&spec->task);
	mt_gang_run_t *gang = g_hash_table_lookup(fleet->gangs, &run);

	if (!gang) {
		gang = g_new0(mt_gang_run_t, 1);
		gang->total = spec->servers;
		g_hash_table_insert(fleet->gangs, mt_name_dup(&run), gang);
	}
	return gang;
}

/**
 * Updates since when the gang has been partially running, that is, some of its
 * tasks run while others neither run nor have finished.
 */
static void update_gang(mt_fleet_model_t *fleet, mt_gang_run_t *gang,
			mt_ms_t now)
{
	bool partial =
		gang->running && gang->running + gang->finished < gang->total;
	mt_ms_t partial_ms =
		gang->partial_since ? now - gang->partial_since : 0;

	if (partial_ms > fleet->audit.longest_partial_ms)
		fleet->audit.longest_partial_ms = partial_ms;
	if (partial_ms > fleet->partial_max_ms && !gang->counted) {
		gang->counted = true;
		fleet->audit.gangs_partial_too_long++;
	}
	if (!partial)
		gang->partial_since = 0;
	else if (!gang->partial_since)
		gang->partial_since = now;
}

static mt_job_audit_t *get_or_add_job(mt_fleet_model_t *fleet,
				      const mt_name_t *name)
{
	mt_job_audit_t *job = g_hash_table_lookup(fleet->jobs, name);

	if (!job) {
		job = g_new0(mt_job_audit_t, 1);
		g_hash_table_insert(fleet->jobs, mt_name_dup(name), job);
	}
	return job;
}

static void record_begin(mt_fleet_model_t *fleet, const mt_model_task_t *task)
{
	mt_job_audit_t *job = get_or_add_job(fleet, &task->spec.job);
	mt_name_t run = run_name(&task->spec.task);

	if (job->runs_begun && mt_name_equal(&job->last_run, &run))
		return;
	if (!job->runs_begun) {
		fleet->audit.jobs_begun++;
		fleet->audit.once_begun += task->behaviour.once;
	}
	job->once = task->behaviour.once;
	job->last_run = run;
	job->runs_begun++;
	if (job->once && job->runs_begun == 2)
		fleet->audit.run_twice++;
}

static void end_task(mt_fleet_model_t *fleet, mt_model_server_t *server,
		     mt_model_task_t *task, mt_task_state_t state, mt_ms_t now)
{
	mt_gang_run_t *gang = get_or_add_gang(fleet, &task->spec);

	if (task->state == MT_TASK_RUNNING)
		gang->running--;
	if (state == MT_TASK_FINISHED)
		gang->finished++;
	task->state = state;
	server->version++;
	update_gang(fleet, gang, now);
}

static void begin_task(mt_fleet_model_t *fleet, mt_model_server_t *server,
		       mt_model_task_t *task, mt_ms_t now)
{
	mt_gang_run_t *gang = get_or_add_gang(fleet, &task->spec);
	uint32_t left = task->behaviour.run_ms;

	task->state = MT_TASK_RUNNING;
	task->began = true;
	task->began_at = now;
	if (task->spec.resume) {
		task->resumed_ms =
			get_or_add_job(fleet, &task->spec.job)->progress_ms;
		left -= MIN(left, task->resumed_ms);
	}
	task->ends_at = now + left;
	gang->running++;
	if (gang->created < gang->total)
		fleet->audit.premature_begins++;
	server->version++;
	record_begin(fleet, task);
	update_gang(fleet, gang, now);
	if (server->injected.fail_all) {
		task->fault = MT_FAULT_EXIT;
		end_task(fleet, server, task, MT_TASK_FAILED, now);
	}
}

static void parse_behaviour(GBytes *payload, mt_task_behaviour_t *behaviour)
{
	gsize len;
	const char *data = g_bytes_get_data(payload, &len);
	json_t *object = mt_json_parse((mt_str_t){data, len});
	const json_t *result = json_object_get(object, "result");

	behaviour->run_ms = 100;
	mt_json_get_u32(object, "run_ms", &behaviour->run_ms);
	mt_json_get_u32(object, "use_memory_mb", &behaviour->use_memory_mb);
	mt_json_get_bool(object, "fail", &behaviour->fail);
	mt_json_get_bool(object, "once", &behaviour->once);
	behaviour->result = g_strdup(
		json_is_string(result) ? json_string_value(result) : "done");
	json_decref(object);
}

static void refuse(mt_server_reply_t *reply, const char *reason)
{
	reply->status = MT_REPLY_REFUSED;
	reply->reason = g_strdup(reason);
}

/** Sums the resources of all tasks that have not ended. */
static void sum_allocated(const mt_model_server_t *server, mt_task_spec_t *sum)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, server->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_model_task_t *task = value;

		if (mt_task_state_is_final(task->state))
			continue;
		sum->members += task->spec.members;
		sum->processors += task->spec.processors;
		sum->memory_mb += task->spec.memory_mb;
		sum->accelerators += task->spec.accelerators;
	}
}

static bool has_room(const mt_model_server_t *server,
		     const mt_task_spec_t *spec)
{
	mt_task_spec_t allocated = {0};

	sum_allocated(server, &allocated);
	return allocated.members + spec->members <= server->info.slots &&
	       allocated.processors + spec->processors <=
		       server->info.processors &&
	       allocated.memory_mb + spec->memory_mb <=
		       server->info.memory_mb &&
	       allocated.accelerators + spec->accelerators <=
		       server->info.accelerators;
}

static void start_task(mt_fleet_model_t *fleet, mt_model_server_t *server,
		       const mt_server_request_t *request, mt_ms_t now,
		       mt_server_reply_t *reply)
{
	const mt_task_spec_t *spec = &request->start;
	mt_model_task_t *task = g_hash_table_lookup(server->tasks, &spec->task);

	/* A repeated START has no effect. */
	if (task) {
		reply->state = task->state;
		reply->began = task->began;
		return;
	}
	if (request->sequence <= server->fence_sequence) {
		refuse(reply, "out_of_order");
		return;
	}
	if (server->injected.refuse_start || !has_room(server, spec)) {
		refuse(reply, "no_room");
		return;
	}
	if (server->injected.leaving &&
	    now > server->leaving_since + fleet->leaving_grace_ms)
		fleet->audit.started_while_leaving++;
	task = g_new0(mt_model_task_t, 1);
	task->spec = *spec;
	task->spec.payload = g_bytes_ref(spec->payload);
	parse_behaviour(spec->payload, &task->behaviour);
	task->state = MT_TASK_HELD;
	get_or_add_gang(fleet, spec)->created++;
	task->lease_until = now + request->term_ms;
	g_hash_table_insert(server->tasks, mt_name_dup(&spec->task), task);
	server->version++;
	if (!spec->held)
		begin_task(fleet, server, task, now);
	reply->state = task->state;
	reply->began = task->began;
}

static void save_progress(mt_fleet_model_t *fleet, const mt_model_task_t *task,
			  mt_ms_t now)
{
	mt_job_audit_t *job = get_or_add_job(fleet, &task->spec.job);
	uint32_t done = task->resumed_ms + (uint32_t)(now - task->began_at);

	job->progress_ms = MAX(job->progress_ms, done);
}

static void checkpoint_task(mt_fleet_model_t *fleet, mt_model_server_t *server,
			    mt_model_task_t *task, mt_ms_t now,
			    mt_server_reply_t *reply)
{
	if (server->injected.refuse_checkpoint) {
		refuse(reply, "checkpoint_refused");
		return;
	}
	if (task->state != MT_TASK_RUNNING)
		return;
	if (server->injected.checkpoint_ms) {
		if (!task->checkpoint_ends_at)
			task->checkpoint_ends_at =
				now + server->injected.checkpoint_ms;
		return;
	}
	save_progress(fleet, task, now);
	end_task(fleet, server, task, MT_TASK_CHECKPOINTED, now);
}

static void command_task(mt_fleet_model_t *fleet, mt_model_server_t *server,
			 const mt_server_request_t *request, mt_ms_t now,
			 mt_server_reply_t *reply)
{
	mt_model_task_t *task =
		g_hash_table_lookup(server->tasks, &request->task);

	if (!task && request->op == MT_SERVER_STOP) {
		/* A START of the task that arrives later is refused. */
		server->fence_sequence =
			MAX(server->fence_sequence, request->sequence);
		reply->state = MT_TASK_STOPPED;
		return;
	}
	if (!task) {
		refuse(reply, "no_such_task");
		return;
	}
	if (request->op == MT_SERVER_RELEASE && task->state == MT_TASK_HELD)
		begin_task(fleet, server, task, now);
	if (request->op == MT_SERVER_STOP &&
	    !mt_task_state_is_final(task->state))
		end_task(fleet, server, task, MT_TASK_STOPPED, now);
	if (request->op == MT_SERVER_CHECKPOINT)
		checkpoint_task(fleet, server, task, now, reply);
	reply->state = task->state;
	reply->began = task->began;
	if (request->op == MT_SERVER_RESULT && task->state == MT_TASK_FINISHED)
		reply->result = g_bytes_new(task->behaviour.result,
					    strlen(task->behaviour.result));
}

static void forget_task(mt_model_server_t *server,
			const mt_server_request_t *request,
			mt_server_reply_t *reply)
{
	mt_model_task_t *task =
		g_hash_table_lookup(server->tasks, &request->task);

	if (task && !mt_task_state_is_final(task->state)) {
		refuse(reply, "not_over");
		return;
	}
	server->fence_sequence = MAX(server->fence_sequence, request->sequence);
	if (g_hash_table_remove(server->tasks, &request->task))
		server->version++;
}

static gint compare_reports(gconstpointer a, gconstpointer b)
{
	const mt_task_report_t *x = a;
	const mt_task_report_t *y = b;

	return mt_name_compare(&x->task, &y->task);
}

static void report_tasks(const mt_model_server_t *server, mt_ms_t now,
			 mt_server_reply_t *reply)
{
	GHashTableIter iter;
	gpointer value;

	reply->tasks = g_array_new(FALSE, TRUE, sizeof(mt_task_report_t));
	g_hash_table_iter_init(&iter, server->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_model_task_t *task = value;
		mt_task_report_t report = {0};

		report.task = task->spec.task;
		report.job = task->spec.job;
		report.state = task->state;
		report.fault = task->fault;
		report.began = task->began;
		report.servers = task->spec.servers;
		report.members = task->spec.members;
		report.processors = task->spec.processors;
		report.memory_mb = task->spec.memory_mb;
		report.accelerators = task->spec.accelerators;
		report.used_memory_mb = task->behaviour.use_memory_mb;
		if (task->began)
			report.ran_ms = (uint32_t)(now - task->began_at);
		g_array_append_val(reply->tasks, report);
	}
	g_array_sort(reply->tasks, compare_reports);
}

/** Gives the server lease to the sender. The task leases stay as they are. */
static void take_server_lease(mt_model_server_t *server,
			      const mt_server_request_t *request, mt_ms_t now,
			      mt_server_reply_t *reply)
{
	if (request->expect != server->token ||
	    request->token <= server->token) {
		reply->status = MT_REPLY_STALE;
		return;
	}
	server->token = request->token;
	/* Sequence numbers start anew with each token, and commands with an
	 * older token are refused. */
	server->fence_sequence = 0;
	reply->token = server->token;
	report_tasks(server, now, reply);
}

static bool is_skipped(const mt_server_request_t *request,
		       const mt_name_t *task)
{
	for (guint i = 0; i < request->skip->len; i++) {
		if (mt_name_equal(&g_array_index(request->skip, mt_name_t, i),
				  task))
			return true;
	}
	return false;
}

/** Renews the task leases, except those in `skip`. */
static void renew_tasks(mt_model_server_t *server,
			const mt_server_request_t *request, mt_ms_t now,
			mt_server_reply_t *reply)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, server->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		mt_model_task_t *task = value;

		if (!mt_task_state_is_final(task->state) &&
		    !is_skipped(request, &task->spec.task))
			task->lease_until = now + request->term_ms;
	}
	if (request->seen != server->version)
		report_tasks(server, now, reply);
}

void mt_fleet_model_renew_reply(mt_fleet_model_t *fleet, const mt_name_t *name,
				const mt_server_request_t *request, mt_ms_t now,
				mt_server_reply_t *reply)
{
	mt_model_server_t *server = find_server(fleet, name);

	memset(reply, 0, sizeof(*reply));
	reply->boot = server->boot;
	reply->token = server->token;
	reply->leaving = server->injected.leaving;
	reply->version = server->version;
	if (request->token != server->token ||
	    !mt_name_equal(&request->boot, &server->boot))
		reply->status = MT_REPLY_STALE;
	else if (request->seen != server->version)
		report_tasks(server, now, reply);
}

void mt_fleet_model_call(mt_fleet_model_t *fleet, const mt_name_t *name,
			 const mt_server_request_t *request, mt_ms_t now,
			 mt_server_reply_t *reply)
{
	mt_model_server_t *server = find_server(fleet, name);

	memset(reply, 0, sizeof(*reply));
	mt_fleet_model_advance(fleet, now);
	reply->boot = server->boot;
	reply->token = server->token;
	reply->leaving = server->injected.leaving;
	if (request->op == MT_SERVER_LEASE) {
		take_server_lease(server, request, now, reply);
	} else if (request->token != server->token ||
		   !mt_name_equal(&request->boot, &server->boot)) {
		reply->status = MT_REPLY_STALE;
	} else if (request->op == MT_SERVER_RENEW) {
		renew_tasks(server, request, now, reply);
	} else if (request->op == MT_SERVER_START) {
		start_task(fleet, server, request, now, reply);
	} else if (request->op == MT_SERVER_FORGET) {
		forget_task(server, request, reply);
	} else {
		command_task(fleet, server, request, now, reply);
	}
	reply->version = server->version;
}

uint64_t mt_fleet_model_version(const mt_fleet_model_t *fleet,
				const mt_name_t *name)
{
	return find_server(fleet, name)->version;
}

static void advance_task(mt_fleet_model_t *fleet, mt_model_server_t *server,
			 mt_model_task_t *task, mt_ms_t now)
{
	if (mt_task_state_is_final(task->state))
		return;
	if (task->state == MT_TASK_RUNNING &&
	    task->behaviour.use_memory_mb > task->spec.memory_mb) {
		task->fault = MT_FAULT_MEMORY_EXCEEDED;
		end_task(fleet, server, task, MT_TASK_FAILED, now);
	} else if (task->checkpoint_ends_at &&
		   now >= task->checkpoint_ends_at) {
		save_progress(fleet, task, now);
		end_task(fleet, server, task, MT_TASK_CHECKPOINTED, now);
	} else if (task->state == MT_TASK_RUNNING && now >= task->ends_at) {
		if (task->behaviour.fail)
			task->fault = MT_FAULT_EXIT;
		end_task(fleet, server, task,
			 task->behaviour.fail ? MT_TASK_FAILED
					      : MT_TASK_FINISHED,
			 now);
	} else if (now >= task->lease_until) {
		end_task(fleet, server, task, MT_TASK_LEASE_EXPIRED, now);
	}
}

void mt_fleet_model_advance(mt_fleet_model_t *fleet, mt_ms_t now)
{
	for (guint i = 0; i < fleet->server_list->len; i++) {
		mt_model_server_t *server = fleet->server_list->pdata[i];
		GHashTableIter iter;
		gpointer value;

		g_hash_table_iter_init(&iter, server->tasks);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			advance_task(fleet, server, value, now);
			update_gang(fleet,
				    get_or_add_gang(
					    fleet,
					    &((mt_model_task_t *)value)->spec),
				    now);
		}
	}
}

void mt_fleet_model_reboot(mt_fleet_model_t *fleet, const mt_name_t *name,
			   mt_ms_t now)
{
	mt_model_server_t *server = find_server(fleet, name);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, server->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		mt_model_task_t *task = value;

		/* Any final state will do: the tasks are removed below, so no
		 * reply contains it. */
		if (!mt_task_state_is_final(task->state))
			end_task(fleet, server, task, MT_TASK_LEASE_EXPIRED,
				 now);
	}
	g_hash_table_remove_all(server->tasks);
	server->token = 0;
	server->fence_sequence = 0;
	server->version = 0;
	set_boot(server);
}

mt_audit_t mt_fleet_model_audit(mt_fleet_model_t *fleet)
{
	return fleet->audit;
}

uint32_t mt_fleet_model_runs_begun(const mt_fleet_model_t *fleet,
				   const mt_name_t *name)
{
	/* Does not add an unknown job, unlike get_or_add_job(). */
	mt_job_audit_t *job = g_hash_table_lookup(fleet->jobs, name);

	return job ? job->runs_begun : 0;
}
