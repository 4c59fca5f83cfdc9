/** @file directory.c Reads the platform's list of backend servers. */
#include "dag/directory.h"

#include <string.h>

#include "dag/follower.h"

/** Timeout of the long polls for changes of the list. */
#define POLL_WAIT_MS 2000u

struct mt_directory_t {
	mt_kernel_t *kernel;
	const mt_store_port_t *store;
	mt_directory_format_t format;
	mt_directory_watcher_t watcher;
	mt_follower_t *follower;
	GHashTable *listed_ids; /**< ids of the listed servers, mt_name_t */
	/** Ids read so far from the snapshot that is being read; NULL: no
	 * snapshot is being read. */
	GHashTable *snapshot_ids;
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
	return g_hash_table_new_full(mt_name_hash, mt_name_key_equal, g_free,
				     NULL);
}

/** Removes a server from the set of listed servers and reports this. */
static void remove_server(mt_directory_t *directory, const mt_name_t *id)
{
	/* `id` may point to the key in `listed_ids`, which the removal frees.
	 */
	mt_name_t copy = *id;

	if (g_hash_table_remove(directory->listed_ids, &copy))
		directory->watcher.on_unlisted(directory->watcher.ctx, &copy);
}

/** True if the key can be used as an id in requests and in log lines. */
static bool is_usable_id(mt_str_t key)
{
	for (size_t i = 0; i < key.len; i++) {
		if (!g_ascii_isgraph(key.data[i]) ||
		    strchr("\"\\", key.data[i]))
			return false;
	}
	return key.len && key.len <= MT_NAME_MAX_BYTES;
}

static void on_record(void *ctx, const mt_store_record_t *record)
{
	mt_directory_t *directory = ctx;
	mt_backend_info_t info = {0};
	mt_name_t id;

	if (!is_usable_id(record->key)) {
		mt_kernel_count(directory->kernel,
				"server_reports_unreadable_total");
		mt_log(directory->kernel, MT_LOG_WARNING, "directory",
		       "ignoring a list entry whose id of %zu bytes is not "
		       "usable",
		       record->key.len);
		return;
	}
	id = mt_name_from(record->key);
	if (!record->value.len) {
		remove_server(directory, &id);
		return;
	}
	if (!directory->format.decode(record, &info)) {
		/* In the name of the counter, "reports" means list entries. */
		mt_kernel_count(directory->kernel,
				"server_reports_unreadable_total");
		mt_log(directory->kernel, MT_LOG_WARNING, "directory",
		       "list entry of server %s is not usable; "
		       "the server is treated as not listed",
		       id.text);
		remove_server(directory, &id);
		return;
	}
	info.target.id = id;
	if (directory->snapshot_ids)
		g_hash_table_add(directory->snapshot_ids, mt_name_dup(&id));
	g_hash_table_add(directory->listed_ids, mt_name_dup(&id));
	directory->watcher.on_server(directory->watcher.ctx, &info);
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
			remove_server(directory, at->data);
	}
	g_list_free(ids);
}

static void on_snapshot(void *ctx, bool begins)
{
	mt_directory_t *directory = ctx;

	if (!begins)
		remove_missing(directory);
	if (directory->snapshot_ids)
		g_hash_table_destroy(directory->snapshot_ids);
	directory->snapshot_ids = begins ? new_id_set() : NULL;
}

void mt_directory_open(mt_directory_t *directory,
		       const mt_directory_watcher_t *watcher)
{
	mt_follower_handler_t handler = {directory, on_record, on_snapshot,
					 NULL};

	mt_directory_close(directory);
	directory->watcher = *watcher;
	directory->listed_ids = new_id_set();
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
	if (directory->snapshot_ids)
		g_hash_table_destroy(directory->snapshot_ids);
	directory->snapshot_ids = NULL;
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
