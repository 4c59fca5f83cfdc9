/** @file log_writer.c Writes lines to an output without waiting for it. */
#include "kernel/log_writer.h"

#include <errno.h>
#include <string.h>

const char *mt_log_drop_name(mt_log_drop_t reason)
{
	static const char *const names[MT_LOG_N_DROPS] = {
		"full", "closed", "failed", "rate", "repeated"};

	return names[reason];
}

void mt_log_writer_init(mt_log_writer_t *writer, const mt_line_port_t *port)
{
	*writer =
		(mt_log_writer_t){.port = *port, .obstacle = MT_LOG_DROP_NONE};
}

static mt_log_drop_t drop_of_errno(int error)
{
	switch (error) {
	case EAGAIN:
	case EINTR:
		return MT_LOG_DROP_FULL;
	case EPIPE:
	case ECONNRESET:
	case ENOTCONN:
	case EBADF:
		return MT_LOG_DROP_CLOSED;
	default:
		return MT_LOG_DROP_FAILED;
	}
}

/** Hands over as much of `data` as is accepted; the rest is kept. */
static bool put(mt_log_writer_t *writer, const char *data, size_t len)
{
	gssize n = writer->port.write(writer->port.self, data, len);

	writer->obstacle =
		n > 0 ? MT_LOG_DROP_NONE
		      : (n ? drop_of_errno(errno) : MT_LOG_DROP_FULL);
	if (n <= 0)
		return false;
	writer->rest_len = len - MIN((size_t)n, len);
	/* `data` may be a part of `rest`. */
	memmove(writer->rest, data + len - writer->rest_len, writer->rest_len);
	return true;
}

bool mt_log_writer_end_line(mt_log_writer_t *writer)
{
	while (writer->rest_len) {
		if (!put(writer, writer->rest, writer->rest_len))
			return false;
	}
	return true;
}

static bool has_untold(const mt_log_writer_t *writer)
{
	for (unsigned i = 0; i < MT_LOG_N_DROPS; i++) {
		if (writer->untold.n[i])
			return true;
	}
	return false;
}

static bool tell(mt_log_writer_t *writer)
{
	GString *line;
	bool told;

	if (!has_untold(writer))
		return true;
	line = g_string_new(NULL);
	writer->port.describe(writer->port.self, &writer->untold, line);
	told = put(writer, line->str, MIN(line->len, MT_LOG_LINE_MAX_BYTES));
	g_string_free(line, TRUE);
	if (told)
		writer->untold = (mt_log_drops_t){0};
	return told;
}

bool mt_log_writer_settle(mt_log_writer_t *writer)
{
	return mt_log_writer_end_line(writer) && tell(writer) &&
	       mt_log_writer_end_line(writer);
}

void mt_log_writer_note_drop(mt_log_writer_t *writer, mt_log_drop_t reason)
{
	writer->untold.n[reason]++;
}

mt_log_drop_t mt_log_writer_write(mt_log_writer_t *writer, mt_str_t line)
{
	size_t len = MIN(line.len, MT_LOG_LINE_MAX_BYTES);

	if (mt_log_writer_settle(writer) && put(writer, line.data, len))
		return MT_LOG_DROP_NONE;
	mt_log_writer_note_drop(writer, writer->obstacle);
	return writer->obstacle;
}
