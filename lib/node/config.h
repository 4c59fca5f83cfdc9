/**
 * @file config.h
 * Keeps this host's copy of the operators' lists up to date. The lists come
 * from the config stream of the log. While that is unavailable, the host asks
 * its peers for newer lists.
 */
#ifndef MT_NODE_CONFIG_H
#define MT_NODE_CONFIG_H

#include "lists/lists.h"
#include "node/members.h"
#include "node/tail.h"

#define MT_CONFIG_STREAM "config"

typedef struct mt_config_t mt_config_t;

/** Called for each record of the stream, after it was applied or rejected. */
typedef void (*mt_config_record_cb)(void *ctx, const mt_log_entry_t *entry);

mt_config_t *mt_config_new(mt_kernel_t *kernel, const mt_settings_t *settings,
			   mt_lists_t *lists, mt_members_t *members,
			   const mt_log_port_t *log,
			   const mt_peer_port_t *peers);
void mt_config_free(mt_config_t *config);
void mt_config_start(mt_config_t *config, mt_config_record_cb cb, void *ctx);
mt_tail_t *mt_config_tail(mt_config_t *config);

/** Handles a peer's request: sends the lists if either is newer here. */
void mt_config_on_request(mt_config_t *config, const mt_peer_id_t *from,
			  const MtPb__ListRequest *request);

/** Applies the lists that a peer has sent. */
void mt_config_on_snapshot(mt_config_t *config,
			   const MtPb__ListSnapshot *snapshot);

/** True once this host has both lists, from the log or from a peer. */
bool mt_config_is_ready(const mt_config_t *config);

#endif
