/**
 * @file limits.h
 * Sets the limits of the HTTP servers and the HTTP client of a host from its
 * settings (platform/host_limits.h). Logs them at the start (`client_limits`),
 * and reports what they refuse: in metrics, and in the event
 * `client_limits_reached`.
 */
#ifndef MT_ENTRYD_LIMITS_H
#define MT_ENTRYD_LIMITS_H

#include "net/http_client.h"
#include "net/http_server.h"
#include "settings.h"

typedef struct mt_entry_servers_t {
	mt_http_server_t *callers;
	mt_http_server_t *peers;
	mt_http_server_t *readiness;
	mt_http_server_t *metrics;
} mt_entry_servers_t;

typedef struct mt_entry_limits_t mt_entry_limits_t;

/** The servers and the client must outlive the result. */
mt_entry_limits_t *mt_entry_limits_new(mt_kernel_t *kernel,
				       const mt_entry_settings_t *settings,
				       const mt_entry_servers_t *servers,
				       mt_http_client_t *client);

/** Updates the metrics of all limits. */
void mt_entry_limits_update_metrics(const mt_entry_limits_t *limits);

#endif
