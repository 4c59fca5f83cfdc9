/** @file cmd_load.c The load command: arguments, checks and output. */
#include <stdio.h>
#include <string.h>

#include "load.h"

#define MS_PER_S 1000u

/** Defaults of the options. */
#define DEFAULT_JOBS 100
#define DEFAULT_JOBS_PER_S 20
#define DEFAULT_SEED 1
#define DEFAULT_TIMEOUT_S 60

/** Results of the load command. All are numbers of jobs but `unanswered`. */
typedef struct mt_load_sums_t {
	guint states[MT_LOAD_STATE_COUNT];
	/** Jobs whose state is neither pending nor refused. This leaves out
	 * jobs that were accepted and then ended as refused, and includes jobs
	 * that were cancelled before they were accepted. */
	guint accepted;
	guint reported_not_run;
	/** Not done before the time-out: no final state, or no result, was
	 * received. */
	guint lost;
	guint run_twice; /**< not idempotent, but began more than once */
	guint not_run_but_began; /**< reported as not run, but began */
	guint wrong_results;	 /**< finished with a wrong or partial result */
	uint64_t unanswered;	 /**< requests without a response */
} mt_load_sums_t;

static mt_load_sums_t compute_sums(const mt_load_t *load)
{
	mt_load_sums_t sums = {0};

	for (guint i = 0; i < load->jobs->len; i++) {
		const mt_load_job_t *job = load->jobs->pdata[i];

		sums.states[job->state]++;
		sums.accepted += job->state != MT_LOAD_PENDING &&
				 job->state != MT_LOAD_REFUSED;
		sums.reported_not_run += job->not_run;
		sums.lost += job->state == MT_LOAD_ACCEPTED || !job->done;
		sums.run_twice += job->once && job->begin_count > 1;
		sums.not_run_but_began += job->not_run && job->begin_count;
		sums.wrong_results += job->wrong_result;
	}
	for (guint i = 0; i < load->hosts->len; i++)
		sums.unanswered += load->unanswered[i];
	return sums;
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	mt_ms_t x = *(const mt_ms_t *)a;
	mt_ms_t y = *(const mt_ms_t *)b;

	return x < y ? -1 : x > y;
}

static GArray *completion_times(const mt_load_t *load, guint kind)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(mt_ms_t));

	for (guint i = 0; i < load->jobs->len; i++) {
		const mt_load_job_t *job = load->jobs->pdata[i];
		mt_ms_t took = job->ended_at - job->submitted_at;

		if (job->kind == kind && job->state == MT_LOAD_FINISHED)
			g_array_append_val(times, took);
	}
	g_array_sort(times, compare_times);
	return times;
}

static mt_ms_t quantile(const GArray *times, guint percent)
{
	guint index = times->len * percent / 100;

	return times->len ? g_array_index(times, mt_ms_t,
					  MIN(index, times->len - 1))
			  : 0;
}

static void print_kinds(const mt_load_t *load)
{
	printf("%-20s %8s %10s %10s %10s\n", "kind", "finished", "p50 ms",
	       "p99 ms", "max ms");
	for (guint i = 0; i < load->mix.kinds->len; i++) {
		GArray *times = completion_times(load, i);

		printf("%-20s %8u %10llu %10llu %10llu\n",
		       g_array_index(load->mix.kinds, mt_load_kind_t, i)
			       .name.text,
		       times->len, (unsigned long long)quantile(times, 50),
		       (unsigned long long)quantile(times, 99),
		       (unsigned long long)quantile(times, 100));
		g_array_unref(times);
	}
}

static void print_table(const mt_load_t *load, const mt_load_sums_t *sums)
{
	print_kinds(load);
	printf("\n%-24s %u\n", "submitted", load->jobs->len);
	printf("%-24s %u\n", "accepted", sums->accepted);
	printf("%-24s %u\n", "finished", sums->states[MT_LOAD_FINISHED]);
	printf("%-24s %u\n", "failed", sums->states[MT_LOAD_FAILED]);
	printf("%-24s %u\n", "cancelled", sums->states[MT_LOAD_CANCELLED]);
	printf("%-24s %u\n", "refused", sums->states[MT_LOAD_REFUSED]);
	printf("%-24s %u\n", "outcome unknown", sums->states[MT_LOAD_UNKNOWN]);
	printf("%-24s %u\n", "reported as not run", sums->reported_not_run);
	printf("%-24s %u\n", "lost", sums->lost);
	printf("%-24s %u\n", "run twice", sums->run_twice);
	printf("%-24s %u\n", "not run, but began", sums->not_run_but_began);
	printf("%-24s %u\n", "wrong answers", sums->wrong_results);
	for (guint i = 0; i < load->hosts->len; i++) {
		const mt_endpoint_t *host =
			&g_array_index(load->hosts, mt_endpoint_t, i);

		if (load->unanswered[i])
			printf("no response at %s:%u %*s %llu\n",
			       host->address.text, host->port, 5, "",
			       (unsigned long long)load->unanswered[i]);
	}
}

