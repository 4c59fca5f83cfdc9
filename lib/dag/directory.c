/** @file directory.c Reads the platform's list of backend servers. */
#include "dag/directory.h"

#include <string.h>
#include <xxhash.h>

#include "dag/follower.h"

/** Timeout of the long polls for changes of the list. */
#define POLL_WAIT_MS 2000u

/**
 * Maximum number of entries of which it is kept why they are not usable; others
 * are only counted.
 */
#define ODD_ENTRIES_MAX 4096u

struct mt_directory_t {
	mt_kernel_t *kernel;
	const mt_store_port_t *store;
	mt_directory_format_t format;
	mt_directory_watcher_t watcher;
	mt_follower_t *follower;
	GHashTable *listed_ids; /**< ids of the listed servers */
	/** Ids read so far from the snapshot that is being read; NULL: no
	 * snapshot is being read. */
	GHashTable *snapshot_ids;
	/** Entries that are not usable: hash of the id, to the reason for it
	 * that was logged last. */
	GHashTable *odd_entries;
	/** Those read so far from the snapshot that is being read; NULL: none
	 * is. */
	GHashTable *snapshot_odd_entries;
};

mt_directory_t *mt_directory_new(mt_kernel_t *kernel,
				 const mt_store_port_t *store,
				 const mt_directory_format_t *format)
{
	mt_directory_t *directory = g_new0(mt_directory_t, 1);

	directory->kernel = kernel;
	directory->store = store;
	directory->format = *format;
	return directory;
}

static GHashTable *new_id_set(void)
{
	return mt_shared_name_table_new(NULL);
}

/** Removes a server from the set of listed servers and reports this. */
static void remove_server(mt_directory_t *directory, mt_shared_name_t id)
{
	/* The table may have the last reference to the name. */
	mt_shared_name_t kept = mt_shared_name_ref(id);

	if (g_hash_table_remove(directory->listed_ids,
				mt_shared_name_key(kept)))
		directory->watcher.on_unlisted(directory->watcher.ctx, kept);
	mt_shared_name_clear(&kept);
}

/**
 * True if the key can be sent as an id: in a header, which cannot contain
 * control characters or begin or end with a space, and in JSON.
 */
static bool is_usable_id(mt_str_t key)
{
	if (!key.len || key.len > MT_STORE_KEY_MAX_BYTES ||
	    !g_utf8_validate_len(key.data, key.len, NULL) ||
	    key.data[0] == ' ' || key.data[key.len - 1] == ' ')
		return false;
	for (size_t i = 0; i < key.len; i++) {
		if (g_ascii_iscntrl(key.data[i]))
			return false;
	}
	return true;
}

/* Odd entries. */

