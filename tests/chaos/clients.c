/** @file clients.c Simulated clients of the entry hosts. */
#include "chaos/clients.h"

#include <stdio.h>
#include <string.h>

#define SUBMIT_INTERVAL_MS 120u
/** With admission control, so that there are more jobs than can run. */
#define SUBMIT_INTERVAL_OVERLOAD_MS 30u
#define POLL_INTERVAL_MS 100u
#define READINESS_INTERVAL_MS 100u
#define JOBS_PER_POLL 6u

/** Time that a client waits for a host's answer. */
#define CLIENT_TIMEOUT_MS 3000u

/**
 * Delay of a client's next call about a job: the next attempt after a failed
 * one to submit the job, or the cancellation after its acceptance.
 */
#define NEXT_CALL_DELAY_MS 500u

/** Refused clients return at the next multiple of this time. */
#define RETURN_INTERVAL_MS 3000u

/** Share of the refused clients that return. */
#define RETURN_SHARE 0.7

/** Attempts to submit a job. */
#define SUBMIT_ATTEMPTS_MAX 6u

/**
 * Each host must know a job at the latest this long after its acceptance,
 * unless the host is recovering from a fault.
 */
#define VISIBLE_MS 3000u

/**
 * Time during which hosts may still be recovering from a disturbance, see
 * `last_disturbance_at`.
 */
#define RECOVERY_MS 4000u

#define CANCEL_SHARE 0.12
#define URGENT_SHARE 0.5

/** Share of the jobs that are gangs wider than all servers together. */
#define HOPELESS_SHARE 0.03
#define HOPELESS_TASKS (CHAOS_SERVERS * 8 + 1)

/** Share of the jobs that are cancelled after an attempt without an answer. */
#define ABANDON_SHARE 0.3

/** State of a job as shown by a host; final from MT_SHOWN_COMPLETED on. */
typedef enum mt_shown_state_t {
	MT_SHOWN_NOTHING, /**< no answer yet, or an unknown state */
	MT_SHOWN_OPEN,	  /**< queued or active */
	MT_SHOWN_COMPLETED,
	MT_SHOWN_FAILED,
	MT_SHOWN_CANCELLED,
} mt_shown_state_t;

typedef struct mt_client_job_t {
	mt_clients_t *clients;
	char path[40];
	char *body;
	unsigned attempts; /**< to submit it */
	bool maybe_stored; /**< some attempt without an answer may be stored */
	bool refused;	   /**< all attempts were definitely refused */
	mt_ms_t accepted_at; /**< 0: not accepted */
	bool hopeless; /**< it never ends, as it does not fit on the servers */
	/** The client gives up after an attempt without an answer, and cancels
	 * the job. */
	bool will_abandon;
	bool abandoned;
	bool will_cancel;
	bool cancel_sent;
	mt_shown_state_t shown[CHAOS_HOSTS]; /**< last state, by host */
} mt_client_job_t;

struct mt_clients_t {
	mt_cluster_t *cluster;
	GPtrArray *jobs; /**< mt_client_job_t */
	bool ready[CHAOS_HOSTS];
	bool submitting;
	unsigned n_refusals;   /**< for lack of capacity */
	guint next_poll_index; /**< into `jobs`, modulo its length */
	uint64_t next_id;
};

/** One call to a host. */
typedef struct mt_client_call_t {
	mt_client_job_t *job;
	mt_cluster_host_t *host;
	mt_ms_t sent_at;
} mt_client_call_t;

static void send_call(mt_client_call_t *call, const char *method,
		      const char *body, mt_http_cb cb)
{
	mt_cluster_t *cluster = call->host->cluster;
	mt_http_request_t request = {0};

	call->sent_at = mt_cluster_now(cluster);
	request.address = mt_name("127.0.0.1");
	request.port = call->host->callers_port;
	request.method = method;
	request.path = call->job->path;
	request.headers = "Host: jobs.example\r\nAuthorization: Token good\r\n";
	request.body = mt_str_from(body);
	request.timeout_ms = CLIENT_TIMEOUT_MS;
	mt_http_send(cluster->http, &request, cb, call);
}

