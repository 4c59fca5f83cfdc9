/**
 * @file job_model.h
 * The scheduler's model of a job: occurrences, steps and tasks, what stands
 * where, and the progress record that brings it back after a takeover. Pure:
 * sends nothing and reads no clock.
 */
#ifndef MT_DAG_JOB_MODEL_H
#define MT_DAG_JOB_MODEL_H

#include "dag/advice.h"
#include "dag/backend.h"
#include "dag/catalog.h"
#include "dag/records.h"

typedef enum mt_task_phase_t {
	MT_TASK_WAITING,
	MT_TASK_PLACED,	 /**< a server is chosen; the start is not confirmed */
	MT_TASK_RUNNING, /**< the server has confirmed the start */
	MT_TASK_DONE,
} mt_task_phase_t;

typedef struct mt_dag_job_t mt_dag_job_t;
typedef struct mt_dag_step_t mt_dag_step_t;

typedef struct mt_dag_task_t {
	mt_dag_step_t *step;
	uint32_t index;
	mt_task_phase_t phase;
	uint32_t run; /**< number of the last start; 0: never started */
	uint32_t fails;
	mt_backend_t *server; /**< while placed or running */
	bool start_durable;   /**< the placement is in the store */
	bool start_in_flight;
	bool start_unanswered; /**< an attempt to start got no answer */
	bool stop_wanted;
	bool stop_in_flight;
	mt_ms_t stop_acked_at; /**< the stop was confirmed; 0: not yet */
	mt_ms_t first_sent_at; /**< first attempt to start; 0: none */
	mt_ms_t start_sent_at; /**< last attempt to start; 0: none */
	mt_ms_t placed_at;
	mt_ms_t acked_at;      /**< the start was confirmed; 0: not yet */
	mt_ms_t progressed_at; /**< its percentage last changed */
	uint32_t percent;
	char *checkpoint; /**< newest saved state, or NULL */
	mt_ms_t saved_at;
} mt_dag_task_t;

struct mt_dag_step_t {
	mt_dag_job_t *job;
	uint32_t occurrence;
	uint32_t number;
	const MtDag__Step *spec;
	mt_dag_task_t *tasks; /**< spec->count of them */
	uint32_t n_done;
	uint32_t n_placed;   /**< tasks that stand at a server */
	uint32_t run;	     /**< of a gang: number of its last start */
	mt_ms_t sent_at;     /**< of that run: its first start; 0: none yet */
	uint32_t failed_run; /**< of a gang: last run that counted as failed */
	mt_advice_t *advice; /**< of an advised queue; NULL: not asked yet */
	mt_ms_t ready_at;    /**< when it began to wait for room; 0: does not */
	GQuark label;
	GQuark data_rack;
};

struct mt_dag_job_t {
	uint64_t id;
	MtDag__Job *spec;
	MtDag__State state;
	bool cancelled;
	bool begun;
	bool dirty;   /**< progress differs from the store's record */
	bool trimmed; /**< its own record has been replaced by a short one */
	uint32_t n_steps; /**< over all occurrences */
	mt_dag_step_t *steps;
	mt_ms_t seen_at;	   /**< when this scheduler learnt of it */
	uint32_t critical_path_ms; /**< longest chain of estimates of the whole
				      job */
	mt_queue_t queue;	   /**< as last configured; no path prefix */
};

/** Takes over `spec`, which has been checked. */
mt_dag_job_t *mt_dag_job_new(MtDag__Job *spec, mt_ms_t now);
void mt_dag_job_free(mt_dag_job_t *job);

/** The task, or NULL when the job has none of this key. */
mt_dag_task_t *mt_dag_job_find_task(mt_dag_job_t *job,
				    const mt_task_key_t *key);
mt_task_key_t mt_dag_task_key(const mt_dag_task_t *task);

/** True when every step that this one waits for is done. */
bool mt_dag_step_is_ready(const mt_dag_step_t *step);

/** Unix time before which the step may not start; 0: any time. */
int64_t mt_dag_step_earliest_start(const mt_dag_step_t *step);

mt_dag_resources_t mt_dag_step_need(const mt_dag_step_t *step);

/** Puts a task on a server under a new run; the job becomes dirty. */
void mt_dag_task_place(mt_dag_task_t *task, mt_backend_t *server, uint32_t run,
		       mt_ms_t now);

/** Takes a task off its server without a result; it waits again. */
void mt_dag_task_unplace(mt_dag_task_t *task);

/** A run ended well; a gang's tasks all end with it. */
void mt_dag_task_finish(mt_dag_task_t *task);

/**
 * A run failed: the task waits again.
 * @return false when its attempts are used up
 */
bool mt_dag_task_fail(mt_dag_task_t *task);

/** Notes a saved state of a task, or of its whole gang. */
void mt_dag_task_save_checkpoint(mt_dag_task_t *task, mt_str_t checkpoint,
				 mt_ms_t now);

/** Recomputes the state from steps and cancellation. */
void mt_dag_job_update_state(mt_dag_job_t *job);

/** Tasks of the job that stand at a server. */
uint32_t mt_dag_job_n_placed(const mt_dag_job_t *job);

/** Accelerators that the unfinished part of the job can use at once. */
uint32_t mt_dag_job_gpu_wanted(const mt_dag_job_t *job);

/** Longest chain of estimates that is left, in milliseconds. */
uint32_t mt_dag_job_critical_path_left_ms(const mt_dag_job_t *job);

/** Time within which the job should be done, from its acceptance. */
uint32_t mt_dag_job_objective_ms(const mt_dag_job_t *job);

/** Progress record; freed with g_bytes_unref(). */
GBytes *mt_dag_job_pack_progress(const mt_dag_job_t *job);

/** Record of a job that has ended: without payload and steps. */
GBytes *mt_dag_job_pack_ended(const mt_dag_job_t *job);

/** Finds or makes the server of a placement. */
typedef mt_backend_t *(*mt_dag_server_cb)(void *ctx, const char *id,
					  int64_t born_ms);

/** Restores from a progress record. @return false when it does not fit */
bool mt_dag_job_unpack_progress(mt_dag_job_t *job, mt_str_t value,
				mt_dag_server_cb cb, void *ctx, mt_ms_t now);

#endif
