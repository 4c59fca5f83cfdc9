/** @file jobs.c The table of jobs, built from the records of the log. */
#include "jobs/jobs.h"

#include <string.h>

typedef struct mt_subscriber_t {
	mt_job_cb cb;
	void *ctx;
} mt_subscriber_t;

/** A record that is kept until the end of the stream is reached. */
typedef struct mt_deferred_record_t {
	uint64_t offset;
	uint64_t at_ms;
	mt_job_id_t job;
	GBytes *packed;
} mt_deferred_record_t;

struct mt_jobs_t {
	GHashTable *all;       /**< mt_job_id_t to mt_job_t, which it owns */
	GHashTable *live;      /**< the jobs of `all` without an outcome */
	GArray *deferred;      /**< of mt_deferred_record_t; NULL once loaded */
	GArray *subscribers;   /**< of mt_subscriber_t */
	uint64_t start_offset; /**< see mt_jobs_reset() */
};

static void free_job(gpointer data)
{
	mt_job_t *job = data;

	mt_pb__spec__free_unpacked(job->spec, NULL);
	g_clear_pointer(&job->payload, g_bytes_unref);
	g_clear_pointer(&job->result, g_bytes_unref);
	if (job->claim)
		mt_pb__claim__free_unpacked(job->claim, NULL);
	g_free(job->reason);
	g_free(job);
}

static void clear_deferred(gpointer data)
{
	mt_deferred_record_t *deferred = data;

	g_bytes_unref(deferred->packed);
}

mt_jobs_t *mt_jobs_new(void)
{
	mt_jobs_t *jobs = g_new0(mt_jobs_t, 1);

	jobs->all = g_hash_table_new_full(mt_job_id_hash, mt_job_id_key_equal,
					  NULL, free_job);
	jobs->live = g_hash_table_new(mt_job_id_hash, mt_job_id_key_equal);
	jobs->subscribers = g_array_new(FALSE, FALSE, sizeof(mt_subscriber_t));
	return jobs;
}

void mt_jobs_free(mt_jobs_t *jobs)
{
	if (!jobs)
		return;
	g_clear_pointer(&jobs->deferred, g_array_unref);
	g_hash_table_destroy(jobs->live);
	g_hash_table_destroy(jobs->all);
	g_array_unref(jobs->subscribers);
	g_free(jobs);
}

void mt_jobs_subscribe(mt_jobs_t *jobs, mt_job_cb cb, void *ctx)
{
	mt_subscriber_t subscriber = {cb, ctx};

	g_array_append_val(jobs->subscribers, subscriber);
}

static void notify(mt_jobs_t *jobs, mt_job_t *job, mt_job_change_t change)
{
	for (guint i = 0; i < jobs->subscribers->len; i++) {
		mt_subscriber_t *subscriber =
			&g_array_index(jobs->subscribers, mt_subscriber_t, i);

		subscriber->cb(subscriber->ctx, job, change);
	}
}

static void drop_job(mt_jobs_t *jobs, mt_job_t *job)
{
	notify(jobs, job, MT_JOB_DROPPED);
	g_hash_table_remove(jobs->live, &job->id);
	g_hash_table_remove(jobs->all, &job->id);
}

void mt_jobs_reset(mt_jobs_t *jobs, uint64_t offset)
{
	GList *all = g_hash_table_get_values(jobs->all);

	for (GList *at = all; at; at = at->next)
		drop_job(jobs, at->data);
	g_list_free(all);
	g_clear_pointer(&jobs->deferred, g_array_unref);
	jobs->start_offset = offset;
	if (!offset)
		return;
	jobs->deferred =
		g_array_new(FALSE, FALSE, sizeof(mt_deferred_record_t));
	g_array_set_clear_func(jobs->deferred, clear_deferred);
}

mt_job_t *mt_jobs_find(const mt_jobs_t *jobs, const mt_job_id_t *id)
{
	return g_hash_table_lookup(jobs->all, id);
}

