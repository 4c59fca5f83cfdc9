/**
 * @file directory.h
 * The list of backend servers that the platform keeps: what each reports of
 * itself. Followed only while somebody needs it.
 */
#ifndef MT_DAG_DIRECTORY_H
#define MT_DAG_DIRECTORY_H

#include "dag/backend.h"
#include "dag/store_port.h"
#include "kernel/kernel.h"

/** How the platform writes its list; the adapter fills this in. */
typedef struct mt_directory_format_t {
	const char *topic;
	/** Decodes one report; false: it names no server to use. */
	bool (*decode)(const mt_store_record_t *record,
		       mt_backend_info_t *info);
} mt_directory_format_t;

typedef struct mt_directory_watcher_t {
	void *ctx;
	/** A server was added or its report changed. */
	void (*on_server)(void *ctx, const mt_backend_info_t *info);
	/** A server is no longer listed, or its report cannot be read. */
	void (*on_gone)(void *ctx, const mt_name_t *id);
} mt_directory_watcher_t;

typedef struct mt_directory_t mt_directory_t;

mt_directory_t *mt_directory_new(mt_kernel_t *kernel,
				 const mt_store_port_t *store,
				 const mt_directory_format_t *format);

/** Starts to follow the list. Every listed server is told first. */
void mt_directory_open(mt_directory_t *directory,
		       const mt_directory_watcher_t *watcher);
void mt_directory_close(mt_directory_t *directory);

/** Closes and frees it. */
void mt_directory_free(mt_directory_t *directory);

/** True once the whole list has been read. */
bool mt_directory_is_synced(const mt_directory_t *directory);

#endif
