/** @file jobs.c The table of jobs, and the loading of the job stream. */
#include "jobs/jobs_internal.h"

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

void mt_jobs_notify(mt_jobs_t *jobs, mt_job_t *job, mt_job_change_t change)
{
	for (guint i = 0; i < jobs->subscribers->len; i++) {
		mt_subscriber_t *subscriber =
			&g_array_index(jobs->subscribers, mt_subscriber_t, i);

		subscriber->cb(subscriber->ctx, job, change);
	}
}

void mt_jobs_drop(mt_jobs_t *jobs, mt_job_t *job)
{
	mt_jobs_notify(jobs, job, MT_JOB_DROPPED);
	g_hash_table_remove(jobs->live, &job->id);
	g_hash_table_remove(jobs->all, &job->id);
}

void mt_jobs_reset(mt_jobs_t *jobs, uint64_t offset)
{
	GList *all = g_hash_table_get_values(jobs->all);

	for (GList *at = all; at; at = at->next)
		mt_jobs_drop(jobs, at->data);
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

mt_job_t *mt_job_new(const mt_job_id_t *id, const char *account,
		     const MtPb__Spec *spec, const ProtobufCBinaryData *payload)
{
	mt_job_t *job = g_new0(mt_job_t, 1);

	job->id = *id;
	job->account = mt_name(account);
	job->epoch = 1;
	job->spec = mt_spec_dup(spec);
	job->payload = mt_bytes_from_field(payload);
	return job;
}

void mt_jobs_insert(mt_jobs_t *jobs, mt_job_t *job)
{
	g_hash_table_insert(jobs->all, &job->id, job);
	if (mt_job_is_live(job))
		g_hash_table_insert(jobs->live, &job->id, job);
}

bool mt_job_is_tombstone_expired(const mt_job_t *job, uint64_t at_ms)
{
	return !mt_job_is_live(job) && !job->direct &&
	       at_ms > job->ended_at_ms + MT_KEY_RETENTION_MS;
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
		mt_jobs_apply_record(jobs, &id, offset, at_ms, record);
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
		mt_jobs_create_from_carry(jobs, &deferred->job, deferred->at_ms,
					  record->carry);
}

/** Applies a record unless the Carry that created the job covers it. */
static void apply_deferred(mt_jobs_t *jobs,
			   const mt_deferred_record_t *deferred,
			   const MtPb__Record *record)
{
	const mt_job_t *job = mt_jobs_find(jobs, &deferred->job);

	if (!job || deferred->offset > job->last_change_offset)
		mt_jobs_apply_record(jobs, &deferred->job, deferred->offset,
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
		if (mt_job_is_tombstone_expired(value, log_now_ms))
			g_ptr_array_add(expired, value);
	}
	for (guint i = 0; i < expired->len; i++)
		mt_jobs_drop(jobs, expired->pdata[i]);
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

mt_job_t *mt_jobs_add_direct(mt_jobs_t *jobs, const MtPb__DirectRun *run)
{
	mt_job_id_t id;
	mt_job_t *job;

	if (!run->spec || !run->spec->idempotent || !run->spec->members ||
	    !mt_job_id_read(&run->job, &id) || mt_jobs_find(jobs, &id))
		return NULL;
	job = mt_job_new(&id, run->account, run->spec, &run->payload);
	job->direct = true;
	mt_jobs_insert(jobs, job);
	mt_jobs_notify(jobs, job, MT_JOB_ADDED);
	return job;
}

void mt_jobs_drop_direct(mt_jobs_t *jobs, mt_job_t *job)
{
	g_assert(job->direct);
	mt_jobs_drop(jobs, job);
}

void mt_jobs_drop_all_direct(mt_jobs_t *jobs)
{
	GList *live = g_hash_table_get_values(jobs->live);

	for (GList *at = live; at; at = at->next) {
		if (((mt_job_t *)at->data)->direct)
			mt_jobs_drop(jobs, at->data);
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
