/** @file plan_scope.c Sums of resources, and what fits on the servers of a
 * scope. */
#include "dag/plan_internal.h"

bool mt_dag_resources_fit(const mt_dag_resources_t *need,
			  const mt_dag_resources_t *available)
{
	return need->cpu_milli <= available->cpu_milli &&
	       need->mem_mb <= available->mem_mb && need->gpu <= available->gpu;
}

void mt_dag_resources_add(mt_dag_resources_t *sum,
			  const mt_dag_resources_t *part)
{
	sum->cpu_milli += part->cpu_milli;
	sum->mem_mb += part->mem_mb;
	sum->gpu += part->gpu;
}

static uint32_t fit_count(uint32_t available, uint32_t need)
{
	return need ? available / need : UINT32_MAX;
}

uint32_t mt_dag_resources_fit_count(const mt_dag_resources_t *need,
				    const mt_dag_resources_t *available)
{
	return MIN(fit_count(available->cpu_milli, need->cpu_milli),
		   MIN(fit_count(available->mem_mb, need->mem_mb),
		       fit_count(available->gpu, need->gpu)));
}

static uint32_t subtract_clamped(uint32_t a, uint32_t b)
{
	return a > b ? a - b : 0;
}

void mt_dag_resources_subtract(mt_dag_resources_t *sum,
			       const mt_dag_resources_t *part)
{
	sum->cpu_milli = subtract_clamped(sum->cpu_milli, part->cpu_milli);
	sum->mem_mb = subtract_clamped(sum->mem_mb, part->mem_mb);
	sum->gpu = subtract_clamped(sum->gpu, part->gpu);
}

double mt_dag_resources_cores(const mt_dag_resources_t *resources)
{
	return resources->cpu_milli / 1000.0 +
	       resources->gpu * MT_CORES_PER_GPU;
}

bool mt_plan_labels_contain(const GArray *labels, GQuark label)
{
	for (guint i = 0; labels && i < labels->len; i++) {
		if (g_array_index(labels, GQuark, i) == label)
			return true;
	}
	return false;
}

bool mt_plan_server_has_label(const mt_plan_server_t *server, GQuark label)
{
	return !label || mt_plan_labels_contain(server->labels, label);
}

/** Fillers and tasks with a latency target do not share a server. */
static bool conflicts(const mt_plan_unit_t *unit,
		      const mt_plan_server_t *server)
{
	return (unit->is_filler && server->latency_critical) ||
	       (unit->latency_critical && server->runs_fillers);
}

bool mt_scope_allows(const mt_scope_t *scope, uint32_t server)
{
	const mt_plan_server_t *plan_server = &scope->plan->servers[server];

	if (scope->unit->allowed && !scope->unit->allowed[server])
		return false;
	if (plan_server->suspect && !scope->unit->overdue)
		return false;
	if (conflicts(scope->unit, plan_server))
		return false;
	return mt_plan_server_has_label(plan_server, scope->unit->label);
}

mt_dag_resources_t mt_scope_available_on(const mt_scope_t *scope,
					 uint32_t server)
{
	const mt_plan_server_t *plan_server = &scope->plan->servers[server];
	mt_dag_resources_t available = plan_server->free;

	if (scope->kind == MT_CAPACITY_ROOM)
		return plan_server->room;
	if (scope->kind != MT_CAPACITY_FREE)
		mt_dag_resources_add(&available, &plan_server->releasing);
	if (scope->freed)
		mt_dag_resources_add(&available, &scope->freed[server]);
	return available;
}

uint32_t mt_scope_fit_count_on(const mt_scope_t *scope, uint32_t server)
{
	const mt_plan_unit_t *unit = scope->unit;
	const mt_plan_server_t *plan_server = &scope->plan->servers[server];
	mt_dag_resources_t available = mt_scope_available_on(scope, server);
	uint32_t fit = mt_dag_resources_fit_count(&unit->need, &available);

	if (unit->per_server_max) {
		uint32_t already_placed =
			unit->already_placed ? unit->already_placed[server] : 0;

		fit = MIN(fit, subtract_clamped(unit->per_server_max,
						already_placed));
	}
	if (plan_server->is_limited && scope->kind != MT_CAPACITY_ROOM)
		fit = MIN(fit, plan_server->tasks_left);
	return fit;
}

uint32_t mt_scope_fit_count(const mt_scope_t *scope)
{
	uint32_t fit = 0;

	for (uint32_t i = 0; i < scope->server_set->n_servers; i++) {
		uint32_t server = scope->server_set->servers[i];

		if (!mt_scope_allows(scope, server))
			continue;
		fit += MIN(mt_scope_fit_count_on(scope, server),
			   scope->unit->count);
		if (fit >= scope->unit->count)
			return fit;
	}
	return fit;
}
