/**
 * @file peer_http.h
 * Calls between hosts over HTTP: POST requests with messages of dag.proto as
 * bodies.
 */
#ifndef MT_PEER_PEER_HTTP_H
#define MT_PEER_PEER_HTTP_H

#include "dag/host.h"
#include "net/http_client.h"
#include "net/http_server.h"

typedef struct mt_peer_http_t mt_peer_http_t;

/** Makes the client side. */
mt_peer_http_t *mt_peer_http_new(mt_kernel_t *kernel, mt_http_client_t *client);

const mt_peer_port_t *mt_peer_http_port(const mt_peer_http_t *peer_http);

/**
 * Makes the server side, which passes the calls of other hosts to `host`.
 * @return NULL when the endpoint cannot be listened on
 */
mt_http_server_t *mt_peer_server_new(mt_kernel_t *kernel, mt_loop_t *loop,
				     const mt_endpoint_t *endpoint,
				     mt_dag_host_t *host);

#endif
