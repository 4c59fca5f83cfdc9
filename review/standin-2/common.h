/**
 * @file common.h
 * What the stand-ins share: the event record and small HTTP helpers.
 */
#ifndef STANDIN_COMMON_H
#define STANDIN_COMMON_H

#include <jansson.h>

#include "net/http_server.h"
#include "net/json_util.h"
#include "net/loop.h"

/** Opens the event record, to which all processes of a case append lines. */
void record_open(const char *path, const char *who);

/** Appends a line: milliseconds of CLOCK_BOOTTIME, the process, and the text.
 */
void record(const char *format, ...) G_GNUC_PRINTF(1, 2);

/** Milliseconds of CLOCK_BOOTTIME. */
uint64_t now_ms(void);

/** Unix time in milliseconds. */
uint64_t unix_ms(void);

/** A request whose response comes later; `exchange` is NULL after a disconnect.
 */
typedef struct pending_t {
	mt_http_exchange_t *exchange;
} pending_t;

pending_t *pending_new(mt_http_exchange_t *exchange);

/** Responds, unless the client has left, and frees `pending`. */
void pending_respond(pending_t *pending, int status, const char *type,
		     mt_str_t body);

/** The same with a JSON body; drops the reference to `json`. */
void pending_respond_json(pending_t *pending, int status, json_t *json);

/** Value of a query parameter, with escapes decoded; freed by the caller. */
char *query_text(const mt_http_incoming_request_t *request, const char *name);

uint64_t query_number(const mt_http_incoming_request_t *request,
		      const char *name, uint64_t fallback);

uint64_t json_number(const json_t *json, const char *key, uint64_t fallback);

const char *json_text(const json_t *json, const char *key);

#endif
