/**
 * @file config.h
 * Keeps the operators' lists in force on this host: follows the config
 * stream, and exchanges newer lists with peers while the log is away.
 */
#ifndef MT_NODE_CONFIG_H
#define MT_NODE_CONFIG_H

#include "lists/lists.h"
#include "node/members.h"
#include "node/tail.h"

#define MT_CONFIG_STREAM "config"

typedef struct mt_config_t mt_config_t;

/** Called with each record of the stream, after it was applied. */
typedef void (*mt_config_record_cb)(void *ctx, const mt_log_entry_t *entry);

mt_config_t *mt_config_new(mt_kernel_t *kernel, const mt_settings_t *settings,
			   mt_lists_t *lists, mt_members_t *members,
			   const mt_log_port_t *log,
			   const mt_peer_port_t *peers);
void mt_config_free(mt_config_t *config);
void mt_config_start(mt_config_t *config, mt_config_record_cb seen, void *ctx);
mt_tail_t *mt_config_tail(mt_config_t *config);

/** Answers a peer that has older lists. */
void mt_config_on_request(mt_config_t *config, const mt_peer_id_t *from,
			  const MtPb__ListRequest *request);
void mt_config_on_snapshot(mt_config_t *config,
			   const MtPb__ListSnapshot *snapshot);

/** True once this host has lists, from the log or from a peer. */
bool mt_config_is_ready(const mt_config_t *config);

#endif
