/** @file job_request.c Parses and validates the body of a job submission. */
#include "api/job_request.h"

#include <jansson.h>
#include <string.h>

#define RUN_MAX_S (30u * 24 * 3600)
#define DEADLINE_MAX_S (90u * 24 * 3600)
#define PROCESSORS_MAX 1024u
#define MEMORY_MAX_MB (16u * 1024 * 1024)
#define ACCELERATORS_MAX 64u
#define VALUE_MAX 1000000u

/* The quark is named mt-api-error-quark; clang-format adds the spaces. */
G_DEFINE_QUARK(mt - api - error - quark, mt_api_error)

typedef struct mt_number_field_t {
	const char *key;
	size_t offset; /**< of the member in MtPb__Spec */
	uint32_t min;
	uint32_t max;
	uint32_t default_value; /**< used if the field is missing */
	bool required;
} mt_number_field_t;

typedef struct mt_flag_field_t {
	const char *key;
	size_t offset; /**< of the member in MtPb__Spec */
	bool required;
} mt_flag_field_t;

#define SPEC_OFFSET(member) offsetof(MtPb__Spec, member)

static const mt_number_field_t number_fields[] = {
	{"members", SPEC_OFFSET(members), 1, MT_GANG_MEMBERS_MAX, 1, false},
	{"processors", SPEC_OFFSET(processors), 0, PROCESSORS_MAX, 1, false},
	{"memory_mb", SPEC_OFFSET(memory_mb), 1, MEMORY_MAX_MB, 0, true},
	{"accelerators", SPEC_OFFSET(accelerators), 0, ACCELERATORS_MAX, 0,
	 false},
	{"run_s", SPEC_OFFSET(run_s), 1, RUN_MAX_S, 0, true},
	{"deadline_s", SPEC_OFFSET(deadline_s), 0, DEADLINE_MAX_S, 0, false},
	{"value", SPEC_OFFSET(value), 0, VALUE_MAX, 1, false},
};

static const mt_flag_field_t flag_fields[] = {
	{"idempotent", SPEC_OFFSET(idempotent), true},
	{"checkpointable", SPEC_OFFSET(checkpointable), false},
	{"urgent", SPEC_OFFSET(urgent), false},
};

static bool fail(GError **error, const char *key, const char *message)
{
	g_set_error(error, MT_API_ERROR, MT_API_ERROR_FIELD, "%s: %s", key,
		    message);
	return false;
}

static bool read_number(const json_t *object, const mt_number_field_t *field,
			MtPb__Spec *spec, GError **error)
{
	const json_t *value = json_object_get(object, field->key);
	uint32_t *target = (uint32_t *)((char *)spec + field->offset);
	json_int_t number = json_integer_value(value);
	char message[80];

	if (!value && field->required)
		return fail(error, field->key, "is missing");
	if (!value) {
		*target = field->default_value;
		return true;
	}
	if (!json_is_integer(value) || number < field->min ||
	    number > field->max) {
		g_snprintf(message, sizeof(message),
			   "must be a whole number from %u to %u", field->min,
			   field->max);
		return fail(error, field->key, message);
	}
	*target = (uint32_t)number;
	return true;
}

static bool read_flag(const json_t *object, const mt_flag_field_t *field,
		      MtPb__Spec *spec, GError **error)
{
	const json_t *value = json_object_get(object, field->key);
	protobuf_c_boolean *target =
		(protobuf_c_boolean *)((char *)spec + field->offset);

	if (!value && field->required)
		return fail(error, field->key, "is missing");
	if (value && !json_is_boolean(value))
		return fail(error, field->key, "must be true or false");
	*target = json_is_true(value);
	return true;
}

static bool is_known(const char *key)
{
	if (!strcmp(key, "kind") || !strcmp(key, "payload"))
		return true;
	for (size_t i = 0; i < G_N_ELEMENTS(number_fields); i++) {
		if (!strcmp(key, number_fields[i].key))
			return true;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(flag_fields); i++) {
		if (!strcmp(key, flag_fields[i].key))
			return true;
	}
	return false;
}

