/**
 * @file server_codec.h
 * Encodes and decodes the JSON bodies of the protocol between mimosaturnd and
 * backend servers (/v1/servers) and of the server list (/v1/hosts). The other
 * protocol to backend servers, that of mimosaturn-entry, is in
 * platform/backend_http.h. Encoders return a new string, freed with g_free().
 * Decoders of requests and replies return false on a malformed body; there is
 * then nothing to free.
 */
#ifndef MT_NET_SERVER_CODEC_H
#define MT_NET_SERVER_CODEC_H

#include "net/server_port.h"

char *mt_server_request_encode(const mt_server_request_t *request);
bool mt_server_request_decode(mt_str_t body, mt_server_request_t *request);
void mt_server_request_clear(mt_server_request_t *request);

char *mt_server_reply_encode(const mt_server_reply_t *reply);
bool mt_server_reply_decode(mt_str_t body, mt_server_reply_t *reply);

/** Decodes the server list (mt_server_info_t); NULL if it is malformed. */
GArray *mt_server_infos_decode(mt_str_t body);
char *mt_server_infos_encode(const GArray *servers);

#endif