GHashTable *mt_jobs_live(const mt_jobs_t *jobs)
{
	return jobs->live;
}

/** @return false when the record concerns no job */
static bool read_job_id(const MtPb__Record *record, mt_job_id_t *id)
{
	switch (record->body_case) {
	case MT_PB__RECORD__BODY_ACCEPT:
		return mt_job_id_read(&record->accept->job, id);
	case MT_PB__RECORD__BODY_CLAIM:
		return mt_job_id_read(&record->claim->job, id);
	case MT_PB__RECORD__BODY_CLAIM_VOID:
		return mt_job_id_read(&record->claim_void->job, id);
	case MT_PB__RECORD__BODY_OUTCOME:
		return mt_job_id_read(&record->outcome->job, id);
	case MT_PB__RECORD__BODY_CANCEL:
		return mt_job_id_read(&record->cancel->job, id);
	case MT_PB__RECORD__BODY_MOVE:
		return mt_job_id_read(&record->move->job, id);
	case MT_PB__RECORD__BODY_CARRY:
		return record->carry->accept &&
		       mt_job_id_read(&record->carry->accept->job, id);
	default:
		return false;
	}
}

static bool is_accept_well_formed(const MtPb__Accept *accept)
{
	return accept->spec && accept->spec->members &&
	       accept->body_digest.len == MT_DIGEST_BYTES &&
	       accept->payload.len <= MT_PAYLOAD_MAX_BYTES &&
	       mt_name_is_valid(mt_str_from(accept->account)) &&
	       mt_name_is_valid(mt_str_from(accept->dc));
}

static mt_job_t *new_job(const mt_job_id_t *id, const char *account,
			 const MtPb__Spec *spec,
			 const ProtobufCBinaryData *payload)
{
	mt_job_t *job = g_new0(mt_job_t, 1);

	job->id = *id;
	job->account = mt_name(account);
	job->epoch = 1;
	job->spec = mt_spec_dup(spec);
	job->payload = mt_bytes_from_field(payload);
	return job;
}

static void insert_job(mt_jobs_t *jobs, mt_job_t *job)
{
	g_hash_table_insert(jobs->all, &job->id, job);
	if (mt_job_is_live(job))
		g_hash_table_insert(jobs->live, &job->id, job);
}

static mt_job_t *job_from_accept(const MtPb__Accept *accept,
				 const mt_job_id_t *id, uint64_t at_ms)
{
	mt_job_t *job =
		new_job(id, accept->account, accept->spec, &accept->payload);

	job->dc = mt_name(accept->dc);
	memcpy(job->body_digest, accept->body_digest.data, MT_DIGEST_BYTES);
	job->accepted_at_ms = at_ms;
	job->oldest_record_at_ms = at_ms;
	return job;
}

static bool is_tombstone_expired(const mt_job_t *job, uint64_t at_ms)
{
	return !mt_job_is_live(job) && !job->direct &&
	       at_ms > job->ended_at_ms + MT_KEY_RETENTION_MS;
}

static void apply_accept(mt_jobs_t *jobs, const mt_job_id_t *id,
			 uint64_t offset, uint64_t at_ms,
			 const MtPb__Accept *accept)
{
	mt_job_t *job = mt_jobs_find(jobs, id);

	if (!is_accept_well_formed(accept))
		return;
	if (job && is_tombstone_expired(job, at_ms)) {
		drop_job(jobs, job);
		job = NULL;
	}
	if (job)
		return;
	job = job_from_accept(accept, id, at_ms);
	job->last_change_offset = offset;
	insert_job(jobs, job);
	notify(jobs, job, MT_JOB_ADDED);
}

static bool apply_claim(mt_job_t *job, const MtPb__Claim *claim)
{
	if (!mt_job_is_live(job) || job->cancel_requested || job->claim ||
	    claim->epoch != job->epoch ||
	    claim->number != job->last_claim_number + 1 || !claim->n_targets)
		return false;
	job->claim = mt_claim_dup(claim);
	job->last_claim_number = claim->number;
	return true;
}

