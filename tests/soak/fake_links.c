/** @file fake_links.c Links between the hosts of the simulation. */
#include "soak/world_internal.h"

typedef struct mt_fake_frame_t {
	mt_host_t *to;
	mt_peer_id_t id; /**< of the sender */
	GByteArray *bytes;
} mt_fake_frame_t;

static void deliver_frame(void *ctx)
{
	mt_fake_frame_t *sent = ctx;
	mt_host_ref_t to = mt_host_ref(sent->to);
	MtPb__Frame *frame;

	if (sent->to->alive && mt_defer_while_frozen(&to, deliver_frame, sent))
		return;
	if (sent->to->alive && mt_frame_take(sent->bytes, &frame)) {
		mt_host_advance(sent->to);
		mt_node_on_frame(sent->to->node, &sent->id, frame);
		mt_frame_free(frame);
	}
	g_byte_array_unref(sent->bytes);
	g_free(sent);
}

static bool is_link_cut(const mt_host_t *a, const mt_host_t *b)
{
	const mt_active_faults_t *active_faults = &a->world->active_faults;

	return active_faults->dc_cut[a->dc][b->dc] ||
	       active_faults->host_cut[a->index][b->index];
}

static void fake_send(void *self, const mt_name_t *name,
		      const MtPb__Frame *frame)
{
	mt_host_t *host = self;
	mt_world_t *world = host->world;
	const mt_name_t *incarnation =
		&mt_membership_self(
			 mt_kernel_find(host->kernel, MT_SERVICE_MEMBERSHIP))
			 ->incarnation;

	for (guint i = 0; i < MT_SOAK_HOSTS; i++) {
		mt_host_t *to = &world->hosts[i];
		mt_fake_frame_t *sent;

		if (!mt_name_equal(&to->settings->host, name) ||
		    is_link_cut(host, to) || !to->alive)
			continue;
		sent = g_new0(mt_fake_frame_t, 1);
		sent->to = to;
		sent->id = (mt_peer_id_t){host->settings->host,
					  host->settings->dc, *incarnation};
		sent->bytes = g_bytes_unref_to_array(mt_frame_pack(frame));
		mt_world_after(world, mt_link_latency(host, to), deliver_frame,
			       sent);
	}
}

mt_peer_port_t mt_fake_peer_port(mt_host_t *host)
{
	return (mt_peer_port_t){host, fake_send};
}
