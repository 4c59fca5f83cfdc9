/** @file job_id.c Derives, formats and parses job ids. */
#include "wire/job_id.h"

#include <string.h>

#define SHA256_BYTES 32

mt_job_id_t mt_job_id_derive(const mt_name_t *account, mt_str_t key)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	uint8_t digest[SHA256_BYTES];
	gsize len = sizeof(digest);
	mt_job_id_t id;

	g_checksum_update(checksum, (const guchar *)account->text,
			  account->len);
	g_checksum_update(checksum, (const guchar *)"", 1);
	g_checksum_update(checksum, (const guchar *)key.data, (gssize)key.len);
	g_checksum_get_digest(checksum, digest, &len);
	g_checksum_free(checksum);
	memcpy(id.bytes, digest, sizeof(id.bytes));
	return id;
}

mt_name_t mt_job_id_text(const mt_job_id_t *id)
{
	static const char digits[] = "0123456789abcdef";
	mt_name_t text = {0};

	for (size_t i = 0; i < MT_JOB_ID_BYTES; i++) {
		text.text[text.len++] = digits[id->bytes[i] >> 4];
		text.text[text.len++] = digits[id->bytes[i] & 15];
	}
	return text;
}

bool mt_job_id_parse(mt_str_t text, mt_job_id_t *id)
{
	if (text.len != 2 * MT_JOB_ID_BYTES)
		return false;
	for (size_t i = 0; i < MT_JOB_ID_BYTES; i++) {
		int high = g_ascii_xdigit_value(text.data[2 * i]);
		int low = g_ascii_xdigit_value(text.data[2 * i + 1]);

		if (high < 0 || low < 0)
			return false;
		id->bytes[i] = (uint8_t)(high << 4 | low);
	}
	return true;
}

bool mt_job_id_read(const ProtobufCBinaryData *field, mt_job_id_t *id)
{
	if (field->len != MT_JOB_ID_BYTES)
		return false;
	memcpy(id->bytes, field->data, MT_JOB_ID_BYTES);
	return true;
}

ProtobufCBinaryData mt_job_id_field(const mt_job_id_t *id)
{
	return (ProtobufCBinaryData){MT_JOB_ID_BYTES, (uint8_t *)id->bytes};
}

bool mt_job_id_equal(const mt_job_id_t *a, const mt_job_id_t *b)
{
	return !memcmp(a->bytes, b->bytes, MT_JOB_ID_BYTES);
}

guint mt_job_id_hash(gconstpointer key)
{
	guint hash;

	memcpy(&hash, ((const mt_job_id_t *)key)->bytes, sizeof(hash));
	return hash;
}

gboolean mt_job_id_key_equal(gconstpointer a, gconstpointer b)
{
	return mt_job_id_equal(a, b);
}
