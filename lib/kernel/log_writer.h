/**
 * @file log_writer.h
 * Writes lines to one output without waiting for it. A line that the output
 * does not accept at once is left out and counted; the output is told how many
 * were left out when it accepts lines again. Does no I/O of its own.
 */
#ifndef MT_KERNEL_LOG_WRITER_H
#define MT_KERNEL_LOG_WRITER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kernel/name.h"

/**
 * Maximum length of a line with its line end. The kernel writes so much to a
 * pipe as a whole or not at all (PIPE_BUF on Linux).
 */
#define MT_LOG_LINE_MAX_BYTES 4096u

/** Why a line was left out. */
typedef enum mt_log_drop_t {
	MT_LOG_DROP_NONE = -1,
	MT_LOG_DROP_FULL,     /**< the output accepts nothing at present */
	MT_LOG_DROP_CLOSED,   /**< there is no reader, or no output */
	MT_LOG_DROP_FAILED,   /**< another error of the output */
	MT_LOG_DROP_RATE,     /**< too many lines in this second */
	MT_LOG_DROP_REPEATED, /**< summed up with others like it */
	MT_LOG_N_DROPS,
} mt_log_drop_t;

/** Name of a reason, as in the metrics. */
const char *mt_log_drop_name(mt_log_drop_t reason);

/** Numbers of lines, by reason. */
typedef struct mt_log_drops_t {
	uint64_t n[MT_LOG_N_DROPS];
} mt_log_drops_t;

/** The output of a writer. */
typedef struct mt_line_port_t {
	void *self;
	/**
	 * Writes without waiting, like write(2) to a non-blocking descriptor.
	 * @return number of bytes accepted; -1 with errno set if none are
	 */
	gssize (*write)(void *self, const char *data, size_t len);
	/** Appends a line which tells that lines were left out. */
	void (*describe)(void *self, const mt_log_drops_t *drops,
			 GString *line);
} mt_line_port_t;

typedef struct mt_log_writer_t {
	mt_line_port_t port;
	/** Rest of a line of which the output has accepted a part. Nothing else
	 * is written before it. */
	char rest[MT_LOG_LINE_MAX_BYTES];
	size_t rest_len;
	mt_log_drops_t untold; /**< left out since the output was last told */
	/** Why the last write was not accepted; MT_LOG_DROP_NONE: it was. */
	mt_log_drop_t obstacle;
} mt_log_writer_t;

void mt_log_writer_init(mt_log_writer_t *writer, const mt_line_port_t *port);

/**
 * Writes a line, which ends with a line end and has at most
 * MT_LOG_LINE_MAX_BYTES; before it, tells what was left out.
 * @return MT_LOG_DROP_NONE if the line was accepted, also if only a part of it
 *         was: the rest is written first next time
 */
mt_log_drop_t mt_log_writer_write(mt_log_writer_t *writer, mt_str_t line);

/** Writes the rest of a line; false if some of it remains. */
bool mt_log_writer_end_line(mt_log_writer_t *writer);

/** Counts a line that was left out before it came here. */
void mt_log_writer_note_drop(mt_log_writer_t *writer, mt_log_drop_t reason);

/**
 * Writes the rest of a line, and tells what was left out.
 * @return true if nothing of this remains
 */
bool mt_log_writer_settle(mt_log_writer_t *writer);

#endif
