/** @file guarantee.c Use of the guarantees, and capacity to reclaim. */
#include "decide/guarantee.h"

/**
 * Number of accelerators that must be adjacent if the guarantee sets none.
 * Assumes that a usual server has 8 accelerators.
 */
#define DEFAULT_BLOCK_ACCELERATORS 8u

/** A run or waiting job that a guarantee covers. */
typedef struct mt_guaranteed_job_t {
	/**
	 * Number of its accelerators. UINT32_MAX for a run that cannot be
	 * stopped: no job is larger, so mt_guarantee_covers() always counts it.
	 */
	uint32_t size;
	mt_resources_t resources; /**< the part that the guarantee covers */
} mt_guaranteed_job_t;

/** Index of a run or waiting job, for sorting. */
typedef struct mt_sort_entry_t {
	const mt_view_t *view;
	guint index;
} mt_sort_entry_t;

static uint32_t run_size(const mt_view_run_t *run)
{
	return mt_shape_total(&run->shape).accelerators;
}

/**
 * Sorts runs that cannot be stopped before the others. Within both groups the
 * oldest come first; where the policy prefers large jobs, the largest, and the
 * oldest among runs of one size.
 */
static gint compare_runs(gconstpointer a, gconstpointer b)
{
	const mt_sort_entry_t *x = a;
	const mt_sort_entry_t *y = b;
	const mt_view_run_t *p = mt_view_run(x->view, x->index);
	const mt_view_run_t *q = mt_view_run(y->view, y->index);

	if (p->stoppable != q->stoppable)
		return p->stoppable ? 1 : -1;
	if (mt_view_prefers_large_jobs(x->view) && run_size(p) != run_size(q))
		return run_size(p) > run_size(q) ? -1 : 1;
	if (p->started_at != q->started_at)
		return p->started_at < q->started_at ? -1 : 1;
	return x->index < y->index ? -1 : x->index > y->index;
}

static GArray *sort_runs(const mt_view_t *view)
{
	GArray *sorted = g_array_new(FALSE, FALSE, sizeof(mt_sort_entry_t));

	for (guint i = 0; i < view->runs->len; i++) {
		mt_sort_entry_t entry = {view, i};

		g_array_append_val(sorted, entry);
	}
	g_array_sort(sorted, compare_runs);
	return sorted;
}

/**
 * Counts `resources` of a run or waiting job as covered by the guarantee.
 * @param size see mt_guaranteed_job_t
 */
static void add_guaranteed_job(mt_account_usage_t *account_usage, uint32_t size,
			       mt_resources_t resources)
{
	mt_guaranteed_job_t covered = {size, resources};

	if (!account_usage->guaranteed_jobs)
		account_usage->guaranteed_jobs =
			g_array_new(FALSE, FALSE, sizeof(mt_guaranteed_job_t));
	g_array_append_val(account_usage->guaranteed_jobs, covered);
	account_usage->guaranteed =
		mt_resources_add(account_usage->guaranteed, resources);
}

/**
 * Adds the run to the usage of its account, and determines whether it is
 * guaranteed or its capacity reclaimable. Must be called in the order of
 * compare_runs().
 */
static void add_run(const mt_view_t *view, mt_guarantee_usage_t *usage,
		    guint index)
{
	const mt_view_run_t *run = mt_view_run(view, index);
	mt_account_usage_t *account_usage = &usage->per_account[run->account];
	mt_resources_t resources = mt_shape_total(&run->shape);
	mt_resources_t guarantee =
		mt_view_account(view, run->account)->guarantee;
	mt_resources_t left =
		mt_resources_subtract(guarantee, account_usage->guaranteed);

	account_usage->total =
		mt_resources_add(account_usage->total, resources);
	/* What an ending run used of the guarantee is left to later runs. */
	if (run->ending)
		usage->reclaimable[index] = true;
	else if (!run->stoppable)
		add_guaranteed_job(account_usage, UINT32_MAX,
				   mt_resources_min(resources, left));
	else if (mt_resources_within(resources, left))
		add_guaranteed_job(account_usage, resources.accelerators,
				   resources);
	else
		usage->reclaimable[index] = true;
}

