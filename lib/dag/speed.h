/**
 * @file speed.h
 * Learns how fast the servers of each data centre run, from the time that
 * tasks took against their estimates. Pure.
 */
#ifndef MT_DAG_SPEED_H
#define MT_DAG_SPEED_H

#include "kernel/name.h"

typedef struct mt_speed_t mt_speed_t;

mt_speed_t *mt_speed_new(void);
void mt_speed_free(mt_speed_t *speed);

/** A task with this estimate took so long in this data centre. */
void mt_speed_note(mt_speed_t *speed, const mt_name_t *dc, uint32_t took_ms,
		   uint32_t estimate_ms);

/**
 * Time that work takes there against the fastest data centre, in permille;
 * 1000 until enough is known.
 */
uint32_t mt_speed_slowness(const mt_speed_t *speed, const mt_name_t *dc);

#endif
