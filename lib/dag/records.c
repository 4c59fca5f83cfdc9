/** @file records.c Keys and values of Mimosaturn's records in the store. */
#include "dag/records.h"

#include <stdio.h>
#include <xxhash.h>

mt_record_key_t mt_record_key(mt_record_kind_t kind, uint64_t job)
{
	mt_record_key_t key;

	if (kind == MT_RECORD_LEADER)
		job = 0;
	snprintf(key.text, sizeof(key.text), "%c%016" G_GINT64_MODIFIER "x",
		 (char)kind, job);
	return key;
}

mt_record_key_t mt_record_host_key(mt_shared_name_t host)
{
	return mt_record_key(MT_RECORD_HOST, (guint)mt_shared_name_hash(host));
}

bool mt_record_parse_job_id(mt_str_t text, uint64_t *id)
{
	uint64_t value = 0;

	if (text.len != MT_JOB_ID_DIGITS)
		return false;
	for (size_t i = 0; i < text.len; i++) {
		int digit = g_ascii_xdigit_value(text.data[i]);

		if (digit < 0 || g_ascii_isupper(text.data[i]))
			return false;
		value = value << 4 | (unsigned)digit;
	}
	*id = value;
	return true;
}

bool mt_record_parse_client_id(mt_str_t text, uint64_t *id,
			       mt_job_spelling_t *spelling)
{
	char lower[MT_JOB_ID_DIGITS];
	mt_job_spelling_t found = {0};

	if (text.len != MT_JOB_ID_DIGITS)
		return false;
	for (size_t i = 0; i < text.len; i++) {
		lower[i] = g_ascii_tolower(text.data[i]);
		if (g_ascii_isupper(text.data[i]))
			found.capitals |= (uint16_t)(1u << i);
	}
	if (!mt_record_parse_job_id((mt_str_t){lower, text.len}, id))
		return false;
	if (found.capitals) {
		found.digits = *id;
		*id = XXH3_64bits(text.data, text.len);
	}
	*spelling = found;
	return true;
}

mt_job_id_text_t mt_record_client_id(uint64_t id,
				     const mt_job_spelling_t *spelling)
{
	mt_job_id_text_t text;

	snprintf(text.text, sizeof(text.text), "%016" G_GINT64_MODIFIER "x",
		 spelling->capitals ? spelling->digits : id);
	for (unsigned i = 0; i < MT_JOB_ID_DIGITS; i++) {
		if (spelling->capitals >> i & 1u)
			text.text[i] = g_ascii_toupper(text.text[i]);
	}
	return text;
}

mt_job_spelling_t mt_record_spelling(const MtDag__Job *job)
{
	return (mt_job_spelling_t){job->id_digits, (uint16_t)job->id_capitals};
}

bool mt_record_parse_key(mt_str_t key, mt_record_kind_t *kind, uint64_t *job)
{
	if (key.len != MT_JOB_ID_DIGITS + 1)
		return false;
	switch (key.data[0]) {
	case MT_RECORD_JOB:
	case MT_RECORD_CANCEL:
	case MT_RECORD_PROGRESS:
	case MT_RECORD_LEADER:
	case MT_RECORD_HOST:
	case MT_RECORD_STANDBY:
	case MT_RECORD_RELAY:
	case MT_RECORD_SPEEDS:
		*kind = (mt_record_kind_t)key.data[0];
		break;
	default:
		return false;
	}
	return mt_record_parse_job_id((mt_str_t){key.data + 1, key.len - 1},
				      job);
}

bool mt_record_is_of_job(mt_record_kind_t kind)
{
	return kind == MT_RECORD_JOB || kind == MT_RECORD_CANCEL ||
	       kind == MT_RECORD_PROGRESS;
}

GBytes *mt_dag_pack(const ProtobufCMessage *message)
{
	size_t len = protobuf_c_message_get_packed_size(message);
	uint8_t *data = g_malloc(MAX(len, 1));

	protobuf_c_message_pack(message, data);
	return g_bytes_new_take(data, len);
}

mt_str_t mt_bytes_view(GBytes *bytes)
{
	gsize len;
	const char *data = g_bytes_get_data(bytes, &len);

	return (mt_str_t){data, len};
}
