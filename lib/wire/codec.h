/**
 * @file codec.h
 * Encodes and decodes log records and the frames sent between hosts that run
 * mimosaturnd.
 */
#ifndef MT_WIRE_CODEC_H
#define MT_WIRE_CODEC_H

#include "wire/job_id.h"
#include "wire/mimosaturn.pb-c.h"

/** Maximum size of a packed record or frame, without the length prefix. */
#define MT_WIRE_MAX_BYTES (256u * 1024u)

/**
 * A frame begins with a length prefix: the size of the packed frame that
 * follows, as a 4-byte big-endian integer.
 */
#define MT_FRAME_PREFIX_BYTES 4u

GBytes *mt_record_pack(const MtPb__Record *record);

/** NULL if `data` is too large, malformed or a record without a body. */
MtPb__Record *mt_record_unpack(GBytes *data);
void mt_record_free(MtPb__Record *record);

/** Returns the length prefix followed by the packed frame. */
GBytes *mt_frame_pack(const MtPb__Frame *frame);

/**
 * Removes the first frame from `buffer` and decodes it.
 * @param frame set to the frame, or to NULL if `buffer` does not yet contain a
 *              complete one
 * @return false if the frame is malformed; the connection must then be closed
 */
bool mt_frame_take(GByteArray *buffer, MtPb__Frame **frame);
void mt_frame_free(MtPb__Frame *frame);

/** Deep copies. Free them with the free function of their message type. */
MtPb__Spec *mt_spec_dup(const MtPb__Spec *spec);
MtPb__Claim *mt_claim_dup(const MtPb__Claim *claim);

/** Copies a bytes field of a message. */
GBytes *mt_bytes_from_field(const ProtobufCBinaryData *field);

/** Makes a bytes field of a message. It points to the data of `bytes`. */
ProtobufCBinaryData mt_field_from_bytes(GBytes *bytes);

#endif
