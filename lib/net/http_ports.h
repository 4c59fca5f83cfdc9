/**
 * @file http_ports.h
 * Adapters of the ports in log_port.h and server_port.h: the platform's log
 * service, host list and backend servers over HTTP and JSON, as specified in
 * docs/PLATFORM.md.
 */
#ifndef MT_NET_HTTP_PORTS_H
#define MT_NET_HTTP_PORTS_H

#include "kernel/kernel.h"
#include "net/http_client.h"
#include "net/log_port.h"
#include "net/server_port.h"

typedef struct mt_http_ports_t mt_http_ports_t;

/** `address`:`port` serves both the log service and the host list. */
mt_http_ports_t *mt_http_ports_new(mt_kernel_t *kernel,
				   mt_http_client_t *client,
				   const mt_name_t *address, uint16_t port);
mt_log_port_t mt_http_ports_log(mt_http_ports_t *ports);
mt_server_port_t mt_http_ports_server(mt_http_ports_t *ports);
mt_server_list_port_t mt_http_ports_server_list(mt_http_ports_t *ports);

/*
 * JSON bodies of the log service: requests and responses, each encoded by one
 * side and decoded by the other. Decoders return NULL on a malformed body.
 */
char *mt_log_records_encode(GPtrArray *records);
GPtrArray *mt_log_records_decode(mt_str_t body);
char *mt_log_page_encode(const mt_log_page_t *page);
mt_log_page_t *mt_log_page_decode(mt_str_t body);

#endif
