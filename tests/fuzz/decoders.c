/** @file decoders.c Random input for the decoders of JSON and protobuf. */
#include <string.h>

#include "dag/dag.pb-c.h"
#include "fuzz/fuzz.h"
#include "net/json_repair.h"
#include "net/json_util.h"
#include "platform/backend_json.h"
#include "platform/config_json.h"
#include "platform/store_http.h"
#include "wire/mimosaturn.pb-c.h"

#define MUTATIONS_MAX 4
#define NESTING_MAX 6
#define MEMBERS_MAX 5
#define PAYLOAD_MAX_BYTES 40

/** Messages that are received from other hosts, or read from the store. */
static const ProtobufCMessageDescriptor *const messages[] = {
	&mt_dag__job__descriptor,	   &mt_dag__progress__descriptor,
	&mt_dag__leader__descriptor,	   &mt_dag__speeds__descriptor,
	&mt_dag__host__descriptor,	   &mt_dag__slot_holder__descriptor,
	&mt_dag__peer_call__descriptor,	   &mt_dag__config_call__descriptor,
	&mt_dag__config_reply__descriptor, &mt_dag__peer_reply__descriptor,
	&mt_pb__frame__descriptor,	   &mt_pb__record__descriptor,
};

/** Names and values that the decoders know, and some that they do not. */
static const char *const words[] = {
	"spec",		"steps",      "count",
	"cpu",		"mem_mb",     "gpu",
	"estimate_ms",	"depends_on", "gang",
	"requirements", "version",    "routes",
	"services",	"tenants",    "api_keys",
	"guaranteed",	"name",	      "host",
	"path_prefix",	"priority",   "service",
	"address",	"zone",	      "state",
	"ready",	"capacity",   "labels",
	"born",		"running",    "finished",
	"clock_ms",	"reason",     "records",
	"end",		"key",	      "value",
	"10.0.0.1:80",	"unknown",    "",
	"\\u0000",	"\\ud800",    "a\\nb",
};

static const char *const numbers[] = {
	"0",   "1",	"-1", "4294967295", "4294967296", "9223372036854775807",
	"1e9", "1e400", "-0", "0.5",
};

static void append_text(GByteArray *out, const char *text)
{
	g_byte_array_append(out, (const guint8 *)text, (guint)strlen(text));
}

static void append_word(GRand *rand, GByteArray *out)
{
	gint32 count = (gint32)G_N_ELEMENTS(words);

	append_text(out, "\"");
	append_text(out, words[g_rand_int_range(rand, 0, count)]);
	append_text(out, "\"");
}

static void append_json(GRand *rand, GByteArray *out, int depth)
{
	gint32 n_numbers = (gint32)G_N_ELEMENTS(numbers);
	int kind = g_rand_int_range(rand, 0, depth < NESTING_MAX ? 6 : 3);
	int members = g_rand_int_range(rand, 0, MEMBERS_MAX + 1);

	if (kind == 0) {
		append_text(out, numbers[g_rand_int_range(rand, 0, n_numbers)]);
	} else if (kind == 1) {
		append_word(rand, out);
	} else if (kind == 2) {
		append_text(out, g_rand_boolean(rand) ? "true" : "null");
	} else {
		append_text(out, kind == 3 ? "[" : "{");
		for (int i = 0; i < members; i++) {
			if (i > 0)
				append_text(out, ",");
			if (kind != 3) {
				append_word(rand, out);
				append_text(out, ":");
			}
			append_json(rand, out, depth + 1);
		}
		append_text(out, kind == 3 ? "]" : "}");
	}
}

static void append_varint(GByteArray *out, guint64 value)
{
	guint8 byte;

	do {
		byte = (guint8)(value & 0x7f);
		value >>= 7;
		if (value)
			byte |= 0x80;
		g_byte_array_append(out, &byte, 1);
	} while (value);
}

