/**
 * @file server_codec.h
 * JSON bodies of the backend server's protocol, both directions. The
 * encoders return a new string; the decoders return false on a body that
 * breaks the contract and then leave nothing to free.
 */
#ifndef MT_NET_SERVER_CODEC_H
#define MT_NET_SERVER_CODEC_H

#include "net/server_port.h"

char *mt_server_request_encode(const mt_server_request_t *request);
bool mt_server_request_decode(mt_str_t body, mt_server_request_t *request);
void mt_server_request_clear(mt_server_request_t *request);

char *mt_server_reply_encode(const mt_server_reply_t *reply);
bool mt_server_reply_decode(mt_str_t body, mt_server_reply_t *reply);

/** Decodes the host list: an array of mt_server_info_t, or NULL. */
GArray *mt_server_infos_decode(mt_str_t body);
char *mt_server_infos_encode(const GArray *servers);

#endif
