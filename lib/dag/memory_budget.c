/** @file memory_budget.c Bounds the memory of accepted jobs. */
#include "dag/memory_budget.h"

#include "dag/job_model.h"

#define BYTES_PER_MB (1024u * 1024u)

/** Part of the memory of the smallest host that jobs may use. */
#define JOBS_DIVISOR 4u

/** Part of the budget that is kept for jobs of priority 0. */
#define TOP_PRIORITY_DIVISOR 4u

/**
 * A host accepts at most this part of what is left for it between two leader
 * records.
 */
#define HOST_SHARE_DIVISOR 2u

/** A single job may need this part of what is left, whatever the share is. */
#define SINGLE_JOB_DIVISOR 8u

/** An unpacked step, with its strings and the allocator's overhead. */
#define UNPACKED_STEP_BYTES 384u

#define RETRY_AFTER_MIN_S 5u
#define RETRY_AFTER_RANGE_S 10u

/** Occurrences that may be open while nothing of them runs. */
static size_t waiting_occurrences(const MtDag__Job *spec)
{
	return MIN(MAX(1, spec->repeat), mt_dag_spec_waiting_max(spec));
}

size_t mt_memory_budget_job_bytes(const MtDag__Job *spec, size_t record_bytes)
{
	size_t state = sizeof(mt_dag_occurrence_t) +
		       spec->n_steps * sizeof(mt_dag_slot_t) +
		       mt_dag_spec_n_first_steps(spec) * sizeof(mt_dag_step_t);

	return MT_MEMORY_BUDGET_ENTRY_BYTES + sizeof(mt_dag_job_t) +
	       2 * record_bytes + spec->n_steps * UNPACKED_STEP_BYTES +
	       waiting_occurrences(spec) * state;
}

uint64_t mt_memory_budget_max_bytes(const mt_memory_budget_t *budget)
{
	uint64_t mb = MIN(budget->smallest_host_mb, MT_MEMORY_BUDGET_HOST_MB);

	return mb * BYTES_PER_MB / JOBS_DIVISOR;
}

void mt_memory_budget_on_host(mt_memory_budget_t *budget, uint32_t memory_mb,
			      unsigned n_hosts)
{
	budget->n_hosts = n_hosts;
	if (memory_mb &&
	    (!budget->smallest_host_mb || memory_mb < budget->smallest_host_mb))
		budget->smallest_host_mb = memory_mb;
}

void mt_memory_budget_on_leader(mt_memory_budget_t *budget, uint64_t jobs_bytes)
{
	if (jobs_bytes)
		budget->leader_bytes = jobs_bytes;
	budget->accepted_before_bytes = budget->accepted_bytes;
	budget->accepted_bytes = 0;
}

bool mt_memory_budget_allows(const mt_memory_budget_t *budget, size_t job_bytes,
			     uint32_t priority, uint64_t table_bytes)
{
	uint64_t max = mt_memory_budget_max_bytes(budget);
	uint64_t own = budget->accepted_bytes + budget->accepted_before_bytes;
	uint64_t used = MAX(budget->leader_bytes, table_bytes) + own;
	uint64_t share;

	if (!max)
		return true;
	if (priority)
		max -= max / TOP_PRIORITY_DIVISOR;
	if (used + job_bytes > max)
		return false;
	share = (max - used) / (HOST_SHARE_DIVISOR * MAX(1, budget->n_hosts));
	return own + job_bytes <= share ||
	       (!own && job_bytes <= (max - used) / SINGLE_JOB_DIVISOR);
}

void mt_memory_budget_note_accepted(mt_memory_budget_t *budget,
				    size_t job_bytes)
{
	budget->accepted_bytes += job_bytes;
}

unsigned mt_memory_budget_retry_after_s(uint64_t job)
{
	return RETRY_AFTER_MIN_S + (unsigned)(job % RETRY_AFTER_RANGE_S);
}
