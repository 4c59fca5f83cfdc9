/** @file cmd_report.c Reports error budget burn rates over all hosts. */
#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "kernel/log_output.h"
#include "ctl.h"
#include "node/slo.h"

#define PER_MILLE 1000.0

/** Width of the longest bar and height of a row in the plots, in pixels. */
#define PLOT_WIDTH 420
#define PLOT_ROW_HEIGHT 18

typedef struct mt_burn_t {
	json_int_t good;
	json_int_t bad;
	/** Share of the error budget that was used since the hosts started. */
	double budget_used;
	double short_burn; /**< burn rate in the last 5 minutes */
	double long_burn;  /**< burn rate in the last hour */
} mt_burn_t;

/** Adds the numbers of `from` to those of `to`. */
static void add_numbers(json_t *to, const json_t *from)
{
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)from, key, value)
	{
		json_int_t sum = json_integer_value(json_object_get(to, key)) +
				 json_integer_value(value);

		json_object_set_new(to, key, json_integer(sum));
	}
}

/** Returns the object under `key`, creating it if it is missing. */
static json_t *child_object(json_t *object, const char *key)
{
	json_t *child = json_object_get(object, key);

	if (!child) {
		child = json_object();
		json_object_set_new(object, key, child);
	}
	return child;
}

/** Sums the counts of all hosts: {account: {objective: counts}}. */
static json_t *merge_counts(const json_t *responses)
{
	json_t *merged = json_object();
	size_t i;
	json_t *response;

	json_array_foreach(responses, i, response)
	{
		const char *account;
		json_t *objectives;

		json_object_foreach(json_object_get(response, "accounts"),
				    account, objectives)
		{
			const char *objective;
			json_t *counts;

			json_object_foreach(objectives, objective, counts)
				add_numbers(child_object(child_object(merged,
								      account),
							 objective),
					    counts);
		}
	}
	return merged;
}

/**
 * Share of bad events, divided by the share that the target allows. A rate of 1
 * spends the error budget exactly as fast as the target allows.
 */
static double burn_rate(json_int_t good, json_int_t bad)
{
	double allowed = (PER_MILLE - MT_SLO_TARGET_PER_MILLE) / PER_MILLE;

	if (good + bad == 0)
		return 0;
	return (double)bad / (double)(good + bad) / allowed;
}

static json_int_t count_of(const json_t *counts, const char *key)
{
	return json_integer_value(json_object_get(counts, key));
}

static mt_burn_t compute_burn(const json_t *counts)
{
	mt_burn_t burn;

	burn.good = count_of(counts, "good");
	burn.bad = count_of(counts, "bad");
	burn.budget_used = burn_rate(burn.good, burn.bad);
	burn.short_burn = burn_rate(count_of(counts, "short_good"),
				    count_of(counts, "short_bad"));
	burn.long_burn = burn_rate(count_of(counts, "long_good"),
				   count_of(counts, "long_bad"));
	return burn;
}

typedef void (*mt_burn_cb)(void *ctx, const char *account,
			   const char *objective, const mt_burn_t *burn);

static void for_each_burn(const json_t *merged, mt_burn_cb cb, void *ctx)
{
	const char *account;
	json_t *objectives;

	json_object_foreach((json_t *)merged, account, objectives)
	{
		for (int i = 0; i < MT_SLO_OBJECTIVE_COUNT; i++) {
			const char *name = mt_objective_name((mt_objective_t)i);
			mt_burn_t burn =
				compute_burn(json_object_get(objectives, name));

			cb(ctx, account, name, &burn);
		}
	}
}

static void print_burn(void *ctx, const char *account, const char *objective,
		       const mt_burn_t *burn)
{
	(void)ctx;
	if (burn->good + burn->bad == 0)
		return;
	printf("%-20s %-10s %8lld %6lld %9.1f%% %9.2f %9.2f\n", account,
	       objective, (long long)burn->good, (long long)burn->bad,
	       100 * burn->budget_used, burn->short_burn, burn->long_burn);
}

static void add_json(void *ctx, const char *account, const char *objective,
		     const mt_burn_t *burn)
{
	json_t *rows = ctx;

	json_array_append_new(
		rows,
		json_pack("{s:s, s:s, s:I, s:I, s:f, s:f, s:f}", "account",
			  account, "objective", objective, "good", burn->good,
			  "bad", burn->bad, "budget_used", burn->budget_used,
			  "short_burn", burn->short_burn, "long_burn",
			  burn->long_burn));
}

