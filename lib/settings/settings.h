/**
 * @file settings.h
 * Settings of an entry host, read from a JSON file and validated as a whole.
 */
#ifndef MT_SETTINGS_SETTINGS_H
#define MT_SETTINGS_SETTINGS_H

#include "kernel/kernel.h"

/** Another entry host and the address at which it listens for peers. */
typedef struct mt_peer_setting_t {
	mt_name_t host;
	mt_name_t dc;
	mt_name_t address;
	uint16_t port;
} mt_peer_setting_t;

/** Parameters of the scheduling policy; see mt_waiting_job_score(). */
typedef struct mt_policy_t {
	uint32_t completion_weight;
	uint32_t fragmentation_weight;
	uint32_t value_weight;
	/** Wait that raises a job's score as much as a near deadline does. */
	uint32_t aging_s;
} mt_policy_t;

typedef struct mt_settings_t {
	mt_name_t host;
	mt_name_t dc;
	mt_name_t address;
	uint16_t callers_port;
	uint16_t peers_port;
	mt_name_t platform_address;
	uint16_t platform_port;
	GArray *data_centres; /**< of mt_name_t; all in the deployment */
	GArray *peers;	      /**< of mt_peer_setting_t; without this host */
	mt_policy_t policy;
	uint32_t lease_term_ms;
	uint32_t renew_ms;
	uint32_t heartbeat_ms;
	uint32_t peer_timeout_ms;
	uint32_t append_spacing_ms; /**< minimum between appends to the log */
	uint32_t append_queue_records;
	uint32_t jobs_queued_per_account; /**< maximum of live jobs */
	uint32_t drain_ms;		  /**< limit for a graceful shutdown */
	mt_log_level_t log_level;
} mt_settings_t;

/**
 * Reads and validates the settings file at `path`.
 * @param errors receives one message per error, each with the path of the value
 *               in the file; stays empty if the settings are valid
 * @return the settings, or NULL on an error
 */
mt_settings_t *mt_settings_load(const char *path, GPtrArray *errors);

/** Like mt_settings_load(), for the content of the file. */
mt_settings_t *mt_settings_parse(mt_str_t text, GPtrArray *errors);

void mt_settings_free(mt_settings_t *settings);

#endif