static GHashTable *new_odd_entries(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

static uint64_t hash_id(mt_str_t id)
{
	return XXH3_64bits(id.data, id.len);
}

static void keep_odd(GHashTable *entries, uint64_t hash, const char *problem)
{
	if (g_hash_table_size(entries) < ODD_ENTRIES_MAX)
		g_hash_table_replace(entries, g_memdup2(&hash, sizeof(hash)),
				     (gpointer)problem);
}

/**
 * Counts an entry that is not usable. It is logged when it becomes so, and when
 * the reason changes: its writer may repeat it at each heartbeat.
 */
static void note_odd(mt_directory_t *directory, mt_str_t id,
		     const char *problem)
{
	uint64_t hash = hash_id(id);
	const char *logged = g_hash_table_lookup(directory->odd_entries, &hash);
	int shown = is_usable_id(id) ? (int)id.len : 0;

	/* In the name of the counter, "reports" means list entries. */
	mt_kernel_count(directory->kernel, "server_reports_unreadable_total");
	if (directory->snapshot_odd_entries)
		keep_odd(directory->snapshot_odd_entries, hash, problem);
	keep_odd(directory->odd_entries, hash, problem);
	if (logged && !strcmp(logged, problem))
		return;
	mt_log(directory->kernel, MT_LOG_WARNING, "directory",
	       "ignoring the list entry of server \"%.*s\" (id of %zu bytes): "
	       "%s",
	       shown, id.data, id.len, problem);
}

static void forget_odd(mt_directory_t *directory, mt_str_t id)
{
	uint64_t hash = hash_id(id);

	g_hash_table_remove(directory->odd_entries, &hash);
}

/* Entries. */

static void add_server(mt_directory_t *directory, const mt_backend_info_t *info)
{
	if (directory->snapshot_ids)
		g_hash_table_add(directory->snapshot_ids,
				 mt_shared_name_new_key(info->target.id));
	g_hash_table_add(directory->listed_ids,
			 mt_shared_name_new_key(info->target.id));
	directory->watcher.on_server(directory->watcher.ctx, info);
}

static void on_record(void *ctx, const mt_store_record_t *record)
{
	mt_directory_t *directory = ctx;
	mt_backend_info_t info = {0};
	const char *problem;
	mt_shared_name_t id;

	if (!record->value.len)
		forget_odd(directory, record->key);
	if (!is_usable_id(record->key)) {
		if (record->value.len)
			note_odd(directory, record->key,
				 "the id cannot be sent to it");
		return;
	}
	id = mt_shared_name_new(record->key);
	problem = record->value.len ? directory->format.decode(record, &info)
				    : NULL;
	if (problem)
		note_odd(directory, record->key, problem);
	if (!record->value.len || problem) {
		remove_server(directory, id);
		mt_shared_name_clear(&id);
	} else {
		forget_odd(directory, record->key);
		info.target.id = id;
		add_server(directory, &info);
	}
	mt_backend_info_clear(&info);
}

/**
 * Removes from the set of listed servers those that are not in the snapshot
 * just read.
 */
static void remove_missing(mt_directory_t *directory)
{
	GList *ids = g_hash_table_get_keys(directory->listed_ids);

	for (GList *at = ids; at; at = at->next) {
		if (!g_hash_table_contains(directory->snapshot_ids, at->data))
			remove_server(directory,
				      mt_shared_name_of_key(at->data));
	}
	g_list_free(ids);
}

static void drop_snapshot(mt_directory_t *directory)
{
	g_clear_pointer(&directory->snapshot_ids, g_hash_table_destroy);
	g_clear_pointer(&directory->snapshot_odd_entries, g_hash_table_destroy);
}

static void on_snapshot(void *ctx, bool begins)
{
	mt_directory_t *directory = ctx;

	if (!begins) {
		remove_missing(directory);
		if (directory->snapshot_odd_entries) {
			g_hash_table_destroy(directory->odd_entries);
			directory->odd_entries = g_steal_pointer(
				&directory->snapshot_odd_entries);
		}
	}
	drop_snapshot(directory);
	if (begins) {
		directory->snapshot_ids = new_id_set();
		directory->snapshot_odd_entries = new_odd_entries();
	}
}

void mt_directory_open(mt_directory_t *directory,
		       const mt_directory_watcher_t *watcher)
{
	mt_follower_handler_t handler = {directory, on_record, on_snapshot,
					 NULL};

	mt_directory_close(directory);
	directory->watcher = *watcher;
	directory->listed_ids = new_id_set();
	directory->odd_entries = new_odd_entries();
	directory->follower = mt_follower_new(
		directory->kernel, directory->store, directory->format.topic,
		POLL_WAIT_MS, &handler);
}

void mt_directory_close(mt_directory_t *directory)
{
	if (!directory->follower)
		return;
	mt_follower_stop(directory->follower);
	directory->follower = NULL;
	g_hash_table_destroy(directory->listed_ids);
	g_hash_table_destroy(directory->odd_entries);
	drop_snapshot(directory);
}

void mt_directory_free(mt_directory_t *directory)
{
	mt_directory_close(directory);
	g_free(directory);
}

bool mt_directory_is_complete(const mt_directory_t *directory)
{
	return directory->follower &&
	       mt_follower_has_snapshot(directory->follower);
}