static mt_client_call_t *new_call(mt_client_job_t *job, mt_cluster_host_t *host)
{
	mt_client_call_t *call = g_new0(mt_client_call_t, 1);

	call->job = job;
	call->host = host;
	return call;
}

static mt_cluster_host_t *random_host(const mt_clients_t *clients)
{
	int index = g_rand_int_range(clients->cluster->rand, 0, CHAOS_HOSTS);

	return &clients->cluster->hosts[index];
}

/* Submissions. */

static void submit_job(void *ctx);

/**
 * Tells platformd that no task of the job may start any more.
 * @param option further query parameter
 */
static void forbid_starts(const mt_client_job_t *job, const char *option)
{
	const char *id = strrchr(job->path, '/') + 1;
	char *path = g_strdup_printf("/test/forbid?job=%s%s", id, option);

	mt_cluster_call_platform(job->clients->cluster, path, (mt_str_t){0});
	g_free(path);
}

static void on_cancelled(void *ctx, const mt_http_response_t *response)
{
	mt_client_call_t *call = ctx;

	if (response->result == MT_HTTP_RESPONSE &&
	    (response->status == 200 || response->status == 410))
		forbid_starts(call->job, "");
	g_free(call);
}

static void cancel(void *ctx)
{
	mt_client_job_t *job = ctx;

	job->cancel_sent = true;
	send_call(new_call(job, random_host(job->clients)), "DELETE", NULL,
		  on_cancelled);
}

static void on_accepted(mt_client_job_t *job)
{
	mt_cluster_t *cluster = job->clients->cluster;

	if (job->accepted_at)
		return;
	job->accepted_at = mt_cluster_now(cluster);
	if (job->will_cancel)
		mt_timers_after(mt_cluster_timers(cluster), NEXT_CALL_DELAY_MS,
				cancel, job);
}

static void return_after_refusal(void *ctx)
{
	forbid_starts(ctx, "&permit=1");
	submit_job(ctx);
}

/**
 * The job was refused for lack of capacity, which also says that no earlier
 * attempt runs.
 */
static void on_load_shed(mt_client_job_t *job, unsigned retry_after_s)
{
	mt_cluster_t *cluster = job->clients->cluster;
	mt_ms_t now = mt_cluster_now(cluster);
	mt_ms_t at = now + (mt_ms_t)retry_after_s * 1000;

	at += RETURN_INTERVAL_MS - at % RETURN_INTERVAL_MS;
	job->clients->n_refusals++;
	/* A host may have stored it before; it is then shown as cancelled. */
	job->maybe_stored = true;
	forbid_starts(job, "&refused=1");
	if (g_rand_double(cluster->rand) >= RETURN_SHARE)
		job->attempts = SUBMIT_ATTEMPTS_MAX;
	if (job->attempts < SUBMIT_ATTEMPTS_MAX)
		mt_timers_after(mt_cluster_timers(cluster), at - now,
				return_after_refusal, job);
}

