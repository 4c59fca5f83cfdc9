/**
 * @file codec.h
 * Packing of log records and of the frames between entry hosts.
 */
#ifndef MT_WIRE_CODEC_H
#define MT_WIRE_CODEC_H

#include "wire/job_id.h"
#include "wire/mimosaturn.pb-c.h"

/** Largest packed record or frame, in bytes. */
#define MT_WIRE_MAX_BYTES (256u * 1024u)

/** Length prefix of a frame: 4 bytes, most significant first. */
#define MT_FRAME_HEADER_BYTES 4u

GBytes *mt_record_pack(const MtPb__Record *record);

/** NULL when `data` is not a record with a body. */
MtPb__Record *mt_record_unpack(GBytes *data);
void mt_record_free(MtPb__Record *record);

/** Length prefix and packed frame. */
GBytes *mt_frame_pack(const MtPb__Frame *frame);

/**
 * Takes one frame from the front of `buffer`.
 * @param frame set to the frame, or NULL while more bytes are needed
 * @return false when the bytes are malformed; the link must be dropped
 */
bool mt_frame_take(GByteArray *buffer, MtPb__Frame **frame);
void mt_frame_free(MtPb__Frame *frame);

/** Deep copies by packing; freed with the message's free function. */
MtPb__Spec *mt_spec_dup(const MtPb__Spec *spec);
MtPb__Claim *mt_claim_dup(const MtPb__Claim *claim);

GBytes *mt_bytes_from_field(const ProtobufCBinaryData *field);
ProtobufCBinaryData mt_field_from_bytes(GBytes *bytes);

#endif
