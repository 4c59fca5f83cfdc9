/** @file cmd_check.c Subcommand check: two lists, or a configuration. */
#include <stdio.h>
#include <string.h>

#include "ctl.h"
#include "platform/config_check.h"

static json_t *finding_to_json(const mt_finding_t *finding)
{
	return json_pack("{s:s,s:s}", "kind",
			 mt_finding_kind_name(finding->kind), "text",
			 finding->text);
}

static void print_json(const GArray *findings)
{
	json_t *array = json_array();

	for (guint i = 0; i < findings->len; i++)
		json_array_append_new(array,
				      finding_to_json(&g_array_index(
					      findings, mt_finding_t, i)));
	json_dumpf(array, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
	printf("\n");
	json_decref(array);
}

static void print_lines(const GArray *findings)
{
	for (guint i = 0; i < findings->len; i++) {
		const mt_finding_t *finding =
			&g_array_index(findings, mt_finding_t, i);

		printf("%s: %s\n", mt_finding_kind_name(finding->kind),
		       finding->text);
	}
}

/** True if the configuration should not be written as it is. */
static bool has_faults(const GArray *findings)
{
	for (guint i = 0; i < findings->len; i++) {
		if (g_array_index(findings, mt_finding_t, i).kind !=
		    MT_FINDING_CHANGE)
			return true;
	}
	return false;
}

/**
 * Checks a configuration file and prints what was found.
 * @param against path of the configuration in force, or NULL
 * @return the exit code
 */
static int check_file(const char *path, const char *against,
		      const mt_check_capacity_t *capacity, bool json)
{
	json_t *config = mt_ctl_read_json(path);
	json_t *in_force = against ? mt_ctl_read_json(against) : NULL;
	GArray *findings;
	int code;

	if (!config || (against && !in_force))
		return MT_EXIT_USAGE;
	findings = mt_config_check(config, in_force, capacity);
	if (json)
		print_json(findings);
	else
		print_lines(findings);
	code = has_faults(findings) ? MT_EXIT_FAILED : MT_EXIT_OK;
	g_array_unref(findings);
	json_decref(config);
	json_decref(in_force);
	return code;
}

/** Checks a configuration of the platform of mimosaturn-entry. */
static int check_config(int argc, char **argv)
{
	struct arg_file *file = arg_file1(NULL, NULL, "CONFIGURATION",
					  "the configuration to be written");
	struct arg_file *against = arg_file0(NULL, "against", "IN-FORCE",
					     "the configuration in force");
	struct arg_int *gpus = arg_int0(NULL, "accelerators", "N",
					"number of accelerators of all servers,"
					" to compare the guarantees with");
	struct arg_int *evacuated =
		arg_int0(NULL, "evacuated-accelerators", "N",
			 "of these, in evacuated data centres");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {file, against, gpus, evacuated, json, help, end};
	mt_check_capacity_t capacity = {0};
	int code;

	if (!mt_ctl_parse(argc, argv, table, help, end,
			  "Examples:\n"
			  "  mimosaturn check new.json --against now.json\n"
			  "  mimosaturn check new.json --accelerators 2800 "
			  "--json\n"
			  "  mimosaturn check --usage usage.json --plans "
			  "plans.json\n\n"
			  "Exit codes: 0 no fault (differences may be printed),"
			  " 1 faults found,\n2 bad command line or file.\n",
			  &code))
		return code;
	if (gpus->count)
		capacity.gpus = (unsigned)MAX(0, gpus->ival[0]);
	if (evacuated->count)
		capacity.evacuated_gpus = (unsigned)MAX(0, evacuated->ival[0]);
	return check_file(file->filename[0],
			  against->count ? against->filename[0] : NULL,
			  &capacity, json->count > 0);
}

int mt_cmd_check(int argc, char **argv)
{
	for (int i = 1; i < argc; i++) {
		if (g_str_has_prefix(argv[i], "--usage") ||
		    g_str_has_prefix(argv[i], "--plans"))
			return mt_cmd_check_lists(argc, argv);
	}
	return check_config(argc, argv);
}
