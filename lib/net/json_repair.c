/** @file json_repair.c Replaces the unreadable parts of JSON text. */
#include "net/json_repair.h"

#include <string.h>

#include "net/json_util.h"

/** Arrays and objects nested deeper than this are replaced. */
#define DEPTH_MAX 64u

/** Characters of an escape such as \u0000. */
#define UNICODE_ESCAPE_LEN 6

#define REPLACEMENT_ESCAPE "\\ufffd"

/** State of a scan through the text. */
typedef struct mt_json_scan_t {
	const char *at; /**< next character; NUL-terminated text */
	GString *out;
	unsigned depth; /**< number of open arrays and objects */
} mt_json_scan_t;

/** Appends to the output, except within parts that are nested too deeply. */
static void put(mt_json_scan_t *scan, const char *text, size_t len)
{
	if (scan->depth <= DEPTH_MAX)
		g_string_append_len(scan->out, text, (gssize)len);
}

/** Code unit of an escape such as \u0041; -1 if it is none. */
static int code_unit(const char *escape)
{
	int unit = 0;

	if (escape[0] != '\\' || escape[1] != 'u')
		return -1;
	for (int i = 2; i < UNICODE_ESCAPE_LEN; i++) {
		int digit = g_ascii_xdigit_value(escape[i]);

		if (digit < 0)
			return -1;
		unit = unit * 16 + digit;
	}
	return unit;
}

/** Copies one character or escape of a string. */
static void scan_string_part(mt_json_scan_t *scan)
{
	int unit = code_unit(scan->at);

	if (!unit || (unit >= 0xd800 && unit <= 0xdfff)) {
		put(scan, REPLACEMENT_ESCAPE, UNICODE_ESCAPE_LEN);
		scan->at += UNICODE_ESCAPE_LEN;
	} else if (scan->at[0] == '\\' && scan->at[1]) {
		put(scan, scan->at, 2);
		scan->at += 2;
	} else if ((unsigned char)*scan->at < ' ') {
		put(scan, REPLACEMENT_ESCAPE, UNICODE_ESCAPE_LEN);
		scan->at++;
	} else {
		put(scan, scan->at++, 1);
	}
}

/** Copies a string, with its quotation marks. */
static void scan_string(mt_json_scan_t *scan)
{
	put(scan, scan->at++, 1);
	while (*scan->at && *scan->at != '"')
		scan_string_part(scan);
	if (*scan->at)
		put(scan, scan->at++, 1);
}

static bool is_scalar(const char *text, size_t len)
{
	json_t *value = json_loadb(text, len, JSON_DECODE_ANY, NULL);

	json_decref(value);
	return value != NULL;
}

/** Copies a number or word; null in its place if it is not readable. */
static void scan_scalar(mt_json_scan_t *scan)
{
	const char *begin = scan->at;
	size_t len;

	while (g_ascii_isalnum(*scan->at) ||
	       (*scan->at && strchr("+-._", *scan->at)))
		scan->at++;
	len = (size_t)(scan->at - begin);
	if (is_scalar(begin, len))
		put(scan, begin, len);
	else
		put(scan, "null", strlen("null"));
}

static void scan_open(mt_json_scan_t *scan)
{
	if (scan->depth == DEPTH_MAX)
		put(scan, "null", strlen("null"));
	scan->depth++;
	put(scan, scan->at++, 1);
}

static void scan_close(mt_json_scan_t *scan)
{
	put(scan, scan->at++, 1);
	if (scan->depth)
		scan->depth--;
}

/**
 * Returns a copy of the text with the replacements that mt_json_parse_list()
 * states; freed with g_free(). The copy may still be malformed.
 */
static char *repair(mt_str_t text)
{
	char *valid =
		g_utf8_make_valid(text.data ? text.data : "", (gssize)text.len);
	mt_json_scan_t scan = {valid, g_string_new(NULL), 0};

	while (*scan.at) {
		if (*scan.at == '"')
			scan_string(&scan);
		else if (*scan.at == '{' || *scan.at == '[')
			scan_open(&scan);
		else if (*scan.at == '}' || *scan.at == ']')
			scan_close(&scan);
		else if (g_ascii_isalnum(*scan.at) || *scan.at == '-')
			scan_scalar(&scan);
		else
			put(&scan, scan.at++, 1);
	}
	g_free(valid);
	return g_string_free(scan.out, FALSE);
}

json_t *mt_json_parse_list(mt_str_t body)
{
	json_t *json = mt_json_parse(body);
	char *repaired;

	if (json || !body.len)
		return json;
	repaired = repair(body);
	json = json_loads(repaired, 0, NULL);
	g_free(repaired);
	return json;
}
