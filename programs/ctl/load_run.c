/** @file load_run.c Submits, polls and cancels the jobs of the load command. */
#include <stdio.h>
#include <string.h>

#include "kernel/log_output.h"
#include "load.h"

#define REQUEST_TIMEOUT_MS 20000u
#define RETRY_DELAY_MS 200u
#define POLL_WAIT_S 5
#define PROGRESS_INTERVAL_MS 5000u
#define HTTP_OK 200

/** What a request asks for. */
typedef enum mt_load_request_kind_t {
	MT_REQUEST_SUBMIT,
	MT_REQUEST_POLL,
	MT_REQUEST_CANCEL,
	MT_REQUEST_RESULT,
	MT_REQUEST_AUDIT,
} mt_load_request_kind_t;

/** A request for a job, sent or scheduled. */
typedef struct mt_load_request_t {
	mt_load_t *load;
	mt_load_job_t *job;
	mt_load_request_kind_t kind;
	guint host;
} mt_load_request_t;

static void send_request(mt_load_t *load, mt_load_job_t *job,
			 mt_load_request_kind_t kind);

static mt_ms_t now_ms(const mt_load_t *load)
{
	return mt_timers_now(mt_loop_timers(load->ctl.loop));
}

static void finish_job(mt_load_t *load, mt_load_job_t *job)
{
	job->done = true;
	load->remaining--;
	if (!load->remaining)
		mt_loop_stop(load->ctl.loop);
}

static void on_retry(void *ctx)
{
	mt_load_request_t *load_request = ctx;

	if (!load_request->job->done)
		send_request(load_request->load, load_request->job,
			     load_request->kind);
	g_free(load_request);
}

static void retry(mt_load_t *load, mt_load_job_t *job,
		  mt_load_request_kind_t kind)
{
	mt_load_request_t *load_request = g_new0(mt_load_request_t, 1);

	*load_request = (mt_load_request_t){load, job, kind, 0};
	mt_timers_after(mt_loop_timers(load->ctl.loop),
			mt_kernel_jitter(load->ctl.kernel, RETRY_DELAY_MS),
			on_retry, load_request);
}

static mt_load_state_t parse_state(const json_t *response)
{
	static const char *const names[MT_LOAD_STATE_COUNT] = {
		"pending", "accepted",	"finished", "failed",
		"refused", "cancelled", "unknown"};
	const char *state =
		json_string_value(json_object_get(response, "state"));

	for (int i = 0; state && i < MT_LOAD_STATE_COUNT; i++) {
		if (!strcmp(state, names[i]))
			return (mt_load_state_t)i;
	}
	return MT_LOAD_PENDING;
}

/** Stores the reported state and sends the next request, if any. */
static void handle_state(mt_load_t *load, mt_load_job_t *job,
			 const json_t *response)
{
	mt_load_state_t state = parse_state(response);

	if (state == MT_LOAD_PENDING) {
		retry(load, job, MT_REQUEST_SUBMIT);
		return;
	}
	job->state = state;
	if (state == MT_LOAD_ACCEPTED) {
		send_request(load, job, MT_REQUEST_POLL);
		return;
	}
	job->not_run = json_is_true(json_object_get(response, "not_run"));
	job->ended_at = now_ms(load);
	if (state == MT_LOAD_FINISHED)
		send_request(load, job, MT_REQUEST_RESULT);
	else
		finish_job(load, job);
}

/**
 * Handles an error response. Besides overload and server errors, 401 and 404
 * are retried: the lists with the account's key, or the job, may not have
 * reached that host yet.
 * @return true if the job has ended; false if the request must be retried
 */
static bool handle_error_response(mt_load_t *load, mt_load_job_t *job,
				  int status, const json_t *response)
{
	if (status >= 500 || status == 429 || status == 401 || status == 404)
		return false;
	job->state = MT_LOAD_REFUSED;
	job->not_run = json_is_true(json_object_get(response, "not_run"));
	job->ended_at = now_ms(load);
	finish_job(load, job);
	return true;
}

