/** @file http_api.c HTTP interface of mimosaturnd. */
#include "http_api.h"

#include <string.h>

#include "api/responses.h"
#include "api/job_request.h"

/**
 * h2o itself rejects larger bodies. Bodies above MT_JOB_REQUEST_MAX_BYTES and
 * up to this size are read, so that the response can be a problem document.
 */
#define H2O_BODY_MAX_BYTES (1024u * 1024u)

#define MS_PER_S 1000u

struct mt_http_api_t {
	mt_kernel_t *kernel;
	mt_node_t *node;
	mt_job_api_t *job_api;
	mt_lists_t *lists;
	mt_http_server_t *http_server;
};

/** A request that waits for its answer from the job API. */
typedef struct mt_pending_request_t {
	mt_http_api_t *api;
	mt_http_exchange_t *exchange;
	uint64_t request_id; /**< from the job API, for mt_job_api_abandon() */
	bool wants_result;
} mt_pending_request_t;

/** A parsed path under /v1/jobs. */
typedef struct mt_job_path_t {
	bool valid;
	bool is_collection; /**< /v1/jobs itself */
	bool is_result;	    /**< ends in /result */
	mt_job_id_t id;	    /**< not set for /v1/jobs itself */
} mt_job_path_t;

static void send_response(mt_http_api_t *api, mt_http_exchange_t *exchange,
			  mt_api_response_t response)
{
	gsize len;
	const char *data = g_bytes_get_data(response.body, &len);
	char retry_after[16];
	const char *headers[] = {"retry-after", retry_after, NULL};

	g_snprintf(retry_after, sizeof(retry_after), "%u",
		   response.retry_after_s);
	mt_kernel_count(api->kernel, "http_answers_total{status=\"%d\"}",
			response.status);
	mt_http_respond(exchange, response.status, response.type,
			(mt_str_t){data, len},
			response.retry_after_s ? headers : NULL);
	mt_api_response_clear(&response);
}

static void send_problem(mt_http_api_t *api, mt_http_exchange_t *exchange,
			 int status, const char *code, const char *detail,
			 bool not_run)
{
	send_response(api, exchange,
		      mt_api_problem(status, code, detail, not_run));
}

static void on_answer(void *ctx, const mt_answer_t *answer)
{
	mt_pending_request_t *pending = ctx;

	send_response(pending->api, pending->exchange,
		      pending->wants_result ? mt_api_render_result(answer)
					    : mt_api_render_answer(answer));
	g_free(pending);
}

static void on_disconnect(void *ctx)
{
	mt_pending_request_t *pending = ctx;

	mt_job_api_abandon(pending->api->job_api, pending->request_id);
	g_free(pending);
}

static mt_pending_request_t *new_pending_request(mt_http_api_t *api,
						 mt_http_exchange_t *exchange)
{
	mt_pending_request_t *pending = g_new0(mt_pending_request_t, 1);

	pending->api = api;
	pending->exchange = exchange;
	return pending;
}

/**
 * Makes sure that the request is abandoned if the client disconnects. Does
 * nothing if `request_id` is 0: then the request was already answered, and
 * `pending` freed.
 */
static void watch_disconnect(mt_pending_request_t *pending, uint64_t request_id)
{
	if (!request_id)
		return;
	pending->request_id = request_id;
	mt_http_on_disconnect(pending->exchange, on_disconnect, pending);
}

/** Parses parameter `wait` (s). @return false if malformed or too large */
static bool parse_wait(mt_str_t query, uint32_t *wait_ms)
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

static const mt_account_t *authenticate(const mt_http_api_t *api,
					const mt_http_exchange_t *exchange)
{
	mt_str_t header = mt_http_header(exchange, "authorization");
	mt_str_t prefix = MT_STR("Bearer ");

	if (!mt_str_has_prefix(header, prefix))
		return NULL;
	return mt_lists_authenticate(
		api->lists,
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
		parsed.is_collection = true;
		return parsed;
	}
	if (rest.data[0] != '/')
		return parsed;
	rest = (mt_str_t){rest.data + 1, rest.len - 1};
	if (rest.len > suffix.len && !memcmp(rest.data + rest.len - suffix.len,
					     suffix.data, suffix.len)) {
		parsed.is_result = true;
		rest.len -= suffix.len;
	}
	parsed.valid = mt_job_id_parse(rest, &parsed.id);
	return parsed;
}

static void submit_job(mt_http_api_t *api,
		       const mt_http_incoming_request_t *request,
		       const mt_account_t *account, mt_str_t key,
		       uint32_t wait_ms, const mt_job_request_t *job_request)
{
	mt_submission_t submission = {.account = account->name,
				      .key = key,
				      .spec = &job_request->spec,
				      .payload = job_request->payload,
				      .wait_ms = wait_ms};
	mt_pending_request_t *pending =
		new_pending_request(api, request->exchange);

	/* The client states that no earlier request used the key. */
	submission.first_request = mt_str_equal(
		mt_http_header(request->exchange, "idempotency-attempt"),
		MT_STR("1"));
	memcpy(submission.body_digest, job_request->digest, MT_DIGEST_BYTES);
	watch_disconnect(pending, mt_job_api_submit(api->job_api, &submission,
						    on_answer, pending));
}

