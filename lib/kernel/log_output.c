/**
 * @file log_output.c
 * The output streams of the process.
 *
 * Whether a write waits is a property of the open file description, which
 * other processes may share: hosts that write to one pipe, for example. So the
 * streams are not set to O_NONBLOCK. A pipe or terminal is opened again, which
 * makes a description of our own; where that is not possible, each single write
 * is made not to wait.
 */
#define _GNU_SOURCE
#include "kernel/log_output.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <unistd.h>

#define NULL_DEVICE "/dev/null"

/** Lowest number of a descriptor that takes no standard stream's number. */
#define FIRST_FREE_FD (STDERR_FILENO + 1)

/** How a stream is written. */
typedef enum mt_stream_mode_t {
	STREAM_AS_IS,  /**< not prepared, see mt_log_output_open() */
	STREAM_PLAIN,  /**< a write does not wait, for example to a file */
	STREAM_NOWAIT, /**< a pipe that cannot be opened again */
	STREAM_SOCKET,
	STREAM_UNREAD, /**< a pipe without a reader; opened again later */
	STREAM_CLOSED, /**< was closed when the process started */
} mt_stream_mode_t;

typedef struct mt_stream_t {
	int number; /**< of the standard stream */
	int fd;	    /**< that is written to */
	mt_stream_mode_t mode;
	mt_log_writer_t writer;
	mt_log_drops_t drops;
} mt_stream_t;

/** Both streams are the same file: a line of one ends before the next. */
static bool is_one_file;

static gssize write_stream(void *self, const char *data, size_t len);
static void describe_events(void *self, const mt_log_drops_t *drops,
			    GString *line);
static void describe_messages(void *self, const mt_log_drops_t *drops,
			      GString *line);

static mt_stream_t streams[MT_LOG_N_STREAMS] = {
	{STDOUT_FILENO,
	 STDOUT_FILENO,
	 STREAM_AS_IS,
	 {.port = {&streams[MT_LOG_EVENTS], write_stream, describe_events},
	  .obstacle = MT_LOG_DROP_NONE},
	 {{0}}},
	{STDERR_FILENO,
	 STDERR_FILENO,
	 STREAM_AS_IS,
	 {.port = {&streams[MT_LOG_MESSAGES], write_stream, describe_messages},
	  .obstacle = MT_LOG_DROP_NONE},
	 {{0}}},
};

/* Preparation. */

/** Opens the file behind a descriptor again, for writes that do not wait. */
static int open_again(int fd)
{
	char path[sizeof("/proc/self/fd/") + 16];

	g_snprintf(path, sizeof(path), "/proc/self/fd/%d", fd);
	return open(path, O_WRONLY | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);
}

/**
 * Keeps the stream's file under another number, and puts the null device in
 * its place: a write by a library must not wait there.
 */
static void set_aside(mt_stream_t *stream)
{
	int copy = fcntl(stream->number, F_DUPFD_CLOEXEC, FIRST_FREE_FD);
	int null_fd = open(NULL_DEVICE, O_WRONLY | O_CLOEXEC);

	if (copy >= 0 && null_fd >= 0 && dup2(null_fd, stream->number) >= 0)
		stream->fd = copy;
	else if (copy >= 0)
		close(copy);
	if (null_fd >= 0)
		close(null_fd);
}

/** Opens a pipe or terminal again and puts this in its place. */
static void prepare_pipe(mt_stream_t *stream)
{
	int fd = open_again(stream->number);

	if (fd >= 0) {
		if (dup2(fd, stream->number) >= 0)
			stream->mode = STREAM_PLAIN;
		close(fd);
		return;
	}
	stream->mode = errno == ENXIO ? STREAM_UNREAD : STREAM_NOWAIT;
	set_aside(stream);
}

static void prepare_stream(mt_stream_t *stream)
{
	struct stat status;

	if (stream->mode != STREAM_AS_IS || fstat(stream->number, &status) < 0)
		return;
	if (S_ISFIFO(status.st_mode) || isatty(stream->number)) {
		prepare_pipe(stream);
	} else if (S_ISSOCK(status.st_mode)) {
		stream->mode = STREAM_SOCKET;
		set_aside(stream);
	} else {
		stream->mode = STREAM_PLAIN;
	}
}

