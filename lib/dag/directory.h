/**
 * @file directory.h
 * A mt_directory_t reads the platform's list of backend servers and reports
 * changes of the list. The list is a topic of the store: a record's key is the
 * id of a server, and the newest record with this key is the server's list
 * entry. The list is read only between mt_directory_open() and
 * mt_directory_close().
 */
#ifndef MT_DAG_DIRECTORY_H
#define MT_DAG_DIRECTORY_H

#include "dag/backend.h"
#include "dag/store_port.h"
#include "kernel/kernel.h"

/** Format of the platform's list; filled in by the platform adapter. */
typedef struct mt_directory_format_t {
	const char *topic;
	/**
	 * Decodes one entry into `info`, which is zeroed. The caller sets
	 * info->target.id, and calls mt_backend_info_clear() in any case.
	 * @return NULL, or why the entry is not usable: a string literal, the
	 *         same one for the same reason
	 */
	const char *(*decode)(const mt_store_record_t *record,
			      mt_backend_info_t *info);
} mt_directory_format_t;

typedef struct mt_directory_watcher_t {
	void *ctx;
	/** The entry of a server was read and is usable. It may be unchanged,
	 * as a snapshot delivers entries again. What outlives the call takes
	 * references, see mt_backend_info_assign(). */
	void (*on_server)(void *ctx, const mt_backend_info_t *info);
	/** A server is no longer listed, or its entry is not usable any more.
	 * The server itself may still run. */
	void (*on_unlisted)(void *ctx, mt_shared_name_t id);
} mt_directory_watcher_t;

typedef struct mt_directory_t mt_directory_t;

mt_directory_t *mt_directory_new(mt_kernel_t *kernel,
				 const mt_store_port_t *store,
				 const mt_directory_format_t *format);

/**
 * Starts to read the list. watcher->on_server is called for each listed server.
 */
void mt_directory_open(mt_directory_t *directory,
		       const mt_directory_watcher_t *watcher);
void mt_directory_close(mt_directory_t *directory);

/** Closes the directory and frees it. */
void mt_directory_free(mt_directory_t *directory);

/** True when the complete list has been read since mt_directory_open(). */
bool mt_directory_is_complete(const mt_directory_t *directory);

#endif
