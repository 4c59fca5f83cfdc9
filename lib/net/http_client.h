/**
 * @file http_client.h
 * HTTP/1.1 client with persistent connections. Servers are given by IP
 * address; names are not resolved.
 */
#ifndef MT_NET_HTTP_CLIENT_H
#define MT_NET_HTTP_CLIENT_H

#include "kernel/name.h"
#include "net/loop.h"

/**
 * Default of the largest size of the bodies of all responses that are being
 * received, for hosts whose memory is not known. A response that receives bytes
 * while the sum is above it counts as no response, however small it is itself.
 */
#define MT_HTTP_RESPONSES_MAX_BYTES (64u * 1024u * 1024u)

typedef enum mt_http_result_t {
	MT_HTTP_RESPONSE,    /**< complete response received; see its status */
	MT_HTTP_NOT_SENT,    /**< no connection; the server received nothing */
	MT_HTTP_NO_RESPONSE, /**< connected, but no complete and valid response
			      within the time-out; the server may have
			      handled the request */
} mt_http_result_t;

typedef struct mt_http_response_t {
	mt_http_result_t result;
	int status;
	mt_str_t body;		/**< valid during the callback */
	unsigned retry_after_s; /**< header Retry-After; 0: none, or a date */
} mt_http_response_t;

/** Called exactly once per request, after mt_http_send() has returned. */
typedef void (*mt_http_cb)(void *ctx, const mt_http_response_t *response);

typedef struct mt_http_request_t {
	mt_name_t address;
	uint16_t port;
	const char *method;
	const char *path;
	const char *headers; /**< further lines, each ended by CRLF; or NULL */
	mt_str_t body;
	/** Time until the response begins, and longest time between two parts
	 * of its body: a long response on a slow link does not time out. */
	mt_ms_t timeout_ms;
	/** A larger body of the response counts as no response; 0: limited
	 * only by that of all responses. */
	size_t response_max_bytes;
} mt_http_request_t;

typedef struct mt_http_client_t mt_http_client_t;

mt_http_client_t *mt_http_client_new(mt_loop_t *loop);

/** Replaces MT_HTTP_RESPONSES_MAX_BYTES. */
void mt_http_client_set_responses_max(mt_http_client_t *client, size_t bytes);

/** Number of responses that exceeded a limit. */
uint64_t mt_http_client_too_large(const mt_http_client_t *client);

/** Sends a request; its fields may be freed when this returns. */
void mt_http_send(mt_http_client_t *client, const mt_http_request_t *request,
		  mt_http_cb cb, void *ctx);

/**
 * Total number of bytes in all requests that have ended, including those that
 * could not be sent, and in the bodies of their responses.
 */
uint64_t mt_http_client_bytes(const mt_http_client_t *client);

#endif