static void on_submitted(void *ctx, const mt_http_response_t *response)
{
	mt_client_call_t *call = ctx;
	mt_client_job_t *job = call->job;
	mt_cluster_t *cluster = call->host->cluster;
	bool answered = response->result == MT_HTTP_RESPONSE;

	/* Other refusals have a Retry-After of 1 s. */
	if (answered && response->status == 503 &&
	    response->retry_after_s > 1) {
		on_load_shed(job, response->retry_after_s);
		g_free(call);
		return;
	}
	if (answered && response->status == 200)
		on_accepted(job);
	else if (answered && response->status != 503 && response->status != 504)
		mt_cluster_breach(
			cluster, "%s: host %u answered %d to a valid job",
			job->path, call->host->index, response->status);
	/* 504: the host does not know whether the job was stored. */
	if (response->result == MT_HTTP_NO_RESPONSE ||
	    (answered && response->status == 504))
		job->maybe_stored = true;
	g_free(call);
	if (job->accepted_at)
		return;
	if (job->maybe_stored && job->will_abandon) {
		job->abandoned = true;
		mt_timers_after(mt_cluster_timers(cluster), NEXT_CALL_DELAY_MS,
				cancel, job);
		return;
	}
	if (job->attempts < SUBMIT_ATTEMPTS_MAX)
		mt_timers_after(mt_cluster_timers(cluster), NEXT_CALL_DELAY_MS,
				submit_job, job);
	else
		job->refused = !job->maybe_stored;
}

static void submit_job(void *ctx)
{
	mt_client_job_t *job = ctx;

	job->attempts++;
	send_call(new_call(job, random_host(job->clients)), "POST", job->body,
		  on_submitted);
}

