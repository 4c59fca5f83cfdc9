/** @file view.c Allocation of views and arithmetic on resources. */
#include "decide/view.h"

static void clear_run(gpointer data)
{
	mt_view_run_t *run = data;

	if (run->parts)
		g_array_unref(run->parts);
}

mt_view_t *mt_view_new(mt_ms_t now, const mt_policy_t *policy)
{
	mt_view_t *view = g_new0(mt_view_t, 1);

	view->now = now;
	view->policy = *policy;
	view->servers = g_array_new(FALSE, TRUE, sizeof(mt_view_server_t));
	view->accounts = g_array_new(FALSE, TRUE, sizeof(mt_view_account_t));
	view->runs = g_array_new(FALSE, TRUE, sizeof(mt_view_run_t));
	g_array_set_clear_func(view->runs, clear_run);
	view->waiting_jobs =
		g_array_new(FALSE, TRUE, sizeof(mt_view_waiting_job_t));
	return view;
}

void mt_view_free(mt_view_t *view)
{
	g_array_unref(view->servers);
	g_array_unref(view->accounts);
	g_array_unref(view->runs);
	g_array_unref(view->waiting_jobs);
	g_free(view);
}

mt_resources_t mt_shape_total(const mt_shape_t *shape)
{
	return (mt_resources_t){shape->each.processors * shape->members,
				shape->each.memory_mb * shape->members,
				shape->each.accelerators * shape->members};
}

mt_resources_t mt_resources_add(mt_resources_t a, mt_resources_t b)
{
	return (mt_resources_t){a.processors + b.processors,
				a.memory_mb + b.memory_mb,
				a.accelerators + b.accelerators};
}

static uint32_t subtract_or_zero(uint32_t a, uint32_t b)
{
	return a > b ? a - b : 0;
}

mt_resources_t mt_resources_subtract(mt_resources_t a, mt_resources_t b)
{
	return (mt_resources_t){
		subtract_or_zero(a.processors, b.processors),
		subtract_or_zero(a.memory_mb, b.memory_mb),
		subtract_or_zero(a.accelerators, b.accelerators)};
}

mt_resources_t mt_resources_min(mt_resources_t a, mt_resources_t b)
{
	return (mt_resources_t){MIN(a.processors, b.processors),
				MIN(a.memory_mb, b.memory_mb),
				MIN(a.accelerators, b.accelerators)};
}

bool mt_resources_within(mt_resources_t part, mt_resources_t whole)
{
	return part.processors <= whole.processors &&
	       part.memory_mb <= whole.memory_mb &&
	       part.accelerators <= whole.accelerators;
}
