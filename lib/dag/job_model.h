/**
 * @file job_model.h
 * The scheduler's model of a job: its occurrences (repetitions), steps and
 * tasks, the placement of tasks on servers, and the progress record from which
 * a new leader restores the model. Does no I/O and reads no clock.
 *
 * The steps of a job form a directed acyclic graph (DAG). The folder lib/dag is
 * named after it, although it holds the whole scheduler with its hosts, leader
 * election and client calls. Only some of the names in this folder begin with
 * mt_dag_. This prefix has no meaning of its own: names with and without it
 * belong to the same scheduler.
 */
#ifndef MT_DAG_JOB_MODEL_H
#define MT_DAG_JOB_MODEL_H

#include "dag/advice.h"
#include "dag/backend.h"
#include "dag/catalog.h"
#include "dag/records.h"

/**
 * Phase of a task. A task is placed from mt_dag_task_place() until it is
 * removed from its server: in the phases STARTING and RUNNING. In a gang, a
 * task may also be DONE and still placed, until its server reports the end of
 * its run. The values are stored in progress records.
 */
typedef enum mt_task_phase_t {
	MT_TASK_PHASE_WAITING,
	MT_TASK_PHASE_STARTING, /**< its server has not confirmed the start */
	MT_TASK_PHASE_RUNNING,	/**< its server has confirmed the start */
	MT_TASK_PHASE_DONE,
} mt_task_phase_t;

typedef struct mt_dag_job_t mt_dag_job_t;
typedef struct mt_dag_occurrence_t mt_dag_occurrence_t;
typedef struct mt_dag_step_t mt_dag_step_t;

/** Progress of a run that has done its work. */
#define MT_DAG_PERCENT_MAX 100u

/** A task. Times are local times. */
typedef struct mt_dag_task_t {
	mt_dag_step_t *step;
	uint32_t index; /**< index of the task in its step */
	mt_task_phase_t phase;
	uint32_t run; /**< number of the last run; 0: never placed */
	/** Number of failed runs that count towards attempts_max. */
	uint32_t fails;
	mt_backend_t *server;  /**< server on which it is placed, or NULL */
	bool placement_stored; /**< the placement is in the store */
	/** An earlier leader placed the task, and may have sent the start. */
	bool restored;
	bool start_in_flight;  /**< a start command has no answer yet */
	bool start_unanswered; /**< a start command of this run got no answer */
	bool stop_wanted;      /**< the run is to be stopped */
	bool stop_in_flight;   /**< a stop command has no answer yet */
	/** Time at which the server confirmed the stop; 0: not yet. */
	mt_ms_t stop_confirmed_at;
	/** Time of the first start command of this run; 0: none yet. */
	mt_ms_t first_start_sent_at;
	/** Time of the last start command of this run; 0: none yet. */
	mt_ms_t last_start_sent_at;
	/** Time of the placement. If the placement was restored from a progress
	 * record: the time of mt_dag_job_unpack_progress(). */
	mt_ms_t placed_at;
	/** Time at which the start was settled: the server confirmed it, listed
	 * the run as active, or answered MT_COMMAND_STALE_RUN; 0: not yet. */
	mt_ms_t start_settled_at;
	/** Time of the last change of `percent`; before the first change, the
	 * same as `placed_at`. */
	mt_ms_t progressed_at;
	uint32_t percent; /**< progress of the run, reported by its server */
	/** How often this leader has preempted a run of the task. */
	unsigned n_preemptions;
	/** This leader has stopped a run of the task, or of its gang, as its
	 * server was slow. */
	bool moved_from_slow;
	/* Rate of progress, see pace.h. */
	mt_ms_t pace_from_at;	    /**< begin of the present measurement */
	uint32_t pace_from_percent; /**< progress at `pace_from_at` */
	mt_ms_t paced_at;	    /**< end of the last one; 0: none yet */
	double pace;		    /**< percent per second, as last measured */
	/* Begin of the measurement of its mean rate, see server_speeds.c. */
	mt_ms_t measured_from_at;	/**< 0: not yet */
	uint32_t measured_from_percent; /**< progress at `measured_from_at` */
	double measured_rate;		/**< percent per second; 0: not known */
	char *checkpoint;		/**< newest checkpoint, or NULL */
	/** Time at which `checkpoint` was received; before that, the time of
	 * the placement. */
	mt_ms_t checkpoint_saved_at;
} mt_dag_task_t;

/**
 * A step in one occurrence of its job that depends on no unfinished step. Its
 * tasks begin in the order of their indices. Only those have a state that have
 * begun, that is were placed once, and are not done.
 */
