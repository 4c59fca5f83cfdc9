/** @file tail.c Reads and follows one stream of the log. */
#include "node/tail.h"

/** How long the log may wait for new records at the end of the stream. */
#define READ_WAIT_MS 1000u

/** The log counts as unavailable when it has not answered for this long. */
#define AVAILABLE_TIMEOUT_MS 3000u

/**
 * Delay, before jitter, after a read without a valid answer; doubles each time.
 */
#define BACKOFF_MIN_MS 100u
#define BACKOFF_MAX_MS 2000u

struct mt_tail_t {
	mt_kernel_t *kernel;
	mt_log_port_t log;
	char *stream;
	mt_tail_handler_t handler;
	uint64_t next; /**< offset of the next record to be read */
	bool started;  /**< `next` was set by the first valid answer */
	bool synced;
	bool answered;
	mt_ms_t answered_at;
	uint64_t log_now_ms; /**< the log's clock at `answered_at` */
	uint64_t retention_ms;
	mt_ms_t backoff;
	uint64_t timer;
};

static void read_next_page(void *ctx);

mt_tail_t *mt_tail_new(mt_kernel_t *kernel, const mt_log_port_t *log,
		       const char *stream, const mt_tail_handler_t *handler)
{
	mt_tail_t *tail = g_new0(mt_tail_t, 1);

	tail->kernel = kernel;
	tail->log = *log;
	tail->stream = g_strdup(stream);
	tail->handler = *handler;
	tail->backoff = BACKOFF_MIN_MS;
	return tail;
}

void mt_tail_free(mt_tail_t *tail)
{
	if (!tail)
		return;
	mt_timers_cancel(mt_kernel_timers(tail->kernel), tail->timer);
	g_free(tail->stream);
	g_free(tail);
}

static void read_later(mt_tail_t *tail, mt_ms_t delay)
{
	tail->timer = mt_timers_after(mt_kernel_timers(tail->kernel), delay,
				      read_next_page, tail);
}

static void retry_later(mt_tail_t *tail)
{
	mt_kernel_count(tail->kernel, "log_reads_failed_total{stream=\"%s\"}",
			tail->stream);
	read_later(tail, mt_kernel_jitter(tail->kernel, tail->backoff));
	tail->backoff = MIN(tail->backoff * 2, BACKOFF_MAX_MS);
}

static void reset_to(mt_tail_t *tail, uint64_t offset)
{
	if (tail->started)
		mt_log(tail->kernel, MT_LOG_WARNING, "tail",
		       "stream %s: log dropped unread records before offset "
		       "%" G_GUINT64_FORMAT "; rebuilding state",
		       tail->stream, offset);
	tail->started = true;
	tail->synced = false;
	tail->next = offset;
	tail->handler.reset(tail->handler.ctx, offset);
}

static void process_log_record(mt_tail_t *tail,
			       const mt_log_record_t *log_record)
{
	MtPb__Record *record;

	/* A record that is not the next one either was read before or follows a
	 * gap. The next read starts at `next`, that is, at the gap. */
	if (log_record->offset != tail->next)
		return;
	tail->next++;
	record = mt_record_unpack(log_record->data);
	if (!record)
		mt_kernel_count(tail->kernel,
				"log_records_malformed_total{stream=\"%s\"}",
				tail->stream);
	tail->handler.record(tail->handler.ctx, log_record, record);
	if (record)
		mt_record_free(record);
}

static void process_page(mt_tail_t *tail, const mt_log_page_t *page)
{
	tail->backoff = BACKOFF_MIN_MS;
	tail->answered = true;
	tail->answered_at = mt_kernel_now(tail->kernel);
	tail->log_now_ms = page->now_ms;
	tail->retention_ms = page->retention_ms;
	if (!tail->started || page->first > tail->next)
		reset_to(tail, page->first);
	for (guint i = 0; i < page->log_records->len; i++)
		process_log_record(tail, &g_array_index(page->log_records,
							mt_log_record_t, i));
	/* `page->next` is the end of the stream, where the next append goes. */
	if (tail->next >= page->next)
		tail->synced = true;
	tail->handler.page(tail->handler.ctx);
}

static void on_page(void *ctx, mt_log_page_t *page)
{
	mt_tail_t *tail = ctx;

	/* The end of the stream (`page->next`) never moves back. An answer that
	 * puts it before a record already read is invalid and ignored. */
	if (!page || (tail->started && page->next < tail->next)) {
		retry_later(tail);
	} else {
		process_page(tail, page);
		read_later(tail, 0);
	}
	mt_log_page_free(page);
}

static void read_next_page(void *ctx)
{
	mt_tail_t *tail = ctx;

	tail->timer = 0;
	tail->log.read(tail->log.self, tail->stream, tail->next,
		       tail->synced ? READ_WAIT_MS : 0, on_page, tail);
}

void mt_tail_start(mt_tail_t *tail)
{
	read_later(tail, 0);
}

uint64_t mt_tail_next_offset(const mt_tail_t *tail)
{
	return tail->next;
}

bool mt_tail_is_synced(const mt_tail_t *tail)
{
	return tail->synced;
}

bool mt_tail_is_log_available(const mt_tail_t *tail)
{
	return tail->answered &&
	       mt_kernel_now(tail->kernel) <=
		       tail->answered_at + AVAILABLE_TIMEOUT_MS;
}

uint64_t mt_tail_log_time(const mt_tail_t *tail)
{
	if (!tail->answered)
		return 0;
	return tail->log_now_ms + mt_kernel_now(tail->kernel) -
	       tail->answered_at;
}

uint64_t mt_tail_retention_ms(const mt_tail_t *tail)
{
	return tail->retention_ms;
}