static void handle_submit(mt_http_api_t *api,
			  const mt_http_incoming_request_t *request,
			  const mt_account_t *account, uint32_t wait_ms)
{
	mt_str_t key = mt_http_header(request->exchange, "idempotency-key");
	mt_job_request_t job_request;
	GError *error = NULL;

	if (!mt_idempotency_key_is_valid(key)) {
		send_problem(api, request->exchange, 400, "key_missing",
			     "Idempotency-Key must have 1 to 128 printable "
			     "characters",
			     true);
		return;
	}
	if (request->body.len > MT_JOB_REQUEST_MAX_BYTES) {
		send_problem(api, request->exchange, 413, "body_too_large",
			     "the body exceeds 65536 bytes", true);
		return;
	}
	if (!mt_job_request_parse(request->body, &job_request, &error)) {
		send_problem(api, request->exchange, 400, "body_invalid",
			     error->message, true);
		g_error_free(error);
		return;
	}
	submit_job(api, request, account, key, wait_ms, &job_request);
	mt_job_request_clear(&job_request);
}

static void handle_get(mt_http_api_t *api,
		       const mt_http_incoming_request_t *request,
		       const mt_account_t *account, const mt_job_path_t *path,
		       uint32_t wait_ms)
{
	mt_pending_request_t *pending =
		new_pending_request(api, request->exchange);

	pending->wants_result = path->is_result;
	watch_disconnect(pending,
			 mt_job_api_get(api->job_api, &account->name, &path->id,
					wait_ms, on_answer, pending));
}

static void handle_cancel(mt_http_api_t *api,
			  const mt_http_incoming_request_t *request,
			  const mt_account_t *account,
			  const mt_job_path_t *path, uint32_t wait_ms)
{
	mt_str_t key = mt_http_header(request->exchange, "idempotency-key");
	mt_job_id_t derived = mt_job_id_derive(&account->name, key);
	mt_pending_request_t *pending =
		new_pending_request(api, request->exchange);
	mt_cancellation_t cancellation = {
		.account = account->name, .id = path->id, .wait_ms = wait_ms};
	mt_str_t once = {0};

	mt_http_query(request->query, "once", &once);
	cancellation.once = mt_str_equal(once, MT_STR("true"));
	cancellation.id_derived_from_key =
		key.len && mt_job_id_equal(&derived, &path->id);
	watch_disconnect(pending, mt_job_api_cancel(api->job_api, &cancellation,
						    on_answer, pending));
}

static void route_job(mt_http_api_t *api,
		      const mt_http_incoming_request_t *request,
		      const mt_job_path_t *path)
{
	const mt_account_t *account = authenticate(api, request->exchange);
	uint32_t wait_ms;

	if (!account) {
		send_problem(api, request->exchange, 401, "unauthorized",
			     "no client account has this key", false);
	} else if (!parse_wait(request->query, &wait_ms)) {
		send_problem(api, request->exchange, 400, "wait_invalid",
			     "wait takes 0 to 60 seconds", false);
	} else if (path->is_collection &&
		   mt_str_equal(request->method, MT_STR("POST"))) {
		handle_submit(api, request, account, wait_ms);
	} else if (!path->is_collection &&
		   mt_str_equal(request->method, MT_STR("GET"))) {
		handle_get(api, request, account, path, wait_ms);
	} else if (!path->is_collection && !path->is_result &&
		   mt_str_equal(request->method, MT_STR("DELETE"))) {
		handle_cancel(api, request, account, path, wait_ms);
	} else {
		send_problem(api, request->exchange, 405, "method_not_allowed",
			     "this path does not take this method", false);
	}
}

static void send_readiness(mt_http_api_t *api, mt_http_exchange_t *exchange)
{
	if (mt_node_is_ready(api->node))
		mt_http_respond(exchange, 200, "text/plain", MT_STR("ready\n"),
				NULL);
	else
		mt_http_respond(exchange, 503, "text/plain",
				MT_STR("not ready\n"), NULL);
}

static void on_request(void *ctx, const mt_http_incoming_request_t *request)
{
	mt_http_api_t *api = ctx;
	mt_job_path_t path = parse_job_path(request->path);

	if (path.valid)
		route_job(api, request, &path);
	else if (mt_str_equal(request->path, MT_STR("/healthz")))
		mt_http_respond(request->exchange, 200, "text/plain",
				MT_STR("alive\n"), NULL);
	else if (mt_str_equal(request->path, MT_STR("/readyz")))
		send_readiness(api, request->exchange);
	else if (mt_str_equal(request->path, MT_STR("/metrics")))
		send_response(api, request->exchange,
			      mt_api_metrics(api->kernel));
	else if (mt_str_equal(request->path, MT_STR("/v1/status")))
		send_response(api, request->exchange,
			      mt_api_status(api->kernel, api->node));
	else if (mt_str_equal(request->path, MT_STR("/v1/slo")))
		send_response(api, request->exchange, mt_api_slo(api->kernel));
	else
		send_problem(api, request->exchange, 404, "no_such_path",
			     "nothing is served at this path", false);
}

mt_http_api_t *mt_http_api_new(mt_kernel_t *kernel, mt_loop_t *loop,
			       const mt_settings_t *settings, mt_node_t *node)
{
	mt_http_api_t *api = g_new0(mt_http_api_t, 1);

	api->kernel = kernel;
	api->node = node;
	api->job_api = mt_kernel_find(kernel, MT_SERVICE_JOB_API);
	api->lists = mt_kernel_find(kernel, MT_SERVICE_LISTS);
	api->http_server = mt_http_server_new(
		loop, &settings->address, settings->callers_port,
		H2O_BODY_MAX_BYTES, on_request, api);
	if (!api->http_server)
		g_clear_pointer(&api, g_free);
	return api;
}

mt_http_server_t *mt_http_api_server(mt_http_api_t *api)
{
	return api->http_server;
}