static void handle_result(mt_load_t *load, mt_load_job_t *job,
			  const mt_http_response_t *response)
{
	mt_str_t expected = mt_str_from(job->expected_result);

	if (response->status != HTTP_OK) {
		retry(load, job, MT_REQUEST_RESULT);
		return;
	}
	job->wrong_result = !mt_str_equal(response->body, expected);
	finish_job(load, job);
}

static void handle_audit(mt_load_t *load, mt_load_job_t *job,
			 const json_t *response)
{
	job->begin_count = (uint32_t)json_integer_value(
		json_object_get(response, "begins"));
	if (!--load->remaining)
		mt_loop_stop(load->ctl.loop);
}

static void handle_response(mt_load_request_t *load_request,
			    const mt_http_response_t *response)
{
	mt_load_t *load = load_request->load;
	mt_load_job_t *job = load_request->job;
	json_t *body =
		json_loadb(response->body.data, response->body.len, 0, NULL);

	if (load_request->kind == MT_REQUEST_AUDIT)
		handle_audit(load, job, body);
	else if (load_request->kind == MT_REQUEST_CANCEL)
		; /* How the job ended is learned from a poll. */
	else if (load_request->kind == MT_REQUEST_RESULT)
		handle_result(load, job, response);
	else if (response->status < 300)
		handle_state(load, job, body);
	else if (!handle_error_response(load, job, response->status, body))
		retry(load, job, load_request->kind);
	json_decref(body);
}

static void on_response(void *ctx, const mt_http_response_t *response)
{
	mt_load_request_t *load_request = ctx;

	if (response->result == MT_HTTP_NO_RESPONSE &&
	    load_request->kind != MT_REQUEST_AUDIT)
		load_request->load->unanswered[load_request->host]++;
	if (load_request->job->done && load_request->kind != MT_REQUEST_AUDIT)
		; /* The cancellation was answered after the job's end. */
	else if (response->result == MT_HTTP_RESPONSE)
		handle_response(load_request, response);
	else if (load_request->kind == MT_REQUEST_AUDIT)
		handle_audit(load_request->load, load_request->job, NULL);
	else if (load_request->kind != MT_REQUEST_CANCEL)
		retry(load_request->load, load_request->job,
		      load_request->kind);
	g_free(load_request);
}

static void fill_request(const mt_load_job_t *job, mt_load_request_kind_t kind,
			 mt_http_request_t *request, char **path)
{
	request->method = "GET";
	if (kind == MT_REQUEST_SUBMIT) {
		request->method = "POST";
		request->body = mt_str_from(job->body);
		*path = g_strdup("/v1/jobs");
	} else if (kind == MT_REQUEST_POLL) {
		*path = g_strdup_printf("/v1/jobs/%s?wait=%d", job->id.text,
					POLL_WAIT_S);
	} else if (kind == MT_REQUEST_CANCEL) {
		request->method = "DELETE";
		*path = g_strdup_printf("/v1/jobs/%s?once=%s", job->id.text,
					job->once ? "true" : "false");
	} else {
		*path = g_strdup_printf("/v1/jobs/%s/result", job->id.text);
	}
}

static void send_request(mt_load_t *load, mt_load_job_t *job,
			 mt_load_request_kind_t kind)
{
	const mt_load_account_t *account = &g_array_index(
		load->mix.accounts, mt_load_account_t, job->account);
	guint host = (guint)g_rand_int_range(load->rand, 0,
					     (gint32)load->hosts->len);
	const mt_endpoint_t *endpoint =
		&g_array_index(load->hosts, mt_endpoint_t, host);
	mt_http_request_t request = {.address = endpoint->address,
				     .port = endpoint->port,
				     .timeout_ms = REQUEST_TIMEOUT_MS,
				     0};
	mt_load_request_t *load_request = g_new0(mt_load_request_t, 1);
	char *path = NULL;
	char *headers = g_strdup_printf(
		"Authorization: Bearer %s\r\nIdempotency-Key: %s\r\n%s",
		account->key, job->key,
		kind == MT_REQUEST_SUBMIT && !job->attempts
			? "Idempotency-Attempt: 1\r\n"
			: "");

	if (kind == MT_REQUEST_SUBMIT)
		job->attempts++;
	fill_request(job, kind, &request, &path);
	request.path = path;
	request.headers = headers;
	*load_request = (mt_load_request_t){load, job, kind, host};
	mt_http_send(load->ctl.http, &request, on_response, load_request);
	g_free(headers);
	g_free(path);
}

