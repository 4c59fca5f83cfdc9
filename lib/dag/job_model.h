/**
 * @file job_model.h
 * The scheduler's model of a job: its occurrences, steps and tasks, the
 * placement of tasks on servers, and the progress record from which a new
 * leader restores them. Does no I/O and reads no clock.
 */
#ifndef MT_DAG_JOB_MODEL_H
#define MT_DAG_JOB_MODEL_H

#include "dag/advice.h"
#include "dag/backend.h"
#include "dag/catalog.h"
#include "dag/records.h"

typedef enum mt_task_phase_t {
	MT_TASK_WAITING,
	MT_TASK_STARTING, /**< on a server that has not confirmed the start */
	MT_TASK_RUNNING,  /**< on a server that has confirmed the start */
	MT_TASK_DONE,
} mt_task_phase_t;

typedef struct mt_dag_job_t mt_dag_job_t;
typedef struct mt_dag_step_t mt_dag_step_t;

typedef struct mt_dag_task_t {
	mt_dag_step_t *step;
	uint32_t index;
	mt_task_phase_t phase;
	uint32_t run;	/**< number of the last run; 0: never started */
	uint32_t fails; /**< failed runs that count towards attempts_max */
	mt_backend_t *server;  /**< while placed or running */
	bool placement_stored; /**< the placement is in the store */
	bool start_in_flight;
	bool start_unanswered; /**< an attempt to start got no answer */
	bool stop_wanted;
	bool stop_in_flight;
	mt_ms_t stop_acked_at;	     /**< the stop was confirmed; 0: not yet */
	mt_ms_t first_start_sent_at; /**< first attempt to start; 0: none */
	mt_ms_t last_start_sent_at;  /**< last attempt to start; 0: none */
	mt_ms_t placed_at;
	mt_ms_t acked_at;      /**< the start was confirmed; 0: not yet */
	mt_ms_t progressed_at; /**< last change of `percent` */
	uint32_t percent;      /**< of the run, as its server reports it */
	char *checkpoint;      /**< newest checkpoint, or NULL */
	mt_ms_t saved_at;      /**< when it was received, or the placement */
} mt_dag_task_t;

struct mt_dag_step_t {
	mt_dag_job_t *job;
	uint32_t occurrence;
	uint32_t number; /**< index into the steps of the job's spec */
	const MtDag__Step *spec;
	mt_dag_task_t *tasks; /**< spec->count of them */
	uint32_t n_done;
	uint32_t n_placed; /**< tasks that are placed on a server */
	uint32_t run;	   /**< highest run of its tasks; shared by a gang */
	mt_ms_t run_first_sent_at; /**< first start command of `run`; 0: none
				      yet */
	uint32_t failed_run;	   /**< last run that failed */
	mt_advice_t *advice; /**< of the policy service; NULL: not requested */
	mt_ms_t waiting_since; /**< since when it waits for room; 0: not waiting
				*/
	GQuark label;
	GQuark data_rack;
};

struct mt_dag_job_t {
	uint64_t id;
	MtDag__Job *spec;
	MtDag__State state;
	bool cancelled;
	bool begun;
	bool dirty; /**< the progress record in the store is outdated */
	bool job_record_shortened; /**< the job record was replaced by a short
				      one */
	uint32_t n_steps;	   /**< over all occurrences */
	mt_dag_step_t *steps;	   /**< occurrence by occurrence */
	mt_ms_t seen_at;	   /**< when this scheduler first read of it */
	uint32_t critical_path_ms; /**< of the whole job, by its estimates */
	mt_queue_t queue;	   /**< present settings; no path prefix */
};

/** Takes ownership of `spec`, which must be valid. */
mt_dag_job_t *mt_dag_job_new(MtDag__Job *spec, mt_ms_t now);
void mt_dag_job_free(mt_dag_job_t *job);

/** Returns NULL when the job has no such task. */
mt_dag_task_t *mt_dag_job_find_task(mt_dag_job_t *job,
				    const mt_task_key_t *key);
mt_task_key_t mt_dag_task_key(const mt_dag_task_t *task);

/** True when every step that this one depends on is done. */
bool mt_dag_step_is_ready(const mt_dag_step_t *step);

/** Unix time in milliseconds before which the step may not start; 0: none. */
int64_t mt_dag_step_earliest_start(const mt_dag_step_t *step);

/** Resources that one task of the step needs. */
mt_dag_resources_t mt_dag_step_need(const mt_dag_step_t *step);

/** Places a waiting task on a server as run `run`; the job becomes dirty. */
void mt_dag_task_place(mt_dag_task_t *task, mt_backend_t *server, uint32_t run,
		       mt_ms_t now);

/** Removes a task from its server without a result; it waits again. */
void mt_dag_task_unplace(mt_dag_task_t *task);

/** Handles a successful run; in a gang all tasks become done. */
void mt_dag_task_finish(mt_dag_task_t *task);

/**
 * Handles a failed run: the task waits again. A run of a gang counts once,
 * and tasks of a long-running step (`lasting`) may fail any number of times.
 * @return false when the attempts are used up
 */
bool mt_dag_task_fail(mt_dag_task_t *task);

/** Stores a checkpoint of a task, or of all tasks of its gang. */
void mt_dag_task_save_checkpoint(mt_dag_task_t *task, mt_str_t checkpoint,
				 mt_ms_t now);

/** Recomputes the state of the job; a final state does not change. */
void mt_dag_job_update_state(mt_dag_job_t *job);

/** Number of tasks of the job that are placed on a server. */
uint32_t mt_dag_job_n_placed(const mt_dag_job_t *job);

/** Most accelerators that a single unfinished step can use at once. */
uint32_t mt_dag_job_gpu_wanted(const mt_dag_job_t *job);

/** Critical path of the unfinished steps by their estimates, in ms. */
uint32_t mt_dag_job_critical_path_left_ms(const mt_dag_job_t *job);

/** Time from acceptance within which the job should be completed. */
uint32_t mt_dag_job_objective_ms(const mt_dag_job_t *job);

/** Serializes the progress record; freed with g_bytes_unref(). */
GBytes *mt_dag_job_pack_progress(const mt_dag_job_t *job);

/** Serializes the short record of an ended job, without payload and steps. */
GBytes *mt_dag_job_pack_ended(const mt_dag_job_t *job);

/** Returns the server of a placement; creates it if it is unknown. */
typedef mt_backend_t *(*mt_dag_server_cb)(void *ctx, const char *id,
					  int64_t born_ms);

/**
 * Restores the job from a progress record.
 * @return false when the record is malformed or does not match the job's steps
 */
bool mt_dag_job_unpack_progress(mt_dag_job_t *job, mt_str_t value,
				mt_dag_server_cb cb, void *ctx, mt_ms_t now);

#endif
