/**
 * @file peer_links.h
 * TCP connections ("links") between hosts. Each host sends on the links that it
 * opened and receives on those that it accepted. The first frame on a link is a
 * Hello. A link with a malformed frame is closed and counted.
 */
#ifndef MT_NET_PEER_LINKS_H
#define MT_NET_PEER_LINKS_H

#include "kernel/kernel.h"
#include "net/loop.h"
#include "wire/codec.h"

/** Protocol version; a Hello with another one is rejected. */
#define MT_PEER_PROTOCOL 1u

/** Maximum number of unsent bytes per link; more frames are then dropped. */
#define MT_LINK_QUEUE_MAX_BYTES (1024u * 1024u)

/**
 * Called for each frame after the Hello.
 * @param from Hello of the sender; valid during the call, as is `frame`
 */
typedef void (*mt_frame_cb)(void *ctx, const MtPb__Hello *from,
			    const MtPb__Frame *frame);

typedef struct mt_peer_links_t mt_peer_links_t;

/**
 * Listens on `address`:`port`.
 * @param self Hello that this host sends; not used after the call
 * @return NULL when the address cannot be listened on
 */
mt_peer_links_t *mt_peer_links_new(mt_kernel_t *kernel, mt_loop_t *loop,
				   const mt_name_t *address, uint16_t port,
				   const MtPb__Hello *self, mt_frame_cb cb,
				   void *ctx);

/**
 * Opens a link to a host, and reopens it whenever it is closed. Does nothing if
 * `address` is not an IP address.
 */
void mt_peer_links_add(mt_peer_links_t *links, const mt_name_t *host,
		       const mt_name_t *address, uint16_t port);

/** Sends a frame, or drops it if the link to the host is not open. */
void mt_peer_links_send(mt_peer_links_t *links, const mt_name_t *host,
			const MtPb__Frame *frame);

#endif
