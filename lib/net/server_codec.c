/** @file server_codec.c JSON bodies of the protocol to backend servers. */
#include "net/server_codec.h"

#include <string.h>

#include "net/json_util.h"

/* Names on the wire, in the order of the enum values. */

static const char *const op_names[MT_SERVER_OP_COUNT] = {
	"lease",      "renew", "start",	 "release",
	"checkpoint", "stop",  "result", "forget"};

/** The protocol calls MT_FAULT_MEMORY_EXCEEDED "guard". */
static const char *const fault_names[MT_FAULT_COUNT] = {"none", "exit",
							"guard"};

/** MT_REPLY_UNKNOWN has no name here, as it is never sent. */
static const char *const status_names[] = {"ok", "stale", "refused"};

/** Index in `names` of the string in field `key`; -1 if it is not there. */
static int get_enum(const json_t *object, const char *key,
		    const char *const *names, size_t count)
{
	const char *value = json_string_value(json_object_get(object, key));

	for (size_t i = 0; value && i < count; i++) {
		if (!strcmp(value, names[i]))
			return (int)i;
	}
	return -1;
}

static int get_state(const json_t *object)
{
	const char *const names[MT_TASK_STATE_COUNT] = {
		mt_task_state_name(MT_TASK_HELD),
		mt_task_state_name(MT_TASK_RUNNING),
		mt_task_state_name(MT_TASK_FINISHED),
		mt_task_state_name(MT_TASK_FAILED),
		mt_task_state_name(MT_TASK_STOPPED),
		mt_task_state_name(MT_TASK_CHECKPOINTED),
		mt_task_state_name(MT_TASK_LEASE_EXPIRED)};

	return get_enum(object, "state", names, MT_TASK_STATE_COUNT);
}

static json_t *encode_start(const mt_task_spec_t *start)
{
	json_t *object = json_object();

	mt_json_set_name(object, "task", &start->task);
	mt_json_set_name(object, "job", &start->job);
	mt_json_set_u64(object, "servers", start->servers);
	mt_json_set_u64(object, "members", start->members);
	mt_json_set_u64(object, "processors", start->processors);
	mt_json_set_u64(object, "memory_mb", start->memory_mb);
	mt_json_set_u64(object, "accelerators", start->accelerators);
	json_object_set_new(object, "held", json_boolean(start->held));
	json_object_set_new(object, "resume", json_boolean(start->resume));
	mt_json_set_bytes(object, "payload", start->payload);
	return object;
}

static bool decode_start(const json_t *object, mt_task_spec_t *start)
{
	bool ok =
		mt_json_get_name(object, "task", &start->task) &&
		mt_json_get_name(object, "job", &start->job) &&
		mt_json_get_u32(object, "servers", &start->servers) &&
		mt_json_get_u32(object, "members", &start->members) &&
		mt_json_get_u32(object, "processors", &start->processors) &&
		mt_json_get_u32(object, "memory_mb", &start->memory_mb) &&
		mt_json_get_u32(object, "accelerators", &start->accelerators) &&
		mt_json_get_bool(object, "held", &start->held) &&
		mt_json_get_bool(object, "resume", &start->resume);

	if (!ok)
		return false;
	start->payload = mt_json_get_bytes(object, "payload");
	return start->payload != NULL;
}

static json_t *encode_names(const GArray *names)
{
	json_t *array = json_array();

	for (guint i = 0; names && i < names->len; i++) {
		const mt_name_t *name = &g_array_index(names, mt_name_t, i);

		json_array_append_new(array,
				      json_stringn(name->text, name->len));
	}
	return array;
}

char *mt_server_request_encode(const mt_server_request_t *request)
{
	json_t *object = json_object();

	json_object_set_new(object, "op", json_string(op_names[request->op]));
	mt_json_set_u64(object, "token", request->token);
	switch (request->op) {
	case MT_SERVER_LEASE:
		mt_json_set_name(object, "holder", &request->holder);
		mt_json_set_u64(object, "expect", request->expect);
		return mt_json_dump_decref(object);
	case MT_SERVER_RENEW:
		json_object_set_new(object, "skip",
				    encode_names(request->skip));
		mt_json_set_u64(object, "seen", request->seen);
		mt_json_set_u64(object, "wait_ms", request->wait_ms);
		break;
	case MT_SERVER_START:
		json_object_set_new(object, "start",
				    encode_start(&request->start));
		break;
	default:
		mt_json_set_name(object, "task", &request->task);
		break;
	}
	mt_json_set_name(object, "boot", &request->boot);
	mt_json_set_u64(object, "sequence", request->sequence);
	mt_json_set_u64(object, "term_ms", request->term_ms);
	return mt_json_dump_decref(object);
}

static bool decode_names(const json_t *array, GArray **names)
{
	size_t i;
	json_t *item;

	if (!json_is_array(array))
		return false;
	*names = g_array_new(FALSE, FALSE, sizeof(mt_name_t));
	json_array_foreach(array, i, item)
	{
		mt_str_t text = mt_str_from(json_string_value(item));
		mt_name_t name = mt_name_from(text);

		g_array_append_val(*names, name);
	}
	return true;
}

