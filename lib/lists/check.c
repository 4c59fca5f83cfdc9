/** @file check.c Checks the content of one list. */
#include "lists/check.h"

#include <string.h>

#define SHA256_HEX_CHARS 64

/** Sets a content error at `path`. @return false */
static bool fail(GError **error, const char *path, const char *message)
{
	g_set_error(error, MT_LISTS_ERROR, MT_LISTS_ERROR_CONTENT, "%s: %s",
		    path, message);
	return false;
}

/** Checks that `object` is an object and has only fields in `known`. */
static bool check_fields(const json_t *object, const char *const *known,
			 const char *path, GError **error)
{
	const char *key;
	json_t *value;

	if (!json_is_object(object))
		return fail(error, path, "must be an object");
	json_object_foreach((json_t *)object, key, value)
	{
		if (!g_strv_contains(known, key)) {
			char *full = g_strdup_printf("%s.%s", path, key);

			fail(error, full, "unknown field");
			g_free(full);
			return false;
		}
	}
	return true;
}

static bool check_amounts(const json_t *object, const char *const *known,
			  const char *path, GError **error)
{
	const char *key;
	json_t *value;

	if (!check_fields(object, known, path, error))
		return false;
	json_object_foreach((json_t *)object, key, value)
	{
		json_int_t amount = json_integer_value(value);

		if (!json_is_integer(value) || amount < 0 ||
		    amount > MT_RESOURCE_AMOUNT_MAX) {
			char *full = g_strdup_printf("%s.%s", path, key);

			fail(error, full,
			     "must be a whole number from 0 to 100000000");
			g_free(full);
			return false;
		}
	}
	return true;
}

static json_int_t amount(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

/**
 * Checks that the guarantee does not exceed the limit, and that
 * guarantee.adjacent does not exceed guarantee.accelerators.
 */
static bool check_quota_amounts(const json_t *guarantee, const json_t *limit,
				const char *path, GError **error)
{
	static const char *const keys[] = {"processors", "memory_mb",
					   "accelerators"};

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		if (amount(guarantee, keys[i]) > amount(limit, keys[i]))
			return fail(error, path,
				    "the guarantee exceeds the limit");
	}
	if (amount(guarantee, "adjacent") > amount(guarantee, "accelerators"))
		return fail(error, path,
			    "guarantee.adjacent exceeds "
			    "guarantee.accelerators");
	return true;
}

static bool check_quota(const json_t *quota, const char *path, GError **error)
{
	static const char *const fields[] = {"guarantee", "limit", NULL};
	static const char *const guarantee_fields[] = {
		"processors", "memory_mb", "accelerators", "adjacent", NULL};
	static const char *const limit_fields[] = {"processors", "memory_mb",
						   "accelerators", NULL};
	const json_t *guarantee = json_object_get(quota, "guarantee");
	const json_t *limit = json_object_get(quota, "limit");
	char *field_path;
	bool ok;

	if (!check_fields(quota, fields, path, error))
		return false;
	field_path = g_strdup_printf("%s.guarantee", path);
	ok = !guarantee ||
	     check_amounts(guarantee, guarantee_fields, field_path, error);
	g_free(field_path);
	field_path = g_strdup_printf("%s.limit", path);
	ok = ok && check_amounts(limit, limit_fields, field_path, error);
	g_free(field_path);
	return ok && check_quota_amounts(guarantee, limit, path, error);
}

static bool check_plan(const char *name, const json_t *plan, GError **error)
{
	const char *dc;
	json_t *quota;

	if (!json_is_object(plan))
		return fail(error, name, "must be an object of data centres");
	json_object_foreach((json_t *)plan, dc, quota)
	{
		char *path = g_strdup_printf("%s.%s", name, dc);
		bool ok = mt_name_is_valid(mt_str_from(dc));

		if (!ok)
			fail(error, path, "not a valid data centre name");
		else
			ok = check_quota(quota, path, error);
		g_free(path);
		if (!ok)
			return false;
	}
	return true;
}

static bool is_sha256_hex(const json_t *value)
{
	const char *text = json_string_value(value);

	if (!text || strlen(text) != SHA256_HEX_CHARS)
		return false;
	return strspn(text, "0123456789abcdef") == SHA256_HEX_CHARS;
}

static bool check_account(const char *name, const json_t *account,
			  GError **error)
{
	static const char *const fields[] = {"plan", "key_sha256", NULL};
	const json_t *plan = json_object_get(account, "plan");
	const json_t *digests = json_object_get(account, "key_sha256");
	size_t i;
	json_t *digest;

	if (!check_fields(account, fields, name, error))
		return false;
	if (!json_is_string(plan) ||
	    !mt_name_is_valid(mt_str_from(json_string_value(plan))))
		return fail(error, name, "plan must be a valid name");
	if (!json_is_array(digests) || !json_array_size(digests))
		return fail(error, name,
			    "key_sha256 must be a non-empty list of digests");
	json_array_foreach(digests, i, digest)
	{
		if (!is_sha256_hex(digest))
			return fail(error, name,
				    "each digest in key_sha256 must have 64 "
				    "lower-case hexadecimal digits");
	}
	return true;
}

bool mt_list_check_content(mt_list_t list, const json_t *content,
			   GError **error)
{
	const char *name;
	json_t *entry;

	if (!json_is_object(content)) {
		g_set_error(error, MT_LISTS_ERROR, MT_LISTS_ERROR_SYNTAX,
			    "%s: must be a JSON object", mt_list_name(list));
		return false;
	}
	json_object_foreach((json_t *)content, name, entry)
	{
		bool ok = mt_name_is_valid(mt_str_from(name));

		if (!ok)
			fail(error, name, "not a valid name");
		else if (list == MT_LIST_PLANS)
			ok = check_account(name, entry, error);
		else
			ok = check_plan(name, entry, error);
		if (!ok)
			return false;
	}
	return true;
}