static bool are_same_file(int a, int b)
{
	struct stat first;
	struct stat second;

	return fstat(a, &first) == 0 && fstat(b, &second) == 0 &&
	       first.st_dev == second.st_dev && first.st_ino == second.st_ino;
}

/** Gives a closed standard stream the null device. */
static void fill_closed_stream(int number)
{
	int flags = number == STDIN_FILENO ? O_RDONLY : O_WRONLY;
	int fd;

	if (fcntl(number, F_GETFD) >= 0 || errno != EBADF)
		return;
	fd = open(NULL_DEVICE, flags);
	if (fd >= 0 && fd != number) {
		dup2(fd, number);
		close(fd);
	}
	for (unsigned i = 0; i < MT_LOG_N_STREAMS; i++) {
		if (streams[i].number == number)
			streams[i].mode = STREAM_CLOSED;
	}
}

static void print_text(const gchar *text)
{
	mt_log_output_text(MT_LOG_MESSAGES, text);
}

static GLogWriterOutput write_glib_message(GLogLevelFlags level,
					   const GLogField *fields,
					   gsize n_fields, gpointer data)
{
	char *text = g_log_writer_format_fields(level, fields, n_fields, FALSE);

	mt_log_output_text(MT_LOG_MESSAGES, text);
	g_free(text);
	return G_LOG_WRITER_HANDLED;
}

void mt_log_output_open(bool with_events)
{
	signal(SIGPIPE, SIG_IGN);
	for (int number = STDIN_FILENO; number <= STDERR_FILENO; number++)
		fill_closed_stream(number);
	is_one_file = are_same_file(STDOUT_FILENO, STDERR_FILENO);
	if (with_events)
		prepare_stream(&streams[MT_LOG_EVENTS]);
	prepare_stream(&streams[MT_LOG_MESSAGES]);
	g_set_printerr_handler(print_text);
	g_log_set_writer_func(write_glib_message, NULL, NULL);
}

/* Writes. */

/** Writes if the file would accept something at the moment. */
static gssize write_when_ready(int fd, const char *data, size_t len)
{
	struct pollfd output = {fd, POLLOUT, 0};

	if (poll(&output, 1, 0) == 1)
		return write(fd, data, len);
	errno = EAGAIN;
	return -1;
}

/**
 * Writes to a pipe whose description others may share. Before Linux 6.5 a
 * single write cannot be made not to wait; it then waits if others fill the
 * pipe right after it was asked.
 */
static gssize write_nowait(int fd, const char *data, size_t len)
{
	struct iovec part = {(void *)data, len};
	gssize n = pwritev2(fd, &part, 1, -1, RWF_NOWAIT);

	if (n >= 0 || errno == EAGAIN || errno == EPIPE)
		return n;
	return write_when_ready(fd, data, len);
}

/** Opens a pipe again that had no reader, if it has one now. */
static gssize write_unread(mt_stream_t *stream, const char *data, size_t len)
{
	int fd = open_again(stream->fd);

	if (fd < 0) {
		errno = EPIPE;
		return -1;
	}
	dup2(fd, stream->number);
	close(fd);
	if (stream->fd != stream->number)
		close(stream->fd);
	stream->fd = stream->number;
	stream->mode = STREAM_PLAIN;
	return write(stream->fd, data, len);
}

static gssize write_stream(void *self, const char *data, size_t len)
{
	mt_stream_t *stream = self;

	switch (stream->mode) {
	case STREAM_PLAIN:
		return write(stream->fd, data, len);
	case STREAM_SOCKET:
		return send(stream->fd, data, len, MSG_DONTWAIT | MSG_NOSIGNAL);
	case STREAM_UNREAD:
		return write_unread(stream, data, len);
	case STREAM_CLOSED:
		errno = EBADF;
		return -1;
	case STREAM_NOWAIT:
		return write_nowait(stream->fd, data, len);
	default:
		return write_when_ready(stream->fd, data, len);
	}
}

