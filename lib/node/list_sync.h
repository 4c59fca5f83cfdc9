/**
 * @file list_sync.h
 * Keeps this host's copy of the operators' lists (plans and usage; see lists.h)
 * up to date. The lists come from the config stream of the log. While the log
 * is unavailable or the stream is not read to its end, the host asks its peers
 * for newer lists.
 */
#ifndef MT_NODE_LIST_SYNC_H
#define MT_NODE_LIST_SYNC_H

#include "lists/lists.h"
#include "node/membership.h"
#include "node/tail.h"

/** Log stream of the lists, also called the config stream. */
#define MT_LIST_STREAM "config"

typedef struct mt_list_sync_t mt_list_sync_t;

/**
 * Called for each record of the stream after it was applied, deferred or
 * rejected.
 */
typedef void (*mt_list_record_cb)(void *ctx, const mt_log_record_t *log_record);

mt_list_sync_t *mt_list_sync_new(mt_kernel_t *kernel,
				 const mt_settings_t *settings,
				 mt_lists_t *lists, const mt_log_port_t *log,
				 const mt_peer_port_t *peers);
void mt_list_sync_free(mt_list_sync_t *list_sync);
void mt_list_sync_start(mt_list_sync_t *list_sync, mt_list_record_cb cb,
			void *ctx);
mt_tail_t *mt_list_sync_tail(mt_list_sync_t *list_sync);

/** Handles a peer's request: sends the lists if either is newer here. */
void mt_list_sync_on_request(mt_list_sync_t *list_sync,
			     const mt_peer_id_t *from,
			     const MtPb__ListRequest *request);

/** Applies the lists that a peer has sent. */
void mt_list_sync_on_snapshot(mt_list_sync_t *list_sync,
			      const MtPb__ListSnapshot *snapshot);

/** True once this host has both lists, from the log or from a peer. */
bool mt_list_sync_has_lists(const mt_list_sync_t *list_sync);

#endif
