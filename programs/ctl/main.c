/** @file main.c Command-line tool for operators (mimosaturn). */
#include <stdio.h>
#include <string.h>

#include "kernel/log_output.h"
#include "ctl.h"

typedef struct mt_command_t {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *summary;
} mt_command_t;

static const mt_command_t commands[] = {
	{"check", mt_cmd_check, "check the two lists, or a configuration"},
	{"diff", mt_cmd_diff, "show what a file would change"},
	{"publish", mt_cmd_publish, "put a new version of a list in force"},
	{"show", mt_cmd_show,
	 "show which list versions are in force on each host"},
	{"status", mt_cmd_status, "show hosts, racks and accounts"},
	{"report", mt_cmd_report, "report error budget burn rates"},
	{"load", mt_cmd_load,
	 "submit a reproducible mix of jobs and check the results"},
	{"digest", mt_cmd_digest, "compute the digest of an account's key"},
};

static void print_usage(FILE *out)
{
	fprintf(out, "Usage: mimosaturn COMMAND [OPTION...]\n\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(out, "  %-10s %s\n", commands[i].name,
			commands[i].summary);
	fprintf(out, "\n'mimosaturn COMMAND --help' shows options and "
		     "examples.\n");
}

int main(int argc, char **argv)
{
	mt_log_file_t usage;

	mt_log_output_open(false);
	if (argc >= 2 &&
	    (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h"))) {
		print_usage(stdout);
		return MT_EXIT_OK;
	}
	for (size_t i = 0; argc >= 2 && i < G_N_ELEMENTS(commands); i++) {
		if (!strcmp(argv[1], commands[i].name))
			return commands[i].run(argc - 1, argv + 1);
	}
	mt_log_file_open(&usage);
	print_usage(usage.file);
	mt_log_file_close(&usage, MT_LOG_MESSAGES);
	return MT_EXIT_USAGE;
}
