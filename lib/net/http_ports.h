/**
 * @file http_ports.h
 * Implements the interfaces in log_port.h and server_port.h: calls the log
 * service, the server list and the backend servers over HTTP and JSON. They
 * belong to the platform of mimosaturnd, which is specified in
 * docs/PLATFORM.md. mimosaturn-entry runs on another platform; its HTTP
 * interfaces are in the folder platform/.
 *
 * The interfaces are structs of function pointers with names in _port_t. The
 * parameter `port` is a TCP port.
 */
#ifndef MT_NET_HTTP_PORTS_H
#define MT_NET_HTTP_PORTS_H

#include "kernel/kernel.h"
#include "net/http_client.h"
#include "net/log_port.h"
#include "net/server_port.h"

/**
 * Implementation of mt_log_port_t, mt_server_port_t and mt_server_list_port_t.
 */
typedef struct mt_http_ports_t mt_http_ports_t;

/** The log service and the server list are both at `address`:`port`. */
mt_http_ports_t *mt_http_ports_new(mt_kernel_t *kernel,
				   mt_http_client_t *client,
				   const mt_name_t *address, uint16_t port);
mt_log_port_t mt_http_ports_log(mt_http_ports_t *ports);
mt_server_port_t mt_http_ports_server(mt_http_ports_t *ports);
mt_server_list_port_t mt_http_ports_server_list(mt_http_ports_t *ports);

/*
 * JSON bodies of requests to the log service (records to append) and of its
 * responses (pages). Encoders return a new string, freed with g_free().
 * Decoders return NULL on a malformed body.
 */

/** @param records of GBytes; a record has no offset before it is appended */
char *mt_log_records_encode(GPtrArray *records);

/** @return an array of GBytes */
GPtrArray *mt_log_records_decode(mt_str_t body);

char *mt_log_page_encode(const mt_log_page_t *page);
mt_log_page_t *mt_log_page_decode(mt_str_t body);

#endif
