/**
 * @file engine_internal.h
 * Internal interface of the scheduling engine: engine.c (leadership, jobs),
 * planner.c (builds and applies placement plans), guarantees.c (finds the jobs
 * within their accounts' guarantees), advice_requests.c (advice requests, that
 * is requests to the policy service), commands.c (sends commands to servers),
 * holds.c (polls servers, which renews leases),
 * reports.c (applies what servers report), relocation.c (moves runs to other
 * servers), server_speeds.c (learns the speeds of servers), speed_records.c
 * (keeps them in the store), step_times.c (learns the run times of tasks),
 * flush.c (writes changes to the store), sweep.c (deletes the records of ended
 * jobs), wait_log.c (logs why steps wait) and evacuation_log.c (logs which data
 * centres are evacuated, and what is left for the guarantees).
 *
 * A scheduling pass plans placements and stores changed jobs. It runs after
 * each tick and soon after a change. A tick handles time-outs and repeats
 * commands. There is a tick every TICK_MS (engine.c).
 */
#ifndef MT_DAG_ENGINE_INTERNAL_H
#define MT_DAG_ENGINE_INTERNAL_H

#include "dag/engine.h"
#include "dag/follower.h"
#include "dag/load_summary.h"
#include "dag/pass_pace.h"
#include "dag/survival.h"
#include "dag/job_model.h"
#include "dag/run_times.h"
#include "dag/speed.h"
#include "dag/wakeups.h"
#include "dag/work_lost.h"
#include "dag/writer.h"

struct mt_engine_t {
	mt_engine_deps_t deps;
	const mt_catalog_t *catalog;
	bool leading;
	uint64_t term;
	/** Incremented at each gain and loss of leadership. Answers to commands
	 * and requests of an earlier generation are ignored. */
	unsigned generation;
	mt_writer_t *writer;
	GHashTable *jobs;      /**< id to mt_dag_job_t */
	GPtrArray *dirty_jobs; /**< mt_dag_job_t, those of `jobs` */
	mt_wakeups_t wakeups;  /**< those of `jobs` */
	GHashTable *backends;  /**< mt_backend_t.id_hash to mt_backend_t */
	GPtrArray *flushes;    /**< mt_flush_t in progress */
	bool advice_request_pending;	/**< an advice request is in progress */
	mt_ms_t next_advice_request_at; /**< no advice request before then */
	/** Ids of the jobs of which this host, which leads now, has still to
	 * make the models, uint64_t. NULL: all models are made. Nothing is
	 * scheduled before. */
	GArray *jobs_to_load;
	uint64_t load_timer; /**< makes further models */
	uint64_t pass_timer; /**< runs the next pass; 0: none is scheduled */
	uint64_t tick_timer; /**< runs the ticks while this host leads */
	/** Observed running time and preemptions, by priority. */
	mt_survival_t survival;
	mt_work_lost_t work_lost;
	mt_ms_t pass_started_at; /**< start of the last scheduling pass */
	mt_pass_pace_t pass_pace;
	/** Turn of the candidates that a limited pass leaves out, see
	 * limit_candidates() in candidates.c. */
	guint candidates_turn;
	mt_ms_t last_sweep_at; /**< time of the last sweep, see sweep.c */
	/** Time of the last search for slow servers, see relocation.c. */
	mt_ms_t slow_search_at;
	/** Data centres that are logged as evacuated, by name. */
	GHashTable *logged_zones;
	/** The guarantees are logged as exceeding the capacity. */
	bool guarantees_logged;
	mt_ms_t wait_logged_at;	   /**< time of the last log, see wait_log.c */
	mt_speed_model_t *speeds;  /**< speeds of the servers; never NULL */
	mt_ms_t speeds_updated_at; /**< last update of `speeds`; 0: none */
	/* The last event speeds_learned, see server_speeds.c. */
	mt_ms_t speeds_logged_at; /**< 0: none */
	mt_speed_summary_t speeds_logged;
	bool speeds_logged_uneven;
	unsigned n_cold; /**< number of cold servers at the last tick */
	mt_run_times_t *run_times; /**< see step_times.c; never NULL */
	/** The speeds in the store, by server, see speed_records.c. */
	GHashTable *speeds_stored;
	bool speeds_write_pending; /**< a write of speeds has no outcome */
	bool speeds_write_refused; /**< the last write was refused */
	mt_ms_t speeds_written_at; /**< time of the last one; 0: none */
	/** Load of the services; NULL unless this host leads. */
	mt_load_summary_t *load_summary;
};