static void append_drops(GString *line, const mt_log_drops_t *drops,
			 const char *format)
{
	const char *separator = "";

	for (unsigned i = 0; i < MT_LOG_N_DROPS; i++) {
		if (!drops->n[i])
			continue;
		g_string_append(line, separator);
		g_string_append_printf(line, format, mt_log_drop_name(i),
				       drops->n[i]);
		separator = ",";
	}
}

static void describe_events(void *self, const mt_log_drops_t *drops,
			    GString *line)
{
	g_string_append_printf(
		line,
		"{\"event\":\"events_dropped\",\"at_ms\":%" G_GINT64_FORMAT ",",
		g_get_real_time() / 1000);
	append_drops(line, drops, "\"%s\":%" G_GUINT64_FORMAT);
	g_string_append(line, "}\n");
}

static void describe_messages(void *self, const mt_log_drops_t *drops,
			      GString *line)
{
	g_string_append(line, "log: left out lines:");
	append_drops(line, drops, " %s %" G_GUINT64_FORMAT);
	g_string_append_c(line, '\n');
}

static mt_stream_t *other_of(mt_log_stream_t stream)
{
	return &streams[stream == MT_LOG_EVENTS ? MT_LOG_MESSAGES
						: MT_LOG_EVENTS];
}

mt_log_drop_t mt_log_output_line(mt_log_stream_t stream, mt_str_t line)
{
	mt_log_drop_t dropped;

	if (is_one_file && !mt_log_writer_end_line(&other_of(stream)->writer)) {
		mt_log_output_note_drop(stream, MT_LOG_DROP_FULL);
		return MT_LOG_DROP_FULL;
	}
	dropped = mt_log_writer_write(&streams[stream].writer, line);
	if (dropped != MT_LOG_DROP_NONE)
		streams[stream].drops.n[dropped]++;
	return dropped;
}

void mt_log_output_text(mt_log_stream_t stream, const char *text)
{
	while (*text) {
		size_t len =
			MIN(strcspn(text, "\n"), MT_LOG_LINE_MAX_BYTES - 1);
		char *line = g_strdup_printf("%.*s\n", (int)len, text);

		mt_log_output_line(stream, mt_str_from(line));
		g_free(line);
		text += len + (text[len] == '\n');
	}
}

void mt_log_output_printf(const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	mt_log_output_text(MT_LOG_MESSAGES, text);
	g_free(text);
}

void mt_log_file_open(mt_log_file_t *file)
{
	*file = (mt_log_file_t){0};
	file->file = open_memstream(&file->text, &file->len);
	if (!file->file)
		g_error("no memory for a text");
}

void mt_log_file_close(mt_log_file_t *file, mt_log_stream_t stream)
{
	fclose(file->file);
	mt_log_output_text(stream, file->text);
	free(file->text);
}

void mt_log_output_note_drop(mt_log_stream_t stream, mt_log_drop_t reason)
{
	mt_log_writer_note_drop(&streams[stream].writer, reason);
	streams[stream].drops.n[reason]++;
}

void mt_log_output_note_repeat(void)
{
	streams[MT_LOG_MESSAGES].drops.n[MT_LOG_DROP_REPEATED]++;
}

bool mt_log_output_settle(void)
{
	bool settled = true;

	for (unsigned i = 0; i < MT_LOG_N_STREAMS; i++)
		settled = mt_log_writer_settle(&streams[i].writer) && settled;
	return settled;
}

const mt_log_drops_t *mt_log_output_drops(mt_log_stream_t stream)
{
	return &streams[stream].drops;
}

void mt_log_output_append_metrics(GString *text)
{
	static const char *const names[MT_LOG_N_STREAMS] = {"events",
							    "messages"};

	for (unsigned i = 0; i < MT_LOG_N_STREAMS; i++) {
		for (unsigned k = 0; k < MT_LOG_N_DROPS; k++)
			g_string_append_printf(
				text,
				"mimosaturn_log_lines_dropped_total{stream="
				"\"%s\",reason=\"%s\"} %" G_GUINT64_FORMAT "\n",
				names[i], mt_log_drop_name(k),
				streams[i].drops.n[k]);
	}
}