mt_guarantee_usage_t mt_guarantee_usage_new(const mt_view_t *view)
{
	mt_guarantee_usage_t usage = {.n_accounts = view->accounts->len};
	GArray *sorted = sort_runs(view);

	usage.per_account = g_new0(mt_account_usage_t, view->accounts->len + 1);
	usage.reclaimable = g_new0(bool, view->runs->len + 1);
	for (guint i = 0; i < sorted->len; i++)
		add_run(view, &usage,
			g_array_index(sorted, mt_sort_entry_t, i).index);
	g_array_unref(sorted);
	return usage;
}

void mt_guarantee_usage_clear(mt_guarantee_usage_t *usage)
{
	for (guint i = 0; i < usage->n_accounts; i++)
		g_clear_pointer(&usage->per_account[i].guaranteed_jobs,
				g_array_unref);
	g_clear_pointer(&usage->per_account, g_free);
	g_clear_pointer(&usage->reclaimable, g_free);
	usage->n_accounts = 0;
}

bool mt_guarantee_covers(const mt_view_t *view,
			 const mt_guarantee_usage_t *usage, uint32_t account,
			 const mt_shape_t *shape)
{
	const mt_account_usage_t *account_usage = &usage->per_account[account];
	mt_resources_t sum = mt_shape_total(shape);
	uint32_t size = sum.accelerators;

	for (guint i = 0; account_usage->guaranteed_jobs &&
			  i < account_usage->guaranteed_jobs->len;
	     i++) {
		const mt_guaranteed_job_t *covered = &g_array_index(
			account_usage->guaranteed_jobs, mt_guaranteed_job_t, i);

		if (covered->size >= size || !mt_view_prefers_large_jobs(view))
			sum = mt_resources_add(sum, covered->resources);
	}
	return mt_resources_within(sum,
				   mt_view_account(view, account)->guarantee);
}

static gint compare_waiting_jobs(gconstpointer a, gconstpointer b)
{
	const mt_sort_entry_t *x = a;
	const mt_sort_entry_t *y = b;
	const mt_view_waiting_job_t *p = mt_view_waiting_job(x->view, x->index);
	const mt_view_waiting_job_t *q = mt_view_waiting_job(y->view, y->index);
	uint32_t p_size = mt_shape_total(&p->shape).accelerators;
	uint32_t q_size = mt_shape_total(&q->shape).accelerators;

	if (p_size != q_size)
		return p_size > q_size ? -1 : 1;
	if (p->waited_ms != q->waited_ms)
		return p->waited_ms > q->waited_ms ? -1 : 1;
	return x->index < y->index ? -1 : x->index > y->index;
}

bool *mt_guarantee_covered_jobs(const mt_view_t *view)
{
	mt_guarantee_usage_t usage = mt_guarantee_usage_new(view);
	GArray *sorted = g_array_new(FALSE, FALSE, sizeof(mt_sort_entry_t));
	bool *covered_jobs = g_new0(bool, view->waiting_jobs->len + 1);

	for (guint i = 0; i < view->waiting_jobs->len; i++) {
		mt_sort_entry_t entry = {view, i};

		g_array_append_val(sorted, entry);
	}
	g_array_sort(sorted, compare_waiting_jobs);
	for (guint i = 0; i < sorted->len; i++) {
		guint index = g_array_index(sorted, mt_sort_entry_t, i).index;
		const mt_view_waiting_job_t *job =
			mt_view_waiting_job(view, index);
		mt_resources_t resources = mt_shape_total(&job->shape);

		covered_jobs[index] = mt_guarantee_covers(
			view, &usage, job->account, &job->shape);
		if (covered_jobs[index])
			add_guaranteed_job(&usage.per_account[job->account],
					   resources.accelerators, resources);
	}
	g_array_unref(sorted);
	mt_guarantee_usage_clear(&usage);
	return covered_jobs;
}