static bool apply_claim_void(mt_job_t *job, const MtPb__ClaimVoid *claim_void)
{
	if (!mt_job_is_live(job) || !job->claim ||
	    job->claim->number != claim_void->number)
		return false;
	mt_pb__claim__free_unpacked(job->claim, NULL);
	job->claim = NULL;
	return true;
}

/** True for the outcomes that a job can have without having started. */
static bool is_possible_without_start(MtPb__OutcomeKind kind)
{
	return kind == MT_PB__OUTCOME_KIND__OUTCOME_REFUSED ||
	       kind == MT_PB__OUTCOME_KIND__OUTCOME_CANCELLED;
}

static bool is_outcome_valid(const mt_job_t *job, const MtPb__Outcome *outcome)
{
	if (!mt_job_is_live(job) || outcome->epoch != job->epoch ||
	    outcome->kind == MT_PB__OUTCOME_KIND__OUTCOME_NONE ||
	    outcome->result.len > MT_RESULT_MAX_BYTES)
		return false;
	if (job->spec->idempotent)
		return true;
	if (!job->claim)
		return is_possible_without_start(outcome->kind);
	return outcome->claim_number == job->claim->number;
}

static void set_outcome(mt_job_t *job, const MtPb__Outcome *outcome)
{
	job->outcome = outcome->kind;
	job->reason = g_strdup(outcome->reason);
	if (outcome->kind == MT_PB__OUTCOME_KIND__OUTCOME_FINISHED)
		job->result = mt_bytes_from_field(&outcome->result);
	g_clear_pointer(&job->payload, g_bytes_unref);
}

static bool apply_outcome(mt_jobs_t *jobs, mt_job_t *job, uint64_t at_ms,
			  const MtPb__Outcome *outcome)
{
	if (!is_outcome_valid(job, outcome))
		return false;
	job->not_run = !job->spec->idempotent && !job->claim;
	job->ended_at_ms = at_ms;
	set_outcome(job, outcome);
	g_hash_table_remove(jobs->live, &job->id);
	return true;
}

static bool apply_move(mt_job_t *job, const MtPb__Move *move)
{
	if (!mt_job_is_live(job) || job->claim ||
	    move->epoch != job->epoch + 1 ||
	    !mt_name_is_valid(mt_str_from(move->dc)))
		return false;
	job->epoch = move->epoch;
	job->dc = mt_name(move->dc);
	return true;
}

static bool apply_cancel(mt_job_t *job)
{
	if (!mt_job_is_live(job) || job->cancel_requested)
		return false;
	job->cancel_requested = true;
	return true;
}

/** @return the mt_job_change_t, or -1 when the record is not valid */
static int apply_to_job(mt_jobs_t *jobs, mt_job_t *job, uint64_t at_ms,
			const MtPb__Record *record)
{
	switch (record->body_case) {
	case MT_PB__RECORD__BODY_CLAIM:
		return apply_claim(job, record->claim) ? MT_JOB_CLAIMED : -1;
	case MT_PB__RECORD__BODY_CLAIM_VOID:
		return apply_claim_void(job, record->claim_void)
			       ? MT_JOB_CLAIM_VOIDED
			       : -1;
	case MT_PB__RECORD__BODY_OUTCOME:
		return apply_outcome(jobs, job, at_ms, record->outcome)
			       ? MT_JOB_ENDED
			       : -1;
	case MT_PB__RECORD__BODY_CANCEL:
		return apply_cancel(job) ? MT_JOB_CANCEL_REQUESTED : -1;
	case MT_PB__RECORD__BODY_MOVE:
		return apply_move(job, record->move) ? MT_JOB_MOVED : -1;
	default:
		return -1;
	}
}

static void apply_change(mt_jobs_t *jobs, mt_job_t *job, uint64_t offset,
			 uint64_t at_ms, const MtPb__Record *record)
{
	int change = apply_to_job(jobs, job, at_ms, record);

	if (change < 0)
		return;
	job->last_change_offset = offset;
	notify(jobs, job, (mt_job_change_t)change);
}