/**
 * Sets the timer for the next scheduling pass, unless it is set already. Does
 * nothing if this host is not leading.
 */
void mt_engine_request_pass(mt_engine_t *engine);

/** Adds a job to `jobs`; takes ownership of it. */
void mt_engine_insert_job(mt_engine_t *engine, mt_dag_job_t *job);

/** Removes a job from `jobs` and frees it. */
void mt_engine_remove_job(mt_engine_t *engine, mt_dag_job_t *job);

/** Unix time in ms by which steps may start. */
int64_t mt_engine_start_time_max(const mt_engine_t *engine);

/** The job with this id, or NULL if it is not in memory. */
mt_dag_job_t *mt_engine_job(const mt_engine_t *engine, uint64_t id);

/** The server with this id, or NULL if the list has not shown it. */
mt_backend_t *mt_engine_backend(const mt_engine_t *engine, mt_shared_name_t id);

mt_ms_t mt_engine_now(const mt_engine_t *engine);

/** Age of this host's copy of the records, see mt_engine_deps_t. */
mt_ms_t mt_engine_records_age(const mt_engine_t *engine);

/** True if the server is in an evacuated data centre: no task starts there. */
bool mt_engine_is_evacuated(const mt_engine_t *engine,
			    const mt_backend_t *backend);

/**
 * Stops the tasks of a cancelled or failed job, except those in the phase DONE.
 */
void mt_engine_stop_tasks(mt_engine_t *engine, mt_dag_job_t *job);

/* flush.c */

/**
 * Writes the progress records of changed jobs. Once they are stored, sends the
 * starts of the placements in them, and permits the servers to delete the ended
 * runs whose effects are in them. Removes from memory the jobs that have ended
 * and have no tasks on servers.
 */
void mt_flush_changes(mt_engine_t *engine);

/** Free function of mt_engine_t.flushes. */
void mt_flush_free(gpointer flush);

/* guarantees.c */

/**
 * Finds the jobs of priority 0 that are within their accounts' guarantees. The
 * jobs of an account use up its guarantee in the order in which this leader got
 * to know them; a job that requires more than what is left of the guarantee is
 * skipped. The caller destroys the returned set.
 */
GHashTable *mt_guarantees_find(const mt_engine_t *engine);

/* evacuation_log.c */

/**
 * Called at each tick. Once the list of servers and the evacuations have been
 * read, logs their changes and sets the gauges. Does nothing where no data
 * centre can be evacuated.
 */
void mt_evacuation_log_tick(mt_engine_t *engine);

/** Clears the gauges when this host leads no more. */
void mt_evacuation_log_reset(mt_engine_t *engine);

/* sweep.c */

/**
 * Deletes the records of jobs that ended at least `keep_ended_ms` ago. One
 * call deletes those of at most SWEEP_MAX_JOBS jobs. Does nothing if the last
 * sweep was less than SWEEP_INTERVAL_MS ago. Both constants are in sweep.c.
 */
void mt_sweep_ended(mt_engine_t *engine);

/* account_use.c */

/**
 * Finds what each account uses of a service beyond its guarantee, in cores (see
 * mt_dag_resources_cores()): keys are names of accounts, owned by the set of
 * jobs, and values are of type double. Accounts with unfinished jobs of the
 * service are listed even if they use nothing. The caller destroys the result.
 */
GHashTable *mt_account_use_find(const mt_engine_t *engine,
				mt_shared_name_t service);

/* planner.c */

/**
 * Places tasks that can start, and stops the tasks preempted for them. Does
 * nothing until it is known which data centres are evacuated.
 */
void mt_planner_run(mt_engine_t *engine);

/* advice_requests.c */

