/** @file odd_json.c Generates odd JSON text. */
#include "unit/odd_json.h"

#include <string.h>

#define DEPTH_MAX 20000
#define NAME_LEN_MAX 70000

static void append_nested(GString *out, GRand *rand)
{
	int depth = g_rand_int_range(rand, 1, DEPTH_MAX);
	gboolean closed = g_rand_boolean(rand);

	for (int i = 0; i < depth; i++)
		g_string_append(out, i % 2 ? "{\"a\":" : "[");
	g_string_append(out, "0");
	for (int i = depth; closed && i-- > 0;)
		g_string_append_c(out, i % 2 ? '}' : ']');
}

static void append_long_name(GString *out, GRand *rand)
{
	char *name = g_strnfill((gsize)g_rand_int_range(rand, 40, NAME_LEN_MAX),
				'n');

	g_string_append_printf(out, "\"%s\"", name);
	g_free(name);
}

/** Appends an odd value, which may not even be JSON. */
static void append_odd_value(GString *out, GRand *rand)
{
	static const char *const values[] = {
		"null",
		"true",
		"false",
		"0",
		"-1",
		"0.5",
		"-0.0",
		"[]",
		"{}",
		"[[]]",
		"{\"a\":1,\"a\":2}",
		"\"\"",
		"\"x\"",
		"99999999999999999999999",
		"-99999999999999999999999",
		"18446744073709551615",
		"9223372036854775807",
		"-9223372036854775808",
		"4294967296",
		"1e308",
		"1e999",
		"-1e999",
		"NaN",
		"Infinity",
		"0x10",
		"01",
		"+1",
		"1.",
		"--1",
		"\"10.1.0.9:0\"",
		"\"10.1.0.9:65536\"",
		"\"10.1.0.9:-1\"",
		"\"10.1.0.9:99999999999999999999\"",
		"\"10.1.0.9\"",
		"\":80\"",
		"\"host name:80\"",
		"\"10.1.0.9:80\\r\\nX: y\"",
		"\"a\\u0000b\"",
		"\"\\ud800\"",
		"\"\\udc00\\ud800\"",
		"\"\\uZZZZ\"",
		"\"\xff\xfe\"",
		"\"\xc3\"",
		"\"a\tb\"",
		"\"\x01\"",
		"\"00000000000000a1.0.0.4294967296\"",
		"\"00000000000000a1.0.0\"",
		"\"00000000000000A1.-1.0.0\"",
		"\"00000000000000a1.0.0.1.2\"",
	};

	switch (g_rand_int_range(rand, 0, 8)) {
	case 0:
		append_nested(out, rand);
		break;
	case 1:
		append_long_name(out, rand);
		break;
	default:
		g_string_append(out, values[g_rand_int_range(
					     rand, 0, G_N_ELEMENTS(values))]);
		break;
	}
}

/** Offsets at which a value begins: after each ':', ',' or '['. */
static GArray *find_values(const char *text)
{
	GArray *offsets = g_array_new(FALSE, FALSE, sizeof(size_t));
	bool in_string = false;

	for (size_t i = 0; text[i + 1]; i++) {
		size_t next = i + 1;

		if (text[i] == '"')
			in_string = !in_string;
		else if (!in_string && strchr(":[", text[i]))
			g_array_append_val(offsets, next);
	}
	return offsets;
}

/** Length of the value at the beginning of the text. */
static size_t value_len(const char *text)
{
	int depth = 0;
	size_t i = 0;

	for (bool in_string = false; text[i]; i++) {
		if (text[i] == '"')
			in_string = !in_string;
		if (in_string)
			continue;
		if (!depth && strchr(",]}", text[i]))
			break;
		depth += strchr("[{", text[i]) != NULL;
		depth -= strchr("]}", text[i]) != NULL;
	}
	return i;
}

GString *mt_odd_json_entry(const char *valid, GRand *rand)
{
	GString *out = g_string_new(NULL);
	GArray *offsets = find_values(valid);
	size_t at = g_array_index(
		offsets, size_t,
		(guint)g_rand_int_range(rand, 0, (gint32)offsets->len));

	g_string_append_len(out, valid, (gssize)at);
	append_odd_value(out, rand);
	g_string_append(out, valid + at + value_len(valid + at));
	g_array_unref(offsets);
	return out;
}
