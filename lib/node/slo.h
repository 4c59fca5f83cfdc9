/**
 * @file slo.h
 * Service-level objectives per client account. Good and bad events are counted
 * in one-minute buckets, from which burn rates over a short and a long window
 * can be computed. The error budget is the share of bad events that the target
 * allows; the burn rate is the actual share divided by the allowed one.
 */
#ifndef MT_NODE_SLO_H
#define MT_NODE_SLO_H

#include <jansson.h>

#include "kernel/kernel.h"

/**
 * The decision to start an urgent job must be made within this time of its
 * acceptance.
 */
#define MT_URGENT_START_MS 1700u

/**
 * The decision to start a guaranteed job must be made within this time, plus
 * the time that a checkpoint may take (MT_CHECKPOINT_TIMEOUT_MS), after the
 * account's guarantee begins to cover the job.
 */
#define MT_GUARANTEE_START_MS 2000u

#define MT_SLO_SHORT_MINUTES 5u
#define MT_SLO_LONG_MINUTES 60u

/** Target share of good events, in thousandths. */
#define MT_SLO_TARGET_PER_MILLE 999u

typedef enum mt_objective_t {
	MT_SLO_GUARANTEE, /**< guaranteed job started in time */
	MT_SLO_DEADLINE,  /**< finished by its deadline */
	MT_SLO_TRUTHFUL,  /**< ended with an outcome other than unknown */
	MT_SLO_URGENT,	  /**< urgent job started in time */
	MT_SLO_OBJECTIVE_COUNT
} mt_objective_t;

typedef struct mt_slo_t mt_slo_t;

mt_slo_t *mt_slo_new(mt_kernel_t *kernel);
void mt_slo_free(mt_slo_t *slo);
void mt_slo_record(mt_slo_t *slo, const mt_name_t *account,
		   mt_objective_t objective, bool good);

/**
 * All counts, as a new reference: {account: {objective: {"good": n, "bad": n,
 * "short_good": n, "short_bad": n, "long_good": n, "long_bad": n}}}. `good` and
 * `bad` count since start-up.
 */
json_t *mt_slo_report(const mt_slo_t *slo);

const char *mt_objective_name(mt_objective_t objective);

#endif