/**
 * Requests tickets from the policy service for more servers if not all waiting
 * tasks of the step fit on the servers with a valid ticket. Only one request is
 * in progress at a time.
 * @param n_waiting number of waiting tasks of the step
 * @param backends mt_backend_t, the servers that may be used
 */
void mt_advice_requests_send_if_needed(mt_engine_t *engine, mt_dag_step_t *step,
				       uint32_t n_waiting,
				       const GPtrArray *backends);

/* commands.c */

/**
 * A server counts as responsive for this long after it answered a hold. On a
 * server that is not responsive, leases are not renewed, and the start of a
 * task is repeated only for START_RETRY_WINDOW_MS (commands.c).
 */
#define MT_RESPONSIVE_WINDOW_MS 2500u

/**
 * Sends the start of a task whose placement is stored. Sends no start while the
 * server's clock is unknown or this host's copy of the records or of the
 * evacuations is too old; the start is then sent at a later tick, unless
 * mt_commands_tick() gives the run up as lost before that. If the server drains
 * or has left the list, if its data centre is evacuated, or if the queue
 * requires a ticket of the policy service and there is no valid one for the
 * server, the start is withdrawn. The task then waits again as soon as it is
 * certain that no earlier attempt takes effect any more: at once if all were
 * answered.
 */
void mt_commands_start(mt_engine_t *engine, mt_dag_task_t *task);

/**
 * Stops a task that is on a server. The command is repeated until the server
 * has confirmed it. If the server still reports the run as active afterwards,
 * the command is sent again. A task without a stored placement is only taken
 * off its server, as no start was sent.
 */
void mt_commands_stop(mt_engine_t *engine, mt_dag_task_t *task);

/** Stops all members of a gang, on whichever servers they are. */
void mt_commands_stop_gang(mt_engine_t *engine, mt_dag_step_t *step);

/** Stops a task, or the whole gang that it belongs to. */
void mt_commands_stop_task_or_gang(mt_engine_t *engine, mt_dag_task_t *task);

/**
 * Called at each tick for each server. Once all leases on the server have
 * expired, and LISTED_GRACE_MS (commands.c) later if the server is listed,
 * gives up as lost the runs of all tasks there whose placement is stored, also
 * those whose start was never sent. Otherwise repeats starts and stops. In both
 * cases, sends the next hold, see mt_commands_hold().
 */
void mt_commands_tick(mt_engine_t *engine, mt_backend_t *backend);

/**
 * Stops a stray run: one that a server reports as active, although it is not
 * the present run of a task placed there.
 */
void mt_commands_stop_stray(mt_engine_t *engine, mt_backend_t *backend,
			    const mt_task_key_t *key, uint32_t run);

/* holds.c */

/**
 * Sends the next hold to the server, if it is of use (see needs_hold() in
 * holds.c). Sends none in these cases:
 * - A hold is in progress or waits for its retry timer.
 * - OVERDUE_HOLDS_MAX holds (holds.c) are overdue.
 * - The server's address is not known.
 * - The platform's list has no entry for the server, and no task is on it.
 * - Effects of reported ended runs are not stored yet, and the last hold was
 *   sent less than UNSTORED_ENDS_HOLD_INTERVAL_MS (holds.c) ago.
 *
 * The answer contains the server's report: its active runs and its ended runs.
 * The hold also renews the leases of the runs on the server if the server's
 * clock is known, the server is responsive, and this host's copy of the records
 * is recent. The first hold to a server since this host began to lead never
 * renews, as only an answered hold makes the server responsive.
 */
void mt_commands_hold(mt_engine_t *engine, mt_backend_t *backend);

/* relocation.c */

/** Measures the rate of progress of a run that its server reports. */
void mt_relocation_note_progress(mt_dag_task_t *task, mt_ms_t now);

/**
 * Called at each tick: finds slow servers now and then. No task is placed on
 * them for some time.
 */
void mt_relocation_find_slow_servers(mt_engine_t *engine);

/**
 * Called at each tick for each server: moves runs to other servers that are
 * stalled, that run on a slow server, or that would not end before a draining
 * server stops.
 */
void mt_relocation_tick(mt_engine_t *engine, mt_backend_t *backend);

