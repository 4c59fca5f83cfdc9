/** @file json_util.c Typed access to jansson values. */
#include "net/json_util.h"

#include <string.h>

json_t *mt_json_parse(mt_str_t body)
{
	return json_loadb(body.data, body.len, JSON_REJECT_DUPLICATES, NULL);
}

bool mt_json_is_within(mt_str_t text, size_t containers_max, size_t commas_max)
{
	bool in_string = false;
	size_t containers = 0;
	size_t commas = 0;

	for (size_t i = 0; i < text.len; i++) {
		char c = text.data[i];

		if (in_string && c == '\\')
			i++;
		else if (c == '"')
			in_string = !in_string;
		else if (!in_string && (c == '{' || c == '['))
			containers++;
		else if (!in_string && c == ',')
			commas++;
	}
	return containers <= containers_max && commas <= commas_max;
}

bool mt_json_get_name(const json_t *object, const char *key, mt_name_t *name)
{
	const json_t *value = json_object_get(object, key);
	mt_str_t text;

	if (!json_is_string(value))
		return false;
	text = (mt_str_t){json_string_value(value), json_string_length(value)};
	if (text.len > MT_NAME_MAX_BYTES || memchr(text.data, 0, text.len))
		return false;
	*name = mt_name_from(text);
	return true;
}

bool mt_json_get_shared_name(const json_t *object, const char *key,
			     mt_shared_name_t *name)
{
	const json_t *value = json_object_get(object, key);
	mt_str_t text = {json_string_value(value), json_string_length(value)};

	if (!text.len || !mt_shared_name_is_valid(text))
		return false;
	mt_shared_name_set(name, text);
	return true;
}

bool mt_json_get_u64(const json_t *object, const char *key, uint64_t *value)
{
	const json_t *number = json_object_get(object, key);

	if (!json_is_integer(number) || json_integer_value(number) < 0)
		return false;
	*value = (uint64_t)json_integer_value(number);
	return true;
}

bool mt_json_get_u32(const json_t *object, const char *key, uint32_t *value)
{
	uint64_t wide;

	if (!mt_json_get_u64(object, key, &wide) || wide > UINT32_MAX)
		return false;
	*value = (uint32_t)wide;
	return true;
}

bool mt_json_get_bool(const json_t *object, const char *key, bool *value)
{
	const json_t *flag = json_object_get(object, key);

	if (!json_is_boolean(flag))
		return false;
	*value = json_is_true(flag);
	return true;
}

bool mt_json_get_address(const json_t *object, const char *key,
			 mt_name_t *address, uint16_t *port)
{
	const char *text = json_string_value(json_object_get(object, key));
	const char *colon = text ? strrchr(text, ':') : NULL;
	uint64_t number;

	if (!colon || colon - text > MT_NAME_MAX_BYTES ||
	    !mt_str_to_u64(mt_str_from(colon + 1), &number) || !number ||
	    number > UINT16_MAX)
		return false;
	*address = mt_name_from((mt_str_t){text, (size_t)(colon - text)});
	*port = (uint16_t)number;
	return true;
}

GBytes *mt_json_get_bytes(const json_t *object, const char *key)
{
	const json_t *value = json_object_get(object, key);
	const char *text;
	guchar *data;
	gsize len;
	char *reencoded;
	bool is_canonical;

	if (!json_is_string(value))
		return NULL;
	text = json_string_value(value);
	data = g_base64_decode(text, &len);
	/* g_base64_decode() skips invalid characters. They are detected by
	 * encoding the data again and comparing the result with the text. */
	reencoded = g_base64_encode(data, len);
	is_canonical = !strcmp(reencoded, text);
	g_free(reencoded);
	if (is_canonical)
		return g_bytes_new_take(data, len);
	g_free(data);
	return NULL;
}

void mt_json_set_name(json_t *object, const char *key, const mt_name_t *name)
{
	json_object_set_new(object, key, json_stringn(name->text, name->len));
}

void mt_json_set_u64(json_t *object, const char *key, uint64_t value)
{
	json_object_set_new(object, key, json_integer((json_int_t)value));
}

void mt_json_set_bytes(json_t *object, const char *key, GBytes *bytes)
{
	gsize len;
	const guchar *data = g_bytes_get_data(bytes, &len);
	char *text = g_base64_encode(data, len);

	json_object_set_new(object, key, json_string(text));
	g_free(text);
}

char *mt_json_dump_decref(json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	char *copy = g_strdup(text);

	free(text);
	json_decref(value);
	return copy;
}

char *mt_sha256_hex(GBytes *bytes)
{
	return g_compute_checksum_for_bytes(G_CHECKSUM_SHA256, bytes);
}