static char *make_job_body(GRand *rand)
{
	GString *text = g_string_new("{\"spec\":\"scan\",\"steps\":[");
	int steps = g_rand_int_range(rand, 1, 3);

	for (int i = 0; i < steps; i++) {
		g_string_append_printf(
			text,
			"%s{\"count\":%d,\"cpu\":%d,\"mem_mb\":100,\"gpu\":%d,"
			"\"estimate_ms\":%d%s%s}",
			i ? "," : "", g_rand_int_range(rand, 1, 5),
			g_rand_int_range(rand, 100, 6000),
			g_rand_int_range(rand, 0, 3),
			g_rand_int_range(rand, 50, 1500),
			g_rand_double(rand) < 0.4 ? ",\"gang\":true" : "",
			i ? ",\"depends_on\":[0]" : "");
	}
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

/** A gang that can never start. */
static char *make_hopeless_body(void)
{
	return g_strdup_printf("{\"spec\":\"scan\",\"steps\":[{\"count\":%u,"
			       "\"cpu\":100,\"mem_mb\":100,\"gpu\":1,"
			       "\"estimate_ms\":500,\"gang\":true}]}",
			       HOPELESS_TASKS);
}

static void submit_next_job(void *ctx)
{
	mt_clients_t *clients = ctx;
	GRand *rand = clients->cluster->rand;
	mt_client_job_t *job;

	if (!clients->submitting)
		return;
	job = g_new0(mt_client_job_t, 1);
	job->clients = clients;
	job->will_cancel = g_rand_double(rand) < CANCEL_SHARE;
	job->will_abandon = g_rand_double(rand) < ABANDON_SHARE;
	job->hopeless = g_rand_double(rand) < HOPELESS_SHARE;
	job->body = job->hopeless ? make_hopeless_body() : make_job_body(rand);
	snprintf(job->path, sizeof(job->path), "/%s/%016" G_GINT64_MODIFIER "x",
		 g_rand_double(rand) < URGENT_SHARE ? "urgent" : "batch",
		 ++clients->next_id);
	g_ptr_array_add(clients->jobs, job);
	submit_job(job);
	mt_timers_after(mt_cluster_timers(clients->cluster),
			clients->cluster->refuses_jobs
				? SUBMIT_INTERVAL_OVERLOAD_MS
				: SUBMIT_INTERVAL_MS,
			submit_next_job, clients);
}

/* Polling of job states. */

static mt_shown_state_t read_state(mt_str_t body)
{
	static const struct {
		const char *text;
		mt_shown_state_t shown;
	} states[] = {
		{"{\"state\":\"queued\"}", MT_SHOWN_OPEN},
		{"{\"state\":\"active\"}", MT_SHOWN_OPEN},
		{"{\"state\":\"completed\"}", MT_SHOWN_COMPLETED},
		{"{\"state\":\"failed\"}", MT_SHOWN_FAILED},
		{"{\"state\":\"cancelled\"}", MT_SHOWN_CANCELLED},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(states); i++) {
		if (mt_str_equal(body, mt_str_from(states[i].text)))
			return states[i].shown;
	}
	return MT_SHOWN_NOTHING;
}

/** True unless the host, the platform or a proxy was disturbed recently. */
static bool has_recovered(const mt_cluster_host_t *host, mt_ms_t at)
{
	return at >= host->last_disturbance_at + RECOVERY_MS &&
	       at >= host->cluster->last_disturbance_at + RECOVERY_MS;
}

/** Checks a 410 answer, which says that the host does not know the job. */
static void check_unknown_job(const mt_client_call_t *call)
{
	const mt_client_job_t *job = call->job;

	if (job->accepted_at && call->sent_at > job->accepted_at + VISIBLE_MS &&
	    has_recovered(call->host, call->sent_at))
		mt_cluster_breach(call->host->cluster,
				  "%s: host %u does not know an accepted job",
				  job->path, call->host->index);
}

/**
 * Checks that a host does not change the final state of a job, and does not
 * show cancellations or jobs that clients did not cause.
 */
static void check_state_change(const mt_client_call_t *call,
			       mt_shown_state_t shown)
{
	const mt_client_job_t *job = call->job;
	mt_shown_state_t before = job->shown[call->host->index];

	if (before > MT_SHOWN_OPEN && shown != before)
		mt_cluster_breach(call->host->cluster,
				  "%s: host %u showed final state %d, then %d",
				  job->path, call->host->index, before, shown);
	if (shown == MT_SHOWN_CANCELLED && !job->cancel_sent)
		mt_cluster_breach(call->host->cluster,
				  "%s: host %u shows a cancellation that was "
				  "not requested",
				  job->path, call->host->index);
	if (job->refused)
		mt_cluster_breach(call->host->cluster,
				  "%s: host %u shows a job that was refused",
				  job->path, call->host->index);
}

static void on_shown(void *ctx, const mt_http_response_t *response)
{
	mt_client_call_t *call = ctx;
	mt_shown_state_t shown;

	if (response->result == MT_HTTP_RESPONSE && response->status == 410)
		check_unknown_job(call);
	if (response->result == MT_HTTP_RESPONSE && response->status == 200) {
		shown = read_state(response->body);
		check_state_change(call, shown);
		call->job->shown[call->host->index] = shown;
	}
	g_free(call);
}

static bool is_shown_ended(const mt_client_job_t *job, unsigned host)
{
	return job->shown[host] > MT_SHOWN_OPEN;
}

static void poll_job(mt_clients_t *clients, mt_client_job_t *job)
{
	for (unsigned i = 0; i < CHAOS_HOSTS; i++) {
		if (!is_shown_ended(job, i))
			send_call(new_call(job, &clients->cluster->hosts[i]),
				  "GET", NULL, on_shown);
	}
}

/**
 * Polls the next few jobs that are accepted or refused and that some host does
 * not show as ended.
 */
static void poll_jobs(void *ctx)
{
	mt_clients_t *clients = ctx;
	unsigned polled = 0;

	for (guint i = 0; i < clients->jobs->len && polled < JOBS_PER_POLL;
	     i++) {
		mt_client_job_t *job =
			clients->jobs->pdata[clients->next_poll_index++ %
					     clients->jobs->len];
		bool end_not_shown = false;

		for (unsigned k = 0; k < CHAOS_HOSTS; k++)
			end_not_shown =
				end_not_shown || !is_shown_ended(job, k);
		if (!end_not_shown || (!job->accepted_at && !job->refused))
			continue;
		polled++;
		poll_job(clients, job);
	}
}

/* Readiness. */

typedef struct mt_readiness_call_t {
	mt_clients_t *clients;
	unsigned host;
} mt_readiness_call_t;

static void on_readiness(void *ctx, const mt_http_response_t *response)
{
	mt_readiness_call_t *call = ctx;

	call->clients->ready[call->host] =
		response->result == MT_HTTP_RESPONSE && response->status == 200;
	g_free(call);
}

static void request_readiness(void *ctx)
{
	mt_clients_t *clients = ctx;

	for (unsigned i = 0; i < CHAOS_HOSTS; i++) {
		mt_http_request_t request = {0};
		mt_readiness_call_t *call = g_new0(mt_readiness_call_t, 1);

		call->clients = clients;
		call->host = i;
		request.address = mt_name("127.0.0.1");
		request.port = clients->cluster->hosts[i].readiness_port;
		request.method = "GET";
		request.path = "/mimosaturn/readyz";
		request.timeout_ms = CLIENT_TIMEOUT_MS;
		mt_http_send(clients->cluster->http, &request, on_readiness,
			     call);
	}
}

mt_clients_t *mt_clients_new(mt_cluster_t *cluster)
{
	mt_clients_t *clients = g_new0(mt_clients_t, 1);

	clients->cluster = cluster;
	clients->jobs = g_ptr_array_new();
	mt_timers_every(mt_cluster_timers(cluster), READINESS_INTERVAL_MS,
			request_readiness, clients);
	mt_timers_every(mt_cluster_timers(cluster), POLL_INTERVAL_MS, poll_jobs,
			clients);
	return clients;
}

bool mt_clients_all_ready(const mt_clients_t *clients)
{
	for (unsigned i = 0; i < CHAOS_HOSTS; i++) {
		if (!clients->ready[i])
			return false;
	}
	return true;
}

void mt_clients_start_submitting(mt_clients_t *clients)
{
	clients->submitting = true;
	submit_next_job(clients);
}

void mt_clients_stop_submitting(mt_clients_t *clients)
{
	clients->submitting = false;
}

/** True when no further attempt to submit the job will be made. */
static bool is_settled(const mt_client_job_t *job)
{
	return job->accepted_at || job->refused || job->abandoned ||
	       job->attempts >= SUBMIT_ATTEMPTS_MAX;
}

/** True if all hosts must show the job as ended some time. */
static bool must_end(const mt_client_job_t *job)
{
	return job->accepted_at && !job->hopeless;
}

bool mt_clients_all_ended(const mt_clients_t *clients)
{
	for (guint i = 0; i < clients->jobs->len; i++) {
		const mt_client_job_t *job = clients->jobs->pdata[i];

		if (!is_settled(job))
			return false;
		for (unsigned k = 0; must_end(job) && k < CHAOS_HOSTS; k++) {
			if (!is_shown_ended(job, k))
				return false;
		}
	}
	return true;
}

void mt_clients_check_all(const mt_clients_t *clients)
{
	for (guint i = 0; i < clients->jobs->len; i++) {
		const mt_client_job_t *job = clients->jobs->pdata[i];

		for (unsigned k = 0; must_end(job) && k < CHAOS_HOSTS; k++) {
			if (!is_shown_ended(job, k))
				mt_cluster_breach(
					clients->cluster,
					"%s: host %u does not show it as ended",
					job->path, k);
			else if (job->shown[k] != job->shown[0])
				mt_cluster_breach(clients->cluster,
						  "%s: hosts 0 and %u show "
						  "different states: %d, %d",
						  job->path, k, job->shown[0],
						  job->shown[k]);
		}
	}
}

unsigned mt_clients_refusals(const mt_clients_t *clients)
{
	return clients->n_refusals;
}

unsigned mt_clients_count(const mt_clients_t *clients)
{
	return clients->jobs->len;
}

unsigned mt_clients_accepted(const mt_clients_t *clients)
{
	unsigned accepted = 0;

	for (guint i = 0; i < clients->jobs->len; i++) {
		const mt_client_job_t *job = clients->jobs->pdata[i];

		accepted += job->accepted_at != 0;
	}
	return accepted;
}
