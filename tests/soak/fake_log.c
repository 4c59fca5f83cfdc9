/** @file fake_log.c The log service of the simulation. */
#include "soak/world_internal.h"

/** A host learns after this time that a read or an append got no answer. */
#define LOG_TIMEOUT_MS 3000u

typedef struct mt_fake_append_t {
	mt_host_ref_t origin;
	char *stream;
	GPtrArray *records;
	mt_append_result_t result;
	mt_append_cb cb;
	void *ctx;
} mt_fake_append_t;

typedef struct mt_fake_read_t {
	mt_host_ref_t origin;
	char *stream;
	uint64_t from;
	mt_ms_t deadline;    /**< answered at this time even without
				  new records */
	mt_log_page_t *page; /**< answer; NULL: the read failed */
	mt_read_cb cb;
	void *ctx;
} mt_fake_read_t;

static void answer_read(void *ctx)
{
	mt_fake_read_t *read = ctx;

	if (mt_defer_while_frozen(&read->origin, answer_read, read))
		return;
	if (mt_host_ref_is_current(&read->origin)) {
		mt_host_advance(read->origin.host);
		/* The host's timers, which mt_host_advance() runs, might have
		 * ended this incarnation. At present none does: hosts are
		 * killed only by faults.c, from timers of the world, and by
		 * mt_world_free(). */
		read->cb(read->ctx, read->page);
	} else {
		mt_log_page_free(read->page);
	}
	g_free(read->stream);
	g_free(read);
}

static void read_and_answer(mt_world_t *world, mt_fake_read_t *read)
{
	read->page = mt_log_model_read(world->log, read->stream, read->from,
				       mt_world_now(world));
	mt_world_after(world, mt_platform_latency(read->origin.host),
		       answer_read, read);
}

void mt_fake_log_wake_readers(mt_world_t *world)
{
	GPtrArray *waiters = world->log_waiters;

	for (guint i = waiters->len; i-- > 0;) {
		mt_fake_read_t *read = waiters->pdata[i];
		bool expired = mt_world_now(world) >= read->deadline;

		if (!expired &&
		    mt_log_model_next(world->log, read->stream) <= read->from)
			continue;
		g_ptr_array_remove_index(waiters, i);
		read_and_answer(world, read);
	}
}

static void on_read_arrival(void *ctx)
{
	mt_fake_read_t *read = ctx;
	mt_host_t *host = read->origin.host;
	mt_world_t *world = host->world;

	if (world->active_faults.log_away || mt_is_platform_cut(host)) {
		mt_world_after(world,
			       mt_is_platform_cut(host)
				       ? LOG_TIMEOUT_MS
				       : mt_platform_latency(host),
			       answer_read, read);
	} else if (mt_log_model_next(world->log, read->stream) > read->from ||
		   mt_world_now(world) >= read->deadline) {
		read_and_answer(world, read);
	} else {
		g_ptr_array_add(world->log_waiters, read);
	}
}

static void fake_read(void *self, const char *stream, uint64_t from,
		      uint32_t wait_ms, mt_read_cb cb, void *ctx)
{
	mt_host_t *host = self;
	mt_fake_read_t *read = g_new0(mt_fake_read_t, 1);

	read->origin = mt_host_ref(host);
	read->stream = g_strdup(stream);
	read->from = from;
	read->deadline = mt_world_now(host->world) + wait_ms;
	read->cb = cb;
	read->ctx = ctx;
	mt_world_after(host->world, mt_platform_latency(host), on_read_arrival,
		       read);
}

static void answer_append(void *ctx)
{
	mt_fake_append_t *append = ctx;

	if (mt_defer_while_frozen(&append->origin, answer_append, append))
		return;
	if (mt_host_ref_is_current(&append->origin)) {
		mt_host_advance(append->origin.host);
		append->cb(append->ctx, append->result);
	}
	g_ptr_array_unref(append->records);
	g_free(append->stream);
	g_free(append);
}

/**
 * Adds a line to the trace if the record is a claim, the voiding of a claim
 * (ClaimVoid) or an outcome.
 */
