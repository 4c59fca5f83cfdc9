/** @file callers.c Callers' view of the entry hosts. */
#include "chaos/callers.h"

#include <stdio.h>
#include <string.h>

#define POST_EACH_MS 120u
#define LOOK_EACH_MS 100u
#define READY_EACH_MS 100u
#define LOOKS_AT_ONCE 6u
#define CALL_TIMEOUT_MS 3000u
#define RETRY_MS 500u
#define TRIES_MAX 6u

/** An accepted job is known on each calm host so long after its answer. */
#define VISIBLE_MS 3000u

/** So long after the last fault a host is calm again. */
#define CALM_MS 4000u

#define CANCEL_SHARE 0.12
#define URGENT_SHARE 0.5

typedef enum mt_shown_t {
	MT_SHOWN_NOTHING,
	MT_SHOWN_OPEN,
	MT_SHOWN_COMPLETED,
	MT_SHOWN_FAILED,
	MT_SHOWN_CANCELLED,
} mt_shown_t;

typedef struct mt_posted_t {
	mt_callers_t *callers;
	char path[40];
	char *body;
	unsigned tries;
	bool unsure;	     /**< some attempt may have been done */
	bool refused;	     /**< every attempt was turned away */
	mt_ms_t accepted_at; /**< 0: not accepted */
	bool will_cancel;
	bool cancel_sent;
	mt_shown_t shown[CHAOS_HOSTS]; /**< last answer of each host */
} mt_posted_t;

struct mt_callers_t {
	mt_cluster_t *scene;
	GPtrArray *jobs; /**< mt_posted_t */
	bool ready[CHAOS_HOSTS];
	bool posting;
	guint next_look;
	uint64_t next_id;
};

/** One call to a host. */
typedef struct mt_asked_t {
	mt_posted_t *job;
	mt_cluster_host_t *host;
	mt_ms_t sent_at;
} mt_asked_t;

static void send_call(mt_asked_t *asked, const char *method, const char *body,
		      mt_http_cb cb)
{
	mt_cluster_t *scene = asked->host->scene;
	mt_http_request_t request = {0};

	asked->sent_at = mt_cluster_now(scene);
	request.address = mt_name("127.0.0.1");
	request.port = asked->host->callers_port;
	request.method = method;
	request.path = asked->job->path;
	request.headers = "Host: jobs.example\r\nAuthorization: Token good\r\n";
	request.body = mt_str_from(body);
	request.timeout_ms = CALL_TIMEOUT_MS;
	mt_http_send(scene->http, &request, cb, asked);
}

static mt_asked_t *ask(mt_posted_t *job, mt_cluster_host_t *host)
{
	mt_asked_t *asked = g_new0(mt_asked_t, 1);

	asked->job = job;
	asked->host = host;
	return asked;
}

static mt_cluster_host_t *any_host(const mt_callers_t *callers)
{
	int index = g_rand_int_range(callers->scene->rand, 0, CHAOS_HOSTS);

	return &callers->scene->hosts[index];
}

/* Handing in. */

static void post(void *ctx);

static void on_cancelled(void *ctx, const mt_http_response_t *answer)
{
	g_free(ctx);
}

static void cancel(void *ctx)
{
	mt_posted_t *job = ctx;

	job->cancel_sent = true;
	send_call(ask(job, any_host(job->callers)), "DELETE", NULL,
		  on_cancelled);
}

static void on_accepted(mt_posted_t *job)
{
	mt_cluster_t *scene = job->callers->scene;

	if (job->accepted_at)
		return;
	job->accepted_at = mt_cluster_now(scene);
	if (job->will_cancel)
		mt_timers_after(mt_cluster_timers(scene), RETRY_MS, cancel,
				job);
}

static void on_posted(void *ctx, const mt_http_response_t *answer)
{
	mt_asked_t *asked = ctx;
	mt_posted_t *job = asked->job;
	mt_cluster_t *scene = asked->host->scene;
	bool answered = answer->result == MT_HTTP_RESPONSE;

	if (answered && answer->status == 200)
		on_accepted(job);
	else if (answered && answer->status != 503 && answer->status != 504)
		mt_cluster_breach(
			scene, "%s: host %u answered %d to a good job",
			job->path, asked->host->index, answer->status);
	if (answer->result == MT_HTTP_NO_RESPONSE ||
	    (answered && answer->status == 504))
		job->unsure = true;
	g_free(asked);
	if (job->accepted_at)
		return;
	if (job->tries < TRIES_MAX)
		mt_timers_after(mt_cluster_timers(scene), RETRY_MS, post, job);
	else
		job->refused = !job->unsure;
}