bool mt_limit_allows(const mt_view_t *view, const mt_guarantee_usage_t *usage,
		     uint32_t account, const mt_shape_t *shape)
{
	mt_resources_t sum = mt_resources_add(usage->per_account[account].total,
					      mt_shape_total(shape));

	return mt_resources_within(sum, mt_view_account(view, account)->limit);
}

/**
 * Unused guaranteed accelerators that must be adjacent. Not to be confused with
 * mt_decision_t.largest_free_block.
 */
typedef struct mt_guarantee_block_t {
	uint32_t accelerators;
	mt_resources_t each; /**< resources per accelerator */
} mt_guarantee_block_t;

static gint compare_blocks(gconstpointer a, gconstpointer b)
{
	const mt_guarantee_block_t *x = a;
	const mt_guarantee_block_t *y = b;

	return x->accelerators > y->accelerators
		       ? -1
		       : x->accelerators < y->accelerators;
}

/** Splits an account's unused guarantee into guarantee blocks. */
static void add_blocks(GArray *blocks, const mt_view_account_t *account,
		       const mt_account_usage_t *account_usage)
{
	mt_resources_t unused = mt_resources_subtract(
		account->guarantee, account_usage->guaranteed);
	uint32_t left = unused.accelerators;
	uint32_t size = account->guarantee_adjacent;
	mt_guarantee_block_t block = {0};

	if (!left)
		return;
	if (!size)
		size = DEFAULT_BLOCK_ACCELERATORS;
	/* Every guaranteed accelerator has the same share of processors and
	 * memory, computed from the whole guarantee. Processors and memory that
	 * the accelerators in use do not need are not added to the shares of
	 * the unused ones. */
	block.each.accelerators = 1;
	block.each.processors =
		account->guarantee.processors / account->guarantee.accelerators;
	block.each.memory_mb =
		account->guarantee.memory_mb / account->guarantee.accelerators;
	while (left) {
		block.accelerators = MIN(size, left);
		left -= block.accelerators;
		g_array_append_val(blocks, block);
	}
}

uint32_t mt_guarantee_deficit(const mt_free_capacity_t *obtainable_capacity,
			      const mt_guarantee_usage_t *usage)
{
	const mt_view_t *view = obtainable_capacity->view;
	GArray *blocks =
		g_array_new(FALSE, FALSE, sizeof(mt_guarantee_block_t));
	mt_free_capacity_t left = mt_free_capacity_copy(obtainable_capacity);
	uint32_t deficit = 0;

	for (guint i = 0; i < view->accounts->len; i++)
		add_blocks(blocks, mt_view_account(view, i),
			   &usage->per_account[i]);
	g_array_sort(blocks, compare_blocks);
	for (guint i = 0; i < blocks->len; i++) {
		const mt_guarantee_block_t *block =
			&g_array_index(blocks, mt_guarantee_block_t, i);
		mt_shape_t shape = {block->accelerators, block->each};
		GArray *parts = mt_place(&left, &shape, NULL, MT_FIT_BEST);

		if (!parts) {
			deficit += block->accelerators;
			continue;
		}
		mt_free_capacity_allocate(&left, &shape, parts);
		g_array_unref(parts);
	}
	mt_free_capacity_clear(&left);
	g_array_unref(blocks);
	return deficit;
}

mt_free_capacity_t
mt_free_capacity_with_reclaimable(const mt_free_capacity_t *free_capacity,
				  const mt_guarantee_usage_t *usage)
{
	const mt_view_t *view = free_capacity->view;
	mt_free_capacity_t obtainable = mt_free_capacity_copy(free_capacity);

	for (guint i = 0; i < view->runs->len; i++) {
		const mt_view_run_t *run = mt_view_run(view, i);

		if (usage->reclaimable[i])
			mt_free_capacity_release(&obtainable, &run->shape,
						 run->parts);
	}
	return obtainable;
}
