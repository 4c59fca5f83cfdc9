/**
 * @file memory_budget.h
 * Bounds the memory of accepted jobs. Any host may have to lead, and then keeps
 * the record and the state of each unfinished job. So the smallest host decides
 * how many jobs all hosts together accept: a job beyond that is refused before
 * it is stored.
 *
 * The leader tells in its record how much memory the jobs in its table need.
 * Each host adds what it has accepted since. Performs no I/O.
 */
#ifndef MT_DAG_MEMORY_BUDGET_H
#define MT_DAG_MEMORY_BUDGET_H

#include <stdbool.h>

#include "dag/dag.pb-c.h"
#include "kernel/timers.h"

/** Host sizes above this do not raise the budget: a host of this size may still
 * be added, and lead. */
#define MT_MEMORY_BUDGET_HOST_MB 120u

/** Memory of an entry of the table of jobs, besides its records. */
#define MT_MEMORY_BUDGET_ENTRY_BYTES 512u

typedef struct mt_memory_budget_t {
	/** Memory of the smallest known host; 0: none is known, and there is no
	 * limit. */
	uint32_t smallest_host_mb;
	unsigned n_hosts;      /**< number of known hosts */
	uint64_t leader_bytes; /**< of the jobs, by the newest leader record */
	/** Of the jobs that this host has accepted since the newest leader
	 * record was read. */
	uint64_t accepted_bytes;
	/** The same, between the leader record before and the newest one, which
	 * may not count them yet. */
	uint64_t accepted_before_bytes;
} mt_memory_budget_t;

/**
 * Memory that a host needs for an unfinished job while it leads: its record in
 * the table, its model, and the occurrences that may wait at the same time. The
 * states of running tasks are not counted: the servers bound their number.
 */
size_t mt_memory_budget_job_bytes(const MtDag__Job *spec, size_t record_bytes);

/** Memory that all jobs together may need; 0: no limit. */
uint64_t mt_memory_budget_max_bytes(const mt_memory_budget_t *budget);

/**
 * To be called for each host record.
 * @param memory_mb memory of the host; 0: not known
 * @param n_hosts number of different hosts so far
 */
void mt_memory_budget_on_host(mt_memory_budget_t *budget, uint32_t memory_mb,
			      unsigned n_hosts);

/**
 * To be called for each leader record, also for one of this host.
 * @param jobs_bytes see MtDag__Leader; 0: the record does not tell
 */
void mt_memory_budget_on_leader(mt_memory_budget_t *budget,
				uint64_t jobs_bytes);

/**
 * Decides whether a job may be accepted. The last part of the budget is kept
 * for jobs of priority 0, and no host takes more than a share of what is left
 * between two leader records, as the others accept jobs at the same time.
 * @param table_bytes of the jobs in this host's table; 0: it has none
 */
bool mt_memory_budget_allows(const mt_memory_budget_t *budget, size_t job_bytes,
			     uint32_t priority, uint64_t table_bytes);

/** To be called for each job that this host is about to store. */
void mt_memory_budget_note_accepted(mt_memory_budget_t *budget,
				    size_t job_bytes);

/** Retry-After of a job that is refused for want of memory, in seconds. */
unsigned mt_memory_budget_retry_after_s(uint64_t job);

#endif
