/**
 * @file odd_json.h
 * Generates JSON text that other writers might leave: values that are nested
 * deeply, too large, of a wrong type, broken or long. Seeded.
 */
#ifndef MT_TESTS_ODD_JSON_H
#define MT_TESTS_ODD_JSON_H

#include <glib.h>
#include <stdbool.h>

/**
 * Returns the text of a valid object or array with one of its values replaced
 * by an odd one.
 */
GString *mt_odd_json_entry(const char *valid, GRand *rand);

#endif
