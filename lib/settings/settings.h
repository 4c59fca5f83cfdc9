/**
 * @file settings.h
 * Settings of an entry host: a JSON file, checked in full before use.
 */
#ifndef MT_SETTINGS_SETTINGS_H
#define MT_SETTINGS_SETTINGS_H

#include "kernel/kernel.h"

/** Address of a process of the system. */
typedef struct mt_peer_setting_t {
	mt_name_t host;
	mt_name_t dc;
	mt_name_t address;
	uint16_t port;
} mt_peer_setting_t;

/** Weights and bounds of the scheduling policy. */
typedef struct mt_policy_t {
	uint32_t completion_weight;
	uint32_t fragmentation_weight;
	uint32_t value_weight;
	uint32_t aging_s; /**< wait that doubles a job's urgency */
} mt_policy_t;

typedef struct mt_settings_t {
	mt_name_t host;
	mt_name_t dc;
	mt_name_t address;
	uint16_t callers_port;
	uint16_t peers_port;
	mt_name_t platform_address;
	uint16_t platform_port;
	GArray *data_centres; /**< of mt_name_t, all of the deployment */
	GArray *peers;	      /**< of mt_peer_setting_t, without this host */
	mt_policy_t policy;
	uint32_t lease_term_ms;
	uint32_t renew_ms;
	uint32_t heartbeat_ms;
	uint32_t peer_timeout_ms;
	uint32_t append_spacing_ms;
	uint32_t append_queue_records;
	uint32_t jobs_queued_per_account;
	uint32_t drain_ms;
	mt_log_level_t log_level;
} mt_settings_t;

/**
 * Reads and checks `path`.
 * @param errors receives one text per error, each with the path of the value
 *               in the file; empty when the settings are good
 * @return the settings, or NULL when there is an error
 */
mt_settings_t *mt_settings_load(const char *path, GPtrArray *errors);

/** Same for text that is already in memory. */
mt_settings_t *mt_settings_parse(mt_str_t text, GPtrArray *errors);

void mt_settings_free(mt_settings_t *settings);

#endif
