/** @file list_sync.c Keeps this host's copy of the lists up to date. */
#include "node/list_sync.h"

/** Period at which one peer is asked for newer lists, if needed. */
#define LIST_REQUEST_PERIOD_MS 1000u

struct mt_list_sync_t {
	mt_kernel_t *kernel;
	const mt_settings_t *settings;
	mt_lists_t *lists;
	mt_peer_port_t peers;
	mt_tail_t *tail;
	uint64_t timer;
	guint next_peer;
	mt_list_record_cb record_cb;
	void *record_ctx;
};

static void on_reset(void *ctx, uint64_t offset)
{
	mt_list_sync_t *list_sync = ctx;

	/* The current lists are kept: a list's version only increases, so
	 * records that are older than the list do not change it. If the stream
	 * is read from its first record on, no edit is missing. */
	if (!offset)
		mt_lists_set_complete(list_sync->lists);
}

static void apply(mt_list_sync_t *list_sync, const mt_log_record_t *log_record,
		  const MtPb__Record *record)
{
	GError *error = NULL;

	if (record->body_case == MT_PB__RECORD__BODY_LIST_EDIT)
		mt_lists_apply_edit(list_sync->lists, log_record->offset,
				    log_record->at_ms, record->list_edit,
				    &error);
	else if (record->body_case == MT_PB__RECORD__BODY_LIST_SNAPSHOT)
		mt_lists_apply_snapshot(list_sync->lists, log_record->at_ms,
					record->list_snapshot, &error);
	if (!error)
		return;
	/* The metric also counts edits that mt_lists_apply_edit() has deferred
	 * until the next snapshot, which may still be applied. */
	mt_kernel_count(list_sync->kernel, "list_edits_rejected_total");
	mt_log(list_sync->kernel, MT_LOG_NOTICE, "config",
	       "did not apply the record at offset %" G_GUINT64_FORMAT ": %s",
	       log_record->offset, error->message);
	g_error_free(error);
}

static void on_record(void *ctx, const mt_log_record_t *log_record,
		      const MtPb__Record *record)
{
	mt_list_sync_t *list_sync = ctx;

	if (record)
		apply(list_sync, log_record, record);
	list_sync->record_cb(list_sync->record_ctx, log_record);
}

static void on_page(void *ctx)
{
	mt_list_sync_t *list_sync = ctx;

	/* Before the log drops an edit, the refresher appends a snapshot of the
	 * lists. So if the stream holds no snapshot, no edit was dropped, and
	 * the edits that mt_lists_apply_edit() has deferred apply to empty
	 * lists. */
	if (mt_tail_is_synced(list_sync->tail) &&
	    !mt_lists_complete(list_sync->lists)) {
		MtPb__ListSnapshot empty = MT_PB__LIST_SNAPSHOT__INIT;

		mt_lists_apply_snapshot(list_sync->lists, 0, &empty, NULL);
	}
}

mt_list_sync_t *mt_list_sync_new(mt_kernel_t *kernel,
				 const mt_settings_t *settings,
				 mt_lists_t *lists, const mt_log_port_t *log,
				 const mt_peer_port_t *peers)
{
	mt_list_sync_t *list_sync = g_new0(mt_list_sync_t, 1);
	mt_tail_handler_t handler = {list_sync, on_reset, on_record, on_page};

	list_sync->kernel = kernel;
	list_sync->settings = settings;
	list_sync->lists = lists;
	list_sync->peers = *peers;
	list_sync->tail = mt_tail_new(kernel, log, MT_LIST_STREAM, &handler);
	return list_sync;
}

void mt_list_sync_free(mt_list_sync_t *list_sync)
{
	if (!list_sync)
		return;
	mt_timers_cancel(mt_kernel_timers(list_sync->kernel), list_sync->timer);
	mt_tail_free(list_sync->tail);
	g_free(list_sync);
}

mt_tail_t *mt_list_sync_tail(mt_list_sync_t *list_sync)
{
	return list_sync->tail;
}

bool mt_list_sync_has_lists(const mt_list_sync_t *list_sync)
{
	return mt_lists_complete(list_sync->lists) &&
	       mt_lists_version(list_sync->lists, MT_LIST_PLANS) &&
	       mt_lists_version(list_sync->lists, MT_LIST_USAGE);
}

/**
 * While the log is unavailable or not read to its end, asks one peer per call,
 * in turn, for newer lists.
 */
static void request_lists(void *ctx)
{
	mt_list_sync_t *list_sync = ctx;
	GArray *peers = list_sync->settings->peers;
	MtPb__Frame frame = MT_PB__FRAME__INIT;
	MtPb__ListRequest request = MT_PB__LIST_REQUEST__INIT;
	const mt_peer_setting_t *peer;

	if (!peers->len || (mt_tail_is_synced(list_sync->tail) &&
			    mt_tail_is_log_available(list_sync->tail)))
		return;
	peer = &g_array_index(peers, mt_peer_setting_t,
			      list_sync->next_peer++ % peers->len);
	request.plans_version =
		mt_lists_version(list_sync->lists, MT_LIST_PLANS);
	request.usage_version =
		mt_lists_version(list_sync->lists, MT_LIST_USAGE);
	frame.body_case = MT_PB__FRAME__BODY_LIST_REQUEST;
	frame.list_request = &request;
	list_sync->peers.send(list_sync->peers.self, &peer->host, &frame);
}

void mt_list_sync_start(mt_list_sync_t *list_sync, mt_list_record_cb cb,
			void *ctx)
{
	list_sync->record_cb = cb;
	list_sync->record_ctx = ctx;
	list_sync->timer = mt_timers_every(mt_kernel_timers(list_sync->kernel),
					   LIST_REQUEST_PERIOD_MS,
					   request_lists, list_sync);
	mt_tail_start(list_sync->tail);
}

/** Context of send_snapshot(). */
typedef struct mt_reply_to_t {
	mt_list_sync_t *list_sync;
	const mt_peer_id_t *peer;
} mt_reply_to_t;

static void send_snapshot(void *ctx, MtPb__ListSnapshot *snapshot)
{
	mt_reply_to_t *to = ctx;
	MtPb__Frame frame = MT_PB__FRAME__INIT;

	frame.body_case = MT_PB__FRAME__BODY_LIST_SNAPSHOT;
	frame.list_snapshot = snapshot;
	to->list_sync->peers.send(to->list_sync->peers.self, &to->peer->host,
				  &frame);
}

void mt_list_sync_on_request(mt_list_sync_t *list_sync,
			     const mt_peer_id_t *from,
			     const MtPb__ListRequest *request)
{
	mt_reply_to_t to = {list_sync, from};
	bool newer = mt_lists_version(list_sync->lists, MT_LIST_PLANS) >
			     request->plans_version ||
		     mt_lists_version(list_sync->lists, MT_LIST_USAGE) >
			     request->usage_version;

	if (newer && mt_lists_complete(list_sync->lists))
		mt_lists_with_snapshot(list_sync->lists, send_snapshot, &to);
}

void mt_list_sync_on_snapshot(mt_list_sync_t *list_sync,
			      const MtPb__ListSnapshot *snapshot)
{
	GError *error = NULL;

	if (mt_lists_apply_snapshot(list_sync->lists, 0, snapshot, &error))
		return;
	mt_kernel_count(list_sync->kernel, "peer_lists_rejected_total");
	mt_log(list_sync->kernel, MT_LOG_WARNING, "config",
	       "rejected lists from a peer: %s", error->message);
	g_error_free(error);
}
