/** @file plan_pack.c Weighs the resources by which servers are packed. */
#include "dag/plan_internal.h"

/**
 * Cores or memory count for the order of servers if more than this share of
 * them is in use, and a larger share than of the accelerators. Tasks that need
 * over half of a server fit nowhere well before all of it is in use.
 */
#define SCARCE_SHARE 0.4

typedef struct mt_sums_t {
	double cpu;
	double mem;
	double gpu;
} mt_sums_t;

static void add(mt_sums_t *sums, const mt_dag_resources_t *resources)
{
	sums->cpu += resources->cpu_milli;
	sums->mem += resources->mem_mb;
	sums->gpu += resources->gpu;
}

/** Share of a resource that is not free. */
static double share_used(double free, double room)
{
	return room > 0 && free < room ? 1 - free / room : 0;
}

static bool is_scarce(double share, double gpu_share)
{
	return share > SCARCE_SHARE && share > gpu_share;
}

void mt_plan_weigh_resources(mt_plan_t *plan)
{
	mt_sums_t free = {0};
	mt_sums_t room = {0};
	mt_plan_weights_t weights;

	for (uint32_t i = 0; i < plan->n_servers; i++) {
		add(&free, &plan->servers[i].free);
		add(&room, &plan->servers[i].room);
	}
	weights.cpu = share_used(free.cpu, room.cpu);
	weights.mem = share_used(free.mem, room.mem);
	weights.gpu = share_used(free.gpu, room.gpu);
	if (is_scarce(weights.cpu, weights.gpu) ||
	    is_scarce(weights.mem, weights.gpu))
		plan->weights = weights;
}

static double weighted_share(double weight, uint32_t left, uint32_t room)
{
	return room ? weight * left / room : 0;
}

double mt_plan_left_over(const mt_plan_t *plan, uint32_t server,
			 const mt_dag_resources_t *left)
{
	const mt_plan_weights_t *weights = &plan->weights;
	const mt_dag_resources_t *room = &plan->servers[server].room;

	if (weights->cpu <= 0 && weights->mem <= 0)
		return left->gpu;
	return weighted_share(weights->cpu, left->cpu_milli, room->cpu_milli) +
	       weighted_share(weights->mem, left->mem_mb, room->mem_mb) +
	       weighted_share(weights->gpu, left->gpu, room->gpu);
}
