/** @file common.c What the stand-ins share. */
#include "common.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

static int record_fd = -1;
static const char *record_who = "";

static uint64_t read_clock(clockid_t id)
{
	struct timespec now;

	clock_gettime(id, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

uint64_t now_ms(void)
{
	return read_clock(CLOCK_BOOTTIME);
}

uint64_t unix_ms(void)
{
	return read_clock(CLOCK_REALTIME);
}

void record_open(const char *path, const char *who)
{
	record_fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	record_who = who;
	if (record_fd < 0) {
		fprintf(stderr, "cannot open the record %s\n", path);
		exit(2);
	}
}

void record(const char *format, ...)
{
	char line[1024];
	va_list args;
	int len = snprintf(line, sizeof(line), "%llu %s ",
			   (unsigned long long)now_ms(), record_who);

	va_start(args, format);
	len += vsnprintf(line + len, sizeof(line) - (size_t)len - 1, format,
			 args);
	va_end(args);
	if (len > (int)sizeof(line) - 2)
		len = (int)sizeof(line) - 2;
	line[len++] = '\n';
	/* One write a line: lines of several processes do not mix. */
	if (write(record_fd, line, (size_t)len) != len)
		exit(2);
}

static void on_disconnect(void *ctx)
{
	pending_t *pending = ctx;

	pending->exchange = NULL;
}

pending_t *pending_new(mt_http_exchange_t *exchange)
{
	pending_t *pending = g_new0(pending_t, 1);

	pending->exchange = exchange;
	mt_http_on_disconnect(exchange, on_disconnect, pending);
	return pending;
}

void pending_respond(pending_t *pending, int status, const char *type,
		     mt_str_t body)
{
	if (pending->exchange) {
		mt_http_on_disconnect(pending->exchange, NULL, NULL);
		mt_http_respond(pending->exchange, status, type, body, NULL);
	}
	g_free(pending);
}

void pending_respond_json(pending_t *pending, int status, json_t *json)
{
	char *text = mt_json_dump_decref(json);

	pending_respond(pending, status, "application/json",
			mt_str_from(text));
	g_free(text);
}

char *query_text(const mt_http_incoming_request_t *request, const char *name)
{
	mt_str_t text = {0};
	char *raw;
	char *decoded;

	mt_http_query(request->query, name, &text);
	raw = g_strndup(text.data ? text.data : "", text.len);
	decoded = g_uri_unescape_string(raw, NULL);
	if (!decoded)
		return raw;
	g_free(raw);
	return decoded;
}

uint64_t query_number(const mt_http_incoming_request_t *request,
		      const char *name, uint64_t fallback)
{
	mt_str_t text;
	uint64_t value;

	if (!mt_http_query(request->query, name, &text) ||
	    !mt_str_to_u64(text, &value))
		return fallback;
	return value;
}

uint64_t json_number(const json_t *json, const char *key, uint64_t fallback)
{
	uint64_t value = fallback;

	mt_json_get_u64(json, key, &value);
	return value;
}

const char *json_text(const json_t *json, const char *key)
{
	const char *text = json_string_value(json_object_get(json, key));

	return text ? text : "";
}
