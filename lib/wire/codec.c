/** @file codec.c Encodes and decodes log records and frames. */
#include "wire/codec.h"

/**
 * Packs a message, preceded by its packed size as a big-endian integer of
 * `prefix_bytes` bytes; 0: no prefix.
 */
static GBytes *pack(const ProtobufCMessage *message, size_t prefix_bytes)
{
	size_t len = protobuf_c_message_get_packed_size(message);
	uint8_t *data = g_malloc(prefix_bytes + len);

	protobuf_c_message_pack(message, data + prefix_bytes);
	for (size_t i = 0; i < prefix_bytes; i++)
		data[i] = (uint8_t)(len >> (8 * (prefix_bytes - 1 - i)));
	return g_bytes_new_take(data, prefix_bytes + len);
}

/** Deep copy of a message, made by packing and unpacking it. */
static void *dup_message(const ProtobufCMessage *message)
{
	GBytes *packed = pack(message, 0);
	gsize len;
	const uint8_t *data = g_bytes_get_data(packed, &len);
	ProtobufCMessage *copy =
		protobuf_c_message_unpack(message->descriptor, NULL, len, data);

	g_bytes_unref(packed);
	return copy;
}

GBytes *mt_record_pack(const MtPb__Record *record)
{
	return pack(&record->base, 0);
}

MtPb__Record *mt_record_unpack(GBytes *bytes)
{
	gsize len;
	const uint8_t *data = g_bytes_get_data(bytes, &len);
	MtPb__Record *record;

	if (len > MT_WIRE_MAX_BYTES)
		return NULL;
	record = mt_pb__record__unpack(NULL, len, data);
	if (record && record->body_case == MT_PB__RECORD__BODY__NOT_SET)
		g_clear_pointer(&record, mt_record_free);
	return record;
}

void mt_record_free(MtPb__Record *record)
{
	mt_pb__record__free_unpacked(record, NULL);
}

GBytes *mt_frame_pack(const MtPb__Frame *frame)
{
	return pack(&frame->base, MT_FRAME_PREFIX_BYTES);
}

bool mt_frame_take(GByteArray *buffer, MtPb__Frame **frame)
{
	size_t len = 0;

	*frame = NULL;
	if (buffer->len < MT_FRAME_PREFIX_BYTES)
		return true;
	for (size_t i = 0; i < MT_FRAME_PREFIX_BYTES; i++)
		len = len << 8 | buffer->data[i];
	if (!len || len > MT_WIRE_MAX_BYTES)
		return false;
	if (buffer->len < MT_FRAME_PREFIX_BYTES + len)
		return true;
	*frame = mt_pb__frame__unpack(NULL, len,
				      buffer->data + MT_FRAME_PREFIX_BYTES);
	g_byte_array_remove_range(buffer, 0,
				  (guint)(MT_FRAME_PREFIX_BYTES + len));
	return *frame && (*frame)->body_case != MT_PB__FRAME__BODY__NOT_SET;
}

void mt_frame_free(MtPb__Frame *frame)
{
	if (frame)
		mt_pb__frame__free_unpacked(frame, NULL);
}

MtPb__Spec *mt_spec_dup(const MtPb__Spec *spec)
{
	return dup_message(&spec->base);
}

MtPb__Claim *mt_claim_dup(const MtPb__Claim *claim)
{
	return dup_message(&claim->base);
}

GBytes *mt_bytes_from_field(const ProtobufCBinaryData *field)
{
	return g_bytes_new(field->data, field->len);
}

ProtobufCBinaryData mt_field_from_bytes(GBytes *bytes)
{
	gsize len;
	const void *data = g_bytes_get_data(bytes, &len);

	return (ProtobufCBinaryData){len, (uint8_t *)data};
}
