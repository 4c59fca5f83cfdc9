/**
 * @file sweep.c Deletes the records of jobs that ended long ago, and old
 * cancellations of jobs that were never stored.
 */
#include "dag/engine_internal.h"
#include "dag/refusals.h"

/** Minimum interval between sweeps. */
#define SWEEP_INTERVAL_MS 5000u

/** Maximum number of jobs that one sweep looks at. */
#define SWEEP_MAX_VISITS 2000u

/** Maximum number of jobs whose records one sweep deletes. */
#define SWEEP_MAX_JOBS 50u

/**
 * Maximum number of cancellations of jobs without a job record that one sweep
 * deletes.
 */
#define SWEEP_MAX_ABSENT_CANCELS 1000u

/**
 * Such a cancellation is kept for at least this long: a host gives up a
 * submission after MT_WRITER_EXPIRY_MS, and the store may carry out its last
 * append seconds later.
 */
#define ABSENT_CANCEL_KEEP_MIN_MS (2 * MT_WRITER_EXPIRY_MS)

/** A sweep in progress. */
typedef struct mt_sweep_t {
	mt_engine_t *engine;
	unsigned n_swept; /**< number of jobs whose records are deleted */
	unsigned n_absent_cancels; /**< number of cancellations deleted */
} mt_sweep_t;

/** Adds the deletion of a record to the writer's current group. */
static void delete_record(mt_engine_t *engine, mt_record_kind_t kind,
			  uint64_t id)
{
	mt_record_key_t key = mt_record_key(kind, id);

	mt_writer_add(engine->writer, mt_str_from(key.text), (mt_str_t){0});
}

/** Local time from which the records of an ended or cancelled job are kept. */
static mt_ms_t keep_from(const mt_table_job_t *job)
{
	return job->refused ? MAX(job->ended_at, job->cancelled_at)
			    : job->ended_at;
}

/**
 * How long they are kept. A refused job may be submitted again when its records
 * are deleted, so that these are not kept any longer than they are needed.
 */
static mt_ms_t keep_ms(const mt_engine_t *engine, const mt_table_job_t *job)
{
	return job->refused ? MT_REFUSAL_KEEP_MS
			    : engine->deps.timings.keep_ended_ms;
}

/**
 * Deletes the records of a job if it ended at least `keep_ended_ms` ago. All
 * deletions are in one group, which is written as a whole, see writer.h. The
 * job record comes last as a precaution, in case a store should nevertheless
 * apply an append only in part: a host that starts up finds a job only through
 * its job record, and would never delete records that are left without one.
 */
static void sweep_job(mt_sweep_t *sweep, const mt_table_job_t *job)
{
	mt_engine_t *engine = sweep->engine;

	if (sweep->n_swept >= SWEEP_MAX_JOBS ||
	    mt_engine_now(engine) - keep_from(job) < keep_ms(engine, job))
		return;
	sweep->n_swept++;
	delete_record(engine, MT_RECORD_PROGRESS, job->id);
	delete_record(engine, MT_RECORD_CANCEL, job->id);
	delete_record(engine, MT_RECORD_JOB, job->id);
}

/** Deletes the cancellation if it was read long ago. */
static void sweep_absent_cancel(mt_sweep_t *sweep, const mt_table_job_t *job)
{
	mt_engine_t *engine = sweep->engine;

	if (sweep->n_absent_cancels >= SWEEP_MAX_ABSENT_CANCELS ||
	    mt_engine_now(engine) - job->cancelled_at <
		    MAX(keep_ms(engine, job), ABSENT_CANCEL_KEEP_MIN_MS))
		return;
	sweep->n_absent_cancels++;
	delete_record(engine, MT_RECORD_CANCEL, job->id);
}

static void sweep_entry(void *ctx, const mt_table_job_t *job)
{
	mt_sweep_t *sweep = ctx;

	if (job->queue.len)
		sweep_job(sweep, job);
	else
		sweep_absent_cancel(sweep, job);
}

void mt_sweep_ended(mt_engine_t *engine)
{
	mt_sweep_t sweep = {engine, 0, 0};

	if (mt_engine_now(engine) - engine->last_sweep_at < SWEEP_INTERVAL_MS)
		return;
	engine->last_sweep_at = mt_engine_now(engine);
	mt_table_visit_over(engine->deps.table, SWEEP_MAX_VISITS, sweep_entry,
			    &sweep);
	if (sweep.n_swept || sweep.n_absent_cancels)
		mt_writer_commit(engine->writer, MT_WRITER_ALWAYS_RETRIES, NULL,
				 NULL);
}
