/**
 * @file json_repair.h
 * Makes JSON text readable of which a part cannot be read, so that one odd
 * entry of a list does not make the other entries unreadable.
 */
#ifndef MT_NET_JSON_REPAIR_H
#define MT_NET_JSON_REPAIR_H

#include <jansson.h>

#include "kernel/name.h"

/**
 * Returns a copy of the text in which these parts are replaced by null:
 * numbers that are too large or malformed, unknown words, and what is nested
 * too deeply. In strings, bytes that are not UTF-8, escapes of surrogates and
 * zero bytes, and control characters are replaced by U+FFFD. The copy may still
 * be malformed.
 * @return a new string, freed with g_free()
 */
char *mt_json_repair(mt_str_t text);

/**
 * Parses like mt_json_parse(), but makes up for parts that cannot be read, see
 * mt_json_repair(); of duplicate keys the last one counts. For lists to which
 * others contribute. NULL if the text as a whole is malformed.
 */
json_t *mt_json_parse_list(mt_str_t body);

#endif
