/**
 * @file peer_links.h
 * TCP links between entry hosts. Each host sends on the links that it opened
 * and receives on those that it accepted. A link begins with a Hello; one
 * with a malformed frame is dropped and counted.
 */
#ifndef MT_NET_PEER_LINKS_H
#define MT_NET_PEER_LINKS_H

#include "kernel/kernel.h"
#include "net/loop.h"
#include "wire/codec.h"

#define MT_PEER_PROTOCOL 1u

/** Bytes that may wait on a link; further frames are dropped. */
#define MT_LINK_QUEUE_MAX_BYTES (1024u * 1024u)

typedef void (*mt_frame_cb)(void *ctx, const MtPb__Hello *from,
			    const MtPb__Frame *frame);

typedef struct mt_peer_links_t mt_peer_links_t;

/** Listens on `address`:`port`. @return NULL when that is not possible */
mt_peer_links_t *mt_peer_links_new(mt_kernel_t *kernel, mt_loop_t *loop,
				   const mt_name_t *address, uint16_t port,
				   const MtPb__Hello *self, mt_frame_cb cb,
				   void *ctx);

/** Keeps a link open to this host, again and again. */
void mt_peer_links_add(mt_peer_links_t *links, const mt_name_t *host,
		       const mt_name_t *address, uint16_t port);

/** Sends a frame if the link is open; it is dropped otherwise. */
void mt_peer_links_send(mt_peer_links_t *links, const mt_name_t *host,
			const MtPb__Frame *frame);

#endif
