/**
 * @file script.h
 * Scripted runs: a file holds commands (`> words`) and, under each, the lines
 * that it must print. Lines that begin with '#' are comments.
 */
#ifndef MT_TESTS_SCRIPT_H
#define MT_TESTS_SCRIPT_H

#include <glib.h>
#include <stdbool.h>

/** Runs one command; prints to `out`. @return false: not this group's */
typedef bool (*mt_script_cb)(void *group, char **words, const char *rest,
			     GString *out);

/** A group of commands with its own state. */
typedef struct mt_script_group_t {
	void *(*open)(void);
	void (*close)(void *group);
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
 * Runs a script and compares its output.
 * @param difference receives a text that shows the first wrong command
 */
bool mt_script_run(const char *path, char **difference);

/** Value of `name=value` among the words, or the fallback. */
const char *mt_script_option(char **words, const char *name,
			     const char *fallback);
guint64 mt_script_number(char **words, const char *name, guint64 fallback);
bool mt_script_flag(char **words, const char *name);

#endif