static void on_submit(void *ctx)
{
	mt_load_request_t *load_request = ctx;

	load_request->job->submitted_at = now_ms(load_request->load);
	send_request(load_request->load, load_request->job, MT_REQUEST_SUBMIT);
	g_free(load_request);
}

static void on_cancel(void *ctx)
{
	mt_load_request_t *load_request = ctx;

	if (!load_request->job->done)
		send_request(load_request->load, load_request->job,
			     MT_REQUEST_CANCEL);
	g_free(load_request);
}

/**
 * Calls `cb`, which is on_submit() or on_cancel(), with a request for the job
 * after `delay_ms`. Both callbacks ignore the kind of this request.
 */
static void schedule(mt_load_t *load, mt_load_job_t *job, mt_ms_t delay_ms,
		     mt_timer_cb cb)
{
	mt_load_request_t *load_request = g_new0(mt_load_request_t, 1);

	*load_request = (mt_load_request_t){load, job, MT_REQUEST_SUBMIT, 0};
	mt_timers_after(mt_loop_timers(load->ctl.loop), delay_ms, cb,
			load_request);
}

static void on_timeout(void *ctx)
{
	mt_loop_stop(((mt_load_t *)ctx)->ctl.loop);
}

static void on_progress(void *ctx)
{
	mt_load_t *load = ctx;

	if (!load->quiet)
		mt_log_output_printf("mimosaturn: %u of %u jobs done",
				     load->jobs->len - load->remaining,
				     load->jobs->len);
}

void mt_load_run(mt_load_t *load, mt_ms_t timeout_ms)
{
	mt_timers_t *timers = mt_loop_timers(load->ctl.loop);
	uint64_t progress;
	uint64_t timeout;

	load->remaining = load->jobs->len;
	load->started_at = now_ms(load);
	for (guint i = 0; i < load->jobs->len; i++) {
		mt_load_job_t *job = load->jobs->pdata[i];

		schedule(load, job, job->submit_at, on_submit);
		if (job->cancel_at)
			schedule(load, job, job->cancel_at, on_cancel);
	}
	timeout = mt_timers_after(timers, timeout_ms, on_timeout, load);
	progress = mt_timers_every(timers, PROGRESS_INTERVAL_MS, on_progress,
				   load);
	mt_loop_run(load->ctl.loop);
	mt_timers_cancel(timers, timeout);
	mt_timers_cancel(timers, progress);
}

void mt_load_audit(mt_load_t *load, const mt_endpoint_t *audit)
{
	load->remaining = load->jobs->len;
	for (guint i = 0; i < load->jobs->len; i++) {
		mt_load_job_t *job = load->jobs->pdata[i];
		char *path =
			g_strdup_printf("/admin/begins?job=%s", job->id.text);
		mt_http_request_t request = {audit->address,
					     audit->port,
					     "GET",
					     path,
					     NULL,
					     {0},
					     REQUEST_TIMEOUT_MS,
					     0};
		mt_load_request_t *load_request = g_new0(mt_load_request_t, 1);

		*load_request =
			(mt_load_request_t){load, job, MT_REQUEST_AUDIT, 0};
		mt_http_send(load->ctl.http, &request, on_response,
			     load_request);
		g_free(path);
	}
	mt_loop_run(load->ctl.loop);
}
