/**
 * @file http_api.h
 * HTTP interface of mimosaturnd: passes the requests of clients to the job API,
 * and serves status, metrics and health checks to operators.
 */
#ifndef MT_HOSTD_HTTP_API_H
#define MT_HOSTD_HTTP_API_H

#include "node/node.h"
#include "net/http_server.h"

typedef struct mt_http_api_t mt_http_api_t;

/** @return NULL if the address cannot be listened on */
mt_http_api_t *mt_http_api_new(mt_kernel_t *kernel, mt_loop_t *loop,
			       const mt_settings_t *settings, mt_node_t *node);
mt_http_server_t *mt_http_api_server(mt_http_api_t *api);

#endif
