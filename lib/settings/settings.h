/**
 * @file settings.h
 * Settings of mimosaturnd (programs/hostd), read from a JSON file. A file
 * with errors is rejected, and all errors are reported at once. The settings of
 * mimosaturn-entry are in programs/entryd/settings.h.
 */
#ifndef MT_SETTINGS_SETTINGS_H
#define MT_SETTINGS_SETTINGS_H

#include "kernel/kernel.h"

/** Another host, and the address where it listens for its peers. */
typedef struct mt_peer_setting_t {
	mt_name_t host;
	mt_name_t dc;
	mt_name_t address;
	uint16_t port;
} mt_peer_setting_t;

/**
 * Weights in the score of a waiting job; see waiting_job_score() in
 * decide/decide.c. Independently of these values, 100 is added to the score of
 * a job whose deadline is at most twice its expected run time away.
 */
typedef struct mt_policy_t {
	uint32_t completion_weight;    /**< for jobs with a short run time */
	uint32_t fragmentation_weight; /**< for jobs with many accelerators */
	uint32_t value_weight;	       /**< for value per accelerator second */
	/**
	 * A wait of this many seconds adds 100 to the score of a job. The part
	 * of the score that is weighted by fragmentation_weight is also
	 * proportional to the wait divided by aging_s.
	 */
	uint32_t aging_s;
} mt_policy_t;

typedef struct mt_settings_t {
	mt_name_t host;
	mt_name_t dc;
	mt_name_t address;     /**< where this host listens */
	uint16_t callers_port; /**< for the requests of clients (callers) */
	uint16_t peers_port;   /**< for the links of other hosts */
	mt_name_t platform_address; /**< log service and server list */
	uint16_t platform_port;
	GArray *data_centres; /**< of mt_name_t; all of the deployment */
	GArray *peers;	      /**< of mt_peer_setting_t; without this host */
	mt_policy_t policy;
	uint32_t lease_term_ms; /**< duration of a task lease on a server */
	uint32_t renew_ms;	/**< interval of lease renewals */
	/** Interval of heartbeats to the hosts of the same data centre. */
	uint32_t heartbeat_ms;
	/**
	 * A host of the same data centre counts as down after this time without
	 * a heartbeat. For other data centres, heartbeat_ms and this time are
	 * multiplied by REMOTE_HEARTBEAT_FACTOR (node/membership.c).
	 */
	uint32_t peer_timeout_ms;
	uint32_t append_spacing_ms; /**< minimum time between two appends */
	/** Maximum number of records of MT_PRIORITY_NORMAL (node/appender.h)
	 * that wait to be appended to the log. */
	uint32_t append_queue_records;
	/** Maximum number of jobs of an account that have not ended, whether
	 * they wait or run. */
	uint32_t jobs_queued_per_account;
	/**
	 * Time-out of a graceful shutdown, counted from DRAIN_LINGER_MS
	 * (programs/hostd/main.c) after the signal. The member of the same name
	 * in mt_entry_settings_t is counted from the signal.
	 */
	uint32_t drain_ms;
	mt_log_level_t log_level; /**< least severe level that is written */
} mt_settings_t;

/**
 * Reads and validates the settings file at `path`.
 * @param errors receives one message per error, with the path of the value in
 *               the file; stays empty if the settings are valid
 * @return the settings, or NULL on an error
 */
mt_settings_t *mt_settings_load(const char *path, GPtrArray *errors);

/** Like mt_settings_load(), but takes the content of the file. */
mt_settings_t *mt_settings_parse(mt_str_t text, GPtrArray *errors);

void mt_settings_free(mt_settings_t *settings);

#endif
