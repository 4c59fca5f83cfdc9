/**
 * @file service.h
 * HTTP interface of an entry host: routes requests to the front and to the
 * operators' views.
 */
#ifndef MT_HOSTD_SERVICE_H
#define MT_HOSTD_SERVICE_H

#include "node/node.h"
#include "net/http_server.h"

typedef struct mt_service_t mt_service_t;

/** @return NULL when the address cannot be listened on */
mt_service_t *mt_service_new(mt_kernel_t *kernel, mt_loop_t *loop,
			     const mt_settings_t *settings, mt_node_t *node);
mt_http_server_t *mt_service_http(mt_service_t *service);

#endif