static bool decode_request_body(const json_t *object,
				mt_server_request_t *request)
{
	int op = get_enum(object, "op", op_names, MT_SERVER_OP_COUNT);

	if (op < 0 || !mt_json_get_u64(object, "token", &request->token))
		return false;
	request->op = (mt_server_op_t)op;
	if (request->op == MT_SERVER_LEASE)
		return mt_json_get_name(object, "holder", &request->holder) &&
		       mt_json_get_u64(object, "expect", &request->expect);
	if (!mt_json_get_name(object, "boot", &request->boot) ||
	    !mt_json_get_u64(object, "sequence", &request->sequence) ||
	    !mt_json_get_u32(object, "term_ms", &request->term_ms))
		return false;
	if (request->op == MT_SERVER_RENEW)
		return mt_json_get_u64(object, "seen", &request->seen) &&
		       mt_json_get_u32(object, "wait_ms", &request->wait_ms) &&
		       decode_names(json_object_get(object, "skip"),
				    &request->skip);
	if (request->op == MT_SERVER_START)
		return decode_start(json_object_get(object, "start"),
				    &request->start);
	return mt_json_get_name(object, "task", &request->task);
}

bool mt_server_request_decode(mt_str_t body, mt_server_request_t *request)
{
	json_t *object = mt_json_parse(body);
	bool ok;

	memset(request, 0, sizeof(*request));
	ok = decode_request_body(object, request);
	json_decref(object);
	if (!ok)
		mt_server_request_clear(request);
	return ok;
}

void mt_server_request_clear(mt_server_request_t *request)
{
	g_clear_pointer(&request->skip, g_array_unref);
	g_clear_pointer(&request->start.payload, g_bytes_unref);
}

static json_t *encode_report(const mt_task_report_t *report)
{
	json_t *object = json_object();

	mt_json_set_name(object, "task", &report->task);
	mt_json_set_name(object, "job", &report->job);
	json_object_set_new(object, "state",
			    json_string(mt_task_state_name(report->state)));
	json_object_set_new(object, "fault",
			    json_string(fault_names[report->fault]));
	json_object_set_new(object, "began", json_boolean(report->began));
	mt_json_set_u64(object, "servers", report->servers);
	mt_json_set_u64(object, "members", report->members);
	mt_json_set_u64(object, "processors", report->processors);
	mt_json_set_u64(object, "memory_mb", report->memory_mb);
	mt_json_set_u64(object, "accelerators", report->accelerators);
	mt_json_set_u64(object, "used_memory_mb", report->used_memory_mb);
	mt_json_set_u64(object, "ran_ms", report->ran_ms);
	return object;
}

static bool decode_report(const json_t *object, mt_task_report_t *report)
{
	int state = get_state(object);
	int fault = get_enum(object, "fault", fault_names, MT_FAULT_COUNT);

	if (state < 0 || fault < 0)
		return false;
	report->state = (mt_task_state_t)state;
	report->fault = (mt_task_fault_t)fault;
	return mt_json_get_name(object, "task", &report->task) &&
	       mt_json_get_name(object, "job", &report->job) &&
	       mt_json_get_bool(object, "began", &report->began) &&
	       mt_json_get_u32(object, "servers", &report->servers) &&
	       mt_json_get_u32(object, "members", &report->members) &&
	       mt_json_get_u32(object, "processors", &report->processors) &&
	       mt_json_get_u32(object, "memory_mb", &report->memory_mb) &&
	       mt_json_get_u32(object, "accelerators", &report->accelerators) &&
	       mt_json_get_u32(object, "used_memory_mb",
			       &report->used_memory_mb) &&
	       mt_json_get_u32(object, "ran_ms", &report->ran_ms);
}

char *mt_server_reply_encode(const mt_server_reply_t *reply)
{
	json_t *object = json_object();

	g_assert(reply->status != MT_REPLY_UNKNOWN);
	json_object_set_new(object, "status",
			    json_string(status_names[reply->status]));
	mt_json_set_name(object, "boot", &reply->boot);
	mt_json_set_u64(object, "token", reply->token);
	mt_json_set_u64(object, "version", reply->version);
	json_object_set_new(object, "leaving", json_boolean(reply->leaving));
	json_object_set_new(object, "state",
			    json_string(mt_task_state_name(reply->state)));
	json_object_set_new(object, "began", json_boolean(reply->began));
	if (reply->reason)
		json_object_set_new(object, "reason",
				    json_string(reply->reason));
	if (reply->tasks) {
		json_t *tasks = json_array();

		for (guint i = 0; i < reply->tasks->len; i++)
			json_array_append_new(
				tasks,
				encode_report(&g_array_index(
					reply->tasks, mt_task_report_t, i)));
		json_object_set_new(object, "tasks", tasks);
	}
	if (reply->result) {
		char *digest = mt_sha256_hex(reply->result);

		mt_json_set_bytes(object, "result", reply->result);
		mt_json_set_u64(object, "length",
				g_bytes_get_size(reply->result));
		json_object_set_new(object, "sha256", json_string(digest));
		g_free(digest);
	}
	return mt_json_dump_decref(object);
}

