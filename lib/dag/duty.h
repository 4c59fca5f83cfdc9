/**
 * @file duty.h
 * A duty that a few hosts perform, each holding a slot (slots.h): takes a slot
 * for this host, repeats its record and releases it, by records in the topic of
 * leaders.
 */
#ifndef MT_DAG_DUTY_H
#define MT_DAG_DUTY_H

#include "dag/records.h"
#include "dag/slots.h"
#include "dag/store_port.h"
#include "dag/writer.h"
#include "kernel/kernel.h"

typedef struct mt_duty_deps_t {
	mt_kernel_t *kernel;
	const mt_store_port_t *store;
	mt_writer_t *writer; /**< for records of a slot that this host holds */
	mt_name_t incarnation;	/**< id of this process */
	mt_endpoint_t endpoint; /**< where this host takes calls of others */
	mt_record_kind_t record_kind;
	uint64_t first_key; /**< number in the key of the first slot */
	int n_slots;
	/** This host holds a slot from now on, or none any more. */
	void (*on_change)(void *ctx, bool held);
	void *ctx;
} mt_duty_deps_t;

typedef struct mt_duty_t mt_duty_t;

mt_duty_t *mt_duty_new(const mt_duty_deps_t *deps);

/** Sets the delay before this host takes a free slot. */
void mt_duty_set_delay(mt_duty_t *duty, mt_ms_t delay_ms);

/** Applies a record of the duty's kind; `number` is that of its key. */
void mt_duty_on_record(mt_duty_t *duty, uint64_t number, mt_str_t value);

/** Reports a change, if any; to be called after each page of records. */
void mt_duty_report(mt_duty_t *duty);

/**
 * Repeats the record of a slot that this host holds. Otherwise takes a slot, on
 * the condition that the topic still ends at `topic_end`.
 * @param wanted false: takes no slot, and releases the one that it holds
 * @param extra_delay_ms added to the delay before a slot is taken
 */
void mt_duty_tick(mt_duty_t *duty, bool wanted, mt_ms_t extra_delay_ms,
		  uint64_t topic_end);

/** Releases the slot of this host, if any; `cb` may be NULL. */
void mt_duty_release(mt_duty_t *duty, mt_writer_cb cb, void *ctx);

/** True if this host holds a slot. */
bool mt_duty_is_held(const mt_duty_t *duty);

/** See mt_slots_list(). */
unsigned mt_duty_list(const mt_duty_t *duty, mt_endpoint_t *endpoints);

#endif
