/** @file admission.c Decides whether new jobs are accepted. */
#include "dag/admission.h"

#include <string.h>

#include "dag/load_summary.h"

/**
 * A job is refused if it is expected to start later than this multiple of its
 * objective: its result is then of no use to the client.
 */
#define USEFUL_OBJECTIVES 3u

/**
 * The rate at which work drains is taken to be at least this share of the
 * capacity. It is low while long tasks run of which none has ended yet.
 */
#define DRAIN_SHARE_MIN 0.1

/**
 * Share of the waiting work of the same priority that is counted for a job
 * whose account uses no more than an even share: the plan places its steps
 * before those of the accounts that use more.
 */
#define AHEAD_SHARE_UNDER_SHARE 0.5

#define MS_PER_S 1000u

static bool may_be_guaranteed(const mt_admission_job_t *job)
{
	return !job->priority && job->guaranteed_gpu &&
	       job->gpu_wanted <= job->guaranteed_gpu;
}

/**
 * True if the account uses at least the mean of what those accounts use that
 * use more than their guarantees. An account that is not listed uses less.
 */
static bool is_over_share(const MtDag__Pressure *pressure, const char *account)
{
	uint64_t sum = 0;
	uint64_t own = 0;

	for (size_t i = 0; i < pressure->n_accounts; i++) {
		const MtDag__AccountLoad *load = pressure->accounts[i];

		sum += load->borrowed_millicores;
		if (!strcmp(load->account, account))
			own = load->borrowed_millicores;
	}
	return own && own * pressure->n_accounts >= sum;
}

/** Waiting work that is placed before the job, in core-milliseconds. */
static double work_ahead(const MtDag__Pressure *pressure,
			 const mt_admission_job_t *job, bool over_share)
{
	double ahead = 0;

	for (size_t i = 0; i < pressure->n_loads; i++) {
		const MtDag__PriorityLoad *load = pressure->loads[i];

		if (load->priority < job->priority)
			ahead += (double)load->waiting_core_ms;
		else if (load->priority == job->priority)
			ahead += (double)load->waiting_core_ms *
				 (over_share ? 1 : AHEAD_SHARE_UNDER_SHARE);
	}
	return ahead;
}

/**
 * Rate, in cores, at which the work ahead of the job drains. Capacity that is
 * released goes to the highest priority first. The rate at which work of
 * higher priorities was completed is assumed to be also that at which more of
 * it arrives.
 */
static double drain_cores(const MtDag__Pressure *pressure, uint32_t priority)
{
	double cores = 0;
	double least = (double)pressure->capacity_millicores / 1000.0 *
		       DRAIN_SHARE_MIN;

	for (size_t i = 0; i < pressure->n_loads; i++) {
		const MtDag__PriorityLoad *load = pressure->loads[i];

		if (load->priority >= priority)
			cores += (double)load->drained_core_ms_per_s / MS_PER_S;
	}
	return MAX(cores, least);
}

/** Expected time in ms until the whole job could be started. */
static double expected_wait_ms(const MtDag__Pressure *pressure,
			       const mt_admission_job_t *job, bool over_share)
{
	double capacity = (double)pressure->capacity_millicores / 1000.0;
	double ahead = work_ahead(pressure, job, over_share);

	/* Without work ahead, it starts however large it is. */
	if (ahead <= 0 || capacity <= 0)
		return 0;
	return ahead / drain_cores(pressure, job->priority) +
	       (double)job->work_core_ms / capacity;
}

/** Spreads ids evenly, also if clients count them up (finalizer of
 * SplitMix64). */
