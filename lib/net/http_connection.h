/**
 * @file http_connection.h
 * Connections of an HTTP server (http_server.c): reads what h2o reads, reports
 * it to the guard (http_guard.h), and refuses or closes connections that exceed
 * a limit.
 */
#ifndef MT_NET_HTTP_CONNECTION_H
#define MT_NET_HTTP_CONNECTION_H

#include <h2o.h>

#include "net/http_server.h"

/** All connections of a server. */
typedef struct mt_connections_t mt_connections_t;

typedef struct mt_connection_t mt_connection_t;

mt_connections_t *mt_connections_new(mt_loop_t *loop,
				     const mt_http_limits_t *limits);

/** Only before the first connection. */
void mt_connections_free(mt_connections_t *connections);

mt_http_guard_t *mt_connections_guard(const mt_connections_t *connections);

/** Sets the check of headers; NULL: none. */
void mt_connections_set_header_check(mt_connections_t *connections,
				     mt_http_header_cb cb, void *ctx);

/** Number of open connections. */
unsigned mt_connections_count(const mt_connections_t *connections);

/** Accepts a connection of the listener and passes it on to h2o. */
void mt_connections_accept(mt_connections_t *connections, uv_stream_t *listener,
			   h2o_accept_ctx_t *accept);

mt_connection_t *mt_connections_find(const mt_connections_t *connections,
				     h2o_conn_t *h2o_connection);

/** The handler gets the request. */
void mt_connection_request_received(mt_connection_t *connection);

/** @param bytes size of the response, which is about to be sent */
void mt_connection_response_ready(mt_connection_t *connection, size_t bytes);

/** The request is being freed; h2o may read the next one. */
void mt_connection_request_ended(mt_connection_t *connection);

#endif
