/**
 * @file candidates.c Lists the steps that wait to start, in scheduling order.
 */
#include "dag/fast_share.h"
#include "dag/planner_internal.h"

/**
 * A service is contended when more than this share of its cores or accelerators
 * is in use.
 */
#define CONTENDED_SHARE 0.7

/**
 * A service is underused when less than this share of its cores and
 * accelerators is in use; an accelerator counts as MT_CORES_PER_GPU cores.
 */
#define UNDERUSED_SHARE 0.6

/**
 * On an underused service, a step of a job of which nothing runs is overdue
 * after waiting this long, and is no longer held back. It must not wait any
 * longer for room that is reserved for others, for room in a preferred rack, or
 * until servers are no longer suspect.
 */
#define OVERDUE_MS 1500u

/**
 * On a contended service, a task is started only if the probability that it
 * ends before it is preempted is at least this.
 */
#define SURVIVAL_PROBABILITY_MIN 0.85

/**
 * On a contended service, steps of jobs that can no longer meet their objective
 * come after the others of their priority, and so do those of accounts that use
 * more than their share. Once a job is late by this much, or a step has waited
 * this long, the usual order applies again, so that none waits for ever.
 */
#define DEFER_MAX_MS 30000u

/**
 * Where servers are uneven, a step gives way to those of accounts that use less
 * of the fast servers for this long at most. It is below the time within which
 * guaranteed jobs have to begin, see reclaim_ms.
 */
#define FAST_SHARE_WAIT_MAX_MS 1000u

/** Of the candidates of a limited pass, one in this many takes turns. */
#define TURNS_DIVISOR 4u

bool mt_planner_may_use(const mt_planner_t *planner,
			const mt_backend_t *backend)
{
	return backend->listed && !backend->info.draining &&
	       mt_backend_info_is_current(backend) &&
	       !mt_engine_is_evacuated(planner->engine, backend) &&
	       backend->hold_answered && !backend->n_failed_holds &&
	       backend->clock_known && planner->now >= backend->avoid_until &&
	       mt_shared_name_equal(backend->info.service, planner->service);
}

bool mt_planner_is_suspect(const mt_planner_t *planner,
			   const mt_backend_t *backend)
{
	return planner->now < backend->suspect_until;
}

bool mt_planner_is_cold(const mt_planner_t *planner,
			const mt_backend_t *backend)
{
	return planner->now < backend->cold_until;
}

/**
 * True if the service is contended. Only the servers on which any task may be
 * placed now are counted.
 */
static bool is_contended(const mt_planner_t *planner)
{
	GHashTableIter iter;
	gpointer value;
	double cpu_used = 0;
	double cpu_all = 0;
	double gpu_used = 0;
	double gpu_all = 0;

	g_hash_table_iter_init(&iter, planner->engine->backends);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_backend_t *backend = value;

		if (!mt_planner_may_use(planner, backend) ||
		    mt_planner_is_suspect(planner, backend))
			continue;
		cpu_used += backend->used.cpu_milli;
		cpu_all += backend->info.capacity.cpu_milli;
		gpu_used += backend->used.gpu;
		gpu_all += backend->info.capacity.gpu;
	}
	return cpu_used > CONTENDED_SHARE * cpu_all ||
	       gpu_used > CONTENDED_SHARE * gpu_all;
}

/** True if the service is underused. All its listed servers are counted. */
static bool is_underused(const mt_planner_t *planner)
{
	GHashTableIter iter;
	gpointer value;
	double used = 0;
	double all = 0;

	g_hash_table_iter_init(&iter, planner->engine->backends);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_backend_t *backend = value;

		if (!backend->listed ||
		    !mt_shared_name_equal(backend->info.service,
					  planner->service))
			continue;
		used += mt_dag_resources_cores(&backend->used);
		all += mt_dag_resources_cores(&backend->info.capacity);
	}
	return used < UNDERUSED_SHARE * all;
}

/**
 * Number of waiting tasks that may start now; 0 for a gang unless all of its
 * tasks wait.
 */
static uint32_t count_waiting(const mt_dag_step_t *step)
{
	if (step->spec->gang && step->n_waiting < step->spec->count)
		return 0;
	return step->n_waiting;
}

