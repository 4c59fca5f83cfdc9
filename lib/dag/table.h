/**
 * @file table.h
 * Table of all accepted jobs, built from the records in the store. The leader
 * and the standbys keep such a table to answer calls about jobs. A new leader
 * makes its job models (job_model.h) from its table, and takes from it the
 * speeds of servers that the former leader has stored.
 */
#ifndef MT_DAG_TABLE_H
#define MT_DAG_TABLE_H

#include "dag/records.h"
#include "dag/store_port.h"
#include "kernel/kernel.h"

typedef struct mt_table_job_t {
	uint64_t id;
	/** Packed MtDag__Job; NULL until the job record has been read, and
	 * after the job has ended. */
	GBytes *packed_job;
	/** Packed MtDag__Progress; NULL until one has been read, and after the
	 * job has ended. */
	GBytes *packed_progress;
	MtDag__State state;	/**< from the newest progress record */
	bool cancelled;		/**< the job was cancelled before it ended */
	bool begun;		/**< a task of the job has started */
	mt_shared_name_t queue; /**< empty until the job record has been read */
	mt_shared_name_t account;
	uint64_t progress_offset; /**< offset of the newest progress record */
	uint64_t cancel_offset;	  /**< offset of the cancel record */
	/** Local time at which the cancel record was read; 0: none was. */
	mt_ms_t cancelled_at;
	/** The newest cancel record is a refusal, see refusals.h. It came
	 * before any job record, so that the job never runs. */
	bool refused;
	/** Valid with `refused`: its cancel record was stored after this local
	 * time; 0: not known. */
	mt_ms_t refused_after;
	uint64_t refused_offset; /**< of its cancel record, if it is refused */
	/** Local time at which this host read that the job has ended; 0: not
	 * ended. */
	mt_ms_t ended_at;
	/** Memory of the unfinished job, see mt_memory_budget_job_bytes(). */
	size_t memory_bytes;
	/** Index plus one in the list for mt_table_visit_over(); 0: it is not
	 * in it. */
	guint over_index;
} mt_table_job_t;

typedef struct mt_table_t mt_table_t;

/** Callbacks for changes of the table; each may be NULL. */
typedef struct mt_table_watcher_t {
	void *ctx;
	/** The job record of an unfinished job was read. The job may already
	 * be cancelled. */
	void (*on_accepted)(void *ctx, const mt_table_job_t *job);
	/** The cancel record was read after the job record. */
	void (*on_cancelled)(void *ctx, const mt_table_job_t *job);
} mt_table_watcher_t;

mt_table_t *mt_table_new(mt_kernel_t *kernel);
void mt_table_free(mt_table_t *table);

/** Removes all jobs and speeds, without a callback. */
void mt_table_clear(mt_table_t *table);

/** Sets the only watcher; NULL removes it. */
void mt_table_watch(mt_table_t *table, const mt_table_watcher_t *watcher);

/**
 * Tells how recent the table is: records that are applied from now on were
 * stored after this local time; 0: not known.
 */
void mt_table_set_current_as_of(mt_table_t *table, mt_ms_t as_of);

/**
 * Applies a job, cancel or progress record, or a record of speeds; others are
 * ignored. The records of one job may come in any order. An empty value of any
 * of the first three removes the whole job from the table.
 */
void mt_table_apply(mt_table_t *table, const mt_store_record_t *record);

/** True if a cancel record has been read of a job without a job record. */
bool mt_table_is_absent_cancelled(const mt_table_t *table, uint64_t id);

/**
 * Finds a job that was refused, whether or not a job record has been read; NULL
 * otherwise.
 */
const mt_table_job_t *mt_table_find_refused(const mt_table_t *table,
					    uint64_t id);

/** Number of jobs without a job record of which a cancel record was read. */
unsigned mt_table_n_absent_cancels(const mt_table_t *table);

/** Finds a job whose job record has been read; NULL otherwise. */
const mt_table_job_t *mt_table_find(const mt_table_t *table, uint64_t id);

/**
 * State of a job as it is shown to clients: cancelled as soon as the cancel
 * record has been read, even if tasks still run.
 */
MtDag__State mt_table_state(const mt_table_job_t *job);

/** True for completed, failed and cancelled. */
bool mt_state_is_final(MtDag__State state);

/**
 * Memory that a leader needs for the jobs in the table, see memory_budget.h.
 */
uint64_t mt_table_memory_bytes(const mt_table_t *table);

/** Number of unfinished jobs of a queue of which no task has started. */
unsigned mt_table_n_pending(const mt_table_t *table, mt_shared_name_t queue);

/**
 * Number of jobs in the table, including ended jobs and jobs whose job record
 * has not been read yet.
 */
unsigned mt_table_size(const mt_table_t *table);

typedef void (*mt_table_cb)(void *ctx, const mt_table_job_t *job);

/** Calls `cb` for each job whose job record has been read. */
void mt_table_each(const mt_table_t *table, mt_table_cb cb, void *ctx);

typedef void (*mt_table_speeds_cb)(void *ctx, mt_str_t packed);

/** Calls `cb` for each record of speeds, with its packed MtDag__Speeds. */
void mt_table_each_speeds(const mt_table_t *table, mt_table_speeds_cb cb,
			  void *ctx);

/**
 * Calls `cb` for at most `n_max` jobs that have ended, or that are absent and
 * cancelled; further calls go on with the others, in turn. `cb` must not change
 * the table.
 */
void mt_table_visit_over(mt_table_t *table, unsigned n_max, mt_table_cb cb,
			 void *ctx);

#endif
