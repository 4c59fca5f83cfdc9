/**
 * @file test_log_output.c
 * Tests of the process's log streams, each in a process of its own whose
 * streams nobody reads (review/12). A process that waits for a reader is ended
 * by a signal after GUARD_S.
 */
#include <CUnit/Basic.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "kernel/kernel.h"
#include "kernel/log_output.h"
#include "unit/tests.h"

#define GUARD_S 20u

/** More lines than any stream's buffer takes. */
#define N_LINES 60000u

#define LINE "a line of the log that nobody reads\n"

/** Exit status of a child; others are reasons in its own case. */
#define CHILD_DONE 0

typedef int (*mt_child_cb)(void);

/**
 * Runs `cb` in a child with these descriptors as standard output and standard
 * error; -1: closed.
 * @return its exit status; -1: it was ended by a signal
 */
static int run_child(int out, int err, mt_child_cb cb)
{
	pid_t pid;
	int status = 0;

	fflush(NULL);
	pid = fork();
	if (!pid) {
		signal(SIGALRM, SIG_DFL);
		signal(SIGPIPE, SIG_DFL);
		alarm(GUARD_S);
		if (out < 0)
			close(STDOUT_FILENO);
		else
			dup2(out, STDOUT_FILENO);
		if (err < 0)
			close(STDERR_FILENO);
		else
			dup2(err, STDERR_FILENO);
		_exit(cb());
	}
	CU_ASSERT_EQUAL_FATAL(waitpid(pid, &status, 0), pid);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

static uint64_t dropped(mt_log_stream_t stream, mt_log_drop_t reason)
{
	return mt_log_output_drops(stream)->n[reason];
}

/** Writes to both streams, also as a library does, until nothing is accepted.
 */
static int write_much(void)
{
	mt_log_output_open(true);
	for (unsigned i = 0; i < N_LINES; i++) {
		mt_log_output_line(MT_LOG_EVENTS, MT_STR(LINE));
		mt_log_output_line(MT_LOG_MESSAGES, MT_STR(LINE));
	}
	g_printerr("GLib says something\n");
	g_warning("so does a library that uses it");
	fprintf(stderr, "and one that does not\n");
	if (!dropped(MT_LOG_EVENTS, MT_LOG_DROP_FULL) ||
	    !dropped(MT_LOG_MESSAGES, MT_LOG_DROP_FULL))
		return 1;
	return CHILD_DONE;
}

static void a_pipe_that_nobody_reads_delays_nothing(void)
{
	int fds[2];

	CU_ASSERT_EQUAL_FATAL(pipe(fds), 0);
	CU_ASSERT_EQUAL(run_child(fds[1], fds[1], write_much), CHILD_DONE);
	/* Others have the same open file description. */
	CU_ASSERT_EQUAL(fcntl(fds[1], F_GETFL) & O_NONBLOCK, 0);
	close(fds[0]);
	close(fds[1]);
}

static void a_socket_that_nobody_reads_delays_nothing(void)
{
	int fds[2];

	CU_ASSERT_EQUAL_FATAL(socketpair(AF_UNIX, SOCK_STREAM, 0, fds), 0);
	CU_ASSERT_EQUAL(run_child(fds[1], fds[1], write_much), CHILD_DONE);
	CU_ASSERT_EQUAL(fcntl(fds[1], F_GETFL) & O_NONBLOCK, 0);
	close(fds[0]);
	close(fds[1]);
}

static int write_to_nobody(void)
{
	mt_log_output_open(true);
	mt_log_output_line(MT_LOG_EVENTS, MT_STR(LINE));
	mt_log_output_line(MT_LOG_MESSAGES, MT_STR(LINE));
	return dropped(MT_LOG_EVENTS, MT_LOG_DROP_CLOSED) == 1 &&
			       dropped(MT_LOG_MESSAGES, MT_LOG_DROP_CLOSED) == 1
		       ? CHILD_DONE
		       : 1;
}

/** Of a pipe, and of a socket; neither ends the process. */
static void a_reader_that_has_ended_ends_nothing(void)
{
	int pipe_fds[2];
	int socket_fds[2];

	CU_ASSERT_EQUAL_FATAL(pipe(pipe_fds), 0);
	CU_ASSERT_EQUAL_FATAL(socketpair(AF_UNIX, SOCK_STREAM, 0, socket_fds),
			      0);
	close(pipe_fds[0]);
	close(socket_fds[0]);
	CU_ASSERT_EQUAL(run_child(pipe_fds[1], socket_fds[1], write_to_nobody),
			CHILD_DONE);
	close(pipe_fds[1]);
	close(socket_fds[1]);
}

static int open_a_file(void)
{
	int fd;

	close(STDIN_FILENO);
	if (write_to_nobody() != CHILD_DONE)
		return 1;
	/* The file must not get the log's lines. */
	fd = open("/dev/null", O_RDONLY);
	return fd > STDERR_FILENO ? CHILD_DONE : 2;
}

static void closed_streams_are_not_taken_by_files(void)
{
	CU_ASSERT_EQUAL(run_child(-1, -1, open_a_file), CHILD_DONE);
}

/** Gets a named pipe without a reader; the parent opens it in between. */
static int write_until_read(void)
{
	const char *path = g_getenv("MT_TEST_FIFO");
	int reader;
	char text[256] = "";

	mt_log_output_open(true);
	if (mt_log_output_line(MT_LOG_MESSAGES, MT_STR("lost\n")) !=
	    MT_LOG_DROP_CLOSED)
		return 1;
	reader = open(path, O_RDONLY | O_NONBLOCK);
	if (reader < 0 || !mt_log_output_settle())
		return 2;
	if (read(reader, text, sizeof(text) - 1) <= 0)
		return 3;
	return strcmp(text, "log: left out lines: closed 1\n") ? 4 : CHILD_DONE;
}

/** A named pipe may get a reader again. */
static void a_reader_that_comes_back_is_told(void)
{
	char *folder = g_dir_make_tmp("mt-log-XXXXXX", NULL);
	char *path = g_build_filename(folder, "fifo", NULL);
	int reader;
	int writer;

	CU_ASSERT_EQUAL_FATAL(mkfifo(path, 0600), 0);
	g_setenv("MT_TEST_FIFO", path, TRUE);
	reader = open(path, O_RDONLY | O_NONBLOCK);
	writer = open(path, O_WRONLY);
	close(reader);
	CU_ASSERT_EQUAL(run_child(writer, writer, write_until_read),
			CHILD_DONE);
	close(writer);
	unlink(path);
	rmdir(folder);
	g_free(path);
	g_free(folder);
}

/** A flood of warnings must neither wait nor crowd out an error. */
static int flood(void)
{
	mt_timers_t *timers = mt_timers_new(1000);
	mt_kernel_t *kernel = mt_kernel_new("test", timers, 1);

	mt_log_output_open(true);
	for (unsigned i = 0; i < N_LINES; i++) {
		mt_log(kernel, MT_LOG_WARNING, "list", "entry %u is odd", i);
		mt_log(kernel, MT_LOG_NOTICE, "list", "entry %u was read", i);
	}
	mt_log(kernel, MT_LOG_ERR, "list", "the error");
	mt_timers_advance(timers, 60000);
	mt_kernel_free(kernel);
	mt_timers_free(timers);
	return CHILD_DONE;
}

static void floods_are_bounded_and_summed_up(void)
{
	FILE *file = tmpfile();
	char text[65536] = "";
	unsigned n_lines = 0;

	CU_ASSERT_PTR_NOT_NULL_FATAL(file);
	CU_ASSERT_EQUAL(run_child(fileno(file), fileno(file), flood),
			CHILD_DONE);
	rewind(file);
	CU_ASSERT_TRUE(fread(text, 1, sizeof(text) - 1, file) > 0);
	for (const char *at = text; (at = strchr(at, '\n')); at++)
		n_lines++;
	CU_ASSERT_TRUE(n_lines < 300);
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "err: list: the error\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "59995 more messages like this: "
					    "entry 59999 is odd\n"));
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "left out lines: rate "));
	fclose(file);
}