static bool is_carry_well_formed(const MtPb__Carry *carry)
{
	return is_accept_well_formed(carry->accept) &&
	       (!carry->outcome ||
		carry->outcome->result.len <= MT_RESULT_MAX_BYTES);
}

static mt_job_t *job_from_carry(const MtPb__Carry *carry, const mt_job_id_t *id,
				uint64_t at_ms)
{
	mt_job_t *job =
		job_from_accept(carry->accept, id, carry->accepted_at_ms);

	job->oldest_record_at_ms = at_ms;
	job->epoch = carry->epoch;
	job->cancel_requested = carry->cancel;
	job->never_accepted = carry->never_accepted;
	job->last_claim_number = carry->claims;
	if (carry->claim)
		job->claim = mt_claim_dup(carry->claim);
	if (carry->outcome) {
		set_outcome(job, carry->outcome);
		job->not_run = carry->not_run;
		job->ended_at_ms = carry->ended_at_ms;
	}
	return job;
}

/**
 * Creates a job from a Carry, unless the log has dropped records that the Carry
 * does not cover.
 */
static void create_from_carry(mt_jobs_t *jobs, const mt_job_id_t *id,
			      uint64_t at_ms, const MtPb__Carry *carry)
{
	mt_job_t *job;

	if (carry->as_of + 1 < jobs->start_offset ||
	    !is_carry_well_formed(carry))
		return;
	job = job_from_carry(carry, id, at_ms);
	job->last_change_offset = carry->as_of;
	insert_job(jobs, job);
	notify(jobs, job, MT_JOB_ADDED);
}

/**
 * Creates the job if it is unknown, because the log has dropped its other
 * records. Otherwise only updates the time of the oldest record that it needs.
 */
static void apply_carry(mt_jobs_t *jobs, const mt_job_id_t *id, uint64_t at_ms,
			const MtPb__Carry *carry)
{
	mt_job_t *job = mt_jobs_find(jobs, id);

	if (!job)
		create_from_carry(jobs, id, at_ms, carry);
	/* A Carry replaces the older records only if it covers the last one
	 * that changed the job. */
	else if (carry->as_of >= job->last_change_offset)
		job->oldest_record_at_ms = at_ms;
}

/**
 * Inserts a tombstone for an unknown job that is cancelled, so that a later
 * Accept of the job is invalid.
 */
static void insert_cancelled_before_accept(mt_jobs_t *jobs,
					   const mt_job_id_t *id,
					   uint64_t offset, uint64_t at_ms,
					   const MtPb__Cancel *cancel)
{
	static const ProtobufCBinaryData no_payload;
	MtPb__Spec spec = MT_PB__SPEC__INIT;
	mt_job_t *job;

	if (!mt_name_is_valid(mt_str_from(cancel->account)))
		return;
	/* A Carry of the tombstone is valid only with members and the name of a
	 * data centre, so both are set although the job was never accepted. */
	spec.members = 1;
	job = new_job(id, cancel->account, &spec, &no_payload);
	g_clear_pointer(&job->payload, g_bytes_unref);
	job->dc = mt_name("none");
	job->accepted_at_ms = at_ms;
	job->oldest_record_at_ms = at_ms;
	job->ended_at_ms = at_ms;
	job->last_change_offset = offset;
	job->cancel_requested = true;
	job->never_accepted = true;
	/* `once` states that the job is not idempotent. It then cannot have run
	 * directly either. */
	job->not_run = cancel->once;
	job->outcome = MT_PB__OUTCOME_KIND__OUTCOME_CANCELLED;
	job->reason = g_strdup("cancelled_before_acceptance");
	insert_job(jobs, job);
	notify(jobs, job, MT_JOB_ENDED);
}

