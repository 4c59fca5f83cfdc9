/**
 * @file wait_log.c Logs why steps wait, from the result of a scheduling pass.
 */
#include "dag/planner_internal.h"

/** Minimum time between two passes in which waiting steps are logged. */
#define LOG_INTERVAL_MS 2000u

/** Only steps that have waited longer than this are logged. */
#define LOGGED_WAIT_MS 2000u

/** Maximum number of waiting steps that are logged in a pass, by service. */
#define LOGGED_STEPS_MAX 8u

/** Servers of a service, counted by the first reason for which they get no
 * tasks. */
typedef struct mt_server_counts_t {
	unsigned listed;
	unsigned usable;
	unsigned draining;
	unsigned evacuated; /**< their data centre is evacuated */
	unsigned silent;    /**< no recent answer to a hold, or clock unknown */
	unsigned avoided;   /**< see mt_backend_t.avoid_until */
	unsigned suspect;   /**< of the usable ones, see suspect_until there */
	unsigned cold;	    /**< of the usable ones, see cold_until there */
	double cores;	    /**< see mt_dag_resources_cores() */
	double cores_used;
} mt_server_counts_t;

static void count_server(const mt_planner_t *planner,
			 const mt_backend_t *backend,
			 mt_server_counts_t *counts)
{
	counts->listed++;
	counts->cores += mt_dag_resources_cores(&backend->info.capacity);
	counts->cores_used += mt_dag_resources_cores(&backend->used);
	if (mt_planner_may_use(planner, backend)) {
		counts->usable++;
		counts->suspect += mt_planner_is_suspect(planner, backend);
		counts->cold += mt_planner_is_cold(planner, backend);
		return;
	}
	if (backend->info.draining)
		counts->draining++;
	else if (mt_engine_is_evacuated(planner->engine, backend))
		counts->evacuated++;
	else if (!backend->hold_answered || backend->n_failed_holds ||
		 !backend->clock_known)
		counts->silent++;
	else
		counts->avoided++;
}

static void log_service(const mt_planner_t *planner)
{
	mt_server_counts_t counts = {0};
	GHashTableIter iter;
	gpointer value;
	char *service;

	g_hash_table_iter_init(&iter, planner->engine->backends);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_backend_t *backend = value;

		if (backend->listed &&
		    mt_shared_name_equal(backend->info.service,
					 planner->service))
			count_server(planner, backend, &counts);
	}
	service = mt_text_printable(mt_shared_name_text(planner->service));
	mt_kernel_event(planner->engine->deps.kernel, "service_waits",
			"\"service\":\"%s\",\"candidates\":%u,\"held_back\":%u,"
			"\"listed\":%u,"
			"\"usable\":%u,\"draining\":%u,\"evacuated\":%u,"
			"\"silent\":%u,"
			"\"avoided\":%u,\"suspect\":%u,\"cold\":%u,\"cores\":%."
			"0f,\"used\":%.0f,"
			"\"contended\":%s",
			service, planner->candidates->len, planner->n_held_back,
			counts.listed, counts.usable, counts.draining,
			counts.evacuated, counts.silent, counts.avoided,
			counts.suspect, counts.cold, counts.cores,
			counts.cores_used,
			planner->contended ? "true" : "false");
	g_free(service);
}

static const char *reason_text(mt_plan_wait_t reason)
{
	switch (reason) {
	case MT_PLAN_WAIT_NO_SERVER:
		return "no server may run it";
	case MT_PLAN_WAIT_NEVER_FITS:
		return "does not fit on all servers together";
	case MT_PLAN_WAIT_RESERVED:
		return "the room is reserved";
	default:
		return "no room";
	}
}

static void log_step(const mt_planner_t *planner,
		     const mt_candidate_step_t *candidate,
		     const mt_plan_unit_t *unit)
{
	const mt_dag_step_t *step = candidate->step;

	mt_kernel_event(
		planner->engine->deps.kernel, "step_waits",
		"\"job\":\"%016" G_GINT64_MODIFIER
		"x\",\"step\":%u,\"tasks\":%u,\"of\":%u,\"gang\":%s,"
		"\"cpu_milli\":%u,\"gpu\":%u,\"labelled\":%s,"
		"\"one_rack\":%s,\"priority\":%u,\"guaranteed\":%s,"
		"\"waited_ms\":%u,\"overdue\":%s,\"reason\":\"%s\"",
		step->job->id, step->index, unit->count, step->spec->count,
		unit->is_gang ? "true" : "false", unit->need.cpu_milli,
		unit->need.gpu, unit->label ? "true" : "false",
		unit->same_rack || unit->data_rack ? "true" : "false",
		unit->priority, unit->guaranteed ? "true" : "false",
		(unsigned)candidate->waited_ms,
		candidate->overdue ? "true" : "false",
		reason_text(mt_plan_explain_wait(&planner->plan, unit)));
}

void mt_wait_log_write(const mt_planner_t *planner)
{
	unsigned n_logged = 0;

	if (planner->n_held_back)
		log_service(planner);
	for (guint i = 0; i < planner->candidates->len; i++) {
		const mt_candidate_step_t *candidate = &g_array_index(
			planner->candidates, mt_candidate_step_t, i);

		if (candidate->waited_ms <= LOGGED_WAIT_MS ||
		    planner->plan.units[i].placed)
			continue;
		if (!n_logged && !planner->n_held_back)
			log_service(planner);
		if (n_logged++ >= LOGGED_STEPS_MAX)
			return;
		log_step(planner, candidate, &planner->plan.units[i]);
	}
}

bool mt_wait_log_is_due(mt_engine_t *engine)
{
	mt_ms_t now = mt_engine_now(engine);

	if (now - engine->wait_logged_at < LOG_INTERVAL_MS)
		return false;
	engine->wait_logged_at = now;
	return true;
}
