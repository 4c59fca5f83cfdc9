/** @file table.c Table of accepted jobs, built from records of the store. */
#include "dag/table.h"

#include "dag/memory_budget.h"

struct mt_table_t {
	mt_kernel_t *kernel;
	GHashTable *jobs; /**< id to mt_table_job_t */
	mt_table_watcher_t watcher;
	unsigned n_absent_cancels; /**< see mt_table_n_absent_cancels() */
	uint64_t memory_bytes;	   /**< see mt_table_memory_bytes() */
	/** See mt_table_n_pending(): name of the queue to the number. */
	GHashTable *n_pending;
	/** Records of speeds: hash of the service to mt_speeds_record_t. */
	GHashTable *speeds;
	/** mt_table_job_t that have ended, or are absent and cancelled. */
	GPtrArray *over;
	guint next_over;       /**< index of the next one to be visited */
	mt_ms_t current_as_of; /**< see mt_table_set_current_as_of() */
};

typedef struct mt_speeds_record_t {
	uint64_t service_hash;
	uint64_t offset;
	GBytes *packed; /**< MtDag__Speeds */
} mt_speeds_record_t;

static void free_speeds(gpointer data)
{
	mt_speeds_record_t *speeds = data;

	g_bytes_unref(speeds->packed);
	g_free(speeds);
}

static void free_job(gpointer data)
{
	mt_table_job_t *job = data;

	g_clear_pointer(&job->packed_job, g_bytes_unref);
	g_clear_pointer(&job->packed_progress, g_bytes_unref);
	mt_shared_name_clear(&job->queue);
	mt_shared_name_clear(&job->account);
	g_free(job);
}

mt_table_t *mt_table_new(mt_kernel_t *kernel)
{
	mt_table_t *table = g_new0(mt_table_t, 1);

	table->kernel = kernel;
	table->jobs = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    free_job);
	table->speeds = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      free_speeds);
	table->over = g_ptr_array_new();
	table->n_pending = mt_shared_name_table_new(NULL);
	return table;
}

void mt_table_free(mt_table_t *table)
{
	g_hash_table_destroy(table->jobs);
	g_hash_table_destroy(table->speeds);
	g_hash_table_destroy(table->n_pending);
	g_ptr_array_unref(table->over);
	g_free(table);
}

void mt_table_clear(mt_table_t *table)
{
	g_hash_table_remove_all(table->jobs);
	g_hash_table_remove_all(table->speeds);
	g_hash_table_remove_all(table->n_pending);
	g_ptr_array_set_size(table->over, 0);
	table->n_absent_cancels = 0;
	table->memory_bytes = 0;
}

void mt_table_set_current_as_of(mt_table_t *table, mt_ms_t as_of)
{
	table->current_as_of = as_of;
}

void mt_table_watch(mt_table_t *table, const mt_table_watcher_t *watcher)
{
	table->watcher = watcher ? *watcher : (mt_table_watcher_t){0};
}

bool mt_state_is_final(MtDag__State state)
{
	return state == MT_DAG__STATE__COMPLETED ||
	       state == MT_DAG__STATE__FAILED ||
	       state == MT_DAG__STATE__CANCELLED;
}

/**
 * Finds a job, or adds it if no record of it has been read before. The `queue`
 * of a new entry is empty until the job record has been read.
 */
static mt_table_job_t *find_or_add(mt_table_t *table, uint64_t id)
{
	mt_table_job_t *job = g_hash_table_lookup(table->jobs, &id);

	if (!job) {
		job = g_new0(mt_table_job_t, 1);
		job->id = id;
		g_hash_table_insert(table->jobs, &job->id, job);
	}
	return job;
}

/**
 * If the job's state is final, sets `ended_at` and frees `packed_job` and
 * `packed_progress`, which are not needed any more.
 */
static void mark_ended_if_final(mt_table_t *table, mt_table_job_t *job)
{
	if (!mt_state_is_final(job->state) || job->ended_at)
		return;
	job->ended_at = MAX(1, mt_kernel_now(table->kernel));
	g_clear_pointer(&job->packed_job, g_bytes_unref);
	g_clear_pointer(&job->packed_progress, g_bytes_unref);
}

static void set_names(mt_table_job_t *job, const MtDag__Job *parsed)
{
	mt_shared_name_set(&job->queue, mt_str_from(parsed->queue));
	mt_shared_name_set(&job->account, mt_str_from(parsed->account));
}

