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
 * Parses like mt_json_parse(), but replaces the parts that cannot be read. Null
 * stands for numbers that are too large or malformed, unknown words, and what
 * is nested too deeply. In strings, bytes that are not UTF-8, escapes of
 * surrogates and zero bytes, and control characters become U+FFFD. Of duplicate
 * keys the last one counts. For lists to which others contribute.
 * @return NULL if the text is malformed even so
 */
json_t *mt_json_parse_list(mt_str_t body);

#endif