/**
 * True if the step's start time has come. `start_time_max_ms` is the present
 * time plus mt_engine_timing_t.start_early_ms, which is always 0.
 */
static bool is_due(const mt_planner_t *planner, const mt_dag_step_t *step)
{
	return mt_dag_step_earliest_start(step) <= planner->start_time_max_ms;
}

/**
 * Latest local time at which the unfinished steps should start, so that the job
 * meets its objective (mt_dag_job_objective_ms()) by the estimates:
 *   known_since + L * slack_factor + objective_extra_ms - L
 * L is the critical path of the unfinished steps. The objective itself uses the
 * critical path of all steps, which L equals while no step is done. As steps
 * get done, L shrinks, and the result is earlier than the objective requires.
 */
static int64_t latest_start(mt_dag_job_t *job)
{
	uint32_t path_left_ms = mt_dag_job_critical_path_left_ms(job);

	return (int64_t)job->known_since +
	       (int64_t)(path_left_ms * job->queue.slack_factor) +
	       job->queue.objective_extra_ms - path_left_ms;
}

/**
 * False for a step whose tasks would probably be preempted before they end, so
 * that their work would be lost. Always true if the service is not contended,
 * and for tasks that write checkpoints, long-running tasks (`lasting`) and
 * tasks of priority 0.
 */
static bool is_worth_starting(const mt_planner_t *planner,
			      const mt_dag_step_t *step)
{
	const mt_dag_job_t *job = step->job;

	if (!planner->contended || step->spec->checkpointing ||
	    step->spec->lasting || !job->queue.priority)
		return true;
	return mt_survival_probability(&planner->engine->survival,
				       job->queue.priority,
				       step->spec->estimate_ms / 1000.0) >=
	       SURVIVAL_PROBABILITY_MIN;
}

/**
 * True if the step is held back, as it is not worth starting. Not for long
 * while nothing of its job runs and the service is underused: one of its
 * resources may be scarce then, but most of the room is idle.
 */
static bool is_held_back(const mt_planner_t *planner, mt_dag_step_t *step)
{
	if (is_worth_starting(planner, step)) {
		step->held_back_since = 0;
		return false;
	}
	if (!step->held_back_since)
		step->held_back_since = planner->now;
	return !planner->underused || step->job->n_placed ||
	       planner->now - step->held_back_since <= OVERDUE_MS;
}

/**
 * True if the job would miss its objective even if it started now, but by no
 * more than DEFER_MAX_MS: later jobs come in the usual order again.
 */
static bool is_late(const mt_planner_t *planner, mt_dag_job_t *job)
{
	mt_ms_t deadline = job->known_since + mt_dag_job_objective_ms(job);
	mt_ms_t end = planner->now + mt_dag_job_critical_path_left_ms(job);

	return end > deadline && end - deadline <= DEFER_MAX_MS;
}

static bool is_over_share(const mt_planner_t *planner, const mt_dag_job_t *job)
{
	const double *cores =
		g_hash_table_lookup(planner->account_use, job->spec->account);

	return cores && *cores > planner->even_share_cores;
}

/** Marks a step that comes after others of its priority. */
static void defer_if_contended(const mt_planner_t *planner,
			       mt_candidate_step_t *candidate)
{
	mt_dag_job_t *job = candidate->step->job;

	if (!planner->account_use || candidate->guaranteed)
		return;
	candidate->late = is_late(planner, job);
	candidate->over_share = candidate->waited_ms <= DEFER_MAX_MS &&
				is_over_share(planner, job);
}

/**
 * The waiting steps of a job, counted by their index: the steps with the same
 * index in different occurrences have the same needs.
 */
typedef struct mt_step_counts_t {
	mt_dag_job_t *job;
	uint32_t *n_waiting; /**< by index of the step */
} mt_step_counts_t;