static void trace_record(mt_world_t *world, const mt_host_t *host,
			 GBytes *packed)
{
	MtPb__Record *record = mt_record_unpack(packed);
	const char *host_name_text = host->settings->host.text;
	mt_job_id_t id;

	if (record && record->body_case == MT_PB__RECORD__BODY_CLAIM &&
	    mt_job_id_read(&record->claim->job, &id))
		mt_world_trace(world,
			       "%s appends claim %u of job %s, on server %s",
			       host_name_text, record->claim->number,
			       mt_job_id_text(&id).text,
			       record->claim->targets[0]->server);
	if (record && record->body_case == MT_PB__RECORD__BODY_CLAIM_VOID &&
	    mt_job_id_read(&record->claim_void->job, &id))
		mt_world_trace(world,
			       "%s appends that claim %u of job %s is void",
			       host_name_text, record->claim_void->number,
			       mt_job_id_text(&id).text);
	if (record && record->body_case == MT_PB__RECORD__BODY_OUTCOME &&
	    mt_job_id_read(&record->outcome->job, &id))
		mt_world_trace(
			world, "%s appends outcome %s (%s) of job %s",
			host_name_text, mt_outcome_name(record->outcome->kind),
			record->outcome->reason, mt_job_id_text(&id).text);
	if (record)
		mt_record_free(record);
}

static void apply_append(mt_world_t *world, const mt_fake_append_t *append)
{
	for (guint i = 0; i < append->records->len; i++)
		trace_record(world, append->origin.host,
			     append->records->pdata[i]);
	mt_log_model_append(world->log, append->stream, mt_world_now(world),
			    append->records);
	mt_fake_log_wake_readers(world);
}

/**
 * Executes an append late. The host may have learnt before, LOG_TIMEOUT_MS
 * after its arrival, that the result is unknown.
 */
static void on_late_append_arrival(void *ctx)
{
	mt_fake_append_t *append = ctx;

	apply_append(append->origin.host->world, append);
	g_ptr_array_unref(append->records);
	g_free(append->stream);
	g_free(append);
}

static void on_append_arrival(void *ctx)
{
	mt_fake_append_t *append = ctx;
	mt_host_t *host = append->origin.host;
	mt_world_t *world = host->world;
	mt_ms_t answer_delay = mt_platform_latency(host);

	if (world->active_faults.log_away) {
		append->result = MT_APPEND_NOT_DONE;
	} else if (mt_is_platform_cut(host)) {
		append->result = MT_APPEND_UNKNOWN;
		answer_delay = LOG_TIMEOUT_MS;
	} else if (mt_world_random_bool(world, world->active_faults.log_late)) {
		mt_fake_append_t *late = g_memdup2(append, sizeof(*append));

		late->stream = g_strdup(append->stream);
		g_ptr_array_ref(late->records);
		mt_world_after(
			world,
			mt_world_random_below(world, MT_SOAK_DELAY_MAX_MS),
			on_late_append_arrival, late);
		append->result = MT_APPEND_UNKNOWN;
		answer_delay = LOG_TIMEOUT_MS;
	} else {
		apply_append(world, append);
		append->result = MT_APPEND_DONE;
		if (mt_world_random_bool(world,
					 world->active_faults.log_lost)) {
			append->result = MT_APPEND_UNKNOWN;
			answer_delay = LOG_TIMEOUT_MS;
		}
	}
	mt_world_after(world, answer_delay, answer_append, append);
}

static void fake_append(void *self, const char *stream, GPtrArray *records,
			mt_append_cb cb, void *ctx)
{
	mt_host_t *host = self;
	mt_fake_append_t *append = g_new0(mt_fake_append_t, 1);

	append->origin = mt_host_ref(host);
	append->stream = g_strdup(stream);
	append->records = g_ptr_array_ref(records);
	append->cb = cb;
	append->ctx = ctx;
	mt_world_after(host->world, mt_platform_latency(host),
		       on_append_arrival, append);
}

void mt_world_append(mt_world_t *world, const char *stream, GBytes *record)
{
	GPtrArray *records = g_ptr_array_new();

	g_ptr_array_add(records, record);
	mt_log_model_append(world->log, stream, mt_world_now(world), records);
	g_ptr_array_unref(records);
	mt_fake_log_wake_readers(world);
}

mt_log_port_t mt_fake_log_port(mt_host_t *host)
{
	return (mt_log_port_t){host, fake_append, fake_read};
}