static void apply_record(mt_jobs_t *jobs, const mt_job_id_t *id,
			 uint64_t offset, uint64_t at_ms,
			 const MtPb__Record *record)
{
	mt_job_t *job = mt_jobs_find(jobs, id);

	/* A record in the log takes precedence over a direct run. */
	if (job && job->direct) {
		drop_job(jobs, job);
		job = NULL;
	}
	if (record->body_case == MT_PB__RECORD__BODY_ACCEPT)
		apply_accept(jobs, id, offset, at_ms, record->accept);
	else if (record->body_case == MT_PB__RECORD__BODY_CARRY)
		apply_carry(jobs, id, at_ms, record->carry);
	else if (job)
		apply_change(jobs, job, offset, at_ms, record);
	else if (record->body_case == MT_PB__RECORD__BODY_CANCEL)
		insert_cancelled_before_accept(jobs, id, offset, at_ms,
					       record->cancel);
}

static void defer_record(mt_jobs_t *jobs, const mt_job_id_t *id,
			 uint64_t offset, uint64_t at_ms,
			 const MtPb__Record *record)
{
	mt_deferred_record_t deferred = {offset, at_ms, *id,
					 mt_record_pack(record)};

	g_array_append_val(jobs->deferred, deferred);
}

void mt_jobs_apply(mt_jobs_t *jobs, uint64_t offset, uint64_t at_ms,
		   const MtPb__Record *record)
{
	mt_job_id_t id;

	if (!read_job_id(record, &id))
		return;
	if (jobs->deferred)
		defer_record(jobs, &id, offset, at_ms, record);
	else
		apply_record(jobs, &id, offset, at_ms, record);
}

static void visit_deferred(mt_jobs_t *jobs, const GArray *records,
			   void (*visit)(mt_jobs_t *jobs,
					 const mt_deferred_record_t *deferred,
					 const MtPb__Record *record))
{
	for (guint i = 0; i < records->len; i++) {
		const mt_deferred_record_t *deferred =
			&g_array_index(records, mt_deferred_record_t, i);
		MtPb__Record *record = mt_record_unpack(deferred->packed);

		visit(jobs, deferred, record);
		mt_record_free(record);
	}
}

static void create_from_deferred_carry(mt_jobs_t *jobs,
				       const mt_deferred_record_t *deferred,
				       const MtPb__Record *record)
{
	if (record->body_case == MT_PB__RECORD__BODY_CARRY &&
	    !mt_jobs_find(jobs, &deferred->job))
		create_from_carry(jobs, &deferred->job, deferred->at_ms,
				  record->carry);
}

/** Applies a record unless the Carry that created the job covers it. */
static void apply_deferred(mt_jobs_t *jobs,
			   const mt_deferred_record_t *deferred,
			   const MtPb__Record *record)
{
	const mt_job_t *job = mt_jobs_find(jobs, &deferred->job);

	if (!job || deferred->offset > job->last_change_offset)
		apply_record(jobs, &deferred->job, deferred->offset,
			     deferred->at_ms, record);
}

void mt_jobs_finish_loading(mt_jobs_t *jobs)
{
	GArray *deferred = jobs->deferred;

	if (!deferred)
		return;
	jobs->deferred = NULL;
	visit_deferred(jobs, deferred, create_from_deferred_carry);
	visit_deferred(jobs, deferred, apply_deferred);
	g_array_unref(deferred);
}

bool mt_jobs_is_loaded(const mt_jobs_t *jobs)
{
	return !jobs->deferred;
}

void mt_jobs_prune(mt_jobs_t *jobs, uint64_t log_now_ms)
{
	GHashTableIter iter;
	gpointer value;
	GPtrArray *expired = g_ptr_array_new();

	g_hash_table_iter_init(&iter, jobs->all);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (is_tombstone_expired(value, log_now_ms))
			g_ptr_array_add(expired, value);
	}
	for (guint i = 0; i < expired->len; i++)
		drop_job(jobs, expired->pdata[i]);
	g_ptr_array_unref(expired);
}