/** Adds a step that has waiting tasks which may start now. */
static void add_candidate(mt_planner_t *planner, mt_dag_step_t *step,
			  uint32_t count)
{
	mt_candidate_step_t candidate = {.step = step, .count = count};
	mt_dag_job_t *job = step->job;

	mt_dag_step_find_names(step);
	if (is_held_back(planner, step)) {
		planner->n_held_back++;
		return;
	}
	candidate.guaranteed = g_hash_table_contains(planner->guaranteed, job);
	candidate.latest_start_ms = latest_start(job);
	if (!step->waiting_since)
		step->waiting_since = planner->now;
	candidate.waited_ms = planner->now - step->waiting_since;
	candidate.overdue = planner->underused &&
			    candidate.waited_ms > OVERDUE_MS && !job->n_placed;
	defer_if_contended(planner, &candidate);
	g_array_append_val(planner->candidates, candidate);
}

/**
 * Adds the ready steps from index `first` of job->ready_steps on, up to
 * job->waiting_max of each step of the job.
 */
static void add_ready_steps(mt_planner_t *planner, mt_step_counts_t *counts,
			    guint first)
{
	mt_dag_job_t *job = counts->job;

	for (guint i = first; i < job->ready_steps->len; i++) {
		mt_dag_step_t *step = job->ready_steps->pdata[i];
		uint32_t count = count_waiting(step);

		planner->n_steps_visited++;
		if (!count || !is_due(planner, step))
			continue;
		if (counts->n_waiting[step->index]++ < job->waiting_max)
			add_candidate(planner, step, count);
	}
}

/** True if the next occurrence may add a candidate. */
static bool needs_occurrence(const mt_step_counts_t *counts)
{
	for (size_t i = 0; i < counts->job->spec->n_steps; i++) {
		if (!counts->job->spec->steps[i]->n_after &&
		    counts->n_waiting[i] < counts->job->waiting_max)
			return true;
	}
	return false;
}

/**
 * Adds the steps of the job that have waiting tasks which may start now. Opens
 * only as many occurrences as may add some.
 */
static void add_steps(mt_planner_t *planner, mt_dag_job_t *job)
{
	uint32_t n_due =
		mt_dag_job_n_due_unopened(job, planner->start_time_max_ms);
	mt_step_counts_t counts;

	if (!job->ready_steps->len && !n_due)
		return;
	counts = (mt_step_counts_t){job, g_new0(uint32_t, job->spec->n_steps)};
	add_ready_steps(planner, &counts, 0);
	while (n_due-- && needs_occurrence(&counts)) {
		guint first = job->ready_steps->len;

		mt_dag_job_open_next(job);
		add_ready_steps(planner, &counts, first);
	}
	g_free(counts.n_waiting);
}

/**
 * Sorts guaranteed jobs first, then by priority, then by `late` and
 * `over_share`, then by `fast_level`, then by latest start.
 */
static gint compare_candidates(gconstpointer a, gconstpointer b)
{
	const mt_candidate_step_t *x = a;
	const mt_candidate_step_t *y = b;
	uint32_t px = x->step->job->queue.priority;
	uint32_t py = y->step->job->queue.priority;

	if (x->guaranteed != y->guaranteed)
		return x->guaranteed ? -1 : 1;
	if (px != py)
		return px < py ? -1 : 1;
	if (x->late != y->late)
		return x->late ? 1 : -1;
	if (x->over_share != y->over_share)
		return x->over_share ? 1 : -1;
	if (x->fast_level != y->fast_level)
		return x->fast_level < y->fast_level ? -1 : 1;
	if (x->latest_start_ms != y->latest_start_ms)
		return x->latest_start_ms < y->latest_start_ms ? -1 : 1;
	if (x->step->job->id != y->step->job->id)
		return x->step->job->id < y->step->job->id ? -1 : 1;
	return mt_dag_step_number(x->step) < mt_dag_step_number(y->step) ? -1
									 : 1;
}

/**
 * Finds what the accounts use and their even share, if load is to be shed and
 * the service is contended.
 */
static void find_account_use(mt_planner_t *planner)
{
	GHashTableIter iter;
	gpointer value;

	if (!planner->contended || !planner->engine->deps.sheds_load)
		return;
	planner->account_use =
		mt_account_use_find(planner->engine, planner->service);
	g_hash_table_iter_init(&iter, planner->account_use);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		planner->even_share_cores +=
			*(const double *)value /
			g_hash_table_size(planner->account_use);
}

