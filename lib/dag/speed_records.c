/**
 * @file speed_records.c
 * Keeps the speeds of servers in the store, so that a new leader starts with
 * what the former one had learned. There is one record per service. As long as
 * the servers are not uneven, none is written.
 */
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "dag/engine_internal.h"

/** Minimum time between two writes. */
#define WRITE_INTERVAL_MS 2000u

/** A speed is written again if it has changed by more than this share. */
#define CHANGE_MIN 0.1

#define PERMILLE 1000.0

/* Bounds of what is read; beyond them, a record is not from this program. */
#define LOG2_PERMILLE_MAX 4000
#define ERROR_PERMILLE_MAX 1000u

/** Speed of a server as it is in the store. */
typedef struct mt_stored_speed_t {
	uint64_t id_hash; /**< of the server, see mt_backend_t */
	int64_t born_ms;  /**< start time of the server process; 0: unknown */
	double speed;
	double error;  /**< standard error of the natural logarithm */
	bool is_taken; /**< mt_speed_records_take() has dealt with it */
} mt_stored_speed_t;

/** The record of one service that is about to be written. */
typedef struct mt_speeds_draft_t {
	mt_shared_name_t service; /**< no reference */
	GArray *speeds;		  /**< mt_stored_speed_t */
	bool is_changed;	  /**< differs from what is in the store */
} mt_speeds_draft_t;

/** The records that are about to be written. */
typedef struct mt_speeds_drafts_t {
	const mt_engine_t *engine;
	GHashTable *by_service; /**< name to mt_speeds_draft_t */
} mt_speeds_drafts_t;

