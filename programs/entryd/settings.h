/**
 * @file settings.h
 * Settings of mimosaturn-entry, read from a JSON file. Every field is
 * validated. Those of mimosaturnd are in lib/settings/settings.h.
 */
#ifndef MT_ENTRYD_SETTINGS_H
#define MT_ENTRYD_SETTINGS_H

#include "dag/admission.h"
#include "dag/engine.h"
#include "kernel/name.h"
#include "platform/host_limits.h"
#include "platform/store_http.h"

typedef enum mt_entry_error_t {
	MT_ENTRY_ERROR_UNREADABLE, /**< the file cannot be read */
	MT_ENTRY_ERROR_SYNTAX,	   /**< not a JSON object */
	MT_ENTRY_ERROR_FIELD,	   /**< a field is missing or out of range */
} mt_entry_error_t;

#define MT_ENTRY_ERROR mt_entry_error_quark()
GQuark mt_entry_error_quark(void);

typedef struct mt_entry_settings_t {
	mt_shared_name_t host;
	mt_shared_name_t dc;
	uint32_t cores_milli;  /**< thousandths of a core that this host has */
	mt_endpoint_t callers; /**< listens here for requests of clients */
	mt_endpoint_t readiness; /**< listens here for readiness checks */
	mt_endpoint_t metrics;	 /**< listens here for requests of metrics */
	mt_endpoint_t peers;	 /**< listens here for calls of other hosts */
	mt_endpoint_t store;	 /**< see platform/store_http.h */
	mt_store_limits_t store_limits;
	mt_endpoint_t advice;	   /**< the policy service; port 0: none */
	mt_ms_t config_age_max_ms; /**< API keys are trusted this long
				     after the last update of the
				     configuration */
	mt_ms_t drain_ms; /**< time from the signal to the end of a graceful
		       shutdown, including DRAIN_LINGER_MS */
	mt_engine_timing_t timings;
	/** Starts in an evacuated data centre end within this time; 0: data
	 * centres are not evacuated. */
	mt_ms_t evacuation_ms;
	mt_admission_mode_t admission_mode;
	mt_host_resources_t resources;
	/** Largest body of a request of a client; 0: BODY_MAX_BYTES in
	 * front_http.c. */
	uint32_t max_body_bytes;
} mt_entry_settings_t;

/** Reads and validates the file; the error names the file or the field. */
bool mt_entry_settings_read(const char *path, mt_entry_settings_t *settings,
			    GError **error);

#endif
