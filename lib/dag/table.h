/**
 * @file table.h
 * All accepted jobs as the store's records tell of them. Every host keeps one
 * to answer callers; the scheduler builds its work from it after a takeover.
 */
#ifndef MT_DAG_TABLE_H
#define MT_DAG_TABLE_H

#include "dag/records.h"
#include "dag/store_port.h"
#include "kernel/kernel.h"

typedef struct mt_table_job_t {
	uint64_t id;
	GBytes *job;	  /**< packed MtDag__Job; NULL once ended */
	GBytes *progress; /**< packed MtDag__Progress, or NULL */
	MtDag__State state;
	bool cancelled; /**< a cancellation came before any final state */
	bool begun;
	mt_name_t queue;
	mt_name_t account;
	uint64_t progress_offset;
	uint64_t cancel_offset;
	mt_ms_t ended_at; /**< when this host learnt of the end */
} mt_table_job_t;

typedef struct mt_table_t mt_table_t;

typedef struct mt_table_watcher_t {
	void *ctx;
	void (*on_accepted)(void *ctx, const mt_table_job_t *job);
	void (*on_cancelled)(void *ctx, const mt_table_job_t *job);
} mt_table_watcher_t;

mt_table_t *mt_table_new(mt_kernel_t *kernel);
void mt_table_free(mt_table_t *table);

/** At most one watcher; NULL removes it. */
void mt_table_watch(mt_table_t *table, const mt_table_watcher_t *watcher);

/** Takes one job, cancel or progress record; others are ignored. */
void mt_table_apply(mt_table_t *table, const mt_store_record_t *record);

const mt_table_job_t *mt_table_find(const mt_table_t *table, uint64_t id);

/** State as callers see it. */
MtDag__State mt_table_state(const mt_table_job_t *job);

bool mt_state_is_final(MtDag__State state);

/** Jobs of a queue of which no task has started. */
unsigned mt_table_pending(const mt_table_t *table, const mt_name_t *queue);

/** Jobs that the table holds, ended ones included. */
unsigned mt_table_size(const mt_table_t *table);

typedef void (*mt_table_cb)(void *ctx, const mt_table_job_t *job);
void mt_table_each(const mt_table_t *table, mt_table_cb cb, void *ctx);

#endif
