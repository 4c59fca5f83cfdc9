/**
 * @file standby.h
 * Standbys: besides the leader, a few hosts read the records of all jobs. They
 * can become the leader without a delay, and answer calls about jobs. There is
 * a fixed number of slots; a host is a standby while the newest record of a
 * slot is its own. This module decides when this host takes a slot and when it
 * repeats its record. It does no I/O.
 */
#ifndef MT_DAG_STANDBY_H
#define MT_DAG_STANDBY_H

#include "dag/dag.pb-c.h"
#include "kernel/name.h"
#include "kernel/timers.h"

/** Number of standbys: enough that several may fail at once. */
#define MT_STANDBY_SLOTS 3

/** Stands for no slot. */
#define MT_STANDBY_NO_SLOT (-1)

typedef struct mt_standby_slot_t {
	mt_name_t incarnation; /**< of the standby; empty: none */
	mt_endpoint_t endpoint;
	mt_ms_t renewed_at; /**< local time at which its record was read */
} mt_standby_slot_t;

typedef struct mt_standbys_t {
	mt_name_t incarnation; /**< id of this host process */
	mt_standby_slot_t slots[MT_STANDBY_SLOTS];
	/** Local time from which the wait before this host takes a slot counts:
	 * the time of the last change of a slot. */
	mt_ms_t take_wait_start;
	/** Delay before this host takes a slot, in ms. */
	mt_ms_t take_delay_ms;
	mt_ms_t renewal_sent_at; /**< of the last record of this host */
} mt_standbys_t;

void mt_standbys_init(mt_standbys_t *standbys, const mt_name_t *incarnation,
		      mt_ms_t now);

/** To be called for each standby record read; ignores unknown slots. */
void mt_standbys_on_record(mt_standbys_t *standbys, uint64_t slot,
			   const MtDag__Standby *record, mt_ms_t now);

/** Slot of this host, or MT_STANDBY_NO_SLOT. */
int mt_standbys_own_slot(const mt_standbys_t *standbys);

/**
 * Slot that this host should take now, or MT_STANDBY_NO_SLOT. A slot is free if
 * its standby has released it or not renewed it for SLOT_TIMEOUT_MS
 * (standby.c).
 * @param extra_delay_ms added to the delay of this host
 */
int mt_standbys_slot_to_take(const mt_standbys_t *standbys,
			     mt_ms_t extra_delay_ms, mt_ms_t now);

/** To be called when an attempt to take a slot was not confirmed. */
void mt_standbys_back_off(mt_standbys_t *standbys, mt_ms_t now);

/** True when this host is a standby and should repeat its record. */
bool mt_standbys_should_renew(const mt_standbys_t *standbys, mt_ms_t now);

/**
 * Lists the endpoints of the live standbys, except this host.
 * @return their number, at most MT_STANDBY_SLOTS
 */
unsigned mt_standbys_list(const mt_standbys_t *standbys, mt_ms_t now,
			  mt_endpoint_t *endpoints);

#endif
