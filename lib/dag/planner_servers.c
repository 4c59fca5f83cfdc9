/** @file planner_servers.c Describes the servers of a service for the plan. */
#include <string.h>

#include "dag/planner_internal.h"

/** Penalty of a suspect server, above that of all others. */
#define SUSPECT_PENALTY 1000000u

/** Penalty of a cold server, above that of failed runs. */
#define COLD_PENALTY 1000u

/**
 * Resources held by tasks that are being stopped, or that still run although
 * their gang is done.
 */
static mt_dag_resources_t resources_releasing(const mt_backend_t *backend)
{
	mt_dag_resources_t releasing = {0};

	for (guint i = 0; i < backend->tasks->len; i++) {
		const mt_dag_task_t *task = backend->tasks->pdata[i];
		mt_dag_resources_t need = mt_dag_step_need(task->step);

		if (task->stop_wanted || task->phase == MT_TASK_PHASE_DONE)
			mt_dag_resources_add(&releasing, &need);
	}
	return releasing;
}

/** Returns mt_plan_server_t.room. */
static mt_dag_resources_t room_of(const mt_backend_t *backend)
{
	mt_dag_resources_t room = backend->info.capacity;

	for (guint i = 0; i < backend->tasks->len; i++) {
		const mt_dag_task_t *task = backend->tasks->pdata[i];
		mt_dag_resources_t need = mt_dag_step_need(task->step);

		if (task->step->spec->lasting && !task->stop_wanted)
			mt_dag_resources_subtract(&room, &need);
	}
	return room;
}

/** Marks whether the server runs fillers or tasks with a latency target. */
static void mark_workload_kinds(mt_plan_server_t *server,
				const mt_backend_t *backend)
{
	for (guint i = 0; i < backend->tasks->len; i++) {
		const mt_dag_task_t *task = backend->tasks->pdata[i];

		server->latency_critical =
			server->latency_critical || task->step->spec->target_ms;
		server->runs_fillers =
			server->runs_fillers || task->step->spec->fills;
	}
}

static gint compare_backends(gconstpointer a, gconstpointer b)
{
	const mt_backend_t *x = *(mt_backend_t *const *)a;
	const mt_backend_t *y = *(mt_backend_t *const *)b;

	return mt_shared_name_compare(x->info.target.id, y->info.target.id);
}

/** Maximum number of placements per second on a cold server; 0: no limit. */
static double cold_per_s(const mt_planner_t *planner)
{
	const mt_catalog_t *catalog = planner->engine->catalog;

	return catalog ? mt_catalog_cold_per_s(catalog, planner->service) : 0;
}

/** Makes a cold server come late, and applies the limit of its service. */
static void limit_cold(const mt_planner_t *planner, mt_plan_server_t *server,
		       const mt_backend_t *backend)
{
	double per_s;

	if (!mt_planner_is_cold(planner, backend))
		return;
	server->penalty += COLD_PENALTY;
	per_s = cold_per_s(planner);
	server->is_limited = per_s > 0;
	if (server->is_limited)
		server->tasks_left = mt_cold_rate_left(&backend->cold_rate,
						       per_s, planner->now);
}

void mt_planner_collect_servers(mt_planner_t *planner)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, planner->engine->backends);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (mt_planner_may_use(planner, value))
			g_ptr_array_add(planner->backends, value);
	}
	g_ptr_array_sort(planner->backends, compare_backends);
	planner->plan.n_servers = planner->backends->len;
	planner->plan.servers =
		g_new0(mt_plan_server_t, planner->backends->len + 1);
	for (guint i = 0; i < planner->backends->len; i++) {
		mt_backend_t *backend = planner->backends->pdata[i];
		mt_plan_server_t *server = &planner->plan.servers[i];

		server->free = backend->info.capacity;
		mt_dag_resources_subtract(&server->free, &backend->used);
		server->releasing = resources_releasing(backend);
		server->room = room_of(backend);
		server->rack = backend->info.rack;
		server->suspect = mt_planner_is_suspect(planner, backend);
		server->penalty = backend->fail_streak +
				  (server->suspect ? SUSPECT_PENALTY : 0);
		server->speed = mt_speed_model_speed(planner->engine->speeds,
						     backend->info.target.id);
		limit_cold(planner, server, backend);
		mark_workload_kinds(server, backend);
		server->labels = backend->info.labels;
		g_hash_table_insert(planner->backend_index, backend,
				    GUINT_TO_POINTER(i + 1));
	}
}