static bool decode_reports(const json_t *array, mt_server_reply_t *reply)
{
	size_t i;
	json_t *item;

	if (!array)
		return true;
	if (!json_is_array(array))
		return false;
	reply->tasks = g_array_new(FALSE, TRUE, sizeof(mt_task_report_t));
	json_array_foreach(array, i, item)
	{
		mt_task_report_t report = {0};

		if (!decode_report(item, &report))
			return false;
		g_array_append_val(reply->tasks, report);
	}
	return true;
}

/**
 * Decodes the result, if any. Only a complete result is accepted: its length
 * and digest must match the ones stated in the message.
 */
static bool decode_result(const json_t *object, mt_server_reply_t *reply)
{
	const char *digest;
	char *computed;
	uint64_t length;
	bool digest_matches;

	if (!json_object_get(object, "result"))
		return true;
	reply->result = mt_json_get_bytes(object, "result");
	digest = json_string_value(json_object_get(object, "sha256"));
	if (!reply->result || !digest ||
	    !mt_json_get_u64(object, "length", &length) ||
	    length != g_bytes_get_size(reply->result))
		return false;
	computed = mt_sha256_hex(reply->result);
	digest_matches = !strcmp(computed, digest);
	g_free(computed);
	return digest_matches;
}

static bool decode_reply_body(const json_t *object, mt_server_reply_t *reply)
{
	int status = get_enum(object, "status", status_names,
			      G_N_ELEMENTS(status_names));
	int state = get_state(object);

	if (status < 0 || state < 0)
		return false;
	reply->status = (mt_reply_status_t)status;
	reply->state = (mt_task_state_t)state;
	reply->reason =
		g_strdup(json_string_value(json_object_get(object, "reason")));
	return mt_json_get_name(object, "boot", &reply->boot) &&
	       mt_json_get_u64(object, "token", &reply->token) &&
	       mt_json_get_u64(object, "version", &reply->version) &&
	       mt_json_get_bool(object, "leaving", &reply->leaving) &&
	       mt_json_get_bool(object, "began", &reply->began) &&
	       decode_reports(json_object_get(object, "tasks"), reply) &&
	       decode_result(object, reply);
}

bool mt_server_reply_decode(mt_str_t body, mt_server_reply_t *reply)
{
	json_t *object = mt_json_parse(body);
	bool ok;

	memset(reply, 0, sizeof(*reply));
	ok = decode_reply_body(object, reply);
	json_decref(object);
	if (!ok)
		mt_server_reply_clear(reply);
	return ok;
}

static bool decode_info(const json_t *object, mt_server_info_t *info)
{
	uint32_t port;

	if (!mt_json_get_u32(object, "port", &port) || !port ||
	    port > UINT16_MAX)
		return false;
	info->port = (uint16_t)port;
	return mt_json_get_name(object, "id", &info->id) &&
	       mt_json_get_name(object, "data_centre", &info->dc) &&
	       mt_json_get_u32(object, "rack", &info->rack) &&
	       mt_json_get_name(object, "address", &info->address) &&
	       mt_json_get_u32(object, "processors", &info->processors) &&
	       mt_json_get_u32(object, "memory_mb", &info->memory_mb) &&
	       mt_json_get_u32(object, "accelerators", &info->accelerators) &&
	       mt_json_get_u32(object, "slots", &info->slots) &&
	       mt_json_get_bool(object, "leaving", &info->leaving);
}

GArray *mt_server_infos_decode(mt_str_t body)
{
	json_t *object = mt_json_parse(body);
	json_t *list = json_object_get(object, "servers");
	GArray *servers = NULL;
	size_t i;
	json_t *item;

	if (json_is_array(list))
		servers = g_array_new(FALSE, TRUE, sizeof(mt_server_info_t));
	json_array_foreach(list, i, item)
	{
		mt_server_info_t info = {0};

		if (!decode_info(item, &info)) {
			g_clear_pointer(&servers, g_array_unref);
			break;
		}
		g_array_append_val(servers, info);
	}
	json_decref(object);
	return servers;
}

char *mt_server_infos_encode(const GArray *servers)
{
	json_t *object = json_object();
	json_t *list = json_array();

	for (guint i = 0; i < servers->len; i++) {
		const mt_server_info_t *info =
			&g_array_index(servers, mt_server_info_t, i);
		json_t *item = json_object();

		mt_json_set_name(item, "id", &info->id);
		mt_json_set_name(item, "data_centre", &info->dc);
		mt_json_set_u64(item, "rack", info->rack);
		mt_json_set_name(item, "address", &info->address);
		mt_json_set_u64(item, "port", info->port);
		mt_json_set_u64(item, "processors", info->processors);
		mt_json_set_u64(item, "memory_mb", info->memory_mb);
		mt_json_set_u64(item, "accelerators", info->accelerators);
		mt_json_set_u64(item, "slots", info->slots);
		json_object_set_new(item, "leaving",
				    json_boolean(info->leaving));
		json_array_append_new(list, item);
	}
	json_object_set_new(object, "servers", list);
	return mt_json_dump_decref(object);
}
