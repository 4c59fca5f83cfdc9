/** @file cmd_status.c Subcommands that show hosts, racks and accounts. */
#include <stdio.h>
#include <string.h>

#include "ctl.h"

typedef struct mt_status_args_t {
	GArray *endpoints;
	bool json;
} mt_status_args_t;

static bool parse_args(int argc, char **argv, const char *text,
		       mt_status_args_t *args, int *code)
{
	struct arg_str *hosts =
		arg_str1(NULL, "hosts", "IP:PORT,...",
			 "addresses where the hosts serve clients");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {hosts, json, help, end};

	if (!mt_ctl_parse(argc, argv, table, help, end, text, code))
		return false;
	args->endpoints = mt_endpoints_parse(hosts->sval[0]);
	args->json = json->count > 0;
	*code = MT_EXIT_USAGE;
	return args->endpoints != NULL;
}

static const char *text_of(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "-";
}

static json_int_t number_of(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static const char *yes_no_of(const json_t *object, const char *key)
{
	return json_is_true(json_object_get(object, key)) ? "yes" : "no";
}

static int count_missing(const json_t *responses)
{
	int missing = 0;
	size_t i;
	json_t *response;

	json_array_foreach(responses, i, response) missing +=
		json_is_null(response);
	return missing;
}

static int print_json(const json_t *responses)
{
	json_dumpf(responses, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
	printf("\n");
	return count_missing(responses) ? MT_EXIT_FAILED : MT_EXIT_OK;
}

static void print_endpoint(const GArray *endpoints, size_t i)
{
	const mt_endpoint_t *endpoint =
		&g_array_index(endpoints, mt_endpoint_t, i);

	printf("%s:%u ", endpoint->address.text, endpoint->port);
}

static void print_no_answer(const GArray *endpoints, size_t i)
{
	print_endpoint(endpoints, i);
	printf("does not answer\n");
}

/** Finds the highest version of each list on any host. */
static void find_newest(const json_t *responses,
			json_int_t newest[MT_LIST_COUNT])
{
	size_t i;
	json_t *response;

	json_array_foreach(responses, i, response)
	{
		const json_t *lists = json_object_get(response, "lists");

		for (int list = 0; list < MT_LIST_COUNT; list++)
			newest[list] =
				MAX(newest[list],
				    number_of(lists, mt_list_name(list)));
	}
}

/**
 * Prints the versions of the lists on a host that has answered.
 * @return true if the host has an older version of a list than another host
 */
static bool print_versions(const json_t *response,
			   const json_int_t newest[MT_LIST_COUNT])
{
	const json_t *lists = json_object_get(response, "lists");
	json_int_t plans = number_of(lists, "plans");
	json_int_t usage = number_of(lists, "usage");

	printf("%-24s %-10s %8lld %8lld\n", text_of(response, "host"),
	       text_of(response, "data_centre"), (long long)plans,
	       (long long)usage);
	return plans < newest[MT_LIST_PLANS] || usage < newest[MT_LIST_USAGE];
}

int mt_cmd_show(int argc, char **argv)
{
	mt_status_args_t args;
	mt_ctl_t ctl;
	json_t *responses;
	json_int_t newest[MT_LIST_COUNT] = {0};
	bool any_behind = false;
	int code;
	size_t i;
	json_t *response;

	if (!parse_args(
		    argc, argv,
		    "Examples:\n"
		    "  mimosaturn show --hosts 10.0.0.1:8080,"
		    "10.0.0.2:8080\n\n"
		    "Exit codes: 0 the same lists on all hosts, 1 a host is "
		    "behind or\ndoes not answer.\n",
		    &args, &code))
		return code;
	ctl = mt_ctl_new(1);
	responses = mt_ctl_fetch_all(&ctl, args.endpoints, "/v1/status");
	if (args.json)
		return print_json(responses);
	find_newest(responses, newest);
	printf("%-24s %-10s %8s %8s\n", "host", "dc", "plans", "usage");
	json_array_foreach(responses, i, response)
	{
		if (json_is_null(response))
			print_no_answer(args.endpoints, i);
		else if (print_versions(response, newest))
			any_behind = true;
	}
	return any_behind || count_missing(responses) ? MT_EXIT_FAILED
						      : MT_EXIT_OK;
}

typedef struct mt_rack_counts_t {
	int n_servers;
	int n_usable; /**< servers that take new tasks */
	int n_tasks;
} mt_rack_counts_t;

/** Counts the servers by rack; the index in the result is the rack's number. */
static GArray *count_racks(const json_t *servers)
{
	GArray *racks = g_array_new(FALSE, TRUE, sizeof(mt_rack_counts_t));
	size_t i;
	json_t *server;

	json_array_foreach(servers, i, server)
	{
		guint rack = (guint)number_of(server, "rack");
		mt_rack_counts_t *counts;

		if (racks->len <= rack)
			g_array_set_size(racks, rack + 1);
		counts = &g_array_index(racks, mt_rack_counts_t, rack);
		counts->n_servers++;
		counts->n_usable +=
			json_is_true(json_object_get(server, "usable"));
		counts->n_tasks += (int)number_of(server, "tasks");
	}
	return racks;
}

static void print_racks(const json_t *servers)
{
	GArray *racks = count_racks(servers);

	for (guint rack = 0; rack < racks->len; rack++) {
		const mt_rack_counts_t *counts =
			&g_array_index(racks, mt_rack_counts_t, rack);

		if (counts->n_servers)
			printf("  rack %-4u servers %3d  usable %3d  tasks "
			       "%4d\n",
			       rack, counts->n_servers, counts->n_usable,
			       counts->n_tasks);
	}
	g_array_unref(racks);
}

static void print_accounts(const json_t *accounts)
{
	size_t i;
	json_t *account;

	json_array_foreach(accounts, i, account)
	{
		const json_t *used = json_object_get(account, "used");
		const json_t *guarantee = json_object_get(account, "guarantee");
		const json_t *limit = json_object_get(account, "limit");

		printf("  account %-20s accelerators %4lld of %4lld, "
		       "guaranteed %4lld\n",
		       text_of(account, "account"),
		       (long long)number_of(used, "accelerators"),
		       (long long)number_of(limit, "accelerators"),
		       (long long)number_of(guarantee, "accelerators"));
	}
}

static void print_scheduler(const json_t *response)
{
	const json_t *plan = json_object_get(response, "plan");

	printf("%s, scheduled by %s: waiting %lld, accelerators free %lld of "
	       "%lld, guaranteed but not available %lld\n",
	       text_of(response, "data_centre"), text_of(response, "host"),
	       (long long)number_of(plan, "waiting"),
	       (long long)number_of(plan, "free_accelerators"),
	       (long long)number_of(plan, "total_accelerators"),
	       (long long)number_of(plan, "guarantee_deficit"));
	print_racks(json_object_get(response, "servers"));
	print_accounts(json_object_get(response, "accounts"));
}

int mt_cmd_status(int argc, char **argv)
{
	mt_status_args_t args;
	mt_ctl_t ctl;
	json_t *responses;
	int code;
	size_t i;
	json_t *response;

	if (!parse_args(argc, argv,
			"Examples:\n"
			"  mimosaturn status --hosts 10.0.0.1:8080,"
			"10.0.0.2:8080\n"
			"  mimosaturn status --json --hosts 10.0.0.1:8080\n\n"
			"Exit codes: 0 all hosts answer, 1 a host does not "
			"answer.\n",
			&args, &code))
		return code;
	ctl = mt_ctl_new(1);
	responses = mt_ctl_fetch_all(&ctl, args.endpoints, "/v1/status");
	if (args.json)
		return print_json(responses);
	printf("%-24s %-10s %-6s %-9s %s\n", "host", "dc", "ready", "scheduler",
	       "incarnation");
	json_array_foreach(responses, i, response)
	{
		if (json_is_null(response)) {
			print_no_answer(args.endpoints, i);
			continue;
		}
		printf("%-24s %-10s %-6s %-9s %s\n", text_of(response, "host"),
		       text_of(response, "data_centre"),
		       yes_no_of(response, "ready"),
		       yes_no_of(response, "scheduler"),
		       text_of(response, "incarnation"));
	}
	json_array_foreach(responses, i, response)
	{
		if (json_is_true(json_object_get(response, "scheduler")))
			print_scheduler(response);
	}
	return count_missing(responses) ? MT_EXIT_FAILED : MT_EXIT_OK;
}
