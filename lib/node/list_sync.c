/** @file list_sync.c Keeps this host's copy of the operators' lists up to date.
 */
#include "node/list_sync.h"

#define LIST_REQUEST_PERIOD_MS 1000u

struct mt_list_sync_t {
	mt_kernel_t *kernel;
	const mt_settings_t *settings;
	mt_lists_t *lists;
	mt_membership_t *members;
	mt_peer_port_t peers;
	mt_tail_t *tail;
	uint64_t timer;
	guint next_peer;
	mt_list_record_cb record_cb;
	void *record_ctx;
};

static void on_reset(void *ctx, uint64_t offset)
{
	mt_list_sync_t *config = ctx;

	/* The current lists are kept, since versions never decrease. If the
	 * stream is read from its first record on, no edit is missing. */
	if (!offset)
		mt_lists_set_complete(config->lists);
}

static void apply(mt_list_sync_t *config, const mt_log_record_t *entry,
		  const MtPb__Record *record)
{
	GError *error = NULL;

	if (record->body_case == MT_PB__RECORD__BODY_LIST_EDIT)
		mt_lists_apply_edit(config->lists, entry->offset, entry->at_ms,
				    record->list_edit, &error);
	else if (record->body_case == MT_PB__RECORD__BODY_LIST_SNAPSHOT)
		mt_lists_apply_snapshot(config->lists, entry->at_ms,
					record->list_snapshot, &error);
	if (!error)
		return;
	mt_kernel_count(config->kernel, "list_edits_rejected_total");
	mt_log(config->kernel, MT_LOG_NOTICE, "config",
	       "rejected the record at offset %" G_GUINT64_FORMAT ": %s",
	       entry->offset, error->message);
	g_error_free(error);
}

static void on_record(void *ctx, const mt_log_record_t *entry,
		      const MtPb__Record *record)
{
	mt_list_sync_t *config = ctx;

	if (record)
		apply(config, entry, record);
	config->record_cb(config->record_ctx, entry);
}

static void on_page(void *ctx)
{
	mt_list_sync_t *config = ctx;

	/* Each list is restated in a snapshot before the log drops its
	 * records. So if the stream holds no snapshot, the lists are still
	 * empty, and edits apply to empty lists. */
	if (mt_tail_is_synced(config->tail) &&
	    !mt_lists_complete(config->lists)) {
		MtPb__ListSnapshot empty = MT_PB__LIST_SNAPSHOT__INIT;

		mt_lists_apply_snapshot(config->lists, 0, &empty, NULL);
	}
}

mt_list_sync_t *mt_list_sync_new(mt_kernel_t *kernel,
				 const mt_settings_t *settings,
				 mt_lists_t *lists, mt_membership_t *members,
				 const mt_log_port_t *log,
				 const mt_peer_port_t *peers)
{
	mt_list_sync_t *config = g_new0(mt_list_sync_t, 1);
	mt_tail_handler_t handler = {config, on_reset, on_record, on_page};

	config->kernel = kernel;
	config->settings = settings;
	config->lists = lists;
	config->members = members;
	config->peers = *peers;
	config->tail = mt_tail_new(kernel, log, MT_LIST_STREAM, &handler);
	return config;
}

void mt_list_sync_free(mt_list_sync_t *config)
{
	if (!config)
		return;
	mt_timers_cancel(mt_kernel_timers(config->kernel), config->timer);
	mt_tail_free(config->tail);
	g_free(config);
}

mt_tail_t *mt_list_sync_tail(mt_list_sync_t *config)
{
	return config->tail;
}

bool mt_list_sync_is_ready(const mt_list_sync_t *config)
{
	return mt_lists_complete(config->lists) &&
	       mt_lists_version(config->lists, MT_LIST_PLANS) &&
	       mt_lists_version(config->lists, MT_LIST_USAGE);
}

/**
 * While the log is unavailable or not read to its end, asks one peer per call,
 * in turn, for newer lists.
 */
static void request_lists(void *ctx)
{
	mt_list_sync_t *config = ctx;
	GArray *peers = config->settings->peers;
	MtPb__Frame frame = MT_PB__FRAME__INIT;
	MtPb__ListRequest request = MT_PB__LIST_REQUEST__INIT;
	const mt_peer_setting_t *peer;

	if (!peers->len || (mt_tail_is_synced(config->tail) &&
			    mt_tail_is_available(config->tail)))
		return;
	peer = &g_array_index(peers, mt_peer_setting_t,
			      config->next_peer++ % peers->len);
	request.plans_version = mt_lists_version(config->lists, MT_LIST_PLANS);
	request.usage_version = mt_lists_version(config->lists, MT_LIST_USAGE);
	frame.body_case = MT_PB__FRAME__BODY_LIST_REQUEST;
	frame.list_request = &request;
	config->peers.send(config->peers.self, &peer->host, &frame);
}

void mt_list_sync_start(mt_list_sync_t *config, mt_list_record_cb cb, void *ctx)
{
	config->record_cb = cb;
	config->record_ctx = ctx;
	config->timer =
		mt_timers_every(mt_kernel_timers(config->kernel),
				LIST_REQUEST_PERIOD_MS, request_lists, config);
	mt_tail_start(config->tail);
}

typedef struct mt_reply_to_t {
	mt_list_sync_t *config;
	const mt_peer_id_t *peer;
} mt_reply_to_t;

static void send_snapshot(void *ctx, MtPb__ListSnapshot *snapshot)
{
	mt_reply_to_t *to = ctx;
	MtPb__Frame frame = MT_PB__FRAME__INIT;

	frame.body_case = MT_PB__FRAME__BODY_LIST_SNAPSHOT;
	frame.list_snapshot = snapshot;
	to->config->peers.send(to->config->peers.self, &to->peer->host, &frame);
}

void mt_list_sync_on_request(mt_list_sync_t *config, const mt_peer_id_t *from,
			     const MtPb__ListRequest *request)
{
	mt_reply_to_t to = {config, from};
	bool newer = mt_lists_version(config->lists, MT_LIST_PLANS) >
			     request->plans_version ||
		     mt_lists_version(config->lists, MT_LIST_USAGE) >
			     request->usage_version;

	if (newer && mt_lists_complete(config->lists))
		mt_lists_with_snapshot(config->lists, send_snapshot, &to);
}

void mt_list_sync_on_snapshot(mt_list_sync_t *config,
			      const MtPb__ListSnapshot *snapshot)
{
	GError *error = NULL;

	if (mt_lists_apply_snapshot(config->lists, 0, snapshot, &error))
		return;
	mt_kernel_count(config->kernel, "peer_lists_rejected_total");
	mt_log(config->kernel, MT_LOG_WARNING, "config",
	       "rejected lists from a peer: %s", error->message);
	g_error_free(error);
}
