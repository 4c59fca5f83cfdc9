/** @file guarantee.c Guarantees and what may be reclaimed for them. */
#include "decide/guarantee.h"

/** Block size where a guarantee names none: the accelerators of a server. */
#define DEFAULT_BLOCK_ACCELERATORS 8u

/** One run's part of the guarantee in use. */
typedef struct mt_step_t {
	uint32_t size; /**< of the run, in accelerators */
	mt_resources_t amounts;
} mt_step_t;

/** A run or a wait that is being sorted. */
typedef struct mt_order_t {
	const mt_view_t *view;
	guint index;
} mt_order_t;

static uint32_t run_size(const mt_view_run_t *run)
{
	return mt_shape_total(&run->shape).accelerators;
}

/**
 * Runs that cannot be stopped come first, then the oldest; where shapes are
 * preferred, the largest before the oldest.
 */
static gint compare_runs(gconstpointer a, gconstpointer b)
{
	const mt_order_t *x = a;
	const mt_order_t *y = b;
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

static GArray *order_runs(const mt_view_t *view)
{
	GArray *order = g_array_new(FALSE, FALSE, sizeof(mt_order_t));

	for (guint i = 0; i < view->runs->len; i++) {
		mt_order_t entry = {view, i};

		g_array_append_val(order, entry);
	}
	g_array_sort(order, compare_runs);
	return order;
}

/** Notes that a run of this size is part of the guarantee in use. */
static void add_step(mt_account_usage_t *use, uint32_t size,
		     mt_resources_t amounts)
{
	mt_step_t step = {size, amounts};

	if (!use->steps)
		use->steps = g_array_new(FALSE, FALSE, sizeof(mt_step_t));
	g_array_append_val(use->steps, step);
	use->guaranteed = mt_resources_add(use->guaranteed, amounts);
}

/** Places one run; the order of the calls is that of compare_runs(). */
static void place_run(const mt_view_t *view, mt_guarantee_usage_t *standing,
		      guint index)
{
	const mt_view_run_t *run = mt_view_run(view, index);
	mt_account_usage_t *use = &standing->uses[run->account];
	mt_resources_t amounts = mt_shape_total(&run->shape);
	mt_resources_t most = mt_view_account(view, run->account)->guarantee;
	mt_resources_t left = mt_resources_subtract(most, use->guaranteed);

	use->total = mt_resources_add(use->total, amounts);
	/* A run that stops leaves its guarantee to the next one. */
	if (run->stopping)
		standing->reclaimable[index] = true;
	else if (!run->stoppable)
		add_step(use, UINT32_MAX, mt_resources_min(amounts, left));
	else if (mt_resources_within(amounts, left))
		add_step(use, amounts.accelerators, amounts);
	else
		standing->reclaimable[index] = true;
}

mt_guarantee_usage_t mt_guarantee_usage_new(const mt_view_t *view)
{
	mt_guarantee_usage_t standing = {.accounts = view->accounts->len};
	GArray *order = order_runs(view);

	standing.uses = g_new0(mt_account_usage_t, view->accounts->len + 1);
	standing.reclaimable = g_new0(bool, view->runs->len + 1);
	for (guint i = 0; i < order->len; i++)
		place_run(view, &standing,
			  g_array_index(order, mt_order_t, i).index);
	g_array_unref(order);
	return standing;
}

void mt_guarantee_usage_clear(mt_guarantee_usage_t *standing)
{
	for (guint i = 0; i < standing->accounts; i++)
		g_clear_pointer(&standing->uses[i].steps, g_array_unref);
	g_clear_pointer(&standing->uses, g_free);
	g_clear_pointer(&standing->reclaimable, g_free);
	standing->accounts = 0;
}

bool mt_guarantee_covers(const mt_view_t *view,
			 const mt_guarantee_usage_t *standing, uint32_t account,
			 const mt_shape_t *more)
{
	const mt_account_usage_t *use = &standing->uses[account];
	mt_resources_t sum = mt_shape_total(more);
	uint32_t size = sum.accelerators;

	for (guint i = 0; use->steps && i < use->steps->len; i++) {
		const mt_step_t *step =
			&g_array_index(use->steps, mt_step_t, i);

		if (step->size >= size || !mt_view_prefers_large_jobs(view))
			sum = mt_resources_add(sum, step->amounts);
	}
	return mt_resources_within(sum,
				   mt_view_account(view, account)->guarantee);
}

static gint compare_waits(gconstpointer a, gconstpointer b)
{
	const mt_order_t *x = a;
	const mt_order_t *y = b;
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

bool *mt_guarantee_entitled(const mt_view_t *view)
{
	mt_guarantee_usage_t standing = mt_guarantee_usage_new(view);
	GArray *order = g_array_new(FALSE, FALSE, sizeof(mt_order_t));
	bool *entitled = g_new0(bool, view->waiting_jobs->len + 1);

	for (guint i = 0; i < view->waiting_jobs->len; i++) {
		mt_order_t entry = {view, i};

		g_array_append_val(order, entry);
	}
	g_array_sort(order, compare_waits);
	for (guint i = 0; i < order->len; i++) {
		guint index = g_array_index(order, mt_order_t, i).index;
		const mt_view_waiting_job_t *wait =
			mt_view_waiting_job(view, index);
		mt_resources_t amounts = mt_shape_total(&wait->shape);

		entitled[index] = mt_guarantee_covers(
			view, &standing, wait->account, &wait->shape);
		if (entitled[index])
			add_step(&standing.uses[wait->account],
				 amounts.accelerators, amounts);
	}
	g_array_unref(order);
	mt_guarantee_usage_clear(&standing);
	return entitled;
}

bool mt_limit_allows(const mt_view_t *view,
		     const mt_guarantee_usage_t *standing, uint32_t account,
		     const mt_shape_t *more)
{
	mt_resources_t sum = mt_resources_add(standing->uses[account].total,
					      mt_shape_total(more));

	return mt_resources_within(sum, mt_view_account(view, account)->limit);
}

/** Block of guaranteed accelerators that still has to find room. */
typedef struct mt_block_t {
	uint32_t accelerators;
	mt_resources_t each;
} mt_block_t;

static gint compare_blocks(gconstpointer a, gconstpointer b)
{
	const mt_block_t *x = a;
	const mt_block_t *y = b;

	return x->accelerators > y->accelerators
		       ? -1
		       : x->accelerators < y->accelerators;
}

/** Splits an account's unused guarantee into blocks. */
static void add_blocks(GArray *blocks, const mt_view_account_t *account,
		       const mt_account_usage_t *use)
{
	mt_resources_t unused =
		mt_resources_subtract(account->guarantee, use->guaranteed);
	uint32_t left = unused.accelerators;
	uint32_t size = account->guarantee_block;
	mt_block_t block = {0};

	if (!left)
		return;
	if (!size)
		size = DEFAULT_BLOCK_ACCELERATORS;
	/* The guaranteed shape has the same share beside each accelerator;
	 * what used accelerators left of theirs does not add to the rest. */
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

uint32_t mt_guarantee_deficit(const mt_free_capacity_t *rooms,
			      const mt_guarantee_usage_t *standing)
{
	const mt_view_t *view = rooms->view;
	GArray *blocks = g_array_new(FALSE, FALSE, sizeof(mt_block_t));
	mt_free_capacity_t left = mt_free_capacity_copy(rooms);
	uint32_t deficit = 0;

	for (guint i = 0; i < view->accounts->len; i++)
		add_blocks(blocks, mt_view_account(view, i),
			   &standing->uses[i]);
	g_array_sort(blocks, compare_blocks);
	for (guint i = 0; i < blocks->len; i++) {
		const mt_block_t *block = &g_array_index(blocks, mt_block_t, i);
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
mt_free_capacity_with_reclaimable(const mt_free_capacity_t *free_rooms,
				  const mt_guarantee_usage_t *standing)
{
	const mt_view_t *view = free_rooms->view;
	mt_free_capacity_t rooms = mt_free_capacity_copy(free_rooms);

	for (guint i = 0; i < view->runs->len; i++) {
		const mt_view_run_t *run = mt_view_run(view, i);

		if (standing->reclaimable[i])
			mt_free_capacity_release(&rooms, &run->shape,
						 run->parts);
	}
	return rooms;
}
