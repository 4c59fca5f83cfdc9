/** @file slots.c Decides when this host holds a slot. */
#include "dag/slots.h"

/** Interval at which a holder repeats its record. */
#define RENEW_INTERVAL_MS 2000u

/** A slot whose record was not repeated for this long is free. */
#define SLOT_TIMEOUT_MS 6000u

void mt_slots_init(mt_slots_t *slots, int n_slots, const mt_name_t *incarnation,
		   const mt_endpoint_t *endpoint, mt_ms_t now)
{
	*slots = (mt_slots_t){.incarnation = *incarnation,
			      .endpoint = *endpoint,
			      .n_slots = n_slots,
			      .take_wait_start = now,
			      .renewal_sent_at = now};
}

void mt_slots_on_record(mt_slots_t *slots, uint64_t slot_number,
			const MtDag__SlotHolder *record, mt_ms_t now)
{
	mt_slot_t *slot;
	mt_name_t incarnation;

	if (slot_number >= (uint64_t)slots->n_slots)
		return;
	slot = &slots->slots[slot_number];
	incarnation = mt_name(record->released ? "" : record->incarnation);
	if (!mt_name_equal(&slot->incarnation, &incarnation))
		slots->take_wait_start = now;
	slot->incarnation = incarnation;
	slot->endpoint = (mt_endpoint_t){mt_name(record->address),
					 (uint16_t)record->port};
	slot->renewed_at = now;
}

static bool is_own(const mt_slots_t *slots, const mt_slot_t *slot)
{
	return mt_name_equal(&slot->incarnation, &slots->incarnation);
}

/** True if an earlier process of this host, which has ended, held the slot. */
static bool is_predecessors(const mt_slots_t *slots, const mt_slot_t *slot)
{
	return slot->endpoint.port == slots->endpoint.port &&
	       mt_name_equal(&slot->endpoint.address,
			     &slots->endpoint.address) &&
	       !is_own(slots, slot);
}

static bool is_free(const mt_slots_t *slots, const mt_slot_t *slot, mt_ms_t now)
{
	return !slot->incarnation.len ||
	       now - slot->renewed_at > SLOT_TIMEOUT_MS ||
	       is_predecessors(slots, slot);
}

int mt_slots_own(const mt_slots_t *slots)
{
	for (int i = 0; i < slots->n_slots; i++) {
		if (is_own(slots, &slots->slots[i]))
			return i;
	}
	return MT_NO_SLOT;
}

int mt_slots_to_take(const mt_slots_t *slots, mt_ms_t extra_delay_ms,
		     mt_ms_t now)
{
	mt_ms_t delay = slots->take_delay_ms + extra_delay_ms;

	if (mt_slots_own(slots) != MT_NO_SLOT ||
	    now - slots->take_wait_start < delay)
		return MT_NO_SLOT;
	for (int i = 0; i < slots->n_slots; i++) {
		if (is_free(slots, &slots->slots[i], now))
			return i;
	}
	return MT_NO_SLOT;
}

void mt_slots_back_off(mt_slots_t *slots, mt_ms_t now)
{
	slots->take_wait_start = now;
}

bool mt_slots_should_renew(const mt_slots_t *slots, mt_ms_t now)
{
	return mt_slots_own(slots) != MT_NO_SLOT &&
	       now - slots->renewal_sent_at >= RENEW_INTERVAL_MS;
}

unsigned mt_slots_list(const mt_slots_t *slots, mt_ms_t now,
		       mt_endpoint_t *endpoints)
{
	unsigned n = 0;

	for (int i = 0; i < slots->n_slots; i++) {
		const mt_slot_t *slot = &slots->slots[i];

		if (!is_free(slots, slot, now) && !is_own(slots, slot))
			endpoints[n++] = slot->endpoint;
	}
	return n;
}
