/**
 * @file runner.h
 * Runs jobs on backend servers: claim, held start, release, watch, collect,
 * record; or unwind. One mt_run_t is one attempt at one job.
 *
 * Rules kept here:
 *  - a non-idempotent job is started only under its own claim, read back
 *    from the log, with the boot and token that the claim was made under;
 *  - a claim is given back only when every server it names has answered,
 *    fenced by this host's token, that the task never began;
 *  - a gang on several servers starts held and is released only when every
 *    server has answered; its leases are renewed all or none;
 *  - a task is forgotten only after the outcome, or the return of the claim,
 *    has been read back from the log.
 */
#ifndef MT_NODE_RUNNER_H
#define MT_NODE_RUNNER_H

#include "decide/health.h"
#include "decide/estimator.h"
#include "decide/view.h"
#include "jobs/jobs.h"
#include "node/appender.h"
#include "node/fleet.h"

/** A checkpoint that takes longer than this is given up for a stop. */
#define MT_CHECKPOINT_TIMEOUT_MS 20000u

typedef enum mt_phase_t {
	MT_PHASE_CLAIM,	  /**< its claim is on the way through the log */
	MT_PHASE_HOLD,	  /**< servers are asked to take their part */
	MT_PHASE_RELEASE, /**< all parts held; they are let run */
	MT_PHASE_RUN,
	MT_PHASE_COLLECT, /**< finished; the result is fetched */
	MT_PHASE_RECORD,  /**< the outcome is on the way through the log */
	MT_PHASE_UNWIND,  /**< all parts are being stopped */
	MT_PHASE_RECOVER, /**< found after a change of scheduler */
	MT_PHASES
} mt_phase_t;

/** Why a run is unwound. */
typedef enum mt_unwind_cause_t {
	MT_CAUSE_NONE,
	MT_CAUSE_REFUSED, /**< a server did not take its part */
	MT_CAUSE_FAILED,  /**< a task ended in a failure */
	MT_CAUSE_LOST,	  /**< a task lapsed or is missing */
	MT_CAUSE_RECLAIM, /**< its room is needed for another job */
	MT_CAUSE_CANCEL,  /**< its caller cancelled it */
	MT_CAUSE_ENDED,	  /**< the log holds an outcome, or it was moved */
} mt_unwind_cause_t;

/** One server's share of a run. */
typedef struct mt_run_part_t {
	mt_name_t server;
	mt_name_t task;
	mt_name_t boot;
	uint64_t token;
	uint32_t members;
	bool known;   /**< RECOVER: what the server has is known */
	bool sent;    /**< a START may have reached the server */
	bool acked;   /**< the server has reported the task */
	bool began;   /**< its program has run */
	bool stopped; /**< will not run any more; `began` is final */
	bool lost;    /**< its server is gone: `began` cannot be known */
	bool busy;    /**< a command is under way */
	mt_task_state_t state;
	mt_task_fault_t fault;
	uint64_t version; /**< of the server, at the first answer */
	uint32_t used_memory_mb;
	uint32_t ran_ms;
	mt_ms_t retry_at;
	mt_ms_t lease_until; /**< it has lapsed by then if not renewed */
} mt_run_part_t;

typedef struct mt_runner_t mt_runner_t;

typedef struct mt_run_t {
	mt_runner_t *runner;
	uint64_t id;
	mt_job_id_t job;
	mt_name_t job_text;
	mt_name_t account;
	mt_phase_t phase;
	mt_unwind_cause_t cause;
	mt_shape_t shape; /**< as granted */
	bool idempotent;
	bool checkpointable;
	bool urgent;
	bool direct;
	bool resume;
	bool no_checkpoint; /**< refused, or no time for one */
	uint32_t value;
	uint32_t claim_number;
	mt_name_t attempt; /**< part of the task names */
	GArray *parts;	   /**< of mt_run_part_t */
	uint32_t servers;  /**< parts that the run has when complete */
	mt_ms_t created_at;
	mt_ms_t phase_at;
	mt_ms_t expected_run_ms;
	mt_ms_t partial_since; /**< 0: not running in part */
	uint64_t record;       /**< pending record in the appender, or 0 */
	MtPb__OutcomeKind outcome;
	const char *reason;
	GBytes *result;
} mt_run_t;

/** Where members of a job are to run. */
typedef struct mt_target_t {
	mt_fleet_server_t *server;
	uint32_t members;
} mt_target_t;

typedef struct mt_runner_handler_t {
	void *ctx;
	/** Room or runs have changed. */
	void (*changed)(void *ctx);
	/** A direct job has ended; the job is dropped afterwards. */
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

/** Starts an attempt at a job that has no run. */
void mt_runner_start(mt_runner_t *runner, mt_job_t *job,
		     const mt_shape_t *granted, const GArray *targets);

/**
 * Stops a run so that its room can be used; the job waits again.
 * @param checkpoint save its progress first, where it can be saved
 */
void mt_runner_reclaim(mt_runner_t *runner, mt_run_t *run, bool checkpoint);

/** Takes up a job with an open claim and no run. */
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
/** Adds the tasks whose leases are to run out. */
void mt_runner_collect_skipped(mt_runner_t *runner,
			       const mt_fleet_server_t *server, GArray *tasks);

/** Retries and deadlines; to be called several times a second. */
void mt_runner_tick(mt_runner_t *runner);

/**
 * @param synced  the table of jobs is complete
 * @param settled every server has had time to report since this host
 *                became scheduler
 */
void mt_runner_set_state(mt_runner_t *runner, bool synced, bool settled);

/** Drops all runs without touching any task: another host takes over. */
void mt_runner_drop_all(mt_runner_t *runner);

const char *mt_phase_name(mt_phase_t phase);

#endif