static void apply_job(mt_table_t *table, uint64_t id, mt_str_t value)
{
	mt_table_job_t *job = find_or_add(table, id);
	MtDag__Job *parsed;
	size_t memory_bytes;

	/* The job record has been read before; a second one has no effect. */
	if (job->queue.len)
		return;
	parsed = mt_dag__job__unpack(NULL, value.len,
				     (const uint8_t *)value.data);
	if (!parsed) {
		mt_log(table->kernel, MT_LOG_ERR, "table",
		       "ignoring the malformed record of job "
		       "%016" G_GINT64_MODIFIER "x",
		       id);
		return;
	}
	set_names(job, parsed);
	memory_bytes = mt_memory_budget_job_bytes(parsed, value.len);
	mt_dag__job__free_unpacked(parsed, NULL);
	if (mt_state_is_final(job->state))
		return;
	job->memory_bytes = memory_bytes;
	job->packed_job = g_bytes_new(value.data, value.len);
	if (table->watcher.on_accepted)
		table->watcher.on_accepted(table->watcher.ctx, job);
}

/** Notes whether the newest cancel record of the job is a refusal. */
static void note_refusal(const mt_table_t *table, mt_table_job_t *job,
			 mt_str_t value, uint64_t offset)
{
	/* A snapshot delivers the same record again. */
	if (job->refused && offset == job->refused_offset)
		return;
	job->refused = mt_str_equal(value, MT_STR(MT_CANCEL_REFUSED));
	if (!job->refused)
		return;
	job->refused_offset = offset;
	job->refused_after = table->current_as_of;
	job->cancelled_at = MAX(1, mt_kernel_now(table->kernel));
}

static void apply_cancel(mt_table_t *table, uint64_t id, mt_str_t value,
			 uint64_t offset)
{
	mt_table_job_t *job = find_or_add(table, id);

	note_refusal(table, job, value, offset);
	if (job->cancelled)
		return;
	/* The job had ended before it was cancelled. */
	if (mt_state_is_final(job->state) && job->progress_offset < offset)
		return;
	job->cancelled = true;
	job->cancel_offset = offset;
	job->cancelled_at = MAX(1, mt_kernel_now(table->kernel));
	if (job->queue.len && table->watcher.on_cancelled)
		table->watcher.on_cancelled(table->watcher.ctx, job);
}

static void apply_progress(mt_table_t *table, uint64_t id, mt_str_t value,
			   uint64_t offset)
{
	mt_table_job_t *job = find_or_add(table, id);
	MtDag__Progress *parsed;

	/* A newer progress record may have been read before, in a snapshot. */
	if (job->progress_offset && offset < job->progress_offset)
		return;
	parsed = mt_dag__progress__unpack(NULL, value.len,
					  (const uint8_t *)value.data);
	if (!parsed) {
		mt_log(table->kernel, MT_LOG_ERR, "table",
		       "ignoring a malformed progress record of job "
		       "%016" G_GINT64_MODIFIER "x",
		       id);
		return;
	}
	job->progress_offset = offset;
	job->state = parsed->state;
	job->begun = job->begun || parsed->begun;
	g_clear_pointer(&job->packed_progress, g_bytes_unref);
	/* The cancel record was read first, but the job had ended before it was
	 * cancelled: the cancellation has no effect. */
	if (mt_state_is_final(job->state) && job->cancelled &&
	    job->cancel_offset > offset)
		job->cancelled = false;
	if (!mt_state_is_final(job->state))
		job->packed_progress = g_bytes_new(value.data, value.len);
	mt_dag__progress__free_unpacked(parsed, NULL);
	mark_ended_if_final(table, job);
}

bool mt_table_is_absent_cancelled(const mt_table_t *table, uint64_t id)
{
	const mt_table_job_t *job = g_hash_table_lookup(table->jobs, &id);

	return job && job->cancelled && !job->queue.len;
}

const mt_table_job_t *mt_table_find_refused(const mt_table_t *table,
					    uint64_t id)
{
	const mt_table_job_t *job = g_hash_table_lookup(table->jobs, &id);

	return job && job->refused ? job : NULL;
}

unsigned mt_table_n_absent_cancels(const mt_table_t *table)
{
	return table->n_absent_cancels;
}

static void apply_record_of_job(mt_table_t *table, mt_record_kind_t kind,
				uint64_t id, const mt_store_record_t *record)
{
	if (!record->value.len)
		g_hash_table_remove(table->jobs, &id);
	else if (kind == MT_RECORD_JOB)
		apply_job(table, id, record->value);
	else if (kind == MT_RECORD_CANCEL)
		apply_cancel(table, id, record->value, record->offset);
	else
		apply_progress(table, id, record->value, record->offset);
}

