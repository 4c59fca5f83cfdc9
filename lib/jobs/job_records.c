/** @file job_records.c Applies records to jobs, and packs Carry records. */
#include <string.h>

#include "jobs/jobs_internal.h"

static bool is_accept_well_formed(const MtPb__Accept *accept)
{
	return accept->spec && accept->spec->members &&
	       accept->body_digest.len == MT_DIGEST_BYTES &&
	       accept->payload.len <= MT_PAYLOAD_MAX_BYTES &&
	       mt_name_is_valid(mt_str_from(accept->account)) &&
	       mt_name_is_valid(mt_str_from(accept->dc));
}

static mt_job_t *job_from_accept(const MtPb__Accept *accept,
				 const mt_job_id_t *id, uint64_t at_ms)
{
	mt_job_t *job =
		mt_job_new(id, accept->account, accept->spec, &accept->payload);

	job->dc = mt_name(accept->dc);
	memcpy(job->body_digest, accept->body_digest.data, MT_DIGEST_BYTES);
	job->accepted_at_ms = at_ms;
	job->oldest_record_at_ms = at_ms;
	return job;
}

static void apply_accept(mt_jobs_t *jobs, const mt_job_id_t *id,
			 uint64_t offset, uint64_t at_ms,
			 const MtPb__Accept *accept)
{
	mt_job_t *job = mt_jobs_find(jobs, id);

	if (!is_accept_well_formed(accept))
		return;
	if (job && mt_job_is_tombstone_expired(job, at_ms)) {
		mt_jobs_drop(jobs, job);
		job = NULL;
	}
	if (job)
		return;
	job = job_from_accept(accept, id, at_ms);
	job->last_change_offset = offset;
	mt_jobs_insert(jobs, job);
	mt_jobs_notify(jobs, job, MT_JOB_ADDED);
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
	mt_jobs_notify(jobs, job, (mt_job_change_t)change);
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

void mt_jobs_create_from_carry(mt_jobs_t *jobs, const mt_job_id_t *id,
			       uint64_t at_ms, const MtPb__Carry *carry)
{
	mt_job_t *job;

	if (carry->as_of + 1 < jobs->start_offset ||
	    !is_carry_well_formed(carry))
		return;
	job = job_from_carry(carry, id, at_ms);
	job->last_change_offset = carry->as_of;
	mt_jobs_insert(jobs, job);
	mt_jobs_notify(jobs, job, MT_JOB_ADDED);
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
		mt_jobs_create_from_carry(jobs, id, at_ms, carry);
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
	job = mt_job_new(id, cancel->account, &spec, &no_payload);
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
	mt_jobs_insert(jobs, job);
	mt_jobs_notify(jobs, job, MT_JOB_ENDED);
}

void mt_jobs_apply_record(mt_jobs_t *jobs, const mt_job_id_t *id,
			  uint64_t offset, uint64_t at_ms,
			  const MtPb__Record *record)
{
	mt_job_t *job = mt_jobs_find(jobs, id);

	/* A record in the log takes precedence over a direct run. */
	if (job && job->direct) {
		mt_jobs_drop(jobs, job);
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
