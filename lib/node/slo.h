/**
 * @file slo.h
 * Service-level objectives per client account: good and bad events in
 * one-minute buckets, from which burn over a short and a long window is read.
 */
#ifndef MT_NODE_SLO_H
#define MT_NODE_SLO_H

#include <jansson.h>

#include "kernel/kernel.h"

/** Urgent work starts within this time of its acceptance. */
#define MT_URGENT_START_MS 1700u

/** Work within a guarantee starts within a checkpoint and this time. */
#define MT_GUARANTEE_START_MS 2000u

#define MT_SLO_SHORT_MINUTES 5u
#define MT_SLO_LONG_MINUTES 60u

/** Share of events that must be good, in thousandths. */
#define MT_SLO_TARGET_PER_MILLE 999u

typedef enum mt_objective_t {
	MT_SLO_GUARANTEE, /**< guaranteed work started in time */
	MT_SLO_DEADLINE,  /**< finished by its deadline */
	MT_SLO_TRUTHFUL,  /**< ended with a known outcome */
	MT_SLO_URGENT,	  /**< urgent work started in time */
	MT_SLO_OBJECTIVES
} mt_objective_t;

typedef struct mt_slo_t mt_slo_t;

mt_slo_t *mt_slo_new(mt_kernel_t *kernel);
void mt_slo_free(mt_slo_t *slo);
void mt_slo_record(mt_slo_t *slo, const mt_name_t *account,
		   mt_objective_t objective, bool good);

/**
 * All counts: {account: {objective: {"good": n, "bad": n, "short_good": n,
 * "short_bad": n, "long_good": n, "long_bad": n}}}. A new reference.
 */
json_t *mt_slo_report(const mt_slo_t *slo);

const char *mt_objective_name(mt_objective_t objective);

#endif
