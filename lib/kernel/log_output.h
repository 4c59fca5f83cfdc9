/**
 * @file log_output.h
 * The two output streams of the process, to which its log is written: events
 * to standard output, messages to standard error. No write waits for a reader,
 * ends the process or changes what other processes see: a line that a stream
 * does not accept at once is left out and counted.
 */
#ifndef MT_KERNEL_LOG_OUTPUT_H
#define MT_KERNEL_LOG_OUTPUT_H

#include <stdio.h>

#include "kernel/log_writer.h"

typedef enum mt_log_stream_t {
	MT_LOG_EVENTS,	 /**< standard output */
	MT_LOG_MESSAGES, /**< standard error */
	MT_LOG_N_STREAMS,
} mt_log_stream_t;

/**
 * Prepares the process; to be called first in main(). Ignores SIGPIPE. Gives
 * standard streams that are closed the null device, so that no file or socket
 * takes their numbers. From then on writes by libraries to these streams do not
 * wait either, and what GLib prints goes through mt_log_output_text().
 * @param with_events standard output is a log too; if it is not, it is left as
 *                    it is
 */
void mt_log_output_open(bool with_events);

/** Writes one line, which ends with a line end, see mt_log_writer_write(). */
mt_log_drop_t mt_log_output_line(mt_log_stream_t stream, mt_str_t line);

/** Writes a text of several lines; a line end is added if there is none. */
void mt_log_output_text(mt_log_stream_t stream, const char *text);

/** Formats and writes a text to the messages. */
void mt_log_output_printf(const char *format, ...) G_GNUC_PRINTF(1, 2);

/**
 * A file whose text is written to a stream when it is closed, for libraries
 * that print to a FILE only.
 */
typedef struct mt_log_file_t {
	FILE *file;
	char *text;
	size_t len;
} mt_log_file_t;

void mt_log_file_open(mt_log_file_t *file);
void mt_log_file_close(mt_log_file_t *file, mt_log_stream_t stream);

/** Counts a line that was left out before it came here. */
void mt_log_output_note_drop(mt_log_stream_t stream, mt_log_drop_t reason);

/** Counts a message that will be summed up, so that no reader misses it. */
void mt_log_output_note_repeat(void);

/** See mt_log_writer_settle(), for both streams. */
bool mt_log_output_settle(void);

/** Lines left out of a stream since the start of the process. */
const mt_log_drops_t *mt_log_output_drops(mt_log_stream_t stream);

/** Appends the numbers of lines left out, as metrics. */
void mt_log_output_append_metrics(GString *text);

#endif