static uint64_t spread_id(uint64_t id)
{
	id = (id ^ (id >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	id = (id ^ (id >> 27)) * UINT64_C(0x94d049bb133111eb);
	return id ^ (id >> 31);
}

/**
 * Retry-After of a refused job: between the time at which the queue will have
 * drained far enough for it, and twice that time, so that refused clients do
 * not return together.
 */
static unsigned retry_after_s(uint64_t id, double excess_ms)
{
	double seconds = excess_ms / MS_PER_S;
	unsigned first = MT_RETRY_AFTER_MAX_S / 2;
	unsigned last;

	if (seconds < first)
		first = MAX(MT_RETRY_AFTER_MIN_S, (unsigned)seconds + 1);
	last = MIN(2 * first, MT_RETRY_AFTER_MAX_S);
	return first + (unsigned)(spread_id(id) % (last - first + 1));
}

mt_admission_t mt_admission_decide(const MtDag__Pressure *pressure,
				   mt_ms_t age_ms,
				   const mt_admission_job_t *job)
{
	mt_admission_t admission = {true, MT_ADMISSION_NO_PRESSURE, 0, 0};
	double useful_ms = (double)USEFUL_OBJECTIVES * job->objective_ms;
	double wait_ms;
	bool over_share;

	if (!pressure || age_ms > MT_PRESSURE_AGE_MAX_MS)
		return admission;
	admission.reason = MT_ADMISSION_GUARANTEED;
	if (may_be_guaranteed(job))
		return admission;
	over_share = is_over_share(pressure, job->account);
	wait_ms = expected_wait_ms(pressure, job, over_share);
	admission.wait_ms = (mt_ms_t)MIN(wait_ms, (double)G_MAXINT32);
	admission.reason = MT_ADMISSION_IN_TIME;
	if (wait_ms <= useful_ms)
		return admission;
	admission.accepted = false;
	admission.reason =
		over_share ? MT_ADMISSION_OVER_SHARE : MT_ADMISSION_TOO_LATE;
	admission.retry_after_s = retry_after_s(job->id, wait_ms - useful_ms);
	return admission;
}

/** Work of all tasks of one occurrence of a step, in core-milliseconds. */
static uint64_t step_work(const MtDag__Step *step)
{
	mt_dag_resources_t need = {step->cpu_milli, step->mem_mb, step->gpu};

	return (uint64_t)(mt_dag_resources_cores(&need) * step->estimate_ms) *
	       step->count;
}

mt_admission_job_t mt_admission_job(const MtDag__Job *spec,
				    const mt_client_account_t *account)
{
	mt_admission_job_t job = {0};
	uint64_t gpu_wanted = 0;
	uint64_t *path_ms = g_new0(uint64_t, spec->n_steps + 1);
	uint64_t critical_path_ms = 0;

	for (size_t i = 0; i < spec->n_steps; i++) {
		const MtDag__Step *step = spec->steps[i];

		job.work_core_ms += step_work(step);
		gpu_wanted = MAX(gpu_wanted, (uint64_t)step->count * step->gpu);
		for (size_t k = 0; k < step->n_after; k++) {
			if (step->after[k] < i)
				path_ms[i] = MAX(path_ms[i],
						 path_ms[step->after[k]]);
		}
		path_ms[i] += step->estimate_ms;
		critical_path_ms = MAX(critical_path_ms, path_ms[i]);
	}
	g_free(path_ms);
	job.id = spec->id;
	job.priority = MIN(spec->priority, MT_LOAD_PRIORITY_MAX);
	job.objective_ms =
		(uint32_t)MIN(critical_path_ms * spec->slack_permille / 1000 +
				      spec->target_ms,
			      UINT32_MAX);
	job.gpu_wanted = (uint32_t)MIN(gpu_wanted, UINT32_MAX);
	job.guaranteed_gpu = account ? account->guaranteed_gpu : 0;
	job.account = spec->account;
	return job;
}

const char *mt_admission_reason_name(mt_admission_reason_t reason)
{
	switch (reason) {
	case MT_ADMISSION_GUARANTEED:
		return "guaranteed";
	case MT_ADMISSION_IN_TIME:
		return "in_time";
	case MT_ADMISSION_TOO_LATE:
		return "too_late";
	case MT_ADMISSION_OVER_SHARE:
		return "over_share";
	case MT_ADMISSION_REFUSED_BEFORE:
		return "refused_before";
	default:
		return "no_pressure";
	}
}
