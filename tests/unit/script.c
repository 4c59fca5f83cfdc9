/** @file script.c Runs scripts and checks what their commands print. */
#include "unit/script.h"

#include <string.h>

static const mt_script_group_t *const groups[] = {
	&mt_script_jobs, &mt_script_lists, &mt_script_decide, &mt_script_parse,
	&mt_script_log,	 &mt_script_dag,   &mt_script_adapter};

#define GROUPS G_N_ELEMENTS(groups)

const char *mt_script_option(char **words, const char *name,
			     const char *fallback)
{
	size_t len = strlen(name);

	for (; *words; words++) {
		if (!strncmp(*words, name, len) && (*words)[len] == '=')
			return *words + len + 1;
	}
	return fallback;
}

guint64 mt_script_number(char **words, const char *name, guint64 fallback)
{
	const char *value = mt_script_option(words, name, NULL);

	return value ? g_ascii_strtoull(value, NULL, 10) : fallback;
}

bool mt_script_flag(char **words, const char *name)
{
	return g_strv_contains((const char *const *)words, name);
}

static void run_command(void *const *fixtures, const char *line, GString *out)
{
	char **words = g_strsplit(line, " ", -1);
	const char *rest = strchr(line, ' ');

	for (size_t i = 0; i < GROUPS; i++) {
		if (groups[i]->run(fixtures[i], words, rest ? rest + 1 : "",
				   out)) {
			g_strfreev(words);
			return;
		}
	}
	g_string_append_printf(out, "no such command\n");
	g_strfreev(words);
}

/** The lines up to the next command, without comments and empty lines. */
static char *expected_output(char **lines)
{
	GString *text = g_string_new(NULL);

	for (; *lines && !g_str_has_prefix(*lines, "> "); lines++) {
		if (**lines && **lines != '#')
			g_string_append_printf(text, "%s\n", *lines);
	}
	return g_string_free(text, FALSE);
}

static bool check_command(void *const *fixtures, char **at, char **difference)
{
	GString *out = g_string_new(NULL);
	char *expected = expected_output(at + 1);
	bool same;

	run_command(fixtures, *at + 2, out);
	same = !strcmp(out->str, expected);
	if (!same)
		*difference = g_strdup_printf("%s\nexpected:\n%sprinted:\n%s",
					      *at, expected, out->str);
	g_free(expected);
	g_string_free(out, TRUE);
	return same;
}

bool mt_script_run(const char *path, char **difference)
{
	void *fixtures[GROUPS];
	char *text;
	char **lines;
	bool same = true;

	if (!g_file_get_contents(path, &text, NULL, NULL)) {
		*difference = g_strdup("the script cannot be read");
		return false;
	}
	for (size_t i = 0; i < GROUPS; i++)
		fixtures[i] = groups[i]->open();
	lines = g_strsplit(text, "\n", -1);
	for (char **at = lines; *at && same; at++) {
		if (g_str_has_prefix(*at, "> "))
			same = check_command(fixtures, at, difference);
	}
	g_strfreev(lines);
	g_free(text);
	for (size_t i = 0; i < GROUPS; i++)
		groups[i]->close(fixtures[i]);
	return same;
}
