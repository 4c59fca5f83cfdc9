/**
 * @file absent_cancels.h
 * Stores cancellations of jobs that are not in the store. A host may still be
 * trying to store such a job: its client got no answer in time, and the store
 * may even carry out a call seconds after it was given up. As all records of
 * jobs are in one topic, a cancel record that comes before the job record
 * cancels the job, whenever it is stored.
 *
 * Most such cancellations are of jobs that will never exist. So that they cost
 * little, they are stored in groups, at intervals, and refused while the table
 * of jobs has too many of them. The leader deletes them after some time
 * (sweep.c); until then a submission is given up, see MT_WRITER_EXPIRES.
 */
#ifndef MT_DAG_ABSENT_CANCELS_H
#define MT_DAG_ABSENT_CANCELS_H

#include "dag/table.h"
#include "dag/writer.h"

typedef struct mt_absent_cancels_t mt_absent_cancels_t;

/** `table` and `writer` must outlive the result. */
mt_absent_cancels_t *mt_absent_cancels_new(mt_kernel_t *kernel,
					   const mt_table_t *table,
					   mt_writer_t *writer);

/** Cancellations that are not being written yet are dropped. */
void mt_absent_cancels_free(mt_absent_cancels_t *cancels);

/**
 * Stores the cancellation of a job that is not in the table.
 * @param cb called when the outcome is known, see mt_writer_cb
 * @return false if there are too many such cancellations; `cb` is not called
 */
bool mt_absent_cancels_add(mt_absent_cancels_t *cancels, uint64_t job,
			   mt_writer_cb cb, void *ctx);

#endif
