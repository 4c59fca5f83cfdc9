/**
 * @file slots.h
 * Slots: a fixed number of hosts perform a duty, such as that of a standby. A
 * host holds a slot while the newest record of the slot is its own. This module
 * decides when this host takes a slot and when it repeats its record. It does
 * no I/O.
 */
#ifndef MT_DAG_SLOTS_H
#define MT_DAG_SLOTS_H

#include "dag/dag.pb-c.h"
#include "kernel/shared_name.h"
#include "kernel/timers.h"

/** Maximum number of slots of a duty. */
#define MT_SLOTS_MAX 3

/** Stands for no slot. */
#define MT_NO_SLOT (-1)

typedef struct mt_slot_t {
	mt_name_t incarnation; /**< of the holder; empty: none */
	mt_endpoint_t endpoint;
	mt_ms_t renewed_at; /**< local time at which its record was read */
} mt_slot_t;

/** The slots of one duty. */
typedef struct mt_slots_t {
	mt_name_t incarnation;	/**< id of this host process */
	mt_endpoint_t endpoint; /**< where this host takes calls of others */
	mt_slot_t slots[MT_SLOTS_MAX];
	int n_slots;
	/** Local time from which the wait before this host takes a slot counts:
	 * the time of the last change of a slot. */
	mt_ms_t take_wait_start;
	/** Delay before this host takes a slot, in ms. */
	mt_ms_t take_delay_ms;
	mt_ms_t renewal_sent_at; /**< of the last record of this host */
} mt_slots_t;

void mt_slots_init(mt_slots_t *slots, int n_slots, const mt_name_t *incarnation,
		   const mt_endpoint_t *endpoint, mt_ms_t now);

/** To be called for each slot record read; ignores unknown slots. */
void mt_slots_on_record(mt_slots_t *slots, uint64_t slot,
			const MtDag__SlotHolder *record, mt_ms_t now);

/** Slot of this host, or MT_NO_SLOT. */
int mt_slots_own(const mt_slots_t *slots);

/**
 * Slot that this host should take now, or MT_NO_SLOT. A slot is free if its
 * holder has released it or not renewed it for SLOT_TIMEOUT_MS (slots.c), or if
 * the holder is an earlier process of this host, which has ended.
 * @param extra_delay_ms added to the delay of this host
 */
int mt_slots_to_take(const mt_slots_t *slots, mt_ms_t extra_delay_ms,
		     mt_ms_t now);

/** To be called when an attempt to take a slot was not confirmed. */
void mt_slots_back_off(mt_slots_t *slots, mt_ms_t now);

/** True when this host holds a slot and should repeat its record. */
bool mt_slots_should_renew(const mt_slots_t *slots, mt_ms_t now);

/**
 * Lists the endpoints of the live holders, except this host.
 * @return their number, at most MT_SLOTS_MAX
 */
unsigned mt_slots_list(const mt_slots_t *slots, mt_ms_t now,
		       mt_endpoint_t *endpoints);

#endif
