/**
 * @file ctl.h
 * Helpers shared by the subcommands of the operators' command-line tool.
 */
#ifndef MT_CTL_CTL_H
#define MT_CTL_CTL_H

#include <argtable2.h>
#include <jansson.h>

#include "kernel/kernel.h"
#include "lists/lists.h"
#include "net/http_client.h"

/** Exit codes; documented in docs/OPERATIONS.md. */
typedef enum mt_exit_t {
	MT_EXIT_OK = 0,
	/**
	 * A host does not answer or has older lists than another one, or the
	 * load command found jobs that were lost, run twice, begun though
	 * reported as not run, or answered wrongly, or check found
	 * faults.
	 */
	MT_EXIT_FAILED = 1,
	MT_EXIT_USAGE = 2,    /**< bad command line or file */
	MT_EXIT_INVALID = 3,  /**< a list is invalid */
	MT_EXIT_CONFLICT = 4, /**< another edit was accepted first */
	MT_EXIT_UNKNOWN = 5,  /**< no response; the outcome is unknown */
} mt_exit_t;

/** Event loop, kernel and HTTP client of one subcommand. */
typedef struct mt_ctl_t {
	mt_loop_t *loop;
	mt_kernel_t *kernel;
	mt_http_client_t *http;
} mt_ctl_t;

mt_ctl_t mt_ctl_new(guint32 seed);

/** Parses IP:PORT; prints an error and returns false if it is malformed. */
bool mt_endpoint_parse(const char *text, mt_endpoint_t *endpoint);

/** Parses IP:PORT,IP:PORT,... (of mt_endpoint_t); NULL if malformed. */
GArray *mt_endpoints_parse(const char *text);

/** Reads a JSON file; prints an error and returns NULL on failure. */
json_t *mt_ctl_read_json(const char *path);

/**
 * Sends a GET request for `path` to every endpoint and waits for the responses.
 * @return an array with the JSON responses in the order of `endpoints`; null
 * for an endpoint whose response is missing, not JSON or not of status 200
 */
json_t *mt_ctl_fetch_all(mt_ctl_t *ctl, const GArray *endpoints,
			 const char *path);

/**
 * Parses the command line of one subcommand.
 * @param examples last part of the help text
 * @return false if the subcommand must exit, with `*code`
 */
bool mt_ctl_parse(int argc, char **argv, void **table, struct arg_lit *help,
		  struct arg_end *end, const char *examples, int *code);

int mt_cmd_check(int argc, char **argv);
int mt_cmd_check_lists(int argc, char **argv);
int mt_cmd_diff(int argc, char **argv);
int mt_cmd_publish(int argc, char **argv);
int mt_cmd_show(int argc, char **argv);
int mt_cmd_status(int argc, char **argv);
int mt_cmd_report(int argc, char **argv);
int mt_cmd_load(int argc, char **argv);
int mt_cmd_digest(int argc, char **argv);

#endif
