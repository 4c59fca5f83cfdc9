/**
 * @file json_util.h
 * Typed access to jansson values that come from other processes. A getter that
 * returns bool returns false if the field is missing, has the wrong type or is
 * out of range, and then does not change its output arguments.
 */
#ifndef MT_NET_JSON_UTIL_H
#define MT_NET_JSON_UTIL_H

#include <jansson.h>

#include "kernel/shared_name.h"

/** Parses an object or array; NULL if malformed or with duplicate keys. */
json_t *mt_json_parse(mt_str_t body);

/**
 * Counts the objects and arrays, and the commas, outside of strings. A decoded
 * value takes up to a hundred times the memory of its text: over 200 bytes for
 * an empty object.
 * @return true if neither count is above its maximum
 */
bool mt_json_is_within(mt_str_t text, size_t containers_max, size_t commas_max);

bool mt_json_get_name(const json_t *object, const char *key, mt_name_t *name);
/** Replaces `*name` by a name that is neither empty nor too long. */
bool mt_json_get_shared_name(const json_t *object, const char *key,
			     mt_shared_name_t *name);
bool mt_json_get_u64(const json_t *object, const char *key, uint64_t *value);
bool mt_json_get_u32(const json_t *object, const char *key, uint32_t *value);
bool mt_json_get_bool(const json_t *object, const char *key, bool *value);

/**
 * Reads a string of the form `address:port`, with a port above 0 and an address
 * of at most MT_NAME_MAX_BYTES.
 */
bool mt_json_get_address(const json_t *object, const char *key,
			 mt_name_t *address, uint16_t *port);

/** Decodes a base64 string; NULL if it is missing or malformed. */
GBytes *mt_json_get_bytes(const json_t *object, const char *key);

void mt_json_set_name(json_t *object, const char *key, const mt_name_t *name);
void mt_json_set_u64(json_t *object, const char *key, uint64_t value);
void mt_json_set_bytes(json_t *object, const char *key, GBytes *bytes);

/**
 * Serialises `value` without white space and drops the reference to it.
 * @return a new string, freed with g_free()
 */
char *mt_json_dump_decref(json_t *value);

/** SHA-256 of `bytes` in lower-case hexadecimal; freed with g_free(). */
char *mt_sha256_hex(GBytes *bytes);

#endif
