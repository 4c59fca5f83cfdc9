/** @file http_api.c HTTP interface of an entry host. */
#include "http_api.h"

#include <string.h>

#include "api/responses.h"
#include "api/job_request.h"

/** h2o refuses larger bodies itself; up to this the answer is a problem. */
#define READ_MAX_BYTES (1024u * 1024u)

#define MS_PER_S 1000u

struct mt_http_api_t {
	mt_kernel_t *kernel;
	mt_node_t *node;
	mt_job_api_t *front;
	mt_lists_t *lists;
	mt_http_server_t *http;
};

/** A request that waits for the front's answer. */
typedef struct mt_open_call_t {
	mt_http_api_t *service;
	mt_http_exchange_t *exchange;
	uint64_t ticket;
	bool wants_result;
} mt_open_call_t;

/** What a path names under /v1/jobs. */
typedef struct mt_job_path_t {
	bool valid;
	bool collection;
	bool result;
	mt_job_id_t id;
} mt_job_path_t;

static void send_body(mt_http_api_t *service, mt_http_exchange_t *exchange,
		      mt_api_response_t body)
{
	gsize len;
	const char *data = g_bytes_get_data(body.body, &len);
	char retry[16];
	const char *headers[] = {"retry-after", retry, NULL};

	g_snprintf(retry, sizeof(retry), "%u", body.retry_after_s);
	mt_kernel_count(service->kernel, "http_answers_total{status=\"%d\"}",
			body.status);
	mt_http_respond(exchange, body.status, body.type, (mt_str_t){data, len},
			body.retry_after_s ? headers : NULL);
	mt_api_response_clear(&body);
}

static void send_problem(mt_http_api_t *service, mt_http_exchange_t *exchange,
			 int status, const char *code, const char *detail,
			 bool not_run)
{
	send_body(service, exchange,
		  mt_api_problem(status, code, detail, not_run));
}

static void on_answer(void *ctx, const mt_answer_t *answer)
{
	mt_open_call_t *call = ctx;

	send_body(call->service, call->exchange,
		  call->wants_result ? mt_api_render_result(answer)
				     : mt_api_render_answer(answer));
	g_free(call);
}

static void on_gone(void *ctx)
{
	mt_open_call_t *call = ctx;

	mt_job_api_abandon(call->service->front, call->ticket);
	g_free(call);
}

static mt_open_call_t *open_call(mt_http_api_t *service,
				 mt_http_exchange_t *exchange)
{
	mt_open_call_t *call = g_new0(mt_open_call_t, 1);

	call->service = service;
	call->exchange = exchange;
	return call;
}

/** Notes the ticket, unless the call was answered and freed already. */
static void keep_call(mt_open_call_t *call, uint64_t ticket)
{
	if (!ticket)
		return;
	call->ticket = ticket;
	mt_http_on_disconnect(call->exchange, on_gone, call);
}

/** Reads `wait` in seconds. @return false when it is malformed */
static bool read_wait(mt_str_t query, uint32_t *wait_ms)
{
	mt_str_t text;
	uint64_t seconds;

	*wait_ms = 0;
	if (!mt_http_query(query, "wait", &text))
		return true;
	if (!mt_str_to_u64(text, &seconds) ||
	    seconds > MT_WAIT_MAX_MS / MS_PER_S)
		return false;
	*wait_ms = (uint32_t)seconds * MS_PER_S;
	return true;
}

static const mt_account_t *authenticate(const mt_http_api_t *service,
					const mt_http_exchange_t *exchange)
{
	mt_str_t header = mt_http_header(exchange, "authorization");
	mt_str_t prefix = MT_STR("Bearer ");

	if (!mt_str_has_prefix(header, prefix))
		return NULL;
	return mt_lists_authenticate(
		service->lists,
		(mt_str_t){header.data + prefix.len, header.len - prefix.len});
}

static mt_job_path_t parse_job_path(mt_str_t path)
{
	mt_str_t base = MT_STR("/v1/jobs");
	mt_str_t suffix = MT_STR("/result");
	mt_job_path_t parsed = {0};
	mt_str_t rest;

	if (!mt_str_has_prefix(path, base))
		return parsed;
	rest = (mt_str_t){path.data + base.len, path.len - base.len};
	if (!rest.len) {
		parsed.valid = true;
		parsed.collection = true;
		return parsed;
	}
	if (rest.data[0] != '/')
		return parsed;
	rest = (mt_str_t){rest.data + 1, rest.len - 1};
	if (rest.len > suffix.len && !memcmp(rest.data + rest.len - suffix.len,
					     suffix.data, suffix.len)) {
		parsed.result = true;
		rest.len -= suffix.len;
	}
	parsed.valid = mt_job_id_parse(rest, &parsed.id);
	return parsed;
}

static void submit_request(mt_http_api_t *service, const mt_http_call_t *http,
			   const mt_account_t *account, mt_str_t key,
			   uint32_t wait_ms, const mt_job_request_t *request)
{
	mt_submission_t submission = {.account = account->name,
				      .key = key,
				      .spec = &request->spec,
				      .payload = request->payload,
				      .wait_ms = wait_ms};
	mt_open_call_t *call = open_call(service, http->exchange);

	submission.first_attempt = mt_str_equal(
		mt_http_header(http->exchange, "idempotency-attempt"),
		MT_STR("1"));
	memcpy(submission.body_digest, request->digest, MT_DIGEST_BYTES);
	keep_call(call, mt_job_api_submit(service->front, &submission,
					  on_answer, call));
}

