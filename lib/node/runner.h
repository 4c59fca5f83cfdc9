/**
 * @file runner.h
 * Runs jobs on backend servers. One mt_run_t is one run of a job; it has one
 * task on each of its servers. A run claims the job in the log unless the job
 * is idempotent, starts its tasks, monitors them, fetches the result and
 * records the outcome. On several servers the tasks are started held, that is,
 * the server creates the task but does not start its program; once all servers
 * have done so, the tasks are released. A run that cannot complete is unwound:
 * all its tasks are stopped.
 *
 * Words in capitals, such as START, are the requests to servers in
 * mt_server_op_t. For boot ids, fencing tokens and leases see fleet.h, for the
 * records (Claim, ClaimVoid, Outcome) see jobs.h.
 *
 * Invariants:
 *  - A non-idempotent job is started only under a claim that this run wrote
 *    and read back from the log, with the boot id and fencing token that each
 *    server had when the claim was written.
 *  - A claim is voided only after every server that it names has answered,
 *    under this host's fencing token, that the task never began. No answer is
 *    needed from a server to which the run that wrote the claim sent no START.
 *  - A run on several servers starts held and is released only after every
 *    server has acknowledged its part. Either all its task leases are renewed
 *    or none. Once a part has stopped, the others run for at most two lease
 *    terms: one until this is detected, one until their leases expire.
 *  - A server is told to forget a task of a claimed job only after an outcome,
 *    valid or not, or the record that voids the claim has been read back from
 *    the log. Tasks of an idempotent job are also forgotten, without a record,
 *    when the job is queued again or was moved away, and after a direct run.
 */
#ifndef MT_NODE_RUNNER_H
#define MT_NODE_RUNNER_H

#include "decide/health.h"
#include "decide/estimator.h"
#include "decide/view.h"
#include "jobs/jobs.h"
#include "node/appender.h"
#include "node/fleet.h"

/**
 * If a checkpoint takes longer than this, the task is stopped without one.
 * Holds for runs on one server; for others see checkpoint_timeout() in
 * unwind.c.
 */
#define MT_CHECKPOINT_TIMEOUT_MS 20000u

typedef enum mt_phase_t {
	MT_PHASE_CLAIM, /**< waiting for the claim to be read back */
	MT_PHASE_START, /**< START is being sent; shown as "hold" */
	/**
	 * All parts were started or, for a recovered run, found. RELEASE is
	 * being sent to those that are held; nothing is sent if none is.
	 */
	MT_PHASE_RELEASE,
	MT_PHASE_RUN,
	MT_PHASE_COLLECT, /**< all parts finished; fetching the result */
	/** Waiting for an Outcome or ClaimVoid record to be read back. */
	MT_PHASE_RECORD,
	MT_PHASE_UNWIND, /**< all parts are being stopped */
	/**
	 * The run was started by another host, or by this one earlier (see
	 * recover.c). Waiting until it is known which servers have its parts.
	 */
	MT_PHASE_RECOVER,
	MT_PHASE_COUNT
} mt_phase_t;

/** Why a run is unwound; `reason` of mt_run_t gives the detail. */
typedef enum mt_unwind_cause_t {
	MT_CAUSE_NONE,
	MT_CAUSE_REFUSED, /**< a server did not start its part */
	MT_CAUSE_FAILED,  /**< a task failed */
	/** A task or the result was lost, or a task was not released. */
	MT_CAUSE_LOST,
	MT_CAUSE_RECLAIM, /**< the resources are needed for another job */
	MT_CAUSE_CANCEL,  /**< the caller cancelled the job */
	/** The job has an outcome, was moved away or is no longer known. */
	MT_CAUSE_ENDED,
} mt_unwind_cause_t;

/** The members of a run that are placed on one server; one task there. */
typedef struct mt_run_part_t {
	mt_name_t server;
	mt_name_t task;
	/** Boot id of the server when the part was placed or last reported. */
	mt_name_t boot;
	uint64_t token; /**< this host's fencing token at that time */
	uint32_t members;
	/**
	 * In MT_PHASE_RECOVER: it is known whether the server has the task; see
	 * `acked`.
	 */
	bool presence_known;
	bool start_sent; /**< a START may have reached the server */
	bool acked;	 /**< the server has confirmed that it has the task */
	bool began;	 /**< the task's program has been started */
	bool stopped;	 /**< will not run again; `began` is final */
	/** The task or its server is gone, so `began` cannot be known. */
	bool lost;
	bool command_pending; /**< a command has not been answered yet */
	mt_task_state_t state;
	mt_task_fault_t fault;
	/** Report version of the server when it first acknowledged the task. */
	uint64_t version;
	uint32_t used_memory_mb;
	uint32_t ran_ms;
	mt_ms_t retry_at; /**< no command is sent again before this */
	/** The task's lease has expired by this time unless it is renewed. */
	mt_ms_t lease_until;
} mt_run_part_t;