static void apply_speeds(mt_table_t *table, uint64_t service_hash,
			 const mt_store_record_t *record)
{
	mt_speeds_record_t *speeds =
		g_hash_table_lookup(table->speeds, &service_hash);

	/* A newer record may have been read before, in a snapshot. */
	if (speeds && record->offset < speeds->offset)
		return;
	if (!record->value.len) {
		g_hash_table_remove(table->speeds, &service_hash);
		return;
	}
	speeds = g_new0(mt_speeds_record_t, 1);
	speeds->service_hash = service_hash;
	speeds->offset = record->offset;
	speeds->packed = g_bytes_new(record->value.data, record->value.len);
	g_hash_table_replace(table->speeds, &speeds->service_hash, speeds);
}

static bool is_pending(const mt_table_job_t *job)
{
	return job->queue.len && !job->begun &&
	       !mt_state_is_final(mt_table_state(job));
}

static uint64_t memory_of(const mt_table_job_t *job)
{
	uint64_t bytes = MT_MEMORY_BUDGET_ENTRY_BYTES;

	if (job->packed_job)
		bytes = MAX(bytes, job->memory_bytes);
	if (job->packed_progress)
		bytes += g_bytes_get_size(job->packed_progress);
	return bytes;
}

static void count_pending(mt_table_t *table, mt_shared_name_t queue, int change)
{
	gint n = GPOINTER_TO_INT(g_hash_table_lookup(
		table->n_pending, mt_shared_name_key(queue)));

	if (n + change)
		g_hash_table_replace(table->n_pending,
				     mt_shared_name_new_key(queue),
				     GINT_TO_POINTER(n + change));
	else
		g_hash_table_remove(table->n_pending,
				    mt_shared_name_key(queue));
}

static void add_over(mt_table_t *table, mt_table_job_t *job)
{
	g_ptr_array_add(table->over, job);
	job->over_index = table->over->len;
}

static void remove_over(mt_table_t *table, mt_table_job_t *job)
{
	guint index = job->over_index - 1;

	job->over_index = 0;
	g_ptr_array_remove_index_fast(table->over, index);
	if (index < table->over->len) {
		mt_table_job_t *moved = table->over->pdata[index];

		moved->over_index = index + 1;
	}
}

/** True if only the records of the job are left, see sweep.c. */
static bool is_over(const mt_table_job_t *job)
{
	return job->queue.len ? job->ended_at != 0 : job->cancelled;
}

/** Adds the job to the counts of the table (1), or takes it out (-1). */
static void count_job(mt_table_t *table, uint64_t id, int change)
{
	mt_table_job_t *job = g_hash_table_lookup(table->jobs, &id);

	if (!job)
		return;
	if (change < 0 && job->over_index)
		remove_over(table, job);
	if (change > 0 && is_over(job))
		add_over(table, job);
	table->n_absent_cancels +=
		(unsigned)(change * mt_table_is_absent_cancelled(table, id));
	table->memory_bytes += (uint64_t)(change * (int64_t)memory_of(job));
	if (is_pending(job))
		count_pending(table, job->queue, change);
}

void mt_table_apply(mt_table_t *table, const mt_store_record_t *record)
{
	mt_record_kind_t kind;
	uint64_t id;

	if (!mt_record_parse_key(record->key, &kind, &id))
		return;
	if (kind == MT_RECORD_SPEEDS)
		apply_speeds(table, id, record);
	if (!mt_record_is_of_job(kind))
		return;
	count_job(table, id, -1);
	apply_record_of_job(table, kind, id, record);
	count_job(table, id, 1);
}

const mt_table_job_t *mt_table_find(const mt_table_t *table, uint64_t id)
{
	const mt_table_job_t *job = g_hash_table_lookup(table->jobs, &id);

	return job && job->queue.len ? job : NULL;
}

MtDag__State mt_table_state(const mt_table_job_t *job)
{
	return job->cancelled ? MT_DAG__STATE__CANCELLED : job->state;
}

unsigned mt_table_n_pending(const mt_table_t *table, mt_shared_name_t queue)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(table->n_pending,
						    mt_shared_name_key(queue)));
}

uint64_t mt_table_memory_bytes(const mt_table_t *table)
{
	return table->memory_bytes;
}

unsigned mt_table_size(const mt_table_t *table)
{
	return g_hash_table_size(table->jobs);
}

void mt_table_each(const mt_table_t *table, mt_table_cb cb, void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_table_job_t *job = value;

		if (job->queue.len)
			cb(ctx, job);
	}
}

void mt_table_each_speeds(const mt_table_t *table, mt_table_speeds_cb cb,
			  void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->speeds);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const mt_speeds_record_t *speeds = value;

		cb(ctx, mt_bytes_view(speeds->packed));
	}
}

void mt_table_visit_over(mt_table_t *table, unsigned n_max, mt_table_cb cb,
			 void *ctx)
{
	for (unsigned i = MIN(n_max, table->over->len); i > 0; i--) {
		if (table->next_over >= table->over->len)
			table->next_over = 0;
		cb(ctx, table->over->pdata[table->next_over++]);
	}
}