static bool check_fields_known(const json_t *object, GError **error)
{
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)object, key, value)
	{
		if (!is_known(key))
			return fail(error, key, "unknown field");
	}
	return true;
}

static bool read_kind(const json_t *object, mt_job_request_t *request,
		      GError **error)
{
	const json_t *value = json_object_get(object, "kind");
	mt_str_t text = {json_string_value(value), json_string_length(value)};

	if (!json_is_string(value) || !mt_name_is_valid(text))
		return fail(error, "kind",
			    "must be a name of lower-case letters, digits, "
			    "'-', '_' and '.'");
	request->kind = mt_name_from(text);
	request->spec.kind = request->kind.text;
	return true;
}

static bool read_payload(const json_t *object, mt_job_request_t *request,
			 GError **error)
{
	const json_t *value = json_object_get(object, "payload");

	if (value && !json_is_string(value))
		return fail(error, "payload", "must be a string");
	if (json_string_length(value) > MT_PAYLOAD_MAX_BYTES)
		return fail(error, "payload", "exceeds 16384 bytes");
	request->payload = g_bytes_new(json_string_value(value),
				       json_string_length(value));
	return true;
}

/** Checks the rules that involve more than one field. */
static bool check_relations(const MtPb__Spec *spec, GError **error)
{
	if (spec->members > 1 && !spec->accelerators)
		return fail(error, "accelerators",
			    "a gang needs at least 1 for each member");
	/* A job that is resumed from a checkpoint ("runs on" in the message)
	 * repeats the work that it had done after the checkpoint, so it must be
	 * idempotent. */
	if (spec->checkpointable && !spec->idempotent)
		return fail(error, "checkpointable",
			    "needs an idempotent job, since it runs on from "
			    "a checkpoint");
	return true;
}

static void compute_digest(const json_t *object, mt_job_request_t *request)
{
	char *text = json_dumps(object, JSON_COMPACT | JSON_SORT_KEYS);
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize len = MT_DIGEST_BYTES;

	g_checksum_update(sum, (const guchar *)text, -1);
	g_checksum_get_digest(sum, request->digest, &len);
	g_checksum_free(sum);
	free(text);
}

static bool read_request(const json_t *object, mt_job_request_t *request,
			 GError **error)
{
	if (!check_fields_known(object, error) ||
	    !read_kind(object, request, error) ||
	    !read_payload(object, request, error))
		return false;
	for (size_t i = 0; i < G_N_ELEMENTS(number_fields); i++) {
		if (!read_number(object, &number_fields[i], &request->spec,
				 error))
			return false;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(flag_fields); i++) {
		if (!read_flag(object, &flag_fields[i], &request->spec, error))
			return false;
	}
	return check_relations(&request->spec, error);
}

bool mt_job_request_parse(mt_str_t body, mt_job_request_t *request,
			  GError **error)
{
	json_error_t where;
	json_t *object =
		json_loadb(body.data, body.len, JSON_REJECT_DUPLICATES, &where);
	bool ok;

	memset(request, 0, sizeof(*request));
	mt_pb__spec__init(&request->spec);
	if (!json_is_object(object)) {
		g_set_error(error, MT_API_ERROR, MT_API_ERROR_SYNTAX,
			    "the body must be a JSON object%s%s",
			    object ? "" : ": ", object ? "" : where.text);
		json_decref(object);
		return false;
	}
	ok = read_request(object, request, error);
	if (ok)
		compute_digest(object, request);
	else
		mt_job_request_clear(request);
	json_decref(object);
	return ok;
}

void mt_job_request_clear(mt_job_request_t *request)
{
	g_clear_pointer(&request->payload, g_bytes_unref);
}

bool mt_idempotency_key_is_valid(mt_str_t key)
{
	if (!key.len || key.len > MT_IDEMPOTENCY_KEY_MAX_BYTES)
		return false;
	for (size_t i = 0; i < key.len; i++) {
		if (!g_ascii_isgraph(key.data[i]))
			return false;
	}
	return true;
}
