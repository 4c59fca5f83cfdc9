/** @file duty.c Takes, keeps and releases a slot of a duty. */
#include "dag/duty.h"

/** Timeout of the append that takes a slot. */
#define TAKE_TIMEOUT_MS 1000u

struct mt_duty_t {
	mt_duty_deps_t deps;
	mt_slots_t slots;
	char *producer;	    /**< of the appends that take a slot */
	uint64_t epoch;	    /**< of the last of these */
	bool taking;	    /**< such an append has no answer yet */
	bool reported_held; /**< `on_change` was last called with this value */
};

static mt_ms_t now_of(const mt_duty_t *duty)
{
	return mt_kernel_now(duty->deps.kernel);
}

mt_duty_t *mt_duty_new(const mt_duty_deps_t *deps)
{
	mt_duty_t *duty = g_new0(mt_duty_t, 1);

	duty->deps = *deps;
	mt_slots_init(&duty->slots, deps->n_slots, &deps->incarnation,
		      &deps->endpoint, now_of(duty));
	duty->producer = g_strdup_printf("%s-%c", deps->incarnation.text,
					 (char)deps->record_kind);
	return duty;
}

void mt_duty_set_delay(mt_duty_t *duty, mt_ms_t delay_ms)
{
	duty->slots.take_delay_ms = delay_ms;
}

void mt_duty_on_record(mt_duty_t *duty, uint64_t number, mt_str_t value)
{
	MtDag__SlotHolder *holder = mt_dag__slot_holder__unpack(
		NULL, value.len, (const uint8_t *)value.data);

	if (!holder) {
		mt_log(duty->deps.kernel, MT_LOG_ERR, "duty",
		       "ignoring a malformed record of kind %c",
		       (char)duty->deps.record_kind);
		return;
	}
	mt_slots_on_record(&duty->slots, number - duty->deps.first_key, holder,
			   now_of(duty));
	mt_dag__slot_holder__free_unpacked(holder, NULL);
}

bool mt_duty_is_held(const mt_duty_t *duty)
{
	return mt_slots_own(&duty->slots) != MT_NO_SLOT;
}

void mt_duty_report(mt_duty_t *duty)
{
	bool held = mt_duty_is_held(duty);

	if (held == duty->reported_held)
		return;
	duty->reported_held = held;
	duty->deps.on_change(duty->deps.ctx, held);
}

static MtDag__SlotHolder holder_record(mt_duty_t *duty)
{
	MtDag__SlotHolder holder = MT_DAG__SLOT_HOLDER__INIT;

	holder.incarnation = duty->deps.incarnation.text;
	holder.address = duty->deps.endpoint.address.text;
	holder.port = duty->deps.endpoint.port;
	return holder;
}

static mt_record_key_t slot_key(const mt_duty_t *duty, int slot)
{
	return mt_record_key(duty->deps.record_kind,
			     duty->deps.first_key + (uint64_t)slot);
}

static void on_taken(void *ctx, mt_store_result_t result, uint64_t offset)
{
	mt_duty_t *duty = ctx;

	duty->taking = false;
	if (result != MT_STORE_DONE)
		mt_slots_back_off(&duty->slots, now_of(duty));
}

/**
 * Takes a slot. Each append has an epoch of its own, so that its sequence
 * number can always be 0.
 */
static void take(mt_duty_t *duty, int slot, uint64_t topic_end)
{
	MtDag__SlotHolder holder = holder_record(duty);
	mt_record_key_t key = slot_key(duty, slot);
	GBytes *bytes = mt_dag_pack(&holder.base);
	mt_store_record_t record = {mt_str_from(key.text), mt_bytes_view(bytes),
				    0};
	mt_store_append_t append = {0};

	append.topic = MT_LEADERS_TOPIC;
	append.records = &record;
	append.count = 1;
	append.expected_end = topic_end;
	append.producer = duty->producer;
	append.epoch = ++duty->epoch;
	append.timeout_ms = TAKE_TIMEOUT_MS;
	duty->taking = true;
	duty->slots.renewal_sent_at = now_of(duty);
	duty->deps.store->append(duty->deps.store->self, &append, on_taken,
				 duty);
	g_bytes_unref(bytes);
}

/** Writes the record of the slot of this host. */
static void write_record(mt_duty_t *duty, bool released, mt_writer_cb cb,
			 void *ctx)
{
	MtDag__SlotHolder holder = holder_record(duty);
	mt_record_key_t key = slot_key(duty, mt_slots_own(&duty->slots));
	GBytes *bytes;

	holder.released = released;
	bytes = mt_dag_pack(&holder.base);
	duty->slots.renewal_sent_at = now_of(duty);
	mt_writer_add(duty->deps.writer, mt_str_from(key.text),
		      mt_bytes_view(bytes));
	mt_writer_commit(duty->deps.writer, MT_WRITER_REPORTS_REFUSAL, cb, ctx);
	g_bytes_unref(bytes);
}

void mt_duty_tick(mt_duty_t *duty, bool wanted, mt_ms_t extra_delay_ms,
		  uint64_t topic_end)
{
	int slot;

	if (mt_slots_should_renew(&duty->slots, now_of(duty))) {
		write_record(duty, !wanted, NULL, NULL);
		return;
	}
	if (!wanted || duty->taking)
		return;
	slot = mt_slots_to_take(&duty->slots, extra_delay_ms, now_of(duty));
	if (slot != MT_NO_SLOT)
		take(duty, slot, topic_end);
}

void mt_duty_release(mt_duty_t *duty, mt_writer_cb cb, void *ctx)
{
	if (mt_duty_is_held(duty))
		write_record(duty, true, cb, ctx);
}

unsigned mt_duty_list(const mt_duty_t *duty, mt_endpoint_t *endpoints)
{
	return mt_slots_list(&duty->slots, now_of(duty), endpoints);
}