GHashTable *mt_speed_records_new(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

/* Reading. */

static bool is_plausible(const MtDag__ServerSpeed *in)
{
	return in->error_permille && in->error_permille <= ERROR_PERMILLE_MAX &&
	       in->log2_permille >= -LOG2_PERMILLE_MAX &&
	       in->log2_permille <= LOG2_PERMILLE_MAX;
}

static void note_stored(mt_engine_t *engine, const mt_stored_speed_t *speed)
{
	mt_stored_speed_t *copy = g_memdup2(speed, sizeof(*speed));

	g_hash_table_replace(engine->speeds_stored, &copy->id_hash, copy);
}

/** Records of earlier versions contain the id. */
static uint64_t id_hash_of(const MtDag__ServerSpeed *in)
{
	return in->server_hash ? in->server_hash
			       : XXH3_64bits(in->server, strlen(in->server));
}

static void read_record(void *ctx, mt_str_t value)
{
	mt_engine_t *engine = ctx;
	MtDag__Speeds *record = mt_dag__speeds__unpack(
		NULL, value.len, (const uint8_t *)value.data);

	if (!record) {
		mt_log(engine->deps.kernel, MT_LOG_ERR, "engine",
		       "ignoring a malformed record of the speeds of servers");
		return;
	}
	for (size_t i = 0; i < record->n_servers; i++) {
		const MtDag__ServerSpeed *in = record->servers[i];
		mt_stored_speed_t speed = {
			.id_hash = id_hash_of(in),
			.born_ms = in->born_ms,
			.speed = exp2(in->log2_permille / PERMILLE),
			.error = in->error_permille / PERMILLE * G_LN2,
		};

		if (is_plausible(in))
			note_stored(engine, &speed);
	}
	mt_dag__speeds__free_unpacked(record, NULL);
}

void mt_speed_records_read(mt_engine_t *engine)
{
	mt_table_each_speeds(engine->deps.table, read_record, engine);
}

void mt_speed_records_take(mt_engine_t *engine, const mt_backend_t *backend)
{
	mt_stored_speed_t *stored =
		g_hash_table_lookup(engine->speeds_stored, &backend->id_hash);

	if (!stored || stored->is_taken)
		return;
	stored->is_taken = true;
	/* Another process of the server may have another speed. */
	if (!stored->born_ms || stored->born_ms != backend->born_ms)
		return;
	mt_speed_model_restore(engine->speeds, backend->info.target.id,
			       stored->speed, stored->error,
			       mt_engine_now(engine));
	/* The model is updated in the next pass. */
	engine->speeds_updated_at = 0;
}

/* Writing. */

static void free_draft(gpointer data)
{
	mt_speeds_draft_t *draft = data;

	g_array_unref(draft->speeds);
	g_free(draft);
}

static mt_speeds_draft_t *find_or_add_draft(mt_speeds_drafts_t *drafts,
					    mt_shared_name_t service)
{
	mt_speeds_draft_t *draft = g_hash_table_lookup(
		drafts->by_service, mt_shared_name_key(service));

	if (draft)
		return draft;
	draft = g_new0(mt_speeds_draft_t, 1);
	draft->service = service;
	draft->speeds = g_array_new(FALSE, FALSE, sizeof(mt_stored_speed_t));
	draft->is_changed = drafts->engine->speeds_write_refused;
	g_hash_table_insert(drafts->by_service, mt_shared_name_new_key(service),
			    draft);
	return draft;
}

static bool differs(const mt_stored_speed_t *speed,
		    const mt_stored_speed_t *stored)
{
	return !stored || stored->born_ms != speed->born_ms ||
	       fabs(log(speed->speed / stored->speed)) > log1p(CHANGE_MIN);
}

static void add_to_draft(void *ctx, mt_shared_name_t server, double speed,
			 double error)
{
	mt_speeds_drafts_t *drafts = ctx;
	const mt_engine_t *engine = drafts->engine;
	const mt_backend_t *backend = mt_engine_backend(engine, server);
	mt_stored_speed_t entry = {
		.speed = speed, .error = error, .is_taken = true};
	mt_speeds_draft_t *draft;

	if (!backend || !backend->listed)
		return;
	entry.id_hash = backend->id_hash;
	entry.born_ms = backend->born_ms;
	draft = find_or_add_draft(drafts, backend->info.service);
	g_array_append_val(draft->speeds, entry);
	draft->is_changed =
		draft->is_changed ||
		differs(&entry, g_hash_table_lookup(engine->speeds_stored,
						    &entry.id_hash));
}

static GBytes *pack_draft(mt_speeds_draft_t *draft)
{
	guint n = draft->speeds->len;
	MtDag__Speeds record = MT_DAG__SPEEDS__INIT;
	MtDag__ServerSpeed *servers = g_new(MtDag__ServerSpeed, n);
	GBytes *bytes;

	record.service = (char *)mt_shared_name_text(draft->service);
	record.servers = g_new(MtDag__ServerSpeed *, n);
	record.n_servers = n;
	for (guint i = 0; i < n; i++) {
		mt_stored_speed_t *speed =
			&g_array_index(draft->speeds, mt_stored_speed_t, i);

		mt_dag__server_speed__init(&servers[i]);
		servers[i].server_hash = speed->id_hash;
		servers[i].born_ms = speed->born_ms;
		servers[i].log2_permille =
			(int32_t)lround(log2(speed->speed) * PERMILLE);
		servers[i].error_permille = (uint32_t)MAX(
			1, lround(speed->error / G_LN2 * PERMILLE));
		record.servers[i] = &servers[i];
	}
	bytes = mt_dag_pack(&record.base);
	g_free(record.servers);
	g_free(servers);
	return bytes;
}

static void on_written(void *ctx, mt_store_result_t result)
{
	mt_engine_t *engine = ctx;

	engine->speeds_write_pending = false;
	engine->speeds_write_refused = result == MT_STORE_REFUSED;
	if (result == MT_STORE_REFUSED)
		mt_log(engine->deps.kernel, MT_LOG_WARNING, "engine",
		       "the store refuses the speeds of servers");
	else if (result != MT_STORE_DONE)
		mt_engine_step_down(engine);
}

static void write_draft(mt_engine_t *engine, mt_speeds_draft_t *draft)
{
	mt_record_key_t key = mt_record_key(
		MT_RECORD_SPEEDS, (guint)mt_shared_name_hash(draft->service));
	GBytes *bytes = pack_draft(draft);

	mt_writer_add(engine->writer, mt_str_from(key.text),
		      mt_bytes_view(bytes));
	g_bytes_unref(bytes);
	for (guint i = 0; i < draft->speeds->len; i++)
		note_stored(engine, &g_array_index(draft->speeds,
						   mt_stored_speed_t, i));
}

static bool write_is_due(const mt_engine_t *engine)
{
	return mt_speed_model_is_uneven(engine->speeds) &&
	       !engine->speeds_write_pending &&
	       mt_engine_now(engine) - engine->speeds_written_at >=
		       WRITE_INTERVAL_MS;
}

void mt_speed_records_write(mt_engine_t *engine)
{
	mt_speeds_drafts_t drafts = {engine, NULL};
	GHashTableIter iter;
	gpointer value;

	if (!write_is_due(engine))
		return;
	engine->speeds_written_at = mt_engine_now(engine);
	drafts.by_service = mt_shared_name_table_new(free_draft);
	mt_speed_model_each(engine->speeds, add_to_draft, &drafts);
	g_hash_table_iter_init(&iter, drafts.by_service);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		mt_speeds_draft_t *draft = value;

		if (!draft->is_changed)
			continue;
		write_draft(engine, draft);
		engine->speeds_write_pending = true;
	}
	g_hash_table_unref(drafts.by_service);
	/* If the store accepts no such record, the writes after it are not held
	 * up for ever. */
	if (engine->speeds_write_pending)
		mt_writer_commit(engine->writer, MT_WRITER_REPORTS_REFUSAL,
				 on_written, engine);
}

void mt_speed_records_clear(mt_engine_t *engine)
{
	g_hash_table_remove_all(engine->speeds_stored);
	engine->speeds_write_pending = false;
	engine->speeds_write_refused = false;
	engine->speeds_written_at = 0;
}