struct mt_dag_step_t {
	mt_dag_job_t *job;
	mt_dag_occurrence_t *occurrence;
	uint32_t index; /**< index into job->spec->steps */
	const MtDag__Step *spec;
	/** mt_dag_task_t, the tasks with a state, in the order of their
	 * indices. NULL: no task has begun. */
	GPtrArray *tasks;
	/** Tasks from this index on have not begun and have no state. Tasks
	 * below it without a state are done. */
	uint32_t n_begun;
	uint32_t n_done;     /**< number of tasks that are done */
	uint32_t n_placed;   /**< number of tasks that are placed */
	uint32_t n_waiting;  /**< number of tasks in the phase WAITING */
	bool has_done_tasks; /**< it is in job->steps_with_done_tasks */
	/** Highest run number of its tasks; 0: none was placed. The tasks of a
	 * gang are placed together, with the same run number. */
	uint32_t run;
	/** In a gang: local time of the first start command to any member in
	 * the gang's present run; 0: none yet. Also set in steps that are not
	 * gangs, but not read there. */
	mt_ms_t run_first_sent_at;
	uint32_t failed_run; /**< number of the last run that failed; 0: none */
	/** In a gang: number of the last run whose work was counted as lost,
	 * see work_lost.h; 0: none. */
	uint32_t work_lost_run;
	/** Answers of the policy service; NULL: not requested. */
	mt_advice_t *advice;
	/** Local time of the first scheduling pass in which the step was a
	 * candidate (see add_steps() in candidates.c) since a task of it was
	 * last placed; 0: not set. The planner sets this member, and clears it
	 * when it places a task of the step. */
	mt_ms_t waiting_since;
	/** Local time since which it is held back, see candidates.c; 0: it is
	 * not. */
	mt_ms_t held_back_since;
	unsigned n_stalls;  /**< how often runs of it have stalled */
	mt_ms_t stalled_at; /**< local time of the last stall; 0: none */
	GQuark label;	    /**< required label of the servers; 0: any */
	/** Preferred rack, which holds the input data; 0: none. */
	GQuark data_rack;
};

/** A step of an open occurrence, whether or not it has a state. */
typedef struct mt_dag_slot_t {
	/** NULL: it depends on an unfinished step, or it is done and its state
	 * is released. */
	mt_dag_step_t *step;
	uint32_t n_blockers; /**< unfinished steps that it depends on */
} mt_dag_slot_t;

/**
 * An open occurrence of a job: one that has begun or may begin soon, and that
 * is not done. Other occurrences have no state.
 */
struct mt_dag_occurrence_t {
	mt_dag_job_t *job;
	uint32_t number;
	uint32_t n_steps_done;
	uint32_t n_placed;     /**< number of placed tasks of all its steps */
	mt_dag_slot_t slots[]; /**< job->spec->n_steps slots */
};

/** What is the same for a step in all occurrences of its job. */
typedef struct mt_dag_step_layout_t {
	GArray *successors; /**< uint32_t, steps that depend on this one */
	/** Longest sum of estimates along a chain of steps that begins here. */
	uint32_t path_ms;
	/** Largest number of accelerators of any one step that depends on this
	 * one, directly or not. */
	uint64_t gpu_after;
	/** Estimated work of one task in core-milliseconds; 0 for a
	 * long-running step, whose work has no end. */
	double work_core_ms;
} mt_dag_step_layout_t;

