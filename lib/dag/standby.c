/** @file standby.c Decides when this host is a standby. */
#include "dag/standby.h"

/** Interval at which a standby repeats its record. */
#define RENEW_INTERVAL_MS 2000u

/** A slot whose record was not repeated for this long is free. */
#define SLOT_TIMEOUT_MS 6000u

void mt_standbys_init(mt_standbys_t *standbys, const mt_name_t *incarnation,
		      mt_ms_t now)
{
	*standbys = (mt_standbys_t){.incarnation = *incarnation,
				    .take_wait_start = now,
				    .renewal_sent_at = now};
}

void mt_standbys_on_record(mt_standbys_t *standbys, uint64_t slot_number,
			   const MtDag__Standby *record, mt_ms_t now)
{
	mt_standby_slot_t *slot;
	mt_name_t incarnation;

	if (slot_number >= MT_STANDBY_SLOTS)
		return;
	slot = &standbys->slots[slot_number];
	incarnation = mt_name(record->released ? "" : record->incarnation);
	if (!mt_name_equal(&slot->incarnation, &incarnation))
		standbys->take_wait_start = now;
	slot->incarnation = incarnation;
	slot->endpoint = (mt_endpoint_t){mt_name(record->address),
					 (uint16_t)record->port};
	slot->renewed_at = now;
}

static bool is_own(const mt_standbys_t *standbys, const mt_standby_slot_t *slot)
{
	return mt_name_equal(&slot->incarnation, &standbys->incarnation);
}

static bool is_free(const mt_standby_slot_t *slot, mt_ms_t now)
{
	return !slot->incarnation.len ||
	       now - slot->renewed_at > SLOT_TIMEOUT_MS;
}

int mt_standbys_own_slot(const mt_standbys_t *standbys)
{
	for (int i = 0; i < MT_STANDBY_SLOTS; i++) {
		if (is_own(standbys, &standbys->slots[i]))
			return i;
	}
	return MT_STANDBY_NO_SLOT;
}

int mt_standbys_slot_to_take(const mt_standbys_t *standbys,
			     mt_ms_t extra_delay_ms, mt_ms_t now)
{
	mt_ms_t delay = standbys->take_delay_ms + extra_delay_ms;

	if (mt_standbys_own_slot(standbys) != MT_STANDBY_NO_SLOT ||
	    now - standbys->take_wait_start < delay)
		return MT_STANDBY_NO_SLOT;
	for (int i = 0; i < MT_STANDBY_SLOTS; i++) {
		if (is_free(&standbys->slots[i], now))
			return i;
	}
	return MT_STANDBY_NO_SLOT;
}

void mt_standbys_back_off(mt_standbys_t *standbys, mt_ms_t now)
{
	standbys->take_wait_start = now;
}

bool mt_standbys_should_renew(const mt_standbys_t *standbys, mt_ms_t now)
{
	return mt_standbys_own_slot(standbys) != MT_STANDBY_NO_SLOT &&
	       now - standbys->renewal_sent_at >= RENEW_INTERVAL_MS;
}

unsigned mt_standbys_list(const mt_standbys_t *standbys, mt_ms_t now,
			  mt_endpoint_t *endpoints)
{
	unsigned n = 0;

	for (int i = 0; i < MT_STANDBY_SLOTS; i++) {
		const mt_standby_slot_t *slot = &standbys->slots[i];

		if (!is_free(slot, now) && !is_own(standbys, slot))
			endpoints[n++] = slot->endpoint;
	}
	return n;
}