/* server_speeds.c */

/** Called when a server has confirmed the start of a run. */
void mt_server_speeds_note_start(const mt_engine_t *engine,
				 mt_dag_task_t *task);

/**
 * Called when a server reports a run as active, with the progress
 * `task->percent`.
 * @param progressed the progress has changed since the last report
 */
void mt_server_speeds_note_progress(mt_engine_t *engine, mt_dag_task_t *task,
				    bool progressed);

/** Called when a run has ended with success, before the task is finished. */
void mt_server_speeds_note_end(mt_engine_t *engine, const mt_dag_task_t *task);

/**
 * Makes a sample of the mean rate of a run so far.
 * @param has_ended the run has just ended with success
 * @return false if there is no rate yet, or it is too inexact
 */
bool mt_server_speeds_sample(const mt_engine_t *engine,
			     const mt_dag_task_t *task, bool has_ended,
			     mt_speed_sample_t *sample);

/**
 * Makes a sample of the mean rate of a run outside a gang that has just ended
 * with success.
 * @return false if its rate is not known or depends on other things as well
 */
bool mt_server_speeds_sample_end(const mt_engine_t *engine,
				 const mt_dag_task_t *task,
				 mt_speed_sample_t *sample);

/** Called before each scheduling pass: computes the speeds now and then. */
void mt_server_speeds_update(mt_engine_t *engine);

/** Forgets all speeds. */
void mt_server_speeds_clear(mt_engine_t *engine);

/* step_times.c */

/** Called when a run has ended with success, before the task is finished. */
void mt_step_times_note_end(mt_engine_t *engine, const mt_dag_task_t *task);

/**
 * Predicts the run time of a task of the step on a server of speed 1, in
 * milliseconds. It is the client's estimate if that agrees with the run times
 * of such tasks, if too few have ended since this host began to lead, or if the
 * servers are not uneven.
 */
double mt_step_times_predict_ms(const mt_engine_t *engine,
				const mt_dag_step_t *step);

/* speed_records.c */

/** Makes an empty mt_engine_t.speeds_stored. */
GHashTable *mt_speed_records_new(void);

/** Reads the speeds that an earlier leader has stored. */
void mt_speed_records_read(mt_engine_t *engine);

/**
 * Called for each entry of the platform's list of servers: if an earlier leader
 * has stored the speed of this server process, the model takes it over. Has no
 * effect after the first call for a server.
 */
void mt_speed_records_take(mt_engine_t *engine, const mt_backend_t *backend);

/** Stores the speeds, if they have changed and the last write is not recent. */
void mt_speed_records_write(mt_engine_t *engine);

/** Forgets which speeds are in the store. */
void mt_speed_records_clear(mt_engine_t *engine);

/* reports.c */

/**
 * Counts a failed run on the server, or starts that it does not answer. After
 * several in a row it is suspect.
 */
void mt_reports_note_failure(mt_engine_t *engine, mt_backend_t *backend);

/**
 * Applies the report in the answer to a hold.
 * @param sent_at local time at which the hold was sent
 */
void mt_reports_apply(mt_engine_t *engine, mt_backend_t *backend,
		      const mt_backend_answer_t *answer, mt_ms_t sent_at);

/**
 * Applies only the ended runs in the answer to a hold. Used if the report in
 * the answer to a later hold has been applied before.
 */
void mt_reports_apply_ends(mt_engine_t *engine, mt_backend_t *backend,
			   const mt_backend_answer_t *answer);

/**
 * Gives up the present run of a task as lost. Also used for a run that never
 * began. The task waits again, unless its gang is done; the other members of an
 * unfinished gang are stopped.
 * @param why reason in the log event run_lost
 */
void mt_reports_run_lost(mt_engine_t *engine, mt_dag_task_t *task,
			 const char *why);

/**
 * Called when the server process has restarted. The tasks placed there are not
 * given up as lost yet: a start may have reached the new process before the
 * restart was noticed, so the next report decides.
 */
void mt_reports_server_restarted(mt_engine_t *engine, mt_backend_t *backend,
				 int64_t born_ms);

#endif
