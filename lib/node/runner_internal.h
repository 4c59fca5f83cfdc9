/**
 * @file runner_internal.h
 * Shared by the files of the runner: runner.c keeps the table of runs,
 * run_phases.c moves a run on, run_commands.c talks to servers, run_records.c
 * writes to the log, run_events.c takes what jobs and servers tell, unwind.c
 * stops a run, recover.c takes up what another host began.
 */
#ifndef MT_NODE_RUNNER_INTERNAL_H
#define MT_NODE_RUNNER_INTERNAL_H

#include "node/runner.h"

/** Wait before a command without a usable answer is sent again. */
#define MT_RETRY_MS 250u

/** Extra time for a lease to have run out, against drift of clocks. */
#define MT_LEASE_MARGIN_MS 1000u

struct mt_runner_t {
	mt_runner_deps_t deps;
	mt_runner_handler_t handler;
	GHashTable *by_job;    /**< job id to mt_run_t; owns the runs */
	GHashTable *by_id;     /**< run id to mt_run_t */
	GHashTable *by_task;   /**< task name to mt_run_t */
	GHashTable *by_server; /**< server to GPtrArray of mt_run_t */
	uint64_t last_id;
	bool synced;
	bool settled;
};

static inline mt_run_part_t *mt_run_part(const mt_run_t *run, guint i)
{
	return &g_array_index(run->parts, mt_run_part_t, i);
}

mt_run_t *mt_run_new(mt_runner_t *runner, const mt_job_t *job,
		     mt_phase_t phase);
void mt_run_add_part(mt_runner_t *runner, mt_run_t *run,
		     const mt_run_part_t *part);
void mt_run_drop(mt_runner_t *runner, mt_run_t *run);
void mt_run_set_phase(mt_runner_t *runner, mt_run_t *run, mt_phase_t phase);
mt_name_t mt_run_task_name(const mt_run_t *run, guint part);

/** Moves a run on as far as it can go; the run may be dropped. */
void mt_run_advance(mt_runner_t *runner, mt_run_t *run);

/** True when the job's open claim was written by this very run. */
bool mt_run_owns_claim(const mt_runner_t *runner, const mt_run_t *run,
		       const mt_job_t *job);

/** Runs with a part on this server; made when there are none. */
GPtrArray *mt_runner_runs_on(const mt_runner_t *runner,
			     const mt_name_t *server);

/** Sends a command for one part; the answer advances the run. */
void mt_run_command(mt_runner_t *runner, mt_run_t *run, guint part,
		    mt_server_op_t op);

/** Begins to unwind, unless the run is unwinding already. */
void mt_run_unwind(mt_runner_t *runner, mt_run_t *run, mt_unwind_cause_t cause,
		   const char *reason);
void mt_run_advance_unwind(mt_runner_t *runner, mt_run_t *run);
void mt_run_on_stop_reply(mt_runner_t *runner, mt_run_t *run,
			  mt_run_part_t *part, mt_server_op_t op,
			  const mt_server_reply_t *reply);

void mt_run_advance_recover(mt_runner_t *runner, mt_run_t *run);

/** Notes what a server reports of a part, and under which lease. */
void mt_run_part_take_report(mt_run_part_t *part,
			     const mt_fleet_server_t *server,
			     const mt_task_report_t *report);

/** Parts of the run that a server has reported. */
guint mt_run_count_present(const mt_run_t *run);

/** Handles a reported task that belongs to no run. */
void mt_runner_on_stray(mt_runner_t *runner, mt_fleet_server_t *server,
			const mt_task_report_t *report);

/** Settles what a leased server does not have. */
void mt_run_note_absent(mt_runner_t *runner, mt_run_t *run,
			const mt_fleet_server_t *server);

/** Submits the outcome and waits for it to be read back. */
void mt_run_record(mt_runner_t *runner, mt_run_t *run, MtPb__OutcomeKind kind,
		   const char *reason);

/** Forgets ended tasks on their servers, as far as these answer. */
void mt_run_clean(mt_runner_t *runner, mt_run_t *run);

/** Sends a command for a task that no run owns. */
void mt_runner_command_stray(mt_runner_t *runner, mt_fleet_server_t *server,
			     const mt_name_t *task, mt_server_op_t op);

/** True when the task's attempt was made under a claim. */
bool mt_task_is_claimed(const mt_name_t *task);

/** Splits `job.attempt.part`. @return false when it is no task of ours */
bool mt_task_parse(const mt_name_t *task, mt_job_id_t *job, mt_name_t *attempt,
		   uint32_t *part);

#endif