/** Appends fields with random numbers, wire types and lengths. */
static void append_protobuf(GRand *rand, GByteArray *out, int depth)
{
	int fields = g_rand_int_range(rand, 0, MEMBERS_MAX + 1);

	for (int i = 0; i < fields; i++) {
		guint field = (guint)g_rand_int_range(rand, 1, 20);
		GByteArray *inner = g_byte_array_new();
		guint type = g_rand_boolean(rand) ? 2 : 0;

		append_varint(out, field << 3 | type);
		if (type == 0) {
			append_varint(out,
				      (guint64)g_rand_int(rand)
					      << g_rand_int_range(rand, 0, 32));
		} else {
			if (depth < NESTING_MAX && g_rand_boolean(rand))
				append_protobuf(rand, inner, depth + 1);
			while (inner->len < PAYLOAD_MAX_BYTES &&
			       g_rand_boolean(rand))
				g_byte_array_append(
					inner, &(guint8){'0' + inner->len}, 1);
			append_varint(out, inner->len);
			g_byte_array_append(out, inner->data, inner->len);
		}
		g_byte_array_unref(inner);
	}
}

GByteArray *mt_fuzz_make_message(GRand *rand)
{
	GByteArray *out = g_byte_array_new();

	if (g_rand_boolean(rand))
		append_json(rand, out, 0);
	else
		append_protobuf(rand, out, 0);
	if (g_rand_boolean(rand))
		mt_fuzz_mutate(rand, out);
	return out;
}

void mt_fuzz_mutate(GRand *rand, GByteArray *bytes)
{
	int mutations = g_rand_int_range(rand, 1, MUTATIONS_MAX + 1);

	while (mutations-- > 0 && bytes->len > 1) {
		guint at = (guint)g_rand_int_range(rand, 0, (gint32)bytes->len);
		int kind = g_rand_int_range(rand, 0, 4);

		if (kind == 0)
			bytes->data[at] = (guint8)g_rand_int(rand);
		else if (kind == 1)
			g_byte_array_remove_index(bytes, at);
		else if (kind == 2)
			g_byte_array_set_size(bytes, at);
		else
			g_byte_array_append(bytes, &(guint8){bytes->data[at]},
					    1);
	}
}

static void decode_json(mt_str_t text)
{
	mt_store_snapshot_t snapshot = {0};
	mt_store_record_t record = {MT_STR("i-1"), text, 0};
	mt_backend_info_t info = {0};
	mt_backend_body_t body;
	MtDag__Job *job = mt_job_decode(text);

	if (job)
		mt_dag__job__free_unpacked(job, NULL);
	mt_catalog_free(mt_config_decode(text));
	json_decref(mt_json_parse_list(text));
	mt_backend_body_parse(&body, text);
	mt_backend_body_clear(&body);
	mt_store_snapshot_parse(&snapshot, text);
	mt_store_snapshot_clear(&snapshot);
	mt_server_list_format.decode(&record, &info);
	mt_backend_info_clear(&info);
}

static void decode_page(mt_str_t text)
{
	GArray *records = g_array_new(FALSE, FALSE, sizeof(mt_store_record_t));
	uint64_t end;

	mt_store_http_parse(text, 0, records, &end);
	g_array_unref(records);
}

static void decode_protobuf(const GByteArray *bytes)
{
	for (size_t i = 0; i < G_N_ELEMENTS(messages); i++) {
		ProtobufCMessage *message = protobuf_c_message_unpack(
			messages[i], NULL, bytes->len, bytes->data);

		if (message)
			protobuf_c_message_free_unpacked(message, NULL);
	}
}

void mt_fuzz_decode(const GByteArray *bytes)
{
	/* A copy of the exact size, so that reads past the end are found. */
	void *copy = g_memdup2(bytes->data, bytes->len);
	mt_str_t text = {copy, bytes->len};

	decode_json(text);
	decode_page(text);
	decode_protobuf(bytes);
	g_free(copy);
}