struct mt_dag_job_t {
	uint64_t id;
	MtDag__Job *spec;
	MtDag__State state;
	/** A client cancelled the job. `state` is set accordingly by
	 * mt_dag_job_update_state(), unless it is final or all steps are
	 * done. */
	bool cancelled;
	bool begun; /**< a task of the job has started */
	bool dirty; /**< the progress record in the store is outdated */
	/** The job record was replaced by the short record that
	 * mt_dag_job_pack_ended() makes. */
	bool job_record_shortened;
	/* See wakeups.h. */
	guint awake_index;	  /**< while it is awake: index into `awake` */
	bool is_urgent;		  /**< it is in `urgent` */
	guint urgent_index;	  /**< index into `urgent` */
	GSequenceIter *asleep_at; /**< its place in `asleep`; NULL: awake */
	/** Receives the job when it becomes dirty; NULL: nobody is told. */
	GPtrArray *dirty_jobs;
	mt_dag_step_layout_t *layout; /**< by index of the step */
	/** Estimated work of an occurrence that has not begun, as in
	 * mt_dag_step_layout_t.work_core_ms. */
	double occurrence_work_core_ms;
	uint32_t waiting_max;	/**< see mt_dag_spec_waiting_max() */
	uint32_t n_occurrences; /**< in total, at least 1 */
	/** Occurrences from this number on have never been open. Those below it
	 * that are not open are done. */
	uint32_t n_opened;
	uint32_t n_occurrences_done;
	GPtrArray *occurrences; /**< mt_dag_occurrence_t, open, by number */
	/** mt_dag_step_t of open occurrences that depend on no unfinished step
	 * and are not done, in the order of mt_dag_step_number(). */
	GPtrArray *ready_steps;
	/** mt_dag_step_t with tasks whose state is to be released, see
	 * mt_dag_job_release_done(). */
	GPtrArray *steps_with_done_tasks;
	/** Steps from this number on have not begun, see
	 * mt_dag_step_number(). */
	uint32_t steps_begun;
	uint32_t n_placed;	 /**< number of placed tasks */
	mt_dag_resources_t used; /**< by the placed tasks */
	/** Waiting tasks of the open occurrences, without those of long-running
	 * steps, and their estimated work. */
	uint64_t n_waiting;
	double waiting_core_ms;
	/** Local time at which this leader made this model. The time of the
	 * objective counts from here, as the job record does not contain the
	 * time of acceptance. */
	mt_ms_t known_since;
	/** Last result of mt_dag_job_critical_path_left_ms(); valid until a
	 * step becomes ready or done. */
	uint32_t path_left_ms;
	bool path_left_known;
	/** Critical path of the whole job: the longest sum of estimates along a
	 * chain of dependent steps. Steps of different occurrences do not
	 * depend on each other. */
	uint32_t critical_path_ms;
	/** Settings of the job's queue, from the newest catalog that contained
	 * the queue. If this leader has had no such catalog, they are the
	 * settings stored with the job. `path_prefix` is NULL. */
	mt_queue_t queue;
};

/** Maximum number of tasks of a job, in all its occurrences together. */
#define MT_DAG_TASKS_MAX 20000u

/**
 * True if the job has steps, each step has at least one task and depends only
 * on steps of lower index, and there are at most MT_DAG_TASKS_MAX tasks.
 */
bool mt_dag_job_spec_is_valid(const MtDag__Job *spec);

/** Number of steps that depend on no other. */
uint32_t mt_dag_spec_n_first_steps(const MtDag__Job *spec);

/**
 * Maximum number of steps with the same index, in different occurrences, that
 * wait in one scheduling pass: the others would get what these leave over, that
 * is nothing. No more occurrences are opened than may add such steps.
 */
uint32_t mt_dag_spec_waiting_max(const MtDag__Job *spec);

/**
 * Makes the model of a job. Takes ownership of `spec`, which must be valid, see
 * mt_dag_job_spec_is_valid().
 */
mt_dag_job_t *mt_dag_job_new(MtDag__Job *spec, mt_ms_t now);
void mt_dag_job_free(mt_dag_job_t *job);

/**
 * Opens the next occurrence: gives it a state.
 * @return NULL if there is no further one
 */
mt_dag_occurrence_t *mt_dag_job_open_next(mt_dag_job_t *job);

/**
 * Finds a step that depends on no unfinished step; it may be done. NULL if
 * there is none with a state.
 */
mt_dag_step_t *mt_dag_job_find_step(const mt_dag_job_t *job,
				    uint32_t occurrence, uint32_t step);

/** Finds a task with a state; NULL if there is none. */
mt_dag_task_t *mt_dag_job_find_task(const mt_dag_job_t *job,
				    const mt_task_key_t *key);
mt_task_key_t mt_dag_task_key(const mt_dag_task_t *task);

/** Finds a task of the step with a state; NULL if it is done or has not begun.
 */
mt_dag_task_t *mt_dag_step_find_task(const mt_dag_step_t *step, uint32_t index);

/**
 * Returns the state of the task that comes next in the step, and makes it.
 * @return NULL if all tasks have begun
 */
mt_dag_task_t *mt_dag_step_begin_task(mt_dag_step_t *step);

/**
 * Number of the step in its job: those of an occurrence follow each other, in
 * the order of their indices.
 */
uint32_t mt_dag_step_number(const mt_dag_step_t *step);

/** True when all tasks of the step are done. */
bool mt_dag_step_is_done(const mt_dag_step_t *step);

/**
 * Looks up `label` and `data_rack` again if no server had them before: names
 * that only a job mentions are not interned, as they would never be freed.
 */
void mt_dag_step_find_names(mt_dag_step_t *step);

/**
 * Frees the states of tasks that are done and on no server, and those of
 * occurrences of which all steps are. Called when their progress is being
 * stored.
 */
