/**
 * @file http_server.h
 * HTTP server based on h2o: one handler for all requests, asynchronous
 * responses and a graceful stop. Clients that exceed a limit (http_guard.h) are
 * refused or disconnected.
 */
#ifndef MT_NET_HTTP_SERVER_H
#define MT_NET_HTTP_SERVER_H

#include "kernel/shared_name.h"
#include "net/http_guard.h"
#include "net/loop.h"

typedef struct mt_http_server_t mt_http_server_t;

/**
 * A request that has not been responded to; must not be used after
 * mt_http_respond().
 */
typedef struct mt_http_exchange_t mt_http_exchange_t;

/** A received request. Only `exchange` stays valid after the handler. */
typedef struct mt_http_incoming_request_t {
	mt_str_t method;
	mt_str_t path; /**< without the query */
	mt_str_t query;
	mt_str_t body;
	mt_http_exchange_t *exchange;
} mt_http_incoming_request_t;

/** Handles a request: calls mt_http_respond(), now or later. */
typedef void (*mt_http_handler_cb)(void *ctx,
				   const mt_http_incoming_request_t *request);

/** The header of a request whose body is incomplete. */
typedef struct mt_http_header_t {
	mt_str_t method;
	mt_str_t path; /**< without the query */
	mt_str_t authority;
	mt_str_t authorization;
} mt_http_header_t;

/**
 * Checks the header of a request whose body is still being received. Not called
 * for a request target that does not begin with '/'.
 * @param account receives the client account whose budget the request counts
 *                against; may stay empty
 * @return 0 to receive the body, or the status of a refusal
 */
typedef int (*mt_http_header_cb)(void *ctx, const mt_http_header_t *header,
				 mt_shared_name_t *account);

/**
 * The limits are mt_http_limits_default().
 * @return NULL when `address`:`port` cannot be listened on
 */
mt_http_server_t *mt_http_server_new(mt_loop_t *loop, const mt_name_t *address,
				     uint16_t port, size_t body_max_bytes,
				     mt_http_handler_cb handler, void *ctx);

const mt_http_limits_t *mt_http_server_limits(const mt_http_server_t *server);

/**
 * Replaces the limits of the server, for open connections too. Some are raised,
 * see mt_http_guard_set_limits(); mt_http_server_limits() has the limits in
 * force.
 */
void mt_http_server_set_limits(mt_http_server_t *server,
			       const mt_http_limits_t *limits);

/** Sets the check of headers; its `ctx` is that of the handler. */
void mt_http_server_set_header_check(mt_http_server_t *server,
				     mt_http_header_cb cb);

const mt_http_stats_t *mt_http_server_stats(const mt_http_server_t *server);

/**
 * Value of a request header, empty when missing; valid during the handler only.
 * @param name in lower case
 */
mt_str_t mt_http_header(const mt_http_exchange_t *exchange, const char *name);

/** Value of the Host header: a host name, and the port if it is given. */
mt_str_t mt_http_authority(const mt_http_exchange_t *exchange);

/** Finds the value of a query parameter; returns false if it is missing. */
bool mt_http_query(mt_str_t query, const char *name, mt_str_t *value);

/**
 * Sets the callback for a disconnect of the client before the response; NULL
 * removes it. When the callback runs, the exchange is about to be freed and
 * must not be used any more.
 */
void mt_http_on_disconnect(mt_http_exchange_t *exchange, void (*cb)(void *ctx),
			   void *ctx);

/**
 * Sends the response and ends the exchange.
 * @param headers name and value pairs ended by NULL, or NULL
 */
void mt_http_respond(mt_http_exchange_t *exchange, int status, const char *type,
		     mt_str_t body, const char *const *headers);

/** Makes the server close each connection after its next response. */
void mt_http_server_disable_keep_alive(mt_http_server_t *server);

/** Accepts no new connections; closes open ones after their next response. */
void mt_http_server_stop(mt_http_server_t *server);

/** Number of open connections, including idle ones. */
unsigned mt_http_server_connections(const mt_http_server_t *server);

#endif