/** Adds the capacity of a server and the tasks that run there. */
static void add_fast_use(mt_fast_share_t *share, const mt_engine_t *engine,
			 const mt_backend_t *backend)
{
	double speed =
		mt_speed_model_speed(engine->speeds, backend->info.target.id);

	mt_fast_share_add_server(
		share, speed, mt_dag_resources_cores(&backend->info.capacity));
	for (guint i = 0; i < backend->tasks->len; i++) {
		const mt_dag_task_t *task = backend->tasks->pdata[i];

		if (!task->stop_wanted)
			mt_fast_share_add_task(
				share, task->step->job->spec->account, speed,
				mt_dag_step_cores(task->step));
	}
}

/** Finds what the accounts with running or waiting steps use. */
static mt_fast_share_t *find_fast_share(const mt_planner_t *planner)
{
	mt_fast_share_t *share = mt_fast_share_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, planner->engine->backends);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_backend_t *backend = value;

		if (backend->listed &&
		    mt_shared_name_equal(backend->info.service,
					 planner->service))
			add_fast_use(share, planner->engine, backend);
	}
	for (guint i = 0; i < planner->candidates->len; i++)
		mt_fast_share_add_account(share,
					  g_array_index(planner->candidates,
							mt_candidate_step_t, i)
						  .step->job->spec->account);
	mt_fast_share_rank(share);
	return share;
}

/** True if the step can still begin early enough after giving way to others. */
static bool may_give_way(const mt_planner_t *planner,
			 const mt_candidate_step_t *candidate)
{
	return candidate->waited_ms <= FAST_SHARE_WAIT_MAX_MS &&
	       (int64_t)planner->now < candidate->latest_start_ms;
}

/** Sets `fast_level` of the candidates, if the servers are uneven. */
static void share_fast_servers(mt_planner_t *planner)
{
	mt_kernel_t *kernel = planner->engine->deps.kernel;
	mt_fast_share_t *share;

	if (planner->candidates->len < 2 ||
	    !mt_speed_model_is_uneven(planner->engine->speeds))
		return;
	share = find_fast_share(planner);
	for (guint i = 0; i < planner->candidates->len; i++) {
		mt_candidate_step_t *candidate = &g_array_index(
			planner->candidates, mt_candidate_step_t, i);

		if (may_give_way(planner, candidate))
			candidate->fast_level = mt_fast_share_level(
				share, candidate->step->job->spec->account);
		if (candidate->fast_level)
			++*mt_kernel_counter(kernel, "fast_share_waits_total");
	}
	mt_fast_share_free(share);
}

/**
 * Leaves out candidates beyond the limit of a pass. Most of those that are kept
 * are the first ones; the others take turns, so that none is left out for ever.
 */
static void limit_candidates(mt_planner_t *planner)
{
	mt_engine_t *engine = planner->engine;
	GArray *all = planner->candidates;
	guint max = engine->pass_pace.candidates_max;
	guint n_turns = max / TURNS_DIVISOR;
	guint n_first = max - n_turns;
	GArray *kept;

	if (all->len <= max)
		return;
	kept = g_array_sized_new(FALSE, FALSE, sizeof(mt_candidate_step_t),
				 max);
	g_array_append_vals(kept, all->data, n_first);
	for (guint i = 0; i < n_turns; i++) {
		guint turn = engine->candidates_turn++ % (all->len - n_first);

		g_array_append_val(kept, g_array_index(all, mt_candidate_step_t,
						       n_first + turn));
	}
	mt_kernel_count(engine->deps.kernel, "passes_limited_total");
	g_array_unref(all);
	planner->candidates = kept;
}

void mt_candidates_collect(mt_planner_t *planner)
{
	const GPtrArray *awake = planner->engine->wakeups.awake;

	planner->contended = is_contended(planner);
	planner->underused = is_underused(planner);
	find_account_use(planner);
	for (guint i = 0; i < awake->len; i++) {
		mt_dag_job_t *job = awake->pdata[i];

		if (!mt_state_is_final(job->state) && !job->cancelled &&
		    mt_shared_name_equal(job->queue.service, planner->service))
			add_steps(planner, job);
	}
	share_fast_servers(planner);
	g_array_sort(planner->candidates, compare_candidates);
	limit_candidates(planner);
}
