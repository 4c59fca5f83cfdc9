/** @file planner_feasibility.c Tells whether a job can ever run. */
#include <string.h>

#include "node/planner_internal.h"

/** View of `dc` without runs; servers that are draining are unusable. */
static mt_view_t *empty_view(const mt_planner_t *planner, const mt_name_t *dc)
{
	const GArray *infos = mt_fleet_listed_servers(planner->deps.fleet);
	mt_view_t *view = mt_view_new(mt_kernel_now(planner->deps.kernel),
				      &planner->deps.settings->policy);
	GPtrArray *accounts = mt_lists_accounts(planner->deps.lists);

	for (guint i = 0; i < infos->len; i++) {
		const mt_server_info_t *info =
			&g_array_index(infos, mt_server_info_t, i);
		mt_view_server_t entry = mt_planner_view_server(info);

		entry.usable = !info->leaving;
		if (mt_name_equal(&info->dc, dc))
			g_array_append_val(view->servers, entry);
	}
	for (guint i = 0; i < accounts->len; i++) {
		const mt_account_t *account = accounts->pdata[i];
		mt_view_account_t entry =
			mt_planner_view_account(planner, &account->name, dc);

		g_array_append_val(view->accounts, entry);
	}
	g_ptr_array_unref(accounts);
	return view;
}

static void add_single_waiting_job(mt_view_t *view, const mt_job_t *job)
{
	mt_view_waiting_job_t waiting_job = {.shape = mt_spec_shape(job->spec),
					     .expected_run_ms = 1,
					     .deadline_left_ms = MT_NEVER_MS,
					     .stoppable =
						     job->spec->idempotent};

	for (guint i = 0; i < view->accounts->len; i++) {
		if (mt_name_equal(&mt_view_account(view, i)->name,
				  &job->account))
			waiting_job.account = i;
	}
	g_array_append_val(view->waiting_jobs, waiting_job);
}

static bool fits_when_empty(const mt_view_t *view, const mt_shape_t *shape)
{
	mt_free_capacity_t free_capacity = mt_free_capacity_new(view);
	GArray *parts = mt_place(&free_capacity, shape, NULL, MT_FIT_FIRST);

	mt_free_capacity_clear(&free_capacity);
	if (!parts)
		return false;
	g_array_unref(parts);
	return true;
}

/**
 * Reason why the job cannot run in `dc` even if nothing else ran there; NULL if
 * it can.
 */
static const char *infeasible_reason_in(const mt_planner_t *planner,
					const mt_job_t *job,
					const mt_name_t *dc)
{
	mt_shape_t shape = mt_spec_shape(job->spec);
	const mt_quota_t *quota =
		mt_lists_quota(planner->deps.lists, &job->account, dc);
	const char *infeasible_reason = NULL;
	mt_decision_t *decision;
	mt_view_t *view;

	if (!quota ||
	    !mt_resources_within(mt_shape_total(&shape), quota->limit))
		return "over_limit";
	view = empty_view(planner, dc);
	add_single_waiting_job(view, job);
	decision = mt_decide(view, MT_ALGORITHM_FULL);
	if (!fits_when_empty(view, &shape))
		infeasible_reason = "does_not_fit";
	else if (!decision->starts->len)
		infeasible_reason = "guarantees_leave_no_room";
	mt_decision_free(decision);
	mt_view_free(view);
	return infeasible_reason;
}

const char *mt_planner_infeasible_reason(const mt_planner_t *planner,
					 const mt_job_t *job,
					 mt_name_t *elsewhere)
{
	const mt_name_t *own = &planner->deps.settings->dc;
	GArray *dcs = planner->deps.settings->data_centres;
	const char *infeasible_reason;

	memset(elsewhere, 0, sizeof(*elsewhere));
	if (!mt_lists_account(planner->deps.lists, &job->account))
		return "account_removed";
	infeasible_reason = infeasible_reason_in(planner, job, own);
	for (guint i = 0; infeasible_reason && i < dcs->len && !elsewhere->len;
	     i++) {
		const mt_name_t *dc = &g_array_index(dcs, mt_name_t, i);

		if (!mt_name_equal(dc, own) &&
		    !infeasible_reason_in(planner, job, dc))
			*elsewhere = *dc;
	}
	return infeasible_reason;
}
