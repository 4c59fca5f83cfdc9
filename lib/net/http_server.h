/**
 * @file http_server.h
 * A small face over h2o: one handler for all requests, answers that may come
 * later, and a graceful stop.
 */
#ifndef MT_NET_HTTP_SERVER_H
#define MT_NET_HTTP_SERVER_H

#include "kernel/name.h"
#include "net/loop.h"

typedef struct mt_http_server_t mt_http_server_t;

/** One request whose answer is due; gone after mt_http_respond(). */
typedef struct mt_http_exchange_t mt_http_exchange_t;

/** The parts of a request; valid during the handler only. */
typedef struct mt_http_call_t {
	mt_str_t method;
	mt_str_t path; /**< without the query */
	mt_str_t query;
	mt_str_t body;
	mt_http_exchange_t *exchange;
} mt_http_call_t;

typedef void (*mt_http_handler_cb)(void *ctx, const mt_http_call_t *call);

/** @return NULL when the address cannot be listened on */
mt_http_server_t *mt_http_server_new(mt_loop_t *loop, const mt_name_t *address,
				     uint16_t port, size_t body_max_bytes,
				     mt_http_handler_cb handler, void *ctx);

/** Value of a request header, to be read during the handler. */
mt_str_t mt_http_header(const mt_http_exchange_t *exchange, const char *name);

/** Host name, and perhaps port, that the request is addressed to. */
mt_str_t mt_http_authority(const mt_http_exchange_t *exchange);

/** Value of a query parameter; false when it is missing. */
bool mt_http_query(mt_str_t query, const char *name, mt_str_t *value);

/** Called when the caller has gone before the answer; then do not answer. */
void mt_http_on_disconnect(mt_http_exchange_t *exchange, void (*cb)(void *ctx),
			   void *ctx);

/** Answers; `headers` are name and value pairs ended by NULL, or NULL. */
void mt_http_respond(mt_http_exchange_t *exchange, int status, const char *type,
		     mt_str_t body, const char *const *headers);

/** From now on each answer asks the caller to close its connection. */
void mt_http_server_disable_keep_alive(mt_http_server_t *server);

/** Accepts no new connections. */
void mt_http_server_stop(mt_http_server_t *server);

/** Open connections, idle ones included. */
unsigned mt_http_server_connections(const mt_http_server_t *server);

#endif