typedef struct mt_runner_t mt_runner_t;

typedef struct mt_run_t {
	mt_runner_t *runner;
	uint64_t id; /**< unique within this process; part of the claim */
	mt_job_id_t job;
	mt_name_t job_text; /**< `job` in hexadecimal */
	mt_name_t account;
	mt_phase_t phase;
	mt_unwind_cause_t cause;
	mt_shape_t shape; /**< resources granted, which may exceed the spec */
	bool idempotent;
	bool checkpointable;
	bool urgent; /**< declared urgent and has one member only */
	bool direct; /**< see mt_job_t */
	/**
	 * Stop without a checkpoint: a server refused one, or the capacity is
	 * needed at once.
	 */
	bool no_checkpoint;
	uint32_t value;
	uint32_t claim_number; /**< 0 if the job is idempotent */
	/**
	 * Identifies the run in the names of its tasks: "c" and the claim
	 * number or, for an idempotent job, "r" and a random number.
	 */
	mt_name_t run_label;
	GArray *parts; /**< of mt_run_part_t */
	/**
	 * Number of parts, one per server. In MT_PHASE_RECOVER, `parts` may
	 * hold fewer.
	 */
	uint32_t part_count;
	mt_ms_t created_at;
	mt_ms_t phase_entered_at;
	mt_ms_t expected_run_ms;
	/** Since when only some parts run; 0 while all of them or none do. */
	mt_ms_t partially_running_since;
	uint64_t record_id; /**< of the pending record in the appender, or 0 */
	/** Detail of `cause`, for the metric and the Outcome record. */
	const char *reason;
	GBytes *result;
} mt_run_t;

/** A server and the number of job members to start on it. */
typedef struct mt_target_t {
	mt_fleet_server_t *server;
	uint32_t members;
} mt_target_t;

typedef struct mt_runner_handler_t {
	void *ctx;
	/** Free capacity or the set of runs may have changed. */
	void (*changed)(void *ctx);
	/** A direct job has ended; `job` is freed after the callback. */
	void (*direct_done)(void *ctx, mt_job_t *job, MtPb__OutcomeKind kind,
			    const char *reason, GBytes *result);
} mt_runner_handler_t;

typedef struct mt_runner_deps_t {
	mt_kernel_t *kernel;
	const mt_settings_t *settings;
	mt_name_t incarnation;
	mt_jobs_t *jobs;
	mt_fleet_t *fleet;
	mt_appender_t *appender;
	mt_health_t *health;
	mt_estimator_t *estimator;
} mt_runner_deps_t;

mt_runner_t *mt_runner_new(const mt_runner_deps_t *deps);
void mt_runner_free(mt_runner_t *runner);
void mt_runner_set_handler(mt_runner_t *runner,
			   const mt_runner_handler_t *handler);

/** Starts a run of a job that has none; `targets`: mt_target_t. */
void mt_runner_start(mt_runner_t *runner, mt_job_t *job,
		     const mt_shape_t *granted, const GArray *targets);

/**
 * Stops a run to free its resources; the job is queued again.
 * @param checkpoint save its progress first if the job is checkpointable
 */
void mt_runner_reclaim(mt_runner_t *runner, mt_run_t *run, bool checkpoint);

/** Creates a run in MT_PHASE_RECOVER for a job with an open claim. */
void mt_runner_recover_claim(mt_runner_t *runner, mt_job_t *job);

/** Records an outcome for a job that has no run. */
void mt_runner_record_outcome(mt_runner_t *runner, mt_job_t *job,
			      MtPb__OutcomeKind kind, const char *reason);

mt_run_t *mt_runner_find(const mt_runner_t *runner, const mt_job_id_t *job);

/** Runs by job id (mt_run_t *). */
GHashTable *mt_runner_runs(const mt_runner_t *runner);

void mt_runner_on_fleet(mt_runner_t *runner, mt_fleet_server_t *server,
			mt_fleet_event_t event);
void mt_runner_on_job(mt_runner_t *runner, mt_job_t *job,
		      mt_job_change_t change);
/** Appends the names of the tasks whose leases must not be renewed. */
void mt_runner_add_tasks_to_skip(mt_runner_t *runner,
				 const mt_fleet_server_t *server,
				 GArray *tasks);

/** Sends retries and applies time-outs. Call it several times a second. */
void mt_runner_tick(mt_runner_t *runner);

/**
 * Tells the runner what is known so far of the jobs and their tasks.
 * @param jobs_loaded the table of jobs is complete
 * @param discovery_done all servers have reported since this host became the
 *                       scheduler, or DISCOVERY_TIMEOUT_MS (in scheduler.c)
 *                       has passed since
 */
void mt_runner_set_discovery_state(mt_runner_t *runner, bool jobs_loaded,
				   bool discovery_done);

/** Drops all runs but leaves their tasks running for the next scheduler. */
void mt_runner_drop_all(mt_runner_t *runner);

#endif