static void post(void *ctx)
{
	mt_posted_t *job = ctx;

	job->tries++;
	send_call(ask(job, any_host(job->callers)), "POST", job->body,
		  on_posted);
}

static char *make_steps(GRand *rand)
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

static void post_next(void *ctx)
{
	mt_callers_t *callers = ctx;
	GRand *rand = callers->scene->rand;
	mt_posted_t *job;

	if (!callers->posting)
		return;
	job = g_new0(mt_posted_t, 1);
	job->callers = callers;
	job->will_cancel = g_rand_double(rand) < CANCEL_SHARE;
	job->body = make_steps(rand);
	snprintf(job->path, sizeof(job->path), "/%s/%016" G_GINT64_MODIFIER "x",
		 g_rand_double(rand) < URGENT_SHARE ? "urgent" : "batch",
		 ++callers->next_id);
	g_ptr_array_add(callers->jobs, job);
	post(job);
	mt_timers_after(mt_cluster_timers(callers->scene), POST_EACH_MS,
			post_next, callers);
}

/* Looking. */

static mt_shown_t read_state(mt_str_t body)
{
	static const struct {
		const char *text;
		mt_shown_t shown;
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

/** Nothing has harmed the host, the store or the servers for a while. */
static bool is_calm(const mt_cluster_host_t *host, mt_ms_t at)
{
	return at >= host->last_fault_at + CALM_MS &&
	       at >= host->scene->last_fault_at + CALM_MS;
}

static void check_unknown(const mt_asked_t *asked)
{
	const mt_posted_t *job = asked->job;

	if (job->accepted_at &&
	    asked->sent_at > job->accepted_at + VISIBLE_MS &&
	    is_calm(asked->host, asked->sent_at))
		mt_cluster_breach(asked->host->scene,
				  "%s: host %u does not know an accepted job",
				  job->path, asked->host->index);
}

/** A state that a host has shown as the last one stays. */
static void check_change(const mt_asked_t *asked, mt_shown_t shown)
{
	const mt_posted_t *job = asked->job;
	mt_shown_t before = job->shown[asked->host->index];

	if (before > MT_SHOWN_OPEN && shown != before)
		mt_cluster_breach(asked->host->scene,
				  "%s: host %u showed end %d, then %d",
				  job->path, asked->host->index, before, shown);
	if (shown == MT_SHOWN_CANCELLED && !job->cancel_sent)
		mt_cluster_breach(asked->host->scene,
				  "%s: host %u shows cancelled, nobody asked",
				  job->path, asked->host->index);
	if (job->refused)
		mt_cluster_breach(asked->host->scene,
				  "%s: host %u shows a job that was refused",
				  job->path, asked->host->index);
}

static void on_shown(void *ctx, const mt_http_response_t *answer)
{
	mt_asked_t *asked = ctx;
	mt_shown_t shown;

	if (answer->result == MT_HTTP_RESPONSE && answer->status == 410)
		check_unknown(asked);
	if (answer->result == MT_HTTP_RESPONSE && answer->status == 200) {
		shown = read_state(answer->body);
		check_change(asked, shown);
		asked->job->shown[asked->host->index] = shown;
	}
	g_free(asked);
}

static bool is_done(const mt_posted_t *job, unsigned host)
{
	return job->shown[host] > MT_SHOWN_OPEN;
}

static void look_at(mt_callers_t *callers, mt_posted_t *job)
{
	for (unsigned i = 0; i < CHAOS_HOSTS; i++) {
		if (!is_done(job, i))
			send_call(ask(job, &callers->scene->hosts[i]), "GET",
				  NULL, on_shown);
	}
}

/** Looks at a few jobs, each in its turn, until all hosts show their end. */
static void look(void *ctx)
{
	mt_callers_t *callers = ctx;
	unsigned looks = 0;

	for (guint i = 0; i < callers->jobs->len && looks < LOOKS_AT_ONCE;
	     i++) {
		mt_posted_t *job = callers->jobs->pdata[callers->next_look++ %
							callers->jobs->len];
		bool open = false;

		for (unsigned k = 0; k < CHAOS_HOSTS; k++)
			open = open || !is_done(job, k);
		if (!open || (!job->accepted_at && !job->refused))
			continue;
		looks++;
		look_at(callers, job);
	}
}

/* Readiness. */

typedef struct mt_ready_ask_t {
	mt_callers_t *callers;
	unsigned host;
} mt_ready_ask_t;

static void on_ready(void *ctx, const mt_http_response_t *answer)
{
	mt_ready_ask_t *asked = ctx;

	asked->callers->ready[asked->host] =
		answer->result == MT_HTTP_RESPONSE && answer->status == 200;
	g_free(asked);
}

static void ask_ready(void *ctx)
{
	mt_callers_t *callers = ctx;

	for (unsigned i = 0; i < CHAOS_HOSTS; i++) {
		mt_http_request_t request = {0};
		mt_ready_ask_t *asked = g_new0(mt_ready_ask_t, 1);

		asked->callers = callers;
		asked->host = i;
		request.address = mt_name("127.0.0.1");
		request.port = callers->scene->hosts[i].readiness_port;
		request.method = "GET";
		request.path = "/mimosaturn/readyz";
		request.timeout_ms = CALL_TIMEOUT_MS;
		mt_http_send(callers->scene->http, &request, on_ready, asked);
	}
}

mt_callers_t *mt_callers_new(mt_cluster_t *scene)
{
	mt_callers_t *callers = g_new0(mt_callers_t, 1);

	callers->scene = scene;
	callers->jobs = g_ptr_array_new();
	mt_timers_every(mt_cluster_timers(scene), READY_EACH_MS, ask_ready,
			callers);
	mt_timers_every(mt_cluster_timers(scene), LOOK_EACH_MS, look, callers);
	return callers;
}

bool mt_callers_all_ready(const mt_callers_t *callers)
{
	for (unsigned i = 0; i < CHAOS_HOSTS; i++) {
		if (!callers->ready[i])
			return false;
	}
	return true;
}

void mt_callers_start_posting(mt_callers_t *callers)
{
	callers->posting = true;
	post_next(callers);
}

void mt_callers_stop_posting(mt_callers_t *callers)
{
	callers->posting = false;
}

/** True when no answer about its acceptance is due any more. */
static bool is_settled(const mt_posted_t *job)
{
	return job->accepted_at || job->refused || job->tries >= TRIES_MAX;
}

bool mt_callers_all_ended(const mt_callers_t *callers)
{
	for (guint i = 0; i < callers->jobs->len; i++) {
		const mt_posted_t *job = callers->jobs->pdata[i];

		if (!is_settled(job))
			return false;
		for (unsigned k = 0; job->accepted_at && k < CHAOS_HOSTS; k++) {
			if (!is_done(job, k))
				return false;
		}
	}
	return true;
}

void mt_callers_check_all(const mt_callers_t *callers)
{
	for (guint i = 0; i < callers->jobs->len; i++) {
		const mt_posted_t *job = callers->jobs->pdata[i];

		for (unsigned k = 0; job->accepted_at && k < CHAOS_HOSTS; k++) {
			if (!is_done(job, k))
				mt_cluster_breach(callers->scene,
						  "%s: host %u shows no end",
						  job->path, k);
			else if (job->shown[k] != job->shown[0])
				mt_cluster_breach(callers->scene,
						  "%s: hosts 0 and %u show "
						  "different ends: %d, %d",
						  job->path, k, job->shown[0],
						  job->shown[k]);
		}
	}
}

unsigned mt_callers_count(const mt_callers_t *callers)
{
	return callers->jobs->len;
}

unsigned mt_callers_accepted(const mt_callers_t *callers)
{
	unsigned accepted = 0;

	for (guint i = 0; i < callers->jobs->len; i++) {
		const mt_posted_t *job = callers->jobs->pdata[i];

		accepted += job->accepted_at != 0;
	}
	return accepted;
}
