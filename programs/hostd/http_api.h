/**
 * @file http_api.h
 * HTTP interface of an entry host: routes requests to the front and to the
 * operators' views.
 */
#ifndef MT_HOSTD_HTTP_API_H
#define MT_HOSTD_HTTP_API_H

#include "node/node.h"
#include "net/http_server.h"

typedef struct mt_http_api_t mt_http_api_t;

/** @return NULL when the address cannot be listened on */
mt_http_api_t *mt_http_api_new(mt_kernel_t *kernel, mt_loop_t *loop,
			       const mt_settings_t *settings, mt_node_t *node);
mt_http_server_t *mt_http_api_server(mt_http_api_t *service);

#endif