GPtrArray *mt_jobs_with_old_records(const mt_jobs_t *jobs, uint64_t log_now_ms,
				    uint64_t age_ms)
{
	GPtrArray *old = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, jobs->all);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_job_t *job = value;

		if (!job->direct &&
		    job->oldest_record_at_ms + age_ms < log_now_ms)
			g_ptr_array_add(old, value);
	}
	return old;
}

static void fill_outcome(const mt_job_t *job, MtPb__Outcome *outcome)
{
	outcome->job = mt_job_id_field(&job->id);
	outcome->epoch = job->epoch;
	outcome->kind = job->outcome;
	outcome->reason = job->reason ? job->reason : outcome->reason;
	outcome->claim_number = job->last_claim_number;
	if (job->result)
		outcome->result = mt_field_from_bytes(job->result);
}

GBytes *mt_job_pack_carry(const mt_job_t *job, uint64_t as_of)
{
	MtPb__Record record = MT_PB__RECORD__INIT;
	MtPb__Carry carry = MT_PB__CARRY__INIT;
	MtPb__Accept accept = MT_PB__ACCEPT__INIT;
	MtPb__Outcome outcome = MT_PB__OUTCOME__INIT;

	accept.job = mt_job_id_field(&job->id);
	accept.account = (char *)job->account.text;
	accept.dc = (char *)job->dc.text;
	accept.spec = job->spec;
	accept.body_digest = (ProtobufCBinaryData){MT_DIGEST_BYTES,
						   (uint8_t *)job->body_digest};
	if (job->payload)
		accept.payload = mt_field_from_bytes(job->payload);
	carry.accept = &accept;
	carry.accepted_at_ms = job->accepted_at_ms;
	carry.epoch = job->epoch;
	carry.cancel = job->cancel_requested;
	carry.never_accepted = job->never_accepted;
	carry.claim = job->claim;
	carry.claims = job->last_claim_number;
	carry.as_of = as_of;
	if (!mt_job_is_live(job)) {
		fill_outcome(job, &outcome);
		carry.outcome = &outcome;
		carry.not_run = job->not_run;
		carry.ended_at_ms = job->ended_at_ms;
	}
	record.body_case = MT_PB__RECORD__BODY_CARRY;
	record.carry = &carry;
	return mt_record_pack(&record);
}

mt_job_t *mt_jobs_add_direct(mt_jobs_t *jobs, const MtPb__DirectRun *run)
{
	mt_job_id_t id;
	mt_job_t *job;

	if (!run->spec || !run->spec->idempotent || !run->spec->members ||
	    !mt_job_id_read(&run->job, &id) || mt_jobs_find(jobs, &id))
		return NULL;
	job = new_job(&id, run->account, run->spec, &run->payload);
	job->direct = true;
	insert_job(jobs, job);
	notify(jobs, job, MT_JOB_ADDED);
	return job;
}

void mt_jobs_drop_direct(mt_jobs_t *jobs, mt_job_t *job)
{
	g_assert(job->direct);
	drop_job(jobs, job);
}

void mt_jobs_drop_all_direct(mt_jobs_t *jobs)
{
	GList *live = g_hash_table_get_values(jobs->live);

	for (GList *at = live; at; at = at->next) {
		if (((mt_job_t *)at->data)->direct)
			drop_job(jobs, at->data);
	}
	g_list_free(live);
}

const char *mt_outcome_name(MtPb__OutcomeKind kind)
{
	switch (kind) {
	case MT_PB__OUTCOME_KIND__OUTCOME_FINISHED:
		return "finished";
	case MT_PB__OUTCOME_KIND__OUTCOME_FAILED:
		return "failed";
	case MT_PB__OUTCOME_KIND__OUTCOME_REFUSED:
		return "refused";
	case MT_PB__OUTCOME_KIND__OUTCOME_CANCELLED:
		return "cancelled";
	case MT_PB__OUTCOME_KIND__OUTCOME_UNKNOWN:
		return "unknown";
	default:
		return "accepted";
	}
}
