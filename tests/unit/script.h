/**
 * @file script.h
 * Scripted tests. A script is a text file of commands (lines that begin with
 * "> "), each followed by the lines that it must print. Lines that begin with
 * '#' are comments; these and empty lines are ignored.
 */
#ifndef MT_TESTS_SCRIPT_H
#define MT_TESTS_SCRIPT_H

#include <glib.h>
#include <stdbool.h>

/**
 * Runs one command and appends what it prints to `out`.
 * @param words the command, split at spaces
 * @param rest  the command without its first word
 * @return false if the group has no such command
 */
typedef bool (*mt_script_cb)(void *fixture, char **words, const char *rest,
			     GString *out);

/** A group of commands that share a fixture, which is made for each script. */
typedef struct mt_script_group_t {
	void *(*open)(void);
	void (*close)(void *fixture);
	mt_script_cb run;
} mt_script_group_t;

extern const mt_script_group_t mt_script_jobs;
extern const mt_script_group_t mt_script_lists;
extern const mt_script_group_t mt_script_decide;
extern const mt_script_group_t mt_script_parse;
extern const mt_script_group_t mt_script_log;
extern const mt_script_group_t mt_script_dag;
extern const mt_script_group_t mt_script_adapter;

/**
 * Runs a script up to the first command whose output differs.
 * @param difference receives this command with its expected and actual output;
 * freed by the caller
 * @return true if all output was as expected
 */
bool mt_script_run(const char *path, char **difference);

/** Value of the word `name=value`, or `fallback` if there is none. */
const char *mt_script_option(char **words, const char *name,
			     const char *fallback);
guint64 mt_script_number(char **words, const char *name, guint64 fallback);

/** True if `name` is one of the words. */
bool mt_script_flag(char **words, const char *name);

#endif
