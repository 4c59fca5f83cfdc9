/** @file name.c Strings with explicit length, and names that are shared. */
#include "kernel/shared_name.h"

#include <string.h>
#include <xxhash.h>

mt_str_t mt_str_from(const char *text)
{
	return (mt_str_t){text, text ? strlen(text) : 0};
}

bool mt_str_equal(mt_str_t a, mt_str_t b)
{
	return a.len == b.len && (!a.len || !memcmp(a.data, b.data, a.len));
}

bool mt_str_has_prefix(mt_str_t s, mt_str_t prefix)
{
	if (s.len < prefix.len)
		return false;
	return !prefix.len || !memcmp(s.data, prefix.data, prefix.len);
}

bool mt_str_to_u64(mt_str_t s, uint64_t *value)
{
	uint64_t number = 0;

	if (!s.len)
		return false;
	for (size_t i = 0; i < s.len; i++) {
		unsigned digit = (unsigned char)s.data[i] - (unsigned)'0';

		if (digit > 9 || number > (UINT64_MAX - digit) / 10)
			return false;
		number = number * 10 + digit;
	}
	*value = number;
	return true;
}

mt_name_t mt_name_from(mt_str_t s)
{
	mt_name_t name = {0};

	name.len = (uint8_t)MIN(s.len, MT_NAME_MAX_BYTES);
	if (name.len)
		memcpy(name.text, s.data, name.len);
	return name;
}

mt_name_t mt_name(const char *text)
{
	return mt_name_from(mt_str_from(text));
}

bool mt_name_equal(const mt_name_t *a, const mt_name_t *b)
{
	return a->len == b->len && !memcmp(a->text, b->text, a->len);
}

int mt_name_compare(const mt_name_t *a, const mt_name_t *b)
{
	return strcmp(a->text, b->text);
}

bool mt_name_is_valid(mt_str_t s)
{
	if (!s.len || s.len > MT_NAME_MAX_BYTES || !g_ascii_isalnum(s.data[0]))
		return false;
	for (size_t i = 0; i < s.len; i++) {
		char c = s.data[i];

		if (!g_ascii_islower(c) && !g_ascii_isdigit(c) && c != '-' &&
		    c != '_' && c != '.')
			return false;
	}
	return true;
}

guint mt_name_hash(gconstpointer key)
{
	const mt_name_t *name = key;

	return (guint)XXH3_64bits(name->text, name->len);
}

gboolean mt_name_key_equal(gconstpointer a, gconstpointer b)
{
	return mt_name_equal(a, b);
}

char *mt_text_printable(const char *text)
{
	char *copy = g_strdup(text);

	for (char *c = copy; *c; c++) {
		if (!g_ascii_isprint(*c) || *c == '"' || *c == '\\')
			*c = '?';
	}
	return copy;
}

mt_name_t *mt_name_dup(const mt_name_t *name)
{
	return g_memdup2(name, sizeof(*name));
}

/* Shared names. */

static size_t n_refs;

bool mt_shared_name_is_valid(mt_str_t text)
{
	return text.len <= MT_SHARED_NAME_MAX_BYTES &&
	       (!text.len || !memchr(text.data, 0, text.len));
}

mt_shared_name_t mt_shared_name_new(mt_str_t text)
{
	char copy[MT_SHARED_NAME_MAX_BYTES + 1];

	if (!text.len || !mt_shared_name_is_valid(text))
		return (mt_shared_name_t){0};
	memcpy(copy, text.data, text.len);
	copy[text.len] = '\0';
	n_refs++;
	return (mt_shared_name_t){g_ref_string_new_intern(copy), text.len};
}

mt_shared_name_t mt_shared_name(const char *text)
{
	return mt_shared_name_new(mt_str_from(text));
}

mt_shared_name_t mt_shared_name_ref(mt_shared_name_t name)
{
	if (name.text) {
		g_ref_string_acquire((char *)name.text);
		n_refs++;
	}
	return name;
}

static void release(gpointer text)
{
	if (!text)
		return;
	g_ref_string_release(text);
	n_refs--;
}

void mt_shared_name_clear(mt_shared_name_t *name)
{
	release((gpointer)name->text);
	*name = (mt_shared_name_t){0};
}

void mt_shared_name_assign(mt_shared_name_t *to, mt_shared_name_t from)
{
	mt_shared_name_t old = *to;

	*to = mt_shared_name_ref(from);
	mt_shared_name_clear(&old);
}

void mt_shared_name_set(mt_shared_name_t *to, mt_str_t text)
{
	mt_shared_name_t old = *to;

	*to = mt_shared_name_new(text);
	mt_shared_name_clear(&old);
}

const char *mt_shared_name_text(mt_shared_name_t name)
{
	return name.text ? name.text : "";
}

bool mt_shared_name_equal(mt_shared_name_t a, mt_shared_name_t b)
{
	return a.text == b.text;
}

int mt_shared_name_compare(mt_shared_name_t a, mt_shared_name_t b)
{
	return strcmp(mt_shared_name_text(a), mt_shared_name_text(b));
}

uint64_t mt_shared_name_hash(mt_shared_name_t name)
{
	return XXH3_64bits(mt_shared_name_text(name), name.len);
}

size_t mt_shared_names_n_refs(void)
{
	return n_refs;
}

GHashTable *mt_shared_name_table_new(GDestroyNotify free_value)
{
	return g_hash_table_new_full(g_direct_hash, g_direct_equal, release,
				     free_value);
}

gpointer mt_shared_name_new_key(mt_shared_name_t name)
{
	return mt_shared_name_key(mt_shared_name_ref(name));
}

mt_shared_name_t mt_shared_name_of_key(gconstpointer key)
{
	return (mt_shared_name_t){key, g_ref_string_length((char *)key)};
}