/** Ends as a process does that is killed: nothing is told at its end. */
static int flood_for_a_second(void)
{
	mt_timers_t *timers = mt_timers_new(1000);
	mt_kernel_t *kernel = mt_kernel_new("test", timers, 1);

	mt_log_output_open(true);
	for (unsigned i = 0; i < 100; i++)
		mt_log(kernel, MT_LOG_WARNING, "list", "entry %u is odd", i);
	for (unsigned i = 0; i < 1000; i++)
		mt_log(kernel, MT_LOG_NOTICE, "list", "entry %u was read", i);
	mt_timers_advance(timers, 2500);
	return CHILD_DONE;
}

/** Guards against: the log tells it only when repeated messages are summed up.
 */
static void what_was_left_out_is_told_soon(void)
{
	FILE *file = tmpfile();
	char text[65536] = "";

	CU_ASSERT_PTR_NOT_NULL_FATAL(file);
	CU_ASSERT_EQUAL(
		run_child(fileno(file), fileno(file), flood_for_a_second),
		CHILD_DONE);
	rewind(file);
	CU_ASSERT_TRUE(fread(text, 1, sizeof(text) - 1, file) > 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(text, "left out lines: rate "));
	CU_ASSERT_PTR_NULL(strstr(text, "more messages like this"));
	fclose(file);
}

const mt_test_t mt_log_output_tests[] = {
	{"a pipe that nobody reads delays nothing",
	 a_pipe_that_nobody_reads_delays_nothing},
	{"a socket that nobody reads delays nothing",
	 a_socket_that_nobody_reads_delays_nothing},
	{"a reader that has ended ends nothing",
	 a_reader_that_has_ended_ends_nothing},
	{"closed streams are not taken by files",
	 closed_streams_are_not_taken_by_files},
	{"a reader that comes back is told", a_reader_that_comes_back_is_told},
	{"floods are bounded and summed up", floods_are_bounded_and_summed_up},
	{"what was left out is told soon", what_was_left_out_is_told_soon},
	{NULL, NULL},
};