static void handle_submit(mt_http_api_t *service, const mt_http_call_t *http,
			  const mt_account_t *account, uint32_t wait_ms)
{
	mt_str_t key = mt_http_header(http->exchange, "idempotency-key");
	mt_job_request_t request;
	GError *error = NULL;

	if (!mt_idempotency_key_is_valid(key)) {
		send_problem(service, http->exchange, 400, "key_missing",
			     "Idempotency-Key must have 1 to 128 printable "
			     "characters",
			     true);
		return;
	}
	if (http->body.len > MT_BODY_MAX_BYTES) {
		send_problem(service, http->exchange, 413, "body_too_large",
			     "the body exceeds 65536 bytes", true);
		return;
	}
	if (!mt_job_request_parse(http->body, &request, &error)) {
		send_problem(service, http->exchange, 400, "body_invalid",
			     error->message, true);
		g_error_free(error);
		return;
	}
	submit_request(service, http, account, key, wait_ms, &request);
	mt_job_request_clear(&request);
}

static void handle_look(mt_http_api_t *service, const mt_http_call_t *http,
			const mt_account_t *account, const mt_job_path_t *path,
			uint32_t wait_ms)
{
	mt_open_call_t *call = open_call(service, http->exchange);

	call->wants_result = path->result;
	keep_call(call, mt_job_api_get(service->front, &account->name,
				       &path->id, wait_ms, on_answer, call));
}

static void handle_cancel(mt_http_api_t *service, const mt_http_call_t *http,
			  const mt_account_t *account,
			  const mt_job_path_t *path, uint32_t wait_ms)
{
	mt_str_t key = mt_http_header(http->exchange, "idempotency-key");
	mt_job_id_t made = mt_job_id_derive(&account->name, key);
	mt_open_call_t *call = open_call(service, http->exchange);
	mt_cancellation_t cancellation = {
		.account = account->name, .id = path->id, .wait_ms = wait_ms};
	mt_str_t once = {0};

	mt_http_query(http->query, "once", &once);
	cancellation.once = mt_str_equal(once, MT_STR("true"));
	cancellation.id_derived_from_key =
		key.len && mt_job_id_equal(&made, &path->id);
	keep_call(call, mt_job_api_cancel(service->front, &cancellation,
					  on_answer, call));
}

static void route_job(mt_http_api_t *service, const mt_http_call_t *http,
		      const mt_job_path_t *path)
{
	const mt_account_t *account = authenticate(service, http->exchange);
	uint32_t wait_ms;

	if (!account) {
		send_problem(service, http->exchange, 401, "unauthorized",
			     "no client account has this key", false);
	} else if (!read_wait(http->query, &wait_ms)) {
		send_problem(service, http->exchange, 400, "wait_invalid",
			     "wait takes 0 to 60 seconds", false);
	} else if (path->collection &&
		   mt_str_equal(http->method, MT_STR("POST"))) {
		handle_submit(service, http, account, wait_ms);
	} else if (!path->collection &&
		   mt_str_equal(http->method, MT_STR("GET"))) {
		handle_look(service, http, account, path, wait_ms);
	} else if (!path->collection && !path->result &&
		   mt_str_equal(http->method, MT_STR("DELETE"))) {
		handle_cancel(service, http, account, path, wait_ms);
	} else {
		send_problem(service, http->exchange, 405, "method_not_allowed",
			     "this path does not take this method", false);
	}
}

static void send_ready(mt_http_api_t *service, mt_http_exchange_t *exchange)
{
	if (mt_node_is_ready(service->node))
		mt_http_respond(exchange, 200, "text/plain", MT_STR("ready\n"),
				NULL);
	else
		mt_http_respond(exchange, 503, "text/plain",
				MT_STR("not ready\n"), NULL);
}

static void on_call(void *ctx, const mt_http_call_t *http)
{
	mt_http_api_t *service = ctx;
	mt_job_path_t path = parse_job_path(http->path);

	if (path.valid)
		route_job(service, http, &path);
	else if (mt_str_equal(http->path, MT_STR("/healthz")))
		mt_http_respond(http->exchange, 200, "text/plain",
				MT_STR("alive\n"), NULL);
	else if (mt_str_equal(http->path, MT_STR("/readyz")))
		send_ready(service, http->exchange);
	else if (mt_str_equal(http->path, MT_STR("/metrics")))
		send_body(service, http->exchange,
			  mt_api_metrics(service->kernel));
	else if (mt_str_equal(http->path, MT_STR("/v1/status")))
		send_body(service, http->exchange,
			  mt_api_status(service->kernel, service->node));
	else if (mt_str_equal(http->path, MT_STR("/v1/slo")))
		send_body(service, http->exchange, mt_api_slo(service->kernel));
	else
		send_problem(service, http->exchange, 404, "no_such_path",
			     "nothing is served at this path", false);
}

mt_http_api_t *mt_http_api_new(mt_kernel_t *kernel, mt_loop_t *loop,
			       const mt_settings_t *settings, mt_node_t *node)
{
	mt_http_api_t *service = g_new0(mt_http_api_t, 1);

	service->kernel = kernel;
	service->node = node;
	service->front = mt_kernel_find(kernel, MT_SERVICE_JOB_API);
	service->lists = mt_kernel_find(kernel, MT_SERVICE_LISTS);
	service->http = mt_http_server_new(loop, &settings->address,
					   settings->callers_port,
					   READ_MAX_BYTES, on_call, service);
	if (!service->http)
		g_clear_pointer(&service, g_free);
	return service;
}

mt_http_server_t *mt_http_api_server(mt_http_api_t *service)
{
	return service->http;
}