static void print_json(const mt_load_t *load, const mt_load_sums_t *sums)
{
	json_t *unanswered = json_object();
	json_t *object = json_pack(
		"{s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i, s:i}",
		"submitted", load->jobs->len, "accepted", sums->accepted,
		"finished", sums->states[MT_LOAD_FINISHED], "failed",
		sums->states[MT_LOAD_FAILED], "cancelled",
		sums->states[MT_LOAD_CANCELLED], "refused",
		sums->states[MT_LOAD_REFUSED], "unknown",
		sums->states[MT_LOAD_UNKNOWN], "lost", sums->lost, "run_twice",
		sums->run_twice, "not_run_but_began", sums->not_run_but_began,
		"wrong_answers", sums->wrong_results);

	for (guint i = 0; i < load->hosts->len; i++) {
		const mt_endpoint_t *host =
			&g_array_index(load->hosts, mt_endpoint_t, i);
		char *name = g_strdup_printf("%s:%u", host->address.text,
					     host->port);

		json_object_set_new(
			unanswered, name,
			json_integer((json_int_t)load->unanswered[i]));
		g_free(name);
	}
	/* "cut": per host, the requests without a response. */
	json_object_set_new(object, "cut", unanswered);
	json_dumpf(object, stdout, JSON_INDENT(2));
	printf("\n");
	json_decref(object);
}

/**
 * Prints the results.
 * @return sum of the numbers of jobs lost, run twice, begun though reported as
 *         not run, and with a wrong result; may count a job more than once
 */
static guint print_results(const mt_load_t *load, bool json)
{
	mt_load_sums_t sums = compute_sums(load);

	if (json)
		print_json(load, &sums);
	else
		print_table(load, &sums);
	return sums.lost + sums.run_twice + sums.not_run_but_began +
	       sums.wrong_results;
}

/** Values of the command line. */
typedef struct mt_load_args_t {
	const char *hosts;
	const char *mix_path;
	int jobs;
	double jobs_per_s;
	guint32 seed;
	int timeout_s;
	const char *audit; /**< NULL if not given */
	bool json;
} mt_load_args_t;

/** @return false if the command must exit, with `*code` */
static bool parse_args(int argc, char **argv, mt_load_args_t *args, int *code)
{
	struct arg_str *hosts =
		arg_str1(NULL, "hosts", "IP:PORT,...",
			 "addresses where the hosts serve clients");
	struct arg_file *mix =
		arg_file1(NULL, "mix", "FILE", "accounts and kinds of jobs");
	struct arg_int *jobs =
		arg_int0(NULL, "jobs", "N", "jobs to submit (default: 100)");
	struct arg_dbl *rate =
		arg_dbl0(NULL, "rate", "N", "jobs per second (default: 20)");
	struct arg_int *seed =
		arg_int0(NULL, "seed", "N", "random seed (default: 1)");
	struct arg_int *timeout =
		arg_int0(NULL, "timeout", "SECONDS",
			 "time limit for all jobs (default: 60)");
	struct arg_str *audit = arg_str0(NULL, "audit", "IP:PORT",
					 "test platform that reports how often "
					 "each job began");
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(8);
	void *table[] = {hosts,	  mix,	 jobs, rate, seed,
			 timeout, audit, json, help, end};

	jobs->ival[0] = DEFAULT_JOBS;
	rate->dval[0] = DEFAULT_JOBS_PER_S;
	seed->ival[0] = DEFAULT_SEED;
	timeout->ival[0] = DEFAULT_TIMEOUT_S;
	if (!mt_ctl_parse(
		    argc, argv, table, help, end,
		    "Examples:\n"
		    "  mimosaturn load --hosts 10.0.0.1:8080,"
		    "10.0.0.2:8080 --mix mix.json --jobs 200\n\n"
		    "Exit codes: 0 no job was lost, run twice, begun "
		    "though reported as not run,\nor answered wrongly; "
		    "1 such jobs were found; 2 bad command line or file.\n",
		    code))
		return false;
	*args = (mt_load_args_t){.hosts = hosts->sval[0],
				 .mix_path = mix->filename[0],
				 .jobs = jobs->ival[0],
				 .jobs_per_s = rate->dval[0],
				 .seed = (guint32)seed->ival[0],
				 .timeout_s = timeout->ival[0],
				 .audit = audit->count ? audit->sval[0] : NULL,
				 .json = json->count > 0};
	return true;
}

int mt_cmd_load(int argc, char **argv)
{
	mt_load_args_t args;
	mt_load_t load = {0};
	mt_endpoint_t audit;
	int code;

	if (!parse_args(argc, argv, &args, &code))
		return code;
	load.hosts = mt_endpoints_parse(args.hosts);
	if (!load.hosts || args.jobs_per_s <= 0 || args.jobs < 1 ||
	    !mt_load_read_mix(args.mix_path, &load.mix) ||
	    (args.audit && !mt_endpoint_parse(args.audit, &audit)))
		return MT_EXIT_USAGE;
	load.ctl = mt_ctl_new(args.seed);
	load.rand = g_rand_new_with_seed(args.seed);
	load.unanswered = g_new0(uint64_t, load.hosts->len);
	load.quiet = args.json;
	mt_load_make_jobs(&load, (guint)args.jobs, args.jobs_per_s, args.seed);
	mt_load_run(&load, (mt_ms_t)args.timeout_s * MS_PER_S);
	if (args.audit)
		mt_load_audit(&load, &audit);
	return print_results(&load, args.json) ? MT_EXIT_FAILED : MT_EXIT_OK;
}
