/**
 * @file runner_internal.h
 * Declarations shared by the source files of the runner:
 *  - runner.c: the table of runs;
 *  - run_phases.c: the phases of a run;
 *  - run_commands.c: commands to backend servers;
 *  - run_records.c: claims and outcomes written to the log;
 *  - run_events.c: changes of jobs, reports of servers, lease renewal;
 *  - unwind.c: stopping a run;
 *  - recover.c: runs that another host, or this one earlier, has started.
 */
#ifndef MT_NODE_RUNNER_INTERNAL_H
#define MT_NODE_RUNNER_INTERNAL_H

#include "node/runner.h"

/** Delay before a command that got no usable answer is sent again. */
#define MT_COMMAND_RETRY_MS 250u

/** Added to the term of a task lease to allow for differing clock rates. */
#define MT_LEASE_MARGIN_MS 1000u

struct mt_runner_t {
	mt_runner_deps_t deps;
	mt_runner_handler_t handler;
	GHashTable *by_job;    /**< job id to mt_run_t; owns the runs */
	GHashTable *by_id;     /**< run id to mt_run_t */
	GHashTable *by_task;   /**< task name to mt_run_t */
	GHashTable *by_server; /**< server id to GPtrArray of mt_run_t */
	/** Job id to the label (mt_name_t) of its last run that was unwound and
	 * dropped, for the job to be started again. */
	GHashTable *unwound;
	uint64_t last_id;
	bool jobs_loaded;    /**< see mt_runner_set_discovery_state() */
	bool discovery_done; /**< see mt_runner_set_discovery_state() */
};

static inline mt_run_part_t *mt_run_part(const mt_run_t *run, guint i)
{
	return &g_array_index(run->parts, mt_run_part_t, i);
}

mt_run_t *mt_run_new(mt_runner_t *runner, const mt_job_t *job,
		     mt_phase_t phase);
void mt_run_add_part(mt_runner_t *runner, mt_run_t *run,
		     const mt_run_part_t *part);

/** Frees the run; its tasks are not touched. */
void mt_run_drop(mt_runner_t *runner, mt_run_t *run);
void mt_run_set_phase(mt_runner_t *runner, mt_run_t *run, mt_phase_t phase);

/** Task name `JOB.LABEL.PART`: job id, run label and number of the part. */
mt_name_t mt_run_task_name(const mt_run_t *run, guint part);

/** Takes the next steps that are possible now; the run may be dropped. */
void mt_run_advance(mt_runner_t *runner, mt_run_t *run);

/**
 * True when this run wrote the job's open claim. An earlier run of this host
 * may have written a claim with the same number, for other servers.
 */
bool mt_run_owns_claim(const mt_runner_t *runner, const mt_run_t *run,
		       const mt_job_t *job);

/** Runs with a part on this server; an empty array if there are none. */
GPtrArray *mt_runner_runs_on(const mt_runner_t *runner,
			     const mt_name_t *server);

/** Sends a command for one part; its reply advances the run. */
void mt_run_send_command(mt_runner_t *runner, mt_run_t *run, guint part,
			 mt_server_op_t op);

/**
 * Starts to stop all parts of the run. If the run is being unwound already,
 * only a cancellation or an end of the job replaces the cause. May drop the
 * run.
 */
void mt_run_unwind(mt_runner_t *runner, mt_run_t *run, mt_unwind_cause_t cause,
		   const char *reason);
void mt_run_advance_unwind(mt_runner_t *runner, mt_run_t *run);
void mt_run_on_stop_reply(mt_runner_t *runner, mt_run_t *run,
			  mt_run_part_t *part, mt_server_op_t op,
			  const mt_server_reply_t *reply);

void mt_run_advance_recover(mt_runner_t *runner, mt_run_t *run);

/** Copies a server's report, boot id and token into the part. */
void mt_run_part_apply_report(mt_run_part_t *part,
			      const mt_fleet_server_t *server,
			      const mt_task_report_t *report);

/** Number of parts with `acked` set. */
guint mt_run_count_acked(const mt_run_t *run);

/**
 * Handles a stray task, that is, a reported task that belongs to no run:
 * recovers it, removes it, or leaves it alone. It is left alone, for example,
 * while its claim has not been read from the log yet, or if its claim is void
 * and the job is live.
 */
void mt_runner_on_stray_task(mt_runner_t *runner, mt_fleet_server_t *server,
			     const mt_task_report_t *report);

/**
 * In MT_PHASE_RECOVER: marks the run's parts that are missing from the server's
 * last report as stopped, or as lost if the server has restarted. Does nothing
 * if the report is older than the run; see is_report_conclusive() in recover.c.
 */
void mt_run_mark_absent_parts(mt_run_t *run, const mt_fleet_server_t *server);

/** Writes the outcome to the log, or passes it on for a direct job. */
void mt_run_record_outcome(mt_runner_t *runner, mt_run_t *run,
			   MtPb__OutcomeKind kind, const char *reason);

/**
 * Tells those servers of the run whose leases this host holds to forget its
 * tasks, see mt_runner_send_task_command().
 */
void mt_run_forget_tasks(mt_runner_t *runner, mt_run_t *run);

/**
 * Sends a command for a task, ignores the reply and does not retry. If the
 * command is lost, the task counts as a stray task in the server's next report.
 */
void mt_runner_send_task_command(mt_runner_t *runner, mt_fleet_server_t *server,
				 const mt_name_t *task, mt_server_op_t op);

/** True when the task was started under a claim. */
bool mt_task_is_claimed(const mt_name_t *task);

/**
 * Parses a task name; see mt_run_task_name().
 * @return false when the name does not have this form
 */
bool mt_task_name_parse(const mt_name_t *task, mt_job_id_t *job,
			mt_name_t *run_label, uint32_t *part);

#endif