static void write_bar(FILE *out, int y, const char *label, double burn)
{
	double width = MIN(burn, 10) / 10 * PLOT_WIDTH;
	const char *colour = burn > 1 ? "#c0392b" : "#2e7d5b";

	fprintf(out,
		"<text x=\"0\" y=\"%d\">%s</text><rect x=\"150\" y=\"%d\" "
		"width=\"%.1f\" height=\"12\" fill=\"%s\"/><text x=\"%.1f\" "
		"y=\"%d\">%.2f</text>\n",
		y + 11, label, y, MAX(width, 1), colour, 155 + width, y + 11,
		burn);
}

static void write_plot(void *ctx, const char *account, const char *objective,
		       const mt_burn_t *burn)
{
	FILE *out = ctx;

	if (burn->good + burn->bad == 0)
		return;
	fprintf(out,
		"<h3>%s: %s</h3><p>%lld good, %lld bad, %.1f%% of the error "
		"budget</p>\n<svg width=\"%d\" height=\"%d\">\n",
		account, objective, (long long)burn->good, (long long)burn->bad,
		100 * burn->budget_used, PLOT_WIDTH + 220,
		2 * PLOT_ROW_HEIGHT + 6);
	write_bar(out, 0, "last 5 minutes", burn->short_burn);
	write_bar(out, PLOT_ROW_HEIGHT, "last hour", burn->long_burn);
	fprintf(out, "</svg>\n");
}

static bool write_page(const char *path, const json_t *merged)
{
	FILE *out = fopen(path, "w");

	if (!out) {
		mt_log_output_printf("mimosaturn: %s: %s", path,
				     g_strerror(errno));
		return false;
	}
	fprintf(out,
		"<!doctype html><html lang=\"en\"><meta charset=\"utf-8\">"
		"<title>Error budget burn rates</title>"
		"<style>body{font:14px sans-serif;margin:2em}</style>"
		"<h1>Error budget burn rates</h1><p>Target %.1f%% good events. "
		"A burn rate of 1 spends the error budget exactly as fast as "
		"the target allows; red bars spend it faster.</p>\n",
		MT_SLO_TARGET_PER_MILLE / 10.0);
	for_each_burn(merged, write_plot, out);
	fprintf(out, "</html>\n");
	return fclose(out) == 0;
}

static void print_json(const json_t *merged)
{
	json_t *rows = json_array();

	for_each_burn(merged, add_json, rows);
	json_dumpf(rows, stdout, JSON_INDENT(2));
	printf("\n");
	json_decref(rows);
}

static void print_table(const json_t *merged)
{
	printf("%-20s %-10s %8s %6s %10s %9s %9s\n", "account", "objective",
	       "good", "bad", "budget", "burn 5m", "burn 1h");
	for_each_burn(merged, print_burn, NULL);
}

static bool have_all_answered(const json_t *responses)
{
	for (size_t i = 0; i < json_array_size(responses); i++) {
		if (json_is_null(json_array_get(responses, i)))
			return false;
	}
	return true;
}

int mt_cmd_report(int argc, char **argv)
{
	struct arg_str *hosts =
		arg_str1(NULL, "hosts", "IP:PORT,...",
			 "addresses where the hosts serve clients");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_file *page =
		arg_file0(NULL, "html", "FILE", "write a page with plots");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {hosts, json, page, help, end};
	GArray *endpoints;
	json_t *responses;
	json_t *merged;
	mt_ctl_t ctl;
	int code;

	if (!mt_ctl_parse(
		    argc, argv, table, help, end,
		    "Examples:\n"
		    "  mimosaturn report --hosts 10.0.0.1:8080,"
		    "10.0.0.2:8080\n"
		    "  mimosaturn report --html burn.html --hosts "
		    "10.0.0.1:8080\n\n"
		    "Exit codes: 0 shown, 1 a host does not answer, 2 bad "
		    "command line.\n",
		    &code))
		return code;
	endpoints = mt_endpoints_parse(hosts->sval[0]);
	if (!endpoints)
		return MT_EXIT_USAGE;
	ctl = mt_ctl_new(1);
	responses = mt_ctl_fetch_all(&ctl, endpoints, "/v1/slo");
	merged = merge_counts(responses);
	if (json->count)
		print_json(merged);
	else
		print_table(merged);
	if (page->count && !write_page(page->filename[0], merged))
		return MT_EXIT_USAGE;
	if (!have_all_answered(responses)) {
		mt_log_output_printf("mimosaturn: a host does not answer");
		return MT_EXIT_FAILED;
	}
	return MT_EXIT_OK;
}