void mt_dag_job_release_done(mt_dag_job_t *job);

/** Notes that the progress record in the store is outdated. */
void mt_dag_job_mark_dirty(mt_dag_job_t *job);

/** Earliest start of an occurrence, as Unix time in ms; 0: immediately. */
int64_t mt_dag_job_earliest_start(const mt_dag_job_t *job, uint32_t occurrence);

/** Number of occurrences that have never been open and may start by then. */
uint32_t mt_dag_job_n_due_unopened(const mt_dag_job_t *job, int64_t wall_ms);

/** Earliest start of the step, as Unix time in ms; 0: immediately. */
int64_t mt_dag_step_earliest_start(const mt_dag_step_t *step);

/** Resources that one task of a step requires. */
mt_dag_resources_t mt_dag_spec_need(const MtDag__Step *spec);
mt_dag_resources_t mt_dag_step_need(const mt_dag_step_t *step);

/** These resources as a number of cores, see mt_dag_resources_cores(). */
double mt_dag_step_cores(const mt_dag_step_t *step);

/** Places a waiting task on a server as run `run`; the job becomes dirty. */
void mt_dag_task_place(mt_dag_task_t *task, mt_backend_t *server, uint32_t run,
		       mt_ms_t now);

/** Removes a task from its server; unless it is done, it waits again. */
void mt_dag_task_unplace(mt_dag_task_t *task);

/**
 * Handles a successful run: sets the task to done, or all tasks if it belongs
 * to a gang. The states of tasks are kept until mt_dag_job_release_done().
 */
void mt_dag_task_finish(mt_dag_task_t *task);

/**
 * Handles a failed run: the task waits again. A run of a gang counts only once,
 * and failed runs of a long-running step (`lasting`) do not count.
 * @return false when the job must fail, as the task now has attempts_max failed
 * runs that count
 */
bool mt_dag_task_fail(mt_dag_task_t *task);

/**
 * Stores a checkpoint as the newest one of a task. The tasks of a gang share
 * their checkpoints, so that it is stored for all tasks of the gang.
 */
void mt_dag_task_save_checkpoint(mt_dag_task_t *task, mt_str_t checkpoint,
				 mt_ms_t now);

/**
 * Time in ms whose work would be lost if the run ended now: since its placement
 * or, if it writes checkpoints, since its newest checkpoint.
 */
mt_ms_t mt_dag_task_unsaved_ms(const mt_dag_task_t *task, mt_ms_t now);

/** True for a member of a gang that has done its work and waits for others. */
bool mt_dag_task_waits_for_gang(const mt_dag_task_t *task);

/** Updates the job's state from its tasks; a final state does not change. */
void mt_dag_job_update_state(mt_dag_job_t *job);

/**
 * Largest number of accelerators that the unfinished tasks of any one step
 * require together.
 */
uint32_t mt_dag_job_gpu_wanted(const mt_dag_job_t *job);

/**
 * Critical path of the unfinished steps, by their estimates, in ms: the longest
 * one of any occurrence.
 */
uint32_t mt_dag_job_critical_path_left_ms(mt_dag_job_t *job);

/**
 * Estimated work of the waiting tasks of all occurrences that may start by
 * then, in core-milliseconds, also of those whose step depends on others.
 */
double mt_dag_job_waiting_core_ms(const mt_dag_job_t *job, int64_t wall_ms);

/**
 * Time in ms within which the job should be completed, counted from
 * `known_since`, see mt_queue_t.
 */
uint32_t mt_dag_job_objective_ms(const mt_dag_job_t *job);

/**
 * Serializes the progress record; freed with g_bytes_unref(). Its size depends
 * on the steps and tasks that have begun and are not done.
 */
GBytes *mt_dag_job_pack_progress(const mt_dag_job_t *job);

/** Serializes the short record of an ended job, without payload and steps. */
GBytes *mt_dag_job_pack_ended(const mt_dag_job_t *job);

/**
 * Returns the server to which a progress record refers, by the hash of its id;
 * adds the server if it is not known.
 * @param born_ms start time of its process; 0: unknown
 */
typedef mt_backend_t *(*mt_dag_server_cb)(void *ctx, uint64_t id_hash,
					  int64_t born_ms);

/**
 * Restores the state and the placements of a new model from a progress record.
 * @return false when the record is malformed or does not match the job's steps;
 * a part of the record may have been applied
 */
bool mt_dag_job_unpack_progress(mt_dag_job_t *job, mt_str_t value,
				mt_dag_server_cb cb, void *ctx, mt_ms_t now);

#endif
